import collections
import dataclasses
import random
import typing

from orioleloom import model

# Most rows that the table accepts in one transaction.
MAX_ROWS_PER_BATCH = 100

_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0


@dataclasses.dataclass(slots=True)
class WriteGroup:
    """Table operations that are applied atomically.

    Every ``put`` value contains ``token``, so that a write whose answer
    was lost is recognised when the row is read back.

    :param tag: value by which the caller identifies the group
    :param give_up_at_s: time after which the group is not sent again
    :param may_be_written: whether the outcome of an attempt is unknown
    """

    tag: typing.Any
    token: str
    ops: tuple[model.TableOp, ...]
    give_up_at_s: float
    may_be_written: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GroupCommitted:
    """The group was applied.

    :param revision: revision of its rows
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupConflicted:
    """The group was not applied, or its rows were overwritten since.

    :param rows: the current rows
    """

    rows: tuple[model.Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupTimedOut:
    """No attempt was confirmed by the group's ``give_up_at_s``.

    :param may_be_written: an attempt may have been applied, or may
        still be applied later
    """

    may_be_written: bool


GroupOutcome = GroupCommitted | GroupConflicted | GroupTimedOut


class Batch(typing.NamedTuple):
    """One transaction, or one read of the rows of an unanswered one.

    :param token: identifies the batch in the answer
    :param ops: operations of a transaction, empty for a read
    :param read_keys: keys to read, empty for a transaction
    """

    token: str
    ops: tuple[model.TableOp, ...]
    read_keys: tuple[str, ...] = ()


class ClaimWriter:
    """Batches table writes into few transactions.

    One transaction is in progress at a time; groups added meanwhile go
    into the next one. A token bucket limits the transaction rate. When
    the answer to a transaction is lost, its rows are read back to find
    out whether it was applied.

    :param identity: prefix of transaction tokens
    :param budget_per_s: transactions per second
    :param burst: capacity of the token bucket, in transactions
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
        # Tokens of the groups whose first attempt was the transaction that
        # is read back.
        self._first_attempt_tokens: set[str] = set()
        self._n_batches = 0
        self._bucket_level = burst
        self._refilled_at_s: float | None = None
        self._retry_at_s = 0.0
        self._backoff_s = _MIN_BACKOFF_S
        self.n_rows_written = 0
        self.n_transactions = 0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._in_progress)

    def set_budget(self, budget_per_s: float) -> None:
        """Change the number of transactions per second."""
        self.budget_per_s = budget_per_s

    def add(self, group: WriteGroup) -> None:
        """Queue a group for the next transaction."""
        self._waiting.append(group)

    def next_batch(self, now_s: float) -> Batch | None:
        """Return the next transaction or read-back to run now.

        :returns: ``None`` while one is in progress, before the time of
            a retry, when the budget is used up, or when nothing is to
            be written
        """
        if self._batch_token or now_s < self._retry_at_s:
            return None
        if self._reading_back:
            return self._start_read_back()
        self._refill(now_s)
        if not self._waiting or self._bucket_level < 1.0:
            return None
        return self._start_transaction()

    def next_batch_at_s(self, now_s: float) -> float | None:
        """Return when :meth:`next_batch` may next return a batch."""
        if self._batch_token or not (self._waiting or self._reading_back):
            return None
        ready_at_s = max(now_s, self._retry_at_s)
        if self._bucket_level < 1.0:
            refill_s = (1.0 - self._bucket_level) / self.budget_per_s
            ready_at_s = max(ready_at_s, now_s + refill_s)
        return ready_at_s

    def transaction_done(
        self, token: str, outcome: model.TableOutcome, now_s: float
    ) -> list[tuple[WriteGroup, GroupOutcome]]:
        """Process the outcome of the transaction in progress.

        An outcome with a token other than the current one is ignored.

        :returns: the groups whose outcome is now known
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
                return self._resolve_conflict(
                    {row.key: row for row in conflicts}, now_s
                )
            case model.WriteUnknown():
                self._first_attempt_tokens = {
                    group.token
                    for group in self._in_progress
                    if not group.may_be_written
                }
                for group in self._in_progress:
                    group.may_be_written = True
                self._reading_back = True
                self._schedule_retry(now_s)
                return []
            case model.WriteRefused():
                self._schedule_retry(now_s)
                return self._requeue(now_s)

    def rows_read(
        self,
        token: str,
        rows: tuple[model.Row, ...] | None,
        now_s: float,
    ) -> list[tuple[WriteGroup, GroupOutcome]]:
        """Process the rows of a read-back.

        A transaction is atomic. A row with the token of a group that
        was in no earlier transaction therefore proves that all groups
        were applied. A group whose rows have another token was then
        overwritten since, and counts as conflicted.

        :param rows: ``None`` when the read failed
        :returns: the groups whose outcome is now known
        """
        if token != self._batch_token:
            return []
        self._batch_token = ''
        if rows is None:
            self._schedule_retry(now_s)
            return self._drop_expired_in_progress(now_s)
        self._backoff_s = _MIN_BACKOFF_S
        self._reading_back = False
        rows_by_key = {row.key: row for row in rows}
        was_applied = any(
            group.token in self._first_attempt_tokens
            and _committed_row(group, rows_by_key)
            for group in self._in_progress
        )
        decided = []
        to_resend = []
        for group in self._in_progress:
            own_row = _committed_row(group, rows_by_key)
            if own_row is not None:
                decided.append((group, GroupCommitted(own_row.revision)))
            elif was_applied and any(op.op == 'put' for op in group.ops):
                decided.append((group, _conflict(group, rows_by_key)))
            elif was_applied:
                decided.append((group, GroupCommitted(0)))
            else:
                to_resend.append(group)
        self._in_progress = to_resend
        return decided + self._requeue(now_s)

    def abandon(self, tag: typing.Any) -> bool:
        """Remove a waiting group unless it may already be written.

        :returns: whether it was removed
        """
        for group in self._waiting:
            if group.tag == tag and not group.may_be_written:
                self._waiting.remove(group)
                return True
        return False

    def drop_expired(
        self, now_s: float
    ) -> list[tuple[WriteGroup, GroupOutcome]]:
        """Remove the waiting groups whose ``give_up_at_s`` has passed."""
        remaining: collections.deque[WriteGroup] = collections.deque()
        dropped = []
        for group in self._waiting:
            if now_s >= group.give_up_at_s:
                dropped.append((group, GroupTimedOut(group.may_be_written)))
            else:
                remaining.append(group)
        self._waiting = remaining
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
        return [(g, GroupTimedOut(g.may_be_written)) for g in dropped]

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is not None:
            elapsed_s = max(0.0, now_s - self._refilled_at_s)
            self._bucket_level = min(
                self.burst, self._bucket_level + elapsed_s * self.budget_per_s
            )
        self._refilled_at_s = now_s

    def _schedule_retry(self, now_s: float) -> None:
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
        self._bucket_level -= 1.0
        groups: list[WriteGroup] = []
        deferred: list[WriteGroup] = []
        keys: set[str] = set()
        while self._waiting:
            group = self._waiting[0]
            if len(keys) + len(group.ops) > MAX_ROWS_PER_BATCH:
                break
            self._waiting.popleft()
            # A second change of a row has to wait for the next
            # transaction, as it needs the revision that the first one
            # produces.
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

    def _resolve_conflict(
        self, rows_by_key: dict[str, model.Row], now_s: float
    ) -> list[tuple[WriteGroup, GroupOutcome]]:
        decided: list[tuple[WriteGroup, GroupOutcome]] = []
        to_resend = []
        for group in self._in_progress:
            # An earlier attempt whose outcome was unknown may have been
            # applied after all.
            own_row = _committed_row(group, rows_by_key)
            if own_row is not None:
                decided.append((group, GroupCommitted(own_row.revision)))
            elif any(op.key in rows_by_key for op in group.ops):
                decided.append((group, _conflict(group, rows_by_key)))
            else:
                to_resend.append(group)
        self._in_progress = to_resend
        return decided + self._requeue(now_s)


def _committed_row(
    group: WriteGroup, rows_by_key: dict[str, model.Row]
) -> model.Row | None:
    for op in group.ops:
        row = rows_by_key.get(op.key)
        if op.op == 'put' and row is not None and row.value is not None:
            if row.value.get('token') == group.token:
                return row
    return None


def _conflict(
    group: WriteGroup, rows_by_key: dict[str, model.Row]
) -> GroupConflicted:
    rows = tuple(
        rows_by_key[op.key] for op in group.ops if op.key in rows_by_key
    )
    return GroupConflicted(rows)
