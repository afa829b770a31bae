import math

from orioleloom import claims
from orioleloom.engine._claim_flow import ClaimFlow
from orioleloom.engine._core import Core
from orioleloom.engine._core import WaitingRequests
from orioleloom.engine._dispatch import Dispatcher
from orioleloom.engine import _effects as effects
from orioleloom.engine import _events as events
from orioleloom.engine._jobs import Job
from orioleloom.engine._jobs import JobPhase
from orioleloom.engine._remote import RemoteJobs
from orioleloom.engine import _tags as tags
from orioleloom import errors
from orioleloom import model

# Tasks in the largest job. Every customer may queue at least this many.
MAX_TASKS = 1300


class Submissions:
    """Accept, refuse, fetch and cancel submissions."""

    def __init__(
        self,
        core: Core,
        dispatcher: Dispatcher,
        claim_flow: ClaimFlow,
        remote: RemoteJobs,
        pending_reads: dict[str, tags.ReadTag],
    ):
        self.core = core
        self.dispatcher = dispatcher
        self.claim_flow = claim_flow
        self.remote = remote
        self.pending_reads = pending_reads

    def submit(self, event: events.Submit) -> None:
        """Accept, join, forward or refuse a submission."""
        core = self.core
        core.open_requests[event.request_id] = event.job_id
        core.counters['submissions'] += 1
        ticket = claims.parse_ticket(event.job_id.submission_id)
        minted_here = ticket is not None and ticket.owner() == core.identity
        if event.job_id in core.jobs:
            self._join(event, core.jobs[event.job_id])
            return
        if ticket is not None and not minted_here:
            self._forward_to_minter(event, ticket)
            return
        try:
            if minted_here:
                self._check_ticket_age(ticket)
            self._check_runnable(event.job_id, event.request)
            self._check_queue_capacity(
                event.job_id, event.request, len(event.body)
            )
        except errors.DispatchError as error:
            core.refuse(
                event.request_id,
                event.job_id,
                error,
                no_other_copy=event.first_attempt,
            )
            return
        self._accept(event, ticket=minted_here)

    def _accept(self, event: events.Submit, *, ticket: bool) -> None:
        job = self.dispatcher.new_job(
            event.job_id, event.request, event.body, ticket=ticket
        )
        job.first_attempt = event.first_attempt
        if ticket:
            self._start_ticket(job)
        else:
            self.claim_flow.insert_claim(job)
        self._attach(event, job)

    def submit_forwarded(
        self, job_id: model.JobId, request: model.JobRequest, body: bytes
    ) -> None:
        """Accept a job that a peer forwarded because of its ticket.

        :raises DispatchError: if the job is refused
        """
        if self.core.stopping:
            raise _stopping_error()
        self._check_ticket_age(claims.parse_ticket(job_id.submission_id))
        self._check_runnable(job_id, request)
        self._check_queue_capacity(job_id, request, len(body))
        job = self.dispatcher.new_job(job_id, request, body, ticket=True)
        self._start_ticket(job)

    def _start_ticket(self, job: Job) -> None:
        job.phase = JobPhase.RUNNING
        job.start_watermark = job.n_tasks
        self.dispatcher.enqueue(job)

    def _join(self, event: events.Submit, job: Job) -> None:
        if job.request.digest != event.request.digest:
            error = errors.DispatchError(
                errors.ErrorKind.SUBMISSION_MISMATCH,
                'the submission id was used for a job with other content',
            )
            self.core.refuse(
                event.request_id, event.job_id, error, no_other_copy=False
            )
            return
        self.core.counters['submissions_joined'] += 1
        # A second copy exists, so the caller's promise no longer holds.
        job.first_attempt = False
        self._attach(event, job)

    def _attach(self, event: events.Submit | events.Fetch, job: Job) -> None:
        if job.phase is JobPhase.ENDED:
            self.core.respond(event.request_id, job.answer)
        elif event.wait:
            if isinstance(event, events.Fetch):
                # The caller may have sent another copy elsewhere.
                job.first_attempt = False
            job.waiters.add(event.request_id)
        else:
            answer = model.Answer(202, dict(job.progress()))
            self.core.respond(event.request_id, answer)

    def _forward_to_minter(
        self, event: events.Submit, ticket: claims.Ticket
    ) -> None:
        self.core.counters['tickets_forwarded'] += 1
        self.remote.await_answer(
            event.job_id,
            ticket.owner(),
            None,
            _waiting_request(event.request_id, event.wait),
            event.request,
            event.body,
        )

    def _check_ticket_age(self, ticket: claims.Ticket) -> None:
        core = self.core
        age_s = core.now_s - ticket.minted_ms / 1000
        # An accepted job is kept for retention_s after its end, so a
        # copy that is within the age limit always finds it.
        limit_s = core.settings.retention_s / 2
        if age_s > limit_s:
            raise errors.DispatchError(
                errors.ErrorKind.TICKET_EXPIRED,
                f'the ticket is {age_s:.0f} s old, the limit is '
                f'{limit_s:.0f} s',
            )

    def _check_runnable(
        self, job_id: model.JobId, request: model.JobRequest
    ) -> None:
        core = self.core
        if core.stopping:
            raise _stopping_error()
        contract = core.contract_book.get(job_id.customer)
        if contract is None:
            raise errors.DispatchError(
                errors.ErrorKind.UNKNOWN_CUSTOMER,
                f'customer {job_id.customer!r} has no contract',
            )
        if contract.closed:
            raise errors.DispatchError(
                errors.ErrorKind.NOT_RUNNABLE,
                f'the contract of customer {job_id.customer!r} is closed',
            )
        deadline_ms = request.deadline_ms or contract.deadline_ms
        kinds = {(t.upstream, t.kind, t.run_time_ms) for t in request.tasks}
        for upstream, kind, declared_ms in kinds:
            self._check_upstream(contract, upstream)
            fastest_ms = core.pool.fastest_run_time_ms(
                upstream, kind, declared_ms
            )
            if fastest_ms > deadline_ms:
                raise errors.DispatchError(
                    errors.ErrorKind.NOT_RUNNABLE,
                    f'a task of kind {kind!r} takes about '
                    f'{fastest_ms:.0f} ms on the fastest worker, longer '
                    f'than the deadline of {deadline_ms:.0f} ms',
                )

    def _check_upstream(self, contract: model.Contract, upstream: str) -> None:
        if upstream not in contract.upstreams:
            allowed = ', '.join(contract.upstreams)
            raise errors.DispatchError(
                errors.ErrorKind.NOT_RUNNABLE,
                f'upstream {upstream!r} is not in the contract of customer '
                f'{contract.customer!r}, which allows: {allowed}',
            )
        if not self.core.members.entry_instances():
            raise errors.DispatchError(
                errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'this instance has not read the list of workers yet',
                retry_after_ms=self.core.retry_after_ms(),
            )
        if not self.core.pool.has_live_worker(upstream):
            raise errors.DispatchError(
                errors.ErrorKind.NOT_RUNNABLE,
                f'upstream {upstream!r} has no worker',
            )

    def _check_queue_capacity(
        self, job_id: model.JobId, request: model.JobRequest, n_bytes: int
    ) -> None:
        core = self.core
        contract = core.contract_book.get(job_id.customer)
        n_tasks = len(request.tasks)
        _, n_entries = core.members.rank_and_count(core.now_s)
        share = math.ceil(contract.max_queued_tasks / max(1, n_entries))
        n_queued = core.queue.n_tasks(job_id.customer)
        if n_queued and n_queued + n_tasks > max(share, MAX_TASKS):
            raise errors.DispatchError(
                errors.ErrorKind.OVER_LIMIT,
                f'customer {job_id.customer!r} has {n_queued} tasks waiting '
                f'on this instance, the limit is {max(share, MAX_TASKS)}',
                retry_after_ms=core.retry_after_ms(),
            )
        is_full = (
            core.queue.n_tasks() + n_tasks > core.settings.max_queued_tasks
            or core.held_bytes + n_bytes > core.settings.max_queued_bytes
        )
        if is_full:
            raise errors.DispatchError(
                errors.ErrorKind.OVERLOADED,
                'the queue of this instance is full',
                retry_after_ms=core.retry_after_ms(),
            )

    def fetch(self, event: events.Fetch) -> None:
        """Answer a request for the result or the progress of a job."""
        core = self.core
        core.open_requests[event.request_id] = event.job_id
        job = core.jobs.get(event.job_id)
        ticket = claims.parse_ticket(event.job_id.submission_id)
        if job is not None:
            self._attach(event, job)
        elif event.job_id in core.remote_jobs:
            self._fetch_remote(event)
        elif ticket is not None:
            self._fetch_ticket(event, ticket)
        else:
            self._read_claim(
                tags.ReadForFetch(event.request_id, event.job_id, event.wait)
            )

    def _fetch_remote(self, event: events.Fetch) -> None:
        remote = self.core.remote_jobs[event.job_id]
        if event.wait or remote.progress is None:
            remote.waiters.add(event.request_id)
        else:
            self.core.respond(event.request_id, self.remote.progress(remote))

    def _fetch_ticket(
        self, event: events.Fetch, ticket: claims.Ticket
    ) -> None:
        if ticket.owner() == self.core.identity:
            self._refuse_unknown_job(event.request_id, event.job_id)
            return
        self.remote.await_answer(
            event.job_id,
            ticket.owner(),
            None,
            WaitingRequests(final={event.request_id}),
            None,
            b'',
        )

    def _refuse_unknown_job(
        self, request_id: int, job_id: model.JobId
    ) -> None:
        error = errors.DispatchError(
            errors.ErrorKind.UNKNOWN_JOB,
            f'no job with submission id {job_id.submission_id!r} is known',
        )
        self.core.refuse(request_id, job_id, error, no_other_copy=False)

    def cancel(self, event: events.Cancel) -> None:
        """Cancel a job on behalf of a caller."""
        core = self.core
        core.open_requests[event.request_id] = event.job_id
        job = core.jobs.get(event.job_id)
        ticket = claims.parse_ticket(event.job_id.submission_id)
        if job is not None:
            self.dispatcher.cancel(job)
            self._attach(
                events.Fetch(event.request_id, event.job_id, wait=True), job
            )
        elif ticket is None:
            self._read_claim(
                tags.ReadForCancel(event.request_id, event.job_id)
            )
        elif ticket.owner() == core.identity:
            self._refuse_unknown_job(event.request_id, event.job_id)
        else:
            self.remote.cancel_ticket(
                event.job_id, ticket.owner(), event.request_id
            )

    def cancel_received(self, job_id: model.JobId) -> None:
        """Cancel a job on behalf of a peer."""
        job = self.core.jobs.get(job_id)
        if job is not None:
            self.dispatcher.cancel(job)

    def _read_claim(self, tag: tags.ReadForFetch | tags.ReadForCancel) -> None:
        token = self.core.new_token()
        self.pending_reads[token] = tag
        self.core.counters['table_reads'] += 1
        self.core.emit(effects.ReadTable(token, (tag.job_id.claim_key(),)))

    def fetch_read(
        self,
        tag: tags.ReadForFetch,
        rows: tuple[model.Row, ...] | None,
    ) -> None:
        """Process the claim row read for a fetch."""
        if rows is None:
            self._refuse_after_failed_read(tag.request_id, tag.job_id)
        elif not rows or rows[0].value is None:
            self._refuse_unknown_job(tag.request_id, tag.job_id)
        else:
            self.claim_flow.answer_from_claim(
                tag.job_id,
                rows[0],
                _waiting_request(tag.request_id, tag.wait),
                request=None,
                body=b'',
            )

    def cancel_read(
        self,
        tag: tags.ReadForCancel,
        rows: tuple[model.Row, ...] | None,
    ) -> None:
        """Process the claim row read for a cancel."""
        if rows is None:
            self._refuse_after_failed_read(tag.request_id, tag.job_id)
        elif not rows or rows[0].value is None:
            self.claim_flow.cancel_unclaimed(tag.job_id, tag.request_id)
        else:
            self.remote.cancel_claimed(tag.job_id, rows[0], tag.request_id)

    def _refuse_after_failed_read(
        self, request_id: int, job_id: model.JobId
    ) -> None:
        error = errors.DispatchError(
            errors.ErrorKind.PLATFORM_UNAVAILABLE,
            'the table did not answer, so the job could not be looked up',
            retry_after_ms=self.core.retry_after_ms(),
        )
        self.core.refuse(request_id, job_id, error, no_other_copy=False)

    def wait_expired(self, request_id: int) -> None:
        """Answer a request with progress after its wait timed out."""
        core = self.core
        job_id = core.open_requests.get(request_id)
        if job_id is None:
            return
        job = core.jobs.get(job_id)
        remote = core.remote_jobs.get(job_id)
        if job is not None:
            job.waiters.discard(request_id)
            answer = model.Answer(202, dict(job.progress()))
            core.respond(request_id, answer)
        elif remote is not None:
            remote.waiters.discard(request_id)
            core.respond(request_id, self.remote.progress(remote))

    def drop_request(self, request_id: int) -> None:
        """Drop the request of a caller that disconnected."""
        core = self.core
        job_id = core.open_requests.pop(request_id, None)
        if job_id in core.jobs:
            core.jobs[job_id].waiters.discard(request_id)
        if job_id in core.remote_jobs:
            core.remote_jobs[job_id].waiters.discard(request_id)


def _waiting_request(request_id: int, wait: bool) -> WaitingRequests:
    if wait:
        return WaitingRequests(final={request_id})
    return WaitingRequests(immediate={request_id})


def _stopping_error() -> errors.DispatchError:
    return errors.DispatchError(
        errors.ErrorKind.STOPPING,
        'this instance is stopping; submit to another one',
    )
