"""Client of the platform's store."""

import base64
import binascii
import itertools
import typing
import urllib.parse

import msgspec

from orioleloom import dispatch
from orioleloom import http1
from orioleloom import node
from orioleloom.platform import _wire

_T = typing.TypeVar('_T')

# The store returns at most this many rows in one response.
_PAGE_ROWS = 500
_WORKER_TABLE = 'servers'
_MEMBER_TABLE = 'orioleloom-members'
_LEADER_HEARTBEAT_TABLE = 'orioleloom-leader'
_LEADER_HEARTBEAT_KEY = 'sign'
_CRASH_TABLE = 'orioleloom-crashes'


class _StoreTable(typing.Generic[_T]):
    """A table of the store whose rows are decoded individually.

    :param decode: decodes a row from its key and value; raises
        :class:`_wire.WireError` for an invalid row, which is then left out
    :param is_read: whether a row with this key is read; others are ignored
    :param first_key: the first key that may be read
    :param end_key: the first key after those that may be read, or empty
    """

    def __init__(
        self,
        store: 'PlatformStore',
        table: str,
        decode: typing.Callable[[str, bytes], _T],
        is_read: typing.Callable[[str], bool] = lambda _: True,
        first_key: str = '',
        end_key: str = '',
    ):
        self._store = store
        self._table = table
        self._decode = decode
        self._is_read = is_read
        self._first_key = first_key
        self._end_key = end_key
        # Last logged version of each row that could not be decoded, by key.
        self._logged_unreadable: dict[str, int] = {}

    async def read(self) -> node.Snapshot[_T]:
        """Return the rows that are read, of all pages."""
        rows: dict[str, _T | None] = {}
        version = 0
        start = self._first_key
        for n_pages in itertools.count(1):
            query = {
                'table': self._table,
                'part': '',
                'from': start,
                'limit': str(_PAGE_ROWS),
            }
            response = await self._store.read_rows('/rows-get', query)
            rows.update(self._decode_rows(response.rows))
            # Pages may have different versions. The version of the first one
            # is returned, so that the change feed covers all later changes.
            version = version or response.ver
            if not response.has_more or not response.rows:
                return node.Snapshot(version, rows, {}, n_pages == 1)
            start = response.rows[-1].key + '\0'
            if self._end_key and start >= self._end_key:
                return node.Snapshot(version, rows)

    async def changes(self, after: int, wait_s: float) -> node.Snapshot[_T]:
        """Return the rows changed after a version."""
        response = await self._store.read_rows(
            '/rows-feed',
            {
                'table': self._table,
                'after': str(after),
                'waitMs': str(int(wait_s * 1000)),
            },
        )
        return node.Snapshot(
            response.ver,
            self._decode_rows(response.rows),
            {
                row.key: row.ver or response.ver
                for row in response.rows
                if row.deleted
            },
        )

    def _decode_rows(self, rows: list[_wire.StoreRow]) -> dict[str, _T | None]:
        decoded: dict[str, _T | None] = {}
        for row in rows:
            if not self._is_read(row.key):
                continue
            if row.deleted:
                decoded[row.key] = None
                self._logged_unreadable.pop(row.key, None)
                continue
            try:
                value = base64.b64decode(row.value, validate=True)
                decoded[row.key] = self._decode(row.key, value)
                self._logged_unreadable.pop(row.key, None)
            except (_wire.WireError, binascii.Error) as exc:
                # Tables may contain invalid rows from other writers.
                decoded[row.key] = None
                if self._logged_unreadable.get(row.key) != row.ver:
                    self._logged_unreadable[row.key] = row.ver
                    node.log(
                        'row_unreadable',
                        table=self._table,
                        key=row.key[:80],
                        version=row.ver,
                        reason=str(exc)[:200],
                    )
        return decoded


def new_operator_table(
    store: 'PlatformStore',
) -> _StoreTable[node.Routing | node.EvacuationRow]:
    """Return the table with the configuration and the evacuations."""
    return _StoreTable(
        store,
        'op',
        _wire.decode_operator_row,
        _wire.is_operator_key,
        _wire.CONFIGURATION_KEY,
        _wire.AFTER_EVACUATIONS,
    )


class PlatformStore:
    """Client of the store that all instances share.

    :param address: ``IP:PORT``
    """

    def __init__(self, client: http1.Client, address: str):
        self.client = client
        self.address = address
        self.n_calls = 0
        self.routing = new_operator_table(self)
        self.workers: _StoreTable[dispatch.WorkerInfo] = _StoreTable(
            self, _WORKER_TABLE, _wire.decode_worker
        )
        self.members: _StoreTable[node.MemberInfo] = _StoreTable(
            self, _MEMBER_TABLE, _wire.decode_member
        )

        self.crashes: _StoreTable[list[node.CrashRow]] = _StoreTable(
            self, _CRASH_TABLE, _wire.decode_crashes
        )

    async def _call(
        self, method: str, target: str, body: bytes = b''
    ) -> http1.Response:
        self.n_calls += 1
        try:
            response = await self.client.request(
                self.address, method, target, body
            )
        except (http1.NotSentError, http1.NoAnswerError) as exc:
            raise node.StoreError(str(exc)) from exc
        if response.status == 410:
            raise node.HistoryLostError(target)
        if response.status != 200:
            raise node.StoreError(f'status {response.status} for {target}')
        return response

    async def read_rows(
        self, path: str, query: dict[str, str]
    ) -> _wire.StoreRows:
        """Read rows of a table.

        :raises StoreError: the call failed or the response is invalid
        """
        response = await self._call(
            'GET', f'{path}?{urllib.parse.urlencode(query)}'
        )
        try:
            return _wire.decode_rows(response.body)
        except _wire.WireError as exc:
            raise node.StoreError(str(exc)) from exc

    async def _put(self, table: str, key: str, value: bytes) -> None:
        await self._write(table, {key: value})

    async def _write(
        self, table: str, values: typing.Mapping[str, bytes | None]
    ) -> None:
        """Write rows of a table; ``None`` removes a row."""
        body = msgspec.json.encode(
            {
                'expectedRevision': [],
                'puts': [
                    {
                        'table': table,
                        'part': '',
                        'key': key,
                        'value': base64.b64encode(value).decode(),
                    }
                    for key, value in values.items()
                    if value is not None
                ],
                'remove': [
                    {'table': table, 'part': '', 'key': key}
                    for key, value in values.items()
                    if value is None
                ],
            }
        )
        await self._call('POST', '/rows-tx', body)

    async def write_crashes(
        self, rows: typing.Mapping[str, list[node.CrashRow] | None]
    ) -> None:
        """Write or remove rows of the table of crashes, by job id."""
        await self._write(
            _CRASH_TABLE,
            {
                job_id: None if row is None else _wire.encode_crashes(row)
                for job_id, row in rows.items()
            },
        )

    async def put_member(self, member: node.MemberInfo) -> None:
        """Write an instance's entry to the member table."""
        await self._put(
            _MEMBER_TABLE, member.instance_id, _wire.encode_member(member)
        )

    async def write_leader_heartbeat(self, heartbeat: str) -> None:
        """Write the heartbeat of the fleet's leader."""
        await self._put(
            _LEADER_HEARTBEAT_TABLE, _LEADER_HEARTBEAT_KEY, heartbeat.encode()
        )

    async def read_leader_heartbeat(self) -> str:
        """Return the leader's latest heartbeat, or an empty string.

        The value is left base64-encoded, since callers only compare it.
        """
        response = await self.read_rows(
            '/rows-get',
            {
                'table': _LEADER_HEARTBEAT_TABLE,
                'part': '',
                'from': _LEADER_HEARTBEAT_KEY,
            },
        )
        return response.rows[0].value if response.rows else ''
