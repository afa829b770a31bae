"""Data types that the packages of the system share."""

from orioleloom.model._answers import Answer
from orioleloom.model._answers import complete_answer
from orioleloom.model._answers import failed_answer
from orioleloom.model._answers import Progress
from orioleloom.model._answers import refused_answer
from orioleloom.model._answers import TaskReport
from orioleloom.model._outcomes import Committed
from orioleloom.model._outcomes import Conflicted
from orioleloom.model._outcomes import TableOutcome
from orioleloom.model._outcomes import WriteRefused
from orioleloom.model._outcomes import WriteUnknown
from orioleloom.model._records import Claim
from orioleloom.model._records import ClaimState
from orioleloom.model._records import Contract
from orioleloom.model._records import JobId
from orioleloom.model._records import JobRequest
from orioleloom.model._records import Member
from orioleloom.model._records import MemberState
from orioleloom.model._records import ResultLine
from orioleloom.model._records import Role
from orioleloom.model._records import Row
from orioleloom.model._records import TableOp
from orioleloom.model._records import Task
from orioleloom.model._records import task_key
from orioleloom.model._records import TaskOutcome

__all__ = [
    'Answer',
    'Claim',
    'ClaimState',
    'Committed',
    'Conflicted',
    'Contract',
    'JobId',
    'JobRequest',
    'Member',
    'MemberState',
    'Progress',
    'ResultLine',
    'Role',
    'Row',
    'TableOp',
    'TableOutcome',
    'Task',
    'TaskOutcome',
    'TaskReport',
    'WriteRefused',
    'WriteUnknown',
    'complete_answer',
    'failed_answer',
    'refused_answer',
    'task_key',
]
