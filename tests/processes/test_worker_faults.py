import pytest
import trio

from tests.processes import support

pytestmark = pytest.mark.processes

# Covers the deadline of a job, which also bounds its exchanges with
# workers, and one retry.
ANSWER_BOUND_S = 10.0

# At 40 jobs/s this work keeps about 20 of the 32 slots busy, so that every
# worker is used and three of the four can carry the whole load.
WORK_MS = (150.0, 300.0)

# A list change reaches every instance within the lag of the list and one
# poll interval.
LIST_LAG_S = 4.0


async def test_a_worker_that_says_it_leaves_gets_no_new_work(fleet):
    # Guards R6: a worker's own leaving notice takes effect at once, so
    # that only tasks already in transit to it are rejected.
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
            # A list change of another worker must not undo the notice.
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
    # The notice holds until the list entry of this worker changes.
    await fleet.list_as('plant1', 'leaving')
    await trio.sleep(LIST_LAG_S)
    for worker_id in ('plant0', 'plant1'):
        await fleet.list_as(worker_id, 'live')
    await support.wait_workers(
        fleet, lambda workers: all(w['live'] for w in workers.values())
    )


async def run_load(fleet, inject, *, duration_s=2.0):
    """Inject a fault under load, then audit and check the outcomes."""
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
    # Guards R4: tasks running on a killed worker have an unknown outcome
    # and all others complete elsewhere. The worker is used again after
    # its restart.
    async def kill():
        await fleet.worker_fault('plant3', 'die', 1.0)

    outcomes = await run_load(fleet, kill, duration_s=1.3)
    codes = {outcome.code for outcome in outcomes}
    assert codes <= {'complete', 'outcome_unknown'}
    n_unknown = sum(not outcome.complete for outcome in outcomes)
    # At most one job for each of its 8 slots.
    assert n_unknown <= 8
    before = n_starts(await fleet.ledger(), 'plant3')
    with trio.fail_after(20):
        while n_starts(await fleet.ledger(), 'plant3') == before:
            await run_load(fleet, trio.lowlevel.checkpoint, duration_s=0.5)


async def test_a_stalled_worker_holds_up_only_what_runs_on_it(fleet):
    # Guards R1 and R3: results that arrive after a stall are matched to
    # their tasks, and no task is sent to a second worker meanwhile.
    async def stall():
        await fleet.worker_fault('plant3', 'stall', 2.0)

    outcomes = await run_load(fleet, stall)
    codes = {outcome.code for outcome in outcomes}
    assert codes <= {'complete', 'outcome_unknown'}
    n_late = sum(outcome.duration_s > 1.5 for outcome in outcomes)
    # Tasks for 8 slots from three instances that each may send once more.
    assert n_late <= 3 * 8


@pytest.mark.parametrize('kind', ['garbage', 'cut'])
async def test_a_worker_with_broken_answers(fleet, kind):
    # Guards R16: a malformed or truncated response makes the outcome of
    # its tasks unknown, never complete, not run or an internal error.
    async def break_answers():
        await fleet.worker_fault('plant3', kind, 1.0, share=0.5)

    # Exchanges that start during the 1 s fault end after it.
    outcomes = await run_load(fleet, break_answers, duration_s=2.0)
    codes = {outcome.code for outcome in outcomes}
    assert codes == {'complete', 'outcome_unknown'}
    for entry_id in fleet.entry_urls:
        state = await fleet.state(entry_id)
        assert state['ready']
        assert 'internal_error' not in fleet.processes[entry_id].log()
