"""The platform's store: rows, transactions and the feed of changes."""

import asyncio
import base64
import json
import time
import typing
import urllib.parse

from standins import http

# Time of an answer, as on the page of the small deployments.
_ANSWER_S = 0.004
_PAGE_ROWS = 500


class Store:
    """Rows in tables with one part, and one counter of versions."""

    def __init__(self) -> None:
        self.server = http.Server(self._handle)
        self.ver = 0
        # Value in base64, version, whether it was removed, time of the write.
        self._rows: dict[str, dict[str, tuple[str, int, bool, float]]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: typing.Any) -> None:
        """Write a row as the operator or a worker does."""
        self._write(table, key, base64.b64encode(json.dumps(value).encode()))

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write(table, key, b'', is_deleted=True)

    def _write(
        self, table: str, key: str, raw: bytes, *, is_deleted: bool = False
    ) -> None:
        self.ver += 1
        self._rows.setdefault(table, {})[key] = (
            raw.decode(),
            self.ver,
            is_deleted,
            time.monotonic(),
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, method: str, target: str, headers: http.Headers, body: bytes
    ) -> http.Answer | None:
        await asyncio.sleep(_ANSWER_S)
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        match path:
            case '/rows-get':
                return 200, self._get(query)
            case '/rows-feed':
                return await self._feed(query)
            case '/rows-tx':
                return self._transact(json.loads(body))
        return 404, {}

    def _answer(self, rows: list, has_more: bool = False) -> dict:
        return {
            'rows': rows,
            'hasMore': has_more,
            'ver': self.ver,
            'nowMs': int(1000 * time.monotonic()),
        }

    def _get(self, query: dict) -> dict:
        limit = min(int(query.get('limit', _PAGE_ROWS)), _PAGE_ROWS)
        table = query['table']
        found = [
            {'table': table, 'part': '', 'key': key, 'value': row[0],
             'ver': row[1]}
            for key, row in sorted(self._rows.get(table, {}).items())
            if not row[2]
            and key >= query.get('from', '')
            and ('target' not in query or key < query['target'])
        ]  # fmt: skip
        return self._answer(found[:limit], len(found) > limit)

    async def _feed(self, query: dict) -> http.Answer:
        table = query['table']
        after = int(query['after'])
        deadline_s = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            changed = [
                {'table': table, 'part': '', 'key': key, 'value': value,
                 'ver': ver, 'deleted': is_deleted}
                for key, (value, ver, is_deleted, _) in self._rows.get(
                    table, {}
                ).items()
                if ver > after
            ]  # fmt: skip
            changed.sort(key=lambda row: row['ver'])
            remaining_s = deadline_s - time.monotonic()
            if changed or remaining_s <= 0:
                return 200, self._answer(changed)
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                pass

    def _transact(self, fields: dict) -> http.Answer:
        puts = fields.get('puts', [])
        removed = fields.get('remove', [])
        for row in (*puts, *removed):
            if row['table'] in ('op', 'servers'):
                return 403, {}
        for row in fields.get('expectedRevision', []):
            known = self._rows.get(row['table'], {}).get(row['key'])
            ver = 0 if known is None or known[2] else known[1]
            if ver != row['ver']:
                return 412, self._answer([])
        for row in puts:
            self._write(row['table'], row['key'], row['value'].encode())
        for row in removed:
            self._write(row['table'], row['key'], b'', is_deleted=True)
        return 200, self._answer([])
