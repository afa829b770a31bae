import collections
import dataclasses
import random
import typing

from orioleloom import model

# Rows that the table accepts in one transaction.
MAX_ROWS_PER_BATCH = 100

_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0


@dataclasses.dataclass(slots=True)
class WriteGroup:
    """Operations that take effect together.

    Every ``put`` value carries ``token``, so that a write whose answer
    was lost is recognised when the row is read back.

    :param tag: returned with the outcome
    :param give_up_at_s: time after which the group is not sent again
    """

    tag: typing.Any
    token: str
    ops: tuple[model.TableOp, ...]
    give_up_at_s: float
    may_be_written: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GroupCommitted:
    """The group took effect.

    :param revision: revision of its rows
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupConflicted:
    """The group did not take effect, or was overwritten since.

    :param rows: the rows as they are now
    """

    rows: tuple[model.Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupGivenUp:
    """The platform did not answer in time.

    :param may_be_written: an attempt may have taken effect, or may yet
    """

    may_be_written: bool


GroupOutcome = GroupCommitted | GroupConflicted | GroupGivenUp


class Batch(typing.NamedTuple):
    """One transaction or one read-back."""

    token: str
    ops: tuple[model.TableOp, ...]
    read_keys: tuple[str, ...] = ()


class ClaimWriter:
    """Pack table writes into few transactions.

    One transaction is in progress at a time; what arrives meanwhile
    goes into the next one. A token bucket bounds transactions a second.

    :param identity: prefix of transaction tokens
    :param budget_per_s: transactions a second
    :param burst: transactions allowed at once above the budget
    :param random_state: source of the jitter of retries
    """

    def __init__(
        self,
        *,
        identity: str,
        budget_per_s: float,
        burst: float = 4.0,
        random_state: random.Random,
    ):
        self.identity = identity
        self.budget_per_s = budget_per_s
        self.burst = burst
        self.random_state = random_state
        self._waiting: collections.deque[WriteGroup] = collections.deque()
        self._in_progress: list[WriteGroup] = []
        self._batch_token = ''
        self._reading_back = False
        self._first_sent: set[str] = set()
        self._n_batches = 0
        self._allowance = burst
        self._refilled_at_s: float | None = None
        self._retry_at_s = 0.0
        self._backoff_s = _MIN_BACKOFF_S
        self.n_rows_written = 0
        self.n_transactions = 0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._in_progress)

    def set_budget(self, budget_per_s: float) -> None:
        """Change the transactions a second."""
        self.budget_per_s = budget_per_s

    def add(self, group: WriteGroup) -> None:
        """Queue a group for the next transaction."""
        self._waiting.append(group)

    def next_batch(self, now_s: float) -> Batch | None:
        """Return the next transaction or read-back to run now.

        :returns: ``None`` while one is in progress, during the delay
            before a retry, over the budget, or with nothing to write
        """
        if self._batch_token or now_s < self._retry_at_s:
            return None
        if self._reading_back:
            return self._start_read_back()
        self._refill(now_s)
        if not self._waiting or self._allowance < 1.0:
            return None
        return self._start_transaction()

    def next_batch_at_s(self, now_s: float) -> float | None:
        """Return when :meth:`next_batch` may have something to do."""
        if self._batch_token or not (self._waiting or self._reading_back):
            return None
        ready_at_s = max(now_s, self._retry_at_s)
        if self._allowance < 1.0:
            missing = (1.0 - self._allowance) / self.budget_per_s
            ready_at_s = max(ready_at_s, now_s + missing)
        return ready_at_s

    def transaction_done(
        self, token: str, outcome: model.TableOutcome, now_s: float
    ) -> list[tuple[WriteGroup, GroupOutcome]]:
        """Take the outcome of the transaction in progress.

        :returns: the groups that are decided, with their outcomes
        """
        if token != self._batch_token:
            return []
        self._batch_token = ''
        match outcome:
            case model.Committed(revision):
                self._backoff_s = _MIN_BACKOFF_S
                groups, self._in_progress = self._in_progress, []
                return [(group, GroupCommitted(revision)) for group in groups]
            case model.Conflicted(conflicts):
                self._backoff_s = _MIN_BACKOFF_S
                return self._split({row.key: row for row in conflicts}, now_s)
            case model.WriteUnknown():
                self._first_sent = {
                    group.token
                    for group in self._in_progress
                    if not group.may_be_written
                }
                for group in self._in_progress:
                    group.may_be_written = True
                self._reading_back = True
                self._delay(now_s)
                return []
            case model.WriteRefused():
                self._delay(now_s)
                return self._requeue(now_s)

    def rows_read(
        self,
        token: str,
        rows: tuple[model.Row, ...] | None,
        now_s: float,
    ) -> list[tuple[WriteGroup, GroupOutcome]]:
        """Take the rows of a read-back.

        A transaction is atomic, so a row with the token of a group that
        no earlier transaction carried shows that all groups took effect.
        A group whose own rows carry another token then was overwritten
        since and counts as conflicted.
        """
        if token != self._batch_token:
            return []
        self._batch_token = ''
        if rows is None:
            self._delay(now_s)
            return self._drop_expired_in_progress(now_s)
        self._backoff_s = _MIN_BACKOFF_S
        self._reading_back = False
        by_key = {row.key: row for row in rows}
        took_effect = any(
            group.token in self._first_sent and _committed_row(group, by_key)
            for group in self._in_progress
        )
        decided = []
        again = []
        for group in self._in_progress:
            mine = _committed_row(group, by_key)
            if mine is not None:
                decided.append((group, GroupCommitted(mine.revision)))
            elif took_effect and any(op.op == 'put' for op in group.ops):
                decided.append((group, _conflict(group, by_key)))
            elif took_effect:
                decided.append((group, GroupCommitted(0)))
            else:
                again.append(group)
        self._in_progress = again
        return decided + self._requeue(now_s)

    def abandon(self, tag: typing.Any) -> bool:
        """Drop a waiting group that was never sent.

        :returns: whether it was dropped
        """
        for group in self._waiting:
            if group.tag == tag and not group.may_be_written:
                self._waiting.remove(group)
                return True
        return False

    def drop_expired(
        self, now_s: float
    ) -> list[tuple[WriteGroup, GroupOutcome]]:
        """Give up the waiting groups whose time is over."""
        kept: collections.deque[WriteGroup] = collections.deque()
        dropped = []
        for group in self._waiting:
            if now_s >= group.give_up_at_s:
                dropped.append((group, GroupGivenUp(group.may_be_written)))
            else:
                kept.append(group)
        self._waiting = kept
        return dropped

    def _drop_expired_in_progress(
        self, now_s: float
    ) -> list[tuple[WriteGroup, GroupOutcome]]:
        dropped = [g for g in self._in_progress if now_s >= g.give_up_at_s]
        self._in_progress = [
            g for g in self._in_progress if now_s < g.give_up_at_s
        ]
        if not self._in_progress:
            self._reading_back = False
        return [(g, GroupGivenUp(g.may_be_written)) for g in dropped]

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is not None:
            elapsed_s = max(0.0, now_s - self._refilled_at_s)
            self._allowance = min(
                self.burst, self._allowance + elapsed_s * self.budget_per_s
            )
        self._refilled_at_s = now_s

    def _delay(self, now_s: float) -> None:
        jitter = self.random_state.uniform(0.5, 1.0)
        self._retry_at_s = now_s + self._backoff_s * jitter
        self._backoff_s = min(_MAX_BACKOFF_S, self._backoff_s * 2)

    def _new_token(self) -> str:
        self._n_batches += 1
        self._batch_token = f'{self.identity}#{self._n_batches}'
        return self._batch_token

    def _start_read_back(self) -> Batch:
        keys = {op.key: None for g in self._in_progress for op in g.ops}
        return Batch(self._new_token(), (), tuple(keys))

    def _start_transaction(self) -> Batch:
        self._allowance -= 1.0
        groups: list[WriteGroup] = []
        deferred: list[WriteGroup] = []
        keys: set[str] = set()
        while self._waiting:
            group = self._waiting[0]
            if len(keys) + len(group.ops) > MAX_ROWS_PER_BATCH:
                break
            self._waiting.popleft()
            # Two changes of a row need two transactions, since the
            # second names the revision that the first one produces.
            if any(op.key in keys for op in group.ops):
                deferred.append(group)
                continue
            keys.update(op.key for op in group.ops)
            groups.append(group)
        self._waiting.extendleft(reversed(deferred))
        self._in_progress = groups
        self.n_transactions += 1
        self.n_rows_written += len(keys)
        ops = tuple(op for group in groups for op in group.ops)
        return Batch(self._new_token(), ops)

    def _requeue(self, now_s: float) -> list[tuple[WriteGroup, GroupOutcome]]:
        self._waiting.extendleft(reversed(self._in_progress))
        self._in_progress = []
        return self.drop_expired(now_s)

    def _split(
        self, by_key: dict[str, model.Row], now_s: float
    ) -> list[tuple[WriteGroup, GroupOutcome]]:
        decided: list[tuple[WriteGroup, GroupOutcome]] = []
        again = []
        for group in self._in_progress:
            # An earlier copy of the group that was thought lost.
            mine = _committed_row(group, by_key)
            if mine is not None:
                decided.append((group, GroupCommitted(mine.revision)))
            elif any(op.key in by_key for op in group.ops):
                decided.append((group, _conflict(group, by_key)))
            else:
                again.append(group)
        self._in_progress = again
        return decided + self._requeue(now_s)


def _committed_row(
    group: WriteGroup, by_key: dict[str, model.Row]
) -> model.Row | None:
    for op in group.ops:
        row = by_key.get(op.key)
        if op.op == 'put' and row is not None and row.value is not None:
            if row.value.get('token') == group.token:
                return row
    return None


def _conflict(
    group: WriteGroup, by_key: dict[str, model.Row]
) -> GroupConflicted:
    rows = tuple(by_key[op.key] for op in group.ops if op.key in by_key)
    return GroupConflicted(rows)
