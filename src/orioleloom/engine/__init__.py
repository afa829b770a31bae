"""Job processing from receipt to answer, without input or output."""

from orioleloom.engine._effects import CancelTasks
from orioleloom.engine._effects import Effect
from orioleloom.engine._effects import ReadTable
from orioleloom.engine._effects import Respond
from orioleloom.engine._effects import SendPeer
from orioleloom.engine._effects import SendTasks
from orioleloom.engine._effects import SentTask
from orioleloom.engine._effects import WriteTable
from orioleloom.engine._engine import Engine
from orioleloom.engine._engine import MAX_TICKETS
from orioleloom.engine._events import Cancel
from orioleloom.engine._events import ContractsRead
from orioleloom.engine._events import Event
from orioleloom.engine._events import ExchangeEnded
from orioleloom.engine._events import Fetch
from orioleloom.engine._events import LineReceived
from orioleloom.engine._events import MembersChanged
from orioleloom.engine._events import PeerReceived
from orioleloom.engine._events import PlatformState
from orioleloom.engine._events import PutContract
from orioleloom.engine._events import RequestGone
from orioleloom.engine._events import RowsRead
from orioleloom.engine._events import StopRequested
from orioleloom.engine._events import Submit
from orioleloom.engine._events import TableDone
from orioleloom.engine._events import Tick
from orioleloom.engine._events import WaitExpired
from orioleloom.engine._settings import EngineSettings

__all__ = [
    'Cancel',
    'CancelTasks',
    'ContractsRead',
    'Effect',
    'Engine',
    'EngineSettings',
    'Event',
    'ExchangeEnded',
    'Fetch',
    'LineReceived',
    'MAX_TICKETS',
    'MembersChanged',
    'PeerReceived',
    'PlatformState',
    'PutContract',
    'ReadTable',
    'RequestGone',
    'Respond',
    'RowsRead',
    'SendPeer',
    'SendTasks',
    'SentTask',
    'StopRequested',
    'Submit',
    'TableDone',
    'Tick',
    'WaitExpired',
    'WriteTable',
]
