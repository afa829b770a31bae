"""Placement: selection of the worker on which a task starts."""

from orioleloom.placement._baselines import LeastOutstanding
from orioleloom.placement._baselines import PowerOfTwo
from orioleloom.placement._baselines import Random
from orioleloom.placement._baselines import RoundRobin
from orioleloom.placement._expected_completion import ExpectedCompletion
from orioleloom.placement._policies import Policy
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
