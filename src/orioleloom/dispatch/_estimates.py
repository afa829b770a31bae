"""Run time estimates from declared times and finished tasks."""

import math

# Variance of the logarithm of declared against real run times, and of real
# run times within one queue, before anything is learnt: a spread of 0.4.
_INITIAL_VARIANCE = 0.16
# The mean of a queue follows about the last 50 results.
_MIN_WEIGHT = 0.02
# A single result moves a mean by at most this much (natural logarithm).
_MAX_STEP = 1.0
_DEFAULT_RUN_TIME_S = 0.25
_MIN_VARIANCE = 0.01


class _QueueStatistics:
    __slots__ = (
        'declared_offset',
        'declared_variance',
        'log_s',
        'n',
        'variance',
    )

    def __init__(self, log_s: float):
        self.log_s = log_s
        self.variance = _INITIAL_VARIANCE
        self.declared_offset = 0.0
        self.declared_variance = _INITIAL_VARIANCE
        self.n = 0


class RunTimes:
    """Expected run time of a task on a worker of speed 1.

    The declared time and the mean of the queue are averaged, each
    weighted by the inverse of its variance.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _QueueStatistics] = {}

    def expected_s(self, queue: str, declared_s: float) -> float:
        """Return the expected run time on a worker of speed 1."""
        known = self._queues.get(queue)
        if known is None:
            return declared_s or _DEFAULT_RUN_TIME_S
        if declared_s <= 0:
            return math.exp(known.log_s)
        declared = math.log(declared_s) + known.declared_offset
        if known.n < 3:
            return math.exp(declared)
        of_queue = 1.0 / known.variance
        of_declared = 1.0 / known.declared_variance
        return math.exp(
            (known.log_s * of_queue + declared * of_declared)
            / (of_queue + of_declared)
        )

    def observe(self, queue: str, declared_s: float, run_s: float) -> None:
        """Learn from a finished task.

        :param run_s: its run time converted to a worker of speed 1
        """
        log_s = math.log(max(run_s, 1e-4))
        known = self._queues.get(queue)
        if known is None:
            known = self._queues[queue] = _QueueStatistics(log_s)
        known.n += 1
        weight = max(_MIN_WEIGHT, 1.0 / known.n)
        off = _bounded(log_s - known.log_s)
        known.log_s += weight * off
        if known.n > 3:
            known.variance += weight * (off * off - known.variance)
            known.variance = max(known.variance, _MIN_VARIANCE)
        if declared_s > 0:
            off = log_s - math.log(declared_s) - known.declared_offset
            off = _bounded(off)
            known.declared_offset += weight * off
            if known.n > 3:
                known.declared_variance += weight * (
                    off * off - known.declared_variance
                )
                known.declared_variance = max(
                    known.declared_variance, _MIN_VARIANCE
                )


def _bounded(value: float) -> float:
    return min(max(value, -_MAX_STEP), _MAX_STEP)
