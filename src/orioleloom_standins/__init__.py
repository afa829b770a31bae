"""Stand-ins for the platform and the workers, and the run auditor.

Tests, the demo and the load runs use them; no part of the running
system imports them.
"""

from orioleloom_standins._platform import MemberList
from orioleloom_standins._platform import Platform
from orioleloom_standins._platform_http import PlatformServer
from orioleloom_standins._platform_http import serve_platform
from orioleloom_standins._table import Commit
from orioleloom_standins._table import Conflict
from orioleloom_standins._table import InvalidTransaction
from orioleloom_standins._table import Table
from orioleloom_standins._worker import expected_result
from orioleloom_standins._worker import Ledger
from orioleloom_standins._worker import LedgerEntry
from orioleloom_standins._worker import payload_id
from orioleloom_standins._worker import read_ledger
from orioleloom_standins._worker import Run
from orioleloom_standins._worker import Worker
from orioleloom_standins._worker_http import WorkerHost
from orioleloom_standins._worker_http import WorkerServer

__all__ = [
    'Commit',
    'Conflict',
    'InvalidTransaction',
    'Ledger',
    'LedgerEntry',
    'MemberList',
    'Platform',
    'PlatformServer',
    'Run',
    'Table',
    'Worker',
    'WorkerHost',
    'WorkerServer',
    'expected_result',
    'payload_id',
    'read_ledger',
    'serve_platform',
]
