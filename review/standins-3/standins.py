"""Stand-ins for the store, the workers and the clients of a deployment.

They follow the published pages and use the standard library only. All of
them run in the process of a case; each instance is a process of its own.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'tasks.example'
HEARTBEAT_S = 1.5
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
CANCEL_S = 3.0
RESEND_S = 1.3
GRACE_S = 6.0
MAX_HOLD_S = 1.0
STOP_S = 0.02


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with the time since the start.

    :param path: file to write
    """

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._started_s

    def write(self, text):
        print(f'{self.now_s():8.3f} {text}', file=self._file, flush=True)

    def close(self):
        self._file.close()


class _Connection:
    def __init__(self, writer):
        self.writer = writer
        self.is_silent = False


class HttpServer:
    """HTTP/1.1 server; a connection handles one request at a time.

    :param handle: coroutine that is called with method, target, headers and
        body, and returns a status and a body, or ``None`` for no answer
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._connections = set()
        self.address = ''

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=256
        )
        self.address = '%s:%d' % self._server.sockets[0].getsockname()[:2]

    async def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for connection in list(self._connections):
            connection.writer.transport.abort()
        self._connections.clear()

    def silence_connections(self):
        """Let the connections that are open now go silent for good.

        They stay open: what arrives is read and nothing is sent. New ones
        work.

        :returns: number of these connections
        """
        for connection in self._connections:
            connection.is_silent = True
        return len(self._connections)

    async def _serve(self, reader, writer):
        connection = _Connection(writer)
        self._connections.add(connection)
        writer.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get('content-length') or 0)
                )
                if connection.is_silent:
                    continue
                answer = await self._handle(method, target, headers, body)
                if answer is None:
                    continue
                if connection.is_silent:
                    continue
                status, fields = answer
                payload = json.dumps(fields).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n'
                    % (status, len(payload))
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            self._connections.discard(connection)
            writer.close()


class Store:
    """The platform's store: ``rows-tx``, ``rows-get`` and ``rows-feed``."""

    def __init__(self):
        self.server = HttpServer(self._answer)
        self.ver = 0
        self.tables = {}
        self._changed = asyncio.Event()
        self._started_s = time.monotonic()

    def put(self, table, key, value):
        """Write a row as the operator or a worker does."""
        self._write(table, key, base64.b64encode(_encode(value)).decode())

    def remove(self, table, key):
        self._write(table, key, None)

    def _write(self, table, key, value):
        self.ver += 1
        self.tables.setdefault(table, {})[key] = (value, self.ver)
        self._changed.set()
        self._changed = asyncio.Event()

    def _rows(self, **fields):
        now_ms = int((time.monotonic() - self._started_s) * 1000)
        return 200, {**fields, 'ver': self.ver, 'nowMs': now_ms}

    async def _answer(self, method, target, headers, body):
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == '/rows-feed':
            return await self._feed(fields)
        # An answer of the store takes 4 ms.
        await asyncio.sleep(0.004)
        if path == '/rows-get':
            return self._get(fields)
        if path == '/rows-tx':
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, fields):
        limit = min(500, int(fields.get('limit') or 500))
        end = fields.get('target', '')
        found = [
            {'key': key, 'value': value, 'ver': ver}
            for key, (value, ver) in sorted(
                self.tables.get(fields['table'], {}).items()
            )
            if value is not None
            and key >= fields.get('from', '')
            and (not end or key < end)
        ]
        return self._rows(rows=found[:limit], hasMore=len(found) > limit)

    async def _feed(self, fields):
        after = int(fields['after'])
        until_s = time.monotonic() + int(fields['waitMs']) / 1000
        while True:
            table = self.tables.get(fields['table'], {})
            changed = sorted(
                (ver, key, value)
                for key, (value, ver) in table.items()
                if ver > after
            )
            left_s = until_s - time.monotonic()
            if changed or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass
        await asyncio.sleep(0.004)
        return self._rows(
            rows=[
                {'key': key, 'ver': ver, 'deleted': True}
                if value is None
                else {'key': key, 'value': value, 'ver': ver}
                for ver, key, value in changed
            ]
        )

    def _transact(self, fields):
        for row in fields.get('expectedRevision', ()):
            table = self.tables.get(row['table'], {})
            value, ver = table.get(row['key'], (None, 0))
            if row['ver'] != (0 if value is None else ver):
                return 412, {'rows': []}
        for row in fields.get('puts', ()):
            self._write(row['table'], row['key'], row['value'])
        for row in fields.get('remove', ()):
            self._write(row['table'], row['key'], None)
        return self._rows()


def _encode(value):
    return json.dumps(value).encode()


class Worker:
    """A worker that takes ``run-start``, ``run-stop`` and ``hold``.

    The ``spec`` of a job is JSON with ``workS``, the seconds a task takes.

    :param on_start: called with the worker, the task and the run
    """

    def __init__(self, site, worker_id, zone, labels, address=''):
        self.site = site
        self.id = worker_id
        self.zone = zone
        self.labels = labels
        self.host = '127.0.0.1'
        self.port = 0
        self.server = None
        self.seq = 0
        self.is_up = False
        self.state = 'ready'

    async def start(self):
        """Start an incarnation, which holds and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self._clock_s = time.monotonic()
        self.token = 0
        # Calls that were answered with the present `born`.
        self.n_holds = 0
        self.first_hold_s = None
        self.running = {}
        # No run ends before.
        self._due_s = 0.0
        self.ended = []
        self.n_ends = 0
        self.highest = {}
        self.server = HttpServer(self._answer)
        await self.server.start(self.host, self.port)
        self.port = int(self.server.address.rpartition(':')[2])
        self.is_up = True
        self.list()

    async def crash(self):
        """End everything that runs, without a word."""
        self.is_up = False
        for task in list(self.running):
            self._end(task, 'crashed')
        await self.server.stop()

    def list(self):
        """Write the entry in the store."""
        self.seq += 1
        self.site.store.put(
            'servers',
            self.id,
            {
                'service': self.site.service,
                'address': f'{self.host}:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'coldRemainingMs': 0,
                'capacity': {'cpu': 16000, 'memMb': 65536, 'gpu': 0},
                'labels': self.labels,
                'clockMs': self.clock_ms(),
                'born': self.born,
                'seq': self.seq,
            },
        )

    def clock_ms(self):
        return 1 + int((time.monotonic() - self._clock_s) * 1000)

    def _end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run['id'])
        if how != 'crashed':
            self.n_ends += 1
            self.ended.append([self.n_ends, task, run['id'], how, ''])
        self.site.record.write(f'end {task} run {run["id"]} {self.id} {how}')
        self.site.on_end(self, task, run['id'], how)

    def advance(self):
        """End the runs whose time has come."""
        if not self.is_up:
            return
        now_s = time.monotonic()
        if now_s < self._due_s:
            return
        self._due_s = now_s + 1.0
        clock_ms = self.clock_ms()
        for task, run in list(self.running.items()):
            if now_s >= run['stop_s']:
                self._end(task, 'stopped')
            elif now_s >= run['done_s']:
                self._end(task, 'done')
            elif clock_ms > run['expires_ms']:
                self._end(task, 'lapsed')
            else:
                self._due_s = min(
                    self._due_s,
                    run['stop_s'],
                    run['done_s'],
                    now_s + (run['expires_ms'] - clock_ms) / 1000,
                )

    def _extend(self, expires_ms):
        latest_ms = self.clock_ms() + int(MAX_HOLD_S * 1000)
        for run in self.running.values():
            run['expires_ms'] = max(
                run['expires_ms'], min(expires_ms, latest_ms)
            )

    def _used(self):
        return sum(run['cpu'] for run in self.running.values())

    async def _answer(self, method, target, headers, body):
        if headers.get('x-orioleloom-expected-instance', self.id) != self.id:
            return 421, {}
        self.advance()
        if target == '/healthz':
            return 200, {}
        fields = json.loads(body)
        token = fields.get('fencingToken', 0)
        if token < self.token:
            return self._say(409, reason='fence')
        self.token = token
        if target == '/run-start':
            return self._start(fields)
        if target == '/run-stop':
            return self._stop(fields)
        if target == '/hold':
            return await self._hold(fields)
        return 400, {}

    def _say(self, status, **fields):
        return status, {'clockMs': self.clock_ms(), **fields}

    def _start(self, fields):
        task, run_id = fields['task'], fields['runId']
        run = self.running.get(task)
        if run is not None and run['id'] == run_id:
            self._extend(fields['expiresMs'])
            return self._say(200)
        if fields['expiresMs'] <= self.clock_ms():
            return self._say(409, reason='late')
        self._extend(fields['expiresMs'])
        if run is not None or run_id <= self.highest.get(task, 0):
            return self._say(409, reason='old')
        spec = json.loads(fields['spec'])
        cpu = spec.get('cpu', 1000)
        if self._used() + cpu > 16000:
            return self._say(409, reason='room')
        self.running[task] = {
            'id': run_id,
            'cpu': cpu,
            'done_s': time.monotonic() + spec['workS'],
            'stop_s': float('inf'),
            'expires_ms': min(
                fields['expiresMs'], self.clock_ms() + int(MAX_HOLD_S * 1000)
            ),
        }
        self._due_s = 0.0
        self.site.record.write(f'start {task} run {run_id} {self.id}')
        self.site.on_start(self, task, run_id)
        return self._say(200)

    def _stop(self, fields):
        task, run_id = fields['task'], fields['runId']
        run = self.running.get(task)
        if run is not None and run['id'] == run_id:
            run['stop_s'] = min(run['stop_s'], time.monotonic() + STOP_S)
            self._due_s = 0.0
        elif run is None or run['id'] < run_id:
            self.highest[task] = max(self.highest.get(task, 0), run_id)
        return self._say(200)

    async def _hold(self, fields):
        if 'expiresMs' in fields:
            self._extend(fields['expiresMs'])
        acked = fields['ackedThrough']
        self.ended = [end for end in self.ended if end[0] > acked]
        until_s = time.monotonic() + min(2000, fields.get('waitMs', 0)) / 1000
        while not self.ended and time.monotonic() < until_s and self.is_up:
            await asyncio.sleep(0.004)
            self.advance()
        self.n_holds += 1
        if self.n_holds == 1:
            self.first_hold_s = time.monotonic()
            self.site.record.write(f'worker {self.id} answers its first hold')
        return self._say(
            200,
            born=self.born,
            running=[
                [task, run['id'], '', 50, 0]
                for task, run in self.running.items()
            ],
            endedRuns=self.ended[:500],
        )


class Instance:
    """A process of the product, started as the deploy file says."""

    def __init__(self, site, name, zone, ip):
        self.site = site
        self.name = name
        self.zone = zone
        self.ip = ip
        self.path = site.folder / f'{name}.yaml'
        self.process = None

    @property
    def address(self):
        return f'{self.ip}:{self.site.frontend_port}'

    def start(self):
        self.path.write_text(json.dumps(self.site.settings(self)))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['ORIOLELOOM_BOOT'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        command = ['python3', '-m', 'orioleloom.platform']
        command += ['--metrics-port', str(self.site.metrics_port)]
        with open(self.site.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.site.record.write(f'process {self.name} started')

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.site.record.write(
                f'process {self.name} {signal.Signals(number).name}'
            )

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Site:
    """A small deployment: store, workers, instances and the operator.

    :param record: what happens is written there
    :param zones: number of instances in each zone
    :param memory_mb: memory of the machine of an instance
    """

    def __init__(
        self,
        record,
        folder,
        zones=(3, 2, 1, 2),
        n_workers=24,
        memory_mb=300,
    ):
        self.record = record
        self.memory_mb = memory_mb
        self.folder = folder
        self.store = Store()
        self.service = 'dispatch'
        self.zones = [f'zone-{n + 1}' for n in range(len(zones))]
        self.version = 0
        second = random.Random(os.getpid()).randrange(16, 250)
        self.instances = [
            Instance(
                self,
                f'edge-{zone}-{number + 1}',
                zone,
                f'127.{second}.{index + 1}.{number + 1}',
            )
            for index, (zone, n) in enumerate(zip(self.zones, zones))
            for number in range(n)
        ]
        self.workers = [
            Worker(
                self,
                f'i-{number:08x}',
                self.zones[number % len(zones)],
                ['a', f'r{number % len(zones) + 1}-{number // 6}'],
            )
            for number in range(n_workers)
        ]
        self._tasks = []
        ports = _free_ports(self.instances[0].ip, 4)
        self.frontend_port, self.ready_port, self.control_port = ports[:3]
        self.metrics_port = ports[3]
        self.internal_port = _free_ports(self.instances[0].ip, 1)[0]

    def on_start(self, worker, task, run_id):
        """Is called when a task begins."""

    def on_end(self, worker, task, run_id, how):
        """Is called when a run has ended."""

    def settings(self, instance):
        return {
            'nodeName': instance.name,
            'role': 'instance',
            'machineClass': 'edge',
            'serves': ['edge', 'control'],
            'ip': instance.ip,
            'zone': instance.zone,
            'region': 'region',
            'zones': dict.fromkeys(self.zones, 'region'),
            'listen': {
                'frontend': instance.address,
                'readinessAddr': f'{instance.ip}:{self.ready_port}',
                'control': f'{instance.ip}:{self.control_port}',
            },
            'internalPorts': [self.internal_port, self.internal_port + 15],
            'seeds': [
                f'{seed.ip}:{self.control_port}' for seed in self.instances[:3]
            ],
            'bootstrap': True,
            'failureCounted': False,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': self.memory_mb,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': int(HEARTBEAT_S * 1000),
            'bounds': {
                'contactMs': int(CONTACT_S * 1000),
                'ackTimeoutMs': 4000,
                'catchUpS': 4,
                'drainMs': 2000,
                'graceS': int(GRACE_S),
                'lossSlackMs': 200,
                'configApplyMs': int(CONFIG_APPLY_S * 1000),
                'downgradeSlackMs': 250,
                'maxExtensionMs': 5000,
                'recoveryS': 12,
                'maxHoldMs': int(MAX_HOLD_S * 1000),
                'stopTimeoutMs': 50,
                'cancel_ms': int(CANCEL_S * 1000),
                'visible_ms': 3000,
                'remoteFactor': 3,
                'interferenceMs': 4000,
                'resendMs': int(RESEND_S * 1000),
                'leaseMs': 3000,
            },
            'commands': 'invoke',
            'platform': {
                'address': self.store.server.address,
                'form': 'table',
                'writesPerS': 800,
                'readsPerS': 2000,
                'historyS': 20,
            },
        }

    def configure(self, prefixes, priorities=None):
        """Write a configuration; return when it was acknowledged."""
        self.version += 3
        self.store.put(
            'op',
            'config',
            {
                'version': self.version,
                'routes': [
                    {
                        'name': f'r{prefix.strip("/")}',
                        'host': HOST,
                        'pathPrefix': prefix,
                        'kind': 'non_idempotent',
                        'timeoutMs': 20000,
                        'targetLatencyMs': 60,
                        'priority': 0,
                        'service': self.service,
                        'maxAttempts': 4,
                        'slackFactor': 1.6,
                    }
                    for prefix in prefixes
                ],
                'services': [
                    {
                        'name': self.service,
                        'healthPath': '/healthz',
                        'maxConns': 64,
                        'protocol': 'h1',
                        'tls': False,
                        'admissionCheck': True,
                        'standby': False,
                    }
                ],
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 262144,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
            },
        )
        self.record.write(
            f'configuration {self.version} acknowledged: {" ".join(prefixes)}'
        )
        return time.monotonic()

    async def start(self, prefixes):
        await self.store.server.start('127.0.0.1')
        for worker in self.workers:
            await worker.start()
        self.configure(prefixes)
        for instance in self.instances:
            instance.start()
        self._tasks.append(asyncio.create_task(self._advance()))
        self._tasks.append(asyncio.create_task(self._heartbeats()))
        await self.wait_ready(self.instances, 25.0)

    async def wait_ready(self, instances, timeout_s):
        until_s = time.monotonic() + timeout_s
        for instance in instances:
            while True:
                status, _ = await request(
                    f'{instance.ip}:{self.ready_port}', 'GET', '/readyz'
                )
                if status == 200:
                    break
                if time.monotonic() > until_s:
                    raise CannotRunError(f'{instance.name} is not ready')
                await asyncio.sleep(0.1)
        self.record.write('all instances are ready')

    async def _advance(self):
        while True:
            for worker in self.workers:
                worker.advance()
            await asyncio.sleep(0.004)

    async def _heartbeats(self):
        while True:
            for worker in self.workers:
                await asyncio.sleep(HEARTBEAT_S / len(self.workers))
                if worker.is_up:
                    worker.list()

    async def state(self, instance):
        """Return the page of an instance's state."""
        _, body = await request(
            f'{instance.ip}:{self.control_port}', 'GET', '/state'
        )
        return json.loads(body or b'{}')

    async def leader(self):
        for instance in self.instances:
            if (await self.state(instance)).get('role') == 'leading':
                return instance
        raise CannotRunError('no instance leads')

    def end(self):
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.end()


def _free_ports(ip, n):
    sockets = []
    for _ in range(n):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def request(
    address,
    method,
    target,
    body=b'',
    timeout_s=5.0,
    deadline_ms=None,
    headers='',
):
    """Send a request on a new connection.

    :returns: status and body; status 0 if there is no answer
    """
    host, _, port = address.rpartition(':')
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        deadline = ''
        if deadline_ms is not None:
            deadline = f'X-Orioleloom-Deadline-Ms: {deadline_ms}\r\n'
        writer.write(
            f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'{deadline}{headers}'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        status = int(head.split(' ', 2)[1])
        length = 0
        for line in head.split('\r\n'):
            if line.lower().startswith('content-length:'):
                length = int(line.partition(':')[2])
        return status, await reader.readexactly(length)

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0, b''
    finally:
        if writer is not None:
            writer.close()


def job(work_s, steps, cpu=1000, **fields):
    """Return the body of a job that need not be stored.

    :param steps: ``(count, after)`` of each step
    """
    return _encode(
        {
            'spec': json.dumps({'workS': work_s, 'cpu': cpu}),
            'phases': [
                {
                    'count': count,
                    'cpu': cpu,
                    'memMb': 64,
                    'estimateMs': int(work_s * 1000),
                    **({'after': after} if after else {}),
                    **fields,
                }
                for count, after in steps
            ],
            'bestEffort': True,
        }
    )


def run_case(folder, play, **site_arguments):
    """Play a case and exit with its result.

    :param play: coroutine that is called with the site and whether there is
        trouble, and returns whether the rule held
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(pathlib.Path(folder) / 'record.txt')

    async def run():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as temporary:
            site = Site(record, pathlib.Path(temporary), **site_arguments)
            try:
                return await asyncio.wait_for(play(site, has_trouble), 110)
            finally:
                site.end()
                # Connections are cancelled with the loop.
                loop.set_exception_handler(lambda *_: None)

    try:
        has_held = asyncio.run(run())
        code = 0 if has_held else 1
        text = 'the rule held' if has_held else 'the rule was broken'
    except (
        CannotRunError,
        asyncio.CancelledError,
        asyncio.TimeoutError,
        OSError,
    ) as exc:
        code, text = 2, f'the case could not run: {exc!r}'
    record.write(text)
    record.close()
    print(text)
    sys.exit(code)
