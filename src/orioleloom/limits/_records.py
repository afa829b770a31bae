import collections.abc
import dataclasses
import math
import typing

from orioleloom import model

GRANT_TTL_S = 5.0

# Covers the difference in clock rate of two machines during one grant.
LENDER_MARGIN_S = 1.0

# Length of a time slot. Recent demand is the larger of the values of the
# current and the previous slot.
_SLOT_S = 1.0


def integer_share(total: int, rank: int | None, n_entries: int) -> int:
    """Return the share of one rank; the shares sum to ``total``."""
    if rank is None or n_entries < 1:
        return 0
    return total // n_entries + (1 if rank < total % n_entries else 0)


class Amounts(typing.NamedTuple):
    """Amounts of the three limits of a contract."""

    in_flight: int
    starts_per_s: float
    burst: int

    def capped(self, limit: 'Amounts') -> 'Amounts':
        """Return the amounts, each clipped to between 0 and its limit."""
        return Amounts(
            max(0, min(self.in_flight, limit.in_flight)),
            max(0.0, min(self.starts_per_s, limit.starts_per_s)),
            max(0, min(self.burst, limit.burst)),
        )


ZERO_AMOUNTS = Amounts(0, 0.0, 0)


def sum_amounts(parts: collections.abc.Iterable[Amounts]) -> Amounts:
    """Return the sum of each amount."""
    parts = list(parts)
    return Amounts(
        sum(part.in_flight for part in parts),
        sum(part.starts_per_s for part in parts),
        sum(part.burst for part in parts),
    )


def elementwise_max(parts: collections.abc.Iterable[Amounts]) -> Amounts:
    """Return the maximum of each amount."""
    return Amounts(*map(max, zip(*parts)))


class Grant(typing.NamedTuple):
    """Share borrowed from one lender.

    :param message_id: id of the request that the grant answers
    :param version: contract version of the lender
    :param expires_at_s: time at which the grant expires
    :param max_retained: upper bound that a recall has set; ``None``
        before the first recall
    :param n_tokens_returned: start tokens given back so far
    :param is_return_due: whether the lender has yet to be told of the
        last change
    :param n_excess_tasks: running tasks in excess of the usable share,
        as last reported to the lender
    """

    message_id: int
    version: int
    amounts: Amounts
    expires_at_s: float
    max_retained: Amounts | None = None
    n_tokens_returned: int = 0
    is_return_due: bool = False
    n_excess_tasks: int = 0
    next_return_at_s: float = -math.inf


class Loan(typing.NamedTuple):
    """Share that a borrower may hold until ``expires_at_s``.

    :param version: contract version under which the share was lent; the
        answer to a repeated request carries this version even if a
        newer one is in force by then
    :param n_tokens: start tokens given to the borrower
    :param n_tokens_returned: start tokens given back so far
    """

    message_id: int
    version: int
    amounts: Amounts
    expires_at_s: float
    n_tokens: int = 0
    n_tokens_returned: int = 0


class BorrowerRequest(typing.NamedTuple):
    """The newest request received from a borrower."""

    message_id: int
    amounts: Amounts
    received_at_s: float


class SentRequest(typing.NamedTuple):
    """A request that this instance sent to peers."""

    sent_at_s: float
    amounts: Amounts


class RecentDemand:
    """Recent peak of running and waiting tasks, and of the start rate.

    Values are kept for the current and the previous time slot.
    """

    __slots__ = ('_slot', '_peaks', '_starts')

    def __init__(self):
        self._slot = -1
        self._peaks = [0, 0]
        self._starts = [0, 0]

    def record(self, n_tasks: int, n_starts: int, now_s: float) -> None:
        """Add an observation."""
        self._advance_slot(now_s)
        self._peaks[0] = max(self._peaks[0], n_tasks)
        self._starts[0] += n_starts

    def peak(self, now_s: float) -> int:
        """Return the largest number of tasks in the last two slots."""
        self._advance_slot(now_s)
        return max(self._peaks)

    def starts_per_s(self, now_s: float) -> float:
        """Return the higher start rate of the last two slots."""
        self._advance_slot(now_s)
        return max(0, *self._starts) / _SLOT_S

    def _advance_slot(self, now_s: float) -> None:
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
    """One instance's share of one customer's limits.

    :param updated_at_s: time up to which tokens are refilled
    :param limits: limits by contract version, used to scale grants of
        older versions
    :param usable: own share less loans plus grants
    :param next_expiry_s: time at which the next grant or loan expires
    :param grants: grants held, by lender
    :param loans: loans that may be held, by borrower
    :param borrower_requests: newest request of each borrower
    :param sent_requests: recent requests, by message id
    :param needs_in_flight: whether the last request asked for in-flight
        share
    :param request_factor: multiple of the shortfall to ask for; 0 while
        nothing is asked for
    :param n_requests_without_grant: requests in a row after which no
        share was held from a peer
    :param has_recalled_grant: whether a held grant was recalled
    """

    contract: model.Contract
    updated_at_s: float
    limits: dict[int, Amounts] = dataclasses.field(default_factory=dict)
    own: Amounts = ZERO_AMOUNTS
    borrowed: Amounts = ZERO_AMOUNTS
    lent: Amounts = ZERO_AMOUNTS
    usable: Amounts = ZERO_AMOUNTS
    next_expiry_s: float = math.inf
    tokens: float = 0.0
    bucket_filled_once: bool = False
    n_running: int = 0
    demand: RecentDemand = dataclasses.field(default_factory=RecentDemand)
    grants: dict[str, Grant] = dataclasses.field(default_factory=dict)
    loans: dict[str, list[Loan]] = dataclasses.field(default_factory=dict)
    borrower_requests: dict[str, BorrowerRequest] = dataclasses.field(
        default_factory=dict
    )
    sent_requests: dict[int, SentRequest] = dataclasses.field(
        default_factory=dict
    )
    last_message_id: int = -1
    next_request_at_s: float = -math.inf
    n_to_ask: int = 0
    needs_in_flight: bool = False
    request_factor: int = 0
    n_requests_without_grant: int = 0
    next_recall_at_s: float = -math.inf
    has_recalled_grant: bool = False

    def unlent(self) -> Amounts:
        """Return the part of the own share that is not lent."""
        return Amounts(
            max(0, self.own.in_flight - self.lent.in_flight),
            max(0.0, self.own.starts_per_s - self.lent.starts_per_s),
            max(0, self.own.burst - self.lent.burst),
        )

    def bucket_size(self) -> int:
        """Return the capacity of the token bucket of starts."""
        # With a capacity below one token no start would ever be allowed.
        return max(1, self.usable.burst)
