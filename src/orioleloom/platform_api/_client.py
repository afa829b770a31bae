import collections.abc
import types
import typing

import httpx
import msgspec
import trio

from orioleloom.engine import _events
from orioleloom import model

# Errors of httpx that are raised before a byte of the request is sent.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


class _RowFields(msgspec.Struct):
    key: str
    value: dict[str, typing.Any] | None
    revision: int


class _ReadRowFields(msgspec.Struct):
    value: dict[str, typing.Any] | None
    revision: int


class _CommitBody(msgspec.Struct):
    revision: int


class _ConflictBody(msgspec.Struct):
    conflicts: list[_RowFields]


class _ReadBody(msgspec.Struct):
    rows: dict[str, _ReadRowFields]


class _ScanBody(msgspec.Struct):
    rows: list[_RowFields]
    revision: int


class _MembersBody(msgspec.Struct):
    members: list[msgspec.Raw]
    revision: int


class _MemberFields(msgspec.Struct):
    id: str
    role: model.Role
    state: model.MemberState
    data_centre: str
    http: str
    peer: str = ''
    upstream: str = ''
    slots: int = 0
    connections: int = 0
    rack: str = ''


class PlatformClient:
    """HTTP client of the platform.

    It retries nothing; the engine decides what to do after a failure.

    :param base_url: base URL of the platform
    :param connect_timeout_s: time allowed to connect, in seconds
    :param write_timeout_s: time allowed for a transaction, in seconds
    :param read_timeout_s: time allowed for a read, scan or member
        list, in seconds
    :param max_connections: maximum number of connections to the platform
    """

    def __init__(
        self,
        base_url: str,
        *,
        connect_timeout_s: float = 1.0,
        write_timeout_s: float = 2.0,
        read_timeout_s: float = 2.0,
        max_connections: int = 8,
    ):
        self.base_url = base_url
        self.connect_timeout_s = connect_timeout_s
        self.write_timeout_s = write_timeout_s
        self.read_timeout_s = read_timeout_s
        self.max_connections = max_connections
        self._client = httpx.AsyncClient(
            base_url=base_url,
            # Ignore proxies set in the environment, which must not see
            # the contents of the table.
            trust_env=False,
            timeout=httpx.Timeout(
                max(write_timeout_s, read_timeout_s),
                connect=connect_timeout_s,
                pool=connect_timeout_s,
            ),
            limits=httpx.Limits(
                max_connections=max_connections,
                max_keepalive_connections=max_connections,
                keepalive_expiry=60.0,
            ),
        )

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def transact(
        self, token: str, ops: collections.abc.Iterable[model.TableOp]
    ) -> _events.TableOutcome:
        """Run a transaction.

        :param token: identifies the transaction in the platform's log
        :returns: ``WriteRefused`` only when certainly nothing was
            written, because no request was sent or the platform refused
            it; ``WriteUnknown`` when no usable response arrived
        """
        body = msgspec.json.encode(
            {'token': token, 'ops': [op._asdict() for op in ops]}
        )
        response = None
        with trio.move_on_after(self.write_timeout_s):
            try:
                response = await self._client.post(
                    '/v1/table/transaction', content=body
                )
            except _NOT_SENT_ERRORS:
                return _events.WriteRefused()
            except httpx.HTTPError:
                return _events.WriteUnknown()
        if response is None:
            return _events.WriteUnknown()
        try:
            match response.status_code:
                case 200:
                    commit = msgspec.json.decode(
                        response.content, type=_CommitBody
                    )
                    return _events.Committed(commit.revision)
                case 409:
                    conflict = msgspec.json.decode(
                        response.content, type=_ConflictBody
                    )
                    return _events.Conflicted(_to_rows(conflict.conflicts))
                case status if status == 503 or 400 <= status < 500:
                    return _events.WriteRefused()
        except (msgspec.MsgspecError, UnicodeDecodeError):
            pass
        return _events.WriteUnknown()

    async def read(
        self, keys: collections.abc.Iterable[str]
    ) -> tuple[model.Row, ...] | None:
        """Read rows, in the order of ``keys``.

        :returns: the rows, a missing one with value ``None`` and
            revision 0; ``None`` when the read failed
        """
        keys = tuple(keys)
        content = msgspec.json.encode({'keys': keys})
        body = await self._fetch(
            _ReadBody, 'POST', '/v1/table/read', content=content
        )
        if body is None or not body.rows.keys() >= set(keys):
            return None
        return tuple(
            model.Row(key, body.rows[key].value, body.rows[key].revision)
            for key in keys
        )

    async def scan(
        self, prefix: str, after_revision: int, *, limit: int = 1000
    ) -> tuple[tuple[model.Row, ...], int] | None:
        """Read the rows written after a revision, in revision order.

        :param limit: number of rows after which a page ends; a page may
            be longer, because the rows of one commit are not split. More
            pages may follow a page with at least this many rows.
        :returns: the rows, a deleted one with value ``None``, and the
            revision to pass to the next scan; ``None`` when the scan
            failed
        """
        body = await self._fetch(
            _ScanBody,
            'GET',
            '/v1/table/scan',
            params={
                'prefix': prefix,
                'after_revision': after_revision,
                'limit': limit,
            },
        )
        if body is None:
            return None
        return _to_rows(body.rows), body.revision

    async def read_members(
        self, after_revision: int, data_centre: str | None = None
    ) -> tuple[tuple[model.Member, ...], int] | None:
        """Read the changes of the member list after a revision.

        :param data_centre: include only workers of this data centre;
            entry instances of all data centres are included
        :returns: changed members and the revision to pass to the next
            call; ``None`` when the request failed
        """
        params: dict[str, typing.Any] = {'after_revision': after_revision}
        if data_centre is not None:
            params['data_centre'] = data_centre
        body = await self._fetch(
            _MembersBody, 'GET', '/v1/members', params=params
        )
        if body is None:
            return None
        members = []
        for raw in body.members:
            try:
                fields = msgspec.json.decode(raw, type=_MemberFields)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                # Skip an invalid entry, so that the others stay usable.
                continue
            members.append(model.Member(*msgspec.structs.astuple(fields)))
        return tuple(members), body.revision

    async def _fetch(
        self,
        body_type: type[typing.Any],
        method: str,
        path: str,
        **options: typing.Any,
    ) -> typing.Any:
        with trio.move_on_after(self.read_timeout_s):
            try:
                response = await self._client.request(method, path, **options)
                if response.status_code != 200:
                    return None
                return msgspec.json.decode(response.content, type=body_type)
            except (
                httpx.HTTPError,
                msgspec.MsgspecError,
                UnicodeDecodeError,
            ):
                return None
        return None


def _to_rows(fields: list[_RowFields]) -> tuple[model.Row, ...]:
    return tuple(model.Row(row.key, row.value, row.revision) for row in fields)
