"""Tests of invalid rows in the store."""

import base64

import pytest

from orioleloom import node
from orioleloom.platform import _store
from orioleloom.platform import _wire


class FakeStore:
    """A store that returns the same rows from each read."""

    def __init__(self, rows):
        self.rows = rows

    async def read_rows(self, path, query):
        return _wire.StoreRows(self.rows, ver=9)


def row(key, version, value='not a worker'):
    return _wire.StoreRow(
        key, base64.b64encode(value.encode()).decode(), version
    )


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        node, 'log', lambda name, **fields: lines.append(fields['key'])
    )
    return lines


async def test_invalid_rows_are_logged_once_per_version(logged):
    """Guards against logging every invalid row on each read of the table."""
    store = FakeStore([row('a', 1), row('b', 1)])
    table = _store._StoreTable(store, 'servers', _wire.decode_worker)
    for _ in range(3):
        snapshot = await table.read()
        assert snapshot.rows == {'a': None, 'b': None}
    assert logged == ['a', 'b']
    store.rows = [row('a', 2), row('b', 1)]
    await table.read()
    assert logged == ['a', 'b', 'a']
