import collections
import errno
import socket
import typing

import eliot
import httptools
import trio

from orioleloom.http1 import _sockets

_BACKLOG = 1024
# Pause after the process ran out of descriptors, in seconds.
_ACCEPT_PAUSE_S = 0.1
_OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS)

_REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    405: 'Method Not Allowed',
    410: 'Gone',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


class Limits(typing.NamedTuple):
    """Limits of a server.

    :param header_timeout_s: time allowed for a whole request to arrive
    :param idle_timeout_s: time a connection may stay without a request
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class Request(typing.NamedTuple):
    """A whole request.

    :param path: target without the query
    :param headers: values by lower-case name
    :param arrived_s: when its last byte was read, in trio's time
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    arrived_s: float


class _TooLargeError(Exception):
    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


class Connection:
    """One client connection; requests on it are answered in turn."""

    def __init__(self, server: 'Server', sock: socket.socket):
        self.server = server
        # The request that waits for its answer.
        self.request: Request | None = None
        self.is_open = True
        # Kept for the handler.
        self.context: typing.Any = None
        self._socket = sock
        self._queued: collections.deque[Request] = collections.deque()
        self._keep_alive = True
        self._reset()
        self._parser = httptools.HttpRequestParser(self)

    def _reset(self) -> None:
        self._url = b''
        self._headers: dict[str, str] = {}
        self._n_header_bytes = 0
        self._body = bytearray()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Take over a part of the target."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take over a header."""
        self._count_header(len(name) + len(value) + 4)
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def _count_header(self, n_bytes: int) -> None:
        self._n_header_bytes += n_bytes
        if self._n_header_bytes > self.server.limits.max_header_bytes:
            raise _TooLargeError(431)

    def on_headers_complete(self) -> None:
        """Check the announced size."""
        length = self._headers.get('content-length', '')
        if length.isdigit() and (
            int(length) > self.server.limits.max_body_bytes
        ):
            raise _TooLargeError(413)
        if self._headers.get('expect', '').lower() == '100-continue':
            self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Take over a part of the body."""
        self._body += body
        if len(self._body) > self.server.limits.max_body_bytes:
            raise _TooLargeError(413)

    def on_message_complete(self) -> None:
        """Hand the request to the server."""
        self._keep_alive = self._parser.should_keep_alive()
        url = httptools.parse_url(self._url)
        request = Request(
            self._parser.get_method().decode('latin-1'),
            (url.path or b'/').decode('latin-1'),
            (url.query or b'').decode('latin-1'),
            self._headers,
            bytes(self._body),
            trio.current_time(),
        )
        self._reset()
        if self.request is not None:
            self._queued.append(request)
        else:
            self.request = request
            self.server.handle(self, request)

    # Reading and writing

    async def serve(self) -> None:
        """Read requests until the client leaves or the time is over."""
        try:
            while self.is_open:
                data = await self._receive()
                if data is None:
                    if self.request is not None:
                        continue
                    break
                if not data:
                    break
                self._feed(data)
        except (OSError, trio.ClosedResourceError):
            # A reset, or an answer that ended the connection while its
            # reader waited, is an ordinary end.
            pass
        finally:
            self.close()

    async def _receive(self) -> bytes | None:
        """Return the next bytes; ``None`` when the time is over."""
        limits = self.server.limits
        timeout_s = (
            limits.header_timeout_s
            if self._n_header_bytes
            else limits.idle_timeout_s
        )
        with trio.move_on_after(timeout_s):
            return await _sockets.receive(self._socket)
        return None

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            cause = exc.__context__
            status = cause.status if isinstance(cause, _TooLargeError) else 400
            self._reject(status)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400)

    def _reject(self, status: int) -> None:
        self.server.counters['malformed_requests'] += 1
        self._keep_alive = False
        self._write(_encode(status, b'', 'Connection: close\r\n'))
        self.close()

    def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: str = '',
        *,
        close: bool = False,
    ) -> None:
        """Answer the request that waits.

        :param headers: further header lines, each ended by CR LF
        :param close: end the connection afterwards
        """
        if self.request is None:
            return
        self.request = None
        keep = self._keep_alive and not close and not self.server.is_draining
        if not keep:
            headers += 'Connection: close\r\n'
        self._write(_encode(status, body, headers))
        if not keep:
            self.close()
        elif self._queued:
            self.request = self._queued.popleft()
            self.server.handle(self, self.request)

    def _write(self, data: bytes) -> None:
        """Send without waiting.

        Answers are far smaller than a socket's buffer, so that a client
        whose buffer is full has stopped reading.
        """
        if not self.is_open:
            return
        try:
            if self._socket.send(data) == len(data):
                return
        except OSError:
            pass
        self.server.counters['broken_answers'] += 1
        self.close()

    def close(self) -> None:
        """End the connection."""
        if not self.is_open:
            return
        self.is_open = False
        self.server.connections.discard(self)
        trio.lowlevel.notify_closing(self._socket)
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The client has closed it before.
            pass
        self._socket.close()
        if self.request is not None:
            self.request = None
            self.server.on_disconnect(self)


def _encode(status: int, body: bytes, headers: str) -> bytes:
    reason = _REASONS.get(status, 'Unknown')
    head = (
        f'HTTP/1.1 {status} {reason}\r\n'
        f'Content-Type: application/json\r\n{headers}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode('latin-1') + body


class Server:
    """Accepts connections and hands whole requests to a function.

    :param on_request: called with connection and request; it or a later
        call answers with :meth:`Connection.respond`
    :param on_disconnect: called when a client leaves that waits for an
        answer
    :param max_connections: connections served at one time
    """

    def __init__(
        self,
        on_request: typing.Callable[[Connection, Request], None],
        on_disconnect: typing.Callable[[Connection], None] = lambda _: None,
        *,
        limits: Limits = Limits(),
        max_connections: int = 2000,
    ):
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.limits = limits
        self.max_connections = max_connections
        self.is_draining = False
        self.connections: set[Connection] = set()
        self.counters: collections.Counter[str] = collections.Counter()

    def handle(self, connection: Connection, request: Request) -> None:
        """Pass a request on; an error in the handler is answered."""
        try:
            self.on_request(connection, request)
        except Exception:
            eliot.write_traceback()
            connection.respond(500, close=True)

    async def serve(
        self,
        address: str,
        *,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> typing.NoReturn:
        """Listen on ``IP:PORT`` until cancelled."""
        host, _, port = address.rpartition(':')
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
        bound = '%s:%d' % listener.getsockname()
        try:
            async with trio.open_nursery() as nursery:
                task_status.started(bound)
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    await self._accept(listener, nursery)
        finally:
            listener.close()
            for connection in list(self.connections):
                connection.close()

    async def _accept(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                self.counters['failed_accepts'] += 1
                if exc.errno in _OUT_OF_DESCRIPTORS:
                    await trio.sleep(_ACCEPT_PAUSE_S)
                return
            if len(self.connections) >= self.max_connections:
                self.counters['refused_connections'] += 1
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self, sock)
            self.connections.add(connection)
            nursery.start_soon(connection.serve)
