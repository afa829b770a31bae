"""An instance that accepts jobs, elects a leader and runs jobs on workers."""

from orioleloom.node._log import log
from orioleloom.node._log import LogWriter
from orioleloom.node._loop_monitor import LoopMonitor
from orioleloom.node._node import Node
from orioleloom.node._ports import ClosedError
from orioleloom.node._ports import CrashRow
from orioleloom.node._ports import EvacuationRow
from orioleloom.node._ports import HistoryLostError
from orioleloom.node._ports import IngressLimits
from orioleloom.node._ports import MemberInfo
from orioleloom.node._ports import NoAnswerError
from orioleloom.node._ports import NotSentError
from orioleloom.node._ports import RefusedError
from orioleloom.node._ports import RejectedError
from orioleloom.node._ports import Route
from orioleloom.node._ports import Routing
from orioleloom.node._ports import Snapshot
from orioleloom.node._ports import StoreError
from orioleloom.node._settings import Settings

__all__ = [
    'ClosedError',
    'CrashRow',
    'EvacuationRow',
    'HistoryLostError',
    'IngressLimits',
    'LogWriter',
    'LoopMonitor',
    'MemberInfo',
    'NoAnswerError',
    'Node',
    'NotSentError',
    'RefusedError',
    'RejectedError',
    'Route',
    'Routing',
    'Settings',
    'Snapshot',
    'StoreError',
    'log',
]
