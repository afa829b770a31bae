"""The count of the crashes under a task outlasts its leader."""

import pytest
import trio

from orioleloom import dispatch
from orioleloom import node
from orioleloom.node import _messages
from orioleloom_standins import leased

JOB_ID = 'd' * 16
QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
# A second run begins when the lease of the first has ended, and crashes its
# worker 0.8 s later.
CRASH_AFTER_S = 0.8
DURING_SECOND_RUN_S = 2.3


def start_fleet(nursery):
    fleet = leased.new_fleet(
        nursery,
        ['dc0', 'dc1', 'dc2', 'dc3'],
        workers=leased.site_workers(8),
    )
    fleet.start()
    return fleet


def deadly_job(fleet):
    job = dispatch.Job(
        JOB_ID,
        QUEUE,
        'payload',
        (dispatch.Step(1, dispatch.Resources(6_800, 64), 0.9),),
    )
    fleet.world.declare(job, [2.0])
    fleet.world.set_crashing(dispatch.TaskKey(JOB_ID, 0, 0), CRASH_AFTER_S)
    return job


async def submit_to_follower(fleet, deadline_s=15.0):
    """Submit the job to an instance that does not lead; return it."""
    await trio.sleep(2)
    (leader_id,) = fleet.leaders()
    holder_id = next(name for name in sorted(fleet.nodes) if name != leader_id)
    job = deadly_job(fleet)
    fleet.submit_declared(holder_id, job, deadline_s)
    await trio.sleep(DURING_SECOND_RUN_S)
    assert len(fleet.crash_log) == 1
    return job, leader_id, holder_id


async def test_job_fails_after_two_crashes(nursery, autojump_clock):
    fleet = start_fleet(nursery)
    await submit_to_follower(fleet)
    await trio.sleep(8)
    assert len(fleet.crash_log) == 2
    outcome = fleet.outcomes[JOB_ID]
    assert outcome.kind is dispatch.OutcomeKind.FAILED
    assert outcome.reason.startswith('task 0.0 crashed workers w')


async def test_count_outlasts_a_planned_handover(nursery, autojump_clock):
    fleet = start_fleet(nursery)
    _, leader_id, holder_id = await submit_to_follower(fleet)
    instance = fleet.nodes[leader_id]
    successor = next(
        follower.instance_id
        for follower in instance.leader.rank_successors()
        if follower.instance_id != holder_id
    )
    instance._hand_over_leadership(successor, trio.current_time())
    # Known before the first job is handed over: jobs follow after two hops of
    # 0.5 ms each, and a read of the store takes 4 ms.
    await trio.sleep(0.0012)
    dispatcher = fleet.nodes[successor].leader.dispatcher
    assert dispatcher.crashes.has_suspects(JOB_ID)
    await trio.sleep(9)
    assert len(fleet.crash_log) == 2
    assert fleet.outcomes[JOB_ID].kind is dispatch.OutcomeKind.FAILED


@pytest.mark.parametrize('is_store_down', [False, True])
async def test_count_outlasts_the_leader(
    nursery, autojump_clock, is_store_down
):
    """The instance that holds the job tells the next leader."""
    fleet = start_fleet(nursery)
    _, leader_id, _ = await submit_to_follower(fleet)
    fleet.store.is_down = is_store_down
    fleet.kill(leader_id)
    await trio.sleep(4)
    fleet.store.is_down = False
    await trio.sleep(7)
    assert len(fleet.crash_log) == 2
    assert fleet.outcomes[JOB_ID].kind is dispatch.OutcomeKind.FAILED


async def test_count_outlasts_a_loss_of_all_instances(nursery, autojump_clock):
    """The crash of the second run is seen by nobody, the third one counts."""
    fleet = start_fleet(nursery)
    job, _, _ = await submit_to_follower(fleet)
    for name in list(fleet.nodes):
        fleet.kill(name)
    await trio.sleep(1)
    fleet.start()
    await trio.sleep(2)
    fleet.submit_declared(sorted(fleet.nodes)[0], job, 15.0)
    await trio.sleep(14)
    assert len(fleet.crash_log) == 3
    assert fleet.outcomes[JOB_ID].kind is dispatch.OutcomeKind.FAILED


async def test_starts_are_not_written(nursery, autojump_clock):
    """Guards against a write for each start; only crashes are written."""
    fleet = start_fleet(nursery)
    await trio.sleep(2)
    for number in range(40):
        job = dispatch.Job(
            f'{number:016x}',
            QUEUE,
            'payload',
            (dispatch.Step(2, dispatch.Resources(6_800, 64), 0.2),),
        )
        fleet.submit('e0', job, [0.1, 0.1])
    await trio.sleep(3)
    assert fleet.store.n_crash_writes == 0
    fleet.submit_declared('e0', deadly_job(fleet), 15.0)
    await trio.sleep(8)
    # One for each crash and one for each proof.
    assert 1 <= fleet.store.n_crash_writes <= 4


async def test_old_rows_are_removed(nursery, autojump_clock):
    """Guards against a table that grows without bound."""
    fleet = start_fleet(nursery)
    await submit_to_follower(fleet)
    await trio.sleep(10)
    assert [r for r, _ in fleet.store.tables['crashes'].values() if r]
    await trio.sleep(65)
    assert not [r for r, _ in fleet.store.tables['crashes'].values() if r]


async def test_rows_of_an_earlier_fleet_are_removed(nursery, autojump_clock):
    """Rows that are too old to count must not stay for ever."""
    fleet = start_fleet(nursery)
    row = node.CrashRow(
        dispatch.TaskKey(JOB_ID, 0, 0), 'w1', 7, '10.0.0.1:80', True, 1.0
    )
    fleet.store.put('crashes', JOB_ID, [row])
    await trio.sleep(4)
    assert fleet.store.tables['crashes'][JOB_ID][0] is None


def test_message_of_crashes_can_be_decoded():
    record = dispatch.CrashRecord(
        dispatch.TaskKey(JOB_ID, 0, 0), 'w1', 7, '10.0.0.1:80', True, 0.5
    )
    sender = _messages.Sender('e1', '1', 'tcp://10.9.0.1:7000', 'dc0')
    frame = _messages.encode(sender, _messages.Crashes([record]))
    assert _messages.decode(frame) == (sender, _messages.Crashes([record]))


@pytest.mark.parametrize('age_s', [float('nan'), -5.0, 1e9])
def test_records_of_impossible_age_are_ignored(age_s):
    """Guards against suspects that are never forgotten."""
    ledger = dispatch.CrashLedger()
    record = dispatch.CrashRecord(
        dispatch.TaskKey(JOB_ID, 0, 0), 'w1', 7, '10.0.0.1:80', True, age_s
    )
    ledger.add_records([record], 100.0)
    assert not ledger


def test_row_of_crashes_is_exported():
    assert node.CrashRow._fields[:-1] == dispatch.CrashRecord._fields[:-1]
