"""Leases that a second leader renews without the knowledge of the first.

The first leader loses a worker and then the other instances. These elect
another one, which reaches the worker, sees a run that it does not know, and
renews its lease until it has stopped it. Guards against a second run that the
first leader starts when its own renewals have ended.
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
    (dispatch.Step(1, dispatch.Resources(6_800, 64), 3.0),),
)


@pytest.mark.parametrize('delay_s', [0.2, 0.3, 0.4, 0.5, 0.6])
async def test_task_of_a_lost_worker(nursery, autojump_clock, delay_s):
    """The first leader reaches another worker, the second one does not.

    The first stop of the second leader is lost.
    """
    leased.seed_scheduler(1)
    fleet = _disrupted.DisruptedFleet(
        nursery,
        leased.site_workers(2),
        ['dc0', 'dc0', 'dc0'],
        random_state=random.Random(1),
    )
    fleet.store.put('routing', 'config', node.Routing(1, ()))
    fleet.start()
    await trio.sleep(2)
    (leader_id,) = fleet.leaders()
    followers = frozenset(fleet.nodes) - {leader_id}
    fleet.submit(leader_id, JOB, [3.0], deadline_s=9.0)
    await trio.sleep(0.5)
    (lost_id,) = [name for name, w in fleet.workers.items() if w.runs]
    other_ids = frozenset(fleet.workers) - {lost_id}

    def cut(one, other):
        fault = _disrupted.LinkFault(
            frozenset(one), frozenset(other), _disrupted.LinkState.CUT
        )
        fleet.network.faults.append(fault)
        return fault

    cut([leader_id], [lost_id])
    cut(followers, other_ids)
    await trio.sleep(delay_s)
    cut([leader_id], followers)
    while len(fleet.leaders()) < 2:
        await trio.sleep(0.005)
    await trio.sleep(0.25)
    fault = cut(followers, [lost_id])
    await trio.sleep(0.15)
    fleet.network.faults.remove(fault)
    await trio.sleep(6)
    # The worker check has found no second run, and the task was repeated.
    accepted = [s for s in fleet.starts if s.rejection is None]
    assert [s.instance_id for s in accepted] == [leader_id, leader_id]
    assert fleet.outcomes[JOB.id].kind is dispatch.OutcomeKind.COMPLETED
