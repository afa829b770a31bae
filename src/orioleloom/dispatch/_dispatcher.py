import collections
import math
import typing

from orioleloom.dispatch import _admission
from orioleloom.dispatch import _backlog
from orioleloom.dispatch import _capacity
from orioleloom.dispatch import _crashes
from orioleloom.dispatch import _estimates
from orioleloom.dispatch import _evacuation
from orioleloom.dispatch import _expiry
from orioleloom.dispatch import _foreign_runs
from orioleloom.dispatch import _holds
from orioleloom.dispatch import _interference
from orioleloom.dispatch import _job_memory
from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _late_starts
from orioleloom.dispatch import _locality
from orioleloom.dispatch import _loss_detector
from orioleloom.dispatch import _pacing
from orioleloom.dispatch import _placement
from orioleloom.dispatch import _records
from orioleloom.dispatch import _run_results
from orioleloom.dispatch import _settings
from orioleloom.dispatch import _state
from orioleloom.dispatch import _stragglers
from orioleloom.dispatch import _tails
from orioleloom.dispatch import _worker_lists
from orioleloom.dispatch import _workers
from orioleloom import memory

# New runs get ids that grow with time at this rate, so that a later
# dispatcher of the same task uses a higher id without a write to the store.
_RUN_IDS_PER_S = 4

# Reason of the outcome of a job that would wait too long for the dispatcher.
OVERLOADED = 'leader overloaded'

# Reason of the outcome of a job for which there is no memory.
NO_MEMORY = 'no memory for the job'

# How long outcomes are kept for callers whose answer was lost, and who submit
# the job again, usually after 1.3 s.
OUTCOME_RETENTION_S = 5.0


# Interval at which workers are sorted by speed and stragglers are detected,
# both of which take time in proportion to the number of workers.
_FLEET_SCAN_INTERVAL_S = 0.1

# Number of stop requests for one run that follow each other quickly. Later
# ones are sent at a longer interval: the lease of the run does not expire
# while other runs on the worker are renewed, so that only a stop ends it.
_N_QUICK_STOPS = 4
_SLOW_STOP_INTERVAL_S = 0.175
_STOP_INTERVAL_S = 0.035
# How long memory stays reserved for a job that has not arrived.
_RESERVATION_S = 1.0
# How long a worker with foreign runs may hold a poll. Its lease is renewed
# with the first poll after these have ended or were taken over.
_FOREIGN_POLL_WAIT_S = 0.05
# Minimum interval between polls of a worker whose run may have ended
# unnoticed because a response was lost.
_OVERDUE_POLL_INTERVAL_S = 0.04
# A run is overdue after this multiple of its expected time; most runs end
# earlier.
_OVERDUE_FACTOR = 1.3


def _task_names(keys: typing.Iterable[_records.TaskKey]) -> list[str]:
    return [f'{key.job_id}.{key.position()}' for key in keys]


class Dispatcher:
    """Assigns the tasks of repeatable jobs to workers, under leases.

    The dispatcher does no I/O. Its methods take the current time in
    monotonic seconds and record effects, which the caller fetches with
    :meth:`take_effects` and carries out. A task never has two runs at the
    same time: it is started again only after its previous run has ended,
    was stopped before it began, or has outlived its lease.

    :param token: fencing token; workers reject requests with a lower one
    :param run_id_base: lowest run id, higher than the ids of all earlier
        dispatchers
    :param is_fleet_wide: whether all workers are listed to this dispatcher, so
        that their reports show every run that an earlier dispatcher left
    :param earlier_contact_s: last contact with an earlier dispatcher, or
        when the search for one began
    :param earlier_list: workers that it used, if there was one
    :param earlier_running_job_ids: the jobs that may have runs, if it has
        named them all when it handed over
    :param job_account: memory of the jobs; its owner closes it
    """

    def __init__(
        self,
        *,
        token: int,
        run_id_base: int,
        random_state: typing.Any,
        now_s: float,
        is_fleet_wide: bool = True,
        earlier_contact_s: float = -math.inf,
        earlier_list: _worker_lists.ListInUse | None = None,
        earlier_running_job_ids: typing.Collection[str] | None = None,
        settings: _settings.Settings = _settings.Settings(),
        job_account: memory.JobAccount | None = None,
    ):
        self.token = token
        self.run_id_base = run_id_base
        self.random_state = random_state
        self.settings = settings
        self.job_account = job_account or memory.JobAccount(memory.Budget())
        self.created_s = now_s
        self.is_fleet_wide = is_fleet_wide
        self.workers: dict[str, _workers.Worker] = {}
        self.evacuation = _evacuation.Evacuation(self.workers)
        self._has_list = False
        # Number of the latest announcement of the workers that are in use.
        self._announcement = 0
        # Instances that know this announcement, or a later one, know of all
        # workers that are in use.
        self.min_known_announcement = 0
        # Workers that get no runs before every instance in contact knows that
        # they are in use.
        self._unacknowledged_ids: set[str] = set()
        self.jobs: dict[str, _jobs.JobState] = {}
        self._job_ids_by_instance: dict[str, set[str]] = {}
        self.run_times = _estimates.RunTimeEstimator()
        self.crashes = _crashes.CrashLedger()
        self.capacity = _capacity.CapacityGuard()
        self.locality = _locality.Locality(settings.remote_factor)
        self.placement = _placement.Placement(
            self.workers, self.crashes, self.capacity, self.locality
        )
        self.admission = _admission.Admission(
            workers=self.workers,
            placement=self.placement,
            random_state=random_state,
            now_s=now_s,
        )
        self._expiry = _expiry.JobExpiry(
            crashes=self.crashes,
            placement=self.placement,
            random_state=random_state,
        )
        self.tails = _tails.RunTimeTails()
        self.stragglers = _stragglers.StragglerMitigation(
            self.placement, self.run_times, self.tails
        )
        self.interference = (
            _interference.Interference()
            if settings.learns_interference
            else None
        )
        self.placement.interference = self.interference
        self.run_results = _run_results.RunResults(
            self.run_times, self.tails, self.locality, self.interference
        )
        self._tasks: dict[_records.TaskKey, _jobs.TaskState] = {}
        self._foreign_runs = _foreign_runs.ForeignRuns(
            self.workers, earlier_contact_s, now_s
        )
        self.counters: collections.Counter[str] = collections.Counter()
        self.holds = _holds.JobHolds(
            workers=self.workers,
            jobs=self.jobs,
            is_fleet_wide=is_fleet_wide,
            earlier_contact_s=earlier_contact_s,
            earlier_list=earlier_list,
            running_job_ids=earlier_running_job_ids,
            created_s=now_s,
            log=self._log,
            poll_once=self._poll_once,
            count=self._count,
        )
        self._recent_outcomes: dict[str, tuple[_records.Outcome, float]] = {}
        # Jobs that ended with an unknown outcome after a task was sent, and
        # when. Their callers may submit them again, at any instance.
        self._unknown_ended_s: dict[str, float] = {}
        self._stop_due_s: dict[_workers.Run, float] = {}
        self._effects: list[_records.Effect] = []
        self._needs_placement = False
        # A worker has become usable since the workers were last sorted.
        self._needs_refresh = False
        # Workers that may have gained free resources since the last placement
        # round.
        self._changed_workers: dict[str, _workers.Worker] = {}
        self._search_all_workers = True
        self._next_fleet_scan_s = now_s
        # Instances that may now belong to another dispatcher.
        self._paused_instance_ids: set[str] = set()
        self._loss_detector = _loss_detector.LossDetector()
        self._late_starts = _late_starts.LateStarts()
        self.pacer = _pacing.StartPacer()
        self.start_payloads = _job_memory.StartPayloads(
            self.job_account.budget.limit_bytes
        )
        self._backlog = _backlog.Backlog()

    # Effects and bookkeeping

    def take_effects(self) -> list[_records.Effect]:
        """Return the effects recorded since the last call."""
        if self.holds.must_check:
            # Once for all reports of a turn: it takes time in proportion to
            # the workers and to the held jobs.
            self.holds.release(self._placement_s)
        if self._needs_placement:
            self._needs_placement = False
            self._place_waiting_tasks(self._placement_s)
        effects, self._effects = self._effects, []
        return effects

    def _log(self, decision: str, **fields: typing.Any) -> None:
        self._effects.append(_records.LogDecision(decision, fields))

    def _poll_once(self, worker_id: str) -> None:
        self._effects.append(_records.PollWorkerOnce(worker_id))

    def _count(self, name: str) -> None:
        self.counters[name] += 1

    def _request_placement(self, now_s: float) -> None:
        self._needs_placement = True
        self._placement_s = now_s

    # Workers

    def set_workers(
        self,
        listed: typing.Mapping[str, _records.WorkerInfo],
        now_s: float,
        list_state: _worker_lists.WorkerListState = (
            _worker_lists.WorkerListState()
        ),
    ) -> None:
        """Apply the platform's list of workers."""
        self.holds.list_state = list_state
        for worker_id, info in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None or not worker.is_listed:
                is_new = worker is None
                if is_new:
                    worker = self.workers[worker_id] = _workers.Worker(info)
                if self._has_list:
                    self._withdraw_worker(worker)
                if is_new:
                    self._start_polling(worker, now_s)
                    self._log_proof(
                        self.crashes.prove_replacement(
                            info.address, worker_id
                        ),
                        worker_id,
                        'replaced',
                    )
                    continue
            worker.listed_life = info.life
            if info.life > worker.info.life:
                self._begin_incarnation(worker, info, now_s)
                self._start_polling(worker, now_s)
            else:
                # The list may lag behind the worker's own reports and still
                # show an earlier incarnation.
                worker.update_info(info._replace(life=worker.info.life))
            worker.is_listed = True
            worker.delisted_s = math.inf
        for worker_id, worker in list(self.workers.items()):
            if worker_id in listed:
                continue
            if worker.is_listed:
                worker.is_listed = False
                worker.delisted_s = now_s
                worker.delisted_version = list_state.changed_version
                self._log(
                    'worker_delisted',
                    worker=worker_id,
                    is_leaving=worker.info.is_leaving,
                    n_runs=len(worker.runs),
                )
        for worker_id, departure in list_state.departures.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                worker = _workers.Worker(departure.info)
                worker.is_listed = False
                worker.delisted_s = departure.noticed_s
                self.workers[worker_id] = worker
            if not worker.is_listed:
                worker.delisted_version = departure.version
        self._has_list = True
        self._drop_unlisted_workers(now_s)
        self._apply_evacuation(now_s)

    def set_evacuation(
        self, data_centres: frozenset[str] | None, now_s: float
    ) -> None:
        """Start nothing in some data centres, or anywhere if ``None``."""
        if self.evacuation.update(data_centres):
            self._apply_evacuation(now_s)

    def _apply_evacuation(self, now_s: float) -> None:
        self.evacuation.mark_workers()
        self._refuse_unservable(list(self.jobs.values()), now_s)
        self.placement.refresh_workers(now_s)
        self._search_all_workers = True
        self._request_placement(now_s)

    def _drop_unlisted_workers(self, now_s: float) -> None:
        for worker_id, worker in list(self.workers.items()):
            if worker.can_be_forgotten(now_s):
                del self.workers[worker_id]
                self.holds.forgotten_version = max(
                    self.holds.forgotten_version, worker.delisted_version
                )

    def confirm_list(self, version: int) -> None:
        """Record that the list of workers is unchanged at a later version."""
        if version > self.holds.list_state.version:
            self.holds.list_state = self.holds.list_state._replace(
                version=version
            )

    def _withdraw_worker(self, worker: _workers.Worker) -> None:
        """Start nothing on a worker until its use is announced."""
        worker.is_acknowledged = False
        worker.unused_announcement = self._announcement
        self._unacknowledged_ids.add(worker.id)

    def announce_workers(self, number: int) -> _worker_lists.ListInUse:
        """Return what another dispatcher must know about the workers here.

        An instance hands its jobs over to another dispatcher with what it
        has received last. The other one must know all workers on which a
        task of the job may run.

        :param number: number of the announcement, which rises
        """
        self._announcement = number
        unlisted: set[str] = set()
        unused: set[str] = set()
        uncertain_job_ids: set[str] = set()
        for worker in self.workers.values():
            if not worker.is_listed:
                if worker.runs or worker.n_foreign_runs:
                    unlisted.add(worker.id)
            elif (
                worker.is_unresponsive()
                and not worker.n_foreign_runs
                and self._are_runs_known(worker)
            ):
                unused.add(worker.id)
                uncertain_job_ids.update(key.job_id for key in worker.runs)
                self._withdraw_worker(worker)
        return _worker_lists.ListInUse(
            self.holds.list_state.version,
            self.holds.list_state.changed_version,
            frozenset(unlisted),
            frozenset(unused),
            frozenset(uncertain_job_ids),
        )

    def _are_runs_known(self, worker: _workers.Worker) -> bool:
        """Return whether a worker can have no unknown runs.

        It may have some of an earlier dispatcher until it has reported here,
        or their leases have ended.
        """
        return self.holds.have_earlier_leases_ended or (
            worker.confirmed_s > -math.inf
        )

    def has_unacknowledged_workers(self) -> bool:
        """Return whether a worker waits for an acknowledgement."""
        return bool(self._unacknowledged_ids)

    def acknowledge_workers(self, number: int) -> None:
        """Use workers that all instances in contact know to be in use.

        :param number: number of the latest announcement that all of them
            have received
        """
        for worker_id in list(self._unacknowledged_ids):
            worker = self.workers.get(worker_id)
            if worker is None:
                self._unacknowledged_ids.discard(worker_id)
            elif number > worker.unused_announcement:
                self._unacknowledged_ids.discard(worker_id)
                worker.is_acknowledged = True
                self.min_known_announcement = max(
                    self.min_known_announcement, worker.unused_announcement + 1
                )
                self._needs_refresh = True

    def _start_polling(self, worker: _workers.Worker, now_s: float) -> None:
        loop_indexes = (
            (0, 1) if self._loss_detector.is_loss_high(now_s) else (0,)
        )
        for loop_index in loop_indexes:
            if not worker.is_polled[loop_index]:
                worker.is_polled[loop_index] = True
                self._effects.append(
                    _records.PollWorker(worker.id, loop_index)
                )

    def max_poll_wait_s(self, worker_id: str, now_s: float) -> float:
        """Return how long a worker may hold a poll until a run ends."""
        worker = self.workers[worker_id]
        if not worker.is_known or worker.is_unresponsive():
            return 0.0
        if worker.n_foreign_runs:
            return _FOREIGN_POLL_WAIT_S
        return self._loss_detector.max_poll_wait_s(now_s)

    def _record_unanswered(self, now_s: float) -> None:
        if self._loss_detector.record_unanswered(now_s):
            for worker in self.workers.values():
                if worker.runs:
                    self._start_polling(worker, now_s)

    def needs_poll(
        self, worker_id: str, loop_index: int, now_s: float
    ) -> bool:
        """Return whether a worker must be polled for its runs again.

        The caller ends its polling loop when this is false.

        :param loop_index: index of the polling loop
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return False
        if loop_index and not (
            worker.runs and self._loss_detector.is_loss_high(now_s)
        ):
            worker.is_polled[loop_index] = False
            return False
        if worker.runs or (worker.is_listed and not worker.is_known):
            return True
        if worker.n_foreign_runs:
            return True
        if worker.has_unknown_runs and worker.is_listed:
            return True
        if self.capacity.needs_report(worker):
            return True
        if worker.is_clock_old(now_s):
            return True
        if worker.n_missed_responses and worker.is_listed:
            return True
        worker.is_polled[loop_index] = False
        return False

    def renew_lease(
        self, worker_id: str, now_s: float
    ) -> tuple[int | None, int]:
        """Renew a worker's lease for its next poll.

        :returns: when the lease expires on the worker's clock, in
            milliseconds, or ``None`` if it must not be renewed; and the
            number of the last ended run that was received
        """
        worker = self.workers[worker_id]
        if not worker.is_known:
            return None, 0
        if worker.is_unresponsive() or worker.n_foreign_runs:
            # Without renewal the leases expire and the runs can be
            # restarted elsewhere. The earlier dispatcher of a foreign run may
            # do so, since it counts its own renewals only.
            return None, worker.acked_through
        return (
            worker.renew_lease_ms(self.settings.lease_s, now_s),
            worker.acked_through,
        )

    def handle_report(
        self,
        worker_id: str,
        report: _records.WorkerReport,
        requested_s: float,
        now_s: float,
    ) -> None:
        """Apply a worker's report of its runs.

        :param requested_s: when the report was requested
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if 0 < report.life < worker.info.life:
            # The report is of an incarnation before the last restart.
            return
        if report.life > worker.info.life:
            self._begin_incarnation(
                worker, worker.info._replace(life=report.life), now_s
            )
        worker.update_clock(report.clock_ms, now_s)
        self._refute_crash(worker, now_s)
        self._changed_workers[worker_id] = worker
        worker.confirmed_s = max(worker.confirmed_s, requested_s)
        if worker.n_missed_responses:
            self._log(
                'worker_regained',
                worker=worker_id,
                n_silences=worker.n_missed_responses,
            )
        was_usable = worker.is_usable()
        worker.n_missed_responses = 0
        worker.is_known = True
        if not was_usable and worker.is_usable():
            self._needs_refresh = True
        for end in report.ended:
            if end.number <= worker.acked_through:
                continue
            worker.acked_through = end.number
            if end.kind in (_records.EndKind.DONE, _records.EndKind.FAILED):
                self.crashes.clear(end.key, now_s)
            self._handle_run_end(worker, end, now_s)
        if report.clock_ms < worker.newest_report_ms:
            # A newer report was applied already. Runs that this one shows
            # as running or missing may have changed since.
            self.counters['reports_out_of_order'] += 1
            self._request_placement(now_s)
            return
        worker.newest_report_ms = report.clock_ms
        listed_run_ids: dict[_records.TaskKey, int] = {}
        for listed_run in report.running:
            listed_run_ids[listed_run.key] = listed_run.run_id
            self._handle_running(worker, listed_run, now_s)
        for run in list(worker.runs.values()):
            if run.is_accepted and run.accepted_s >= requested_s:
                continue
            if not run.is_accepted and not run.is_stopping:
                continue
            if not run.is_accepted and run.stop_confirmed_s >= requested_s:
                continue
            if run.key not in listed_run_ids:
                cause = (
                    _records.LossCause.RESTARTED
                    if 0 < run.life < worker.info.life
                    else _records.LossCause.NOT_LISTED
                )
                self._mark_run_lost(run, cause, now_s)
        worker.has_unknown_runs = any(
            key not in worker.runs for key in listed_run_ids
        )
        if worker.has_unknown_runs:
            self._start_polling(worker, now_s)
        self._foreign_runs.drop_unlisted(worker_id, listed_run_ids)
        self.holds.must_check = True
        self._request_placement(now_s)

    def handle_poll_failure(
        self,
        worker_id: str,
        reason: str,
        now_s: float,
        *,
        is_closed: bool = False,
        renewal_sent_s: float | None = None,
    ) -> None:
        """Handle a poll that a worker rejected or did not answer.

        :param is_closed: whether the connection was refused or closed
        :param renewal_sent_s: when the poll was sent, if it has no answer and
            may yet renew the leases
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if renewal_sent_s is not None:
            worker.record_unanswered_renewal(renewal_sent_s, now_s)
        if is_closed:
            self._record_closed(worker, now_s)
        if reason == _records.Rejection.OTHER_INCARNATION:
            self._prove_replacement(worker)
        worker.n_missed_responses += 1
        if worker.n_missed_responses == 1:
            self._record_unanswered(now_s)
            self._log(
                'worker_silent',
                worker=worker_id,
                reason=reason,
                is_closed=is_closed,
                n_runs=len(worker.runs),
                heard_ago_s=round(now_s - worker.last_heard_s, 3)
                if worker.is_known
                else None,
            )

    def _begin_incarnation(
        self,
        worker: _workers.Worker,
        info: _records.WorkerInfo,
        now_s: float,
    ) -> None:
        """Handle the restart of a worker under the same id.

        The runs are kept until the next report: the new incarnation may
        already have received some of the starts.
        """
        if worker.info.life:
            self._log(
                'worker_life_ended', worker=worker.id, reason='restarted'
            )
            self._record_crash(worker, now_s)
            self._log_proof(
                self.crashes.prove_restart(worker.id, info.life),
                worker.id,
                'restarted',
            )
        worker.begin_incarnation(info, now_s)
        self._late_starts.begin_incarnation(worker.id, now_s)
        self._stop_late_starts(now_s)

    def _end_incarnation(self, worker: _workers.Worker, now_s: float) -> None:
        """Handle the reply of another worker at a worker's address."""
        self._log('worker_life_ended', worker=worker.id, reason='replaced')
        self._record_crash(worker, now_s)
        self._prove_replacement(worker)
        for run in list(worker.runs.values()):
            self._mark_run_lost(run, _records.LossCause.REPLACED, now_s)
        self._foreign_runs.drop_unlisted(worker.id, {})

    # Runs on workers

    def _handle_running(
        self,
        worker: _workers.Worker,
        listed_run: _records.RunningRun,
        now_s: float,
    ) -> None:
        run = worker.runs.get(listed_run.key)
        if run is not None and run.run_id == listed_run.run_id:
            run.mark_accepted(now_s)
            return
        if run is not None and listed_run.run_id < run.run_id:
            # The report was written before the newer start reached the
            # worker, which may still execute that start.
            self._send_stop(worker, listed_run.key, listed_run.run_id)
            return
        if run is not None:
            # Another dispatcher has restarted the task.
            self._mark_run_lost(run, _records.LossCause.TAKEN_OVER, now_s)
        # Another dispatcher may just have granted the run a full lease.
        worker.record_lease(self.settings.lease_s, now_s)
        if listed_run.key in self._foreign_runs:
            return
        task = self._tasks.get(listed_run.key)
        if task is not None and task.run is None and not task.is_done:
            self._adopt_run(task, worker, listed_run.run_id, now_s)
            return
        self._foreign_runs.add(
            listed_run.key, worker.id, listed_run.run_id, now_s
        )

    def _adopt_run(
        self,
        task: _jobs.TaskState,
        worker: _workers.Worker,
        run_id: int,
        now_s: float,
    ) -> None:
        # The earlier steps may have to be repeated, since workers forget ends
        # that an earlier dispatcher has acknowledged. The task is not waiting
        # until then.
        if task in task.job.waiting:
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
        run.mark_accepted(now_s)
        task.run = run
        task.last_run_id = max(task.last_run_id, run_id)
        task.job.n_sent += 1
        worker.add_run(run)
        self._start_polling(worker, now_s)
        self.counters['runs_adopted'] += 1

    def _handle_run_end(
        self, worker: _workers.Worker, end: _records.EndedRun, now_s: float
    ) -> None:
        run = worker.runs.get(end.key)
        if run is None or run.run_id != end.run_id:
            self._foreign_runs.drop_ended(worker.id, end.key, end.run_id)
            if end.kind is _records.EndKind.DONE:
                task = self._tasks.get(end.key)
                if task is not None and task.run is None:
                    self._complete_task(task, now_s)
                else:
                    self._foreign_runs.add_completion(end.key, now_s)
            return
        self.run_results.record_end(run, now_s)
        self._release_run(run)
        self.counters[f'runs_{end.kind}'] += 1
        task = self._tasks.get(end.key)
        is_current = task is not None and task.run is run
        match end.kind:
            case _records.EndKind.DONE:
                self.run_results.record_success(run, task, now_s)
                worker.clear_failures()
                worker.last_success_s = now_s
                if is_current:
                    task.run = None
                    self._complete_task(task, now_s)
            case _records.EndKind.FAILED:
                self._handle_run_failure(
                    worker, run, task if is_current else None, now_s
                )
            case _:
                self.run_results.record_stop(run, end.kind, now_s)
                if is_current:
                    self._requeue(task, now_s)
        self._request_placement(now_s)

    def _handle_run_failure(
        self,
        worker: _workers.Worker,
        run: _workers.Run,
        task: _jobs.TaskState | None,
        now_s: float,
    ) -> None:
        # If the task also failed on other workers, the cause is probably the
        # task, so the failure does not count against this worker.
        if task is None or not task.excluded_worker_ids:
            if worker.record_failure(now_s):
                self._log(
                    'worker_suspended',
                    worker=worker.id,
                    n_failures=worker.n_failures,
                    until_s=round(worker.suspended_until_s - now_s, 3),
                )
        if task is None:
            return
        task.n_failures += 1
        task.excluded_worker_ids.add(worker.id)
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
            self._finish_job(
                job,
                _records.Outcome(
                    _records.OutcomeKind.FAILED,
                    f'task {task.key.position()} failed '
                    f'{task.n_failures} times',
                ),
                now_s,
            )
            return
        self._requeue(task, now_s)

    def _mark_run_lost(
        self, run: _workers.Run, cause: _records.LossCause, now_s: float
    ) -> None:
        """Drop a run that has certainly ended, without a known result."""
        self._release_run(run)
        self.counters['runs_lost'] += 1
        self.counters[f'runs_lost_{cause}'] += 1
        task = self._tasks.get(run.key)
        if task is not None and task.run is run:
            self._log(
                'run_lost',
                job=run.key.job_id,
                task=run.key.position(),
                worker=run.worker.id,
                run=run.run_id,
                reason=cause,
            )
            self._requeue(task, now_s)
        self._request_placement(now_s)

    def _release_run(self, run: _workers.Run) -> None:
        """Free the resources of a run and cancel its repeated stops."""
        run.worker.remove_run(run)
        self._changed_workers[run.worker.id] = run.worker
        self._stop_due_s.pop(run, None)

    def _requeue(self, task: _jobs.TaskState, now_s: float) -> None:
        """Queue a task whose run has ended, or adopt another run of it."""
        task.run = None
        task.job.requeue(task)
        self._claim_foreign_run(task, now_s)

    def _stop_run(self, run: _workers.Run, now_s: float) -> None:
        if run.is_stopping and now_s < self._stop_due_s.get(run, 0.0):
            return
        run.is_stopping = True
        run.stop_confirmed_s = math.inf
        run.n_stops += 1
        self._stop_due_s[run] = now_s + (
            _STOP_INTERVAL_S
            if run.n_stops < _N_QUICK_STOPS
            else _SLOW_STOP_INTERVAL_S
        )
        self._send_stop(run.worker, run.key, run.run_id)

    def _send_stop(
        self, worker: _workers.Worker, key: _records.TaskKey, run_id: int
    ) -> None:
        self._effects.append(
            _records.StopRun(worker.info, key, run_id, self.token)
        )

    def handle_stop_confirmed(
        self, worker_id: str, key: _records.TaskKey, run_id: int, now_s: float
    ) -> None:
        """Handle a worker's confirmation of a stop request."""
        self._late_starts.confirm_stop(worker_id, key, run_id)
        run = self._find_run(worker_id, key, run_id)
        if run is not None:
            # The run may take a moment to stop. Only a report that is
            # requested after this shows whether it has ended.
            run.stop_confirmed_s = now_s
            self._stop_due_s[run] = now_s + 3 * _STOP_INTERVAL_S
            self._start_polling(run.worker, now_s)
            if not run.is_accepted:
                self._effects.append(_records.PollWorkerOnce(worker_id))

    # Starts

    def _start_run(
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
            self.run_times.expected_s(job.job.queue.name, task.step.estimate_s)
            * self.locality.factor(task.step, worker),
        )
        task.run = run
        job.n_sent += 1
        if job.first_start_s is None:
            job.first_start_s = now_s
            self.admission.record_start(job, now_s)
        worker.add_run(run)
        self.counters['starts'] += 1
        self.locality.count_start(task.step, worker, self.counters)
        self._effects.append(
            _records.StartRun(
                worker.info,
                task.key,
                run_id,
                job.job.payload,
                self.token,
                worker.renew_lease_ms(self.settings.lease_s, now_s),
            )
        )
        self._start_polling(worker, now_s)

    def _find_run(
        self, worker_id: str, key: _records.TaskKey, run_id: int
    ) -> _workers.Run | None:
        worker = self.workers.get(worker_id)
        if worker is None:
            return None
        run = worker.runs.get(key)
        return run if run is not None and run.run_id == run_id else None

    def handle_start_accepted(
        self,
        worker_id: str,
        key: _records.TaskKey,
        run_id: int,
        clock_ms: int,
        now_s: float,
    ) -> None:
        """Handle a worker's confirmation that it has started a run."""
        run = self._find_run(worker_id, key, run_id)
        if run is None:
            return
        run.worker.update_clock(clock_ms, now_s)
        run.mark_accepted(now_s)

    def handle_start_rejected(
        self,
        worker_id: str,
        key: _records.TaskKey,
        run_id: int,
        reason: _records.Rejection,
        now_s: float,
    ) -> None:
        """Handle a worker's refusal to start a run."""
        run = self._find_run(worker_id, key, run_id)
        self.counters[f'rejected_{reason}'] += 1
        if run is None or run.is_accepted:
            return
        worker = run.worker
        self._release_run(run)
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
            self._requeue(task, now_s)
        match reason:
            case _records.Rejection.FENCED:
                worker.suspend(now_s)
                self._effects.append(
                    _records.Superseded(worker_id, self.token)
                )
            case _records.Rejection.STALE_RUN_ID:
                # The worker knows a run of the task with a higher id.
                if task is not None:
                    task.last_run_id += 1000
            case _records.Rejection.NO_ROOM | _records.Rejection.LATE:
                # The recorded runs or clock offset of the worker are wrong:
                # start nothing on it until it has reported again.
                worker.is_known = False
                self._start_polling(worker, now_s)
            case _records.Rejection.OTHER_INCARNATION:
                worker.is_listed = False
                self._end_incarnation(worker, now_s)
            case _records.Rejection.UNHEALTHY:
                worker.suspend(now_s)
            case _records.Rejection.REFUSED:
                if task is not None:
                    self._handle_run_failure(worker, run, task, now_s)
        self._request_placement(now_s)

    def handle_start_unanswered(
        self,
        worker_id: str,
        key: _records.TaskKey,
        run_id: int,
        is_sent: bool,
        now_s: float,
        *,
        is_closed: bool = False,
    ) -> None:
        """Handle a start request without a response.

        :param is_sent: false if the request was certainly not sent
        :param is_closed: whether the connection was refused or closed
        """
        run = self._find_run(worker_id, key, run_id)
        self.counters['starts_unanswered'] += 1
        if run is not None and run.is_accepted:
            return
        if is_sent:
            self._late_starts.record(worker_id, key, run_id, now_s)
            if worker_id in self.workers:
                # It renews the leases even if it is rejected as stopped.
                self.workers[worker_id].record_unanswered_renewal(now_s, now_s)
        if run is None:
            if is_sent:
                # The worker may have restarted since.
                self._late_starts.stop(worker_id, key, run_id, now_s)
            return
        if is_closed:
            self._record_closed(run.worker, now_s)
        self._record_unanswered(now_s)
        self._log(
            'start_unanswered',
            job=key.job_id,
            task=key.position(),
            worker=worker_id,
            run=run_id,
            is_sent=is_sent,
            is_closed=is_closed,
        )
        if not is_sent:
            run.worker.n_missed_responses += 1
            self._release_run(run)
            task = self._tasks.get(key)
            if task is not None and task.run is run:
                task.job.n_sent -= 1
                self._requeue(task, now_s)
            self._start_polling(run.worker, now_s)
            self._request_placement(now_s)
            return
        # The stop also prevents a delayed start, so that the task can start
        # elsewhere once the worker has confirmed it and reported.
        self._stop_run(run, now_s)

    # Jobs

    def submit(
        self,
        job: _records.Job,
        instance_id: str,
        *,
        arrived_s: float,
        deadline_s: float,
        last_contact_s: float | None = None,
        list_in_use: _worker_lists.ListInUse = _worker_lists.ListInUse(),
        now_s: float,
    ) -> None:
        """Accept a job, or attach a new instance to a known job.

        :param instance_id: instance whose caller waits for the outcome
        :param arrived_s: when the caller's request arrived
        :param deadline_s: when the caller stops waiting
        :param last_contact_s: when the instance was last in contact with
            another dispatcher that may have started tasks of the job
        :param list_in_use: workers that the other dispatcher used then
        """
        known = self.jobs.get(job.id)
        if known is not None:
            self._unassign_instance(known)
            known.instance_id = instance_id
            self._assign_instance(known)
            known.deadline_s = max(known.deadline_s, deadline_s)
            if last_contact_s is not None:
                # The instance has left this dispatcher and returned.
                self.holds.hold_handed_over(
                    known, last_contact_s, list_in_use, now_s
                )
            return
        recent = self._recent_outcomes.get(job.id)
        if recent is not None and recent[0].is_result():
            self.job_account.release(job.id)
            self._effects.append(
                _records.AnswerJob(job.id, instance_id, recent[0])
            )
            return
        has_certainly_not_run = last_contact_s is None and (
            not self._may_have_run(job.id, now_s)
        )
        if has_certainly_not_run and self._is_overloaded(job):
            self._refuse(job.id, instance_id, now_s)
            return
        if not self.job_account.hold(
            job.id,
            _job_memory.led_bytes(job),
            is_urgent=last_contact_s is not None,
        ):
            refusal = self._no_memory(job.id, not has_certainly_not_run, now_s)
            self._answer_refused(job.id, instance_id, refusal, now_s)
            return
        state = _jobs.JobState(job, instance_id, arrived_s, deadline_s, now_s)
        state.may_have_run_elsewhere = (
            job.id in self._unknown_ended_s
            or self.crashes.has_suspects(job.id)
        )
        state.set_expected_run_time(_jobs.critical_path_s(job, self.run_times))
        state.set_work(_jobs.total_work_s(job, self.run_times))
        if has_certainly_not_run:
            match self.admission.decide(state, now_s):
                case _admission.Refuse() as refusal:
                    self.counters['jobs_refused_capacity'] += 1
                    self.job_account.release(job.id)
                    state.drop_tasks()
                    self._answer_refused(
                        job.id, instance_id, refusal.outcome(), now_s
                    )
                    return
                case _admission.Admit(expected_start_s):
                    state.expected_start_s = expected_start_s
        self.placement.order.add_job(state)
        self.jobs[job.id] = state
        self._assign_instance(state)
        self.counters['jobs'] += 1
        for task in state.all_tasks():
            self._tasks[task.key] = task
        self._reattach_stopping_runs(state)
        if last_contact_s is not None:
            self.holds.hold_handed_over(
                state, last_contact_s, list_in_use, now_s
            )
        elif self.holds.must_hold_new(job.id, now_s):
            self.holds.hold_new(state)
        self._claim_foreign_runs(state, now_s)
        if state.held_until_s <= now_s:
            self.pacer.add_waiting(self._backlog.count_new(state))
        self._refuse_unservable((state,), now_s)
        self._request_placement(now_s)

    def _is_overloaded(self, job: _records.Job) -> bool:
        """Return whether a new job would wait too long for this dispatcher."""
        if not self.pacer.is_overloaded():
            return False
        expected_s = _jobs.critical_path_s(job, self.run_times)
        slack_s = _jobs.allowed_time_s(job.queue, expected_s) - expected_s
        return self.pacer.is_overloaded(slack_s)

    def running_job_ids(self, now_s: float) -> set[str] | None:
        """Return the jobs that may have runs, also those that have ended.

        :returns: ``None`` while runs of an earlier dispatcher may be unknown
        """
        is_start_held = now_s < self.holds.start_held_until_s
        if is_start_held and not self.holds.has_confirmed_start:
            return None
        job_ids = self._foreign_runs.job_ids()
        for worker in self.workers.values():
            job_ids.update(key.job_id for key in worker.runs)
        if is_start_held:
            job_ids |= self.holds.earlier_list.uncertain_job_ids
        return job_ids

    def _refuse(self, job_id: str, instance_id: str, now_s: float) -> None:
        """Refuse a new job that would wait too long for this dispatcher."""
        self.counters['jobs_refused_overload'] += 1
        self.job_account.release(job_id)
        retry_after_s = self._expiry.retry_after_s()
        outcome = _admission.Refuse(OVERLOADED, retry_after_s).outcome()
        self._answer_refused(job_id, instance_id, outcome, now_s)

    def _no_memory(
        self, job_id: str, may_have_run: bool, now_s: float
    ) -> _records.Outcome:
        """Return the outcome of a job for which there is no memory.

        :param may_have_run: an earlier submission of the job may have run
        """
        self.counters['jobs_refused_memory'] += 1
        kind = _records.OutcomeKind.NOT_RUN
        if may_have_run:
            kind = _records.OutcomeKind.UNKNOWN
            self._unknown_ended_s.pop(job_id, None)
            self._unknown_ended_s[job_id] = now_s
        return _records.Outcome(kind, NO_MEMORY, self._expiry.retry_after_s())

    def reserve_memory(
        self, job_id: str, n_bytes: int, *, was_submitted: bool, now_s: float
    ) -> _records.Outcome | None:
        """Reserve memory for a job that an instance is about to submit.

        :param n_bytes: memory that the job takes here
        :param was_submitted: the job was submitted to another dispatcher
        :returns: the outcome of the job if there is no memory for it
        """
        recent = self._recent_outcomes.get(job_id)
        if (
            job_id in self.jobs
            or (recent is not None and recent[0].is_result())
            or self.job_account.reserve(
                job_id,
                n_bytes,
                now_s + _RESERVATION_S,
                is_urgent=was_submitted,
            )
        ):
            return None
        may_have_run = was_submitted or self._may_have_run(job_id, now_s)
        return self._no_memory(job_id, may_have_run, now_s)

    def _may_have_run(self, job_id: str, now_s: float) -> bool:
        """Return whether an earlier submission of a job may have run.

        A new one must not be refused as not run then.
        """
        return (
            job_id in self._unknown_ended_s
            or self.crashes.has_suspects(job_id)
            or self.holds.must_hold_new(job_id, now_s)
            or self._foreign_runs.has_job(job_id)
        )

    def _answer_refused(
        self,
        job_id: str,
        instance_id: str,
        outcome: _records.Outcome,
        now_s: float,
    ) -> None:
        # Its instance may name the job once more before it has the answer.
        self._recent_outcomes[job_id] = (outcome, now_s)
        self._effects.append(_records.AnswerJob(job_id, instance_id, outcome))

    def _refuse_unservable(
        self, jobs: typing.Iterable[_jobs.JobState], now_s: float
    ) -> None:
        """Refuse the jobs that only evacuated workers could run."""
        for job in self.evacuation.find_unservable(
            jobs, self.holds.held_job_ids
        ):
            self.counters['jobs_refused_evacuated'] += 1
            outcome = _evacuation.refusal(self._expiry.retry_after_s())
            self._finish_job(job, outcome, now_s)

    def _reattach_stopping_runs(self, state: _jobs.JobState) -> None:
        """Let a resubmitted job wait for the ends of its earlier runs.

        Their stops were sent when the earlier submission was cancelled, but
        they may still be running.
        """
        for run in self._stop_due_s:
            if run.key.job_id != state.job.id:
                continue
            task = self._tasks.get(run.key)
            if task is not None and task.run is None:
                if task in state.waiting:
                    state.waiting.remove(task)
                state.n_sent += 1
                task.run = run
                task.last_run_id = run.run_id

    def outcome(self, job_id: str) -> _records.Outcome | None:
        """Return the outcome of a job that ended recently, if kept."""
        recent = self._recent_outcomes.get(job_id)
        return recent[0] if recent is not None else None

    def progress(
        self,
    ) -> tuple[list[_records.TaskKey], dict[str, _records.Outcome]]:
        """Return the finished work, for :meth:`add_progress` of another one.

        :returns: the tasks that are done, of jobs that are not; and the
            recent results of jobs by id
        """
        completed = [key for key, task in self._tasks.items() if task.is_done]
        outcomes = {
            job_id: outcome
            for job_id, (outcome, _) in self._recent_outcomes.items()
            if outcome.is_result()
        }
        return completed, outcomes

    def add_progress(
        self,
        completed: typing.Iterable[_records.TaskKey],
        outcomes: typing.Mapping[str, _records.Outcome],
        now_s: float,
    ) -> None:
        """Use an earlier dispatcher's knowledge of finished work."""
        for key in completed:
            task = self._tasks.get(key)
            if task is None:
                self._foreign_runs.add_completion(key, now_s)
            elif task.run is None:
                self._complete_task(task, now_s)
        for job_id, outcome in outcomes.items():
            if job_id not in self.jobs:
                self._recent_outcomes.setdefault(job_id, (outcome, now_s))
        self._request_placement(now_s)

    def _claim_foreign_runs(self, state: _jobs.JobState, now_s: float) -> None:
        if self._foreign_runs.is_empty():
            return
        for task in state.all_tasks():
            if task.run is not None:
                continue
            self._claim_foreign_run(task, now_s)
            if task.run is None and self._foreign_runs.pop_completion(
                task.key
            ):
                self._complete_task(task, now_s)

    def _claim_foreign_run(self, task: _jobs.TaskState, now_s: float) -> None:
        """Adopt the run of a task that another dispatcher has started."""
        foreign_run = self._foreign_runs.pop(task.key)
        if foreign_run is not None and foreign_run.worker_id in self.workers:
            worker = self.workers[foreign_run.worker_id]
            self._adopt_run(task, worker, foreign_run.run_id, now_s)

    def _complete_task(self, task: _jobs.TaskState, now_s: float) -> None:
        if task.is_done:
            return
        task.is_done = True
        job = task.job
        if task in job.waiting:
            job.waiting.remove(task)
        job.n_unfinished_tasks[task.key.step] -= 1
        if job.is_done():
            self._finish_job(
                job,
                _records.Outcome(_records.OutcomeKind.COMPLETED),
                now_s,
            )
        elif not job.n_unfinished_tasks[task.key.step]:
            job.release_ready_steps()

    def cancel(
        self, job_id: str, instance_id: str, reason: str, now_s: float
    ) -> None:
        """Cancel a job whose caller has disconnected."""
        job = self.jobs.get(job_id)
        if job is None:
            self.job_account.release(job_id)
        elif job.instance_id == instance_id:
            self._finish_job(
                job,
                _records.Outcome(_records.OutcomeKind.UNKNOWN, reason),
                now_s,
                send_answer=False,
            )

    def cancel_instance_jobs(
        self, instance_id: str, reason: str, now_s: float
    ) -> None:
        """Cancel the jobs of an instance that is out of contact."""
        for job in self.jobs_of_instance(instance_id):
            self.cancel(job.job.id, instance_id, reason, now_s)

    def jobs_of_instance(self, instance_id: str) -> list[_jobs.JobState]:
        """Return the jobs whose callers wait at an instance."""
        job_ids = self._job_ids_by_instance.get(instance_id, ())
        return [self.jobs[job_id] for job_id in sorted(job_ids)]

    def _assign_instance(self, job: _jobs.JobState) -> None:
        self._job_ids_by_instance.setdefault(job.instance_id, set()).add(
            job.job.id
        )

    def _unassign_instance(self, job: _jobs.JobState) -> None:
        job_ids = self._job_ids_by_instance[job.instance_id]
        job_ids.discard(job.job.id)
        if not job_ids:
            del self._job_ids_by_instance[job.instance_id]

    def _finish_job(
        self,
        job: _jobs.JobState,
        outcome: _records.Outcome,
        now_s: float,
        *,
        send_answer: bool = True,
    ) -> None:
        del self.jobs[job.job.id]
        self._unassign_instance(job)
        for task in job.all_tasks():
            del self._tasks[task.key]
            if task.run is not None:
                self._stop_run(task.run, now_s)
        self.job_account.release(job.job.id)
        self.counters[f'jobs_{outcome.kind}'] += 1
        if send_answer:
            # Jobs whose callers have left say nothing of the capacity.
            self.placement.order.record_end(job, outcome, now_s)
        self._log('job_ended', **_state.describe_end(job, outcome, now_s))
        if outcome.kind is _records.OutcomeKind.UNKNOWN and job.may_have_run():
            self._unknown_ended_s.pop(job.job.id, None)
            self._unknown_ended_s[job.job.id] = now_s
        if send_answer:
            self._recent_outcomes[job.job.id] = (outcome, now_s)
            self._effects.append(
                _records.AnswerJob(job.job.id, job.instance_id, outcome)
            )
        job.drop_tasks()

    # Placement

    def raise_token(
        self, token: int, instance_ids: typing.Iterable[str]
    ) -> None:
        """Use a higher token after workers accepted another dispatcher.

        The given instances may now belong to the other dispatcher, which
        relies on workers rejecting requests of this one. Their jobs start
        no tasks until :meth:`resume_instance` is called.
        """
        self.token = token
        self._paused_instance_ids.update(instance_ids)

    def poll_unguarded_workers(self, now_s: float) -> None:
        """Request reports after :meth:`raise_token` where starts need them."""
        self.capacity.token_raised_s = now_s
        for worker in self.workers.values():
            if self.capacity.needs_report(worker):
                self._start_polling(worker, now_s)

    def resume_instance(self, instance_id: str, now_s: float) -> None:
        """Resume the jobs of an instance that still uses this dispatcher."""
        if instance_id in self._paused_instance_ids:
            self._paused_instance_ids.discard(instance_id)
            self._request_placement(now_s)

    def _place_waiting_tasks(self, now_s: float) -> None:
        """Start waiting tasks on workers with free resources."""
        waiting = [
            job
            for job in self.jobs.values()
            if job.waiting and self._is_placed(job)
        ]
        if not waiting:
            self.admission.record_round((), now_s)
            self.pacer.record_round(0, 0, now_s)
            return
        if self._needs_refresh:
            self._needs_refresh = False
            self._search_all_workers = True
            self.placement.refresh_workers(now_s)
        changed, self._changed_workers = self._changed_workers, {}
        starts = self.placement.choose_starts(
            waiting,
            now_s,
            None if self._search_all_workers else changed.values(),
            self.pacer.max_starts,
        )
        is_limited = self.pacer.is_limit_reached(len(starts))
        # The round has not come to all jobs. The next one continues.
        self._search_all_workers = self._needs_placement = is_limited
        for start in starts:
            if not self.start_payloads.add(start.task.job.job.payload):
                # It waits for the next round.
                continue
            start.task.job.waiting.remove(start.task)
            self._start_run(start.task, start.worker, now_s)
        self.admission.record_round(waiting, now_s)
        n_startable = 0
        if is_limited:
            n_startable = self._backlog.count(
                (job for job in waiting if job.held_until_s <= now_s),
                self.workers.values(),
            )
        self.pacer.record_round(len(starts), n_startable, now_s)

    def tick(self, now_s: float) -> None:
        """Handle timeouts and periodic work."""
        if now_s >= self._next_fleet_scan_s:
            self._next_fleet_scan_s = now_s + _FLEET_SCAN_INTERVAL_S
            self.placement.refresh_workers(now_s)
            self._loss_detector.update_start_rate(
                self.counters['starts'], _FLEET_SCAN_INTERVAL_S
            )
            self._move_stragglers(now_s)
            if self.interference is not None:
                self.interference.tick(now_s, self._log, self.counters)
            self._drop_unlisted_workers(now_s)
            self._read_old_clocks(now_s)
        self._search_all_workers = True
        self.holds.have_earlier_leases_ended = (
            now_s >= self.holds.start_held_until_s
        )
        self._expire_leases(now_s)
        self._end_blocked_jobs(now_s)
        self._repeat_stops(now_s)
        self._stop_foreign_runs(now_s)
        self.holds.release(now_s)
        self._poll_overdue_workers(now_s)
        self._expire_jobs(now_s)
        self._refuse_unservable(self.jobs.values(), now_s)
        self._refuse_waiting_jobs(now_s)
        self._drop_old_results(now_s)
        self.job_account.release_expired(now_s)
        self._request_placement(now_s)

    def _read_old_clocks(self, now_s: float) -> None:
        for worker in self.workers.values():
            if worker.is_clock_old(now_s):
                self._start_polling(worker, now_s)

    def _expire_leases(self, now_s: float) -> None:
        for worker in self.workers.values():
            if worker.runs and worker.have_leases_ended(
                self.settings.lease_s, now_s
            ):
                self._record_crash(worker, now_s)
                cause = (
                    _records.LossCause.CRASHED
                    if worker.closed_s < math.inf
                    else _records.LossCause.SILENT
                )
                for run in list(worker.runs.values()):
                    self._mark_run_lost(run, cause, now_s)
                worker.is_known = False
                self._start_polling(worker, now_s)

    # Crashes of workers

    def _record_closed(self, worker: _workers.Worker, now_s: float) -> None:
        """Record that a worker closed or refused a connection."""
        if not worker.record_closed(now_s):
            return
        for run in worker.runs.values():
            if self.crashes.is_suspect(run.key):
                self.crashes.record_failed_trial(run.queue, now_s)

    def _record_crash(self, worker: _workers.Worker, now_s: float) -> None:
        """Record a crash if the worker has closed its connections.

        Runs that were started later cannot be the cause.
        """
        keys = [
            run.key
            for run in worker.runs.values()
            if run.started_s <= worker.closed_s
        ]
        if worker.closed_s == math.inf or not keys:
            return
        self.crashes.record(worker.info, keys, now_s)
        self.counters['worker_crashes'] += 1
        self._log(
            'worker_crashed',
            worker=worker.id,
            life=worker.info.life,
            closed_ago_s=round(now_s - worker.closed_s, 3),
            tasks=_task_names(keys),
        )

    def _prove_replacement(self, worker: _workers.Worker) -> None:
        """Prove the crashes of a worker whose address another one has."""
        self._log_proof(
            self.crashes.prove_replacement(worker.info.address, ''),
            worker.id,
            'replaced',
        )

    def _log_proof(
        self, keys: list[_records.TaskKey], worker_id: str, reason: str
    ) -> None:
        if keys:
            self.counters['crashes_proven'] += 1
            self._log(
                'crash_proven',
                worker=worker_id,
                reason=reason,
                tasks=_task_names(keys),
            )

    def _refute_crash(self, worker: _workers.Worker, now_s: float) -> None:
        keys = self.crashes.refute(worker.id, worker.info.life, now_s)
        if keys:
            self.counters['crashes_refuted'] += 1
            self._log(
                'crash_refuted',
                worker=worker.id,
                life=worker.info.life,
                tasks=_task_names(keys),
            )

    def add_crashes(
        self, records: typing.Iterable[_crashes.CrashRecord], now_s: float
    ) -> None:
        """Use an earlier dispatcher's knowledge of crashes."""
        records = list(records)
        self.crashes.add_records(records, now_s)
        ids_by_address = {
            worker.info.address: worker.id
            for worker in self.workers.values()
            if worker.is_listed
        }
        for record in records:
            worker = self.workers.get(record.worker_id)
            if worker is not None:
                self._log_proof(
                    self.crashes.prove_restart(worker.id, worker.info.life),
                    worker.id,
                    'restarted',
                )
                if (
                    worker.info.life == record.life
                    and worker.last_heard_s > now_s - record.age_s
                ):
                    self._refute_crash(worker, now_s)
            new_id = ids_by_address.get(record.address, record.worker_id)
            if new_id != record.worker_id:
                self._log_proof(
                    self.crashes.prove_replacement(record.address, new_id),
                    new_id,
                    'replaced',
                )

    def _end_blocked_jobs(self, now_s: float) -> None:
        """Stop the jobs with a task that has crashed too many workers.

        They have failed if the crashes are proven. Until then they start
        nothing, since a crash may still be refuted.
        """
        for job_id in self.crashes.blocked_job_ids():
            job = self.jobs.get(job_id)
            if job is None:
                continue
            if self.crashes.is_condemned(job_id):
                self._finish_job(
                    job,
                    _records.Outcome(
                        _records.OutcomeKind.FAILED,
                        self.crashes.reason(job_id),
                    ),
                    now_s,
                )
                continue
            for task in job.all_tasks():
                if task.run is not None:
                    self._stop_run(task.run, now_s)

    def _repeat_stops(self, now_s: float) -> None:
        for run, due_s in list(self._stop_due_s.items()):
            if now_s < due_s:
                continue
            self._stop_run(run, now_s)
        self._stop_late_starts(now_s)

    def _stop_late_starts(self, now_s: float) -> None:
        """Stop starts of earlier incarnations that may come late."""
        for worker_id, key, run_id in self._late_starts.take_due_stops(now_s):
            worker = self.workers.get(worker_id)
            if worker is not None:
                self._send_stop(worker, key, run_id)

    def _move_stragglers(self, now_s: float) -> None:
        decisions = self.stragglers.decide(
            self.workers.values(), self._tasks, self.counters, now_s
        )
        for fields in decisions.slow:
            self._log('worker_slow', **fields)
        for run in decisions.moves:
            self._stop_run(run, now_s)

    def _poll_overdue_workers(self, now_s: float) -> None:
        if not self._loss_detector.is_loss_high(now_s):
            return
        for worker in self.workers.values():
            if (
                not worker.runs
                or now_s - worker.last_overdue_poll_s
                < _OVERDUE_POLL_INTERVAL_S
            ):
                continue
            if now_s - worker.last_heard_s < _OVERDUE_POLL_INTERVAL_S:
                continue
            if any(
                self._may_have_ended(run, now_s)
                for run in (worker.runs.values())
            ):
                worker.last_overdue_poll_s = now_s
                self._effects.append(_records.PollWorkerOnce(worker.id))

    def _may_have_ended(self, run: _workers.Run, now_s: float) -> bool:
        if run.is_stopping and not run.is_accepted:
            return run.stop_confirmed_s < now_s
        expected_s = (
            run.expected_s * run.worker.run_time_ratio() * _OVERDUE_FACTOR
        )
        return run.is_accepted and now_s > run.started_s + expected_s

    def _stop_foreign_runs(self, now_s: float) -> None:
        for key, foreign_run in self._foreign_runs.take_runs_to_stop(now_s):
            self.counters['orphans_stopped'] += 1
            self._send_stop(
                self.workers[foreign_run.worker_id], key, foreign_run.run_id
            )

    def _expire_jobs(self, now_s: float) -> None:
        for job, outcome in self._expiry.find_expired(
            self.jobs.values(), self.holds.held_job_ids, now_s
        ):
            self._finish_job(job, outcome, now_s)

    def _refuse_waiting_jobs(self, now_s: float) -> None:
        """Refuse waiting jobs that can no longer end in time."""
        for job, refusal in self.admission.review(
            self.jobs.values(), self._is_placed, now_s
        ):
            self.counters['jobs_refused_waiting'] += 1
            self._finish_job(job, refusal.outcome(), now_s)
        fields = self.admission.take_log_fields(now_s)
        if fields is not None:
            self._log('admission', **fields)

    def _is_placed(self, job: _jobs.JobState) -> bool:
        """Return whether the placement tries the waiting tasks of a job."""
        return (
            job.instance_id not in self._paused_instance_ids
            and not self.crashes.is_blocked(job.job.id)
        )

    def _drop_old_results(self, now_s: float) -> None:
        self.crashes.drop_old(now_s)
        self._foreign_runs.drop_old_completions(now_s)
        for job_id, (_, ended_s) in list(self._recent_outcomes.items()):
            if now_s - ended_s <= OUTCOME_RETENTION_S:
                break
            del self._recent_outcomes[job_id]
        for job_id, ended_s in list(self._unknown_ended_s.items()):
            if now_s - ended_s <= OUTCOME_RETENTION_S:
                break
            del self._unknown_ended_s[job_id]

    def state(self, now_s: float) -> dict[str, typing.Any]:
        """Return the dispatcher's state for operators."""
        return {
            'token': self.token,
            'age_s': round(now_s - self.created_s, 3),
            'counters': dict(self.counters),
            'n_orphans': len(self._foreign_runs),
            'run_times': self.tails.state(),
            'interference': self.interference.state()
            if self.interference is not None
            else None,
            **_state.describe(
                self.jobs.values(), self.workers.values(), self.crashes, now_s
            ),
        }
