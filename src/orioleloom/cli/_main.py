import argparse
import sys
import textwrap
import typing

from orioleloom.cli import _contract
from orioleloom.cli import _demo
from orioleloom.cli import _entry
from orioleloom.cli import _exit
from orioleloom.cli import _load
from orioleloom.cli import _state
from orioleloom.cli import _stop
from orioleloom.cli import _submit

_COMMANDS = (
    ('entry', _entry),
    ('submit', _submit),
    ('contract', _contract),
    ('state', _state),
    ('stop', _stop),
    ('demo', _demo),
    ('load', _load),
)


def build_parser(chosen: str | None = None) -> argparse.ArgumentParser:
    """Build the parser.

    :param chosen: command whose flags are added; ``None`` adds those of
        all commands. Adding the flags of ``entry`` imports the server,
        which no other command needs.
    """
    parser = argparse.ArgumentParser(
        prog='orioleloom',
        description='Dispatcher for sub-second tasks. Each flag can also be '
        'set by the\nenvironment variable in brackets; a flag takes '
        'precedence.',
        epilog=_exit.epilog(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(
        dest='command', required=True, metavar='COMMAND'
    )
    for name, module in _COMMANDS:
        command = commands.add_parser(
            name,
            help=module.HELP,
            description=textwrap.fill(module.DESCRIPTION, 78),
            epilog=_exit.epilog(),
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        if chosen is None or chosen == name:
            module.add_arguments(command)
        command.set_defaults(run=module.run)
    return parser


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run the command line.

    :param argv: arguments without the program's name
    :returns: exit code, a value of :class:`ExitCode`
    """
    argv = sys.argv[1:] if argv is None else argv
    chosen = argv[0] if argv else ''
    arguments = build_parser(chosen).parse_args(argv)
    try:
        return int(arguments.run(arguments))
    except _exit.CommandError as exc:
        print(f'orioleloom: {exc.message}', file=sys.stderr)
        return int(exc.code)
    except KeyboardInterrupt:
        # 128 + SIGINT, as shells report a process ended by this signal.
        return 130
    except BrokenPipeError:
        # The reader of the output, such as ``head``, has exited.
        sys.stderr.close()
        return int(_exit.ExitCode.OK)
