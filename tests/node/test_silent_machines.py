"""Machines that are only silent for a while keep their running work.

Guards against a worker or an instance that is taken for dead when it is slow
to report: its work would start again elsewhere, or be given up.
"""

import collections

import pytest
import trio

from orioleloom import dispatch
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
N_JOBS = 12


async def run_jobs(nursery, disturb):
    """Run long tasks, disturb the fleet meanwhile, and return it."""
    fleet = leased.new_fleet(
        nursery, ['dc0', 'dc0', 'dc1', 'dc2'], workers=leased.site_workers()
    )
    fleet.start()
    await trio.sleep(2)
    names = sorted(fleet.nodes)
    for number in range(N_JOBS):
        job = dispatch.Job(
            f'{number:016x}',
            QUEUE,
            'payload',
            (dispatch.Step(3, dispatch.Resources(6_800, 64), 1.5),),
        )
        fleet.submit(names[number % 4], job, [1.5] * 3, deadline_s=9.0)
        await trio.sleep(0.03)
    await disturb(fleet)
    await trio.sleep(9)
    return fleet


def check_each_task_started_once(fleet):
    kinds = collections.Counter(o.kind for o in fleet.outcomes.values())
    assert kinds == {dispatch.OutcomeKind.COMPLETED: N_JOBS}
    starts = collections.Counter(
        start.key for start in fleet.starts if start.rejection is None
    )
    assert set(starts.values()) == {1}
    assert len(starts) == 3 * N_JOBS


@pytest.mark.parametrize('silence_s', [0.05, 0.3, 0.6])
@pytest.mark.parametrize('offset_s', [0.0, 0.13, 0.37])
async def test_workers_that_do_not_answer_for_a_while(
    nursery, autojump_clock, silence_s, offset_s
):
    """All workers at once, for less than a lease lasts after a renewal."""

    async def disturb(fleet):
        await trio.sleep(offset_s)
        for worker in fleet.workers.values():
            worker.is_reachable = False
        await trio.sleep(silence_s)
        for worker in fleet.workers.values():
            worker.is_reachable = True

    check_each_task_started_once(await run_jobs(nursery, disturb))


@pytest.mark.parametrize('silence_s', [0.1, 0.4, 0.5])
@pytest.mark.parametrize('is_leader', [True, False])
async def test_instance_that_pauses_for_a_while(
    nursery, autojump_clock, silence_s, is_leader
):
    """A paused leader may lose its office, but no work is done twice."""

    async def disturb(fleet):
        (leader,) = fleet.leaders()
        other = next(n for n in sorted(fleet.nodes) if n != leader)
        fleet.pauses.begin(leader if is_leader else other, silence_s)
        await trio.sleep(silence_s)

    check_each_task_started_once(await run_jobs(nursery, disturb))


async def test_worker_missing_from_the_list_for_a_while(
    nursery, autojump_clock
):
    """Entries lapse while the store is away, although the workers run on."""

    async def disturb(fleet):
        for worker in fleet.workers.values():
            fleet.store.put('workers', worker.info.id, None)
        await trio.sleep(1.0)
        for worker in fleet.workers.values():
            fleet.store.put('workers', worker.info.id, worker.info)

    check_each_task_started_once(await run_jobs(nursery, disturb))
