import itertools
import math
import typing

from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers

# Time from a start's order to its arrival and from the end of a run to the
# caller's answer, in seconds: four hops of about a millisecond each.
_OVERHEAD_S = 0.006


_NO_WORKERS: list[_workers.Worker] = []


class Start(typing.NamedTuple):
    """Decision to start a task on a worker."""

    task: _jobs.TaskState
    worker: _workers.Worker


class Placement:
    """Chooses which waiting tasks start now, and where.

    Jobs that can still meet their objective come first, the one that has
    to start first before the others; each task goes to the fastest worker
    with room. A job that would miss its objective on the free workers
    waits for a faster one while that can still meet it. Jobs that are too
    late for their objective get what room is left.

    :param workers: workers by id, kept up to date by the owner
    """

    def __init__(self, workers: dict[str, _workers.Worker]):
        self.workers = workers
        self._by_speed: dict[str, list[_workers.Worker]] = {}

    def sort(self) -> None:
        """Take over changes of the workers and of their speeds."""
        by_speed: dict[str, list[_workers.Worker]] = {}
        for worker in self.workers.values():
            if worker.is_usable():
                by_speed.setdefault(worker.info.upstream, []).append(worker)
        for workers in by_speed.values():
            workers.sort(key=_log_factor)
        self._by_speed = by_speed

    def fastest_factor(self, job: _jobs.JobState) -> float:
        """Return the run time on the fastest worker against speed 1."""
        return _fastest_factor(self._by_speed, job.job.queue.upstream)

    def has_room(
        self,
        task: _jobs.TaskState,
        besides: _workers.Worker,
        now_s: float,
    ) -> bool:
        """Return whether a task could start now on another worker."""
        workers = self._by_speed.get(task.job.job.queue.upstream, [])
        others = [w for w in workers if w is not besides]
        limit_s = task.job.deadline_s - now_s
        search = _Search(others, limit_s, now_s, _Taken())
        return search.pick(task) is not None

    def choose(
        self,
        waiting: list[_jobs.JobState],
        now_s: float,
        changed: typing.Collection[_workers.Worker] | None = None,
    ) -> list[Start]:
        """Return the starts to make now.

        :param changed: workers that may have more room than in the last
            round; jobs of that round look at these alone. ``None`` means
            that all jobs look at all workers.
        """
        taken = _Taken()
        starts: list[Start] = []
        on_time: list[tuple[float, int, _jobs.JobState]] = []
        late: list[tuple[float, int, _jobs.JobState]] = []
        candidates = _Candidates(self._by_speed, changed)
        n_blocked = 0
        for number, job in enumerate(waiting):
            if job.held_until_s > now_s:
                continue
            latest_s = (
                job.objective_s
                - _OVERHEAD_S
                - job.expected_s * candidates.fastest_factor(job)
            )
            if not candidates.find(job):
                n_blocked += latest_s >= now_s
            elif latest_s >= now_s:
                on_time.append((latest_s, number, job))
            else:
                late.append((job.late_until_s, number, job))
        for _, _, job in sorted(on_time):
            limit_s = job.objective_s - now_s - _OVERHEAD_S
            search = _Search(candidates.find(job), limit_s, now_s, taken)
            n_blocked += not search.place(job, starts)
        if n_blocked:
            late = []
        for _, _, job in sorted(late):
            search = _Search(candidates.find(job), math.inf, now_s, taken)
            search.place(job, starts)
        for job in waiting:
            job.was_considered = True
        return starts


class _Candidates:
    """Workers that the jobs of one round look at.

    :param by_speed: all usable workers by upstream, the fastest first
    :param changed: see :meth:`Placement.choose`
    """

    def __init__(
        self,
        by_speed: dict[str, list[_workers.Worker]],
        changed: typing.Collection[_workers.Worker] | None,
    ):
        self._by_speed = by_speed
        self._changed: dict[str, list[_workers.Worker]] | None = None
        self._factors: dict[str, float] = {}
        if changed is not None:
            self._changed = {}
            for worker in sorted(changed, key=_log_factor):
                if worker.is_usable() and worker.free.cpu_millicores > 0:
                    self._changed.setdefault(worker.info.upstream, []).append(
                        worker
                    )

    def find(self, job: _jobs.JobState) -> list[_workers.Worker]:
        """Return the workers for a job, the fastest first."""
        upstream = job.job.queue.upstream
        if self._changed is None or not job.was_considered:
            return self._by_speed.get(upstream, _NO_WORKERS)
        return self._changed.get(upstream, _NO_WORKERS)

    def fastest_factor(self, job: _jobs.JobState) -> float:
        """Return the run time on the fastest worker against speed 1."""
        upstream = job.job.queue.upstream
        factor = self._factors.get(upstream)
        if factor is None:
            factor = _fastest_factor(self._by_speed, upstream)
            self._factors[upstream] = factor
        return factor


def _log_factor(worker: _workers.Worker) -> float:
    return worker.log_factor


def _fastest_factor(
    by_speed: dict[str, list[_workers.Worker]], upstream: str
) -> float:
    workers = by_speed.get(upstream)
    return workers[0].factor() if workers else 1.0


class _Taken:
    """Room given away by the starts of one round."""

    def __init__(self) -> None:
        self._rooms: dict[str, _records.Room] = {}
        self.n_runs: dict[str, int] = {}
        self._n_of_step: dict[tuple[str, str, int], int] = {}
        # Least room that no worker of a list has, by the list's identity.
        self._no_room: dict[int, _records.Room] = {}

    def is_known_full(
        self, workers: list[_workers.Worker], room: _records.Room
    ) -> bool:
        """Return whether a task of at most this room found no place.

        Room only shrinks during a round.
        """
        least = self._no_room.get(id(workers))
        return least is not None and room.holds(least)

    def set_full(
        self, workers: list[_workers.Worker], room: _records.Room
    ) -> None:
        """Take note that no worker of a list has so much room."""
        least = self._no_room.get(id(workers))
        if least is None or least.holds(room):
            self._no_room[id(workers)] = room

    def n_beside(self, task: _jobs.TaskState, worker: _workers.Worker) -> int:
        """Return the number of tasks of the same step on a worker."""
        key = task.key
        running = sum(
            1
            for other in worker.runs
            if other.job_id == key.job_id and other.step == key.step
        )
        return running + self._n_of_step.get(
            (worker.id, key.job_id, key.step), 0
        )

    def free(self, worker: _workers.Worker) -> _records.Room:
        return self._rooms.get(worker.id, worker.free)

    def take(self, worker: _workers.Worker, task: _jobs.TaskState) -> None:
        self._rooms[worker.id] = self.free(worker).minus(task.step.room)
        step = (worker.id, task.key.job_id, task.key.step)
        self._n_of_step[step] = self._n_of_step.get(step, 0) + 1
        self.n_runs[worker.id] = self.n_runs.get(worker.id, 0) + 1


class _Search:
    """Looks for places for the tasks of one job.

    :param workers: the fastest first
    :param limit_s: run time that is still of use, in seconds
    """

    def __init__(
        self,
        workers: list[_workers.Worker],
        limit_s: float,
        now_s: float,
        taken: _Taken,
    ):
        self.workers = workers
        self.limit_s = limit_s
        self.now_s = now_s
        self.taken = taken
        # Workers before this position have no room, by step.
        self._positions: dict[int, int] = {}

    def place(self, job: _jobs.JobState, starts: list[Start]) -> bool:
        """Place waiting tasks; return whether all found a place."""
        for task in job.waiting:
            if self.taken.is_known_full(self.workers, task.step.room):
                return False
            worker = self.pick(task)
            if worker is None:
                return False
            self.taken.take(worker, task)
            starts.append(Start(task, worker))
        return True

    def pick(self, task: _jobs.TaskState) -> _workers.Worker | None:
        """Return the fastest worker that can take a task."""
        step = task.step
        cpu_millicores = step.room.cpu_millicores
        expected_s = task.job.expected_s
        position = self._positions.get(task.key.step, 0)
        fallback = None
        is_first = True
        for index, worker in enumerate(
            itertools.islice(self.workers, position, None), position
        ):
            if worker.free[0] < cpu_millicores:
                continue
            if not self.taken.free(worker).holds(step.room):
                continue
            if is_first:
                self._positions[task.key.step] = index
                is_first = False
            if expected_s * worker.factor() > self.limit_s:
                break
            if not self._suits(task, worker):
                continue
            if step.preferred_rack and (
                step.preferred_rack not in worker.info.labels
            ):
                fallback = fallback or worker
                continue
            return worker
        if is_first and position == 0:
            self.taken.set_full(self.workers, step.room)
        return fallback

    def _suits(self, task: _jobs.TaskState, worker: _workers.Worker) -> bool:
        step = task.step
        if worker.id in task.avoided or not worker.can_take(self.now_s):
            return False
        if worker.n_suspensions and self.taken.n_runs.get(worker.id):
            return False
        if step.required_label and (
            step.required_label not in worker.info.labels
        ):
            return False
        return not step.max_per_worker or (
            self.taken.n_beside(task, worker) < step.max_per_worker
        )
