import heapq
import typing

from orioleloom import codec
from orioleloom.engine._completion import Completion
from orioleloom.engine._core import Core
from orioleloom.engine import _effects as effects
from orioleloom.engine._exchanges import Exchange
from orioleloom.engine._exchanges import InFlightTask
from orioleloom.engine._exchanges import size_bytes
from orioleloom.engine._jobs import Job
from orioleloom.engine._jobs import JobPhase
from orioleloom.engine._jobs import TaskState
from orioleloom import errors
from orioleloom import model
from orioleloom import queueing

MAX_ANSWER_BYTES = 16 * 1024 * 1024

# A task that outlasts this multiple of its expected run time is a
# straggler whose worker may have died.
_LEASE_FACTOR = 40.0

# Tasks left below the watermark when the next raise is asked for.
RAISE_AHEAD = 16


class Dispatcher:
    """Place queued tasks on workers and take their outcomes.

    ``request_raise`` is set by the engine: it asks for a higher start
    watermark for a job.
    """

    def __init__(self, core: Core, completion: Completion):
        self.core = core
        self.completion = completion
        self.exchanges: dict[int, Exchange] = {}
        self.request_raise: typing.Callable[[Job, int], None]
        self._n_exchanges = 0
        self._starved: dict[str, int] = {}
        # Customers that were at their limits when last looked at.
        self._at_limit: set[str] = set()

    def new_job(
        self,
        job_id: model.JobId,
        request: model.JobRequest,
        body: bytes,
        *,
        ticket: bool,
        deadline_at_s: float | None = None,
    ) -> Job:
        """Create a job that this instance holds.

        :param deadline_at_s: set when the copy was received earlier
        """
        core = self.core
        contract = core.book.get(job_id.customer)
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
        core.active[job_id] = job
        heapq.heappush(core.deadlines, (job.deadline_at_s, job_id))
        core.held_bytes += job.size_bytes
        return job

    def enqueue(self, job: Job) -> None:
        """Queue every waiting task of a job."""
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
        job.held.clear()

    def release_held(self, job: Job) -> None:
        """Queue the tasks that waited for a raise of the watermark."""
        held, job.held = job.held, []
        for task in reversed(held):
            self._push_front(task)

    def _push_front(self, task: queueing.QueuedTask) -> None:
        job_id = task.job_key
        self.core.queue.push_front(
            job_id.customer, (job_id, task.upstream), task
        )

    def starved(self) -> dict[str, int]:
        """Return tasks waiting on limits, by customer, after a run."""
        return self._starved

    def run(self) -> None:
        """Start as many queued tasks as slots and limits allow."""
        core = self.core
        sends: dict[str, list[tuple[Job, queueing.QueuedTask]]] = {}
        blocked: set[str] = set()
        raising: set[str] = set()
        self._starved = {}
        while core.queue.n_tasks():
            popped = core.queue.pop(
                lambda customer, upstream: (
                    upstream not in blocked
                    and customer not in raising
                    and self._within_limits(customer)
                )
            )
            if popped is None:
                break
            customer, task = popped
            job = core.jobs.get(task.job_key)
            if job is None or not self._is_startable(job):
                continue
            worker_id = core.pool.choose(
                task.upstream,
                task.kind,
                task.declared_run_time_ms,
                self._n_startable() + 1,
                core.now_s,
            )
            if worker_id is None:
                self._push_front(task)
                blocked.add(task.upstream)
                continue
            if not (job.ticket or self._is_released(job, task)):
                if not self._hold(job, task):
                    self._push_front(task)
                    raising.add(customer)
                continue
            core.pool.started(worker_id, task.kind, core.now_s)
            core.limits.start(job.id.customer, core.now_s)
            sends.setdefault(worker_id, []).append((job, task))
        for worker_id, started in sends.items():
            self._send(worker_id, started)

    def _n_startable(self) -> int:
        """Return the queued tasks that may use a slot.

        Tasks that their customer's limits hold back are left out: they
        take no slot, and with them every wait looked long, so that the
        tasks of other customers went to slow workers (F11).
        """
        queue = self.core.queue
        held_back = sum(queue.n_tasks(name) for name in self._at_limit)
        return max(0, queue.n_tasks() - held_back)

    def _within_limits(self, customer: str) -> bool:
        if self.core.limits.allowance(customer, self.core.now_s) > 0:
            self._at_limit.discard(customer)
            return True
        self._at_limit.add(customer)
        self._starved[customer] = self.core.queue.n_tasks(customer)
        return False

    def _is_startable(self, job: Job) -> bool:
        if job.ending is not None:
            return False
        if job.deadline_at_s <= self.core.now_s:
            self.expire(job)
            return False
        return True

    def _is_released(self, job: Job, task: queueing.QueuedTask) -> bool:
        """Whether the task lies below the committed watermark.

        A raise is asked for once a slot is free for the task, and a
        little early for a job that runs steadily, so that it does not
        wait for the table.
        """
        if task.index + RAISE_AHEAD >= job.released < job.n_tasks:
            self.request_raise(job, task.index)
        return task.index < job.released

    @staticmethod
    def _hold(job: Job, task: queueing.QueuedTask) -> bool:
        """Set a task aside until the raise in progress is committed.

        :returns: whether that raise will cover the task; if not, the
            task stays in the queue, so that it counts as waiting
        """
        if task.index >= job.raising_to:
            return False
        job.held.append(task)
        return True

    def _send(
        self,
        worker_id: str,
        started: list[tuple[Job, queueing.QueuedTask]],
    ) -> None:
        core = self.core
        self._n_exchanges += 1
        exchange = Exchange(worker_id, {})
        self.exchanges[self._n_exchanges] = exchange
        sent = []
        longest_s = 0.0
        for job, task in started:
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
                self._http_of(worker_id),
                tuple(sent),
                longest_s,
            )
        )

    def _http_of(self, worker_id: str) -> str:
        member = self.core.members.find(worker_id)
        return member.http if member else ''

    def _lease_s(self, job: Job, task: queueing.QueuedTask) -> float:
        remaining_s = max(0.001, job.deadline_at_s - self.core.now_s)
        expected_s = _LEASE_FACTOR * task.cost_ms / 1000
        lease_s = max(self.core.settings.min_lease_s, expected_s)
        return min(remaining_s, lease_s)

    def line_received(self, exchange_id: int, line: model.TaskLine) -> None:
        """Take a result line of a worker."""
        core = self.core
        exchange = self.exchanges.get(exchange_id)
        sent = exchange.tasks.pop(line.key, None) if exchange else None
        if sent is None:
            core.counters['late_lines'] += 1
            return
        job, task = sent.job, sent.task
        worker_id = exchange.worker_id
        if line.leaving and worker_id not in core.leaving_workers:
            core.leaving_workers.add(worker_id)
            core.pool.set_leaving(worker_id)
            # Instances that do not use the worker now would learn it from
            # the list only, seconds later.
            core.broadcast(codec.WorkerNotice(worker_id, False, True))
        elapsed_ms = (core.now_s - sent.sent_at_s) * 1000
        job.n_in_flight = max(0, job.n_in_flight - 1)
        match line.outcome:
            case model.TaskOutcome.OK:
                core.pool.finished(
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
                core.pool.failed(
                    worker_id,
                    task.kind,
                    elapsed_ms,
                    line.free_slots,
                    core.now_s,
                )
                self._task_failed(job, task.index, worker_id, line.error)
            case model.TaskOutcome.STOPPED:
                core.pool.stopped(worker_id, line.free_slots, core.now_s)
                self._task_ended(job, task.index, TaskState.STOPPED)
            case model.TaskOutcome.REJECTED:
                core.counters['task_rejections'] += 1
                exchange.n_rejected += 1
                if exchange.n_rejected == exchange.n_tasks:
                    # Only these cost messages; other rejections travel
                    # with accepted tasks.
                    core.counters['exchanges_rejected'] += 1
                core.pool.rejected(worker_id, line.free_slots, core.now_s)
                self._not_started(job, task)
        self.completion.check(job)

    def exchange_ended(
        self, exchange_id: int, may_have_started: bool, reason: str
    ) -> None:
        """Take the end of a POST; tasks without a line are decided."""
        core = self.core
        exchange = self.exchanges.pop(exchange_id, None)
        if exchange is None or not exchange.tasks:
            return
        worker_id = exchange.worker_id
        for sent in exchange.tasks.values():
            job, task = sent.job, sent.task
            job.n_in_flight = max(0, job.n_in_flight - 1)
            if may_have_started:
                core.counters['tasks_unknown'] += 1
                core.pool.unknown(worker_id, core.now_s)
                self._set_error(
                    job,
                    f'worker {worker_id} broke off the exchange: {reason}',
                )
                self._task_ended(job, task.index, TaskState.UNKNOWN)
            else:
                core.pool.unreachable(worker_id, core.now_s)
                self._not_started(job, task)
        for job in {
            id(s.job): s.job for s in exchange.tasks.values()
        }.values():
            self.completion.check(job)

    def _task_ok(self, job: Job, index: int, line: model.TaskLine) -> None:
        job.results[index] = line.result
        job.result_bytes += size_bytes(line.result)
        if job.result_bytes > MAX_ANSWER_BYTES:
            self._set_error(
                job,
                f'the results exceed {MAX_ANSWER_BYTES} bytes',
            )
            self.end(job, errors.ErrorKind.TOO_LARGE)
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

    def _not_started(self, job: Job, task: queueing.QueuedTask) -> None:
        self.core.limits.refund(job.id.customer, self.core.now_s)
        if job.phase is not JobPhase.RUNNING:
            return
        job.states[task.index] = TaskState.WAITING
        n_sends = job.n_sends.get(task.index, 0) + 1
        job.n_sends[task.index] = n_sends
        if n_sends >= self.core.settings.max_task_sends:
            self._set_error(
                job,
                f'no worker accepted task {task.index} in {n_sends} sends',
            )
            self.end(job, errors.ErrorKind.OVERLOADED)
        elif job.ending is None and not job.superseded:
            self._push_front(task)

    @staticmethod
    def _set_error(job: Job, message: str) -> None:
        if not job.first_error:
            job.first_error = message

    def expire(self, job: Job) -> None:
        """End a job whose deadline has passed."""
        self._set_error(job, 'the deadline passed before all tasks ended')
        self.end(job, errors.ErrorKind.DEADLINE_EXCEEDED)
        self.completion.check(job)

    def end(self, job: Job, kind: errors.ErrorKind) -> None:
        """Start no further task of a job; those in flight may end."""
        if job.ending is None:
            job.ending = kind
        self.drop_queued(job)

    def cancel(self, job: Job) -> None:
        """Cancel a job: stop what runs and drop what waits."""
        if job.phase in (JobPhase.ENDED, JobPhase.SETTLING):
            return
        self._set_error(job, 'the job was cancelled')
        self.end(job, errors.ErrorKind.CANCELLED)
        self._stop_in_flight(job)
        self.completion.check(job)

    def _stop_in_flight(self, job: Job) -> None:
        """Ask workers to stop; one message a worker, not a task."""
        core = self.core
        if not job.n_in_flight:
            return
        by_worker: dict[str, list[str]] = {}
        for exchange_id in job.exchange_ids:
            exchange = self.exchanges.get(exchange_id)
            if exchange is None:
                continue
            keys = [k for k, s in exchange.tasks.items() if s.job is job]
            if keys:
                by_worker.setdefault(exchange.worker_id, []).extend(keys)
        for worker_id, keys in by_worker.items():
            core.counters['worker_cancels'] += 1
            http = self._http_of(worker_id)
            if http:
                core.emit(effects.CancelTasks(worker_id, http, tuple(keys)))
