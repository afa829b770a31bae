import typing

from orioleloom import errors
from orioleloom.node import _log
from orioleloom.node import _messages
from orioleloom.node import _ports
from orioleloom import peer_api

# Minimum time between two reconnections to the same peer.
_MIN_RECONNECT_INTERVAL_S = 0.5
# Minimum time between two copies of the tables to the same peer. A copy is
# some 50 KB for 300 workers.
_MIN_TABLES_INTERVAL_S = 0.5
# A search first probes this many of the best candidates of the fleet and of
# the own data centre. The numbers double with each interval of the search.
_MIN_PROBED_CANDIDATES = 8
_MIN_PROBED_LOCAL_CANDIDATES = 3
_PROBE_GROWTH_INTERVAL_S = 0.25


class PeerDirectory:
    """The other instances, as far as they are known, and how to reach them.

    :param seed_addresses: peer addresses to contact before the member list
        has been read
    """

    def __init__(
        self,
        *,
        local_sender: _messages.Sender,
        socket: typing.Any,
        seed_addresses: tuple[str, ...] = (),
    ):
        self.local_sender = local_sender
        self.socket = socket
        self.seed_addresses = seed_addresses
        self.members: dict[str, _ports.MemberInfo] = {}
        self._reconnected_s: dict[str, float] = {}
        self._tables_sent_s: dict[str, float] = {}

    def add_listed(self, member: _ports.MemberInfo) -> None:
        """Add an instance from a member list.

        An address that the instance itself has sent is newer than the list.
        """
        if member.instance_id == self.local_sender.instance_id:
            return
        known = self.members.get(member.instance_id)
        if known is None:
            if _has_valid_address(member):
                self.members[member.instance_id] = member
        elif member.rank and not known.rank:
            self.members[member.instance_id] = known._replace(rank=member.rank)

    def observe_sender(self, sender: _messages.Sender) -> bool:
        """Record the address of a message's sender.

        :returns: false if messages cannot be sent to the address
        """
        known = self.members.get(sender.instance_id)
        if known is not None and known.address == sender.address:
            return True
        member = _ports.MemberInfo(
            sender.instance_id,
            sender.address,
            sender.data_centre,
            known.rank if known is not None else 0.0,
        )
        if not _has_valid_address(member):
            return False
        self.members[sender.instance_id] = member
        return True

    def send(self, member_id: str, message: _messages.Message) -> int:
        """Queue a message to an instance whose address is known.

        :returns: size of the message in bytes; 0 if it was not queued
        """
        member = self.members.get(member_id)
        return 0 if member is None else self.send_to(member.address, message)

    def send_to(self, address: str, message: _messages.Message) -> int:
        """Queue a message to an address.

        :returns: size of the message in bytes; 0 if it was not queued
        """
        frame = _messages.encode(self.local_sender, message)
        return len(frame) if self.socket.send(address, frame) else 0

    def may_send_tables(self, member_id: str, now_s: float) -> bool:
        """Return whether tables may be sent now, and record that they are."""
        last_s = self._tables_sent_s.get(member_id, -1e9)
        if now_s - last_s < _MIN_TABLES_INTERVAL_S:
            return False
        self._tables_sent_s[member_id] = now_s
        return True

    def reconnect(self, address: str, now_s: float) -> None:
        """Replace the connection to a peer that is out of contact.

        It may be half-open and never recover, or wait for seconds between
        attempts to connect.
        """
        if (
            now_s - self._reconnected_s.get(address, -1e9)
            > _MIN_RECONNECT_INTERVAL_S
        ):
            self._reconnected_s[address] = now_s
            self.socket.disconnect(address)

    def reconnect_member(self, member_id: str, now_s: float) -> None:
        """Replace the connection to an instance whose address is known."""
        member = self.members.get(member_id)
        if member is not None:
            self.reconnect(member.address, now_s)

    def addresses_to_probe(
        self, alive: typing.Container[str], searched_s: float
    ) -> list[str]:
        """Return the addresses that a search for a leader contacts.

        All instances of a search contact the same best candidates first, so
        that these hear from all others. The number of messages of an
        election then does not grow with the square of the fleet.

        :param alive: ids of the instances last known alive
        :param searched_s: time since the search began
        """
        n_doublings = min(16, int(searched_s / _PROBE_GROWTH_INTERVAL_S))
        n_fleet = _MIN_PROBED_CANDIDATES << n_doublings
        n_local = _MIN_PROBED_LOCAL_CANDIDATES << n_doublings
        ranked = sorted(
            self.members.values(),
            key=lambda m: (m.instance_id in alive, m.rank, m.instance_id),
            reverse=True,
        )
        local = [
            m for m in ranked if m.data_centre == self.local_sender.data_centre
        ]
        chosen = {
            m.address: None for m in (*ranked[:n_fleet], *local[:n_local])
        }
        chosen.update(dict.fromkeys(self.seed_addresses))
        chosen.pop(self.local_sender.address, None)
        return list(chosen)


def _has_valid_address(member: _ports.MemberInfo) -> bool:
    """Return whether an instance can be sent to, or log that it cannot."""
    try:
        peer_api.check_peer_address(member.address)
    except errors.DispatchError as exc:
        _log.log(
            'malformed_message',
            peer=member.instance_id[:80],
            reason=str(exc),
        )
        return False
    return True
