import os
import time
import typing

import eliot
import msgspec

# Lines written in a second on average, and in a burst. The leader of the
# grown sites ends 500 jobs a second, and each is a line; at 300 lines most
# of a busy second was dropped.
_LINES_PER_S = 800.0
_BURST_LINES = 1600.0
# Lines kept while the reader of the log does not keep up.
_MAX_BUFFER_BYTES = 256 * 1024


class LogWriter:
    """Writes eliot messages as JSON lines without blocking.

    Lines beyond the rate, or beyond the buffer while the reader is slow,
    are dropped and counted; the count is written when lines pass again.

    :param fd: file descriptor, which is made non-blocking
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
        """Write a message; an eliot destination."""
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
        # eliot's task identifiers are left out: the job's id links lines.
        for name in ('task_uuid', 'task_level'):
            message.pop(name, None)
        self._append(message)
        self.flush()

    def _append(self, message: dict[str, typing.Any]) -> None:
        message['instance'] = self.instance_id
        self._buffer += msgspec.json.encode(message, enc_hook=repr)
        self._buffer += b'\n'

    def flush(self) -> None:
        """Write what the reader takes now."""
        try:
            while self._buffer:
                n_bytes = os.write(self.fd, self._buffer)
                del self._buffer[:n_bytes]
        except BlockingIOError:
            # The rest is written with a later line or by the timer.
            pass

    def start(self) -> None:
        """Receive eliot's messages."""
        eliot.add_destinations(self)

    def stop(self) -> None:
        """Receive no more messages."""
        eliot.remove_destination(self)
        self.flush()


def log(decision: str, **fields: typing.Any) -> None:
    """Log one decision, or a change of what the process believes."""
    eliot.log_message(message_type=decision, **fields)
