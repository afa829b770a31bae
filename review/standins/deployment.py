"""A small deployment: instances of the product and the stand-ins around it."""

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

from standins import http
from standins import record
from standins import store
from standins import worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'tasks.example'
PREFIX = '/check/'
DEADLINE_MS = 1500
_READY_S = 20.0
_FRONT, _READY, _CONTROL, _PEERS = range(4)
_N_PORTS = 4


class CannotRun(Exception):
    """The case could not be set up."""


def _free_ports(ips: list[str], n: int) -> list[int]:
    """Return ports that are free on all of the addresses."""
    found: list[int] = []
    rng = random.Random()
    for _ in range(2000):
        port = rng.randrange(20_000, 32_000)
        if port in found:
            continue
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        found.append(port)
        if len(found) == n:
            return found
    raise CannotRun('no free ports')


class Instance:
    """One process of the product, run as in the deploy file."""

    def __init__(self, name: str, ip: str, zone: str, ports: list[int]):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.front = f'{ip}:{ports[_FRONT]}'
        self.ready = f'{ip}:{ports[_READY]}'
        self.control = f'{ip}:{ports[_CONTROL]}'
        self.process: subprocess.Popen | None = None

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running():
            self.process.send_signal(number)

    async def state(self) -> dict[str, typing.Any]:
        """Return the state page of the instance, or nothing."""
        try:
            link = await http.Connection.open(self.control)
            try:
                answer = await asyncio.wait_for(
                    link.request('GET', '/state', {'Host': self.control}), 1
                )
            finally:
                link.close()
        except (http.Closed, TimeoutError):
            return {}
        return json.loads(answer[2]) if answer[0] == 200 else {}

    async def is_ready(self) -> bool:
        """Return whether the balancer would send connections here."""
        try:
            link = await http.Connection.open(self.ready)
            try:
                answer = await asyncio.wait_for(
                    link.request('GET', '/readyz', {'Host': self.ready}), 1
                )
            finally:
                link.close()
        except (http.Closed, TimeoutError):
            return False
        return answer[0] == 200


class Deployment:
    """A store, workers and instances on loopback addresses.

    :param log: the record of the case
    :param zones: zone of each instance
    """

    def __init__(self, log: record.Record, zones: typing.Sequence[str]):
        self.log = log
        self.store = store.Store()
        self.workers: dict[str, worker.Worker] = {}
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        rng = random.Random()
        network = f'127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}'
        ips = [f'{network}.{n}' for n in range(1, len(zones) + 1)]
        self.ports = _free_ports(ips, _N_PORTS)
        self.instances = [
            Instance(f'edge-{zone}-{n}', ip, zone, self.ports)
            for n, (ip, zone) in enumerate(zip(ips, zones), 1)
        ]
        self._version = 0
        self._logs: list[typing.IO] = []

    def configure(self, timeout_ms: int = DEADLINE_MS) -> None:
        """Write the next version of the configuration."""
        self._version += 3
        routes = [
            {
                'name': 'r-check',
                'host': HOST,
                'pathPrefix': PREFIX,
                'kind': 'non_idempotent',
                'timeoutMs': timeout_ms,
                'targetLatencyMs': 60,
                'priority': 1,
                'service': 'pool',
                'maxAttempts': 3,
                'slackFactor': 1.6,
            }
        ]
        self.store.put(
            'op',
            'config',
            {
                'version': self._version,
                'routes': routes,
                'services': [
                    {'name': 'pool', 'healthPath': '/healthz',
                     'maxConns': 64, 'protocol': 'h1', 'tls': False,
                     'admissionCheck': True, 'standby': False}
                ],
                'limits': {'maxHeaderBytes': 16_384, 'maxBodyBytes': 262_144,
                           'headerTimeoutMs': 3_000, 'idleTimeoutMs': 15_000},
            },
        )  # fmt: skip
        self.log.add('configuration', version=self._version)

    async def start(
        self,
        n_workers: int,
        *,
        timeout_ms: int = DEADLINE_MS,
        make: typing.Callable[[int], dict] = lambda number: {},
    ) -> None:
        """Start everything and wait until all instances are ready.

        :param make: parameters of the worker with a number
        """
        await self.store.server.start()
        self.configure(timeout_ms)
        for number in range(1, n_workers + 1):
            served = worker.Worker(
                f'i-{number:04x}', self.store, self.log, **make(number)
            )
            self.workers[served.id] = served
            await served.start()
        for instance in self.instances:
            self.launch(instance)
        limit_s = time.monotonic() + _READY_S
        while not all([await i.is_ready() for i in self.instances]):
            if time.monotonic() > limit_s:
                raise CannotRun('the instances are not ready')
            await asyncio.sleep(0.1)
        # Followers know their leader and the leader its followers.
        await asyncio.sleep(1.5)

    def launch(self, instance: Instance) -> None:
        """Start the process of an instance."""
        folder = pathlib.Path(self._folder.name)
        settings = folder / f'{instance.name}.yaml'
        # JSON is YAML.
        settings.write_text(json.dumps(self._settings(instance)))
        with (ROOT / 'deploy/system.toml').open('rb') as file:
            command = tomllib.load(file)['roles']['instance']['run']
        log = (folder / f'{instance.name}.log').open('ab')
        self._logs.append(log)
        words = shlex.split(command)
        if words[0] == 'python3':
            words[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        instance.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env={
                **environment,
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'ORIOLELOOM_BOOT': str(settings),
            },
            stdout=log,
            stderr=log,
        )
        self.log.add('instance_started', instance=instance.name,
                     pid=instance.process.pid)  # fmt: skip

    def _settings(self, instance: Instance) -> dict[str, typing.Any]:
        return {
            'nodeName': instance.name,
            'role': 'instance',
            'machineClass': 'edge',
            'serves': ['edge', 'control'],
            'ip': instance.ip,
            'zone': instance.zone,
            'region': 'region-1',
            'zones': {i.zone: 'region-1' for i in self.instances},
            'listen': {
                'frontend': instance.front,
                'readinessAddr': instance.ready,
                'control': instance.control,
            },
            'internalPorts': [self.ports[_PEERS], self.ports[_PEERS] + 15],
            'seeds': [i.control for i in self.instances[:3]],
            'bootstrap': True,
            'limits': {'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300,
                       'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0},
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1500,
            'contracts': ['base', 'drain', 'config', 'cost', 'recover',
                          'sched', 'platform'],
            'faultTolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': {'contactMs': 3000, 'ackTimeoutMs': 4000,
                       'drainMs': 2000, 'graceS': 6, 'lossSlackMs': 200,
                       'configApplyMs': 2000, 'maxHoldMs': 1000,
                       'stopTimeoutMs': 50, 'cancel_ms': 3000,
                       'visible_ms': 3000, 'resendMs': 1300},
            'commands': 'invoke',
            'platform': {'address': self.store.server.address,
                         'form': 'table', 'writesPerS': 800,
                         'readsPerS': 2000, 'txnTimeoutMs': 5.0,
                         'partWritesPerS': 200, 'rowBytes': 65536,
                         'crossPartition': False, 'historyS': 20},
        }  # fmt: skip

    async def leader(self) -> Instance:
        """Return the instance that gives the orders to the workers."""
        for instance in self.instances:
            state = await instance.state()
            for other in self.instances:
                if state.get('leader') == other.name:
                    return other
        raise CannotRun('nobody leads')

    async def stop(self) -> None:
        """End every process that was started."""
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()
        for served in self.workers.values():
            if served.is_up:
                await served.crash()
        await self.store.server.stop()
        for log in self._logs:
            log.close()
        kept = os.environ.get('REVIEW_LOGS')
        if kept:
            pathlib.Path(kept).mkdir(parents=True, exist_ok=True)
            for path in pathlib.Path(self._folder.name).iterdir():
                (pathlib.Path(kept) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()


class Client:
    """A client with one connection, as the platform's balancer sets it up."""

    def __init__(self, log: record.Record, instance: Instance, name: str):
        self.log = log
        self.instance = instance
        self.name = name
        self._link: http.Connection | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self._link = await http.Connection.open(self.instance.front)

    def close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.close()
            self._link = None

    async def call(
        self,
        method: str,
        job_id: str,
        value: typing.Any = None,
        *,
        deadline_ms: int = DEADLINE_MS,
    ) -> int:
        """Return the status of a call; 0 if the connection ended first.

        -1 stands for no answer until the deadline.
        """
        sent_s = self.log.add('sent', client=self.name, method=method,
                              job=job_id, instance=self.instance.name,
                              deadline_ms=deadline_ms)  # fmt: skip
        body = b''
        try:
            if self._link is None:
                await self.connect()
            status, headers, body = await asyncio.wait_for(
                self._link.request(
                    method,
                    PREFIX + job_id,
                    {
                        'Host': HOST,
                        'X-Orioleloom-Deadline-Ms': str(deadline_ms),
                    },
                    value,
                ),
                deadline_ms / 1000 + 0.2,
            )
            if headers.get('connection', '').lower() == 'close':
                self.close()
        except http.Closed:
            status = 0
            self.close()
        except TimeoutError:
            status = -1
            self.close()
        self.log.add('answered', client=self.name, method=method, job=job_id,
                     instance=self.instance.name, status=status,
                     sent_at_s=round(sent_s, 3),
                     body=body.decode(errors='replace')[:120])  # fmt: skip
        return status


def job(
    work_ms: float, *, n_tasks: int = 1, n_steps: int = 1, **step: typing.Any
) -> dict[str, typing.Any]:
    """Return the body of a job that need not be stored."""
    cpu = 6800
    phases = []
    for number in range(n_steps):
        phase = {'count': n_tasks, 'cpu': cpu, 'memMb': 64,
                 'estimateMs': work_ms, **step}  # fmt: skip
        if number:
            phase['after'] = [number - 1]
        phases.append(phase)
    return {
        'spec': json.dumps({'work_ms': work_ms, 'cpu': cpu}),
        'phases': phases,
        'bestEffort': True,
    }


def new_id() -> str:
    """Return an id for a job."""
    return f'{random.getrandbits(64):016x}'


def run_case(
    folder: pathlib.Path,
    zones: typing.Sequence[str],
    case: typing.Callable[[Deployment, bool], typing.Awaitable[list[str]]],
) -> int:
    """Run a case and return the exit code of its script.

    :param case: gets the deployment and whether the disruption is made, and
        returns how the rule was broken
    """
    log = record.Record(folder / 'record.txt')

    async def run() -> int:
        deployment = Deployment(log, zones)
        try:
            with_trouble = os.environ.get('TROUBLE', '1') != '0'
            log.add('case', trouble=with_trouble)
            async with asyncio.timeout(100):
                broken = await case(deployment, with_trouble)
            for text in broken:
                log.add('broken', what=text)
                print(text)
            log.add('result', n_broken=len(broken))
            return 1 if broken else 0
        except (CannotRun, TimeoutError) as exc:
            log.add('cannot_run', reason=repr(exc))
            print(f'cannot run: {exc!r}')
            return 2
        finally:
            await deployment.stop()

    try:
        return asyncio.run(run())
    finally:
        log.close()
