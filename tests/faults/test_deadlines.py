"""Expired work is dropped before it is sent (R12)."""

import pytest

from orioleloom_standins import virtual


@pytest.mark.parametrize('wait_s', [0.5, 1.0])
def test_repeated_forward_carries_the_remaining_time(wait_s):
    # Guards R12: the first forward of a job with a ticket is lost. The
    # retry must carry the remaining time, not the whole deadline.
    world = virtual.World()
    ticket = world.mint_ticket('e0')
    world.network.peer_loss = 1.0
    copy = world.submit(ticket, [300.0] * 20, entry_id='e1', deadline_ms=800.0)
    world.run_for(wait_s)
    world.network.peer_loss = 0.0
    world.run_for(20.0)
    assert world.violations() == []
    assert copy.answer.body['state'] == 'failed'


def test_takeover_after_the_deadline_starts_nothing():
    # Guards R12: the search for the owner takes longer than the deadline of
    # the copy that takes the job over.
    world = virtual.World()
    world.submit('busy', [1000.0] * 200, first=True)
    world.run_for(0.5)
    world.submit('s1', [50.0], deadline_ms=800.0)
    world.run_for(0.05)
    world.kill(world.entries['e0'])
    n_starts = world.n_starts()
    copy = world.submit('s1', [50.0], entry_id='e1', deadline_ms=800.0)
    world.run_for(20.0)
    assert world.violations() == []
    assert world.n_starts() == n_starts
    error = copy.answer.body['error']
    assert (error['code'], error['run']) == ('deadline_exceeded', 'not_run')
