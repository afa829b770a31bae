"""State of one worker as seen by one entry instance."""

import math

from orioleloom import model

# Least weight of a new sample in the moving averages.
_MIN_SAMPLE_WEIGHT = 0.06
_USED_BY_OTHERS_WEIGHT = 0.15
_INITIAL_RELAXATION_S = 0.25
# Time constant with which a worker without new reports is assumed to
# become idle. With 1 s, 50 % more messages were wasted at 90 % load.
_MEAN_DECAY_S = 3.0
# Variance of a report on arrival, due to its transmission time.
_REPORT_VARIANCE = 0.01
# Width of a speed class in units of the log factor, a quarter octave.
CLASS_WIDTH = math.log(2.0) / 4.0


class Worker:
    """Slots, speed and last report of a worker.

    ``outstanding`` is the number of tasks of this instance in progress on
    the worker, and ``n_home_slots`` the number of slots assigned to this
    instance. ``log_factor`` is the natural logarithm of the worker's run
    times relative to those of a reference worker, whose log factor is 0.
    ``used_by_others`` is the number of slots that other instances occupied
    at the last report. This estimate relaxes to the mean of the reports
    with time constant ``relaxation_s``.
    """

    def __init__(self, worker_id: str, upstream: str) -> None:
        self.id = worker_id
        self.upstream = upstream
        self.rack = ''
        self.slots = 0
        self.n_home_slots = 0
        self.live = False
        # Last row of the member list, and whether the worker itself has
        # announced that it is leaving.
        self.listed_member: model.Member | None = None
        self.announced_leaving = False
        self.usable = False
        self.outstanding = 0
        self.log_factor = 0.0
        self.n_results = 0
        self.reported_at_s = -math.inf
        self.used_by_others = 0.0
        self.used_by_others_mean = 0.0
        self.used_by_others_variance = 1.0
        self.relaxation_s = _INITIAL_RELAXATION_S
        self.rejected_at_s = -math.inf
        # Tasks sent in the current exchange and how many were rejected.
        self.batch_at_s = -math.inf
        self.n_in_batch = 0
        self.n_batch_rejected = 0
        # State of the index of open workers: list position (-1 if not open),
        # speed classes, counted tasks and next wake-up.
        self.index_position = -1
        self.indexed_class = 0
        self.counted_outstanding = 0
        self.counted_class = 0
        self.wake_at_s = math.inf

    def update_member(self, member: model.Member) -> None:
        """Apply the worker's row of the platform's member list.

        A row with state "live" may be older than the worker's own
        announcement that it is leaving. The announcement remains in force
        until the list has shown another state or a new address, which
        means that the worker has restarted.
        """
        previous, self.listed_member = self.listed_member, member
        if previous is not None and (
            previous.state is not model.MemberState.LIVE
            or previous.http != member.http
        ):
            self.announced_leaving = False
        self.slots = member.slots
        self.live = (
            member.state is model.MemberState.LIVE
            and not self.announced_leaving
        )

    def update_log_factor(self, sample: float) -> None:
        """Update the moving average of the log factor with a sample."""
        self.n_results += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1.0 / self.n_results)
        self.log_factor += weight * (sample - self.log_factor)

    def count_start(self, now_s: float) -> None:
        """Count a started task.

        Tasks started at the same time are sent in one exchange.
        """
        self.outstanding += 1
        if self.batch_at_s != now_s:
            self.batch_at_s = now_s
            self.n_in_batch = 0
            self.n_batch_rejected = 0
        self.n_in_batch += 1

    def count_rejection(self) -> bool:
        """Count a rejected task.

        :returns: whether all tasks of the exchange are now rejected
        """
        self.n_batch_rejected += 1
        return self.n_batch_rejected == self.n_in_batch

    def update_relaxation(self, elapsed_ms: float) -> None:
        """Update the relaxation time from the duration of a task."""
        self.relaxation_s += _MIN_SAMPLE_WEIGHT * (
            elapsed_ms / 1000.0 - self.relaxation_s
        )
        self.relaxation_s = max(self.relaxation_s, 0.001)

    def speed_class(self) -> int:
        """Return the speed class; smaller is faster."""
        return round(self.log_factor / CLASS_WIDTH)

    def apply_report(self, free_slots: int, now_s: float) -> None:
        """Update the estimates from the free slots in a result line."""
        used_by_others = max(0.0, self.slots - self.outstanding - free_slots)
        self.used_by_others = used_by_others
        deviation = used_by_others - self.used_by_others_mean
        self.used_by_others_mean += _USED_BY_OTHERS_WEIGHT * deviation
        self.used_by_others_variance += _USED_BY_OTHERS_WEIGHT * (
            (1.0 - _USED_BY_OTHERS_WEIGHT) * deviation * deviation
            - self.used_by_others_variance
        )
        self.reported_at_s = now_s

    def expected_free_slots(self, now_s: float) -> float:
        """Return the expected number of free slots."""
        age_s = now_s - self.reported_at_s
        decay = math.exp(-age_s / self.relaxation_s)
        mean_decay = math.exp(-age_s / _MEAN_DECAY_S)
        decayed_mean = self.used_by_others_mean * mean_decay
        used_by_others = (
            decayed_mean + (self.used_by_others - decayed_mean) * decay
        )
        return self.slots - self.outstanding - used_by_others

    def free_slot_probability(self, now_s: float) -> float:
        """Return the probability that a slot is free.

        It is 0.5 for a worker that has not reported yet.
        """
        if self.reported_at_s == -math.inf:
            return 0.5
        return 0.5 * math.erfc(-self.free_slot_z_score(now_s) / math.sqrt(2.0))

    def free_slot_z_score(
        self, now_s: float, n_reserved_slots: float = 0.0
    ) -> float:
        """Return the z-score of the estimate that a slot is free.

        The number of slots used by others relaxes from the last report to
        the mean and variance of the worker's reports.

        :param n_reserved_slots: additional slots that must stay free
        """
        age_s = now_s - self.reported_at_s
        decay = math.exp(-age_s / self.relaxation_s)
        mean_decay = math.exp(-age_s / _MEAN_DECAY_S)
        decayed_mean = self.used_by_others_mean * mean_decay
        used_by_others = (
            decayed_mean + (self.used_by_others - decayed_mean) * decay
        )
        variance = (
            _REPORT_VARIANCE
            + self.used_by_others_variance * mean_decay * (1.0 - decay * decay)
        )
        margin = (
            self.slots
            - self.outstanding
            - used_by_others
            - 0.5
            - n_reserved_slots
        )
        return margin / math.sqrt(variance)
