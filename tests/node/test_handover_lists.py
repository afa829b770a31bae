"""Jobs that are handed over to a leader with another list of workers.

Guards against a second run of a task: the new leader must know every worker
on which the earlier one may have started it, not only those in its own list.
"""

import pytest
import trio

from orioleloom import dispatch
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
ROOM = dispatch.Resources(6_800, 64)
ADDED_IDS = ('w6', 'w7', 'w8')


def make_job(number, n_tasks, work_s):
    return dispatch.Job(
        f'{number:016x}',
        QUEUE,
        'payload',
        (dispatch.Step(n_tasks, ROOM, work_s),),
    )


def check_all_completed(fleet, job_ids):
    kinds = {job_id: fleet.outcomes[job_id].kind for job_id in job_ids}
    assert set(kinds.values()) == {dispatch.OutcomeKind.COMPLETED}, kinds


def new_fleet(nursery, n_workers):
    return leased.new_fleet(
        nursery,
        ['dc0', 'dc0', 'dc1', 'dc2'],
        workers=leased.site_workers(n_workers),
    )


@pytest.mark.parametrize('delay_s', [0.1, 0.5, 1.0, 1.5])
async def test_workers_whose_entries_lapsed(nursery, autojump_clock, delay_s):
    """They lost contact to the store and run on, and the leader dies."""
    fleet = new_fleet(nursery, 6)
    fleet.start()
    await trio.sleep(2)
    (leader_id,) = fleet.leaders()
    others = [name for name in sorted(fleet.nodes) if name != leader_id]
    jobs = [make_job(number, 2, 3.0) for number in range(4)]
    for number, job in enumerate(jobs):
        fleet.submit(others[number % 3], job, [3.0] * 2, deadline_s=9.0)
    await trio.sleep(0.3)
    used_ids = sorted({start.worker_id for start in fleet.starts})
    for worker_id in used_ids[:2]:
        fleet.store.put('workers', worker_id, None)
    await trio.sleep(delay_s)
    fleet.kill(leader_id)
    await trio.sleep(6)
    check_all_completed(fleet, [job.id for job in jobs])


@pytest.mark.parametrize('is_store_rejecting', [False, True])
@pytest.mark.parametrize('delay_s', [0.1, 0.2, 0.3, 0.5, 0.8, 1.2])
async def test_workers_that_were_just_added(
    nursery, autojump_clock, delay_s, is_store_rejecting
):
    """Only the leader has read their entries before it dies."""
    fleet = new_fleet(nursery, 9)
    for worker_id in ADDED_IDS:
        fleet.store.put('workers', worker_id, None)
    fleet.start()
    await trio.sleep(2)
    (leader_id,) = fleet.leaders()
    others = [name for name in sorted(fleet.nodes) if name != leader_id]
    # Jobs of the leader's own callers fill the other workers until it dies.
    fleet.submit(leader_id, make_job(0, 14, 5.0), [5.0] * 14, deadline_s=9.0)
    await trio.sleep(0.1)
    if is_store_rejecting:
        fleet.store.rejected_instances.update(others)
    for worker_id in ADDED_IDS:
        fleet.store.put('workers', worker_id, fleet.workers[worker_id].info)
    jobs = [make_job(number, 2, 2.0) for number in range(1, 4)]
    for job, name in zip(jobs, others, strict=True):
        fleet.submit(name, job, [2.0] * 2, deadline_s=9.0)
    await trio.sleep(delay_s)
    fleet.kill(leader_id)
    await trio.sleep(1)
    fleet.store.rejected_instances.clear()
    await trio.sleep(6)
    check_all_completed(fleet, [job.id for job in jobs])
