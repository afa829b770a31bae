import math
import typing

from orioleloom.dispatch import _workers

# A run is a straggler if it exceeds its expected time both by this factor and
# by this number of seconds. At a factor of 2.2 needless moves reduced the
# value of the jobs served in time under a load without faults; at 3 they did
# not (docs/measurements.md).
_STRAGGLER_FACTOR = 3.0
_STRAGGLER_S = 0.05


def find(
    workers: typing.Iterable[_workers.Worker], now_s: float
) -> list[_workers.Run]:
    """Return the stragglers, on workers that have stalled or slowed down."""
    stragglers = []
    for worker in workers:
        for run in worker.runs.values():
            if not run.is_accepted or run.is_stopping:
                continue
            elapsed_s = now_s - run.started_s
            expected_s = run.expected_s * worker.run_time_ratio()
            if (
                elapsed_s < expected_s * _STRAGGLER_FACTOR
                or elapsed_s < expected_s + _STRAGGLER_S
            ):
                continue
            # If another run has succeeded since this one started, the worker
            # is healthy and this task is just long.
            if worker.last_success_s <= run.started_s:
                stragglers.append(run)
    return stragglers


def correct_speed(run: _workers.Run, now_s: float) -> bool:
    """Correct the speed of a straggler's worker, once for each run.

    :returns: false if it was already corrected for this run
    """
    if run.is_speed_corrected:
        return False
    run.is_speed_corrected = True
    run.worker.observe_straggler(
        math.log((now_s - run.started_s) / run.expected_s)
    )
    return True
