import collections.abc

from orioleloom import codec
from orioleloom import errors
from orioleloom import model

# A result of 256 KiB with its key, error text and the JSON around it.
MAX_LINE_BYTES = 256 * 1024 + 4096


class LineError(Exception):
    """The answer of a worker cannot be trusted beyond this point."""


class LineReader:
    """Splits and checks the answer of one exchange.

    :param keys: keys that were sent
    """

    def __init__(self, keys: collections.abc.Iterable[str]):
        self.missing = set(keys)
        # Parts of a line that is not complete yet.
        self._parts: list[bytes] = []
        self._n_bytes = 0

    def feed(self, data: bytes) -> collections.abc.Iterator[model.TaskLine]:
        """Yield the lines that ``data`` completes.

        :raises LineError: a line is malformed, too long, or its key was
            not sent or had a line already; lines before it are yielded
        """
        first, *others = data.split(b'\n')
        self._parts.append(first)
        self._n_bytes += len(first)
        for part in others:
            line = b''.join(self._parts)
            self._parts = [part]
            self._n_bytes = len(part)
            yield self._check(line)
        if self._n_bytes > MAX_LINE_BYTES:
            raise LineError('result line is too long')

    def finish(self) -> None:
        """Check that the answer ended after a whole line.

        :raises LineError: it ended in the middle of a line
        """
        if self._n_bytes:
            raise LineError('answer ends in the middle of a line')

    def _check(self, part: bytes) -> model.TaskLine:
        if len(part) > MAX_LINE_BYTES:
            raise LineError('result line is too long')
        try:
            line = codec.decode_task_line(part)
        except errors.DispatchError as exc:
            raise LineError(exc.message) from exc
        if line.key not in self.missing:
            raise LineError('result line has a key that is not awaited')
        self.missing.remove(line.key)
        return line
