import random

import hypothesis
from hypothesis import strategies as st
import limits_fleet as fleet
import pytest

from orioleloom import codec
from orioleloom import limits

index = st.integers(0, 40)
event = st.one_of(
    st.tuples(st.just('advance'), st.floats(0.0, 3.0)),
    st.tuples(st.just('ask'), index, st.integers(0, 300)),
    st.tuples(st.just('deliver'), index, st.integers(0, 30)),
    st.tuples(st.just('drop'), index),
    st.tuples(st.just('start'), index),
    st.tuples(st.just('finish'), index),
    st.tuples(st.just('change'), st.integers(0, 120), index),
    st.tuples(st.just('tell_all')),
    st.tuples(st.just('die'), index),
    st.tuples(st.just('join'), index),
)


def apply_event(system, what):
    ids = system.ids()
    match what:
        case ('advance', seconds):
            system.advance(seconds)
        case ('ask', who, n_waiting):
            system.ask(ids[who % len(ids)], n_waiting)
        case ('deliver', which, n_waiting) if system.messages:
            # The message stays, so it may arrive again or very late.
            which %= len(system.messages)
            system.deliver(system.messages[which], n_waiting)
        case ('drop', which) if system.messages:
            del system.messages[which % len(system.messages)]
        case ('start', who):
            system.start_all(ids[who % len(ids)])
        case ('finish', who):
            system.shares[ids[who % len(ids)]].finish(
                fleet.CUSTOMER, system.now_s
            )
        case ('change', in_flight, n_told):
            system.change_contract(in_flight, n_told)
        case ('tell_all',):
            system.tell_all()
        case ('die', who) if len(ids) > 1:
            system.die(ids[who % len(ids)])
        case ('join', who):
            system.join(f'e{who * 251 % 10_000:04d}')


@hypothesis.settings(max_examples=400, deadline=None)
@hypothesis.given(
    st.integers(1, 6),
    st.integers(0, 100),
    st.lists(event, max_size=60),
)
def test_shares_never_exceed_the_limit(n_entries, in_flight, events):
    # Guards the bound of section 5: with one list, whatever happens to
    # messages, instances and contracts, the shares sum to at most the
    # largest limit that an instance still has in force, and the start
    # rates to the contract's.
    system = fleet.Fleet(n_entries, fleet.contract(1, in_flight, 1000.0, 200))
    for what in events:
        apply_event(system, what)
        limit = max(system.known[name].in_flight for name in system.ids())
        assert system.total_share() <= limit, what
        assert system.total_rate() <= 1000.01, what


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    st.integers(1, 5),
    st.integers(0, 40),
    st.floats(0.5, 100.0),
    st.lists(event, max_size=60),
)
def test_starts_never_exceed_rate_and_burst(n_entries, burst, rate, events):
    # Guards against tokens that exist twice: a token bucket of the whole
    # contract, with one start more for each instance that ever joined,
    # must allow every start.
    system = fleet.Fleet(n_entries, fleet.contract(1, 10**6, rate, burst))
    excess = 0.0
    n_joined = n_entries
    last_s = system.now_s
    for what in events:
        if what[0] in ('change', 'die', 'join'):
            continue
        if what[0] == 'start':
            name = system.ids()[what[1] % n_entries]
            excess = max(0.0, excess - rate * (system.now_s - last_s))
            last_s = system.now_s
            excess += system.start_all(name)
            assert excess <= burst + n_joined + 1e-6
        else:
            apply_event(system, what)


@hypothesis.settings(max_examples=100, deadline=None)
@hypothesis.given(
    st.integers(1, limits.MAX_PEERS_ASKED + 1), st.integers(1, 3000)
)
def test_one_busy_instance_gets_the_limit(n_entries, in_flight):
    # Guards R10: unused share is lent. Two exchanges must bring 90 %,
    # and the share must last while the demand lasts.
    system = fleet.Fleet(n_entries, fleet.contract(1, in_flight))
    name = system.ids()[0]
    running = 0
    for round_ in range(40):
        running += system.start_all(name)
        system.ask(name, 2 * in_flight)
        system.deliver_all()
        running += system.start_all(name)
        assert running <= in_flight
        if round_ >= 6:
            share = system.shares[name].usage()[fleet.CUSTOMER]
            assert share['borrowed'] + share['own'] >= 0.9 * in_flight
        system.advance(0.5)
    # At most one request and one grant a peer in 2.5 s.
    assert system.n_sent <= 2 * (n_entries - 1) * (1 + 20.0 / 2.5)


@hypothesis.given(
    st.integers(0, 200),
    st.lists(st.sets(st.integers(0, 6), max_size=6), min_size=7, max_size=7),
)
def test_excess_of_different_lists_is_bounded(in_flight, other_lists):
    # Guards the stated bound for lists that differ: at most the shares
    # of the instances that one list has and another has not.
    views = [sorted(members | {me}) for me, members in enumerate(other_lists)]
    shares = [
        limits.integer_share(in_flight, view.index(me), len(view))
        for me, view in enumerate(views)
    ]
    everywhere = set.intersection(*map(set, views))
    disputed = sum(
        -(-in_flight // min(map(len, views)))
        for me in range(7)
        if me not in everywhere
    )
    assert sum(shares) <= in_flight + disputed


def test_lender_gets_its_share_back():
    # Guards R10: lent share returns within the grant and its margin
    # although the borrower still asks for it.
    system = fleet.Fleet(2, fleet.contract(1, 100))
    first, second = system.ids()
    system.ask(first, 500)
    system.deliver_all()
    assert system.start_all(first) == 100
    waited_s = 0.0
    while system.shares[second].allowance(fleet.CUSTOMER, system.now_s) < 50:
        system.ask(first, 500)
        for message in list(system.messages):
            system.deliver(message, n_waiting=80)
        system.messages.clear()
        system.advance(0.5)
        waited_s += 0.5
    assert waited_s <= fleet.TTL_S + limits.LENDER_MARGIN_S + 0.5


def test_lowered_contract_is_obeyed_without_stopping_tasks():
    # Guards R8: shares of an older version must shrink at once where
    # the new one is known and end within 5 s elsewhere.
    system = fleet.Fleet(4, fleet.contract(1, 100))
    first = system.ids()[0]
    system.ask(first, 500)
    system.deliver_all()
    assert system.start_all(first) == 100
    system.change_contract(20, 4)
    assert system.total_share() <= 20
    assert system.shares[first].n_running(fleet.CUSTOMER) == 100
    assert system.start_all(first) == 0


def test_two_short_peers_share_what_is_lent():
    # Guards R11 across instances: the first to ask must not keep all.
    system = fleet.Fleet(3, fleet.contract(1, 300))
    first, second, _ = system.ids()
    for _ in range(40):
        for name in (first, second):
            system.start_all(name)
            system.ask(name, 500)
        system.deliver_all()
        system.advance(0.5)
    borrowed = [
        system.shares[name].usage()[fleet.CUSTOMER]['borrowed']
        for name in (first, second)
    ]
    assert borrowed == [50, 50]


def test_next_allowance_is_when_a_start_is_allowed():
    # Guards against an engine that sleeps past the next token.
    shares = limits.LimitShares(random_state=random.Random(1))
    shares.set_rank(0, 1, 0.0)
    shares.set_contract(fleet.contract(1, 100, 4.0, 2), 0.0)
    name = fleet.CUSTOMER
    assert shares.next_allowance_at_s(name, 0.0) == 0.0
    shares.start(name, 0.0)
    shares.start(name, 0.0)
    assert shares.allowance(name, 0.0) == 0
    at_s = shares.next_allowance_at_s(name, 0.0)
    assert at_s == pytest.approx(0.25)
    assert shares.allowance(name, at_s) == 1
    shares.start(name, at_s)
    shares.refund(name, at_s)
    assert (shares.allowance(name, at_s), shares.n_running(name)) == (1, 2)


def test_grants_without_a_request_are_ignored():
    # Guards against a late grant for a former life of the instance.
    shares = limits.LimitShares(random_state=random.Random(1))
    shares.set_rank(None, 2, 0.0)
    shares.set_contract(fleet.contract(1, 100), 0.0)
    grant = codec.ShareGrant(fleet.CUSTOMER, 1, 50, 1.0, 5000, 10)
    shares.receive('e2', grant, 0.0, message_id=7)
    assert shares.allowance(fleet.CUSTOMER, 0.0) == 0
    assert shares.shortage(fleet.CUSTOMER, 9, 0.0, message_id=8)
    shares.receive('e2', grant, 4.9, message_id=8)
    assert shares.allowance(fleet.CUSTOMER, 4.9) == 9
    assert shares.allowance(fleet.CUSTOMER, 5.0) == 0
