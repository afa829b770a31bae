"""Classic rules, kept for comparison."""

import random

from orioleloom.placement import _group
from orioleloom.placement import _worker


class _Baseline:
    """Uses own outstanding tasks only; a full worker rejects.

    :param retry_s: time after which a worker that rejected is tried again
    """

    def __init__(self, *, retry_s: float = 0.1) -> None:
        self.retry_s = retry_s

    def succeeded(self) -> None:
        """Learn nothing."""

    def exchange_started(self) -> None:
        """Learn nothing."""

    def rejected(self, now_s: float) -> None:
        """Learn nothing."""

    def believes_free(self, worker: _worker.Worker, now_s: float) -> bool:
        """Skip a worker that rejected a task just now."""
        return now_s >= worker.rejected_at_s + self.retry_s

    def free_again_at_s(self, worker: _worker.Worker, now_s: float) -> float:
        """Return when a worker that rejected may be tried again."""
        return max(now_s, worker.rejected_at_s + self.retry_s)


class Random(_Baseline):
    """A random worker."""

    def pick(
        self,
        group: _group.Group,
        log_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return a random open worker."""
        workers = group.open_workers()
        return random_state.choice(workers) if workers else None


class RoundRobin(_Baseline):
    """Workers in turn."""

    def __init__(self, *, retry_s: float = 0.1) -> None:
        super().__init__(retry_s=retry_s)
        self._last_id = ''

    def pick(
        self,
        group: _group.Group,
        log_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return the open worker that follows the last one by id."""
        workers = group.open_workers()
        if not workers:
            return None
        chosen = min(workers, key=lambda w: (w.id <= self._last_id, w.id))
        self._last_id = chosen.id
        return chosen


class PowerOfTwo(_Baseline):
    """The one of two random workers with fewer own tasks."""

    def pick(
        self,
        group: _group.Group,
        log_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return the less occupied of two random open workers."""
        workers = group.open_workers()
        if not workers:
            return None
        pair = (random_state.choice(workers), random_state.choice(workers))
        return min(pair, key=lambda w: w.outstanding)


class LeastOutstanding(_Baseline):
    """The worker with the fewest own tasks."""

    def pick(
        self,
        group: _group.Group,
        log_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return an open worker with the fewest own tasks."""
        workers = group.open_workers()
        if not workers:
            return None
        least = min(w.outstanding for w in workers)
        return random_state.choice(
            [w for w in workers if w.outstanding == least]
        )
