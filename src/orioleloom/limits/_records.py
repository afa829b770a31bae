import dataclasses
import math
import typing

from orioleloom import model

# Recent demand is the largest value of the current and the last slot.
_SLOT_S = 1.0


class Grant(typing.NamedTuple):
    """Share borrowed from one lender.

    :param message_id: id of the request that it answers
    :param version: contract version of the lender
    :param ends_at_s: the share counts before this time only
    """

    message_id: int
    version: int
    in_flight: int
    starts_per_s: float
    ends_at_s: float


class Loan(typing.NamedTuple):
    """Share that a borrower may hold until ``ends_at_s``."""

    message_id: int
    in_flight: int
    starts_per_s: float
    ends_at_s: float


class Want(typing.NamedTuple):
    """The newest request of a borrower."""

    message_id: int
    in_flight: int
    starts_per_s: float
    asked_at_s: float


class Sent(typing.NamedTuple):
    """A request of this instance."""

    sent_at_s: float
    in_flight: int
    starts_per_s: float


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
    limits: dict[int, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    own: int = 0
    own_rate: float = 0.0
    borrowed: int = 0
    borrowed_rate: float = 0.0
    lent: int = 0
    lent_rate: float = 0.0
    next_end_s: float = math.inf
    bucket_size: float = 0.0
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
    interval_s: float = 0.0

    def share(self) -> int:
        """Return the tasks that may be in flight here."""
        return max(0, self.own - self.lent) + self.borrowed

    def rate(self) -> float:
        """Return the start rate allowed here."""
        return max(0.0, self.own_rate - self.lent_rate) + self.borrowed_rate
