import enum
import typing

# Scope of a leader that serves every data centre.
FLEET = ''

# A follower searches for a leader after this time without a beat. Beats
# come every 0.1 s, so two must be missed and the next be late.
LEADER_SILENCE_S = 0.32
# A follower that has been silent this long is out of contact. It is longer
# than LEADER_SILENCE_S, so that a leader keeps jobs a little longer than
# their instance looks for another leader.
FOLLOWER_SILENCE_S = 0.6
# A search lasts at least this long, so that the peers that also lost the
# leader have noticed it and have answered a probe.
_SEARCH_S = 0.2
# A process that has just started waits longer, since its peers may be
# starting as well.
_FIRST_SEARCH_S = 0.5
# Instances that start together have registered after this time.
_REGISTRATION_S = 0.25
# The best candidate has this long to begin; then the next one does.
_CANDIDATE_S = 0.4
# Without contact to half of the instances last known alive, an instance
# waits this long for news from the platform before it leads alone.
_ALONE_S = 1.5
# Answers to probes count for this long.
_PEER_FRESH_S = 0.3

# Contact to other data centres is unbroken if no longer pause is in it:
# leaders send beats to lost instances about once a second.
_OUTSIDE_GAP_S = 1.2
# A leader of one data centre gives up after so long an unbroken contact to
# others, in which a leader of the fleet would have been heard.
_REUNION_S = 1.3


class Role(enum.StrEnum):
    """What an instance does at the moment."""

    SEARCHING = 'searching'
    FOLLOWING = 'following'
    LEADING = 'leading'
    ISOLATED = 'isolated'


class PeerState(typing.NamedTuple):
    """What a peer says of itself in a probe.

    :param leader_id: leader that it hears, or empty
    :param rank: capacity for leading; a higher one is preferred
    :param scope: data centre that its leader serves
    """

    instance_id: str
    role: Role
    leader_id: str
    term: int
    rank: float
    is_stopping: bool
    data_centre: str
    scope: str = FLEET


class Reach(enum.StrEnum):
    """What an instance without most of its peers finds out."""

    UNKNOWN = 'unknown'
    # No worker of another data centre can be reached.
    OWN_DATA_CENTRE = 'own_data_centre'
    # Workers can be reached and a leader is active without us.
    OTHERS_LEAD = 'others_lead'
    # Workers can be reached and the platform knows of no active leader.
    NOBODY_LEADS = 'nobody_leads'


class Elector:
    """Decides whether this instance leads, and whom it follows.

    The election uses no store, so that it works while the platform is
    away. Two leaders at one time are possible for moments and harmless:
    workers obey the higher fencing token, and a job is handed from one
    leader to another with the time of the last contact. One leader is a
    matter of speed: it sees all room.

    An instance leads the whole fleet if it is in contact with half of
    the instances last known alive. With fewer, it leads its own data
    centre if that is cut off from the others, and otherwise takes no
    work.

    :param rank: capacity for leading; a higher one is preferred
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
        # Data centre that the leader serves, or FLEET.
        self.scope = FLEET
        self.is_stopping = False
        self.last_beat_s = -1e9
        self.search_since_s = now_s
        self.is_first_search = True
        self.reach = Reach.UNKNOWN
        # Instances alive at the last contact with a leader.
        self.alive: frozenset[str] = frozenset()
        self._peers: dict[str, tuple[PeerState, float]] = {}
        self._lost_leader_id = ''
        # Unbroken contact to instances of other data centres.
        self._outside_since_s = -1e9
        self._outside_last_s = -1e9

    def state(self) -> PeerState:
        """Return what peers are told in a probe."""
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

    def hear_peer(self, peer: PeerState, now_s: float) -> None:
        """Take note of a probe or of its answer."""
        self._peers[peer.instance_id] = (peer, now_s)
        self.hear_from(peer.data_centre, now_s)

    def hear_from(self, data_centre: str, now_s: float) -> None:
        """Take note of contact to a data centre."""
        if data_centre == self.data_centre:
            return
        if now_s - self._outside_last_s > _OUTSIDE_GAP_S:
            self._outside_since_s = now_s
        self._outside_last_s = now_s

    def hear_beat(
        self,
        leader_id: str,
        data_centre: str,
        term: int,
        scope: str,
        alive: typing.Iterable[str] | None,
        now_s: float,
    ) -> bool:
        """Take note of a leader's beat.

        :param alive: instances in contact with the leader; ``None`` if
            they are those of an earlier beat
        :returns: whether the sender is followed from now on
        """
        if scope not in (FLEET, self.data_centre):
            return False
        if (
            self.role in (Role.LEADING, Role.FOLLOWING)
            and leader_id != self.leader_id
            and not self._is_before(leader_id, term, scope)
        ):
            return False
        self.role = Role.FOLLOWING
        self.leader_id = leader_id
        self.leader_data_centre = data_centre
        self.term = term
        self.scope = scope
        if alive is not None:
            self.alive = frozenset(alive)
        self.last_beat_s = now_s
        self.is_first_search = False
        return True

    def _is_before(self, leader_id: str, term: int, scope: str) -> bool:
        """Return whether a leader goes before the present one.

        The order is total, so that of two leaders one gives way.
        """
        return (scope == FLEET, term, leader_id) > (
            self.scope == FLEET,
            self.term,
            self.leader_id,
        )

    def search(self, now_s: float) -> None:
        """Begin to look for a leader."""
        self.role = Role.SEARCHING
        self._lost_leader_id = self.leader_id
        self.leader_id = ''
        self.search_since_s = now_s
        self.reach = Reach.UNKNOWN

    def lead(self, scope: str, now_s: float) -> None:
        """Become leader with a new term."""
        self.role = Role.LEADING
        self.term += 1
        self.leader_id = self.instance_id
        self.leader_data_centre = self.data_centre
        self.scope = scope
        self.is_first_search = False
        self.last_beat_s = now_s
        # Contact from before a cut says nothing about its end.
        self._outside_last_s = -1e9

    def heard(self, now_s: float) -> list[PeerState]:
        """Return the peers that were heard a moment ago."""
        return [
            peer
            for peer, heard_s in self._peers.values()
            if now_s - heard_s <= _PEER_FRESH_S
        ]

    def has_half(self, n_others: int, n_members: int) -> bool:
        """Return whether so many peers allow to lead the fleet."""
        n_known = len(self.alive) or n_members
        return n_known > 0 and 2 * (n_others + 1) >= n_known

    def tick(self, now_s: float, n_members: int) -> bool:
        """Advance the election.

        :param n_members: instances that are listed, this one included; 0
            while that is not known
        :returns: whether this instance has become leader
        """
        if self.role is Role.FOLLOWING:
            if now_s - self.last_beat_s > LEADER_SILENCE_S:
                self.search(now_s)
            return False
        if self.role is Role.LEADING and self._is_cut_over(now_s):
            self.search(now_s)
        if self.role is Role.LEADING or self.is_stopping:
            return False
        return self._search_tick(now_s, n_members)

    def _is_cut_over(self, now_s: float) -> bool:
        """Return whether a leader of one data centre is not needed.

        Two of them in different data centres would otherwise go on side
        by side when there is no leader of the fleet.
        """
        return (
            self.scope != FLEET
            and now_s - self._outside_last_s <= _OUTSIDE_GAP_S
            and now_s - self._outside_since_s > _REUNION_S
        )

    def _search_tick(self, now_s: float, n_members: int) -> bool:
        heard = self.heard(now_s)
        for peer in heard:
            self.term = max(self.term, peer.term)
        searched_s = now_s - self.search_since_s
        first = _FIRST_SEARCH_S if self.is_first_search else _SEARCH_S
        if searched_s < first and not self._has_heard_all(
            heard, n_members, searched_s
        ):
            return False
        # A peer with a leader either loses it soon or can pass our state
        # on to nobody: this instance is then out of contact by itself.
        others_follow = any(
            peer.role in (Role.FOLLOWING, Role.LEADING)
            and peer.leader_id != self.instance_id
            and peer.scope in (FLEET, self.data_centre)
            for peer in heard
        )
        if others_follow:
            if searched_s > _ALONE_S:
                self.role = Role.ISOLATED
            return False
        if self.has_half(len(heard), n_members):
            if self._is_best(heard, searched_s - first):
                self.lead(FLEET, now_s)
                return True
            return False
        match self.reach:
            case Reach.OWN_DATA_CENTRE:
                beside = [
                    p for p in heard if p.data_centre == self.data_centre
                ]
                if self._is_best(beside, searched_s - first):
                    self.lead(self.data_centre, now_s)
                    return True
            case Reach.NOBODY_LEADS:
                if searched_s > _ALONE_S and self._is_best(
                    heard, searched_s - _ALONE_S
                ):
                    self.lead(FLEET, now_s)
                    return True
            case Reach.OTHERS_LEAD:
                self.role = Role.ISOLATED
        return False

    def _has_heard_all(
        self, heard: list[PeerState], n_members: int, searched_s: float
    ) -> bool:
        """Return whether nobody is left who could still answer."""
        if self.alive:
            lost = {self.instance_id, self._lost_leader_id}
            return self.alive - lost <= {p.instance_id for p in heard}
        # Others may not have registered yet.
        return (
            searched_s >= _REGISTRATION_S
            and n_members > 1
            and len(heard) + 1 >= n_members
        )

    def _is_best(self, heard: list[PeerState], waited_s: float) -> bool:
        """Return whether no better candidate is left.

        Each time a candidate does not begin, the next one may.
        """
        better = sum(
            1
            for peer in heard
            if not peer.is_stopping
            and (peer.rank, peer.instance_id) > (self.rank, self.instance_id)
        )
        return better == 0 or waited_s >= better * _CANDIDATE_S

    def step_down(self, now_s: float) -> None:
        """Stop leading, after another leader was noticed."""
        if self.role is Role.LEADING:
            self.search(now_s)
