"""What is said and done after an answer was lost on its way to the caller.

Guards against work that has run and runs again, and against a caller that is
told that its job has not run although it may have.
"""

import random

import pytest

from orioleloom import dispatch

QUEUE = dispatch.Queue('check', 'pool', 0, 2, 1.6, 0.06)


def make_job(job_id='a' * 16, n_tasks=1):
    step = dispatch.Step(n_tasks, dispatch.Resources(6_800, 64), 0.2)
    return dispatch.Job(job_id, QUEUE, 'payload', (step,))


class Harness:
    """A dispatcher with one worker that has room for two tasks."""

    def __init__(self):
        self.now_s = 100.0
        self.dispatcher = self.new_dispatcher(5)
        self.n_ends = 0

    def new_dispatcher(self, token):
        dispatcher = dispatch.Dispatcher(
            token=token,
            run_id_base=token,
            random_state=random.Random(1),
            now_s=self.now_s,
        )
        info = dispatch.WorkerInfo(
            'w1',
            '10.0.0.1:80',
            'dc1',
            'pool',
            dispatch.Resources(16_000, 65_536),
            life=1,
        )
        dispatcher.set_workers({'w1': info}, self.now_s)
        self.report(dispatcher)
        return dispatcher

    def report(self, dispatcher, running=(), ended=()):
        dispatcher.handle_report(
            'w1',
            dispatch.WorkerReport(
                int(self.now_s * 1000), 1, tuple(running), tuple(ended)
            ),
            self.now_s,
            self.now_s,
        )

    def submit(self, job, instance_id='e1', **options):
        self.dispatcher.submit(
            job,
            instance_id,
            arrived_s=self.now_s,
            deadline_s=self.now_s + 5.0,
            now_s=self.now_s,
            **options,
        )

    def take(self, kind):
        return [
            effect
            for effect in self.dispatcher.take_effects()
            if isinstance(effect, kind)
        ]

    def wait(self, duration_s):
        self.now_s += duration_s
        self.dispatcher.tick(self.now_s)

    def finish(self, starts):
        """Report that all runs have started and are done."""
        for start in starts:
            self.dispatcher.handle_start_accepted(
                'w1', start.key, start.run_id, 1, self.now_s
            )
        ended = []
        for start in starts:
            self.n_ends += 1
            ended.append(
                dispatch.EndedRun(
                    self.n_ends, start.key, start.run_id, dispatch.EndKind.DONE
                )
            )
        self.now_s += 0.1
        self.report(self.dispatcher, ended=ended)


def test_resubmission_after_its_instance_was_lost_is_not_called_not_run():
    """The instance died; its caller submits the job again at another one."""
    harness = Harness()
    harness.submit(make_job())
    assert harness.take(dispatch.StartRun)
    harness.dispatcher.cancel_instance_jobs('e1', 'lost', harness.now_s)
    harness.wait(0.1)
    # The worker is gone, so that there is no room for the second attempt.
    harness.dispatcher.set_workers({}, harness.now_s)
    harness.submit(make_job(), 'e2')
    harness.take(object)
    answers = []
    for _ in range(60):
        harness.wait(0.1)
        answers += harness.take(dispatch.AnswerJob)
    assert [a.outcome.kind for a in answers] == [dispatch.OutcomeKind.UNKNOWN]


def test_other_jobs_are_still_refused_as_not_run():
    harness = Harness()
    harness.submit(make_job())
    harness.take(object)
    harness.dispatcher.cancel_instance_jobs('e1', 'lost', harness.now_s)
    harness.dispatcher.set_workers({}, harness.now_s)
    harness.submit(make_job('b' * 16), 'e2')
    answers = []
    for _ in range(60):
        harness.wait(0.1)
        answers += harness.take(dispatch.AnswerJob)
    assert [a.outcome.kind for a in answers] == [dispatch.OutcomeKind.NOT_RUN]


def test_successor_answers_a_job_that_has_ended():
    """The answer was lost, the leader changed, the caller asks elsewhere."""
    harness = Harness()
    harness.submit(make_job())
    harness.finish(harness.take(dispatch.StartRun))
    (answer,) = harness.take(dispatch.AnswerJob)
    assert answer.outcome.kind is dispatch.OutcomeKind.COMPLETED
    completed, outcomes = harness.dispatcher.progress()
    harness.dispatcher = harness.new_dispatcher(6)
    harness.dispatcher.add_progress(completed, outcomes, harness.now_s)
    harness.submit(make_job(), 'e2')
    effects = harness.dispatcher.take_effects()
    assert not [e for e in effects if isinstance(e, dispatch.StartRun)]
    (answer,) = [e for e in effects if isinstance(e, dispatch.AnswerJob)]
    assert answer.instance_id == 'e2'


@pytest.mark.parametrize('is_submitted_first', [True, False])
def test_successor_does_not_repeat_tasks_that_are_done(is_submitted_first):
    harness = Harness()
    job = make_job(n_tasks=2)
    harness.submit(job)
    first, second = harness.take(dispatch.StartRun)
    harness.finish([first])
    completed, outcomes = harness.dispatcher.progress()
    assert completed == [first.key]
    harness.dispatcher = harness.new_dispatcher(6)
    running = [dispatch.RunningRun(second.key, second.run_id)]
    options = {'last_contact_s': harness.now_s}
    if is_submitted_first:
        harness.submit(job, **options)
    harness.dispatcher.add_progress(completed, outcomes, harness.now_s)
    if not is_submitted_first:
        harness.submit(job, **options)
    harness.now_s += 0.01
    harness.report(harness.dispatcher, running)
    harness.wait(0.025)
    assert not harness.take(dispatch.StartRun)


def test_handed_over_job_does_not_wait_for_its_deadline_without_room():
    """Pattern: the leader changes while the fleet is full.

    On harrowgate-loom-large scale-1, jobs that an earlier leader might have
    started waited until their deadline without being tried. Their callers
    could not ask again in time.
    """
    harness = Harness()
    harness.dispatcher.set_workers({}, harness.now_s)
    harness.submit(make_job(), last_contact_s=harness.now_s)
    started_s = harness.now_s
    answers = []
    while not answers:
        harness.wait(0.05)
        answers = harness.take(dispatch.AnswerJob)
    assert answers[0].outcome.kind is dispatch.OutcomeKind.UNKNOWN
    # The hold after a handover is 1.8 s, and the deadline 5 s.
    assert harness.now_s - started_s < 2.5


@pytest.mark.parametrize('last_contact_ago_s', [None, 5.0])
def test_job_that_returns_while_its_runs_are_being_stopped(last_contact_ago_s):
    """An instance was taken for lost, or its caller asks another one.

    The stops of the earlier runs are not confirmed yet. A second run beside
    the first would break the promise that no task runs twice at one time.
    """
    harness = Harness()
    harness.submit(make_job())
    (start,) = harness.take(dispatch.StartRun)
    harness.dispatcher.handle_start_accepted(
        'w1', start.key, start.run_id, 1, harness.now_s
    )
    harness.dispatcher.cancel_instance_jobs('e1', 'lost', harness.now_s)
    harness.now_s += 0.01
    options = {}
    if last_contact_ago_s is not None:
        options['last_contact_s'] = harness.now_s - last_contact_ago_s
    harness.submit(make_job(), 'e2', **options)
    running = [dispatch.RunningRun(start.key, start.run_id)]
    for _ in range(4):
        harness.wait(0.025)
        harness.report(harness.dispatcher, running)
        assert not harness.take(dispatch.StartRun)
    # The end of the stopped run lets the task start again.
    ended = dispatch.EndedRun(
        1, start.key, start.run_id, dispatch.EndKind.STOPPED
    )
    harness.report(harness.dispatcher, ended=[ended])
    harness.wait(0.025)
    (second,) = harness.take(dispatch.StartRun)
    assert second.run_id > start.run_id


def test_stop_is_repeated_until_it_is_confirmed():
    """Four lost stops once left a run, and its room, taken for good.

    Its lease did not expire, since each report of the worker renewed it. The
    job could start nowhere (seed 102 of tests/leased/test_histories.py).
    """
    harness = Harness()
    harness.submit(make_job())
    (start,) = harness.take(dispatch.StartRun)
    harness.dispatcher.handle_start_unanswered(
        'w1', start.key, start.run_id, True, harness.now_s
    )
    for _ in range(40):
        harness.wait(0.025)
        harness.dispatcher.renew_lease('w1', harness.now_s)
        harness.report(harness.dispatcher)
    assert len(harness.take(dispatch.StopRun)) > 4
    assert harness.dispatcher.workers['w1'].runs
    for _ in range(10):
        harness.wait(0.025)
    assert harness.take(dispatch.StopRun)
    harness.dispatcher.handle_stop_confirmed(
        'w1', start.key, start.run_id, harness.now_s
    )
    harness.now_s += 0.01
    harness.report(harness.dispatcher)
    harness.wait(0.025)
    assert len(harness.take(dispatch.StartRun)) == 1
