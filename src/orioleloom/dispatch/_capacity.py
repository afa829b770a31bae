import math

from orioleloom.dispatch import _workers

# A list of workers that was read longer ago may show more capacity than a
# worker has now. The platform allows 4.5 s for a change of capacity to arrive,
# and a worker may write it only with its next heartbeat, 1.5 s later.
_MAX_LIST_AGE_S = 2.5


class CapacityGuard:
    """Protects workers that do not reject what exceeds their capacity.

    Others reject it, so that a wrong belief costs one request. These get a
    start only while all their runs and their present capacity are known.

    :param unguarded_upstreams: groups of workers that reject nothing;
        ``None`` without a configuration, when any worker may be one of them
    :param list_read_s: when the list of workers was last known to be current
    :param token_raised_s: when the fencing token was last raised. Until then
        another dispatcher may have started runs.
    """

    def __init__(self) -> None:
        self.unguarded_upstreams: frozenset[str] | None = frozenset()
        self.list_read_s = -math.inf
        self.token_raised_s = -math.inf

    def is_unguarded(self, worker: _workers.Worker) -> bool:
        """Return whether a worker may run more than it can hold."""
        return (
            self.unguarded_upstreams is None
            or worker.info.upstream in self.unguarded_upstreams
        )

    def needs_report(self, worker: _workers.Worker) -> bool:
        """Return whether a worker must report with the present token."""
        return (
            self.is_unguarded(worker)
            and worker.is_listed
            and worker.confirmed_s < self.token_raised_s
        )

    def may_start(self, worker: _workers.Worker, now_s: float) -> bool:
        """Return whether the free resources of a worker are certain."""
        return not self.is_unguarded(worker) or (
            not worker.has_unknown_runs
            and not self.needs_report(worker)
            and worker.listed_life in (0, worker.info.life)
            and now_s - self.list_read_s <= _MAX_LIST_AGE_S
        )
