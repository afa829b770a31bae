"""Entry instance: HTTP server, engine runner, startup and settings."""

from orioleloom.entry._daemon import Components
from orioleloom.entry._daemon import serve
from orioleloom.entry._runner import EngineRunner
from orioleloom.entry._settings import add_arguments
from orioleloom.entry._settings import check_settings
from orioleloom.entry._settings import from_arguments
from orioleloom.entry._settings import Settings

__all__ = [
    'Components',
    'EngineRunner',
    'Settings',
    'add_arguments',
    'check_settings',
    'from_arguments',
    'serve',
]
