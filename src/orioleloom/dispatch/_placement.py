import itertools
import math
import typing

from orioleloom.dispatch import _capacity
from orioleloom.dispatch import _cold_workers
from orioleloom.dispatch import _crashes
from orioleloom.dispatch import _interference
from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _locality
from orioleloom.dispatch import _ordering
from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers

# Time from the decision to start a task until the start arrives, plus the time
# from the end of a run until the caller has the answer, in seconds: four
# network hops of about a millisecond each.
_OVERHEAD_S = 0.006


# Workers with room that are compared to avoid interference, for each task.
_MAX_ALTERNATIVES = 16

_NO_WORKERS = _cold_workers.WorkerGroup(())


class Start(typing.NamedTuple):
    """Decision to start a task on a worker."""

    task: _jobs.TaskState
    worker: _workers.Worker


class Placement:
    """Chooses which waiting tasks start now, and on which workers.

    Jobs that can still meet their objective come first, in the order of
    ``JobOrder``. Each task goes to the fastest worker with enough free
    resources, and to a cold one if no other is fast enough or has enough. A
    job that would miss its objective on the free workers waits while a
    faster worker could still meet it.
    Jobs that can no longer meet their objective are placed only if no job
    of the first group is left waiting.

    A task under which a worker has crashed runs alone, so that it takes no
    other one with it and the cause of another crash is certain.

    :param workers: workers by id; the owner updates the dictionary
    :param crashes: tasks under which workers have crashed
    :param capacity: decides whether the free resources of a worker are certain
    :param locality: run times outside the preferred racks. If they are
        longer, a task starts in its rack if possible, or elsewhere if it is
        in time there, after the tasks that are near their data. Otherwise it
        waits for its rack until it is late.
    """

    def __init__(
        self,
        workers: dict[str, _workers.Worker],
        crashes: _crashes.CrashLedger,
        capacity: _capacity.CapacityGuard,
        locality: _locality.Locality = _locality.Locality(),
    ):
        self.workers = workers
        self.crashes = crashes
        self.capacity = capacity
        self.locality = locality
        self.order = _ordering.JobOrder()
        # Ends of runs per second, by upstream and rack.
        self._end_rates: dict[tuple[str, str], float] = {}
        # Set by the owner if it is learned.
        self.interference: _interference.Interference | None = None
        # Until when workers are cold, by id. The owner sets it.
        self.cold_until_s: typing.Mapping[str, float] = {}
        self._racks: dict[tuple[str, str], list[_workers.Worker]] = {}
        self._workers_by_upstream: dict[str, _cold_workers.WorkerGroup] = {}

    def refresh_workers(self, now_s: float) -> None:
        """Select the usable workers and sort them by speed."""
        _cold_workers.mark_cold_workers(self.workers, self.cold_until_s, now_s)
        self._workers_by_upstream = _cold_workers.group_by_upstream(
            worker for worker in self.workers.values() if worker.is_usable()
        )
        self._racks = {}
        self._end_rates = {}

    def _rack_workers(self, upstream: str, rack: str) -> list[_workers.Worker]:
        """Return the usable workers of a rack, the fastest first."""
        key = (upstream, rack)
        if key not in self._racks:
            self._racks[key] = _with_label(
                self._workers_by_upstream.get(upstream, _NO_WORKERS), rack
            )
        return self._racks[key]

    def lowest_run_time_ratio(self, job: _jobs.JobState) -> float:
        """Return the shortest run time relative to speed 1.

        It is that on the fastest worker, near or far from the data.
        """
        upstream = job.job.queue.upstream
        ratio = _lowest_run_time_ratio(
            self._workers_by_upstream.get(upstream, _NO_WORKERS)
        )
        rack = self.locality.rack_of(job.waiting)
        if rack:
            ratio *= self.locality.remote_factor
            local = self._rack_workers(upstream, rack)
            if local:
                ratio = min(ratio, _lowest_run_time_ratio(local))
        return ratio

    def find_elsewhere(
        self,
        task: _jobs.TaskState,
        current: _workers.Worker,
        limit_s: float,
        now_s: float,
    ) -> _workers.Worker | None:
        """Return another worker on which a task could start now.

        :param current: worker that is excluded
        :param limit_s: longest acceptable run time of the job's longest chain
        """
        workers = self._workers_by_upstream.get(
            task.job.job.queue.upstream, _NO_WORKERS
        )
        others = [w for w in workers if w is not current]
        usage = self._new_usage(now_s)
        rack = self.locality.rack_of([task])
        if rack:
            local = _WorkerSearch(
                _with_label(others, rack), limit_s, now_s, usage
            )
            worker = local.find_worker(task)
            if worker is not None:
                return worker
            limit_s /= self.locality.remote_factor
        search = _WorkerSearch(others, limit_s, now_s, usage)
        return search.find_worker(task)

    def _new_usage(self, now_s: float) -> '_RoundUsage':
        return _RoundUsage(
            now_s,
            self.crashes,
            self.crashes.paused_queues(len(self.workers), now_s),
            self.capacity,
            self.interference,
        )

    def choose_starts(
        self,
        waiting: list[_jobs.JobState],
        now_s: float,
        changed: typing.Collection[_workers.Worker] | None = None,
        max_starts: int | None = None,
    ) -> list[Start]:
        """Return the starts to make now.

        :param changed: workers that may have gained free resources since
            the last round. Jobs that were part of that round are tried on
            these only. ``None`` means that all jobs are tried on all
            workers.
        :param max_starts: maximum number of starts, or ``None``
        """
        limit = math.inf if max_starts is None else max_starts
        usage = self._new_usage(now_s)
        starts: list[Start] = []
        on_time: list[
            tuple[tuple[bool, bool, float], int, _jobs.JobState]
        ] = []
        late: list[tuple[float, int, _jobs.JobState]] = []
        candidates = _Candidates(self._workers_by_upstream, changed)
        lowest_ratios: dict[tuple[str, str], float] = {}
        n_on_time_waiting = 0
        for number, job in enumerate(waiting):
            if job.held_until_s > now_s:
                continue
            rack = self.locality.rack_of(job.waiting)
            key = (job.job.queue.upstream, rack)
            ratio = lowest_ratios.get(key)
            if ratio is None:
                ratio = lowest_ratios[key] = self.lowest_run_time_ratio(job)
            latest_start_s = (
                job.objective_s - _OVERHEAD_S - job.expected_s * ratio
            )
            if not candidates.workers_for(job):
                n_on_time_waiting += latest_start_s >= now_s
            elif latest_start_s >= now_s:
                rank = self.order.rank(job, latest_start_s)
                on_time.append((rank, number, job))
            else:
                late.append((job.useful_until_s, number, job))
        far: list[tuple[_jobs.JobState, list[_jobs.TaskState]]] = []
        # Jobs that cannot be whole in time. They get what the others leave.
        passed_over: list[_jobs.JobState] = []
        # Waiting tasks of started jobs, by rack.
        n_ahead: dict[str, int] = {}
        for rank, _, job in sorted(on_time):
            rack = self.locality.rack_of(job.waiting)
            limit_s = job.objective_s - now_s - _OVERHEAD_S
            search = _WorkerSearch(
                candidates.workers_for(job, rack), limit_s, now_s, usage
            )
            n_earlier = len(starts)
            n_placed = search.place_tasks(job.waiting, starts, limit)
            if len(starts) >= limit:
                return starts
            n_left = len(job.waiting) - n_placed
            if not n_left:
                continue
            if n_placed and self.order.must_pass_over(
                job,
                n_left + n_ahead.get(rack, 0),
                rank[-1] - now_s,
                self._end_rate_per_s(job.job.queue.upstream, rack),
            ):
                for start in starts[n_earlier:]:
                    usage.release(start.worker, start.task)
                del starts[n_earlier:]
                passed_over.append(job)
                continue
            if job.n_sent or n_placed:
                n_ahead[rack] = n_ahead.get(rack, 0) + n_left
            if rack:
                far.append((job, job.waiting[n_placed:]))
            else:
                n_on_time_waiting += 1
        for job, tasks in far:
            search = self._far_search(candidates, job, job.objective_s, usage)
            n_placed = search.place_tasks(tasks, starts, limit)
            if len(starts) >= limit:
                return starts
            n_on_time_waiting += n_placed < len(tasks)
        for job in passed_over:
            rack = self.locality.rack_of(job.waiting)
            limit_s = job.objective_s - now_s - _OVERHEAD_S
            search = _WorkerSearch(
                candidates.workers_for(job, rack), limit_s, now_s, usage
            )
            n_placed = search.place_tasks(job.waiting, starts, limit)
            if len(starts) >= limit:
                return starts
            n_on_time_waiting += n_placed < len(job.waiting)
        if n_on_time_waiting:
            late = []
        for _, _, job in sorted(late):
            rack = self.locality.rack_of(job.waiting)
            search = _WorkerSearch(
                candidates.workers_for(job, rack),
                math.inf,
                now_s,
                usage,
            )
            n_placed = search.place_tasks(job.waiting, starts, limit)
            if rack and n_placed < len(job.waiting):
                search = self._far_search(
                    candidates, job, job.useful_until_s, usage
                )
                search.place_tasks(job.waiting[n_placed:], starts, limit)
            if len(starts) >= limit:
                return starts
        for job in waiting:
            job.was_in_placement_round = True
        return starts

    def _end_rate_per_s(self, upstream: str, rack: str) -> float:
        """Return the rate of the ends of runs, in a rack if one is named."""
        key = (upstream, rack)
        if key not in self._end_rates:
            workers = self._workers_by_upstream.get(upstream, _NO_WORKERS)
            self._end_rates[key] = _ordering.end_rate_per_s(
                self._rack_workers(upstream, rack) if rack else workers
            )
        return self._end_rates[key]

    def _far_search(
        self,
        candidates: '_Candidates',
        job: _jobs.JobState,
        until_s: float,
        usage: '_RoundUsage',
    ) -> '_WorkerSearch':
        """Return a search for workers outside the rack of a job.

        :param until_s: when the run must have ended
        """
        limit_s = until_s - usage.now_s - _OVERHEAD_S
        return _WorkerSearch(
            candidates.workers_for(job),
            limit_s / self.locality.remote_factor,
            usage.now_s,
            usage,
        )


class _Candidates:
    """Workers on which the jobs of one round are tried.

    :param workers_by_upstream: all usable workers, the fastest first
    :param changed: see :meth:`Placement.choose_starts`
    """

    def __init__(
        self,
        workers_by_upstream: dict[str, _cold_workers.WorkerGroup],
        changed: typing.Collection[_workers.Worker] | None,
    ):
        self._workers_by_upstream = workers_by_upstream
        # By the identity of the list of all workers, and by rack.
        self._racks: dict[tuple[int, str], list[_workers.Worker]] = {}
        self._changed_by_upstream = (
            None
            if changed is None
            else _cold_workers.group_by_upstream(
                worker
                for worker in changed
                if worker.is_usable() and worker.free.cpu_millicores > 0
            )
        )

    def workers_for(
        self, job: _jobs.JobState, rack: str = ''
    ) -> list[_workers.Worker]:
        """Return the workers for a job, the fastest first.

        :param rack: label that they must have, or empty
        """
        upstream = job.job.queue.upstream
        by_upstream = self._workers_by_upstream
        if self._changed_by_upstream is not None and (
            job.was_in_placement_round
        ):
            by_upstream = self._changed_by_upstream
        workers = by_upstream.get(upstream, _NO_WORKERS)
        if not rack:
            return workers
        key = (id(workers), rack)
        if key not in self._racks:
            self._racks[key] = _with_label(workers, rack)
        return self._racks[key]


def _with_label(
    workers: list[_workers.Worker], label: str
) -> _cold_workers.WorkerGroup:
    """Return the workers with a label, of a list or a group."""
    cold = getattr(workers, 'cold', ())
    return _cold_workers.WorkerGroup(
        worker for worker in (*workers, *cold) if label in worker.info.labels
    )


def _lowest_run_time_ratio(workers: list[_workers.Worker]) -> float:
    return workers[0].run_time_ratio() if workers else 1.0


class _RoundUsage:
    """Resources that the starts of one round have reserved.

    :param crashes: tasks under which workers have crashed
    :param paused_queues: queues whose suspects must wait
    :param capacity: see :class:`Placement`
    :param interference: see :class:`Placement`
    """

    def __init__(
        self,
        now_s: float,
        crashes: _crashes.CrashLedger,
        paused_queues: typing.Collection[str],
        capacity: _capacity.CapacityGuard,
        interference: _interference.Interference | None = None,
    ) -> None:
        self.now_s = now_s
        # None unless a pair of queues interferes.
        self.interference = (
            interference if interference and interference.log_factors else None
        )
        self._queues_started: dict[str, list[str]] = {}
        self.crashes = crashes
        self.paused_queues = paused_queues
        self.capacity = capacity
        self._suspect_worker_ids: set[str] = set()
        self._free: dict[str, _records.Resources] = {}
        self.n_started: dict[str, int] = {}
        self._n_started_by_step: dict[tuple[str, str, int], int] = {}
        # Smallest request that no worker of a list can hold, by the
        # identity of the list.
        self._unplaceable: dict[int, _records.Resources] = {}

    def is_known_unplaceable(
        self, workers: list[_workers.Worker], room: _records.Resources
    ) -> bool:
        """Return whether an equal or smaller request did not fit before.

        The result holds for the whole round, in which free resources only
        shrink.
        """
        smallest = self._unplaceable.get(id(workers))
        return smallest is not None and room.can_fit(smallest)

    def set_unplaceable(
        self, workers: list[_workers.Worker], room: _records.Resources
    ) -> None:
        """Record that no worker of a list can hold a request."""
        smallest = self._unplaceable.get(id(workers))
        if smallest is None or smallest.can_fit(room):
            self._unplaceable[id(workers)] = room

    def n_of_same_step(
        self, task: _jobs.TaskState, worker: _workers.Worker
    ) -> int:
        """Return the number of tasks of the same step on a worker."""
        key = task.key
        running = sum(
            1
            for other in worker.runs
            if other.job_id == key.job_id and other.step == key.step
        )
        return running + self._n_started_by_step.get(
            (worker.id, key.job_id, key.step), 0
        )

    def free(self, worker: _workers.Worker) -> _records.Resources:
        return self._free.get(worker.id, worker.free)

    def reserve(self, worker: _workers.Worker, task: _jobs.TaskState) -> None:
        self._free[worker.id] = self.free(worker).subtract(task.step.room)
        step = (worker.id, task.key.job_id, task.key.step)
        self._n_started_by_step[step] = (
            self._n_started_by_step.get(step, 0) + 1
        )
        self.n_started[worker.id] = self.n_started.get(worker.id, 0) + 1
        if self.interference is not None:
            self._queues_started.setdefault(worker.id, []).append(
                task.job.job.queue.name
            )
        if self.crashes.is_suspect(task.key):
            self._suspect_worker_ids.add(worker.id)

    def release(self, worker: _workers.Worker, task: _jobs.TaskState) -> None:
        """Undo a reservation."""
        self._free[worker.id] = self.free(worker).add(task.step.room)
        step = (worker.id, task.key.job_id, task.key.step)
        self._n_started_by_step[step] -= 1
        self.n_started[worker.id] -= 1
        if self.interference is not None:
            self._queues_started[worker.id].remove(task.job.job.queue.name)
        # Requests that did not fit may fit now.
        self._unplaceable.clear()

    def interference_factor(
        self, task: _jobs.TaskState, worker: _workers.Worker
    ) -> float:
        """Return how much a task and the runs of a worker slow down."""
        if self.interference is None:
            return 1.0
        neighbours = {run.queue for run in worker.runs.values()}
        neighbours.update(self._queues_started.get(worker.id, ()))
        return self.interference.mutual_factor(
            task.job.job.queue.name, neighbours
        )

    def is_empty(self, worker: _workers.Worker) -> bool:
        """Return whether a worker has no run."""
        return not worker.runs and not self.n_started.get(worker.id)

    def blocks(self, task: _jobs.TaskState, worker: _workers.Worker) -> bool:
        """Return whether a task must not join the runs of a worker."""
        return self.has_suspect(worker) or (
            self.crashes.is_suspect(task.key) and not self.is_empty(worker)
        )

    def has_suspect(self, worker: _workers.Worker) -> bool:
        """Return whether a worker has a run that may crash it."""
        return bool(self.crashes) and (
            worker.id in self._suspect_worker_ids
            or any(self.crashes.is_suspect(key) for key in worker.runs)
        )


class _WorkerSearch:
    """Searches for workers for the tasks of one job.

    :param workers: workers to try, the fastest first
    :param limit_s: longest acceptable run time, in seconds
    """

    def __init__(
        self,
        workers: list[_workers.Worker],
        limit_s: float,
        now_s: float,
        usage: _RoundUsage,
    ):
        self.workers = workers
        self.limit_s = limit_s
        self.now_s = now_s
        self.usage = usage
        # Index of the first worker that can hold a task, by step.
        self._first_fitting: dict[int, int] = {}
        # Searches the cold workers of the same upstream.
        self._cold_search: _WorkerSearch | None = None

    def place_tasks(
        self,
        tasks: list[_jobs.TaskState],
        starts: list[Start],
        max_starts: float,
    ) -> int:
        """Place waiting tasks until one does not fit.

        :param starts: list to which the starts are added
        :param max_starts: maximum length of this list
        :returns: number of tasks that were placed
        """
        for number, task in enumerate(tasks):
            if len(starts) >= max_starts:
                return number
            worker = self._find_warm_or_cold(task)
            if worker is None:
                return number
            self.usage.reserve(worker, task)
            starts.append(Start(task, worker))
        return len(tasks)

    def _find_warm_or_cold(
        self, task: _jobs.TaskState
    ) -> _workers.Worker | None:
        worker = None
        if not self.usage.is_known_unplaceable(self.workers, task.step.room):
            worker = self.find_worker(task)
        cold = getattr(self.workers, 'cold', None)
        if worker is not None or not cold:
            return worker
        if self._cold_search is None:
            self._cold_search = _WorkerSearch(
                cold, self.limit_s, self.now_s, self.usage
            )
        return self._cold_search._find_warm_or_cold(task)

    def find_worker(self, task: _jobs.TaskState) -> _workers.Worker | None:
        """Return the fastest worker that can take a task.

        Workers in the preferred rack go before faster ones elsewhere.
        """
        step = task.step
        cpu_millicores = step.room.cpu_millicores
        expected_s = task.job.expected_s
        if (
            self.usage.paused_queues
            and task.job.job.queue.name in self.usage.paused_queues
            and self.usage.crashes.is_suspect(task.key)
        ):
            return None
        position = self._first_fitting.get(task.key.step, 0)
        fallback = None
        is_first = True
        for index, worker in enumerate(
            itertools.islice(self.workers, position, None), position
        ):
            if worker.free[0] < cpu_millicores:
                continue
            if not self.usage.free(worker).can_fit(step.room):
                continue
            if is_first:
                self._first_fitting[task.key.step] = index
                is_first = False
            if expected_s * worker.run_time_ratio() > self.limit_s:
                break
            if not self._is_eligible(task, worker):
                continue
            if step.preferred_rack and (
                step.preferred_rack not in worker.info.labels
            ):
                fallback = fallback or worker
                continue
            if self.usage.interference is not None:
                return self._avoid_interference(task, worker, index)
            return worker
        if is_first and position == 0:
            self.usage.set_unplaceable(self.workers, step.room)
        return fallback

    def _avoid_interference(
        self, task: _jobs.TaskState, found: _workers.Worker, index: int
    ) -> _workers.Worker:
        """Return a worker whose runs disturb less, or the one found.

        The others are as good for the objective and the rack, and slower by
        less than the interference.

        :param index: index of the worker that was found
        """
        step = task.step
        best = found
        factor = self.usage.interference_factor(task, found)
        lowest = found.run_time_ratio() * factor
        if factor == 1.0:
            return found
        n_tried = 0
        for worker in itertools.islice(self.workers, index + 1, None):
            ratio = worker.run_time_ratio()
            if (
                ratio >= lowest
                or task.job.expected_s * ratio > self.limit_s
                or n_tried >= _MAX_ALTERNATIVES
            ):
                break
            if not self.usage.free(worker).can_fit(step.room):
                continue
            n_tried += 1
            if step.preferred_rack in ('', *worker.info.labels) and (
                self._is_eligible(task, worker)
            ):
                ratio *= self.usage.interference_factor(task, worker)
                if ratio < lowest:
                    best, lowest = worker, ratio
        return best

    def _is_eligible(
        self, task: _jobs.TaskState, worker: _workers.Worker
    ) -> bool:
        step = task.step
        if worker.id in task.excluded_worker_ids or not worker.can_start_now(
            self.now_s
        ):
            return False
        if worker.n_suspensions and self.usage.n_started.get(worker.id):
            return False
        if not self.usage.capacity.may_start(worker, self.now_s):
            return False
        if self.usage.blocks(task, worker):
            return False
        if step.required_label and (
            step.required_label not in worker.info.labels
        ):
            return False
        return not step.max_per_worker or (
            self.usage.n_of_same_step(task, worker) < step.max_per_worker
        )
