import typing

import trio

from orioleloom import dispatch
from orioleloom.node import _leader
from orioleloom.node import _log
from orioleloom.node import _ports

# Crashes are written in batches at this interval, and only if there are any.
_WRITE_INTERVAL_S = 0.5
_READ_RETRY_INTERVAL_S = 0.5
_CALL_TIMEOUT_S = 1.0
# A transaction of the store holds at most 100 rows.
_MAX_ROWS_PER_WRITE = 90
# A job of many tasks can lose many of them with one worker.
_MAX_CRASHES_PER_ROW = 100
# Rows of jobs that no caller submits again are removed after this time.
_ROW_RETENTION_S = 60.0


class CrashRows:
    """Keeps a leader's knowledge of crashes in the store.

    A leader that starts after all instances have lost their memory reads it
    once. Writes are batched and may fail: without them such a leader lets a
    task crash further workers until it has counted again.

    :param wall_time: returns the Unix time in seconds
    """

    def __init__(
        self, store: _ports.Store, wall_time: typing.Callable[[], float]
    ):
        self.store = store
        self.wall_time = wall_time
        # Unix time of the newest crash in each row of the store.
        self._row_times_s: dict[str, float] = {}

    async def run(self, leader: _leader.Leader) -> None:
        """Read the rows and write changes until the leader is closed."""
        while not leader.is_closed and not await self._read(leader):
            await trio.sleep(_READ_RETRY_INTERVAL_S)
        while not leader.is_closed:
            await trio.sleep(_WRITE_INTERVAL_S)
            await self._write(leader)

    async def _read(self, leader: _leader.Leader) -> bool:
        try:
            with trio.fail_after(_CALL_TIMEOUT_S):
                snapshot = await self.store.crashes.read()
        except (_ports.StoreError, trio.TooSlowError):
            return False
        unix_s = self.wall_time()
        records = []
        for job_id, rows in snapshot.rows.items():
            # Unreadable rows are removed like old ones.
            rows = rows or []
            self._row_times_s[job_id] = max(
                (row.crashed_unix_s for row in rows), default=0.0
            )
            records += [_decode(row, unix_s) for row in rows]
        if records and not leader.is_closed:
            _log.log('crashes_read', n_records=len(records))
            leader.dispatcher.add_crashes(records, trio.current_time())
        return True

    async def _write(self, leader: _leader.Leader) -> None:
        rows = self._changed_rows(leader)
        if not rows:
            return
        try:
            with trio.fail_after(_CALL_TIMEOUT_S):
                await self.store.write_crashes(rows)
        except (_ports.StoreError, trio.TooSlowError) as exc:
            _log.log('crashes_unsaved', n_rows=len(rows), reason=repr(exc))
            leader.unsaved_crash_job_ids.update(rows)
            return
        for job_id, job_rows in rows.items():
            if job_rows:
                self._row_times_s[job_id] = max(
                    row.crashed_unix_s for row in job_rows
                )
            else:
                self._row_times_s.pop(job_id, None)

    def _changed_rows(
        self, leader: _leader.Leader
    ) -> dict[str, list[_ports.CrashRow] | None]:
        """Return the rows to write; ``None`` for those to remove."""
        unix_s = self.wall_time()
        now_s = trio.current_time()
        rows: dict[str, list[_ports.CrashRow] | None] = {}
        for job_id in sorted(leader.unsaved_crash_job_ids):
            if len(rows) == _MAX_ROWS_PER_WRITE:
                break
            leader.unsaved_crash_job_ids.discard(job_id)
            records = leader.dispatcher.crashes.records(now_s, [job_id])
            if records:
                rows[job_id] = [
                    _encode(record, unix_s)
                    for record in records[:_MAX_CRASHES_PER_ROW]
                ]
            elif job_id in self._row_times_s:
                rows[job_id] = None
        for job_id, time_s in self._row_times_s.items():
            if len(rows) == _MAX_ROWS_PER_WRITE:
                break
            if abs(unix_s - time_s) > _ROW_RETENTION_S:
                rows.setdefault(job_id, None)
        return rows


def _encode(record: dispatch.CrashRecord, unix_s: float) -> _ports.CrashRow:
    return _ports.CrashRow(*record[:-1], round(unix_s - record.age_s, 3))


def _decode(row: _ports.CrashRow, unix_s: float) -> dispatch.CrashRecord:
    # The clocks of two leaders may differ.
    age_s = max(0.0, unix_s - row.crashed_unix_s)
    return dispatch.CrashRecord(*row[:-1], age_s)
