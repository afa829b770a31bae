import signal

import pytest
import trio

from orioleloom_standins import fleet as fleets
from tests.processes import support

pytestmark = pytest.mark.processes

# Covers the deadline of a job, detection of a dead owner and one retry.
ANSWER_BOUND_S = 15.0


async def test_a_killed_instance_under_load_loses_no_answer(fleet):
    # Guards R1, R3 and R4: callers of a killed instance resubmit to the
    # others, which must start no task twice and answer in bounded time.
    victim = support.SPECS[1]
    async with (
        support.make_client(fleet) as connection,
        trio.open_nursery() as nursery,
    ):
        load = support.make_load(fleet, connection, rate_per_s=40)
        await nursery.start(load.run)
        await trio.sleep(1.0)
        fleet.processes[victim.id].kill()
        await trio.sleep(1.0)
        await fleet.list_as(victim.id, 'gone')
        await trio.sleep(1.0)
        load.stop()
    assert await fleet.audit() == []
    assert max(o.duration_s for o in load.outcomes) < ANSWER_BOUND_S
    n_complete = sum(outcome.complete for outcome in load.outcomes)
    # Only jobs owned by the killed instance may have failed.
    assert n_complete > 0.8 * len(load.outcomes)
    await fleet.start_entry(victim)
    await fleet.wait_serving(victim.id)


async def test_a_paused_instance_starts_nothing_that_was_taken_over(fleet):
    # Guards R1: an owner that resumes after its claims were taken over must
    # not start tasks above the start watermark that the new owner read.
    victim = support.SPECS[1]
    others = [spec.id for spec in support.SPECS if spec != victim]
    process = fleet.processes[victim.id]
    jobs = []
    async with (
        support.make_client(fleet, [victim.id]) as paused,
        support.make_client(fleet, others) as resubmitting,
        trio.open_nursery() as nursery,
    ):
        background = support.make_load(fleet, resubmitting, rate_per_s=10)
        load = support.make_load(fleet, paused)
        for number in range(24):
            tasks = tuple(
                fleets.make_task(support.UPSTREAM, 400)
                for _ in range(1 + number)
            )
            jobs.append((f'paused-{number}', tasks))

        async def submit(connection, submission_id, tasks):
            outcome = await fleet.submit(
                connection,
                tasks,
                submission_id=submission_id,
                deadline_ms=10_000,
            )
            load.outcomes.append(outcome)

        await nursery.start(background.run)
        for job in jobs:
            nursery.start_soon(submit, paused, *job)
        await trio.sleep(0.5)
        process.signal(signal.SIGSTOP)
        try:
            async with trio.open_nursery() as copies:
                for job in jobs:
                    copies.start_soon(submit, resubmitting, *job)
        finally:
            process.signal(signal.SIGCONT)
        background.stop()
    violations = await fleet.audit()
    assert violations == []
    history = await fleet.history()
    owners = {}
    for commit in history:
        for _, key, value in commit.ops:
            if '/paused-' in key and value is not None:
                owners.setdefault(key, set()).add(value['owner'])
    # At least one claim must have been taken over for the test to count.
    assert any(len(found) > 1 for found in owners.values())
    assert len(load.outcomes) == 2 * len(jobs)
    await fleet.wait_serving(victim.id)
