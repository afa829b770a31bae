"""Fault-injection runs of complete nodes on trio's mock clock."""

import pytest

from orioleloom_standins import leased

# Seeds that once failed, with the defect that each exposed.
REGRESSIONS = {
    # An adopted run of a previous dispatcher was treated as lapsed.
    31: 'adopted run without a lease',
    # A superseded leader continued with jobs that it no longer held.
    102: 'token raised for jobs no longer held',
    # The leaders of two data centres both continued after partitions.
    44: 'one leader in each of two data centres',
    # Fencing tokens ran too far ahead of the wall clock.
    77: 'unbounded fencing tokens',
    93: 'unbounded fencing tokens',
    # A stale run of a task hid a newer run of it by another leader.
    2019: 'stale run',
    # The list of workers still had the previous life of a restarted worker.
    4007: 'outdated life in the list of workers',
}


@pytest.mark.parametrize('seed', [*range(1000, 1012), *REGRESSIONS])
def test_no_task_runs_twice_and_the_fleet_recovers(seed):
    """No task runs on two workers at once and every job gets an outcome.

    Also checks that the fleet serves jobs again once all faults have ended.
    """
    report = leased.run_history(seed)
    assert report.outcomes.get('completed', 0) > report.n_jobs / 2


@pytest.mark.parametrize('seed', range(1, 7))
def test_planned_stops_and_wrong_clocks_keep_the_promises(seed):
    """Guards against lost or duplicate runs while leadership changes."""
    report = leased.run_history(seed, has_stops=True)
    assert report.outcomes.get('completed', 0) > report.n_jobs / 2


# Seeds of the histories with crashes that once failed, with their cause.
CRASH_REGRESSIONS = {
    19: 'start by a report that was older than the raised token',
    27: 'start by a leader that had no configuration yet',
    # The stand-in let a fast worker finish a task that crashes its workers.
    126: 'the crashes under a task were forgotten when it was done',
}


@pytest.mark.parametrize('seed', [*range(1, 7), *CRASH_REGRESSIONS])
def test_crashes_and_changes_of_capacity_keep_the_promises(seed):
    """Tasks crash workers, cuts reset connections, capacity shrinks.

    No task runs twice at once or crashes worker after worker, and no start
    exceeds the capacity of a worker that does not check it.
    """
    report = leased.run_history(
        seed, has_crashes=True, has_stops=seed % 3 == 0
    )
    assert report.outcomes.get('completed', 0) > report.n_jobs / 2
