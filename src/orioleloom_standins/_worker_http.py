import socket
import time
import typing

import msgspec
import trio

from orioleloom import codec
from orioleloom import model
from orioleloom_standins import _http
from orioleloom_standins import _worker


class _TaskBody(msgspec.Struct):
    key: str
    kind: str
    payload: typing.Any = None
    lease_ms: float = 0.0


class _TasksBody(msgspec.Struct):
    instance: str
    tasks: list[_TaskBody]


class _CancelBody(msgspec.Struct):
    keys: list[str]


class _FaultBody(msgspec.Struct):
    kind: str
    duration_s: float = 3600.0
    factor: float = 1.0
    share: float = 1.0
    worker: str = ''


_tasks_decoder = msgspec.json.Decoder(_TasksBody)


class _Batch:
    """Unfinished runs of one ``POST /v1/tasks``."""

    def __init__(self, runs: list[_worker.Run]):
        # Sorted by descending end, so that pop() returns the next to end.
        self.runs = sorted(runs, key=lambda run: -run.ends_s)
        self.stopped: list[model.ResultLine] = []
        self.changed = trio.Event()


class WorkerServer:
    """HTTP interface of one worker stand-in."""

    def __init__(self, worker: _worker.Worker):
        self.worker = worker
        self.port = 0
        self._batches: set[_Batch] = set()
        self.n_connections = 0
        self._died = trio.Event()
        # Set and replaced on each call of set_fault().
        self._fault_changed = trio.Event()

    async def serve(
        self,
        *,
        host: str = '127.0.0.1',
        port: int = 0,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; refuse connections during ``die``.

        :param task_status: receives the port once the server listens
        """
        sock = _bind(host, port)
        self.port = sock.getsockname()[1]
        started = False
        while True:
            sock.listen(512)
            listener = trio.SocketListener(
                trio.socket.from_stdlib_socket(sock)
            )
            self._died = trio.Event()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    trio.serve_listeners, self._serve_stream, [listener]
                )
                if not started:
                    task_status.started(self.port)
                    started = True
                await self._died.wait()
                nursery.cancel_scope.cancel()
            # A socket that is bound but not listening refuses connections
            # and reserves the port against other processes.
            listener.socket.close()
            sock = _bind(host, self.port)
            self._batches.clear()
            while True:
                now_s = time.monotonic()
                until_s = self.worker.fault_until('die', now_s)
                if until_s is None:
                    break
                await self._wait_for_fault_change(until_s - now_s)

    def set_fault(
        self,
        kind: str,
        *,
        duration_s: float,
        factor: float = 1.0,
        share: float = 1.0,
    ) -> None:
        """Start or end a fault; see :meth:`Worker.set_fault`."""
        self.worker.set_fault(
            kind,
            time.monotonic(),
            duration_s=duration_s,
            factor=factor,
            share=share,
        )
        if kind == 'die' and duration_s > 0:
            self._died.set()
        self._fault_changed.set()
        self._fault_changed = trio.Event()

    def apply_fault(self, fault: _FaultBody) -> None:
        """Apply the body of a fault request."""
        self.set_fault(
            fault.kind,
            duration_s=fault.duration_s,
            factor=fault.factor,
            share=fault.share,
        )

    async def _wait_for_fault_change(self, timeout_s: float) -> None:
        changed = self._fault_changed
        with trio.move_on_after(timeout_s):
            await changed.wait()

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        self.n_connections += 1
        over_connection_limit = self.n_connections > self.worker.connections

        async def handle(
            request: _http.Request, connection: _http.ServerConnection
        ) -> None:
            await self._handle(request, connection, over_connection_limit)

        try:
            await _http.serve_connection(stream, handle)
        finally:
            self.n_connections -= 1

    async def _wait_while_stalled(self) -> None:
        # As with a paused process, received requests are handled later.
        while True:
            now_s = time.monotonic()
            until_s = self.worker.fault_until('stall', now_s)
            if until_s is None:
                return
            await self._wait_for_fault_change(until_s - now_s)

    async def _handle(
        self,
        request: _http.Request,
        connection: _http.ServerConnection,
        over_connection_limit: bool,
    ) -> None:
        worker = self.worker
        match request.method, request.path:
            case 'POST', '/v1/tasks':
                await self._wait_while_stalled()
                await self._run_tasks(
                    request, connection, over_connection_limit
                )
            case 'POST', '/v1/cancel':
                await self._wait_while_stalled()
                body = msgspec.json.decode(request.body, type=_CancelBody)
                stopped = self._cancel(set(body.keys))
                await connection.send_json(200, {'stopped': stopped})
            case 'GET', '/v1/status':
                await self._wait_while_stalled()
                await connection.send_json(
                    200, worker.status(time.monotonic())
                )
            case 'GET', '/v1/standin/ledger':
                after = int(request.query.get('after', 0))
                await connection.send_json(
                    200,
                    [
                        entry._asdict()
                        for entry in worker.ledger.entries[after:]
                        if entry.worker == worker.worker_id
                    ],
                )
            case 'GET', '/v1/standin/counters':
                await connection.send_json(200, worker.counters)
            case 'POST', '/v1/standin/faults':
                fault = msgspec.json.decode(request.body, type=_FaultBody)
                if fault.kind == 'die':
                    # The fault closes this connection, so respond first.
                    await connection.send_json(200, {})
                    self.apply_fault(fault)
                else:
                    self.apply_fault(fault)
                    await connection.send_json(200, {})
            case method, path:
                await connection.send_json(
                    404, {'error': f'no {method} {path}'}
                )

    def _cancel(self, keys: set[str]) -> list[str]:
        now_s = time.monotonic()
        stopped = []
        for batch in self._batches:
            lines = [
                self.worker.stop(run, now_s)
                for run in batch.runs
                if run.key in keys
            ]
            batch.runs = [run for run in batch.runs if run.key not in keys]
            stopped_lines = [line for line in lines if line is not None]
            if stopped_lines:
                batch.stopped += stopped_lines
                stopped += [line.key for line in stopped_lines]
                batch.changed.set()
        return stopped

    async def _run_tasks(
        self,
        request: _http.Request,
        connection: _http.ServerConnection,
        over_connection_limit: bool,
    ) -> None:
        worker = self.worker
        body = _tasks_decoder.decode(request.body)
        now_s = time.monotonic()
        outcomes: list[typing.Any]
        if over_connection_limit:
            outcomes = [
                worker.reject_if_unavailable(
                    task.key, now_s, over_connection_limit=True
                )
                for task in body.tasks
            ]
        else:
            outcomes = worker.offer_all(
                body.instance,
                ((task.key, task.kind, task.payload) for task in body.tasks),
                now_s,
            )
        runs = [
            outcome for outcome in outcomes if isinstance(outcome, _worker.Run)
        ]
        lines = [
            outcome
            for outcome in outcomes
            if not isinstance(outcome, _worker.Run)
        ]
        batch = _Batch(runs)
        self._batches.add(batch)
        response: _TaskResponse | None = _TaskResponse(
            worker, connection, over_connection_limit
        )
        try:
            while True:
                if response is not None and (lines or not batch.runs):
                    try:
                        await response.send(lines, last=not batch.runs)
                    except (trio.BrokenResourceError, _http.CloseConnection):
                        # The tasks keep running after the caller disconnects.
                        response = None
                if not batch.runs and not batch.stopped:
                    break
                lines = await self._next_lines(batch)
        finally:
            self._batches.discard(batch)
        if response is None:
            raise _http.CloseConnection

    async def _next_lines(self, batch: _Batch) -> list[model.ResultLine]:
        now_s = time.monotonic()
        if not batch.stopped and batch.runs[-1].ends_s > now_s:
            batch.changed = trio.Event()
            with trio.move_on_after(batch.runs[-1].ends_s - now_s):
                await batch.changed.wait()
        await self._wait_while_stalled()
        now_s = time.monotonic()
        lines, batch.stopped = batch.stopped, []
        while batch.runs and batch.runs[-1].ends_s <= now_s:
            line = self.worker.finish(batch.runs.pop(), now_s)
            if line is not None:
                lines.append(line)
        return lines


class _TaskResponse:
    """Streamed response to one ``POST /v1/tasks``.

    Applies the faults ``garbage`` and ``cut`` to its lines.
    """

    def __init__(
        self,
        worker: _worker.Worker,
        connection: _http.ServerConnection,
        close: bool,
    ):
        self._worker = worker
        self._connection = connection
        self._close = close
        self._head_sent = False

    async def send(self, lines: list[model.ResultLine], *, last: bool) -> None:
        connection = self._connection
        now_s = time.monotonic()
        data = b''
        if not self._head_sent:
            data = connection.encode_ndjson_head(close=self._close)
            self._head_sent = True
        encoded = []
        cut = False
        for line in lines:
            text = codec.encode_result_line(line)
            if self._worker.fault_applies('garbage', now_s):
                text = b'{"key": 7, "outcome\x00\n'
            if self._worker.fault_applies('cut', now_s):
                encoded.append(text[: len(text) // 2])
                cut = True
                break
            encoded.append(text)
        if encoded:
            data += connection.encode_chunk(b''.join(encoded))
        if last and not cut:
            data += connection.encode_end()
        await connection.send_encoded(data)
        if cut:
            await connection.close()
            raise _http.CloseConnection


def _bind(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock


class WorkerHost:
    """Worker stand-ins in one process that share a control port."""

    def __init__(self, workers: typing.Iterable[_worker.Worker]):
        self.servers = {
            worker.worker_id: WorkerServer(worker) for worker in workers
        }

    async def serve(
        self,
        *,
        host: str = '127.0.0.1',
        ports: typing.Sequence[int] = (),
        control_port: int = 0,
        task_status: trio.TaskStatus[
            dict[str, typing.Any]
        ] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        :param ports: ports of the workers, in order; the operating
            system chooses missing ones
        :param task_status: receives ``{"control": port, "workers":
            {id: port}}`` once all of them listen
        """
        listeners = await _http.listen(host, control_port)
        bound_ports = {}
        async with trio.open_nursery() as nursery:
            for index, (worker_id, server) in enumerate(self.servers.items()):
                port = ports[index] if index < len(ports) else 0

                async def serve_worker(
                    *,
                    task_status: trio.TaskStatus[int],
                    server: WorkerServer = server,
                    port: int = port,
                ) -> None:
                    await server.serve(
                        host=host, port=port, task_status=task_status
                    )

                bound_ports[worker_id] = await nursery.start(serve_worker)
            task_status.started(
                {
                    'control': _http.bound_port(listeners),
                    'workers': bound_ports,
                }
            )
            await trio.serve_listeners(
                lambda stream: _http.serve_connection(
                    stream, self._handle_control
                ),
                listeners,
            )

    async def _handle_control(
        self, request: _http.Request, connection: _http.ServerConnection
    ) -> None:
        match request.method, request.path:
            case 'POST', '/v1/standin/faults':
                fault = msgspec.json.decode(request.body, type=_FaultBody)
                if fault.worker not in self.servers:
                    raise ValueError(f'worker {fault.worker!r} is not here')
                self.servers[fault.worker].apply_fault(fault)
                await connection.send_json(200, {})
            case 'GET', '/v1/standin/ledger':
                ledgers = {
                    id(server.worker.ledger): server.worker.ledger
                    for server in self.servers.values()
                }
                await connection.send_json(
                    200,
                    [
                        entry._asdict()
                        for ledger in ledgers.values()
                        for entry in ledger.entries
                    ],
                )
            case 'GET', '/v1/standin/counters':
                await connection.send_json(
                    200,
                    {
                        worker_id: server.worker.counters
                        for worker_id, server in self.servers.items()
                    },
                )
            case method, path:
                await connection.send_json(
                    404, {'error': f'no {method} {path}'}
                )
