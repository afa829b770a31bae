"""Client library: submits jobs and safely repeats lost submissions."""

from orioleloom.client._blocking import BlockingClient
from orioleloom.client._client import Client
from orioleloom.client._errors import JobFailedError
from orioleloom.client._errors import NotRunError
from orioleloom.client._errors import OutcomeUnknownError
from orioleloom.client._errors import SubmissionError
from orioleloom.client._retry import Backoff
from orioleloom.client._retry import RetryBudget
from orioleloom.client._types import JobAnswer

__all__ = [
    'Backoff',
    'BlockingClient',
    'Client',
    'JobAnswer',
    'JobFailedError',
    'NotRunError',
    'OutcomeUnknownError',
    'RetryBudget',
    'SubmissionError',
]
