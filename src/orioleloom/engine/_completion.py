from orioleloom import claims
from orioleloom import codec
from orioleloom.engine._core import Core
from orioleloom.engine._jobs import Job
from orioleloom.engine._jobs import JobPhase
from orioleloom.engine._jobs import TaskState
from orioleloom.engine import _tags as tags
from orioleloom import errors
from orioleloom import model

# A larger answer is kept in memory only, for retention_s.
MAX_RECORDED_ANSWER_BYTES = 32 * 1024


class Completion:
    """End jobs, answer their callers and record the answers.

    The answer of a claimed job is recorded in its claim row, where other
    instances find it.
    """

    def __init__(self, core: Core):
        self.core = core

    def end_if_complete(self, job: Job) -> None:
        """End a job that has no task left to run or to wait for."""
        if job.phase is not JobPhase.RUNNING or job.n_in_flight:
            return
        if job.pending_watermark:
            # The record is conditional on the row revision, which is known
            # only once the raise in progress is committed.
            return
        n_waiting = job.states.count(TaskState.WAITING)
        if n_waiting and job.abort_kind is None:
            return
        self._end(job)

    def end_immediately(self, job: Job, kind: errors.ErrorKind) -> None:
        """End a job without waiting for its tasks in flight.

        Used when the timeout of a planned stop has passed.
        """
        job.abort_kind = job.abort_kind or kind
        for index in job.indexes(TaskState.SENT):
            job.states[index] = TaskState.UNKNOWN
        job.n_in_flight = 0
        if job.phase is JobPhase.RUNNING:
            self._end(job)

    def record_committed(self, job: Job, revision: int) -> None:
        """Process the commit of the record of a job."""
        job.revision = revision
        if job.phase is JobPhase.SETTLING:
            self._finish(job)

    def record_failed(self, job: Job) -> None:
        """Answer a job whose record could not be written.

        Another instance may have taken over the claim, so tasks that a
        new owner could still start are not reported as "not run".
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
        self._finish(job)

    def write_record(self, job: Job) -> None:
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
            job.start_watermark,
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
        core.claim_writer.add(
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
            self._finish(job)
            return
        reports_not_run = TaskState.WAITING in job.states
        # With a watermark of zero another instance may take over the claim
        # and run the job. "Not run" is certain only once the record is
        # committed.
        if reports_not_run and job.start_watermark == 0:
            job.phase = JobPhase.SETTLING
            self.write_record(job)
            return
        self.write_record(job)
        self._finish(job)

    def _finish(self, job: Job) -> None:
        core = self.core
        job.phase = JobPhase.ENDED
        core.active_jobs.pop(job.id, None)
        core.ended_jobs.append(job)
        # The content of an ended job does not count towards
        # max_queued_bytes. Counting it for retention_s limited an instance
        # to about 1,500 tasks per second.
        core.held_bytes -= job.size_bytes
        job.release_content()
        core.counters[f'jobs_{job.answer.body["state"]}'] += 1
        for request_id in job.waiters:
            core.respond(request_id, job.answer)
        job.waiters.clear()
        for peer_id, message_id in job.peer_waiters:
            core.send_to_peer(peer_id, self.build_reply(job), message_id)
        job.peer_waiters.clear()

    def build_reply(self, job: Job) -> codec.JobReply:
        """Build the reply to a peer's query for a job."""
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
