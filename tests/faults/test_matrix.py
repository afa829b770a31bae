"""Every fault at every step of a job and of a contract change.

Covers R1 to R6 and R8.
"""

import random

import pytest

from orioleloom import engine
from orioleloom_standins import virtual
from tests.faults import injections

STEPS = virtual.STEPS + virtual.CONTRACT_STEPS

# Rows are deleted within the run, but long after the last resubmission,
# since a copy sent after the deletion would correctly run again.
FORGETTING = engine.EngineSettings(retention_s=4.0, claim_retention_s=32.0)

# Enough tasks for a job to need a raise of its watermark and to wait for
# slots, so that each step occurs while others are in progress.
WORK_MS = [200.0] * 20


def run_with_faults(
    seed: int, plan: list[tuple[str, int, str]], **options
) -> tuple[virtual.World, int]:
    """Run jobs and inject each fault when its step occurs.

    :param plan: ``(step, occurrence, fault)`` tuples; a fault is injected
        at the given occurrence of its step, counted from 1
    :returns: the world, and the number of faults injected
    """
    if any(step == 'forget' for step, _, _ in plan):
        options = {'settings': FORGETTING, **options}
    world = virtual.World(seed=seed, **options)
    pending = list(plan)
    occurrences: dict[str, int] = {}
    n_injected = 0

    def on_step(step: str, entry: virtual.Entry) -> None:
        nonlocal n_injected
        occurrences[step] = occurrences.get(step, 0) + 1
        for item in list(pending):
            if item[0] == step and item[1] <= occurrences[step]:
                pending.remove(item)
                n_injected += 1
                injections.FAULTS[item[2]](world, entry)

    world.processes.on_step = on_step
    world.submit('s1', WORK_MS, first=True)
    world.submit('s2', [50.0], entry_id='e1', first=True)
    world.submit(world.mint_ticket(), WORK_MS)
    for index in range(4):
        world.run_for(1.0)
        _change_contract(world, index)
    # Callers without an answer resubmit to another instance, as if
    # through a load balancer.
    world.callers.resubmit_all(exclude='e0')
    world.run_for(16.0)
    world.callers.resubmit_all(exclude='e1')
    world.run_for(25.0)
    if pending:
        world.run_for(20.0)
    return world, n_injected


def _change_contract(world: virtual.World, index: int) -> None:
    """Change the contract at an instance, if it is running."""
    entry = world.entries[f'e{index % len(world.entries)}']
    if entry.alive and not entry.paused:
        version = entry.core.contract(virtual.CUSTOMER).version
        world.put_contract(entry.id, version, in_flight=40 + index)


def assert_consistent(world: virtual.World) -> None:
    assert world.violations() == []
    assert_contract_in_force(world)
    last = {}
    for copy in world.copies:
        if not copy.cancel:
            last[copy.job_id] = copy
    for copy in last.values():
        # The last copy was sent after every fault had ended.
        assert copy.answer is not None or copy.gave_up, copy
        if copy.answer is not None:
            assert copy.answer.body.get('state') in ('complete', 'failed')


def assert_contract_in_force(world: virtual.World) -> None:
    """Assert that running instances have the version in the table."""
    key = f'contract/{virtual.CUSTOMER}'
    (_, value, _) = world.platform.table.read([key])[0]
    for entry in world.entries.values():
        if entry.alive:
            contract = entry.core.contract(virtual.CUSTOMER)
            assert contract.version == value['version'], entry.id


@pytest.mark.parametrize('fault', injections.FAULTS)
@pytest.mark.parametrize('step', STEPS)
def test_fault_at_step(step, fault):
    # Guards R1 to R6 and R8: with any fault at any step, no task starts
    # twice, answers are complete, "not run" is only answered if true, no
    # task starts on a leaving worker after the grace time and contracts
    # are in force in time.
    world, n_injected = run_with_faults(1, [(step, 1, fault)])
    assert n_injected == 1
    assert_consistent(world)


@pytest.mark.parametrize('step', STEPS)
def test_race_of_operators_has_one_winner(step):
    # Guards R8: without other faults, exactly one of several concurrent
    # changes of a version is accepted, and the error of each other one
    # names both versions.
    world, _ = run_with_faults(1, [(step, 1, 'operators_race')])
    races: dict[int, list[virtual.Change]] = {}
    for change in world.callers.changes.values():
        races.setdefault(change.expected_version, []).append(change)
    assert max(map(len, races.values())) >= len(world.entries)
    for race in races.values():
        codes = [c.answer.body.get('error', {}).get('code') for c in race]
        losers = ['contract_conflict'] * (len(race) - 1)
        assert sorted(codes, key=str) == sorted([None, *losers], key=str)
    assert world.watch.violations() == []


@pytest.mark.parametrize('seed', range(60))
def test_random_pairs_of_faults(seed):
    # Guards R1 to R6 under two faults in one run. The test id is the seed.
    random_state = random.Random(seed)
    plan = [
        (
            random_state.choice(STEPS),
            random_state.randint(1, 12),
            random_state.choice(list(injections.FAULTS)),
        )
        for _ in range(2)
    ]
    world, _ = run_with_faults(seed, plan)
    assert_consistent(world)
