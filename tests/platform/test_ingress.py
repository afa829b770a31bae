"""Answers to callers."""

import collections
import math
import types

import msgspec
import pytest
import trio
import trio.testing

from orioleloom import dispatch
from orioleloom import http1
from orioleloom import node
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


ROUTE = node.Route('tasks', '/check/', dispatch.Queue('check', 'pool'))


class FakeNode:
    """A node that keeps every job that is submitted to it."""

    def __init__(self):
        self.counters = collections.Counter()
        self.routing = types.SimpleNamespace(find=lambda host, path: ROUTE)
        self.pending = {}

    def submit(self, job, **_):
        self.pending[job.id] = job


class Caller:
    """A connection with one request.

    :param n_bytes: memory that its request may hold
    """

    def __init__(self, number, n_steps, n_bytes=1 << 30):
        steps = n_steps * [{'count': 1, 'estimateMs': 20.0}]
        fields = {'spec': 'x', 'phases': steps, 'bestEffort': True}
        self.job_id = f'{number:016x}'
        self.current_request = http1.Request(
            'POST',
            f'/check/{self.job_id}',
            '',
            {'host': 'tasks'},
            msgspec.json.encode(fields),
            0.0,
        )
        self.n_bytes = n_bytes
        self.context = None
        self.responses = []

    def has_room(self, n_bytes):
        return n_bytes <= self.n_bytes

    def hold_handled(self, n_bytes):
        self.current_request = self.current_request._replace(body=b'')
        return self.has_room(n_bytes)

    def respond(self, status, body=b'', headers='', *, close=False):
        self.current_request = None
        self.responses.append((status, headers))


def receive(ingress, caller):
    ingress.on_request(caller, caller.current_request)


async def test_large_jobs_wait_behind_smaller_ones(nursery):
    """Guards against a crowd of large jobs that holds the event loop."""
    ingress = _ingress.Ingress(FakeNode())
    for number, n_steps in enumerate((1_300, 600, 300)):
        receive(ingress, Caller(number, n_steps))
    receive(ingress, Caller(9, 1))
    assert list(ingress.instance.pending) == [f'{9:016x}']
    nursery.start_soon(ingress.run)
    n_earlier = 1
    while n_earlier < 4:
        await trio.lowlevel.checkpoint()
        # Between two turns of this task the other one has two at most.
        assert len(ingress.instance.pending) <= n_earlier + 2
        n_earlier = len(ingress.instance.pending)
    assert list(ingress.instance.pending) == [
        f'{number:016x}' for number in (9, 2, 1, 0)
    ]
    nursery.cancel_scope.cancel()


async def test_caller_that_has_left_is_not_decoded(nursery):
    """Guards against work for jobs that nobody waits for."""
    ingress = _ingress.Ingress(FakeNode())
    callers = [Caller(number, 1_300) for number in range(2)]
    for caller in callers:
        receive(ingress, caller)
    callers[0].current_request = None
    nursery.start_soon(ingress.run)
    await trio.testing.wait_all_tasks_blocked()
    assert list(ingress.instance.pending) == [callers[1].job_id]
    nursery.cancel_scope.cancel()


async def test_error_in_a_large_job_is_answered(nursery):
    """Guards against one odd job that ends the process."""
    ingress = _ingress.Ingress(FakeNode())
    nursery.start_soon(ingress.run)
    submit = ingress.instance.submit
    ingress.instance.submit = lambda job, **_: 1 / 0
    caller = Caller(1, 1_300)
    receive(ingress, caller)
    await trio.testing.wait_all_tasks_blocked()
    assert caller.responses[0][0] == 500
    ingress.instance.submit = submit
    receive(ingress, Caller(2, 1_300))
    await trio.testing.wait_all_tasks_blocked()
    assert list(ingress.instance.pending) == [f'{2:016x}']
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('n_bytes', [0, 10_000])
async def test_job_without_room_is_refused(nursery, n_bytes):
    """Guards against a large job that is decoded before it is refused."""
    ingress = _ingress.Ingress(FakeNode())
    nursery.start_soon(ingress.run)
    caller = Caller(1, 1_300, n_bytes)
    receive(ingress, caller)
    ((status, headers),) = caller.responses
    assert status == 503
    assert 1 <= int(headers.removeprefix('Retry-After: ')) <= 3
    assert not ingress.instance.pending
    nursery.cancel_scope.cancel()


async def test_refusal_of_a_pending_job_does_not_say_that_it_never_runs():
    """Guards against a 503 for a second request while the first one runs."""
    ingress = _ingress.Ingress(FakeNode())
    receive(ingress, Caller(1, 1))
    caller = Caller(1, 1, 0)
    receive(ingress, caller)
    assert caller.responses == [(502, '')]
