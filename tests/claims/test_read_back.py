"""Reading back the rows of a transaction whose answer was lost."""

import random

from orioleloom import claims
from orioleloom import model


def group(name: str) -> claims.WriteGroup:
    op = model.TableOp('put', f'claim/c/{name}', {'token': name}, 0)
    return claims.WriteGroup(name, name, (op,), 100.0)


def test_late_write_of_an_earlier_transaction_proves_nothing():
    # Guards R4: the first transaction writes the row of group "a" late;
    # the second, with "a" and "b", is lost. The row of "a" does not show
    # that the second was applied, so "b" must be sent again and not be
    # reported as a conflict.
    writer = claims.ClaimWriter(
        identity='e0/1', budget_per_s=100.0, random_state=random.Random(1)
    )
    writer.add(group('a'))
    first = writer.next_batch(0.0)
    writer.transaction_done(first.token, model.WriteUnknown(), 1.0)
    read = writer.next_batch(2.0)
    empty = model.Row('claim/c/a', None, 0)
    assert writer.rows_read(read.token, (empty,), 2.0) == []
    writer.add(group('b'))
    second = writer.next_batch(3.0)
    assert len(second.ops) == 2
    writer.transaction_done(second.token, model.WriteUnknown(), 4.0)
    read = writer.next_batch(6.0)
    rows = (
        model.Row('claim/c/a', {'token': 'a'}, 7),
        model.Row('claim/c/b', None, 0),
    )
    decided = writer.rows_read(read.token, rows, 6.0)
    assert [(g.tag, o) for g, o in decided] == [
        ('a', claims.GroupCommitted(7))
    ]
    again = writer.next_batch(7.0)
    assert [op.key for op in again.ops] == ['claim/c/b']


def test_overwritten_group_of_a_committed_transaction_conflicts():
    # Guards against sending a group again that was applied and then
    # overwritten.
    writer = claims.ClaimWriter(
        identity='e0/1', budget_per_s=100.0, random_state=random.Random(1)
    )
    writer.add(group('a'))
    writer.add(group('b'))
    batch = writer.next_batch(0.0)
    writer.transaction_done(batch.token, model.WriteUnknown(), 1.0)
    read = writer.next_batch(2.0)
    rows = (
        model.Row('claim/c/a', {'token': 'a'}, 7),
        model.Row('claim/c/b', {'token': 'other'}, 9),
    )
    decided = dict(
        (g.tag, outcome)
        for g, outcome in writer.rows_read(read.token, rows, 2.0)
    )
    assert decided == {
        'a': claims.GroupCommitted(7),
        'b': claims.GroupConflicted((rows[1],)),
    }
