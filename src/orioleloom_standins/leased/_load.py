import math
import random
import typing

import trio

from orioleloom import dispatch
from orioleloom_standins.leased import _worker
from orioleloom_standins.leased import _world

# An answer within this multiple of the latency objective counts as late and
# earns this share of the job's worth; a later one earns nothing.
_LATE_FACTOR = 3.0
_LATE_SHARE = 0.2
# How many times as long as others the long tasks take.
_LONG_FACTOR = 7.0
# Callers submit a job again this long after an unknown outcome.
_RESUBMISSION_DELAY_S = 1.3
# No caller waits for longer than this.
_MAX_DEADLINE_S = 7.0


class JobKind(typing.NamedTuple):
    """Traffic profile of one kind of job.

    :param per_s: mean arrival rate, in jobs per second
    :param n_tasks: mean number of tasks per job
    :param work_s: mean duration of a task on a worker of speed 1
    :param worth: value of a job of mean size that is answered on time
    """

    queue: dispatch.Queue
    per_s: float
    n_tasks: float
    work_s: float
    worth: float


def _queue(name: str, priority: int) -> dispatch.Queue:
    return dispatch.Queue(name, 'pool', priority, 3, 1.6, 0.06)


# The job kinds of both reference sites: short jobs with many tasks, long jobs,
# and frequent small jobs.
SITE_KINDS = (
    JobKind(_queue('check', 0), 17.2, 8, 0.06, 0.0291),
    JobKind(_queue('booking', 2), 3.13, 4, 0.9, 0.16),
    JobKind(_queue('lookup', 1), 50.0, 2, 0.2, 0.01),
)


def site_workers(
    n_workers: int = 24, speeds: typing.Sequence[float] = (0.6, 1.0, 1.6)
) -> list[_worker.LeasedWorker]:
    """Return workers like those of the sites; every third has 24 cores."""
    return [
        _worker.LeasedWorker(
            dispatch.WorkerInfo(
                f'w{number}',
                f'10.0.0.{number}:80',
                f'dc{number % 4}',
                'pool',
                dispatch.Resources(
                    24_000 if number % 3 == 2 else 16_000, 65_536
                ),
                (f'r{number // 6}',),
                1,
            ),
            speed=speeds[number % 3],
            clock_rate=0.99,
        )
        for number in range(n_workers)
    ]


class LoadReport:
    """Job counts and earned worth of a simulated load.

    :param by_kind: possible and earned worth by kind of job
    """

    def __init__(self) -> None:
        self.by_kind: dict[str, list[float]] = {}
        self.n_jobs = 0
        self.n_on_time = 0
        self.n_late = 0
        # Jobs answered as not run.
        self.n_refused = 0
        # Jobs without an outcome or with an unknown one.
        self.n_held = 0
        # Jobs that could be done, and that were answered as failed.
        self.n_falsely_failed = 0
        # Jobs that could be done, and that were not started again because of
        # crashes that were not proven.
        self.n_given_up = 0
        # Jobs with a task that crashes its workers.
        self.n_deadly = 0
        # Possible and earned worth by second of arrival.
        self.by_second: dict[int, list[float]] = {}

    def share(self) -> float:
        """Return the earned share of the possible worth."""
        possible = sum(row[0] for row in self.by_kind.values())
        return sum(row[1] for row in self.by_kind.values()) / possible

    def kind_share(self, name: str) -> float:
        """Return the earned share of the worth of one kind of job."""
        possible, earned = self.by_kind[name]
        return earned / possible

    def add(self, name: str, second: int, worth: float, earned: float) -> None:
        """Add the possible and earned worth of a job."""
        row = self.by_kind.setdefault(name, [0.0, 0.0])
        row[0] += worth
        row[1] += earned
        row = self.by_second.setdefault(second, [0.0, 0.0])
        row[0] += worth
        row[1] += earned


class _SentJob(typing.NamedTuple):
    kind: JobKind
    sent_s: float
    objective_s: float
    worth: float
    is_deadly: bool = False
    is_poison: bool = False


def offer_load(
    world: _world.World,
    dispatcher: typing.Any,
    *,
    duration_s: float,
    scale: float = 1.0,
    kinds: typing.Sequence[JobKind] = SITE_KINDS,
    poison_share: float = 0.0,
    deadly_shares: typing.Mapping[str, float] = {},
    bursts: typing.Mapping[str, tuple[float, float, float]] = {},
    long_share: float = 0.0,
    random_state: random.Random | None = None,
) -> LoadReport:
    """Send jobs with Poisson arrivals and report the earned worth.

    :param scale: factor on the arrival rates of ``kinds``
    :param poison_share: share of jobs that fail on every worker
    :param deadly_shares: share of the jobs of a queue with a task that crashes
        its workers, by queue name; these jobs are not counted in the worth
    :param bursts: rate factor, start and end in seconds of a burst, by queue
        name; the name ``''`` applies to all queues
    :param long_share: share of tasks that take seven times as long
    :param random_state: source of the jobs; that of the world if ``None``.
        With a source of its own the jobs do not depend on the dispatcher.
    """
    rng = random_state or world.random_state
    start_s = world.now_s
    sent: dict[str, _SentJob] = {}

    def factor(kind: JobKind) -> float:
        result = scale
        for name in ('', kind.queue.name):
            burst = bursts.get(name)
            if burst and burst[1] <= world.now_s - start_s < burst[2]:
                result *= burst[0]
        return result

    def arrive(kind: JobKind) -> None:
        if world.now_s - start_s >= duration_s:
            return
        _send_job(
            world,
            dispatcher,
            kind,
            sent,
            rng,
            poison_share,
            deadly_shares.get(kind.queue.name, 0.0),
            long_share,
        )
        world.after(
            rng.expovariate(kind.per_s * factor(kind)), lambda: arrive(kind)
        )

    for kind in kinds:
        world.after(
            rng.expovariate(kind.per_s * scale),
            lambda kind=kind: arrive(kind),
        )
    world.run_until(start_s + duration_s + 8.0)
    return _collect(dispatcher, sent)


def _send_job(
    world: _world.World,
    dispatcher: typing.Any,
    kind: JobKind,
    sent: dict[str, _SentJob],
    rng: random.Random,
    poison_share: float,
    deadly_share: float,
    long_share: float,
) -> None:
    job, tasks_s = draw_job(kind, len(sent), rng)
    if long_share:
        tasks_s = [
            work_s * (_LONG_FACTOR if rng.random() < long_share else 1.0)
            for work_s in tasks_s
        ]
    is_poison = rng.random() < poison_share
    world.declare(job, tasks_s, is_poison)
    is_deadly = deadly_share > 0 and rng.random() < deadly_share
    if is_deadly:
        world.set_crashing(
            dispatch.TaskKey(job.id, 0, 0), rng.uniform(0.0, tasks_s[0])
        )
    sent[job.id] = _describe(
        kind, tasks_s, world.now_s, is_deadly=is_deadly, is_poison=is_poison
    )
    # Request and answer each take 1 ms between caller and dispatcher.
    world.after(
        0.001,
        lambda: dispatcher.submit(
            job, deadline_s=world.now_s + rng.uniform(1.9, 7)
        ),
    )


def draw_job(
    kind: JobKind, number: int, rng: random.Random
) -> tuple[dispatch.Job, list[float]]:
    """Return a random job of a kind, and the work of its tasks in seconds."""
    n_tasks = max(1, round(kind.n_tasks * _lognormal_factor(rng, 0.4)))
    work_s = kind.work_s * _lognormal_factor(rng, 0.4)
    tasks_s = [work_s * _lognormal_factor(rng, 0.15) for _ in range(n_tasks)]
    cpu = int(min(10_000, 6_800 * _lognormal_factor(rng, 0.2)))
    job = dispatch.Job(
        f'{number:016x}',
        kind.queue,
        'payload',
        (
            dispatch.Step(
                n_tasks,
                dispatch.Resources(cpu, 64),
                work_s * _lognormal_factor(rng, 0.4),
            ),
        ),
    )
    return job, tasks_s


def _describe(
    kind: JobKind,
    tasks_s: list[float],
    sent_s: float,
    *,
    is_deadly: bool = False,
    is_poison: bool = False,
) -> _SentJob:
    size = sum(tasks_s) / (kind.n_tasks * kind.work_s)
    return _SentJob(
        kind,
        sent_s,
        1.6 * max(tasks_s) + kind.queue.target_latency_s,
        kind.worth * min(4.0, 0.3 + 0.7 * size),
        is_deadly,
        is_poison,
    )


class _FleetCallers:
    """Callers that submit jobs to the instances of a fleet.

    They submit a job again whose outcome is unknown, at any instance.
    """

    def __init__(self, fleet: typing.Any, random_state: random.Random) -> None:
        self.fleet = fleet
        self.random_state = random_state
        self.sent: dict[str, _SentJob] = {}
        # The last outcome of each job, and when it was known.
        self.outcomes: dict[str, tuple[dispatch.Outcome, float]] = {}

    async def send_jobs(
        self,
        kind: JobKind,
        rate_factor: typing.Callable[[float], float],
        end_s: float,
    ) -> None:
        """Submit jobs of one kind until a time."""
        start_s = trio.current_time()
        while True:
            factor = rate_factor(trio.current_time() - start_s)
            await trio.sleep(
                self.random_state.expovariate(kind.per_s * factor)
            )
            now_s = trio.current_time()
            if now_s >= end_s:
                return
            job, tasks_s = draw_job(kind, len(self.sent), self.random_state)
            self.fleet.world.declare(job, tasks_s)
            self.sent[job.id] = _describe(kind, tasks_s, now_s)
            self._submit(job, now_s + self.random_state.uniform(1.9, 7))

    def _submit(self, job: dispatch.Job, deadline_s: float) -> None:
        nodes = self.fleet.nodes
        name = self.random_state.choice(sorted(nodes))

        def record(outcome: dispatch.Outcome) -> None:
            now_s = trio.current_time()
            self.outcomes[job.id] = (outcome, now_s)
            if (
                outcome.kind is dispatch.OutcomeKind.UNKNOWN
                and now_s + _RESUBMISSION_DELAY_S < deadline_s
            ):
                self.fleet.call_after(
                    _RESUBMISSION_DELAY_S,
                    lambda: self._submit(job, deadline_s),
                )

        nodes[name].submit(
            job,
            arrived_s=trio.current_time(),
            deadline_s=deadline_s,
            on_outcome=record,
        )


async def offer_load_to_fleet(
    fleet: typing.Any,
    *,
    duration_s: float,
    rate_factor: typing.Callable[[float], float],
    random_state: random.Random,
    kinds: typing.Sequence[JobKind] = SITE_KINDS,
) -> LoadReport:
    """Send jobs to the instances of a fleet and report the earned worth.

    :param rate_factor: factor on the arrival rates of ``kinds``, by the time
        since the start in seconds
    """
    callers = _FleetCallers(fleet, random_state)
    end_s = trio.current_time() + duration_s
    async with trio.open_nursery() as nursery:
        for kind in kinds:
            nursery.start_soon(callers.send_jobs, kind, rate_factor, end_s)
    await trio.sleep(_MAX_DEADLINE_S)
    return _collect(callers, callers.sent)


def _lognormal_factor(rng: random.Random, sigma: float) -> float:
    return math.exp(rng.gauss(0.0, sigma) - sigma * sigma / 2)


def earned_worth(job: _SentJob, answered_s: float) -> float:
    """Return what a job earns with an answer at a time."""
    took_s = answered_s - job.sent_s
    if took_s <= job.objective_s:
        return job.worth
    late = took_s <= _LATE_FACTOR * job.objective_s
    return _LATE_SHARE * job.worth if late else 0.0


def _collect(dispatcher: typing.Any, sent: dict[str, _SentJob]) -> LoadReport:
    report = LoadReport()
    for job_id, job in sent.items():
        if job.is_deadly:
            report.n_deadly += 1
            continue
        report.n_jobs += 1
        earned = 0.0
        ended = dispatcher.outcomes.get(job_id)
        if ended is None or ended[0].kind is dispatch.OutcomeKind.UNKNOWN:
            report.n_held += 1
            report.n_given_up += ended is not None and (
                'crashed' in ended[0].reason
            )
        elif ended[0].kind is dispatch.OutcomeKind.NOT_RUN:
            report.n_refused += 1
        elif ended[0].kind is dispatch.OutcomeKind.FAILED and (
            not job.is_poison
        ):
            report.n_falsely_failed += 1
        else:
            earned = earned_worth(job, ended[1] + 0.001)
            report.n_on_time += earned == job.worth
            report.n_late += 0 < earned < job.worth
        report.add(job.kind.queue.name, int(job.sent_s), job.worth, earned)
    return report
