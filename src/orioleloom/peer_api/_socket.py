import collections.abc
import dataclasses
import ipaddress
import re

import trio
import zmq

from orioleloom import codec
from orioleloom import errors

# Messages queued for one peer; more are dropped, since every request
# between peers has a time-out and none may hold up the loop.
_HIGH_WATER_MARK_MESSAGES = 1_000

# Frames handled before other tasks get a turn.
_FRAMES_PER_TURN = 64

_ADDRESS = re.compile(r'tcp://(\[[0-9A-Fa-f:.]+\]|[0-9.]+):(\d{1,5})')


def check_peer_address(address: str) -> str:
    """Check a peer address and return it.

    Names are refused: a lookup would block and needs a resolver (R18).

    :raises DispatchError: ``bad_field``
    """
    found = _ADDRESS.fullmatch(address)
    try:
        if found is None:
            raise ValueError
        ipaddress.ip_address(found[1].strip('[]'))
        if int(found[2]) > 65_535:
            raise ValueError
    except ValueError:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_FIELD,
            f'peer address is {address[:80]!r}; accepted is '
            "'tcp://IP:PORT' with an IP number",
        ) from None
    return address


@dataclasses.dataclass(slots=True)
class PeerCounters:
    """Messages and bytes of a :class:`PeerSocket` since its start."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    malformed_messages: int = 0


class PeerSocket:
    """Sends frames to peers and receives theirs.

    A ROUTER receives from all peers and one DEALER per peer sends.
    Replies go to the listed address of a peer and not back over the
    ROUTER, so that a message reaches the process that the platform
    lists; the frame itself names its sender.

    :param bind_address: ``tcp://IP:PORT`` to listen on; port 0 picks a
        free one
    :param identity: ``<instance>/<incarnation>`` of this process
    :param high_water_mark: messages queued for one peer
    :raises DispatchError: ``bad_field`` for an address without IP number
    :raises zmq.ZMQError: when the address cannot be bound
    """

    def __init__(
        self,
        bind_address: str,
        identity: str,
        *,
        high_water_mark: int = _HIGH_WATER_MARK_MESSAGES,
    ):
        self.bind_address = check_peer_address(bind_address)
        self.identity = identity
        self.high_water_mark = high_water_mark
        self.counters = PeerCounters()
        self._context = zmq.Context(io_threads=1)
        self._dealers: dict[str, zmq.Socket] = {}
        self._router = self._new_socket(zmq.ROUTER, bind_address)
        if bind_address.endswith(':0'):
            bind_address = bind_address.removesuffix('0') + '*'
        self._router.bind(bind_address)
        self.address = self._router.getsockopt_string(zmq.LAST_ENDPOINT)

    def _new_socket(self, kind: int, address: str) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.ipv6 = '[' in address
        socket.linger = 0
        socket.sndhwm = self.high_water_mark
        socket.rcvhwm = self.high_water_mark
        socket.setsockopt(zmq.MAXMSGSIZE, codec.MAX_PEER_MESSAGE_BYTES)
        # Reconnects back off, so that peers of a dead instance do not
        # try it ten times a second until the platform drops it.
        socket.setsockopt(zmq.RECONNECT_IVL, 100)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 5_000)
        return socket

    def send(self, peer_address: str, frame: bytes) -> bool:
        """Queue a frame for a peer without blocking.

        :param peer_address: ``tcp://IP:PORT`` that the platform lists
        :param frame: an encoded peer message
        :returns: whether it was queued; false when the queue is full
        :raises DispatchError: ``bad_field`` for a malformed address
        """
        dealer = self._dealers.get(peer_address)
        if dealer is None:
            check_peer_address(peer_address)
            dealer = self._new_socket(zmq.DEALER, peer_address)
            dealer.connect(peer_address)
            self._dealers[peer_address] = dealer
        try:
            dealer.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self.counters.dropped_messages += 1
            return False
        self.counters.sent_messages += 1
        self.counters.sent_bytes += len(frame)
        return True

    def keep_only(self, addresses: collections.abc.Container[str]) -> None:
        """Close the sockets of all peers but the given ones."""
        for address in [*self._dealers]:
            if address not in addresses:
                self._dealers.pop(address).close()

    def disconnect(self, address: str) -> None:
        """Close the socket to a peer; the next message opens a new one."""
        dealer = self._dealers.pop(address, None)
        if dealer is not None:
            dealer.close()

    def peers(self) -> list[str]:
        """Return the addresses to which a socket is open."""
        return [*self._dealers]

    async def receive(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the frames of all peers as they arrive."""
        file_descriptor = self._router.fileno()
        n_turn = 0
        while True:
            try:
                parts = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                # The descriptor signals only changes, so it is waited
                # for only when EVENTS says that nothing is left.
                if not self._router.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                    n_turn = 0
                    await trio.lowlevel.wait_readable(file_descriptor)
                continue
            n_turn += 1
            if n_turn >= _FRAMES_PER_TURN:
                n_turn = 0
                await trio.lowlevel.checkpoint()
            self.counters.received_messages += 1
            self.counters.received_bytes += sum(map(len, parts))
            if len(parts) != 2:
                self.counters.malformed_messages += 1
                continue
            yield parts[1]

    def close(self) -> None:
        """Close all sockets; queued frames are dropped."""
        self.keep_only(())
        self._router.close()
        self._context.term()
