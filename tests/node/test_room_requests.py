"""Crowds of jobs of followers, and leaders without memory for them."""

import pytest
import trio

from orioleloom import dispatch
from orioleloom import memory
from orioleloom.node import _messages
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
N_JOBS = 20
# Their payloads are four times the limit.
N_SMALL_JOBS = 1_000
# Holds some of the jobs.
LIMIT_BYTES = 1_000_000


def new_job(number, n_tasks=200, payload='payload'):
    step = dispatch.Step(n_tasks, dispatch.Resources(100, 64), 0.2)
    return dispatch.Job(f'{number:016x}', QUEUE, payload, (step,))


def new_fleet(nursery, n_instances=3):
    fleet = leased.new_fleet(
        nursery,
        [f'dc{number % 3}' for number in range(n_instances)],
        workers=leased.site_workers(),
        seed=1,
    )
    for name in fleet._data_centres:
        fleet.memory_budgets[name] = memory.Budget(LIMIT_BYTES)
    fleet.start()
    return fleet


def submit(fleet, name, job):
    fleet.submit(name, job, [0.2] * job.steps[0].n_tasks)


def started_job_ids(fleet):
    return {start.key.job_id for start in fleet.starts}


def refused_job_ids(fleet):
    return {
        job_id
        for job_id, outcome in fleet.outcomes.items()
        if outcome.kind is dispatch.OutcomeKind.NOT_RUN
    }


@pytest.mark.parametrize('at_leader', [False, True])
async def test_crowd_is_refused_at_once(nursery, autojump_clock, at_leader):
    """Guards against a leader that takes over more than fits into it."""
    fleet = new_fleet(nursery)
    await trio.sleep(2)
    (leader,) = fleet.leaders()
    name = next(n for n in sorted(fleet.nodes) if (n == leader) is at_leader)
    for number in range(N_JOBS):
        submit(fleet, name, new_job(number))
    await trio.sleep(0.3)
    refused = refused_job_ids(fleet)
    assert 0 < len(refused) < N_JOBS
    assert {
        outcome.reason
        for job_id, outcome in fleet.outcomes.items()
        if job_id in refused
    } == {dispatch.NO_MEMORY}
    submit(fleet, name, new_job(100, n_tasks=1))
    await trio.sleep(5)
    assert len(fleet.outcomes) == N_JOBS + 1
    assert fleet.outcomes[f'{100:016x}'].kind is dispatch.OutcomeKind.COMPLETED
    assert not started_job_ids(fleet) & refused
    budget = fleet.memory_budgets[leader]
    assert 0 < budget.peak_job_bytes <= LIMIT_BYTES
    assert budget.job_bytes == 0


async def test_new_leader_takes_over_what_fits(nursery, autojump_clock):
    """Guards against a crowd that all arrives at the next leader."""
    fleet = new_fleet(nursery)
    await trio.sleep(2)
    (leader,) = fleet.leaders()
    followers = [name for name in sorted(fleet.nodes) if name != leader]
    # What an earlier leader with more memory has accepted.
    fleet.memory_budgets[leader].limit_bytes *= 100
    for number in range(2 * N_JOBS):
        submit(fleet, followers[number % 2], new_job(number))
    await trio.sleep(0.05)
    assert fleet.memory_budgets[leader].job_bytes > 2 * LIMIT_BYTES
    fleet.kill(leader)
    await trio.sleep(10)
    assert len(fleet.outcomes) == 2 * N_JOBS
    # They were submitted to the earlier leader, so that none of them is
    # certain not to have run.
    assert not refused_job_ids(fleet)
    for name in followers:
        assert fleet.memory_budgets[name].peak_job_bytes <= LIMIT_BYTES


async def test_leader_of_an_earlier_build(nursery, autojump_clock):
    """Guards against a large job that waits for an answer that never comes.

    A leader of an earlier build ignores the request for memory.
    """
    fleet = new_fleet(nursery)
    await trio.sleep(2)
    (leader,) = fleet.leaders()
    node = fleet.nodes[leader]
    handle_message = node._handle_message

    def ignore_requests(sender, message, now_s):
        if not isinstance(message, _messages.RoomRequest):
            handle_message(sender, message, now_s)

    node._handle_message = ignore_requests
    follower = next(n for n in sorted(fleet.nodes) if n != leader)
    fleet.nodes[follower].room_requests.answering_leader = None
    submit(fleet, follower, new_job(1))
    await trio.sleep(0.9)
    outcome = fleet.outcomes[new_job(1).id]
    assert outcome.kind is dispatch.OutcomeKind.COMPLETED


async def test_room_of_a_caller_that_has_left_is_released(
    nursery, autojump_clock
):
    """Guards against room that is granted to jobs that never arrive."""
    fleet = new_fleet(nursery)
    await trio.sleep(2)
    (leader,) = fleet.leaders()
    follower = next(n for n in sorted(fleet.nodes) if n != leader)
    submit(fleet, follower, new_job(1))
    fleet.nodes[follower].cancel(new_job(1).id)
    await trio.sleep(0.1)
    budget = fleet.memory_budgets[leader]
    assert budget.peak_job_bytes > 0
    assert budget.job_bytes == 0
    assert not fleet.starts


async def test_granted_room_ends_with_the_leader(nursery, autojump_clock):
    """Guards against an account of an earlier term that is never closed."""
    fleet = new_fleet(nursery)
    await trio.sleep(2)
    (leader,) = fleet.leaders()
    submit(fleet, leader, new_job(1))
    await trio.sleep(0.05)
    budget = fleet.memory_budgets[leader]
    assert budget.job_bytes > 0
    fleet.nodes[leader].begin_stop()
    await trio.sleep(0.02)
    assert budget.job_bytes == 0


@pytest.mark.parametrize('n_instances', [3, 9])
async def test_small_jobs_for_a_leader_that_stands_still(
    nursery, autojump_clock, n_instances
):
    """Guards against small jobs that fill the leader's socket.

    They are submitted without a request for memory. While the leader does
    not read, those of all followers add up.
    """
    fleet = new_fleet(nursery, n_instances)
    await trio.sleep(2)
    (leader,) = fleet.leaders()
    followers = [name for name in sorted(fleet.nodes) if name != leader]
    waiting = []
    node = fleet.nodes[leader]
    handle_message = node._handle_message
    node._handle_message = lambda *args: waiting.append(args)
    for number in range(N_SMALL_JOBS):
        name = followers[number % len(followers)]
        submit(fleet, name, new_job(number, n_tasks=1, payload='x' * 4_000))
    # Heartbeats go on for shorter than a follower may be silent.
    await trio.sleep(0.25)
    n_bytes = sum(len(_messages.encode(*args[:2])) for args in waiting)
    assert 0 < n_bytes < LIMIT_BYTES
    node._handle_message = handle_message
    for sender, message, _ in waiting:
        handle_message(sender, message, trio.current_time())
    await trio.sleep(10)
    assert len(fleet.outcomes) == N_SMALL_JOBS
    assert not started_job_ids(fleet) & refused_job_ids(fleet)
    kinds = {outcome.kind for outcome in fleet.outcomes.values()}
    assert dispatch.OutcomeKind.COMPLETED in kinds


async def test_usual_jobs_are_submitted_without_a_request(
    nursery, autojump_clock
):
    """Guards against a round trip to the leader before each small job.

    Their messages take more than may be on the way to the leader, but not at
    the same time.
    """
    fleet = new_fleet(nursery)
    await trio.sleep(2)
    (leader,) = fleet.leaders()
    follower = next(n for n in sorted(fleet.nodes) if n != leader)
    read = []
    node = fleet.nodes[leader]
    handle_message = node._handle_message

    def record(sender, message, now_s):
        read.append(message)
        handle_message(sender, message, now_s)

    node._handle_message = record
    for number in range(N_SMALL_JOBS):
        submit(fleet, follower, new_job(number, n_tasks=1))
        await trio.sleep(0.02)
    await trio.sleep(1)
    assert len(fleet.outcomes) == N_SMALL_JOBS
    submissions = [
        _messages.encode(node.local_sender, message)
        for message in read
        if isinstance(message, _messages.SubmitJob)
    ]
    assert sum(map(len, submissions)) > LIMIT_BYTES / 8
    assert not any(isinstance(m, _messages.RoomRequest) for m in read)


@pytest.mark.parametrize('is_killed', [False, True])
async def test_waiting_jobs_of_a_leader_that_loses_messages(
    nursery, autojump_clock, is_killed
):
    """Guards against small jobs that wait for a request that was lost."""
    fleet = new_fleet(nursery)
    await trio.sleep(2)
    (leader,) = fleet.leaders()
    followers = [name for name in sorted(fleet.nodes) if name != leader]
    node = fleet.nodes[leader]
    handle_message = node._handle_message

    def lose_submissions(sender, message, now_s):
        if not isinstance(
            message, _messages.RoomRequest | _messages.SubmitJob
        ):
            handle_message(sender, message, now_s)

    node._handle_message = lose_submissions
    for number in range(N_SMALL_JOBS):
        submit(
            fleet,
            followers[number % 2],
            new_job(number, n_tasks=1, payload='x' * 4_000),
        )
    await trio.sleep(0.15)
    if is_killed:
        fleet.kill(leader)
    node._handle_message = handle_message
    await trio.sleep(10)
    assert len(fleet.outcomes) == N_SMALL_JOBS
    assert not started_job_ids(fleet) & refused_job_ids(fleet)
    kinds = {outcome.kind for outcome in fleet.outcomes.values()}
    assert dispatch.OutcomeKind.COMPLETED in kinds
