"""View of the platform's member list and of unresponsive peers."""

import bisect
import collections.abc
import dataclasses
import typing

from orioleloom import model

SUSPECT_MIN_TIMEOUTS = 3
SUSPECT_MIN_SPAN_S = 2.0

# Older timeouts are not evidence about a peer that has not been called
# since.
_TIMEOUT_EXPIRY_S = 60.0


class RankAndCount(typing.NamedTuple):
    """Rank among the listed entry instances, and their number.

    :param rank: index in the sorted instance ids; ``None`` if this
        instance has no share
    :param n_entries: entry instances listed as live or leaving
    """

    rank: int | None
    n_entries: int


@dataclasses.dataclass
class _Timeouts:
    """Consecutive timeouts of one peer."""

    count: int
    first_s: float
    last_s: float


class MemberView:
    """Members in the platform's list and timeouts observed with peers.

    Shares depend only on the platform's list. Timeouts of peers decide
    whether a peer is suspect and never change a share.

    :param instance_id: id of this entry instance
    :param join_hold_s: time for which this instance must have been
        listed before it has a share, so that its peers have reduced
        their shares and their earlier loans have expired

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
        # Sorted ids by role. They avoid a pass over all members for each
        # change, as up to 22,000 workers are expected.
        self._ids: dict[model.Role, list[str]] = {
            role: [] for role in model.Role
        }
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
        """Apply rows of the platform's list.

        :returns: the rows that changed the view; a removed member is
            returned with the state ``gone``
        """
        changes = []
        for row in members:
            previous = self._members.get(row.id)
            if row.state is model.MemberState.GONE:
                self._announced_leaving.pop(row.id, None)
                self._timeouts.pop(row.id, None)
                if previous is not None:
                    self._remove_member(previous)
                    changes.append(row)
                continue
            row = self._apply_announced_leaving(row)
            if row == previous:
                continue
            if previous is not None and previous.role is not row.role:
                self._remove_member(previous)
                previous = None
            if previous is None:
                bisect.insort(self._ids[row.role], row.id)
            self._members[row.id] = row
            changes.append(row)
        self._update_admission(now_s)
        return changes

    def set_frozen(self, frozen: bool) -> None:
        """Freeze rank and count while the list is unavailable.

        If the join hold of this instance had not ended by then, it starts
        again afterwards, since peers may not have seen this instance yet.
        """
        if frozen and self._frozen is None:
            self._frozen = self._current_rank_and_count()
        elif not frozen and self._frozen is not None:
            self._frozen = None
            if not self._admitted:
                self._listed_since_s = None

    def entry_instances(self) -> tuple[model.Member, ...]:
        """Return live and leaving entry instances, sorted by id."""
        return tuple(self._members_with_role(model.Role.ENTRY))

    def peers(self) -> tuple[model.Member, ...]:
        """Return the entry instances other than this one."""
        return tuple(
            member
            for member in self._members_with_role(model.Role.ENTRY)
            if member.id != self.instance_id
        )

    def find(self, instance_id: str) -> model.Member | None:
        """Return the member with this id, or ``None``."""
        return self._members.get(instance_id)

    def workers(self) -> list[model.Member]:
        """Return live and leaving workers, sorted by id."""
        return self._members_with_role(model.Role.WORKER)

    def rank_and_count(self, now_s: float) -> RankAndCount:
        """Return the rank and count that determine the shares."""
        if self._frozen is not None:
            return self._frozen
        self._update_admission(now_s)
        return self._current_rank_and_count()

    def record_peer_answer(self, instance_id: str, now_s: float) -> None:
        """Record that a peer answered a request."""
        self._timeouts.pop(instance_id, None)

    def record_peer_timeout(self, instance_id: str, now_s: float) -> None:
        """Record that a request to a peer timed out."""
        timeouts = self._timeouts.get(instance_id)
        if timeouts is None or now_s - timeouts.last_s > _TIMEOUT_EXPIRY_S:
            self._timeouts[instance_id] = _Timeouts(1, now_s, now_s)
            return
        timeouts.count += 1
        timeouts.last_s = now_s

    def is_peer_suspect(self, instance_id: str, now_s: float) -> bool:
        """Return whether a peer is suspected to have failed.

        This requires three timeouts over at least 2 s without an answer
        in between.
        """
        timeouts = self._timeouts.get(instance_id)
        return (
            timeouts is not None
            and timeouts.count >= SUSPECT_MIN_TIMEOUTS
            and timeouts.last_s - timeouts.first_s >= SUSPECT_MIN_SPAN_S
            and now_s - timeouts.last_s <= _TIMEOUT_EXPIRY_S
        )

    def mark_peer_leaving(self, instance_id: str) -> None:
        """Mark a peer that announced that it is stopping as leaving.

        It is still counted, as its share is not free until it is removed
        from the list.
        """
        row = self._members.get(instance_id)
        if row is None or row.state is not model.MemberState.LIVE:
            return
        self._announced_leaving[instance_id] = row
        self._members[instance_id] = row._replace(
            state=model.MemberState.LEAVING
        )

    def _apply_announced_leaving(self, row: model.Member) -> model.Member:
        # A row written before the announcement may arrive after it and must
        # not undo it. A row that differs, such as one with the address of a
        # restarted instance, ends the announcement.
        announced = self._announced_leaving.get(row.id)
        if announced is None:
            return row
        if row == announced:
            return row._replace(state=model.MemberState.LEAVING)
        del self._announced_leaving[row.id]
        return row

    def _members_with_role(self, role: model.Role) -> list[model.Member]:
        return [self._members[name] for name in self._ids[role]]

    def _remove_member(self, member: model.Member) -> None:
        del self._members[member.id]
        ids = self._ids[member.role]
        del ids[bisect.bisect_left(ids, member.id)]

    def _update_admission(self, now_s: float) -> None:
        if self.instance_id not in self._members:
            self._listed_since_s = None
            self._admitted = False
            return
        if self._listed_since_s is None:
            self._listed_since_s = now_s
        if (
            len(self._ids[model.Role.ENTRY]) == 1
            or now_s - self._listed_since_s >= self.join_hold_s
        ):
            self._admitted = True

    def _current_rank_and_count(self) -> RankAndCount:
        ids = self._ids[model.Role.ENTRY]
        rank = None
        if self._admitted:
            rank = bisect.bisect_left(ids, self.instance_id)
        return RankAndCount(rank, len(ids))
