"""Randomized fault-injection runs of a simulated fleet."""

import collections
import random
import typing

import trio
import trio.testing

from orioleloom import dispatch
from orioleloom import node
from orioleloom_standins.leased import _disruptions
from orioleloom_standins.leased import _fleet
from orioleloom_standins.leased import _load
from orioleloom_standins.leased import _world

# Delay after which a caller resubmits a job that got no answer.
_RESEND_S = 1.3
# Duration of faults and traffic, and of the recovery phase that follows.
_FAULTS_S = 12.0
_RECOVERY_S = 9.0
# Longest wait of an instance for its pending jobs in a planned stop.
_GRACE_S = 3.0
# Interval between the stops of two instances in a rolling stop.
_ROLLING_STOP_INTERVAL_S = 1.5
# Share of the jobs with a task that crashes its workers, if there are any.
_DEADLY_SHARE = 0.04
# Time after a change of capacity in which starts may still exceed it.
_CAPACITY_NOTICE_S = 4.5
_QUEUE = dispatch.Queue('lookup', 'pool', 1, 3, 1.6, 0.06)


class HistoryReport(typing.NamedTuple):
    """Result of one randomized run.

    :param faults: injected faults, each prefixed with its time in seconds
    :param outcomes: number of jobs by kind of outcome
    """

    seed: int
    faults: list[str]
    n_jobs: int
    outcomes: dict[str, int]


class _History:
    def __init__(
        self,
        fleet: _fleet.Fleet,
        rng: random.Random,
        *,
        has_stops: bool,
        has_crashes: bool = False,
    ):
        self.has_stops = has_stops
        self.has_crashes = has_crashes
        self.fleet = fleet
        self.rng = rng
        self.faults: list[str] = []
        self.n_jobs = 0
        # Unanswered jobs by id, with the id of the instance that holds each.
        self.waiting: dict[str, tuple[dispatch.Job, list[float], str]] = {}
        self.outcomes: dict[str, dispatch.Outcome] = {}
        self.is_recovering = False
        self.start_s = trio.current_time()

    def log_fault(self, text: str) -> None:
        self.faults.append(f'{trio.current_time() - self.start_s:.2f} {text}')

    # Callers

    async def send_jobs(self, duration_s: float, per_s: float = 12.0) -> None:
        """Send jobs at random times."""
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            await trio.sleep(self.rng.expovariate(per_s))
            n_tasks = self.rng.choice((1, 2, 4, 8))
            work_s = self.rng.choice((0.05, 0.2, 0.9))
            job = dispatch.Job(
                f'{self.n_jobs:016x}',
                _QUEUE,
                'payload',
                (
                    dispatch.Step(
                        n_tasks,
                        dispatch.Resources(6_800, 64),
                        work_s * self.rng.uniform(0.6, 1.6),
                    ),
                ),
            )
            self.n_jobs += 1
            self.fleet.world.declare(job, [work_s] * n_tasks)
            if self.has_crashes and not self.is_recovering:
                self._let_some_crash(job, work_s)
            self.send(job)

    def _let_some_crash(self, job: dispatch.Job, work_s: float) -> None:
        if self.rng.random() < _DEADLY_SHARE:
            self.fleet.world.set_crashing(
                dispatch.TaskKey(job.id, 0, 0),
                self.rng.uniform(0.0, work_s),
            )

    async def cancel_some_jobs(self, duration_s: float) -> None:
        """Let callers leave while their jobs run."""
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            await trio.sleep(0.1)
            for job_id, (_, _, holder) in list(self.waiting.items())[:1]:
                instance = self.fleet.nodes.get(holder)
                if instance is not None and not (
                    self.fleet.pauses.is_paused(holder)
                ):
                    del self.waiting[job_id]
                    instance.cancel(job_id)

    def send(self, job: dispatch.Job) -> None:
        """Submit a job to a random instance that accepts jobs."""
        if not self.fleet.nodes:
            self.fleet.call_after(_RESEND_S, lambda: self.send(job))
            return
        # The load balancer skips instances that are stopping.
        names = [
            name
            for name, instance in sorted(self.fleet.nodes.items())
            if not instance.is_stopping
            and not self.fleet.pauses.is_paused(name)
        ]
        if not names:
            self.fleet.call_after(_RESEND_S, lambda: self.send(job))
            return
        instance_id = self.rng.choice(names)
        self.waiting[job.id] = (job, [], instance_id)
        now_s = trio.current_time()
        self.fleet.nodes[instance_id].submit(
            job,
            arrived_s=now_s,
            deadline_s=now_s + self.rng.uniform(1.9, 7.0),
            on_outcome=lambda outcome: self._ended(job, outcome),
        )

    def _ended(self, job: dispatch.Job, outcome: dispatch.Outcome) -> None:
        if job.id not in self.waiting:
            return
        del self.waiting[job.id]
        self.outcomes[job.id] = outcome
        if outcome.kind is dispatch.OutcomeKind.UNKNOWN:
            self.fleet.call_after(_RESEND_S, lambda: self.send(job))

    def kill(self, instance_id: str) -> None:
        """Kill an instance and resubmit its unanswered jobs elsewhere."""
        self.fleet.kill(instance_id)
        for job, _, holder in list(self.waiting.values()):
            if holder == instance_id:
                del self.waiting[job.id]
                self.fleet.call_after(
                    _RESEND_S, lambda job=job: self.send(job)
                )

    def resend_jobs_of(self, instance_id: str) -> None:
        """Resubmit elsewhere the jobs that an instance does not answer."""
        for job, _, holder in list(self.waiting.values()):
            if holder == instance_id:
                self.fleet.call_after(
                    _RESEND_S, lambda job=job: self._resend(job, instance_id)
                )

    def _resend(self, job: dispatch.Job, instance_id: str) -> None:
        if job.id in self.waiting and self.fleet.pauses.is_paused(instance_id):
            self.send(job)

    # Faults

    async def inject_faults(self, duration_s: float) -> None:
        """Inject random faults; each one ends after a random time."""
        end_s = trio.current_time() + duration_s
        actions = (
            self._kill_some,
            self._kill_leader,
            self._kill_all,
            self._cut_data_centre,
            self._cut_instance,
            self._store_down,
            self._store_rejects,
            self._worker_restarts,
            self._worker_unreachable,
            self._commands_delayed,
            self._worker_leaves,
        )
        if self.has_stops:
            actions += (
                self._stop_some,
                self._stop_leader,
                self._rolling_stop,
                self._clock_jumps,
            )
        if self.has_crashes:
            actions += (
                self._worker_crashes,
                self._workers_reset,
                self._capacity_changes,
            )
        while True:
            await trio.sleep(self.rng.expovariate(0.8))
            if trio.current_time() >= end_s:
                return
            self.rng.choice(actions)(self.rng.uniform(0.3, 5.0))

    def _restart_later(self, instance_id: str, delay_s: float) -> None:
        self.fleet.call_after(delay_s, lambda: self.fleet.start(instance_id))

    def _kill_some(self, for_s: float) -> None:
        if not self.fleet.nodes:
            return
        instance_id = self.rng.choice(sorted(self.fleet.nodes))
        self.log_fault(f'kill {instance_id} for {for_s:.1f}')
        self.kill(instance_id)
        self._restart_later(instance_id, for_s)

    def _kill_leader(self, for_s: float) -> None:
        for instance_id in self.fleet.leaders():
            self.log_fault(f'kill leader {instance_id} for {for_s:.1f}')
            self.kill(instance_id)
            self._restart_later(instance_id, for_s)

    def _kill_all(self, for_s: float) -> None:
        self.log_fault('kill all')
        for instance_id in list(self.fleet.nodes):
            self.kill(instance_id)
            self._restart_later(instance_id, self.rng.uniform(0.5, 1.5))

    def _stop(self, instance_id: str, for_s: float) -> None:
        """Begin a planned stop, which ends once no job is pending."""
        instance = self.fleet.nodes.get(instance_id)
        if instance is None or instance.is_stopping:
            return
        instance.begin_stop(trio.current_time() + _GRACE_S)
        self.fleet.nursery.start_soon(
            self._finish_stop, instance_id, instance, for_s
        )

    async def _finish_stop(
        self, instance_id: str, instance: node.Node, for_s: float
    ) -> None:
        with trio.move_on_after(_GRACE_S):
            while instance.pending:
                await trio.sleep(0.05)
        if self.fleet.nodes.get(instance_id) is instance:
            instance.end_stop()
            self.kill(instance_id)
            self._restart_later(instance_id, for_s)

    def _stop_some(self, for_s: float) -> None:
        if self.fleet.nodes:
            name = self.rng.choice(sorted(self.fleet.nodes))
            self.log_fault(f'stop {name} for {for_s:.1f}')
            self._stop(name, for_s)

    def _stop_leader(self, for_s: float) -> None:
        for name in self.fleet.leaders():
            self.log_fault(f'stop leader {name} for {for_s:.1f}')
            self._stop(name, for_s)

    def _rolling_stop(self, for_s: float) -> None:
        self.log_fault('rolling stop of all instances')
        for number, name in enumerate(sorted(self.fleet.nodes)):
            self.fleet.call_after(
                number * _ROLLING_STOP_INTERVAL_S,
                lambda name=name: self._stop(name, 0.4),
            )

    def _clock_jumps(self, for_s: float) -> None:
        name = f'e{self.rng.randrange(6)}'
        error_s = self.rng.uniform(-30.0, 30.0)
        self.log_fault(f'clock of {name} is off by {error_s:.1f} s')
        self.fleet.clock_errors_s[name] = error_s

    def _cut_data_centre(self, for_s: float) -> None:
        name = self.rng.choice(('dc0', 'dc1', 'dc2', 'dc3'))
        self.log_fault(f'partition {name} for {for_s:.1f}')
        self.fleet.network.cut_data_centre(name)
        self.fleet.call_after(for_s, self.fleet.network.heal)

    def _cut_instance(self, for_s: float) -> None:
        if not self.fleet.nodes:
            return
        names = sorted(self.fleet.nodes)
        one = self.rng.choice(names)
        self.log_fault(f'partition instance {one} for {for_s:.1f}')
        for other in names:
            self.fleet.network.cut(one, other)
        self.fleet.call_after(for_s, self.fleet.network.heal)

    def _store_down(self, for_s: float) -> None:
        self.log_fault(f'store down for {for_s:.1f}')
        self.fleet.store.is_down = True

        def end() -> None:
            self.fleet.store.is_down = False

        self.fleet.call_after(for_s, end)

    def _store_rejects(self, for_s: float) -> None:
        if not self.fleet.nodes:
            return
        name = self.rng.choice(sorted(self.fleet.nodes))
        self.log_fault(f'store rejects {name} for {for_s:.1f}')
        self.fleet.store.rejected_instances.add(name)
        self.fleet.call_after(
            for_s, lambda: self.fleet.store.rejected_instances.discard(name)
        )

    def _any_worker(self) -> typing.Any:
        return self.rng.choice(list(self.fleet.workers.values()))

    def _worker_restarts(self, for_s: float) -> None:
        worker = self._any_worker()
        self.log_fault(f'worker {worker.info.id} restarts')
        worker.restart(trio.current_time())
        self.fleet.store.put('workers', worker.info.id, worker.info)

    def _worker_crashes(self, for_s: float) -> None:
        worker = self._any_worker()
        takes_new_id = self.rng.random() < 0.5
        self.log_fault(f'worker {worker.info.id} crashes')
        self.fleet.crash_worker(worker.info.id, takes_new_id=takes_new_id)

    def _workers_reset(self, for_s: float) -> None:
        workers = self.rng.sample(list(self.fleet.workers.values()), 3)
        names = [worker.info.id for worker in workers]
        self.log_fault(f'cut with reset of {names} for {for_s:.1f}')
        for worker in workers:
            worker.is_reset = True

        def end() -> None:
            for worker in workers:
                worker.is_reset = False

        self.fleet.call_after(for_s, end)

    def _capacity_changes(self, for_s: float) -> None:
        worker = self._any_worker()
        self.log_fault(f'capacity of {worker.info.id} changes')
        full = worker.info.capacity

        def change(cpu_millicores: int) -> None:
            worker.set_capacity(
                full._replace(cpu_millicores=cpu_millicores),
                trio.current_time(),
                _CAPACITY_NOTICE_S,
            )
            self.fleet.call_after(
                0.8,
                lambda: (
                    worker.is_up
                    and self.fleet.store.put(
                        'workers', worker.info.id, worker.info
                    )
                ),
            )

        change(self.rng.choice((8_000, 12_000)))
        self.fleet.call_after(for_s, lambda: change(full.cpu_millicores))

    def _worker_unreachable(self, for_s: float) -> None:
        worker = self._any_worker()
        self.log_fault(f'worker {worker.info.id} unreachable for {for_s:.1f}')
        worker.is_reachable = False

        def end() -> None:
            worker.is_reachable = True

        self.fleet.call_after(for_s, end)

    def _commands_delayed(self, for_s: float) -> None:
        self.log_fault(f'commands delayed for {for_s:.1f}')
        for worker in self.fleet.workers.values():
            worker.late_share = 0.1

        def end() -> None:
            for worker in self.fleet.workers.values():
                worker.late_share = 0.0

        self.fleet.call_after(for_s, end)

    def _worker_leaves(self, for_s: float) -> None:
        worker = self._any_worker()
        self.log_fault(f'worker {worker.info.id} leaves and returns')
        info = worker.info
        self.fleet.store.put(
            'workers', info.id, info._replace(is_leaving=True)
        )
        self.fleet.call_after(
            for_s + 2,
            lambda: self.fleet.store.put(
                'workers', worker.info.id, worker.info
            ),
        )


async def _run(seed: int, has_stops: bool, has_crashes: bool) -> HistoryReport:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = _fleet.Fleet(
            nursery,
            _load.site_workers(12),
            ['dc0', 'dc0', 'dc1', 'dc2', 'dc2', 'dc3'],
            random_state=rng,
        )
        routing = node.Routing(1, ())
        if has_crashes and seed % 2:
            routing = routing._replace(unguarded_upstreams=('pool',))
            for worker in fleet.workers.values():
                worker.checks_capacity = False
        fleet.store.put('routing', 'config', routing)
        fleet.start()
        await trio.sleep(1.5)
        history = _History(
            fleet, rng, has_stops=has_stops, has_crashes=has_crashes
        )
        async with trio.open_nursery() as inner:
            inner.start_soon(history.send_jobs, _FAULTS_S)
            inner.start_soon(history.inject_faults, _FAULTS_S)
        await trio.sleep(_RECOVERY_S)
        n_jobs_before = history.n_jobs
        history.is_recovering = True
        # At this rate the workers have capacity for every job.
        await history.send_jobs(2.0, per_s=4.0)
        await trio.sleep(_RECOVERY_S)
        _check_recovery(seed, history, n_jobs_before)
        _check_crashes(seed, history)
        nursery.cancel_scope.cancel()
    return HistoryReport(
        seed,
        history.faults,
        history.n_jobs,
        _count_outcomes(history.outcomes),
    )


def _count_outcomes(
    outcomes: dict[str, dispatch.Outcome],
) -> dict[str, int]:
    return dict(collections.Counter(o.kind for o in outcomes.values()))


class UnservedError(AssertionError):
    """A fleet did not recover after all faults had ended."""


def _check_recovery(seed: int, history: _History, n_jobs_before: int) -> None:
    faults = '; '.join(history.faults)
    if history.waiting:
        raise UnservedError(
            f'seed {seed}: no outcome for {sorted(history.waiting)} '
            f'after {faults}'
        )
    if len(history.fleet.leaders()) != 1:
        raise UnservedError(
            f'seed {seed}: leaders {history.fleet.leaders()} after {faults}'
        )
    last = [
        history.outcomes[f'{number:016x}']
        for number in range(n_jobs_before, history.n_jobs)
    ]
    if any(o.kind is not dispatch.OutcomeKind.COMPLETED for o in last):
        raise UnservedError(
            f'seed {seed}: last jobs ended as {last} after {faults}'
        )


class LimitError(AssertionError):
    """A limit on the starts of a task or on a worker was exceeded."""


def _check_crashes(seed: int, history: _History) -> None:
    """Check the starts of deadly tasks and of workers that check nothing.

    :raises LimitError: a task was started three times after three workers
        have crashed under it, or a start exceeded a worker's capacity
    """
    faults = '; '.join(history.faults)
    fleet = history.fleet
    crashes_s: dict[dispatch.TaskKey, list[float]] = {}
    for time_s, key in fleet.crash_log:
        crashes_s.setdefault(key, []).append(time_s)
    for key, times_s in crashes_s.items():
        if len(times_s) < 3:
            continue
        n_later = sum(
            1
            for start in fleet.starts
            if start.key == key
            and start.rejection is None
            and start.time_s > times_s[2]
        )
        if n_later >= 3:
            raise LimitError(
                f'seed {seed}: {key} was started {n_later} times after three '
                f'crashes; {faults}'
            )
    for worker in fleet.workers.values():
        if worker.n_starts_over_capacity:
            raise LimitError(
                f'seed {seed}: {worker.n_starts_over_capacity} starts over '
                f'the capacity of {worker.info.id}; {faults}'
            )


async def _run_pause(seed: int, pause: _fleet.PlannedPause) -> _fleet.Fleet:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = _fleet.Fleet(
            nursery,
            _load.site_workers(12),
            ['dc0', 'dc1', 'dc2', 'dc3'],
            random_state=rng,
        )
        fleet.store.put('routing', 'config', node.Routing(1, ()))
        fleet.start()
        await trio.sleep(1.5)
        history = _History(fleet, rng, has_stops=False)
        fleet.pauses.on_begin = history.resend_jobs_of
        fleet.pauses.planned = pause
        async with trio.open_nursery() as inner:
            inner.start_soon(history.send_jobs, 3.0)
            # Stops are sent only for jobs that callers leave.
            inner.start_soon(history.cancel_some_jobs, 3.0)
        await trio.sleep(pause.duration_s)
        if fleet.pauses.planned is not None:
            raise UnservedError(f'the leader never passed {pause.point!r}')
        n_jobs_before = history.n_jobs
        await history.send_jobs(1.0, per_s=4.0)
        await trio.sleep(_RECOVERY_S)
        _check_recovery(seed, history, n_jobs_before)
        nursery.cancel_scope.cancel()
    return fleet


def run_pause(seed: int, pause: _fleet.PlannedPause) -> _fleet.Fleet:
    """Run a fleet whose leader is paused once, on a mock clock.

    Callers of the paused instance resubmit their jobs elsewhere.

    :raises Violation: a task had two runs at the same time
    :raises UnservedError: the fleet did not recover, or the leader did not
        reach the place of the pause
    """
    return _run_on_mock_clock(seed, [], _run_pause, seed, pause)


def _run_on_mock_clock(
    seed: int,
    faults: list[str],
    function: typing.Callable[..., typing.Any],
    *args: typing.Any,
) -> typing.Any:
    """Run a simulation; raise a violation without its exception group.

    :param faults: faults that the simulation has injected
    """
    _fleet.seed_scheduler(seed)
    try:
        return trio.run(
            function,
            *args,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
    except BaseExceptionGroup as group:
        matching, _ = group.split(_world.Violation)
        if matching is None:
            raise
        while isinstance(matching, BaseExceptionGroup):
            matching = matching.exceptions[0]
        raise _world.Violation(
            f'seed {seed}: {matching}; faults: {"; ".join(faults)}'
        ) from group


def run_history(
    seed: int,
    *,
    has_stops: bool = False,
    has_crashes: bool = False,
    disruptions: _disruptions.Disruptions | None = None,
) -> HistoryReport:
    """Run a fleet under random faults on a mock clock.

    :param has_stops: also inject planned stops, rolling stops and wall clock
        errors
    :param has_crashes: also inject crashes of workers, tasks that cause them,
        cuts that reset connections and changes of capacity. With odd seeds
        the workers do not check their capacity.
    :param disruptions: inject several disruptions at a time instead, also of
        single links, and do not check that the fleet recovers
    :raises Violation: a task had two runs at the same time
    :raises UnservedError: the fleet did not recover
    :raises LimitError: a task crashed too many workers, or a start exceeded
        the capacity of a worker
    """
    if disruptions is None:
        return _run_on_mock_clock(seed, [], _run, seed, has_stops, has_crashes)
    faults: list[str] = []
    history = _run_on_mock_clock(
        seed, faults, _disruptions.run, seed, disruptions, faults
    )
    return HistoryReport(
        seed, faults, history.n_jobs, _count_outcomes(history.outcomes)
    )
