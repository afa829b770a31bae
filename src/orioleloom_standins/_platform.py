import random
import typing

from orioleloom_standins import _table

FAULT_KINDS = ('outage', 'slow', 'lost_answers', 'list_outage')


class Admission(typing.NamedTuple):
    """What happens to a request.

    :param status: 200, 429 or 503
    :param delay_s: time before the request takes effect
    :param late_s: time between the effect and the answer
    :param lose_answer: close the connection without an answer
    """

    status: int
    delay_s: float = 0.0
    late_s: float = 0.0
    lose_answer: bool = False


class _Fault(typing.NamedTuple):
    until_s: float
    delay_s: float
    share: float
    after_effect: bool


class _RateLimit:
    def __init__(self, rate_per_s: float, burst_s: float):
        self.rate_per_s = rate_per_s
        self.capacity = max(1.0, rate_per_s * burst_s)
        self._tokens = self.capacity
        self._updated_s: float | None = None

    def take(self, now_s: float) -> bool:
        if self._updated_s is not None:
            self._tokens = min(
                self.capacity,
                self._tokens + (now_s - self._updated_s) * self.rate_per_s,
            )
        self._updated_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class MemberList:
    """List of machines whose readers see changes after a lag.

    :param lag_s: time between a change and its appearance
    """

    def __init__(self, *, lag_s: float = 0.0):
        self.lag_s = lag_s
        self._changes: list[tuple[float, dict[str, typing.Any]]] = []
        self._n_visible = 0

    def put(self, member: dict[str, typing.Any], now_s: float) -> int:
        """Add or replace a member; returns the change's revision."""
        visible_s = now_s + self.lag_s
        if self._changes:
            # A shorter lag set meanwhile must not reorder the changes.
            visible_s = max(visible_s, self._changes[-1][0])
        self._changes.append((visible_s, member))
        return len(self._changes)

    def view(
        self,
        after_revision: int,
        data_centre: str | None,
        now_s: float,
    ) -> tuple[list[dict[str, typing.Any]], int]:
        """Return visible changes after a revision, latest per member.

        Entry instances of all data centres are included; workers only
        of ``data_centre`` when it is given.

        :returns: members, and the revision to pass to the next call
        """
        while (
            self._n_visible < len(self._changes)
            and self._changes[self._n_visible][0] <= now_s
        ):
            self._n_visible += 1
        latest = {}
        for _, member in self._changes[after_revision : self._n_visible]:
            latest[member['id']] = member
        members = [
            member
            for member in latest.values()
            if member['role'] == 'entry'
            or data_centre is None
            or member['data_centre'] == data_centre
        ]
        return members, self._n_visible


class Platform:
    """State of the platform stand-in: table, objects, member list.

    It has no I/O; a caller asks :meth:`admit` first, waits for the
    delay, applies the request to :attr:`table`, :attr:`members` or
    :attr:`objects` and delivers the answer unless it is to be lost.

    :param transactions_per_s: rate beyond which writes get 429
    :param reads_per_s: rate beyond which reads and scans get 429
    :param burst_s: length of the burst that both rates allow
    :param write_latency_s: time that a write takes
    :param lag_s: lag of the member list
    :param random_state: seed of the draws of faults with a share
    """

    def __init__(
        self,
        *,
        transactions_per_s: float = 400.0,
        reads_per_s: float = 2000.0,
        burst_s: float = 0.25,
        write_latency_s: float = 0.004,
        lag_s: float = 0.0,
        random_state: int = 0,
    ):
        self.write_latency_s = write_latency_s
        self.table = _table.Table()
        self.members = MemberList(lag_s=lag_s)
        self.objects: dict[str, bytes] = {}
        self.counters: dict[str, int] = {}
        self._writes = _RateLimit(transactions_per_s, burst_s)
        self._reads = _RateLimit(reads_per_s, burst_s)
        self._faults: dict[str, _Fault] = {}
        self._random = random.Random(random_state)

    def set_fault(
        self,
        kind: str,
        now_s: float,
        *,
        duration_s: float,
        delay_ms: float = 1000.0,
        share: float = 1.0,
        after_effect: bool = False,
    ) -> None:
        """Start a fault; ``duration_s`` of 0 ends it.

        :param kind: one of :data:`FAULT_KINDS`
        :param delay_ms: delay of a ``slow`` request
        :param share: share of the requests that it affects
        :param after_effect: a ``slow`` write takes effect before the
            delay instead of after it
        :raises ValueError: ``kind`` is unknown or ``share`` not in 0..1
        """
        if kind not in FAULT_KINDS:
            raise ValueError(f'fault {kind!r} is not one of {FAULT_KINDS}')
        if not 0 <= share <= 1:
            raise ValueError(f'share {share!r} is not between 0 and 1')
        self._faults[kind] = _Fault(
            now_s + duration_s, delay_ms / 1000, share, after_effect
        )

    def _active(self, kind: str, now_s: float) -> _Fault | None:
        fault = self._faults.get(kind)
        if fault is None or now_s >= fault.until_s:
            return None
        if fault.share < 1 and self._random.random() >= fault.share:
            return None
        return fault

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    def admit(self, kind: str, now_s: float) -> Admission:
        """Decide what happens to a request.

        :param kind: ``transaction``, ``read``, ``scan``, ``members``,
            ``object_put`` or ``object_get``
        """
        self._count(kind)
        if self._active('outage', now_s) or (
            kind == 'members' and self._active('list_outage', now_s)
        ):
            self._count(f'{kind}_503')
            return Admission(503)
        is_write = kind in ('transaction', 'object_put')
        limit = self._writes if is_write else self._reads
        # The member list is a service of its own without a stated rate.
        if kind != 'members' and not limit.take(now_s):
            self._count(f'{kind}_429')
            return Admission(429)
        delay_s = self.write_latency_s if is_write else 0.0
        late_s = 0.0
        slow = self._active('slow', now_s)
        if slow is not None and slow.after_effect:
            late_s = slow.delay_s
        elif slow is not None:
            delay_s += slow.delay_s
        lost = self._active('lost_answers', now_s) is not None
        if lost:
            self._count(f'{kind}_lost')
        return Admission(200, delay_s, late_s, lost)
