"""Requests on open connections of a server that is about to stop."""

import contextlib
import os
import socket

import pytest
import trio

from orioleloom import http1

REQUEST = b'GET /%d HTTP/1.1\r\nHost: x\r\n\r\n'


@contextlib.asynccontextmanager
async def running_server():
    """Yield a server, a stream to it, and its unanswered connections."""
    pending = []

    def on_request(connection, request):
        if request.path == '/now':
            connection.respond(503, b'now')
        else:
            pending.append((connection, request.path))

    server = http1.Server(on_request)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, '127.0.0.1:0')
        host, port = address.split(':')
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            yield server, stream, pending
        nursery.cancel_scope.cancel()


async def receive_all(stream):
    """Return all bytes until the server ends the connection."""
    data = b''
    with trio.fail_after(2):
        while received := await stream.receive_some():
            data += received
    return data


@pytest.mark.parametrize('has_arrived_before', [True, False])
async def test_request_behind_another_one_is_answered(has_arrived_before):
    """Guards against requests that are dropped with the connection.

    The response to the first request closed the connection, although the
    server had already received the second one.
    """
    async with running_server() as (server, stream, pending):
        await stream.send_all(REQUEST % 1)
        if has_arrived_before:
            await stream.send_all(REQUEST % 2)
        await trio.sleep(0.05)
        server.is_draining = True
        if not has_arrived_before:
            await stream.send_all(REQUEST % 2)
        (connection, path), *_ = pending
        connection.respond(200, path.encode())
        assert len(pending) == 2
        connection.respond(200, b'last')
        data = await receive_all(stream)
    assert data.count(b'HTTP/1.1 200 OK') == 2
    assert data.count(b'Connection: close') == 1
    assert data.endswith(b'last')


async def test_requests_in_one_segment_are_answered_in_order():
    """Guards against a handler that runs for a connection that was closed.

    Each response closed the connection, while the rest of what had been read
    with the request was still handled.
    """
    async with running_server() as (server, stream, _):
        server.is_draining = True
        await stream.send_all(
            3 * b'GET /now HTTP/1.1\r\n\r\n' + b'nonsense\r\n'
        )
        data = await receive_all(stream)
    assert data.count(b'HTTP/1.1 503') == 3
    assert data.count(b'HTTP/1.1 400') == 1


async def test_many_requests_in_one_segment():
    """Guards against a recursion for each request that waits."""
    async with running_server() as (_, stream, _):
        await stream.send_all(2000 * b'GET /now HTTP/1.1\r\n\r\n')
        with trio.fail_after(2):
            data = b''
            while data.count(b'HTTP/1.1 503') < 2000:
                data += await stream.receive_some()


async def test_last_response_is_not_destroyed_by_unread_bytes():
    """Guards against a reset that overtakes the response.

    Closing a connection with unread bytes resets it.
    """
    async with running_server() as (server, stream, pending):
        await stream.send_all(REQUEST % 1)
        await trio.sleep(0.05)
        connection, _ = pending[0]
        # The event loop does not come to it before the response is sent.
        client = socket.socket(fileno=os.dup(stream.socket.fileno()))
        with client:
            client.send(REQUEST % 2)
        connection.respond(200, b'done', close=True)
        await trio.sleep(0.05)
        assert (await receive_all(stream)).endswith(b'done')
        assert len(pending) == 1
    assert not server.connections


async def test_finish_handles_what_has_arrived():
    """Guards against requests that are closed with an idle connection.

    They have arrived, also on new connections, and the event loop has not
    come to them yet.
    """
    async with running_server() as (server, stream, pending):
        await trio.sleep(0.05)
        await stream.send_all(REQUEST % 1)
        server.finish()
        assert [path for _, path in pending] == ['/1']
        pending[0][0].respond(200, b'done')
        assert (await receive_all(stream)).endswith(b'done')


async def test_finish_closes_idle_connections():
    """A client must learn that it cannot use its connection any longer."""
    async with running_server() as (server, stream, _):
        await trio.sleep(0.05)
        assert len(server.connections) == 1
        server.finish()
        assert await receive_all(stream) == b''
        await stream.aclose()
        await server.wait_finished(1.0)
        assert not server.connections


async def test_client_that_never_stops_sending_is_finished():
    """Guards against a stop that waits for all requests of a client.

    After each response the next one had arrived already.
    """
    async with running_server() as (server, stream, _):
        server.is_draining = True
        await stream.send_all(2000 * b'GET /now HTTP/1.1\r\n\r\n')
        data = await receive_all(stream)
    assert 1 < data.count(b'HTTP/1.1 503') < 100
    assert data.count(b'Connection: close') == 1
