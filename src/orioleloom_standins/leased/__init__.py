"""Simulated workers with leases, driven by the real dispatcher.

Time is virtual. Workers implement the rules of the platform: CPU capacity,
leases on their own clock, fencing tokens, run ids and numbered run ends.
Commands can be lost, delayed or rejected.
"""

from orioleloom_standins.leased._disrupted import LateLease
from orioleloom_standins.leased._disruptions import Disruptions
from orioleloom_standins.leased._fleet import Fleet
from orioleloom_standins.leased._fleet import new_fleet
from orioleloom_standins.leased._fleet import PAUSE_POINTS
from orioleloom_standins.leased._fleet import PlannedPause
from orioleloom_standins.leased._fleet import seed_scheduler
from orioleloom_standins.leased._heavy_load import heavy_workers
from orioleloom_standins.leased._heavy_load import HeavyLoad
from orioleloom_standins.leased._heavy_load import REMOTE_FACTOR
from orioleloom_standins.leased._heavy_load import ServedJob
from orioleloom_standins.leased._history import HistoryReport
from orioleloom_standins.leased._history import LimitError
from orioleloom_standins.leased._history import run_history
from orioleloom_standins.leased._history import run_pause
from orioleloom_standins.leased._history import UnservedError
from orioleloom_standins.leased._load import JobKind
from orioleloom_standins.leased._load import LoadReport
from orioleloom_standins.leased._load import offer_load
from orioleloom_standins.leased._load import offer_load_to_fleet
from orioleloom_standins.leased._load import SITE_KINDS
from orioleloom_standins.leased._load import site_workers
from orioleloom_standins.leased._processor import Costs
from orioleloom_standins.leased._worker import LeasedWorker
from orioleloom_standins.leased._world import Violation
from orioleloom_standins.leased._world import World

__all__ = [
    'Costs',
    'HeavyLoad',
    'REMOTE_FACTOR',
    'ServedJob',
    'heavy_workers',
    'HistoryReport',
    'LimitError',
    'UnservedError',
    'run_history',
    'run_pause',
    'Disruptions',
    'Fleet',
    'JobKind',
    'LateLease',
    'LeasedWorker',
    'LoadReport',
    'PAUSE_POINTS',
    'PlannedPause',
    'SITE_KINDS',
    'Violation',
    'World',
    'new_fleet',
    'offer_load',
    'offer_load_to_fleet',
    'seed_scheduler',
    'site_workers',
]
