"""Signals that the platform sends to an instance."""

import os
import random
import signal

import msgspec
import pytest
import trio

from orioleloom.platform import _daemon
from orioleloom.platform import _settings
from orioleloom_standins import wire


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
async def test_signal_during_a_planned_stop(nursery, monkeypatch, number):
    """Guards against an exit by a signal that nobody has read.

    It was raised again when the stop was complete, and ended the process
    before its last log lines were written.
    """
    raised = []
    original = signal.signal(number, lambda *_: raised.append(number))
    monkeypatch.setattr(_daemon, '_MIN_DRAIN_S', 0.3)
    try:
        site = wire.Site(nursery, random.Random(1), network=3)
        await site.start(1)
        settings = msgspec.convert(
            site.settings(1, 1), _settings.PlatformSettings, strict=False
        )
        daemon = _daemon.Daemon(settings)
        async with trio.open_nursery() as running:
            running.start_soon(daemon.run)
            await trio.sleep(0.3)
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.sleep(0.1)
            os.kill(os.getpid(), number)
    finally:
        signal.signal(number, original)
    assert daemon.node.is_stopping
    assert raised == []
    nursery.cancel_scope.cancel()
