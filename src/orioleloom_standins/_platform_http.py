import time
import typing

import msgspec
import trio

from orioleloom_standins import _http
from orioleloom_standins import _platform
from orioleloom_standins import _table


class _OperationBody(msgspec.Struct):
    op: str
    key: str
    value: typing.Any = None
    if_revision: int | None = None


class _TransactionBody(msgspec.Struct):
    token: str
    ops: list[_OperationBody]


class _ReadBody(msgspec.Struct):
    keys: list[str]


class _MemberBody(msgspec.Struct):
    role: typing.Literal['entry', 'worker']
    data_centre: str
    http: str
    id: str = ''
    state: typing.Literal['live', 'leaving', 'gone'] = 'live'
    peer: str = ''
    upstream: str = ''
    slots: int = 0
    connections: int = 0
    rack: str = ''


class _FaultBody(msgspec.Struct):
    kind: str
    duration_s: float
    delay_ms: float = 1000.0
    share: float = 1.0
    after_effect: bool = False


class _SettingsBody(msgspec.Struct):
    lag_s: float | None = None
    write_latency_ms: float | None = None


class PlatformServer:
    """HTTP interface of the platform stand-in."""

    def __init__(self, platform: _platform.Platform):
        self.platform = platform

    async def handle(
        self, request: _http.Request, connection: _http.ServerConnection
    ) -> None:
        """Route one request and send its response."""
        method, path = request.method, request.path
        if path.startswith('/v1/standin/'):
            await self._handle_control(request, connection)
        elif (method, path) == ('POST', '/v1/table/transaction'):
            body = msgspec.json.decode(request.body, type=_TransactionBody)
            ops = [msgspec.structs.asdict(op) for op in body.ops]
            await self._respond(
                'transaction',
                connection,
                lambda: self._transact(body.token, ops),
            )
        elif (method, path) == ('POST', '/v1/table/read'):
            keys = msgspec.json.decode(request.body, type=_ReadBody).keys
            await self._respond('read', connection, lambda: self._read(keys))
        elif (method, path) == ('GET', '/v1/table/scan'):
            query = request.query
            prefix = query.get('prefix', '')
            after = int(query.get('after_revision', 0))
            limit = int(query.get('limit', 1000))
            await self._respond(
                'scan', connection, lambda: self._scan(prefix, after, limit)
            )
        elif (method, path) == ('GET', '/v1/members'):
            await self._respond(
                'members', connection, lambda: self._members(request.query)
            )
        elif path.startswith('/v1/objects/') and method in ('GET', 'PUT'):
            await self._handle_object(request, connection)
        else:
            await connection.send_json(404, {'error': f'no {method} {path}'})

    async def _respond(
        self,
        kind: str,
        connection: _http.ServerConnection,
        apply: typing.Callable[[], tuple[int, bytes]],
    ) -> None:
        admission = self.platform.admit(kind, time.monotonic())
        if admission.status != 200:
            error_by_status = {429: 'over the rate', 503: 'unavailable'}
            await connection.send_json(
                admission.status, {'error': error_by_status[admission.status]}
            )
            return
        if admission.delay_s > 0:
            await trio.sleep(admission.delay_s)
        status, body = apply()
        if admission.response_delay_s > 0:
            await trio.sleep(admission.response_delay_s)
        if admission.drop_response:
            raise _http.CloseConnection
        await connection.send_body(status, body)

    def _transact(
        self, token: str, ops: list[dict[str, typing.Any]]
    ) -> tuple[int, bytes]:
        now_s = time.monotonic()
        try:
            revision = self.platform.table.transact(token, ops, now_s)
        except _table.Conflict as conflict:
            rows = _rows_as_dicts(conflict.rows)
            return 409, msgspec.json.encode({'conflicts': rows})
        except _table.InvalidTransaction as exc:
            return 400, msgspec.json.encode({'error': str(exc)})
        return 200, msgspec.json.encode({'revision': revision})

    def _read(self, keys: list[str]) -> tuple[int, bytes]:
        table = self.platform.table
        rows = {
            key: {'value': value, 'revision': revision}
            for key, value, revision in table.read(keys)
        }
        body = {'rows': rows, 'revision': table.revision}
        return 200, msgspec.json.encode(body)

    def _scan(
        self, prefix: str, after_revision: int, limit: int
    ) -> tuple[int, bytes]:
        rows, revision = self.platform.table.scan(
            prefix, after_revision, limit
        )
        body = {'rows': _rows_as_dicts(rows), 'revision': revision}
        return 200, msgspec.json.encode(body)

    def _members(self, query: dict[str, str]) -> tuple[int, bytes]:
        members, revision = self.platform.members.changes_after(
            int(query.get('after_revision', 0)),
            query.get('data_centre') or None,
            time.monotonic(),
        )
        body = {'members': members, 'revision': revision}
        return 200, msgspec.json.encode(body)

    async def _handle_object(
        self, request: _http.Request, connection: _http.ServerConnection
    ) -> None:
        key = request.path.removeprefix('/v1/objects/')
        objects = self.platform.objects

        def put() -> tuple[int, bytes]:
            objects[key] = request.body
            return 200, b'{}'

        def get() -> tuple[int, bytes]:
            body = objects.get(key)
            if body is None:
                return 404, b'{"error":"object does not exist"}'
            return 200, body

        if request.method == 'PUT':
            await self._respond('object_put', connection, put)
        else:
            await self._respond('object_get', connection, get)

    async def _handle_control(
        self, request: _http.Request, connection: _http.ServerConnection
    ) -> None:
        platform = self.platform
        now_s = time.monotonic()
        action = request.path.removeprefix('/v1/standin/')
        match request.method, action:
            case 'PUT', _ if action.startswith('members/'):
                member = msgspec.json.decode(request.body, type=_MemberBody)
                member.id = action.removeprefix('members/')
                revision = platform.members.put(
                    msgspec.structs.asdict(member), now_s
                )
                await connection.send_json(200, {'revision': revision})
            case 'POST', 'faults':
                fault = msgspec.json.decode(request.body, type=_FaultBody)
                platform.set_fault(
                    fault.kind,
                    now_s,
                    duration_s=fault.duration_s,
                    delay_ms=fault.delay_ms,
                    share=fault.share,
                    after_effect=fault.after_effect,
                )
                await connection.send_json(200, {})
            case 'POST', 'settings':
                settings = msgspec.json.decode(
                    request.body, type=_SettingsBody
                )
                if settings.lag_s is not None:
                    platform.members.lag_s = settings.lag_s
                if settings.write_latency_ms is not None:
                    platform.write_latency_s = settings.write_latency_ms / 1000
                await connection.send_json(200, {})
            case 'GET', 'counters':
                await connection.send_json(200, platform.counters)
            case 'GET', 'history':
                after = int(request.query.get('after', 0))
                limit = int(request.query.get('limit', 10_000))
                commits = platform.table.commits(after, limit)
                body = {
                    'commits': [commit._asdict() for commit in commits],
                    'revision': platform.table.revision,
                }
                await connection.send_json(200, body)
            case _:
                await connection.send_json(
                    404, {'error': f'no {request.method} {request.path}'}
                )


def _rows_as_dicts(
    rows: list[tuple[str, typing.Any, int]],
) -> list[dict[str, typing.Any]]:
    return [
        {'key': key, 'value': value, 'revision': revision}
        for key, value, revision in rows
    ]


class _ByteCountingStream(trio.abc.Stream):
    """Stream that counts the bytes received and sent.

    :param counters: counters to which it adds under ``received_bytes``
        and ``sent_bytes``
    """

    def __init__(self, stream: trio.abc.Stream, counters: dict[str, int]):
        self._stream = stream
        self._counters = counters

    def _add_bytes(self, name: str, n_bytes: int) -> None:
        self._counters[name] = self._counters.get(name, 0) + n_bytes

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = await self._stream.receive_some(max_bytes)
        self._add_bytes('received_bytes', len(data))
        return data

    async def send_all(self, data: bytes) -> None:
        self._add_bytes('sent_bytes', len(data))
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        await self._stream.aclose()


async def serve_platform(
    platform: _platform.Platform,
    *,
    host: str = '127.0.0.1',
    port: int = 0,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a platform stand-in until cancelled.

    :param task_status: receives the port once the server listens
    """
    server = PlatformServer(platform)
    listeners = await _http.listen(host, port)
    async with trio.open_nursery() as nursery:
        task_status.started(_http.bound_port(listeners))
        await trio.serve_listeners(
            lambda stream: _http.serve_connection(
                _ByteCountingStream(stream, platform.counters), server.handle
            ),
            listeners,
            handler_nursery=nursery,
        )
