"""Tests of run time estimates and of the decision to move late runs.

Load: 3 tasks in 100 take seven times as long, on workers that may also stall
or slow down.
"""

import math
import random

import pytest

from orioleloom import dispatch
from orioleloom.dispatch import _estimates
from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _tails
from orioleloom.dispatch import _workers
from tests.dispatch import test_dispatcher

LONG_FACTOR = 7.0


def draw_log_ratio(rng, long_share):
    is_long = rng.random() < long_share
    return rng.gauss(0.0, 0.4) + (math.log(LONG_FACTOR) if is_long else 0.0)


def teach(tail, long_share, n_results=2000):
    rng = random.Random(1)
    for _ in range(n_results):
        tail.observe(draw_log_ratio(rng, long_share), 1.0)


class Fleet(test_dispatcher.Harness):
    """Two workers, a queue with known run times of 0.2 s."""

    def __init__(self, long_share=0.0):
        super().__init__('w1', 'w2')
        teach(self.dispatcher.tails.of('check'), long_share)
        self.n_ends = {'w1': 0, 'w2': 0}

    def start_on_w1(self, *job_ids):
        """Start jobs of one task on the first worker only."""
        starts = []
        for job_id in job_ids:
            self.submit(test_dispatcher.one_step_job(job_id * 16))
            (start,) = self.starts()
            self.accept(start)
            starts.append(start)
        assert {start.worker.id for start in starts} == {'w1'}
        return starts

    def wait(self, seconds):
        """Advance the time in ticks; return the ids of stopped jobs."""
        stopped = set()
        for _ in range(round(seconds / 0.05)):
            self.after(0.05)
            for worker in self.dispatcher.workers.values():
                worker.record_lease(1.0, self.now_s)
            stopped.update(
                stop.key.job_id[0] for stop in self.effects(dispatch.StopRun)
            )
        return stopped

    def complete(self, start, running=()):
        worker_id = start.worker.id
        self.n_ends[worker_id] += 1
        self.end(start, number=self.n_ends[worker_id], running=running)


def test_long_task_is_not_moved():
    """A task that is merely long must not be stopped and restarted."""
    fleet = Fleet(long_share=0.03)
    fleet.start_on_w1('a')
    assert not fleet.wait(0.85)
    assert fleet.dispatcher.counters['stragglers'] == 0


def test_only_run_of_a_stalled_worker_is_moved_before_its_last_chance():
    """With a tail, a run that is longer than long tasks is moved."""
    fleet = Fleet(long_share=0.03)
    fleet.start_on_w1('a')
    (job,) = fleet.dispatcher.jobs.values()
    job.useful_until_s = fleet.now_s + 4.5
    assert not fleet.wait(0.9)
    assert fleet.wait(2.5) == {'a'}


def test_stalled_worker_is_found_after_three_times_the_run_time():
    """Without a tail, a stalled worker is found as early as ever."""
    fleet = Fleet()
    fleet.start_on_w1('a')
    assert not fleet.wait(0.55)
    assert fleet.wait(0.2) == {'a'}


def test_second_late_run_shows_that_a_worker_has_stalled():
    """Mixed load: two jobs late on one worker are not both merely long."""
    fleet = Fleet(long_share=0.03)
    fleet.start_on_w1('a', 'b')
    assert fleet.wait(0.8) == {'a', 'b'}


def test_tasks_of_one_job_are_one_piece_of_evidence():
    """A job that declares too little makes all its tasks late at once."""
    fleet = Fleet(long_share=0.03)
    fleet.submit(test_dispatcher.one_step_job('a' * 16, n_tasks=2))
    for start in fleet.starts():
        fleet.accept(start)
    assert not fleet.wait(0.8)


def test_success_on_the_same_worker_clears_a_long_task():
    """A worker that has just ended another run has not stalled."""
    fleet = Fleet()
    late, other = fleet.start_on_w1('a', 'b')
    fleet.wait(0.5)
    fleet.complete(other, running=[late])
    assert not fleet.wait(0.4)


def test_worker_that_stalls_after_a_success_is_found():
    """A success early in a run must not hide a later stall for good."""
    fleet = Fleet()
    late, other = fleet.start_on_w1('a', 'b')
    fleet.wait(0.2)
    fleet.complete(other, running=[late])
    fleet.effects()
    assert not fleet.wait(0.55)
    assert fleet.wait(0.2) == {'a'}


@pytest.mark.parametrize('deadline_s, is_moved', [(0.7, False), (0.95, True)])
def test_run_is_moved_only_if_a_new_one_can_end_in_time(deadline_s, is_moved):
    """A second run that ends after the deadline loses the first for nothing.

    Seen with jobs of about 1 s that were stopped on an idle fleet.
    """
    fleet = Fleet()
    fleet.start_on_w1('a')
    (job,) = fleet.dispatcher.jobs.values()
    job.useful_until_s = fleet.now_s + deadline_s
    assert fleet.wait(0.65) == ({'a'} if is_moved else set())
    assert fleet.dispatcher.counters['stragglers'] == 1


def test_run_is_not_moved_to_a_worker_that_is_as_slow():
    """All workers have slowed down: a new run ends no earlier."""
    fleet = Fleet()
    fleet.start_on_w1('a')
    (job,) = fleet.dispatcher.jobs.values()
    job.useful_until_s = fleet.now_s + 4
    fleet.dispatcher.workers['w2'].log_run_time_ratio = math.log(6.5)
    assert not fleet.wait(0.75)


def test_share_of_long_tasks_is_learned_from_runs_that_were_stopped():
    """Long runs that are stopped must not make long runs seem rare."""
    rng = random.Random(1)
    tail = _tails.RunTimeTail()
    for _ in range(3000):
        log_ratio = draw_log_ratio(rng, 0.03)
        is_stopped = log_ratio > math.log(3.5)
        tail.observe(min(log_ratio, math.log(3.5)), 1.0, is_stopped)
    assert 0.02 < tail.survival(math.log(3.0)) < 0.045


def test_residual_time_grows_with_a_tail():
    """A run of 3 times its time is half done if tasks may take 7 times."""
    light, heavy = _tails.RunTimeTail(), _tails.RunTimeTail()
    teach(light, 0.0)
    teach(heavy, 0.03)
    assert heavy.mean_residual(3.0) > 2.5
    assert light.survival(math.log(3.0)) < 0.01
    assert light.mean_residual(0.5) == pytest.approx(0.6, abs=0.15)


def test_tail_is_forgotten():
    """A queue whose long tasks have ceased is as before after a while."""
    tail = _tails.RunTimeTail()
    teach(tail, 0.03)
    teach(tail, 0.0, 12_000)
    assert tail.survival(math.log(3.0)) < 0.012


def test_long_task_does_not_slow_its_worker():
    """One long task must not keep work from a healthy worker."""
    worker = _workers.Worker(test_dispatcher.worker_info())
    rng = random.Random(1)
    highest = 0.0
    for number in range(400):
        log_ratio = rng.gauss(0.0, 0.2) + 1.95 * (number % 33 == 0)
        worker.observe_run_time(log_ratio, may_be_long=log_ratio > 0.9)
        highest = max(highest, worker.log_run_time_ratio)
    assert highest < 0.3


def test_slow_worker_is_known_after_the_second_result():
    """Two slow results in a row are not both of long tasks."""
    worker = _workers.Worker(test_dispatcher.worker_info())
    for _ in range(10):
        worker.observe_run_time(0.0)
    for _ in range(4):
        worker.observe_run_time(1.87, may_be_long=True)
    assert worker.log_run_time_ratio > 0.5


def test_success_restores_the_speed_that_a_long_task_had_lowered():
    """A worker taken for stalled is used again after one normal result."""
    worker = _workers.Worker(test_dispatcher.worker_info())
    worker.observe_straggler(math.log(5.0))
    assert worker.run_time_ratio() == pytest.approx(5.0)
    assert worker.healthy_run_time_ratio() == 1.0
    worker.observe_run_time(0.1)
    assert worker.run_time_ratio() < 1.1


def test_slow_result_confirms_a_slow_worker():
    worker = _workers.Worker(test_dispatcher.worker_info())
    worker.observe_straggler(math.log(3.0))
    worker.observe_run_time(math.log(6.5))
    assert worker.run_time_ratio() > 3.0


def test_estimates_are_not_biased_by_the_tail():
    """3 long tasks in 100 raised the mean of the logarithms by 0.03."""
    rng = random.Random(2)
    run_times = _estimates.RunTimeEstimator()
    estimates = []
    for number in range(20_000):
        run_s = 0.2 * math.exp(draw_log_ratio(rng, 0.03))
        run_times.observe('check', 0.0, run_s)
        if number > 200:
            estimates.append(math.log(run_times.expected_s('check', 0.0)))
    mean = sum(estimates) / len(estimates)
    assert mean == pytest.approx(math.log(0.2), abs=0.015)


def test_estimates_follow_a_real_change():
    """Run times that double for good are no outliers."""
    rng = random.Random(2)
    run_times = _estimates.RunTimeEstimator()
    for mean_s in (0.1, 0.7):
        for _ in range(800):
            run_s = mean_s * math.exp(rng.gauss(0.0, 0.4))
            run_times.observe('check', 0.0, run_s)
    assert run_times.expected_s('check', 0.0) == pytest.approx(0.7, rel=0.2)


def test_remaining_chain_of_a_job():
    """Only the steps that are left count for the end of a moved run."""
    room = dispatch.Resources(1)
    steps = (
        dispatch.Step(1, room, 1.0),
        dispatch.Step(1, room, 0.2, after=(0,)),
        dispatch.Step(1, room, 0.5),
        dispatch.Step(1, room, 0.3, after=(1,)),
    )
    job = dispatch.Job('a' * 16, test_dispatcher.QUEUE, '', steps)
    run_times = _estimates.RunTimeEstimator()
    ends_s = [_jobs.remaining_path_s(job, n, run_times) for n in range(4)]
    assert ends_s == pytest.approx([1.5, 0.5, 0.5, 0.3])
