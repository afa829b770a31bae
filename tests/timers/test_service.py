import random

import pytest
import trio

from orioleloom import errors
from orioleloom import timers


@pytest.fixture
def service():
    return timers.TimerService(random_state=random.Random(1))


async def test_intervals_and_late_subscription(
    service, nursery, autojump_clock
):
    # Guards against missing a timer that is subscribed while the service
    # sleeps until a later one, and against calls after unsubscribing.
    calls = []
    start_s = trio.current_time()
    service.subscribe('slow', 10.0, lambda: calls.append('slow'))
    nursery.start_soon(service.run)
    await trio.sleep(0.5)
    service.subscribe(
        'fast', 1.0, lambda: calls.append(trio.current_time() - start_s)
    )
    await trio.sleep(3.2)
    service.unsubscribe('fast')
    await trio.sleep(8.0)
    assert calls == [pytest.approx(t) for t in (1.5, 2.5, 3.5)] + ['slow']


async def test_failing_callback_keeps_other_timers(
    service, nursery, autojump_clock
):
    # Guards against a callback whose exception stops all timers.
    calls = []
    service.subscribe('bad', 1.0, lambda: 1 / 0)
    service.subscribe('good', 1.0, lambda: calls.append(1))
    nursery.start_soon(service.run)
    await trio.sleep(3.5)
    assert len(calls) == 3


async def test_jitter_spreads_calls(service, nursery, autojump_clock):
    # Guards against instances that poll at the same times (R12).
    times = []
    service.subscribe(
        'poll', 2.0, lambda: times.append(trio.current_time()), jitter=0.5
    )
    nursery.start_soon(service.run)
    await trio.sleep(100)
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert 1.5 <= min(gaps) < 1.7 < 2.3 < max(gaps) <= 2.5


async def test_replacing_changes_the_interval(
    service, nursery, autojump_clock
):
    # Guards against a replaced timer that is called at both intervals.
    calls = []
    nursery.start_soon(service.run)
    service.subscribe('tick', 1.0, lambda: calls.append('old'))
    service.subscribe('tick', 2.0, lambda: calls.append('new'))
    await trio.sleep(4.5)
    assert calls == ['new', 'new']
    assert service.names() == ['tick']


def test_bad_interval_is_refused(service):
    # Guards against a busy loop from an interval of zero.
    with pytest.raises(errors.DispatchError, match='interval_s'):
        service.subscribe('t', 0.0, print)
