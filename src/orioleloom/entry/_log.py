import logging
import secrets
import sys
import traceback
import typing

import eliot
import eliot.stdlib
import msgspec


def _write_message(message: dict[str, typing.Any]) -> None:
    line = msgspec.json.encode(message, enc_hook=repr)
    sys.stderr.write(line.decode() + '\n')


def start_logging() -> None:
    """Write eliot messages and library warnings to stderr as JSON."""
    eliot.add_destinations(_write_message)
    logging.getLogger().addHandler(eliot.stdlib.EliotHandler())


def stop_logging() -> None:
    """Remove the destination and handler of :func:`start_logging`."""
    eliot.remove_destination(_write_message)
    root = logging.getLogger()
    for handler in [*root.handlers]:
        if isinstance(handler, eliot.stdlib.EliotHandler):
            root.removeHandler(handler)


def log_internal_error(where: str) -> str:
    """Log the exception being handled with its stack trace.

    :param where: event type or operation that failed
    :returns: random reference, by which an operator finds the log entry
        that belongs to an error answer
    """
    reference = secrets.token_hex(6)
    eliot.log_message(
        message_type='internal_error',
        where=where,
        reference=reference,
        traceback=traceback.format_exc(),
    )
    return reference
