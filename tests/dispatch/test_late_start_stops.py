"""Stops of starts that the next life of a worker may carry out.

Guard against a run that begins beside the one started in its place.
"""

from orioleloom import dispatch
from tests.dispatch import test_dispatcher


def unanswered_start():
    """Return a harness with a start on w1 that has no answer."""
    harness = test_dispatcher.Harness('w1')
    harness.submit(test_dispatcher.one_step_job())
    (start,) = harness.starts()
    leave_unanswered(harness, start)
    harness.effects()
    return harness, start


def leave_unanswered(harness, start, is_sent=True):
    harness.dispatcher.handle_start_unanswered(
        start.worker.id, start.key, start.run_id, is_sent, harness.now_s
    )


def confirm(harness, start):
    harness.dispatcher.handle_stop_confirmed(
        start.worker.id, start.key, start.run_id, harness.now_s
    )


def stops_of(harness, start):
    return [
        stop
        for stop in harness.effects(dispatch.StopRun)
        if (stop.key, stop.run_id) == (start.key, start.run_id)
    ]


def test_late_start_is_stopped_in_the_next_life_of_its_worker():
    harness, start = unanswered_start()
    confirm(harness, start)
    harness.report('w1')
    harness.after(5.0)
    harness.effects()
    harness.report('w1', life=2)
    assert stops_of(harness, start)
    # The stop gets lost and is repeated.
    harness.after(0.5)
    assert stops_of(harness, start)
    confirm(harness, start)
    harness.after(0.5)
    assert not stops_of(harness, start)
    # A further restart needs another stop.
    harness.report('w1', life=3)
    assert stops_of(harness, start)


def test_late_start_is_stopped_if_the_worker_restarts_first():
    """The call times out when its worker has restarted already."""
    harness = test_dispatcher.Harness('w1')
    harness.submit(test_dispatcher.one_step_job())
    (start,) = harness.starts()
    harness.after(2.0)
    harness.report('w1', life=2)
    harness.effects()
    leave_unanswered(harness, start)
    harness.after(0.025)
    assert stops_of(harness, start)


def test_start_that_was_not_sent_needs_no_stop():
    harness = test_dispatcher.Harness('w1')
    harness.submit(test_dispatcher.one_step_job())
    (start,) = harness.starts()
    leave_unanswered(harness, start, is_sent=False)
    harness.effects()
    harness.report('w1', life=2)
    assert not stops_of(harness, start)


def test_late_start_is_forgotten():
    """Guards against records that grow without a bound."""
    harness, start = unanswered_start()
    confirm(harness, start)
    harness.report('w1')
    harness.after(60.0)
    harness.effects()
    harness.report('w1', life=2)
    assert not stops_of(harness, start)
