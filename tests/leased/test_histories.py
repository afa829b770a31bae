"""Whole nodes under random faults, on the mock clock."""

import pytest

from orioleloom_standins import leased

# Seeds that failed once, with what they found.
REGRESSIONS = {
    # A run of an earlier dispatcher was taken for lapsed once adopted.
    31: 'adopted run without a lease',
    # A superseded leader went on with jobs that had left it.
    102: 'token raised for jobs that had left',
    # Leaders of two data centres went on after their cuts.
    44: 'two leaders of one data centre each',
    # Fencing tokens rose too far ahead of the time of day.
    77: 'tokens without bound',
    93: 'tokens without bound',
    # A stale run of the same task hid a newer one of another leader.
    2019: 'stale run',
    # The list of workers lagged behind a worker's new life.
    4007: 'older life in the list',
}


@pytest.mark.parametrize('seed', [*range(1000, 1012), *REGRESSIONS])
def test_no_task_runs_twice_and_the_fleet_recovers(seed):
    """No two runs of a task at one time; every job ends; service returns."""
    report = leased.run_history(seed)
    assert report.outcomes.get('completed', 0) > report.n_jobs / 2


@pytest.mark.parametrize('seed', range(1, 7))
def test_planned_stops_and_wrong_clocks_keep_the_promises(seed):
    """Guards against work lost or run twice while leaders hand over."""
    report = leased.run_history(seed, has_stops=True)
    assert report.outcomes.get('completed', 0) > report.n_jobs / 2
