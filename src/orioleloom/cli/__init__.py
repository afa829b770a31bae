"""Command line for operators and callers."""

from orioleloom.cli._exit import ExitCode
from orioleloom.cli._main import main

__all__ = ['ExitCode', 'main']
