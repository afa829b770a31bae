import argparse

import trio

from orioleloom.cli import _exit
from orioleloom import entry
from orioleloom import errors

HELP = 'run an entry instance'
DESCRIPTION = (
    'Runs one entry instance in the foreground until POST /v1/stop or '
    'SIGTERM ends it gracefully.'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags of an entry instance."""
    # The commands of a caller work in an installation without the entry.
    if hasattr(entry, 'add_arguments'):
        entry.add_arguments(parser)


def run(arguments: argparse.Namespace) -> _exit.ExitCode:
    """Run the instance."""
    if not hasattr(entry, 'serve'):
        raise _exit.CommandError(
            _exit.ExitCode.USAGE, 'the package orioleloom.entry is missing'
        )
    try:
        settings = entry.from_arguments(arguments)
    except (errors.DispatchError, ValueError) as exc:
        raise _exit.CommandError(_exit.ExitCode.USAGE, str(exc)) from exc
    trio.run(entry.serve, settings)
    return _exit.ExitCode.OK
