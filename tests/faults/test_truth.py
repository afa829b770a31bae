"""Regression tests for wrong "not run" answers (R4)."""

import pytest

from orioleloom_standins import virtual


@pytest.mark.parametrize('request_kind', ['fetch', 'cancel'])
def test_promise_of_a_sole_copy_does_not_cover_later_requests(request_kind):
    # Guards R4: the first copy cannot be claimed, and its caller sends a
    # second copy to another instance, which runs it. A fetch or cancel that
    # waits at the first instance must not be answered with "not run".
    world = virtual.World()
    world.network.cut.add(frozenset(('e0', 'platform')))
    first = world.submit('s1', [50.0] * 4, first=True)
    world.run_for(0.1)
    world.callers.disconnect(first)
    world.submit('s1', [50.0] * 4, entry_id='e1')
    if request_kind == 'fetch':
        later = world.callers.fetch(first.job_id, first.tasks, 'e0')
    else:
        later = world.cancel('s1')
    world.run_for(10.0)
    assert later.answer.body['error']['run'] == 'unknown'
    assert world.violations() == []


def test_sole_copy_that_cannot_be_claimed_did_not_run():
    # Guards F12: without later requests, the refusal still says "not run"
    # instead of "unknown".
    world = virtual.World()
    world.network.cut.add(frozenset(('e0', 'platform')))
    first = world.submit('s1', [50.0] * 4, first=True)
    world.run_for(10.0)
    assert first.answer.body['error']['run'] == 'not_run'
    assert world.n_starts() == 0
