"""Histories with several disruptions at a time, also of single links.

``python -m benchmarks.disruptions`` runs more seeds and other options.
"""

import pytest

from orioleloom_standins import leased


@pytest.mark.parametrize('seed', range(1, 13))
def test_no_task_has_two_runs_at_the_same_time(seed):
    """Guards against two runs on workers that are up, one or two of them."""
    report = leased.run_history(seed, disruptions=leased.Disruptions())
    assert report.outcomes.get('completed', 0) > report.n_jobs / 4
