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


async def run_with_late_start(nursery, monkeypatch):
    """Run a task on one worker whose first start went to another one.

    That start is carried out :data:`DELAY_S` after the task was submitted, at
    a follower.

    :returns: the fleet, the worker that runs the task, the other one and when
        the task was submitted
    """
    monkeypatch.setattr(_disrupted, '_LATE_DELAY_RANGE_S', (DELAY_S, DELAY_S))
    leased.seed_scheduler(1)
    fleet = _disrupted.DisruptedFleet(
        nursery,
        leased.site_workers(2),
        ['dc0', 'dc0', 'dc0'],
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
    follower_id = min(fleet.nodes.keys() - {leader_id})
    fleet.submit(follower_id, JOB, [20.0], deadline_s=40.0)
    await trio.sleep(0.01)
    for worker in fleet.workers.values():
        worker.late_share = 0.0
    dispatcher = fleet.nodes[leader_id].leader.dispatcher
    (late,) = [w for w in dispatcher.workers.values() if w.runs]
    late.suspend(submitted_s)
    await trio.sleep(1.0)
    (running,) = [w for w in fleet.workers.values() if w.runs]
    assert running.info.id != late.id
    return fleet, running, fleet.workers[late.id], submitted_s


@pytest.mark.parametrize('list_lag_s', [0.0, 0.8])
async def test_late_start_shortly_after_a_restart(
    nursery, autojump_clock, monkeypatch, list_lag_s
):
    """The leader learns of the restart by the list, which may lag behind.

    The worker has no runs, so that the leader does not poll it.
    """
    fleet, running, late, submitted_s = await run_with_late_start(
        nursery, monkeypatch
    )
    await trio.sleep_until(submitted_s + DELAY_S - 0.5)
    late.restart(trio.current_time())
    fleet.call_after(
        list_lag_s,
        lambda: fleet.store.put('workers', late.info.id, late.info),
    )
    # A second run would end the simulation with a violation.
    await trio.sleep(3)
    assert running.runs


@pytest.mark.parametrize('is_listed', [True, False])
async def test_late_start_of_an_earlier_leader(
    nursery, autojump_clock, monkeypatch, is_listed
):
    """The next leader sends nothing to a worker that has left the list.

    It restarts out of reach of the store and knows no token of that leader.
    """
    fleet, running, late, submitted_s = await run_with_late_start(
        nursery, monkeypatch
    )
    if not is_listed:
        fleet.store.put('workers', late.info.id, None)
    await trio.sleep(0.3)
    (leader_id,) = fleet.leaders()
    fleet.kill(leader_id)
    await trio.sleep_until(submitted_s + DELAY_S - 1.0)
    assert len(fleet.leaders()) == 1
    late.restart(trio.current_time())
    if is_listed:
        fleet.store.put('workers', late.info.id, late.info)
    # A second run would end the simulation with a violation.
    await trio.sleep(3)
    assert running.runs
