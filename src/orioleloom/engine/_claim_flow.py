import typing

from orioleloom import claims
from orioleloom.engine._completion import Completion
from orioleloom.engine._core import Core
from orioleloom.engine._core import WaitingRequests
from orioleloom.engine._dispatch import Dispatcher
from orioleloom.engine._jobs import Job
from orioleloom.engine._jobs import JobPhase
from orioleloom.engine._jobs import RemoteJob
from orioleloom.engine._remote import RemoteJobs
from orioleloom.engine import _tags as tags
from orioleloom import errors
from orioleloom import model

# Minimum number of tasks by which one write raises the start watermark. A
# larger step needs fewer writes but leaves more tasks with an unknown
# outcome if the instance dies.
WATERMARK_STEP_TASKS = 64


class ClaimFlow:
    """Insert, update, close and take over claim rows.

    A claim row names the instance that owns a job. Its start watermark
    is the number of leading tasks that the owner may have started.
    """

    def __init__(
        self,
        core: Core,
        dispatcher: Dispatcher,
        completion: Completion,
        remote: RemoteJobs,
    ):
        self.core = core
        self.dispatcher = dispatcher
        self.completion = completion
        self.remote = remote

    def insert_claim(self, job: Job, if_revision: int = 0) -> None:
        """Write the claim of a new job.

        :param if_revision: revision of the row to take over, 0 for a new
            row
        """
        core = self.core
        job.pending_watermark = self._initial_watermark(job)
        token = core.new_token()
        claim = model.Claim(
            core.identity,
            job.n_tasks,
            job.pending_watermark,
            model.ClaimState.CLAIMED,
            token,
            job.request.digest,
        )
        self._write_claim(
            tags.ClaimInsert(job.id),
            claim,
            job.id,
            if_revision,
            min(job.deadline_at_s, core.now_s + core.settings.claim_timeout_s),
        )

    def _initial_watermark(self, job: Job) -> int:
        """Return how many tasks can start immediately.

        Tasks above the watermark can still run elsewhere, or be reported
        as not run, if this instance dies.
        """
        if self.core.queue.n_tasks(job.id.customer):
            return 0
        upstreams = {task.upstream for task in job.request.tasks}
        core = self.core
        return min(
            core.pool.estimate_free_slots(name, core.now_s, job.n_tasks)
            for name in upstreams
        )

    def _write_claim(
        self,
        tag: typing.Any,
        claim: model.Claim,
        job_id: model.JobId,
        if_revision: int,
        give_up_at_s: float,
    ) -> None:
        op = model.TableOp(
            'put',
            job_id.claim_key(),
            claims.claim_to_value(claim),
            if_revision,
        )
        self.core.claim_writer.add(
            claims.WriteGroup(tag, claim.token, (op,), give_up_at_s)
        )

    def insert_done(
        self, job_id: model.JobId, outcome: claims.GroupOutcome
    ) -> None:
        """Process the outcome of a claim insert."""
        job = self.core.jobs.get(job_id)
        if job is None or job.phase is not JobPhase.CLAIMING:
            return
        match outcome:
            case claims.GroupCommitted(revision):
                job.revision = revision
                job.start_watermark = job.pending_watermark
                job.pending_watermark = 0
                job.phase = JobPhase.RUNNING
                self.dispatcher.enqueue(job)
                self.completion.end_if_complete(job)
            case claims.GroupConflicted(rows):
                self._handle_conflict(job, rows)
            case claims.GroupTimedOut():
                self._refuse_unclaimed(job)

    def _refuse_unclaimed(self, job: Job) -> None:
        # No task has started and the job is dropped here, so no task
        # starts even if the row is committed later.
        waiting = self._drop_job(job)
        error = errors.DispatchError(
            errors.ErrorKind.PLATFORM_UNAVAILABLE,
            'the table did not answer, so the submission could not be '
            'claimed; a submission with a ticket does not need the table',
            retry_after_ms=self.core.retry_after_ms(),
        )
        for request_id in waiting.ids():
            self.core.refuse(
                request_id, job.id, error, no_other_copy=job.first_attempt
            )

    def watermark_raise_done(
        self, tag: tags.WatermarkRaise, outcome: claims.GroupOutcome
    ) -> None:
        """Process the outcome of a raise of the start watermark."""
        job = self.core.jobs.get(tag.job_id)
        if job is None or job.phase is not JobPhase.RUNNING:
            return
        job.pending_watermark = 0
        match outcome:
            case claims.GroupCommitted(revision):
                job.revision = revision
                job.start_watermark = max(job.start_watermark, tag.watermark)
                self.dispatcher.requeue_held(job)
                self.completion.end_if_complete(job)
            case claims.GroupConflicted(rows):
                self._stop_superseded(job, rows)
            case claims.GroupTimedOut():
                # The job runs until its deadline.
                self.dispatcher.requeue_held(job)
                self.completion.end_if_complete(job)

    def _stop_superseded(self, job: Job, rows: tuple[model.Row, ...]) -> None:
        """Stop a job whose claim another instance changed."""
        self.core.counters['claims_superseded'] += 1
        job.superseded = True
        self.dispatcher.drop_queued(job)
        self._handle_conflict(job, rows)

    def _handle_conflict(self, job: Job, rows: tuple[model.Row, ...]) -> None:
        waiting = self._drop_job(job)
        row = rows[0]
        self.answer_from_claim(
            job.id,
            row,
            waiting,
            request=job.request,
            body=b'',
        )

    def _drop_job(self, job: Job) -> WaitingRequests:
        core = self.core
        job.phase = JobPhase.ENDED
        self.remove_job(job)
        for peer_id, message_id in job.peer_waiters:
            core.send_to_peer(
                peer_id, self.remote.unknown_reply(job.id), message_id
            )
        return WaitingRequests(final=set(job.waiters))

    def record_done(
        self, job_id: model.JobId, outcome: claims.GroupOutcome
    ) -> None:
        """Process the outcome of recording a final answer."""
        job = self.core.jobs.get(job_id)
        if job is None or job.answer is None:
            return
        match outcome:
            case claims.GroupCommitted(revision):
                self.completion.record_committed(job, revision)
            case claims.GroupConflicted(rows):
                self._record_conflict(job, rows[0])
            case claims.GroupTimedOut():
                self.completion.record_failed(job)

    def _record_conflict(self, job: Job, row: model.Row) -> None:
        claim = self._parse_claim(row)
        owned = claim is not None and claim.owner == self.core.identity
        if owned and claim.state is model.ClaimState.CLAIMED:
            # An earlier raise was committed but its response was lost.
            job.revision = row.revision
            job.start_watermark = max(job.start_watermark, claim.released)
            self.completion.write_record(job)
        elif job.phase is JobPhase.SETTLING:
            self._stop_superseded(job, (row,))

    def answer_from_claim(
        self,
        job_id: model.JobId,
        row: model.Row,
        waiting: WaitingRequests,
        *,
        request: model.JobRequest | None,
        body: bytes,
    ) -> None:
        """Answer the requests for a submission from its claim row.

        :param request: content of the submission; ``None`` for a fetch,
            which cannot run the job
        """
        claim = self._parse_claim(row)
        if claim is None:
            self._refuse_all(
                waiting,
                job_id,
                errors.ErrorKind.OUTCOME_UNKNOWN,
                'the claim row of this submission cannot be read',
            )
        elif request and claim.digest and claim.digest != request.digest:
            self._refuse_all(
                waiting,
                job_id,
                errors.ErrorKind.SUBMISSION_MISMATCH,
                'the submission id was used for a job with other content',
            )
        elif claim.state is model.ClaimState.CLAIMED:
            self._answer_from_open_claim(
                job_id, row, claim, waiting, request, body
            )
        else:
            self._answer_from_closed_claim(job_id, claim, waiting)

    def _answer_from_closed_claim(
        self, job_id: model.JobId, claim: model.Claim, waiting: WaitingRequests
    ) -> None:
        if claim.answer is not None:
            answer = model.Answer(
                claim.answer['http_status'], claim.answer['body']
            )
            for request_id in waiting.ids():
                self.core.respond(request_id, answer)
        elif claim.state is model.ClaimState.CANCELLED:
            self._refuse_all(
                waiting,
                job_id,
                errors.ErrorKind.CANCELLED,
                'the submission was cancelled before it was claimed',
                run=errors.RunStatus.NOT_RUN,
            )
        else:
            self._refuse_all(
                waiting,
                job_id,
                errors.ErrorKind.OUTCOME_UNKNOWN,
                'the job ended, but its answer was too large to record '
                'and the instance that held it is gone',
            )

    def _answer_from_open_claim(
        self,
        job_id: model.JobId,
        row: model.Row,
        claim: model.Claim,
        waiting: WaitingRequests,
        request: model.JobRequest | None,
        body: bytes,
    ) -> None:
        job = self.core.jobs.get(job_id)
        if job is not None:
            job.waiters |= waiting.final
            for request_id in waiting.immediate:
                self.core.respond(
                    request_id, model.Answer(202, dict(job.progress()))
                )
            return
        self.remote.await_answer(
            job_id, claim.owner, row, waiting, request, body
        )
        if claim.owner.partition('/')[0] == self.core.instance_id:
            # The claim was made by this process or an earlier one of the
            # same instance, which no longer has the job.
            self.take_over(job_id)

    def take_over(self, job_id: model.JobId) -> None:
        """Take over a claim whose owner is gone."""
        remote = self.core.remote_jobs.get(job_id)
        if remote is None or remote.taking_over or remote.row is None:
            return
        claim = self._parse_claim(remote.row)
        remote.taking_over = True
        self.core.counters['takeovers'] += 1
        if claim.released == 0 and remote.request and not remote.cancel:
            self._run_taken_over(remote)
        else:
            self._close_claim(remote, claim)

    def _run_taken_over(self, remote: RemoteJob) -> None:
        core = self.core
        core.remote_jobs.pop(remote.id)
        job = self.dispatcher.new_job(
            remote.id,
            remote.request,
            remote.body,
            ticket=False,
            deadline_at_s=remote.deadline_at_s,
        )
        job.waiters = remote.waiters
        self.insert_claim(job, if_revision=remote.row.revision)

    def _close_claim(self, remote: RemoteJob, claim: model.Claim) -> None:
        core = self.core
        report = claims.takeover_report(claim)
        run = (
            errors.RunStatus.UNKNOWN
            if claim.released
            else errors.RunStatus.NOT_RUN
        )
        error = errors.DispatchError(
            errors.ErrorKind.CANCELLED
            if remote.cancel
            else errors.ErrorKind.OUTCOME_UNKNOWN,
            f'the instance {claim.owner} that held the job is gone; it '
            f'may have started the first {claim.released} of '
            f'{claim.n_tasks} tasks and none of the others',
            run=run,
        )
        answer = model.failed_answer(remote.id.submission_id, error, report)
        closed = claim._replace(
            owner=core.identity,
            state=model.ClaimState.FAILED,
            token=core.new_token(),
            answer={'http_status': answer.http_status, 'body': answer.body},
        )
        self._write_claim(
            tags.ClaimClose(remote.id),
            closed,
            remote.id,
            remote.row.revision,
            core.now_s + core.settings.claim_timeout_s,
        )
        remote.closing_answer = answer

    def close_done(
        self, job_id: model.JobId, outcome: claims.GroupOutcome
    ) -> None:
        """Process the outcome of closing a claim that was taken over."""
        remote = self.core.remote_jobs.pop(job_id, None)
        if remote is None:
            return
        match outcome:
            case claims.GroupCommitted():
                for request_id in remote.waiters:
                    self.core.respond(request_id, remote.closing_answer)
            case claims.GroupConflicted(rows):
                self.answer_from_claim(
                    job_id,
                    rows[0],
                    WaitingRequests(final=remote.waiters),
                    request=remote.request,
                    body=remote.body,
                )
            case claims.GroupTimedOut():
                self._refuse_all(
                    WaitingRequests(final=remote.waiters),
                    job_id,
                    errors.ErrorKind.OWNER_UNREACHABLE,
                    f'neither the instance {remote.owner} that holds the '
                    'job nor the table answers',
                    retry=True,
                )

    def cancel_unclaimed(self, job_id: model.JobId, request_id: int) -> None:
        """Write a cancelled claim, so that no copy of the job can run."""
        core = self.core
        claim = model.Claim(
            core.identity,
            0,
            0,
            model.ClaimState.CANCELLED,
            core.new_token(),
        )
        self._write_claim(
            tags.CancelInsert(job_id, request_id),
            claim,
            job_id,
            0,
            core.now_s + core.settings.claim_timeout_s,
        )

    def cancel_done(
        self, tag: tags.CancelInsert, outcome: claims.GroupOutcome
    ) -> None:
        """Process the outcome of cancelling an unclaimed submission."""
        waiting = WaitingRequests(final={tag.request_id})
        match outcome:
            case claims.GroupCommitted():
                self._refuse_all(
                    waiting,
                    tag.job_id,
                    errors.ErrorKind.CANCELLED,
                    'the submission is cancelled; no copy of it will run',
                    run=errors.RunStatus.NOT_RUN,
                )
            case claims.GroupConflicted(rows):
                self.remote.cancel_claimed(tag.job_id, rows[0], tag.request_id)
            case claims.GroupTimedOut():
                self._refuse_all(
                    waiting,
                    tag.job_id,
                    errors.ErrorKind.PLATFORM_UNAVAILABLE,
                    'the table did not answer, so it is not known whether '
                    'the submission was claimed',
                    run=errors.RunStatus.UNKNOWN,
                    retry=True,
                )

    def _refuse_all(
        self,
        waiting: WaitingRequests,
        job_id: model.JobId,
        kind: errors.ErrorKind,
        message: str,
        *,
        run: errors.RunStatus | None = None,
        retry: bool = False,
    ) -> None:
        error = errors.DispatchError(
            kind,
            message,
            run=run,
            retry_after_ms=self.core.retry_after_ms() if retry else None,
        )
        for request_id in waiting.ids():
            self.core.refuse(request_id, job_id, error, no_other_copy=False)

    @staticmethod
    def _parse_claim(row: model.Row) -> model.Claim | None:
        if row.value is None:
            return None
        try:
            return claims.claim_from_value(row.value)
        except errors.DispatchError:
            return None

    def request_watermark_raise(self, job: Job, index: int) -> None:
        """Write a watermark above a task that is ready to start."""
        if job.pending_watermark or job.phase is not JobPhase.RUNNING:
            return
        step = max(WATERMARK_STEP_TASKS, job.n_tasks // 8)
        job.pending_watermark = min(
            job.n_tasks, max(job.start_watermark, index) + step
        )
        token = self.core.new_token()
        claim = model.Claim(
            self.core.identity,
            job.n_tasks,
            job.pending_watermark,
            model.ClaimState.CLAIMED,
            token,
            job.request.digest,
        )
        self._write_claim(
            tags.WatermarkRaise(job.id, job.pending_watermark),
            claim,
            job.id,
            job.revision,
            job.deadline_at_s,
        )

    def remove_job(self, job: Job) -> None:
        """Remove a job from the jobs held by this instance."""
        core = self.core
        core.jobs.pop(job.id, None)
        core.active_jobs.pop(job.id, None)
        core.held_bytes -= job.size_bytes
