"""HTTP client of the workers."""

from orioleloom.worker_api._client import WorkerClient
from orioleloom.worker_api._h11 import H11Transport
from orioleloom.worker_api._httpx import HttpxTransport
from orioleloom.worker_api._transport import ExchangeBrokenError
from orioleloom.worker_api._transport import NotSentError
from orioleloom.worker_api._transport import Response
from orioleloom.worker_api._transport import Transport

__all__ = [
    'ExchangeBrokenError',
    'H11Transport',
    'HttpxTransport',
    'NotSentError',
    'Response',
    'Transport',
    'WorkerClient',
]
