"""Odd entries of other writers, in every format that a process decodes.

Another writer left one odd entry among those of the workers (very deeply
nested, with a number too large, or with a port out of range), and the
machines that read the list ended again and again, or stopped following it.
"""

import base64
import copy
import ipaddress
import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from orioleloom import dispatch
from orioleloom.platform import _store
from orioleloom.platform import _wire

QUEUE = dispatch.Queue('q', 'pool')
TASK = f'{"a" * 16}.0.0.0'
EXAMPLES = {
    'worker': (
        lambda data: _wire.decode_worker('i-1', data),
        {
            'service': 'pool',
            'address': '10.0.0.1:80',
            'zone': 'z1',
            'state': 'ready',
            'capacity': {'cpu': 16000, 'memMb': 100, 'gpu': 0},
            'labels': ['a', 'r1'],
            'born': 5,
        },
    ),
    'member': (
        lambda data: _wire.decode_member('e1', data),
        ['e1', 'tcp://10.0.0.1:7000', 'dc1', 2.0],
    ),
    'crashes': (
        lambda data: _wire.decode_crashes('a' * 16, data),
        [[['a' * 16, 0, 0], 'w1', 5, '10.0.0.1:80', True, 17.0]],
    ),
    'configuration': (
        _wire.decode_configuration,
        {
            'version': 4,
            'routes': [
                {
                    'name': 'r',
                    'host': 'h.example',
                    'pathPrefix': '/p/',
                    'service': 'pool',
                    'priority': 1,
                    'maxAttempts': 3,
                    'slackFactor': 1.6,
                    'targetLatencyMs': 60,
                }
            ],
            'services': [{'name': 'pool', 'admissionCheck': True}],
            'limits': {'maxHeaderBytes': 100, 'idleTimeoutMs': 5000},
        },
    ),
    'job': (
        lambda data: _wire.decode_job('a' * 16, QUEUE, data),
        {
            'spec': 'text',
            'phases': [
                {
                    'count': 2,
                    'cpu': 500,
                    'memMb': 64,
                    'estimateMs': 200,
                    'antiAffinity': 1,
                }
            ],
            'bestEffort': True,
        },
    ),
    'report': (
        _wire.decode_report,
        {
            'clockMs': 7,
            'born': 3,
            'running': [[TASK, 2, '', 40]],
            'endedRuns': [[1, TASK, 1, 'done', '']],
        },
    ),
    'command response': (
        _wire.decode_command_response,
        {'clockMs': 7, 'reason': 'room'},
    ),
    'rows': (
        _wire.decode_rows,
        {'rows': [{'key': 'k', 'value': 'dg==', 'ver': 3}], 'ver': 9},
    ),
}
NESTED = '@nested@'
HUGE_FLOAT = '@huge@'
ODD_VALUES = [
    NESTED,
    HUGE_FLOAT,
    2**63,
    2**64,
    -(2**64),
    10**400,
    -1,
    0,
    1e308,
    0.5,
    '',
    'x' * 100_000,
    '\x00\r\n',
    '٣',
    '999.1.1.1:80',
    '010.0.0.1:80',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:99999',
    '10.0.0.1:٣',
    'tcp://10.0.0.1:0',
    'tcp://10.0.0.1:٣',
    'tcp://10.0.0.1:65536',
    None,
    True,
    [],
    {},
]


def paths(value, path=()):
    """Yield the path of each part of a message."""
    yield path
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value)
        if isinstance(value, list)
        else ()
    )
    for key, inner in items:
        yield from paths(inner, (*path, key))


def encode(message):
    depth = 50_000
    return (
        json.dumps(message)
        .replace(f'"{NESTED}"', '[' * depth + ']' * depth)
        .replace(f'"{HUGE_FLOAT}"', '1e400')
        .encode()
    )


@st.composite
def odd_messages(draw):
    """Draw a format and a message with odd values in some of its fields."""
    name = draw(st.sampled_from(sorted(EXAMPLES)))
    decode, example = EXAMPLES[name]
    message = copy.deepcopy(example)
    for _ in range(draw(st.integers(1, 2))):
        path = draw(st.sampled_from(list(paths(message))))
        value = draw(st.sampled_from(ODD_VALUES))
        if not path:
            if isinstance(message, dict):
                message['unknownField'] = value
            continue
        inner = message
        for key in path[:-1]:
            inner = inner[key]
        inner[path[-1]] = value
    return decode, message


@hypothesis.settings(
    max_examples=3000,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(odd_messages())
def test_odd_values_are_rejected_or_can_be_used(odd_message):
    """Guards against errors that no caller of a decoder expects.

    What is accepted is sent on to other instances, and used in sums.
    """
    decode, message = odd_message
    try:
        decoded = decode(encode(message))
    except _wire.WireError:
        return
    msgspec.msgpack.encode(decoded)
    if isinstance(decoded, dispatch.WorkerInfo):
        host, _, port = decoded.address.rpartition(':')
        # A name would be looked up, which blocks the event loop.
        ipaddress.IPv4Address(host)
        assert 1 <= int(port) <= 65535
        assert min(decoded.capacity) >= 0


@pytest.mark.parametrize('name', sorted(EXAMPLES))
def test_deep_nesting_is_rejected(name):
    """Guards against RecursionError in a field that the decoder skips."""
    decode, example = EXAMPLES[name]
    message = copy.deepcopy(example)
    if isinstance(message, dict):
        message['unknownField'] = NESTED
    else:
        message.append(NESTED)
    with pytest.raises(_wire.WireError):
        decode(encode(message))


@pytest.mark.parametrize(
    'field, value',
    [
        ('unknownField', NESTED),
        ('born', 2**64),
        ('born', 10**400),
        ('capacity', {'cpu': 10**400}),
        ('capacity', {'cpu': -1}),
        ('address', '10.0.0.1:99999'),
        ('address', '10.0.0.1:0'),
        ('address', '999.1.1.1:80'),
        ('address', '١٠.0.0.1:80'),
    ],
    ids=lambda value: str(value)[:20],
)
async def test_odd_worker_costs_only_its_own_row(field, value):
    """Guards against one row that stops the reading of the list."""
    _, example = EXAMPLES['worker']
    rows = [
        _wire.StoreRow(key, base64.b64encode(encode(row)).decode(), 1)
        for key, row in (
            ('i-1', example),
            ('i-2', {**example, field: value}),
            ('i-3', example),
        )
    ]

    class Store:
        async def read_rows(self, path, query):
            return _wire.StoreRows(rows, False, 9)

    table = _store._StoreTable(Store(), 'servers', _wire.decode_worker)
    snapshot = await table.read()
    assert {k for k, v in snapshot.rows.items() if v} == {'i-1', 'i-3'}


@pytest.mark.parametrize(
    'key',
    ['i-1\r\nX: y', 'i 1', '', 'ü', 'x' * 1000],
    ids=lambda key: repr(key[:9]),
)
def test_worker_id_that_breaks_a_request_is_rejected(key):
    """Guards against an id that adds a header line to the requests."""
    _, example = EXAMPLES['worker']
    with pytest.raises(_wire.WireError):
        _wire.decode_worker(key, encode(example))


@pytest.mark.parametrize('name', ['a.0.٣.0', 'a.0.-1.0', 'a.0.1_0.0', 'a.0.0'])
def test_odd_task_name_is_rejected(name):
    """Guards against two names of one task."""
    with pytest.raises(_wire.WireError):
        _wire.decode_task_name(name)
