import collections
import dataclasses
import math
import typing

from orioleloom.dispatch import _forecast
from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _placement
from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers

# Reason of the outcome of a job that cannot end in time.
NO_CAPACITY = 'no capacity in time'

# Interval between forecasts while jobs wait. A forecast takes time in
# proportion to the runs and the waiting tasks.
_FORECAST_INTERVAL_S = 0.1
# A forecast that is older, as after a pause of the process, is not used.
_MAX_FORECAST_AGE_S = 0.3
# A job is refused only if it could not be served even if it had to wait for
# this share of the expected wait only.
_OPTIMISM = 0.8
# Forecasts leave out tasks that do not fit together, repeated runs and newer
# jobs that must start earlier. The ratio of actual to forecast waits corrects
# them: an average of about the last 50 jobs, of at most this value. Jobs that
# never start do not count, so that it is too low rather than too high.
_MAX_WAIT_RATIO = 2.0
_RATIO_WEIGHT = 0.02
# Jobs count as if this time had been forecast exactly, so that a few short
# waits do not change the ratio.
_MIN_FORECAST_WAIT_S = 0.02
# The load is the lowest of so many consecutive periods, each of so many
# intervals between forecasts. An overload thus counts as sustained once it has
# lasted for about a second, and as over after 0.3 s.
_N_LOAD_PERIODS = 3
_INTERVALS_PER_PERIOD = 3
# Late jobs wait while newer ones are on time: longer than the present queue by
# the factor 1 / (1 - load), at most by this factor.
_MAX_LATE_FACTOR = 20.0
# Time from the decision to start a task until the start arrives, plus the time
# from the end of a run until the caller has the answer, as in the placement.
_OVERHEAD_S = 0.006
# A new dispatcher refuses nothing for this time, in which it learns the load
# and which workers there are.
_LEARNING_S = 1.0
_LOG_INTERVAL_S = 1.0
# Upper limit of an expected wait.
MAX_WAIT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The job is accepted.

    :param expected_start_s: when its first task starts according to the
        forecast, if jobs are waiting
    """

    expected_start_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The job cannot end in time and is refused.

    :param retry_after_s: when capacity is expected, with a random addition
    """

    reason: str
    retry_after_s: float

    def outcome(self) -> _records.Outcome:
        """Return the outcome for the caller."""
        return _records.Outcome(
            _records.OutcomeKind.NOT_RUN, self.reason, self.retry_after_s
        )


Decision = Admit | Refuse


class _Load:
    """Measures the work that arrives at an upstream."""

    def __init__(self, now_s: float) -> None:
        self._since_s = now_s
        self._work_s = 0.0
        # Duration and work of recent intervals.
        self._intervals: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_N_LOAD_PERIODS * _INTERVALS_PER_PERIOD)
        )
        # Work per second that has lasted.
        self.sustained = 0.0

    def add(self, work_s: float) -> None:
        """Add the work of a job that has arrived."""
        self._work_s += work_s

    def close_interval(self, now_s: float) -> None:
        """Begin a new interval."""
        self._intervals.append((now_s - self._since_s, self._work_s))
        self._since_s, self._work_s = now_s, 0.0
        if len(self._intervals) < _N_LOAD_PERIODS * _INTERVALS_PER_PERIOD:
            return
        intervals = list(self._intervals)
        self.sustained = min(
            _mean_rate(intervals[begin : begin + _INTERVALS_PER_PERIOD])
            for begin in range(0, len(intervals), _INTERVALS_PER_PERIOD)
        )


def _mean_rate(intervals: list[tuple[float, float]]) -> float:
    duration_s = sum(duration_s for duration_s, _ in intervals)
    return sum(work_s for _, work_s in intervals) / max(duration_s, 1e-3)


class _Statistics:
    """Counts since the last log line."""

    def __init__(self) -> None:
        self.n_admitted = 0
        self.n_refused_on_arrival = 0
        self.n_refused_waiting = 0
        self.n_starts = 0
        self.expected_wait_s = 0.0
        self.wait_s = 0.0
        self.error_s = 0.0


class Admission:
    """Decides whether jobs can end in time, and refuses those that cannot.

    A job must end by its latest useful time. While no job waits, all are
    admitted. Otherwise a forecast assigns the waiting jobs to the room that
    becomes free, in the order of the placement: jobs that can meet their
    objective by their latest start, then the late ones, which newer jobs on
    time overtake. Nothing is refused while a free worker could end a task of
    the job in time.

    :param workers: workers by id; the owner updates the dictionary
    """

    def __init__(
        self,
        *,
        workers: typing.Mapping[str, _workers.Worker],
        placement: _placement.Placement,
        random_state: typing.Any,
        now_s: float,
    ):
        self.workers = workers
        self.placement = placement
        self.random_state = random_state
        self._forecasts: dict[str, _forecast.Forecast] = {}
        self._loads: dict[str, _Load] = {}
        self._forecast_s = -math.inf
        self._load_closed_s = now_s
        self._learning_until_s = now_s + _LEARNING_S
        # Jobs were left waiting by the latest placement round.
        self._has_backlog = False
        # Run time of the jobs of a queue, while jobs wait.
        self._typical: dict[str, tuple[_records.Queue, float]] = {}
        self._waits_s: dict[str, float] = {}
        # Moving averages of forecast and actual waits.
        self._forecast_wait_s = _MIN_FORECAST_WAIT_S
        self._actual_wait_s = _MIN_FORECAST_WAIT_S
        self._statistics = _Statistics()
        self._logged_s = now_s

    def has_backlog(self) -> bool:
        """Return whether jobs wait for workers."""
        return self._has_backlog

    def record_round(
        self, jobs: typing.Iterable[_jobs.JobState], now_s: float
    ) -> None:
        """Record which jobs a placement round has tried.

        Tasks that it has left waiting are a backlog.
        """
        self._has_backlog = any(
            job.waiting and job.held_until_s <= now_s for job in jobs
        )
        if not self._has_backlog and self._forecasts:
            self._forecasts = {}
            self._typical = {}
            self._waits_s = {}

    def record_start(self, job: _jobs.JobState, now_s: float) -> None:
        """Compare the first start of a job with the forecast."""
        expected_s = job.expected_start_s
        if expected_s is None:
            return
        forecast_s = expected_s - job.accepted_s
        wait_s = now_s - job.accepted_s
        statistics = self._statistics
        statistics.n_starts += 1
        statistics.expected_wait_s += self.wait_ratio() * forecast_s
        statistics.wait_s += wait_s
        statistics.error_s += abs(wait_s - self.wait_ratio() * forecast_s)
        self._forecast_wait_s += _RATIO_WEIGHT * (
            forecast_s + _MIN_FORECAST_WAIT_S - self._forecast_wait_s
        )
        self._actual_wait_s += _RATIO_WEIGHT * (
            wait_s + _MIN_FORECAST_WAIT_S - self._actual_wait_s
        )

    def wait_ratio(self) -> float:
        """Return the ratio of actual to forecast waits."""
        ratio = self._actual_wait_s / self._forecast_wait_s
        return min(max(ratio, 1.0), _MAX_WAIT_RATIO)

    # New jobs

    def decide(self, job: _jobs.JobState, now_s: float) -> Decision:
        """Decide whether to accept a new job."""
        upstream = job.job.queue.upstream
        work_s = job.work_s
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = _Load(now_s)
        load.add(work_s)
        forecast = self._forecasts.get(upstream)
        if (
            not self._has_backlog
            or forecast is None
            or now_s - forecast.now_s > _MAX_FORECAST_AGE_S
        ):
            return Admit()
        self._typical[job.job.queue.name] = (job.job.queue, job.expected_s)
        key = self._latest_start_s(job)
        start_s = forecast.start_on_time(
            key, self._latest_on_time(forecast, job, now_s), now_s
        )
        if start_s is not None:
            forecast.add_work(key, work_s)
        else:
            start_s = forecast.start_late(
                self._latest_late(forecast, job, now_s), now_s
            )
            forecast.add_late_work(work_s if start_s is not None else 0.0)
        if start_s is None and not self._has_free_worker(job, now_s):
            self._statistics.n_refused_on_arrival += 1
            return Refuse(NO_CAPACITY, self._retry_after_s(forecast, now_s))
        self._statistics.n_admitted += 1
        return Admit(start_s)

    def _latest_start_s(self, job: _jobs.JobState) -> float:
        """Return the place of a job in the order of the placement."""
        return (
            job.objective_s
            - _OVERHEAD_S
            - job.expected_s * self.placement.lowest_run_time_ratio(job)
        )

    def _latest_on_time(
        self, forecast: _forecast.Forecast, job: _jobs.JobState, now_s: float
    ) -> list[float]:
        return forecast.latest_starts(
            job.expected_s,
            job.objective_s - _OVERHEAD_S,
            _OPTIMISM * self.wait_ratio(),
            now_s,
        )

    def _latest_late(
        self,
        forecast: _forecast.Forecast,
        job: _jobs.JobState,
        now_s: float,
    ) -> list[float]:
        load = self._loads.get(job.job.queue.upstream)
        share = load.sustained / forecast.capacity if load else 0.0
        factor = 1 / max(1 - share, 1 / _MAX_LATE_FACTOR)
        return forecast.latest_starts(
            job.expected_s,
            job.useful_until_s,
            _OPTIMISM * self.wait_ratio() * factor,
            now_s,
        )

    def _has_free_worker(self, job: _jobs.JobState, now_s: float) -> bool:
        """Return whether a free worker could end a task in time."""
        rooms = {step.room for step in job.job.steps}
        least_cpu = min(room.cpu_millicores for room in rooms)
        remaining_s = job.useful_until_s - now_s
        return any(
            worker.free[0] >= least_cpu
            and worker.info.upstream == job.job.queue.upstream
            and worker.can_start_now(now_s)
            and any(worker.free.can_fit(room) for room in rooms)
            and job.expected_s * worker.run_time_ratio() <= remaining_s
            for worker in self.workers.values()
        )

    def _retry_after_s(
        self, forecast: _forecast.Forecast, now_s: float
    ) -> float:
        """Return when the queue is expected to end, and up to 1 s more."""
        clear_s = self.wait_ratio() * (
            forecast.start_late(None, now_s) - now_s
        )
        return min(clear_s, MAX_WAIT_S) + self.random_state.uniform(0.0, 1.0)

    # Waiting jobs

    def review(
        self,
        jobs: typing.Iterable[_jobs.JobState],
        is_waiting: typing.Callable[[_jobs.JobState], bool],
        now_s: float,
    ) -> list[tuple[_jobs.JobState, Refuse]]:
        """Renew the forecasts and return the waiting jobs to refuse.

        :param is_waiting: whether the placement tries a job
        """
        if now_s - self._load_closed_s >= _FORECAST_INTERVAL_S:
            self._load_closed_s = now_s
            for load in self._loads.values():
                load.close_interval(now_s)
        if (
            not self._has_backlog
            or now_s < self._learning_until_s
            or now_s - self._forecast_s < _FORECAST_INTERVAL_S
        ):
            return []
        self._forecast_s = now_s
        waiting: dict[str, list[_jobs.JobState]] = {}
        for job in jobs:
            if job.waiting and job.held_until_s <= now_s and is_waiting(job):
                waiting.setdefault(job.job.queue.upstream, []).append(job)
        self._forecasts = {}
        refused: list[tuple[_jobs.JobState, Refuse]] = []
        for upstream, upstream_jobs in waiting.items():
            forecast = self._new_forecast(upstream, upstream_jobs, now_s)
            if not forecast.has_room():
                continue
            self._forecasts[upstream] = forecast
            hopeless = self._assign(forecast, upstream_jobs, now_s)
            refused.extend(
                (
                    job,
                    Refuse(NO_CAPACITY, self._retry_after_s(forecast, now_s)),
                )
                for job in hopeless
                if not job.may_have_run()
                and not self._has_free_worker(job, now_s)
            )
        self._statistics.n_refused_waiting += len(refused)
        self._update_waits(now_s)
        return refused

    def _new_forecast(
        self, upstream: str, jobs: list[_jobs.JobState], now_s: float
    ) -> _forecast.Forecast:
        n_tasks = sum(len(job.waiting) for job in jobs)
        cpu_millicores = sum(
            len(job.waiting) * job.waiting[0].step.room.cpu_millicores
            for job in jobs
        )
        return _forecast.Forecast(
            (
                worker
                for worker in self.workers.values()
                if worker.info.upstream == upstream
            ),
            max(cpu_millicores / n_tasks, 1.0),
            now_s,
        )

    def _assign(
        self,
        forecast: _forecast.Forecast,
        jobs: list[_jobs.JobState],
        now_s: float,
    ) -> list[_jobs.JobState]:
        """Assign the jobs to the room; return those that get none in time."""
        by_start = sorted(
            ((self._latest_start_s(job), n) for n, job in enumerate(jobs))
        )
        late: list[_jobs.JobState] = []
        for key, number in by_start:
            job = jobs[number]
            self._typical[job.job.queue.name] = (job.job.queue, job.expected_s)
            if key < now_s:
                late.append(job)
                continue
            start_s = forecast.assign_tasks(
                len(job.waiting),
                job.task_s,
                self._latest_on_time(forecast, job, now_s),
            )
            if start_s is None:
                late.append(job)
            else:
                forecast.record_position(key)
        forecast.end_queue()
        late.sort(key=lambda job: job.useful_until_s)
        return [
            job
            for job in late
            if forecast.assign_tasks(
                len(job.waiting),
                job.task_s,
                self._latest_late(forecast, job, now_s),
            )
            is None
        ]

    # Expected waits

    def _update_waits(self, now_s: float) -> None:
        """Derive how long a new job of each queue would wait."""
        self._waits_s = {}
        for name, (queue, run_s) in self._typical.items():
            forecast = self._forecasts.get(queue.upstream)
            if forecast is None:
                continue
            end_by_s = now_s + _jobs.allowed_time_s(queue, run_s) - _OVERHEAD_S
            latest_s = forecast.latest_starts(run_s, end_by_s, 1.0, now_s)
            start_s = forecast.start_on_time(max(latest_s), latest_s, now_s)
            if start_s is None:
                start_s = forecast.start_late(None, now_s)
            wait_s = self.wait_ratio() * (start_s - now_s)
            self._waits_s[name] = min(wait_s, MAX_WAIT_S)

    def expected_wait_s(self, queue: str) -> float:
        """Return how long a new job of a queue would wait for a worker."""
        return self._waits_s.get(queue, 0.0)

    def expected_waits_s(self) -> dict[str, float]:
        """Return the expected waits by queue; empty while no job waits."""
        return dict(self._waits_s)

    def take_log_fields(self, now_s: float) -> dict[str, typing.Any] | None:
        """Return the fields of a log line, about once a second.

        There is none for a second in which no job had to wait.
        """
        if now_s - self._logged_s < _LOG_INTERVAL_S:
            return None
        self._logged_s = now_s
        statistics, self._statistics = self._statistics, _Statistics()
        if not (
            statistics.n_admitted
            or statistics.n_refused_on_arrival
            or statistics.n_refused_waiting
        ):
            return None
        n_starts = max(1, statistics.n_starts)
        return {
            'n_admitted': statistics.n_admitted,
            'n_refused_on_arrival': statistics.n_refused_on_arrival,
            'n_refused_waiting': statistics.n_refused_waiting,
            'n_starts': statistics.n_starts,
            'expected_wait_ms': _to_ms(statistics.expected_wait_s / n_starts),
            'wait_ms': _to_ms(statistics.wait_s / n_starts),
            'error_ms': _to_ms(statistics.error_s / n_starts),
            'wait_ratio': round(self.wait_ratio(), 2),
            'load': {
                upstream: round(load.sustained / forecast.capacity, 2)
                for upstream, load in self._loads.items()
                if (forecast := self._forecasts.get(upstream)) is not None
            },
            'waits_ms': {
                name: _to_ms(wait_s) for name, wait_s in self._waits_s.items()
            },
        }


def _to_ms(duration_s: float) -> float:
    return round(1000 * duration_s, 1)
