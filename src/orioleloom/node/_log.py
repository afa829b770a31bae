import os
import time
import traceback
import typing

import eliot
import msgspec
import trio

# Average and burst rate limits of log lines. The leader of a large site
# finishes 500 jobs a second and logs a line for each; a limit of 300 lines
# a second dropped most lines under that load.
_LINES_PER_S = 800.0
_BURST_LINES = 1600.0
# Maximum size of the lines buffered for a slow reader of the log.
_MAX_BUFFER_BYTES = 256 * 1024
# Delay before a task that ended unexpectedly runs again.
_RESTART_DELAY_S = 0.1


async def run_guarded(
    name: str, function: typing.Callable[..., typing.Any], *args: typing.Any
) -> None:
    """Await a function and log an unexpected error instead of raising it.

    An instance serves many callers. An error in the handling of one message
    or request must not end the others.
    """
    try:
        await function(*args)
    except Exception:
        log_unexpected_error(name)


async def run_forever(
    name: str, function: typing.Callable[[], typing.Any]
) -> typing.NoReturn:
    """Await a function again and again, also after unexpected errors."""
    while True:
        await run_guarded(name, function)
        await trio.sleep(_RESTART_DELAY_S)


def log_unexpected_error(name: str) -> None:
    """Log the exception that is being handled.

    :param name: part of the program whose work was abandoned
    """
    log('internal_error', part=name, traceback=traceback.format_exc())


class LogWriter:
    """Writes eliot messages as JSON lines without blocking.

    Lines that exceed the rate limit or the buffer are dropped and counted.
    The count is logged before the next line that is written.

    :param fd: file descriptor to write to; it is set to non-blocking mode
    """

    def __init__(self, fd: int, instance_id: str):
        self.fd = fd
        self.instance_id = instance_id
        self.n_dropped = 0
        self._buffer = bytearray()
        self._allowance = _BURST_LINES
        self._refilled_s = time.monotonic()
        os.set_blocking(fd, False)

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write a message, as a destination of eliot."""
        now_s = time.monotonic()
        self._allowance = min(
            _BURST_LINES,
            self._allowance + (now_s - self._refilled_s) * _LINES_PER_S,
        )
        self._refilled_s = now_s
        if self._allowance < 1 or len(self._buffer) > _MAX_BUFFER_BYTES:
            self.n_dropped += 1
            return
        self._allowance -= 1
        if self.n_dropped:
            self._append(
                {'message_type': 'log_dropped', 'n_lines': self.n_dropped}
            )
            self.n_dropped = 0
        # eliot's task identifiers are left out, since the job id already
        # correlates the lines.
        for name in ('task_uuid', 'task_level'):
            message.pop(name, None)
        self._append(message)
        self.flush()

    def _append(self, message: dict[str, typing.Any]) -> None:
        message['instance'] = self.instance_id
        self._buffer += msgspec.json.encode(message, enc_hook=repr)
        self._buffer += b'\n'

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        try:
            while self._buffer:
                n_bytes = os.write(self.fd, self._buffer)
                del self._buffer[:n_bytes]
        except BlockingIOError:
            # The rest is written with the next line or by the flush timer.
            pass

    def start(self) -> None:
        """Register as a destination of eliot."""
        eliot.add_destinations(self)

    def stop(self) -> None:
        """Unregister from eliot and flush the buffer."""
        eliot.remove_destination(self)
        self.flush()


def log(event_name: str, **fields: typing.Any) -> None:
    """Log an event with its fields.

    :param event_name: name of the event
    """
    eliot.log_message(message_type=event_name, **fields)
