"""The platform's settings file."""

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
    """Limits of the machine."""

    cpu_share: float = 1.0
    cores: float = 1.0
    max_fds: int = 1024


class Bounds(msgspec.Struct):
    """The bounds that this adapter uses.

    :param grace_s: time between SIGTERM and SIGKILL
    """

    grace_s: float = msgspec.field(name='graceS', default=6.0)


class StoreSettings(msgspec.Struct):
    """The platform's store."""

    address: str


class PlatformSettings(msgspec.Struct):
    """The fields of the settings file that the product uses."""

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
        """Return the address at which an instance hears its peers."""
        return f'tcp://{ip}:{self.internal_ports[0]}'

    def seed_peers(self) -> tuple[str, ...]:
        """Return the peer addresses of the seeds."""
        return tuple(
            self.peer_address(seed.rpartition(':')[0]) for seed in self.seeds
        )


class SettingsError(Exception):
    """The settings file is missing or wrong."""


def load(environment: typing.Mapping[str, str]) -> PlatformSettings:
    """Read the settings file that the environment names.

    :raises SettingsError: names the file and the field
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
    """Return when the settings file was changed, or 0."""
    try:
        return os.stat(environment.get(PATH_VARIABLE, '')).st_mtime
    except OSError:
        return 0.0


# The loader in C reads a settings file in a tenth of the time.
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
