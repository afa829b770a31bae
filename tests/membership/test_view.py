import pytest

from orioleloom import membership
from orioleloom import model

LIVE = model.MemberState.LIVE
LEAVING = model.MemberState.LEAVING
GONE = model.MemberState.GONE


def row(name, state=LIVE, role=model.Role.ENTRY, http='http://127.0.0.1:1'):
    return model.Member(name, role, state, 'north', http)


@pytest.fixture
def view():
    return membership.MemberView(instance_id='b')


def test_rank_follows_sorted_ids_and_counts_leaving(view):
    # Guards against not counting a leaving instance, which still runs tasks.
    view.apply([row('c'), row('b'), row('a', LEAVING)], 0.0)
    view.apply([row('w', role=model.Role.WORKER)], 0.0)
    assert view.rank_and_count(5.0) == (1, 3)
    assert [member.id for member in view.peers()] == ['a', 'c']
    assert [member.id for member in view.workers()] == ['w']
    assert view.apply([row('c'), row('a', GONE), row('x', GONE)], 6.0) == [
        row('a', GONE)
    ]
    assert view.rank_and_count(6.0) == (0, 2)
    assert view.find('a') is None


def test_no_rank_until_listed_for_the_hold(view):
    # Guards against shares that add up to more than the whole: peers must
    # have reduced theirs first.
    view.apply([row('a')], 0.0)
    assert view.rank_and_count(9.0) == (None, 1)
    view.apply([row('b')], 10.0)
    assert view.rank_and_count(14.9) == (None, 2)
    assert view.rank_and_count(15.0) == (1, 2)
    view.apply([row('b', GONE)], 16.0)
    assert view.rank_and_count(30.0) == (None, 1)
    view.apply([row('b')], 30.0)
    assert view.rank_and_count(31.0) == (None, 2)


def test_lone_instance_does_not_hold_and_keeps_its_rank(view):
    view.apply([row('b')], 0.0)
    assert view.rank_and_count(0.0) == (0, 1)
    view.apply([row('a')], 1.0)
    assert view.rank_and_count(1.0) == (1, 2)


def test_count_is_frozen_and_the_hold_restarts(view):
    # Guards against excess shares in a partition: the count must not change
    # during it, and an instance that peers may not have seen yet must not get
    # a share right after it.
    view.apply([row('a'), row('b')], 0.0)
    view.set_frozen(True)
    assert view.rank_and_count(100.0) == (None, 2)
    view.set_frozen(False)
    assert view.rank_and_count(100.0) == (None, 2)
    assert view.rank_and_count(105.0) == (1, 2)
    view.set_frozen(True)
    view.apply([row('c')], 106.0)
    assert view.rank_and_count(106.0) == (1, 2)
    view.set_frozen(False)
    assert view.rank_and_count(106.0) == (1, 3)


@pytest.mark.parametrize(
    ('timeouts', 'suspect'),
    [
        ([0.0, 1.0, 2.0], True),
        ([0.0, 2.0], False),
        ([0.0, 0.5, 1.0, 1.9], False),
        ([0.0, 'answer', 1.0, 2.0], False),
    ],
)
def test_suspicion_needs_three_timeouts_over_two_seconds(
    view, timeouts, suspect
):
    # Guards against suspecting a peer that is only slow.
    for at_s in timeouts:
        if at_s == 'answer':
            view.record_peer_answer('a', 0.5)
        else:
            view.record_peer_timeout('a', at_s)
    assert view.is_peer_suspect('a', 2.0) is suspect
    assert not view.is_peer_suspect('a', 100.0)


def test_announced_stop_outlives_an_older_row(view):
    # Guards against an older row that undoes an announcement (R6).
    view.apply([row('a'), row('b')], 0.0)
    view.mark_peer_leaving('a')
    assert view.find('a').state is LEAVING
    assert view.apply([row('a')], 1.0) == []
    assert view.find('a').state is LEAVING
    view.apply([row('a', http='http://127.0.0.1:2')], 2.0)
    assert view.find('a').state is LIVE
