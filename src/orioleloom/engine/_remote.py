import typing

from orioleloom import claims
from orioleloom import codec
from orioleloom.engine._completion import Completion
from orioleloom.engine._core import Core
from orioleloom.engine._core import WaitingRequests
from orioleloom.engine._jobs import RemoteJob
from orioleloom import errors
from orioleloom import model
from orioleloom import validation

# An owner is considered dead once it has left this many requests
# unanswered for at least OWNER_TIMEOUT_S. Safety does not depend on this,
# since a takeover is a compare-and-set; a false positive costs a failed job.
MAX_UNANSWERED_REQUESTS = 3
OWNER_TIMEOUT_S = 2.0

_RETRY_INTERVAL_S = 0.7
_REFRESH_INTERVAL_S = 5.0


class RemoteJobs:
    """Query, forward and cancel jobs that other instances own.

    Two callables are set by the engine: ``take_over`` takes over the
    claim of an owner that is gone, ``submit_forwarded`` accepts a job
    that a peer forwarded.
    """

    def __init__(self, core: Core, completion: Completion):
        self.core = core
        self.completion = completion
        self.take_over: typing.Callable[[model.JobId], None]
        self.submit_forwarded: typing.Callable[..., None]

    def await_answer(
        self,
        job_id: model.JobId,
        owner: str,
        row: model.Row | None,
        waiting: WaitingRequests,
        request: model.JobRequest | None,
        body: bytes,
    ) -> None:
        """Wait for the answer of a job that another instance owns.

        :param owner: ``<instance>/<incarnation>`` that owns the job
        :param row: claim row; ``None`` for a ticket
        :param waiting: requests to answer
        :param request: content of the job; ``None`` for a fetch or a cancel
        :param body: ``request`` as received, to forward it
        """
        core = self.core
        remote = core.remote_jobs.get(job_id)
        is_new = remote is None
        if remote is None:
            remote = RemoteJob(job_id, owner, row, request, body)
            core.remote_jobs[job_id] = remote
        remote.row = row or remote.row
        remote.request = remote.request or request
        if request is not None:
            # The deadline of each copy counts from its own receipt.
            remote.deadline_at_s = self._deadline_at_s(job_id, request)
        remote.body = remote.body or body
        remote.waiters |= waiting.final
        if is_new:
            # The waiters must be registered first, since the request may
            # fail at once.
            self._send_request(remote)
        for request_id in waiting.immediate:
            core.respond(request_id, model.Answer(202, self._progress(remote)))

    def _deadline_at_s(
        self, job_id: model.JobId, request: model.JobRequest
    ) -> float | None:
        deadline_ms = request.deadline_ms
        if deadline_ms is None:
            contract = self.core.contract_book.get(job_id.customer)
            if contract is None:
                return None
            deadline_ms = contract.deadline_ms
        return self.core.now_s + deadline_ms / 1000

    def cancel_claimed(
        self, job_id: model.JobId, row: model.Row, request_id: int
    ) -> None:
        """Cancel a submission whose claim belongs to another instance."""
        claim = claims.claim_from_value(row.value)
        if claim.state is not model.ClaimState.CLAIMED:
            self._answer_closed_claim(job_id, claim, request_id)
            return
        self.await_answer(
            job_id,
            claim.owner,
            row,
            WaitingRequests(final={request_id}),
            None,
            b'',
        )
        self._cancel(job_id)

    def cancel_ticket(
        self, job_id: model.JobId, owner: str, request_id: int
    ) -> None:
        """Cancel a submission whose ticket another instance minted."""
        self.await_answer(
            job_id,
            owner,
            None,
            WaitingRequests(final={request_id}),
            None,
            b'',
        )
        self._cancel(job_id)

    def _cancel(self, job_id: model.JobId) -> None:
        remote = self.core.remote_jobs.get(job_id)
        if remote is not None:
            remote.cancel = True
            self._send_request(remote)

    def _answer_closed_claim(
        self, job_id: model.JobId, claim: model.Claim, request_id: int
    ) -> None:
        if claim.answer is not None:
            answer = model.Answer(
                claim.answer['http_status'], claim.answer['body']
            )
            self.core.respond(request_id, answer)
            return
        not_run = claim.state is model.ClaimState.CANCELLED
        error = errors.DispatchError(
            errors.ErrorKind.CANCELLED,
            'the submission ended before the cancel request arrived',
            run=errors.RunStatus.NOT_RUN if not_run else errors.RunStatus.RAN,
        )
        self.core.refuse(request_id, job_id, error, no_other_copy=False)

    def _progress(self, remote: RemoteJob) -> dict[str, typing.Any]:
        n_tasks = len(remote.request.tasks) if remote.request else 0
        return remote.progress or dict(
            model.Progress(
                submission_id=remote.id.submission_id,
                state='queued',
                n_tasks=n_tasks,
                n_started=0,
                n_done=0,
            )
        )

    def progress(self, remote: RemoteJob) -> model.Answer:
        """Return the last progress received from the owner of a job."""
        return model.Answer(202, self._progress(remote))

    def answer_progress(self, remote: RemoteJob) -> None:
        """Answer all waiters of a job with its progress."""
        for request_id in remote.waiters:
            self.core.respond(request_id, self.progress(remote))
        remote.waiters.clear()

    def _send_request(self, remote: RemoteJob) -> None:
        core = self.core
        remote.next_try_at_s = core.now_s + _RETRY_INTERVAL_S
        remote.message_id = core.new_message_id()
        if remote.cancel:
            core.send_to_peer(
                remote.owner,
                codec.JobCancel(remote.id.customer, remote.id.submission_id),
            )
        remaining_ms = None
        if remote.deadline_at_s is not None:
            remaining_ms = (remote.deadline_at_s - core.now_s) * 1000
        # An expired job is not forwarded again, but an earlier forward may
        # have started it, so the owner is still queried.
        expired = remaining_ms is not None and remaining_ms <= 0
        if remote.row is None and remote.body and not expired:
            message = codec.JobForward(
                remote.id.customer,
                remote.id.submission_id,
                remote.body,
                subscribe=True,
                remaining_ms=remaining_ms,
            )
        else:
            message = codec.JobQuery(
                remote.id.customer, remote.id.submission_id, subscribe=True
            )
        listed = core.send_to_peer(remote.owner, message, remote.message_id)
        if remote.n_unanswered == 0:
            remote.first_unanswered_at_s = core.now_s
        remote.n_unanswered += 1
        if not listed and remote.row is None:
            self._refuse_waiters(
                remote,
                errors.ErrorKind.TICKET_OWNER_GONE,
                'the instance that minted the ticket is not listed',
            )

    def tick(self) -> None:
        """Repeat unanswered requests and handle owners that are gone."""
        now_s = self.core.now_s
        for remote in list(self.core.remote_jobs.values()):
            if remote.taking_over or now_s < remote.next_try_at_s:
                continue
            unanswered_s = now_s - remote.first_unanswered_at_s
            is_owner_gone = (
                remote.n_unanswered >= MAX_UNANSWERED_REQUESTS
                and unanswered_s >= OWNER_TIMEOUT_S
            )
            if not is_owner_gone:
                self._send_request(remote)
            elif remote.row is not None:
                self.take_over(remote.id)
            else:
                self._refuse_waiters(
                    remote,
                    errors.ErrorKind.OWNER_UNREACHABLE,
                    'the instance that minted the ticket does not answer',
                )
            if not remote.waiters and remote.id in self.core.remote_jobs:
                if not remote.taking_over:
                    del self.core.remote_jobs[remote.id]

    def _refuse_waiters(
        self, remote: RemoteJob, kind: errors.ErrorKind, message: str
    ) -> None:
        self.core.remote_jobs.pop(remote.id, None)
        error = errors.DispatchError(
            kind,
            f'{message}: {remote.owner}',
            retry_after_ms=self.core.retry_after_ms(),
        )
        for request_id in remote.waiters:
            self.core.refuse(request_id, remote.id, error, no_other_copy=False)

    def reply_received(self, sender: str, reply: codec.JobReply) -> None:
        """Process the reply of the owner of a job."""
        core = self.core
        job_id = model.JobId(reply.customer, reply.submission_id)
        remote = core.remote_jobs.get(job_id)
        if remote is None or remote.taking_over:
            return
        if not reply.known or sender != remote.owner:
            self._handle_missing_job(remote, sender)
        elif reply.final:
            del core.remote_jobs[job_id]
            answer = model.Answer(reply.http_status, reply.body)
            for request_id in remote.waiters:
                core.respond(request_id, answer)
        else:
            remote.progress = reply.body
            remote.n_unanswered = 0
            remote.next_try_at_s = core.now_s + _REFRESH_INTERVAL_S

    def _handle_missing_job(self, remote: RemoteJob, sender: str) -> None:
        if sender.partition('/')[0] != remote.owner.partition('/')[0]:
            return
        if remote.row is not None:
            self.take_over(remote.id)
        else:
            self._refuse_waiters(
                remote,
                errors.ErrorKind.TICKET_OWNER_GONE,
                'the instance was restarted or no longer knows the job',
            )

    def query_received(
        self, message_id: int, sender: str, query: codec.JobQuery
    ) -> None:
        """Answer a peer's query for a job."""
        job_id = model.JobId(query.customer, query.submission_id)
        job = self.core.jobs.get(job_id)
        if job is None:
            reply = self.unknown_reply(job_id)
        else:
            reply = self.completion.build_reply(job)
            if query.subscribe and not reply.final:
                job.peer_waiters.add((sender, message_id))
        self.core.send_to_peer(sender, reply, message_id)

    def forward_received(
        self, message_id: int, sender: str, forward: codec.JobForward
    ) -> None:
        """Run a forwarded job whose ticket this process minted."""
        core = self.core
        job_id = model.JobId(forward.customer, forward.submission_id)
        ticket = claims.parse_ticket(forward.submission_id)
        if ticket is None or ticket.owner() != core.identity:
            core.send_to_peer(sender, self.unknown_reply(job_id), message_id)
            return
        if job_id not in core.jobs:
            try:
                request = validation.check_job(forward.body)
                if forward.remaining_ms is not None:
                    # The deadline counts from the receipt at the sender.
                    request = request._replace(
                        deadline_ms=forward.remaining_ms
                    )
                self.submit_forwarded(job_id, request, forward.body)
            except errors.DispatchError as error:
                self._refuse_peer(job_id, sender, message_id, error)
                return
        self.query_received(
            message_id,
            sender,
            codec.JobQuery(
                forward.customer, forward.submission_id, subscribe=True
            ),
        )

    def _refuse_peer(
        self,
        job_id: model.JobId,
        sender: str,
        message_id: int,
        error: errors.DispatchError,
    ) -> None:
        # Only this process may start the job, but it does not remember the
        # refusal, so a later copy may still be accepted.
        answer = model.refused_answer(
            job_id.submission_id, error, no_other_copy=False
        )
        reply = codec.JobReply(
            job_id.customer,
            job_id.submission_id,
            True,
            True,
            answer.http_status,
            answer.body,
        )
        self.core.send_to_peer(sender, reply, message_id)

    @staticmethod
    def unknown_reply(job_id: model.JobId) -> codec.JobReply:
        """Build the reply for a job unknown to this instance."""
        return codec.JobReply(
            job_id.customer, job_id.submission_id, False, False, 404, {}
        )
