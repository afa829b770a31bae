"""Minimal HTTP/1.1 server and client on trio and httptools.

They serve connections with many small requests. hypercorn with quart
takes some milliseconds of processor time per request, whereas httptools
parses a request in some microseconds.
"""

from orioleloom.http1._budget import Budget
from orioleloom.http1._budget import limit_bytes
from orioleloom.http1._client import Client
from orioleloom.http1._client import ClosedError
from orioleloom.http1._client import NoAnswerError
from orioleloom.http1._client import NotSentError
from orioleloom.http1._client import RefusedError
from orioleloom.http1._client import Response
from orioleloom.http1._server import Connection
from orioleloom.http1._server import Limits
from orioleloom.http1._server import Request
from orioleloom.http1._server import Server

__all__ = [
    'Budget',
    'Client',
    'Connection',
    'Limits',
    'ClosedError',
    'NoAnswerError',
    'NotSentError',
    'RefusedError',
    'Request',
    'Response',
    'Server',
    'limit_bytes',
]
