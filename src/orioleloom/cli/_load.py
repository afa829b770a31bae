import argparse

from orioleloom.cli import _exit

HELP = 'submit an open-loop load and report response times'
DESCRIPTION = HELP


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags of ``load``."""


def run(arguments: argparse.Namespace) -> _exit.ExitCode:
    """Run the load."""
    raise _exit.CommandError(_exit.ExitCode.USAGE, 'not available yet')
