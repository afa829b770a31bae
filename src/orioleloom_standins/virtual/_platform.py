import collections.abc
import typing

from orioleloom import contracts
from orioleloom import engine
from orioleloom import model
from orioleloom_standins._table import Conflict
from orioleloom_standins._table import Table
from orioleloom_standins.virtual._clock import Clock
from orioleloom_standins.virtual._network import Network

TABLE_S = 0.004
TABLE_TIMEOUT_S = 1.0
LIST_LAG_S = 1.0

Done: typing.TypeAlias = collections.abc.Callable[[model.TableOutcome], None]
OnRows: typing.TypeAlias = collections.abc.Callable[
    [tuple[model.Row, ...] | None], None
]


class Platform:
    """Simulated table and member list of the platform, with faults.

    :param clock: virtual clock
    :param network: links to the entry instances
    :param table_s: duration of a table request

    ``lose_answers``, ``lose_writes`` and ``delay_writes`` are the numbers
    of upcoming transactions affected by each fault. No request reaches
    the platform until ``unavailable_until_s``. Until ``slow_until_s``
    every request takes longer than the timeout of its sender.
    """

    def __init__(
        self, *, clock: Clock, network: Network, table_s: float = TABLE_S
    ):
        self.clock = clock
        self.network = network
        self.table_s = table_s
        self.table = Table()
        self.unavailable_until_s = 0.0
        self.slow_until_s = 0.0
        self.lose_answers = 0
        self.lose_writes = 0
        self.delay_writes = 0
        self.members: list[tuple[float, model.Member]] = []
        self.leaving_since_s: dict[str, float] = {}

    def reachable(self, entry_id: str) -> bool:
        """Whether requests of an entry instance reach the platform."""
        return (
            self.clock.now_s >= self.unavailable_until_s
            and not self.network.is_cut(entry_id, 'platform')
        )

    def answers(self, entry_id: str) -> bool:
        """Whether requests are answered before their timeout."""
        return self.reachable(entry_id) and not self._extra_delay_s()

    def seed_contract(self, contract: model.Contract) -> None:
        """Write an initial contract, before any instance starts."""
        value = contracts.to_value(contract)
        key = contracts.contract_key(contract.customer)
        self.table.transact(
            'setup', [{'op': 'put', 'key': key, 'value': value}], 0.0
        )

    def list_member(self, member: model.Member, lag_s: float = 0.0) -> None:
        """Change a row of the member list, visible after ``lag_s``."""
        at_s = self.clock.now_s + lag_s
        self.members.append((at_s, member))
        if member.state is model.MemberState.LIVE:
            self.leaving_since_s.pop(member.id, None)
        else:
            self.leaving_since_s.setdefault(member.id, at_s)

    def members_after(self, revision: int) -> list[model.Member]:
        """Return the visible rows that were added after a revision."""
        return [
            member
            for at_s, member in self.members[revision:]
            if at_s <= self.clock.now_s
        ]

    def listed(self) -> dict[str, model.Member]:
        """Return the currently visible member list by id."""
        return {member.id: member for member in self.members_after(0)}

    def _extra_delay_s(self) -> float:
        slow = self.clock.now_s < self.slow_until_s
        return 2 * TABLE_TIMEOUT_S if slow else 0.0

    def write(
        self, entry_id: str, effect: engine.WriteTable, done: Done
    ) -> None:
        """Run a transaction and pass its outcome to ``done``."""

        def answer(delay_s: float, outcome: model.TableOutcome) -> None:
            self.clock.at(delay_s, lambda: done(outcome))

        if not self.reachable(entry_id):
            answer(self.network.link_s, model.WriteRefused())
            return
        if self.lose_writes:
            self.lose_writes -= 1
            answer(TABLE_TIMEOUT_S, model.WriteUnknown())
            return
        if self.delay_writes:
            self.delay_writes -= 1
            # The write takes effect long after the timeout of its sender.
            self.clock.at(3 * TABLE_TIMEOUT_S, lambda: self._commit(effect))
            answer(TABLE_TIMEOUT_S, model.WriteUnknown())
            return
        slow_s = self._extra_delay_s()

        def commit() -> None:
            outcome = self._commit(effect)
            if slow_s:
                return
            if self.lose_answers:
                self.lose_answers -= 1
                answer(TABLE_TIMEOUT_S, model.WriteUnknown())
            else:
                answer(self.table_s / 2, outcome)

        self.clock.at(self.table_s / 2 + slow_s, commit)
        if slow_s:
            answer(TABLE_TIMEOUT_S, model.WriteUnknown())

    def _commit(self, effect: engine.WriteTable) -> model.TableOutcome:
        ops = [op._asdict() for op in effect.ops]
        try:
            revision = self.table.transact(effect.token, ops, self.clock.now_s)
        except Conflict as conflict:
            return model.Conflicted(
                tuple(model.Row(*row) for row in conflict.rows)
            )
        return model.Committed(revision)

    def read(self, entry_id: str, keys: tuple[str, ...], done: OnRows) -> None:
        """Read rows and pass them to ``done``, or ``None`` on failure."""
        rows = None
        delay_s = self.table_s
        if self._extra_delay_s():
            delay_s = TABLE_TIMEOUT_S
        elif self.reachable(entry_id):
            table_rows = self.table.read(list(keys))
            rows = tuple(model.Row(*row) for row in table_rows)
        self.clock.at(delay_s, lambda: done(rows))

    def contracts_after(
        self, revision: int
    ) -> tuple[tuple[model.Row, ...], int]:
        """Return contract rows written after a revision, and the new one."""
        rows, revision = self.table.scan('contract/', revision)
        return tuple(model.Row(*row) for row in rows), revision
