"""A start that is carried out seconds late, by the next life of its worker.

The worker has forgotten the stop that was to prevent it and the highest token,
and on its new clock the expiry of the lease lies far ahead. It is not known
whether the platform carries a command out after a restart.
"""

import random

import pytest
import trio

from orioleloom import dispatch
from orioleloom import node
from orioleloom_standins import leased
from orioleloom_standins.leased import _disrupted

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
JOB = dispatch.Job(
    'a' * 16,
    QUEUE,
    'payload',
    (dispatch.Step(1, dispatch.Resources(6_800, 64), 20.0),),
)
DELAY_S = 4.0


@pytest.mark.parametrize('is_late_after_restart', [False, True])
async def test_late_start_after_a_restart(
    nursery, autojump_clock, is_late_after_restart
):
    leased.seed_scheduler(1)
    fleet = _disrupted.DisruptedFleet(
        nursery,
        leased.site_workers(2),
        ['dc0', 'dc0'],
        random_state=random.Random(1),
    )
    fleet.late_after_restart = is_late_after_restart
    fleet.store.put('routing', 'config', node.Routing(1, ()))
    fleet.start()
    await trio.sleep(20)
    (leader_id,) = fleet.leaders()
    for worker in fleet.workers.values():
        worker.late_share = 1.0
    fleet.submit(leader_id, JOB, [20.0], deadline_s=40.0)
    await trio.sleep(0.01)
    for worker in fleet.workers.values():
        worker.late_share = 0.0
    dispatcher = fleet.nodes[leader_id].leader.dispatcher
    (late,) = [w for w in dispatcher.workers.values() if w.runs]
    # The task starts again on the other worker.
    late.suspend(trio.current_time())
    await trio.sleep(1.0)
    (running,) = [w for w in fleet.workers.values() if w.runs]
    assert running.info.id != late.id
    restarted = fleet.workers[late.id]
    restarted.restart(trio.current_time())
    fleet.store.put('workers', late.id, restarted.info)
    # A second run would end the simulation with a violation.
    await trio.sleep(13)
    assert running.runs


@pytest.mark.parametrize('list_lag_s', [0.0, 0.8])
async def test_late_start_shortly_after_a_restart(
    nursery, autojump_clock, monkeypatch, list_lag_s
):
    """The leader learns of the restart by the list, which may lag behind.

    The worker has no runs, so that the leader does not poll it.
    """
    monkeypatch.setattr(_disrupted, '_LATE_DELAY_RANGE_S', (DELAY_S, DELAY_S))
    leased.seed_scheduler(1)
    fleet = _disrupted.DisruptedFleet(
        nursery,
        leased.site_workers(2),
        ['dc0', 'dc0'],
        random_state=random.Random(1),
    )
    fleet.late_after_restart = True
    fleet.store.put('routing', 'config', node.Routing(1, ()))
    fleet.start()
    await trio.sleep(20)
    (leader_id,) = fleet.leaders()
    for worker in fleet.workers.values():
        worker.late_share = 1.0
    submitted_s = trio.current_time()
    fleet.submit(leader_id, JOB, [20.0], deadline_s=40.0)
    await trio.sleep(0.01)
    for worker in fleet.workers.values():
        worker.late_share = 0.0
    dispatcher = fleet.nodes[leader_id].leader.dispatcher
    (late,) = [w for w in dispatcher.workers.values() if w.runs]
    late.suspend(submitted_s)
    await trio.sleep_until(submitted_s + DELAY_S - 0.5)
    (running,) = [w for w in fleet.workers.values() if w.runs]
    assert running.info.id != late.id
    restarted = fleet.workers[late.id]
    restarted.restart(trio.current_time())
    fleet.call_after(
        list_lag_s,
        lambda: fleet.store.put('workers', late.id, restarted.info),
    )
    # A second run would end the simulation with a violation.
    await trio.sleep(3)
    assert running.runs
