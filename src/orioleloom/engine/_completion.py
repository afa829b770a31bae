from orioleloom import claims
from orioleloom import codec
from orioleloom.engine._core import Core
from orioleloom.engine._jobs import Job
from orioleloom.engine._jobs import JobPhase
from orioleloom.engine._jobs import TaskState
from orioleloom.engine import _tags as tags
from orioleloom import errors
from orioleloom import model

# A larger answer is not recorded; it stays in memory for retention_s.
MAX_RECORDED_ANSWER_BYTES = 32 * 1024


class Completion:
    """End jobs, answer their callers and record the answers."""

    def __init__(self, core: Core):
        self.core = core

    def check(self, job: Job) -> None:
        """End a job whose outcome is complete."""
        if job.phase is not JobPhase.RUNNING or job.n_in_flight:
            return
        if job.raising_to:
            # The record must name the revision that the raise produces.
            return
        left = job.states.count(TaskState.WAITING)
        if left and job.ending is None:
            return
        self._end(job)

    def end_now(self, job: Job, kind: errors.ErrorKind) -> None:
        """End a job whatever is in flight; used at the end of a stop."""
        job.ending = job.ending or kind
        for index in job.indexes(TaskState.SENT):
            job.states[index] = TaskState.UNKNOWN
        job.n_in_flight = 0
        if job.phase is JobPhase.RUNNING:
            self._end(job)

    def recorded(self, job: Job, revision: int) -> None:
        """Take note that the record of a job was committed."""
        job.revision = revision
        if job.phase is JobPhase.SETTLING:
            self._answer(job)

    def record_given_up(self, job: Job) -> None:
        """Answer a job whose record could not be written.

        Another instance may have taken over the claim, so nothing that
        a new owner could still start may be called "not run".
        """
        if job.phase is not JobPhase.SETTLING:
            return
        report = job.report()
        report['unknown'] = sorted(report['unknown'] + report['not_run'])
        report['not_run'] = []
        error = errors.DispatchError(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            'the platform is unavailable, so the claim of this job could '
            'not be closed',
        )
        job.answer = model.failed_answer(job.id.submission_id, error, report)
        self._answer(job)

    def record(self, job: Job) -> None:
        """Write the final answer to the claim row."""
        core = self.core
        token = core.new_token()
        complete = job.answer.body['state'] == 'complete'
        state = (
            model.ClaimState.FINISHED if complete else model.ClaimState.FAILED
        )
        recorded = {
            'http_status': job.answer.http_status,
            'body': job.answer.body,
        }
        if len(codec.encode_json(recorded)) > MAX_RECORDED_ANSWER_BYTES:
            recorded = None
        claim = model.Claim(
            core.identity,
            job.n_tasks,
            job.released,
            state,
            token,
            job.request.digest,
            recorded,
        )
        op = model.TableOp(
            'put',
            job.id.claim_key(),
            claims.claim_to_value(claim),
            job.revision,
        )
        settling = job.phase is JobPhase.SETTLING
        timeout_s = (
            core.settings.record_timeout_s
            if settling
            else core.settings.retention_s
        )
        core.writer.add(
            claims.WriteGroup(
                tags.ClaimRecord(job.id),
                token,
                (op,),
                core.now_s + timeout_s,
            )
        )

    def _end(self, job: Job) -> None:
        job.answer = job.final_answer()
        job.ended_at_s = self.core.now_s
        if job.ticket:
            self._answer(job)
            return
        claims_not_run = TaskState.WAITING in job.states
        # With a watermark of zero another instance may take the claim
        # over and run the job, so "not run" waits for the record.
        if claims_not_run and job.released == 0:
            job.phase = JobPhase.SETTLING
            self.record(job)
            return
        self.record(job)
        self._answer(job)

    def _answer(self, job: Job) -> None:
        core = self.core
        job.phase = JobPhase.ENDED
        core.active.pop(job.id, None)
        core.ended.append(job)
        # Counting the content until the answer is forgotten capped an
        # instance at about 1,500 tasks a second.
        core.held_bytes -= job.size_bytes
        job.release_content()
        core.counters[f'jobs_{job.answer.body["state"]}'] += 1
        for request_id in job.waiters:
            core.respond(request_id, job.answer)
        job.waiters.clear()
        for peer_id, message_id in job.peer_waiters:
            core.send_peer(peer_id, self.reply(job), message_id)
        job.peer_waiters.clear()

    def reply(self, job: Job) -> codec.JobReply:
        """Build the reply to a peer that asks for a job."""
        final = job.phase is JobPhase.ENDED
        body = job.answer.body if final else dict(job.progress())
        status = job.answer.http_status if final else 202
        return codec.JobReply(
            job.id.customer,
            job.id.submission_id,
            final,
            True,
            status,
            body,
        )
