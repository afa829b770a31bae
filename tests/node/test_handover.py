"""Orders around a handover between two leaders that are both alive.

Guards against two holders that act at the same time, so that orders go out
twice: each task must start once and each worker must take orders from one
leader at a time.
"""

import collections

import pytest
import trio

from orioleloom import dispatch
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)


def submit_jobs(fleet, first, n_jobs, instance_ids):
    for number in range(first, first + n_jobs):
        job = dispatch.Job(
            f'{number:016x}',
            QUEUE,
            'payload',
            (dispatch.Step(2, dispatch.Resources(6_800, 64), 0.2),),
        )
        fleet.submit(
            instance_ids[number % len(instance_ids)], job, [0.25, 0.15]
        )


@pytest.mark.parametrize('clock_error_s', [0.0, 20.0, -20.0])
async def test_each_task_starts_once(nursery, autojump_clock, clock_error_s):
    """Ten planned handovers under load, also between clocks that differ."""
    fleet = leased.new_fleet(
        nursery, ['dc0', 'dc1', 'dc2', 'dc3'], workers=leased.site_workers()
    )
    for name in ('e1', 'e3'):
        fleet.clock_errors_s[name] = clock_error_s
    fleet.start()
    await trio.sleep(2)
    n_jobs = 0
    for _ in range(10):
        (leader_id,) = fleet.leaders()
        for step in range(10):
            submit_jobs(fleet, n_jobs, 2, sorted(fleet.nodes))
            n_jobs += 2
            if step == 5:
                leader = fleet.nodes[leader_id]
                successor = leader.leader.rank_successors()[-1]
                leader._hand_over_leadership(
                    successor.instance_id, trio.current_time()
                )
            await trio.sleep(0.05)
    await trio.sleep(4)
    kinds = collections.Counter(o.kind for o in fleet.outcomes.values())
    assert kinds == {dispatch.OutcomeKind.COMPLETED: n_jobs}
    accepted = [s for s in fleet.starts if s.rejection is None]
    n_starts = collections.Counter(start.key for start in accepted)
    twice = {key: n for key, n in n_starts.items() if n > 1}
    assert not twice
    # At each worker, the orders of one leader end before the next begin.
    for worker_id in fleet.workers:
        tokens = [s.token for s in accepted if s.worker_id == worker_id]
        assert tokens == sorted(tokens)


async def test_leader_without_contact_and_its_successor(
    nursery, autojump_clock
):
    """Both are alive: the old one only stops to hear from the others.

    It must not start tasks of an instance after the successor has done so.
    """
    fleet = leased.new_fleet(
        nursery,
        ['dc0', 'dc0', 'dc1', 'dc1', 'dc2'],
        workers=leased.site_workers(),
    )
    fleet.start()
    await trio.sleep(2)
    (leader_id,) = fleet.leaders()
    others = [name for name in sorted(fleet.nodes) if name != leader_id]
    for name in others:
        fleet.network.cut(leader_id, name)
    for step in range(60):
        submit_jobs(fleet, 4 * step, 4, others)
        await trio.sleep(0.05)
    await trio.sleep(3)
    owners = {}
    for start in fleet.starts:
        if start.rejection is None:
            owners.setdefault(start.key, []).append(start.instance_id)
    for key, names in owners.items():
        # Once another instance has started a task, the old leader does not.
        if names[0] != leader_id:
            assert leader_id not in names, key
        assert len(names) <= 2, key


async def test_answer_lost_before_an_unplanned_change_of_leader(
    nursery, autojump_clock
):
    """The caller asks elsewhere, and the job must not run again."""
    fleet = leased.new_fleet(
        nursery, ['dc0', 'dc0', 'dc1', 'dc2'], workers=leased.site_workers()
    )
    fleet.start()
    await trio.sleep(2)
    (leader_id,) = fleet.leaders()
    first, second, *_ = [n for n in sorted(fleet.nodes) if n != leader_id]
    submit_jobs(fleet, 0, 4, [first])
    await trio.sleep(0.5)
    assert len(fleet.outcomes) == 4
    n_starts = len(fleet.starts)
    fleet.outcomes.clear()
    fleet.kill(leader_id)
    await trio.sleep(1.3)
    submit_jobs(fleet, 0, 4, [second])
    await trio.sleep(2)
    kinds = collections.Counter(o.kind for o in fleet.outcomes.values())
    assert kinds == {dispatch.OutcomeKind.COMPLETED: 4}
    assert len(fleet.starts) == n_starts
