import typing

from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers

# How long a foreign run may continue before it is stopped, so that instances
# can hand their jobs over to a new dispatcher.
_GRACE_S = 0.3
_MIN_GRACE_S = 0.05
# The same, counted from the last contact with the earlier dispatcher. The
# lease of the worker is not renewed until the foreign run has ended, although
# the worker may run other tasks. The earlier dispatcher renewed their lease
# for 1 s, at most 0.25 s before the last contact.
_GRACE_AFTER_CONTACT_S = 0.66
# Interval between stop requests for one run.
_STOP_INTERVAL_S = 0.1
# How long the completion of a task of an unknown job is kept.
_COMPLETION_RETENTION_S = 2.0


class ForeignRun(typing.NamedTuple):
    """A run that a worker reports and this dispatcher does not track.

    :param stop_s: when the run is to be stopped
    """

    worker_id: str
    run_id: int
    stop_s: float


class ForeignRuns:
    """Runs that workers report and this dispatcher does not track.

    Most were started by another dispatcher. Instances may still hand over
    their jobs.

    :param workers: known workers, in which the runs are counted
    :param earlier_contact_s: last contact with an earlier dispatcher
    :param now_s: when this dispatcher was created
    """

    def __init__(
        self,
        workers: typing.Mapping[str, _workers.Worker],
        earlier_contact_s: float,
        now_s: float,
    ) -> None:
        self._workers = workers
        self._handover_end_s = earlier_contact_s + _GRACE_AFTER_CONTACT_S
        self._first_reports_end_s = now_s + _GRACE_S
        self._runs: dict[_records.TaskKey, ForeignRun] = {}
        self._completed_s: dict[_records.TaskKey, float] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def __contains__(self, key: _records.TaskKey) -> bool:
        return key in self._runs

    def is_empty(self) -> bool:
        """Return whether there are neither runs nor completions."""
        return not self._runs and not self._completed_s

    def has_job(self, job_id: str) -> bool:
        """Return whether a task of a job has a run or a completion."""
        return any(
            key.job_id == job_id for key in (*self._runs, *self._completed_s)
        )

    def job_ids(self) -> set[str]:
        """Return the jobs that have runs."""
        return {key.job_id for key in self._runs}

    def add(
        self,
        key: _records.TaskKey,
        worker_id: str,
        run_id: int,
        now_s: float,
    ) -> None:
        """Record the run of a task, which a worker has just reported."""
        self.pop(key)
        stop_s = now_s + _GRACE_S
        if now_s <= self._first_reports_end_s:
            stop_s = min(
                stop_s, max(now_s + _MIN_GRACE_S, self._handover_end_s)
            )
        self._runs[key] = ForeignRun(worker_id, run_id, stop_s)
        self._workers[worker_id].n_foreign_runs += 1

    def pop(self, key: _records.TaskKey) -> ForeignRun | None:
        """Remove and return a task's run."""
        run = self._runs.pop(key, None)
        if run is not None and run.worker_id in self._workers:
            self._workers[run.worker_id].n_foreign_runs -= 1
        return run

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
            self.pop(key)

    def add_completion(self, key: _records.TaskKey, now_s: float) -> None:
        """Record that a run of a task has succeeded."""
        self._completed_s[key] = now_s

    def pop_completion(self, key: _records.TaskKey) -> bool:
        """Remove a task's completion; return whether there was one."""
        return self._completed_s.pop(key, None) is not None

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
                self.pop(key)

    def drop_old_completions(self, now_s: float) -> None:
        """Remove completions whose jobs were not handed over in time."""
        for key, completed_s in list(self._completed_s.items()):
            if now_s - completed_s > _COMPLETION_RETENTION_S:
                del self._completed_s[key]

    def take_runs_to_stop(
        self, now_s: float
    ) -> list[tuple[_records.TaskKey, ForeignRun]]:
        """Return the runs to stop now.

        Each run is returned again while workers still report it. Runs on
        unknown workers are removed.
        """
        due = []
        for key, run in list(self._runs.items()):
            if run.worker_id not in self._workers:
                self.pop(key)
            elif now_s >= run.stop_s:
                self._runs[key] = run._replace(stop_s=now_s + _STOP_INTERVAL_S)
                due.append((key, run))
        return due
