import collections
import typing


class Commit(typing.NamedTuple):
    """One committed transaction.

    :param time_s: monotonic time of the commit, in seconds
    :param ops: ``(op, key, value)`` of each operation
    """

    revision: int
    token: str
    time_s: float
    ops: tuple[tuple[str, str, typing.Any], ...]


class Conflict(Exception):
    """A row's revision differs from ``if_revision``; nothing was written.

    :param rows: current ``(key, value, revision)`` of the rows that
        did not match
    """

    def __init__(self, rows: list[tuple[str, typing.Any, int]]):
        super().__init__('revision of a row differs from if_revision')
        self.rows = rows


class InvalidTransaction(ValueError):
    """The operations of a transaction are malformed."""


def _first_segment(key: str) -> str:
    return key.partition('/')[0]


class Table:
    """Transactional table with compare-and-set and a full history.

    :param max_ops: maximum number of operations in a transaction

    >>> table = Table()
    >>> table.transact('a', [{'op': 'put', 'key': 'x/1', 'value': 1}], 0.0)
    1
    >>> table.scan('x/', 0)
    ([('x/1', 1, 1)], 1)
    """

    def __init__(self, *, max_ops: int = 100):
        self.max_ops = max_ops
        self.revision = 0
        self.history: list[Commit] = []
        # Deleted rows are kept with value None so that scans report them.
        self._rows: dict[str, tuple[typing.Any, int]] = {}
        # Writes by first path segment, in revision order. A scan of
        # contracts thus skips the claims written since the last scan.
        self._writes_by_segment: dict[str, list[tuple[int, str]]] = (
            collections.defaultdict(list)
        )

    def _current_row(self, key: str) -> tuple[typing.Any, int]:
        value, revision = self._rows.get(key, (None, 0))
        return (None, 0) if value is None else (value, revision)

    def _validate(self, ops: list[dict[str, typing.Any]]) -> None:
        if not 1 <= len(ops) <= self.max_ops:
            raise InvalidTransaction(
                f'transaction of {len(ops)} operations; '
                f'1 to {self.max_ops} are accepted'
            )
        keys = set()
        for op in ops:
            name = op.get('op')
            key = op.get('key')
            revision = op.get('if_revision')
            if name not in ('put', 'delete'):
                raise InvalidTransaction(
                    f'op {name!r} is neither put nor delete'
                )
            if not isinstance(key, str) or not key or key in keys:
                raise InvalidTransaction(
                    f'key {key!r} is missing, empty or repeated'
                )
            if name == 'put' and op.get('value') is None:
                raise InvalidTransaction(f'put of key {key!r} has no value')
            if revision is not None and type(revision) is not int:
                raise InvalidTransaction(
                    f'if_revision {revision!r} is not an integer'
                )
            keys.add(key)

    def transact(
        self, token: str, ops: list[dict[str, typing.Any]], now_s: float
    ) -> int:
        """Apply all operations atomically.

        :returns: revision of the commit
        :raises Conflict: a row's revision differs from ``if_revision``
        :raises InvalidTransaction: the transaction is malformed
        """
        self._validate(ops)
        conflicts = []
        for op in ops:
            expected = op.get('if_revision')
            value, revision = self._current_row(op['key'])
            if expected is not None and expected != revision:
                conflicts.append((op['key'], value, revision))
        if conflicts:
            raise Conflict(conflicts)
        self.revision += 1
        applied = []
        for op in ops:
            key = op['key']
            value = op.get('value') if op['op'] == 'put' else None
            applied.append((op['op'], key, value))
            if value is None and self._current_row(key)[1] == 0:
                continue
            self._rows[key] = (value, self.revision)
            self._writes_by_segment[_first_segment(key)].append(
                (self.revision, key)
            )
        self.history.append(
            Commit(self.revision, token, now_s, tuple(applied))
        )
        return self.revision

    def read(self, keys: list[str]) -> list[tuple[str, typing.Any, int]]:
        """Return ``(key, value, revision)`` for each key.

        The value and revision of a missing row are ``None`` and 0.
        """
        return [(key, *self._current_row(key)) for key in keys]

    def scan(
        self, prefix: str, after_revision: int, limit: int = 1000
    ) -> tuple[list[tuple[str, typing.Any, int]], int]:
        """Return rows last written after a revision, in revision order.

        A deleted row has the value ``None``. A page always ends at the
        end of a commit, even if it then exceeds ``limit``: the next
        page starts after a revision, so splitting a commit would lose
        rows.

        :returns: rows, and the revision to pass to the next scan
        :raises ValueError: ``limit`` is below 1
        """
        if limit < 1:
            raise ValueError(f'limit {limit!r} is not at least 1')
        segment, slash, _ = prefix.partition('/')
        if slash:
            writes = self._writes_by_segment.get(segment, [])
            start = _first_index_after(writes, after_revision)
        else:
            writes = sorted(
                write
                for segment_writes in self._writes_by_segment.values()
                for write in segment_writes
            )
            start = _first_index_after(writes, after_revision)
        rows: list[tuple[str, typing.Any, int]] = []
        for revision, key in writes[start:]:
            if len(rows) >= limit and revision != rows[-1][2]:
                return rows, rows[-1][2]
            value, latest = self._rows[key]
            if latest == revision and key.startswith(prefix):
                rows.append((key, value, revision))
        return rows, self.revision

    def commits(self, after_revision: int, limit: int) -> list[Commit]:
        """Return commits after a revision, oldest first."""
        # Revisions start at 1 without gaps: revision R has index R - 1.
        start = max(0, after_revision)
        return self.history[start : start + max(0, limit)]


def _first_index_after(writes: list[tuple[int, str]], revision: int) -> int:
    low, high = 0, len(writes)
    while low < high:
        middle = (low + high) // 2
        if writes[middle][0] <= revision:
            low = middle + 1
        else:
            high = middle
    return low
