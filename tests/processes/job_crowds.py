"""Crowds of whole, legal jobs, and what they cost a fleet of instances.

The instances are processes on loopback, and each crowd is a process of
its own, see :mod:`tests.processes.crowds`.
"""

import contextlib
import random
import signal
import typing

import msgspec
import trio

from orioleloom import http1
from orioleloom_standins import leased
from orioleloom_standins import soak
from orioleloom_standins import wire
from tests.processes import crowds
from tests.processes import sampling

_N_WORKERS = 8
_ROLE_TIMEOUT_S = 5.0
# Queue of the crowds.
_UPSTREAM = 'crowd-pool'
_PREFIX = '/crowd/'


class FleetSeen(typing.NamedTuple):
    """What a crowd cost the instances of a fleet.

    :param n_ended: instances that have ended without a signal
    :param peak_memory_bytes: peaks of the instances
    :param peak_fds: peaks of the instances
    :param statuses: statuses of an ordinary request at each running instance
    :param reasons: why ordinary requests were not served, from the logs
    :param n_refused: jobs that were refused as not run
    :param started_refused: those of them of which a task has started
    """

    n_ended: int
    peak_memory_bytes: list[int]
    peak_fds: list[int]
    statuses: list[int]
    reasons: list[str]
    n_refused: int
    started_refused: set[str]


class _Fleet:
    def __init__(
        self, site: wire.Site, n_instances: int, folder: str, memory_mb: int
    ):
        self.site = site
        self.memory_mb = memory_mb
        self.instances = [
            soak.Instance(site, number, n_instances, folder)
            for number in range(1, n_instances + 1)
        ]
        self.sampler: sampling.Sampler | None = None
        self.killed: set[int] = set()
        self.started: set[str] = set()
        self.refused: set[str] = set()
        self._n_quiet = 0
        self._is_quiet = trio.Event()
        self._watch_starts()

    def _watch_starts(self) -> None:
        """Record the jobs of which a task starts."""
        check = self.site.world.check_duplicate_runs

        def checked(worker: leased.LeasedWorker) -> None:
            self.started.update(key.job_id for key, _ in worker.running())
            check(worker)

        self.site.world.check_duplicate_runs = checked

    def _add_queue(self) -> None:
        """Give the crowds a queue and workers of their own.

        Ordinary requests then do not lack workers because of them.
        """
        for worker_id in sorted(self.site.workers)[1::2]:
            self.site.move_worker(worker_id, _UPSTREAM)
        self.site.configure(('/check/', _PREFIX), {_PREFIX: _UPSTREAM})
        crowds.configure(self.site)

    async def start(self) -> None:
        self._add_queue()
        for instance in self.instances:
            crowds.write_settings(
                self.site, instance, len(self.instances), self.memory_mb
            )
            instance.start()
        for instance in self.instances:
            await crowds.wait_ready(self.site, instance.number)
        self.sampler = await sampling.Sampler.start(
            [
                sampling.Target(
                    instance.process.pid, self.site.ip(instance.number)
                )
                for instance in self.instances
            ]
        )

    async def find_leader(self) -> soak.Instance:
        """Return the leading instance."""
        client = http1.Client()
        with trio.fail_after(_ROLE_TIMEOUT_S):
            while True:
                for instance in self.instances:
                    response = await client.request(
                        f'{self.site.ip(instance.number)}:8166',
                        'GET',
                        '/state',
                    )
                    state = msgspec.json.decode(response.body)
                    if state['role'] == 'leading':
                        client.close()
                        return instance
                await trio.sleep(0.05)

    async def start_crowd(
        self,
        nursery: trio.Nursery,
        instance: soak.Instance,
        crowd: crowds.Crowd,
    ) -> None:
        clients = await nursery.start(
            crowds.run_clients, instance.address, crowd
        )
        nursery.start_soon(self._read_refusals, clients.stdout)

    async def _read_refusals(self, stream: trio.abc.ReceiveStream) -> None:
        rest = ''
        async for data in stream:
            *lines, rest = (rest + data.decode()).split('\n')
            for line in lines:
                if line == crowds.QUIET:
                    self._n_quiet += 1
                    if self._n_quiet == len(self.instances):
                        self._is_quiet.set()
                else:
                    self.refused.add(line)

    async def wait_quiet(self) -> None:
        """Wait until no crowd sends any more, or for a limited time."""
        with trio.move_on_after(crowds.CROWD_TIMEOUT_S):
            await self._is_quiet.wait()

    def kill(self, instance: soak.Instance) -> None:
        self.killed.add(instance.number)
        instance.signal(signal.SIGKILL)

    async def finish(self) -> FleetSeen:
        """Send an ordinary request to each instance and return the peaks."""
        running = [i for i in self.instances if i.number not in self.killed]
        statuses = [
            await crowds.request_ordinary(instance.address, instance.number)
            for instance in running
        ]
        peaks = await self.sampler.stop()
        return FleetSeen(
            sum(i.process.poll() is not None for i in running),
            [peak.memory_bytes for peak in peaks],
            [peak.n_fds for peak in peaks],
            statuses,
            self._refusal_reasons(),
            len(self.refused),
            self.refused & self.started,
        )

    def _refusal_reasons(self) -> list[str]:
        ordinary = {f'{i.number:016x}' for i in self.instances}
        reasons = []
        for instance in self.instances:
            for line in instance.log.read_bytes().splitlines():
                with contextlib.suppress(msgspec.DecodeError):
                    fields = msgspec.json.decode(line)
                    if fields.get('job') in ordinary and (
                        fields.get('outcome') != 'completed'
                    ):
                        reasons.append(
                            f'{fields["message_type"]}: '
                            f'{fields.get("reason", "")}'
                        )
        return reasons

    async def stop(self) -> None:
        if self.sampler is not None:
            self.sampler.kill()
        for instance in self.instances:
            instance.signal(signal.SIGKILL)
        with trio.CancelScope(shield=True):
            for instance in self.instances:
                await instance.wait(5.0)


async def send(
    body: bytes,
    n_clients: typing.Sequence[int],
    folder: str,
    *,
    memory_mb: int = crowds.MEMORY_MB,
    kill_leader: bool = False,
) -> FleetSeen:
    """Let crowds submit the same job under ids of their own.

    The crowds keep their connections open until an ordinary request at each
    instance has ended.

    :param body: the job
    :param n_clients: clients that call the leader, and each follower; there
        are as many instances
    :param folder: directory for the instances' settings and logs
    :param memory_mb: memory in the instances' settings
    :param kill_leader: kill the leader once the crowds are quiet
    """
    head = (
        b'POST %s%s HTTP/1.1\r\nHost: tasks.example\r\n'
        b'X-Orioleloom-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n'
    ) % (_PREFIX.encode(), crowds.JOB_ID, len(body))
    async with trio.open_nursery() as nursery:
        site = wire.Site(nursery, random.Random(1), 12)
        await site.start(_N_WORKERS)
        fleet = _Fleet(site, len(n_clients), folder, memory_mb)
        try:
            await fleet.start()
            leader = await fleet.find_leader()
            targets = [leader, *(i for i in fleet.instances if i != leader)]
            for instance, n in zip(targets, n_clients):
                crowd = crowds.Crowd(
                    n,
                    [head + body],
                    complete_every=1,
                    first_job_id=1_000 + 10_000 * instance.number,
                )
                await fleet.start_crowd(nursery, instance, crowd)
            await fleet.wait_quiet()
            if kill_leader:
                fleet.kill(leader)
                await trio.sleep(_ROLE_TIMEOUT_S)
            seen = await fleet.finish()
        finally:
            await fleet.stop()
        nursery.cancel_scope.cancel()
    return seen
