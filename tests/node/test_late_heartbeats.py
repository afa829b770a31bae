"""Heartbeats that arrive after later ones, as when a connection is replaced.

What an instance knows of the workers in use must not go back with them: the
next leader would not ask a worker for the run that it has.
"""

import trio

from orioleloom import dispatch
from orioleloom.node import _messages
from orioleloom_standins import leased


async def new_instance(nursery):
    fleet = leased.new_fleet(
        nursery, ['dc0', 'dc0', 'dc1'], workers=leased.site_workers(3)
    )
    fleet.start('e0')
    await trio.sleep(0.1)
    return fleet.nodes['e0']


def receive_heartbeat(instance, leader_id, term, sequence, list_in_use):
    instance._handle_message(
        _messages.Sender(leader_id, '1', f'tcp://10.0.0.{term}:1', 'dc1'),
        _messages.Beat(
            term,
            '',
            1,
            sequence,
            True,
            ['e0', 'e1', 'e2', 'e3', 'e4'],
            {},
            5,
            1,
            list_in_use,
        ),
        trio.current_time(),
    )


def list_of_the_leader(instance):
    """Return which workers jobs that nobody hands over wait for."""
    now_s = trio.current_time()
    instance.elector.become_leader('', now_s)
    instance._start_leading(now_s)
    return instance.leader.dispatcher.holds.earlier_list


async def test_earlier_heartbeat_of_the_same_leader(nursery, autojump_clock):
    instance = await new_instance(nursery)
    newer = dispatch.ListInUse(6, 6)
    receive_heartbeat(instance, 'e1', 3, 2, newer)
    receive_heartbeat(
        instance,
        'e1',
        3,
        1,
        dispatch.ListInUse(5, 5, unused_worker_ids=frozenset(['w1'])),
    )
    assert list_of_the_leader(instance) == newer


async def test_heartbeat_of_a_former_leader(nursery, autojump_clock):
    """It comes while the instance searches for the successor of another."""
    instance = await new_instance(nursery)
    receive_heartbeat(instance, 'e2', 4, 9, dispatch.ListInUse(6, 6))
    await trio.sleep(0.4)
    receive_heartbeat(instance, 'e1', 3, 1, dispatch.ListInUse(5, 5))
    assert list_of_the_leader(instance) == dispatch.ListInUse(5, 6)


async def test_list_of_a_leader_of_long_ago_does_not_count(
    nursery, autojump_clock
):
    """Guards against jobs that wait for workers that left long ago."""
    instance = await new_instance(nursery)
    receive_heartbeat(instance, 'e1', 3, 1, dispatch.ListInUse(5, 5))
    for number in range(25):
        await trio.sleep(0.1)
        receive_heartbeat(instance, 'e2', 8, number, dispatch.ListInUse(6, 6))
    assert list_of_the_leader(instance) == dispatch.ListInUse(6, 6)
