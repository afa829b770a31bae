import heapq
import typing

from orioleloom import codec
from orioleloom.engine._completion import Completion
from orioleloom.engine._core import Core
from orioleloom.engine import _effects as effects
from orioleloom.engine._exchanges import Exchange
from orioleloom.engine._exchanges import InFlightTask
from orioleloom.engine._exchanges import result_size_bytes
from orioleloom.engine._jobs import Job
from orioleloom.engine._jobs import JobPhase
from orioleloom.engine._jobs import TaskState
from orioleloom import errors
from orioleloom import model
from orioleloom import queueing

MAX_ANSWER_BYTES = 16 * 1024 * 1024

# Lease of a task as a multiple of its expected run time. The worker of a
# task that runs longer may have died.
_LEASE_FACTOR = 40.0

# The next raise of the start watermark is requested when this many tasks
# or fewer remain below it.
WATERMARK_MARGIN_TASKS = 16


class Dispatcher:
    """Send queued tasks to workers and process their outcomes.

    ``request_watermark_raise(job, index)`` is set by the engine. It
    requests a start watermark above the task at ``index``.
    """

    def __init__(self, core: Core, completion: Completion):
        self.core = core
        self.completion = completion
        self.exchanges: dict[int, Exchange] = {}
        self.request_watermark_raise: typing.Callable[[Job, int], None]
        self._n_exchanges = 0
        self._limited_tasks: dict[str, int] = {}
        # Customers that had reached their limits at the last check.
        self._limited_customers: set[str] = set()

    def new_job(
        self,
        job_id: model.JobId,
        request: model.JobRequest,
        body: bytes,
        *,
        ticket: bool,
        deadline_at_s: float | None = None,
    ) -> Job:
        """Create and register a job owned by this instance.

        :param deadline_at_s: deadline of a copy that was received earlier;
            by default the deadline counts from now
        """
        core = self.core
        contract = core.contract_book.get(job_id.customer)
        deadline_ms = request.deadline_ms
        if deadline_ms is None:
            deadline_ms = contract.deadline_ms if contract else 60_000.0
        if deadline_at_s is None:
            deadline_at_s = core.now_s + deadline_ms / 1000
        job = Job(
            job_id,
            request,
            ticket,
            core.now_s,
            deadline_at_s,
            len(body),
        )
        core.jobs[job_id] = job
        core.active_jobs[job_id] = job
        heapq.heappush(core.deadlines, (job.deadline_at_s, job_id))
        core.held_bytes += job.size_bytes
        return job

    def enqueue(self, job: Job) -> None:
        """Queue all tasks of a job, grouped by upstream."""
        by_upstream: dict[str, list[queueing.QueuedTask]] = {}
        for index, task in enumerate(job.request.tasks):
            expected_ms = self.core.pool.expected_run_time_ms(
                task.upstream, task.kind, task.run_time_ms
            )
            by_upstream.setdefault(task.upstream, []).append(
                queueing.QueuedTask(
                    job.id,
                    index,
                    task.kind,
                    task.upstream,
                    expected_ms,
                    task.run_time_ms,
                )
            )
        for upstream, queued in by_upstream.items():
            self.core.queue.push(job.id.customer, (job.id, upstream), queued)

    def drop_queued(self, job: Job) -> None:
        """Remove the tasks of a job from the queue."""
        for upstream in {task.upstream for task in job.request.tasks}:
            self.core.queue.remove(job.id.customer, (job.id, upstream))
        job.held_tasks.clear()

    def requeue_held(self, job: Job) -> None:
        """Return the tasks that waited for a watermark raise to the queue."""
        held, job.held_tasks = job.held_tasks, []
        for task in reversed(held):
            self._push_front(task)

    def _push_front(self, task: queueing.QueuedTask) -> None:
        job_id = task.job_key
        self.core.queue.push_front(
            job_id.customer, (job_id, task.upstream), task
        )

    def limited_tasks(self) -> dict[str, int]:
        """Return the queued tasks of each customer at its limits.

        The counts are those of the last ``run``.
        """
        return self._limited_tasks

    def run(self) -> None:
        """Send as many queued tasks as worker slots and limits allow."""
        core = self.core
        assignments: dict[str, list[tuple[Job, queueing.QueuedTask]]] = {}
        full_upstreams: set[str] = set()
        # Customers whose next task needs a higher watermark.
        blocked_customers: set[str] = set()
        self._limited_tasks = {}
        while core.queue.n_tasks():
            queued = core.queue.pop(
                lambda customer, upstream: (
                    upstream not in full_upstreams
                    and customer not in blocked_customers
                    and self._within_limits(customer)
                )
            )
            if queued is None:
                break
            customer, task = queued
            job = core.jobs.get(task.job_key)
            if job is None or not self._is_startable(job):
                continue
            worker_id = core.pool.choose_worker(
                task.upstream,
                task.kind,
                task.declared_run_time_ms,
                self._n_startable() + 1,
                core.now_s,
            )
            if worker_id is None:
                self._push_front(task)
                full_upstreams.add(task.upstream)
                continue
            if not (job.ticket or self._is_below_watermark(job, task)):
                if not self._hold_until_committed(job, task):
                    self._push_front(task)
                    blocked_customers.add(customer)
                continue
            core.pool.record_start(worker_id, task.kind, core.now_s)
            core.limits.start(job.id.customer, core.now_s)
            assignments.setdefault(worker_id, []).append((job, task))
        for worker_id, assigned in assignments.items():
            self._send(worker_id, assigned)

    def _n_startable(self) -> int:
        """Return the number of queued tasks that may use a slot.

        Tasks of customers at their limits are not counted, since they
        take no slot. Counting them overestimated the wait for fast
        workers and sent the tasks of other customers to slow ones (F11).
        """
        queue = self.core.queue
        n_limited = sum(
            queue.n_tasks(name) for name in self._limited_customers
        )
        return max(0, queue.n_tasks() - n_limited)

    def _within_limits(self, customer: str) -> bool:
        if self.core.limits.allowance(customer, self.core.now_s) > 0:
            self._limited_customers.discard(customer)
            return True
        self._limited_customers.add(customer)
        self._limited_tasks[customer] = self.core.queue.n_tasks(customer)
        return False

    def _is_startable(self, job: Job) -> bool:
        if job.abort_kind is not None:
            return False
        if job.deadline_at_s <= self.core.now_s:
            self.expire(job)
            return False
        return True

    def _is_below_watermark(self, job: Job, task: queueing.QueuedTask) -> bool:
        """Whether a task is below the committed start watermark.

        Requests a raise if the task is above the watermark or close
        below it. The margin lets a job that starts tasks steadily go on
        without waiting for the table write.
        """
        if (
            task.index + WATERMARK_MARGIN_TASKS
            >= job.start_watermark
            < job.n_tasks
        ):
            self.request_watermark_raise(job, task.index)
        return task.index < job.start_watermark

    @staticmethod
    def _hold_until_committed(job: Job, task: queueing.QueuedTask) -> bool:
        """Hold a task until the watermark raise in progress is committed.

        :returns: whether that raise covers the task; if not, the caller
            returns the task to the queue, where it counts as waiting
        """
        if task.index >= job.pending_watermark:
            return False
        job.held_tasks.append(task)
        return True

    def _send(
        self,
        worker_id: str,
        assigned: list[tuple[Job, queueing.QueuedTask]],
    ) -> None:
        core = self.core
        self._n_exchanges += 1
        exchange = Exchange(worker_id, {})
        self.exchanges[self._n_exchanges] = exchange
        sent = []
        longest_s = 0.0
        for job, task in assigned:
            key = model.task_key(job.id, task.index)
            lease_s = self._lease_s(job, task)
            longest_s = max(longest_s, lease_s)
            declared = job.request.tasks[task.index]
            sent.append(
                effects.SentTask(
                    key, task.kind, declared.payload, int(lease_s * 1000)
                )
            )
            exchange.n_tasks += 1
            exchange.tasks[key] = InFlightTask(job, task, core.now_s)
            job.states[task.index] = TaskState.SENT
            job.n_in_flight += 1
            job.exchange_ids.add(self._n_exchanges)
        core.counters['worker_exchanges'] += 1
        core.counters['task_sends'] += len(sent)
        core.emit(
            effects.SendTasks(
                self._n_exchanges,
                worker_id,
                self._http_address_of(worker_id),
                tuple(sent),
                longest_s,
            )
        )

    def _http_address_of(self, worker_id: str) -> str:
        member = self.core.members.find(worker_id)
        return member.http if member else ''

    def _lease_s(self, job: Job, task: queueing.QueuedTask) -> float:
        remaining_s = max(0.001, job.deadline_at_s - self.core.now_s)
        expected_s = _LEASE_FACTOR * task.cost_ms / 1000
        lease_s = max(self.core.settings.min_lease_s, expected_s)
        return min(remaining_s, lease_s)

    def line_received(self, exchange_id: int, line: model.ResultLine) -> None:
        """Process a result line received from a worker."""
        core = self.core
        exchange = self.exchanges.get(exchange_id)
        in_flight = exchange.tasks.pop(line.key, None) if exchange else None
        if in_flight is None:
            core.counters['late_lines'] += 1
            return
        job, task = in_flight.job, in_flight.task
        worker_id = exchange.worker_id
        if line.leaving and worker_id not in core.leaving_workers:
            core.leaving_workers.add(worker_id)
            core.pool.mark_leaving(worker_id)
            # Instances without tasks on this worker would otherwise learn
            # this from the member list, seconds later.
            core.broadcast(codec.WorkerNotice(worker_id, False, True))
        elapsed_ms = (core.now_s - in_flight.sent_at_s) * 1000
        job.n_in_flight = max(0, job.n_in_flight - 1)
        match line.outcome:
            case model.TaskOutcome.OK:
                core.pool.record_success(
                    worker_id,
                    task.kind,
                    line.run_time_ms,
                    elapsed_ms,
                    line.free_slots,
                    core.now_s,
                    task.declared_run_time_ms,
                )
                self._task_ok(job, task.index, line)
            case model.TaskOutcome.FAILED:
                core.pool.record_failure(
                    worker_id,
                    task.kind,
                    elapsed_ms,
                    line.free_slots,
                    core.now_s,
                )
                self._task_failed(job, task.index, worker_id, line.error)
            case model.TaskOutcome.STOPPED:
                core.pool.record_cancellation(
                    worker_id, line.free_slots, core.now_s
                )
                self._task_ended(job, task.index, TaskState.STOPPED)
            case model.TaskOutcome.REJECTED:
                core.counters['task_rejections'] += 1
                exchange.n_rejected += 1
                if exchange.n_rejected == exchange.n_tasks:
                    # Only an exchange whose tasks are all rejected costs
                    # extra messages.
                    core.counters['exchanges_rejected'] += 1
                core.pool.record_rejection(
                    worker_id, line.free_slots, core.now_s
                )
                self._task_not_started(job, task)
        self.completion.end_if_complete(job)

    def exchange_ended(
        self, exchange_id: int, may_have_started: bool, reason: str
    ) -> None:
        """Process the end of a POST to a worker.

        Tasks without a result line become unknown if they may have
        started, and return to the queue otherwise.
        """
        core = self.core
        exchange = self.exchanges.pop(exchange_id, None)
        if exchange is None or not exchange.tasks:
            return
        worker_id = exchange.worker_id
        for in_flight in exchange.tasks.values():
            job, task = in_flight.job, in_flight.task
            job.n_in_flight = max(0, job.n_in_flight - 1)
            if may_have_started:
                core.counters['tasks_unknown'] += 1
                core.pool.record_unknown_outcome(worker_id, core.now_s)
                self._set_error(
                    job,
                    f'the exchange with worker {worker_id} failed: {reason}',
                )
                self._task_ended(job, task.index, TaskState.UNKNOWN)
            else:
                core.pool.record_connection_refused(worker_id, core.now_s)
                self._task_not_started(job, task)
        for job in {
            id(t.job): t.job for t in exchange.tasks.values()
        }.values():
            self.completion.end_if_complete(job)

    def _task_ok(self, job: Job, index: int, line: model.ResultLine) -> None:
        job.results[index] = line.result
        job.result_bytes += result_size_bytes(line.result)
        if job.result_bytes > MAX_ANSWER_BYTES:
            self._set_error(
                job,
                f'the results exceed {MAX_ANSWER_BYTES} bytes',
            )
            self.abort(job, errors.ErrorKind.TOO_LARGE)
        self._task_ended(job, index, TaskState.OK)

    def _task_failed(
        self, job: Job, index: int, worker_id: str, error: str
    ) -> None:
        self.core.counters['tasks_failed'] += 1
        self._set_error(
            job, f'task {index} failed on worker {worker_id}: {error}'
        )
        self._task_ended(job, index, TaskState.FAILED)

    def _task_ended(self, job: Job, index: int, state: TaskState) -> None:
        self.core.limits.finish(job.id.customer, self.core.now_s)
        if job.phase is JobPhase.RUNNING:
            job.states[index] = state
            job.n_finished += 1

    def _task_not_started(self, job: Job, task: queueing.QueuedTask) -> None:
        self.core.limits.refund(job.id.customer, self.core.now_s)
        if job.phase is not JobPhase.RUNNING:
            return
        job.states[task.index] = TaskState.WAITING
        n_sends = job.n_sends.get(task.index, 0) + 1
        job.n_sends[task.index] = n_sends
        if n_sends >= self.core.settings.max_task_sends:
            self._set_error(
                job,
                f'no worker accepted task {task.index} after {n_sends} sends',
            )
            self.abort(job, errors.ErrorKind.OVERLOADED)
        elif job.abort_kind is None and not job.superseded:
            self._push_front(task)

    @staticmethod
    def _set_error(job: Job, message: str) -> None:
        if not job.first_error:
            job.first_error = message

    def expire(self, job: Job) -> None:
        """Abort a job whose deadline has passed."""
        self._set_error(job, 'the deadline passed before all tasks ended')
        self.abort(job, errors.ErrorKind.DEADLINE_EXCEEDED)
        self.completion.end_if_complete(job)

    def abort(self, job: Job, kind: errors.ErrorKind) -> None:
        """Start no more tasks of a job; tasks in flight may finish."""
        if job.abort_kind is None:
            job.abort_kind = kind
        self.drop_queued(job)

    def cancel(self, job: Job) -> None:
        """Cancel a job: stop its running tasks and drop its queued ones."""
        if job.phase in (JobPhase.ENDED, JobPhase.SETTLING):
            return
        self._set_error(job, 'the job was cancelled')
        self.abort(job, errors.ErrorKind.CANCELLED)
        self._stop_in_flight(job)
        self.completion.end_if_complete(job)

    def _stop_in_flight(self, job: Job) -> None:
        """Ask workers to stop the tasks of a job, one message per worker."""
        core = self.core
        if not job.n_in_flight:
            return
        by_worker: dict[str, list[str]] = {}
        for exchange_id in job.exchange_ids:
            exchange = self.exchanges.get(exchange_id)
            if exchange is None:
                continue
            keys = [k for k, t in exchange.tasks.items() if t.job is job]
            if keys:
                by_worker.setdefault(exchange.worker_id, []).extend(keys)
        for worker_id, keys in by_worker.items():
            core.counters['worker_cancels'] += 1
            http = self._http_address_of(worker_id)
            if http:
                core.emit(effects.CancelTasks(worker_id, http, tuple(keys)))
