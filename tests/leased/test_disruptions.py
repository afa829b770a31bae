"""Histories with several disruptions at a time, also of single links.

``python -m benchmarks.disruptions`` runs more seeds and other options.
"""

import pytest

from orioleloom import dispatch
from orioleloom_standins import leased


@pytest.mark.parametrize('seed', range(1, 13))
def test_no_task_has_two_runs_at_the_same_time(seed):
    """Guards against two runs on workers that are up, one or two of them."""
    report = leased.run_history(seed, disruptions=leased.Disruptions())
    assert report.outcomes.get('completed', 0) > report.n_jobs / 4


OVERLOADS = leased.Disruptions(has_overloads=True)


@pytest.mark.parametrize('seed', range(1, 5))
def test_jobs_that_overloaded_leaders_refuse_never_start(seed):
    """Guards against an untrue "not run" and against two runs."""
    leased.run_history(seed, disruptions=OVERLOADS)


def test_refusal_that_the_leader_forgets_is_found(monkeypatch):
    """The check can fail: the instance submits such a job once more."""
    refuse = dispatch.Dispatcher._refuse

    def refuse_and_forget(self, job_id, instance_id, now_s):
        refuse(self, job_id, instance_id, now_s)
        del self._recent_outcomes[job_id]

    monkeypatch.setattr(dispatch.Dispatcher, '_refuse', refuse_and_forget)
    with pytest.raises(leased.Violation, match='refused as not run'):
        leased.run_history(138, disruptions=OVERLOADS)
