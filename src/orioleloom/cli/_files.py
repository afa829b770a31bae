import sys

from orioleloom.cli import _exit


def read_input(path: str) -> bytes:
    """Read a file, or standard input if the path is ``-``.

    :raises CommandError: the file cannot be read
    """
    if path == '-':
        return sys.stdin.buffer.read()
    try:
        with open(path, 'rb') as file:
            return file.read()
    except OSError as exc:
        raise _exit.CommandError(
            _exit.ExitCode.USAGE, f'cannot read {path}: {exc.strerror}'
        ) from exc
