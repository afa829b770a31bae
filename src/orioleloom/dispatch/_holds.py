"""Jobs that wait because an earlier dispatcher may still run their tasks."""

import math
import typing

from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _worker_lists
from orioleloom.dispatch import _workers

# How long a handed over job is held back, counted from the instance's last
# contact with the earlier dispatcher, if not every worker has reported since
# the handover. By then the earlier dispatcher has dropped the jobs of the
# instance (after 0.6 s) and their leases have expired (1.07 s).
_HANDOVER_HOLD_S = 1.8
# The same for jobs that nobody hands over, which callers may have submitted
# before, to an instance that has failed. The last contact with the earlier
# dispatcher is up to 0.1 s before its end, and its leases last 1.07 s. Its
# stops do not reach every worker, so that a run can last as long.
MAX_START_HOLD_S = 1.2
# Interval between polls of workers that have not reported since a handover. In
# large fleets it is longer, so that a leader that is late and loses followers
# again and again is not made later by these polls.
_MIN_CONFIRM_POLL_INTERVAL_S = 0.05
_MAX_CONFIRM_POLLS_PER_S = 1000.0


class JobHolds:
    """Holds jobs back until no run of an earlier dispatcher can remain.

    A worker that has reported since a handover rejects requests of the
    earlier dispatcher, and its report shows the runs which that one has
    started. A job is released once all workers that may have runs of it have
    reported, or once their leases have ended.

    :param workers: known workers by id
    :param jobs: jobs that have not ended, by id
    :param is_fleet_wide: whether the workers of all data centres are known
    :param earlier_contact_s: last contact with an earlier dispatcher, or
        when the search for one began
    :param earlier_list: workers that it used, if there was one
    :param running_job_ids: the jobs that may have runs, if it has named them
        all when it handed over
    :param created_s: when this dispatcher was created
    :param log: records a decision
    :param poll_once: requests one report of a worker
    """

    def __init__(
        self,
        *,
        workers: typing.Mapping[str, _workers.Worker],
        jobs: typing.Mapping[str, _jobs.JobState],
        is_fleet_wide: bool,
        earlier_contact_s: float,
        earlier_list: _worker_lists.ListInUse | None,
        running_job_ids: typing.Collection[str] | None,
        created_s: float,
        log: typing.Callable[..., None],
        poll_once: typing.Callable[[str], None],
        count: typing.Callable[[str], None],
    ):
        self.workers = workers
        self.jobs = jobs
        self.is_fleet_wide = is_fleet_wide
        self.created_s = created_s
        self.log = log
        self.poll_once = poll_once
        self.count = count
        self.list_state = _worker_lists.WorkerListState()
        # Workers that have left the list up to this version may have been
        # forgotten.
        self.forgotten_version = 0
        # A worker has reported since the held jobs were last checked.
        self.must_check = False
        self.have_earlier_leases_ended = False
        # No caller of the data centre comes back with a job that has runs in
        # another one, see :class:`node.HolderPresence`.
        self.are_holders_present = False
        # Jobs that are new here are held back, too, at first: their callers
        # may have submitted them before, at an instance that has failed.
        self.start_held_until_s = earlier_contact_s + MAX_START_HOLD_S
        # All workers that the earlier dispatcher may still use have reported,
        # except those with runs of jobs that it has named.
        self.has_confirmed_start = running_job_ids is not None
        self.earlier_list = (
            earlier_list or _worker_lists.LISTED_WORKERS
        ).add_uncertain_jobs(running_job_ids or ())
        self.held_job_ids: set[str] = set()
        self._last_confirm_poll_s = -math.inf

    def is_held(self, job_id: str) -> bool:
        """Return whether a job is held back."""
        return job_id in self.held_job_ids

    def must_hold_new(self, job_id: str, now_s: float) -> bool:
        """Return whether a new job may run for an earlier dispatcher."""
        return now_s < self.start_held_until_s and (
            not self.has_confirmed_start
            or job_id in self.earlier_list.uncertain_job_ids
        )

    def hold_new(self, job: _jobs.JobState) -> None:
        """Hold back a new job that may run for an earlier dispatcher."""
        job.hold(self.created_s, self.start_held_until_s, self.earlier_list)
        self.held_job_ids.add(job.job.id)

    def hold_handed_over(
        self,
        job: _jobs.JobState,
        last_contact_s: float,
        list_in_use: _worker_lists.ListInUse,
        now_s: float,
    ) -> None:
        """Hold a job back that another dispatcher may have started."""
        if job.job.id in self.held_job_ids:
            list_in_use = list_in_use.merge(job.earlier_list)
        job.may_have_run_elsewhere = True
        # The dispatcher that an earlier hold waits for may lease for longer.
        until_s = max(job.held_until_s, last_contact_s + _HANDOVER_HOLD_S)
        job.hold(now_s, until_s, list_in_use)
        self.held_job_ids.add(job.job.id)

    def release(self, now_s: float) -> None:
        """Release the jobs that no longer have to wait."""
        self.must_check = False
        for job_id in list(self.held_job_ids):
            job = self.jobs.get(job_id)
            if job is None:
                self.held_job_ids.discard(job_id)
            elif now_s >= job.held_until_s:
                self.held_job_ids.discard(job_id)
                self._log_release(job, 'leases ended', now_s)
        held = [
            self.jobs[job_id]
            for job_id in self.held_job_ids
            if self.is_fleet_wide or self._runs_only_here(self.jobs[job_id])
        ]
        if not held:
            return
        newest_s = max(job.held_since_s for job in held)
        unconfirmed = [
            worker
            for worker in self.workers.values()
            if worker.confirmed_s < newest_s
        ]
        for job in held:
            if self._knows_workers_of(job.earlier_list) and not any(
                worker.confirmed_s < job.held_since_s
                and self._may_run(worker, job)
                for worker in unconfirmed
            ):
                if not job.may_have_run_elsewhere:
                    self.has_confirmed_start = True
                job.held_until_s = 0.0
                self.held_job_ids.discard(job.job.id)
                self._log_release(job, 'confirmed', now_s)
        self._poll_unconfirmed_workers(unconfirmed, held, now_s)

    def _runs_only_here(self, job: _jobs.JobState) -> bool:
        """Return whether a job can have runs on the known workers only.

        The leader of a data centre does not know the workers of others.
        """
        return self.are_holders_present and not job.may_have_run_elsewhere

    def _knows_workers_of(self, used: _worker_lists.ListInUse) -> bool:
        """Return whether all workers that a dispatcher used are known here."""
        return (
            self.forgotten_version <= used.confirmed_version
            and self.list_state.has_known(used)
            and used.unlisted_worker_ids <= self.workers.keys()
        )

    @staticmethod
    def _may_run(worker: _workers.Worker, job: _jobs.JobState) -> bool:
        """Return whether a worker may run a task for an earlier dispatcher."""
        used = job.earlier_list
        if worker.is_listed:
            return (
                worker.id not in used.unused_worker_ids
                or job.job.id in used.uncertain_job_ids
            )
        return (
            worker.delisted_version > used.confirmed_version
            or worker.id in used.unlisted_worker_ids
        )

    def _log_release(
        self, job: _jobs.JobState, reason: str, now_s: float
    ) -> None:
        self.count(f'holds_{reason.replace(" ", "_")}')
        if not job.may_have_run_elsewhere:
            return
        self.log(
            'handover_ended',
            job=job.job.id,
            reason=reason,
            held_ms=round((now_s - job.held_since_s) * 1000),
            list_version=self.list_state.version,
            earlier_list_version=job.earlier_list.changed_version,
        )

    def _poll_unconfirmed_workers(
        self,
        unconfirmed: list[_workers.Worker],
        held: list[_jobs.JobState],
        now_s: float,
    ) -> None:
        """Poll the workers on whose reports held jobs wait."""
        interval_s = max(
            _MIN_CONFIRM_POLL_INTERVAL_S,
            len(self.workers) / _MAX_CONFIRM_POLLS_PER_S,
        )
        if now_s - self._last_confirm_poll_s > interval_s:
            self._last_confirm_poll_s = now_s
            for worker in unconfirmed:
                if any(self._may_run(worker, job) for job in held):
                    self.poll_once(worker.id)
