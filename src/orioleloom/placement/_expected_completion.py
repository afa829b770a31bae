"""Selection of the worker with the least expected completion time."""

import math
import random

from orioleloom.placement import _group
from orioleloom.placement import _worker

# Upper limit of the z-score required to start a task. With 4.5, pools
# stopped using idle workers and response times were ten times the ideal.
# A slot that a task has just released has a z-score of 5.
_MAX_SCORE_THRESHOLD = 2.2
_SCORE_THRESHOLD_STEP = 0.1
# Upper limit of the penalty, in multiples of ``rejection_penalty``.
_MAX_REJECTION_PENALTIES = 2.0
# The estimate from a report this many relaxation times old has converged,
# so checking it again would not change the result.
_MAX_RECHECK_AGE_RELAXATIONS = 20.0
# Exchanges credited to the budget for each finished task. Sending several
# tasks in one exchange leaves budget for speculative starts. The maximum
# limits how much saved budget a burst may spend.
_EXCHANGE_BUDGET_PER_TASK = 1.02
_MAX_EXCHANGE_BUDGET = 50.0
# Upper limit of the completion time that a speculative start is compared
# with; it applies if no worker is open.
_MAX_EXPECTED_COMPLETION_MS = 10_000.0


class ExpectedCompletion:
    """Policy that selects the worker with the least expected completion time.

    A task starts on a worker if the z-score that a slot is free, which is
    estimated from the worker's last report, reaches a threshold. Successes
    lower the threshold and rejected exchanges raise it, so that about
    ``rejected_share`` exchanges are rejected for each success. For home
    slots, a rejection also adds a penalty that decays quickly, since
    workers tend to fill up at the same time.

    In addition, a task may start speculatively on a faster worker that
    does not reach the threshold, if the expected saving of time outweighs
    the cost of a rejection. Each exchange is charged to a budget that
    successes credit; a speculative start that needs an exchange of its own
    is made only if budget is left.

    :param rejected_share: rejected exchanges allowed for each success
    :param reserved_share: share of a worker's slots left free for the
        instances whose home slots they are, when this instance uses slots
        beyond its own home slots
    :param rejection_penalty: increase of the threshold after a rejection
    :param penalty_decay_s: time constant of the decay of the penalty
    :param max_speculative_tasks: tasks that may be added to an exchange
        speculatively
    :param n_candidates: workers considered for a speculative start that
        needs an exchange of its own
    :param min_saving_ms: least expected saving for a speculative start that
        needs an exchange of its own; a lower value shortens response times
        at the cost of more messages
    :param rejection_cost_ms: cost of a rejection, which is a round trip and
        the processor time at both ends

    >>> policy = ExpectedCompletion(rejected_share=0.02)
    """

    def __init__(
        self,
        *,
        rejected_share: float = 0.0125,
        reserved_share: float = 0.125,
        rejection_penalty: float = 4.0,
        penalty_decay_s: float = 0.3,
        max_speculative_tasks: int = 3,
        n_candidates: int = 6,
        min_saving_ms: float = 300.0,
        rejection_cost_ms: float = 10.0,
    ) -> None:
        self.max_speculative_tasks = max_speculative_tasks
        self.n_candidates = n_candidates
        self.min_saving_ms = min_saving_ms
        self.rejection_cost_ms = rejection_cost_ms
        self.exchange_budget_ = 0.0
        self.rejected_share = rejected_share
        self.reserved_share = reserved_share
        self.rejection_penalty = rejection_penalty
        self.penalty_decay_s = penalty_decay_s
        self.score_threshold_ = _MAX_SCORE_THRESHOLD
        self.penalty_ = 0.0
        self.penalty_at_s_ = 0.0

    def on_success(self) -> None:
        """Lower the threshold slightly and credit the exchange budget."""
        budget = self.exchange_budget_ + _EXCHANGE_BUDGET_PER_TASK
        self.exchange_budget_ = min(_MAX_EXCHANGE_BUDGET, budget)
        lowered = (
            self.score_threshold_ - _SCORE_THRESHOLD_STEP * self.rejected_share
        )
        self.score_threshold_ = max(0.0, lowered)

    def on_exchange_started(self) -> None:
        """Charge an exchange to the budget."""
        self.exchange_budget_ -= 1.0

    def on_rejection(self, now_s: float) -> None:
        """Raise the threshold and add a penalty that decays."""
        raised = self.score_threshold_ + _SCORE_THRESHOLD_STEP
        self.score_threshold_ = min(_MAX_SCORE_THRESHOLD, raised)
        penalty = self._penalty_at(now_s) + self.rejection_penalty
        self.penalty_ = min(
            penalty, _MAX_REJECTION_PENALTIES * self.rejection_penalty
        )
        self.penalty_at_s_ = now_s

    def is_likely_free(self, worker: _worker.Worker, now_s: float) -> bool:
        """Return whether the estimate for a free slot reaches the threshold.

        A worker that has not reported yet is assumed to have its home
        slots free. Slots beyond the home slots are used only while the
        last report is recent.
        """
        if worker.outstanding < worker.n_home_slots:
            if worker.reported_at_s == -math.inf:
                return True
            threshold = self.score_threshold_ + self._penalty_at(now_s)
            return worker.free_slot_z_score(now_s) >= threshold
        if now_s - worker.reported_at_s > worker.relaxation_s:
            return False
        n_reserved_slots = self.reserved_share * worker.slots
        score = worker.free_slot_z_score(now_s, n_reserved_slots)
        return score >= self.score_threshold_

    def recheck_at_s(self, worker: _worker.Worker, now_s: float) -> float:
        """Return when to estimate again whether a slot is free.

        The intervals grow with the age of the last report.
        """
        if worker.outstanding >= max(worker.n_home_slots, 1):
            return math.inf
        age_s = now_s - worker.reported_at_s
        if age_s > _MAX_RECHECK_AGE_RELAXATIONS * worker.relaxation_s:
            return math.inf
        return now_s + max(age_s / 2.0, worker.relaxation_s / 4.0)

    def _penalty_at(self, now_s: float) -> float:
        age_s = now_s - self.penalty_at_s_
        return self.penalty_ * math.exp(-age_s / self.penalty_decay_s)

    def pick(
        self,
        group: _group.Group,
        log_run_time_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return the worker on which to start a task, or ``None`` to wait.

        This is a random open worker of the fastest speed class, unless
        the task is expected to complete earlier by waiting for a faster
        slot or by a speculative start.
        """
        open_worker = None
        open_worker_class = None
        expected_completion_ms = math.inf
        for speed_class in group.speed_classes():
            members = group.open_workers_in(speed_class)
            if members:
                open_worker = members[
                    int(random_state.random() * len(members))
                ]
                open_worker_class = speed_class
                expected_completion_ms = math.exp(
                    log_run_time_ms + speed_class * _worker.CLASS_WIDTH
                )
                break
        completion_after_wait_ms = self._expected_completion_after_wait_ms(
            group, open_worker_class, log_run_time_ms, n_waiting
        )
        if completion_after_wait_ms < expected_completion_ms:
            open_worker = None
            expected_completion_ms = completion_after_wait_ms
        speculative = self._pick_speculative(
            group, log_run_time_ms, expected_completion_ms, now_s, random_state
        )
        return speculative or open_worker

    def _pick_speculative(
        self,
        group: _group.Group,
        log_run_time_ms: float,
        expected_completion_ms: float,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return a faster worker that is worth a speculative start, if any.

        A task added to an exchange that is sent anyway costs no additional
        message if it is rejected. An exchange of its own must save more
        than ``min_saving_ms`` and needs budget.
        """
        best = None
        best_saving_ms = 0.0
        for worker in group.current_batch(now_s):
            saving_ms = self._expected_saving_ms(
                worker, log_run_time_ms, expected_completion_ms, now_s
            )
            if (
                saving_ms > best_saving_ms
                and worker.n_in_batch <= self.max_speculative_tasks
            ):
                best, best_saving_ms = worker, saving_ms
        if best is not None or self.exchange_budget_ < 1.0:
            return best
        max_saving_ms = min(
            expected_completion_ms, _MAX_EXPECTED_COMPLETION_MS
        ) - math.exp(log_run_time_ms + group.fastest_ranked_log_factor())
        if max_saving_ms <= self.min_saving_ms:
            return None
        for worker in group.candidates(self.n_candidates, random_state):
            saving_ms = self._expected_saving_ms(
                worker, log_run_time_ms, expected_completion_ms, now_s
            )
            if saving_ms > best_saving_ms + self.min_saving_ms:
                best, best_saving_ms = worker, saving_ms
        return best

    def _expected_saving_ms(
        self,
        worker: _worker.Worker,
        log_run_time_ms: float,
        expected_completion_ms: float,
        now_s: float,
    ) -> float:
        """Return the expected saving by a speculative start, in ms."""
        if worker.outstanding >= worker.slots or not worker.usable:
            return 0.0
        run_time_ms = math.exp(log_run_time_ms + worker.log_factor)
        saved_ms = (
            min(expected_completion_ms, _MAX_EXPECTED_COMPLETION_MS)
            - run_time_ms
        )
        if saved_ms <= 0.0:
            return 0.0
        p_free = worker.free_slot_probability(now_s)
        return p_free * saved_ms - (1.0 - p_free) * self.rejection_cost_ms

    def _expected_completion_after_wait_ms(
        self,
        group: _group.Group,
        open_class: int | None,
        log_run_time_ms: float,
        n_waiting: int,
    ) -> float:
        """Return the expected completion time if the task waits.

        Only classes faster than ``open_class`` are considered. Their slots
        become free at the rate at which running tasks end, so this uses
        the mean run time and not that of the waiting task: with the
        latter, long tasks went to slow workers and the mean response time
        at 60 % load was 1.7 instead of 1.4 times the ideal.
        """
        running_by_class = group.running_by_class()
        ends_per_ms = 0.0
        best_ms = math.inf
        for speed_class in sorted(running_by_class):
            if open_class is not None and speed_class >= open_class:
                break
            relative_run_time = math.exp(speed_class * _worker.CLASS_WIDTH)
            ends_per_ms += running_by_class[speed_class] / (
                group.mean_run_time_ms * relative_run_time
            )
            if ends_per_ms:
                wait_ms = max(n_waiting, 1) / ends_per_ms
                best_ms = min(
                    best_ms,
                    math.exp(log_run_time_ms) * relative_run_time + wait_ms,
                )
        return best_ms
