"""A worker of the platform: tasks under leases, fencing tokens, reports."""

import asyncio
import json
import time
import typing

from standins import http
from standins import record
from standins import store

_HEARTBEAT_S = 1.5
_MAX_HOLD_MS = 1000
# A stop takes at most 50 ms.
_STOP_S = 0.02
_MAX_ENDS = 500


class _Run:
    def __init__(self, task: str, run_id: int, cpu: int, work_s: float):
        self.task = task
        self.run_id = run_id
        self.cpu = cpu
        self.ends_s = time.monotonic() + work_s
        self.how = 'done'


class Worker:
    """One worker, which may start again under its id.

    A task's ``spec`` is a JSON object with its ``work_ms`` and its ``cpu``.

    :param worker_id: its id in the store
    :param labels: its kind and its rack
    """

    def __init__(
        self,
        worker_id: str,
        place: store.Store,
        log: record.Record,
        *,
        service: str = 'pool',
        zone: str = 'zone-a',
        labels: tuple[str, ...] = ('a', 'r1-1'),
        cpu: int = 16_000,
    ):
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self.state = 'ready'
        self.server = http.Server(self._handle)
        self._store = place
        self._log = log
        self._seq = 0
        self._tasks: set[asyncio.Task] = set()
        self.is_up = False
        # Calls neither arrive nor get an answer, and the runs go on.
        self.is_cut = False
        # Gets the path and the fields of a call; returns whether it is lost.
        self.intercept: typing.Callable[[str, dict], bool] = (
            lambda path, fields: False
        )

    async def start(self, port: int = 0, *, row_lag_s: float = 0.0) -> None:
        """Begin a life, in which nothing of an earlier one is known.

        :param row_lag_s: how long its entry in the store lags behind
        """
        self.born = int(1000 * time.time())
        self._began_s = time.monotonic()
        self._runs: dict[str, _Run] = {}
        self._ends: list[list] = []
        self._n_ends = 0
        self._closed_run_ids: dict[str, int] = {}
        self._token = 0
        self._lease_until_ms = 0
        self._seq = 0
        self._ended = asyncio.Event()
        self.is_up = True
        await self.server.start(port=port)
        self._log.add('worker_up', worker=self.id, born=self.born,
                      labels=self.labels)  # fmt: skip
        self._spawn(self._heartbeat(row_lag_s))
        self._spawn(self._advance_forever())

    async def crash(self) -> int:
        """End everything at once; return the port for the next life."""
        port = int(self.server.address.rpartition(':')[2])
        self.is_up = False
        await self.server.stop()
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        for run in self._runs.values():
            self._log.add('run_killed', worker=self.id, task=run.task,
                          run=run.run_id)  # fmt: skip
        self._runs.clear()
        self._log.add('worker_down', worker=self.id)
        return port

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def clock_ms(self) -> int:
        """Return the time on the worker's own clock."""
        return int(1000 * (time.monotonic() - self._began_s))

    async def _heartbeat(self, row_lag_s: float) -> None:
        await asyncio.sleep(row_lag_s)
        while True:
            self.write_row()
            await asyncio.sleep(_HEARTBEAT_S)

    def write_row(self) -> None:
        """Write the worker's entry to the store."""
        self._seq += 1
        self._store.put(
            'servers',
            self.id,
            {
                'service': self.service,
                'address': self.server.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'coldRemainingMs': 0,
                'capacity': {'cpu': self.cpu, 'memMb': 65536, 'gpu': 0},
                'labels': list(self.labels),
                'clockMs': self.clock_ms(),
                'born': self.born,
                'seq': self._seq,
            },
        )

    # Runs

    async def _advance_forever(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(0.002)

    def _advance(self) -> None:
        now_s = time.monotonic()
        has_lapsed = self.clock_ms() >= self._lease_until_ms
        for run in list(self._runs.values()):
            if run.ends_s <= now_s:
                self._end(run, run.how)
            elif has_lapsed:
                self._end(run, 'lapsed')

    def _end(self, run: _Run, how: str) -> None:
        del self._runs[run.task]
        self._close(run.task, run.run_id)
        self._n_ends += 1
        self._ends.append([self._n_ends, run.task, run.run_id, how, ''])
        self._log.add('run_end', worker=self.id, task=run.task,
                      run=run.run_id, how=how)  # fmt: skip
        self._ended.set()
        self._ended = asyncio.Event()

    def _close(self, task: str, run_id: int) -> None:
        self._closed_run_ids[task] = max(
            run_id, self._closed_run_ids.get(task, 0)
        )

    def running(self) -> list[str]:
        """Return the names of the tasks that run."""
        return [*self._runs]

    # Calls

    async def _handle(
        self, method: str, target: str, headers: http.Headers, body: bytes
    ) -> http.Answer | None:
        if method == 'GET' and target == '/healthz':
            return 200, {}
        if headers.get('x-orioleloom-expected-instance') != self.id:
            return 421, {'clockMs': self.clock_ms()}
        fields = json.loads(body)
        if self.is_cut or self.intercept(target, fields):
            return None
        answer = await self.execute(target, fields)
        return None if self.is_cut else answer

    async def execute(self, path: str, fields: dict) -> http.Answer:
        """Carry out a call."""
        self._advance()
        if path not in ('/run-start', '/run-stop', '/hold'):
            return 404, {}
        token = fields.get('fencingToken', 0)
        if token < self._token:
            return self._answer(409, reason='fence')
        self._token = token
        match path:
            case '/run-start':
                return self._start_run(fields)
            case '/run-stop':
                return self._stop_run(fields)
        return await self._hold(fields)

    def _answer(self, status: int, **fields: typing.Any) -> http.Answer:
        return status, {
            'clockMs': self.clock_ms(),
            'born': self.born,
            **fields,
        }

    def _extend(self, expires_ms: int) -> None:
        expires_ms = min(expires_ms, self.clock_ms() + _MAX_HOLD_MS)
        self._lease_until_ms = max(self._lease_until_ms, expires_ms)

    def _start_run(self, fields: dict) -> http.Answer:
        task, run_id = fields['task'], fields['runId']
        known = self._runs.get(task)
        if known is not None and known.run_id == run_id:
            self._extend(fields['expiresMs'])
            return self._answer(200)
        if run_id <= self._closed_run_ids.get(task, 0) or (
            known is not None and run_id < known.run_id
        ):
            self._extend(fields['expiresMs'])
            return self._reject(fields, 'old')
        if fields['expiresMs'] <= self.clock_ms():
            return self._reject(fields, 'late')
        spec = json.loads(fields['spec'])
        used = sum(run.cpu for run in self._runs.values())
        if used + spec['cpu'] > self.cpu:
            self._extend(fields['expiresMs'])
            return self._reject(fields, 'room')
        self._extend(fields['expiresMs'])
        self._runs[task] = _Run(
            task, run_id, spec['cpu'], spec['work_ms'] / 1000
        )
        self._log.add('run_start', worker=self.id, task=task, run=run_id,
                      spec=fields['spec'], labels=self.labels)  # fmt: skip
        return self._answer(200)

    def _reject(self, fields: dict, reason: str) -> http.Answer:
        self._log.add('start_rejected', worker=self.id, task=fields['task'],
                      run=fields['runId'], reason=reason)  # fmt: skip
        return self._answer(409, reason=reason)

    def _stop_run(self, fields: dict) -> http.Answer:
        task, run_id = fields['task'], fields['runId']
        self._close(task, run_id)
        run = self._runs.get(task)
        if run is not None and run.run_id <= run_id and run.how == 'done':
            run.how = 'stopped'
            run.ends_s = min(run.ends_s, time.monotonic() + _STOP_S)
        return self._answer(200)

    async def _hold(self, fields: dict) -> http.Answer:
        if 'expiresMs' in fields:
            self._extend(fields['expiresMs'])
        acked = fields.get('ackedThrough', 0)
        self._ends = [end for end in self._ends if end[0] > acked]
        if fields.get('waitMs') and not self._ends:
            try:
                await asyncio.wait_for(
                    self._ended.wait(), min(fields['waitMs'], 2000) / 1000
                )
            except TimeoutError:
                pass
        self._advance()
        return self._answer(
            200,
            running=[[run.task, run.run_id, '', 50, run.cpu]
                     for run in self._runs.values()],
            endedRuns=self._ends[:_MAX_ENDS],
        )  # fmt: skip
