import typing

from orioleloom.dispatch import _records


class ColdTimes:
    """Times until which workers are cold, from their entries in the list.

    An entry states the time that remains, so that it differs with each write.
    The times that are derived here do not change with it, and a copy of the
    list is compared without it.
    """

    def __init__(self) -> None:
        # By worker id.
        self.until_s: dict[str, float] = {}
        self._remaining_s: dict[str, float] = {}

    def update(
        self, workers: typing.Mapping[str, _records.WorkerInfo], now_s: float
    ) -> None:
        """Update the times from a copy of the list."""
        until_s: dict[str, float] = {}
        remaining_s: dict[str, float] = {}
        for worker_id, info in workers.items():
            if not info.cold_s:
                continue
            remaining_s[worker_id] = info.cold_s
            earlier_s = self.until_s.get(worker_id, now_s)
            until_s[worker_id] = now_s + info.cold_s
            if info.cold_s == self._remaining_s.get(worker_id):
                # The entry was not written since.
                until_s[worker_id] = earlier_s
            elif info.cold_s < self._remaining_s.get(worker_id, 0.0) and (
                earlier_s > now_s
            ):
                # The copy may show an entry that was written seconds ago.
                until_s[worker_id] = min(earlier_s, until_s[worker_id])
        self.until_s, self._remaining_s = until_s, remaining_s


def without_cold_times(
    workers: typing.Mapping[str, _records.WorkerInfo],
) -> dict[str, _records.WorkerInfo]:
    """Return a list of workers that is comparable with others."""
    return {
        worker_id: info._replace(cold_s=0.0) if info.cold_s else info
        for worker_id, info in workers.items()
    }
