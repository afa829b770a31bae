import errno
import socket
import typing

import httptools
import trio

from orioleloom.http1 import _sockets


# Idle connections kept per address; further ones are closed. A leader has up
# to four requests to a worker in flight at a time. Three idle connections to
# each of 176 workers fit into the 1,438 sockets of the smallest machine.
_MAX_IDLE_PER_ADDRESS = 3


class NotSentError(Exception):
    """No connection was made, so no byte of the request was sent."""


class RefusedError(NotSentError):
    """The address refused the connection."""


class NoAnswerError(Exception):
    """No valid response arrived; the request may have been processed."""


class ClosedError(NoAnswerError):
    """The server closed or reset the connection before its response."""


class Response(typing.NamedTuple):
    """Response to a request."""

    status: int
    body: bytes


class _ResponseParser:
    """Parser of one response, with the callbacks of httptools."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.is_complete = False
        self.keeps_alive = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.is_complete = True
        # The parser has this information only during this callback.
        self.keeps_alive = self._parser.should_keep_alive()

    def status(self) -> int:
        return self._parser.get_status_code()


def _is_usable(connection: socket.socket) -> bool:
    # If an idle connection is readable, the server has closed it or sent
    # unexpected bytes.
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class Client:
    """HTTP/1.1 client that reuses connections, without pipelining.

    Time-outs are left to the caller; cancelling a request closes its
    connection.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[socket.socket]] = {}
        self.n_connects = 0

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b'',
        headers: str = '',
        host: str = '',
    ) -> Response:
        """Send a request and return the complete response.

        :param address: ``IP:PORT``
        :param target: path and query
        :param headers: further header lines, each terminated by CR LF
        :param host: value of the ``Host`` header; the address if empty
        :raises NotSentError: no connection could be made
        :raises NoAnswerError: the connection failed or was closed before
            a complete and valid response arrived
        :raises RefusedError: the address refused the connection
        :raises ClosedError: the server closed or reset the connection
        """
        connection = self._take_idle(address)
        if connection is None:
            connection = await self._connect(address)
        head = (
            f'{method} {target} HTTP/1.1\r\nHost: {host or address}\r\n'
            f'Content-Type: application/json\r\n{headers}'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        reusable = False
        try:
            await _sockets.send_all(connection, head.encode() + body)
            parser = _ResponseParser()
            while not parser.is_complete:
                data = await _sockets.receive(connection)
                if not data:
                    raise ClosedError(f'{address} closed the connection')
                parser.feed(data)
            reusable = parser.keeps_alive
            return Response(parser.status(), bytes(parser.body))
        except ConnectionError as exc:
            raise ClosedError(f'{address}: {exc}') from exc
        except (OSError, httptools.HttpParserError) as exc:
            raise NoAnswerError(f'{address}: {exc}') from exc
        finally:
            idle = self._idle.setdefault(address, [])
            if reusable and len(idle) < _MAX_IDLE_PER_ADDRESS:
                idle.append(connection)
            else:
                connection.close()

    def _take_idle(self, address: str) -> socket.socket | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if _is_usable(connection):
                return connection
            connection.close()
        return None

    async def _connect(self, address: str) -> socket.socket:
        host, _, port = address.rpartition(':')
        try:
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as exc:
            # The process has no file descriptor left.
            raise NotSentError(f'{address}: {exc}') from exc
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error_number = connection.connect_ex((host, int(port)))
            if error_number == errno.EINPROGRESS:
                await trio.lowlevel.wait_writable(connection)
                error_number = connection.getsockopt(
                    socket.SOL_SOCKET, socket.SO_ERROR
                )
            if error_number:
                raise OSError(error_number, 'cannot connect')
        except (ConnectionRefusedError, ConnectionResetError) as exc:
            connection.close()
            raise RefusedError(f'{address}: {exc}') from exc
        except (OSError, ValueError, OverflowError) as exc:
            connection.close()
            raise NotSentError(f'{address}: {exc}') from exc
        except BaseException:
            connection.close()
            raise
        self.n_connects += 1
        return connection

    async def can_connect(self, address: str) -> bool:
        """Return whether a connection to an address can be opened."""
        try:
            connection = await self._connect(address)
        except NotSentError:
            return False
        connection.close()
        return True

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)
