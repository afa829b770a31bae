import random

import hypothesis
from hypothesis import strategies as st
import limits_fleet as fleet
import pytest

from orioleloom import codec
from orioleloom import limits

index = st.integers(0, 40)
ask = st.tuples(st.just('ask'), index, st.integers(0, 300))
deliver = st.tuples(st.just('deliver'), index, st.sampled_from([0, 0, 30]))
event = st.one_of(
    # Requests and deliveries are frequent, so that loans accumulate.
    *[ask] * 4,
    *[deliver] * 6,
    *[st.tuples(st.just('advance'), st.floats(0.0, 2.0))] * 3,
    *[st.tuples(st.just('recall'), index, st.integers(0, 300))] * 3,
    st.tuples(st.just('drop'), index),
    st.tuples(st.just('start'), index),
    st.tuples(st.just('finish'), index),
    st.tuples(st.just('change'), st.integers(0, 120), index),
    st.tuples(st.just('tell_all')),
    st.tuples(st.just('die'), index),
    st.tuples(st.just('join'), index),
)


def apply_event(system, action):
    ids = system.ids()
    match action:
        case ('advance', seconds):
            system.advance(seconds)
        case ('ask', who, n_waiting):
            system.ask(ids[who % len(ids)], n_waiting)
        case ('deliver', which, n_waiting) if system.messages:
            # 0 is the newest. The message stays queued, so that it may
            # be delivered again or very late.
            which %= len(system.messages)
            system.deliver(system.messages[-1 - which], n_waiting)
        case ('drop', which) if system.messages:
            del system.messages[which % len(system.messages)]
        case ('recall', who, n_waiting):
            system.recall(ids[who % len(ids)], n_waiting)
        case ('start', who):
            system.start_all(ids[who % len(ids)])
        case ('finish', who):
            name = ids[who % len(ids)]
            system.shares[name].finish(fleet.CUSTOMER, system.now_s)
            system.send_returns(name)
        case ('change', in_flight, n_informed):
            system.change_contract(in_flight, n_informed)
        case ('tell_all',):
            system.tell_all()
        case ('die', who) if len(ids) > 1:
            system.die(ids[who % len(ids)])
        case ('join', who):
            system.join(f'e{who * 251 % 10_000:04d}')


def check_bound(system, action):
    assert system.total_share() <= system.limit(), action
    assert system.total_rate() <= 1000.05, action


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    st.integers(1, 6),
    st.integers(0, 100),
    st.lists(event, max_size=100),
)
def test_shares_never_exceed_the_limit(n_entries, in_flight, events):
    # Guards the bound of section 5: with one member list, whatever
    # happens to messages, instances and contracts, the shares sum to at
    # most the limit, or while versions differ to at most the largest
    # limit of the last 5 s.
    system = fleet.Fleet(n_entries, fleet.contract(1, in_flight, 1000.0, 200))
    for action in events:
        apply_event(system, action)
        check_bound(system, action)


def long_history(rng, system):
    """Yield random events, mostly requests and recent deliveries."""
    kinds = ['ask'] * 25 + ['deliver'] * 35 + ['advance'] * 20 + ['start'] * 7
    kinds += ['finish'] * 4 + ['drop'] * 3 + ['change', 'tell_all'] * 2
    kinds += ['die', 'join'] + ['recall'] * 15 + ['finish'] * 8
    for _ in range(600):
        kind, who = rng.choice(kinds), rng.randrange(41)
        del system.messages[:-60]
        if kind == 'join' and len(system.shares) > 8:
            continue
        yield {
            'advance': (kind, rng.random() * rng.choice([0.02, 1, 5])),
            'ask': (kind, who, rng.randrange(300)),
            'recall': (kind, who, rng.randrange(300)),
            'deliver': (
                kind,
                int(rng.expovariate(0.2)),
                rng.choice([0, 0, 30]),
            ),
            'change': (kind, rng.randrange(200), rng.randrange(10)),
            'tell_all': (kind,),
        }.get(kind, (kind, who))


# With seeds 1124 and 1261, a grant that was returned in part under a low
# limit grew again with the next contract version.
@pytest.mark.parametrize('seed', [*range(40), 1124, 1261])
def test_shares_never_exceed_the_limit_in_long_histories(seed):
    # Guards the same bound against faults that only long histories show:
    # 8,000 short ones did not show the two faults found here.
    system = fleet.Fleet(4, fleet.contract(1, 100, 1000.0, 200))
    for action in long_history(random.Random(seed), system):
        apply_event(system, action)
        check_bound(system, action)


# With seed 1095, an instance lent tokens that it had borrowed.
@pytest.mark.parametrize('seed', [*range(20), 1095])
def test_starts_never_exceed_rate_and_burst(seed):
    # Guards against duplicated tokens: every start must also be allowed
    # by a single token bucket with the rate and burst of the contract
    # plus one start per instance.
    rng = random.Random(seed)
    n_entries, burst, rate = rng.randint(2, 5), rng.randrange(200), 20.0
    system = fleet.Fleet(n_entries, fleet.contract(1, 10**6, rate, burst))
    excess = 0.0
    last_s = system.now_s
    for action in long_history(rng, system):
        if action[0] == 'start':
            excess = max(0.0, excess - rate * (system.now_s - last_s))
            last_s = system.now_s
            for name in system.ids()[action[1] % n_entries :]:
                excess += system.start_all(name)
            assert excess <= burst + n_entries + 1e-6
        elif action[0] not in ('change', 'die', 'join'):
            apply_event(system, action)


def test_repeated_request_gets_the_grant_of_its_version():
    # Guards against labelling a loan of an old contract with the new
    # version when its request is repeated: it would not be scaled down.
    system = fleet.Fleet(2, fleet.contract(1, 100))
    first = system.ids()[0]
    system.ask(first, 500)
    request = system.messages[0]
    system.deliver(request)
    system.messages.clear()
    system.change_contract(10, 2)
    system.deliver(request)
    system.deliver_all()
    assert system.total_share() <= 10


def test_grant_of_a_skipped_version_is_dropped_on_a_change():
    # Guards against keeping a grant that cannot be scaled because the
    # borrower never knew the limit of its contract version.
    system = fleet.Fleet(2, fleet.contract(1, 10))
    first, second = system.ids()
    system.change_contract(100, 0)
    system.set_contract(second, system.contracts[-1])
    system.ask(first, 500)
    system.deliver_all()
    system.change_contract(8, 2)
    assert system.total_share() <= 8


@hypothesis.given(
    st.integers(0, 200),
    st.lists(st.sets(st.integers(0, 6), max_size=6), min_size=7, max_size=7),
)
def test_excess_of_different_lists_is_bounded(in_flight, other_lists):
    # Guards the stated bound for member lists that differ: the excess is
    # at most the shares of the instances that are not on every list.
    member_lists = [
        sorted(members | {member})
        for member, members in enumerate(other_lists)
    ]
    shares = [
        limits.integer_share(
            in_flight, member_list.index(member), len(member_list)
        )
        for member, member_list in enumerate(member_lists)
    ]
    everywhere = set.intersection(*map(set, member_lists))
    disputed = sum(
        -(-in_flight // min(map(len, member_lists)))
        for member in range(7)
        if member not in everywhere
    )
    assert sum(shares) <= in_flight + disputed


def test_next_allowance_is_when_a_start_is_allowed():
    # Guards against a time after the next token is available, which
    # would make the engine sleep too long.
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
    # Guards against a late grant for a previous process of the instance.
    shares = limits.LimitShares(random_state=random.Random(1))
    shares.set_rank(None, 2, 0.0)
    shares.set_contract(fleet.contract(1, 100), 0.0)
    grant = codec.ShareGrant(fleet.CUSTOMER, 1, 50, 1.0, 5000, 10)
    shares.receive_grant('e2', grant, 0.0, message_id=7)
    assert shares.allowance(fleet.CUSTOMER, 0.0) == 0
    assert shares.make_share_request(fleet.CUSTOMER, 9, 0.0, message_id=8)
    shares.receive_grant('e2', grant, 4.9, message_id=8)
    assert shares.allowance(fleet.CUSTOMER, 4.9) == 9
    assert shares.allowance(fleet.CUSTOMER, 5.0) == 0


def test_lent_bucket_size_is_not_refilled():
    # Guards the burst: a lender must not refill the part of its bucket
    # that it lent, as the borrower may still hold those tokens.
    system = fleet.Fleet(2, fleet.contract(1, 100, 10.0, 20))
    lender = system.shares[system.ids()[1]]
    request = codec.ShareRequest(fleet.CUSTOMER, 1, 0, 0.0, burst=6)
    grant = lender.lend('e0000', request, 0, system.now_s, message_id=1)
    assert grant.burst == 6
    assert lender.allowance(fleet.CUSTOMER, system.now_s) == 4
    assert lender.allowance(fleet.CUSTOMER, system.now_s + 5.9) == 4
    assert lender.allowance(fleet.CUSTOMER, system.now_s + 7.3) == 10
