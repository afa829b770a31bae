import sys
import typing

from orioleloom.dispatch import _cold_times
from orioleloom.dispatch import _records

# Version of a list of workers that is not known.
UNKNOWN_VERSION = -1
# How long the departure of a worker from the list is kept. A worker without
# contact to the store is removed from the list and may still run tasks;
# network partitions commonly last some seconds.
DEPARTURE_RETENTION_S = 30.0


class Departure(typing.NamedTuple):
    """A worker that has left the list.

    :param version: version of the list that first lacked it, or a later one
    :param noticed_s: when that was noticed
    """

    info: _records.WorkerInfo
    version: int
    noticed_s: float


class WorkerListState(typing.NamedTuple):
    """Which versions of the list of workers an instance knows.

    :param version: version of the store that the list shows
    :param changed_version: version at which the list has last changed
    :param departures: workers that have left the list recently, by id
    :param complete_since: every departure after this version is among them
    :param exact_since: first version of the store of which this is known to
        be the list
    :param earlier_lists: the lists before it, each by the first and the last
        version of the store of which it was known to be the list; their
        workers are in the present list or among the departures
    """

    version: int = 0
    changed_version: int = 0
    departures: typing.Mapping[str, Departure] = {}
    complete_since: int = 0
    exact_since: int = sys.maxsize
    earlier_lists: tuple[tuple[int, int], ...] = ()

    def has_known(self, used: 'ListInUse') -> bool:
        """Return whether all listed workers that others use are known.

        Either every departure since their list is known, or their list was
        the own one before: they have the list of all versions from its last
        change to the newest that they have confirmed.
        """
        if (
            self.complete_since <= used.confirmed_version
            and used.changed_version <= self.version
        ):
            return True
        if used.changed_version < 0:
            return False
        own = (self.exact_since, self.version)
        return any(
            first <= used.confirmed_version and used.changed_version <= last
            for first, last in (*self.earlier_lists, own)
            if first <= last
        )


class ListInUse(typing.NamedTuple):
    """What an instance knows about the workers that dispatchers use.

    :param confirmed_version: all of them know which workers were removed from
        the list up to this version; ``UNKNOWN_VERSION`` if it is not known
    :param changed_version: none of them uses a worker that was added later
    :param unlisted_worker_ids: workers with runs that are not in these lists
    :param unused_worker_ids: workers in all of these lists that do not
        respond and get no further runs before that is announced
    :param uncertain_job_ids: jobs with runs on such workers, or that may have
        runs on any worker
    """

    confirmed_version: int = UNKNOWN_VERSION
    changed_version: int = UNKNOWN_VERSION
    unlisted_worker_ids: frozenset[str] = frozenset()
    unused_worker_ids: frozenset[str] = frozenset()
    uncertain_job_ids: frozenset[str] = frozenset()

    def merge(self, other: 'ListInUse') -> 'ListInUse':
        """Return what is known of the workers that either one uses."""
        return ListInUse(
            min(self.confirmed_version, other.confirmed_version),
            max(self.changed_version, other.changed_version),
            self.unlisted_worker_ids | other.unlisted_worker_ids,
            self.unused_worker_ids & other.unused_worker_ids,
            self.uncertain_job_ids | other.uncertain_job_ids,
        )

    def add_uncertain_jobs(
        self, job_ids: typing.Collection[str]
    ) -> 'ListInUse':
        """Return what is known if further jobs may have runs."""
        return self._replace(
            uncertain_job_ids=self.uncertain_job_ids | frozenset(job_ids)
        )


# Used where no earlier dispatcher is known: the listed workers count.
LISTED_WORKERS = ListInUse(sys.maxsize, 1)


class WorkerListTracker:
    """An instance's copy of the list of workers, with its departures."""

    def __init__(self) -> None:
        self.workers: dict[str, _records.WorkerInfo] = {}
        self.cold = _cold_times.ColdTimes()
        self.version = 0
        self.changed_version = 0
        self._departures: dict[str, Departure] = {}
        self._complete_since = 0
        # Departures up to this version have been dropped.
        self._dropped_version = 0
        self._exact_since = sys.maxsize
        # First version, last version and time of the end of earlier lists.
        self._earlier_lists: list[tuple[int, int, float]] = []

    def update(
        self,
        workers: typing.Mapping[str, _records.WorkerInfo],
        version: int,
        *,
        changed_version: int | None = None,
        removed_versions: typing.Mapping[str, int] = {},
        complete_since: int,
        is_exact: bool = False,
        now_s: float,
    ) -> bool:
        """Replace the copy by a newer one.

        :param version: version of the store that ``workers`` shows
        :param changed_version: version at which the list has last changed,
            if that is known
        :param removed_versions: versions at which workers were removed, as
            far as they are known
        :param complete_since: every worker removed after this version was in
            the copy or is in ``removed_versions``
        :param is_exact: whether ``workers`` is the list at ``version``
        :returns: whether the list has changed
        """
        if changed_version is None:
            changed_version = version
            # A list of another instance has no cold times.
            self.cold.update(workers, now_s)
        workers = _cold_times.without_cold_times(workers)
        earlier = (self._exact_since, self.version, now_s)
        self.version = version
        self._complete_since = complete_since
        self._drop_old_departures(now_s)
        if workers == self.workers:
            if is_exact:
                self._exact_since = min(self._exact_since, version)
            return False
        self._earlier_lists.append(earlier)
        self._exact_since = version if is_exact else sys.maxsize
        for worker_id, info in self.workers.items():
            if worker_id not in workers:
                self._departures[worker_id] = Departure(
                    info,
                    removed_versions.get(worker_id, changed_version),
                    now_s,
                )
        for worker_id in workers:
            self._departures.pop(worker_id, None)
        self.workers = workers
        self.changed_version = changed_version
        return True

    def entries_for_peers(self) -> dict[str, typing.Any]:
        """Return the list without the field that earlier builds reject."""
        return {
            worker_id: tuple(info)[
                : _records.WorkerInfo._fields.index('cold_s')
            ]
            for worker_id, info in self.workers.items()
        }

    def confirm(self, version: int) -> None:
        """Record that the list is unchanged at a later version."""
        self.version = max(self.version, version)

    def _drop_old_departures(self, now_s: float) -> None:
        for worker_id, departure in list(self._departures.items()):
            if now_s - departure.noticed_s > DEPARTURE_RETENTION_S:
                del self._departures[worker_id]
                self._dropped_version = max(
                    self._dropped_version, departure.version
                )
        # Departures since then may have been dropped.
        self._earlier_lists = [
            entry
            for entry in self._earlier_lists
            if now_s - entry[2] <= DEPARTURE_RETENTION_S
        ]

    def state(self) -> WorkerListState:
        """Return which versions of the list are known."""
        return WorkerListState(
            self.version,
            self.changed_version,
            dict(self._departures),
            max(self._complete_since, self._dropped_version),
            self._exact_since,
            tuple((first, last) for first, last, _ in self._earlier_lists),
        )
