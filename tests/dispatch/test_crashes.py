"""Tests of workers that crash under their tasks."""

import random

import pytest

from orioleloom import dispatch
from orioleloom_standins import leased
from tests.dispatch import test_dispatcher as events

JOB_ID = 'd' * 16


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
