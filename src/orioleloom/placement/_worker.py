"""What one instance knows of one worker."""

import math

from orioleloom import model

_MIN_WEIGHT = 0.06
_OTHERS_WEIGHT = 0.15
_INITIAL_RELAX_S = 0.25
# Factors are grouped into classes a quarter octave wide.
_CLASS_WIDTH = math.log(2.0) / 4.0


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
        self.outstanding = 0
        self.log_factor = 0.0
        self.n_results = 0
        self.reported_at_s = -math.inf
        self.others = 0.0
        self.others_mean = 0.0
        self.relax_s = _INITIAL_RELAX_S
        self.n_rejected_in_row = 0
        self.probe_at_s = -math.inf
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

    def speed_class(self) -> int:
        """Return the class of the factor; smaller is faster."""
        return round(self.log_factor / _CLASS_WIDTH)

    def report(self, free_slots: int, now_s: float) -> None:
        """Take over the free slots that a result line reports."""
        others = max(0.0, self.slots - self.outstanding - free_slots)
        self.others = others
        self.others_mean += _OTHERS_WEIGHT * (others - self.others_mean)
        self.reported_at_s = now_s

    def expected_free(self, now_s: float) -> float:
        """Return the expected number of free slots.

        The last report decays towards the mean that this instance saw.
        """
        decay = math.exp(-max(0.0, now_s - self.reported_at_s) / self.relax_s)
        others = self.others_mean + (self.others - self.others_mean) * decay
        return self.slots - self.outstanding - others

    def free_again_at_s(self, wanted: float) -> float:
        """Return when ``expected_free`` reaches a value, or infinity."""
        limit = self.slots - self.outstanding - wanted - self.others_mean
        excess = self.others - self.others_mean
        if limit <= 0.0 or excess <= 0.0:
            return math.inf
        return self.reported_at_s + self.relax_s * max(
            0.0, math.log(excess / limit)
        )
