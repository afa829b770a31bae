"""Jobs in the seconds around the partition of a data centre.

A data centre with its own callers is cut off from the others for some
seconds. Guards against jobs that wait although they can certainly not run
elsewhere, on either side of the partition.
"""

import pytest
import trio

from orioleloom import dispatch
from orioleloom import node
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
STEP = dispatch.Step(2, dispatch.Resources(6_000, 64), 0.1)
DATA_CENTRES = ['dc0', 'dc0', 'dc0', 'dc1', 'dc1', 'dc1', 'dc2', 'dc2']
CUT_S = 5.0


class Callers:
    """Submits a job every 40 ms in a data centre, and keeps the latencies."""

    def __init__(self, fleet, data_centre):
        self.fleet = fleet
        self.instance_ids = [
            name
            for name, instance in sorted(fleet.nodes.items())
            if instance.settings.data_centre == data_centre
        ]
        self.n_jobs = 0
        self.jobs = {}

    async def run(self):
        while True:
            job_id = f'{self.n_jobs:016x}'
            instance_id = self.instance_ids[
                self.n_jobs % len(self.instance_ids)
            ]
            self.n_jobs += 1
            self.jobs[job_id] = trio.current_time()
            self.fleet.submit(
                instance_id,
                dispatch.Job(job_id, QUEUE, 'payload', (STEP,)),
                [0.1, 0.1],
                1.0,
            )
            await trio.sleep(0.04)

    def served_share(self, from_s, until_s):
        """Return the share of the jobs sent in a time that completed."""
        sent = [
            job_id
            for job_id, sent_s in self.jobs.items()
            if from_s <= sent_s < until_s
        ]
        assert sent
        completed = [
            job_id
            for job_id in sent
            if job_id in self.fleet.outcomes
            and self.fleet.outcomes[job_id].kind
            is dispatch.OutcomeKind.COMPLETED
        ]
        return len(completed) / len(sent)


@pytest.fixture
async def callers(nursery):
    fleet = leased.new_fleet(
        nursery, DATA_CENTRES, workers=leased.site_workers(24)
    )
    fleet.store.put('routing', 'config', node.Routing(1, ()))
    fleet.start()
    await trio.sleep(4)
    (leader_id,) = fleet.leaders()
    leader_dc = fleet.nodes[leader_id].settings.data_centre
    data_centre = next(dc for dc in ('dc0', 'dc1') if dc != leader_dc)
    callers = Callers(fleet, data_centre)
    nursery.start_soon(callers.run)
    await trio.sleep(1)
    return callers


async def test_new_jobs_of_a_cut_off_data_centre(callers, autojump_clock):
    """Jobs that arrive without a leader need not wait for old leases."""
    fleet = callers.fleet
    cut_s = trio.current_time()
    fleet.network.cut_data_centre(
        fleet.nodes[callers.instance_ids[0]].settings.data_centre
    )
    await trio.sleep(CUT_S)
    # The followers notice the loss of the leader after 0.32 s; a new one
    # leads within another 0.3 s.
    assert callers.served_share(cut_s + 0.4, cut_s + 2.0) > 0.95


async def test_jobs_while_a_partition_heals(callers, autojump_clock):
    """The leader of the fleet knows the workers of the one that resigns."""
    fleet = callers.fleet
    fleet.network.cut_data_centre(
        fleet.nodes[callers.instance_ids[0]].settings.data_centre
    )
    await trio.sleep(CUT_S)
    # A list that the leader reads as a whole tells nothing of the workers
    # that came and left before.
    fleet.store.is_down = True
    await trio.sleep(0.5)
    fleet.store.put('workers', 'w3', None)
    fleet.store.is_down = False
    await trio.sleep(1.0)
    fleet.network.heal()
    healed_s = trio.current_time()
    await trio.sleep(5)
    assert callers.served_share(healed_s - 0.2, healed_s + 2.0) > 0.95
