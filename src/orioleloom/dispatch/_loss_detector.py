import collections

# How long a worker with runs may hold a poll. A lease of 1 s, which each poll
# renews, then survives several lost responses.
_NORMAL_POLL_WAIT_S = 0.2
# The same while many requests stay unanswered. Each worker with runs then has
# two polls open at a time, since a lost response hides the ends of runs until
# the next one.
_LOSS_POLL_WAIT_S = 0.1
# How long an unanswered request counts.
_LOSS_WINDOW_S = 1.0
# The loss is high from this many unanswered requests within the window, and
# from this share of the starts. The share is needed because with 176 workers
# and 1,500 starts per second three unanswered requests happen by chance, and
# a second poll for every worker is expensive.
_MIN_UNANSWERED = 3
_MIN_UNANSWERED_SHARE = 0.01
# Weight of the newest value in the rate of starts.
_RATE_WEIGHT = 0.2


class LossDetector:
    """Detects that many requests to workers stay unanswered."""

    def __init__(self) -> None:
        self._unanswered_s: collections.deque[float] = collections.deque()
        self._starts_per_s = 0.0
        self._n_starts = 0

    def record_unanswered(self, now_s: float) -> bool:
        """Record a request without a response.

        :returns: whether the loss has become high with this request
        """
        was_high = self.is_loss_high(now_s)
        self._unanswered_s.append(now_s)
        return self.is_loss_high(now_s) and not was_high

    def update_start_rate(self, n_starts: int, interval_s: float) -> None:
        """Update the rate of starts.

        :param n_starts: number of starts so far
        :param interval_s: time since the last call
        """
        newest_per_s = (n_starts - self._n_starts) / interval_s
        self._n_starts = n_starts
        self._starts_per_s += _RATE_WEIGHT * (
            newest_per_s - self._starts_per_s
        )

    def is_loss_high(self, now_s: float) -> bool:
        """Return whether many requests stayed unanswered recently."""
        unanswered_s = self._unanswered_s
        while unanswered_s and now_s - unanswered_s[0] > _LOSS_WINDOW_S:
            unanswered_s.popleft()
        return len(unanswered_s) >= max(
            _MIN_UNANSWERED,
            _MIN_UNANSWERED_SHARE * self._starts_per_s * _LOSS_WINDOW_S,
        )

    def max_poll_wait_s(self, now_s: float) -> float:
        """Return how long a worker may hold a poll until a run ends."""
        if self.is_loss_high(now_s):
            return _LOSS_POLL_WAIT_S
        return _NORMAL_POLL_WAIT_S
