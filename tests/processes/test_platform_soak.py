"""Soak test of the platform program: real processes, random faults."""

import pytest

from orioleloom_standins import soak

# Seeds of earlier failures with their cause, and one for every change.
SEEDS = {1: 'short run for every change'}


@pytest.mark.processes
@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_random_faults(seed, tmp_path):
    """No task runs twice at once, service recovers, stops are clean."""
    report = soak.run_soak(seed, 6.0, str(tmp_path))
    assert not report.violations, (report.faults, report.violations)
    assert report.statuses.get(200, 0) > report.n_jobs / 2
