"""Tests of the clock that counts the time in a suspension."""

import time

import trio

from orioleloom import timers


def test_deadline_passes_during_a_suspension(monkeypatch):
    """Guards against a leader that acts on leases and contacts long ended.

    The monotonic clock stands still while the machine is suspended.
    """
    suspended_s = 0.0
    clock_gettime = time.clock_gettime

    def read_clock(clock_id):
        offset_s = suspended_s if clock_id == time.CLOCK_BOOTTIME else 0.0
        return clock_gettime(clock_id) + offset_s

    monkeypatch.setattr(time, 'clock_gettime', read_clock)

    async def main():
        nonlocal suspended_s
        started_s = trio.current_time()
        with trio.move_on_after(60) as scope:
            # The machine is suspended while the task is at work.
            suspended_s = 100.0
            await trio.sleep(30)
        return scope.cancelled_caught, trio.current_time() - started_s

    was_cancelled, elapsed_s = trio.run(main, clock=timers.SuspendAwareClock())
    assert was_cancelled
    assert 100 <= elapsed_s < 110


def test_sleeps_last_as_long_as_with_the_usual_clock():
    async def main():
        started_s = time.monotonic()
        await trio.sleep(0.05)
        return time.monotonic() - started_s

    assert 0.05 <= trio.run(main, clock=timers.SuspendAwareClock()) < 1.0
