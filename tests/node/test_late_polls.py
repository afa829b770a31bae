"""A poll that is carried out seconds late, by the next life of its worker.

On the new clock of the worker the end of the lease that the poll carries lies
far ahead, so that it renews the leases there without the leader's knowledge.
It is not known whether the platform carries a command out after a restart.
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
# A task that takes this long and starts when its worker has restarted ends
# shortly before the late poll is carried out.
WORK_S = DELAY_S - 1.0


async def start_fleet(nursery, monkeypatch, is_late_after_restart):
    monkeypatch.setattr(_disrupted, '_LATE_DELAY_RANGE_S', (DELAY_S, DELAY_S))
    leased.seed_scheduler(1)
    fleet = _disrupted.DisruptedFleet(
        nursery,
        leased.site_workers(2),
        ['dc0', 'dc0'],
        random_state=random.Random(1),
    )
    for worker in fleet.workers.values():
        worker.speed = 1.0
    fleet.late_after_restart = is_late_after_restart
    fleet.store.put('routing', 'config', node.Routing(1, ()))
    fleet.start()
    await trio.sleep(20)
    return fleet


async def submit_on_one_worker(fleet, job, work_s):
    """Return the worker that runs a job; the other one takes no runs."""
    (leader_id,) = fleet.leaders()
    fleet.submit(leader_id, job, [work_s], deadline_s=60.0)
    await trio.sleep(0.05)
    (running,) = [w for w in fleet.workers.values() if w.runs]
    (other,) = [w for w in fleet.workers.values() if not w.runs]
    dispatcher = fleet.nodes[leader_id].leader.dispatcher
    dispatcher.workers[other.info.id].suspended_until_s = 1e6
    return running


async def leave_one_poll_unanswered(fleet, worker):
    """Let a poll be carried out late; return when the leader notices."""
    (leader_id,) = fleet.leaders()
    dispatcher = fleet.nodes[leader_id].leader.dispatcher
    worker.late_share = 1.0
    while not dispatcher.workers[worker.info.id].n_missed_responses:
        await trio.sleep(0.001)
    worker.late_share = 0.0
    return trio.current_time()


def cut(fleet, worker):
    fault = _disrupted.LinkFault(
        frozenset(fleet.nodes),
        frozenset([worker.info.id]),
        _disrupted.LinkState.CUT,
    )
    fleet.network.faults.append(fault)
    return fault


@pytest.mark.parametrize('is_late_after_restart', [False, True])
async def test_late_poll_after_a_restart(
    nursery, autojump_clock, monkeypatch, is_late_after_restart
):
    """The worker restarts, runs the task again and is lost.

    The late poll reaches it then. Guards against a second run that begins
    when the leases end that the leader knows of.
    """
    fleet = await start_fleet(nursery, monkeypatch, is_late_after_restart)
    lost = await submit_on_one_worker(fleet, JOB, 20.0)
    noticed_s = await leave_one_poll_unanswered(fleet, lost)
    await trio.sleep(0.5)
    lost.restart(trio.current_time())
    fleet.store.put('workers', lost.info.id, lost.info)
    await trio.sleep_until(noticed_s + DELAY_S - 0.9)
    assert lost.runs
    cut(fleet, lost)
    (leader_id,) = fleet.leaders()
    (other_id,) = fleet.workers.keys() - {lost.info.id}
    dispatcher = fleet.nodes[leader_id].leader.dispatcher
    dispatcher.workers[other_id].suspended_until_s = 0.0
    # A second run would end the simulation with a violation.
    await trio.sleep(DELAY_S)
    assert fleet.workers[other_id].runs


@pytest.mark.parametrize('is_late_after_restart', [False, True])
async def test_end_that_a_late_poll_acknowledges(
    nursery, autojump_clock, monkeypatch, is_late_after_restart
):
    """The late poll reaches the next life while the leader does not.

    It acknowledges an end of the earlier life, and the worker forgets the
    first end of the next one. Guards against a task that starts again after
    it was done.
    """
    fleet = await start_fleet(nursery, monkeypatch, is_late_after_restart)
    (leader_id,) = fleet.leaders()
    dispatcher = fleet.nodes[leader_id].leader.dispatcher
    first = JOB._replace(id='b' * 16)
    worker = await submit_on_one_worker(fleet, first, 0.1)
    await trio.sleep(0.5)
    assert fleet.outcomes[first.id].kind is dispatch.OutcomeKind.COMPLETED
    assert dispatcher.workers[worker.info.id].acked_through == 1
    assert worker is await submit_on_one_worker(fleet, JOB, WORK_S)
    noticed_s = await leave_one_poll_unanswered(fleet, worker)
    await trio.sleep(0.5)
    worker.restart(trio.current_time())
    fleet.store.put('workers', worker.info.id, worker.info)
    await trio.sleep_until(noticed_s + DELAY_S - 0.7)
    assert worker.runs
    fault = cut(fleet, worker)
    await trio.sleep_until(noticed_s + DELAY_S)
    worker.advance(trio.current_time())
    assert not worker.runs
    fleet.network.faults.remove(fault)
    await trio.sleep(DELAY_S + WORK_S)
    starts = [
        start
        for start in fleet.starts
        if start.key.job_id == JOB.id and start.time_s > noticed_s
    ]
    assert len(starts) == 1
    assert fleet.outcomes[JOB.id].kind is dispatch.OutcomeKind.COMPLETED
