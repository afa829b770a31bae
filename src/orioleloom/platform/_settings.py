"""Settings file that the platform provides."""

import os
import typing

import msgspec
import yaml

PATH_VARIABLE = 'ORIOLELOOM_BOOT'


class Listen(msgspec.Struct):
    """Addresses that the process listens on."""

    frontend: str = ''
    readiness_address: str = msgspec.field(name='readinessAddr', default='')
    control: str = ''


class Limits(msgspec.Struct, rename='camel'):
    """Resource limits of the process on its machine.

    :param cpu_share: share of the cores that the process may use
    :param max_fds: maximum number of open file descriptors
    :param memory_mb: memory of the machine; 0 if not known
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    max_fds: int = 1024
    memory_mb: float = 0.0


class Bounds(msgspec.Struct):
    """Time limits of the platform that this adapter uses.

    :param grace_s: time between SIGTERM and SIGKILL
    :param config_apply_ms: time in which a configuration must be in force
    :param resend_ms: time after a lost answer until a caller submits its job
        again; 0 if it is not known
    :param interference_ms: time in which interference of tasks is to be
        found; 0 if it is not learned
    :param remote_factor: run time of a task outside the rack that holds its
        data, relative to one there
    """

    grace_s: float = msgspec.field(name='graceS', default=6.0)
    config_apply_ms: float = msgspec.field(name='configApplyMs', default=2000)
    resend_ms: float = msgspec.field(name='resendMs', default=0)
    interference_ms: float = msgspec.field(name='interferenceMs', default=0.0)
    remote_factor: float = msgspec.field(name='remoteFactor', default=1.0)


class StoreSettings(msgspec.Struct):
    """Connection settings of the platform's store."""

    address: str


class PlatformSettings(msgspec.Struct):
    """Fields of the settings file that orioleloom uses."""

    instance_id: str = msgspec.field(name='nodeName')
    ip: str
    data_centre: str = msgspec.field(name='zone')
    listen: Listen
    internal_ports: tuple[int, int] = msgspec.field(name='internalPorts')
    store: StoreSettings = msgspec.field(name='platform')
    limits: Limits = msgspec.field(default_factory=Limits)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    seeds: list[str] = msgspec.field(default_factory=list)

    def peer_address(self, ip: str) -> str:
        """Return the peer address of the instance with this IP address."""
        return f'tcp://{ip}:{self.internal_ports[0]}'

    def seed_peers(self) -> tuple[str, ...]:
        """Return the peer addresses of the seed instances."""
        return tuple(
            self.peer_address(seed.rpartition(':')[0]) for seed in self.seeds
        )


class SettingsError(Exception):
    """The settings file is missing or invalid."""


def load(environment: typing.Mapping[str, str]) -> PlatformSettings:
    """Read the settings file whose path is in the environment.

    :raises SettingsError: the file is missing or invalid; the message names
        the file and, if a field is invalid, the field
    """
    path = environment.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f'environment variable {PATH_VARIABLE} is not set')
    try:
        with open(path, encoding='utf-8') as file:
            loaded = yaml.load(file, _LOADER)
        return msgspec.convert(loaded, PlatformSettings, strict=False)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        raise SettingsError(f'settings file {path}: {exc}') from exc


def modified_s(environment: typing.Mapping[str, str]) -> float:
    """Return the modification time of the settings file, or 0."""
    try:
        return os.stat(environment.get(PATH_VARIABLE, '')).st_mtime
    except OSError:
        return 0.0


# The C loader parses a settings file ten times as fast as the Python loader.
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
