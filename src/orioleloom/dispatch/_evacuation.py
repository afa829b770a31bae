import typing

from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers


_REASON = 'data centre evacuated'


def refusal(retry_after_s: float) -> _records.Outcome:
    """Return the outcome of a job that only evacuated workers could run."""
    return _records.Outcome(
        _records.OutcomeKind.NOT_RUN, _REASON, retry_after_s
    )


class Evacuation:
    """Keeps new runs away from the workers of evacuated data centres.

    Runs that these workers already have go on, and their leases are renewed.

    :param workers: workers by id. The owner calls :meth:`mark_workers` when
        they or the evacuated data centres have changed.
    """

    def __init__(self, workers: typing.Mapping[str, _workers.Worker]):
        self._workers = workers
        self._data_centres: frozenset[str] | None = frozenset()
        # Whether a step can run in no other data centre, by its upstream,
        # label and resources.
        self._is_closed: dict[tuple[str, str, _records.Resources], bool] = {}

    def update(self, data_centres: frozenset[str] | None) -> bool:
        """Use a newer set of evacuated data centres.

        :param data_centres: ``None`` if it is not known, so that no worker
            gets a run
        :returns: whether the set has changed
        """
        if data_centres == self._data_centres:
            return False
        self._data_centres = data_centres
        return True

    def mark_workers(self) -> None:
        """Mark the workers in evacuated data centres."""
        for worker in self._workers.values():
            worker.is_evacuated = (
                self._data_centres is None
                or worker.info.data_centre in self._data_centres
            )
        self._is_closed.clear()

    def find_unservable(
        self,
        jobs: typing.Iterable[_jobs.JobState],
        held_job_ids: typing.Container[str],
    ) -> list[_jobs.JobState]:
        """Return the jobs to refuse: only evacuated workers can run them.

        :param held_job_ids: jobs that may run for an earlier dispatcher.
            Like others that may have run, they are not refused.
        """
        if not self._data_centres:
            return []
        return [
            job
            for job in jobs
            if not job.may_have_run()
            and job.job.id not in held_job_ids
            and any(
                self._is_step_closed(job.job.queue.upstream, step)
                for step in job.job.steps
            )
        ]

    def _is_step_closed(self, upstream: str, step: _records.Step) -> bool:
        key = (upstream, step.required_label, step.room)
        is_closed = self._is_closed.get(key)
        if is_closed is None:
            suitable = [
                worker
                for worker in self._workers.values()
                if worker.is_listed
                and not worker.info.is_leaving
                and worker.info.upstream == upstream
                and worker.info.capacity.can_fit(step.room)
                and (
                    not step.required_label
                    or step.required_label in worker.info.labels
                )
            ]
            # Without any suitable worker the evacuation is not the cause.
            is_closed = bool(suitable) and all(
                worker.is_evacuated for worker in suitable
            )
            self._is_closed[key] = is_closed
        return is_closed
