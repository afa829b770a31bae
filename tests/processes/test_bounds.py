"""Resource and time bounds with the default poll intervals."""

import collections
import time

import pytest
import trio

from orioleloom_standins import audit
from tests.processes import support

pytestmark = pytest.mark.processes

IDLE_PERIOD_S = 5.0
# Limits of F7 for an idle instance.
MAX_RESIDENT_BYTES = 128_000_000
MAX_PROCESSOR_SHARE = 0.013
MAX_CONTROL_BYTES_PER_S = 5_000


@pytest.fixture(scope='module')
def fleet():
    """A fleet with default settings except a shorter join hold."""
    with support.running(entry_flags=('--join-hold-s=0.5',)) as started:
        yield started


async def test_an_idle_instance_stays_small(fleet):
    # Guards F7: memory, CPU time and control traffic of an idle instance.
    # TCP and IP headers are not counted.
    with trio.fail_after(5):
        while True:
            states = [await fleet.state(i) for i in fleet.entry_urls]
            if not any(s['engine']['writes_waiting'] for s in states):
                break
            await trio.sleep(0.05)
    processes = {i: fleet.processes[i] for i in fleet.entry_urls}
    used_s = {i: p.cpu_time_s() for i, p in processes.items()}
    peer_bytes = {i: await count_peer_bytes(fleet, i) for i in processes}
    platform_bytes = await count_platform_bytes(fleet)
    start_s = time.monotonic()
    await trio.sleep(IDLE_PERIOD_S)
    period_s = time.monotonic() - start_s
    # All instances poll at the same rate, so the mean holds for each.
    platform_bytes = await count_platform_bytes(fleet) - platform_bytes
    platform_bytes /= len(processes)
    for entry_id, process in processes.items():
        share = (process.cpu_time_s() - used_s[entry_id]) / period_s
        n_bytes = await count_peer_bytes(fleet, entry_id)
        n_bytes += platform_bytes - peer_bytes[entry_id]
        resident_bytes = process.resident_bytes()
        print(
            f'{entry_id}: {resident_bytes / 2**20:.1f} MiB, '
            f'{share:.2%} of a core, {n_bytes / period_s:.0f} bytes/s'
        )
        assert resident_bytes < MAX_RESIDENT_BYTES
        assert share < MAX_PROCESSOR_SHARE
        assert 0 < n_bytes / period_s < MAX_CONTROL_BYTES_PER_S


async def count_peer_bytes(fleet, entry_id):
    answer = await fleet.request(
        'GET', fleet.entry_urls[entry_id] + '/metrics'
    )
    names = [f'orioleloom_peer_{n}_bytes_total' for n in ('sent', 'received')]
    found = [
        float(line.rpartition(' ')[2])
        for line in answer.text.splitlines()
        if line.partition(' ')[0].partition('{')[0] in names
    ]
    assert len(found) == len(names), answer.text
    return sum(found)


async def count_platform_bytes(fleet):
    counters = await fleet.platform_counters()
    return counters['received_bytes'] + counters['sent_bytes']


async def test_a_leaving_worker_gets_no_new_work(fleet):
    # Guards R6: no task starts on a worker more than 3 s after the member
    # list shows it as leaving, and all jobs complete on other workers.
    async with support.make_client(fleet) as connection:
        async with trio.open_nursery() as nursery:
            load = support.make_load(fleet, connection, rate_per_s=40)
            await nursery.start(load.run)
            await trio.sleep(0.5)
            await fleet.list_as('plant0', 'leaving')
            leaving = audit.Leaving('plant0', time.monotonic())
            await trio.sleep(audit.LEAVING_GRACE_S + 0.7)
            load.stop()
    ledger = await fleet.ledger()
    # The worker ran tasks before, so the audit has starts to check.
    assert any(entry.worker == 'plant0' for entry in ledger)
    assert await fleet.audit(leaving=[leaving]) == []
    assert all(outcome.complete for outcome in load.outcomes)
    await fleet.list_as('plant0', 'live')


async def test_a_contract_change_reaches_all_instances(fleet):
    # Guards R8: a change is in force on all instances within 5 s, and no
    # instance returns to an older version.
    observations = []
    version = await fleet.contract_version(
        support.SPECS[0].id, support.CUSTOMER
    )
    for number, spec in enumerate(support.SPECS):
        answer = await fleet.put_contract(
            spec.id,
            support.CUSTOMER,
            {**support.CONTRACT, 'weight': 1.5 + number},
            version,
        )
        assert answer.status_code == 200, answer.text
        version = answer.json()['version']
        with trio.fail_after(5):
            behind = set(fleet.entry_urls)
            while behind:
                for entry_id in fleet.entry_urls:
                    found = await fleet.contract_version(
                        entry_id, support.CUSTOMER
                    )
                    observations.append(
                        audit.ContractObservation(
                            entry_id,
                            support.CUSTOMER,
                            found,
                            time.monotonic(),
                        )
                    )
                    if found >= version:
                        behind.discard(entry_id)
    assert await fleet.audit(observations) == []


async def test_the_slower_of_two_operators_gets_a_conflict(fleet):
    # Guards R8 against a lost update: of concurrent changes based on the
    # same version one succeeds, and the error of the others names the
    # expected and the current version.
    version = await fleet.contract_version(
        support.SPECS[0].id, support.CUSTOMER
    )
    answers = []

    async def put(entry_id, weight):
        answers.append(
            await fleet.put_contract(
                entry_id,
                support.CUSTOMER,
                {**support.CONTRACT, 'weight': weight},
                version,
            )
        )

    async with trio.open_nursery() as nursery:
        for number, spec in enumerate(support.SPECS):
            nursery.start_soon(put, spec.id, 2.0 + number)
    statuses = collections.Counter(a.status_code for a in answers)
    assert statuses == {200: 1, 409: len(answers) - 1}
    for answer in answers:
        if answer.status_code == 409:
            error = answer.json()['error']
            assert error['code'] == 'contract_conflict'
            assert f'version {version},' in error['message']
            assert f'version {version + 1}' in error['message']
    await fleet.wait_contract(support.CUSTOMER, version + 1, timeout_s=5)
    assert await fleet.audit() == []


async def test_a_lowered_limit_is_obeyed_everywhere(fleet):
    # Guards R8 and R10: from 5 s after the change, the tasks running on
    # all instances together stay within the new in-flight limit.
    limit = 5
    version = await fleet.contract_version(
        support.SPECS[0].id, support.CUSTOMER
    )
    async with support.make_client(fleet) as connection:
        async with trio.open_nursery() as nursery:
            load = support.make_load(
                fleet,
                connection,
                rate_per_s=25,
                work_ms=(100, 300),
                deadline_ms=20_000,
            )
            await nursery.start(load.run)
            await trio.sleep(1.0)
            answer = await fleet.put_contract(
                support.SPECS[1].id,
                support.CUSTOMER,
                {**support.CONTRACT, 'in_flight': limit},
                version,
            )
            assert answer.status_code == 200
            in_force_s = time.monotonic() + 5.0
            await trio.sleep(6.5)
            load.stop()
            raised = await fleet.put_contract(
                support.SPECS[1].id,
                support.CUSTOMER,
                support.CONTRACT,
                version + 1,
            )
            raised_s = time.monotonic()
            assert raised.status_code == 200
    assert await fleet.audit() == []
    ledger = await fleet.ledger()
    assert max_running_between(ledger, 0.0, in_force_s - 5.0) > limit
    assert 0 < max_running_between(ledger, in_force_s, raised_s - 0.5) <= limit


def max_running_between(ledger, begin_s, end_s):
    """Return the maximum number of running tasks in an interval."""
    running = peak = 0
    for entry in sorted(ledger, key=lambda e: (e.time_s, e.event == 'start')):
        running += 1 if entry.event == 'start' else -1
        if begin_s <= entry.time_s <= end_s:
            peak = max(peak, running)
    return peak


async def test_a_worker_that_fails_everything_is_fenced(fleet):
    # Guards F10: at most 16 tasks start on a failing worker before all
    # instances have it in quarantine.
    failing = 'plant2'
    async with support.make_client(fleet) as connection:
        async with trio.open_nursery() as nursery:
            load = support.make_load(
                fleet, connection, rate_per_s=40, work_ms=support.BUSY_WORK_MS
            )
            await nursery.start(load.run)
            await trio.sleep(1.0)
            await fleet.worker_fault(failing, 'fail_all', 3600)
            await support.wait_workers(
                fleet,
                lambda workers: workers[failing]['condition'] == 'quarantined',
            )
            fenced_s = time.monotonic()
            await trio.sleep(0.5)
            load.stop()
    ledger = await fleet.ledger()
    n_failed = sum(
        entry.event == 'failed'
        and entry.worker == failing
        and entry.time_s <= fenced_s
        for entry in ledger
    )
    assert 0 < n_failed <= 16
    assert await fleet.audit() == []
    codes = {outcome.code for outcome in load.outcomes}
    assert codes == {'complete', 'task_failed'}
    await fleet.worker_fault(failing, 'fail_all', 0)
