"""A leader that is paused must not act on permissions that have run out.

Its leases, its followers and its token may belong to another leader when it
runs again. The pause begins at each place where the process waits.
"""

import pytest

from orioleloom_standins import leased

# Around the limits of the design: a follower searches after 0.32 s,
# the leader drops it after 0.6 s, a lease lasts 1 s, jobs are held for 1.8 s.
# benchmarks.pauses has more durations, passes and seeds.
DURATIONS_S = (0.7, 1.6)


@pytest.mark.parametrize('duration_s', DURATIONS_S)
@pytest.mark.parametrize('point', leased.PAUSE_POINTS)
def test_paused_leader_starts_nothing_twice(point, duration_s):
    """Checks that no task runs on two workers and that the fleet recovers."""
    n_passes = {'store call sent': 1, 'store call answered': 1}.get(point, 5)
    leased.run_pause(7, leased.PlannedPause(point, n_passes, duration_s))
