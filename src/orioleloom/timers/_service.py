"""Timer service that calls subscribed functions at intervals."""

import heapq
import itertools
import random
import traceback
import typing

import eliot
import trio

from orioleloom import validation

_CONSTRAINTS: dict[str, validation.Constraint] = {
    'interval_s': validation.Interval(
        number_type=float, low=0, high=86_400, low_open=True
    ),
    'jitter': validation.Interval(number_type=float, low=0, high=1),
}


class _Timer:
    """Subscription and the time of its next call."""

    __slots__ = ('callback', 'due_s', 'interval_s', 'jitter', 'name')

    def __init__(
        self,
        name: str,
        interval_s: float,
        callback: typing.Callable[[], None],
        jitter: float,
    ):
        self.name = name
        self.interval_s = interval_s
        self.callback = callback
        self.jitter = jitter
        self.due_s = 0.0


class TimerService:
    """Call subscribed callbacks at regular intervals from a single task.

    Callbacks are synchronous functions that must return quickly; one that
    has to wait starts a task of its own. Calls that were missed because
    the process did not run are skipped.

    :param random_state: random number generator for the jitter

    >>> service = TimerService(random_state=random.Random(1))
    >>> service.subscribe('poll', 2.0, print)
    >>> service.unsubscribe('poll')
    """

    def __init__(self, *, random_state: random.Random):
        self.random_state = random_state
        self._timers: dict[str, _Timer] = {}
        self._heap: list[tuple[float, int, _Timer]] = []
        self._sequence = itertools.count()
        self._schedule_changed: trio.Event | None = None
        self._sleeping_until_s = 0.0

    def subscribe(
        self,
        name: str,
        interval_s: float,
        callback: typing.Callable[[], None],
        *,
        jitter: float = 0.0,
    ) -> None:
        """Call a function every ``interval_s``, starting after one interval.

        :param name: name of the subscription; replaces an existing one of
            the same name
        :param interval_s: seconds between calls
        :param callback: called without arguments
        :param jitter: width, as a fraction of the interval from 0 to 1, of
            the range around the interval from which each one is drawn, so
            that instances do not call at the same times
        :raises DispatchError: ``bad_field``
        """
        validation.check_parameters(
            f'timer {name!r}',
            _CONSTRAINTS,
            {'interval_s': interval_s, 'jitter': jitter},
        )
        timer = _Timer(name, interval_s, callback, jitter)
        self._timers[name] = timer
        if self._schedule_changed is not None:
            self._schedule(timer, trio.current_time())
            if timer.due_s < self._sleeping_until_s:
                self._schedule_changed.set()

    def unsubscribe(self, name: str) -> None:
        """End a subscription; an unknown name is ignored."""
        self._timers.pop(name, None)

    def names(self) -> list[str]:
        """Return the names of the subscriptions."""
        return [*self._timers]

    def _schedule(self, timer: _Timer, now_s: float) -> None:
        deviation = timer.jitter * (self.random_state.random() - 0.5)
        timer.due_s = now_s + timer.interval_s * (1.0 + deviation)
        heapq.heappush(self._heap, (timer.due_s, next(self._sequence), timer))

    async def run(self) -> typing.NoReturn:
        """Call the callbacks when they are due, until cancelled."""
        self._schedule_changed = trio.Event()
        now_s = trio.current_time()
        for timer in self._timers.values():
            self._schedule(timer, now_s)
        while True:
            now_s = trio.current_time()
            while self._heap and self._heap[0][0] <= now_s:
                timer = heapq.heappop(self._heap)[2]
                if self._timers.get(timer.name) is not timer:
                    continue
                try:
                    timer.callback()
                except Exception:
                    eliot.log_message(
                        message_type='timer_failed',
                        timer=timer.name,
                        traceback=traceback.format_exc(),
                    )
                if self._timers.get(timer.name) is timer:
                    self._schedule(timer, now_s)
            self._schedule_changed = trio.Event()
            self._sleeping_until_s = (
                self._heap[0][0] if self._heap else float('inf')
            )
            with trio.move_on_at(self._sleeping_until_s):
                await self._schedule_changed.wait()
