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


# Time after the bound of a stop for recording answers that say "not
# run". It lies within the margin after which the process ends.
_LAST_RECORD_S = 1.0


class Expiry:
    """End jobs at their deadline and forget them after the retention.

    Deadlines are kept in a heap and ended jobs in order of their end,
    so that a tick costs only what is due.
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
        # Claims outlive their jobs by hours, so the jobs are not kept.
        self._deletions: collections.deque[tuple[float, model.JobId, int]] = (
            collections.deque()
        )

    def tick(self) -> None:
        """Do what is due."""
        self._pass_deadlines()
        self._stop_bound()
        self._forget_old()
        self._delete_old()

    def _pass_deadlines(self) -> None:
        core = self.core
        while core.deadlines and core.deadlines[0][0] <= core.now_s:
            _, job_id = heapq.heappop(core.deadlines)
            job = core.active.get(job_id)
            if job is None or job.deadline_at_s > core.now_s:
                continue
            if job.phase in (JobPhase.CLAIMING, JobPhase.RUNNING):
                self.dispatcher.expire(job)

    def _stop_bound(self) -> None:
        core = self.core
        if core.stop_at_s is None or core.now_s < core.stop_at_s:
            return
        for job in list(core.active.values()):
            if job.phase is JobPhase.RUNNING:
                self.dispatcher.drop_queued(job)
                self.completion.end_now(job, errors.ErrorKind.STOPPING)
            elif core.now_s >= core.stop_at_s + _LAST_RECORD_S:
                self.completion.record_given_up(job)
        # Jobs of other instances go on; their callers fetch elsewhere.
        for remote in core.remote.values():
            if not remote.taking_over:
                self.remote.answer_progress(remote)

    def _forget_old(self) -> None:
        core = self.core
        while core.ended:
            job = core.ended[0]
            if core.now_s - job.ended_at_s < core.settings.retention_s:
                break
            core.ended.popleft()
            if core.jobs.get(job.id) is not job:
                continue
            self.claim_flow.forget(job)
            if not job.ticket:
                due_at_s = core.now_s + core.settings.claim_retention_s
                self._deletions.append((due_at_s, job.id, job.revision))

    def _delete_old(self) -> None:
        core = self.core
        while self._deletions and self._deletions[0][0] <= core.now_s:
            _, job_id, revision = self._deletions.popleft()
            op = model.TableOp('delete', job_id.claim_key(), None, revision)
            core.writer.add(
                claims.WriteGroup(
                    tags.ClaimDelete(job_id),
                    core.new_token(),
                    (op,),
                    core.now_s + core.settings.record_timeout_s,
                )
            )
