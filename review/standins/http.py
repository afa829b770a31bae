"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
import json
import typing

Headers = dict[str, str]
Answer = tuple[int, typing.Any]
Handler = typing.Callable[
    [str, str, Headers, bytes], typing.Awaitable[Answer | None]
]


class Closed(Exception):
    """The connection ended before a complete response."""


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers, bytes]:
    """Return the first line, the headers and the body of a message.

    :raises Closed: the stream ended
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines:
            name, _, value = line.partition(':')
            if name:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as exc:
        raise Closed(repr(exc)) from exc
    return first, headers, body


class Server:
    """Serves JSON; a handler that returns ``None`` leaves no answer."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Listen on a free port, or on a given one."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = '%s:%d' % self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Stop listening and reset the open connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(' ', 2)
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    # The connection delivers nothing further.
                    await reader.read()
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(data)) + data
                )
                await writer.drain()
        except (Closed, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Connection:
    """A client's connection, which stays open between requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> 'Connection':
        """Connect to ``IP:PORT``.

        :raises Closed: the address does not accept connections
        """
        host, _, port = address.rpartition(':')
        try:
            return cls(*await asyncio.open_connection(host, int(port)))
        except OSError as exc:
            raise Closed(repr(exc)) from exc

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers,
        value: typing.Any = None,
    ) -> tuple[int, Headers, bytes]:
        """Send a request and return status, headers and body.

        :raises Closed: the connection ended before a complete response
        """
        body = b'' if value is None else json.dumps(value).encode()
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        lines += [
            'Content-Type: application/json',
            f'Content-Length: {len(body)}',
        ]
        head = '\r\n'.join(lines) + '\r\n\r\n'
        try:
            self._writer.write(head.encode() + body)
            await self._writer.drain()
        except (ConnectionError, OSError) as exc:
            raise Closed(repr(exc)) from exc
        first, headers, body = await _read_message(self._reader)
        return int(first.split(' ')[1]), headers, body

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
