"""Interchangeable rules that choose among the workers of an upstream."""

import math
import random
import typing

from orioleloom.placement import _group
from orioleloom.placement import _worker

_CLASS_WIDTH = math.log(2.0) / 4.0
# A baseline tries a full worker again after this time.
_BASELINE_RETRY_S = 0.01


class Policy(typing.Protocol):
    """Rule that decides where and when a task starts."""

    def believes_free(self, worker: _worker.Worker, now_s: float) -> bool:
        """Tell whether one more task may start on the worker."""

    def free_again_at_s(self, worker: _worker.Worker, now_s: float) -> float:
        """Return when a full worker should be looked at again."""

    def pick(
        self,
        group: _group.Group,
        log_ms: float,
        n_waiting: int,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return an open worker, or ``None`` to wait."""


class ExpectedCompletion:
    """Least expected completion time within home shares and reports.

    :param home_threshold: expected free slots needed within the home
        share
    :param borrow_threshold: expected free slots needed beyond it
    :param probe_s: first wait before a home slot is tried again after a
        rejection

    >>> policy = ExpectedCompletion(borrow_threshold=0.8)
    """

    def __init__(
        self,
        *,
        home_threshold: float = 0.5,
        borrow_threshold: float = 0.9,
        probe_s: float = 0.02,
        max_probe_s: float = 0.5,
    ) -> None:
        self.home_threshold = home_threshold
        self.borrow_threshold = borrow_threshold
        self.probe_s = probe_s
        self.max_probe_s = max_probe_s

    def believes_free(self, worker: _worker.Worker, now_s: float) -> bool:
        """Apply the home share and the decayed report."""
        in_home = worker.outstanding < worker.home
        if worker.reported_at_s == -math.inf:
            return in_home
        if in_home:
            wanted = self.home_threshold
            if now_s >= self._probe_at_s(worker):
                return True
        else:
            wanted = self.borrow_threshold
        return worker.expected_free(now_s) >= wanted

    def free_again_at_s(self, worker: _worker.Worker, now_s: float) -> float:
        """Return when the belief or a home probe allows a start."""
        if worker.outstanding >= worker.slots:
            return math.inf
        if worker.reported_at_s == -math.inf:
            return math.inf
        if worker.outstanding < worker.home:
            at_s = worker.free_again_at_s(self.home_threshold)
            return max(now_s, min(at_s, self._probe_at_s(worker)))
        return worker.free_again_at_s(self.borrow_threshold)

    def pick(
        self,
        group: _group.Group,
        log_ms: float,
        n_waiting: int,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return the fastest open worker unless waiting ends earlier."""
        for speed_class in group.open_classes():
            members = group.open_in(speed_class)
            if members:
                if self._waits(group, speed_class, log_ms, n_waiting):
                    return None
                return members[int(random_state.random() * len(members))]
        return None

    def _probe_at_s(self, worker: _worker.Worker) -> float:
        n_rejected = min(worker.n_rejected_in_row, 8)
        wait_s = min(self.max_probe_s, self.probe_s * 2.0**n_rejected)
        return worker.reported_at_s + wait_s

    def _waits(
        self,
        group: _group.Group,
        open_class: int,
        log_ms: float,
        n_waiting: int,
    ) -> bool:
        """Compare a start now with waiting for a faster class."""
        slow_ms = math.exp(log_ms + open_class * _CLASS_WIDTH)
        running = group.running()
        rate = 0.0
        for speed_class in sorted(running):
            if speed_class >= open_class:
                return False
            fast_ms = math.exp(log_ms + speed_class * _CLASS_WIDTH)
            rate += running[speed_class] / fast_ms
            if rate and fast_ms + max(n_waiting, 1) / rate < slow_ms:
                return True
        return False


class _Baseline:
    """Uses own outstanding tasks only; a full worker rejects."""

    def believes_free(self, worker: _worker.Worker, now_s: float) -> bool:
        """Skip a worker that rejected a task just now."""
        return now_s >= worker.probe_at_s

    def free_again_at_s(self, worker: _worker.Worker, now_s: float) -> float:
        """Return when a worker that rejected may be tried again."""
        return max(now_s, worker.probe_at_s)


class Random(_Baseline):
    """A random worker."""

    def pick(
        self,
        group: _group.Group,
        log_ms: float,
        n_waiting: int,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return a random open worker."""
        workers = group.open_workers()
        return random_state.choice(workers) if workers else None


class RoundRobin(_Baseline):
    """Workers in turn."""

    def __init__(self) -> None:
        self._last_id = ''

    def pick(
        self,
        group: _group.Group,
        log_ms: float,
        n_waiting: int,
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
