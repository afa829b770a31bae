import collections.abc
import contextlib
import typing


class NotSentError(Exception):
    """No byte of the request left."""


class BrokenError(Exception):
    """The exchange broke after bytes of the request may have left."""


class Response(typing.NamedTuple):
    """Head of an answer and its body as it arrives."""

    status: int
    data: collections.abc.AsyncIterator[bytes]


class Transport(typing.Protocol):
    """Sends one POST to a worker, without retries."""

    def post(
        self, base_url: str, path: str, body: bytes
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        """POST a JSON body; leaving early closes the connection.

        :raises NotSentError: no byte of the request left
        :raises BrokenError: bytes of it may have left
        """

    async def forget(self, base_url: str) -> None:
        """Close the connections to a worker that left the list."""

    async def close(self) -> None:
        """Close all connections."""
