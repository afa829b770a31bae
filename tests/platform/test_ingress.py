"""Answers to callers."""

import math

import pytest

from orioleloom import dispatch
from orioleloom.platform import _ingress


class FakeConnection:
    def __init__(self):
        self.responses = []

    def respond(self, status, body, headers):
        self.responses.append((status, headers))


@pytest.mark.parametrize('retry_after_s', [math.inf, math.nan, -1.0, 0.2])
def test_every_refusal_is_answered(retry_after_s):
    """Guards against a caller that waits since a time cannot be rounded."""
    connection = FakeConnection()
    outcome = dispatch.Outcome(
        dispatch.OutcomeKind.NOT_RUN, 'no room in time', retry_after_s
    )
    _ingress._respond_outcome(connection, outcome)
    assert connection.responses == [(503, 'Retry-After: 1\r\n')]
