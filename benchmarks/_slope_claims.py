"""Cost of batching claims into table transactions."""

import random
import time

from benchmarks import _slope
from orioleloom import claims
from orioleloom import model

WAITING = (10, 100, 1000)


def _group(index: int) -> claims.WriteGroup:
    token = f'e1/0123456789abcdef:{index}'
    claim = model.Claim(
        'entry-0001/0123456789abcdef',
        20,
        20,
        model.ClaimState.CLAIMED,
        token,
        '0' * 64,
    )
    key = model.JobId('customer-001', f'job-{index}').claim_key()
    op = model.TableOp('put', key, claims.claim_to_value(claim), 0)
    return claims.WriteGroup(index, token, (op,), 1e9)


def _write_all(n_waiting: int) -> tuple[float, float, int]:
    """Return CPU us per claim, rows per transaction, transactions."""
    writer = claims.ClaimWriter(
        identity='e1/0123456789abcdef',
        budget_per_s=1e6,
        burst=1e6,
        random_state=random.Random(1),
    )
    began_s = time.process_time()
    for index in range(n_waiting):
        writer.add(_group(index))
    now_s = 0.0
    n_transactions = 0
    while len(writer):
        now_s += 0.005
        batch = writer.next_batch(now_s)
        n_transactions += 1
        writer.transaction_done(
            batch.token, model.Committed(n_transactions), now_s
        )
    used_s = time.process_time() - began_s
    return (
        used_s / n_waiting * 1e6,
        n_waiting / n_transactions,
        n_transactions,
    )


def batching() -> list[_slope.Slope]:
    """Measure batch sizes and CPU time for numbers of waiting claims."""
    slopes = []
    for n_waiting in WAITING:
        runs = [_write_all(n_waiting) for _ in range(15)]
        costs, rows, transactions = zip(*runs)
        size = f'{n_waiting} claims waiting'
        slopes += [
            _slope.slope('claims', size, 'us a claim', costs),
            _slope.slope('claims', size, 'rows a transaction', rows),
            _slope.slope('claims', size, 'transactions', transactions),
        ]
    return slopes
