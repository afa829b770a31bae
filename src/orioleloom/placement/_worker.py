"""What one instance knows of one worker."""

import math

from orioleloom import model

_MIN_WEIGHT = 0.06
_OTHERS_WEIGHT = 0.15
_INITIAL_RELAX_S = 0.25
# Without news for about this long a worker is taken for idle. With 1 s
# half as many messages again were wasted at 90 % load.
_FORGET_S = 3.0
# Error of a report that is as old as its way to the instance.
_REPORT_VARIANCE = 0.01
# Factors are grouped into classes a quarter octave wide.
CLASS_WIDTH = math.log(2.0) / 4.0


class Worker:
    """Slots, speed and last report of a worker.

    ``log_factor`` is the logarithm of its run time relative to a worker
    of factor 0. ``others`` counts slots that other instances occupy.
    """

    def __init__(self, worker_id: str, upstream: str) -> None:
        self.id = worker_id
        self.upstream = upstream
        self.rack = ''
        self.slots = 0
        self.home = 0
        self.live = False
        # What the list said last, and what the worker said itself.
        self.listed: model.Member | None = None
        self.said_leaving = False
        self.usable = False
        self.outstanding = 0
        self.log_factor = 0.0
        self.n_results = 0
        self.reported_at_s = -math.inf
        self.others = 0.0
        self.others_mean = 0.0
        self.others_variance = 1.0
        self.relax_s = _INITIAL_RELAX_S
        self.rejected_at_s = -math.inf
        # Tasks sent together, and how many of them were rejected.
        self.batch_at_s = -math.inf
        self.n_in_batch = 0
        self.n_batch_rejected = 0
        # Bookkeeping of the index: position, speed class and wake-up.
        self.position = -1
        self.indexed_class = 0
        self.counted_outstanding = 0
        self.counted_class = 0
        self.wake_at_s = math.inf

    def set_listed(self, member: model.Member) -> None:
        """Take the worker's row of the platform's list.

        A row that says "live" may be older than what the worker said of
        itself. It counts again once the list has shown another state, or
        the address of a restarted worker.
        """
        known, self.listed = self.listed, member
        if known is not None and (
            known.state is not model.MemberState.LIVE
            or known.http != member.http
        ):
            self.said_leaving = False
        self.slots = member.slots
        self.live = (
            member.state is model.MemberState.LIVE and not self.said_leaving
        )

    def learn_factor(self, sample: float) -> None:
        """Move the factor towards a sample."""
        self.n_results += 1
        weight = max(_MIN_WEIGHT, 1.0 / self.n_results)
        self.log_factor += weight * (sample - self.log_factor)

    def start(self, now_s: float) -> None:
        """Count a task; tasks started at one time travel together."""
        self.outstanding += 1
        if self.batch_at_s != now_s:
            self.batch_at_s = now_s
            self.n_in_batch = 0
            self.n_batch_rejected = 0
        self.n_in_batch += 1

    def reject(self) -> bool:
        """Count a rejected task.

        :returns: whether its whole batch is rejected now
        """
        self.n_batch_rejected += 1
        return self.n_batch_rejected == self.n_in_batch

    def learn_relaxation(self, elapsed_ms: float) -> None:
        """Learn how long a report holds from how long tasks stay."""
        self.relax_s += _MIN_WEIGHT * (elapsed_ms / 1000.0 - self.relax_s)
        self.relax_s = max(self.relax_s, 0.001)

    def speed_class(self) -> int:
        """Return the class of the factor; smaller is faster."""
        return round(self.log_factor / CLASS_WIDTH)

    def report(self, free_slots: int, now_s: float) -> None:
        """Take over the free slots that a result line reports."""
        others = max(0.0, self.slots - self.outstanding - free_slots)
        self.others = others
        off = others - self.others_mean
        self.others_mean += _OTHERS_WEIGHT * off
        self.others_variance += _OTHERS_WEIGHT * (
            (1.0 - _OTHERS_WEIGHT) * off * off - self.others_variance
        )
        self.reported_at_s = now_s

    def mean_spare(self, now_s: float) -> float:
        """Return the expected number of free slots."""
        age_s = now_s - self.reported_at_s
        decay = math.exp(-age_s / self.relax_s)
        known = math.exp(-age_s / _FORGET_S)
        mean = self.others_mean * known
        others = mean + (self.others - mean) * decay
        return self.slots - self.outstanding - others

    def free_probability(self, now_s: float) -> float:
        """Return the probability that a slot is free."""
        if self.reported_at_s == -math.inf:
            return 0.5
        return 0.5 * math.erfc(-self.free_score(now_s) / math.sqrt(2.0))

    def free_score(self, now_s: float, kept: float = 0.0) -> float:
        """Return the certainty that a slot is free, in deviations.

        The last report decays towards the mean and the variance that
        this instance saw in the worker's reports.

        :param kept: slots that must stay free besides
        """
        age_s = now_s - self.reported_at_s
        decay = math.exp(-age_s / self.relax_s)
        known = math.exp(-age_s / _FORGET_S)
        mean = self.others_mean * known
        others = mean + (self.others - mean) * decay
        variance = _REPORT_VARIANCE + self.others_variance * known * (
            1.0 - decay * decay
        )
        spare = self.slots - self.outstanding - others - 0.5 - kept
        return spare / math.sqrt(variance)
