"""Compare placement policies with an ideal scheduler in virtual time.

The ideal scheduler is one queue with full knowledge and no network delay.
Each entry instance is simulated by a ``WorkerPool``. A simulated worker
accepts tasks up to its slots and rejects the rest. A POST that is rejected
as a whole counts as two wasted messages, the request and the response.
"""

import argparse
import collections
import concurrent.futures
import heapq
import itertools
import math
import random
import statistics
import typing

from orioleloom import model
from orioleloom import placement

N_INSTANCES = 8
N_WORKERS = 24
SLOTS = 8
SPEED_RANGE = 8.0
DRIFT = 0.2
DRIFT_PERIOD_S = 120.0
WARM_UP_S = 10.0
NOTICE_DELAY_S = 0.002
KIND_MEDIANS_MS = (100.0, 150.0, 220.0, 320.0, 450.0)
BIG_JOB_SHARE = 0.01
POLICIES: dict[str, typing.Callable[[], placement.Policy]] = {
    'expected_completion': placement.ExpectedCompletion,
    'random': placement.Random,
    'round_robin': placement.RoundRobin,
    'power_of_two': placement.PowerOfTwo,
    'least_outstanding': placement.LeastOutstanding,
}


class Task(typing.NamedTuple):
    job: int
    kind: str
    work_s: float
    declared_ms: float


class Job(typing.NamedTuple):
    at_s: float
    instance: int
    tasks: list[Task]


class Outcome(typing.NamedTuple):
    """Result of one run; ratios are relative to the ideal scheduler."""

    mean_ratio: float
    p99_ratio: float
    rejected_per_task: float
    wasted_per_task: float
    lost_share: float
    starts_until_fenced: int


class SimulatedWorker:
    """Simulated worker whose speed varies over time."""

    def __init__(self, name: str, speed: float, phase: float) -> None:
        self.id = name
        self.base_speed = speed
        self.phase = phase
        self.busy = 0

    def speed(self, at_s: float) -> float:
        turn = 2.0 * math.pi * at_s / DRIFT_PERIOD_S + self.phase
        return self.base_speed * math.exp(DRIFT * math.sin(turn))


def make_workers(rng: random.Random) -> list[SimulatedWorker]:
    """Return workers with logarithmically spaced speeds."""
    spread = [
        SPEED_RANGE ** (i / (N_WORKERS - 1) - 0.5) for i in range(N_WORKERS)
    ]
    rng.shuffle(spread)
    return [
        SimulatedWorker(f'worker-{i:02}', speed, rng.random() * 2.0 * math.pi)
        for i, speed in enumerate(spread)
    ]


def make_task(rng: random.Random, job: int) -> Task:
    kind = rng.randrange(len(KIND_MEDIANS_MS))
    work_ms = KIND_MEDIANS_MS[kind] * rng.lognormvariate(0.0, 0.5)
    work_ms = min(max(work_ms, 50.0), 1000.0)
    declared_ms = work_ms * rng.lognormvariate(0.0, 0.1)
    if rng.random() < 0.1:
        declared_ms *= rng.choice((0.2, 5.0))
    return Task(job, f'kind-{kind}', work_ms / 1000.0, declared_ms)


def make_jobs(
    rng: random.Random, load: float, duration_s: float, capacity: float
) -> list[Job]:
    """Return Poisson arrivals at a utilisation of ``load``."""
    mean_work_s = statistics.fmean(
        make_task(rng, 0).work_s for _ in range(5000)
    )
    mean_tasks = (1 - BIG_JOB_SHARE) * 10.5 + BIG_JOB_SHARE * 750.0
    rate = load * capacity / (mean_work_s * mean_tasks)
    jobs: list[Job] = []
    at_s = rng.expovariate(rate)
    while at_s < duration_s:
        big = rng.random() < BIG_JOB_SHARE
        n_tasks = rng.randint(200, 1300) if big else rng.randint(1, 20)
        tasks = [make_task(rng, len(jobs)) for _ in range(n_tasks)]
        jobs.append(Job(at_s, rng.randrange(N_INSTANCES), tasks))
        at_s += rng.expovariate(rate)
    return jobs


def ideal_response_s(
    jobs: list[Job], workers: list[SimulatedWorker]
) -> list[float]:
    """Schedule jobs in arrival order with known speeds and run times."""
    free_at_s = {w.id: [0.0] * SLOTS for w in workers}
    responses_s = []
    for job in jobs:
        done_s = job.at_s
        for task in job.tasks:
            best = (math.inf, 0.0, workers[0])
            for worker in workers:
                start_s = max(job.at_s, free_at_s[worker.id][0])
                end_s = start_s + task.work_s / worker.speed(start_s)
                best = min(best, (end_s, start_s, worker), key=lambda b: b[0])
            heapq.heapreplace(free_at_s[best[2].id], best[0])
            done_s = max(done_s, best[0])
        responses_s.append(done_s - job.at_s)
    return responses_s


class Cluster:
    """Discrete-event simulation of entry instances and workers."""

    def __init__(
        self,
        jobs: list[Job],
        workers: list[SimulatedWorker],
        make_policy: typing.Callable[[], placement.Policy],
        rng: random.Random,
        fair: bool,
        failing: str,
    ) -> None:
        self.jobs = jobs
        self.workers = {w.id: w for w in workers}
        self.rng = rng
        self.fair = fair
        self.failing = failing
        self.now_s = 0.0
        self._events: list[tuple] = []
        self._numbers = itertools.count()
        self.n_unfinished = [len(j.tasks) for j in jobs]
        self.response_s = [0.0] * len(jobs)
        self.n_rejected = 0
        self.n_wasted = 0
        self.n_lost = 0
        self.failing_starts_s: list[float] = []
        self.pools = [
            placement.WorkerPool(
                instance_id=f'entry-{i}',
                policy=make_policy(),
                random_state=random.Random(rng.random()),
            )
            for i in range(N_INSTANCES)
        ]
        self.queues: list[collections.OrderedDict] = [
            collections.OrderedDict() for _ in range(N_INSTANCES)
        ]
        self.n_queued = [0] * N_INSTANCES
        self.timer_s = [math.inf] * N_INSTANCES
        self._list_workers()

    def _list_workers(self) -> None:
        members = [
            model.Member(
                w.id,
                model.Role.WORKER,
                model.MemberState.LIVE,
                'dc',
                'http://' + w.id,
                upstream='up',
                slots=SLOTS,
                rack=f'rack-{i // 6}',
            )
            for i, w in enumerate(self.workers.values())
        ]
        for rank, pool in enumerate(self.pools):
            pool.set_workers(members, 0.0)
            pool.set_rank(rank, N_INSTANCES)

    def schedule(self, delay_s: float, call: typing.Callable, *args) -> None:
        at_s = self.now_s + delay_s
        heapq.heappush(self._events, (at_s, next(self._numbers), call, args))

    def delay_s(self) -> float:
        return 0.0005 + self.rng.expovariate(5000.0)

    def run(self) -> None:
        for number, job in enumerate(self.jobs):
            self.schedule(job.at_s, self.arrive, number, job)
        while self._events:
            self.now_s, _, call, args = heapq.heappop(self._events)
            call(*args)

    def arrive(self, number: int, job: Job) -> None:
        self.queues[job.instance][number] = collections.deque(job.tasks)
        self.n_queued[job.instance] += len(job.tasks)
        self.dispatch(job.instance)

    def dispatch(self, i: int) -> None:
        pool, queue = self.pools[i], self.queues[i]
        posts: dict[str, list[Task]] = {}
        while queue:
            number = next(iter(queue))
            task = queue[number][0]
            worker_id = pool.choose_worker(
                'up', task.kind, task.declared_ms, self.n_queued[i], self.now_s
            )
            if worker_id is None:
                break
            pool.record_start(worker_id, task.kind, self.now_s)
            queue[number].popleft()
            self.n_queued[i] -= 1
            if not queue[number]:
                del queue[number]
            elif self.fair:
                queue.move_to_end(number)
            posts.setdefault(worker_id, []).append(task)
        for worker_id, tasks in posts.items():
            self.schedule(self.delay_s(), self.receive, i, worker_id, tasks)
        if queue:
            self.set_timer(i)

    def set_timer(self, i: int) -> None:
        at_s = self.pools[i].next_wakeup_at_s()
        at_s = max(at_s, self.now_s)
        if at_s < self.timer_s[i]:
            self.timer_s[i] = at_s
            heapq.heappush(
                self._events,
                (at_s, next(self._numbers), self.timer_expired, (i, at_s)),
            )

    def timer_expired(self, i: int, at_s: float) -> None:
        if self.timer_s[i] == at_s:
            self.timer_s[i] = math.inf
            self.dispatch(i)

    def receive(self, i: int, worker_id: str, tasks: list[Task]) -> None:
        worker = self.workers[worker_id]
        if worker_id == self.failing and self.now_s > WARM_UP_S:
            self.fail(i, tasks)
            return
        n_accepted = min(len(tasks), SLOTS - worker.busy)
        worker.busy += n_accepted
        for task in tasks[:n_accepted]:
            run_s = task.work_s / worker.speed(self.now_s)
            self.schedule(run_s, self.end, i, worker, task, run_s)
        if n_accepted < len(tasks):
            self.n_rejected += len(tasks) - n_accepted
            self.n_wasted += 0 if n_accepted else 2
            self.schedule(
                self.delay_s(), self.reject, i, worker, tasks[n_accepted:]
            )

    def fail(self, i: int, tasks: list[Task]) -> None:
        self.failing_starts_s.extend(self.now_s for _ in tasks)
        self.n_lost += len(tasks)
        free = SLOTS - self.workers[self.failing].busy
        for task in tasks:
            self.schedule(self.delay_s(), self.line_failed, i, task, free)

    def end(
        self, i: int, worker: SimulatedWorker, task: Task, run_s: float
    ) -> None:
        worker.busy -= 1
        free = SLOTS - worker.busy
        self.schedule(
            self.delay_s(), self.line_ok, i, worker, task, run_s, free
        )

    def line_ok(
        self,
        i: int,
        worker: SimulatedWorker,
        task: Task,
        run_s: float,
        free: int,
    ) -> None:
        self.pools[i].record_success(
            worker.id,
            task.kind,
            run_s * 1000.0,
            run_s * 1000.0 + 1.4,
            free,
            self.now_s,
            task.declared_ms,
        )
        self.count_finished(task)
        self.dispatch(i)

    def line_failed(self, i: int, task: Task, free: int) -> None:
        self.pools[i].record_failure(
            self.failing, task.kind, 1.0, free, self.now_s
        )
        for notice in self.pools[i].take_quarantine_notices():
            for pool in self.pools[:i] + self.pools[i + 1 :]:
                self.schedule(
                    NOTICE_DELAY_S, self.receive_notice, pool, notice.worker_id
                )
        self.count_finished(task)
        self.dispatch(i)

    def receive_notice(
        self, pool: placement.WorkerPool, worker_id: str
    ) -> None:
        pool.apply_peer_quarantine(worker_id, self.now_s)

    def reject(
        self, i: int, worker: SimulatedWorker, tasks: list[Task]
    ) -> None:
        for task in reversed(tasks):
            self.pools[i].record_rejection(worker.id, 0, self.now_s)
            waiting = self.queues[i].setdefault(task.job, collections.deque())
            waiting.appendleft(task)
            self.n_queued[i] += 1
            if not self.fair:
                self.queues[i].move_to_end(task.job, last=False)
        self.dispatch(i)

    def count_finished(self, task: Task) -> None:
        self.n_unfinished[task.job] -= 1
        if not self.n_unfinished[task.job]:
            self.response_s[task.job] = self.now_s - self.jobs[task.job].at_s


def run_once(
    policy: str,
    load: float,
    seed: int,
    duration_s: float,
    fair: bool,
    failing: bool,
) -> Outcome:
    """Simulate one policy and compare it with the ideal scheduler."""
    rng = random.Random(seed)
    workers = make_workers(rng)
    capacity = SLOTS * sum(w.base_speed for w in workers)
    jobs = make_jobs(rng, load, duration_s, capacity)
    ideal_s = ideal_response_s(jobs, workers)
    middle = sorted(workers, key=lambda w: w.base_speed)[N_WORKERS // 2].id
    cluster = Cluster(
        jobs, workers, POLICIES[policy], rng, fair, middle if failing else ''
    )
    cluster.run()
    assert not any(cluster.n_unfinished), 'a job did not end'
    counted = [n for n, j in enumerate(jobs) if j.at_s >= WARM_UP_S]
    real = [cluster.response_s[n] for n in counted]
    ideal = [ideal_s[n] for n in counted]
    n_99 = int(0.99 * len(counted))
    n_tasks = sum(len(j.tasks) for j in jobs)
    starts_s = cluster.failing_starts_s
    return Outcome(
        statistics.fmean(real) / statistics.fmean(ideal),
        sorted(real)[n_99] / sorted(ideal)[n_99],
        cluster.n_rejected / n_tasks,
        cluster.n_wasted / n_tasks,
        cluster.n_lost / n_tasks,
        sum(at_s < starts_s[0] + 0.5 for at_s in starts_s),
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--policies', nargs='+', default=list(POLICIES))
    parser.add_argument('--loads', nargs='+', type=float, default=[0.6, 0.9])
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--duration-s', type=float, default=60.0)
    parser.add_argument('--processes', type=int, default=5)
    parser.add_argument(
        '--fifo',
        action='store_true',
        help='serve jobs of an instance in arrival order, not round-robin',
    )
    parser.add_argument('--failing', action='store_true')
    args = parser.parse_args()
    print('load policy: ' + ', '.join(Outcome._fields) + ' (median)')
    options = (args.duration_s, not args.fifo, args.failing)
    with concurrent.futures.ProcessPoolExecutor(args.processes) as executor:
        runs = {
            (load, policy): [
                executor.submit(run_once, policy, load, seed, *options)
                for seed in range(args.seeds)
            ]
            for load in args.loads
            for policy in args.policies
        }
        for (load, policy), futures in runs.items():
            outcomes = [f.result() for f in futures]
            columns = zip(*outcomes, strict=True)
            figures = ' '.join(f'{statistics.median(c):.3f}' for c in columns)
            print(f'{load:.0%} {policy}: {figures}', flush=True)


if __name__ == '__main__':
    main()
