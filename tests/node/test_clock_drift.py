"""A start that is carried out late by a worker that was idle for long.

Its clock is up to 2 % slow, and the leader has not read it meanwhile, so that
the lease of the start ends later than the leader assumes.
"""

import pytest
import trio

from orioleloom import dispatch
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
JOB = dispatch.Job(
    'a' * 16,
    QUEUE,
    'payload',
    (dispatch.Step(1, dispatch.Resources(6_800, 64), 20.0),),
)


@pytest.mark.parametrize('seed', [1, 2, 3, 4, 5, 6])
@pytest.mark.parametrize('idle_s', [5.0, 200.0])
async def test_late_start_after_a_long_idle_time(
    nursery, autojump_clock, idle_s, seed
):
    """The worker is cut off until its lease has ended for the leader.

    A second run would end the simulation with a violation.
    """
    workers = leased.site_workers(2)
    for worker in workers:
        worker.clock_rate = 0.98
    fleet = leased.new_fleet(
        nursery, ['dc0', 'dc0'], workers=workers, seed=seed
    )
    fleet.start()
    await trio.sleep(3.0 + idle_s)
    (leader_id,) = fleet.leaders()
    for worker in workers:
        worker.late_share = 1.0
    fleet.submit(leader_id, JOB, [20.0], deadline_s=40.0)
    await trio.sleep(0.01)
    dispatcher = fleet.nodes[leader_id].leader.dispatcher
    (late,) = [w for w in dispatcher.workers.values() if w.runs]
    for worker in workers:
        worker.late_share = 0.0
    fleet.network.cut(leader_id, late.id)
    await trio.sleep(1.5)
    fleet.network.heal()
    await trio.sleep(13.0)
