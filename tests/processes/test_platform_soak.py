"""Real processes of the platform's program under random faults."""

import pytest

from orioleloom_standins import soak

# Seeds that failed once, with the cause, and one that always runs.
SEEDS = {1: 'short run for every change'}


@pytest.mark.processes
@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_random_faults(seed, tmp_path):
    """No task runs twice at one time; service returns; stops end well."""
    report = soak.run_soak(seed, 6.0, str(tmp_path))
    assert not report.violations, (report.faults, report.violations)
    assert report.statuses.get(200, 0) > report.n_jobs / 2
