import contextlib
import random
import typing

import httpx
import trio

from orioleloom import client
from orioleloom.load import _record


class JobResult(typing.NamedTuple):
    """The result of a job of a load.

    :param response_s: time from the scheduled arrival to the answer, so
        that a delayed submission counts as response time
    :param outcome: ``complete``, ``not_run``, ``unknown`` or ``failed``
    :param code: error code, empty when complete
    :param attempts: number of times that the job may have been submitted
    """

    response_s: float
    outcome: str
    code: str
    attempts: int
    submission_id: str


async def run_load(
    record: _record.Record,
    base_urls: typing.Sequence[str],
    *,
    deadline_ms: float | None = None,
    patience_s: float = 120.0,
    use_tickets: bool = False,
    random_state: int = 0,
    transport: httpx.AsyncBaseTransport | None = None,
) -> list[JobResult]:
    """Submit a recorded load and wait for all answers.

    The load is open-loop: a job is submitted at its time, without waiting
    for earlier ones.

    :param record: load to submit
    :param base_urls: URLs of entry instances, over which jobs are spread
    :param random_state: seed of the clients
    :returns: results in record order
    """
    results: list[JobResult | None] = [None] * len(record.arrivals)

    async def submit(index: int, customer_client: client.Client) -> None:
        arrival = record.arrivals[index]
        try:
            answer = await customer_client.submit(
                arrival.tasks(), deadline_ms=deadline_ms
            )
        except client.SubmissionError as exc:
            match exc:
                case client.NotRunError():
                    outcome = 'not_run'
                case client.OutcomeUnknownError():
                    outcome = 'unknown'
                case _:
                    outcome = 'failed'
            code, attempts = exc.code, exc.attempts
            submission_id = exc.submission_id
        else:
            outcome, code, attempts = answer.state, '', answer.attempts
            submission_id = answer.submission_id
        results[index] = JobResult(
            trio.current_time() - begin_s - arrival.at_s,
            outcome,
            code,
            attempts,
            submission_id,
        )

    async with contextlib.AsyncExitStack() as stack:
        clients = {}
        for customer in sorted({a.customer for a in record.arrivals}):
            clients[customer] = await stack.enter_async_context(
                client.Client(
                    base_urls,
                    customer=customer,
                    patience_s=patience_s,
                    use_tickets=use_tickets,
                    random_state=random.Random(f'{random_state}/{customer}'),
                    transport=transport,
                )
            )
        nursery = await stack.enter_async_context(trio.open_nursery())
        begin_s = trio.current_time()
        for index in sorted(
            range(len(record.arrivals)),
            key=lambda i: record.arrivals[i].at_s,
        ):
            arrival = record.arrivals[index]
            await trio.sleep_until(begin_s + arrival.at_s)
            nursery.start_soon(submit, index, clients[arrival.customer])
    return typing.cast(list[JobResult], results)


async def read_counters(
    base_urls: typing.Iterable[str],
    transport: httpx.AsyncBaseTransport | None = None,
) -> dict[str, float]:
    """Return the counters of the instances, summed over the instances.

    :returns: sum by counter name; instances that do not answer are
        omitted and counted under ``unreachable_instances``
    """
    sums: dict[str, float] = {'unreachable_instances': 0}
    async with httpx.AsyncClient(
        trust_env=False, verify=False, timeout=5.0, transport=transport
    ) as http:
        for url in base_urls:
            try:
                response = await http.get(f'{url}/v1/state')
                response.raise_for_status()
                state = response.json()
            except (httpx.HTTPError, ValueError):
                sums['unreachable_instances'] += 1
                continue
            for name, value in _find_counters(state):
                sums[name] = sums.get(name, 0) + value
    return sums


def _find_counters(
    value: typing.Any, in_counters: bool = False
) -> typing.Iterator[tuple[str, float]]:
    """Yield the names and values in the ``counters`` objects of a state dump.

    :param in_counters: ``value`` is inside a ``counters`` object
    """
    if not isinstance(value, dict):
        return
    for name, item in value.items():
        if isinstance(item, dict):
            yield from _find_counters(item, in_counters or name == 'counters')
        elif (
            in_counters
            and isinstance(item, (int, float))
            and not isinstance(item, bool)
        ):
            yield name, item
