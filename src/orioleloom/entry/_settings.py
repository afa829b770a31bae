import argparse
import collections.abc
import ipaddress
import os
import re
import typing
import urllib.parse

from orioleloom import errors
from orioleloom import peer_api
from orioleloom import validation

ENVIRONMENT_PREFIX = 'ORIOLELOOM_'

# '.' and '/' are excluded because they separate the id from the other parts
# of a ticket or an identity.
_INSTANCE_ID = re.compile(r'[A-Za-z0-9][A-Za-z0-9_-]{0,63}')


class Settings(typing.NamedTuple):
    """Settings of an entry instance.

    Each setting is set by the flag ``--name-with-dashes`` or the environment
    variable ``ORIOLELOOM_NAME``; the flag takes precedence.
    """

    instance_id: str
    data_centre: str
    platform_url: str
    http_bind_host: str = '127.0.0.1'
    http_bind_port: int = 8080
    peer_bind: str = 'tcp://127.0.0.1:8081'
    peer_address: str = ''
    seed_peers: str = ''
    members_poll_interval_s: float = 2.0
    contracts_poll_interval_s: float = 2.0
    busy_tick_interval_s: float = 0.05
    idle_tick_interval_s: float = 1.0
    retention_s: float = 900.0
    claim_retention_s: float = 21_600.0
    max_queued_tasks: int = 100_000
    max_queued_bytes: int = 256 * 1024 * 1024
    write_budget_per_s: float = 300.0
    join_hold_s: float = 5.0
    stop_timeout_s: float = 30.0
    placement_price_ms: float = 300.0
    readiness_grace_s: float = 2.0
    body_timeout_s: float = 10.0
    keep_alive_timeout_s: float = 75.0
    write_timeout_s: float = 30.0
    max_wait_s: float = 300.0
    max_open_requests: int = 20_000
    max_receiving_bytes: int = 64 * 1024 * 1024


_HELP = {
    'instance_id': 'name of this instance, unique on the platform list',
    'data_centre': 'data centre of this instance',
    'platform_url': 'base URL of the platform',
    'http_bind_host': 'IP number on which HTTP is served',
    'http_bind_port': 'port on which HTTP is served; 0 picks a free one',
    'peer_bind': 'tcp://IP:PORT for messages of other instances',
    'peer_address': 'tcp://IP:PORT at which other instances reach this one, '
    'when it differs from the bound one',
    'seed_peers': 'peer addresses, separated by commas, that are asked for '
    'contracts when the platform is away at the start',
    'members_poll_interval_s': 'seconds between reads of the member list',
    'contracts_poll_interval_s': 'seconds between reads of the contracts',
    'busy_tick_interval_s': 'seconds between checks while jobs are held',
    'idle_tick_interval_s': 'seconds between checks while idle',
    'retention_s': 'seconds for which answers are kept in memory',
    'claim_retention_s': 'seconds for which claim rows are kept',
    'max_queued_tasks': 'bound on the tasks held by this instance',
    'max_queued_bytes': 'bound on the bytes of the jobs held',
    'write_budget_per_s': 'table transactions a second over all instances',
    'join_hold_s': 'seconds listed before a new instance has a share',
    'placement_price_ms': 'milliseconds that a request to a worker that may '
    'be full must save on average; less buys response time with messages',
    'stop_timeout_s': 'bound in seconds on a planned stop',
    'readiness_grace_s': 'seconds a stopping idle instance still answers, '
    'so that the load balancer sees that it is not ready',
    'body_timeout_s': 'seconds allowed for receiving a request body',
    'keep_alive_timeout_s': 'seconds an idle caller connection stays open',
    'write_timeout_s': 'seconds after which a caller that reads nothing of '
    'its answer is disconnected',
    'max_wait_s': 'longest wait that a caller can ask for',
    'max_open_requests': 'bound on the requests waiting for an answer',
    'max_receiving_bytes': 'bound on the bytes of bodies not yet complete',
}


def _seconds_interval(low: float, high: float) -> validation.Interval:
    return validation.Interval(number_type=float, low=low, high=high)


_CONSTRAINTS: dict[str, validation.Constraint] = {
    'http_bind_port': validation.Interval(number_type=int, low=0, high=65_535),
    'members_poll_interval_s': _seconds_interval(0.05, 60),
    'contracts_poll_interval_s': _seconds_interval(0.05, 60),
    'busy_tick_interval_s': _seconds_interval(0.005, 1),
    'idle_tick_interval_s': _seconds_interval(0.05, 10),
    'retention_s': _seconds_interval(1, 86_400),
    'claim_retention_s': _seconds_interval(60, 604_800),
    'max_queued_tasks': validation.Interval(
        number_type=int, low=validation.MAX_TASKS, high=10_000_000
    ),
    'max_receiving_bytes': validation.Interval(
        number_type=int, low=validation.MAX_BODY_BYTES, high=64 * 1024**3
    ),
    'max_queued_bytes': validation.Interval(
        number_type=int, low=validation.MAX_BODY_BYTES, high=64 * 1024**3
    ),
    'write_budget_per_s': validation.Interval(
        number_type=float, low=0, high=100_000, low_open=True
    ),
    'join_hold_s': _seconds_interval(0, 60),
    'stop_timeout_s': _seconds_interval(0, 600),
    'placement_price_ms': validation.Interval(
        number_type=float, low=0, high=1_000_000
    ),
    'readiness_grace_s': _seconds_interval(0, 60),
    'body_timeout_s': _seconds_interval(0.05, 300),
    'keep_alive_timeout_s': _seconds_interval(1, 3_600),
    'write_timeout_s': _seconds_interval(0.5, 600),
    'max_wait_s': _seconds_interval(1, 3_600),
    'max_open_requests': validation.Interval(
        number_type=int, low=1, high=1_000_000
    ),
}


def _raise_bad_field(
    name: str, value: typing.Any, accepted: str
) -> typing.NoReturn:
    raise errors.DispatchError(
        errors.ErrorKind.BAD_FIELD,
        f'settings: parameter {name!r} is {value!r}; accepted is {accepted}',
    )


def check_settings(settings: Settings) -> Settings:
    """Check all settings and return them.

    :raises DispatchError: ``bad_field``; the message contains the name, the
        value and the accepted values
    """
    validation.check_parameters('settings', _CONSTRAINTS, settings._asdict())
    if _INSTANCE_ID.fullmatch(settings.instance_id) is None:
        _raise_bad_field(
            'instance_id',
            settings.instance_id,
            "1 to 64 ASCII letters, digits, '_' and '-'",
        )
    if not 1 <= len(settings.data_centre) <= 64:
        _raise_bad_field(
            'data_centre', settings.data_centre, '1 to 64 characters'
        )
    try:
        ipaddress.ip_address(settings.http_bind_host)
    except ValueError:
        _raise_bad_field(
            'http_bind_host', settings.http_bind_host, 'an IP number'
        )
    url = urllib.parse.urlsplit(settings.platform_url)
    if url.scheme not in ('http', 'https') or not url.hostname:
        _raise_bad_field(
            'platform_url', settings.platform_url, 'an http(s) URL'
        )
    peer_api.check_peer_address(settings.peer_bind)
    if settings.peer_address:
        peer_api.check_peer_address(settings.peer_address)
    for address in seed_addresses(settings):
        peer_api.check_peer_address(address)
    return settings


def seed_addresses(settings: Settings) -> tuple[str, ...]:
    """Return the peer addresses that are asked for contracts at startup."""
    return tuple(
        address for address in settings.seed_peers.split(',') if address
    )


def add_arguments(
    parser: argparse.ArgumentParser,
    environment: collections.abc.Mapping[str, str] = os.environ,
) -> None:
    """Add a flag for each setting to a parser.

    :param parser: parser of the ``entry`` command
    :param environment: environment variables, used for absent flags

    >>> parser = argparse.ArgumentParser()
    >>> add_arguments(parser, {'ORIOLELOOM_INSTANCE_ID': 'e1'})
    """
    for name, value_type in typing.get_type_hints(Settings).items():
        variable = ENVIRONMENT_PREFIX + name.upper()
        default = Settings._field_defaults.get(name)
        environment_value = environment.get(variable)
        default_text = '' if default is None else f'default {default}; '
        parser.add_argument(
            '--' + name.replace('_', '-'),
            type=value_type,
            default=default
            if environment_value is None
            else environment_value,
            required=default is None and environment_value is None,
            help=f'{_HELP[name]} ({default_text}{variable})',
        )


def from_arguments(namespace: argparse.Namespace) -> Settings:
    """Build checked settings from parsed arguments.

    :raises DispatchError: ``bad_field``
    """
    return check_settings(
        Settings(
            **{name: getattr(namespace, name) for name in Settings._fields}
        )
    )
