"""Run time estimates learnt from finished tasks."""

import math

from orioleloom.placement import _worker

# A tenth of the declared run times are off by five, so a single result may
# move an estimate by at most this much (natural logarithm).
_MAX_STEP = 1.0
# Averages over about the last 30 results, to follow drifting workers.
_MIN_WEIGHT = 0.03
_MAX_KINDS = 1024
_DEFAULT_RUN_TIME_MS = 250.0


class _Kind:
    """Mean logarithm of the run time of a kind on a worker of factor 0."""

    __slots__ = ('declared_offset', 'log_ms', 'n_declared', 'n_results')

    def __init__(self) -> None:
        self.log_ms = math.log(_DEFAULT_RUN_TIME_MS)
        self.n_results = 0
        self.declared_offset = 0.0
        self.n_declared = 0


class RunTimeModel:
    """Logarithm of a run time as kind term plus worker factor.

    The worker factor is shared by all kinds, so a kind that a worker has
    not run yet is predicted from its other results.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}

    def log_ms(self, kind: str, declared_run_time_ms: float | None) -> float:
        """Return the expected log run time on a worker of factor 0."""
        known = self._kinds.get(kind)
        if declared_run_time_ms:
            offset = known.declared_offset if known else 0.0
            return math.log(declared_run_time_ms) + offset
        if known is None:
            return math.log(_DEFAULT_RUN_TIME_MS)
        return known.log_ms

    def observe(
        self,
        worker: _worker.Worker,
        kind: str,
        declared_run_time_ms: float | None,
        run_time_ms: float,
    ) -> None:
        """Learn from one successful task."""
        known = self._kinds.get(kind) or self._add(kind)
        log_ms = math.log(max(run_time_ms, 0.1))
        expected = self.log_ms(kind, declared_run_time_ms)
        at_zero = log_ms - worker.log_factor
        if known.n_results or declared_run_time_ms:
            worker.learn_factor(_step(log_ms - expected, worker.log_factor))
        known.n_results += 1
        weight = max(_MIN_WEIGHT, 1.0 / known.n_results)
        known.log_ms += weight * (at_zero - known.log_ms)
        if declared_run_time_ms:
            known.n_declared += 1
            weight = max(_MIN_WEIGHT, 1.0 / (known.n_declared + 10))
            off = at_zero - math.log(declared_run_time_ms)
            known.declared_offset = known.declared_offset + weight * (
                _step(off, known.declared_offset) - known.declared_offset
            )

    def _add(self, kind: str) -> _Kind:
        if len(self._kinds) >= _MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]
        known = self._kinds[kind] = _Kind()
        return known


def _step(value: float, estimate: float) -> float:
    """Limit a sample to a bounded distance from the estimate."""
    return min(max(value, estimate - _MAX_STEP), estimate + _MAX_STEP)
