"""Guards the order of jobs in the overload of docs/design/hard-load.md."""

import random

from orioleloom import dispatch
from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _ordering
from tests.dispatch import test_dispatcher


def new_job(number=0, n_tasks=8, queue='short', run_s=0.06):
    job = dispatch.Job(
        f'{number:016x}',
        dispatch.Queue(queue, 'pool', 0, 3, 1.6, 0.063),
        '',
        (dispatch.Step(n_tasks, dispatch.Resources(16_000), run_s),),
    )
    state = _jobs.JobState(job, 'e1', 0.0, 1.58, 0.0)
    state.set_expected_run_time(run_s)
    return state


def test_largest_tenth_is_found_by_queue():
    """Wide jobs starve if they are not told apart within their queue."""
    sizes = _ordering.SizeClasses()
    rng = random.Random(1)
    classes = []
    for number in range(4000):
        job = new_job(number, rng.randrange(1, 101))
        classes.append((len(job.tasks[0]), sizes.observe(job)))
    recent = classes[2000:]
    largest = [n_tasks for n_tasks, number in recent if number == 2]
    assert 0.05 < len(largest) / len(recent) < 0.16
    assert min(largest) > 75


def record(shares, queue, size_class, n_served, n_lost, now_s=1.0):
    for _ in range(n_served):
        shares.record(queue, size_class, True, now_s)
    for _ in range(n_lost):
        shares.record(queue, size_class, False, now_s)


def test_seldom_served_size_goes_first():
    """Wide short jobs were served 0.5 times as often as all short ones."""
    order = _ordering.JobOrder()
    record(order.shares, 'short', 0, 70, 30)
    record(order.shares, 'short', 2, 4, 6)
    wide, small = new_job(1, 32), new_job(2, 2)
    wide.size_class = 2
    assert order.rank(wide, 0.2) < order.rank(small, 0.1)


def test_seldom_served_queue_goes_first():
    """Long jobs are worth least per core and were served 0.11 of the time."""
    order = _ordering.JobOrder()
    record(order.shares, 'middle', 0, 60, 40)
    record(order.shares, 'long', 0, 1, 9)
    long_job, other = new_job(1, 4, 'long', 0.9), new_job(2, 2, 'middle', 0.2)
    assert order.rank(long_job, 0.6) < order.rank(other, 0.1)


def test_order_is_the_latest_start_while_all_are_served():
    """Guards earlier deployments, whose capacity suffices."""
    order = _ordering.JobOrder()
    record(order.shares, 'short', 0, 100, 0)
    record(order.shares, 'long', 0, 10, 0)
    started = new_job(1)
    started.n_sent = 5
    assert order.rank(new_job(2, 4, 'long'), 0.1) < order.rank(started, 0.2)


def test_started_job_goes_before_an_urgent_one():
    """What a job has used is lost if its last tasks come too late."""
    order = _ordering.JobOrder()
    record(order.shares, 'short', 0, 80, 20)
    started = new_job(1)
    started.n_sent = 5
    assert order.rank(started, 0.2) < order.rank(new_job(2), 0.1)


def test_wide_job_without_capacity_for_all_tasks_is_passed_over():
    """A job of 32 tasks of 60 ms, with capacity for three at a time."""
    order = _ordering.JobOrder()
    job = new_job(1, 32)
    assert not order.must_pass_over(job, 29, 0.09, 3 / 0.06)
    record(order.shares, 'short', 0, 80, 20)
    assert order.must_pass_over(job, 29, 0.09, 3 / 0.06)
    assert order.must_pass_over(job, 29, 0.09, 3 / 0.06)
    assert order.state()['n_passed_over'] == 1
    assert not order.must_pass_over(job, 29, 0.09, 400 / 0.06)
    job.n_sent = 3
    assert not order.must_pass_over(job, 29, 0.09, 3 / 0.06)


def test_callers_that_leave_are_no_shortage():
    """A wave of cancellations must not change the order of other jobs."""
    fleet = test_dispatcher.Harness('w1')
    for number in range(20):
        job = new_job(number, 1).job
        fleet.submit(job)
        fleet.dispatcher.cancel(job.id, 'e1', 'caller left', fleet.now_s)
    assert not fleet.dispatcher.placement.order.is_short()
