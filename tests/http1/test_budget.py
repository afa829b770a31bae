"""Choice of the connections that are closed when memory is short."""

import pytest

from orioleloom.http1 import _budget


def receive(budget, name, n_bytes, started_s, progress_s, is_partial=True):
    reception = _budget.Reception(name)
    reception.is_partial = is_partial
    reception.n_received_bytes = n_bytes
    reception.started_s = started_s
    reception.progress_s = progress_s
    budget.hold(reception, n_bytes)
    return reception


def names(receptions):
    return [reception.owner for reception in receptions]


def test_stalled_requests_are_closed_before_slow_ones():
    """Guards against closing the newest caller, as a full queue would."""
    budget = _budget.Budget(800)
    receive(budget, 'new', 10, 9.99, 10.0)
    receive(budget, 'fast', 300, 9.5, 10.0)
    receive(budget, 'slow', 200, 8.0, 10.0)
    receive(budget, 'stalled', 200, 9.0, 9.7)
    receive(budget, 'stalled longer', 200, 9.0, 9.5)
    receive(budget, 'being handled', 100, 1.0, 1.0, False)
    assert budget.is_short()
    # 310 bytes over the low-water mark of 700.
    assert names(budget.select_slowest(10.0)) == ['stalled longer', 'stalled']
    budget.limit_bytes = 0
    assert names(budget.select_slowest(10.0)) == [
        'stalled longer',
        'stalled',
        'slow',
        'fast',
        'new',
    ]


def test_client_whose_bytes_wait_for_the_server_has_not_stalled():
    """Guards against closing clients because the server is slow."""
    budget = _budget.Budget(100)
    receive(budget, 'waits', 100, 9.9, float('inf'))
    receive(budget, 'stalled', 100, 9.0, 9.5)
    assert names(budget.select_slowest(10.0)) == ['stalled', 'waits']


def test_released_bytes_can_be_held_again():
    """Guards against a budget that shrinks with each connection."""
    budget = _budget.Budget(100)
    for _ in range(10):
        reception = receive(budget, 'x', 60, 0.0, 0.0)
        budget.hold(reception, 80)
        assert budget.held_bytes == 80
        budget.hold(reception, 0)
    assert budget.held_bytes == 0
    assert budget.peak_bytes == 80
    assert not budget.select_slowest(10.0)


def test_full_server_closes_no_request_that_has_just_begun():
    budget = _budget.Budget()
    receptions = [
        receive(budget, 'new', 10, 9.99, 10.0),
        receive(budget, 'stalled', 10, 9.0, 9.0),
        receive(budget, 'idle', 0, 1.0, 1.0, False),
    ]
    assert names(budget.select_late(receptions, 3, 10.0)) == ['stalled']


@pytest.mark.parametrize(
    ('memory_mb', 'n_bytes'),
    [(0, 64 * 1024**2), (10, 4 * 1024**2), (160, 20_000_000)],
)
def test_limit_follows_from_the_memory(memory_mb, n_bytes):
    assert _budget.limit_bytes(memory_mb) == n_bytes
