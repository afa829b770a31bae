import math
import typing

from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers

# Time from a start's order to its arrival and from the end of a run to the
# caller's answer, in seconds: four hops of about a millisecond each.
_OVERHEAD_S = 0.006


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
            by_speed.setdefault(worker.info.upstream, []).append(worker)
        for workers in by_speed.values():
            workers.sort(key=_log_factor)
        self._by_speed = by_speed

    def fastest_factor(self, job: _jobs.JobState) -> float:
        """Return the run time on the fastest worker against speed 1."""
        workers = self._by_speed.get(job.job.queue.upstream)
        return workers[0].factor() if workers else 1.0

    def has_room(
        self,
        task: _jobs.TaskState,
        besides: _workers.Worker,
        now_s: float,
    ) -> bool:
        """Return whether a task could start now on another worker."""
        workers = self._by_speed.get(task.job.job.queue.upstream, [])
        others = [w for w in workers if w is not besides and w.can_take(now_s)]
        limit_s = task.job.deadline_s - now_s
        return _pick(task, others, limit_s, now_s, _Taken()) is not None

    def choose(
        self, waiting: list[_jobs.JobState], now_s: float
    ) -> list[Start]:
        """Return the starts to make now."""
        open_workers = {
            upstream: [w for w in workers if w.can_take(now_s)]
            for upstream, workers in self._by_speed.items()
        }
        taken = _Taken()
        starts: list[Start] = []
        on_time: list[tuple[float, int, _jobs.JobState]] = []
        late: list[tuple[float, int, _jobs.JobState]] = []
        for number, job in enumerate(waiting):
            if job.held_until_s > now_s:
                continue
            latest_s = (
                job.objective_s
                - _OVERHEAD_S
                - (job.expected_s * self.fastest_factor(job))
            )
            if latest_s >= now_s:
                on_time.append((latest_s, number, job))
            else:
                late.append((job.late_until_s, number, job))
        n_blocked = 0
        for _, _, job in sorted(on_time):
            workers = open_workers.get(job.job.queue.upstream, [])
            limit = job.objective_s - now_s - _OVERHEAD_S
            if not _fill(job, workers, limit, now_s, taken, starts):
                n_blocked += 1
        if n_blocked:
            return starts
        for _, _, job in sorted(late):
            workers = open_workers.get(job.job.queue.upstream, [])
            _fill(job, workers, math.inf, now_s, taken, starts)
        return starts


def _log_factor(worker: _workers.Worker) -> float:
    return worker.log_factor


class _Taken:
    """Room given away by the starts of one round."""

    def __init__(self) -> None:
        self._rooms: dict[str, _records.Room] = {}
        self.n_runs: dict[str, int] = {}
        self._n_of_step: dict[tuple[str, str, int], int] = {}

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


def _fill(
    job: _jobs.JobState,
    workers: list[_workers.Worker],
    limit_s: float,
    now_s: float,
    taken: _Taken,
    starts: list[Start],
) -> bool:
    """Place waiting tasks of a job; return whether all found a place."""
    for task in job.waiting:
        worker = _pick(task, workers, limit_s, now_s, taken)
        if worker is None:
            return False
        taken.take(worker, task)
        starts.append(Start(task, worker))
    return True


def _pick(
    task: _jobs.TaskState,
    workers: list[_workers.Worker],
    limit_s: float,
    now_s: float,
    taken: _Taken,
) -> _workers.Worker | None:
    step = task.step
    fallback = None
    for worker in workers:
        if not taken.free(worker).holds(step.room):
            continue
        if task.job.expected_s * worker.factor() > limit_s:
            # The workers are sorted by speed.
            break
        if worker.id in task.avoided:
            continue
        if worker.n_suspensions and taken.n_runs.get(worker.id):
            continue
        if step.required_label and (
            step.required_label not in worker.info.labels
        ):
            continue
        if step.max_per_worker and (
            taken.n_beside(task, worker) >= step.max_per_worker
        ):
            continue
        if step.preferred_rack and (
            step.preferred_rack not in worker.info.labels
        ):
            fallback = fallback or worker
            continue
        return worker
    return fallback
