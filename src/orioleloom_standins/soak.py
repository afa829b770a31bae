"""Soak test with random faults on real instance processes.

Each instance is a separate process on loopback. The store and the workers
are those of :mod:`orioleloom_standins.wire` in this process, each behind a
proxy. Checks the answers that callers get and the runs on the workers.
"""

import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import typing

import msgspec
import trio

from orioleloom import http1
from orioleloom_standins import leased
from orioleloom_standins import wire

# Delay after which a caller resends a job without a final answer.
_RESEND_S = 1.3
READY_TIMEOUT_S = 15.0
_RECOVERY_S = 8.0
_CALL_TIMEOUT_S = 6.0
# Memory of each instance's machine, in MB.
_MEMORY_MB = 160
# Crowds of large jobs have a queue and a worker of their own, so that other
# jobs do not lack workers because of them.
_CROWD_PREFIX = '/crowd/'
_CROWD_UPSTREAM = 'crowd-pool'
_CROWD_CLIENTS = 60
_LONG_SPEC_BYTES = 40_000
# Faults come in one series for this many instances.
_INSTANCES_PER_FAULT_SERIES = 3


class SoakReport(typing.NamedTuple):
    """Result of one run.

    :param faults: injected faults, each prefixed with its time in seconds
    :param statuses: number of jobs by final status; 0 means no answer
    :param violations: descriptions of broken invariants
    """

    seed: int
    faults: list[str]
    n_jobs: int
    statuses: dict[int, int]
    violations: list[str]


class Instance:
    """An instance process and its settings and log files."""

    def __init__(self, site: wire.Site, number: int, n: int, folder: str):
        self.number = number
        self.address = f'{site.ip(number)}:8161'
        self.path = pathlib.Path(folder) / f'instance-{number}.yaml'
        self.write_settings(site.settings(number, n))
        self.log = pathlib.Path(folder) / f'instance-{number}.log'
        self.process: subprocess.Popen | None = None

    def write_settings(self, settings: dict[str, typing.Any]) -> None:
        self.path.write_bytes(msgspec.json.encode(settings))

    def start(self) -> None:
        environment = {**os.environ, 'ORIOLELOOM_BOOT': str(self.path)}
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'orioleloom.platform'],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        # poll() keeps a signal from reaching a process that has been reaped,
        # whose id may belong to another process.
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def peak_memory_bytes(self) -> int:
        """Return the peak of the resident memory, 0 without a process."""
        with contextlib.suppress(OSError):
            with open(f'/proc/{self.process.pid}/status') as file:
                for line in file:
                    if line.startswith('VmHWM:'):
                        return 1024 * int(line.split()[1])
        return 0

    async def wait(self, timeout_s: float) -> int | None:
        with trio.move_on_after(timeout_s):
            while self.process.poll() is None:
                await trio.sleep(0.02)
        return self.process.poll()


class _Soak:
    def __init__(
        self,
        site: wire.Site,
        rng: random.Random,
        n_instances: int,
        folder: str,
    ):
        self.site = site
        self.rng = rng
        self.instances = [
            Instance(site, number, n_instances, folder)
            for number in range(1, n_instances + 1)
        ]
        self.client = http1.Client()
        self.faults: list[str] = []
        self.violations: list[str] = []
        self.statuses: dict[int, int] = {}
        self.n_jobs = 0
        self.n_crowd_jobs = 0
        self.refused_job_ids: set[str] = set()
        self.started_job_ids: set[str] = set()
        self.start_s = trio.current_time()
        self._watch_violations()

    def _watch_violations(self) -> None:
        check = self.site.world.check_duplicate_runs

        def checked(worker: leased.LeasedWorker) -> None:
            self.started_job_ids.update(
                key.job_id for key, _ in worker.running()
            )
            try:
                check(worker)
            except leased.Violation as exc:
                self.violations.append(str(exc))

        self.site.world.check_duplicate_runs = checked

    def log_fault(self, text: str) -> None:
        self.faults.append(f'{trio.current_time() - self.start_s:.2f} {text}')

    # Callers

    async def post(self, instance: Instance, path: str, body: bytes) -> int:
        """Return the status of a submission; 0 if there is no answer."""
        with trio.move_on_after(_CALL_TIMEOUT_S):
            try:
                response = await self.client.request(
                    instance.address,
                    'POST',
                    path,
                    body,
                    'X-Orioleloom-Deadline-Ms: 4000\r\n',
                    host=wire.HOST,
                )
            except (http1.NotSentError, http1.NoAnswerError):
                return 0
            return response.status
        return 0

    async def send_job(self) -> None:
        """Send a job; retry if there is no answer, or on 502 and 504."""
        self.n_jobs += 1
        path = f'/check/{self.n_jobs:016x}'
        body = wire.submission(
            self.rng.choice((1, 2, 4)), self.rng.choice((0.05, 0.2, 0.6))
        )
        status = 0
        for _ in range(4):
            status = await self.post(
                self.rng.choice(self.instances), path, body
            )
            if status not in (0, 502, 504):
                break
            await trio.sleep(_RESEND_S)
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def send_jobs(self, duration_s: float) -> None:
        """Send jobs at random times and wait for all of them."""
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(self.send_job)
                await trio.sleep(self.rng.expovariate(8.0))

    # Faults

    async def inject_faults(self, duration_s: float) -> None:
        """Inject faults at random times; they may overlap."""
        actions = (
            self._kill,
            self._pause,
            self._stop,
            self._store_down,
            self._proxy_fault,
            self._reset,
            self._worker_unresponsive,
            self._answers_lost,
            self._crowd,
        )
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.rng.expovariate(1.2))
                if trio.current_time() >= end_s:
                    break
                nursery.start_soon(
                    self.rng.choice(actions), self.rng.uniform(0.2, 3.0)
                )

    async def _kill(self, for_s: float) -> None:
        instance = self.rng.choice(self.instances)
        self.log_fault(f'kill {instance.number}')
        instance.signal(signal.SIGKILL)
        await self._restart(instance, for_s)

    async def _restart(self, instance: Instance, for_s: float) -> None:
        await instance.wait(7.0)
        await trio.sleep(for_s / 3)
        if instance.process.poll() is not None:
            instance.start()

    async def _pause(self, for_s: float) -> None:
        instance = self.rng.choice(self.instances)
        self.log_fault(f'pause {instance.number} for {for_s:.1f}')
        instance.signal(signal.SIGSTOP)
        await trio.sleep(for_s)
        instance.signal(signal.SIGCONT)

    async def _stop(self, for_s: float) -> None:
        instance = self.rng.choice(self.instances)
        self.log_fault(f'stop {instance.number}')
        instance.signal(signal.SIGTERM)
        await self._restart(instance, for_s)

    async def _store_down(self, for_s: float) -> None:
        self.log_fault(f'store down for {for_s:.1f}')
        self.site.store.is_down = True
        await trio.sleep(for_s)
        self.site.store.is_down = False

    async def _proxy_fault(self, for_s: float) -> None:
        proxy = self.rng.choice(self.site.proxies)
        mode = self.rng.choice(list(wire.Mode)[1:])
        self.log_fault(
            f'proxy {self.site.proxies.index(proxy)} {mode} {for_s:.1f}'
        )
        proxy.mode = mode
        await trio.sleep(for_s)
        proxy.mode = wire.Mode.PASS

    async def _reset(self, for_s: float) -> None:
        self.log_fault('reset connections')
        for proxy in self.rng.sample(self.site.proxies, 3):
            proxy.reset_all()

    async def _worker_unresponsive(self, for_s: float) -> None:
        served = self.rng.choice(list(self.site.workers.values()))
        self.log_fault(
            f'worker {served.worker.info.id} unresponsive for {for_s:.1f}'
        )
        served.is_unresponsive = True
        await trio.sleep(for_s)
        served.is_unresponsive = False

    async def _answers_lost(self, for_s: float) -> None:
        self.log_fault(f'answers of workers dropped for {for_s:.1f}')
        for served in self.site.workers.values():
            served.mute_share = 0.1
        await trio.sleep(for_s)
        for served in self.site.workers.values():
            served.mute_share = 0.0

    async def _crowd(self, for_s: float) -> None:
        """Let clients submit large jobs, each on a connection of its own.

        They keep it open until the time is over or the process is gone.
        """
        instance = self.rng.choice(self.instances)
        body = self.rng.choice(
            (
                wire.submission(1_000, 0.02),
                wire.submission(1, 0.02, n_padding_bytes=_LONG_SPEC_BYTES),
            )
        )
        self.log_fault(
            f'crowd of {len(body)} bytes at {instance.number} for {for_s:.1f}'
        )
        with trio.move_on_after(for_s):
            async with trio.open_nursery() as nursery:
                for _ in range(_CROWD_CLIENTS):
                    self.n_crowd_jobs += 1
                    job_id = f'{self.n_crowd_jobs:08x}{0:08x}'
                    nursery.start_soon(
                        self._send_large_job, instance, job_id, body
                    )
        self.check_memory()

    async def _send_large_job(
        self, instance: Instance, job_id: str, body: bytes
    ) -> None:
        client = http1.Client()
        try:
            response = await client.request(
                instance.address,
                'POST',
                _CROWD_PREFIX + job_id,
                body,
                'X-Orioleloom-Deadline-Ms: 4000\r\n',
                host=wire.HOST,
            )
            if response.status == 503:
                self.refused_job_ids.add(job_id)
            await trio.sleep_forever()
        except (http1.NotSentError, http1.NoAnswerError):
            pass
        finally:
            client.close()

    # Checks

    def check_memory(self) -> None:
        """Check that no instance has needed more memory than it has."""
        for instance in self.instances:
            n_bytes = instance.peak_memory_bytes()
            if n_bytes > _MEMORY_MB * 1_000_000:
                self.violations.append(
                    f'instance {instance.number} has used {n_bytes} bytes'
                )

    def check_refusals(self) -> None:
        """Check that no job that was refused as not run has started."""
        self.violations.extend(
            f'job {job_id} was refused and has started'
            for job_id in sorted(self.refused_job_ids & self.started_job_ids)
        )

    # Phases of a run

    async def start(self) -> None:
        """Start the instances and wait until the first one serves."""
        self.site.move_worker(max(self.site.workers), _CROWD_UPSTREAM)
        self.site.configure(
            ('/check/', _CROWD_PREFIX), {_CROWD_PREFIX: _CROWD_UPSTREAM}
        )
        for instance in self.instances:
            settings = self.site.settings(instance.number, len(self.instances))
            settings['limits']['memoryMb'] = _MEMORY_MB
            instance.write_settings(settings)
            instance.start()
        body = wire.submission(1, 0.01)
        with trio.fail_after(READY_TIMEOUT_S):
            while (
                await self.post(self.instances[0], '/check/' + 16 * 'f', body)
                != 200
            ):
                await trio.sleep(0.1)

    async def check_recovery(self) -> None:
        """Check that service returns once all faults have ended."""
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            if instance.process.poll() is not None:
                instance.start()
        await trio.sleep(_RECOVERY_S)
        for instance in self.instances:
            self.n_jobs += 1
            status = await self.post(
                instance,
                f'/check/{self.n_jobs:016x}',
                wire.submission(2, 0.05),
            )
            if status != 200:
                self.violations.append(
                    f'instance {instance.number} answers {status} after all '
                    'faults have ended'
                )

    async def end(self) -> None:
        """Stop the instances and check their exit codes."""
        for instance in self.instances:
            instance.signal(signal.SIGTERM)
        for instance in self.instances:
            code = await instance.wait(7.0)
            if code != 0:
                self.violations.append(
                    f'instance {instance.number} exited with code {code}'
                )


async def _run(
    seed: int, duration_s: float, network: int, n_instances: int, folder: str
) -> SoakReport:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        site = wire.Site(nursery, rng, network)
        await site.start(7)
        soak = _Soak(site, rng, n_instances, folder)
        try:
            await soak.start()
            async with trio.open_nursery() as inner:
                inner.start_soon(soak.send_jobs, duration_s)
                for _ in range(n_instances // _INSTANCES_PER_FAULT_SERIES):
                    inner.start_soon(soak.inject_faults, duration_s)
            await soak.check_recovery()
            soak.check_memory()
            soak.check_refusals()
            await soak.end()
        finally:
            for instance in soak.instances:
                instance.signal(signal.SIGCONT)
                instance.signal(signal.SIGKILL)
        nursery.cancel_scope.cancel()
    return SoakReport(
        seed, soak.faults, soak.n_jobs, soak.statuses, soak.violations
    )


def run_soak(
    seed: int,
    duration_s: float,
    log_folder: str | None = None,
    network: int = 7,
    n_instances: int = 3,
) -> SoakReport:
    """Run instances under random faults.

    :param log_folder: directory for the instances' settings and logs; a
        temporary one is used and deleted if not given
    :param network: second octet of the instances' loopback addresses
    :param n_instances: three, or a multiple of it
    """
    return run_in_folder(
        log_folder, _run, seed, duration_s, network, n_instances
    )


def run_in_folder(
    log_folder: str | None,
    run: typing.Callable[..., typing.Awaitable[typing.Any]],
    *args: typing.Any,
) -> typing.Any:
    """Run a soak with the folder of its settings and logs as last argument.

    :param log_folder: a temporary directory is used and deleted if not given
    """
    with contextlib.ExitStack() as stack:
        folder = log_folder or stack.enter_context(
            tempfile.TemporaryDirectory()
        )
        return trio.run(run, *args, folder)
