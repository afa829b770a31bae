import collections.abc
import dataclasses
import math
import typing

from orioleloom import model

GRANT_TTL_S = 5.0

# Covers the difference in clock rate of two machines over a grant.
LENDER_MARGIN_S = 1.0

# Recent demand is the largest value of the current and the last slot.
_SLOT_S = 1.0


def integer_share(total: int, rank: int | None, n_entries: int) -> int:
    """Return the share of ``total`` for one rank; shares sum to it."""
    if rank is None or n_entries < 1:
        return 0
    return total // n_entries + (1 if rank < total % n_entries else 0)


class Amounts(typing.NamedTuple):
    """Parts of the three limits of a contract."""

    in_flight: int
    starts_per_s: float
    burst: int

    def capped(self, limit: 'Amounts') -> 'Amounts':
        """Return each amount cut to the range from 0 to the limit's."""
        return Amounts(
            max(0, min(self.in_flight, limit.in_flight)),
            max(0.0, min(self.starts_per_s, limit.starts_per_s)),
            max(0, min(self.burst, limit.burst)),
        )


NOTHING = Amounts(0, 0.0, 0)


def total(parts: collections.abc.Iterable[Amounts]) -> Amounts:
    """Return the sums of the amounts."""
    parts = list(parts)
    return Amounts(
        sum(part.in_flight for part in parts),
        sum(part.starts_per_s for part in parts),
        sum(part.burst for part in parts),
    )


def largest(parts: collections.abc.Iterable[Amounts]) -> Amounts:
    """Return the largest of each amount."""
    return Amounts(*map(max, zip(*parts)))


class Grant(typing.NamedTuple):
    """Share borrowed from one lender.

    :param message_id: id of the request that it answers
    :param version: contract version of the lender
    :param ends_at_s: the share counts before this time only
    :param keep: what may be kept of it after a recall
    :param n_tokens_returned: start tokens given back so far
    :param is_return_due: the lender was not told of the last change
    :param n_over: tasks beyond all share that the lender was told of
    """

    message_id: int
    version: int
    amounts: Amounts
    ends_at_s: float
    keep: Amounts | None = None
    n_tokens_returned: int = 0
    is_return_due: bool = False
    n_over: int = 0
    next_return_at_s: float = -math.inf


class Loan(typing.NamedTuple):
    """Share that a borrower may hold until ``ends_at_s``.

    :param version: contract version under which it was lent; a repeated
        answer must carry it although a newer one is in force by then
    :param n_tokens_returned: start tokens that came back so far
    :param n_tokens: start tokens handed over
    """

    message_id: int
    version: int
    amounts: Amounts
    ends_at_s: float
    n_tokens: int = 0
    n_tokens_returned: int = 0


class Want(typing.NamedTuple):
    """The newest request of a borrower."""

    message_id: int
    amounts: Amounts
    asked_at_s: float


class Sent(typing.NamedTuple):
    """A request of this instance."""

    sent_at_s: float
    amounts: Amounts


class RecentDemand:
    """Peak of tasks running or waiting, and of starts a second."""

    __slots__ = ('_slot', '_peaks', '_starts')

    def __init__(self):
        self._slot = -1
        self._peaks = [0, 0]
        self._starts = [0, 0]

    def note(self, n_tasks: int, n_starts: int, now_s: float) -> None:
        """Add an observation."""
        self._roll(now_s)
        self._peaks[0] = max(self._peaks[0], n_tasks)
        self._starts[0] += n_starts

    def peak(self, now_s: float) -> int:
        """Return the most tasks seen within the last one to two slots."""
        self._roll(now_s)
        return max(self._peaks)

    def starts_per_s(self, now_s: float) -> float:
        """Return the higher start rate of the last two slots."""
        self._roll(now_s)
        return max(0, *self._starts) / _SLOT_S

    def _roll(self, now_s: float) -> None:
        slot = int(now_s // _SLOT_S)
        if slot == self._slot:
            return
        if slot == self._slot + 1:
            self._peaks = [0, self._peaks[0]]
            self._starts = [0, self._starts[0]]
        else:
            self._peaks = [0, 0]
            self._starts = [0, 0]
        self._slot = slot


@dataclasses.dataclass(slots=True)
class CustomerShare:
    """What one instance holds of one customer's limits."""

    contract: model.Contract
    now_s: float
    # Limits by version: grants of older versions are scaled by them.
    limits: dict[int, Amounts] = dataclasses.field(default_factory=dict)
    own: Amounts = NOTHING
    borrowed: Amounts = NOTHING
    lent: Amounts = NOTHING
    # Own share less loans plus grants; what may be used here.
    usable: Amounts = NOTHING
    next_end_s: float = math.inf
    tokens: float = 0.0
    bucket_filled_once: bool = False
    n_running: int = 0
    demand: RecentDemand = dataclasses.field(default_factory=RecentDemand)
    grants: dict[str, Grant] = dataclasses.field(default_factory=dict)
    loans: dict[str, list[Loan]] = dataclasses.field(default_factory=dict)
    wants: dict[str, Want] = dataclasses.field(default_factory=dict)
    sent: dict[int, Sent] = dataclasses.field(default_factory=dict)
    last_message_id: int = -1
    next_request_at_s: float = -math.inf
    n_to_ask: int = 0
    wants_in_flight: bool = False
    ask_factor: int = 0
    n_empty: int = 0
    next_recall_at_s: float = -math.inf
    # Whether a grant was recalled.
    recalled: bool = False

    def unlent(self) -> Amounts:
        """Return the own share that is not lent."""
        return Amounts(
            max(0, self.own.in_flight - self.lent.in_flight),
            max(0.0, self.own.starts_per_s - self.lent.starts_per_s),
            max(0, self.own.burst - self.lent.burst),
        )

    def bucket_size(self) -> int:
        """Return the most tokens that the bucket holds."""
        # A bucket of less than one token would never allow a start.
        return max(1, self.usable.burst)
