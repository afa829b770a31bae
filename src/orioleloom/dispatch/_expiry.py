import typing

from orioleloom.dispatch import _crashes
from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _placement
from orioleloom.dispatch import _records

# How long a handed over job is tried after it was held back, if it is late by
# then.
_LATE_TRIAL_S = 0.3
# Range of the Retry-After of a job that ends here, in seconds. Random values
# keep callers from retrying at the same time.
_RETRY_AFTER_S = (1.0, 3.0)


class JobExpiry:
    """Finds the jobs that end because it is too late for them.

    :param crashes: tasks under which workers have crashed
    """

    def __init__(
        self,
        *,
        crashes: _crashes.CrashLedger,
        placement: _placement.Placement,
        random_state: typing.Any,
    ):
        self.crashes = crashes
        self.placement = placement
        self.random_state = random_state

    def find_expired(
        self,
        jobs: typing.Iterable[_jobs.JobState],
        held_job_ids: typing.Collection[str],
        now_s: float,
    ) -> list[tuple[_jobs.JobState, _records.Outcome]]:
        """Return the jobs that end now, with their outcomes.

        :param held_job_ids: jobs that are held back
        """
        expired = []
        for job in jobs:
            reason = self._reason(job, now_s)
            if not reason:
                continue
            # A job that is still held back may have runs that are unknown.
            kind = (
                _records.OutcomeKind.UNKNOWN
                if job.may_have_run() or job.job.id in held_job_ids
                else _records.OutcomeKind.NOT_RUN
            )
            outcome = _records.Outcome(kind, reason, self.retry_after_s())
            expired.append((job, outcome))
        return expired

    def _reason(self, job: _jobs.JobState, now_s: float) -> str:
        """Return why a job ends now, or an empty string."""
        if now_s >= job.deadline_s:
            if self.crashes.is_blocked(job.job.id):
                return f'deadline, {self.crashes.reason(job.job.id)}'
            return 'deadline'
        if job.n_sent or not self._is_too_late(job, now_s):
            return ''
        # It is answered as soon as the crashes are proven.
        return '' if self.crashes.is_blocked(job.job.id) else 'no room in time'

    def _is_too_late(self, job: _jobs.JobState, now_s: float) -> bool:
        """Return whether a start now is of no use to the caller.

        A job that another dispatcher may have started was held back in the
        meantime. It is tried late, but does not wait for room that long.
        """
        if job.may_have_run_elsewhere and (
            now_s < max(job.held_until_s, job.accepted_s) + _LATE_TRIAL_S
        ):
            return False
        return now_s > (
            job.useful_until_s
            - job.expected_s * self.placement.lowest_run_time_ratio(job)
        )

    def retry_after_s(self) -> float:
        """Return a random Retry-After, in seconds."""
        return self.random_state.uniform(*_RETRY_AFTER_S)
