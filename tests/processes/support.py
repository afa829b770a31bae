import contextlib
import random

import trio

from orioleloom.cli import _processes
from orioleloom import client
from orioleloom_standins import fleet as fleets

UPSTREAM = 'batching'
CUSTOMER = 'harrowgate'
CONTRACT = {
    'in_flight': 64,
    'starts_per_s': 2000,
    'burst': 400,
    'upstreams': [UPSTREAM],
}
SPECS = (
    _processes.EntrySpec('regina-1', 'regina'),
    _processes.EntrySpec('regina-2', 'regina'),
    _processes.EntrySpec('saskatoon-1', 'saskatoon'),
)

# At 40 jobs/s this work keeps about 27 of the 32 slots busy, so that every
# instance uses every worker; at light load an instance uses only a few.
BUSY_WORK_MS = (200.0, 400.0)

# Shorter than the defaults, for tests that do not check poll intervals or
# the time for which a new instance holds back.
QUICK_FLAGS = (
    '--members-poll-interval-s=0.3',
    '--contracts-poll-interval-s=0.3',
    '--join-hold-s=0.3',
    '--readiness-grace-s=0.5',
)


@contextlib.contextmanager
def running(*, entry_flags=QUICK_FLAGS, n_workers=4, specs=SPECS):
    """Run a fleet with the same contract in force on each instance."""
    fleet = fleets.Fleet(
        worker_groups=[
            _processes.WorkerGroup(
                'plant', UPSTREAM, 'regina', (2.0,) * n_workers
            )
        ],
        entries=specs,
        entry_flags=entry_flags,
    )

    async def start():
        await fleet.start()
        answer = await fleet.put_contract(specs[0].id, CUSTOMER, CONTRACT)
        assert answer.status_code == 200, answer.text
        await fleet.wait_contract(CUSTOMER, 1)
        for spec in specs:
            await fleet.wait_serving(spec.id)

    try:
        trio.run(start)
        yield fleet
    finally:
        trio.run(fleet.stop)


def make_client(fleet, entry_ids=None, **kwargs):
    urls = [fleet.entry_urls[i] for i in entry_ids or fleet.entry_urls]
    kwargs.setdefault('random_state', 5)
    return client.Client(urls, customer=CUSTOMER, **kwargs)


def make_load(fleet, connection, seed=1, **kwargs):
    return fleets.Load(
        fleet,
        connection,
        upstream=UPSTREAM,
        random_state=random.Random(seed),
        **kwargs,
    )


async def wait_workers(fleet, condition):
    """Wait until every instance's view of the workers satisfies a test."""
    with trio.fail_after(5):
        while True:
            states = [await fleet.state(i) for i in fleet.entry_urls]
            if all(
                condition(state['engine']['workers']['workers'])
                for state in states
            ):
                return
