"""Tests of the decoders with valid, mutated and arbitrary input."""

import base64
import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from orioleloom import dispatch
from orioleloom import node
from orioleloom.platform import _wire

QUEUE = dispatch.Queue('q', 'pool')

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**40), 2**40)
    | st.floats(allow_nan=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=12), inner, max_size=6)
    ),
    max_leaves=12,
)


def mutated(example):
    """Generate copies of a message with fields missing or replaced."""
    return st.fixed_dictionaries(
        {},
        optional={
            name: st.just(value) | json_values
            for name, value in example.items()
        },
    ).map(lambda fields: json.dumps(fields).encode())


WORKER = {
    'service': 'pool',
    'address': '10.0.0.1:80',
    'zone': 'z1',
    'state': 'ready',
    'capacity': {'cpu': 16000, 'memMb': 100, 'gpu': 0},
    'labels': ['a', 'r1'],
    'born': 5,
}
JOB = {
    'spec': 'text',
    'phases': [{'count': 2, 'cpu': 500, 'memMb': 64, 'estimateMs': 200}],
    'bestEffort': True,
}
REPORT = {
    'clockMs': 7,
    'born': 3,
    'running': [['00000000000000aa.0.0.1', 2, '', 40]],
    'endedRuns': [[1, '00000000000000aa.0.0.0', 1, 'done', '']],
}
ROUTE = {
    'name': 'r',
    'host': 'H.example',
    'pathPrefix': '/p/',
    'service': 'pool',
    'targetLatencyMs': 60,
    'maxAttempts': 3,
    'slackFactor': 1.6,
}
CONFIGURATION = {
    'version': 4,
    'routes': [ROUTE],
    'limits': {'maxHeaderBytes': 100, 'idleTimeoutMs': 5000},
}
ROWS = {'rows': [{'key': 'k', 'value': 'dg==', 'ver': 3}], 'ver': 9}

DECODERS = {
    'worker': (lambda data: _wire.decode_worker('i-1', data), WORKER),
    'job': (lambda data: _wire.decode_job('a' * 16, QUEUE, data), JOB),
    'report': (_wire.decode_report, REPORT),
    'command_response': (_wire.decode_command_response, REPORT),
    'configuration': (_wire.decode_configuration, CONFIGURATION),
    'rows': (_wire.decode_rows, ROWS),
    'member': (
        lambda data: _wire.decode_member('e1', data),
        {'instance_id': 'e1'},
    ),
}


@pytest.mark.parametrize('name', DECODERS)
@hypothesis.given(data=st.data())
@hypothesis.settings(max_examples=150, deadline=None)
def test_decoder_raises_only_its_own_error(name, data):
    """A decoder either succeeds or raises WireError with a message."""
    decode, example = DECODERS[name]
    raw = data.draw(
        st.binary(max_size=60)
        | json_values.map(lambda value: json.dumps(value).encode())
        | mutated(example)
    )
    try:
        decode(raw)
    except _wire.WireError as exc:
        assert str(exc)


def test_worker_entry():
    worker = _wire.decode_worker('i-1', json.dumps(WORKER).encode())
    assert worker == dispatch.WorkerInfo(
        'i-1',
        '10.0.0.1:80',
        'z1',
        'pool',
        dispatch.Resources(16000, 100, 0),
        ('a', 'r1'),
        5,
        False,
    )


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 'gone'},
        {'address': 'name.example:80'},
        {'capacity': None},
        {'service': 3},
    ],
)
def test_invalid_worker_entry_is_rejected(fields):
    with pytest.raises(_wire.WireError):
        _wire.decode_worker('i-1', json.dumps({**WORKER, **fields}).encode())


def test_configuration():
    routing = _wire.decode_configuration(json.dumps(CONFIGURATION).encode())
    route = routing.find('h.example', '/p/00')
    assert route.queue == dispatch.Queue('r', 'pool', 0, 3, 1.6, 0.06)
    assert routing.find('h.example', '/q/') is None
    assert routing.find('other', '/p/') is None


def test_services_that_do_not_check_their_capacity():
    """Fields that are false may be left out on the wire."""
    services = [
        {'name': 'pool', 'admissionCheck': True},
        {'name': 'bulk', 'admissionCheck': False},
        {'name': 'rest'},
    ]
    routing = _wire.decode_configuration(
        json.dumps({**CONFIGURATION, 'services': services}).encode()
    )
    assert routing.unguarded_upstreams == ('bulk', 'rest')


def test_row_of_crashes_is_read_as_it_was_written():
    rows = [
        node.CrashRow(
            dispatch.TaskKey('a' * 16, 0, 1),
            'i-1',
            7,
            '10.0.0.1:80',
            True,
            1.5,
        )
    ]
    assert _wire.decode_crashes('job', _wire.encode_crashes(rows)) == rows


@pytest.mark.parametrize(
    'data',
    [b'', b'{}', b'[[]]', b'[[["a", 0], "i", 7, "x", true, 1]]', b'\xff'],
)
def test_invalid_row_of_crashes_is_rejected(data):
    """Tables may contain rows of other writers."""
    with pytest.raises(_wire.WireError):
        _wire.decode_crashes('job', data)


def test_longest_prefix_selects_the_route():
    routes = [
        {**ROUTE, 'name': 'short', 'pathPrefix': '/p/'},
        {**ROUTE, 'name': 'long', 'pathPrefix': '/p/q/'},
    ]
    routing = _wire.decode_configuration(
        json.dumps({'version': 1, 'routes': routes}).encode()
    )
    assert routing.find('h.example', '/p/q/1').queue.name == 'long'
    assert routing.find('h.example', '/p/1').queue.name == 'short'


@pytest.mark.parametrize(
    'fields',
    [
        {'bestEffort': False},
        {'longRunning': True},
        {'repeatCount': 3},
        {'phases': [{'count': 1, 'gang': True}]},
    ],
)
def test_unsupported_job_raises_its_own_error(fields):
    with pytest.raises(_wire.UnsupportedError):
        _wire.decode_job(
            'a' * 16, QUEUE, json.dumps({**JOB, **fields}).encode()
        )


@pytest.mark.parametrize(
    'phases',
    [
        [],
        [{'count': 0}],
        [{'count': 1, 'after': [0]}],
        [{'count': 1, 'cpu': -5}],
        [{'count': 20_000}],
    ],
)
def test_invalid_steps_are_rejected(phases):
    with pytest.raises(_wire.WireError):
        _wire.decode_job(
            'a' * 16, QUEUE, json.dumps({**JOB, 'phases': phases}).encode()
        )


@hypothesis.given(
    key=st.builds(
        dispatch.TaskKey,
        st.text('0123456789abcdef', min_size=16, max_size=16),
        st.integers(0, 99),
        st.integers(0, 9999),
    )
)
def test_task_names_round_trip(key):
    assert _wire.decode_task_name(_wire.encode_task_name(key)) == key


def test_rows_of_the_store():
    rows = _wire.decode_rows(msgspec.json.encode(ROWS))
    assert base64.b64decode(rows.rows[0].value) == b'v'
    assert rows.ver == 9
