"""Waiting tasks in fair order."""

from orioleloom.queueing._fair import FairQueue
from orioleloom.queueing._fair import QueuedTask

__all__ = ['FairQueue', 'QueuedTask']
