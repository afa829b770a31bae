import socket

import trio

MAX_READ_BYTES = 65536


async def receive(connection: socket.socket) -> bytes:
    """Return the next bytes, or ``b''`` at the end of the stream.

    :raises OSError: the connection is broken
    """
    while True:
        await trio.lowlevel.wait_readable(connection)
        try:
            return connection.recv(MAX_READ_BYTES)
        except BlockingIOError:
            continue


async def send_all(connection: socket.socket, data: bytes) -> None:
    """Send all bytes.

    :raises OSError: the connection is broken
    """
    while data:
        try:
            n_sent = connection.send(data)
        except BlockingIOError:
            await trio.lowlevel.wait_writable(connection)
            continue
        data = data[n_sent:]
