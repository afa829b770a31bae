"""Guards against jobs lost to the slowdown far from their data.

Deployments A and B of docs/design/hard-load.md: a task takes three or two
times as long outside its preferred rack, and some seconds long most jobs of a
kind prefer one rack.
"""

import math
import random

import pytest

from orioleloom import dispatch
from orioleloom_standins import leased

QUEUE = dispatch.Queue('short', 'pool', 0, 3, 1.6, 0.063)
# Two tasks fit on a worker.
ROOM = dispatch.Resources(16_000, 64)


def start_site(remote_factor=3.0, near_speed=1.0, far_speed=1.6):
    workers = leased.heavy_workers(16)
    for number, worker in enumerate(workers):
        worker.speed = near_speed if number < 8 else far_speed
    world = leased.World(workers, random.Random(1))
    world.remote_factor = remote_factor
    world.settings = dispatch.Settings(remote_factor=remote_factor)
    side = world.start_dispatcher()
    world.run_until(0.1)
    for worker in side.dispatcher.workers.values():
        is_near = 'r0' in worker.info.labels
        speed = near_speed if is_near else far_speed
        worker.log_run_time_ratio = -math.log(speed)
    side.dispatcher.placement.refresh_workers(world.now_s)
    return world, side


def submit(world, side, number, n_tasks, run_s, rack='r0'):
    step = dispatch.Step(n_tasks, ROOM, run_s, preferred_rack=rack)
    job = dispatch.Job(f'{number:016x}', QUEUE, '', (step,))
    world.declare(job, [run_s] * n_tasks)
    side.submit(job, deadline_s=world.now_s + 1.58)
    return job


def starts(side):
    counters = side.dispatcher.counters
    return counters['starts_near'], counters['starts_far']


def test_far_start_is_not_learned_as_a_slow_worker():
    """Without the factor each far run teaches a ratio three times as high."""
    world, side = start_site()
    before = {
        w.id: w.run_time_ratio() for w in side.dispatcher.workers.values()
    }
    submit(world, side, 1, 30, 0.06)
    world.run_until(1.0)
    assert starts(side)[1] > 0
    for worker in side.dispatcher.workers.values():
        ratio = worker.run_time_ratio() / before[worker.id]
        assert 0.8 < ratio < 1.25
    assert side.dispatcher.counters['runs_moved'] == 0
    expected_s = side.dispatcher.run_times.expected_s('short', 0.06)
    assert expected_s == pytest.approx(0.06, rel=0.25)


def test_task_waits_for_its_rack_if_far_runs_are_too_slow():
    """A far run would take 0.5 s, the objective is 0.38 s.

    Without the factor in the limit the waiting tasks start far at once.
    """
    world, side = start_site(far_speed=1.2)
    submit(world, side, 1, 16, 0.05)
    submit(world, side, 2, 8, 0.2)
    world.run_until(1.5)
    assert starts(side) == (24, 0)
    assert len(side.outcomes) == 2


def test_hot_rack_does_not_hold_its_jobs_until_they_fail():
    """Ten times the work that the rack can do in time prefers it."""
    world, side = start_site()
    for number in range(12):
        submit(world, side, number, 8, 0.06)
    world.run_until(2.5)
    near, far = starts(side)
    assert near and far
    completed = [
        outcome
        for outcome, _ in side.outcomes.values()
        if outcome.kind is dispatch.OutcomeKind.COMPLETED
    ]
    assert len(completed) > 9


def test_far_tasks_start_after_those_that_are_near():
    """A far run takes three times the capacity for the same value.

    In the order of the latest starts the job of the hot rack comes first.
    """
    world, side = start_site()
    for number, rack in enumerate(['r0', 'r0', 'r1', 'r1']):
        step = dispatch.Step(18, ROOM, 0.06, preferred_rack=rack)
        job = dispatch.Job(f'{number:016x}', QUEUE, '', (step,))
        world.declare(job, [0.06] * 18)
        side.dispatcher.submit(
            job,
            'e1',
            arrived_s=world.now_s,
            deadline_s=world.now_s + 1.58,
            now_s=world.now_s,
        )
    side.carry_out()
    near, far = starts(side)
    assert near == 36 and far == 0


def test_rack_is_a_mere_preference_without_the_setting():
    """Guards earlier deployments, whose settings do not name the factor."""
    world, side = start_site(remote_factor=1.0)
    submit(world, side, 1, 24, 0.06)
    near, far = starts(side)
    assert near == 18 and far == 6
