"""Interchangeable rules that choose among the workers of an upstream."""

import math
import random
import typing

from orioleloom.placement import _group
from orioleloom.placement import _worker

_CLASS_WIDTH = math.log(2.0) / 4.0
# A baseline tries a full worker again after this time.
_BASELINE_RETRY_S = 0.01
# A report older than this many relaxation times says no more than the mean.
_LAST_LOOK = 2.0


class Policy(typing.Protocol):
    """Rule that decides where and when a task starts."""

    def succeeded(self) -> None:
        """Learn that a start was accepted."""

    def rejected(self) -> None:
        """Learn that a start was rejected."""

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

    A start needs a certainty that a slot is free. Each rejection raises
    the certainty asked for and each success lowers it a little, so that
    the share of rejected starts settles at ``rejected_share``.

    :param rejected_share: rejections allowed for each start
    :param borrow_margin: certainty asked for beyond the home share, in
        deviations above that for the home share

    >>> policy = ExpectedCompletion(rejected_share=0.02)
    """

    def __init__(
        self,
        *,
        rejected_share: float = 0.0125,
        borrow_margin: float = 0.0,
        step: float = 0.1,
        home_bonus: float = 0.0,
        max_age: float = 100.0,
        rider_certainty: float = 9.0,
        max_batch: int = 8,
        forget_s: float = 1.0,
        min_certainty: float = 0.0,
        max_certainty: float = 2.2,
    ) -> None:
        self.rejected_share = rejected_share
        self.borrow_margin = borrow_margin
        self.step = step
        self.rider_certainty = rider_certainty
        self.max_batch = max_batch
        self.home_bonus = home_bonus
        self.max_age = max_age
        _worker.FORGET_S = forget_s
        self.min_certainty = min_certainty
        self.max_certainty = max_certainty
        self.certainty_ = 2.0

    def succeeded(self) -> None:
        """Ask for a little less certainty."""
        self.certainty_ = max(
            self.min_certainty,
            self.certainty_ - self.step * self.rejected_share,
        )

    def rejected(self) -> None:
        """Ask for more certainty."""
        self.certainty_ = min(self.max_certainty, self.certainty_ + self.step)

    def believes_free(self, worker: _worker.Worker, now_s: float) -> bool:
        """Apply the home share and the decayed report."""
        in_home = worker.outstanding < worker.home
        if worker.reported_at_s == -math.inf:
            return in_home
        if in_home:
            wanted = self.certainty_ - self.home_bonus
            return worker.free_score(now_s) >= wanted
        if now_s - worker.reported_at_s > self.max_age * worker.relax_s:
            return False
        if worker.batch_at_s == now_s and worker.n_in_batch < self.max_batch:
            return worker.free_score(now_s) >= self.rider_certainty
        kept = self.borrow_margin
        return worker.free_score(now_s, kept) >= self.certainty_

    def free_again_at_s(self, worker: _worker.Worker, now_s: float) -> float:
        """Return when the decayed report should be looked at again."""
        age_s = now_s - worker.reported_at_s
        if (
            worker.outstanding >= worker.slots
            or age_s > _LAST_LOOK * worker.relax_s
        ):
            return math.inf
        return now_s + max(age_s, worker.relax_s / 4.0)

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

    def succeeded(self) -> None:
        """Learn nothing."""

    def rejected(self) -> None:
        """Learn nothing."""

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
