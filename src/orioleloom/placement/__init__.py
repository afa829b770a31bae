"""Choice of the worker that starts a task."""

from orioleloom.placement._policies import ExpectedCompletion
from orioleloom.placement._policies import LeastOutstanding
from orioleloom.placement._policies import Policy
from orioleloom.placement._policies import PowerOfTwo
from orioleloom.placement._policies import Random
from orioleloom.placement._policies import RoundRobin
from orioleloom.placement._pool import home_slots
from orioleloom.placement._pool import QuarantineNotice
from orioleloom.placement._pool import WorkerPool

__all__ = [
    'ExpectedCompletion',
    'LeastOutstanding',
    'Policy',
    'PowerOfTwo',
    'QuarantineNotice',
    'Random',
    'RoundRobin',
    'WorkerPool',
    'home_slots',
]
