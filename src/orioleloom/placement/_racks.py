"""Racks as failure domains."""

import typing

from orioleloom.placement import _worker


class Racks:
    """Workers of each rack and which of them do not answer."""

    def __init__(self) -> None:
        self._members: dict[str, dict[str, _worker.Worker]] = {}
        self._unreachable: dict[str, set[str]] = {}

    def move(self, worker: _worker.Worker, rack: str) -> None:
        """Put a worker in a rack; an empty name means no rack."""
        if worker.rack:
            del self._members[worker.rack][worker.id]
            self._unreachable[worker.rack].discard(worker.id)
        worker.rack = rack
        if rack:
            self._members.setdefault(rack, {})[worker.id] = worker
            self._unreachable.setdefault(rack, set())

    def members(self, rack: str) -> typing.Iterable[_worker.Worker]:
        """Return the workers of a rack."""
        return self._members.get(rack, {}).values()

    def set_reachable(self, worker: _worker.Worker, reachable: bool) -> bool:
        """Record whether a worker answered.

        :returns: whether this changed what is known of the rack
        """
        unreachable = self._unreachable.get(worker.rack)
        if unreachable is None:
            return False
        if not reachable:
            unreachable.add(worker.id)
            return True
        if not unreachable:
            return False
        was_doubtful = self.is_doubtful(worker)
        if was_doubtful:
            # One answer shows that the rack's network works again.
            unreachable.clear()
        unreachable.discard(worker.id)
        return was_doubtful

    def is_doubtful(self, worker: _worker.Worker) -> bool:
        """Tell whether half of the worker's rack does not answer."""
        unreachable = self._unreachable.get(worker.rack)
        if not unreachable:
            return False
        return 2 * len(unreachable) >= len(self._members[worker.rack])
