"""Run times near and far from the data of a task."""

import collections
import typing

from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers


class Locality:
    """Slowdown of tasks outside the rack that holds their data.

    :param remote_factor: run time there relative to one in the rack; at 1.0
        the rack is a mere preference among workers with free resources
    """

    def __init__(self, remote_factor: float = 1.0):
        # A lower one from a settings file would end in a logarithm of zero.
        self.remote_factor = max(1.0, remote_factor)

    def factor(self, step: _records.Step, worker: _workers.Worker) -> float:
        """Return the slowdown of a task on a worker."""
        rack = step.preferred_rack
        return (
            self.remote_factor
            if rack and rack not in worker.info.labels
            else 1.0
        )

    def count_start(
        self,
        step: _records.Step,
        worker: _workers.Worker,
        counters: collections.Counter[str],
    ) -> None:
        """Count a start by whether it is near the data of its task."""
        if step.preferred_rack:
            is_near = step.preferred_rack in worker.info.labels
            counters['starts_near' if is_near else 'starts_far'] += 1

    def rack_of(self, tasks: typing.Sequence[_jobs.TaskState]) -> str:
        """Return the rack on which a job depends next, or empty."""
        if self.remote_factor <= 1.0 or not tasks:
            return ''
        return tasks[0].step.preferred_rack
