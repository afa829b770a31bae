"""Requests that arrive slowly, in odd pieces, or never completely."""

import contextlib

import pytest
import trio

from orioleloom import http1
from orioleloom import memory

CHUNKED = b'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
PLATFORM_LIMITS = http1.Limits(16_384, 262_144, 3.0, 15.0)


class Running:
    """A server, what its handler got, and connections to it."""

    def __init__(self, server, address):
        self.server = server
        self.host, _, self.port = address.partition(':')
        self.requests = []
        # An abandoned stream would be closed.
        self.streams = []

    async def connect(self, data=b''):
        stream = await trio.open_tcp_stream(self.host, int(self.port))
        self.streams.append(stream)
        await stream.send_all(data)
        return stream

    async def wait(self, condition):
        with trio.fail_after(2):
            while not condition():
                await trio.sleep(0.005)


@contextlib.asynccontextmanager
async def running(*, answers=True, **options):
    def on_request(connection, request):
        test.requests.append((connection, request))
        if answers:
            connection.respond(200, b'done')

    server = http1.Server(on_request, **options)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, '127.0.0.1:0')
        test = Running(server, address)
        yield test
        nursery.cancel_scope.cancel()
    assert server.budget.held_bytes == 0


async def receive_all(stream):
    data = b''
    with trio.fail_after(2):
        with contextlib.suppress(trio.BrokenResourceError):
            while received := await stream.receive_some():
                data += received
    return data


async def test_single_request_at_the_limits_is_served():
    """Guards against a budget that no request at the limits fits."""
    body = 262_144 * b'1\r\nx\r\n' + b'0\r\nT: trailer\r\n\r\n'
    budget = http1.Budget(http1.limit_bytes(1))
    async with running(limits=PLATFORM_LIMITS, budget=budget) as test:
        for sent in (
            CHUNKED + body,
            b'POST /x HTTP/1.1\r\nContent-Length: 262144\r\n\r\n'
            + 262_144 * b'x',
        ):
            stream = await test.connect(sent)
            with trio.fail_after(5):
                answer = await stream.receive_some()
            assert answer.startswith(b'HTTP/1.1 200')
            assert test.requests[-1][1].body == 262_144 * b'x'
            # A trailer must not replace a header either.
            assert 't' not in test.requests[-1][1].headers


@pytest.mark.parametrize(
    ('head', 'counter'),
    [(b'POST /x HTTP/1.1\r\nA: ', 'late_heads'), (CHUNKED, 'late_bodies')],
)
async def test_bytes_do_not_extend_the_time_of_a_request(head, counter):
    """Guards against a client that sends a byte before each time-out."""
    limits = http1.Limits(header_timeout_s=0.2, body_timeout_s=0.2)
    async with running(limits=limits) as test:
        stream = await test.connect(head)
        with pytest.raises(trio.BrokenResourceError), trio.fail_after(2):
            while True:
                await stream.send_all(
                    b'1\r\nx\r\n' if head[-1] == 10 else b'x'
                )
                await trio.sleep(0.02)
        assert test.server.counters[counter] == 1
        assert not test.requests


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nX: ' + 20 * b'x', b'431'),
        (CHUNKED + b'1;' + 20 * b'x', b'413'),
        (CHUNKED + b'0\r\nX: ' + 20 * b'x', b'413'),
    ],
)
async def test_bytes_that_no_callback_reports_are_counted(data, status):
    """Guards against lines without end: empty, of a header, of a chunk."""
    limits = http1.Limits(max_header_bytes=4_000, max_body_bytes=4_000)
    async with running(limits=limits) as test:
        stream = await test.connect(data)
        for _ in range(16):
            await stream.send_all(1_000 * data[-2:])
        assert (await receive_all(stream)).startswith(b'HTTP/1.1 ' + status)
        assert not test.requests


async def test_stalled_client_makes_room_for_a_new_one():
    """Guards against refusing callers while stalled clients hold memory."""
    part = b'POST /x HTTP/1.1\r\nContent-Length: 30000\r\n\r\n' + 14_000 * b'x'
    async with running(budget=http1.Budget(50_000)) as test:
        stalled = [await test.connect(part) for _ in range(2)]
        await test.wait(lambda: test.server.budget.held_bytes > 30_000)
        await trio.sleep(0.3)
        stream = await test.connect(part)
        answer = await receive_all(stalled[0])
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'Retry-After: 1\r\n' in answer
        await stream.send_all(16_000 * b'x')
        with trio.fail_after(2):
            assert (await stream.receive_some()).startswith(b'HTTP/1.1 200')
        assert test.server.counters['closed_for_memory'] >= 1


async def test_request_that_is_refused_for_memory_is_not_handled():
    """Guards against a refusal of a job that may run.

    Requests that are being handled hold the memory, so none can be closed.
    """
    request = b'POST /x HTTP/1.1\r\nContent-Length: 9000\r\n\r\n' + 9000 * b'x'
    async with running(answers=False, budget=http1.Budget(30_000)) as test:
        for n in (1, 2):
            await test.connect(request)
            await test.wait(lambda n=n: len(test.requests) == n)
        answer = await receive_all(await test.connect(request))
        assert answer.startswith(b'HTTP/1.1 503')
        assert len(test.requests) == 2
        test.requests[0][0].respond(200)
        await test.connect(request)
        await test.wait(lambda: len(test.requests) == 3)


async def test_requests_sent_without_waiting_are_bounded():
    """Guards against requests that pile up behind an unanswered one."""
    limits = http1.Limits(max_header_bytes=4_000, max_body_bytes=4_000)
    async with running(answers=False, limits=limits) as test:
        stream = await test.connect(1_000 * b'GET /x HTTP/1.1\r\n\r\n')
        await test.wait(lambda: test.requests)
        await stream.send_all(1_000 * b'GET /x HTTP/1.1\r\n\r\n')
        connection, _ = test.requests[0]
        await test.wait(lambda: connection._reject_status == 503)
        n_answered = 0
        while connection.current_request is not None:
            connection.respond(200)
            n_answered += 1
        assert n_answered == len(test.requests) < 2_000
        answer = await receive_all(stream)
        assert answer.count(b'HTTP/1.1 200') == n_answered
        assert answer.count(b'HTTP/1.1 503') == 1


async def test_stalled_request_behind_another_one_is_refused():
    """Guards against a loop that waits for a deadline that has passed."""
    limits = http1.Limits(header_timeout_s=0.1)
    async with running(answers=False, limits=limits) as test:
        stream = await test.connect((2 * b'GET /x HTTP/1.1\r\n\r\n')[:-1])
        await test.wait(lambda: test.server.counters['late_heads'])
        await trio.sleep(0.05)
        test.requests[0][0].respond(200)
        answer = await receive_all(stream)
        assert answer.startswith(b'HTTP/1.1 200')
        assert answer.count(b'HTTP/1.1 408') == 1


async def test_empty_line_after_a_request_does_not_end_the_connection():
    """Guards against taking the empty line that some clients send after a
    body for a request that has begun."""
    limits = http1.Limits(header_timeout_s=0.05)
    async with running(limits=limits) as test:
        stream = await test.connect(b'GET /x HTTP/1.1\r\n\r\n\r\n')
        await stream.receive_some()
        await stream.send_all(b'\r\n')
        await trio.sleep(0.15)
        await stream.send_all(b'GET /x HTTP/1.1\r\n\r\n')
        with trio.fail_after(2):
            assert (await stream.receive_some()).startswith(b'HTTP/1.1 200')


async def test_stalled_client_makes_room_among_the_connections():
    """Guards against a server whose connections are all taken by clients
    that send nothing more."""
    async with running(max_connections=4) as test:
        for _ in range(4):
            await test.connect(b'GET /x HTTP/1.1\r\n')
        await trio.sleep(0.3)
        stream = await test.connect(b'GET /x HTTP/1.1\r\n\r\n')
        with trio.fail_after(2):
            assert (await stream.receive_some()).startswith(b'HTTP/1.1 200')
        assert test.server.counters['closed_for_connections'] == 1


async def test_result_of_a_request_counts_instead_of_its_body():
    """Guards against a body that stays beside the job that it became."""
    body = b'POST /x HTTP/1.1\r\nContent-Length: 9000\r\n\r\n' + 9_000 * b'x'
    budget = http1.Budget(100_000)
    async with running(answers=False, budget=budget) as test:
        await test.connect(body)
        await test.wait(lambda: test.requests)
        connection, request = test.requests[0]
        assert connection.hold_handled(30_000)
        assert budget.held_bytes > 30_000
        assert len(request.body) == 9_000
        assert connection.current_request.body == b''
        assert not connection.hold_handled(200_000)
        connection.respond(200)
        assert budget.held_bytes == 0


async def test_slow_requests_make_room_for_a_complete_one():
    """Guards against clients that stop short and shut out whole requests."""
    part = b'POST /x HTTP/1.1\r\nContent-Length: 30000\r\n\r\n' + 20_000 * b'x'
    budget = http1.Budget(100_000)
    async with running(answers=False, budget=budget) as test:
        stalled = [await test.connect(part) for _ in range(3)]
        await test.wait(lambda: budget.held_bytes > 60_000)
        await trio.sleep(0.3)
        await test.connect(b'GET / HTTP/1.1\r\n\r\n')
        await test.wait(lambda: test.requests)
        assert test.requests[0][0].hold_handled(30_000)
        answer = await receive_all(stalled[0])
        assert answer.startswith(b'HTTP/1.1 503')


async def test_jobs_of_the_process_leave_less_room():
    """Guards against two budgets that are each kept, but not together."""
    process = memory.Budget(100_000)
    budget = http1.Budget(50_000, process)
    process.add_job(70_000)
    part = b'POST /x HTTP/1.1\r\nContent-Length: 30000\r\n\r\n' + 15_000 * b'x'
    async with running(budget=budget) as test:
        await test.connect(part)
        await test.wait(lambda: budget.held_bytes > 15_000)
        assert process.reception_bytes == budget.held_bytes
        await test.connect(part)
        await test.wait(lambda: test.server.counters['closed_for_memory'])
