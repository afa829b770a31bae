"""Timer service to which parts subscribe."""

from orioleloom.timers._service import TimerService

__all__ = ['TimerService']
