"""Log of refusals."""

from orioleloom import http1
from orioleloom.platform import _refusals


def test_each_kind_has_one_line_with_its_number(monkeypatch):
    """Guards against a line for each client of a crowd."""
    lines = []
    monkeypatch.setattr(
        _refusals.node, 'log', lambda name, **fields: lines.append(fields)
    )
    server = http1.Server(lambda connection, request: None)
    log = _refusals.RefusalLog({'callers': server})
    server.counters.update(large_heads=400, late_heads=2, broken_answers=1)
    log.log_new()
    log.log_new()
    server.counters['large_heads'] += 1
    log.log_new()
    assert [(line['kind'], line['n']) for line in lines] == [
        ('large_heads', 400),
        ('late_heads', 2),
        ('large_heads', 1),
    ]
