import collections
import math
import typing

from orioleloom.dispatch import _caution
from orioleloom.dispatch import _estimates
from orioleloom.dispatch import _found
from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _placement
from orioleloom.dispatch import _records
from orioleloom.dispatch import _stragglers
from orioleloom.dispatch import _workers

# Run numbers rise by this many a second, so that a later dispatcher of the
# same task uses a higher one without a write.
_RUN_IDS_PER_S = 4

# After this time without contact an earlier dispatcher has dropped the jobs
# of an instance (0.6 s) and their leases have ended (1.07 s).
_HANDOVER_S = 1.8
# A worker that has left the list without notice may be cut off and run on;
# it is remembered this long, longer than the cuts of some seconds that are
# common.
_DELISTED_S = 30.0
# Workers that have not confirmed are asked again after this time.
_CONFIRM_INTERVAL_S = 0.05

# Times that a task is moved away from a slow worker.
_MAX_MOVES = 2

# Speeds are compared and stragglers looked for this often, since both take
# time in proportion to the fleet.
_SLOW_TICK_S = 0.1

# Stops that are sent before the end of the lease is waited for.
_MAX_STOPS = 4
_STOP_INTERVAL_S = 0.035
# A run that may have ended unnoticed, since its answer may be lost, is
# looked for at most this often.
_LOOK_INTERVAL_S = 0.04
# Runs take longer than expected by less than this in most cases.
_OVERDUE_FACTOR = 1.3
# Retry-After of a refused job, in seconds: spread so that callers do not
# return together.
_RETRY_AFTER_S = (1.0, 3.0)


class Settings(typing.NamedTuple):
    """Settings of a dispatcher.

    :param lease_s: lease of a run without renewal, in seconds
    """

    lease_s: float = 1.0


class Dispatcher:
    """Places the tasks of repeatable jobs on workers, under leases.

    The dispatcher has no I/O. Methods take the time in monotonic seconds
    and leave effects, which :meth:`take_effects` hands over. A task never
    runs twice at one time: it starts again only after its earlier run has
    ended, was stopped before it began, or has outlived its lease.

    :param token: fencing token; workers ignore orders with a lower one
    :param run_id_base: lowest run number, higher than that of any
        dispatcher that ended before
    :param sees_all: every worker is listed to this dispatcher, so that
        their answers show what an earlier dispatcher has left running
    """

    def __init__(
        self,
        *,
        token: int,
        run_id_base: int,
        random_state: typing.Any,
        now_s: float,
        sees_all: bool = True,
        settings: Settings = Settings(),
    ):
        self.token = token
        self.run_id_base = run_id_base
        self.random_state = random_state
        self.settings = settings
        self.created_s = now_s
        self.sees_all = sees_all
        self.workers: dict[str, _workers.Worker] = {}
        self.jobs: dict[str, _jobs.JobState] = {}
        self.run_times = _estimates.RunTimes()
        self.placement = _placement.Placement(self.workers)
        self._tasks: dict[_records.TaskKey, _jobs.TaskState] = {}
        self._found = _found.FoundRuns()
        self._answered: dict[str, tuple[_records.Outcome, float]] = {}
        self._stop_due_s: dict[_workers.Run, float] = {}
        self._effects: list[_records.Effect] = []
        self._needs_pump = False
        # A worker has become usable since the workers were sorted.
        self._needs_sort = False
        # Workers that may have more room since the last round.
        self._changed: dict[str, _workers.Worker] = {}
        self._all_changed = True
        self._confirm_asked_s = -math.inf
        # Jobs of an earlier dispatcher that wait for confirmations.
        self._held: set[str] = set()
        self._slow_tick_s = now_s
        # Instances that may have left for another dispatcher.
        self._paused: set[str] = set()
        self._caution = _caution.Caution()
        self.counters: collections.Counter[str] = collections.Counter()

    # Effects and bookkeeping

    def take_effects(self) -> list[_records.Effect]:
        """Return the effects since the last call."""
        if self._needs_pump:
            self._needs_pump = False
            self._pump(self._pump_s)
        effects, self._effects = self._effects, []
        return effects

    def _log(self, decision: str, **fields: typing.Any) -> None:
        self._effects.append(_records.Decision(decision, fields))

    def _request_pump(self, now_s: float) -> None:
        self._needs_pump = True
        self._pump_s = now_s

    # Workers

    def set_workers(
        self, listed: typing.Mapping[str, _records.WorkerInfo], now_s: float
    ) -> None:
        """Take over the platform's list of workers."""
        for worker_id, info in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                worker = self.workers[worker_id] = _workers.Worker(info)
                self._watch(worker, now_s)
                continue
            if info.life > worker.info.life:
                self._new_life(worker, info)
                self._watch(worker, now_s)
            else:
                # An older life in the list lags behind the worker's word.
                worker.update(info._replace(life=worker.info.life))
            worker.is_listed = True
            worker.delisted_s = math.inf
        for worker_id, worker in list(self.workers.items()):
            if worker_id in listed:
                continue
            if worker.is_listed:
                worker.is_listed = False
                worker.delisted_s = now_s
                self._log(
                    'worker_delisted',
                    worker=worker_id,
                    is_leaving=worker.info.is_leaving,
                    n_runs=len(worker.runs),
                )
        self._forget_workers(now_s)
        self.placement.sort()
        self._all_changed = True
        self._request_pump(now_s)

    def _forget_workers(self, now_s: float) -> None:
        for worker_id, worker in list(self.workers.items()):
            if worker.is_listed or worker.runs:
                continue
            if self._found.is_any_on(worker_id):
                continue
            if (
                worker.info.is_leaving
                or now_s - worker.delisted_s > _DELISTED_S
            ):
                del self.workers[worker_id]

    def _watch(self, worker: _workers.Worker, now_s: float) -> None:
        lanes = (0, 1) if self._caution.is_called_for(now_s) else (0,)
        for lane in lanes:
            if not worker.is_watched[lane]:
                worker.is_watched[lane] = True
                self._effects.append(_records.WatchWorker(worker.id, lane))

    def report_wait_s(self, now_s: float) -> float:
        """Return how long a worker may wait for the end of a run."""
        return self._caution.report_wait_s(now_s)

    def _order_unanswered(self, now_s: float) -> None:
        if self._caution.order_unanswered(now_s):
            for worker in self.workers.values():
                if worker.runs:
                    self._watch(worker, now_s)

    def needs_watch(self, worker_id: str, lane: int, now_s: float) -> bool:
        """Return whether a worker must be asked for its runs again.

        The caller ends its loop over the worker when this is false.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return False
        if lane and not (worker.runs and self._caution.is_called_for(now_s)):
            worker.is_watched[lane] = False
            return False
        if worker.runs or (worker.is_listed and not worker.is_known):
            return True
        if self._found.is_any_on(worker_id):
            return True
        if worker.n_silences and worker.is_listed:
            return True
        worker.is_watched[lane] = False
        return False

    def lease(self, worker_id: str, now_s: float) -> tuple[int | None, int]:
        """Return the new end of a worker's lease and the ends noted.

        The end is on the worker's clock, and ``None`` while that is
        unknown or no run needs it.
        """
        worker = self.workers[worker_id]
        if not worker.is_known:
            return None, 0
        if worker.is_silent():
            # Its runs have to end some time.
            return None, worker.acked_through
        return (
            worker.expires_ms(self.settings.lease_s, now_s),
            worker.acked_through,
        )

    def report(
        self,
        worker_id: str,
        report: _records.WorkerReport,
        asked_s: float,
        now_s: float,
    ) -> None:
        """Take over a worker's list of runs.

        :param asked_s: when the worker was asked
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if 0 < report.life < worker.info.life:
            # Written before the worker started again.
            return
        if report.life > worker.info.life:
            self._new_life(worker, worker.info._replace(life=report.life))
        worker.set_clock(report.clock_ms, now_s)
        self._changed[worker_id] = worker
        worker.confirmed_s = max(worker.confirmed_s, asked_s)
        if worker.n_silences:
            self._log(
                'worker_regained',
                worker=worker_id,
                n_silences=worker.n_silences,
            )
        was_usable = worker.is_usable()
        worker.n_silences = 0
        worker.is_known = True
        if not was_usable and worker.is_usable():
            self._needs_sort = True
        for end in report.ended:
            if end.number <= worker.acked_through:
                continue
            worker.acked_through = end.number
            self._run_ended(worker, end, now_s)
        if report.clock_ms < worker.reported_ms:
            # A later list has been taken over already. What this one shows
            # as running or missing may have changed since.
            self.counters['reports_out_of_order'] += 1
            self._request_pump(now_s)
            return
        worker.reported_ms = report.clock_ms
        seen: dict[_records.TaskKey, int] = {}
        for run in report.running:
            seen[run.key] = run.run_id
            self._run_seen(worker, run, now_s)
        for known in list(worker.runs.values()):
            if known.is_accepted and known.accepted_s >= asked_s:
                continue
            if not known.is_accepted and not known.is_stopping:
                continue
            if not known.is_accepted and known.stopped_s >= asked_s:
                continue
            if known.key not in seen:
                self._run_over(known, 'missing', now_s)
        self._found.keep_listed(worker_id, seen)
        self._release_held(now_s)
        self._request_pump(now_s)

    def report_failed(self, worker_id: str, reason: str, now_s: float) -> None:
        """Take note that a worker did not answer for its runs."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.n_silences += 1
        if worker.n_silences == 1:
            self._order_unanswered(now_s)
            self._log(
                'worker_silent',
                worker=worker_id,
                reason=reason,
                n_runs=len(worker.runs),
                heard_ago_s=round(now_s - worker.last_heard_s, 3)
                if worker.is_known
                else None,
            )

    def _new_life(
        self, worker: _workers.Worker, info: _records.WorkerInfo
    ) -> None:
        """Take note that a worker has started again under its id.

        Its next report shows which of the runs are in the new life: a
        start may have reached that already.
        """
        if worker.info.life:
            self._log(
                'worker_life_ended', worker=worker.id, reason='restarted'
            )
        worker.begin_life(info)

    def _end_life(
        self, worker: _workers.Worker, reason: str, now_s: float
    ) -> None:
        self._log('worker_life_ended', worker=worker.id, reason=reason)
        for run in list(worker.runs.values()):
            self._run_over(run, reason, now_s)
        self._found.keep_listed(worker.id, {})

    # Runs on workers

    def _run_seen(
        self, worker: _workers.Worker, seen: _records.RunSeen, now_s: float
    ) -> None:
        run = worker.runs.get(seen.key)
        if run is not None and run.run_id == seen.run_id:
            run.accept(now_s)
            return
        if run is not None and seen.run_id < run.run_id:
            # The list was written before the later start reached the
            # worker, which may still carry that out.
            self._order_stop(worker, seen.key, seen.run_id)
            return
        if run is not None:
            # Another dispatcher has started the task again meanwhile.
            self._run_over(run, 'replaced', now_s)
        # Another dispatcher may have given the run a whole lease just now.
        worker.expect_lease(self.settings.lease_s, now_s)
        if seen.key in self._found:
            return
        task = self._tasks.get(seen.key)
        if task is not None and task.run is None and not task.is_done:
            self._adopt(task, worker, seen.run_id, now_s)
            return
        self._found.add(seen.key, _found.Orphan(worker.id, seen.run_id, now_s))

    def _adopt(
        self,
        task: _jobs.TaskState,
        worker: _workers.Worker,
        run_id: int,
        now_s: float,
    ) -> None:
        if task not in task.job.waiting:
            return
        task.job.waiting.remove(task)
        run = _workers.Run(
            task.key,
            run_id,
            worker,
            task.step.room,
            task.job.job.queue.name,
            now_s,
            math.inf,
        )
        run.accept(now_s)
        task.run = run
        task.last_run_id = max(task.last_run_id, run_id)
        task.job.n_sent += 1
        worker.add_run(run)
        self._watch(worker, now_s)
        self.counters['runs_adopted'] += 1

    def _run_ended(
        self, worker: _workers.Worker, end: _records.RunEnd, now_s: float
    ) -> None:
        run = worker.runs.get(end.key)
        if run is None or run.run_id != end.run_id:
            self._found.pop(end.key)
            if end.kind is _records.EndKind.DONE:
                task = self._tasks.get(end.key)
                if task is not None and task.run is None:
                    self._task_done(task, now_s)
                else:
                    self._found.add_end(end.key, now_s)
            return
        self._release(run)
        self.counters[f'runs_{end.kind}'] += 1
        task = self._tasks.get(end.key)
        owns = task is not None and task.run is run
        match end.kind:
            case _records.EndKind.DONE:
                self._learn(worker, run, task, now_s)
                worker.succeeded()
                worker.last_done_s = now_s
                if owns:
                    task.run = None
                    self._task_done(task, now_s)
            case _records.EndKind.FAILED:
                self._run_failed(worker, run, task if owns else None, now_s)
            case _:
                if owns:
                    self._requeue(task)
        self._request_pump(now_s)

    def _learn(
        self,
        worker: _workers.Worker,
        run: _workers.Run,
        task: _jobs.TaskState | None,
        now_s: float,
    ) -> None:
        if run.expected_s == math.inf or task is None:
            return
        elapsed_s = max(now_s - run.started_s, 1e-3)
        declared_s = task.step.estimate_s
        worker.learn(math.log(elapsed_s / run.expected_s))
        self.run_times.observe(
            run.queue, declared_s, elapsed_s / worker.factor()
        )

    def _run_failed(
        self,
        worker: _workers.Worker,
        run: _workers.Run,
        task: _jobs.TaskState | None,
        now_s: float,
    ) -> None:
        # A task that also failed elsewhere says little about a worker.
        if task is None or not task.avoided:
            if worker.failed(now_s):
                self._log(
                    'worker_suspended',
                    worker=worker.id,
                    n_failures=worker.n_failures,
                    until_s=round(worker.suspended_until_s - now_s, 3),
                )
        if task is None:
            return
        task.n_failures += 1
        task.avoided.add(worker.id)
        job = task.job
        self._log(
            'task_failed',
            job=job.job.id,
            task=task.key.position(),
            worker=worker.id,
            run=run.run_id,
            n_failures=task.n_failures,
            max_attempts=job.job.queue.max_attempts,
        )
        if task.n_failures >= job.job.queue.max_attempts:
            task.run = None
            self._finish(
                job,
                _records.Outcome(
                    _records.OutcomeKind.FAILED,
                    f'task {task.key.position()} failed '
                    f'{task.n_failures} times',
                ),
                now_s,
            )
            return
        self._requeue(task)

    def _run_over(self, run: _workers.Run, reason: str, now_s: float) -> None:
        """Free a run that is certainly not running any more."""
        self._release(run)
        self.counters['runs_lost'] += 1
        task = self._tasks.get(run.key)
        if task is not None and task.run is run:
            self._log(
                'run_lost',
                job=run.key.job_id,
                task=run.key.position(),
                worker=run.worker.id,
                run=run.run_id,
                reason=reason,
            )
            self._requeue(task)
        self._request_pump(now_s)

    def _release(self, run: _workers.Run) -> None:
        """Give back the room of a run, which needs no more stops."""
        run.worker.remove_run(run)
        self._changed[run.worker.id] = run.worker
        self._stop_due_s.pop(run, None)

    def _requeue(self, task: _jobs.TaskState) -> None:
        task.run = None
        task.job.waiting.insert(0, task)
        task.job.was_considered = False

    def _stop(self, run: _workers.Run, now_s: float) -> None:
        if run.is_stopping and now_s < self._stop_due_s.get(run, 0.0):
            return
        run.is_stopping = True
        run.stopped_s = math.inf
        run.n_stops += 1
        self._stop_due_s[run] = now_s + _STOP_INTERVAL_S
        self._order_stop(run.worker, run.key, run.run_id)

    def _order_stop(
        self, worker: _workers.Worker, key: _records.TaskKey, run_id: int
    ) -> None:
        self._effects.append(
            _records.StopRun(worker.info, key, run_id, self.token)
        )

    def stop_confirmed(
        self, worker_id: str, key: _records.TaskKey, run_id: int, now_s: float
    ) -> None:
        """Take note that a worker has received a stop."""
        run = self._find_run(worker_id, key, run_id)
        if run is not None:
            # The run may take a moment to stop; a report that was asked
            # for after this shows whether it is over.
            run.stopped_s = now_s
            self._stop_due_s[run] = now_s + 3 * _STOP_INTERVAL_S
            self._watch(run.worker, now_s)
            if not run.is_accepted:
                self._effects.append(_records.LookAtWorker(worker_id))

    # Starts

    def _start(
        self, task: _jobs.TaskState, worker: _workers.Worker, now_s: float
    ) -> None:
        job = task.job
        run_id = max(
            self.run_id_base + int((now_s - self.created_s) * _RUN_IDS_PER_S),
            task.last_run_id + 1,
        )
        task.last_run_id = run_id
        run = _workers.Run(
            task.key,
            run_id,
            worker,
            task.step.room,
            job.job.queue.name,
            now_s,
            self.run_times.expected_s(
                job.job.queue.name, task.step.estimate_s
            ),
        )
        task.run = run
        job.n_sent += 1
        if job.first_start_s is None:
            job.first_start_s = now_s
        worker.add_run(run)
        self.counters['starts'] += 1
        self._effects.append(
            _records.StartRun(
                worker.info,
                task.key,
                run_id,
                job.job.payload,
                self.token,
                worker.expires_ms(self.settings.lease_s, now_s),
            )
        )
        self._watch(worker, now_s)

    def _find_run(
        self, worker_id: str, key: _records.TaskKey, run_id: int
    ) -> _workers.Run | None:
        worker = self.workers.get(worker_id)
        if worker is None:
            return None
        run = worker.runs.get(key)
        return run if run is not None and run.run_id == run_id else None

    def start_accepted(
        self,
        worker_id: str,
        key: _records.TaskKey,
        run_id: int,
        clock_ms: int,
        now_s: float,
    ) -> None:
        """Take note that a worker has started a run."""
        run = self._find_run(worker_id, key, run_id)
        if run is None:
            return
        run.worker.set_clock(clock_ms, now_s)
        run.accept(now_s)

    def start_rejected(
        self,
        worker_id: str,
        key: _records.TaskKey,
        run_id: int,
        reason: _records.Rejection,
        now_s: float,
    ) -> None:
        """Take note that a worker did not start a run."""
        run = self._find_run(worker_id, key, run_id)
        self.counters[f'rejected_{reason}'] += 1
        if run is None or run.is_accepted:
            return
        worker = run.worker
        self._release(run)
        task = self._tasks.get(key)
        self._log(
            'start_rejected',
            job=key.job_id,
            task=key.position(),
            worker=worker_id,
            run=run_id,
            reason=reason,
        )
        if task is not None and task.run is run:
            task.job.n_sent -= 1
            self._requeue(task)
        match reason:
            case _records.Rejection.FENCED:
                worker.suspend(now_s)
                self._effects.append(
                    _records.Superseded(worker_id, self.token)
                )
            case _records.Rejection.OLD_RUN:
                if task is not None:
                    task.last_run_id += 1000
            case _records.Rejection.NO_ROOM | _records.Rejection.LATE:
                # The belief about the worker is wrong: ask it.
                worker.is_known = False
                self._watch(worker, now_s)
            case _records.Rejection.OTHER_LIFE:
                worker.is_listed = False
                self._end_life(worker, 'other life answers', now_s)
            case _records.Rejection.UNHEALTHY:
                worker.suspend(now_s)
            case _records.Rejection.REFUSED:
                if task is not None:
                    self._run_failed(worker, run, task, now_s)
        self._request_pump(now_s)

    def start_unanswered(
        self,
        worker_id: str,
        key: _records.TaskKey,
        run_id: int,
        is_sent: bool,
        now_s: float,
    ) -> None:
        """Take note that the answer to a start is missing.

        :param is_sent: false if the start has certainly not left
        """
        run = self._find_run(worker_id, key, run_id)
        self.counters['starts_unanswered'] += 1
        if run is None or run.is_accepted:
            return
        self._order_unanswered(now_s)
        self._log(
            'start_unanswered',
            job=key.job_id,
            task=key.position(),
            worker=worker_id,
            run=run_id,
            is_sent=is_sent,
        )
        if not is_sent:
            run.worker.n_silences += 1
            self._release(run)
            task = self._tasks.get(key)
            if task is not None and task.run is run:
                task.job.n_sent -= 1
                self._requeue(task)
            self._watch(run.worker, now_s)
            self._request_pump(now_s)
            return
        # A stop keeps the run from beginning later, so that the task can
        # start elsewhere as soon as the worker has answered.
        self._stop(run, now_s)

    # Jobs

    def submit(
        self,
        job: _records.Job,
        instance_id: str,
        *,
        arrived_s: float,
        deadline_s: float,
        last_contact_s: float | None = None,
        now_s: float,
    ) -> None:
        """Accept a job, or attach another instance to a known one.

        :param instance_id: instance whose caller waits for the answer
        :param arrived_s: when the caller's request arrived
        :param deadline_s: when the caller stops waiting
        :param last_contact_s: when the instance last heard from another
            dispatcher that may have started tasks of the job
        """
        known = self.jobs.get(job.id)
        if known is not None:
            known.instance_id = instance_id
            known.deadline_s = max(known.deadline_s, deadline_s)
            return
        answered = self._answered.get(job.id)
        if answered is not None and answered[0].kind in (
            _records.OutcomeKind.COMPLETED,
            _records.OutcomeKind.FAILED,
        ):
            self._effects.append(
                _records.AnswerJob(job.id, instance_id, answered[0])
            )
            return
        state = _jobs.JobState(job, instance_id, arrived_s, deadline_s, now_s)
        state.set_expected(self._longest_chain_s(job))
        self.jobs[job.id] = state
        self.counters['jobs'] += 1
        for task in state.all_tasks():
            self._tasks[task.key] = task
        if last_contact_s is not None:
            state.was_elsewhere = True
            state.handed_s = now_s
            state.held_until_s = last_contact_s + _HANDOVER_S
            self._held.add(job.id)
        self._claim_found_runs(state, now_s)
        self._request_pump(now_s)

    def outcome(self, job_id: str) -> _records.Outcome | None:
        """Return the outcome of a job that ended a moment ago."""
        answered = self._answered.get(job_id)
        return answered[0] if answered is not None else None

    def _release_held(self, now_s: float) -> None:
        """Let handed over jobs start once no worker can surprise them.

        A worker that has answered since the job came ignores the earlier
        dispatcher, and its list shows what that one has started.
        """
        for job_id in list(self._held):
            job = self.jobs.get(job_id)
            if job is None or now_s >= job.held_until_s:
                self._held.discard(job_id)
        if not self._held or not self.sees_all:
            return
        handed_s = {
            job_id: self.jobs[job_id].handed_s for job_id in self._held
        }
        workers = self.workers.values()
        confirmed_s = min((w.confirmed_s for w in workers), default=now_s)
        for job_id, since_s in handed_s.items():
            if confirmed_s >= since_s:
                self.jobs[job_id].held_until_s = 0.0
                self._held.discard(job_id)
        newest_s = max(handed_s.values())
        if self._held and now_s - self._confirm_asked_s > _CONFIRM_INTERVAL_S:
            self._confirm_asked_s = now_s
            for worker in workers:
                if worker.confirmed_s < newest_s:
                    self._effects.append(_records.LookAtWorker(worker.id))

    def _longest_chain_s(self, job: _records.Job) -> float:
        ends_s: list[float] = []
        for step in job.steps:
            start_s = max((ends_s[n] for n in step.after), default=0.0)
            ends_s.append(
                start_s
                + self.run_times.expected_s(job.queue.name, step.estimate_s)
            )
        return max(ends_s)

    def _claim_found_runs(self, state: _jobs.JobState, now_s: float) -> None:
        if self._found.is_empty():
            return
        for task in list(state.waiting):
            found = self._found.pop(task.key)
            if found is not None and found.worker_id in self.workers:
                worker = self.workers[found.worker_id]
                self._adopt(task, worker, found.run_id, now_s)
            elif self._found.pop_end(task.key):
                self._task_done(task, now_s)

    def _task_done(self, task: _jobs.TaskState, now_s: float) -> None:
        if task.is_done:
            return
        task.is_done = True
        job = task.job
        if task in job.waiting:
            job.waiting.remove(task)
        job.n_open[task.key.step] -= 1
        if job.is_done():
            self._finish(
                job,
                _records.Outcome(_records.OutcomeKind.COMPLETED),
                now_s,
            )
        elif not job.n_open[task.key.step]:
            job.release_steps()

    def cancel(
        self, job_id: str, instance_id: str, reason: str, now_s: float
    ) -> None:
        """End a job whose caller has left."""
        job = self.jobs.get(job_id)
        if job is not None and job.instance_id == instance_id:
            self._finish(
                job,
                _records.Outcome(_records.OutcomeKind.UNKNOWN, reason),
                now_s,
                is_wanted=False,
            )

    def forget_instance(
        self, instance_id: str, reason: str, now_s: float
    ) -> None:
        """End the jobs of an instance that is out of contact."""
        for job in list(self.jobs.values()):
            if job.instance_id == instance_id:
                self.cancel(job.job.id, instance_id, reason, now_s)

    def _finish(
        self,
        job: _jobs.JobState,
        outcome: _records.Outcome,
        now_s: float,
        *,
        is_wanted: bool = True,
    ) -> None:
        del self.jobs[job.job.id]
        for task in job.all_tasks():
            del self._tasks[task.key]
            if task.run is not None:
                self._stop(task.run, now_s)
        self.counters[f'jobs_{outcome.kind}'] += 1
        self._log(
            'job_ended',
            job=job.job.id,
            queue=job.job.queue.name,
            outcome=outcome.kind,
            reason=outcome.reason,
            n_tasks=sum(step.n_tasks for step in job.job.steps),
            n_sent=job.n_sent,
            waited_ms=round((job.first_start_s - job.arrived_s) * 1000)
            if job.first_start_s is not None
            else None,
            total_ms=round((now_s - job.arrived_s) * 1000),
            objective_ms=round((job.objective_s - job.arrived_s) * 1000),
        )
        if is_wanted:
            self._answered[job.job.id] = (outcome, now_s)
            self._effects.append(
                _records.AnswerJob(job.job.id, job.instance_id, outcome)
            )

    # Placement

    def raise_token(
        self, token: int, instance_ids: typing.Iterable[str]
    ) -> None:
        """Use a higher token, after workers obeyed another dispatcher.

        The given instances may have left for the other one. Their jobs
        start nothing until :meth:`resume_instance`: the other dispatcher
        relies on workers that ignore this one.
        """
        self.token = token
        self._paused.update(instance_ids)

    def resume_instance(self, instance_id: str, now_s: float) -> None:
        """Take note that an instance still belongs to this dispatcher."""
        if instance_id in self._paused:
            self._paused.discard(instance_id)
            self._request_pump(now_s)

    def _pump(self, now_s: float) -> None:
        """Start waiting tasks wherever room is free."""
        waiting = [
            job
            for job in self.jobs.values()
            if job.waiting and job.instance_id not in self._paused
        ]
        if not waiting:
            return
        if self._needs_sort:
            self._needs_sort = False
            self._all_changed = True
            self.placement.sort()
        changed, self._changed = self._changed, {}
        starts = self.placement.choose(
            waiting, now_s, None if self._all_changed else changed.values()
        )
        self._all_changed = False
        for start in starts:
            start.task.job.waiting.remove(start.task)
            self._start(start.task, start.worker, now_s)

    def tick(self, now_s: float) -> None:
        """Handle everything that only time decides."""
        if now_s >= self._slow_tick_s:
            self._slow_tick_s = now_s + _SLOW_TICK_S
            self.placement.sort()
            self._caution.rate(self.counters['starts'], _SLOW_TICK_S)
            self._move_stragglers(now_s)
            self._forget_workers(now_s)
        self._all_changed = True
        self._expire_leases(now_s)
        self._repeat_stops(now_s)
        self._stop_orphans(now_s)
        self._release_held(now_s)
        self._look_for_ends(now_s)
        self._expire_jobs(now_s)
        self._forget_old(now_s)
        self._request_pump(now_s)

    def _expire_leases(self, now_s: float) -> None:
        for worker in self.workers.values():
            if worker.runs and now_s > worker.lease_until_s:
                for run in list(worker.runs.values()):
                    self._run_over(run, 'lease ended', now_s)
                worker.is_known = False
                self._watch(worker, now_s)

    def _repeat_stops(self, now_s: float) -> None:
        for run, due_s in list(self._stop_due_s.items()):
            if now_s < due_s:
                continue
            if run.n_stops >= _MAX_STOPS:
                self._stop_due_s[run] = now_s + 5 * _STOP_INTERVAL_S
            self._stop(run, now_s)

    def _move_stragglers(self, now_s: float) -> None:
        for run in _stragglers.find(self.workers.values(), now_s):
            if _stragglers.correct_speed(run, now_s):
                self._log(
                    'worker_slow',
                    worker=run.worker.id,
                    job=run.key.job_id,
                    elapsed_ms=round(1000 * (now_s - run.started_s)),
                    expected_ms=round(
                        1000 * run.expected_s * run.worker.factor()
                    ),
                )
            self._move(run, now_s)

    def _move(self, run: _workers.Run, now_s: float) -> None:
        """Stop a run so that its task starts on another worker."""
        worker = run.worker
        task = self._tasks.get(run.key)
        if task is None or task.run is not run or task.n_moves >= _MAX_MOVES:
            return
        if not self.placement.has_room(task, worker, now_s):
            return
        task.n_moves += 1
        task.avoided.add(worker.id)
        self.counters['runs_moved'] += 1
        self._stop(run, now_s)

    def _look_for_ends(self, now_s: float) -> None:
        if not self._caution.is_called_for(now_s):
            return
        for worker in self.workers.values():
            if not worker.runs or now_s - worker.looked_s < _LOOK_INTERVAL_S:
                continue
            if now_s - worker.last_heard_s < _LOOK_INTERVAL_S:
                continue
            if any(
                self._may_have_ended(run, now_s)
                for run in (worker.runs.values())
            ):
                worker.looked_s = now_s
                self._effects.append(_records.LookAtWorker(worker.id))

    def _may_have_ended(self, run: _workers.Run, now_s: float) -> bool:
        if run.is_stopping and not run.is_accepted:
            return run.stopped_s < now_s
        expected_s = run.expected_s * run.worker.factor() * _OVERDUE_FACTOR
        return run.is_accepted and now_s > run.started_s + expected_s

    def _stop_orphans(self, now_s: float) -> None:
        for key, orphan in self._found.take_due(self.workers, now_s):
            self.counters['orphans_stopped'] += 1
            self._order_stop(
                self.workers[orphan.worker_id], key, orphan.run_id
            )

    def _expire_jobs(self, now_s: float) -> None:
        for job in list(self.jobs.values()):
            ran = job.may_have_run()
            if now_s >= job.deadline_s:
                kind = (
                    _records.OutcomeKind.UNKNOWN
                    if ran
                    else _records.OutcomeKind.NOT_RUN
                )
                self._finish(
                    job,
                    _records.Outcome(kind, 'deadline', self._retry_after_s()),
                    now_s,
                )
            elif not ran and now_s > (
                job.late_until_s
                - job.expected_s * self.placement.fastest_factor(job)
            ):
                self._finish(
                    job,
                    _records.Outcome(
                        _records.OutcomeKind.NOT_RUN,
                        'no room in time',
                        self._retry_after_s(),
                    ),
                    now_s,
                )

    def _retry_after_s(self) -> float:
        return self.random_state.uniform(*_RETRY_AFTER_S)

    def _forget_old(self, now_s: float) -> None:
        self._found.forget_old_ends(now_s)
        for job_id, (_, since_s) in list(self._answered.items()):
            if now_s - since_s <= 5.0:
                break
            del self._answered[job_id]

    def state(self, now_s: float) -> dict[str, typing.Any]:
        """Return a dump for operators."""
        return {
            'token': self.token,
            'age_s': round(now_s - self.created_s, 3),
            'counters': dict(self.counters),
            'n_orphans': len(self._found),
            'jobs': {
                job.job.id: {
                    'queue': job.job.queue.name,
                    'instance': job.instance_id,
                    'age_s': round(now_s - job.arrived_s, 3),
                    'n_waiting': len(job.waiting),
                    'n_open': sum(job.n_open),
                }
                for job in self.jobs.values()
            },
            'workers': {
                worker.id: worker.state(now_s)
                for worker in self.workers.values()
            },
        }
