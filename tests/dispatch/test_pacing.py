"""A dispatcher that limits its starts to what the event loop can carry."""

import random

import pytest

from orioleloom import dispatch
from orioleloom.dispatch import _pacing

QUEUE = dispatch.Queue('check', 'pool', 0, 2, 1.6, 0.06)
N_WORKERS = 100


def new_job(number, n_tasks=2):
    step = dispatch.Step(n_tasks, dispatch.Resources(6_800, 64), 0.2)
    return dispatch.Job(f'{number:016x}', QUEUE, 'payload', (step,))


def new_dispatcher(now_s=100.0, other_workers=(), **kwargs):
    dispatcher = dispatch.Dispatcher(
        token=5,
        run_id_base=1,
        random_state=random.Random(1),
        now_s=now_s,
        **kwargs,
    )
    infos = {
        f'w{number}': dispatch.WorkerInfo(
            f'w{number}',
            f'10.0.0.{number}:80',
            'dc1',
            'pool',
            dispatch.Resources(16_000, 65_536),
            life=1,
        )
        for number in range(N_WORKERS)
    }
    infos |= {info.id: info for info in other_workers}
    dispatcher.set_workers(infos, now_s)
    for worker_id in infos:
        report = dispatch.WorkerReport(1, 1, (), ())
        dispatcher.handle_report(worker_id, report, now_s, now_s)
    dispatcher.take_effects()
    return dispatcher


def submit(dispatcher, job, now_s, **kwargs):
    dispatcher.submit(
        job, 'e1', arrived_s=now_s, deadline_s=now_s + 2, now_s=now_s, **kwargs
    )


def take(dispatcher, kind):
    return [e for e in dispatcher.take_effects() if isinstance(e, kind)]


def overload(dispatcher, now_s=100.0):
    """Bring a dispatcher to refuse new jobs; return the time after it."""
    for number in range(60):
        submit(dispatcher, new_job(number), now_s)
        dispatcher.take_effects()
        dispatcher.pacer.observe_turn(0.05, 0.0)
    for number in range(100, 160):
        submit(dispatcher, new_job(number), now_s + 0.01)
    dispatcher.take_effects()
    assert dispatcher.pacer.is_overloaded()
    return now_s + 0.02


def test_limit_follows_the_turns():
    """Guards against a limit that never falls, or never rises again."""
    pacer = _pacing.StartPacer()
    assert pacer.max_starts is None
    pacer.record_round(100, 0, 1.0)
    pacer.observe_turn(0.03, 0.0)
    assert pacer.max_starts == 50
    for _ in range(20):
        pacer.observe_turn(10.0, 0.0)
    assert 1 <= pacer.max_starts < 10
    for _ in range(400):
        pacer.observe_turn(0.001, 0.0)
    assert pacer.max_starts is None


def test_long_turn_of_an_idle_loop_limits_nothing():
    """Guards against a limit after a single large list of workers."""
    pacer = _pacing.StartPacer()
    pacer.record_round(100, 0, 1.0)
    pacer.observe_turn(0.05, 0.02)
    assert pacer.max_starts is None


def test_limited_round_is_continued_by_the_next_one():
    """Guards against jobs that no later round tries on all workers."""
    dispatcher = new_dispatcher()
    dispatcher.pacer.max_starts = 5
    submit(dispatcher, new_job(1, n_tasks=12), 100.0)
    n_starts = []
    for _ in range(4):
        n_starts.append(len(take(dispatcher, dispatch.StartRun)))
    assert n_starts == [5, 5, 2, 0]


def test_held_jobs_are_no_backlog():
    """Guards against refusals while jobs wait for an earlier leader's leases.

    They wait for workers, and not for the processor of this leader.
    """
    dispatcher = new_dispatcher()
    for number in range(100):
        submit(dispatcher, new_job(number), 100.0, last_contact_s=99.9)
    dispatcher.pacer.max_starts = 1
    submit(dispatcher, new_job(200), 100.01)
    dispatcher.take_effects()
    assert not dispatcher.pacer.is_overloaded()
    submit(dispatcher, new_job(201, n_tasks=100), 100.02)
    dispatcher.take_effects()
    assert dispatcher.pacer.is_overloaded()


def test_refused_job_starts_nothing_and_stays_refused():
    """Guards against "not run" for a job that its instance names again.

    The instance replies to a heartbeat before it has the refusal. Without
    a recorded outcome it was asked to submit the job again, which ran.
    """
    dispatcher = new_dispatcher()
    now_s = overload(dispatcher)
    job = new_job(999)
    submit(dispatcher, job, now_s)
    effects = dispatcher.take_effects()
    (answer,) = [e for e in effects if isinstance(e, dispatch.AnswerJob)]
    assert answer.job_id == job.id
    assert answer.outcome.kind is dispatch.OutcomeKind.NOT_RUN
    assert answer.outcome.retry_after_s >= 1.0
    assert dispatcher.outcome(job.id) == answer.outcome
    assert job.id not in dispatcher.jobs
    for tick in range(200):
        dispatcher.tick(now_s + 0.025 * tick)
        starts = take(dispatcher, dispatch.StartRun)
        assert all(start.key.job_id != job.id for start in starts)


@pytest.mark.parametrize('case', ['handed over', 'ended unknown', 'held'])
def test_job_that_may_have_run_is_not_refused(case):
    """Guards against an untrue "not run" of an overloaded dispatcher."""
    job = new_job(999)
    kwargs = {'earlier_contact_s': 99.3} if case == 'held' else {}
    dispatcher = new_dispatcher(**kwargs)
    if case == 'ended unknown':
        submit(dispatcher, job, 100.0)
        assert take(dispatcher, dispatch.StartRun)
        dispatcher.cancel(job.id, 'e1', 'caller left', 100.0)
    if case == 'held':
        dispatcher.pacer.record_round(1, 0, 100.0)
        dispatcher.pacer.max_starts = 1
        dispatcher.pacer.record_round(1, 1000, 100.001)
        assert dispatcher.pacer.is_overloaded()
        dispatcher.holds.has_confirmed_start = False
        now_s = 100.01
    else:
        now_s = overload(dispatcher)
    submit(
        dispatcher,
        job,
        now_s,
        last_contact_s=now_s - 0.5 if case == 'handed over' else None,
    )
    assert job.id in dispatcher.jobs
    assert not take(dispatcher, dispatch.AnswerJob)


def test_jobs_are_accepted_after_all_that_waited_have_left():
    """Guards against a backlog that no later round counts again."""
    dispatcher = new_dispatcher()
    now_s = overload(dispatcher)
    dispatcher.cancel_instance_jobs('e1', 'instance out of contact', now_s)
    dispatcher.tick(now_s)
    dispatcher.take_effects()
    job = new_job(999)
    submit(dispatcher, job, now_s)
    assert job.id in dispatcher.jobs


def test_jobs_are_accepted_again_after_the_backlog():
    """Guards against refusals that outlast their reason."""
    dispatcher = new_dispatcher()
    now_s = overload(dispatcher)
    for _ in range(400):
        dispatcher.pacer.observe_turn(0.001, 0.0)
        now_s += 0.001
        dispatcher.tick(now_s)
        dispatcher.take_effects()
    assert not dispatcher.pacer.is_overloaded()
    job = new_job(999)
    submit(dispatcher, job, now_s)
    assert job.id in dispatcher.jobs


def test_tasks_without_room_are_no_backlog():
    """Guards against a large job that shuts out other upstreams.

    Its tasks wait for the ends of runs. They counted as if they waited for
    the dispatcher, which refused all new jobs for as long as its rounds were
    limited.
    """
    other_worker = dispatch.WorkerInfo(
        'x',
        '10.0.1.1:80',
        'dc1',
        'other-pool',
        dispatch.Resources(16_000, 65_536),
        life=1,
    )
    dispatcher = new_dispatcher(other_workers=(other_worker,))
    dispatcher.pacer.record_round(4, 0, 99.0)
    submit(dispatcher, new_job(1, n_tasks=1_000), 100.0)
    now_s = 100.0
    # As many limited rounds as it takes to fill the workers.
    for _ in range(2 * N_WORKERS // 4):
        now_s += 0.001
        dispatcher.pacer.max_starts = 4
        dispatcher.tick(now_s)
        assert len(take(dispatcher, dispatch.StartRun)) == 4
    other = dispatch.Queue('other', 'other-pool', 0, 2, 1.6, 0.06)
    job = new_job(2, n_tasks=1)._replace(queue=other)
    submit(dispatcher, job, now_s)
    (start,) = take(dispatcher, dispatch.StartRun)
    assert start.worker == other_worker


def test_job_that_can_wait_is_not_refused():
    """Guards against refusing jobs that a short backlog does not hurt."""
    dispatcher = new_dispatcher()
    now_s = overload(dispatcher)
    job = new_job(1_000, n_tasks=1)
    submit(dispatcher, job, now_s)
    (refusal,) = take(dispatcher, dispatch.AnswerJob)
    assert refusal.outcome.reason == dispatch.OVERLOADED
    step = job.steps[0]._replace(estimate_s=30.0)
    submit(dispatcher, job._replace(id='f' * 16, steps=(step,)), now_s)
    assert not take(dispatcher, dispatch.AnswerJob)
    assert 'f' * 16 in dispatcher.jobs
