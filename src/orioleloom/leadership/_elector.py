import enum
import typing

# Scope of a leader that serves every data centre.
FLEET = ''

# A follower searches for a leader after this time without a heartbeat. The
# leader sends one every 0.1 s, so two must be lost and the next one be late.
LEADER_TIMEOUT_S = 0.32
# A follower that has been silent this long is out of contact. This is longer
# than the time after which a follower searches, so that a leader still keeps
# the jobs when their instance begins to look for another leader.
FOLLOWER_TIMEOUT_S = 0.6
# Minimum duration of a search, unless every peer has answered before. In this
# time the other peers that lost the leader notice this as well and answer a
# probe.
_MIN_SEARCH_S = 0.2
# Minimum duration of the first search of a process. It is longer, since the
# peers may be starting as well.
_MIN_FIRST_SEARCH_S = 0.5
# Time in which instances that start together register with the platform.
_MIN_REGISTRATION_S = 0.25
# How long a candidate waits for the next better one to become leader.
_CANDIDATE_TIMEOUT_S = 0.4
# An instance in contact with less than half of the instances last known alive
# waits this long for information from the platform before it leads. One whose
# peers still have a leader after this time becomes isolated.
_MINORITY_WAIT_S = 1.5
# How long a probe or its response counts.
_PEER_STATE_TTL_S = 0.3

# Contact with other data centres counts as continuous if it has no longer gap.
# Leaders send heartbeats to lost instances about once a second.
_MAX_EXTERNAL_GAP_S = 1.2
# A leader of one data centre resigns after continuous contact with others for
# this time, in which it would have heard from a leader of the fleet.
_PARTITION_HEALED_S = 1.3


class Role(enum.StrEnum):
    """Role of an instance in the election."""

    SEARCHING = 'searching'
    FOLLOWING = 'following'
    LEADING = 'leading'
    ISOLATED = 'isolated'


class PeerState(typing.NamedTuple):
    """Election state of a peer, as sent in a probe.

    :param leader_id: leader that the peer follows, or empty
    :param rank: suitability as leader; a higher one is preferred
    :param scope: data centre that its leader serves, or ``FLEET``
    """

    instance_id: str
    role: Role
    leader_id: str
    term: int
    rank: float
    is_stopping: bool
    data_centre: str
    scope: str = FLEET


class Reachability(enum.StrEnum):
    """What an instance without contact to most peers can reach."""

    UNKNOWN = 'unknown'
    # No worker of another data centre can be reached.
    OWN_DATA_CENTRE = 'own_data_centre'
    # Workers can be reached, and the platform knows of another active leader.
    OTHERS_LEAD = 'others_lead'
    # Workers can be reached, and the platform knows of no active leader.
    NOBODY_LEADS = 'nobody_leads'


class Elector:
    """Decides whether this instance leads, and which leader it follows.

    The election uses no store, so that it works while the platform is
    unavailable. Two leaders may exist at the same time for a moment. This
    is safe: workers accept only the higher fencing token, and a job is
    handed over between leaders with the time of the last contact. A
    single leader is only needed for good placement, since it knows the
    free resources of all workers.

    An instance leads the whole fleet if it is in contact with at least
    half of the instances last known alive. With fewer, it leads its own
    data centre if that is partitioned from the others, leads the fleet
    after a delay if the platform knows of no active leader, and otherwise
    takes no work.

    :param rank: suitability as leader; a higher one is preferred
    """

    def __init__(
        self,
        *,
        instance_id: str,
        data_centre: str,
        rank: float,
        now_s: float,
    ):
        self.instance_id = instance_id
        self.data_centre = data_centre
        self.rank = rank
        self.role = Role.SEARCHING
        self.term = 0
        self.leader_id = ''
        self.leader_data_centre = ''
        # Data centre that the leader serves, or ``FLEET``.
        self.scope = FLEET
        self.is_stopping = False
        self.last_heartbeat_s = -1e9
        self.search_started_s = now_s
        self.is_first_search = True
        self.reachability = Reachability.UNKNOWN
        # Instances alive at the last contact with a leader of the fleet.
        self.last_known_alive: frozenset[str] = frozenset()
        self._peers: dict[str, tuple[PeerState, float]] = {}
        self._lost_leader_id = ''
        # Beginning and end of the latest continuous contact with instances
        # of other data centres.
        self._external_contact_since_s = -1e9
        self._last_external_contact_s = -1e9

    def state(self) -> PeerState:
        """Return the state that is sent to peers in a probe."""
        return PeerState(
            self.instance_id,
            self.role,
            self.leader_id,
            self.term,
            self.rank,
            self.is_stopping,
            self.data_centre,
            self.scope,
        )

    def handle_probe(self, peer: PeerState, now_s: float) -> None:
        """Handle a probe or the response to one."""
        self._peers[peer.instance_id] = (peer, now_s)
        self.record_contact(peer.data_centre, now_s)

    def record_contact(self, data_centre: str, now_s: float) -> None:
        """Record contact with an instance of a data centre."""
        if data_centre == self.data_centre:
            return
        if now_s - self._last_external_contact_s > _MAX_EXTERNAL_GAP_S:
            self._external_contact_since_s = now_s
        self._last_external_contact_s = now_s

    def handle_heartbeat(
        self,
        leader_id: str,
        data_centre: str,
        term: int,
        scope: str,
        alive: typing.Iterable[str] | None,
        now_s: float,
    ) -> bool:
        """Handle a leader's heartbeat.

        :param alive: instances in contact with the leader; ``None`` if
            they have not changed since an earlier heartbeat
        :returns: whether this instance follows the sender
        """
        if scope not in (FLEET, self.data_centre):
            return False
        if (
            self.role in (Role.LEADING, Role.FOLLOWING)
            and leader_id != self.leader_id
            and not self._takes_precedence(leader_id, term, scope)
        ):
            return False
        self.role = Role.FOLLOWING
        self.leader_id = leader_id
        self.leader_data_centre = data_centre
        self.term = term
        self.scope = scope
        if alive is not None and scope == FLEET:
            # The leader of a data centre is in contact with that part only.
            self.last_known_alive = frozenset(alive)
        self.last_heartbeat_s = now_s
        self.is_first_search = False
        return True

    def _takes_precedence(self, leader_id: str, term: int, scope: str) -> bool:
        """Return whether a leader takes precedence over the current one.

        The order is total, so that one of any two leaders resigns.
        """
        return (scope == FLEET, term, leader_id) > (
            self.scope == FLEET,
            self.term,
            self.leader_id,
        )

    def start_search(self, now_s: float) -> None:
        """Start to search for a leader."""
        self.role = Role.SEARCHING
        self._lost_leader_id = self.leader_id
        self.leader_id = ''
        self.search_started_s = now_s
        self.reachability = Reachability.UNKNOWN

    def become_leader(self, scope: str, now_s: float) -> None:
        """Become leader in a new term.

        :param scope: data centre to lead, or ``FLEET``
        """
        self.role = Role.LEADING
        self.term += 1
        self.leader_id = self.instance_id
        self.leader_data_centre = self.data_centre
        self.scope = scope
        self.is_first_search = False
        self.last_heartbeat_s = now_s
        # Contact from before a partition does not show that it has healed.
        self._last_external_contact_s = -1e9

    def recent_peers(self, now_s: float) -> list[PeerState]:
        """Return the state of the peers that were recently in contact."""
        return [
            peer
            for peer, heard_s in self._peers.values()
            if now_s - heard_s <= _PEER_STATE_TTL_S
        ]

    def has_half_of_members(self, n_peers: int, n_members: int) -> bool:
        """Return whether at least half of the instances are in contact.

        With fewer, an instance may lead the fleet only if the platform knows
        of no active leader.

        :param n_peers: number of peers in contact
        :param n_members: number of listed instances, used before the first
            heartbeat of a leader; 0 if unknown
        """
        n_alive = len(self.last_known_alive) or n_members
        return n_alive > 0 and 2 * (n_peers + 1) >= n_alive

    def tick(self, now_s: float, n_members: int) -> bool:
        """Advance the election.

        :param n_members: number of listed instances including this one; 0
            while that is unknown
        :returns: whether this instance has become leader
        """
        if self.role is Role.FOLLOWING:
            if now_s - self.last_heartbeat_s > LEADER_TIMEOUT_S:
                self.start_search(now_s)
            return False
        if self.role is Role.LEADING and self._is_partition_healed(now_s):
            self.start_search(now_s)
        if self.role is Role.LEADING:
            return False
        return self._advance_search(now_s, n_members)

    def _is_partition_healed(self, now_s: float) -> bool:
        """Return whether this leader of one data centre must resign.

        Otherwise the leaders of two data centres would both continue
        after the partition if there is no leader of the fleet.
        """
        return (
            self.scope != FLEET
            and now_s - self._last_external_contact_s <= _MAX_EXTERNAL_GAP_S
            and now_s - self._external_contact_since_s > _PARTITION_HEALED_S
        )

    def _advance_search(self, now_s: float, n_members: int) -> bool:
        heard = self.recent_peers(now_s)
        for peer in heard:
            self.term = max(self.term, peer.term)
        searched_s = now_s - self.search_started_s
        min_search_s = (
            _MIN_FIRST_SEARCH_S if self.is_first_search else _MIN_SEARCH_S
        )
        if searched_s < min_search_s and not self._all_peers_answered(
            heard, n_members, searched_s
        ):
            return False
        # A peer that has a leader either loses it soon or keeps it. In the
        # second case this instance alone is out of contact with the leader,
        # and peers do not relay its messages.
        has_led_peer = any(
            peer.role in (Role.FOLLOWING, Role.LEADING)
            and peer.leader_id != self.instance_id
            and peer.scope in (FLEET, self.data_centre)
            for peer in heard
        )
        if has_led_peer:
            if searched_s > _MINORITY_WAIT_S:
                self.role = Role.ISOLATED
            return False
        if self.has_half_of_members(len(heard), n_members):
            if self._is_best_candidate(heard, searched_s - min_search_s):
                self.become_leader(FLEET, now_s)
                return True
            return False
        match self.reachability:
            case Reachability.OWN_DATA_CENTRE:
                local_peers = [
                    p for p in heard if p.data_centre == self.data_centre
                ]
                if self._is_best_candidate(
                    local_peers, searched_s - min_search_s
                ):
                    self.become_leader(self.data_centre, now_s)
                    return True
            case Reachability.NOBODY_LEADS:
                if searched_s > _MINORITY_WAIT_S and self._is_best_candidate(
                    heard, searched_s - _MINORITY_WAIT_S
                ):
                    self.become_leader(FLEET, now_s)
                    return True
            case Reachability.OTHERS_LEAD:
                self.role = Role.ISOLATED
        return False

    def _all_peers_answered(
        self, heard: list[PeerState], n_members: int, searched_s: float
    ) -> bool:
        """Return whether every peer that may be alive has answered."""
        if self.last_known_alive:
            unavailable = {self.instance_id, self._lost_leader_id}
            return self.last_known_alive - unavailable <= {
                p.instance_id for p in heard
            }
        # Before this time, not all instances may have registered.
        return (
            searched_s >= _MIN_REGISTRATION_S
            and n_members > 1
            and len(heard) + 1 >= n_members
        )

    def _is_best_candidate(
        self, heard: list[PeerState], waited_s: float
    ) -> bool:
        """Return whether this instance is the best remaining candidate.

        Candidates become eligible one after another, the best one first.
        Instances in a planned stop come last: they lead only if no other one
        can, as in a data centre that is cut off while its only instance
        stops.

        :param waited_s: time since the best candidate became eligible
        """
        n_better = sum(
            1
            for peer in heard
            if (not peer.is_stopping, peer.rank, peer.instance_id)
            > (not self.is_stopping, self.rank, self.instance_id)
        )
        return n_better == 0 or waited_s >= n_better * _CANDIDATE_TIMEOUT_S

    def step_down(self, now_s: float) -> None:
        """Stop leading after another leader was detected."""
        if self.role is Role.LEADING:
            self.start_search(now_s)
