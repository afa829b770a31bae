import enum
import socket
import struct
import typing

import trio

_READ_BYTES = 65536


class Mode(enum.StrEnum):
    """Fault that a proxy applies to its connections."""

    PASS = 'pass'
    # Each chunk is forwarded after a delay.
    DELAY = 'delay'
    # Data from the server is dropped.
    ONE_WAY = 'one_way'
    # All data is dropped, and connections stay open.
    SILENT = 'silent'


class Proxy:
    """TCP proxy that injects faults.

    :param target: ``IP:PORT`` of the server
    """

    def __init__(self, target: str):
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.3
        self._streams: set[trio.SocketStream] = set()

    async def serve(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> typing.NoReturn:
        """Listen on a free loopback port until cancelled."""
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        task_status.started('%s:%d' % listener.socket.getsockname())
        await trio.serve_listeners(self._forward, [listener])

    def reset_all(self) -> None:
        """Reset every open connection."""
        for stream in list(self._streams):
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            stream.socket.close()

    async def _forward(self, client: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await client.aclose()
            return
        self._streams |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, server, False, nursery)
                nursery.start_soon(self._copy, server, client, True, nursery)
        finally:
            self._streams -= {client, server}
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(client)
                await trio.aclose_forcefully(server)

    async def _copy(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        is_answer: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(_READ_BYTES):
                if self.mode is Mode.SILENT or (
                    self.mode is Mode.ONE_WAY and is_answer
                ):
                    continue
                if self.mode is Mode.DELAY:
                    await trio.sleep(self.delay_s)
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # Closing one direction ends both.
            pass
        nursery.cancel_scope.cancel()
