"""Which workers recent leaders have used."""

import math
import typing

from orioleloom import dispatch
from orioleloom import leadership

# Number of recent leaders whose use of workers is remembered, for jobs that
# are handed over from one of them.
_MAX_TRACKED_LEADERS = 8
# A leader that this instance has not heard for longer may have lost contact
# with it, and may use workers that it has named as not in use.
_MAX_LIST_AGE_S = leadership.FOLLOWER_TIMEOUT_S + leadership.LEADER_TIMEOUT_S
# New jobs of a new leader wait for the workers of all leaders that were heard
# in this time before the latest heartbeat. Then their leases have ended.
_EARLIER_LEADERS_S = 2.0


class _HeardList(typing.NamedTuple):
    """Workers in use, as a leader's newest heartbeat has named them.

    :param sequence: number of the heartbeat
    :param heard_s: when a heartbeat of the leader last arrived
    """

    list_in_use: dispatch.ListInUse
    sequence: int
    heard_s: float


class LeaderLists:
    """Workers that recent leaders have used, by the leader's id and term."""

    def __init__(self) -> None:
        self._lists: dict[tuple[str, int], _HeardList] = {}

    def record(
        self,
        leader: tuple[str, int],
        list_in_use: dispatch.ListInUse,
        sequence: int,
        now_s: float,
    ) -> None:
        """Record what a heartbeat of a leader has named."""
        earlier = self._lists.pop(leader, None)
        if earlier is not None and sequence < earlier.sequence:
            # A late heartbeat, as when the connection was replaced.
            list_in_use, sequence, _ = earlier
        self._lists[leader] = _HeardList(list_in_use, sequence, now_s)
        while len(self._lists) > _MAX_TRACKED_LEADERS:
            del self._lists[next(iter(self._lists))]

    def of_leader(self, leader: tuple[str, int] | None) -> dispatch.ListInUse:
        """Return which workers a leader has used, as far as it is known."""
        heard = self._lists.get(leader)
        return dispatch.ListInUse() if heard is None else heard.list_in_use

    def of_recent_leaders(self, now_s: float) -> dispatch.ListInUse | None:
        """Return which workers the leaders that were heard last have used.

        The late heartbeat of a former leader must not hide what a later one
        has used.
        """
        last_heard_s = max(
            (heard.heard_s for heard in self._lists.values()),
            default=math.inf,
        )
        if now_s - last_heard_s > _MAX_LIST_AGE_S:
            return dispatch.ListInUse()
        recent: dispatch.ListInUse | None = None
        for heard in reversed(self._lists.values()):
            if recent is None:
                recent = heard.list_in_use
            elif heard.heard_s >= last_heard_s - _EARLIER_LEADERS_S:
                recent = recent.merge(heard.list_in_use)
        return recent
