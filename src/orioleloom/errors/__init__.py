"""Closed list of error kinds and the answer that each one produces."""

from orioleloom.errors._kinds import AnswerRule
from orioleloom.errors._kinds import DispatchError
from orioleloom.errors._kinds import ERROR_TABLE
from orioleloom.errors._kinds import ErrorKind
from orioleloom.errors._kinds import Retry
from orioleloom.errors._kinds import Run
from orioleloom.errors._kinds import to_answer

__all__ = [
    'AnswerRule',
    'DispatchError',
    'ERROR_TABLE',
    'ErrorKind',
    'Retry',
    'Run',
    'to_answer',
]
