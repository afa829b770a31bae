"""Lending while each lender keeps an eighth of its own share."""

import hypothesis
from hypothesis import strategies as st
import limits_fleet as fleet

from orioleloom import limits


def lending_reserve(share):
    return -(-share // 8) if share > 1 else 0


def max_total_share(in_flight, n_entries, n_busy=1):
    """Return the largest sum of the shares of the busy instances."""
    return in_flight - sum(
        lending_reserve(limits.integer_share(in_flight, rank, n_entries))
        for rank in range(n_busy, n_entries)
    )


@hypothesis.settings(max_examples=100, deadline=None)
@hypothesis.given(
    st.integers(1, limits.MAX_PEERS_ASKED + 1), st.integers(1, 3000)
)
def test_one_busy_instance_gets_all_but_the_reserves(n_entries, in_flight):
    # Guards R10: unused share is lent for as long as there is demand.
    system = fleet.Fleet(n_entries, fleet.contract(1, in_flight))
    name = system.ids()[0]
    running = 0
    for round_number in range(40):
        running += system.start_all(name)
        system.ask(name, 2 * in_flight)
        system.deliver_all()
        running += system.start_all(name)
        assert running <= in_flight
        if round_number >= 6:
            share = system.shares[name].usage()[fleet.CUSTOMER]
            wanted = max_total_share(in_flight, n_entries)
            assert 0.9 * wanted <= share['borrowed'] + share['own'] <= wanted
        system.advance(0.5)
    # At most one request and one grant per peer every 2.5 s.
    assert system.n_sent <= 2 * (n_entries - 1) * (1 + 20.0 / 2.5)


def test_lender_gets_its_share_back_without_a_recall():
    # Guards R10: lent share is back after the grant's lifetime and the
    # lender's margin, even if the borrower keeps asking for it.
    system = fleet.Fleet(2, fleet.contract(1, 100))
    first, second = system.ids()
    system.ask(first, 500)
    system.deliver_all()
    assert system.start_all(first) == max_total_share(100, 2)
    waited_s = 0.0
    while system.shares[second].allowance(fleet.CUSTOMER, system.now_s) < 50:
        system.ask(first, 500)
        for message in list(system.messages):
            system.deliver(message, n_waiting=80)
        system.messages.clear()
        system.advance(0.5)
        waited_s += 0.5
    assert waited_s <= fleet.TTL_S + limits.LENDER_MARGIN_S + 0.5


def test_lowered_contract_is_obeyed():
    # Guards R8: an instance that knows a lower limit must scale down its
    # shares at once. Running tasks continue.
    system = fleet.Fleet(4, fleet.contract(1, 100))
    first = system.ids()[0]
    system.ask(first, 500)
    system.deliver_all()
    assert system.start_all(first) == max_total_share(100, 4)
    system.change_contract(20, 4)
    assert system.total_share() <= 20
    assert system.shares[first].n_running(fleet.CUSTOMER) == max_total_share(
        100, 4
    )
    assert system.start_all(first) == 0


def test_two_short_peers_halve_what_is_lent():
    # Guards R11 between instances: the first borrower to ask must not
    # keep all of the lent share.
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
    assert borrowed == [(100 - lending_reserve(100)) // 2] * 2
