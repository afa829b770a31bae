import collections.abc
import contextlib
import typing


class NotSentError(Exception):
    """No byte of the request left."""


class BrokenError(Exception):
    """The exchange broke after bytes of the request may have left."""


class Response(typing.NamedTuple):
    """Head of an answer and its body as it arrives.

    :param receive: returns the next bytes of the body, ``b''`` at its
        end; raises ``BrokenError``
    """

    status: int
    receive: collections.abc.Callable[[], collections.abc.Awaitable[bytes]]


class Transport(typing.Protocol):
    """Sends one POST to a worker, without retries."""

    def post(
        self,
        base_url: str,
        path: str,
        body: bytes,
        on_sending: collections.abc.Callable[[], None],
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        """POST a JSON body; leaving early closes the connection.

        :param on_sending: called before the first byte can leave
        :raises NotSentError: no byte of the request left
        :raises BrokenError: bytes of it may have left
        """

    async def forget(self, base_url: str) -> None:
        """Close the connections to a worker that left the list."""

    async def close(self) -> None:
        """Close all connections."""
