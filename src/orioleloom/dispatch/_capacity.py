import math

from orioleloom.dispatch import _workers

# A list of workers that was read longer ago may show more capacity than a
# worker has now. The platform allows 4.5 s for a change of capacity to arrive.
_MAX_LIST_AGE_S = 4.0


class CapacityGuard:
    """Protects workers that do not reject what exceeds their capacity.

    Others reject it, so that a wrong belief costs one request. These get a
    start only while all their runs and their present capacity are known.

    :param unguarded_upstreams: groups of workers that reject nothing
    :param list_read_s: when the list of workers was last known to be current
    """

    def __init__(self) -> None:
        self.unguarded_upstreams: frozenset[str] = frozenset()
        self.list_read_s = -math.inf

    def may_start(self, worker: _workers.Worker, now_s: float) -> bool:
        """Return whether the free resources of a worker are certain."""
        if worker.info.upstream not in self.unguarded_upstreams:
            return True
        return (
            not worker.has_unknown_runs
            and worker.listed_life in (0, worker.info.life)
            and now_s - self.list_read_s <= _MAX_LIST_AGE_S
        )
