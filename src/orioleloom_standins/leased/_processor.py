import typing

import trio

from orioleloom import node


class Costs(typing.NamedTuple):
    """Processor time of an instance's events, in seconds.

    :param receive_s: processing a message from another instance
    :param send_s: sending a message to another instance
    :param request_s: sending a request to a worker
    :param answer_s: processing a worker's answer
    """

    receive_s: float
    send_s: float
    request_s: float
    answer_s: float

    def scale(self, factor: float) -> 'Costs':
        """Return the costs on a machine that is slower by a factor."""
        return Costs(*(factor * cost_s for cost_s in self))


class Processor:
    """Processor of a simulated instance, which works in turns.

    All events that are ready at the beginning of a turn are processed in it,
    as by an event loop. What becomes ready meanwhile waits for the next turn.

    :param monitor: told of each turn
    """

    def __init__(self, costs: Costs, monitor: node.LoopMonitor) -> None:
        self.costs = costs
        self.monitor = monitor
        self._turn_ends_s = 0.0
        # Processor time of the next turn, as far as it is known.
        self._next_turn_s = 0.0

    def charge(self, cost_s: float) -> None:
        """Add processor time without waiting for the end of its turn."""
        now_s = trio.current_time()
        self._begin_next_turn_if_due(now_s)
        if now_s < self._turn_ends_s:
            self._next_turn_s += cost_s
        else:
            self._begin_turn(now_s, cost_s)

    async def process(self, cost_s: float) -> None:
        """Wait until an event that is ready now has been processed."""
        self.charge(cost_s)
        if self._next_turn_s:
            await trio.sleep_until(self._turn_ends_s)
            self._begin_next_turn_if_due(trio.current_time())
        await trio.sleep_until(self._turn_ends_s)

    def _begin_next_turn_if_due(self, now_s: float) -> None:
        while self._next_turn_s and now_s >= self._turn_ends_s:
            cost_s, self._next_turn_s = self._next_turn_s, 0.0
            self._begin_turn(self._turn_ends_s, cost_s)

    def _begin_turn(self, now_s: float, duration_s: float) -> None:
        idle_s = now_s - self._turn_ends_s
        self._turn_ends_s = now_s + duration_s
        self.monitor.record_turn(duration_s, idle_s, self._turn_ends_s)
