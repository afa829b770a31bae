"""Stand-ins for the platform of the second review, and a runner for them.

Implements the published protocol with the standard library only: the store's
rows, workers that run tasks under leases, callers, and a proxy that can leave
open connections silent. The instances are separate processes, started with the
command of the deploy file. Everything listens on loopback addresses.
"""

import asyncio
import base64
import bisect
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'tasks.example'
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_S = 0.02
# A script may run for 120 s.
_MAX_PLAY_S = 110.0
# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run, so that it shows nothing."""


# HTTP


async def _read_message(reader):
    """Return the first line, headers and body of a message, or None."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while (header := (await reader.readline()).strip()):
        name, _, value = header.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return line.decode('latin-1').split(), headers, body


class HttpServer:
    """HTTP/1.1 server with keep-alive; one request at a time a connection.

    :param handle: coroutine function of method, target, headers and body;
        returns a status and an object that is sent as JSON
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.address = ''

    async def start(self, ip, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = '%s:%d' % self._server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                (method, target, _), headers, body = message
                status, answer = await self._handle(
                    method, target, headers, body
                )
                data = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(data)}\r\n\r\n'.encode() + data
                )
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            # The connection or the play has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self):
        """Close the listener and all connections, as at a process's end."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()


async def call(address, method, path, body=b'', headers=None, timeout_s=10.0):
    """Send a request on a new connection.

    :returns: status and body; status 0 if there was no answer
    """
    host, _, port = address.rpartition(':')
    lines = {
        'Host': HOST,
        'Content-Type': 'application/json',
        'Content-Length': str(len(body)),
        **(headers or {}),
    }
    head = f'{method} {path} HTTP/1.1\r\n' + ''.join(
        f'{name}: {value}\r\n' for name, value in lines.items()
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b'\r\n' + body)
            message = await _read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        message = None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, b''
    return int(message[0][1]), message[2]


# Store


class Store:
    """The platform's store: rows in tables, with a feed of changes."""

    def __init__(self):
        self.version = 0
        self.is_down = False
        # By table and key: value in base64 or None, and version.
        self._rows = {}
        self._changed = asyncio.Event()
        self._started_s = time.monotonic()
        self.server = HttpServer(self._handle)

    def put(self, table, key, value):
        """Write a row as the operator or a worker would."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._put(table, key, data)

    def _put(self, table, key, value):
        self.version += 1
        self._rows.setdefault(table, {})[key] = (value, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    def remove(self, table, key):
        self._put(table, key, None)

    def _answer(self, rows, has_more=False):
        return 200, {
            'rows': rows,
            'hasMore': has_more,
            'ver': self.version,
            'nowMs': int(1000 * (time.monotonic() - self._started_s)),
        }

    async def _handle(self, method, target, _headers, body):
        await asyncio.sleep(0.004)
        if self.is_down:
            return 503, {}
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        if path == '/rows-tx':
            return self._transact(json.loads(body))
        if path == '/rows-get':
            return self._get(query)
        if path == '/rows-feed':
            return await self._feed(query)
        return 404, {}

    def _transact(self, fields):
        for row in fields.get('expectedRevision', ()):
            _, version = self._rows.get(row['table'], {}).get(
                row['key'], (None, 0)
            )
            if version != row['ver']:
                return 412, {'rows': []}
        for row in fields.get('puts', ()):
            self._put(row['table'], row['key'], row['value'])
        for row in fields.get('remove', ()):
            self.remove(row['table'], row['key'])
        return self._answer([])

    def _get(self, query):
        rows = self._rows.get(query['table'], {})
        keys = sorted(key for key, row in rows.items() if row[0] is not None)
        keys = keys[bisect.bisect_left(keys, query.get('from', '')) :]
        if query.get('target'):
            keys = [key for key in keys if key < query['target']]
        limit = min(500, int(query.get('limit', 500)))
        return self._answer(
            [
                {
                    'table': query['table'],
                    'part': '',
                    'key': key,
                    'value': rows[key][0],
                    'ver': rows[key][1],
                }
                for key in keys[:limit]
            ],
            len(keys) > limit,
        )

    async def _feed(self, query):
        after = int(query['after'])
        until_s = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            if self.is_down:
                return 503, {}
            changed = sorted(
                (version, key, value)
                for key, (value, version) in self._rows.get(
                    query['table'], {}
                ).items()
                if version > after
            )
            left_s = until_s - time.monotonic()
            if changed or left_s <= 0:
                return self._answer(
                    [
                        {
                            'table': query['table'],
                            'part': '',
                            'key': key,
                            'value': value or '',
                            'ver': version,
                            'deleted': value is None,
                        }
                        for version, key, value in changed
                    ]
                )
            event = self._changed
            try:
                await asyncio.wait_for(event.wait(), left_s)
            except TimeoutError:
                pass


class SilentProxy:
    """TCP proxy whose open connections can go silent for good.

    Connections that are opened later work.
    """

    def __init__(self, target):
        self._target = target
        self._silenced = set()
        self._open = set()
        self.address = ''

    async def start(self, ip):
        server = await asyncio.start_server(self._serve, ip, 0)
        self._server = server
        self.address = '%s:%d' % server.sockets[0].getsockname()

    def silence(self):
        """Drop all further bytes of the connections that are open now."""
        self._silenced |= self._open
        return len(self._open)

    async def _serve(self, reader, writer):
        number = object()
        host, _, port = self._target.rpartition(':')
        other_reader, other_writer = await asyncio.open_connection(
            host, int(port)
        )
        self._open.add(number)
        try:
            await asyncio.gather(
                self._copy(number, reader, other_writer),
                self._copy(number, other_reader, writer),
            )
        except OSError:
            pass
        finally:
            self._open.discard(number)
            writer.close()
            other_writer.close()

    async def _copy(self, number, reader, writer):
        while data := await reader.read(65536):
            if number not in self._silenced:
                writer.write(data)
                await writer.drain()
        if number not in self._silenced:
            writer.close()


# Workers


class Worker:
    """A worker that runs tasks under leases.

    The duration of a task is the number of seconds in the job's ``spec``.

    :param guards: rejects starts that do not fit into its capacity
    """

    def __init__(
        self, site, worker_id, zone, service, capacity, labels, guards=True
    ):
        self.site = site
        self.id = worker_id
        self.zone = zone
        self.service = service
        self.capacity = dict(capacity)
        self.labels = list(labels)
        self.guards = guards
        self.state = 'ready'
        self.is_up = False
        # Called with the fields of a start; if it returns true, the start
        # gets no answer and is carried out by deliver(), if at all.
        self.is_late = lambda _fields: False
        self.server = HttpServer(self._handle)
        self._beats = None
        self._seq = 0
        self._port = 0
        self._last_write_s = 0.0

    async def start(self):
        """Start a new incarnation, at the address of the last one."""
        self.born = time.time_ns() // 1_000_000
        self._booted_s = time.monotonic()
        self._fence = 0
        self._expires_ms = 0
        self.runs = {}
        self._ends = []
        self._n_ends = 0
        self._blocked = {}
        self._ended = asyncio.Event()
        self._seq = 0
        self.is_up = True
        await self.server.start(self.site.worker_ip, self._port)
        self._port = int(self.server.address.rpartition(':')[2])
        self._beats = asyncio.create_task(self._live())

    def crash(self):
        """End the process: all connections close and all runs end."""
        self.is_up = False
        self._beats.cancel()
        self.server.stop()
        for run in list(self.runs.values()):
            self.site.end_run(self, run, 'crashed')
        self.runs = {}

    def write_entry(self):
        """Register in the platform's store, or renew the entry.

        Nothing is written while the store is down.
        """
        if self.site.store.is_down:
            return
        self._last_write_s = time.monotonic()
        self._seq += 1
        entry = {
            'service': self.service,
            'address': self.server.address,
            'zone': self.zone,
            'version': '1',
            'slots': 8,
            'state': self.state,
            'coldRemainingMs': 0,
            'seq': self._seq,
            'capacity': self.capacity,
            'labels': self.labels,
            'born': self.born,
        }
        if not self.site.entry_lag_s:
            self.site.store.put('servers', self.id, entry)
            return
        asyncio.get_running_loop().call_later(
            self.site.entry_lag_s,
            self.site.store.put, 'servers', self.id, entry,
        )

    def expire_entry(self):
        """Remove the entry after three heartbeat intervals of silence."""
        left_s = self._last_write_s + 3 * HEARTBEAT_S - time.monotonic()
        asyncio.get_running_loop().call_later(
            max(0.0, left_s), self.site.store.remove, 'servers', self.id,
        )

    def deliver(self, fields):
        """Carry out a start that has come late."""
        self._advance()
        reason = self._accept(fields) or self._start(fields)
        self.site.note(
            f'late start of {fields["task"]} run {fields["runId"]} reaches '
            f'{self.id}: {reason or "carried out"}'
        )

    async def _live(self):
        """Write the entry at once, then at each heartbeat; end runs."""
        self.write_entry()
        # The heartbeats of the workers are not synchronous.
        interval_s = random.uniform(0.1, 1.0) * HEARTBEAT_S
        while True:
            await asyncio.sleep(0.005)
            self._advance()
            if time.monotonic() - self._last_write_s > interval_s:
                interval_s = HEARTBEAT_S
                self.write_entry()

    def clock_ms(self):
        return int(1000 * (time.monotonic() - self._booted_s))

    def _advance(self):
        now_s = time.monotonic()
        for task, run in list(self.runs.items()):
            if now_s >= run['done_s']:
                how = 'done'
            elif now_s >= run['stop_s']:
                how = 'stopped'
            elif self.clock_ms() >= self._expires_ms:
                how = 'lapsed'
            else:
                continue
            del self.runs[task]
            self._n_ends += 1
            self._ends.append([self._n_ends, task, run['run'], how, ''])
            self._blocked[task] = max(
                run['run'], self._blocked.get(task, 0)
            )
            self.site.end_run(self, run, how)
            self._ended.set()
            self._ended = asyncio.Event()

    async def _handle(self, method, target, headers, body):
        if headers.get('x-orioleloom-expected-instance') != self.id:
            return 421, {'clockMs': self.clock_ms()}
        if method == 'GET':
            return 200, {}
        fields = json.loads(body)
        self._advance()
        if target == '/run-start' and self.is_late(fields):
            await asyncio.Event().wait()
        reason = self._accept(fields)
        if reason:
            return 409, {'clockMs': self.clock_ms(), 'reason': reason}
        if target == '/run-start':
            reason = self._start(fields)
            if reason:
                return 409, {'clockMs': self.clock_ms(), 'reason': reason}
            return 200, {'clockMs': self.clock_ms()}
        if target == '/run-stop':
            self._stop(fields)
            return 200, {'clockMs': self.clock_ms()}
        if target == '/hold':
            return await self._hold(fields)
        return 404, {}

    def _accept(self, fields):
        """Check the token of a command and extend the lease."""
        if fields.get('fencingToken', 0) < self._fence:
            return 'fence'
        self._fence = fields.get('fencingToken', 0)
        if fields.get('expiresMs') is not None:
            limit_ms = self.clock_ms() + HOLD_MAX_MS
            self._expires_ms = max(
                self._expires_ms, min(fields['expiresMs'], limit_ms)
            )
        return ''

    def _start(self, fields):
        task, number = fields['task'], fields['runId']
        known = self.runs.get(task)
        if known is not None and known['run'] == number:
            return ''
        if known is not None or number <= self._blocked.get(task, 0):
            return 'old'
        if fields['expiresMs'] <= self.clock_ms():
            return 'late'
        room = self.site.room_of(task)
        used = {
            name: room[name]
            + sum(run['room'][name] for run in self.runs.values())
            for name in room
        }
        is_over = any(
            used[name] > self.capacity.get(name, 0) for name in used
        )
        if is_over and self.guards:
            return 'room'
        now_s = time.monotonic()
        run = {
            'task': task,
            'run': number,
            'room': room,
            'done_s': now_s + float(fields['spec'].split()[0]),
            'stop_s': float('inf'),
        }
        self.runs[task] = run
        self.site.begin_run(self, run, fields, used, is_over)
        return ''

    def _stop(self, fields):
        task = fields['task']
        self._blocked[task] = max(
            fields['runId'], self._blocked.get(task, 0)
        )
        run = self.runs.get(task)
        if run is not None and run['run'] <= fields['runId']:
            run['stop_s'] = min(run['stop_s'], time.monotonic() + STOP_S)

    async def _hold(self, fields):
        acked = fields.get('ackedThrough', 0)
        self._ends = [end for end in self._ends if end[0] > acked]
        until_s = time.monotonic() + fields.get('waitMs', 0) / 1000
        while not self._ends and (left_s := until_s - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._ended.wait(), left_s)
            except TimeoutError:
                pass
        return 200, {
            'clockMs': self.clock_ms(),
            'born': self.born,
            'running': [
                [run['task'], run['run'], '', 50, 0]
                for run in self.runs.values()
            ],
            'endedRuns': self._ends[:500],
        }


# Deployment


def _free_network(n_instances):
    """Return a second octet and ports that are free on all its addresses."""
    for _ in range(50):
        network = random.randint(20, 240)
        port = random.randrange(20_000, 30_000, 20)
        sockets = []
        try:
            for number in range(1, n_instances + 1):
                for one in (port, port + 1, port + 2, port + 5, 9464):
                    sock = socket.socket()
                    sockets.append(sock)
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                    )
                    sock.bind((f'127.{network}.1.{number}', one))
            return network, port
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRun('no free loopback addresses')


class Instance:
    """A process of the product, with the command of the deploy file."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.ip = f'127.{site.network}.1.{number}'
        self.frontend = f'{self.ip}:{site.port}'
        self.readiness = f'{self.ip}:{site.port + 1}'
        self.path = site.folder / f'instance-{number}.yaml'
        self.process = None

    def write_settings(self):
        site = self.site
        zone = site.zones[(self.number - 1) % len(site.zones)]
        settings = {
            'nodeName': f'edge-{zone}-{self.number}',
            'role': 'instance',
            'machineClass': 'edge',
            'serves': ['edge', 'control'],
            'ip': self.ip,
            'zone': zone,
            'region': 'region-1',
            'zones': {name: 'region-1' for name in site.zones},
            'listen': {
                'frontend': self.frontend,
                'readinessAddr': self.readiness,
                'control': f'{self.ip}:{site.port + 2}',
            },
            'internalPorts': [site.port + 5, site.port + 15],
            'seeds': [
                f'127.{site.network}.1.{n}:{site.port + 2}'
                for n in range(1, min(3, site.n_instances) + 1)
            ],
            'bootstrap': True,
            'failureCounted': False,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1500,
            'contracts': ['base', 'drain', 'config', 'cost', 'recover',
                          'sched', 'platform', 'advice', 'upkeep', 'sharing'],
            'faultTolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': {
                'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000,
                'ackTimeoutMs': 4000, 'catchUpS': 4, 'drainMs': 2000,
                'graceS': 6, 'lossSlackMs': 200, 'configApplyMs': 2000,
                'downgradeSlackMs': 250, 'maxExtensionMs': 5000,
                'recoveryS': 12, 'maxHoldMs': HOLD_MAX_MS,
                'stopTimeoutMs': 50, 'cancel_ms': 3000, 'visible_ms': 3000,
                'resendMs': 1300,
            },
            'commands': 'invoke',
            'platform': {
                'address': site.store_address, 'form': 'table',
                'writesPerS': 800, 'readsPerS': 2000, 'txnTimeoutMs': 5.0,
                'partWritesPerS': 200, 'rowBytes': 65536,
                'crossPartition': False, 'historyS': 20,
            },
        }
        # JSON is YAML as well. The file is replaced as a whole.
        new = self.path.with_suffix('.new')
        new.write_text(json.dumps(settings, indent=1))
        new.replace(self.path)

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['ORIOLELOOM_BOOT'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self.site.folder / f'instance-{self.number}.log').open(
            'ab'
        ) as log:
            self.process = subprocess.Popen(
                shlex.split(deploy['roles']['instance']['run']),
                cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )
        self.site.processes.append(self.process)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        return (
            await call(self.readiness, 'GET', '/readyz', timeout_s=1.0)
        )[0] == 200

    async def wait_ready(self, timeout_s=20.0):
        until_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until_s or self.process.poll() is not None:
                raise CannotRun(f'instance {self.number} is not ready')
            await asyncio.sleep(0.05)


class Site:
    """A small deployment: store, workers and instances.

    :param record: file to which everything that is seen is written
    :param processes: list to which the started processes are added
    """

    def __init__(self, folder, record, processes, *, n_instances=3):
        self.folder = folder
        self.zones = ['zone-1', 'zone-2', 'zone-3']
        self.n_instances = n_instances
        self.network, self.port = _free_network(n_instances)
        self.worker_ip = f'127.{self.network}.2.1'
        self.store = Store()
        self.store_address = ''
        self.workers = {}
        self.instances = []
        self.processes = processes
        self.job_phases = {}
        # Time until the entry of a worker shows in the store.
        self.entry_lag_s = 0.0
        self._record = record
        self._started_s = time.monotonic()
        self._version = 0
        # Checks of a case, called at each start and end of a run.
        self.on_begin = lambda *_: None
        self.on_end = lambda *_: None

    def now_s(self):
        return time.monotonic() - self._started_s

    def note(self, text):
        """Write a line with the time to the record."""
        self._record.write(f'{self.now_s():8.3f} {text}\n')
        self._record.flush()

    async def start(self, *, is_proxied=False):
        await self.store.server.start(self.worker_ip)
        self.store_address = self.store.server.address
        self.proxies = []
        for worker in self.workers.values():
            await worker.start()
        self.instances = [
            Instance(self, number)
            for number in range(1, self.n_instances + 1)
        ]
        for instance in self.instances:
            if is_proxied:
                proxy = SilentProxy(self.store.server.address)
                await proxy.start(self.worker_ip)
                self.proxies.append(proxy)
                self.store_address = proxy.address
            instance.write_settings()
            instance.start()
        for instance in self.instances:
            await instance.wait_ready()
        self.note('all instances are ready')

    def add_worker(self, worker_id, zone, capacity, labels, **kwargs):
        self.workers[worker_id] = Worker(
            self, worker_id, zone, kwargs.pop('service', 'pool'), capacity,
            labels, **kwargs,
        )

    def configure(self, routes, *, admission_check=True, services=('pool',)):
        """Write a configuration; the return is its acknowledgement.

        :param routes: service by path prefix
        """
        self._version += random.randint(1, 4)
        self.store.put(
            'op',
            'config',
            {
                'version': self._version,
                'routes': [
                    {
                        'name': 'queue' + prefix.replace('/', '-'),
                        'host': HOST,
                        'pathPrefix': prefix,
                        'service': service,
                        'priority': 0,
                        'maxAttempts': 3,
                        'slackFactor': 1.6,
                        'targetLatencyMs': 60,
                    }
                    for prefix, service in routes.items()
                ],
                'services': [
                    {'name': name, 'admissionCheck': admission_check}
                    for name in services
                ],
                'limits': {
                    'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
                    'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
                },
            },
        )
        self.note(f'configuration {self._version} acknowledged: {routes}')
        return self._version

    def room_of(self, task):
        job_id, _, step, _ = task.split('.')
        phase = self.job_phases[job_id][int(step)]
        return {'cpu': phase.get('cpu', 0), 'memMb': phase.get('memMb', 0)}

    def begin_run(self, worker, run, fields, used, is_over):
        self.note(
            f'start {run["task"]} run {run["run"]} on {worker.id} '
            f'token {fields["fencingToken"]} used cpu {used["cpu"]} of '
            f'{worker.capacity["cpu"]} labels {worker.labels}'
        )
        self.on_begin(worker, run, is_over)

    def end_run(self, worker, run, how):
        self.note(f'end {run["task"]} run {run["run"]} on {worker.id} {how}')
        self.on_end(worker, run, how)

    async def submit(
        self, instance, prefix, work_s, phases, *, deadline_ms=1500, job_id=''
    ):
        """Submit a job that need not be kept, and wait for its end.

        :returns: status and state
        """
        job_id = job_id or f'{random.getrandbits(64):016x}'
        self.job_phases[job_id] = phases
        body = json.dumps(
            {'spec': f'{work_s} s', 'phases': phases, 'bestEffort': True}
        ).encode()
        self.note(f'send {job_id} to {prefix} at {instance.number}')
        status, answer = await call(
            instance.frontend, 'POST', prefix + job_id, body,
            {'X-Orioleloom-Deadline-Ms': str(deadline_ms)},
            timeout_s=deadline_ms / 1000 + 1.0,
        )
        state = ''
        if status == 200:
            state = json.loads(answer).get('state', '')
        self.note(f'answer {job_id} {status} {state}')
        return status, state

    def stop(self):
        for worker in self.workers.values():
            if worker.is_up:
                worker.crash()
        self.store.server.stop()


def main(case_folder, play, is_troubled):
    """Play a case and exit with its result.

    :param play: coroutine function of record, folder, whether to disrupt and
        the list of started processes; returns the descriptions of the broken
        rule
    :param is_troubled: whether the play has its disruption
    """
    if not (ROOT / 'target/deps/orioleloom').exists():
        print('the build of the deploy file is missing')
        sys.exit(NOT_RUN)
    # So that the processes are ended if the script is, and start with the
    # default actions of the signals, also under a shell that ignores some.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    folder = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
    processes = []

    async def run(record):
        # Connections that are still open when the play ends are of no
        # interest.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(_MAX_PLAY_S):
            return await play(record, folder, is_troubled, processes)

    code = NOT_RUN
    with (pathlib.Path(case_folder) / 'record.txt').open('w') as record:
        try:
            broken = asyncio.run(run(record))
            for text in broken:
                record.write(f'BROKEN {text}\n')
            print('\n'.join(broken) or 'the rule held')
            code = BROKEN if broken else HELD
        except (CannotRun, TimeoutError, OSError) as exc:
            record.write(f'cannot run: {exc!r}\n')
            print(f'cannot run: {exc!r}')
        finally:
            for process in processes:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                shutil.copytree(folder, keep, dirs_exist_ok=True)
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
