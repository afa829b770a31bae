import heapq
import itertools
import typing


class Clock:
    """Virtual clock with a queue of scheduled calls.

    Calls due at the same time run in the order in which they were scheduled.

    >>> clock = Clock()
    >>> clock.at(2.0, lambda: print(clock.now_s))
    >>> clock.run_for(5.0)
    2.0
    """

    def __init__(self):
        self.now_s = 0.0
        self._heap: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._sequence = itertools.count()

    def at(self, delay_s: float, call: typing.Callable[[], None]) -> None:
        """Schedule a call after a delay in virtual time."""
        heapq.heappush(
            self._heap, (self.now_s + delay_s, next(self._sequence), call)
        )

    def run_for(self, duration_s: float) -> None:
        """Advance the clock and run every call that becomes due."""
        end_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, call = heapq.heappop(self._heap)
            call()
        self.now_s = end_s
