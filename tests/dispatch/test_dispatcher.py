"""Tests of the dispatcher's decisions, event by event."""

import gc
import random
import weakref

import pytest

from orioleloom import dispatch

QUEUE = dispatch.Queue('check', 'pool', 0, 2, 1.6, 0.06)


def worker_info(worker_id='w1', **fields):
    return dispatch.WorkerInfo(
        worker_id,
        '10.0.0.1:80',
        'dc1',
        'pool',
        dispatch.Resources(16_000, 65_536),
        **{'life': 1, **fields},
    )


def one_step_job(job_id='a' * 16, n_tasks=1, **fields):
    step = dispatch.Step(n_tasks, dispatch.Resources(6_800, 64), 0.2, **fields)
    return dispatch.Job(job_id, QUEUE, 'payload', (step,))


class Harness:
    """Drives a dispatcher on a simulated clock."""

    def __init__(self, *worker_ids, **options):
        self.now_s = 100.0
        self.dispatcher = dispatch.Dispatcher(
            token=5,
            run_id_base=1,
            random_state=random.Random(1),
            now_s=self.now_s,
            **options,
        )
        self.infos = {w: worker_info(w) for w in worker_ids}
        self.dispatcher.set_workers(self.infos, self.now_s)
        for worker_id in worker_ids:
            self.report(worker_id)
        self.effects()

    def effects(self, kind=object):
        return [
            effect
            for effect in self.dispatcher.take_effects()
            if isinstance(effect, kind)
        ]

    def report(
        self, worker_id, running=(), ended=(), requested_s=None, life=1
    ):
        self.dispatcher.handle_report(
            worker_id,
            dispatch.WorkerReport(
                int(self.now_s * 1000),
                life,
                tuple(dispatch.RunningRun(*run) for run in running),
                tuple(ended),
            ),
            self.now_s if requested_s is None else requested_s,
            self.now_s,
        )

    def submit(self, job, **options):
        self.dispatcher.submit(
            job,
            options.pop('instance_id', 'e1'),
            arrived_s=self.now_s,
            deadline_s=self.now_s + 5,
            now_s=self.now_s,
            **options,
        )

    def after(self, seconds):
        self.now_s += seconds
        self.dispatcher.tick(self.now_s)

    def starts(self):
        return self.effects(dispatch.StartRun)

    def accept(self, start):
        self.dispatcher.handle_start_accepted(
            start.worker.id,
            start.key,
            start.run_id,
            int(self.now_s * 1000),
            self.now_s,
        )

    def end(self, start, kind=dispatch.EndKind.DONE, number=1, running=()):
        self.report(
            start.worker.id,
            running=[(run.key, run.run_id) for run in running],
            ended=[dispatch.EndedRun(number, start.key, start.run_id, kind)],
        )


def outcome_of(harness):
    answers = harness.effects(dispatch.AnswerJob)
    assert len(answers) == 1
    return answers[0].outcome


def test_job_completes_when_all_tasks_are_done():
    harness = Harness('w1')
    harness.submit(one_step_job(n_tasks=2))
    first, second = harness.starts()
    harness.accept(first)
    harness.accept(second)
    harness.now_s += 0.2
    harness.end(first, running=[second])
    assert not harness.effects(dispatch.AnswerJob)
    harness.end(second, number=2)
    assert outcome_of(harness).kind is dispatch.OutcomeKind.COMPLETED


def test_free_resources_limit_the_runs_of_a_worker():
    """Guards against starts that a worker rejects for lack of resources."""
    harness = Harness('w1')
    harness.submit(one_step_job(n_tasks=5))
    assert len(harness.starts()) == 2


def test_steps_run_in_order():
    harness = Harness('w1')
    steps = (
        dispatch.Step(1, dispatch.Resources(1_000), 0.1),
        dispatch.Step(1, dispatch.Resources(1_000), 0.1, after=(0,)),
    )
    harness.submit(dispatch.Job('b' * 16, QUEUE, '', steps))
    (first,) = harness.starts()
    assert first.key.step == 0
    harness.accept(first)
    harness.now_s += 0.1
    harness.end(first)
    (second,) = harness.starts()
    assert second.key.step == 1


def test_job_fails_after_max_attempts_of_a_task():
    """A failed task is retried on another worker up to max_attempts."""
    harness = Harness('w1', 'w2')
    harness.submit(one_step_job())
    (first,) = harness.starts()
    harness.accept(first)
    harness.end(first, dispatch.EndKind.FAILED)
    (second,) = harness.starts()
    assert second.worker.id != first.worker.id
    assert second.run_id > first.run_id
    harness.accept(second)
    harness.end(second, dispatch.EndKind.FAILED)
    assert outcome_of(harness).kind is dispatch.OutcomeKind.FAILED


def test_unanswered_start_is_stopped_before_a_retry():
    """Guards against a concurrent second run after a lost response."""
    harness = Harness('w1', 'w2')
    harness.submit(one_step_job())
    (start,) = harness.starts()
    harness.dispatcher.handle_start_unanswered(
        start.worker.id, start.key, start.run_id, True, harness.now_s
    )
    effects = harness.effects()
    assert [e for e in effects if isinstance(e, dispatch.StopRun)]
    assert not [e for e in effects if isinstance(e, dispatch.StartRun)]
    harness.dispatcher.handle_stop_confirmed(
        start.worker.id, start.key, start.run_id, harness.now_s
    )
    assert not harness.starts()
    # A report requested after the stop shows that the run does not exist.
    harness.now_s += 0.002
    harness.report(start.worker.id)
    assert len(harness.starts()) == 1


def test_unsent_start_is_retried_at_once():
    harness = Harness('w1', 'w2')
    harness.submit(one_step_job())
    (start,) = harness.starts()
    harness.dispatcher.handle_start_unanswered(
        start.worker.id, start.key, start.run_id, False, harness.now_s
    )
    assert len(harness.starts()) == 1


def test_silent_worker_keeps_its_run_until_the_lease_expires():
    """Guards against a second run while a partitioned worker runs on."""
    harness = Harness('w1', 'w2')
    harness.submit(one_step_job())
    (start,) = harness.starts()
    harness.accept(start)
    for _ in range(8):
        harness.dispatcher.handle_poll_failure(
            start.worker.id, 'no answer', harness.now_s
        )
        # Polling a silent worker must not extend its lease for ever.
        harness.dispatcher.renew_lease(start.worker.id, harness.now_s)
        harness.after(0.125)
        assert not harness.starts()
    harness.after(0.3)
    (second,) = harness.starts()
    assert second.worker.id != start.worker.id


def test_newer_run_of_another_dispatcher_replaces_a_run():
    """Guards against a stale run that hides a newer one.

    Found with seed 2019 of tests/leased.
    """
    harness = Harness('w1', 'w2')
    job = one_step_job()
    harness.submit(job)
    (start,) = harness.starts()
    harness.accept(start)
    harness.dispatcher.cancel_instance_jobs(
        'e1', 'out of contact', harness.now_s
    )
    harness.now_s += 0.1
    harness.report(start.worker.id, running=[(start.key, start.run_id + 8)])
    harness.effects()
    harness.submit(job, last_contact_s=harness.now_s)
    harness.now_s += 0.01
    for worker_id in ('w1', 'w2'):
        running = [(start.key, start.run_id + 8)]
        has_run = worker_id == start.worker.id
        harness.report(worker_id, running=running if has_run else ())
    harness.after(0.025)
    assert not harness.starts()


@pytest.mark.parametrize('report_age_s', [0.0, 0.05])
def test_late_report_does_not_release_a_later_start(report_age_s):
    """Guards against a second run while a start is in flight.

    The late report was written when the worker still had the task's
    earlier run.
    """
    harness = Harness('w1', 'w2')
    harness.submit(one_step_job())
    (start,) = harness.starts()
    harness.dispatcher.handle_start_unanswered(
        start.worker.id, start.key, start.run_id, True, harness.now_s
    )
    harness.dispatcher.handle_stop_confirmed(
        start.worker.id, start.key, start.run_id, harness.now_s
    )
    harness.now_s += 0.002
    harness.report(start.worker.id)
    assert len(harness.starts()) == 1
    harness.now_s -= report_age_s
    harness.report(
        start.worker.id, running=[(start.key, start.run_id)], requested_s=99.9
    )
    assert not harness.starts()


def test_few_unanswered_requests_of_many_do_not_shorten_polls():
    """Guards against polling a large fleet twice for a few chance losses."""
    harness = Harness(*(f'w{n}' for n in range(200)))

    for _ in range(20):
        for number in range(100):
            harness.submit(one_step_job(f'{harness.now_s:.1f}/{number}'))
        starts = harness.starts()
        assert len(starts) == 100
        for number, start in enumerate(starts):
            harness.end(start, number=int(harness.now_s * 1e4) + number)
        harness.after(0.1)
    wait_s = harness.dispatcher.max_poll_wait_s('w1', harness.now_s)
    for _ in range(3):
        harness.dispatcher.handle_poll_failure(
            'w1', 'no answer', harness.now_s
        )
        harness.report('w1')
    assert harness.dispatcher.max_poll_wait_s('w1', harness.now_s) == wait_s
    for _ in range(10):
        harness.dispatcher.handle_poll_failure(
            'w1', 'no answer', harness.now_s
        )
        harness.report('w1')
    assert harness.dispatcher.max_poll_wait_s('w1', harness.now_s) < wait_s


def submit_handed_over(harness, version, unlisted_worker_ids=(), job=None):
    harness.submit(
        job or one_step_job(),
        last_contact_s=harness.now_s,
        list_in_use=dispatch.ListInUse(
            version, version, frozenset(unlisted_worker_ids)
        ),
    )


def test_handed_over_job_waits_until_every_worker_has_reported():
    """Guards against a second run of a task of an earlier dispatcher.

    Two runs at the same time occurred on the platform's test bench after
    the partition of a data centre had healed.
    """
    harness = Harness('w1', 'w2')
    harness.after(1.0)
    submit_handed_over(harness, 0)
    assert not harness.starts()
    harness.after(0.1)
    polls = harness.effects(dispatch.PollWorkerOnce)
    assert {poll.worker_id for poll in polls} == {'w1', 'w2'}
    harness.report('w1')
    harness.after(0.025)
    assert not harness.starts()
    harness.report('w2')
    harness.after(0.025)
    assert len(harness.starts()) == 1


def test_handed_over_job_waits_for_a_worker_that_has_restarted_since():
    """Guards against a second run that the earlier dispatcher starts on it.

    The new incarnation has forgotten the token and accepts its commands.
    """
    harness = Harness('w1', 'w2')
    harness.after(1.0)
    submit_handed_over(harness, 0)
    harness.now_s += 0.01
    harness.report('w1')
    harness.infos['w1'] = worker_info('w1', life=2)
    harness.dispatcher.set_workers(harness.infos, harness.now_s)
    harness.report('w2')
    harness.after(0.025)
    assert not harness.starts()
    harness.report('w1', life=2)
    harness.after(0.025)
    assert len(harness.starts()) == 1


def delist(harness, worker_id, **state):
    """Remove a worker from the list, which then has version 5."""
    del harness.infos[worker_id]
    harness.dispatcher.set_workers(
        harness.infos,
        harness.now_s,
        dispatch.WorkerListState(version=5, changed_version=5, **state),
    )


@pytest.mark.parametrize(
    'used',
    [
        # The earlier dispatcher may not have noticed that w2 has left.
        (4, ()),
        # It had noticed, but w2 was not idle.
        (5, ('w2',)),
        # It used a worker that is not known here.
        (5, ('w9',)),
        # Its list was newer than the one here.
        (6, ()),
        # Nothing is known of its list.
        (-1, ()),
    ],
)
def test_handed_over_job_waits_for_workers_beyond_the_list(used):
    """Guards against a second run beside that on a worker not in the list.

    A worker without contact to the store is delisted and runs on.
    """
    harness = Harness('w1', 'w2')
    harness.after(1.0)
    delist(harness, 'w2')
    submit_handed_over(harness, *used)
    harness.now_s += 0.01
    harness.report('w1')
    harness.after(0.025)
    assert not harness.starts()
    for _ in range(4):
        harness.after(0.5)
    assert len(harness.starts()) == 1


def test_handed_over_job_does_not_wait_for_a_worker_known_to_be_gone():
    """The earlier dispatcher had nothing on it when it left the list."""
    harness = Harness('w1', 'w2')
    harness.after(1.0)
    delist(harness, 'w2')
    submit_handed_over(harness, 5)
    harness.now_s += 0.01
    harness.report('w1')
    harness.after(0.025)
    assert len(harness.starts()) == 1


def test_handed_over_job_waits_while_departures_may_be_missing():
    """The changes between two reads of the list are not known."""
    harness = Harness('w1', 'w2')
    harness.after(1.0)
    delist(harness, 'w2', complete_since=5)
    submit_handed_over(harness, 4)
    harness.now_s += 0.01
    for worker_id in ('w1', 'w2'):
        harness.report(worker_id)
    harness.after(0.025)
    assert not harness.starts()


def test_handed_over_job_starts_once_the_list_is_new_enough():
    harness = Harness('w1')
    submit_handed_over(harness, 3)
    harness.now_s += 0.01
    harness.report('w1')
    harness.after(0.025)
    assert not harness.starts()
    harness.dispatcher.confirm_list(3)
    harness.after(0.025)
    assert len(harness.starts()) == 1


def test_lists_of_all_earlier_dispatchers_count():
    """Guards against the list of the last one hiding that of the first.

    A late heartbeat of a former leader, with an old list, once came between
    the leader that had started the tasks and the next one.
    """
    harness = Harness('w1', 'w2')
    harness.after(1.0)
    delist(harness, 'w2')
    used = dispatch.ListInUse(6, 6).merge(dispatch.ListInUse(3, 3))
    harness.submit(
        one_step_job(), last_contact_s=harness.now_s, list_in_use=used
    )
    harness.now_s += 0.01
    harness.report('w1')
    harness.report('w2')
    harness.after(0.025)
    assert not harness.starts()
    harness.dispatcher.confirm_list(6)
    harness.after(0.025)
    assert len(harness.starts()) == 1


def test_job_that_returns_from_another_dispatcher_is_held():
    """Its instance followed another leader for a moment and came back.

    The other one may have started the task that was waiting here.
    """
    harness = Harness('w1', 'w2')
    job = one_step_job(n_tasks=5)
    harness.submit(job)
    starts = harness.starts()
    assert len(starts) == 4
    harness.now_s += 0.1
    submit_handed_over(harness, 0, job=job)
    harness.now_s += 0.01
    by_worker = {'w1': [], 'w2': []}
    for start in starts:
        by_worker[start.worker.id].append(start)
        harness.accept(start)
    first, second = by_worker['w1']
    harness.end(first, running=[second])
    harness.after(0.025)
    assert not harness.starts()
    harness.report(
        'w2', running=[(run.key, run.run_id) for run in by_worker['w2']]
    )
    harness.after(0.025)
    assert len(harness.starts()) == 1


def test_job_that_returns_while_it_is_held_keeps_its_earlier_list():
    """The instance that submits it now does not know what the first one did.

    Guards against a second run beside that on a worker of the first list.
    """
    harness = Harness('w1', 'w2')
    harness.after(1.0)
    delist(harness, 'w2')
    submit_handed_over(harness, 4)
    submit_handed_over(harness, 5)
    harness.now_s += 0.01
    harness.report('w1')
    harness.after(0.025)
    assert not harness.starts()
    harness.report('w2')
    harness.after(0.025)
    assert len(harness.starts()) == 1


def test_job_that_returns_while_it_is_held_is_held_as_long():
    """The instance that submits it now lost its earlier leader long ago.

    Guards against a second run beside that of the leader which the first
    instance had contact with, whose leases have not ended.
    """
    harness = Harness('w1', 'w2')
    harness.after(1.0)
    submit_handed_over(harness, 0)
    harness.after(0.1)
    harness.submit(
        one_step_job(), instance_id='e2', last_contact_s=harness.now_s - 1.7
    )
    for seconds in (0.2, 1.4):
        harness.after(seconds)
        assert not harness.starts()
    harness.after(0.2)
    assert len(harness.starts()) == 1


def test_departed_worker_of_a_new_dispatcher_is_asked():
    """Its run is adopted although the worker was never listed here."""
    harness = Harness('w1')
    tracker = dispatch.WorkerListTracker()
    gone = worker_info('w2')
    for version, workers in ((1, {'w2': gone}), (2, harness.infos)):
        tracker.update(workers, version, complete_since=1, now_s=harness.now_s)
    harness.dispatcher.set_workers(
        harness.infos, harness.now_s, tracker.state()
    )
    job = one_step_job()
    harness.now_s += 0.01
    submit_handed_over(harness, 1, job=job)
    harness.after(0.1)
    polls = harness.effects(dispatch.PollWorkerOnce)
    assert {poll.worker_id for poll in polls} == {'w1', 'w2'}
    harness.report('w1')
    harness.report('w2', running=[(dispatch.TaskKey(job.id, 0, 0), 1)])
    harness.after(0.025)
    assert not harness.starts()
    assert harness.dispatcher.counters['runs_adopted'] == 1


def test_added_worker_is_used_once_all_instances_know_of_it():
    """Otherwise the next dispatcher might not ask it for its runs."""
    harness = Harness('w1')
    harness.infos['w2'] = worker_info('w2')
    harness.dispatcher.set_workers(
        harness.infos,
        harness.now_s,
        dispatch.WorkerListState(version=7, changed_version=7),
    )
    harness.report('w2')
    harness.submit(one_step_job(n_tasks=4))
    assert {start.worker.id for start in harness.starts()} == {'w1'}
    announced = harness.dispatcher.announce_workers(1)
    assert announced.changed_version == 7
    harness.dispatcher.acknowledge_workers(0)
    harness.after(0.025)
    assert not harness.starts()
    harness.dispatcher.acknowledge_workers(1)
    harness.after(0.025)
    assert {start.worker.id for start in harness.starts()} == {'w2'}


def make_unresponsive(harness, worker_id):
    for _ in range(2):
        harness.dispatcher.handle_poll_failure(
            worker_id, 'no answer', harness.now_s
        )


def test_silent_worker_is_announced_as_unused():
    """Guards against dead workers that hold up every new dispatcher."""
    harness = Harness('w1', 'w2', 'w3')
    job = one_step_job()
    harness.submit(job)
    (start,) = harness.starts()
    idle_id = 'w2' if start.worker.id != 'w2' else 'w3'
    silent_ids = {start.worker.id, idle_id}
    for worker_id in silent_ids:
        make_unresponsive(harness, worker_id)
    used = harness.dispatcher.announce_workers(1)
    assert used.unused_worker_ids == silent_ids
    assert used.uncertain_job_ids == {job.id}


def test_job_on_a_worker_announced_as_unused_waits_for_it():
    """Guards against a second run beside that on a silent worker."""
    harness = new_dispatcher_harness(
        earlier_contact_s=99.3,
        earlier_list=dispatch.ListInUse(
            1,
            1,
            unused_worker_ids=frozenset(['w2']),
            uncertain_job_ids=frozenset(['a' * 16]),
        ),
    )
    harness.submit(one_step_job('a' * 16))
    harness.submit(one_step_job('b' * 16))
    harness.report('w1')
    harness.after(0.025)
    assert {start.key.job_id for start in harness.starts()} == {'b' * 16}


def test_job_on_an_unused_worker_is_held_after_another_was_released():
    """Guards against a second run beside that on a silent worker.

    The reports that release other jobs do not show its run.
    """
    harness = new_dispatcher_harness(
        earlier_contact_s=99.3,
        earlier_list=dispatch.ListInUse(
            1,
            1,
            unused_worker_ids=frozenset(['w2']),
            uncertain_job_ids=frozenset(['a' * 16]),
        ),
    )
    harness.submit(one_step_job('b' * 16))
    harness.report('w1')
    harness.after(0.025)
    assert len(harness.starts()) == 1
    harness.submit(one_step_job('a' * 16))
    harness.after(0.025)
    assert not harness.starts()


def test_worker_announced_as_unused_is_used_after_an_announcement():
    """The next dispatcher would not ask it for its runs."""
    harness = Harness('w1')
    make_unresponsive(harness, 'w1')
    harness.dispatcher.announce_workers(1)
    harness.report('w1')
    harness.submit(one_step_job())
    harness.dispatcher.acknowledge_workers(1)
    harness.after(0.025)
    assert not harness.starts()
    assert not harness.dispatcher.announce_workers(2).unused_worker_ids
    harness.dispatcher.acknowledge_workers(2)
    harness.after(0.025)
    assert len(harness.starts()) == 1


def announce(harness):
    """Let all instances know of all workers."""
    harness.dispatcher.announce_workers(1)
    harness.dispatcher.acknowledge_workers(1)


def new_dispatcher_harness(**options):
    """Return a harness whose dispatcher has not heard its workers yet."""
    harness = Harness(**options)
    harness.infos = {w: worker_info(w) for w in ('w1', 'w2')}
    harness.dispatcher.set_workers(
        harness.infos,
        harness.now_s,
        dispatch.WorkerListState(version=1, changed_version=1),
    )
    announce(harness)
    return harness


@pytest.mark.parametrize(
    'earlier_list', [None, dispatch.ListInUse(1, 1)], ids=['unknown', 'known']
)
def test_new_job_waits_for_the_first_reports(earlier_list):
    """Guards against a second run of a job that its caller submits again.

    The instance that had it has failed shortly before the earlier leader, so
    that nobody hands the job over.
    """
    harness = new_dispatcher_harness(
        earlier_contact_s=99.3, earlier_list=earlier_list
    )
    job = one_step_job()
    harness.submit(job)
    harness.now_s += 0.001
    harness.report('w1')
    harness.after(0.025)
    assert not harness.starts()
    harness.report('w2', running=[(dispatch.TaskKey(job.id, 0, 0), 1)])
    harness.submit(one_step_job('b' * 16))
    harness.after(0.025)
    assert {start.key.job_id for start in harness.starts()} == {'b' * 16}
    assert harness.dispatcher.counters['runs_adopted'] == 1


def test_new_job_waits_until_the_earlier_leases_have_ended():
    """A worker that is not heard may run a task under its lease."""
    harness = new_dispatcher_harness(
        earlier_contact_s=99.3, earlier_list=dispatch.ListInUse(1, 1)
    )
    step = dispatch.Step(1, dispatch.Resources(6_800, 64), 1.0)
    harness.submit(dispatch.Job('a' * 16, QUEUE, 'payload', (step,)))
    harness.report('w1')
    harness.after(0.49)
    assert not harness.starts()
    harness.after(0.02)
    assert len(harness.starts()) == 1


def test_job_that_cannot_be_a_resubmission_starts_at_once():
    """The earlier leader has named all jobs that may have runs.

    Other jobs would be held for nothing, while a worker is silent.
    """
    harness = new_dispatcher_harness(
        earlier_contact_s=99.5,
        earlier_list=dispatch.ListInUse(1, 1),
        earlier_running_job_ids=['b' * 16],
    )
    harness.submit(one_step_job())
    harness.report('w1')
    harness.after(0.025)
    assert len(harness.starts()) == 1


@pytest.mark.parametrize('contact_s', [99.5, 99.9, 100.0])
def test_job_soon_after_the_last_contact_waits_for_a_silent_worker(contact_s):
    """Guards against a second run beside one that a stop did not reach.

    A job that came less than 0.6 s after the last contact with the earlier
    leader was started at once: the leader was taken to have stopped the runs
    of callers that could come back so soon.
    """
    harness = new_dispatcher_harness(
        earlier_contact_s=contact_s, earlier_list=dispatch.ListInUse(1, 1)
    )
    step = dispatch.Step(1, dispatch.Resources(6_800, 64), 1.0)
    harness.submit(dispatch.Job('a' * 16, QUEUE, 'payload', (step,)))
    harness.report('w1')
    harness.after(contact_s + 1.19 - 100.0)
    assert not harness.starts()
    harness.after(0.04)
    assert len(harness.starts()) == 1


def test_new_job_does_not_wait_for_an_unused_worker():
    harness = new_dispatcher_harness(
        earlier_contact_s=99.3,
        earlier_list=dispatch.ListInUse(
            1, 1, unused_worker_ids=frozenset(['w2'])
        ),
    )
    harness.submit(one_step_job())
    harness.report('w1')
    harness.after(0.025)
    assert len(harness.starts()) == 1


def test_leader_of_one_data_centre_waits_for_workers_elsewhere():
    """The leader cannot see the runs on workers of other data centres."""
    harness = Harness('w1', is_fleet_wide=False)
    harness.submit(one_step_job(), last_contact_s=harness.now_s)
    harness.now_s += 0.01
    harness.report('w1')
    harness.after(0.025)
    assert not harness.starts()
    harness.after(1.8)
    assert len(harness.starts()) == 1


def test_new_job_waits_for_workers_outside_the_data_centre():
    """Guards against a second run of a job that its caller submits again.

    Its first run may be on a worker that is not listed to the leader of one
    data centre.
    """
    harness = new_dispatcher_harness(
        earlier_contact_s=99.3,
        earlier_list=dispatch.ListInUse(1, 1),
        is_fleet_wide=False,
    )
    step = dispatch.Step(1, dispatch.Resources(6_800, 64), 1.0)
    harness.submit(dispatch.Job('a' * 16, QUEUE, 'payload', (step,)))
    harness.now_s += 0.001
    harness.report('w1')
    harness.report('w2')
    harness.after(0.48)
    assert not harness.starts()
    harness.after(0.025)
    assert len(harness.starts()) == 1


def test_run_of_an_earlier_dispatcher_is_adopted():
    harness = Harness('w1')
    job = one_step_job()
    key = dispatch.TaskKey(job.id, 0, 0)
    harness.report('w1', running=[(key, 9)])
    harness.submit(job, last_contact_s=harness.now_s)
    assert not harness.starts()
    # This dispatcher has granted no lease for the run, but the earlier one
    # may have.
    harness.after(0.025)
    assert not harness.starts()
    harness.now_s += 0.1
    harness.report(
        'w1',
        ended=[dispatch.EndedRun(1, key, 9, dispatch.EndKind.DONE)],
    )
    assert outcome_of(harness).kind is dispatch.OutcomeKind.COMPLETED


@pytest.mark.parametrize('kind', list(dispatch.EndKind))
def test_end_of_an_older_attempt_does_not_hide_a_run(kind):
    """Guards against a second run beside that of an earlier dispatcher.

    Its task was moved or had failed before, and the worker of the first
    attempt reports that end again, since the earlier dispatcher has not
    acknowledged it. The caller submits the job again.
    """
    harness = Harness('w1', 'w2', 'w3')
    job = one_step_job()
    key = dispatch.TaskKey(job.id, 0, 0)
    harness.report('w2', running=[(key, 5)])
    harness.report('w1', ended=[dispatch.EndedRun(1, key, 3, kind)])
    harness.submit(job)
    assert not harness.starts()
    assert harness.dispatcher.counters['runs_adopted'] == 1


def test_unknown_run_is_stopped_after_the_grace_period():
    """A run whose job no instance submits must not occupy resources."""
    harness = Harness('w1')
    key = dispatch.TaskKey('c' * 16, 0, 0)
    harness.report('w1', running=[(key, 9)])
    assert not harness.effects(dispatch.StopRun)
    harness.after(0.35)
    (stop,) = harness.effects(dispatch.StopRun)
    assert (stop.key, stop.run_id) == (key, 9)


def test_lease_of_a_foreign_run_is_not_renewed():
    """Guards against a second run beside one that outlives its lease.

    Its dispatcher is still active, but partitioned from the worker. It starts
    the task elsewhere after the leases that it has given.
    """
    harness = Harness('w1')
    key = dispatch.TaskKey('c' * 16, 0, 0)
    harness.report('w1', running=[(key, 9)])
    assert harness.dispatcher.renew_lease('w1', harness.now_s)[0] is None
    harness.submit(one_step_job())
    assert not harness.starts()
    harness.after(0.11)
    (stop,) = harness.effects(dispatch.StopRun)
    assert stop.key == key
    harness.report(
        'w1',
        ended=[dispatch.EndedRun(1, key, 9, dispatch.EndKind.STOPPED)],
    )
    assert harness.dispatcher.renew_lease('w1', harness.now_s)[0] is not None
    assert len(harness.starts()) == 1


def test_raised_token_pauses_jobs_of_other_instances():
    """Guards against a start for an instance that has changed dispatcher.

    The other dispatcher relies on workers rejecting this one's token.
    """
    harness = Harness('w1')
    harness.dispatcher.raise_token(9, ['e2'])
    harness.submit(one_step_job('d' * 16), instance_id='e2')
    assert not harness.starts()
    harness.submit(one_step_job('e' * 16), instance_id='e1')
    assert [s.key.job_id for s in harness.starts()] == ['e' * 16]
    harness.dispatcher.resume_instance('e2', harness.now_s)
    assert [s.key.job_id for s in harness.starts()] == ['d' * 16]


def test_worker_that_rejects_for_no_room_must_report_first():
    harness = Harness('w1')
    harness.submit(one_step_job())
    (start,) = harness.starts()
    harness.dispatcher.handle_start_rejected(
        'w1',
        start.key,
        start.run_id,
        dispatch.Rejection.NO_ROOM,
        harness.now_s,
    )
    assert not harness.starts()
    harness.now_s += 0.01
    harness.report('w1')
    assert len(harness.starts()) == 1


def test_fenced_start_reports_that_the_dispatcher_is_superseded():
    harness = Harness('w1')
    harness.submit(one_step_job())
    (start,) = harness.starts()
    harness.dispatcher.handle_start_rejected(
        'w1', start.key, start.run_id, dispatch.Rejection.FENCED, harness.now_s
    )
    (effect,) = harness.effects(dispatch.Superseded)
    assert effect.token == 5


def test_leaving_worker_gets_no_new_run():
    harness = Harness('w1')
    harness.dispatcher.set_workers(
        {'w1': worker_info('w1', is_leaving=True)}, harness.now_s
    )
    harness.submit(one_step_job())
    assert not harness.starts()


def test_restart_of_a_worker_ends_its_runs():
    harness = Harness('w1')
    harness.submit(one_step_job())
    (start,) = harness.starts()
    harness.accept(start)
    harness.now_s += 0.05
    harness.report('w1', life=2)
    (second,) = harness.starts()
    assert second.run_id > start.run_id


def test_older_incarnation_in_the_list_does_not_end_runs():
    """Guards against a second run when the list of workers lags.

    Found with seed 4007 of tests/leased.
    """
    harness = Harness('w1', 'w2')
    harness.report('w1', life=2)
    harness.submit(one_step_job())
    (start,) = harness.starts()
    harness.accept(start)
    # The list still shows the previous incarnation.
    harness.dispatcher.set_workers(harness.infos, harness.now_s)
    assert not harness.starts()


def test_cancelled_job_stops_its_runs():
    harness = Harness('w1')
    job = one_step_job(n_tasks=2)
    harness.submit(job)
    for start in harness.starts():
        harness.accept(start)
    harness.dispatcher.cancel(job.id, 'e1', 'caller left', harness.now_s)
    effects = harness.effects()
    assert len([e for e in effects if isinstance(e, dispatch.StopRun)]) == 2
    assert not [e for e in effects if isinstance(e, dispatch.AnswerJob)]


def test_outcome_of_a_cancelled_job_is_not_kept():
    """An instance that was out of contact resubmits its jobs."""
    harness = Harness('w1')
    job = one_step_job()
    harness.submit(job)
    harness.dispatcher.cancel_instance_jobs(
        'e1', 'out of contact', harness.now_s
    )
    assert harness.dispatcher.outcome(job.id) is None


def test_job_without_workers_ends_as_not_run():
    harness = Harness()
    harness.submit(one_step_job())
    harness.after(2.0)
    outcome = outcome_of(harness)
    assert outcome.kind is dispatch.OutcomeKind.NOT_RUN
    assert outcome.retry_after_s >= 1.0


def test_started_job_does_not_end_as_not_run():
    harness = Harness('w1')
    harness.submit(one_step_job(n_tasks=3))
    assert harness.starts()
    harness.after(6.0)
    assert outcome_of(harness).kind is dispatch.OutcomeKind.UNKNOWN


def test_completed_job_is_answered_again():
    """A duplicate submission after the answer starts no task."""
    harness = Harness('w1')
    job = one_step_job()
    harness.submit(job)
    (start,) = harness.starts()
    harness.accept(start)
    harness.end(start)
    harness.effects()
    harness.submit(job, instance_id='e2')
    (answer,) = harness.effects(dispatch.AnswerJob)
    assert answer.instance_id == 'e2'
    assert answer.outcome.kind is dispatch.OutcomeKind.COMPLETED


@pytest.mark.parametrize(
    'fields',
    [
        {'required_label': 'gpu'},
        {'max_per_worker': 1},
    ],
)
def test_placement_obeys_the_constraints_of_a_step(fields):
    harness = Harness('w1')
    harness.submit(one_step_job(n_tasks=2, **fields))
    expected = 0 if 'required_label' in fields else 1
    assert len(harness.starts()) == expected


def test_worker_in_the_preferred_rack_is_chosen_first():
    harness = Harness()
    infos = {
        'w1': worker_info('w1', labels=('r1',)),
        'w2': worker_info('w2', labels=('r2',)),
    }
    harness.dispatcher.set_workers(infos, harness.now_s)
    announce(harness)
    harness.report('w1')
    harness.report('w2')
    harness.submit(one_step_job(preferred_rack='r2'))
    (start,) = harness.starts()
    assert start.worker.id == 'w2'


def test_worker_that_fails_all_runs_is_suspended():
    harness = Harness('w1')
    for number in (1, 2):
        harness.submit(one_step_job(f'{number:016x}'))
        (start,) = harness.starts()
        harness.accept(start)
        harness.end(start, dispatch.EndKind.FAILED, number)
        harness.effects()
        harness.now_s += 0.01
    harness.submit(one_step_job('f' * 16))
    assert not harness.starts()
    harness.after(0.6)
    # One run at a time until one has succeeded.
    harness.submit(one_step_job('e' * 16))
    assert len(harness.starts()) == 1


def test_unsent_start_needs_no_further_stops():
    """Guards against stop requests that are repeated for ever.

    The job is cancelled while its start waits for a connection.
    """
    harness = Harness('w1')
    harness.submit(one_step_job())
    (start,) = harness.starts()
    harness.dispatcher.cancel(
        start.key.job_id, 'e1', 'caller left', harness.now_s
    )
    assert len(harness.effects(dispatch.StopRun)) == 1
    harness.dispatcher.handle_start_unanswered(
        start.worker.id, start.key, start.run_id, False, harness.now_s
    )
    harness.effects()
    for _ in range(20):
        harness.after(0.1)
    assert not harness.effects(dispatch.StopRun)


@pytest.mark.parametrize('n_tasks', [1, 4])
def test_ended_job_is_freed_at_once(n_tasks):
    """Guards against ended jobs that stay in memory.

    A job and its tasks refer to each other. Without a full garbage
    collection, which is rare, a crowd of large jobs added up.
    """
    harness = Harness('w1')
    harness.submit(one_step_job(n_tasks=n_tasks))
    harness.effects()
    state = weakref.ref(harness.dispatcher.jobs['a' * 16])
    gc.disable()
    try:
        harness.dispatcher.cancel('a' * 16, 'e1', 'caller left', 100.0)
        harness.effects()
        assert state() is None
    finally:
        gc.enable()
