import typing

from orioleloom.dispatch import _records

# How long a foreign run may continue before it is stopped, so that instances
# can hand their jobs over to a new dispatcher.
_FOREIGN_RUN_GRACE_S = 0.3
# How long the completion of a task of an unknown job is kept.
_COMPLETION_RETENTION_S = 2.0


class ForeignRun(typing.NamedTuple):
    """A run that a worker reports and this dispatcher does not track.

    :param since_s: when the run was first reported, or last stopped
    """

    worker_id: str
    run_id: int
    since_s: float


class ForeignRuns:
    """Runs that workers report and this dispatcher does not track.

    Most were started by another dispatcher. Instances may still hand over
    their jobs.
    """

    def __init__(self) -> None:
        self._runs: dict[_records.TaskKey, ForeignRun] = {}
        self._completed_s: dict[_records.TaskKey, float] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def __contains__(self, key: _records.TaskKey) -> bool:
        return key in self._runs

    def is_empty(self) -> bool:
        """Return whether there are neither runs nor completions."""
        return not self._runs and not self._completed_s

    def add(self, key: _records.TaskKey, run: ForeignRun) -> None:
        """Record the run of a task."""
        self._runs[key] = run

    def pop(self, key: _records.TaskKey) -> ForeignRun | None:
        """Remove and return a task's run."""
        return self._runs.pop(key, None)

    def drop_ended(
        self, worker_id: str, key: _records.TaskKey, run_id: int
    ) -> None:
        """Remove a task's run if a worker's report of its end is about it.

        Another worker may run a later attempt of the same task.
        """
        run = self._runs.get(key)
        if run is not None and (run.worker_id, run.run_id) == (
            worker_id,
            run_id,
        ):
            del self._runs[key]

    def add_completion(self, key: _records.TaskKey, now_s: float) -> None:
        """Record that a run of a task has succeeded."""
        self._completed_s[key] = now_s

    def pop_completion(self, key: _records.TaskKey) -> bool:
        """Remove a task's completion; return whether there was one."""
        return self._completed_s.pop(key, None) is not None

    def has_runs_on(self, worker_id: str) -> bool:
        """Return whether there are such runs on a worker."""
        return any(run.worker_id == worker_id for run in self._runs.values())

    def drop_unlisted(
        self,
        worker_id: str,
        listed_run_ids: typing.Mapping[_records.TaskKey, int],
    ) -> None:
        """Remove the runs of a worker that its report no longer lists.

        :param listed_run_ids: ids of the runs in the report, by task
        """
        for key, run in list(self._runs.items()):
            if (
                run.worker_id == worker_id
                and listed_run_ids.get(key) != run.run_id
            ):
                del self._runs[key]

    def drop_old_completions(self, now_s: float) -> None:
        """Remove completions whose jobs were not handed over in time."""
        for key, completed_s in list(self._completed_s.items()):
            if now_s - completed_s > _COMPLETION_RETENTION_S:
                del self._completed_s[key]

    def take_runs_to_stop(
        self, workers: typing.Container[str], now_s: float
    ) -> list[tuple[_records.TaskKey, ForeignRun]]:
        """Return the runs to stop now.

        Each run is returned again after the grace period while workers
        still report it.

        :param workers: known workers; runs on other workers are removed
        """
        due = []
        for key, run in list(self._runs.items()):
            if run.worker_id not in workers:
                del self._runs[key]
            elif now_s - run.since_s > _FOREIGN_RUN_GRACE_S:
                self._runs[key] = run._replace(since_s=now_s)
                due.append((key, run))
        return due
