"""Tests of client and server over a loopback connection."""

import socket

import pytest
import trio

from orioleloom import http1


async def start_server(nursery, on_request, **options):
    server = http1.Server(on_request, **options)
    address = await nursery.start(server.serve, '127.0.0.1:0')
    return server, address


async def test_connection_is_kept():
    """Guards against opening a new connection for each request."""

    def on_request(connection, request):
        connection.respond(200, request.body + request.path.encode())

    async with trio.open_nursery() as nursery:
        _, address = await start_server(nursery, on_request)
        client = http1.Client()
        for number in range(5):
            response = await client.request(
                address, 'POST', f'/{number}?q=1', b'body'
            )
            assert response == (200, b'body/%d' % number)
        assert client.n_connects == 1
        client.close()
        nursery.cancel_scope.cancel()


async def test_response_that_closes_the_connection_does_not_stop_the_server():
    """Guards against an error in the server's nursery.

    The response closes the socket while the connection's task waits for
    data on it.
    """

    def on_request(connection, request):
        nursery.start_soon(respond_later, connection)

    async def respond_later(connection):
        await trio.sleep(0.02)
        connection.respond(503, close=True)

    async with trio.open_nursery() as nursery:
        server, address = await start_server(nursery, on_request)
        client = http1.Client()
        for _ in range(3):
            response = await client.request(address, 'GET', '/')
            assert response.status == 503
        await trio.sleep(0.02)
        assert not server.connections
        nursery.cancel_scope.cancel()


async def test_draining_server_closes_after_the_response():
    async with trio.open_nursery() as nursery:
        server, address = await start_server(
            nursery, lambda connection, request: connection.respond(200)
        )
        client = http1.Client()
        server.is_draining = True
        await client.request(address, 'GET', '/')
        await client.request(address, 'GET', '/')
        assert client.n_connects == 2
        nursery.cancel_scope.cancel()


async def test_client_disconnect_is_reported():
    disconnected = trio.Event()

    async with trio.open_nursery() as nursery:
        _, address = await start_server(
            nursery,
            lambda connection, request: None,
            on_disconnect=lambda connection: disconnected.set(),
        )
        client = http1.Client()
        with trio.move_on_after(0.05):
            await client.request(address, 'GET', '/')
        with trio.fail_after(2):
            await disconnected.wait()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nX: %s\r\n\r\n' % (b'y' * 5000), b'431'),
        (b'POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n', b'413'),
        (
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'%x\r\n%s\r\n' % (3000, b'z' * 3000),
            b'413',
        ),
    ],
)
async def test_bad_request_gets_its_status(data, status):
    async with trio.open_nursery() as nursery:
        _, address = await start_server(
            nursery,
            lambda connection, request: connection.respond(200),
            limits=http1.Limits(max_header_bytes=4000, max_body_bytes=2000),
        )
        host, port = address.split(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(data)
        with trio.fail_after(2):
            response = await stream.receive_some()
        assert response.startswith(b'HTTP/1.1 ' + status)
        nursery.cancel_scope.cancel()


async def test_incomplete_request_times_out():
    async with trio.open_nursery() as nursery:
        _, address = await start_server(
            nursery,
            lambda connection, request: connection.respond(200),
            limits=http1.Limits(header_timeout_s=0.05),
        )
        host, port = address.split(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(b'GET / HTTP/1.1\r\nHost: x\r\n')
        with trio.fail_after(2):
            assert await stream.receive_some() == b''
        nursery.cancel_scope.cancel()


async def test_error_in_handler_gives_status_500():
    def on_request(connection, request):
        raise RuntimeError('broken')

    async with trio.open_nursery() as nursery:
        _, address = await start_server(nursery, on_request)
        response = await http1.Client().request(address, 'GET', '/')
        assert response.status == 500
        nursery.cancel_scope.cancel()


async def test_refused_connection_raises_not_sent():
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        port = unused.getsockname()[1]
    with pytest.raises(http1.NotSentError) as raised:
        await http1.Client().request(f'127.0.0.1:{port}', 'GET', '/')
    # A crashed process refuses connections; a silent machine does not.
    assert isinstance(raised.value, http1.RefusedError)


async def test_lack_of_file_descriptors_raises_not_sent(monkeypatch):
    """Guards against an exception that ends the leader's process.

    Without a free file descriptor even creating the socket fails.
    """

    def no_socket(*args):
        raise OSError(24, 'Too many open files')

    monkeypatch.setattr(socket, 'socket', no_socket)
    with pytest.raises(http1.NotSentError) as raised:
        await http1.Client().request('127.0.0.1:1', 'GET', '/')
    # The fault is on this machine.
    assert not isinstance(raised.value, http1.RefusedError)


async def test_connection_closed_without_response_raises_no_answer():
    async with trio.open_nursery() as nursery:
        _, address = await start_server(
            nursery, lambda connection, request: connection.close()
        )
        with pytest.raises(http1.ClosedError):
            await http1.Client().request(address, 'GET', '/')
        nursery.cancel_scope.cancel()


async def test_idle_connection_closed_by_the_server_is_not_reused():
    async with trio.open_nursery() as nursery:
        server, address = await start_server(
            nursery, lambda connection, request: connection.respond(200)
        )
        client = http1.Client()
        await client.request(address, 'GET', '/')
        for connection in list(server.connections):
            connection.close()
        await trio.sleep(0.02)
        assert (await client.request(address, 'GET', '/')).status == 200
        nursery.cancel_scope.cancel()
