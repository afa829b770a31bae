import signal
import time

import httpx
import pytest
import trio

from orioleloom import client
from tests.processes import support

pytestmark = pytest.mark.processes

# The stop timeout of section 7; the jobs here finish much sooner.
STOP_BOUND_S = 30.0
BALANCER_URL = 'http://balancer'
BALANCER_INTERVAL_S = 0.1


class Balancer(httpx.AsyncBaseTransport):
    """Load balancer that sends new requests to ready instances only.

    It does not retry, so a request that an instance cuts off fails.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.ready = []
        self.failures = []
        self.n_requests = 0
        # Keep-alive is off, since an idle connection that the instance
        # closes would otherwise look like a request that was cut off.
        self._transport = httpx.AsyncHTTPTransport(
            limits=httpx.Limits(max_keepalive_connections=0)
        )

    async def handle_async_request(self, request):
        self.n_requests += 1
        entry_id = self.ready[self.n_requests % len(self.ready)]
        url = httpx.URL(self.fleet.entry_urls[entry_id])
        request.url = request.url.copy_with(host=url.host, port=url.port)
        try:
            response = await self._transport.handle_async_request(request)
            # Read the body here to detect a truncated response as well.
            await response.aread()
        except httpx.TransportError as exc:
            self.failures.append((entry_id, repr(exc)))
            raise
        return response

    async def watch(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Poll the readiness of all instances until cancelled."""
        while True:
            ready = []
            for entry_id, url in list(self.fleet.entry_urls.items()):
                try:
                    answer = await self.fleet.request('GET', url + '/readyz')
                except httpx.TransportError:
                    continue
                if answer.is_success:
                    ready.append(entry_id)
            self.ready = ready
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(BALANCER_INTERVAL_S)


async def stop_entry(fleet, entry_id):
    """Stop an instance with SIGTERM and update the member list.

    :returns: seconds from the signal to the end of the process
    """
    process = fleet.processes[entry_id]
    start_s = time.monotonic()
    process.signal(signal.SIGTERM)
    await fleet.list_as(entry_id, 'leaving')
    with trio.fail_after(STOP_BOUND_S + 5):
        await process.wait()
    assert process.exit_code() == 0, process.log()[-2000:]
    await fleet.list_as(entry_id, 'gone')
    return time.monotonic() - start_s


async def run_under_load(fleet, replace):
    """Run load through a balancer while instances are replaced."""
    balancer = Balancer(fleet)
    async with trio.open_nursery() as watching:
        await watching.start(balancer.watch)
        async with client.Client(
            [BALANCER_URL],
            customer=support.CUSTOMER,
            transport=balancer,
            random_state=5,
        ) as connection:
            async with trio.open_nursery() as nursery:
                load = support.make_load(
                    fleet, connection, rate_per_s=30, work_ms=(50, 800)
                )
                await nursery.start(load.run)
                await trio.sleep(0.5)
                durations_s = await replace()
                await trio.sleep(0.5)
                load.stop()
        watching.cancel_scope.cancel()
    assert await fleet.audit() == []
    assert balancer.failures == []
    assert {outcome.code for outcome in load.outcomes} == {'complete'}
    assert max(durations_s) < STOP_BOUND_S
    return durations_s


async def test_a_planned_stop_cuts_off_no_request(fleet):
    # Guards R7: a stopping instance finishes accepted jobs and answers them
    # on the connection of their submission, in bounded time.
    spec = support.SPECS[2]

    async def replace():
        return [await stop_entry(fleet, spec.id)]

    await run_under_load(fleet, replace)
    await fleet.start_entry(spec)
    await fleet.wait_serving(spec.id)


async def test_all_instances_of_a_data_centre_are_replaced(fleet):
    # Guards R7 during a rolling restart: the instances of a data centre
    # are stopped and started one after the other under load.
    async def replace():
        durations_s = []
        for spec in support.SPECS:
            if spec.data_centre == 'regina':
                durations_s.append(await stop_entry(fleet, spec.id))
                await fleet.start_entry(spec)
                await fleet.wait_serving(spec.id)
        return durations_s

    durations_s = await run_under_load(fleet, replace)
    assert len(durations_s) == 2
