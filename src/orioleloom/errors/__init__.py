"""The fixed set of error kinds and how each one is reported."""

from orioleloom.errors._kinds import DispatchError
from orioleloom.errors._kinds import ERROR_TABLE
from orioleloom.errors._kinds import ErrorKind
from orioleloom.errors._kinds import ErrorResponse
from orioleloom.errors._kinds import RetryAdvice
from orioleloom.errors._kinds import RunStatus
from orioleloom.errors._kinds import to_response

__all__ = [
    'DispatchError',
    'ERROR_TABLE',
    'ErrorKind',
    'ErrorResponse',
    'RetryAdvice',
    'RunStatus',
    'to_response',
]
