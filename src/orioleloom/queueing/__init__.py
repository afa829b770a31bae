"""Fair queueing of waiting tasks."""

from orioleloom.queueing._fair import FairQueue
from orioleloom.queueing._fair import QueuedTask

__all__ = ['FairQueue', 'QueuedTask']
