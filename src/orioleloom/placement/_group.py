"""Workers of one upstream, indexed by speed class."""

import bisect
import collections.abc
import math
import random

from orioleloom.placement import _worker

FIRST_PROBE_WAIT_S = 0.02
MAX_PROBE_WAIT_S = 0.32
# Choices after which workers are ranked by speed again; ranking costs a
# sort of all workers, and speeds drift slowly.
RANK_INTERVAL = 100
INITIAL_MEAN_MS = 300.0
MEAN_WEIGHT = 0.02


class Group:
    """Workers of an upstream and those among them that may start a task.

    Open workers are kept in one list per speed class, so a choice looks
    at a few classes and not at every worker.
    """

    def __init__(self) -> None:
        self.workers: dict[str, _worker.Worker] = {}
        self._open: dict[int, list[_worker.Worker]] = {}
        self._classes: list[int] = []
        # Own tasks in progress per speed class, for finishing rates.
        self._running: dict[int, int] = {}
        self._n_learnt = 0
        self._typical = 0.0
        self._fastest = math.inf
        self.n_open = 0
        self.n_running = 0
        # Workers to which an exchange is being put together now.
        self._batch: list[_worker.Worker] = []
        self._batch_at_s = -math.inf
        self._ranked: list[_worker.Worker] = []
        self._n_until_ranked = 0
        # Mean run time on a worker of factor 0.
        self.mean_ms = INITIAL_MEAN_MS
        self.probe_at_s = math.inf
        self.probe_wait_s = FIRST_PROBE_WAIT_S

    def open_classes(self) -> list[int]:
        """Return speed classes in use, fastest first; some may be empty."""
        return self._classes

    def open_in(self, speed_class: int) -> list[_worker.Worker]:
        """Return the open workers of a class."""
        return self._open[speed_class]

    def running(self) -> dict[int, int]:
        """Return own tasks in progress by speed class."""
        return self._running

    def iterate_open(self) -> collections.abc.Iterator[_worker.Worker]:
        """Iterate over the open workers, fastest class first."""
        for speed_class in self._classes:
            yield from self._open[speed_class]

    def open_workers(self) -> list[_worker.Worker]:
        """Return every open worker."""
        return list(self.iterate_open())

    def join_batch(self, worker: _worker.Worker, now_s: float) -> None:
        """Note that an exchange to a worker is being put together."""
        if self._batch_at_s != now_s:
            self._batch_at_s = now_s
            self._batch = []
        if worker.n_in_batch == 1:
            self._batch.append(worker)

    def learn_mean(self, run_time_ms: float) -> None:
        """Learn the mean run time from one on a worker of factor 0."""
        self.mean_ms += MEAN_WEIGHT * (run_time_ms - self.mean_ms)

    def best_log_factor(self) -> float:
        """Return the smallest factor at the last ranking."""
        self._n_until_ranked -= 1
        stale = len(self._ranked) != len(self.workers)
        if stale or self._n_until_ranked <= 0:
            self._n_until_ranked = RANK_INTERVAL
            self._ranked = sorted(
                self.workers.values(), key=lambda w: w.log_factor
            )
        return self._ranked[0].log_factor

    def candidates(
        self, n_workers: int, random_state: random.Random
    ) -> list[_worker.Worker]:
        """Return random ones of the faster half at the last ranking."""
        n_top = max(2 * n_workers, len(self._ranked) // 2)
        top = self._ranked[:n_top]
        return random_state.sample(top, min(n_workers, len(top)))

    def batch(self, now_s: float) -> list[_worker.Worker]:
        """Return the workers to which an exchange leaves at this time."""
        return self._batch if self._batch_at_s == now_s else []

    def place(self, worker: _worker.Worker, is_open: bool) -> None:
        """Enter a worker at its present class, or take it out."""
        speed_class = worker.speed_class()
        if worker.position >= 0 and (
            not is_open or worker.indexed_class != speed_class
        ):
            self._take_out(worker)
        if is_open and worker.position < 0:
            self._enter(worker, speed_class)
        self._count_running(worker, speed_class)

    def _enter(self, worker: _worker.Worker, speed_class: int) -> None:
        if speed_class not in self._open:
            self._open[speed_class] = []
            bisect.insort(self._classes, speed_class)
        members = self._open[speed_class]
        worker.position = len(members)
        worker.indexed_class = speed_class
        members.append(worker)
        self.n_open += 1

    def _take_out(self, worker: _worker.Worker) -> None:
        members = self._open[worker.indexed_class]
        last = members.pop()
        if last is not worker:
            members[worker.position] = last
            last.position = worker.position
        worker.position = -1
        self.n_open -= 1

    def _count_running(self, worker: _worker.Worker, speed_class: int) -> None:
        running = self._running
        if worker.counted_class != speed_class:
            if worker.counted_outstanding:
                running[worker.counted_class] -= worker.counted_outstanding
                self.n_running -= worker.counted_outstanding
                worker.counted_outstanding = 0
            worker.counted_class = speed_class
        change = worker.outstanding - worker.counted_outstanding
        if change:
            self.n_running += change
            running[speed_class] = running.get(speed_class, 0) + change
            worker.counted_outstanding = worker.outstanding

    def learnt(self) -> None:
        """Count a result, which may have changed a factor."""
        self._n_learnt += 1

    def changed(self) -> None:
        """Forget the summary of the factors after a change of the list."""
        self._n_learnt = len(self.workers)

    def fastest_log_factor(self) -> float:
        """Return the smallest factor of a live worker, or infinity."""
        self._summarise()
        return self._fastest

    def typical_log_factor(self) -> float:
        """Return the mean factor of the workers with results."""
        self._summarise()
        return self._typical

    def _summarise(self) -> None:
        # One pass for as many results as there are workers keeps the cost
        # of a task independent of the number of workers.
        if self._n_learnt < len(self.workers):
            return
        self._n_learnt = 0
        workers = self.workers.values()
        factors = [w.log_factor for w in workers if w.n_results]
        self._typical = sum(factors) / len(factors) if factors else 0.0
        self._fastest = min(
            (w.log_factor for w in workers if w.live), default=math.inf
        )
