"""Choice by the least expected completion time."""

import math
import random

from orioleloom.placement import _group
from orioleloom.placement import _worker

# With 4.5 here pools stopped using idle workers: response times were ten
# times the ideal. The report of a slot that a task just left scores 5.
_MAX_CERTAINTY = 2.2
_CERTAINTY_STEP = 0.1
_MAX_SURGES = 2.0
# A report this many relaxation times old no longer changes.
_LAST_LOOK = 20.0
# Exchanges that each finished task pays for; what packing saves is left
# for tries. The bound on what a burst may spend of earlier savings.
_EXCHANGES_PER_TASK = 1.02
_MAX_BALANCE = 50.0
# Without any open worker, a try is compared with this completion time.
_MAX_EXPECTED_MS = 10_000.0


class ExpectedCompletion:
    """Least expected completion time within home shares and reports.

    A start needs a certainty that a slot is free, in deviations of the
    estimate. Successes lower and rejections raise it so that rejections
    settle at ``rejected_share`` of the starts. A rejection also raises it
    for a short time, since workers that fill up do so together.

    :param rejected_share: rejected exchanges allowed for each success
    :param kept_share: share of a worker's slots left free for their home
        instances when this instance borrows
    :param surge: certainty that a rejection adds for ``recover_s``
    :param max_extra_tasks: tasks that may join an exchange on the chance
        that the worker has more slots free
    :param n_candidates: workers looked at for a try of its own
    :param price_ms: time that a try of its own must save on average; a
        lower price buys response time with messages
    :param rejection_ms: cost of a rejection: a round trip and the
        processor time at both ends

    >>> policy = ExpectedCompletion(rejected_share=0.02)
    """

    def __init__(
        self,
        *,
        rejected_share: float = 0.0125,
        kept_share: float = 0.125,
        surge: float = 4.0,
        recover_s: float = 0.3,
        max_extra_tasks: int = 3,
        n_candidates: int = 6,
        price_ms: float = 300.0,
        rejection_ms: float = 10.0,
    ) -> None:
        self.max_extra_tasks = max_extra_tasks
        self.n_candidates = n_candidates
        self.price_ms = price_ms
        self.rejection_ms = rejection_ms
        self.balance_ = 0.0
        self.rejected_share = rejected_share
        self.kept_share = kept_share
        self.surge = surge
        self.recover_s = recover_s
        self.certainty_ = _MAX_CERTAINTY
        self.surge_ = 0.0
        self.surge_at_s_ = 0.0

    def succeeded(self) -> None:
        """Ask for a little less certainty and pay for an exchange."""
        balance = self.balance_ + _EXCHANGES_PER_TASK
        self.balance_ = min(_MAX_BALANCE, balance)
        lowered = self.certainty_ - _CERTAINTY_STEP * self.rejected_share
        self.certainty_ = max(0.0, lowered)

    def exchange_started(self) -> None:
        """Take an exchange off the balance of messages."""
        self.balance_ -= 1.0

    def rejected(self, now_s: float) -> None:
        """Ask for more certainty, most of it for a short time."""
        raised = self.certainty_ + _CERTAINTY_STEP
        self.certainty_ = min(_MAX_CERTAINTY, raised)
        surge = self._surge_at(now_s) + self.surge
        self.surge_ = min(surge, _MAX_SURGES * self.surge)
        self.surge_at_s_ = now_s

    def believes_free(self, worker: _worker.Worker, now_s: float) -> bool:
        """Apply the home share and the decayed report."""
        if worker.outstanding < worker.home:
            if worker.reported_at_s == -math.inf:
                return True
            wanted = self.certainty_ + self._surge_at(now_s)
            return worker.free_score(now_s) >= wanted
        if now_s - worker.reported_at_s > worker.relax_s:
            return False
        kept = self.kept_share * worker.slots
        score = worker.free_score(now_s, kept)
        return score >= self.certainty_

    def free_again_at_s(self, worker: _worker.Worker, now_s: float) -> float:
        """Return when the decayed report should be looked at again."""
        if worker.outstanding >= max(worker.home, 1):
            return math.inf
        age_s = now_s - worker.reported_at_s
        if age_s > _LAST_LOOK * worker.relax_s:
            return math.inf
        return now_s + max(age_s / 2.0, worker.relax_s / 4.0)

    def _surge_at(self, now_s: float) -> float:
        age_s = now_s - self.surge_at_s_
        return self.surge_ * math.exp(-age_s / self.recover_s)

    def pick(
        self,
        group: _group.Group,
        log_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return the fastest open worker unless waiting ends earlier."""
        base = None
        base_class = None
        expected_ms = math.inf
        for speed_class in group.open_classes():
            members = group.open_in(speed_class)
            if members:
                base = members[int(random_state.random() * len(members))]
                base_class = speed_class
                expected_ms = math.exp(
                    log_ms + speed_class * _worker.CLASS_WIDTH
                )
                break
        wait_ms = self._wait_ms(group, base_class, log_ms, n_waiting)
        if wait_ms < expected_ms:
            base = None
            expected_ms = wait_ms
        faster = self._attempt(group, log_ms, expected_ms, now_s, random_state)
        return faster or base

    def _attempt(
        self,
        group: _group.Group,
        log_ms: float,
        expected_ms: float,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return a faster worker that is worth a try, if there is one.

        A task that travels with others costs no message when it is
        rejected; an exchange of its own costs ``price_ms`` and needs a
        balance of messages.
        """
        best = None
        best_gain = 0.0
        for worker in group.batch(now_s):
            gain = self._gain(worker, log_ms, expected_ms, now_s)
            if gain > best_gain and worker.n_in_batch <= self.max_extra_tasks:
                best, best_gain = worker, gain
        if best is not None or self.balance_ < 1.0:
            return best
        most_saved_ms = min(expected_ms, _MAX_EXPECTED_MS) - math.exp(
            log_ms + group.best_log_factor()
        )
        if most_saved_ms <= self.price_ms:
            return None
        for worker in group.candidates(self.n_candidates, random_state):
            gain = self._gain(worker, log_ms, expected_ms, now_s)
            if gain > best_gain + self.price_ms:
                best, best_gain = worker, gain
        return best

    def _gain(
        self,
        worker: _worker.Worker,
        log_ms: float,
        expected_ms: float,
        now_s: float,
    ) -> float:
        """Return the time that a try is expected to save, in ms."""
        if worker.outstanding >= worker.slots or not worker.usable:
            return 0.0
        fast_ms = math.exp(log_ms + worker.log_factor)
        saved_ms = min(expected_ms, _MAX_EXPECTED_MS) - fast_ms
        if saved_ms <= 0.0:
            return 0.0
        p = worker.free_probability(now_s)
        return p * saved_ms - (1.0 - p) * self.rejection_ms

    def _wait_ms(
        self,
        group: _group.Group,
        open_class: int | None,
        log_ms: float,
        n_waiting: int,
    ) -> float:
        """Return the expected completion time when a faster slot is awaited.

        Slots become free at the rate at which the running tasks end, so
        the mean run time counts here and not that of the task at hand:
        with the latter, long tasks went to slow workers and the mean
        response time at 60 % load was 1.7 instead of 1.4 times the ideal.
        """
        running = group.running()
        ends_per_ms = 0.0
        best_ms = math.inf
        for speed_class in sorted(running):
            if open_class is not None and speed_class >= open_class:
                break
            relative = math.exp(speed_class * _worker.CLASS_WIDTH)
            ends_per_ms += running[speed_class] / (group.mean_ms * relative)
            if ends_per_ms:
                wait_ms = max(n_waiting, 1) / ends_per_ms
                best_ms = min(best_ms, math.exp(log_ms) * relative + wait_ms)
        return best_ms
