"""Leaving workers get no new work (R6)."""

import pytest

from orioleloom import engine
from orioleloom import model
from orioleloom_standins import virtual


def record_send_times(world: virtual.World, worker_id: str) -> list[float]:
    """Return a list to which the time of each send to a worker is added."""
    times: list[float] = []
    carry_out = world.processes.carry_out

    def record_and_carry_out(entry, incarnation, effect):
        if isinstance(effect, engine.SendTasks):
            if effect.worker_id == worker_id:
                times.append(world.now_s)
        carry_out(entry, incarnation, effect)

    world.processes.carry_out = record_and_carry_out
    return times


def submit_steadily(world: virtual.World, duration_s: float) -> None:
    for index in range(int(duration_s / 0.1)):
        world.at(
            0.1 * index,
            lambda index=index: world.submit(f's{index}', [50.0] * 4),
        )


@pytest.mark.parametrize('other_state', [None, 'gone', 'leaving', 'live'])
def test_worker_that_says_leaving_gets_no_new_work(other_state):
    # Guards R6: the list still shows the worker as live for some time.
    # A change of another row must not make the worker eligible again.
    world = virtual.World()
    submit_steadily(world, 10.0)
    world.run_for(2.0)
    reported_at_s = world.now_s
    world.workers.by_id['w0'].set_fault(
        'leave', reported_at_s, duration_s=1000.0
    )
    sent = record_send_times(world, 'w0')
    if other_state is not None:
        spec = world.workers.specs['w2']
        state = model.MemberState(other_state)
        row = spec.member(state)._replace(slots=2)
        world.platform.list_member(row, 3.0)
    world.run_for(20.0)
    assert world.violations() == []
    # Instances learn of it from result lines of tasks in progress and
    # from the next rejection.
    assert [at_s for at_s in sent if at_s > reported_at_s + 1.0] == []


def test_worker_that_comes_back_gets_work_again():
    # Guards against a worker that stays excluded after its restart.
    world = virtual.World()
    submit_steadily(world, 20.0)
    world.run_for(2.0)
    worker = world.workers.by_id['w0']
    worker.set_fault('leave', world.now_s, duration_s=5.0)
    spec = world.workers.specs['w0']
    for lag_s, state in ((2.0, 'leaving'), (6.0, 'live')):
        row = spec.member(model.MemberState(state))
        world.platform.list_member(row, lag_s)
    world.run_for(10.0)
    sent = record_send_times(world, 'w0')
    world.run_for(10.0)
    assert sent != []
    assert world.violations() == []
