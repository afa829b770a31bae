import time

import pytest
import trio

from orioleloom.cli import _processes
from orioleloom import client
from orioleloom_standins import audit
from orioleloom_standins import fleet as fleets
from tests.processes import support

pytestmark = pytest.mark.processes

# A submission is refused after its claim has waited 2 s for the table.
CLAIM_TIMEOUT_S = 2.0
REFUSAL_BOUND_S = 4.0
# F4: the table takes several hundred writes a second.
WRITES_PER_S = 300
# Design, section 4: a job writes its claim and the record of its answer.
WRITES_PER_JOB = 2


async def wait_platform_state(fleet, available):
    with trio.fail_after(5):
        for entry_id in fleet.entry_urls:
            while True:
                state = await fleet.state(entry_id)
                if state['platform_available'] is available:
                    break
                await trio.sleep(0.05)


async def count_requests(fleet, load, n_windows):
    """Count the table requests of successive seconds, by kind.

    ``jobs`` is the number of jobs that were open at the start of the first
    second or submitted by the end of the counted one.
    """
    windows = []
    n_answered = len(load.outcomes)
    before = await fleet.platform_counters()
    for _ in range(n_windows):
        await trio.sleep(1.0)
        after = await fleet.platform_counters()
        window = {name: after[name] - before.get(name, 0) for name in after}
        window['jobs'] = len(load.outcomes) + load.n_unanswered - n_answered
        windows.append(window)
        before = after
    return windows


def n_table_requests(window):
    return window.get('transaction', 0) + window.get('read', 0)


async def count_waiting_writes(fleet):
    states = [await fleet.state(entry_id) for entry_id in fleet.entry_urls]
    return sum(state['engine']['writes_waiting'] for state in states)


def check_requests(fleet, windows, n_waiting):
    """Check that the table got only the requests that the jobs need.

    :param n_waiting: writes that waited when the outage ended; each
        instance packs its own into one transaction
    """
    n_requests = 0
    for window in windows:
        n_requests += n_table_requests(window)
        n_unpacked = WRITES_PER_JOB * window['jobs'] - n_waiting
        assert n_requests <= len(fleet.entry_urls) + n_unpacked


def check_retries(connection, outcomes):
    """Check that the callers kept to their retry budget."""
    retried = [o for o in outcomes if o.answer.attempts > 1]
    if not retried:
        return
    # The budget was full until the first refusal.
    since_s = min(outcome.start_s for outcome in retried) + CLAIM_TIMEOUT_S
    n_requests = sum(outcome.start_s >= since_s for outcome in outcomes)
    assert sum(outcome.answer.attempts - 1 for outcome in retried) <= (
        connection.retry_reserve + connection.retry_share * n_requests
    )


async def submit_once(fleet, entry_id, **kwargs):
    """Submit one task to one instance without a retry."""
    async with support.make_client(
        fleet, [entry_id], max_attempts=1
    ) as connection:
        return await fleet.submit(
            connection, [fleets.make_task(support.UPSTREAM, 20)], **kwargs
        )


async def test_an_outage_under_load(fleet):
    # Guards R4, R12 and R14: during a table outage, submissions with
    # tickets run and others are refused with an accurate run state; after
    # it, callers and instances do not overload the table with requests.
    refused = {}

    async def refuse(name, entry_id, submission_id):
        refused[name] = await submit_once(
            fleet, entry_id, submission_id=submission_id
        )

    async with (
        support.make_client(fleet) as claims,
        support.make_client(fleet, use_tickets=True) as tickets,
        trio.open_nursery() as nursery,
    ):
        load = support.make_load(fleet, claims, rate_per_s=30)
        await nursery.start(load.run)
        await trio.sleep(2.0)
        await fleet.platform_fault('outage', 3600)
        await wait_platform_state(fleet, False)
        served = support.make_load(fleet, tickets, seed=2, rate_per_s=30)
        async with trio.open_nursery() as during:
            await during.start(served.run)
            during.start_soon(refuse, 'first', support.SPECS[0].id, None)
            during.start_soon(refuse, 'later', support.SPECS[1].id, 'later')
            await trio.sleep(3.0)
            served.stop()
        n_waiting = await count_waiting_writes(fleet)
        await fleet.platform_fault('outage', 0)
        after = await count_requests(fleet, load, 3)
        load.stop()
    assert await fleet.audit() == []
    assert [outcome.code for outcome in served.outcomes] == (
        ['complete'] * len(served.outcomes)
    )
    for outcome in refused.values():
        assert outcome.code == 'platform_unavailable'
        assert outcome.duration_s < REFUSAL_BOUND_S
    assert isinstance(refused['first'].answer, client.NotRunError)
    # A given submission id may be a resubmission, so that another copy may
    # run elsewhere.
    assert isinstance(refused['later'].answer, client.OutcomeUnknownError)
    for window in after:
        assert window.get('transaction', 0) <= WRITES_PER_S
        assert window.get('transaction_429', 0) == 0
        assert window.get('read_429', 0) == 0
    check_requests(fleet, after, n_waiting)
    check_retries(claims, load.outcomes)
    assert load.outcomes[-1].complete


@pytest.mark.parametrize(
    'kind, fields',
    [
        ('lost_answers', {'share': 0.5}),
        ('slow', {'delay_ms': 700.0}),
        ('slow', {'delay_ms': 700.0, 'after_effect': True}),
        ('slow', {'delay_ms': 2500.0, 'share': 0.3, 'after_effect': True}),
    ],
)
async def test_a_table_that_loses_or_delays_answers(fleet, kind, fields):
    # Guards R1 and R4: a write whose response is lost or late may have been
    # committed, so it is read back instead of being repeated or reported
    # as not done.
    async with support.make_client(fleet) as connection:
        async with trio.open_nursery() as nursery:
            load = support.make_load(fleet, connection, rate_per_s=30)
            await nursery.start(load.run)
            await fleet.platform_fault(kind, 1.5, **fields)
            await trio.sleep(2.0)
            load.stop()
    assert await fleet.audit() == []
    codes = {outcome.code for outcome in load.outcomes}
    assert codes <= {'complete', 'platform_unavailable', 'outcome_unknown'}
    assert load.outcomes[-1].complete
    n_complete = sum(outcome.complete for outcome in load.outcomes)
    assert n_complete >= 0.8 * len(load.outcomes)


@pytest.fixture
def late_instance(fleet):
    """An instance that is started during an outage with seed peers."""
    spec = _processes.EntrySpec('saskatoon-2', 'saskatoon')
    peers = ','.join(fleet.peer_addresses.values())

    async def start():
        await fleet.platform_fault('outage', 3600)
        await wait_platform_state(fleet, False)
        await fleet.start_entry(spec, flags=[f'--seed-peers={peers}'])

    async def end():
        await fleet.platform_fault('outage', 0)
        fleet.processes[spec.id].kill()
        await fleet.list_as(spec.id, 'gone')
        del fleet.entry_urls[spec.id], fleet.peer_addresses[spec.id]
        await wait_platform_state(fleet, True)

    trio.run(start)
    yield spec.id
    trio.run(end)


@pytest.fixture
def new_version(fleet):
    """A new contract version, in force on the running instances."""
    first = support.SPECS[0].id

    async def put():
        version = await fleet.contract_version(first, support.CUSTOMER)
        answer = await fleet.put_contract(
            first, support.CUSTOMER, support.CONTRACT, version
        )
        assert answer.status_code == 200
        await fleet.wait_contract(support.CUSTOMER, version + 1)
        return version + 1

    return trio.run(put)


async def test_contracts_of_an_instance_started_during_an_outage(
    fleet, new_version, late_instance
):
    # Guards R8 and R14: the new instance gets the contracts from its peers
    # and does not return to an older version when the platform recovers.
    observations = []

    async def observe():
        while True:
            observations.append(
                audit.ContractObservation(
                    late_instance,
                    support.CUSTOMER,
                    await fleet.contract_version(
                        late_instance, support.CUSTOMER
                    ),
                    time.monotonic(),
                )
            )
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(observe)
        await fleet.wait_serving(late_instance, timeout_s=10)
        found = await fleet.contract_version(late_instance, support.CUSTOMER)
        assert found == new_version
        await fleet.platform_fault('outage', 0)
        await wait_platform_state(fleet, True)
        answer = await fleet.put_contract(
            support.SPECS[0].id,
            support.CUSTOMER,
            support.CONTRACT,
            new_version,
        )
        assert answer.status_code == 200
        await fleet.wait_contract(support.CUSTOMER, new_version + 1)
        nursery.cancel_scope.cancel()
    assert await fleet.audit(observations) == []


async def test_work_on_an_instance_started_during_an_outage(
    fleet, late_instance
):
    # Guards R12 and R14: an instance that reports ready runs the jobs that
    # it accepts instead of queueing them until their deadline.
    await fleet.wait_serving(late_instance, timeout_s=10)
    async with support.make_client(
        fleet, [late_instance], use_tickets=True
    ) as connection:
        outcome = await fleet.submit(
            connection,
            [fleets.make_task(support.UPSTREAM, 50)],
            deadline_ms=2_500,
        )
    assert await fleet.audit() == []
    assert outcome.code == 'complete'


async def test_an_instance_without_a_member_list_refuses_for_now(fleet):
    # Guards R13: a job is not rejected as not runnable when the instance
    # has not read the list of workers yet; the refusal is temporary.
    spec = _processes.EntrySpec('saskatoon-3', 'saskatoon')
    await fleet.platform_fault('list_outage', 3600)
    await fleet.start_entry(spec)
    outcome = await submit_once(fleet, spec.id)
    assert outcome.code == 'platform_unavailable'
    assert outcome.answer.retry_after_ms > 0
    assert isinstance(outcome.answer, client.NotRunError)
    await fleet.platform_fault('list_outage', 0)
    await fleet.wait_serving(spec.id, timeout_s=5)
    assert (await submit_once(fleet, spec.id)).complete
    assert await fleet.audit() == []
    fleet.processes[spec.id].kill()
    await fleet.list_as(spec.id, 'gone')
    del fleet.entry_urls[spec.id], fleet.peer_addresses[spec.id]
