"""The fixed set of error kinds and how each one is reported."""

from orioleloom.errors._kinds import DispatchError
from orioleloom.errors._kinds import ERROR_TABLE
from orioleloom.errors._kinds import ErrorKind
from orioleloom.errors._kinds import ErrorResponse
from orioleloom.errors._kinds import Retry
from orioleloom.errors._kinds import Run
from orioleloom.errors._kinds import to_answer

__all__ = [
    'DispatchError',
    'ERROR_TABLE',
    'ErrorKind',
    'ErrorResponse',
    'Retry',
    'Run',
    'to_answer',
]
