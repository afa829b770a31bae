"""Soak test of planned stops under clients that keep their connections.

Instances are stopped and started again, at times two at once, while clients
go on sending requests on their open connections until these are closed. Checks
that no request which an instance has received is left without an answer.
"""

import contextlib
import random
import signal
import typing

import trio

from orioleloom import http1
from orioleloom_standins import leased
from orioleloom_standins import soak
from orioleloom_standins import wire

_DEADLINE_S = 2.5
_GRACE_S = 6.0
# Time until the load balancer sends no new connections to an instance.
_BALANCER_LAG_S = 2.0
# A request that is closed unread so soon after it was sent was on its way.
_IN_FLIGHT_S = 0.2
# Jobs whose objective ends this long before SIGKILL can be served.
_END_MARGIN_S = 0.8
# Most jobs are short; the long ones keep an instance in its stop.
_WORK_S = (0.05, 0.05, 0.05, 1.5)
_N_WORKERS = 8
# Longest time between a response and the next request of its client. Some
# connections are thus first used again long after SIGTERM.
_MAX_PAUSE_S = 8.0
# Share of the stops in which further signals follow.
_REPEATED_SIGNAL_SHARE = 0.5


class StopReport(typing.NamedTuple):
    """Result of one run.

    :param n_sent: number of requests
    :param n_stops: number of planned stops
    :param statuses: number of requests by status; 0 means that the connection
        was closed without an answer
    :param refused_after_s: for each refusal of an instance in a stop, the
        time from SIGTERM to the request
    :param violations: descriptions of broken invariants
    """

    seed: int
    n_sent: int
    n_stops: int
    statuses: dict[int, int]
    refused_after_s: list[float]
    violations: list[str]


class _StopSoak:
    def __init__(
        self, site: wire.Site, rng: random.Random, folder: str, n: int
    ):
        self.site = site
        self.rng = rng
        self.instances = [
            soak.Instance(site, number, n, folder)
            for number in range(1, n + 1)
        ]
        # When SIGTERM was sent, by number of the instance.
        self.stopped_s: dict[int, float] = {}
        self.started_job_ids: set[str] = set()
        self.statuses: dict[int, int] = {}
        self.refused_after_s: list[float] = []
        self.violations: list[str] = []
        self.n_sent = 0
        self.n_stops = 0
        self.is_over = False
        self._watch_starts()

    def _watch_starts(self) -> None:
        check = self.site.world.check_duplicate_runs

        def record(worker: leased.LeasedWorker) -> None:
            self.started_job_ids.update(
                key.job_id for key, _ in worker.running()
            )
            try:
                check(worker)
            except leased.Violation as exc:
                self.violations.append(str(exc))

        self.site.world.check_duplicate_runs = record

    def stop_age_s(self, instance: soak.Instance) -> float | None:
        """Return the time since an instance got SIGTERM, if it did."""
        stopped_s = self.stopped_s.get(instance.number)
        return None if stopped_s is None else trio.current_time() - stopped_s

    # Clients

    def _choose_instance(self) -> soak.Instance:
        """Return the instance of a new connection."""
        open_to = [
            instance
            for instance in self.instances
            if (self.stop_age_s(instance) or 0.0) < _BALANCER_LAG_S
        ]
        return self.rng.choice(open_to or self.instances)

    async def send_requests(self) -> None:
        """Send requests, on one connection for as long as it is open."""
        while not self.is_over:
            instance = self._choose_instance()
            client = http1.Client()
            while not self.is_over and client.n_connects < 2:
                if not await self._send_request(client, instance):
                    break
                await trio.sleep(self.rng.uniform(0.0, _MAX_PAUSE_S))
            client.close()

    async def _send_request(
        self, client: http1.Client, instance: soak.Instance
    ) -> bool:
        """Send a request; return whether the instance can be reached."""
        self.n_sent += 1
        job_id = f'{self.n_sent:016x}'
        sent_s = trio.current_time()
        stop_age_s = self.stop_age_s(instance)
        work_s = self.rng.choice(_WORK_S)
        status, body = -1, b''
        with trio.move_on_after(_DEADLINE_S + 0.5):
            try:
                response = await client.request(
                    instance.address,
                    'POST',
                    f'/check/{job_id}',
                    wire.submission(1, work_s),
                    f'X-Orioleloom-Deadline-Ms: {1000 * _DEADLINE_S:.0f}\r\n',
                    host=wire.HOST,
                )
                status, body = response.status, response.body
            except http1.NotSentError:
                return False
            except http1.NoAnswerError:
                status = 0
        waited_s = trio.current_time() - sent_s
        self.statuses[status] = self.statuses.get(status, 0) + 1
        is_lost = status <= 0 and (
            job_id in self.started_job_ids or waited_s > _IN_FLIGHT_S
        )
        if stop_age_s is not None and b'instance stopping' in body:
            self.refused_after_s.append(round(stop_age_s, 2))
            is_lost = (
                stop_age_s + 1.6 * work_s + 0.06 < _GRACE_S - _END_MARGIN_S
            )
        if is_lost:
            self.violations.append(
                f'job {job_id} at instance {instance.number}, sent '
                f'{stop_age_s} s after SIGTERM: status {status} after '
                f'{waited_s:.2f} s, '
                f'started: {job_id in self.started_job_ids}'
            )
        return status > 0

    # Stops

    async def restart(self, instance: soak.Instance) -> None:
        """Stop an instance as the platform does, and start it again."""
        self.n_stops += 1
        self.stopped_s[instance.number] = trio.current_time()
        instance.signal(signal.SIGTERM)
        if self.rng.random() < _REPEATED_SIGNAL_SHARE:
            for number in (signal.SIGHUP, signal.SIGTERM):
                await trio.sleep(self.rng.uniform(0.0, 1.5))
                instance.signal(number)
        age_s = self.stop_age_s(instance)
        code = await instance.wait(_GRACE_S - age_s)
        if code != 0:
            self.violations.append(
                f'instance {instance.number} has exit code {code} '
                f'{self.stop_age_s(instance):.2f} s after SIGTERM'
            )
            instance.signal(signal.SIGKILL)
            await instance.wait(1.0)
        instance.start()
        await self.wait_ready(instance)
        del self.stopped_s[instance.number]

    async def wait_ready(self, instance: soak.Instance) -> None:
        """Wait until an instance reports that it is ready."""
        client = http1.Client()
        address = f'{self.site.ip(instance.number)}:8167'
        with trio.fail_after(soak.READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(
                    http1.NotSentError, http1.NoAnswerError
                ):
                    response = await client.request(address, 'GET', '/readyz')
                    if response.status == 200:
                        break
                await trio.sleep(0.05)
        client.close()

    async def run(self, n_rounds: int, n_clients: int) -> None:
        """Start the instances and stop some of them in each round."""
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            await self.wait_ready(instance)
        async with trio.open_nursery() as nursery:
            for _ in range(n_clients):
                nursery.start_soon(self.send_requests)
            await trio.sleep(1.0)
            for _ in range(n_rounds):
                n_stopped = self.rng.choice((1, 1, 2))
                async with trio.open_nursery() as stops:
                    for instance in self.rng.sample(self.instances, n_stopped):
                        stops.start_soon(self.restart, instance)
                        await trio.sleep(self.rng.uniform(0.0, 1.0))
                    self.site.configure()
            self.is_over = True


async def _run(
    seed: int,
    n_rounds: int,
    n_clients: int,
    n_instances: int,
    network: int,
    folder: str,
) -> StopReport:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        site = wire.Site(nursery, rng, network)
        await site.start(_N_WORKERS)
        test = _StopSoak(site, rng, folder, n_instances)
        try:
            await test.run(n_rounds, n_clients)
        finally:
            for instance in test.instances:
                instance.signal(signal.SIGKILL)
        nursery.cancel_scope.cancel()
    return StopReport(
        seed,
        test.n_sent,
        test.n_stops,
        test.statuses,
        test.refused_after_s,
        test.violations,
    )


def run_stops(
    seed: int,
    n_rounds: int,
    log_folder: str | None = None,
    *,
    n_clients: int = 96,
    n_instances: int = 3,
    network: int = 8,
) -> StopReport:
    """Stop and start instances while clients use their connections.

    :param n_rounds: number of times that one or two instances are stopped
    :param log_folder: directory for the instances' settings and logs; a
        temporary one is used and deleted if not given
    :param network: second octet of the instances' loopback addresses
    """
    return soak.run_in_folder(
        log_folder, _run, seed, n_rounds, n_clients, n_instances, network
    )
