"""Tests of what is learned about queues that slow each other down.

Load: tasks of one queue take 1.5 times as long beside those of another, with
a spread of 0.45 in the logarithm and workers of different speeds.
"""

import math
import random

import pytest

from orioleloom import dispatch
from orioleloom.dispatch import _interference
from orioleloom.dispatch import _workers
from tests.dispatch import test_dispatcher


class Replay:
    """Runs of ``a`` on three workers, beside ``b``, ``c`` or nothing."""

    def __init__(self, seed=1, neighbours=('b', 'c', None)):
        self.rng = random.Random(seed)
        self.neighbours = neighbours
        self.interference = _interference.Interference()
        self.workers = [
            _workers.Worker(test_dispatcher.worker_info(f'w{n}'))
            for n in range(3)
        ]
        self.now_s = 0.0
        self.changes = []

    def add_run(self, queue, worker, number):
        run = _workers.Run(
            dispatch.TaskKey(queue, 0, number),
            1,
            worker,
            dispatch.Resources(1),
            queue,
            self.now_s,
            0.1,
        )
        worker.add_run(run)
        return run

    def end(self, run, elapsed_s):
        self.interference.record_end(run, self.now_s)
        run.worker.remove_run(run)
        self.interference.observe(
            run, math.log(elapsed_s / 0.1), elapsed_s, self.now_s
        )

    def run(self, n_runs, factors):
        """Replay runs; ``factors`` is the slowdown by neighbour."""
        for number in range(n_runs):
            index = number % 3
            worker = self.workers[index]
            name = self.rng.choice(self.neighbours)
            neighbour = name and self.add_run(name, worker, number)
            run = self.add_run('a', worker, number)
            elapsed_s = 0.1 * (0.6, 1.0, 1.6)[index]
            elapsed_s *= math.exp(self.rng.gauss(0.0, 0.45))
            elapsed_s *= factors.get(name, 1.0)
            run.started_s = self.now_s
            self.now_s += elapsed_s
            self.end(run, elapsed_s)
            if neighbour:
                self.end(neighbour, elapsed_s)
            self.changes += self.interference.update(self.now_s)


def test_pair_that_interferes_is_learned():
    replay = Replay()
    replay.run(1000, {'b': 1.5})
    interference = replay.interference
    assert interference.factor('a', ['b']) == pytest.approx(1.5, rel=0.15)
    assert interference.factor('a', ['c', 'c']) == 1.0
    assert interference.factor('b', ['a']) == 1.0
    assert [change.is_interfering for change in replay.changes] == [True]


@pytest.mark.parametrize('seed', range(1, 6))
def test_nothing_is_learned_without_interference(seed):
    """False pairs would keep work from the fastest workers."""
    replay = Replay(seed)
    replay.run(3000, {})
    assert replay.changes == []


def test_pair_that_stops_interfering_is_forgotten():
    """A pair is relearned after a change of the tasks' programs."""
    replay = Replay()
    replay.run(1000, {'b': 1.5})
    replay.run(2500, {})
    assert [change.is_interfering for change in replay.changes] == [
        True,
        False,
    ]
    assert replay.interference.factor('a', ['b']) == 1.0


def test_pair_is_forgotten_without_results():
    """Placement keeps the pair apart, so that no results follow."""
    replay = Replay()
    replay.run(1000, {'b': 1.5})
    for _ in range(600):
        replay.now_s += 1.0
        replay.changes += replay.interference.update(replay.now_s)
    assert replay.interference.factor('a', ['b']) == 1.0


def test_full_fleet():
    """Each run has a neighbour: there are no runs alone to compare with."""
    replay = Replay(neighbours=('b', 'c'))
    replay.run(2000, {'b': 1.5})
    assert 1.1 < replay.interference.factor('a', ['b']) < 1.6
    assert replay.interference.factor('a', ['c']) == 1.0


def test_short_neighbour_hardly_counts():
    """A run of 0.9 s is not slowed down by one that is there for 60 ms."""
    replay = Replay()
    worker = replay.workers[0]
    long_run = replay.add_run('a', worker, 0)
    replay.now_s = 0.84
    short_run = replay.add_run('b', worker, 0)
    replay.now_s = 0.9
    replay.interference.record_end(long_run, replay.now_s)
    assert long_run.beside_s == {'b': pytest.approx(0.06)}
    assert short_run.beside_s == {'a': pytest.approx(0.06)}


def test_number_of_queues_is_bounded():
    """Queue names come from the configuration; memory must not grow."""
    replay = Replay()
    for number in range(200):
        run = replay.add_run(f'q{number}', replay.workers[0], number)
        replay.now_s += 0.001
        replay.end(run, 0.1)
    assert len(replay.interference._regressions) <= 32


def test_summary_compares_runs_alone_and_beside_others():
    """An engineer must see in the log whether tasks slow each other down."""
    replay = Replay()
    replay.interference.take_summary(0.0)
    replay.run(400, {'b': 2.0, 'c': 2.0})
    summary = replay.interference.take_summary(replay.now_s)
    row = summary['queues']['a']
    assert row['beside']['mean'] - row['alone']['mean'] > 0.5
    assert row['beside']['n'] > row['alone']['n'] > 50
    assert row['alone']['error'] < 0.1
    assert summary['pairs']['a/b'][0] > 1.4
    assert replay.interference.take_summary(replay.now_s + 4.9) is None


def new_fleet(is_interfering=True, **options):
    """Two workers; the first is faster and has a run of ``other``."""
    fleet = test_dispatcher.Harness(
        'w1',
        'w2',
        settings=dispatch.Settings(learns_interference=True),
        **options,
    )
    other = test_dispatcher.QUEUE._replace(name='other')
    step = dispatch.Step(1, dispatch.Resources(6_800, 64), 0.2)
    fleet.submit(dispatch.Job('f' * 16, other, '', (step,)))
    (start,) = fleet.starts()
    assert start.worker.id == 'w1'
    fleet.accept(start)
    fleet.dispatcher.workers['w2'].log_run_time_ratio = math.log(1.2)
    fleet.dispatcher.placement.refresh_workers(fleet.now_s)
    if is_interfering:
        fleet.dispatcher.interference.log_factors['check'] = {
            'other': math.log(1.5)
        }
    return fleet


@pytest.mark.parametrize(
    'is_interfering, worker_id', [(False, 'w1'), (True, 'w2')]
)
def test_placement_avoids_an_interfering_neighbour(is_interfering, worker_id):
    fleet = new_fleet(is_interfering)
    fleet.submit(test_dispatcher.one_step_job())
    assert [start.worker.id for start in fleet.starts()] == [worker_id]


def test_much_slower_worker_is_no_alternative():
    """Interference of 1.5 is better than a worker of half the speed."""
    fleet = new_fleet()
    fleet.dispatcher.workers['w2'].log_run_time_ratio = math.log(2.0)
    fleet.dispatcher.placement.refresh_workers(fleet.now_s)
    fleet.submit(test_dispatcher.one_step_job())
    assert [start.worker.id for start in fleet.starts()] == ['w1']


def test_no_capacity_is_left_idle_because_of_interference():
    """A full fleet: the last place is used, whatever runs beside it."""
    fleet = new_fleet()
    fleet.submit(test_dispatcher.one_step_job(n_tasks=3))
    workers = sorted(start.worker.id for start in fleet.starts())
    assert workers == ['w1', 'w2', 'w2']


def test_off_by_default():
    harness = test_dispatcher.Harness('w1')
    assert harness.dispatcher.interference is None
    assert harness.dispatcher.state(harness.now_s)['interference'] is None


def test_ends_of_runs_reach_the_learner():
    """Guards against a dispatcher that learns nothing or logs nothing."""
    fleet = test_dispatcher.Harness(
        'w1', settings=dispatch.Settings(learns_interference=True)
    )
    number = 0
    logs = []
    for index in range(30):
        fleet.submit(test_dispatcher.one_step_job(f'{index:016x}'))
        (start,) = fleet.starts()
        fleet.accept(start)
        fleet.now_s += 0.2
        number += 1
        fleet.end(start, number=number)
        fleet.dispatcher.tick(fleet.now_s)
        logs += [
            effect
            for effect in fleet.effects(dispatch.LogDecision)
            if effect.name == 'interference_summary'
        ]
    assert fleet.dispatcher.state(fleet.now_s)['interference']['n_results'] > 0
    assert len(logs) == 1
