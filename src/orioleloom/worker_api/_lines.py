import collections.abc

from orioleloom import codec
from orioleloom import errors
from orioleloom import model

# A result of 256 KiB; the rest is for the task key, the error text and the
# JSON syntax.
MAX_RESULT_LINE_BYTES = 256 * 1024 + 4096


class ResultLineError(Exception):
    """The response of a worker is invalid from this point on."""


class ResultLineReader:
    """Splits the response of one exchange into lines and checks them.

    :param keys: keys of the tasks that were sent
    """

    def __init__(self, keys: collections.abc.Iterable[str]):
        self.pending_keys = set(keys)
        # Received parts of the line that is not complete yet.
        self._parts: list[bytes] = []
        self._n_bytes = 0

    def feed(self, data: bytes) -> collections.abc.Iterator[model.ResultLine]:
        """Yield the lines that are complete once ``data`` is appended.

        :raises ResultLineError: a line is malformed or too long, or its key
            was not sent or already has a line; the lines before it are
            yielded
        """
        first, *others = data.split(b'\n')
        self._parts.append(first)
        self._n_bytes += len(first)
        for part in others:
            line = b''.join(self._parts)
            self._parts = [part]
            self._n_bytes = len(part)
            yield self._decode_line(line)
        if self._n_bytes > MAX_RESULT_LINE_BYTES:
            raise ResultLineError('result line is too long')

    def check_complete(self) -> None:
        """Check that the response ended after a complete line.

        :raises ResultLineError: the response ended in the middle of a line
        """
        if self._n_bytes:
            raise ResultLineError('response ends in the middle of a line')

    def _decode_line(self, data: bytes) -> model.ResultLine:
        if len(data) > MAX_RESULT_LINE_BYTES:
            raise ResultLineError('result line is too long')
        try:
            line = codec.decode_result_line(data)
        except errors.DispatchError as exc:
            raise ResultLineError(exc.message) from exc
        if line.key not in self.pending_keys:
            raise ResultLineError('result line has an unexpected key')
        self.pending_keys.remove(line.key)
        return line
