"""In-flight limits of contracts under faults (R10)."""

import math

import pytest

from orioleloom_standins import audit
from orioleloom_standins import virtual
from tests.faults import injections

IN_FLIGHT = 9

# For up to the lag of the list, instances disagree on whether one of them
# is a member. The stated bound adds the share of that instance.
LIST_CHANGES = ('kill', 'kill_and_restart')


def loaded_world(in_flight: int = IN_FLIGHT, **options) -> virtual.World:
    """Return a world under steady load, with more slots than needed."""
    world = virtual.World(
        workers=virtual.default_workers(slots=32),
        contracts=[virtual.default_contract(in_flight=in_flight)],
        **options,
    )
    n_jobs = 0

    def submit() -> None:
        nonlocal n_jobs
        live = [e for e in world.entries.values() if e.alive]
        entry = live[n_jobs % len(live)]
        world.submit(f's{n_jobs}', [100.0] * 3, entry_id=entry.id)
        n_jobs += 1
        if world.now_s < 24.0:
            world.at(0.15, submit)

    submit()
    return world


@pytest.mark.parametrize('fault', injections.FAULTS)
@pytest.mark.parametrize('seed', range(2))
def test_in_flight_limit_under_fault(fault, seed):
    # Guards R10: despite lost grants, stale lists and restarts, all
    # instances together run at most as many tasks as the contract allows.
    world = loaded_world(seed=seed)
    if fault == 'operators_race':
        # The race changes the limit; the contract with the highest version
        # applies.
        limit = 10 + len(world.entries)
    else:
        limit = IN_FLIGHT
    if fault not in (*LIST_CHANGES, 'operators_race', 'clock_jumps'):
        world.watch.limits[virtual.CUSTOMER] = IN_FLIGHT
    world.run_for(2.0 + seed / 2)
    injections.FAULTS[fault](world, world.entries['e0'])
    world.run_for(20.0)
    assert world.violations() == []
    if fault in LIST_CHANGES:
        limit += math.ceil(limit / len(world.entries))
    peak = world.watch.peak_in_flight()[virtual.CUSTOMER]
    assert 0 < peak <= limit


@pytest.mark.parametrize('seed', range(3))
def test_lowered_limit_takes_effect(seed):
    # Guards R8 and R10: a lowered limit must hold as soon as the grants
    # made under the old limit have expired.
    world = loaded_world(24, seed=seed)
    world.run_for(3.0)
    world.put_contract('e0', 1, in_flight=4)
    world.run_for(27.0)
    assert world.violations() == []
    since_s = 10.0 + 3.0 + 6.0
    ledger = [e for e in world.workers.ledger() if e.time_s >= since_s]
    started = {e.key for e in ledger if e.event == 'start'}
    entries = [e for e in ledger if e.key in started]
    peak = audit.peak_in_flight(entries)[virtual.CUSTOMER]
    assert 0 < peak <= 4


def test_two_customers_keep_their_own_limits():
    # Guards R10: the limit of one customer must not affect another.
    world = virtual.World(
        workers=virtual.default_workers(slots=32),
        contracts=[
            virtual.default_contract(in_flight=4),
            virtual.default_contract(customer='noche', in_flight=7),
        ],
    )
    world.watch.limits = {virtual.CUSTOMER: 4, 'noche': 7}
    for index in range(30):
        world.submit(f's{index}', [200.0] * 4, entry_id='e0')
        world.submit(f's{index}', [200.0] * 4, customer='noche', entry_id='e1')
    world.run_for(40.0)
    assert world.violations() == []
    peak = world.watch.peak_in_flight()
    assert 0 < peak[virtual.CUSTOMER] <= 4
    assert 0 < peak['noche'] <= 7
