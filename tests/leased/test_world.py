"""The stand-ins' check that no task has two runs at the same time."""

import pytest
import trio

from orioleloom import dispatch
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)


def _find_violations(group):
    matching, _ = group.split(leased.Violation)
    return matching


async def _start_one_task_on_two_workers():
    async with trio.open_nursery() as nursery:
        fleet = leased.new_fleet(
            nursery, ['dc0', 'dc1'], workers=leased.site_workers(6)
        )
        fleet.start()
        await trio.sleep(2)
        (leader_id,) = fleet.leaders()
        leader = fleet.nodes[leader_id].leader
        job = dispatch.Job(
            'a' * 16,
            QUEUE,
            'payload',
            (dispatch.Step(1, dispatch.Resources(6_800, 64), 1.0),),
        )
        fleet.world.declare(job, [1.0])
        for worker_id in ('w0', 'w1'):
            leader._start_task(
                'start',
                leader._start_run,
                dispatch.StartRun(
                    fleet.workers[worker_id].info,
                    dispatch.TaskKey(job.id, 0, 0),
                    1,
                    'payload',
                    leader.dispatcher.token,
                    1_000_000,
                ),
            )
        await trio.sleep(1)
        nursery.cancel_scope.cancel()


async def test_second_run_ends_the_simulation(autojump_clock):
    """Guards against a check that cannot fail.

    The instances catch and log unexpected errors, and once logged this one.
    """
    with pytest.raises(BaseExceptionGroup) as info:
        await _start_one_task_on_two_workers()
    assert _find_violations(info.value) is not None
