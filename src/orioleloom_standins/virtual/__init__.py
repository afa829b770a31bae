"""Discrete-event simulation of entry instances, platform and workers.

The engines are the production ones. The table and the workers share
their logic with the stand-in servers. Network delays, pauses and process
failures are calls scheduled on a virtual clock.
"""

from orioleloom_standins.virtual._callers import Callers
from orioleloom_standins.virtual._clock import Clock
from orioleloom_standins.virtual._entry import Entry
from orioleloom_standins.virtual._history import History
from orioleloom_standins.virtual._history import MAX_NUMBER
from orioleloom_standins.virtual._history import random_history
from orioleloom_standins.virtual._network import Network
from orioleloom_standins.virtual._platform import Platform
from orioleloom_standins.virtual._processes import Processes
from orioleloom_standins.virtual._requests import Change
from orioleloom_standins.virtual._requests import Copy
from orioleloom_standins.virtual._requests import is_decided
from orioleloom_standins.virtual._steps import CONTRACT_STEPS
from orioleloom_standins.virtual._steps import STEPS
from orioleloom_standins.virtual._watch import Watch
from orioleloom_standins.virtual._workers import Workers
from orioleloom_standins.virtual._workers import WorkerSpec
from orioleloom_standins.virtual._world import CUSTOMER
from orioleloom_standins.virtual._world import default_contract
from orioleloom_standins.virtual._world import default_workers
from orioleloom_standins.virtual._world import UPSTREAM
from orioleloom_standins.virtual._world import World

__all__ = [
    'CONTRACT_STEPS',
    'CUSTOMER',
    'Callers',
    'Change',
    'Clock',
    'Copy',
    'Entry',
    'History',
    'MAX_NUMBER',
    'Network',
    'Platform',
    'Processes',
    'STEPS',
    'UPSTREAM',
    'Watch',
    'WorkerSpec',
    'Workers',
    'World',
    'default_contract',
    'default_workers',
    'is_decided',
    'random_history',
]
