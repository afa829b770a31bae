import collections
import typing

from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _workers


class Backlog:
    """Counts the waiting tasks for which workers have room.

    The others wait for the ends of runs, not for the dispatcher. If they
    counted, the tasks of a few large jobs would be its backlog for as long as
    they run, and small jobs of other upstreams would be refused.
    """

    def __init__(self) -> None:
        # Room that the latest count has left to tasks that come later, by
        # upstream.
        self._free_places: dict[str, int] = {}

    def count(
        self,
        jobs: typing.Iterable[_jobs.JobState],
        workers: typing.Iterable[_workers.Worker],
    ) -> int:
        """Return the number of waiting tasks that could start now."""
        n_waiting: collections.Counter[str] = collections.Counter()
        least_cpu: dict[str, int] = {}
        for job in jobs:
            if job.waiting:
                upstream = job.job.queue.upstream
                n_waiting[upstream] += len(job.waiting)
                cpu = max(1, job.waiting[0].step.room.cpu_millicores)
                least_cpu[upstream] = min(cpu, least_cpu.get(upstream, cpu))
        places = dict.fromkeys(n_waiting, 0)
        for worker in workers:
            upstream = worker.info.upstream
            if upstream in places and worker.is_usable():
                free_cpu = max(0, worker.free.cpu_millicores)
                places[upstream] += free_cpu // least_cpu[upstream]
        n_startable = 0
        for upstream, n_places in places.items():
            n = min(n_places, n_waiting[upstream])
            places[upstream] = n_places - n
            n_startable += n
        self._free_places = places
        return n_startable

    def count_new(self, job: _jobs.JobState) -> int:
        """Return how many tasks of a new job could start now."""
        upstream = job.job.queue.upstream
        n = len(job.waiting)
        if upstream in self._free_places:
            n = min(n, self._free_places[upstream])
            self._free_places[upstream] -= n
        return n
