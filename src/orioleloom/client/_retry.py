import random


class Backoff:
    """Exponential backoff with full jitter.

    :param initial_ms: upper end of the first delay, in milliseconds
    :param max_ms: upper end that the delays do not exceed
    :param factor: growth of the upper end with each failure
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
        :param retry_after_ms: delay that the instance asked for; the
            result is never below it
        :returns: milliseconds
        """
        # The exponent is bounded so that the power stays a finite float.
        exponent = min(n_failures - 1, 60)
        high_ms = min(self.max_ms, self.initial_ms * self.factor**exponent)
        delay_ms = self.random_state.uniform(high_ms / 2, high_ms)
        if retry_after_ms is None:
            return delay_ms
        # Callers that were refused together must not come back together.
        return max(
            delay_ms, retry_after_ms * self.random_state.uniform(1.0, 1.5)
        )


class RetryBudget:
    """Bounds retries to a share of the requests.

    :param share: retries allowed per request
    :param reserve: retries allowed at the start and saved at most

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
        """Take one retry from the budget.

        :returns: whether the retry is allowed
        """
        # A tolerance keeps ten additions of 0.1 equal to one retry.
        if self._available < 1.0 - 1e-9:
            return False
        self._available -= 1.0
        return True
