import bisect
import heapq
import math
import typing

from orioleloom.dispatch import _workers

# A run that takes longer than expected is assumed to take this share of its
# expected time from now on. With the spread of declared run times (0.4), runs
# that have reached their expected time take 0.38 of it on average.
_MIN_REMAINING_SHARE = 0.3
# Workers whose run times differ by a factor of up to exp(0.5) are one class.
_CLASSES_PER_LOG_RATIO = 2
_MAX_CLASS = 3


def _class_of(worker: _workers.Worker) -> int:
    number = round(_CLASSES_PER_LOG_RATIO * worker.log_run_time_ratio)
    return min(max(number, -_MAX_CLASS), _MAX_CLASS)


def _expected_end_s(run: _workers.Run, ratio: float, now_s: float) -> float:
    if run.is_stopping or run.expected_s == math.inf:
        # It may end at any time.
        return now_s
    expected_s = run.expected_s * ratio
    remaining_s = run.started_s + expected_s - now_s
    return now_s + max(remaining_s, _MIN_REMAINING_SHARE * expected_s)


class _SpeedClass:
    """Room for tasks on workers of about the same speed.

    :param ratio: lowest run time relative to speed 1 of these workers
    :param free_s: heap of the times at which room for a task becomes free
    """

    __slots__ = ('free_s', 'ratio')

    def __init__(self) -> None:
        self.ratio = math.inf
        self.free_s: list[float] = []


class Forecast:
    """Forecasts when waiting tasks of an upstream start.

    Waiting tasks are assigned one after the other to the room that is free or
    becomes free first when the present runs end. Labels, memory and limits
    per worker are not considered, so that tasks may start later than this,
    but hardly earlier.

    :param cpu_millicores: what a waiting task takes, on average
    """

    def __init__(
        self,
        workers: typing.Iterable[_workers.Worker],
        cpu_millicores: float,
        now_s: float,
    ):
        self.now_s = now_s
        classes: dict[int, _SpeedClass] = {}
        # Work that the workers do per second: tasks at once, times speed.
        self.capacity = 0.0
        for worker in workers:
            if not worker.is_usable() or worker.n_suspensions:
                continue
            speed_class = classes.setdefault(_class_of(worker), _SpeedClass())
            ratio = worker.run_time_ratio()
            speed_class.ratio = min(speed_class.ratio, ratio)
            self._add_room(worker, ratio, cpu_millicores, speed_class.free_s)
        self._classes = [c for _, c in sorted(classes.items()) if c.free_s]
        for speed_class in self._classes:
            heapq.heapify(speed_class.free_s)
        # When the first room of each class is free for a job, by the order of
        # the jobs on time.
        self._keys: list[float] = [-math.inf]
        self._heads: list[list[float]] = [self._current_heads()]
        # Work that has come since, by the same order.
        self._added: list[tuple[float, float]] = []
        self._added_total = 0.0
        self._added_late = 0.0
        self._last_heads = self._heads[0]

    def _add_room(
        self,
        worker: _workers.Worker,
        ratio: float,
        cpu_millicores: float,
        free_s: list[float],
    ) -> None:
        """Add when room for a task becomes free on a worker."""
        ends = sorted(
            (_expected_end_s(run, ratio, self.now_s), run.room.cpu_millicores)
            for run in worker.runs.values()
        )
        room = 0.0
        for end_s, freed in [
            (self.now_s, worker.free.cpu_millicores),
            *ends,
        ]:
            room += freed
            while room >= cpu_millicores:
                room -= cpu_millicores
                free_s.append(end_s)
                self.capacity += 1 / ratio

    def _current_heads(self) -> list[float]:
        return [c.free_s[0] for c in self._classes]

    def has_room(self) -> bool:
        """Return whether any worker can ever take a task."""
        return bool(self._classes)

    def latest_starts(
        self, run_s: float, end_by_s: float, optimism: float, now_s: float
    ) -> list[float]:
        """Return until when a start is of use, for each class of workers.

        :param run_s: expected run time of a job at speed 1
        :param end_by_s: when the job must have ended
        :param optimism: waits are assumed to be this multiple of the forecast
        """
        return [
            now_s + (end_by_s - now_s - run_s * c.ratio) / optimism
            for c in self._classes
        ]

    def assign_tasks(
        self, n_tasks: int, task_s: float, latest_s: list[float]
    ) -> float | None:
        """Assign the tasks of a job to the first useful room.

        :param task_s: expected run time of one of them at speed 1
        :param latest_s: see :meth:`latest_starts`
        :returns: start of the first task, or ``None`` if there is no use
        """
        first_s: float | None = None
        for _ in range(n_tasks):
            best: _SpeedClass | None = None
            best_s = math.inf
            for speed_class, limit_s in zip(
                self._classes, latest_s, strict=True
            ):
                free_s = speed_class.free_s[0]
                if free_s < best_s and free_s <= limit_s:
                    best, best_s = speed_class, free_s
            if best is None:
                break
            if first_s is None:
                first_s = best_s
            heapq.heapreplace(best.free_s, best_s + task_s * best.ratio)
        return first_s

    def record_position(self, key: float) -> None:
        """Record the state after all jobs up to a place in the order.

        :param key: latest start of the job that was assigned last
        """
        self._keys.append(key)
        self._heads.append(self._current_heads())

    def end_queue(self) -> None:
        """Record that all jobs are assigned that can end on time."""
        self._last_heads = self._current_heads()

    def add_work(self, key: float, work_s: float) -> None:
        """Add the work of a job that has arrived since the forecast."""
        self._added.append((key, work_s))
        self._added_total += work_s

    def add_late_work(self, work_s: float) -> None:
        """Add the work of a late job that has arrived since the forecast."""
        self._added_late += work_s

    def start_on_time(
        self, key: float, latest_s: list[float], now_s: float
    ) -> float | None:
        """Return when a new job can start that may end on time.

        :param key: its latest start, which gives its place in the order
        :param latest_s: see :meth:`latest_starts`
        """
        heads = self._heads[bisect.bisect_right(self._keys, key) - 1]
        added_s = sum(work_s for other, work_s in self._added if other <= key)
        return self._first_start(heads, added_s, latest_s, now_s)

    def start_late(
        self, latest_s: list[float] | None, now_s: float
    ) -> float | None:
        """Return when a job can start after all jobs on time."""
        return self._first_start(
            self._last_heads,
            self._added_total + self._added_late,
            latest_s,
            now_s,
        )

    def _first_start(
        self,
        heads: list[float],
        work_s: float,
        latest_s: list[float] | None,
        now_s: float,
    ) -> float | None:
        delay_s = work_s / self.capacity
        starts = [max(head_s + delay_s, now_s) for head_s in heads]
        if latest_s is None:
            return min(starts)
        return min(
            (
                start_s
                for start_s, limit_s in zip(starts, latest_s, strict=True)
                if start_s <= limit_s
            ),
            default=None,
        )
