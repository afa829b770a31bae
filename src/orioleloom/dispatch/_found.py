import typing

from orioleloom.dispatch import _records

# Runs of an unknown job that a new dispatcher finds on a worker are stopped
# after this time, in which the instances hand their jobs to it.
_ORPHAN_GRACE_S = 0.3
# Ends without a known job are kept this long for the job to arrive.
_UNCLAIMED_END_S = 2.0


class Orphan(typing.NamedTuple):
    """A run on a worker whose job is not known here.

    :param since_s: when it was found, or last stopped
    """

    worker_id: str
    run_id: int
    since_s: float


class FoundRuns:
    """What workers list of tasks that this dispatcher did not start.

    Their jobs may still be handed over by the instances that have them.
    """

    def __init__(self) -> None:
        self._orphans: dict[_records.TaskKey, Orphan] = {}
        self._ended_s: dict[_records.TaskKey, float] = {}

    def __len__(self) -> int:
        return len(self._orphans)

    def __contains__(self, key: _records.TaskKey) -> bool:
        return key in self._orphans

    def is_empty(self) -> bool:
        """Return whether neither runs nor ends were found."""
        return not self._orphans and not self._ended_s

    def add(self, key: _records.TaskKey, orphan: Orphan) -> None:
        """Take note of a run."""
        self._orphans[key] = orphan

    def pop(self, key: _records.TaskKey) -> Orphan | None:
        """Remove and return a task's run."""
        return self._orphans.pop(key, None)

    def add_end(self, key: _records.TaskKey, now_s: float) -> None:
        """Take note that a run of a task has ended well."""
        self._ended_s[key] = now_s

    def pop_end(self, key: _records.TaskKey) -> bool:
        """Return whether a run of a task has ended well, and forget it."""
        return self._ended_s.pop(key, None) is not None

    def is_any_on(self, worker_id: str) -> bool:
        """Return whether a worker has such a run."""
        return any(
            orphan.worker_id == worker_id for orphan in self._orphans.values()
        )

    def keep_listed(
        self, worker_id: str, run_ids: typing.Mapping[_records.TaskKey, int]
    ) -> None:
        """Forget the runs of a worker that it no longer lists."""
        for key, orphan in list(self._orphans.items()):
            if (
                orphan.worker_id == worker_id
                and run_ids.get(key) != orphan.run_id
            ):
                del self._orphans[key]

    def forget_old_ends(self, now_s: float) -> None:
        """Forget ends whose jobs have not come."""
        for key, since_s in list(self._ended_s.items()):
            if now_s - since_s > _UNCLAIMED_END_S:
                del self._ended_s[key]

    def take_due(
        self, workers: typing.Container[str], now_s: float
    ) -> list[tuple[_records.TaskKey, Orphan]]:
        """Return the runs to stop now; each is due again after the grace.

        :param workers: workers that are known; runs on others are forgotten
        """
        due = []
        for key, orphan in list(self._orphans.items()):
            if orphan.worker_id not in workers:
                del self._orphans[key]
            elif now_s - orphan.since_s > _ORPHAN_GRACE_S:
                self._orphans[key] = orphan._replace(since_s=now_s)
                due.append((key, orphan))
        return due
