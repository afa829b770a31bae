import math
import typing

from orioleloom.dispatch import _records
from orioleloom.dispatch import _worker_lists

# Minimum weight of a new result in a worker's run time ratio, which then
# follows about the last five results. Workers slow down within seconds.
_MIN_RESULT_WEIGHT = 0.2
# Deviations of single results are clipped to this (natural logarithm).
_MAX_LOG_STEP = 1.2
# A run that is slower than expected by more than this (natural logarithm; a
# factor of 2.5) may be of a long task.
_OUTLIER_STEP = 0.9

# Duration of the first suspension of a worker, and the maximum that repeated
# suspensions reach by doubling, in seconds.
_FIRST_SUSPENSION_S = 0.5
_MAX_SUSPENSION_S = 4.0
# Consecutive failed runs that suspend a worker.
_SUSPEND_AFTER_FAILURES = 2

# Consecutive missing responses after which a worker gets no new work. A
# single one is common, since workers carry out some requests late.
_UNRESPONSIVE_AFTER = 2

# A cold worker is fast enough if a run takes at most this multiple of the time
# that its earlier ones suggest. Declared run times have a spread of 0.4 (log),
# so that about three in four runs of a worker that is not slow pass.
_MAX_COLD_RATIO = 1.3

# Maximum relative amount by which a worker's clock is slower than ours.
_CLOCK_DRIFT = 0.02
# Interval at which the clocks of idle workers are read. Leases are shorter by
# the drift since then, at most by half.
_MAX_CLOCK_AGE_S = 25.0
# Allowance for the time between the computation of a lease and its arrival at
# the worker.
_LEASE_MARGIN_S = 0.05
# How long a command without an answer may still be carried out. The platform
# carries out such commands up to 12 s later.
MAX_DELAY_S = 13.0


def _max_lease_s(lease_s: float) -> float:
    """Return the longest time that a lease may last, on our clock."""
    return lease_s * (1 + _CLOCK_DRIFT) + _LEASE_MARGIN_S


class Run:
    """A run of a task that may occupy resources of a worker."""

    __slots__ = (
        'expected_s',
        'is_speed_corrected',
        'accepted_s',
        'beside_s',
        'is_accepted',
        'is_stopping',
        'key',
        'life',
        'n_stops',
        'queue',
        'room',
        'run_id',
        'started_s',
        'stop_confirmed_s',
        'worker',
    )

    def __init__(
        self,
        key: _records.TaskKey,
        run_id: int,
        worker: 'Worker',
        room: _records.Resources,
        queue: str,
        started_s: float,
        expected_s: float,
    ):
        self.key = key
        self.run_id = run_id
        self.worker = worker
        # Incarnation of the worker that the run was started on.
        self.life = worker.info.life
        self.room = room
        self.queue = queue
        self.started_s = started_s
        self.expected_s = expected_s
        self.is_accepted = False
        self.accepted_s = math.inf
        self.stop_confirmed_s = math.inf
        self.is_stopping = False
        self.n_stops = 0
        # How long ended runs of each queue were beside this one, if recorded.
        self.beside_s: dict[str, float] | None = None
        # The worker's run time ratio was already raised for this run.
        self.is_speed_corrected = False

    def mark_accepted(self, now_s: float) -> None:
        """Record that the worker has started the run."""
        if not self.is_accepted:
            self.is_accepted = True
            self.accepted_s = now_s


class Worker:
    """The dispatcher's view of one worker."""

    def __init__(self, info: _records.WorkerInfo):
        self.info = info
        self.free = info.capacity
        self.runs: dict[_records.TaskKey, Run] = {}
        # A report was received since the recorded state was last in doubt.
        self.is_known = False
        self.is_listed = True
        self.delisted_s = math.inf
        # The operator has asked to start nothing in its data centre.
        self.is_evacuated = False
        # The newest report shows runs that are not in ``runs``, so that the
        # resources which they take are unknown.
        self.has_unknown_runs = False
        # Incarnation in the worker's entry of the list. Its capacity may
        # differ from that of a later one.
        self.listed_life = info.life
        # Version of the list of workers that first lacked it.
        self.delisted_version = 0
        # Runs of other dispatchers that no job has taken over.
        self.n_foreign_runs = 0
        # All instances in contact know that the worker is in use.
        self.is_acknowledged = True
        # Latest announcement that did not say so.
        self.unused_announcement = 0
        # Whether each of the two polling loops is active.
        self.is_polled = [False, False]
        # Difference between the worker's clock and ours, in seconds.
        self.clock_offset_s = 0.0
        # Time on our clock by which all leases of the worker have expired.
        self.lease_until_s = 0.0
        # When the commands were sent that would renew the leases and have no
        # answer, the latest ones.
        self._unanswered_renewals_s: list[float] = []
        # When the present incarnation was noticed.
        self._incarnation_since_s = -math.inf
        # The worker's clock in its newest report, in milliseconds.
        self.newest_report_ms = 0
        self.acked_through = 0
        self.last_heard_s = -math.inf
        # When the worker first closed or refused a connection since it last
        # answered.
        self.closed_s = math.inf
        # When a run last succeeded.
        self.last_success_s = -math.inf
        self.last_overdue_poll_s = -math.inf
        # Request time of the newest report. Since then at the latest the
        # worker rejects requests with a lower token.
        self.confirmed_s = -math.inf
        # Natural logarithm of the run time relative to a worker of speed 1.
        self.log_run_time_ratio = 0.0
        # The worker's entry says that it is slow for some time. A run in that
        # time may show that it is not.
        self._is_in_cold_time = False
        self._has_fast_result = False
        # The ratio before unfinished runs raised it, until one succeeds.
        self._log_healthy_ratio: float | None = None
        # The latest result was much slower than expected.
        self._was_slow = False
        self.n_results = 0
        self.n_failures = 0
        self.n_missed_responses = 0
        self.suspended_until_s = 0.0
        self.n_suspensions = 0

    @property
    def id(self) -> str:
        """Return the worker's id."""
        return self.info.id

    def update_info(self, info: _records.WorkerInfo) -> None:
        """Apply the platform's entry of the worker."""
        if info.capacity != self.info.capacity:
            used = self.info.capacity.subtract(self.free)
            self.free = info.capacity.subtract(used)
        self.info = info

    def begin_incarnation(
        self, info: _records.WorkerInfo, now_s: float
    ) -> None:
        """Reset the state that ends with the previous incarnation."""
        self.update_info(info)
        self._incarnation_since_s = now_s
        self._is_in_cold_time = False
        self.is_known = False
        self.has_unknown_runs = False
        self.newest_report_ms = 0
        # It has forgotten the highest token of the previous one.
        self.confirmed_s = -math.inf
        self.acked_through = 0
        self.n_missed_responses = 0
        self.clear_failures()

    def add_run(self, run: Run) -> None:
        """Add a run and take its resources from the free ones."""
        self.runs[run.key] = run
        self.free = self.free.subtract(run.room)

    def remove_run(self, run: Run) -> None:
        """Remove a run and return its resources to the free ones."""
        if self.runs.get(run.key) is run:
            del self.runs[run.key]
            self.free = self.free.add(run.room)

    def record_lease(self, lease_s: float, now_s: float) -> None:
        """Record a lease that began now or earlier."""
        until_s = now_s + _max_lease_s(lease_s)
        self.lease_until_s = max(self.lease_until_s, until_s)

    def record_unanswered_renewal(self, sent_s: float, now_s: float) -> None:
        """Record a command without an answer that would renew the leases."""
        self._unanswered_renewals_s = [
            earlier_s
            for earlier_s in self._unanswered_renewals_s
            if now_s - earlier_s <= MAX_DELAY_S
        ]
        self._unanswered_renewals_s.append(sent_s)

    def have_leases_ended(self, lease_s: float, now_s: float) -> bool:
        """Return whether all leases have ended, also those renewed late.

        A command that an earlier incarnation left unanswered renews the
        leases if the present one carries it out, since the expiry that it
        names lies ahead on the new clock. It revives no lease that has
        ended. In its own incarnation it comes after that expiry.
        """
        end_s = self.lease_until_s
        if now_s <= end_s:
            return False
        for sent_s in sorted(self._unanswered_renewals_s):
            if sent_s < self._incarnation_since_s:
                latest_s = min(end_s, sent_s + MAX_DELAY_S)
                end_s = max(end_s, latest_s + _max_lease_s(lease_s))
        return now_s > end_s

    def renew_lease_ms(self, lease_s: float, now_s: float) -> int:
        """Renew the lease and return its expiry on the worker's clock."""
        self.record_lease(lease_s, now_s)
        # The worker's clock may have fallen back since it was last read. A
        # request that is carried out late would otherwise still get a lease.
        lag_s = _CLOCK_DRIFT * (now_s - self.last_heard_s)
        return int((now_s + lease_s - lag_s + self.clock_offset_s) * 1000)

    def update_clock(self, clock_ms: int, now_s: float) -> None:
        """Update the clock offset from a response of the worker."""
        self.clock_offset_s = clock_ms / 1000 - now_s
        self.last_heard_s = now_s
        self.closed_s = math.inf

    def is_clock_old(self, now_s: float) -> bool:
        """Return whether the clock was read too long ago for full leases."""
        return (
            self.is_listed
            and self.is_known
            and now_s - self.last_heard_s > _MAX_CLOCK_AGE_S
        )

    def record_closed(self, now_s: float) -> bool:
        """Record that the worker closed or refused a connection.

        One that was silent before has probably lost its power or its network.

        :returns: whether it is the first since the worker last answered
        """
        if self.n_missed_responses or self.closed_s < math.inf:
            return False
        self.closed_s = now_s
        return True

    def is_unresponsive(self) -> bool:
        """Return whether the worker seems to be unreachable."""
        return self.n_missed_responses >= _UNRESPONSIVE_AFTER

    def can_be_forgotten(self, now_s: float) -> bool:
        """Return whether the worker left the list long ago, without runs."""
        return (
            not self.is_listed
            and not self.runs
            and not self.n_foreign_runs
            and now_s - self.delisted_s > _worker_lists.DEPARTURE_RETENTION_S
        )

    def is_usable(self) -> bool:
        """Return whether the worker takes new work, now or later.

        Suspended workers are usable: the suspension ends by itself.
        """
        return (
            self.is_known
            and self.is_listed
            and self.is_acknowledged
            and not self.info.is_leaving
            and not self.is_evacuated
            and not self.is_unresponsive()
        )

    def can_start_now(self, now_s: float) -> bool:
        """Return whether the worker takes new work now."""
        if not self.is_usable() or self.n_foreign_runs:
            # A start would renew the leases of foreign runs.
            return False
        if self.n_suspensions and now_s >= self.suspended_until_s:
            # After a suspension, one run at a time until one succeeds.
            return not self.runs
        return now_s >= self.suspended_until_s

    def run_time_ratio(self) -> float:
        """Return the run time relative to a worker of speed 1."""
        return math.exp(self.log_run_time_ratio)

    def healthy_run_time_ratio(self) -> float:
        """Return the run time ratio without that of unfinished runs."""
        if self._log_healthy_ratio is None:
            return self.run_time_ratio()
        return math.exp(self._log_healthy_ratio)

    def observe_run_time(
        self, log_ratio: float, *, may_be_long: bool = False
    ) -> None:
        """Update the run time ratio with a finished run.

        :param log_ratio: logarithm of the ratio of its run time to the
            time expected on a worker of speed 1
        :param may_be_long: whether its task is as likely to be long as the
            worker to be slow. Such a result counts only if the next one is
            slow as well.
        """
        reference = self.log_run_time_ratio if self.n_results else 0.0
        if log_ratio <= reference + math.log(_MAX_COLD_RATIO):
            self._has_fast_result = True
        if self._log_healthy_ratio is not None:
            # Unfinished runs made the worker seem slow. If this one was not,
            # the tasks of the others were long.
            middle = (self._log_healthy_ratio + self.log_run_time_ratio) / 2
            if log_ratio < middle:
                self.log_run_time_ratio = self._log_healthy_ratio
            self._log_healthy_ratio = None
        step = log_ratio - self.log_run_time_ratio
        was_slow = self._was_slow
        self._was_slow = step > _OUTLIER_STEP
        if self._was_slow and may_be_long and not was_slow:
            return
        self.n_results += 1
        weight = max(_MIN_RESULT_WEIGHT, 1.0 / (self.n_results + 1))
        step = min(max(step, -_MAX_LOG_STEP), _MAX_LOG_STEP)
        self.log_run_time_ratio += weight * step

    def set_in_cold_time(self, is_in_cold_time: bool) -> None:
        """Set whether the worker is slow according to its entry."""
        if is_in_cold_time and not self._is_in_cold_time:
            self._has_fast_result = False
        self._is_in_cold_time = is_in_cold_time

    def is_cold(self) -> bool:
        """Return whether other workers should be tried first."""
        return self._is_in_cold_time and not self._has_fast_result

    def observe_straggler(self, log_ratio: float) -> None:
        """Raise the run time ratio to that of an unfinished run."""
        if self._log_healthy_ratio is None:
            self._log_healthy_ratio = self.log_run_time_ratio
        self.log_run_time_ratio = max(self.log_run_time_ratio, log_ratio)

    def clear_failures(self) -> None:
        """Reset failures and suspensions."""
        self.n_failures = 0
        self.n_suspensions = 0
        self.suspended_until_s = 0.0

    def record_failure(self, now_s: float) -> bool:
        """Record a failed run.

        :returns: whether it caused a suspension
        """
        self.n_failures += 1
        if (
            self.n_failures < _SUSPEND_AFTER_FAILURES
            and not self.n_suspensions
        ):
            return False
        self.suspend(now_s)
        return True

    def suspend(self, now_s: float) -> None:
        """Suspend the worker: no new work for a while, then a trial run."""
        duration_s = min(
            _FIRST_SUSPENSION_S * 2**self.n_suspensions, _MAX_SUSPENSION_S
        )
        self.n_suspensions += 1
        self.suspended_until_s = now_s + duration_s

    def state(self, now_s: float) -> dict[str, typing.Any]:
        """Return the worker's state for operators."""
        return {
            'address': self.info.address,
            'data_centre': self.info.data_centre,
            'upstream': self.info.upstream,
            'free': list(self.free),
            'n_runs': len(self.runs),
            'factor': round(self.run_time_ratio(), 3),
            'is_known': self.is_known,
            'is_listed': self.is_listed,
            'is_leaving': self.info.is_leaving,
            'is_evacuated': self.is_evacuated,
            'is_cold': self.is_cold(),
            'n_silences': self.n_missed_responses,
            'n_failures': self.n_failures,
            'closed_ago_s': round(now_s - self.closed_s, 3)
            if self.closed_s < math.inf
            else None,
            'suspended_for_s': round(
                max(0.0, self.suspended_until_s - now_s), 3
            ),
            'heard_ago_s': round(now_s - self.last_heard_s, 3)
            if self.is_known
            else None,
        }
