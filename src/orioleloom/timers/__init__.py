"""Timer service that calls subscribed functions at intervals."""

from orioleloom.timers._clock import SuspendAwareClock
from orioleloom.timers._service import TimerService

__all__ = ['SuspendAwareClock', 'TimerService']
