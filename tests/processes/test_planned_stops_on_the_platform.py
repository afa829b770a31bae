"""Planned stops of the platform program under clients that stay connected."""

import pytest

from orioleloom_standins import stop_soak

# Seeds of earlier failures with their cause.
SEEDS = {1: 'requests on open connections were accepted until the exit'}


@pytest.mark.processes
@pytest.mark.parametrize('seed', SEEDS)
def test_no_received_request_is_left_without_an_answer(seed, tmp_path):
    """Guards against an exit that closes connections with running jobs.

    An instance that stopped went on to accept jobs on open connections, and
    the process exited before they had ended.
    """
    report = stop_soak.run_stops(seed, 2, str(tmp_path))
    assert not report.violations
    assert report.statuses[200] > report.n_sent / 2
