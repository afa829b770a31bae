import collections
import errno
import math
import socket
import typing

import eliot
import httptools
import trio

from orioleloom.http1 import _budget
from orioleloom import memory

_BACKLOG = 1024
# Connections accepted in one turn of the event loop. 1,500 that came at once
# were accepted and read from in a turn of 0.5 s.
_ACCEPTS_PER_TURN = 64
# Bytes of a request that a connection reads as soon as they arrive, which is
# all of an ordinary request. 4 KiB in chunks of one byte take 0.07 ms.
_READ_BYTES = 4_096
# Bytes of one call of recv(). All requests in them, 50 at most, are handled
# before other connections; what follows a complete one waits for its turn.
_PIECE_BYTES = 1_024
# Bytes that a connection with a larger request reads when it is its turn.
_LARGE_READ_BYTES = 16_384
# Bytes that are read after a refusal before the connection is closed, so that
# a client that sends its whole request first can read the response.
_MAX_DISCARDED_BYTES = 524_288
# Bytes of a head that `max_header_bytes` does not count: method, version and
# the white space around values.
_UNCOUNTED_HEAD_BYTES = 1_024
# Framing that is accepted for a byte of the body. A chunk of one byte has 5.
_MAX_FRAMING_PER_BODY_BYTE = 8
# Memory of a connection with an unanswered request: its task, its parser and
# its buffers.
_CONNECTION_BYTES = 4_096
# Memory of a request and of each of its headers beside their bytes. A header
# of 5 bytes takes two strings of 50 bytes and a place in a dict.
_REQUEST_BYTES = 512
_HEADER_BYTES = 256
_RETRY_AFTER_S = 1
# Share of the connections that are closed at a time when all are taken.
_CLOSED_SHARE = 1 / 16
# Pause of accepting while the process has no file descriptor left.
_ACCEPT_PAUSE_S = 0.1
_OUT_OF_DESCRIPTORS_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS)
_FINISH_CHECK_INTERVAL_S = 0.01
# Responses of a connection during a planned stop, if the next request has
# arrived before each. A client that goes on sending would delay the stop.
_MAX_DRAINING_RESPONSES = 16
# How long a connection stays half open after its last response, until the
# client closes it. Closing it with unread bytes would reset it, and the client
# could lose the response.
_LINGER_S = 1.0

_REASON_PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    405: 'Method Not Allowed',
    408: 'Request Timeout',
    410: 'Gone',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}

_CLOSE_AND_RETRY_LATER = (
    f'Connection: close\r\nRetry-After: {_RETRY_AFTER_S}\r\n'
)
# Counters of refusals by status.
_REFUSALS = {
    408: 'late_requests',
    413: 'large_bodies',
    431: 'large_heads',
    503: 'refused_for_memory',
}


class Limits(typing.NamedTuple):
    """Limits of a server.

    :param header_timeout_s: longest time in which a whole head arrives, and
        longest wait for the next bytes of a request that has arrived in part
    :param idle_timeout_s: longest time that a connection may stay open
        without a request; empty lines do not extend it
    :param body_timeout_s: longest time in which a whole body arrives
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0
    # The longest deadline of a caller. 262,144 bytes take 0.22 s at 9.5
    # Mbit/s.
    body_timeout_s: float = 10.0


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


class _Received(typing.NamedTuple):
    """A complete request.

    :param n_bytes: memory that it takes
    """

    request: Request
    keep_alive: bool
    n_bytes: int


class Connection:
    """A client connection; its requests are handled one at a time."""

    def __init__(self, server: 'Server', sock: socket.socket):
        self.server = server
        # The request that is being handled; None when all are answered.
        self.current_request: Request | None = None
        self.is_open = True
        # For the use of the request handler.
        self.context: typing.Any = None
        self.reception = _budget.Reception(self)
        self._socket = sock
        # Requests that wait for the ones before them.
        self._waiting: collections.deque[_Received] = collections.deque()
        self._n_waiting_bytes = 0
        self._n_current_bytes = 0
        self._keep_alive = True
        self._n_draining_responses = 0
        self._is_handling = False
        # Status for what arrived last and is refused.
        self._reject_status: int | None = None
        # The last response was sent; what still arrives is discarded.
        self._is_finished = False
        self._n_discarded_bytes = 0
        self._linger_until_s = math.inf
        self._idle_since_s = trio.current_time()
        self._receive_scope = trio.CancelScope()
        self._is_parsing = False
        # Requests that the last piece has completed.
        self._n_completed = 0
        # Bytes since the last complete request, of whatever kind.
        self._n_raw_bytes = 0
        self._reset_request()
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )

    def _reset_request(self) -> None:
        self._has_begun = False
        self._has_head = False
        self._url = b''
        self._headers: dict[str, str] = {}
        self._n_headers = 0
        self._n_header_bytes = 0
        self._body = bytearray()
        # When the head, and later the body, must have arrived.
        self._deadline_s = math.inf

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_request()
        self._has_begun = True
        now_s = trio.current_time()
        self.reception.started_s = now_s
        self._deadline_s = now_s + self.server.limits.header_timeout_s

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; a trailer is only counted."""
        self._count_header_bytes(len(name) + len(value) + 4)
        if self._has_head:
            return
        self._n_headers += 1
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def _count_header_bytes(self, n_bytes: int) -> None:
        self._n_header_bytes += n_bytes
        if self._n_header_bytes > self.server.limits.max_header_bytes:
            raise _TooLargeError(431)

    def on_headers_complete(self) -> None:
        """Check the declared size and confirm ``Expect: 100-continue``."""
        self._has_head = True
        self._deadline_s = (
            trio.current_time() + self.server.limits.body_timeout_s
        )
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
        n_bytes = (
            _REQUEST_BYTES
            + self._n_header_bytes
            + self._n_headers * _HEADER_BYTES
            + len(request.body)
        )
        self._reset_request()
        # What follows in the bytes being parsed belongs to the next request
        # and is counted with its next bytes.
        self._n_raw_bytes = 0
        self._idle_since_s = request.arrived_s
        self._n_completed += 1
        self._n_waiting_bytes += n_bytes
        self._waiting.append(
            _Received(request, self._parser.should_keep_alive(), n_bytes)
        )

    # Reading and writing

    async def serve(self) -> None:
        """Read requests until the client disconnects or a time-out."""
        try:
            while self.is_open:
                if not await self._wait_readable():
                    if self._handle_timeout():
                        continue
                    break
                if self._is_large():
                    async with self.server.budget.large_reads:
                        can_go_on = self._read(_LARGE_READ_BYTES)
                        await trio.lowlevel.checkpoint()
                else:
                    can_go_on = self._read(_READ_BYTES)
                if not can_go_on:
                    break
        except (OSError, trio.ClosedResourceError):
            # The client reset the connection, or a response closed it
            # while this task was waiting for data. Both are normal.
            pass
        finally:
            self.close()

    def _is_large(self) -> bool:
        """Return whether reading must not keep small requests waiting."""
        return (
            self._n_raw_bytes >= _READ_BYTES
            or self._is_finished
            or self._reject_status is not None
            or self._n_completed > 1
        )

    def _is_receiving(self) -> bool:
        """Return whether a request has arrived in part."""
        return self._has_begun and self._reject_status is None

    async def _wait_readable(self) -> bool:
        """Wait for bytes; return false after a time-out."""
        limits = self.server.limits
        if self._is_receiving():
            until_s = min(
                self.reception.progress_s + limits.header_timeout_s,
                self._deadline_s,
            )
        else:
            until_s = self._idle_since_s + limits.idle_timeout_s
        until_s = min(until_s, self._linger_until_s)
        with trio.move_on_at(until_s) as self._receive_scope:
            await trio.lowlevel.wait_readable(self._socket)
            # Until they are read, the client has not stalled.
            self.reception.progress_s = math.inf
            return True
        return False

    def _handle_timeout(self) -> bool:
        """Return whether the connection stays open."""
        if self._is_finished:
            return False
        if self._is_receiving():
            self.server.counters[
                'late_bodies' if self._has_head else 'late_heads'
            ] += 1
        if self.current_request is None:
            return False
        if self._is_receiving():
            self._refuse_rest(408)
        self._idle_since_s = trio.current_time()
        return True

    def _read(self, max_bytes: int) -> bool:
        """Read and handle bytes; return false at the end of the stream.

        Nothing is read after a complete request.
        """
        self._n_completed = 0
        for _ in range(0, max_bytes, _PIECE_BYTES):
            if not self.is_open:
                return False
            try:
                data = self._socket.recv(_PIECE_BYTES)
            except BlockingIOError:
                self.reception.progress_s = trio.current_time()
                break
            if not data:
                return False
            self._parse(data)
            self._handle_waiting()
            if self._n_completed or len(data) < _PIECE_BYTES:
                break
        return True

    def _parse(self, data: bytes) -> None:
        """Queue the requests that the data completes."""
        now_s = trio.current_time()
        self.reception.progress_s = now_s
        limits = self.server.limits
        if self._n_waiting_bytes > (
            limits.max_header_bytes + limits.max_body_bytes
        ):
            # The client sends without waiting for responses.
            self._refuse_rest(503)
        if self._is_finished or self._reject_status is not None:
            self._n_discarded_bytes += len(data)
            if self._n_discarded_bytes > _MAX_DISCARDED_BYTES:
                self.close()
            return
        if not self._n_raw_bytes:
            self.reception.started_s = now_s
        self._n_raw_bytes += len(data)
        self._is_parsing = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            cause = exc.__context__
            self._refuse_rest(
                cause.status if isinstance(cause, _TooLargeError) else 400
            )
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse_rest(400)
        finally:
            self._is_parsing = False
        if not self.is_open:
            self._release()
            return
        self._check_framing()
        if self._reject_status is not None:
            # It may hold a part of a header.
            self._parser = None
        self._update_budget()
        if self.server.budget.is_short():
            self._free_memory()

    def _check_framing(self) -> None:
        """Refuse what is too large and not seen by the parser's callbacks.

        The parser reports a header once it is complete, and neither empty
        lines before a request nor the extensions of chunks.
        """
        max_header_bytes = self.server.limits.max_header_bytes
        n_framing_bytes = self._n_raw_bytes - len(self._body)
        if not self._has_head:
            if n_framing_bytes > max_header_bytes + _UNCOUNTED_HEAD_BYTES:
                self._refuse_rest(431 if self._has_begun else 400)
        elif n_framing_bytes > (
            2 * max_header_bytes
            + _UNCOUNTED_HEAD_BYTES
            + _MAX_FRAMING_PER_BODY_BYTE * len(self._body)
        ):
            self._refuse_rest(413)

    def _refuse_rest(self, status: int) -> None:
        """Refuse what has not arrived completely, and all that follows."""
        if self._reject_status is None:
            self._reject_status = status
        self._reset_request()
        self._n_raw_bytes = 0

    # Memory

    def hold_handled(self, n_bytes: int) -> bool:
        """Replace the body of the request being handled by what it became.

        The body is dropped, so that the handler must have read it.

        :param n_bytes: memory of the result, which counts until the response
        :returns: false if there is no room; the request is to be refused
        """
        has_room = self.has_room(n_bytes)
        if has_room:
            self._n_current_bytes = n_bytes
        self.current_request = self.current_request._replace(body=b'')
        self._update_budget()
        return has_room

    def has_room(self, n_bytes: int) -> bool:
        """Return whether the request being handled may hold this much.

        Slow requests are closed if the room is needed.
        """
        budget = self.server.budget
        added_bytes = max(0, n_bytes - self._n_current_bytes)
        if budget.has_room(added_bytes):
            return True
        self.server.close_slowest(
            memory.needed_bytes(added_bytes, budget.limit_bytes)
        )
        return budget.has_room(added_bytes)

    def _update_budget(self) -> None:
        """Set what this connection holds of the process's budget."""
        reception = self.reception
        n_bytes = self._n_waiting_bytes + self._n_current_bytes
        has_partial = self._has_begun or self._n_raw_bytes > 0
        reception.is_partial = has_partial and not n_bytes
        if has_partial:
            # A bytearray allocates an eighth more than it has. Framing is
            # work rather than memory and counts all the same.
            n_bytes += (
                self._n_raw_bytes
                + len(self._body) // 8
                + self._n_headers * _HEADER_BYTES
            )
        reception.n_received_bytes = self._n_raw_bytes
        self.server.budget.hold(
            reception, n_bytes + _CONNECTION_BYTES if n_bytes else 0
        )

    def _free_memory(self) -> None:
        """Close the slowest connections, or refuse what arrived here."""
        self.server.close_slowest()
        if self.is_open and self.server.budget.is_short():
            # Requests that are being handled hold the rest.
            self._waiting.clear()
            self._n_waiting_bytes = 0
            self._refuse_rest(503)
            self._update_budget()

    def refuse_slow(self, counter: str) -> None:
        """Close the connection because of a request that arrives slowly."""
        self.server.counters[counter] += 1
        if self._has_begun:
            self._write(_encode_response(503, b'', _CLOSE_AND_RETRY_LATER))
        self.close()

    def _release(self) -> None:
        """Free the memory, although others may still refer to this."""
        self._reset_request()
        self._n_raw_bytes = 0
        self._waiting.clear()
        self._n_waiting_bytes = 0
        self._n_current_bytes = 0
        if not self._is_parsing:
            # It refers to this connection; without a cycle both are freed at
            # once instead of in the next garbage collection.
            self._parser = None
        self._update_budget()

    def _parse_available(self) -> None:
        """Queue the requests that have arrived, without waiting."""
        try:
            self._parse(self._socket.recv(_PIECE_BYTES))
        except OSError:
            # Nothing has arrived, or the connection is broken, which the
            # serving task notices.
            pass

    def _has_unanswered(self) -> bool:
        """Return whether a request has arrived, also in part."""
        return bool(
            self.current_request is not None
            or self._waiting
            or self._has_begun
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
            received = self._waiting.popleft()
            self.current_request, self._keep_alive, n_bytes = received
            self._n_waiting_bytes -= n_bytes
            self._n_current_bytes = n_bytes
            self.server.handle(self, self.current_request)
        self._is_handling = False
        if self.is_open:
            self._update_budget()

    def _reject(self, status: int) -> None:
        self.server.counters[_REFUSALS.get(status, 'malformed_requests')] += 1
        headers = (
            _CLOSE_AND_RETRY_LATER
            if status == 503
            else 'Connection: close\r\n'
        )
        self._write(_encode_response(status, b'', headers))
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
        self._n_current_bytes = 0
        self._idle_since_s = trio.current_time()
        keep_open = self._keep_alive and not close
        if keep_open and self.server.is_draining:
            # Requests that have arrived behind this one are answered, too.
            self._n_draining_responses += 1
            if not self._waiting:
                self._parse_available()
            keep_open = (
                self._n_draining_responses < _MAX_DRAINING_RESPONSES
                and self._has_unanswered()
            )
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
        self._release()
        self.reception.owner = None
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
    :param max_connections: maximum number of open connections; for a
        further one, those are closed whose requests arrive slowly, or it is
        closed at once
    :param budget: bytes in reception; servers of one process share it
    :param receive_buffer_bytes: receive buffer of a connection, of which the
        kernel allocates twice as much; its default if not given
    """

    def __init__(
        self,
        on_request: typing.Callable[[Connection, Request], None],
        on_disconnect: typing.Callable[[Connection], None] = lambda _: None,
        *,
        limits: Limits = Limits(),
        max_connections: int = 2000,
        budget: _budget.Budget | None = None,
        receive_buffer_bytes: int | None = None,
    ):
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.limits = limits
        self.max_connections = max_connections
        self.budget = budget or _budget.Budget()
        self.receive_buffer_bytes = receive_buffer_bytes
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
        if self.receive_buffer_bytes is not None:
            # Accepted connections inherit it with their first window.
            listener.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                self.receive_buffer_bytes,
            )
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
        if not self._accept_waiting(listener, nursery, _ACCEPTS_PER_TURN):
            await trio.sleep(_ACCEPT_PAUSE_S)

    def _accept_waiting(
        self,
        listener: socket.socket,
        nursery: trio.Nursery,
        max_accepts: float = math.inf,
    ) -> bool:
        """Accept the connections that wait for it.

        :param max_accepts: accept no more than these
        :returns: false if the process has no file descriptor left
        """
        n_accepts = 0
        while listener in self._listeners and n_accepts < max_accepts:
            n_accepts += 1
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                break
            except OSError as exc:
                self.counters['failed_accepts'] += 1
                return exc.errno not in _OUT_OF_DESCRIPTORS_ERRNOS
            if len(self.connections) >= self.max_connections:
                self._close_slow_connections()
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

    def close_slowest(self, needed_bytes: float = 0.0) -> None:
        """Close the slowest connections of the process to free memory.

        :param needed_bytes: room that is needed for something else
        """
        for reception in self.budget.select_slowest(
            trio.current_time(), needed_bytes
        ):
            reception.owner.refuse_slow('closed_for_memory')

    def _close_slow_connections(self) -> None:
        """Close connections whose requests arrive slowly."""
        for reception in self.budget.select_late(
            (connection.reception for connection in self.connections),
            math.ceil(self.max_connections * _CLOSED_SHARE),
            trio.current_time(),
        ):
            reception.owner.refuse_slow('closed_for_connections')
