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


class PagedStore(FakeStore):
    """A store that returns two rows in each response."""

    n_calls = 0

    async def read_rows(self, path, query):
        self.n_calls += 1
        if path == '/rows-feed':
            return _wire.StoreRows(self.rows, ver=9)
        found = [r for r in self.rows if r.key >= query['from']]
        return _wire.StoreRows(found[:2], len(found) > 2, ver=9)


async def test_operator_rows_among_many_others(logged):
    """Guards against a read that ends before the last evacuation.

    Rows that follow the evacuations cost no further calls.
    """
    keys = ['config', 'dial/0', 'dial/1', 'evacuate/dc0', 'evacuate/dc1']
    keys += [f'wave/{number}' for number in range(100, 200)]
    store = PagedStore([row(key, 1, '{"version": 4}') for key in keys])
    snapshot = await _store.new_operator_table(store).read()
    assert list(snapshot.rows) == ['config', 'evacuate/dc0', 'evacuate/dc1']
    assert snapshot.rows['evacuate/dc1'] == node.EvacuationRow('dc1')
    assert store.n_calls == 3
    assert logged == []


async def test_feed_of_the_operator_rows(logged):
    """Guards against an evacuation that does not end with its row.

    Its value does not count, so that an odd one does not end it.
    """
    removed = _wire.StoreRow('evacuate/dc0', '', 5, deleted=True)
    keys = ('evacuate/dc1', 'evacuate/', 'wave/1')
    store = PagedStore([removed, *(row(key, 6, 'odd') for key in keys)])
    changes = await _store.new_operator_table(store).changes(4, 0.0)
    assert changes.rows == {
        'evacuate/dc0': None,
        'evacuate/dc1': node.EvacuationRow('dc1'),
        'evacuate/': None,
    }
    assert logged == ['evacuate/']
