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
    """Nothing was written.

    :param rows: ``(key, value, revision)`` of the rows that did not match
    """

    def __init__(self, rows: list[tuple[str, typing.Any, int]]):
        super().__init__('revision of a row does not match')
        self.rows = rows


class BadOps(ValueError):
    """The transaction is malformed."""


def _segment(key: str) -> str:
    return key.partition('/')[0]


class Table:
    """Transactional table with compare-and-set and a full history.

    :param max_ops: largest transaction accepted

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
        # Deleted rows stay with value None, so that scans report them.
        self._rows: dict[str, tuple[typing.Any, int]] = {}
        # Writes by first path segment in revision order, so that a scan
        # of contracts costs nothing per claim written since the last one.
        self._log: dict[str, list[tuple[int, str]]] = collections.defaultdict(
            list
        )

    def _current(self, key: str) -> tuple[typing.Any, int]:
        value, revision = self._rows.get(key, (None, 0))
        return (None, 0) if value is None else (value, revision)

    def _check(self, ops: list[dict[str, typing.Any]]) -> None:
        if not 1 <= len(ops) <= self.max_ops:
            raise BadOps(
                f'transaction of {len(ops)} operations; '
                f'1 to {self.max_ops} are accepted'
            )
        keys = set()
        for op in ops:
            name = op.get('op')
            key = op.get('key')
            revision = op.get('if_revision')
            if name not in ('put', 'delete'):
                raise BadOps(f'op {name!r} is neither put nor delete')
            if not isinstance(key, str) or not key or key in keys:
                raise BadOps(f'key {key!r} is missing, empty or repeated')
            if name == 'put' and op.get('value') is None:
                raise BadOps(f'put of key {key!r} has no value')
            if revision is not None and type(revision) is not int:
                raise BadOps(f'if_revision {revision!r} is not an integer')
            keys.add(key)

    def transact(
        self, token: str, ops: list[dict[str, typing.Any]], now_s: float
    ) -> int:
        """Apply all operations or none.

        :returns: revision of the commit
        :raises Conflict: a row's revision differs from ``if_revision``
        :raises BadOps: the transaction is malformed
        """
        self._check(ops)
        conflicts = []
        for op in ops:
            expected = op.get('if_revision')
            value, revision = self._current(op['key'])
            if expected is not None and expected != revision:
                conflicts.append((op['key'], value, revision))
        if conflicts:
            raise Conflict(conflicts)
        self.revision += 1
        done = []
        for op in ops:
            key = op['key']
            value = op.get('value') if op['op'] == 'put' else None
            done.append((op['op'], key, value))
            if value is None and self._current(key)[1] == 0:
                continue
            self._rows[key] = (value, self.revision)
            self._log[_segment(key)].append((self.revision, key))
        self.history.append(Commit(self.revision, token, now_s, tuple(done)))
        return self.revision

    def read(self, keys: list[str]) -> list[tuple[str, typing.Any, int]]:
        """Return ``(key, value, revision)``; ``None, 0`` when missing."""
        return [(key, *self._current(key)) for key in keys]

    def scan(
        self, prefix: str, after_revision: int, limit: int = 1000
    ) -> tuple[list[tuple[str, typing.Any, int]], int]:
        """Return rows last written after a revision, in revision order.

        A deleted row has the value ``None``. A page ends at the end of
        a commit even when that exceeds ``limit``: the next page starts
        after a revision, so a split commit would lose rows.

        :returns: rows, and the revision to pass to the next scan
        :raises ValueError: ``limit`` is below 1
        """
        if limit < 1:
            raise ValueError(f'limit {limit!r} is not at least 1')
        head, slash, _ = prefix.partition('/')
        if slash:
            log = self._log.get(head, [])
            start = _first_after(log, after_revision)
        else:
            log = sorted(
                entry for part in self._log.values() for entry in part
            )
            start = _first_after(log, after_revision)
        rows: list[tuple[str, typing.Any, int]] = []
        for revision, key in log[start:]:
            if len(rows) >= limit and revision != rows[-1][2]:
                return rows, rows[-1][2]
            value, latest = self._rows[key]
            if latest == revision and key.startswith(prefix):
                rows.append((key, value, revision))
        return rows, self.revision

    def commits(self, after_revision: int, limit: int) -> list[Commit]:
        """Return commits after a revision, oldest first."""
        # The commit with revision R has index R - 1.
        start = max(0, after_revision)
        return self.history[start : start + max(0, limit)]


def _first_after(log: list[tuple[int, str]], revision: int) -> int:
    low, high = 0, len(log)
    while low < high:
        middle = (low + high) // 2
        if log[middle][0] <= revision:
            low = middle + 1
        else:
            high = middle
    return low
