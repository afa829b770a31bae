import argparse

import trio

from orioleloom.cli import _exit
from orioleloom import errors
from orioleloom import timers

HELP = 'run an entry instance'
DESCRIPTION = (
    'Runs one entry instance in the foreground until POST /v1/stop or '
    'SIGTERM ends it gracefully.'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags of an entry instance."""
    # Imported here so that other commands do not load the server.
    from orioleloom import entry

    entry.add_arguments(parser)


def run(arguments: argparse.Namespace) -> _exit.ExitCode:
    """Run the instance."""
    from orioleloom import entry

    try:
        settings = entry.from_arguments(arguments)
    except (errors.DispatchError, ValueError) as exc:
        raise _exit.CommandError(_exit.ExitCode.USAGE, str(exc)) from exc
    trio.run(entry.serve, settings, clock=timers.SuspendAwareClock())
    return _exit.ExitCode.OK
