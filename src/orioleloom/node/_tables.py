import typing

import trio

from orioleloom.node import _log
from orioleloom.node import _ports

# A feed that hears nothing for this long longer than it asked for is given
# up: its connection may be silent for good.
_FEED_GRACE_S = 0.4
_READ_TIMEOUT_S = 1.0
# Pause after a failed call, in seconds; it doubles up to the second value.
# With 30 instances that retry at the longer one, 60 calls a second are
# made of the store, which serves 2,000.
_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 0.5
# Read the whole table again at least this often, in case a change was
# missed while the store dropped its history.
_REREAD_S = 20.0


class TableWatch:
    """Keeps a copy of a table of the store.

    :param name: for logs
    :param on_rows: called with all rows whenever one has changed
    :param wait_s: how long a call for changes waits
    :param min_interval_s: time between two calls for changes
    """

    def __init__(
        self,
        name: str,
        table: _ports.Table[typing.Any],
        on_rows: typing.Callable[[dict[str, typing.Any], int], None],
        *,
        wait_s: float = 1.0,
        min_interval_s: float = 0.0,
        random_state: typing.Any,
    ):
        self.name = name
        self.table = table
        self.on_rows = on_rows
        self.wait_s = wait_s
        self.min_interval_s = min_interval_s
        self.random_state = random_state
        self.rows: dict[str, typing.Any] = {}
        self.version = 0
        self.is_current = False
        self.last_answer_s = -1e9
        self.n_calls = 0
        self._pause_s = _FIRST_PAUSE_S
        self._reread_due_s = 0.0

    async def run(self) -> typing.NoReturn:
        """Follow the table until cancelled."""
        while True:
            started_s = trio.current_time()
            if not self.is_current or started_s > self._reread_due_s:
                await self.read()
            else:
                await self._follow()
            if self.min_interval_s:
                await trio.sleep_until(started_s + self.min_interval_s)

    async def read(self) -> bool:
        """Read the whole table once; return whether that succeeded."""
        try:
            self.n_calls += 1
            with trio.fail_after(_READ_TIMEOUT_S):
                snapshot = await self.table.read()
        except (_ports.StoreError, trio.TooSlowError) as exc:
            await self._failed(exc)
            return False
        if snapshot.version < self.version:
            # An older copy must not replace newer rows.
            await self._failed(
                _ports.StoreError(
                    f'read version {snapshot.version} after {self.version}'
                )
            )
            return False
        self._succeeded()
        self._reread_due_s = trio.current_time() + _REREAD_S
        self.version = snapshot.version
        rows = {k: v for k, v in snapshot.rows.items() if v is not None}
        if rows != self.rows or not self.is_current:
            self.rows = rows
            self.is_current = True
            self.on_rows(self.rows, self.version)
        return True

    async def _follow(self) -> None:
        try:
            self.n_calls += 1
            with trio.fail_after(self.wait_s + _FEED_GRACE_S):
                changes = await self.table.changes(self.version, self.wait_s)
        except _ports.HistoryLostError:
            _log.log('history_lost', table=self.name, after=self.version)
            self.is_current = False
            return
        except (_ports.StoreError, trio.TooSlowError) as exc:
            # A change may have been missed on a broken connection.
            self.is_current = False
            await self._failed(exc)
            return
        self._succeeded()
        self.version = max(self.version, changes.version)
        if not changes.rows:
            return
        for key, row in changes.rows.items():
            if row is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = row
        self.on_rows(self.rows, self.version)

    def _succeeded(self) -> None:
        if self._pause_s != _FIRST_PAUSE_S:
            _log.log('store_regained', table=self.name)
        self._pause_s = _FIRST_PAUSE_S
        self.last_answer_s = trio.current_time()

    async def _failed(self, exc: Exception) -> None:
        if self._pause_s == _FIRST_PAUSE_S:
            _log.log(
                'store_lost',
                table=self.name,
                reason=f'{type(exc).__name__}: {exc}',
                version=self.version,
            )
        await trio.sleep(self._pause_s * self.random_state.uniform(0.5, 1.5))
        self._pause_s = min(2 * self._pause_s, _MAX_PAUSE_S)
