"""What an instance uses of the platform's tables after a change of leader.

Guards against a worker that has left, or a queue that was withdrawn, being in
use again because another process with an older copy took over.
"""

import pytest
import trio

from orioleloom import dispatch
from orioleloom import node
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)


@pytest.fixture
async def fleet(nursery):
    fleet = leased.new_fleet(
        nursery,
        ['dc0', 'dc0', 'dc1', 'dc1', 'dc2', 'dc3'],
        workers=leased.site_workers(),
    )
    fleet.start()
    await trio.sleep(3)
    return fleet


async def submit_jobs(fleet, n_jobs=40):
    names = sorted(fleet.nodes)
    for number in range(n_jobs):
        job = dispatch.Job(
            f'{number:016x}',
            QUEUE,
            'payload',
            (dispatch.Step(2, dispatch.Resources(6_800, 64), 0.2),),
        )
        fleet.submit(names[number % len(names)], job, [0.1, 0.1])
        await trio.sleep(0.02)


@pytest.mark.parametrize('is_planned', [True, False])
@pytest.mark.parametrize('is_removed', [True, False])
async def test_worker_that_left_is_not_used_by_the_next_leader(
    fleet, autojump_clock, is_planned, is_removed
):
    """The store is away when the next leader takes over."""
    worker = fleet.workers['w2']
    info = worker.info._replace(is_leaving=True)
    fleet.store.put('workers', 'w2', None if is_removed else info)
    await trio.sleep(1.5)
    fleet.store.is_down = True
    n_starts = worker.n_starts
    (leader,) = fleet.leaders()
    if is_planned:
        fleet.nodes[leader].begin_stop()
        await trio.sleep(0.3)
    fleet.kill(leader)
    await trio.sleep(1.5)
    await submit_jobs(fleet)
    assert worker.n_starts == n_starts
    kinds = {o.kind for o in fleet.outcomes.values()}
    assert kinds == {dispatch.OutcomeKind.COMPLETED}


async def test_changes_in_several_responses_do_not_bring_a_worker_back(
    fleet, autojump_clock
):
    """The next leader has a newer list from its predecessor.

    Its own read goes on from its last one, seconds ago. The first response
    once replaced the newer list, and a worker that was leaving got tasks.
    """
    await trio.sleep(1)
    (leader,) = fleet.leaders()
    worker = fleet.workers['w23']
    for _ in range(4):
        for other in list(fleet.workers.values()):
            info = other.info
            if other is worker:
                info = info._replace(is_leaving=True)
            # Writes the row again, as workers do with each heartbeat.
            fleet.store.put('workers', info.id, info)
        await trio.sleep(0.3)
    await trio.sleep(1.0)
    fleet.store.max_rows_per_response = 3
    n_starts = worker.n_starts
    fleet.kill(leader)
    await trio.sleep(0.8)
    # More tasks than there is room for, so that every worker is used.
    job = dispatch.Job(
        'a' * 16,
        QUEUE,
        'payload',
        (dispatch.Step(100, dispatch.Resources(6_800, 64), 0.2),),
    )
    fleet.submit(sorted(fleet.nodes)[0], job, [0.2] * 100)
    await trio.sleep(2)
    assert fleet.outcomes[job.id].kind is dispatch.OutcomeKind.COMPLETED
    assert worker.n_starts == n_starts


async def test_instance_elected_while_it_reads_the_workers(
    fleet, autojump_clock, monkeypatch
):
    """Its read as a follower is still open when it begins to lead.

    It once slept until its next read as a follower, 15 s later, and started
    tasks on workers that had left.
    """
    (leader,) = fleet.leaders()
    for name, instance in fleet.nodes.items():
        if name == leader:
            continue
        watch = instance.worker_watch
        read_changes = watch.table.changes

        async def read_slowly(after, wait_s, read_changes=read_changes):
            await trio.sleep(0.6)
            return await read_changes(after, wait_s)

        monkeypatch.setattr(watch.table, 'changes', read_slowly)
        monkeypatch.setattr(node._tables, '_CHANGES_TIMEOUT_MARGIN_S', 1.0)
    # The followers' next reads begin 15 s after their first one.
    await trio.sleep(15.2 - trio.current_time())
    fleet.kill(leader)
    await trio.sleep(2)
    (successor,) = fleet.leaders()
    fleet.store.put('workers', 'w2', None)
    await trio.sleep(2)
    assert 'w2' not in fleet.nodes[successor].worker_watch.rows


async def test_configuration_withdrawn_while_an_instance_was_down(
    fleet, autojump_clock
):
    """It starts again while the store refuses it, and has only its peers."""
    (leader,) = fleet.leaders()
    name = next(n for n in sorted(fleet.nodes) if n != leader)
    fleet.kill(name)
    fleet.store.put('routing', 'config', node.Routing(2, ()))
    await trio.sleep(0.5)
    fleet.store.rejected_instances.add(name)
    fleet.start(name)
    await trio.sleep(3.0)
    assert fleet.nodes[name].routing.version == 2


async def test_configuration_withdrawn_while_the_store_refuses_an_instance(
    fleet, autojump_clock
):
    """Only that instance is refused; its leader has the new configuration."""
    (leader,) = fleet.leaders()
    name = next(n for n in sorted(fleet.nodes) if n != leader)
    fleet.store.rejected_instances.add(name)
    await trio.sleep(1.0)
    fleet.store.put('routing', 'config', node.Routing(2, ()))
    await trio.sleep(8.0)
    assert fleet.nodes[name].routing.version == 2


async def test_follower_reads_again_when_the_history_is_lost(
    fleet, autojump_clock, monkeypatch
):
    """Seen on harrowgate-loom-large: it read only at its next turn."""
    (leader,) = fleet.leaders()
    name = next(n for n in sorted(fleet.nodes) if n != leader)
    watch = fleet.nodes[name].worker_watch

    async def lose_history(after, wait_s):
        raise node.HistoryLostError('history')

    monkeypatch.setattr(watch.table, 'changes', lose_history)
    fleet.store.put('workers', 'w2', None)
    await watch.refresh()
    assert 'w2' not in watch.rows
