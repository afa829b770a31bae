import errno
import socket
import typing

import httptools
import trio

from orioleloom.http1 import _sockets


# Idle connections kept to one address; more are closed. A leader has up to
# four questions and orders open to a worker at a time; 176 workers times
# three fit into the 1,438 sockets of the smallest machine.
_MAX_IDLE_PER_ADDRESS = 3


class NotSentError(Exception):
    """The request has certainly not left: no connection was made."""


class NoAnswerError(Exception):
    """The request may have been carried out; its answer is missing."""


class Response(typing.NamedTuple):
    """Answer to a request."""

    status: int
    body: bytes


class _Parser:
    """Collects one response."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.is_complete = False
        self.keeps_alive = False
        self._http = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        self._http.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.is_complete = True
        # The parser answers this only until the message has ended.
        self.keeps_alive = self._http.should_keep_alive()

    def status(self) -> int:
        return self._http.get_status_code()


def _is_usable(connection: socket.socket) -> bool:
    # An idle connection that is readable was closed by the peer or
    # carries unexpected bytes.
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class Client:
    """Keeps connections and sends one request at a time on each.

    Time-outs are the caller's: a cancelled request closes its
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
        """Send a request and return its whole answer.

        :param address: ``IP:PORT``
        :param headers: further header lines, each ended by CR LF
        :param host: ``Host`` header, if it is not the address
        :raises NotSentError: no connection could be made
        :raises NoAnswerError: the connection ended before the answer
        """
        connection = self._take_idle(address)
        if connection is None:
            connection = await self._connect(address)
        head = (
            f'{method} {target} HTTP/1.1\r\nHost: {host or address}\r\n'
            f'Content-Type: application/json\r\n{headers}'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        keep = False
        try:
            await _sockets.send_all(connection, head.encode() + body)
            parser = _Parser()
            while not parser.is_complete:
                data = await _sockets.receive(connection)
                if not data:
                    raise NoAnswerError(f'{address} closed the connection')
                parser.feed(data)
            keep = parser.keeps_alive
            return Response(parser.status(), bytes(parser.body))
        except (OSError, httptools.HttpParserError) as exc:
            raise NoAnswerError(f'{address}: {exc}') from exc
        finally:
            idle = self._idle.setdefault(address, [])
            if keep and len(idle) < _MAX_IDLE_PER_ADDRESS:
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
            # The process is out of descriptors.
            raise NotSentError(f'{address}: {exc}') from exc
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = connection.connect_ex((host, int(port)))
            if code == errno.EINPROGRESS:
                await trio.lowlevel.wait_writable(connection)
                code = connection.getsockopt(
                    socket.SOL_SOCKET, socket.SO_ERROR
                )
            if code:
                raise OSError(code, 'cannot connect')
        except (OSError, ValueError, OverflowError) as exc:
            connection.close()
            raise NotSentError(f'{address}: {exc}') from exc
        except BaseException:
            connection.close()
            raise
        self.n_connects += 1
        return connection

    async def reach(self, address: str) -> bool:
        """Return whether a connection to an address can be made."""
        try:
            connection = await self._connect(address)
        except NotSentError:
            return False
        connection.close()
        return True

    def forget_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget_idle(address)
