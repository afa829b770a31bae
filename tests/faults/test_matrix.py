"""Every fault at every step of a job (R1 to R6, R8)."""

import random

import injections
import pytest
import world as worlds

STEPS = (
    'receive',
    'claim',
    'committed',
    'raise',
    'send',
    'start',
    'run',
    'answer',
    'record',
    'deliver',
)

# Enough tasks that a job needs a raise of its watermark and waits for
# slots, so that each step happens while others are under way.
WORK_MS = [200.0] * 20


def run_with_faults(
    seed: int, plan: list[tuple[str, int, str]], **options
) -> tuple[worlds.World, int]:
    """Run jobs and inject each fault when its step happens.

    :param plan: ``(step, occurrence, fault)`` triples
    :returns: the world, and the number of faults injected
    """
    world = worlds.World(seed=seed, **options)
    waiting = list(plan)
    seen: dict[str, int] = {}
    n_injected = 0

    def on_step(step: str, entry: worlds.Entry) -> None:
        nonlocal n_injected
        seen[step] = seen.get(step, 0) + 1
        for item in list(waiting):
            if item[0] == step and item[1] <= seen[step]:
                waiting.remove(item)
                n_injected += 1
                injections.FAULTS[item[2]](world, entry)

    world.on_step = on_step
    world.submit('s1', WORK_MS, first=True)
    world.submit('s2', [50.0], entry_id='e1', first=True)
    ticket_entry = world.entries['e0']
    ticket = ticket_entry.core.mint_tickets(
        worlds.CUSTOMER, 1, world.now_s + ticket_entry.clock_offset_s
    )[0]
    world.submit(ticket, WORK_MS)
    for index in range(4):
        world.run_for(1.0)
        _change_contract(world, index)
    # Callers without an answer send a copy through the balancer.
    world.resubmit_all(exclude='e0')
    world.run_for(16.0)
    world.resubmit_all(exclude='e1')
    world.run_for(25.0)
    return world, n_injected


def _change_contract(world: worlds.World, index: int) -> None:
    """Change the contract at an instance that runs."""
    entry = world.entries[f'e{index % len(world.entries)}']
    if entry.alive and not entry.paused:
        version = entry.core.contract(worlds.CUSTOMER).version
        world.put_contract(entry.id, version, in_flight=40 + index)


def assert_sound(world: worlds.World) -> None:
    assert world.violations() == []
    last = {}
    for copy in world.copies:
        if copy.tasks:
            last[copy.job_id] = copy
    for copy in last.values():
        # The last copy was sent after every fault had healed.
        assert copy.answer is not None or copy.gave_up, copy
        if copy.answer is not None:
            assert copy.answer.body.get('state') in ('complete', 'failed')


@pytest.mark.parametrize('fault', injections.FAULTS)
@pytest.mark.parametrize('step', STEPS)
def test_fault_at_step(step, fault):
    # Guards R1 to R6: whatever fails at whichever step, no task starts
    # twice, answers are whole and "not run" is true.
    world, n_injected = run_with_faults(1, [(step, 1, fault)])
    assert n_injected == 1
    assert_sound(world)


@pytest.mark.parametrize('seed', range(60))
def test_random_pairs_of_faults(seed):
    # Guards R1 to R6 under two faults at once; the seed is the test id.
    drawn = random.Random(seed)
    plan = [
        (
            drawn.choice(STEPS),
            drawn.randint(1, 12),
            drawn.choice(list(injections.FAULTS)),
        )
        for _ in range(2)
    ]
    world, _ = run_with_faults(seed, plan)
    assert_sound(world)
