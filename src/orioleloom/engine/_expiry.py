import collections
import heapq

from orioleloom import claims
from orioleloom.engine._claim_flow import ClaimFlow
from orioleloom.engine._completion import Completion
from orioleloom.engine._core import Core
from orioleloom.engine._dispatch import Dispatcher
from orioleloom.engine._jobs import JobPhase
from orioleloom.engine._remote import RemoteJobs
from orioleloom.engine import _tags as tags
from orioleloom import errors
from orioleloom import model


# Time after the timeout of a planned stop to record answers that report
# tasks as not run. It must end before the process does.
_FINAL_RECORD_TIMEOUT_S = 1.0


class Expiry:
    """End jobs at their deadline and remove them after their retention.

    Deadlines are kept in a heap and ended jobs in the order of their end,
    so that the cost of a tick depends only on the number of due entries.
    """

    def __init__(
        self,
        core: Core,
        dispatcher: Dispatcher,
        completion: Completion,
        claim_flow: ClaimFlow,
        remote: RemoteJobs,
    ):
        self.core = core
        self.dispatcher = dispatcher
        self.completion = completion
        self.claim_flow = claim_flow
        self.remote = remote
        # Due time, job and revision of the claims to delete. The jobs are
        # not referenced, since their claims outlive them by hours.
        self._claim_deletions: collections.deque[
            tuple[float, model.JobId, int]
        ] = collections.deque()

    def tick(self) -> None:
        """Process all due deadlines and removals."""
        self._expire_jobs()
        self._enforce_stop_timeout()
        self._remove_old_jobs()
        self._delete_old_claims()

    def _expire_jobs(self) -> None:
        core = self.core
        while core.deadlines and core.deadlines[0][0] <= core.now_s:
            _, job_id = heapq.heappop(core.deadlines)
            job = core.active_jobs.get(job_id)
            if job is None or job.deadline_at_s > core.now_s:
                continue
            if job.phase in (JobPhase.CLAIMING, JobPhase.RUNNING):
                self.dispatcher.expire(job)

    def _enforce_stop_timeout(self) -> None:
        core = self.core
        if core.stop_at_s is None or core.now_s < core.stop_at_s:
            return
        for job in list(core.active_jobs.values()):
            if job.phase is JobPhase.RUNNING:
                self.dispatcher.drop_queued(job)
                self.completion.end_immediately(job, errors.ErrorKind.STOPPING)
            elif core.now_s >= core.stop_at_s + _FINAL_RECORD_TIMEOUT_S:
                self.completion.record_failed(job)
        # Jobs of other instances continue, and their callers can fetch the
        # answers from those.
        for remote in core.remote_jobs.values():
            if not remote.taking_over:
                self.remote.answer_progress(remote)

    def _remove_old_jobs(self) -> None:
        core = self.core
        while core.ended_jobs:
            job = core.ended_jobs[0]
            if core.now_s - job.ended_at_s < core.settings.retention_s:
                break
            core.ended_jobs.popleft()
            if core.jobs.get(job.id) is not job:
                continue
            self.claim_flow.remove_job(job)
            if not job.ticket:
                due_at_s = core.now_s + core.settings.claim_retention_s
                self._claim_deletions.append((due_at_s, job.id, job.revision))

    def _delete_old_claims(self) -> None:
        core = self.core
        while (
            self._claim_deletions and self._claim_deletions[0][0] <= core.now_s
        ):
            _, job_id, revision = self._claim_deletions.popleft()
            op = model.TableOp('delete', job_id.claim_key(), None, revision)
            core.claim_writer.add(
                claims.WriteGroup(
                    tags.ClaimDelete(job_id),
                    core.new_token(),
                    (op,),
                    core.now_s + core.settings.record_timeout_s,
                )
            )
