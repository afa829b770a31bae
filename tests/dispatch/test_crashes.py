"""Tests of workers that crash under their tasks."""

import random

import pytest

from orioleloom import dispatch
from orioleloom.dispatch import _crashes
from orioleloom_standins import leased
from tests.dispatch import test_dispatcher as events

JOB_ID = 'd' * 16
KEY = dispatch.TaskKey(JOB_ID, 0, 0)


def world_of(n_workers=6, seed=1):
    world = leased.World(leased.site_workers(n_workers), random.Random(seed))
    side = world.start_dispatcher()
    world.run_until(0.5)
    return world, side


def lost_causes(effects):
    return [
        effect.fields['reason']
        for effect in effects
        if isinstance(effect, dispatch.LogDecision)
        and effect.name == 'run_lost'
    ]


def started_run(harness):
    harness.submit(events.one_step_job())
    (start,) = harness.starts()
    harness.accept(start)
    return start


def lose(harness, start, *, is_closed, seconds=1.2):
    """Let a worker stop answering until its lease has ended."""
    for _ in range(3):
        harness.dispatcher.handle_poll_failure(
            start.worker.id, 'no answer', harness.now_s, is_closed=is_closed
        )
    harness.after(seconds)


@pytest.mark.parametrize(
    ('is_closed', 'cause'), [(True, 'crashed'), (False, 'silent')]
)
def test_cause_of_a_lost_run_tells_crash_and_silence_apart(is_closed, cause):
    """On call, a rack without power must not look like a deadly task."""
    harness = events.Harness('w1', 'w2')
    start = started_run(harness)
    lose(harness, start, is_closed=is_closed)
    effects = harness.effects()
    assert lost_causes(effects) == [cause]
    crashes = [
        effect.fields['tasks']
        for effect in effects
        if isinstance(effect, dispatch.LogDecision)
        and effect.name == 'worker_crashed'
    ]
    assert crashes == ([['a' * 16 + '.0.0']] if is_closed else [])
    counters = harness.dispatcher.counters
    assert counters[f'runs_lost_{cause}'] == 1
    assert counters['worker_crashes'] == is_closed


def test_closed_connection_after_silence_is_no_crash():
    """A machine that regains its power refuses connections for a moment."""
    harness = events.Harness('w1', 'w2')
    start = started_run(harness)
    harness.dispatcher.handle_poll_failure(
        start.worker.id, 'time-out', harness.now_s
    )
    lose(harness, start, is_closed=True)
    assert lost_causes(harness.effects()) == ['silent']


def test_closed_connection_of_a_worker_that_answers_again_is_no_crash():
    """A worker closes idle connections, also as a request is on its way."""
    harness = events.Harness('w1', 'w2')
    start = started_run(harness)
    harness.dispatcher.handle_poll_failure(
        start.worker.id, 'closed', harness.now_s, is_closed=True
    )
    harness.now_s += 0.1
    harness.report(start.worker.id, running=[(start.key, start.run_id)])
    lose(harness, start, is_closed=False)
    assert lost_causes(harness.effects()) == ['silent']


def test_cause_of_a_lost_run_names_restart_and_replacement():
    harness = events.Harness('w1', 'w2')
    start = started_run(harness)
    harness.now_s += 0.1
    harness.report(start.worker.id, life=2)
    effects = harness.effects()
    assert lost_causes(effects) == ['restarted']
    (again,) = [e for e in effects if isinstance(e, dispatch.StartRun)]
    harness.accept(again)
    harness.submit(events.one_step_job('b' * 16))
    (other,) = harness.starts()
    assert other.worker.id == again.worker.id
    harness.dispatcher.handle_start_rejected(
        other.worker.id,
        other.key,
        other.run_id,
        dispatch.Rejection.OTHER_INCARNATION,
        harness.now_s,
    )
    assert lost_causes(harness.effects()) == ['replaced']


def test_run_that_a_report_does_not_show_is_not_listed():
    harness = events.Harness('w1', 'w2')
    start = started_run(harness)
    harness.now_s += 0.1
    harness.report(start.worker.id)
    assert lost_causes(harness.effects()) == ['not_listed']


@pytest.mark.parametrize('takes_new_id', [False, True])
def test_crashed_worker_serves_again(takes_new_id):
    """Guards the stand-in: a worker is back seconds after its crash."""
    world, side = world_of(1)
    world.crash_worker('w0', takes_new_id=takes_new_id)
    world.run_until(5.0)
    job = dispatch.Job(
        JOB_ID,
        events.QUEUE,
        '',
        (dispatch.Step(1, dispatch.Resources(1_000), 0.1),),
    )
    world.declare(job, [0.1])
    side.submit(job)
    world.run_until(6.0)
    assert side.outcomes[JOB_ID][0].kind is dispatch.OutcomeKind.COMPLETED


def deadly_job(world, job_id=JOB_ID, n_tasks=1, crash_after_s=0.03):
    """Return a job whose first task crashes each worker that starts it."""
    job = dispatch.Job(
        job_id,
        events.QUEUE,
        'payload',
        (dispatch.Step(n_tasks, dispatch.Resources(6_800, 64), 0.2),),
    )
    world.declare(job, [0.2] * n_tasks)
    world.set_crashing(dispatch.TaskKey(job_id, 0, 0), crash_after_s)
    return job


def count_crashes(world):
    return sum(worker.n_crashes for worker in world.workers.values())


def test_task_that_crashes_workers_is_given_up_after_two():
    """Guards against a deadly task that runs until the caller's deadline.

    It crashed a worker every 1.1 s.
    """
    world, side = world_of()
    side.submit(deadly_job(world))
    world.run_until(10.0)
    assert count_crashes(world) == 2


def test_fast_worker_does_not_finish_a_deadly_task():
    """Guards the stand-in: such a task crashes each worker that starts it."""
    world, side = world_of()
    for worker in world.workers.values():
        worker.speed = 1.6
    side.submit(deadly_job(world, crash_after_s=0.19), deadline_s=12.0)
    world.run_until(10.0)
    assert count_crashes(world) == 2
    assert side.outcomes[JOB_ID][0].kind is dispatch.OutcomeKind.FAILED


def lost_twice(is_cut):
    """Return a world in which two workers stopped under the same task."""
    world, side = world_of()
    job = events.one_step_job(JOB_ID)
    world.declare(job, [0.4])
    side.submit(job, deadline_s=world.now_s + 12.0)
    for _ in range(2):
        world.run_until(world.now_s + 0.1)
        worker_id = next(w for w in world.workers if running(world, w))
        if is_cut:
            world.workers[worker_id].is_reset = True
        else:
            world.crash_worker(worker_id)
        while not side.dispatcher.workers[worker_id].runs:
            world.run_until(world.now_s + 0.01)
        while side.dispatcher.workers[worker_id].runs:
            world.run_until(world.now_s + 0.01)
    world.run_until(world.now_s + 0.1)
    return world, side, job


def running(world, worker_id):
    world.workers[worker_id].advance(world.now_s)
    return [key for key, _ in world.workers[worker_id].running()]


def all_running(world):
    return [key for w in world.workers for key in running(world, w)]


def test_job_fails_once_two_crashes_are_proven():
    """The answer names the task and both workers, and is not given before."""
    world, side, _ = lost_twice(is_cut=False)
    assert JOB_ID not in side.outcomes
    assert not all_running(world)
    world.run_until(9.0)
    outcome, _ = side.outcomes[JOB_ID]
    assert outcome.kind is dispatch.OutcomeKind.FAILED
    assert outcome.reason.startswith('task 0.0 crashed workers w')
    assert count_crashes(world) == 2


def test_task_is_not_blamed_for_cuts_that_reset_connections():
    """Guards against a false failure: both workers run on behind the cuts."""
    world, side, _ = lost_twice(is_cut=True)
    assert not all_running(world)
    for worker in world.workers.values():
        worker.is_reset = False
    world.run_until(world.now_s + 2.0)
    assert side.outcomes[JOB_ID][0].kind is dispatch.OutcomeKind.COMPLETED
    assert side.dispatcher.counters['crashes_refuted'] >= 1
    assert not side.dispatcher.crashes


def test_resubmission_of_a_blocked_job_waits_for_proof_and_then_fails():
    world, side, job = lost_twice(is_cut=False)
    side.dispatcher.cancel(JOB_ID, 'e1', 'caller left', world.now_s)
    side.submit(job)
    world.run_until(world.now_s + 0.1)
    assert not all_running(world)
    assert JOB_ID not in side.outcomes
    world.run_until(9.0)
    assert side.outcomes.pop(JOB_ID)[0].kind is dispatch.OutcomeKind.FAILED
    # Later than recent outcomes are kept.
    world.run_until(16.0)
    side.submit(job)
    world.run_until(16.1)
    assert side.outcomes[JOB_ID][0].kind is dispatch.OutcomeKind.FAILED
    assert count_crashes(world) == 2


def test_blocked_job_ends_as_unknown_at_its_deadline():
    """A job that may have run must not be refused as not run."""
    world, side, job = lost_twice(is_cut=True)
    side.dispatcher.cancel(JOB_ID, 'e1', 'caller left', world.now_s)
    side.submit(job, deadline_s=world.now_s + 1.0)
    world.run_until(world.now_s + 1.5)
    outcome, _ = side.outcomes[JOB_ID]
    assert outcome.kind is dispatch.OutcomeKind.UNKNOWN
    assert 'task 0.0 probably crashed workers w' in outcome.reason


def test_silent_workers_do_not_count_as_crashes():
    """Guards against blame for racks that lose power one after the other."""
    harness = events.Harness('w1', 'w2', 'w3', 'w4')
    harness.submit(events.one_step_job())
    for _ in range(3):
        (start,) = harness.starts()
        harness.accept(start)
        lose(harness, start, is_closed=False)
        # The rack is back with a new incarnation.
        harness.report(start.worker.id, life=2)
    assert len(harness.starts()) == 1
    assert not harness.dispatcher.crashes


def test_tasks_that_ran_beside_a_deadly_one_are_done():
    """Guards against blame for neighbours, and against taking them along."""
    world, side = world_of()
    # 24 cores hold three tasks and 16 cores two, so that all share workers.
    deadly = deadly_job(world, n_tasks=7, crash_after_s=0.1)
    healthy = events.one_step_job('e' * 16, n_tasks=6)
    world.declare(healthy, [0.3] * 6)
    side.submit(deadly, deadline_s=world.now_s + 12.0)
    side.submit(healthy, deadline_s=world.now_s + 12.0)
    world.run_until(10.0)
    assert side.outcomes['e' * 16][0].kind is dispatch.OutcomeKind.COMPLETED
    assert side.outcomes[JOB_ID][0].kind is dispatch.OutcomeKind.FAILED
    assert count_crashes(world) == 2
    assert not side.dispatcher.crashes.has_suspects('e' * 16)


def suspect_harness(*worker_ids):
    """Return a harness in which a worker crashed under two tasks."""
    harness = events.Harness(*worker_ids)
    harness.submit(events.one_step_job(n_tasks=2))
    starts = harness.starts()
    assert len({start.worker.id for start in starts}) == 1
    for start in starts:
        harness.accept(start)
    lose(harness, starts[0], is_closed=True)
    return harness, starts[0].worker.id


def test_suspects_run_alone():
    """Two suspects of one crash must not be lost together again."""
    harness, _ = suspect_harness('w1', 'w2', 'w3')
    starts = harness.starts()
    assert len({start.worker.id for start in starts}) == 2
    harness.submit(events.one_step_job('b' * 16))
    assert not harness.starts()
    harness.accept(starts[0])
    harness.end(starts[0])
    # Without suspects the worker is shared again.
    assert len(harness.starts()) == 1


def test_suspect_waits_for_an_empty_worker():
    harness, lost_id = suspect_harness('w1', 'w2')
    (start,) = harness.starts()
    harness.accept(start)
    assert start.worker.id != lost_id
    harness.now_s += 0.2
    harness.end(start)
    (other,) = harness.starts()
    assert other.key != start.key


def test_crash_under_a_suspect_holds_the_other_suspects_of_its_queue():
    """Guards against a crash of many workers by the suspects of one queue."""
    harness, _ = suspect_harness('w1', 'w2', 'w3')
    first, second = harness.starts()
    harness.accept(first)
    harness.accept(second)
    harness.end(second)
    harness.submit(events.one_step_job('b' * 16, n_tasks=3))
    lost_next = harness.starts()
    assert {s.worker.id for s in lost_next} == {second.worker.id}
    for start in lost_next:
        harness.accept(start)
    for start in (first, lost_next[0]):
        harness.dispatcher.handle_poll_failure(
            start.worker.id, 'closed', harness.now_s, is_closed=True
        )
    harness.after(1.2)
    harness.report('w1', life=2)
    harness.report('w2', life=2)
    harness.report('w3', life=2)
    starts = harness.starts()
    assert all(start.key.job_id == 'b' * 16 for start in starts)
    assert not any(
        harness.dispatcher.crashes.is_suspect(s.key) for s in starts
    )
    harness.after(2.0)
    assert any(
        harness.dispatcher.crashes.is_suspect(s.key)
        for s in [*starts, *harness.starts()]
    )


def test_task_that_ends_on_a_sound_worker_is_no_suspect():
    """Guards against a count that adds up over unrelated crashes."""
    harness, _ = suspect_harness('w1', 'w2', 'w3')
    first, second = harness.starts()
    harness.accept(first)
    harness.end(first, dispatch.EndKind.FAILED)
    assert not harness.dispatcher.crashes.is_suspect(first.key)
    assert harness.dispatcher.crashes.is_suspect(second.key)


def ledger_after_crash(*worker_ids):
    ledger = _crashes.CrashLedger()
    for worker_id in worker_ids:
        ledger.record(events.worker_info(worker_id), [KEY], 1.0)
    return ledger


def test_records_of_another_dispatcher_count_once():
    """Copies arrive from several instances and from the store."""
    ledger = ledger_after_crash('w1')
    records = ledger_after_crash('w1').records(2.0)
    ledger.add_records(records, 3.0)
    ledger.add_records(records, 3.0)
    assert not ledger.is_blocked(KEY.job_id)
    ledger.add_records(ledger_after_crash('w2').records(2.0), 3.0)
    assert ledger.is_blocked(KEY.job_id)


def test_proof_in_a_record_of_another_dispatcher_is_kept():
    ledger = ledger_after_crash('w1', 'w2')
    other = ledger_after_crash('w1', 'w2')
    other.prove_restart('w1', 2)
    other.prove_replacement('10.0.0.1:80', 'w9')
    ledger.add_records(other.records(2.0), 2.0)
    ledger.add_records(ledger_after_crash('w1', 'w2').records(2.0), 2.0)
    assert ledger.is_condemned(KEY.job_id)


def test_old_records_do_not_bring_back_refuted_or_cleared_suspects():
    """Guards against blame that a copy elsewhere has not yet forgotten."""
    ledger = ledger_after_crash('w1', 'w2')
    records = ledger.records(1.0)
    ledger.refute('w1', 1, 2.0)
    ledger.add_records(records, 2.0)
    assert not ledger.is_blocked(KEY.job_id)
    ledger.clear(KEY, 3.0)
    ledger.add_records(records, 3.0)
    assert not ledger.is_suspect(KEY)


def test_proven_crash_is_not_refuted():
    """A delayed report of the earlier incarnation proves nothing."""
    ledger = ledger_after_crash('w1')
    ledger.prove_restart('w1', 2)
    assert not ledger.refute('w1', 1, 2.0)
    assert ledger.is_suspect(KEY)


def test_ledger_is_bounded_in_time_and_number():
    ledger = _crashes.CrashLedger()
    for number in range(2_100):
        key = KEY._replace(index=number)
        ledger.record(events.worker_info(f'w{number}'), [key], number / 100)
    ledger.drop_old(21.0)
    assert len(ledger) == 2_000
    ledger.drop_old(100.0)
    assert not ledger
    assert not ledger.state()
