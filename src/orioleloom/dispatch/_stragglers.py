import math
import typing

from orioleloom.dispatch import _workers

# A run that takes so many times as long as expected, and so much longer, is
# a straggler. At 2.2 times the load without trouble lost worth to needless
# moves; at three times it did not (docs/measurements.md).
_STRAGGLER_FACTOR = 3.0
_STRAGGLER_S = 0.05


def find(
    workers: typing.Iterable[_workers.Worker], now_s: float
) -> list[_workers.Run]:
    """Return runs on workers that stand still or have turned slow."""
    found = []
    for worker in workers:
        for run in worker.runs.values():
            if not run.is_accepted or run.is_stopping:
                continue
            elapsed_s = now_s - run.started_s
            expected_s = run.expected_s * worker.factor()
            if (
                elapsed_s < expected_s * _STRAGGLER_FACTOR
                or elapsed_s < expected_s + _STRAGGLER_S
            ):
                continue
            # Where another run has ended since, the task is large and the
            # worker is sound.
            if worker.last_done_s <= run.started_s:
                found.append(run)
    return found


def correct_speed(run: _workers.Run, now_s: float) -> bool:
    """Learn from a straggler that its worker has turned slow.

    :returns: false if that was learnt from this run already
    """
    if run.is_overdue:
        return False
    run.is_overdue = True
    run.worker.overdue(math.log((now_s - run.started_s) / run.expected_s))
    return True
