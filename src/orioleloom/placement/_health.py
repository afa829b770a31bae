"""Quarantine of failing workers and avoidance of unreachable ones."""

import collections
import enum
import math
import random

_QUARANTINE_CONSECUTIVE_FAILURES = 3
_N_RECENT_OUTCOMES = 16
_FIRST_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 60.0


class Condition(enum.StrEnum):
    """Whether a worker receives tasks normally, and if not, why."""

    USABLE = 'usable'
    QUARANTINED = 'quarantined'
    AVOIDED = 'avoided'


class Health:
    """Recent task outcomes of one worker and its backoff.

    A worker is to be quarantined after several consecutive failures, or if
    more than half of its recent outcomes are failures. A worker that did
    not answer is avoided. Both are blocked until a backoff ends. They then
    get one trial task, whose outcome ends or extends the block.
    """

    def __init__(self, random_state: random.Random) -> None:
        self._random = random_state
        self._outcomes: collections.deque[bool] = collections.deque(
            maxlen=_N_RECENT_OUTCOMES
        )
        self._backoff_s = 0.0
        self.condition = Condition.USABLE
        self.trial_at_s = math.inf
        self.trial_running = False
        self.n_consecutive_failures = 0

    def may_start(self, now_s: float) -> bool:
        """Return whether a task may start, as a trial if blocked."""
        if self.condition is Condition.USABLE:
            return True
        return not self.trial_running and now_s >= self.trial_at_s

    def on_started(self) -> None:
        """Record a start, which is the trial if the worker is blocked."""
        if self.condition is not Condition.USABLE:
            self.trial_running = True

    def on_success(self) -> None:
        """Record a success.

        It ends a quarantine if it is the trial, and avoidance always.
        """
        self.n_consecutive_failures = 0
        self._outcomes.append(True)
        trial_passed = self.trial_running
        if self.condition is Condition.AVOIDED or trial_passed:
            self._reset()

    def on_answer(self) -> None:
        """Record an answer that does not count as success or failure."""
        self.trial_running = False
        if self.condition is Condition.AVOIDED:
            self._reset()

    def on_failure(self, now_s: float) -> bool:
        """Record a failure.

        :returns: whether the worker should be quarantined now
        """
        self.n_consecutive_failures += 1
        self._outcomes.append(False)
        if self.condition is Condition.QUARANTINED:
            if self.trial_running:
                self.block(Condition.QUARANTINED, now_s)
            return False
        if self.condition is Condition.AVOIDED:
            self._reset()
        return self._is_failing()

    def block(
        self, condition: Condition, now_s: float, backoff_factor: int = 1
    ) -> None:
        """Block the worker until a backoff with jitter ends.

        :param backoff_factor: multiplies the first backoff
        """
        self.condition = condition
        self.trial_running = False
        first_s = _FIRST_BACKOFF_S * backoff_factor
        self._backoff_s = min(
            _MAX_BACKOFF_S, max(first_s, 2.0 * self._backoff_s)
        )
        jitter = 0.75 + 0.5 * self._random.random()
        self.trial_at_s = now_s + self._backoff_s * jitter

    def has_only_failures(self) -> bool:
        """Return whether all recorded outcomes are failures.

        False until the full number of outcomes is recorded.
        """
        return len(self._outcomes) == _N_RECENT_OUTCOMES and not any(
            self._outcomes
        )

    def last_succeeded(self) -> bool:
        """Return whether the worker is usable and its last task succeeded."""
        usable = self.condition is Condition.USABLE
        return usable and bool(self._outcomes) and self._outcomes[-1]

    def _is_failing(self) -> bool:
        if self.n_consecutive_failures >= _QUARANTINE_CONSECUTIVE_FAILURES:
            return True
        n_failed = self._outcomes.count(False)
        return (
            len(self._outcomes) == _N_RECENT_OUTCOMES
            and 2 * n_failed > _N_RECENT_OUTCOMES
        )

    def _reset(self) -> None:
        self.condition = Condition.USABLE
        self.trial_running = False
        self.trial_at_s = math.inf
        self._backoff_s = 0.0
        self._outcomes.clear()
