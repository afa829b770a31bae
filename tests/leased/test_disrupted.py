"""The faults of the disrupted fleet are felt, and its check can fail."""

import random

import pytest
import trio

from orioleloom import dispatch
from orioleloom import node
from orioleloom_standins import leased
from orioleloom_standins.leased import _disrupted

KEY = dispatch.TaskKey('a' * 16, 0, 0)
ROOM = dispatch.Resources(6_800, 64)


@pytest.fixture
def fleet(nursery, autojump_clock):
    leased.seed_scheduler(1)
    fleet = _disrupted.DisruptedFleet(
        nursery,
        leased.site_workers(2),
        ['dc0', 'dc1'],
        random_state=random.Random(1),
    )
    fleet.world.set_task(KEY, 5.0, ROOM)
    return fleet


async def start(fleet, worker_id='w0', run_id=1, lease_ms=1_000):
    """Send a start; return whether it was answered in time."""
    gateway = _disrupted._Gateway(fleet, 'e0')
    worker = fleet.workers[worker_id]
    command = dispatch.StartRun(
        worker.info,
        KEY,
        run_id,
        'payload',
        1,
        worker.clock_ms(trio.current_time()) + lease_ms,
    )
    with trio.move_on_after(0.03):
        await gateway.start(command)
        return True
    return False


def begin_fault(fleet, state):
    fleet.network.faults.append(
        _disrupted.LinkFault(frozenset(['e0']), frozenset(['w0']), state)
    )


@pytest.mark.parametrize(
    ('state', 'is_executed'),
    [
        (_disrupted.LinkState.CUT, False),
        (_disrupted.LinkState.MUTE, False),
        (_disrupted.LinkState.DEAF, True),
    ],
)
async def test_disrupted_link(fleet, autojump_clock, state, is_executed):
    """Guards against a one-way fault that blocks the wrong direction."""
    begin_fault(fleet, state)
    assert not await start(fleet)
    assert bool(fleet.workers['w0'].runs) is is_executed


async def test_lossy_link(fleet, autojump_clock):
    """Guards against a lossy link that loses nothing, or everything."""
    begin_fault(fleet, _disrupted.LinkState.LOSSY)
    n_reached = sum(fleet.network.reaches('e0', 'w0') for _ in range(300))
    assert 150 < n_reached < 250
    assert all(fleet.network.reaches('e0', 'w1') for _ in range(300))


async def test_second_run_on_one_worker_is_a_violation(fleet, autojump_clock):
    """Guards against a second run that hides the first on its worker."""
    with pytest.raises(BaseExceptionGroup) as info:
        async with trio.open_nursery() as inner:
            fleet.nursery = inner
            assert await start(fleet)
            await start(fleet, run_id=2)
            await trio.sleep(1.0)
    violations, _ = info.value.split(leased.Violation)
    (violation,) = violations.exceptions
    assert 'runs twice on w0' in str(violation)
    assert 'run 1 on w0 life 1 by e0 with token 1, sent' in str(violation)
    assert 'run 2 on w0 life 1 by e0 with token 1, sent' in str(violation)


async def test_run_that_ended_between_commands_is_no_violation(
    fleet, autojump_clock
):
    """Guards against counting a run whose lease has ended."""
    assert await start(fleet, lease_ms=200)
    await trio.sleep(0.3)
    assert await start(fleet, 'w1')


@pytest.mark.parametrize(
    ('late_lease', 'is_running'),
    [
        (leased.LateLease.AS_SENT, False),
        (leased.LateLease.FROM_ARRIVAL, True),
    ],
)
async def test_late_command(fleet, autojump_clock, late_lease, is_running):
    """A command without an answer is carried out seconds later."""
    fleet.late_lease = late_lease
    worker = fleet.workers['w0']
    worker.late_share = 1.0
    assert not await start(fleet)
    await trio.sleep(1.9)
    assert not fleet.starts
    while not fleet.starts:
        await trio.sleep(0.1)
    assert bool(worker.runs) is is_running


@pytest.mark.parametrize('is_late_after_restart', [False, True])
async def test_late_command_after_a_restart(
    fleet, autojump_clock, is_late_after_restart
):
    """The expiry lies far ahead on the clock of the new life."""
    fleet.late_after_restart = is_late_after_restart
    worker = fleet.workers['w0']
    worker.late_share = 1.0
    await trio.sleep(20)
    assert not await start(fleet)
    worker.crash()
    worker.restart(trio.current_time())
    worker.is_reachable = True
    await trio.sleep(15)
    assert bool(fleet.starts) is is_late_after_restart
    if is_late_after_restart:
        assert fleet.starts[0].rejection is None


async def test_new_worker_at_the_address_of_another_rejects(
    fleet, autojump_clock
):
    """Guards against commands that reach a worker they do not name."""
    old = fleet.workers['w0'].info
    fleet.workers['w0'].info = old._replace(id='w7')
    fleet.workers['w7'] = fleet.workers.pop('w0')
    gateway = _disrupted._Gateway(fleet, 'e0')
    with pytest.raises(node.RejectedError) as info:
        await gateway.report(old, 1, None, 0, 0.0)
    assert info.value.reason is dispatch.Rejection.OTHER_INCARNATION
