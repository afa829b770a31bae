import collections.abc
import dataclasses
import ipaddress
import re

import trio
import zmq

from orioleloom import codec
from orioleloom import errors

# Maximum number of messages queued for one peer. Further messages are
# dropped, because sending must not block the event loop; the sender of a
# dropped request runs into its time-out.
_HIGH_WATER_MARK_MESSAGES = 1_000

# Frames received without waiting before other trio tasks may run.
FRAMES_PER_CHECKPOINT = 64

_ADDRESS = re.compile(r'tcp://(\[[0-9A-Fa-f:.]+\]|[0-9.]+):([0-9]{1,5})')


def check_peer_address(address: str) -> str:
    """Check a peer address and return it.

    Host names are refused, because a lookup would block and need a resolver
    (R18).

    :raises DispatchError: ``bad_field``
    """
    address_match = _ADDRESS.fullmatch(address)
    try:
        if address_match is None:
            raise ValueError
        ipaddress.ip_address(address_match[1].strip('[]'))
        if int(address_match[2]) > 65_535:
            raise ValueError
    except ValueError:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_FIELD,
            f'peer address is {address[:80]!r}; accepted is '
            "'tcp://IP:PORT' with an IP address",
        ) from None
    return address


@dataclasses.dataclass(slots=True)
class PeerCounters:
    """Message and byte counts of a :class:`PeerSocket` since its start."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    malformed_messages: int = 0


class PeerSocket:
    """Sends frames to peers and receives frames from them.

    One ROUTER socket receives from all peers; one DEALER socket per peer
    sends. A reply is sent to the peer's address in the member list and
    not back through the ROUTER socket, so that it reaches the process
    that the platform lists. The frame itself contains its sender.

    :param bind_address: ``tcp://IP:PORT`` to listen on; port 0 selects a
        free port
    :param identity: ``<instance>/<incarnation>`` of this process
    :param high_water_mark: maximum number of messages queued for one
        peer
    :param max_message_bytes: maximum size of a message. A longer one is not
        sent, and a peer that sends one is disconnected
    :raises DispatchError: ``bad_field`` for an address without an IP
        address
    :raises zmq.ZMQError: when the address cannot be bound
    """

    def __init__(
        self,
        bind_address: str,
        identity: str,
        *,
        high_water_mark: int = _HIGH_WATER_MARK_MESSAGES,
        max_message_bytes: int = codec.MAX_PEER_MESSAGE_BYTES,
    ):
        self.bind_address = check_peer_address(bind_address)
        self.identity = identity
        self.high_water_mark = high_water_mark
        self.max_message_bytes = max_message_bytes
        self.counters = PeerCounters()
        self._context = zmq.Context(io_threads=1)
        self._dealers: dict[str, zmq.Socket] = {}
        self._router = self._new_socket(zmq.ROUTER, bind_address)
        if bind_address.endswith(':0'):
            bind_address = bind_address.removesuffix('0') + '*'
        self._router.bind(bind_address)
        self.address = self._router.getsockopt_string(zmq.LAST_ENDPOINT)

    def _new_socket(self, socket_type: int, address: str) -> zmq.Socket:
        socket = self._context.socket(socket_type)
        socket.ipv6 = '[' in address
        socket.linger = 0
        socket.sndhwm = self.high_water_mark
        socket.rcvhwm = self.high_water_mark
        socket.setsockopt(zmq.MAXMSGSIZE, self.max_message_bytes)
        # Back off from 100 ms to 5 s. Otherwise all peers would try to
        # reach a dead instance ten times a second until the platform
        # removes it from the member list.
        socket.setsockopt(zmq.RECONNECT_IVL, 100)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 5_000)
        return socket

    def send(self, peer_address: str, frame: bytes) -> bool:
        """Queue a frame for a peer without blocking.

        :param peer_address: ``tcp://IP:PORT`` from the member list
        :param frame: an encoded peer message
        :returns: whether the frame was queued; false when the queue is
            full or the frame is too long
        :raises DispatchError: ``bad_field`` for a malformed address
        """
        if len(frame) > self.max_message_bytes:
            # The peer would drop the connection, and what is queued with it.
            self.counters.dropped_messages += 1
            return False
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

    def close_all_except(
        self, addresses: collections.abc.Container[str]
    ) -> None:
        """Close the sockets to all peers except the given addresses."""
        for address in [*self._dealers]:
            if address not in addresses:
                self._dealers.pop(address).close()

    def disconnect(self, address: str) -> None:
        """Close the socket to a peer; the next send opens a new one."""
        dealer = self._dealers.pop(address, None)
        if dealer is not None:
            dealer.close()

    def connected_addresses(self) -> list[str]:
        """Return the addresses of the peers with an open socket."""
        return [*self._dealers]

    async def receive(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the frames of all peers as they arrive."""
        file_descriptor = self._router.fileno()
        n_frames = 0
        while True:
            try:
                parts = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                # The descriptor is edge-triggered, so wait for it only
                # when EVENTS shows that no message is left.
                if not self._router.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                    n_frames = 0
                    await trio.lowlevel.wait_readable(file_descriptor)
                continue
            n_frames += 1
            if n_frames >= FRAMES_PER_CHECKPOINT:
                n_frames = 0
                await trio.lowlevel.checkpoint()
            self.counters.received_messages += 1
            self.counters.received_bytes += sum(map(len, parts))
            if len(parts) != 2:
                self.counters.malformed_messages += 1
                continue
            yield parts[1]

    def close(self) -> None:
        """Close all sockets and drop the queued frames."""
        self.close_all_except(())
        self._router.close()
        self._context.term()
