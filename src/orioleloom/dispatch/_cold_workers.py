import typing

from orioleloom.dispatch import _workers


def mark_cold_workers(
    workers: typing.Mapping[str, _workers.Worker],
    until_s: typing.Mapping[str, float],
    now_s: float,
) -> None:
    """Mark the workers that are cold now.

    :param until_s: see ``ColdTimes.until_s``
    """
    for worker in workers.values():
        worker.set_in_cold_time(now_s < until_s.get(worker.id, 0.0))


class WorkerGroup(list[_workers.Worker]):
    """Workers of an upstream, the fastest first.

    :ivar cold: workers that are tried after these. If all workers are cold,
        they are tried like others.
    """

    def __init__(self, workers: typing.Iterable[_workers.Worker]):
        ranked = sorted(workers, key=lambda w: w.log_run_time_ratio)
        warm = [worker for worker in ranked if not worker.is_cold()]
        super().__init__(warm or ranked)
        self.cold = [w for w in ranked if w.is_cold()] if warm else []


def group_by_upstream(
    workers: typing.Iterable[_workers.Worker],
) -> dict[str, WorkerGroup]:
    """Return workers by upstream."""
    by_upstream: dict[str, list[_workers.Worker]] = {}
    for worker in workers:
        by_upstream.setdefault(worker.info.upstream, []).append(worker)
    return {
        upstream: WorkerGroup(group) for upstream, group in by_upstream.items()
    }
