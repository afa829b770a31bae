import time
import typing

import trio

# The longest recent turn is the longest one of the last one to two periods of
# this length.
_RECENT_PERIOD_S = 0.5


class LoopTotals(typing.NamedTuple):
    """Sums over the turns of an event loop since its start.

    :param busy_s: time in turns, in seconds
    :param squared_busy_s2: sum of the squared durations, in square seconds
    """

    n_turns: int = 0
    busy_s: float = 0.0
    squared_busy_s2: float = 0.0

    def mean_turn_s(self, earlier: 'LoopTotals') -> float:
        """Return the mean turn since earlier totals, weighted by duration.

        That is the turn which an event meets that arrives while the loop is
        busy.
        """
        busy_s = self.busy_s - earlier.busy_s
        if busy_s <= 0:
            return 0.0
        return (self.squared_busy_s2 - earlier.squared_busy_s2) / busy_s


class LoopMonitor(trio.abc.Instrument):
    """Measures the turns of trio's event loop.

    In a turn the loop runs every task that is ready. What arrives meanwhile
    waits for the next turn, so that long turns make the process late for
    everything. Pass it to :func:`trio.run` as an instrument.
    """

    def __init__(self) -> None:
        self.totals = LoopTotals()
        # Duration of the latest turn, and how long the loop was idle before.
        self.last_turn_s = 0.0
        self.last_idle_s = 0.0
        self._turn_began_s: float | None = None
        self._turn_ended_s = 0.0
        self._longest_s = 0.0
        self._period_began_s = 0.0
        self._period_longest_s = 0.0
        self._earlier_longest_s = 0.0

    def after_io_wait(self, timeout: float) -> None:
        """Record the beginning of a turn."""
        self._turn_began_s = time.monotonic()

    def before_io_wait(self, timeout: float) -> None:
        """Record the end of a turn."""
        now_s = time.monotonic()
        if self._turn_began_s is not None:
            idle_s = self._turn_began_s - self._turn_ended_s
            self._turn_ended_s = now_s
            self.record_turn(now_s - self._turn_began_s, idle_s, now_s)

    def record_turn(
        self, duration_s: float, idle_s: float, now_s: float
    ) -> None:
        """Record a turn that has ended.

        :param idle_s: how long the loop was idle before it
        :param now_s: any monotonic time in seconds, the same for all calls
        """
        self.last_turn_s = duration_s
        self.last_idle_s = idle_s
        n_turns, busy_s, squared_busy_s2 = self.totals
        self.totals = LoopTotals(
            n_turns + 1,
            busy_s + duration_s,
            squared_busy_s2 + duration_s * duration_s,
        )
        if now_s - self._period_began_s > _RECENT_PERIOD_S:
            is_next_period = (
                now_s - self._period_began_s <= 2 * _RECENT_PERIOD_S
            )
            self._earlier_longest_s = (
                self._period_longest_s if is_next_period else 0.0
            )
            self._period_longest_s = 0.0
            self._period_began_s = now_s
        self._period_longest_s = max(self._period_longest_s, duration_s)
        self._longest_s = max(self._longest_s, duration_s)

    def recent_longest_s(self) -> float:
        """Return the duration of the longest recent turn, in seconds."""
        return max(self._period_longest_s, self._earlier_longest_s)

    def take_longest_s(self) -> float:
        """Return the longest turn since the last call, in seconds."""
        longest_s, self._longest_s = self._longest_s, 0.0
        return longest_s
