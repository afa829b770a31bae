import collections.abc
import dataclasses
import typing

from orioleloom import model

SUSPECT_TIMEOUTS = 3
SUSPECT_SPAN_S = 2.0

# Older timeouts say nothing about a peer that nobody has called since.
_TIMEOUT_MEMORY_S = 60.0


class RankAndCount(typing.NamedTuple):
    """Position among the listed entry instances.

    :param rank: index in the sorted instance ids; ``None`` while this
        instance has no share
    :param n_entries: entry instances listed as live or leaving
    """

    rank: int | None
    n_entries: int


@dataclasses.dataclass
class _Timeouts:
    n: int
    first_s: float
    last_s: float


class MemberView:
    """Members learnt from the platform's list, and peer observations.

    The count for shares comes from the platform's list only. Timeouts
    of peers decide when a takeover is tried and never change a share.

    :param instance_id: id of this entry instance
    :param join_hold_s: time for which this instance must have been
        listed before it has a share, so that its peers have shrunk
        theirs first and their older loans have expired

    >>> view = MemberView(instance_id='a')
    >>> row = model.Member('a', model.Role.ENTRY, model.MemberState.LIVE,
    ...                    'north', 'http://127.0.0.1:1')
    >>> changes = view.apply([row], now_s=0.0)
    >>> view.rank_and_count(now_s=0.0)
    RankAndCount(rank=0, n_entries=1)
    """

    def __init__(self, *, instance_id: str, join_hold_s: float = 5.0):
        self.instance_id = instance_id
        self.join_hold_s = join_hold_s
        self._members: dict[str, model.Member] = {}
        self._entries: tuple[model.Member, ...] = ()
        self._announced_leaving: dict[str, model.Member] = {}
        self._timeouts: dict[str, _Timeouts] = {}
        self._listed_since_s: float | None = None
        self._admitted = False
        self._frozen: RankAndCount | None = None

    def apply(
        self,
        members: collections.abc.Iterable[model.Member],
        now_s: float,
    ) -> list[model.Member]:
        """Take rows of the list in.

        :returns: the rows that changed the view; a removed member is
            returned with the state ``gone``
        """
        changes = []
        for row in members:
            known = self._members.get(row.id)
            if row.state is model.MemberState.GONE:
                self._announced_leaving.pop(row.id, None)
                self._timeouts.pop(row.id, None)
                if known is not None:
                    del self._members[row.id]
                    changes.append(row)
                continue
            row = self._with_announcement(row)
            if row != known:
                self._members[row.id] = row
                changes.append(row)
        if changes:
            self._rebuild_entries()
        self._note_listing(now_s)
        return changes

    def set_frozen(self, frozen: bool) -> None:
        """Keep rank and count as they are while the list is unavailable.

        An instance that was still held when the list went away starts
        its hold again afterwards: its peers may not have seen it yet.
        """
        if frozen and self._frozen is None:
            self._frozen = self._current()
        elif not frozen and self._frozen is not None:
            self._frozen = None
            if not self._admitted:
                self._listed_since_s = None

    def entries(self) -> tuple[model.Member, ...]:
        """Return live and leaving entry instances, sorted by id."""
        return self._entries

    def peers(self) -> tuple[model.Member, ...]:
        """Return the entry instances other than this one."""
        return tuple(
            member for member in self._entries if member.id != self.instance_id
        )

    def find(self, instance_id: str) -> model.Member | None:
        """Return the member with this id, or ``None``."""
        return self._members.get(instance_id)

    def workers(self) -> list[model.Member]:
        """Return live and leaving workers, sorted by id."""
        return sorted(
            (
                member
                for member in self._members.values()
                if member.role is model.Role.WORKER
            ),
            key=lambda member: member.id,
        )

    def rank_and_count(self, now_s: float) -> RankAndCount:
        """Return the position that determines this instance's shares."""
        if self._frozen is not None:
            return self._frozen
        self._note_listing(now_s)
        return self._current()

    def peer_answered(self, instance_id: str, now_s: float) -> None:
        """Note that a peer answered a request."""
        self._timeouts.pop(instance_id, None)

    def peer_timed_out(self, instance_id: str, now_s: float) -> None:
        """Note that a request to a peer got no answer in its time."""
        known = self._timeouts.get(instance_id)
        if known is None or now_s - known.last_s > _TIMEOUT_MEMORY_S:
            self._timeouts[instance_id] = _Timeouts(1, now_s, now_s)
            return
        known.n += 1
        known.last_s = now_s

    def peer_suspect(self, instance_id: str, now_s: float) -> bool:
        """Return whether a peer is treated as failed.

        True after three timeouts without an answer that span at least
        2 s.
        """
        known = self._timeouts.get(instance_id)
        return (
            known is not None
            and known.n >= SUSPECT_TIMEOUTS
            and known.last_s - known.first_s >= SUSPECT_SPAN_S
            and now_s - known.last_s <= _TIMEOUT_MEMORY_S
        )

    def peer_leaving(self, instance_id: str) -> None:
        """Mark a peer that announced its stop as leaving.

        It stays counted: its share is free only when the list drops it.
        """
        row = self._members.get(instance_id)
        if row is None or row.state is not model.MemberState.LIVE:
            return
        self._announced_leaving[instance_id] = row
        self._members[instance_id] = row._replace(
            state=model.MemberState.LEAVING
        )
        self._rebuild_entries()

    def _with_announcement(self, row: model.Member) -> model.Member:
        # A row written before the announcement may arrive after it. A
        # row with another address belongs to a restarted instance.
        announced = self._announced_leaving.get(row.id)
        if announced is None:
            return row
        if row == announced:
            return row._replace(state=model.MemberState.LEAVING)
        del self._announced_leaving[row.id]
        return row

    def _rebuild_entries(self) -> None:
        self._entries = tuple(
            sorted(
                (
                    member
                    for member in self._members.values()
                    if member.role is model.Role.ENTRY
                ),
                key=lambda member: member.id,
            )
        )

    def _note_listing(self, now_s: float) -> None:
        if self.instance_id not in self._members:
            self._listed_since_s = None
            self._admitted = False
            return
        if self._listed_since_s is None:
            self._listed_since_s = now_s
        if (
            len(self._entries) == 1
            or now_s - self._listed_since_s >= self.join_hold_s
        ):
            self._admitted = True

    def _current(self) -> RankAndCount:
        rank = None
        if self._admitted:
            ids = [member.id for member in self._entries]
            rank = ids.index(self.instance_id)
        return RankAndCount(rank, len(self._entries))
