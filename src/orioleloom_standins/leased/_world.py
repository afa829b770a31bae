import heapq
import itertools
import random
import typing

from orioleloom import dispatch
from orioleloom_standins.leased import _worker

# One-way latency between dispatcher and worker.
_LATENCY_S = 0.0005
# Timeouts and tick interval, as in the product's leader.
_COMMAND_TIMEOUT_S = 0.03
_REPORT_GRACE_S = 0.05
_TICK_S = 0.025
# Range of the delay before a late command is executed.
_LATE_DELAY_RANGE_S = (2.0, 12.0)
# Time from a crash until the worker is back.
RESTART_DELAY_S = 3.2
# How long a row lags behind what it shows.
LIST_LAG_S = 0.8


class Violation(BaseException):
    """A task ran more than once at the same time.

    Not derived from :class:`Exception`: it is raised inside calls of the
    instances, whose error handling would log it and go on.
    """


class RunOrigin(typing.NamedTuple):
    """The start command that began a run.

    :param instance_id: sender of the command
    """

    instance_id: str
    token: int
    sent_s: float
    arrived_s: float

    def __str__(self) -> str:
        return (
            f'by {self.instance_id} with token {self.token}, sent at '
            f'{self.sent_s:.3f} s, arrived at {self.arrived_s:.3f} s'
        )


class _TaskWork(typing.NamedTuple):
    """Actual duration and result of a task, unknown to the dispatcher."""

    work_s: float
    is_poison: bool
    # Time from the start until the task crashes its worker.
    crash_after_s: float | None = None
    # Rack that holds the data of the task, or empty.
    rack: str = ''


class _SimulatedDispatcher:
    """A dispatcher with simulated network access to the workers.

    :param name: label for tests
    """

    def __init__(self, world: 'World', name: str, token: int, now_s: float):
        self.world = world
        self.name = name
        self.is_alive = True
        # Ids of workers that this dispatcher cannot reach.
        self.cut_off: set[str] = set()
        self.dispatcher = dispatch.Dispatcher(
            token=token,
            run_id_base=int(now_s * 4) + 1,
            random_state=random.Random(7),
            now_s=now_s,
            settings=world.settings,
        )
        self.outcomes: dict[str, tuple[dispatch.Outcome, float]] = {}
        self.n_superseded = 0
        self._n_announcements = 0
        self._tick()

    def _tick(self) -> None:
        if not self.is_alive:
            return
        self.dispatcher.tick(self.world.now_s)
        self.carry_out()
        self.world.after(_TICK_S, self._tick)

    def update_workers(self) -> None:
        """Pass the current list of workers to the dispatcher."""
        self.dispatcher.set_workers(
            {
                w.info.id: w.info
                for w in self.world.workers.values()
                if w.is_listed
            },
            self.world.now_s,
        )
        if self.dispatcher.has_unacknowledged_workers():
            # There are no other instances that have to know them.
            self._n_announcements += 1
            self.dispatcher.announce_workers(self._n_announcements)
            self.dispatcher.acknowledge_workers(self._n_announcements)
        self.carry_out()

    def carry_out(self) -> None:
        """Execute the pending effects of the dispatcher."""
        if not self.is_alive:
            return
        for effect in self.dispatcher.take_effects():
            match effect:
                case dispatch.StartRun():
                    self._send_start(effect)
                case dispatch.StopRun():
                    self._send_stop(effect)
                case dispatch.PollWorker():
                    self._poll_worker(effect.worker_id, effect.loop_index)
                case dispatch.PollWorkerOnce():
                    self._request_report(effect.worker_id, 0.0, None)
                case dispatch.AnswerJob():
                    self.outcomes[effect.job_id] = (
                        effect.outcome,
                        self.world.now_s,
                    )
                case dispatch.Superseded():
                    self.n_superseded += 1

    def _reaches(self, worker_id: str) -> bool:
        worker = self.world.workers.get(worker_id)
        return (
            worker is not None
            and worker.is_reachable
            and worker_id not in self.cut_off
        )

    def _is_late(self, worker_id: str) -> bool:
        worker = self.world.workers.get(worker_id)
        return worker is not None and (
            self.world.random_state.random() < worker.late_share
        )

    def _send_command(
        self,
        worker_id: str,
        execute: typing.Callable[[], typing.Any],
        on_answer: typing.Callable[[typing.Any], None],
        on_timeout: typing.Callable[[], None],
        on_closed: typing.Callable[[bool], None],
    ) -> None:
        """Send a command to a worker, subject to loss and delay.

        :param on_closed: called if the connection is refused or closed, with
            whether the command may have been executed
        """
        world = self.world
        state = {'is_open': True}

        def expire() -> None:
            if state['is_open'] and self.is_alive:
                state['is_open'] = False
                on_timeout()
                self.carry_out()

        def close(is_sent: bool) -> None:
            if state['is_open'] and self.is_alive:
                state['is_open'] = False
                on_closed(is_sent)
                self.carry_out()

        def arrive() -> None:
            if not self._reaches(worker_id):
                return
            if world.workers[worker_id].is_closed():
                world.after(_LATENCY_S, lambda: close(False))
                return
            if self._is_late(worker_id):
                world.after(
                    world.random_state.uniform(*_LATE_DELAY_RANGE_S),
                    lambda: execute() if self._reaches(worker_id) else None,
                )
                return
            answer = execute()
            world.after(_LATENCY_S, lambda: return_answer(answer))

        def return_answer(answer: typing.Any) -> None:
            worker = world.workers.get(worker_id)
            if worker is not None and worker.is_closed():
                close(True)
            elif (
                state['is_open'] and self.is_alive and self._reaches(worker_id)
            ):
                state['is_open'] = False
                on_answer(answer)
                self.carry_out()

        world.after(_COMMAND_TIMEOUT_S, expire)
        world.after(_LATENCY_S, arrive)

    def _send_start(self, command: dispatch.StartRun) -> None:
        world = self.world
        run = (command.worker.id, command.key, command.run_id)
        work = world.task_work[command.key]

        def execute() -> tuple[dispatch.Rejection | None, int]:
            worker = world.workers[command.worker.id]
            rejection = worker.start(
                command,
                world.run_time_s(work, worker),
                world.task_rooms[command.key],
                work.is_poison,
                world.now_s,
            )
            if rejection is None:
                world.schedule_crash(worker, command.key, command.run_id)
            world.check_duplicate_runs(worker)
            return rejection, worker.clock_ms(world.now_s)

        def on_answer(answer: tuple[dispatch.Rejection | None, int]) -> None:
            if answer[0] is None:
                self.dispatcher.handle_start_accepted(
                    *run, answer[1], world.now_s
                )
            else:
                self.dispatcher.handle_start_rejected(
                    *run, answer[0], world.now_s
                )

        self._send_command(
            command.worker.id,
            execute,
            on_answer,
            lambda: self.dispatcher.handle_start_unanswered(
                *run, True, world.now_s
            ),
            lambda is_sent: self.dispatcher.handle_start_unanswered(
                *run, is_sent, world.now_s, is_closed=True
            ),
        )

    def _send_stop(self, command: dispatch.StopRun) -> None:
        world = self.world

        def execute() -> None:
            worker = world.workers[command.worker.id]
            worker.stop(command, world.now_s)
            world.check_duplicate_runs(worker)

        self._send_command(
            command.worker.id,
            execute,
            lambda _: self.dispatcher.handle_stop_confirmed(
                command.worker.id, command.key, command.run_id, world.now_s
            ),
            lambda: None,
            lambda _: None,
        )

    def _poll_worker(self, worker_id: str, loop_index: int = 0) -> None:
        now_s = self.world.now_s
        if self.is_alive and self.dispatcher.needs_poll(
            worker_id, loop_index, now_s
        ):
            wait_s = self.dispatcher.max_poll_wait_s(worker_id, now_s)
            self._request_report(
                worker_id,
                wait_s,
                lambda _: self._poll_worker(worker_id, loop_index),
            )

    def _request_report(
        self,
        worker_id: str,
        wait_s: float,
        on_finished: typing.Callable[[str], None] | None,
    ) -> None:
        world = self.world
        asked_s = world.now_s
        if worker_id not in self.dispatcher.workers:
            return
        token = self.dispatcher.token
        expires_ms, acked = self.dispatcher.renew_lease(worker_id, asked_s)
        state = {'is_open': True}

        def finish(
            report: dispatch.WorkerReport | None,
            reason: str = 'no answer',
            is_closed: bool = False,
        ) -> None:
            if not state['is_open'] or not self.is_alive:
                return
            state['is_open'] = False
            if report is None:
                self.dispatcher.handle_poll_failure(
                    worker_id,
                    reason,
                    world.now_s,
                    is_closed=is_closed,
                    renewal_sent_s=None if expires_ms is None else asked_s,
                )
            else:
                self.dispatcher.handle_report(
                    worker_id, report, asked_s, world.now_s
                )
            self.carry_out()
            if on_finished is not None:
                pause_s = 0.0 if report is not None else 0.05
                world.after(pause_s, lambda: on_finished(worker_id))

        address = self.dispatcher.workers[worker_id].info.address

        def arrive() -> None:
            if world.has_new_worker(worker_id, address):
                reason = dispatch.Rejection.OTHER_INCARNATION
                world.after(_LATENCY_S, lambda: finish(None, reason))
            if not self._reaches(worker_id):
                return
            worker = world.workers[worker_id]
            if worker.is_closed():
                close()
                return
            is_late = self._is_late(worker_id)
            if is_late:
                world.after(
                    world.random_state.uniform(*_LATE_DELAY_RANGE_S),
                    lambda: worker.hold(token, expires_ms, acked, world.now_s),
                )
                return
            if not worker.hold(token, expires_ms, acked, world.now_s):
                self.n_superseded += 1
                world.after(_LATENCY_S, lambda: finish(None))
                return
            world.check_duplicate_runs(worker)
            answer_at(world.now_s + wait_s)

        def close() -> None:
            world.after(
                _LATENCY_S,
                lambda: finish(None, 'closed connection', is_closed=True),
            )

        def answer_at(latest_s: float) -> None:
            worker = world.workers.get(worker_id)
            if worker is None or not self._reaches(worker_id):
                return
            if worker.is_closed():
                close()
                return
            worker.advance(world.now_s)
            if worker.ends or world.now_s >= latest_s - 1e-9:
                report = worker.report(world.now_s)
                world.after(
                    _LATENCY_S,
                    lambda: finish(
                        report if self._reaches(worker_id) else None
                    ),
                )
                return
            next_s = min(latest_s, worker.next_end_s() + 1e-6)
            # Poll, as runs that start in the meantime may end sooner.
            next_s = min(next_s, world.now_s + 0.005)
            world.at(next_s, lambda: answer_at(latest_s))

        world.after(_LATENCY_S, arrive)
        world.after(wait_s + _REPORT_GRACE_S, lambda: finish(None))

    def submit(self, job: dispatch.Job, **options: typing.Any) -> None:
        """Submit a job to the dispatcher."""
        options.setdefault('arrived_s', self.world.now_s)
        options.setdefault('deadline_s', self.world.now_s + 7.0)
        self.dispatcher.submit(job, 'e1', now_s=self.world.now_s, **options)
        self.carry_out()


class World:
    """Discrete-event simulation of workers and dispatchers.

    After each change of a worker's runs, checks that no task runs on two
    workers at the same time.

    :param random_state: source of all randomness
    """

    def __init__(
        self,
        workers: typing.Iterable[_worker.LeasedWorker],
        random_state: random.Random,
    ):
        self.now_s = 0.0
        self.random_state = random_state
        self.workers = {worker.info.id: worker for worker in workers}
        self.task_work: dict[dispatch.TaskKey, _TaskWork] = {}
        self.task_rooms: dict[dispatch.TaskKey, dispatch.Resources] = {}
        self.dispatchers: list[_SimulatedDispatcher] = []
        # Origin of the runs that workers have started, by worker, life, task
        # and run id.
        self.origins: dict[
            tuple[str, int, dispatch.TaskKey, int], RunOrigin
        ] = {}
        # Workers whose reports a test falsifies. The dispatcher cannot rule
        # out a second run of what they claim to have ended.
        self.untrusted_worker_ids: set[str] = set()
        # Slowdown of a task outside the rack that holds its data.
        self.remote_factor = 1.0
        self.settings = dispatch.Settings()
        self._heap: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._sequence = itertools.count()

    def at(self, time_s: float, call: typing.Callable[[], typing.Any]) -> None:
        """Schedule a call at a time."""
        heapq.heappush(
            self._heap,
            (max(time_s, self.now_s), next(self._sequence), call),
        )

    def after(
        self, delay_s: float, call: typing.Callable[[], typing.Any]
    ) -> None:
        """Schedule a call after a delay."""
        self.at(self.now_s + delay_s, call)

    def run_until(self, time_s: float) -> None:
        """Run all calls due by a time and set the clock to it."""
        while self._heap and self._heap[0][0] <= time_s:
            self.now_s, _, call = heapq.heappop(self._heap)
            call()
        self.now_s = time_s

    def start_dispatcher(
        self, name: str = 'a', token: int = 1
    ) -> _SimulatedDispatcher:
        """Start a dispatcher that knows all workers."""
        dispatcher = _SimulatedDispatcher(self, name, token, self.now_s)
        self.dispatchers.append(dispatcher)
        dispatcher.update_workers()
        return dispatcher

    def declare(
        self, job: dispatch.Job, work_s: list[float], is_poison: bool = False
    ) -> None:
        """Set the actual duration of each task of a one-step job."""
        for index, seconds in enumerate(work_s):
            key = dispatch.TaskKey(job.id, 0, index)
            self.set_task(key, seconds, job.steps[0].room, is_poison)
            self.task_work[key] = self.task_work[key]._replace(
                rack=job.steps[0].preferred_rack
            )

    def set_crashing(
        self, key: dispatch.TaskKey, crash_after_s: float
    ) -> None:
        """Let each run of a task crash its worker after a time."""
        self.task_work[key] = self.task_work[key]._replace(
            crash_after_s=crash_after_s
        )

    def run_time_s(
        self, work: _TaskWork, worker: _worker.LeasedWorker
    ) -> float:
        """Return the run time of a task on a worker, at speed 1."""
        is_far = bool(work.rack) and work.rack not in worker.info.labels
        return work.work_s * (self.remote_factor if is_far else 1.0)

    def set_task(
        self,
        key: dispatch.TaskKey,
        work_s: float,
        room: dispatch.Resources,
        is_poison: bool = False,
    ) -> None:
        """Set the actual duration and resources of a task."""
        self.task_work[key] = _TaskWork(work_s, is_poison)
        self.task_rooms[key] = room

    def schedule_crash(
        self, worker: _worker.LeasedWorker, key: dispatch.TaskKey, run_id: int
    ) -> None:
        """Let a task that was started crash its worker, if it does so."""
        after_s = self.task_work[key].crash_after_s
        if after_s is None:
            return
        # A fast worker must not finish the task before.
        after_s = worker.limit_to_run(key, after_s, self.now_s)

        def crash() -> None:
            if (key, run_id) in worker.running():
                self.crash_worker(worker.info.id)

        self.after(after_s, crash)

    def crash_worker(
        self, worker_id: str, *, takes_new_id: bool = False
    ) -> None:
        """Crash a worker, which is back some seconds later.

        :param takes_new_id: whether it comes back as another worker at the
            same address
        """
        worker = self.workers[worker_id]
        if not worker.is_up:
            return
        worker.crash_process(self.now_s)
        self.after(
            RESTART_DELAY_S, lambda: self._bring_back(worker, takes_new_id)
        )

    def _bring_back(
        self, worker: _worker.LeasedWorker, takes_new_id: bool
    ) -> None:
        if takes_new_id:
            del self.workers[worker.info.id]
            worker.info = worker.info._replace(id=f'{worker.info.id}+')
            self.workers[worker.info.id] = worker
            self._list(worker, False)
        worker.restart(self.now_s)
        self.after(LIST_LAG_S, lambda: self._list(worker, True))

    def _list(self, worker: _worker.LeasedWorker, is_listed: bool) -> None:
        worker.is_listed = is_listed
        for side in self.dispatchers:
            side.update_workers()

    def has_new_worker(self, worker_id: str, address: str) -> bool:
        """Return whether another worker now uses a worker's address."""
        return worker_id not in self.workers and any(
            worker.info.address == address and worker.is_up
            for worker in self.workers.values()
        )

    def check_duplicate_runs(self, worker: _worker.LeasedWorker) -> None:
        """Check that no run of a worker is a duplicate of one elsewhere.

        The later run of an overlap begins with a start command, so that a
        check after each of them finds all.

        :raises Violation: a task has two runs at the same time
        """
        if worker.info.id in self.untrusted_worker_ids:
            return
        if worker.overlapping_starts:
            key, run_id = worker.overlapping_starts[0]
            raise Violation(
                f'{key} runs twice on {worker.info.id} at {self.now_s:.3f} s: '
                f'{self._describe(worker, key, run_id)}; '
                f'{self._describe(worker, key, worker.runs[key].run_id)}'
            )
        own_run_ids = dict(worker.running())
        for other in self.workers.values():
            if other is worker or other.info.id in self.untrusted_worker_ids:
                continue
            other.advance(self.now_s)
            for key, run_id in other.running():
                if key in own_run_ids:
                    raise Violation(
                        f'{key} runs on {worker.info.id} and as run '
                        f'{run_id} on {other.info.id} at {self.now_s:.3f} s: '
                        f'{self._describe(other, key, run_id)}; '
                        f'{self._describe(worker, key, own_run_ids[key])}'
                    )

    def _describe(
        self,
        worker: _worker.LeasedWorker,
        key: dispatch.TaskKey,
        run_id: int,
    ) -> str:
        """Return a run with its origin, if that is known."""
        origin = self.origins.get(
            (worker.info.id, worker.info.life, key, run_id)
        )
        text = f'run {run_id} on {worker.info.id} life {worker.info.life}'
        return text if origin is None else f'{text} {origin}'
