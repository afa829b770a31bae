import collections.abc
import contextlib
import select
import typing
import urllib.parse

import h11
import trio

from orioleloom.worker_api import _transport

_MAX_READ_BYTES = 65536


class _Connection:
    def __init__(self, stream: trio.SocketStream, host: str):
        self.stream = stream
        self.host = host
        self.http = h11.Connection(h11.CLIENT)
        self._poll = select.poll()
        self._poll.register(stream.socket.fileno(), select.POLLIN)

    def is_usable(self) -> bool:
        # If an idle connection is readable, the worker has closed it or
        # sent unexpected bytes.
        return not self._poll.poll(0)

    def close(self) -> None:
        # Does not await anything, so that it also works in a cancelled
        # scope.
        self.stream.socket.close()

    async def next_event(self) -> typing.Any:
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.http.receive_data(
                await self.stream.receive_some(_MAX_READ_BYTES)
            )

    async def receive(self) -> bytes:
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise _transport.ExchangeBrokenError('response body ended early')


class H11Transport:
    """Default transport, based on h11 and trio.

    It is the default because httpx takes two to three times as much
    processor time per exchange. ``benchmarks.worker_client`` measured
    for httpx and h11 1.06 ms and 0.34 ms with one task, and with eight
    tasks 1.08 ms and 0.51 ms when all result lines arrive together,
    2.09 ms and 1.17 ms when each line arrives on its own.

    :param connect_timeout_s: time allowed to connect, in seconds
    :param max_idle: maximum number of idle connections to all workers;
        those to the least recently used worker are closed first
    """

    def __init__(
        self, *, connect_timeout_s: float = 1.0, max_idle: int = 1024
    ):
        self.connect_timeout_s = connect_timeout_s
        self.max_idle = max_idle
        # Idle connections by base URL, the least recently used worker
        # first; no list is empty.
        self._idle: dict[str, list[_Connection]] = {}
        self._n_idle = 0
        self._addresses: dict[str, tuple[str, int]] = {}

    def _take_idle(self, base_url: str) -> _Connection | None:
        idle = self._idle.pop(base_url, None)
        if not idle:
            return None
        connection = idle.pop()
        self._n_idle -= 1
        if idle:
            self._idle[base_url] = idle
        return connection

    def _keep_idle(self, base_url: str, connection: _Connection) -> None:
        idle = self._idle.pop(base_url, [])
        idle.append(connection)
        self._idle[base_url] = idle
        self._n_idle += 1
        if self._n_idle > self.max_idle:
            oldest = self._take_idle(next(iter(self._idle)))
            if oldest is not None:
                oldest.close()

    async def _get_connection(self, base_url: str) -> _Connection:
        while (connection := self._take_idle(base_url)) is not None:
            if connection.is_usable():
                return connection
            connection.close()
        address = self._addresses.get(base_url)
        if address is None:
            parts = urllib.parse.urlsplit(base_url)
            if parts.scheme != 'http' or parts.hostname is None:
                raise _transport.NotSentError(
                    f'worker address {base_url!r} is not http://HOST:PORT'
                )
            address = (parts.hostname, parts.port or 80)
            self._addresses[base_url] = address
        try:
            with trio.fail_after(self.connect_timeout_s):
                stream = await trio.open_tcp_stream(*address)
        except (OSError, trio.TooSlowError) as exc:
            raise _transport.NotSentError(f'cannot connect: {exc}') from exc
        return _Connection(stream, '%s:%d' % address)

    @contextlib.asynccontextmanager
    async def post(
        self,
        base_url: str,
        path: str,
        body: bytes,
        on_sending: collections.abc.Callable[[], None],
    ) -> collections.abc.AsyncIterator[_transport.Response]:
        """POST a JSON body; see :class:`_transport.Transport`."""
        connection = await self._get_connection(base_url)
        http = connection.http
        reusable = False
        try:
            request = h11.Request(
                method='POST',
                target=path,
                headers=[
                    ('host', connection.host),
                    ('content-type', 'application/json'),
                    ('content-length', str(len(body))),
                ],
            )
            on_sending()
            await connection.stream.send_all(
                http.send(request)
                + http.send(h11.Data(data=body))
                + http.send(h11.EndOfMessage())
            )
            head = await connection.next_event()
            while isinstance(head, h11.InformationalResponse):
                head = await connection.next_event()
            if not isinstance(head, h11.Response):
                raise _transport.ExchangeBrokenError(
                    'connection closed before a response'
                )
            yield _transport.Response(head.status_code, connection.receive)
            if http.our_state is h11.DONE and http.their_state is h11.DONE:
                http.start_next_cycle()
                reusable = True
        except (
            h11.ProtocolError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as exc:
            raise _transport.ExchangeBrokenError(
                f'{type(exc).__name__}: {exc}'
            ) from exc
        finally:
            if reusable:
                self._keep_idle(base_url, connection)
            else:
                connection.close()

    async def close_connections(self, base_url: str) -> None:
        """Close the connections to a worker that left the member list."""
        self._addresses.pop(base_url, None)
        while (connection := self._take_idle(base_url)) is not None:
            connection.close()

    async def close(self) -> None:
        """Close all connections."""
        for base_url in list(self._idle):
            await self.close_connections(base_url)
