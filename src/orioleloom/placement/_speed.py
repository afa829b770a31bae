"""Run time estimates from finished tasks."""

import math

from orioleloom.placement import _worker

# Largest distance of a sample from the estimate that it updates, in units
# of the natural logarithm. A tenth of the declared run times are wrong by a
# factor of five.
_MAX_LOG_STEP = 1.0
# Least weight of a new sample in the moving averages. They cover about the
# last 30 results, so that they follow workers whose speed changes.
_MIN_SAMPLE_WEIGHT = 0.03
_MAX_KINDS = 1024
_DEFAULT_RUN_TIME_MS = 250.0


class _KindEstimate:
    """Estimate of the log run time of a kind on the reference worker.

    ``declared_offset`` is the mean difference to the declared run times.
    """

    __slots__ = (
        'declared_offset',
        'mean_log_run_time_ms',
        'n_declared',
        'n_results',
    )

    def __init__(self) -> None:
        self.mean_log_run_time_ms = math.log(_DEFAULT_RUN_TIME_MS)
        self.n_results = 0
        self.declared_offset = 0.0
        self.n_declared = 0


class RunTimeModel:
    """Additive model of the log run time: kind term plus worker log factor.

    The log factor of a worker is shared by all kinds, so the run time of a
    kind that the worker has not run yet is predicted from other results.
    The reference worker has log factor 0.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _KindEstimate] = {}

    def expected_log_run_time_ms(
        self, kind: str, declared_run_time_ms: float | None
    ) -> float:
        """Return the expected log run time on the reference worker."""
        estimate = self._kinds.get(kind)
        if declared_run_time_ms:
            offset = estimate.declared_offset if estimate else 0.0
            return math.log(declared_run_time_ms) + offset
        if estimate is None:
            return math.log(_DEFAULT_RUN_TIME_MS)
        return estimate.mean_log_run_time_ms

    def observe(
        self,
        worker: _worker.Worker,
        kind: str,
        declared_run_time_ms: float | None,
        run_time_ms: float,
    ) -> None:
        """Update the model with the run time of a successful task."""
        estimate = self._kinds.get(kind) or self._add_kind(kind)
        log_run_time_ms = math.log(max(run_time_ms, 0.1))
        expected_log_run_time_ms = self.expected_log_run_time_ms(
            kind, declared_run_time_ms
        )
        reference_log_run_time_ms = log_run_time_ms - worker.log_factor
        if estimate.n_results or declared_run_time_ms:
            worker.update_log_factor(
                _limit_step(
                    log_run_time_ms - expected_log_run_time_ms,
                    worker.log_factor,
                )
            )
        estimate.n_results += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1.0 / estimate.n_results)
        estimate.mean_log_run_time_ms += weight * (
            reference_log_run_time_ms - estimate.mean_log_run_time_ms
        )
        if declared_run_time_ms:
            estimate.n_declared += 1
            weight = max(_MIN_SAMPLE_WEIGHT, 1.0 / (estimate.n_declared + 10))
            declared_offset = reference_log_run_time_ms - math.log(
                declared_run_time_ms
            )
            estimate.declared_offset = estimate.declared_offset + weight * (
                _limit_step(declared_offset, estimate.declared_offset)
                - estimate.declared_offset
            )

    def _add_kind(self, kind: str) -> _KindEstimate:
        if len(self._kinds) >= _MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]
        estimate = self._kinds[kind] = _KindEstimate()
        return estimate


def _limit_step(value: float, estimate: float) -> float:
    """Clip a sample to a bounded distance from the estimate."""
    return min(max(value, estimate - _MAX_LOG_STEP), estimate + _MAX_LOG_STEP)
