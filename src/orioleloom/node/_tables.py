import math
import typing

import trio

from orioleloom.node import _log
from orioleloom.node import _ports

# A request for changes times out this long after the wait time that it gives
# to the store, since the connection may be half-open and never recover.
_CHANGES_TIMEOUT_MARGIN_S = 0.4
_READ_TIMEOUT_S = 1.0
# Delay after a failed call; it doubles up to the maximum. At the maximum, 30
# instances make 60 calls a second; the store serves 2,000.
_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5
# Interval for rereading the whole table, in case a change was missed while
# the store dropped its history.
_FULL_READ_INTERVAL_S = 20.0
# How long rows that are older than a copy from a peer are held back. After
# that they replace the copy, whose version may be wrong.
_MAX_CATCH_UP_S = 1.0


class TableVersion(typing.NamedTuple):
    """Version of a copy of a table.

    :param version: version of the store that the copy shows
    :param complete_since: every row removed after this version was in the
        copy before
    :param removed_versions: versions at which rows were removed since the
        copy before, as far as they are known
    :param is_exact: whether all rows are those of that version
    """

    version: int
    complete_since: int = 0
    removed_versions: typing.Mapping[str, int] = {}
    is_exact: bool = False


class TableWatch:
    """Keeps a local copy of one of the store's tables up to date.

    :param name: name of the table in logs
    :param on_change: called with all rows and their version when rows change
    :param wait_s: long-poll time of a request for changes
    :param min_interval_s: minimum time between the starts of two calls
    """

    def __init__(
        self,
        name: str,
        table: _ports.Table[typing.Any],
        on_change: typing.Callable[
            [dict[str, typing.Any], TableVersion], None
        ],
        *,
        wait_s: float = 1.0,
        min_interval_s: float = 0.0,
        random_state: typing.Any,
    ):
        self.name = name
        self.table = table
        self.on_change = on_change
        self.wait_s = wait_s
        self.min_interval_s = min_interval_s
        self.random_state = random_state
        self.rows: dict[str, typing.Any] = {}
        self.version = 0
        self._complete_since = 0
        # Pages of a large table may show different versions; the changes that
        # follow then do not tell when the copy is exact.
        self._is_exact = False
        self.is_current = False
        # The next successful read calls on_change even if nothing changed,
        # since its user has taken rows from elsewhere.
        self.must_report = False
        # Version of these rows. The store may return changes up to it in
        # several responses.
        self._catch_up_version = 0
        self._catch_up_until_s = -1e9
        # Removals that were not reported yet.
        self._removed_versions: dict[str, int] = {}
        self.last_success_s = -1e9
        self.n_calls = 0
        self._backoff_s = _INITIAL_BACKOFF_S
        self._next_full_read_s = 0.0

    async def run(self) -> typing.NoReturn:
        """Keep the copy up to date until cancelled."""
        if self.is_current:
            # The changes show which rows were removed meanwhile, and a read
            # does not.
            self._next_full_read_s = (
                trio.current_time() + _FULL_READ_INTERVAL_S
            )
        # Learns the current version without waiting for a change.
        await self.refresh()
        while True:
            started_s = trio.current_time()
            if not self.is_current or started_s > self._next_full_read_s:
                await self.read()
            else:
                await self._poll_changes(self.wait_s)
            if self.min_interval_s and not self._is_behind():
                await trio.sleep_until(started_s + self.min_interval_s)

    async def read(self) -> bool:
        """Read the whole table once and return whether that succeeded."""
        try:
            self.n_calls += 1
            with trio.fail_after(_READ_TIMEOUT_S):
                snapshot = await self.table.read()
        except (_ports.StoreError, trio.TooSlowError) as exc:
            await self._back_off(exc)
            return False
        if snapshot.version < self.version:
            # A stale snapshot must not replace newer rows.
            await self._back_off(
                _ports.StoreError(
                    f'stale read: version {snapshot.version}'
                    f' after {self.version}'
                )
            )
            return False
        self._record_success()
        self._next_full_read_s = trio.current_time() + _FULL_READ_INTERVAL_S
        self.version = self._complete_since = snapshot.version
        self._is_exact = snapshot.is_exact
        rows = {k: v for k, v in snapshot.rows.items() if v is not None}
        if rows != self.rows or not self.is_current or self.must_report:
            self.must_report = False
            self.rows = rows
            self.is_current = True
            self._report({})
        return True

    async def refresh(self) -> None:
        """Read once what has changed since the last read."""
        while self.is_current:
            await self._poll_changes(0.0)
            if not self._is_behind():
                break
        if not self.is_current:
            # Also if the store no longer has the history since the last read.
            await self.read()

    def replace_copy(self, version: int) -> None:
        """Report the rows once they are newer than a copy from a peer.

        :param version: version of the store that the copy shows
        """
        self.must_report = True
        self._catch_up_version = version
        self._catch_up_until_s = math.inf

    def _is_behind(self) -> bool:
        """Return whether the rows are older than a copy from a peer."""
        return (
            self.is_current
            and self.must_report
            and self.version < self._catch_up_version
            and trio.current_time() < self._catch_up_until_s
        )

    async def _poll_changes(self, wait_s: float) -> None:
        try:
            self.n_calls += 1
            with trio.fail_after(wait_s + _CHANGES_TIMEOUT_MARGIN_S):
                changes = await self.table.changes(self.version, wait_s)
        except _ports.HistoryLostError:
            _log.log('history_lost', table=self.name, after=self.version)
            self.is_current = False
            return
        except (_ports.StoreError, trio.TooSlowError) as exc:
            # A change may have been lost with the connection.
            self.is_current = False
            await self._back_off(exc)
            return
        self._record_success()
        self.version = max(self.version, changes.version)
        if not changes.rows and not self.must_report:
            return
        for key, version in changes.removed_versions.items():
            if key not in self.rows:
                # The row was added and removed since the previous call.
                self._complete_since = max(self._complete_since, version)
        for key, row in changes.rows.items():
            if row is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = row
        if changes.rows and self._is_behind():
            self._catch_up_until_s = min(
                self._catch_up_until_s, trio.current_time() + _MAX_CATCH_UP_S
            )
            self._removed_versions.update(changes.removed_versions)
            return
        self.must_report = False
        self._report(changes.removed_versions)

    def _report(self, removed_versions: typing.Mapping[str, int]) -> None:
        earlier, self._removed_versions = self._removed_versions, {}
        self.on_change(
            self.rows,
            TableVersion(
                self.version,
                self._complete_since,
                {**earlier, **removed_versions},
                self._is_exact,
            ),
        )

    def _record_success(self) -> None:
        if self._backoff_s != _INITIAL_BACKOFF_S:
            _log.log('store_regained', table=self.name)
        self._backoff_s = _INITIAL_BACKOFF_S
        self.last_success_s = trio.current_time()

    async def _back_off(self, exc: Exception) -> None:
        if self._backoff_s == _INITIAL_BACKOFF_S:
            _log.log(
                'store_lost',
                table=self.name,
                reason=f'{type(exc).__name__}: {exc}',
                version=self.version,
            )
        await trio.sleep(self._backoff_s * self.random_state.uniform(0.5, 1.5))
        self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)
