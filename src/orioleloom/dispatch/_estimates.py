"""Run time estimates from declared times and finished tasks."""

import math

# Initial variance of the logarithms of the run times in a queue, and of the
# ratios of measured to declared run times: a standard deviation of 0.4.
_INITIAL_VARIANCE = 0.16
# Minimum weight of a new result, with which the mean of a queue follows about
# the last 50 results.
_MIN_WEIGHT = 0.02
# Deviations of single results from a mean are clipped to this (natural
# logarithm).
_MAX_DEVIATION = 1.0
# A deviation of more than this many standard deviations gets less weight: with
# 3 tasks in 100 that take seven times as long, five standard deviations, the
# mean would otherwise be 3 % too high. The minimum lets the mean follow when
# the run times of a queue really change.
_USUAL_DEVIATION = 3.0
_MIN_OUTLIER_WEIGHT = 0.1
_DEFAULT_RUN_TIME_S = 0.25
_MIN_VARIANCE = 0.01


class _QueueStatistics:
    """Moving averages for one queue, in natural logarithms.

    ``declared_offset`` is the mean logarithm of the ratio of measured to
    declared run times.
    """

    __slots__ = (
        'declared_offset',
        'declared_variance',
        'mean_log_s',
        'n_results',
        'variance',
    )

    def __init__(self, log_s: float):
        self.mean_log_s = log_s
        self.variance = _INITIAL_VARIANCE
        self.declared_offset = 0.0
        self.declared_variance = _INITIAL_VARIANCE
        self.n_results = 0


class RunTimeEstimator:
    """Estimates the run time of a task on a worker of speed 1.

    The estimate is the average of the declared run time and of the mean
    of the queue, each weighted by the inverse of its variance.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _QueueStatistics] = {}

    def expected_s(self, queue: str, declared_s: float) -> float:
        """Return the expected run time on a worker of speed 1."""
        statistics = self._queues.get(queue)
        if statistics is None:
            return declared_s if declared_s > 0 else _DEFAULT_RUN_TIME_S
        if declared_s <= 0:
            return math.exp(statistics.mean_log_s)
        log_declared_s = math.log(declared_s) + statistics.declared_offset
        if statistics.n_results < 3:
            return math.exp(log_declared_s)
        queue_weight = 1.0 / statistics.variance
        declared_weight = 1.0 / statistics.declared_variance
        return math.exp(
            (
                statistics.mean_log_s * queue_weight
                + log_declared_s * declared_weight
            )
            / (queue_weight + declared_weight)
        )

    def observe(self, queue: str, declared_s: float, run_s: float) -> None:
        """Update the statistics of a queue with a finished task.

        :param run_s: run time of the task, scaled to a worker of speed 1
        """
        log_s = math.log(max(run_s, 1e-4))
        statistics = self._queues.get(queue)
        if statistics is None:
            statistics = self._queues[queue] = _QueueStatistics(log_s)
        statistics.n_results += 1
        weight = max(_MIN_WEIGHT, 1.0 / statistics.n_results)
        deviation = log_s - statistics.mean_log_s
        own_weight = weight * _plausibility(deviation, statistics.variance)
        deviation = _clip(deviation)
        statistics.mean_log_s += own_weight * deviation
        if statistics.n_results > 3:
            statistics.variance += own_weight * (
                deviation * deviation - statistics.variance
            )
            statistics.variance = max(statistics.variance, _MIN_VARIANCE)
        if declared_s > 0:
            deviation = (
                log_s - math.log(declared_s) - statistics.declared_offset
            )
            weight *= _plausibility(deviation, statistics.declared_variance)
            deviation = _clip(deviation)
            statistics.declared_offset += weight * deviation
            if statistics.n_results > 3:
                statistics.declared_variance += weight * (
                    deviation * deviation - statistics.declared_variance
                )
                statistics.declared_variance = max(
                    statistics.declared_variance, _MIN_VARIANCE
                )


def _plausibility(deviation: float, variance: float) -> float:
    """Return the weight of a result that may be of the tail."""
    excess = abs(deviation) / (_USUAL_DEVIATION * math.sqrt(variance))
    return 1.0 if excess <= 1.0 else max(excess**-4, _MIN_OUTLIER_WEIGHT)


def _clip(value: float) -> float:
    return min(max(value, -_MAX_DEVIATION), _MAX_DEVIATION)
