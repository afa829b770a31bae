"""Racks as failure domains."""

import typing

from orioleloom.placement import _worker


class Racks:
    """Workers of each rack and which of them are unreachable.

    A rack is suspect if at least half of its workers are unreachable.
    """

    def __init__(self) -> None:
        self._members: dict[str, dict[str, _worker.Worker]] = {}
        self._unreachable: dict[str, set[str]] = {}

    def set_rack(self, worker: _worker.Worker, rack: str) -> None:
        """Assign a worker to a rack; an empty name means no rack."""
        if worker.rack:
            del self._members[worker.rack][worker.id]
            self._unreachable[worker.rack].discard(worker.id)
        worker.rack = rack
        if rack:
            self._members.setdefault(rack, {})[worker.id] = worker
            self._unreachable.setdefault(rack, set())

    def workers(self, rack: str) -> typing.Iterable[_worker.Worker]:
        """Return the workers of a rack."""
        return self._members.get(rack, {}).values()

    def set_reachable(self, worker: _worker.Worker, reachable: bool) -> bool:
        """Record whether a worker answered.

        :returns: whether the rack may have become suspect or ceased to be
        """
        unreachable = self._unreachable.get(worker.rack)
        if unreachable is None:
            return False
        if not reachable:
            unreachable.add(worker.id)
            return True
        if not unreachable:
            return False
        was_suspect = self.is_rack_suspect(worker)
        if was_suspect:
            # One answer shows that the network of the rack works again.
            unreachable.clear()
        unreachable.discard(worker.id)
        return was_suspect

    def is_rack_suspect(self, worker: _worker.Worker) -> bool:
        """Return whether the worker's rack is suspect."""
        unreachable = self._unreachable.get(worker.rack)
        if not unreachable:
            return False
        return 2 * len(unreachable) >= len(self._members[worker.rack])
