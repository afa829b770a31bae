"""Classic load balancing policies for comparison."""

import random

from orioleloom.placement import _group
from orioleloom.placement import _worker


class _Baseline:
    """Base class of policies that ignore reported free slots.

    A worker counts as full only for a while after it rejected a task.

    :param retry_s: time after a rejection until a worker is used again
    """

    def __init__(self, *, retry_s: float = 0.1) -> None:
        self.retry_s = retry_s

    def on_success(self) -> None:
        """Do nothing."""

    def on_exchange_started(self) -> None:
        """Do nothing."""

    def on_rejection(self, now_s: float) -> None:
        """Do nothing."""

    def is_likely_free(self, worker: _worker.Worker, now_s: float) -> bool:
        """Return whether the last rejection is at least ``retry_s`` ago."""
        return now_s >= worker.rejected_at_s + self.retry_s

    def recheck_at_s(self, worker: _worker.Worker, now_s: float) -> float:
        """Return when a worker that rejected a task is used again."""
        return max(now_s, worker.rejected_at_s + self.retry_s)


class Random(_Baseline):
    """Policy that selects a random worker."""

    def pick(
        self,
        group: _group.Group,
        log_run_time_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return a random open worker."""
        workers = group.open_workers()
        return random_state.choice(workers) if workers else None


class RoundRobin(_Baseline):
    """Policy that selects workers in turn, by id."""

    def __init__(self, *, retry_s: float = 0.1) -> None:
        super().__init__(retry_s=retry_s)
        self._last_id = ''

    def pick(
        self,
        group: _group.Group,
        log_run_time_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return the open worker with the next id after the last one."""
        workers = group.open_workers()
        if not workers:
            return None
        chosen = min(workers, key=lambda w: (w.id <= self._last_id, w.id))
        self._last_id = chosen.id
        return chosen


class PowerOfTwo(_Baseline):
    """Policy that selects the less loaded of two random workers.

    The load is the number of outstanding tasks of this instance.
    """

    def pick(
        self,
        group: _group.Group,
        log_run_time_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return the less loaded of two random open workers."""
        workers = group.open_workers()
        if not workers:
            return None
        pair = (random_state.choice(workers), random_state.choice(workers))
        return min(pair, key=lambda w: w.outstanding)


class LeastOutstanding(_Baseline):
    """Policy that selects the worker with the fewest outstanding tasks.

    Only tasks of this instance are counted.
    """

    def pick(
        self,
        group: _group.Group,
        log_run_time_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return an open worker with the fewest outstanding tasks."""
        workers = group.open_workers()
        if not workers:
            return None
        least = min(w.outstanding for w in workers)
        return random_state.choice(
            [w for w in workers if w.outstanding == least]
        )
