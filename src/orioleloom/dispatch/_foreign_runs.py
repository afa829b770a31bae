import typing

from orioleloom.dispatch import _records

# How long a run of an unknown job may continue before it is stopped, so that
# instances can hand their jobs over to a new dispatcher.
_ORPHAN_GRACE_S = 0.3
# How long the completion of a task of an unknown job is kept.
_COMPLETION_RETENTION_S = 2.0


class Orphan(typing.NamedTuple):
    """A run on a worker whose job this dispatcher does not know.

    :param since_s: when the run was first reported, or last stopped
    """

    worker_id: str
    run_id: int
    since_s: float


class ForeignRuns:
    """Runs reported by workers that this dispatcher did not start.

    Instances may still hand over the jobs of these runs.
    """

    def __init__(self) -> None:
        self._orphans: dict[_records.TaskKey, Orphan] = {}
        self._completed_s: dict[_records.TaskKey, float] = {}

    def __len__(self) -> int:
        return len(self._orphans)

    def __contains__(self, key: _records.TaskKey) -> bool:
        return key in self._orphans

    def is_empty(self) -> bool:
        """Return whether there are neither runs nor completions."""
        return not self._orphans and not self._completed_s

    def add(self, key: _records.TaskKey, orphan: Orphan) -> None:
        """Record the run of a task."""
        self._orphans[key] = orphan

    def pop(self, key: _records.TaskKey) -> Orphan | None:
        """Remove and return a task's run."""
        return self._orphans.pop(key, None)

    def add_completion(self, key: _records.TaskKey, now_s: float) -> None:
        """Record that a run of a task has succeeded."""
        self._completed_s[key] = now_s

    def pop_completion(self, key: _records.TaskKey) -> bool:
        """Remove a task's completion; return whether there was one."""
        return self._completed_s.pop(key, None) is not None

    def has_runs_on(self, worker_id: str) -> bool:
        """Return whether there are such runs on a worker."""
        return any(
            orphan.worker_id == worker_id for orphan in self._orphans.values()
        )

    def drop_unlisted(
        self,
        worker_id: str,
        listed_run_ids: typing.Mapping[_records.TaskKey, int],
    ) -> None:
        """Remove the runs of a worker that its report no longer lists.

        :param listed_run_ids: ids of the runs in the report, by task
        """
        for key, orphan in list(self._orphans.items()):
            if (
                orphan.worker_id == worker_id
                and listed_run_ids.get(key) != orphan.run_id
            ):
                del self._orphans[key]

    def drop_old_completions(self, now_s: float) -> None:
        """Remove completions whose jobs were not handed over in time."""
        for key, completed_s in list(self._completed_s.items()):
            if now_s - completed_s > _COMPLETION_RETENTION_S:
                del self._completed_s[key]

    def take_runs_to_stop(
        self, workers: typing.Container[str], now_s: float
    ) -> list[tuple[_records.TaskKey, Orphan]]:
        """Return the runs to stop now.

        Each run is returned again after the grace period while workers
        still report it.

        :param workers: known workers; runs on other workers are removed
        """
        due = []
        for key, orphan in list(self._orphans.items()):
            if orphan.worker_id not in workers:
                del self._orphans[key]
            elif now_s - orphan.since_s > _ORPHAN_GRACE_S:
                self._orphans[key] = orphan._replace(since_s=now_s)
                due.append((key, orphan))
        return due
