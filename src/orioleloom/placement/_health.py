"""Quarantine of failing workers and avoidance of unreachable ones."""

import collections
import enum
import math
import random

_FAILURES_IN_ROW = 3
_WINDOW = 16
_FIRST_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 60.0


class Condition(enum.StrEnum):
    """Whether and why a worker is kept from normal work."""

    USABLE = 'usable'
    QUARANTINED = 'quarantined'
    AVOIDED = 'avoided'


class Health:
    """Outcomes of one worker and the backoff that follows from them."""

    def __init__(self, random_state: random.Random) -> None:
        self._random = random_state
        self._outcomes: collections.deque[bool] = collections.deque(
            maxlen=_WINDOW
        )
        self._backoff_s = 0.0
        self.condition = Condition.USABLE
        self.trial_at_s = math.inf
        self.trial_running = False
        self.n_failures_in_row = 0

    def may_start(self, now_s: float) -> bool:
        """Tell whether a task, or the trial task, may start."""
        if self.condition is Condition.USABLE:
            return True
        return not self.trial_running and now_s >= self.trial_at_s

    def on_started(self) -> None:
        """Count the start as the trial when the worker is blocked."""
        if self.condition is not Condition.USABLE:
            self.trial_running = True

    def on_success(self) -> None:
        """Record a success; a trial or any answer ends the block."""
        self.n_failures_in_row = 0
        self._outcomes.append(True)
        trial_passed = self.trial_running
        if self.condition is Condition.AVOIDED or trial_passed:
            self._clear()

    def on_answer(self) -> None:
        """Record an answer that says nothing of a task's outcome."""
        self.trial_running = False
        if self.condition is Condition.AVOIDED:
            self._clear()

    def on_failure(self, now_s: float) -> bool:
        """Record a failure.

        :returns: whether the worker should be quarantined now
        """
        self.n_failures_in_row += 1
        self._outcomes.append(False)
        if self.condition is Condition.QUARANTINED:
            if self.trial_running:
                self.block(Condition.QUARANTINED, now_s)
            return False
        if self.condition is Condition.AVOIDED:
            self._clear()
        return self._is_failing()

    def block(
        self, condition: Condition, now_s: float, n_backoffs: int = 1
    ) -> None:
        """Keep the worker from work until a jittered backoff ends."""
        self.condition = condition
        self.trial_running = False
        first_s = _FIRST_BACKOFF_S * n_backoffs
        self._backoff_s = min(
            _MAX_BACKOFF_S, max(first_s, 2.0 * self._backoff_s)
        )
        jitter = 0.75 + 0.5 * self._random.random()
        self.trial_at_s = now_s + self._backoff_s * jitter

    def failed_everything(self) -> bool:
        """Tell whether a full window holds no success."""
        return len(self._outcomes) == _WINDOW and not any(self._outcomes)

    def _is_failing(self) -> bool:
        if self.n_failures_in_row >= _FAILURES_IN_ROW:
            return True
        n_failed = self._outcomes.count(False)
        return len(self._outcomes) == _WINDOW and 2 * n_failed > _WINDOW

    def _clear(self) -> None:
        self.condition = Condition.USABLE
        self.trial_running = False
        self.trial_at_s = math.inf
        self._backoff_s = 0.0
        self._outcomes.clear()
