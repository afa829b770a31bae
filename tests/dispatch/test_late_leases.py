"""Leases that late commands renew in the next life of their worker.

Guard against a second run beside one whose lease was renewed unnoticed.
"""

import pytest

from tests.dispatch import test_dispatcher

# Longest time that a lease may last on the dispatcher's clock.
LEASE_S = 1.07


def leave_poll_unanswered(harness, sent_s=None):
    harness.dispatcher.handle_poll_failure(
        'w1',
        'no answer',
        harness.now_s,
        renewal_sent_s=harness.now_s if sent_s is None else sent_s,
    )


def start_run(harness):
    harness.submit(test_dispatcher.one_step_job())
    (start,) = harness.starts()
    harness.accept(start)


def has_run(harness):
    return bool(harness.dispatcher.workers['w1'].runs)


def restarted_worker(n_polls, wait_s=0.0):
    """Return a harness with a run in the second life of a worker.

    :param n_polls: number of polls that the first life left unanswered
    :param wait_s: time from the polls to the start of the run
    """
    harness = test_dispatcher.Harness('w1')
    for _ in range(n_polls):
        leave_poll_unanswered(harness)
    harness.after(0.1)
    harness.report('w1', life=2)
    harness.after(wait_s)
    harness.report('w1', life=2)
    start_run(harness)
    return harness


@pytest.mark.parametrize('n_polls', [0, 1, 2])
def test_each_late_poll_may_renew_the_leases_once(n_polls):
    harness = restarted_worker(n_polls)
    end_s = (n_polls + 1) * LEASE_S
    harness.after(end_s - 0.01)
    assert has_run(harness)
    harness.after(0.02)
    assert not has_run(harness)


def test_poll_is_carried_out_within_a_limited_time():
    harness = restarted_worker(1, wait_s=13.0)
    harness.after(LEASE_S + 0.01)
    assert not has_run(harness)


def test_late_start_may_renew_the_leases_too():
    """One that was stopped is rejected, but its expiry counts."""
    harness = test_dispatcher.Harness('w1')
    harness.submit(test_dispatcher.one_step_job())
    (late,) = harness.starts()
    run = ('w1', late.key, late.run_id)
    harness.dispatcher.handle_start_unanswered(*run, True, harness.now_s)
    harness.dispatcher.handle_stop_confirmed(*run, harness.now_s)
    for life in (1, 2):
        harness.after(0.01)
        harness.report('w1', life=life)
        (start,) = harness.starts()
        harness.accept(start)
    harness.after(LEASE_S + 0.01)
    assert has_run(harness)
    harness.after(LEASE_S)
    assert not has_run(harness)


def test_poll_that_fails_after_the_restart_was_noticed_counts():
    harness = test_dispatcher.Harness('w1')
    sent_s = harness.now_s
    harness.after(0.1)
    harness.report('w1', life=2)
    start_run(harness)
    leave_poll_unanswered(harness, sent_s)
    harness.after(LEASE_S + 0.01)
    assert has_run(harness)


def test_late_poll_of_the_present_life_renews_nothing():
    """It comes after the expiry that it names."""
    harness = test_dispatcher.Harness('w1')
    start_run(harness)
    leave_poll_unanswered(harness)
    harness.after(LEASE_S + 0.01)
    assert not has_run(harness)
