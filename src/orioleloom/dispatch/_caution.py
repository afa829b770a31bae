import collections

# A worker that has runs is asked this often at least; a lease of 1 s then
# survives several lost answers.
_REPORT_WAIT_S = 0.2
# While orders stay unanswered, each worker is asked twice at a time, since
# a lost answer hides the ends of its runs until the next one.
_CAUTIOUS_WAIT_S = 0.1
# An unanswered order counts for this long.
_WINDOW_S = 1.0
# Unanswered orders within that time that call for caution, and the least
# share of the starts. With 176 workers and 1,500 starts a second three are
# chance, and asking every worker twice at a time is dear.
_MIN_ORDERS = 3
_MIN_SHARE = 0.01
# Weight of the newest value in the rate of starts.
_RATE_WEIGHT = 0.2


class Caution:
    """Whether so many orders stay unanswered that workers need watching."""

    def __init__(self) -> None:
        self._unanswered_s: collections.deque[float] = collections.deque()
        self._starts_per_s = 0.0
        self._n_starts = 0

    def order_unanswered(self, now_s: float) -> bool:
        """Take note of an order without an answer.

        :returns: whether it calls for caution that was not called for
        """
        was_called_for = self.is_called_for(now_s)
        self._unanswered_s.append(now_s)
        return self.is_called_for(now_s) and not was_called_for

    def rate(self, n_starts: int, interval_s: float) -> None:
        """Take over the number of starts so far.

        :param interval_s: time since the last call
        """
        per_s = (n_starts - self._n_starts) / interval_s
        self._n_starts = n_starts
        self._starts_per_s += _RATE_WEIGHT * (per_s - self._starts_per_s)

    def is_called_for(self, now_s: float) -> bool:
        """Return whether each worker has to be asked twice at a time."""
        unanswered_s = self._unanswered_s
        while unanswered_s and now_s - unanswered_s[0] > _WINDOW_S:
            unanswered_s.popleft()
        return len(unanswered_s) >= max(
            _MIN_ORDERS, _MIN_SHARE * self._starts_per_s * _WINDOW_S
        )

    def report_wait_s(self, now_s: float) -> float:
        """Return how long a worker may wait for the end of a run."""
        if self.is_called_for(now_s):
            return _CAUTIOUS_WAIT_S
        return _REPORT_WAIT_S
