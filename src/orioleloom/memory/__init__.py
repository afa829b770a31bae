"""Bound of the memory that requests and jobs take in a process."""

from orioleloom.memory._budget import Budget
from orioleloom.memory._budget import limit_bytes
from orioleloom.memory._budget import needed_bytes
from orioleloom.memory._jobs import JobAccount

__all__ = ['Budget', 'JobAccount', 'limit_bytes', 'needed_bytes']
