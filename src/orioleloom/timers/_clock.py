import time

import trio


class SuspendAwareClock(trio.abc.Clock):
    """Clock for :func:`trio.run` that counts the time in a suspension.

    The monotonic clock stands still while the machine is suspended. Leases
    and the contact with other instances end nevertheless, so that a process
    must notice the time that has passed before it acts on them.
    """

    def start_clock(self) -> None:
        """Do nothing; the clock of the system is always running."""

    def current_time(self) -> float:
        """Return the seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self.current_time()
