import math
import random
import typing

from orioleloom import dispatch
from orioleloom_standins.leased import _worker
from orioleloom_standins.leased import _world

# A caller may wait this many times its objective for a late answer, which
# earns this share.
_LATE_FACTOR = 3.0
_LATE_SHARE = 0.2


class JobKind(typing.NamedTuple):
    """A kind of job as a site's callers send it.

    :param per_s: jobs a second
    :param n_tasks: mean number of tasks
    :param work_s: mean work of a task
    :param worth: of a job of mean size
    """

    queue: dispatch.Queue
    per_s: float
    n_tasks: float
    work_s: float
    worth: float


def _queue(name: str, priority: int) -> dispatch.Queue:
    return dispatch.Queue(name, 'pool', priority, 3, 1.6, 0.06)


# The three kinds of both sites: short and wide, long, and many small ones.
SITE_KINDS = (
    JobKind(_queue('check', 0), 17.2, 8, 0.06, 0.0291),
    JobKind(_queue('booking', 2), 3.13, 4, 0.9, 0.16),
    JobKind(_queue('lookup', 1), 50.0, 2, 0.2, 0.01),
)


def site_workers(
    n_workers: int = 24, speeds: typing.Sequence[float] = (0.6, 1.0, 1.6)
) -> list[_worker.LeasedWorker]:
    """Return workers as on the sites: every third one has 24 cores."""
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
    """What a load has earned.

    :param by_kind: worth owed and earned by kind of job
    """

    def __init__(self) -> None:
        self.by_kind: dict[str, list[float]] = {}
        self.n_jobs = 0
        self.n_on_time = 0
        self.n_late = 0
        self.n_refused = 0
        self.n_held = 0
        # Ends, by second of arrival: owed and earned.
        self.by_second: dict[int, list[float]] = {}

    def share(self) -> float:
        """Return the share of the worth that was earned."""
        owed = sum(row[0] for row in self.by_kind.values())
        return sum(row[1] for row in self.by_kind.values()) / owed

    def kind_share(self, name: str) -> float:
        """Return the share earned by a kind of job."""
        owed, earned = self.by_kind[name]
        return earned / owed

    def add(self, name: str, second: int, worth: float, earned: float) -> None:
        """Count a job."""
        row = self.by_kind.setdefault(name, [0.0, 0.0])
        row[0] += worth
        row[1] += earned
        row = self.by_second.setdefault(second, [0.0, 0.0])
        row[0] += worth
        row[1] += earned


class _Sent(typing.NamedTuple):
    kind: JobKind
    sent_s: float
    objective_s: float
    worth: float


def offer_load(
    world: _world.World,
    side: typing.Any,
    *,
    duration_s: float,
    scale: float = 1.0,
    kinds: typing.Sequence[JobKind] = SITE_KINDS,
    poison_share: float = 0.0,
    bursts: typing.Mapping[str, tuple[float, float, float]] = {},
) -> LoadReport:
    """Send jobs at random times and return what they have earned.

    :param scale: load against the sheet of the sites
    :param poison_share: jobs that fail on every worker
    :param bursts: factor, begin and end of a burst, by queue; the name
        ``''`` means all
    """
    rng = world.random_state
    start_s = world.now_s
    sent: dict[str, _Sent] = {}

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
        _send_job(world, side, kind, sent, rng, poison_share)
        world.after(
            rng.expovariate(kind.per_s * factor(kind)), lambda: arrive(kind)
        )

    for kind in kinds:
        world.after(
            rng.expovariate(kind.per_s * scale),
            lambda kind=kind: arrive(kind),
        )
    world.run_until(start_s + duration_s + 8.0)
    return _collect(side, sent)


def _send_job(
    world: _world.World,
    side: typing.Any,
    kind: JobKind,
    sent: dict[str, _Sent],
    rng: random.Random,
    poison_share: float,
) -> None:
    n_tasks = max(1, round(kind.n_tasks * _spread(rng, 0.4)))
    work_s = kind.work_s * _spread(rng, 0.4)
    tasks_s = [work_s * _spread(rng, 0.15) for _ in range(n_tasks)]
    cpu = int(min(10_000, 6_800 * _spread(rng, 0.2)))
    job = dispatch.Job(
        f'{len(sent):016x}',
        kind.queue,
        'payload',
        (
            dispatch.Step(
                n_tasks,
                dispatch.Resources(cpu, 64),
                work_s * _spread(rng, 0.4),
            ),
        ),
    )
    world.declare(job, tasks_s, rng.random() < poison_share)
    size = sum(tasks_s) / (kind.n_tasks * kind.work_s)
    sent[job.id] = _Sent(
        kind,
        world.now_s,
        1.6 * max(tasks_s) + kind.queue.target_latency_s,
        kind.worth * min(4.0, 0.3 + 0.7 * size),
    )
    # The caller's request needs 1 ms, its answer another one.
    world.after(
        0.001,
        lambda: side.submit(job, deadline_s=world.now_s + rng.uniform(1.9, 7)),
    )


def _spread(rng: random.Random, sigma: float) -> float:
    return math.exp(rng.gauss(0.0, sigma) - sigma * sigma / 2)


def _collect(side: typing.Any, sent: dict[str, _Sent]) -> LoadReport:
    report = LoadReport()
    for job_id, job in sent.items():
        report.n_jobs += 1
        earned = 0.0
        ended = side.outcomes.get(job_id)
        if ended is None or ended[0].kind is dispatch.OutcomeKind.UNKNOWN:
            report.n_held += 1
        elif ended[0].kind is dispatch.OutcomeKind.NOT_RUN:
            report.n_refused += 1
        else:
            took_s = ended[1] + 0.001 - job.sent_s
            if took_s <= job.objective_s:
                earned = job.worth
                report.n_on_time += 1
            elif took_s <= _LATE_FACTOR * job.objective_s:
                earned = _LATE_SHARE * job.worth
                report.n_late += 1
        report.add(job.kind.queue.name, int(job.sent_s), job.worth, earned)
    return report
