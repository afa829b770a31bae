import random
import typing

from orioleloom_standins import _table

FAULT_KINDS = ('outage', 'slow', 'lost_answers', 'list_outage')


class Admission(typing.NamedTuple):
    """How the platform treats one request.

    :param status: 200, 429 or 503
    :param delay_s: time before the request is applied
    :param response_delay_s: time between applying the request and
        sending the response
    :param drop_response: apply the request, then close the connection
        without a response
    """

    status: int
    delay_s: float = 0.0
    response_delay_s: float = 0.0
    drop_response: bool = False


class _Fault(typing.NamedTuple):
    until_s: float
    delay_s: float
    share: float
    after_effect: bool


class _TokenBucket:
    def __init__(self, rate_per_s: float, burst_s: float):
        self.rate_per_s = rate_per_s
        self.capacity = max(1.0, rate_per_s * burst_s)
        self._tokens = self.capacity
        self._updated_s: float | None = None

    def try_take(self, now_s: float) -> bool:
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
    """Member list whose changes become visible after a delay.

    :param lag_s: time between a change and its visibility to readers
    """

    def __init__(self, *, lag_s: float = 0.0):
        self.lag_s = lag_s
        self._changes: list[tuple[float, dict[str, typing.Any]]] = []
        self._n_visible = 0

    def put(self, member: dict[str, typing.Any], now_s: float) -> int:
        """Add or replace a member and return the revision of the change."""
        visible_s = now_s + self.lag_s
        if self._changes:
            # Changes keep their order even if the lag was shortened.
            visible_s = max(visible_s, self._changes[-1][0])
        self._changes.append((visible_s, member))
        return len(self._changes)

    def changes_after(
        self,
        after_revision: int,
        data_centre: str | None,
        now_s: float,
    ) -> tuple[list[dict[str, typing.Any]], int]:
        """Return the latest visible change of each member after a revision.

        Entry instances of all data centres are included. Workers are
        limited to ``data_centre`` if it is given.

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
    """State of the platform stand-in: table, objects and member list.

    It does no I/O. For each request the caller calls :meth:`admit`,
    waits for the delay, applies the request to :attr:`table`,
    :attr:`members` or :attr:`objects` and sends the response unless the
    admission says to drop it.

    :param transactions_per_s: rate above which writes get 429
    :param reads_per_s: rate above which reads and scans get 429
    :param burst_s: seconds of either rate that may be used in one burst
    :param write_latency_s: time that a write takes
    :param lag_s: lag of the member list
    :param random_state: seed of the draws for faults whose share is
        below 1
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
        self._write_bucket = _TokenBucket(transactions_per_s, burst_s)
        self._read_bucket = _TokenBucket(reads_per_s, burst_s)
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
        """Start a fault, or end it with a ``duration_s`` of 0.

        :param kind: one of :data:`FAULT_KINDS`
        :param delay_ms: delay added to each request by ``slow``
        :param share: fraction of the requests that the fault affects
        :param after_effect: ``slow`` delays the response instead of
            the effect of the request
        :raises ValueError: ``kind`` is unknown or ``share`` is not
            between 0 and 1
        """
        if kind not in FAULT_KINDS:
            raise ValueError(f'fault {kind!r} is not one of {FAULT_KINDS}')
        if not 0 <= share <= 1:
            raise ValueError(f'share {share!r} is not between 0 and 1')
        self._faults[kind] = _Fault(
            now_s + duration_s, delay_ms / 1000, share, after_effect
        )

    def _active_fault(self, kind: str, now_s: float) -> _Fault | None:
        fault = self._faults.get(kind)
        if fault is None or now_s >= fault.until_s:
            return None
        if fault.share < 1 and self._random.random() >= fault.share:
            return None
        return fault

    def _increment(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    def admit(self, kind: str, now_s: float) -> Admission:
        """Apply rate limits and faults to a request.

        :param kind: ``transaction``, ``read``, ``scan``, ``members``,
            ``object_put`` or ``object_get``
        """
        self._increment(kind)
        if self._active_fault('outage', now_s) or (
            kind == 'members' and self._active_fault('list_outage', now_s)
        ):
            self._increment(f'{kind}_503')
            return Admission(503)
        is_write = kind in ('transaction', 'object_put')
        bucket = self._write_bucket if is_write else self._read_bucket
        # The member list is a separate service with no stated rate limit.
        if kind != 'members' and not bucket.try_take(now_s):
            self._increment(f'{kind}_429')
            return Admission(429)
        delay_s = self.write_latency_s if is_write else 0.0
        response_delay_s = 0.0
        slow = self._active_fault('slow', now_s)
        if slow is not None and slow.after_effect:
            response_delay_s = slow.delay_s
        elif slow is not None:
            delay_s += slow.delay_s
        drop_response = self._active_fault('lost_answers', now_s) is not None
        if drop_response:
            self._increment(f'{kind}_lost')
        return Admission(200, delay_s, response_delay_s, drop_response)
