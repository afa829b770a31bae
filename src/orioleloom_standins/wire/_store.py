import base64
import urllib.parse

import msgspec
import trio

from orioleloom import http1


class WireStore:
    """Simulated store with ``rows-tx``, ``rows-get`` and ``rows-feed``.

    :param nursery: runs the request handlers
    """

    def __init__(self, nursery: trio.Nursery):
        self.nursery = nursery
        self.ver = 0
        self.rows: dict[str, dict[str, tuple[str, int, bool]]] = {}
        self._changed = trio.Event()
        # Faults that tests inject.
        self.is_down = False
        self.delay_s = 0.0
        # Feeds that continue from before this version get status 410.
        self.forgotten_ver = 0
        self.server = http1.Server(self._on_request)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as an operator or a worker would."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._put(table, key, base64.b64encode(raw).decode())

    def _put(self, table: str, key: str, value: str) -> None:
        self.ver += 1
        self.rows.setdefault(table, {})[key] = (value, self.ver, False)
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Mark a row as deleted."""
        self.ver += 1
        self.rows.setdefault(table, {})[key] = ('', self.ver, True)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def forget_history(self) -> None:
        """Answer 410 to feeds that continue from an earlier version."""
        self.forgotten_ver = self.ver
        self._wake()

    def _on_request(
        self, connection: http1.Connection, request: http1.Request
    ) -> None:
        self.nursery.start_soon(self._answer, connection, request)

    async def _answer(
        self, connection: http1.Connection, request: http1.Request
    ) -> None:
        if self.delay_s:
            await trio.sleep(self.delay_s)
        if self.is_down:
            connection.respond(503)
            return
        query = dict(urllib.parse.parse_qsl(request.query))
        match request.path:
            case '/rows-get':
                self._get(connection, query)
            case '/rows-feed':
                await self._feed(connection, query)
            case '/rows-tx':
                fields = msgspec.json.decode(request.body)
                for row in fields['puts']:
                    self._put(row['table'], row['key'], row['value'])
                for row in fields['remove']:
                    self.remove(row['table'], row['key'])
                self._respond(connection, [])
            case _:
                connection.respond(404)

    def _respond(
        self,
        connection: http1.Connection,
        rows: list[dict],
        has_more: bool = False,
    ) -> None:
        body = {'rows': rows, 'hasMore': has_more, 'ver': self.ver, 'nowMs': 0}
        connection.respond(200, msgspec.json.encode(body))

    def _get(self, connection: http1.Connection, query: dict) -> None:
        rows = self.rows.get(query['table'], {})
        found = [
            {'key': key, 'value': value, 'ver': ver}
            for key, (value, ver, is_deleted) in sorted(rows.items())
            if not is_deleted and key >= query.get('from', '')
        ]
        limit = int(query.get('limit', 500))
        self._respond(connection, found[:limit], len(found) > limit)

    async def _feed(self, connection: http1.Connection, query: dict) -> None:
        after = int(query['after'])
        deadline_s = trio.current_time() + int(query['waitMs']) / 1000
        while connection.is_open:
            if after < self.forgotten_ver:
                connection.respond(410)
                return
            changed = [
                {'key': key, 'value': value, 'ver': ver, 'deleted': deleted}
                for key, (value, ver, deleted) in self.rows.get(
                    query['table'], {}
                ).items()
                if ver > after
            ]
            if changed or trio.current_time() >= deadline_s:
                self._respond(connection, changed)
                return
            with trio.move_on_at(deadline_s):
                await self._changed.wait()
