"""Randomized runs of a fleet under several disruptions at a time."""

import random
import typing

import trio

from orioleloom import dispatch
from orioleloom import node
from orioleloom_standins.leased import _disrupted
from orioleloom_standins.leased import _load
from orioleloom_standins.leased import _worker
from orioleloom_standins.leased import _world

# Delay after which a caller resubmits a job that got no answer.
_RESEND_S = 1.3
_TRAFFIC_S = 11.0
# Faults begin within this time, several at a time.
_FAULTS_S = 8.0
_FAULTS_PER_S = 1.6
_JOBS_PER_S = 14.0
# All runs have ended this long after the traffic and the faults.
_DRAIN_S = 3.0
# Longest wait of an instance for its pending jobs in a planned stop.
_GRACE_S = 3.0
# Silence after which the store drops a worker's row, and the range of the time
# after which the next heartbeat brings it back.
_ROW_LAPSE_RANGE_S = (4.0, 5.5)
_ROW_RETURN_RANGE_S = (0.0, 1.5)
# Notice that a worker gives before it leaves.
_LEAVE_NOTICE_S = 2.0
_MIN_WORKERS = 3
_QUEUE = dispatch.Queue('lookup', 'pool', 1, 3, 1.6, 0.06)


class Disruptions(typing.NamedTuple):
    """Options of a history with several disruptions at a time.

    :param late_lease: lease of commands that are carried out late
    :param late_after_restart: late commands are carried out after a restart
        of the worker as well
    :param silent_breaks: connections of callers may break without notice to
        the instance
    :param has_overloads: leaders are short of processor time at times, so that
        they refuse jobs
    """

    late_lease: _disrupted.LateLease = _disrupted.LateLease.AS_SENT
    late_after_restart: bool = False
    silent_breaks: bool = False
    has_overloads: bool = False


class _Attempt(typing.NamedTuple):
    """A request of a caller that has not been answered."""

    job: dispatch.Job
    instance_id: str
    instance: node.Node
    on_outcome: typing.Callable[[dispatch.Outcome], None]


class DisruptedHistory:
    """Callers and faults of one history."""

    def __init__(
        self,
        fleet: _disrupted.DisruptedFleet,
        rng: random.Random,
        options: Disruptions,
        faults: list[str],
    ):
        self.fleet = fleet
        self.rng = rng
        self.options = options
        self.faults = faults
        self.n_jobs = 0
        self.attempts: dict[str, _Attempt] = {}
        self.outcomes: dict[str, dispatch.Outcome] = {}
        # Jobs whose only attempt so far was refused by an overloaded leader.
        self.refused_job_ids: set[str] = set()
        self.n_refused = 0
        self._sent_job_ids: set[str] = set()
        self._n_workers = len(fleet.workers)
        self._store_faults: dict[str, int] = {}
        self._end_s = trio.current_time() + _TRAFFIC_S + 1.0

    def log_fault(self, text: str) -> None:
        self.faults.append(f'{trio.current_time():.3f} {text}')

    def _after(
        self,
        delay_s: float,
        call: typing.Callable[..., typing.Any],
        *args: typing.Any,
    ) -> None:
        self.fleet.call_after(delay_s, lambda: call(*args))

    # Callers

    async def send_jobs(self) -> None:
        """Send jobs at random times."""
        end_s = trio.current_time() + _TRAFFIC_S
        while trio.current_time() < end_s:
            await trio.sleep(self.rng.expovariate(_JOBS_PER_S))
            self._send(self._new_job())

    def _new_job(self) -> dispatch.Job:
        job_id = f'{self.n_jobs:016x}'
        self.n_jobs += 1
        steps = []
        n_steps = self.rng.choice((1, 1, 2, 3))
        for number in range(n_steps):
            n_tasks = self.rng.choice((1, 1, 2, 4))
            work_s = self.rng.choice((0.05, 0.2, 0.9, 1.8))
            room = dispatch.Resources(self.rng.choice((1_500, 6_800)), 64)
            for index in range(n_tasks):
                self.fleet.world.set_task(
                    dispatch.TaskKey(job_id, number, index),
                    work_s,
                    room,
                    is_poison=self.rng.random() < 0.01,
                )
            steps.append(
                dispatch.Step(
                    n_tasks,
                    room,
                    work_s * self.rng.uniform(0.6, 1.6),
                    after=(number - 1,) if number else (),
                )
            )
        return dispatch.Job(job_id, _QUEUE, 'payload', tuple(steps))

    def _send(self, job: dispatch.Job) -> None:
        if trio.current_time() > self._end_s:
            return
        names = [
            name
            for name, instance in sorted(self.fleet.nodes.items())
            if not instance.is_stopping
            and not self.fleet.pauses.is_paused(name)
        ]
        if not names:
            self._after(_RESEND_S, self._send, job)
            return
        name = self.rng.choice(names)
        instance = self.fleet.nodes[name]
        self.refused_job_ids.discard(job.id)
        attempt = _Attempt(
            job,
            name,
            instance,
            lambda outcome: self._handle_outcome(attempt, outcome, is_first),
        )
        self.attempts[job.id] = attempt
        is_first = job.id not in self._sent_job_ids
        self._sent_job_ids.add(job.id)
        now_s = trio.current_time()
        deadline_s = now_s + self.rng.uniform(1.9, 7.0)
        instance.submit(
            job,
            arrived_s=now_s,
            deadline_s=deadline_s,
            on_outcome=attempt.on_outcome,
        )
        # After its own deadline a caller gives up, as on a frozen instance.
        self._after(deadline_s - now_s + 0.1, self._time_out, attempt)

    def _handle_outcome(
        self, attempt: _Attempt, outcome: dispatch.Outcome, is_first: bool
    ) -> None:
        job = attempt.job
        if outcome.reason in dispatch.REFUSAL_REASONS:
            self.n_refused += 1
            if is_first:
                self.refused_job_ids.add(job.id)
                self.check_refusals()
        if self.attempts.get(job.id) is not attempt:
            return
        del self.attempts[job.id]
        self.outcomes[job.id] = outcome
        if outcome.kind is dispatch.OutcomeKind.UNKNOWN:
            self._after(_RESEND_S, self._send, job)
        elif outcome.kind is dispatch.OutcomeKind.NOT_RUN:
            self._after(self.rng.uniform(0.3, 3.0), self._send, job)

    def check_refusals(self) -> None:
        """Check that no refused job has started.

        :raises Violation: a job that was refused as not run has started
        """
        for start in self.fleet.starts:
            if start.rejection is None and (
                start.key.job_id in self.refused_job_ids
            ):
                raise _world.Violation(f'refused as not run: {start}')

    async def overload_leaders(self, rng: random.Random) -> None:
        """Let leaders refuse new jobs for short periods."""
        while True:
            await trio.sleep(rng.uniform(0.2, 1.5))
            until_s = trio.current_time() + rng.uniform(0.2, 1.5)
            pacers = []
            while trio.current_time() < until_s:
                for instance in self.fleet.nodes.values():
                    if instance.leader is not None:
                        pacers.append(instance.leader.dispatcher.pacer)
                        # One task a round, and no time for others.
                        pacers[-1].max_starts = 1
                        pacers[-1].is_overloaded = lambda *_: True
                await trio.sleep(0.005)
            for pacer in pacers:
                pacer.__dict__.pop('is_overloaded', None)

    def _time_out(self, attempt: _Attempt) -> None:
        if self.attempts.get(attempt.job.id) is attempt:
            self._break(attempt, is_noticed=True)

    def _break(self, attempt: _Attempt, *, is_noticed: bool) -> None:
        """Break a caller's connection; the job is sent again elsewhere."""
        if self.attempts.get(attempt.job.id) is not attempt:
            return
        del self.attempts[attempt.job.id]
        if is_noticed:
            self.fleet.nursery.start_soon(self._notice_break, attempt)
        self._after(_RESEND_S, self._send, attempt.job)

    async def _notice_break(self, attempt: _Attempt) -> None:
        await trio.sleep(self.rng.uniform(0.0, 0.003))
        await self.fleet.pauses.wait(attempt.instance_id)
        if self.fleet.nodes.get(attempt.instance_id) is attempt.instance:
            attempt.instance.handle_caller_disconnect(
                attempt.job.id, attempt.on_outcome
            )

    def _break_connections(self, instance_id: str, share: float) -> None:
        for attempt in list(self.attempts.values()):
            if (
                attempt.instance_id == instance_id
                and self.rng.random() < share
            ):
                self._break(
                    attempt,
                    is_noticed=not self.options.silent_breaks
                    or self.rng.random() < 0.5,
                )

    # Instances

    def _kill(self, instance_id: str, for_s: float) -> None:
        if instance_id not in self.fleet.nodes:
            return
        self.log_fault(f'kill {instance_id} for {for_s:.2f}')
        self.fleet.kill(instance_id)
        for attempt in list(self.attempts.values()):
            if attempt.instance_id == instance_id:
                self._break(attempt, is_noticed=False)
        self._after(for_s, self._start_again, instance_id)

    def _start_again(self, instance_id: str) -> None:
        if instance_id not in self.fleet.nodes:
            self.log_fault(f'start {instance_id}')
            self.fleet.start(instance_id)

    def _freeze(self, instance_id: str, for_s: float) -> None:
        if instance_id not in self.fleet.nodes:
            return
        self.log_fault(f'freeze {instance_id} for {for_s:.2f}')
        self.fleet.pauses.begin(instance_id, for_s)
        # Their connections may be reset at the same time.
        self._break_connections(instance_id, self.rng.choice((0.0, 0.5)))

    def _stop(self, instance_id: str, for_s: float) -> None:
        """Begin a planned stop, which ends once no job is pending."""
        instance = self.fleet.nodes.get(instance_id)
        if (
            instance is None
            or instance.is_stopping
            or self.fleet.pauses.is_paused(instance_id)
        ):
            return
        self.log_fault(f'stop {instance_id} for {for_s:.2f}')
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
            self._kill(instance_id, for_s)

    def _any_instance(self) -> str | None:
        """Return an instance, often one that leads or sent the last start."""
        names = sorted(self.fleet.nodes)
        if not names:
            return None
        leaders = sorted(self.fleet.leaders())
        draw = self.rng.random()
        if leaders and draw < 0.5:
            return self.rng.choice(leaders)
        if self.fleet.starts and draw < 0.7:
            return self.fleet.starts[-1].instance_id
        return self.rng.choice(names)

    def _strike(self) -> None:
        """Kill, freeze or stop an instance."""
        name = self._any_instance()
        if name is None:
            return
        action = self.rng.choice((self._kill, self._freeze, self._stop))
        action(name, self.rng.choice((0.25, 0.5, 0.8, 1.2, 2.5)))

    def _some_instances(self) -> frozenset[str]:
        names = sorted(self.fleet.nodes)
        chosen = {
            name
            for name in (self._any_instance() for _ in range(2))
            if name is not None
        }
        if self.rng.random() < 0.4:
            chosen.update(
                self.rng.sample(names, self.rng.randrange(len(names) + 1))
            )
        return frozenset(chosen)

    def _some_workers(self) -> frozenset[str]:
        names = sorted(self.fleet.workers)
        return frozenset(
            self.rng.sample(names, self.rng.randint(1, max(1, len(names) - 1)))
        )

    # Faults

    async def inject_faults(self) -> None:
        """Begin random faults; each one ends after a random time."""
        end_s = trio.current_time() + _FAULTS_S
        actions = (
            self._cut_workers_from_store,
            self._cut_workers_from_store,
            self._cut_workers_from_instances,
            self._cut_workers_from_instances,
            self._cut_workers_from_instances,
            self._cut_all_from_store,
            self._cut_instances,
            self._cut_data_centre,
            self._delay_peers,
            self._delay_commands,
            self._disrupt_store,
            self._crash_worker,
            self._crash_worker,
            self._add_worker,
            self._remove_worker,
            self._break_callers,
            self._break_callers,
            self._let_callers_leave,
            self._jump_clock,
            self._slow_workers,
        )
        while True:
            await trio.sleep(self.rng.expovariate(_FAULTS_PER_S))
            if trio.current_time() >= end_s:
                return
            for_s = self.rng.choice((0.4, 0.8, 1.3, 2.5, 6.0))
            for_s *= self.rng.uniform(0.7, 1.3)
            self.rng.choice(actions)(for_s)
            if self.rng.random() < 0.7:
                self._after(self.rng.uniform(0.0, for_s + 0.6), self._strike)

    def _begin_link_fault(
        self,
        one: typing.Iterable[str],
        other: typing.Iterable[str],
        state: _disrupted.LinkState,
        for_s: float,
    ) -> None:
        fault = _disrupted.LinkFault(frozenset(one), frozenset(other), state)
        self.fleet.network.faults.append(fault)
        self._after(for_s, self._end_link_fault, fault)

    def _end_link_fault(self, fault: _disrupted.LinkFault) -> None:
        self.fleet.network.faults.remove(fault)
        if _disrupted.STORE in fault.other:
            for name in sorted(fault.one):
                self._return_row(name)

    def _is_cut_from_store(self, name: str) -> bool:
        return not self.fleet.network.reaches(name, _disrupted.STORE)

    def _return_row(self, worker_id: str) -> None:
        """Let a worker's next heartbeat write its row."""
        self._after(
            self.rng.uniform(*_ROW_RETURN_RANGE_S), self._write_row, worker_id
        )

    def _write_row(self, worker_id: str) -> None:
        worker = self.fleet.workers.get(worker_id)
        if (
            worker is not None
            and worker.is_reachable
            and not self._is_cut_from_store(worker_id)
        ):
            self.fleet.store.put('workers', worker_id, worker.info)

    def _lapse_row_if_cut(self, worker_id: str) -> None:
        worker = self.fleet.workers.get(worker_id)
        if (
            worker is None
            or not worker.is_reachable
            or self._is_cut_from_store(worker_id)
        ):
            self.fleet.store.put('workers', worker_id, None)

    def _schedule_row_lapse(self, worker_id: str) -> None:
        self._after(
            self.rng.uniform(*_ROW_LAPSE_RANGE_S),
            self._lapse_row_if_cut,
            worker_id,
        )

    def _cut_workers_from_store(self, for_s: float) -> None:
        names = self._some_workers()
        for_s += 3.0
        self.log_fault(f'{sorted(names)} lose the store for {for_s:.2f}')
        self._begin_link_fault(
            names, [_disrupted.STORE], _disrupted.LinkState.CUT, for_s
        )
        for name in sorted(names):
            # The last heartbeat may be a while ago.
            self._schedule_row_lapse(name)

    def _cut_all_from_store(self, for_s: float) -> None:
        names = self._some_workers() | self._some_instances()
        for_s += 2.0
        self.log_fault(f'{sorted(names)} lose the store for {for_s:.2f}')
        self._begin_link_fault(
            names, [_disrupted.STORE], _disrupted.LinkState.CUT, for_s
        )
        for name in sorted(names & self.fleet.workers.keys()):
            self._schedule_row_lapse(name)

    def _cut_workers_from_instances(self, for_s: float) -> None:
        workers = self._some_workers()
        instances = self._some_instances()
        state = self.rng.choice(list(_disrupted.LinkState))
        self.log_fault(
            f'{sorted(instances)} to {sorted(workers)}: {state.value} '
            f'for {for_s:.2f}'
        )
        self._begin_link_fault(instances, workers, state, for_s)

    def _cut_instances(self, for_s: float) -> None:
        names = sorted(self.fleet.nodes)
        one = self._some_instances()
        state = self.rng.choice(
            (
                _disrupted.LinkState.CUT,
                _disrupted.LinkState.CUT,
                _disrupted.LinkState.MUTE,
                _disrupted.LinkState.DEAF,
            )
        )
        others = frozenset(names) - one
        self.log_fault(
            f'{sorted(one)} to {sorted(others)}: {state.value} for {for_s:.2f}'
        )
        self._begin_link_fault(one, others, state, for_s)

    def _cut_data_centre(self, for_s: float) -> None:
        zones: dict[str, set[str]] = {}
        for name, instance in self.fleet.nodes.items():
            zones.setdefault(instance.settings.data_centre, set()).add(name)
        for worker in self.fleet.workers.values():
            zones.setdefault(worker.info.data_centre, set()).add(
                worker.info.id
            )
        zone = self.rng.choice(sorted(zones))
        others = set().union(*zones.values()) - zones[zone]
        self.log_fault(f'partition {zone} for {for_s:.2f}')
        self._begin_link_fault(
            zones[zone],
            others | {_disrupted.STORE},
            _disrupted.LinkState.CUT,
            for_s,
        )
        for name in sorted(zones[zone] & self.fleet.workers.keys()):
            self._schedule_row_lapse(name)

    def _delay_peers(self, for_s: float) -> None:
        """Reset the connections of an instance, or let them deliver late."""
        name = self._any_instance()
        if name is None:
            return
        until_s = trio.current_time() + for_s
        is_reset = self.rng.random() < 0.3
        is_outgoing = self.rng.random() < 0.7
        is_incoming = self.rng.random() < 0.7
        self.log_fault(
            f'peers of {name}: reset'
            if is_reset
            else f'peers of {name}: out {is_outgoing}, in {is_incoming} '
            f'late by {for_s:.2f}'
        )
        for address, socket in list(self.fleet.sockets.items()):
            if is_reset:
                if socket.instance_id == name:
                    socket.reset()
            elif socket.instance_id == name and is_outgoing:
                for other in self.fleet.sockets:
                    socket.queued_until_s[other] = until_s
            elif socket.instance_id != name and is_incoming:
                for target in self.fleet.sockets.values():
                    if target.instance_id == name:
                        socket.queued_until_s[target.address] = until_s
        if is_reset:
            self._break_connections(name, 1.0)

    def _delay_commands(self, for_s: float) -> None:
        share = self.rng.choice((0.05, 0.2, 0.5))
        names = self._some_workers()
        self.log_fault(
            f'commands of {sorted(names)} late, share {share}, for {for_s:.2f}'
        )
        workers = [self.fleet.workers[name] for name in sorted(names)]
        for worker in workers:
            worker.late_share = share

        def end() -> None:
            for worker in workers:
                worker.late_share = 0.0

        self._after(for_s, end)

    def _disrupt_store(self, for_s: float) -> None:
        kind = self.rng.choice(
            ('down', 'slow', 'silent', 'lossy', 'stale', 'history', 'rejects')
        )
        store = self.fleet.store
        self.log_fault(f'store {kind} for {for_s:.2f}')
        match kind:
            case 'history':
                store.drop_history()
                return
            case 'stale':
                store.become_stale()
            case 'rejects':
                store.rejected_instances.update(self._some_instances())
            case _:
                setattr(store, f'is_{kind}', True)
        self._store_faults[kind] = self._store_faults.get(kind, 0) + 1
        rows_lapse = kind == 'down' and self.rng.random() < 0.5

        def end() -> None:
            self._store_faults[kind] -= 1
            if self._store_faults[kind]:
                return
            match kind:
                case 'stale':
                    store.stale.clear()
                case 'rejects':
                    store.rejected_instances.clear()
                case _:
                    setattr(store, f'is_{kind}', False)
            if rows_lapse:
                for name in sorted(self._some_workers()):
                    store.put('workers', name, None)
                    self._return_row(name)

        self._after(for_s, end)

    def _any_worker(self) -> _worker.LeasedWorker:
        """Return a worker, often one that runs tasks."""
        names = sorted(self.fleet.workers)
        busy = [n for n in names if self.fleet.workers[n].runs]
        if busy and self.rng.random() < 0.7:
            names = busy
        return self.fleet.workers[self.rng.choice(names)]

    def _crash_worker(self, for_s: float) -> None:
        """Crash a worker, often behind a cut from some instances."""
        worker = self._any_worker()
        name = worker.info.id
        if not worker.is_reachable:
            return
        back_s = self.rng.choice((0.02, 0.3, 1.0, 3.0))
        is_replaced = self.rng.random() < 0.3
        self.log_fault(
            f'{name} crashes, back after {back_s}'
            + (' under another id' if is_replaced else '')
        )
        if self.rng.random() < 0.5:
            self._begin_link_fault(
                self._some_instances(),
                [name],
                _disrupted.LinkState.CUT,
                for_s,
            )
        if self.rng.random() < 0.3:
            self._begin_link_fault(
                [name],
                [_disrupted.STORE],
                _disrupted.LinkState.CUT,
                for_s,
            )
        worker.crash()
        self._schedule_row_lapse(name)
        if is_replaced:
            self._after(back_s, self._replace_worker, worker)
        else:
            self._after(back_s, self._restart_worker, worker)

    def _restart_worker(self, worker: _worker.LeasedWorker) -> None:
        if self.fleet.workers.get(worker.info.id) is not worker:
            return
        worker.restart(trio.current_time())
        worker.is_reachable = True
        self._return_row(worker.info.id)

    def _replace_worker(self, old: _worker.LeasedWorker) -> None:
        """Start a worker under a new id at the address of another."""
        self.fleet.workers.pop(old.info.id, None)
        self._start_worker(old.info.address, old.info.data_centre)

    def _start_worker(self, address: str, data_centre: str) -> None:
        number = self._n_workers
        self._n_workers += 1
        (worker,) = _load.site_workers(1)
        worker.info = worker.info._replace(
            id=f'w{number}', address=address, data_centre=data_centre
        )
        worker.reset(trio.current_time())
        self.fleet.workers[worker.info.id] = worker
        self.log_fault(f'{worker.info.id} starts at {address}')
        self._write_row(worker.info.id)

    def _add_worker(self, for_s: float) -> None:
        self._start_worker(
            f'10.0.1.{self._n_workers}:80', f'dc{self.rng.randrange(4)}'
        )

    def _remove_worker(self, for_s: float) -> None:
        if len(self.fleet.workers) <= _MIN_WORKERS:
            return
        worker = self._any_worker()
        name = worker.info.id
        self.log_fault(f'{name} leaves')
        worker.info = worker.info._replace(is_leaving=True)
        self._write_row(name)
        self._after(_LEAVE_NOTICE_S, self._end_worker, worker)

    def _end_worker(self, worker: _worker.LeasedWorker) -> None:
        name = worker.info.id
        if self.fleet.workers.get(name) is not worker:
            return
        worker.crash()
        del self.fleet.workers[name]
        if self._is_cut_from_store(name):
            self._schedule_row_lapse(name)
        else:
            self.fleet.store.put('workers', name, None)
        if self.rng.random() < 0.5:
            self._start_worker(worker.info.address, worker.info.data_centre)

    def _break_callers(self, for_s: float) -> None:
        name = self._any_instance()
        if name is not None:
            self.log_fault(f'callers of {name} lose their connections')
            self._break_connections(name, self.rng.choice((0.3, 1.0)))

    def _let_callers_leave(self, for_s: float) -> None:
        for job_id, attempt in list(self.attempts.items()):
            if self.rng.random() < 0.3:
                del self.attempts[job_id]
                self.fleet.nursery.start_soon(self._notice_break, attempt)

    def _jump_clock(self, for_s: float) -> None:
        name = self._any_instance()
        if name is not None:
            error_s = self.rng.uniform(-30.0, 30.0)
            self.log_fault(f'clock of {name} is off by {error_s:.1f} s')
            self.fleet.clock_errors_s[name] = error_s

    def _slow_workers(self, for_s: float) -> None:
        workers = [self.fleet.workers[n] for n in sorted(self._some_workers())]
        factor = self.rng.choice((3.0, 20.0))
        self.log_fault(
            f'{[w.info.id for w in workers]} are slow ({factor}) '
            f'for {for_s:.2f}'
        )
        for worker in workers:
            worker.slow_down(factor, trio.current_time())

        def end() -> None:
            for worker in workers:
                worker.slow_down(1.0, trio.current_time())

        self._after(for_s, end)


async def run(
    seed: int, options: Disruptions, faults: list[str]
) -> DisruptedHistory:
    """Run one history.

    :param faults: list to which the injected faults are added
    """
    rng = random.Random(seed)
    n_data_centres = rng.randint(1, 4)
    async with trio.open_nursery() as nursery:
        fleet = _disrupted.DisruptedFleet(
            nursery,
            _load.site_workers(rng.randint(4, 12)),
            [f'dc{n % n_data_centres}' for n in range(rng.randint(3, 6))],
            random_state=rng,
        )
        fleet.late_lease = options.late_lease
        fleet.late_after_restart = options.late_after_restart
        fleet.store.put('routing', 'config', node.Routing(1, ()))
        fleet.start()
        await trio.sleep(1.5)
        history = DisruptedHistory(fleet, rng, options, faults)
        if options.has_overloads:
            nursery.start_soon(
                history.overload_leaders, random.Random(f'overload {seed}')
            )
        async with trio.open_nursery() as inner:
            inner.start_soon(history.send_jobs)
            inner.start_soon(history.inject_faults)
        await trio.sleep(_DRAIN_S)
        history.check_refusals()
        nursery.cancel_scope.cancel()
    return history
