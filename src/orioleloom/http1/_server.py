import collections
import errno
import math
import socket
import typing

import eliot
import httptools
import trio

from orioleloom.http1 import _sockets

_BACKLOG = 1024
# Pause of accepting while the process has no file descriptor left.
_ACCEPT_PAUSE_S = 0.1
_OUT_OF_DESCRIPTORS_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS)
_FINISH_CHECK_INTERVAL_S = 0.01
# How long a connection stays half open after its last response, until the
# client closes it. Closing it with unread bytes would reset it, and the client
# could lose the response.
_LINGER_S = 1.0

_REASON_PHRASES = {
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

    :param header_timeout_s: longest wait for the next bytes of a request
        that has arrived in part
    :param idle_timeout_s: longest time that a connection may stay open
        without a request
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class Request(typing.NamedTuple):
    """A completely received request.

    :param path: request target without the query
    :param headers: header values by lower-case name
    :param arrived_s: time on trio's clock at which the last byte was
        read
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
    """A client connection; its requests are handled one at a time."""

    def __init__(self, server: 'Server', sock: socket.socket):
        self.server = server
        # The request that is being handled; None when all are answered.
        self.current_request: Request | None = None
        self.is_open = True
        # For the use of the request handler.
        self.context: typing.Any = None
        self._socket = sock
        # Requests that wait for the ones before them, and whether the client
        # keeps the connection open after each.
        self._waiting: collections.deque[tuple[Request, bool]] = (
            collections.deque()
        )
        self._keep_alive = True
        self._is_handling = False
        # Status for what arrived last and cannot be parsed.
        self._reject_status: int | None = None
        # The last response was sent; what still arrives is discarded.
        self._is_finished = False
        self._linger_until_s = math.inf
        self._receive_scope = trio.CancelScope()
        self._reset_request()
        self._parser = httptools.HttpRequestParser(self)

    def _reset_request(self) -> None:
        self._url = b''
        self._headers: dict[str, str] = {}
        self._n_header_bytes = 0
        self._body = bytearray()

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._count_header_bytes(len(name) + len(value) + 4)
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def _count_header_bytes(self, n_bytes: int) -> None:
        self._n_header_bytes += n_bytes
        if self._n_header_bytes > self.server.limits.max_header_bytes:
            raise _TooLargeError(431)

    def on_headers_complete(self) -> None:
        """Check the declared size and confirm ``Expect: 100-continue``."""
        length = self._headers.get('content-length', '')
        if length.isdigit() and (
            int(length) > self.server.limits.max_body_bytes
        ):
            raise _TooLargeError(413)
        if self._headers.get('expect', '').lower() == '100-continue':
            self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body += body
        if len(self._body) > self.server.limits.max_body_bytes:
            raise _TooLargeError(413)

    def on_message_complete(self) -> None:
        """Queue the request, which has arrived completely."""
        url = httptools.parse_url(self._url)
        request = Request(
            self._parser.get_method().decode('latin-1'),
            (url.path or b'/').decode('latin-1'),
            (url.query or b'').decode('latin-1'),
            self._headers,
            bytes(self._body),
            trio.current_time(),
        )
        self._reset_request()
        self._waiting.append((request, self._parser.should_keep_alive()))

    # Reading and writing

    async def serve(self) -> None:
        """Read requests until the client disconnects or a time-out."""
        try:
            while self.is_open:
                data = await self._receive()
                if data is None:
                    if self.current_request is not None:
                        continue
                    break
                if not data:
                    break
                self._parse(data)
                self._handle_waiting()
        except (OSError, trio.ClosedResourceError):
            # The client reset the connection, or a response closed it
            # while this task was waiting for data. Both are normal.
            pass
        finally:
            self.close()

    async def _receive(self) -> bytes | None:
        """Return the next bytes, or ``None`` after a time-out."""
        limits = self.server.limits
        timeout_s = (
            limits.header_timeout_s
            if self._n_header_bytes
            else limits.idle_timeout_s
        )
        until_s = min(trio.current_time() + timeout_s, self._linger_until_s)
        with trio.move_on_at(until_s) as self._receive_scope:
            return await _sockets.receive(self._socket)
        return None

    def _parse(self, data: bytes) -> None:
        """Queue the requests that the data completes."""
        if self._is_finished or self._reject_status is not None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            cause = exc.__context__
            self._reject_status = (
                cause.status if isinstance(cause, _TooLargeError) else 400
            )
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject_status = 400

    def _parse_available(self) -> None:
        """Queue the requests that have arrived, without waiting."""
        try:
            self._parse(self._socket.recv(_sockets.MAX_READ_BYTES))
        except OSError:
            # Nothing has arrived, or the connection is broken, which the
            # serving task notices.
            pass

    def _has_unanswered(self) -> bool:
        """Return whether a request has arrived, also in part."""
        return bool(
            self.current_request is not None
            or self._waiting
            or self._n_header_bytes
            or self._reject_status is not None
        )

    def _handle_waiting(self) -> None:
        """Handle queued requests until one is not answered at once."""
        if self._is_handling:
            # The response came from the handler that the loop below calls.
            return
        self._is_handling = True
        while (
            self.is_open
            and not self._is_finished
            and self.current_request is None
        ):
            if not self._waiting:
                if self._reject_status is not None:
                    self._reject(self._reject_status)
                break
            self.current_request, self._keep_alive = self._waiting.popleft()
            self.server.handle(self, self.current_request)
        self._is_handling = False

    def _reject(self, status: int) -> None:
        self.server.counters['malformed_requests'] += 1
        self._write(_encode_response(status, b'', 'Connection: close\r\n'))
        self._finish()

    def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: str = '',
        *,
        close: bool = False,
    ) -> None:
        """Send the response to the current request.

        Does nothing if there is none, for example because the client has
        disconnected.

        :param headers: further header lines, each terminated by CR LF
        :param close: close the connection afterwards
        """
        if self.current_request is None:
            return
        self.current_request = None
        keep_open = self._keep_alive and not close
        if keep_open and self.server.is_draining:
            # Requests that have arrived behind this one are answered, too.
            self._parse_available()
            keep_open = self._has_unanswered()
        if not keep_open:
            headers += 'Connection: close\r\n'
        self._write(_encode_response(status, body, headers))
        if not keep_open:
            self._finish()
        self._handle_waiting()

    def _write(self, data: bytes) -> None:
        """Send without blocking; close the connection if that fails.

        Responses are far smaller than the send buffer of a socket, so a
        full buffer means that the client has stopped reading.
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

    def _finish(self) -> None:
        """Send nothing more, and close once the client has done so."""
        if not self.is_open or self._is_finished:
            return
        self._is_finished = True
        self._linger_until_s = trio.current_time() + _LINGER_S
        self._receive_scope.deadline = self._linger_until_s
        self._shut_down_sending()

    def finish_if_idle(self) -> None:
        """Finish the connection, unless a request has arrived on it."""
        self._parse_available()
        if not self._has_unanswered():
            self._finish()
        self._handle_waiting()

    def _shut_down_sending(self) -> None:
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The client has already closed the connection.
            pass

    def close(self) -> None:
        """Close the connection."""
        if not self.is_open:
            return
        self.is_open = False
        self.server.connections.discard(self)
        trio.lowlevel.notify_closing(self._socket)
        if not self._is_finished:
            self._shut_down_sending()
        self._socket.close()
        if self.current_request is not None:
            self.current_request = None
            self.server.on_disconnect(self)


def _encode_response(status: int, body: bytes, headers: str) -> bytes:
    reason = _REASON_PHRASES.get(status, 'Unknown')
    head = (
        f'HTTP/1.1 {status} {reason}\r\n'
        f'Content-Type: application/json\r\n{headers}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode('latin-1') + body


class Server:
    """HTTP/1.1 server that passes complete requests to a handler.

    :param on_request: handler, called with connection and request; it
        or later code sends the response with :meth:`Connection.respond`
    :param on_disconnect: called when a connection is closed before the
        response to its current request was sent
    :param limits: sizes and time-outs of a connection
    :param max_connections: maximum number of open connections; further
        ones are closed at once
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
        # The nursery of the connections that each one accepts.
        self._listeners: dict[socket.socket, trio.Nursery] = {}
        self.counters: collections.Counter[str] = collections.Counter()

    def handle(self, connection: Connection, request: Request) -> None:
        """Call the handler; respond with status 500 if it raises."""
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
    ) -> None:
        """Listen on ``IP:PORT`` until :meth:`finish`, or until cancelled.

        Starts its task status with the bound address.
        """
        host, _, port = address.rpartition(':')
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
        bound = '%s:%d' % listener.getsockname()
        try:
            async with trio.open_nursery() as nursery:
                self._listeners[listener] = nursery
                task_status.started(bound)
                while listener in self._listeners:
                    await self._wait_for_clients(listener)
                    await self._accept(listener, nursery)
        finally:
            self._stop_listening(listener)
            for connection in list(self.connections):
                connection.close()

    async def _wait_for_clients(self, listener: socket.socket) -> None:
        try:
            await trio.lowlevel.wait_readable(listener)
        except trio.ClosedResourceError:
            # The server has stopped listening.
            pass

    def _stop_listening(self, listener: socket.socket) -> None:
        if self._listeners.pop(listener, None) is not None:
            trio.lowlevel.notify_closing(listener)
            listener.close()

    def finish(self) -> None:
        """Stop listening, and close the connections without a request.

        Requests that have arrived are handled, and their connections close
        after the responses.
        """
        self.is_draining = True
        for listener, nursery in list(self._listeners.items()):
            self._accept_waiting(listener, nursery)
            self._stop_listening(listener)
        for connection in list(self.connections):
            connection.finish_if_idle()

    async def wait_finished(self, timeout_s: float) -> None:
        """Wait until the clients have closed their connections."""
        with trio.move_on_after(timeout_s):
            while self.connections:
                await trio.sleep(_FINISH_CHECK_INTERVAL_S)

    async def _accept(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        if not self._accept_waiting(listener, nursery):
            await trio.sleep(_ACCEPT_PAUSE_S)

    def _accept_waiting(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> bool:
        """Accept the connections that wait for it.

        :returns: false if the process has no file descriptor left
        """
        while listener in self._listeners:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                break
            except OSError as exc:
                self.counters['failed_accepts'] += 1
                return exc.errno not in _OUT_OF_DESCRIPTORS_ERRNOS
            if len(self.connections) >= self.max_connections:
                self.counters['refused_connections'] += 1
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self, sock)
            self.connections.add(connection)
            nursery.start_soon(connection.serve)
        return True
