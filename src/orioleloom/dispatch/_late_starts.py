from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers

# Interval between stops of one start until the worker confirms one.
_STOP_INTERVAL_S = 0.175


class LateStarts:
    """Starts without an answer, which their workers may carry out later.

    A stop prevents that until the worker restarts: it then forgets the stop
    and the highest token that it has seen, and on its new clock the lease of
    the start has not expired. Each such start is therefore stopped again in
    the next incarnation. Those of an earlier dispatcher are rejected once a
    command of the present one has arrived.
    """

    def __init__(self) -> None:
        self._unanswered_s: dict[
            str, dict[tuple[_records.TaskKey, int], float]
        ] = {}
        # When each start is stopped in the present incarnation.
        self._stop_due_s: dict[tuple[str, _records.TaskKey, int], float] = {}

    def record(
        self, worker_id: str, key: _records.TaskKey, run_id: int, now_s: float
    ) -> None:
        """Record a start without an answer."""
        starts = self._unanswered_s.setdefault(worker_id, {})
        starts[key, run_id] = now_s

    def begin_incarnation(self, worker_id: str, now_s: float) -> None:
        """Stop the starts that were sent to earlier incarnations."""
        for key, run_id in self._unanswered_s.get(worker_id, ()):
            self.stop(worker_id, key, run_id, now_s)

    def stop(
        self, worker_id: str, key: _records.TaskKey, run_id: int, now_s: float
    ) -> None:
        """Stop a start until the worker confirms that."""
        self._stop_due_s[worker_id, key, run_id] = now_s

    def confirm_stop(
        self, worker_id: str, key: _records.TaskKey, run_id: int
    ) -> None:
        """Record that the present incarnation has confirmed a stop."""
        self._stop_due_s.pop((worker_id, key, run_id), None)

    def take_due_stops(
        self, now_s: float
    ) -> list[tuple[str, _records.TaskKey, int]]:
        """Return the worker, task and run id of each stop that is due."""
        self._drop_old(now_s)
        due = [
            stop for stop, due_s in self._stop_due_s.items() if now_s >= due_s
        ]
        for stop in due:
            self._stop_due_s[stop] = now_s + _STOP_INTERVAL_S
        return due

    def _drop_old(self, now_s: float) -> None:
        for worker_id, starts in list(self._unanswered_s.items()):
            for (key, run_id), sent_s in list(starts.items()):
                if now_s - sent_s <= _workers.MAX_DELAY_S:
                    break
                del starts[key, run_id]
                self._stop_due_s.pop((worker_id, key, run_id), None)
            if not starts:
                del self._unanswered_s[worker_id]
