"""Dispatch of repeatable jobs to workers that run tasks under leases."""

from orioleloom.dispatch._admission import Admit
from orioleloom.dispatch._admission import MAX_WAIT_S
from orioleloom.dispatch._admission import NO_CAPACITY
from orioleloom.dispatch._admission import Refuse
from orioleloom.dispatch._crashes import CrashLedger
from orioleloom.dispatch._crashes import CrashRecord
from orioleloom.dispatch._dispatcher import Dispatcher
from orioleloom.dispatch._dispatcher import NO_MEMORY
from orioleloom.dispatch._dispatcher import OUTCOME_RETENTION_S
from orioleloom.dispatch._dispatcher import OVERLOADED
from orioleloom.dispatch._holds import MAX_START_HOLD_S
from orioleloom.dispatch._job_memory import encoded_bytes
from orioleloom.dispatch._job_memory import is_large
from orioleloom.dispatch._job_memory import led_bytes
from orioleloom.dispatch._job_memory import pending_bytes
from orioleloom.dispatch._jobs import count_unstarted_by_queue
from orioleloom.dispatch._jobs import declared_allowed_time_s
from orioleloom.dispatch._jobs import latest_useful_start_s
from orioleloom.dispatch._records import AnswerJob
from orioleloom.dispatch._records import check_job
from orioleloom.dispatch._records import Effect
from orioleloom.dispatch._records import EndedRun
from orioleloom.dispatch._records import EndKind
from orioleloom.dispatch._records import Job
from orioleloom.dispatch._records import LogDecision
from orioleloom.dispatch._records import LossCause
from orioleloom.dispatch._records import Outcome
from orioleloom.dispatch._records import OutcomeKind
from orioleloom.dispatch._records import PollWorker
from orioleloom.dispatch._records import PollWorkerOnce
from orioleloom.dispatch._records import Queue
from orioleloom.dispatch._records import Rejection
from orioleloom.dispatch._records import Resources
from orioleloom.dispatch._records import RunningRun
from orioleloom.dispatch._records import StartRun
from orioleloom.dispatch._records import Step
from orioleloom.dispatch._records import StopRun
from orioleloom.dispatch._records import Superseded
from orioleloom.dispatch._records import TaskKey
from orioleloom.dispatch._records import WorkerInfo
from orioleloom.dispatch._records import WorkerReport
from orioleloom.dispatch._settings import Settings
from orioleloom.dispatch._worker_lists import ListInUse
from orioleloom.dispatch._worker_lists import WorkerListState
from orioleloom.dispatch._worker_lists import WorkerListTracker

# Reasons of refusals on arrival, which the dispatcher does not log.
REFUSAL_REASONS = frozenset({OVERLOADED, NO_CAPACITY, NO_MEMORY})

__all__ = [
    'Admit',
    'MAX_WAIT_S',
    'NO_CAPACITY',
    'NO_MEMORY',
    'REFUSAL_REASONS',
    'Refuse',
    'AnswerJob',
    'CrashLedger',
    'CrashRecord',
    'Dispatcher',
    'Effect',
    'EndedRun',
    'EndKind',
    'Job',
    'OUTCOME_RETENTION_S',
    'OVERLOADED',
    'ListInUse',
    'LogDecision',
    'LossCause',
    'MAX_START_HOLD_S',
    'Outcome',
    'OutcomeKind',
    'PollWorker',
    'PollWorkerOnce',
    'Queue',
    'Rejection',
    'Resources',
    'RunningRun',
    'Settings',
    'StartRun',
    'Step',
    'StopRun',
    'Superseded',
    'TaskKey',
    'WorkerInfo',
    'WorkerListState',
    'WorkerListTracker',
    'WorkerReport',
    'check_job',
    'count_unstarted_by_queue',
    'declared_allowed_time_s',
    'latest_useful_start_s',
    'encoded_bytes',
    'is_large',
    'led_bytes',
    'pending_bytes',
]
