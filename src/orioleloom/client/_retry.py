import random


class Backoff:
    """Exponential backoff with jitter.

    A delay is drawn between half of its upper bound and the bound.

    :param initial_ms: upper bound of the first delay, in milliseconds
    :param max_ms: upper bound of all delays, in milliseconds
    :param factor: factor by which the upper bound grows per failure
    :param random_state: source of the jitter

    >>> import random
    >>> backoff = Backoff(initial_ms=100, random_state=random.Random(0))
    >>> 50 <= backoff.delay_ms(1) <= 100
    True
    """

    def __init__(
        self,
        *,
        initial_ms: float = 50.0,
        max_ms: float = 5_000.0,
        factor: float = 2.0,
        random_state: random.Random,
    ):
        self.initial_ms = initial_ms
        self.max_ms = max_ms
        self.factor = factor
        self.random_state = random_state

    def delay_ms(
        self, n_failures: int, retry_after_ms: float | None = None
    ) -> float:
        """Return the delay before the next attempt.

        :param n_failures: failures so far, at least 1
        :param retry_after_ms: delay requested by the instance, a lower
            bound of the result
        :returns: milliseconds
        """
        # The limit keeps the power from overflowing a float.
        exponent = min(n_failures - 1, 60)
        high_ms = min(self.max_ms, self.initial_ms * self.factor**exponent)
        delay_ms = self.random_state.uniform(high_ms / 2, high_ms)
        if retry_after_ms is None:
            return delay_ms
        # The jitter keeps callers that were refused at the same time from
        # retrying at the same time.
        return max(
            delay_ms, retry_after_ms * self.random_state.uniform(1.0, 1.5)
        )


class RetryBudget:
    """Limits retries to a share of the requests.

    :param share: retries added to the budget by each request
    :param reserve: initial budget, which is also its maximum

    >>> budget = RetryBudget(share=0.5, reserve=1)
    >>> budget.try_retry(), budget.try_retry()
    (True, False)
    """

    def __init__(self, *, share: float = 0.2, reserve: float = 20.0):
        self.share = share
        self.reserve = reserve
        self._available = reserve

    def request(self) -> None:
        """Count a request that is not a retry."""
        self._available = min(self.reserve, self._available + self.share)

    def try_retry(self) -> bool:
        """Take one retry from the budget if it has one.

        :returns: whether the retry is allowed
        """
        # The tolerance absorbs rounding errors: ten additions of 0.1 must
        # allow one retry.
        if self._available < 1.0 - 1e-9:
            return False
        self._available -= 1.0
        return True
