"""Deployment A of docs/design/hard-load.md: its workers, jobs and faults."""

import math
import random
import typing

from orioleloom import dispatch
from orioleloom_standins.leased import _load
from orioleloom_standins.leased import _worker
from orioleloom_standins.leased import _world

REMOTE_FACTOR = 3.0
_N_WORKERS = 176
_WORKERS_PER_RACK = 8
_WORKER_CORES = 32
_TASK_CORES = 16
_MAX_TASK_CORES = 24
_DEADLINE_S = 1.58
# Tasks and run time of a job are at most this multiple of their mean.
_MAX_FACTOR = 4.0
# Spread (log) of the number of tasks and of the run time. The sheet has only
# the mean and the maximum. With a spread of 0.6 of the run time, a tenth of
# the long jobs cannot end by their deadline on any worker.
_SIZE_SPREAD = 0.8
_RUN_TIME_SPREAD = 0.4
_DECLARED_SPREAD = 0.4
# Share of the jobs with a preferred rack; not in the sheet.
_PREFERRING_SHARE = 0.5
_HOT_RACK = 'r1'
_HOT_SHARE = 0.66
_HOT_S = 5.0
_LOST_SHARE = 1 / 7


def _kind(
    name: str, priority: int, per_s: float, n_tasks: int, work_s: float
) -> _load.JobKind:
    queue = dispatch.Queue(name, 'pool', priority, 3, 1.6, 0.063)
    return _load.JobKind(queue, per_s, n_tasks, work_s, 1.0)


HEAVY_KINDS = (
    _kind('short', 0, 103, 8, 0.06),
    _kind('long', 2, 18.8, 4, 0.9),
    _kind('middle', 1, 300, 2, 0.2),
)


def heavy_workers(n_workers: int) -> list[_worker.LeasedWorker]:
    """Return workers of deployment A: speeds 0.6, 1.0, 1.6, sizes 1, 1, 1.5.

    Speed and size do not go together.
    """
    return [
        _worker.LeasedWorker(
            dispatch.WorkerInfo(
                f'w{number}',
                f'10.0.{number // 250}.{number % 250}:80',
                f'dc{number // _WORKERS_PER_RACK % 3}',
                'pool',
                dispatch.Resources(
                    int(
                        1000
                        * _WORKER_CORES
                        * (1.5 if number // 3 % 3 == 2 else 1)
                    ),
                    65_536,
                ),
                (f'r{number // _WORKERS_PER_RACK}',),
                1,
            ),
            speed=(0.6, 1.0, 1.6)[number % 3],
        )
        for number in range(n_workers)
    ]


def _capacity_factor() -> float:
    """Return the capacity of the fleet as a multiple of the base load."""
    capacity = sum(
        worker.speed * worker.info.capacity.cpu_millicores / 1000
        for worker in heavy_workers(_N_WORKERS)
    )
    demand = _TASK_CORES * sum(
        kind.per_s * kind.n_tasks * kind.work_s for kind in HEAVY_KINDS
    )
    return capacity / demand


class ServedJob(typing.NamedTuple):
    """A job with what it was worth.

    :param value: value if it is answered in time
    :param earned: value that was earned
    """

    kind: str
    n_tasks: int
    work_s: float
    value: float
    earned: float


class HeavyLoad:
    """Callers of deployment A, on a part of its fleet.

    :param load: offered work as a multiple of the capacity of all workers
    :param random_state: source of the jobs, which do not depend on the
        dispatcher
    """

    def __init__(
        self,
        world: _world.World,
        dispatcher: typing.Any,
        load: float,
        random_state: random.Random,
    ):
        self.world = world
        self.dispatcher = dispatcher
        self.random_state = random_state
        self.n_racks = len(world.workers) // _WORKERS_PER_RACK
        self.scale = (
            load * _capacity_factor() * len(world.workers) / _N_WORKERS
        )
        self._sent: dict[str, tuple[_load._SentJob, int, float]] = {}
        self._begin_s = world.now_s
        self._duration_s = 0.0

    def run(self, duration_s: float) -> list[ServedJob]:
        """Send jobs for a time and return what was served.

        A rack is hot from a quarter of the time on, for 5 s at most. In the
        middle a seventh of the workers are lost.
        """
        self._begin_s = self.world.now_s
        self._duration_s = duration_s
        for kind in HEAVY_KINDS:
            self._arrive_later(kind)
        self.world.after(duration_s / 2, self._lose_workers)
        self.world.run_until(self._begin_s + duration_s + _DEADLINE_S + 0.5)
        return [
            self._collect(job_id, *entry)
            for job_id, entry in self._sent.items()
        ]

    def _lose_workers(self) -> None:
        workers = list(self.world.workers.values())
        lost = random.Random(1).sample(
            workers, round(len(workers) * _LOST_SHARE)
        )
        for worker in lost:
            worker.crash_process(self.world.now_s)
            worker.is_listed = False
        self.world.after(_world.LIST_LAG_S, self.dispatcher.update_workers)

    def _arrive_later(self, kind: _load.JobKind) -> None:
        self.world.after(
            self.random_state.expovariate(kind.per_s * self.scale),
            lambda: self._arrive(kind),
        )

    def _arrive(self, kind: _load.JobKind) -> None:
        since_s = self.world.now_s - self._begin_s
        if since_s >= self._duration_s:
            return
        job, tasks_s = self._draw(kind, since_s)
        self.world.declare(job, tasks_s)
        now_s = self.world.now_s
        work_s = sum(tasks_s)
        self._sent[job.id] = (
            _load._describe(kind, tasks_s, now_s),
            len(tasks_s),
            work_s,
        )
        self.world.after(
            0.001,
            lambda: self.dispatcher.submit(
                job, arrived_s=now_s, deadline_s=now_s + _DEADLINE_S
            ),
        )
        self._arrive_later(kind)

    def _draw(
        self, kind: _load.JobKind, since_s: float
    ) -> tuple[dispatch.Job, list[float]]:
        rng = self.random_state
        n_tasks = max(1, round(kind.n_tasks * _factor(rng, _SIZE_SPREAD)))
        work_s = kind.work_s * _factor(rng, _RUN_TIME_SPREAD)
        tasks_s = [
            work_s * math.exp(rng.gauss(0, 0.15)) for _ in range(n_tasks)
        ]
        cores = min(_MAX_TASK_CORES, _TASK_CORES * math.exp(rng.gauss(0, 0.2)))
        rack = ''
        if rng.random() < _PREFERRING_SHARE:
            rack = f'r{rng.randrange(self.n_racks)}'
        hot_since_s = self._duration_s / 4
        is_hot = hot_since_s <= since_s < hot_since_s + _HOT_S
        if is_hot and not kind.queue.priority and rng.random() < _HOT_SHARE:
            rack = _HOT_RACK
        step = dispatch.Step(
            n_tasks,
            dispatch.Resources(int(1000 * cores), 64),
            work_s * math.exp(rng.gauss(0, _DECLARED_SPREAD)),
            preferred_rack=rack,
        )
        job_id = f'{len(self._sent):016x}'
        return dispatch.Job(job_id, kind.queue, '', (step,)), tasks_s

    def _collect(
        self,
        job_id: str,
        sent: '_load._SentJob',
        n_tasks: int,
        work_s: float,
    ) -> ServedJob:
        outcome, ended_s = self.dispatcher.outcomes.get(job_id, (None, 0.0))
        earned = 0.0
        if outcome and outcome.kind is dispatch.OutcomeKind.COMPLETED:
            earned = _load.earned_worth(sent, ended_s + 0.001)
        return ServedJob(
            sent.kind.queue.name, n_tasks, work_s, sent.worth, earned
        )


def _factor(rng: random.Random, spread: float) -> float:
    return min(
        _MAX_FACTOR, math.exp(rng.gauss(0.0, spread) - spread * spread / 2)
    )
