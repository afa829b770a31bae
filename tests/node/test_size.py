"""Costs that must not grow faster than the fleet.

On harrowgate-loom-large (97 instances, 540 workers) two troubled days were
given up for their processor time, and reading tables was the highest price
after the machines.
"""

import collections

import pytest
import trio

from orioleloom import node
from orioleloom_standins import leased


def make_fleet(nursery, n_instances, n_workers=24):
    fleet = leased.new_fleet(
        nursery,
        [f'dc{number % 4}' for number in range(n_instances)],
        workers=leased.site_workers(n_workers),
    )
    return fleet


async def count_frames_of_an_election(nursery, n_instances):
    fleet = make_fleet(nursery, n_instances)
    fleet.start()
    await trio.sleep(3.0)
    (leader,) = fleet.leaders()
    fleet.kill(leader)
    n_before = fleet.n_frames
    started_s = trio.current_time()
    while not fleet.leaders():
        await trio.sleep(0.01)
    assert trio.current_time() - started_s < 1.0
    return fleet.n_frames - n_before


async def test_messages_of_an_election(nursery, autojump_clock):
    """Each instance once probed all others, 16 times a second.

    Twice as many instances may cost at most three times as many messages,
    not four times. Both fleets exceed the number of candidates.
    """
    n_small = await count_frames_of_an_election(nursery, 24)
    n_large = await count_frames_of_an_election(nursery, 48)
    assert n_large < 3 * n_small


@pytest.mark.parametrize('n_dead', [12, 20])
async def test_election_without_the_best_candidates(
    nursery, autojump_clock, n_dead
):
    """The instances that a search contacts first may all be gone."""
    fleet = make_fleet(nursery, 40)
    for number in range(n_dead):
        fleet.ranks[f'e{number}'] = 2.0
    fleet.start()
    await trio.sleep(4.0)
    for number in range(n_dead):
        fleet.kill(f'e{number}')
    started_s = trio.current_time()
    while not fleet.leaders():
        await trio.sleep(0.01)
    assert trio.current_time() - started_s < 2.0
    await trio.sleep(1.0)
    assert len(fleet.leaders()) == 1


async def test_instances_read_only_what_has_changed(nursery, autojump_clock):
    """Followers once read the whole list of workers every 4 s."""
    fleet = make_fleet(nursery, 10, n_workers=60)
    fleet.start()
    await trio.sleep(3.0)
    n_before = fleet.store.n_rows_read
    await trio.sleep(12.0)
    # 20 s after its start the leader reads all tables again.
    assert fleet.store.n_rows_read - n_before < 60


async def test_tables_for_instances_that_start_without_the_store(
    nursery, autojump_clock, monkeypatch
):
    """Every peer once sent all tables in answer to every probe.

    Two copies leave room for one that crosses the leader's heartbeat.
    """
    copies = collections.Counter()
    handle_tables = node.Node._handle_tables

    def count_tables(self, sender_id, tables):
        copies[self.settings.instance_id] += 1
        handle_tables(self, sender_id, tables)

    monkeypatch.setattr(node.Node, '_handle_tables', count_tables)
    fleet = make_fleet(nursery, 20, n_workers=60)
    fleet.start()
    await trio.sleep(3.0)
    (leader,) = fleet.leaders()
    restarted = [n for n in sorted(fleet.nodes) if n != leader][:8]
    fleet.store.is_down = True
    for name in restarted:
        fleet.kill(name)
    await trio.sleep(0.3)
    copies.clear()
    fleet.start(*restarted)
    await trio.sleep(0.001)
    members = {
        name: node.MemberInfo(
            name, instance.settings.peer_bind, instance.settings.data_centre
        )
        for name, instance in fleet.nodes.items()
    }
    for name in restarted:
        fleet.nodes[name]._add_members(members, 0)
    await trio.sleep(3.0)
    assert all(fleet.nodes[name].is_ready() for name in restarted)
    assert max(copies.values()) <= 2
