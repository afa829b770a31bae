import hypothesis
from hypothesis import strategies as st
import pytest

import orioleloom_standins as standins


def put(key, if_revision=None):
    return {
        'op': 'put',
        'key': key,
        'value': {'v': 1},
        'if_revision': if_revision,
    }


def delete(key, if_revision=None):
    return {'op': 'delete', 'key': key, 'if_revision': if_revision}


def test_a_conflict_on_one_row_writes_none():
    # Guards section 4: a transaction of several operations is atomic.
    table = standins.Table()
    table.transact('a', [put('claim/1', 0)], 0.0)
    with pytest.raises(standins.Conflict) as caught:
        table.transact('b', [put('claim/2', 0), put('claim/1', 0)], 0.0)
    assert caught.value.rows == [('claim/1', {'v': 1}, 1)]
    assert table.read(['claim/2']) == [('claim/2', None, 0)]
    assert [commit.token for commit in table.history] == ['a']


def test_a_deleted_row_can_be_inserted_again_only_as_new():
    table = standins.Table()
    table.transact('a', [put('claim/1', 0)], 0.0)
    table.transact('b', [delete('claim/1', 1)], 0.0)
    with pytest.raises(standins.Conflict):
        table.transact('c', [put('claim/1', 1)], 0.0)
    assert table.transact('d', [put('claim/1', 0)], 0.0) == 3


@pytest.mark.parametrize(
    'ops',
    [
        [],
        [put('a')] * 2,
        [put(f'a{index}') for index in range(101)],
        [{'op': 'merge', 'key': 'a'}],
        [{'op': 'put', 'key': 'a'}],
        [{'op': 'put', 'key': '', 'value': 1}],
    ],
)
def test_malformed_transactions_are_rejected(ops):
    table = standins.Table()
    with pytest.raises(standins.InvalidTransaction):
        table.transact('a', ops, 0.0)
    assert table.revision == 0


OPS = st.lists(
    st.lists(
        st.tuples(
            st.sampled_from(['put', 'delete']),
            st.sampled_from(['claim/1', 'claim/2', 'claims/1', 'contract/1']),
        ),
        min_size=1,
        max_size=3,
        unique_by=lambda op: op[1],
    ),
    max_size=12,
)


@hypothesis.given(OPS, st.integers(1, 4), st.integers(0, 6))
def test_a_paged_scan_returns_all_current_rows(
    transactions, limit, first_read_index
):
    # Guards R8: a paged scan that begins at any time misses no row and no
    # deletion, and does not split a commit between pages.
    table = standins.Table()
    rows_read = {}
    revision = 0

    def read_all():
        nonlocal revision
        while True:
            rows, revision = table.scan('claim/', revision, limit)
            for key, value, _ in rows:
                rows_read[key] = value
            if len(rows) < limit:
                return

    for index, transaction in enumerate(transactions):
        if index == first_read_index:
            read_all()
        ops = [
            (put if op == 'put' else delete)(key) for op, key in transaction
        ]
        table.transact('t', ops, 0.0)
    read_all()
    live = {
        key: value for key, value in rows_read.items() if value is not None
    }
    expected = {
        key: value
        for key, value, _ in table.read(['claim/1', 'claim/2'])
        if value is not None
    }
    assert live == expected
    assert revision == table.revision
