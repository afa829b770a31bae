import argparse

import pytest

from orioleloom import entry
from orioleloom import errors
from tests.entry import fakes

REQUIRED_FLAGS = [
    '--instance-id=e1',
    '--data-centre=brandon',
    '--platform-url=http://127.0.0.1:9',
]


def parse(arguments, environment=()):
    parser = argparse.ArgumentParser()
    entry.add_arguments(parser, dict(environment))
    return entry.from_arguments(parser.parse_args(arguments))


def test_flag_precedes_environment_precedes_default():
    # Guards the precedence of flags, environment variables and defaults.
    environment = {
        'ORIOLELOOM_STOP_TIMEOUT_S': '12.5',
        'ORIOLELOOM_JOIN_HOLD_S': '7',
    }
    settings = parse([*REQUIRED_FLAGS, '--join-hold-s=3'], environment)
    assert settings.stop_timeout_s == 12.5
    assert settings.join_hold_s == 3.0
    assert settings.retention_s == 900.0


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('stop_timeout_s', -1.0),
        ('http_bind_port', 70_000),
        ('http_bind_host', 'localhost'),
        ('platform_url', 'table:9'),
        ('instance_id', 'a.b'),
        ('data_centre', ''),
        ('peer_bind', 'tcp://*:1'),
    ],
)
def test_bad_value_is_refused_by_name(name, value):
    # Guards R18, and against a process that starts with a setting outside
    # its accepted range.
    with pytest.raises(errors.DispatchError) as caught:
        fakes.make_settings(**{name: value})
    assert caught.value.kind == errors.ErrorKind.BAD_FIELD
    assert name.replace('_bind', '')[:4] in caught.value.message
