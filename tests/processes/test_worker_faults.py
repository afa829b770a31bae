import pytest
import trio

from tests.processes import support

pytestmark = pytest.mark.processes

# Deadline of a job, which also bounds its exchanges, and one retry.
ANSWER_BOUND_S = 10.0

# With 40 jobs a second about 20 of the 32 slots are busy, so that every
# worker has work and three of four can carry all of it.
WORK_MS = (150.0, 300.0)

# A change of the list reaches every instance within its lag and a poll.
LIST_LAG_S = 4.0


async def test_a_worker_that_says_it_leaves_gets_no_new_work(fleet):
    # Guards R6: the worker's own word counts at once, so that each
    # instance has at most the sends on their way rejected.
    async with support.make_client(fleet) as connection:
        async with trio.open_nursery() as nursery:
            load = support.make_load(
                fleet, connection, rate_per_s=40, work_ms=support.BUSY_WORK_MS
            )
            await nursery.start(load.run)
            await trio.sleep(0.5)
            await fleet.worker_fault('plant1', 'leave', 3600)
            await support.wait_workers(
                fleet, lambda workers: not workers['plant1']['live']
            )
            # A list change of another worker must not undo its word.
            await fleet.list_as('plant0', 'leaving')
            await support.wait_workers(
                fleet, lambda workers: not workers['plant0']['live']
            )
            early = (await fleet.worker_counters())['plant1'].get(
                'rejected', 0
            )
            await trio.sleep(1.0)
            late = (await fleet.worker_counters())['plant1'].get('rejected', 0)
            load.stop()
    assert late == early
    assert await fleet.audit() == []
    assert all(outcome.complete for outcome in load.outcomes)
    await fleet.worker_fault('plant1', 'leave', 0)
    # The word of a worker counts until the list says something new of it.
    await fleet.list_as('plant1', 'leaving')
    await trio.sleep(LIST_LAG_S)
    for worker_id in ('plant0', 'plant1'):
        await fleet.list_as(worker_id, 'live')
    await support.wait_workers(
        fleet, lambda workers: all(w['live'] for w in workers.values())
    )


async def run_load(fleet, inject, *, duration_s=2.0):
    """Run load, inject a fault in it and audit at the end."""
    async with support.make_client(fleet) as connection:
        async with trio.open_nursery() as nursery:
            load = support.make_load(
                fleet, connection, rate_per_s=40, work_ms=WORK_MS
            )
            await nursery.start(load.run)
            await trio.sleep(0.5)
            await inject()
            await trio.sleep(duration_s)
            load.stop()
    assert await fleet.audit() == []
    assert max(o.duration_s for o in load.outcomes) < ANSWER_BOUND_S
    assert load.outcomes[-1].complete
    return load.outcomes


def n_starts(ledger, worker_id):
    return sum(
        entry.event == 'start' and entry.worker == worker_id
        for entry in ledger
    )


async def test_a_killed_worker_costs_only_what_ran_on_it(fleet):
    # Guards R4, and the return of a worker after its restart: tasks that
    # ran on it are unknown, all others run elsewhere.
    async def kill():
        await fleet.worker_fault('plant3', 'die', 1.0)

    outcomes = await run_load(fleet, kill, duration_s=1.3)
    codes = {outcome.code for outcome in outcomes}
    assert codes <= {'complete', 'outcome_unknown'}
    n_unknown = sum(not outcome.complete for outcome in outcomes)
    # Not more jobs than tasks ran at once on its 8 slots.
    assert n_unknown <= 8
    before = n_starts(await fleet.ledger(), 'plant3')
    with trio.fail_after(20):
        while n_starts(await fleet.ledger(), 'plant3') == before:
            await run_load(fleet, trio.lowlevel.checkpoint, duration_s=0.5)


async def test_a_stalled_worker_holds_up_only_what_runs_on_it(fleet):
    # Guards R1 and R3: answers that arrive late, after the stall, belong
    # to their tasks, and no task is sent to a second worker meanwhile.
    async def stall():
        await fleet.worker_fault('plant3', 'stall', 2.0)

    outcomes = await run_load(fleet, stall)
    codes = {outcome.code for outcome in outcomes}
    assert codes <= {'complete', 'outcome_unknown'}
    n_late = sum(outcome.duration_s > 1.5 for outcome in outcomes)
    # 8 slots of three instances that each may send once more.
    assert n_late <= 3 * 8


@pytest.mark.parametrize('kind', ['garbage', 'cut'])
async def test_a_worker_with_broken_answers(fleet, kind):
    # Guards R16: garbage or half an answer makes the outcome of these
    # tasks unknown, never complete, not run or an internal error.
    async def break_answers():
        await fleet.worker_fault('plant3', kind, 1.0, share=0.5)

    # Exchanges that were begun in the second of the fault end later.
    outcomes = await run_load(fleet, break_answers, duration_s=2.0)
    codes = {outcome.code for outcome in outcomes}
    assert codes == {'complete', 'outcome_unknown'}
    for entry_id in fleet.entry_urls:
        state = await fleet.state(entry_id)
        assert state['ready']
        assert 'internal_error' not in fleet.processes[entry_id].log()
