"""Workers of one upstream, indexed by speed class."""

import bisect
import collections.abc
import math
import random

from orioleloom.placement import _worker

FIRST_PROBE_WAIT_S = 0.02
MAX_PROBE_WAIT_S = 0.32
# Number of choices between rankings of the workers by speed. A ranking
# sorts all workers, and speeds change slowly.
CHOICES_PER_RANKING = 100
INITIAL_MEAN_RUN_TIME_MS = 300.0
# Weight of a new sample in the moving average of run times.
MEAN_RUN_TIME_WEIGHT = 0.02


class Group:
    """Workers of one upstream with an index of the open ones.

    Open workers, on which a task may start now, are kept in one list per
    speed class. A choice iterates over a few classes instead of over all
    workers.
    """

    def __init__(self) -> None:
        self.workers: dict[str, _worker.Worker] = {}
        self._open_by_class: dict[int, list[_worker.Worker]] = {}
        self._speed_classes: list[int] = []
        # Tasks of this instance in progress per speed class. They determine
        # the rate at which slots become free.
        self._running_by_class: dict[int, int] = {}
        self._n_results_since_summary = 0
        self._mean_log_factor = 0.0
        self._fastest_log_factor = math.inf
        self.n_open = 0
        self.n_running = 0
        # Workers for which an exchange is being assembled at _batch_at_s.
        self._batch: list[_worker.Worker] = []
        self._batch_at_s = -math.inf
        self._ranked_workers: list[_worker.Worker] = []
        self._n_choices_until_ranking = 0
        # Mean run time on a worker of log factor 0.
        self.mean_run_time_ms = INITIAL_MEAN_RUN_TIME_MS
        self.probe_at_s = math.inf
        self.probe_wait_s = FIRST_PROBE_WAIT_S

    def speed_classes(self) -> list[int]:
        """Return the speed classes, fastest first; some may be empty."""
        return self._speed_classes

    def open_workers_in(self, speed_class: int) -> list[_worker.Worker]:
        """Return the open workers of a speed class."""
        return self._open_by_class[speed_class]

    def running_by_class(self) -> dict[int, int]:
        """Return this instance's tasks in progress by speed class."""
        return self._running_by_class

    def iterate_open(self) -> collections.abc.Iterator[_worker.Worker]:
        """Iterate over the open workers, fastest class first."""
        for speed_class in self._speed_classes:
            yield from self._open_by_class[speed_class]

    def open_workers(self) -> list[_worker.Worker]:
        """Return all open workers, fastest class first."""
        return list(self.iterate_open())

    def add_to_batch(self, worker: _worker.Worker, now_s: float) -> None:
        """Record that an exchange for a worker is being assembled."""
        if self._batch_at_s != now_s:
            self._batch_at_s = now_s
            self._batch = []
        if worker.n_in_batch == 1:
            self._batch.append(worker)

    def update_mean_run_time(self, run_time_ms: float) -> None:
        """Update the mean with a run time scaled to log factor 0."""
        self.mean_run_time_ms += MEAN_RUN_TIME_WEIGHT * (
            run_time_ms - self.mean_run_time_ms
        )

    def fastest_ranked_log_factor(self) -> float:
        """Return the smallest log factor at the last ranking.

        The ranking is updated first if it is out of date.
        """
        self._n_choices_until_ranking -= 1
        is_stale = len(self._ranked_workers) != len(self.workers)
        if is_stale or self._n_choices_until_ranking <= 0:
            self._n_choices_until_ranking = CHOICES_PER_RANKING
            self._ranked_workers = sorted(
                self.workers.values(), key=lambda w: w.log_factor
            )
        return self._ranked_workers[0].log_factor

    def candidates(
        self, n_workers: int, random_state: random.Random
    ) -> list[_worker.Worker]:
        """Return a random sample of the faster half of the workers."""
        n_fastest = max(2 * n_workers, len(self._ranked_workers) // 2)
        fastest = self._ranked_workers[:n_fastest]
        return random_state.sample(fastest, min(n_workers, len(fastest)))

    def current_batch(self, now_s: float) -> list[_worker.Worker]:
        """Return the workers for which an exchange is being assembled."""
        return self._batch if self._batch_at_s == now_s else []

    def update_index(self, worker: _worker.Worker, is_open: bool) -> None:
        """Insert a worker under its current speed class, or remove it."""
        speed_class = worker.speed_class()
        if worker.index_position >= 0 and (
            not is_open or worker.indexed_class != speed_class
        ):
            self._remove(worker)
        if is_open and worker.index_position < 0:
            self._insert(worker, speed_class)
        self._count_running(worker, speed_class)

    def _insert(self, worker: _worker.Worker, speed_class: int) -> None:
        if speed_class not in self._open_by_class:
            self._open_by_class[speed_class] = []
            bisect.insort(self._speed_classes, speed_class)
        open_workers = self._open_by_class[speed_class]
        worker.index_position = len(open_workers)
        worker.indexed_class = speed_class
        open_workers.append(worker)
        self.n_open += 1

    def _remove(self, worker: _worker.Worker) -> None:
        open_workers = self._open_by_class[worker.indexed_class]
        last = open_workers.pop()
        if last is not worker:
            open_workers[worker.index_position] = last
            last.index_position = worker.index_position
        worker.index_position = -1
        self.n_open -= 1

    def _count_running(self, worker: _worker.Worker, speed_class: int) -> None:
        running_by_class = self._running_by_class
        if worker.counted_class != speed_class:
            if worker.counted_outstanding:
                running_by_class[worker.counted_class] -= (
                    worker.counted_outstanding
                )
                self.n_running -= worker.counted_outstanding
                worker.counted_outstanding = 0
            worker.counted_class = speed_class
        n_added = worker.outstanding - worker.counted_outstanding
        if n_added:
            self.n_running += n_added
            running_by_class[speed_class] = (
                running_by_class.get(speed_class, 0) + n_added
            )
            worker.counted_outstanding = worker.outstanding

    def count_result(self) -> None:
        """Count a result, since it may have changed a log factor."""
        self._n_results_since_summary += 1

    def invalidate_summary(self) -> None:
        """Force an update of the summary after a change of the workers."""
        self._n_results_since_summary = len(self.workers)

    def fastest_log_factor(self) -> float:
        """Return the smallest log factor of a live worker, or infinity."""
        self._update_summary()
        return self._fastest_log_factor

    def mean_log_factor(self) -> float:
        """Return the mean log factor of the workers with results."""
        self._update_summary()
        return self._mean_log_factor

    def _update_summary(self) -> None:
        # One pass over the workers per as many results keeps the cost of a
        # task independent of the number of workers.
        if self._n_results_since_summary < len(self.workers):
            return
        self._n_results_since_summary = 0
        workers = self.workers.values()
        factors = [w.log_factor for w in workers if w.n_results]
        self._mean_log_factor = sum(factors) / len(factors) if factors else 0.0
        self._fastest_log_factor = min(
            (w.log_factor for w in workers if w.live), default=math.inf
        )
