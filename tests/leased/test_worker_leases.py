"""The simulated worker renews leases as the platform's protocol says.

Guards against a simulation in which a run ends sooner than on the platform.
"""

import dataclasses

import pytest

from orioleloom import dispatch
from orioleloom_standins import leased

KEY = dispatch.TaskKey('a' * 16, 0, 0)
ROOM = dispatch.Resources(6_800, 64)


def start(worker, now_s, **fields):
    command = dispatch.StartRun(worker.info, KEY, 5, '', 1, 1_000)
    return worker.start(
        dataclasses.replace(command, **fields), 20.0, ROOM, False, now_s
    )


@pytest.mark.parametrize(
    'run_id, rejection',
    [(5, None), (4, dispatch.Rejection.STALE_RUN_ID)],
)
def test_start_of_a_known_task_renews_the_leases(run_id, rejection):
    (worker,) = leased.site_workers(1)
    assert start(worker, 0.0) is None
    assert start(worker, 0.5, run_id=run_id, expires_ms=1_500) is rejection
    worker.advance(1.4)
    assert list(worker.running()) == [(KEY, 5)]
    worker.advance(1.6)
    assert not list(worker.running())


def test_fenced_or_late_start_renews_no_lease():
    (worker,) = leased.site_workers(1)
    assert start(worker, 0.0) is None
    fenced = start(worker, 0.5, token=0, expires_ms=1_500)
    assert fenced is dispatch.Rejection.FENCED
    late = start(worker, 0.5, run_id=6, expires_ms=400)
    assert late is dispatch.Rejection.LATE
    worker.advance(1.1)
    assert not list(worker.running())
