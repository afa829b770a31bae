import collections.abc
import contextlib
import typing


class NotSentError(Exception):
    """No byte of the request was sent."""


class ExchangeBrokenError(Exception):
    """The exchange failed after bytes of the request may have been sent."""


class Response(typing.NamedTuple):
    """Status of a response and access to its body as it arrives.

    :param receive: returns the next bytes of the body, ``b''`` at its
        end; raises the same errors as ``Transport.post``
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
        """POST a JSON body.

        The connection is closed if the context is left before the end
        of the response.

        :param on_sending: called before the first byte can be sent
        :raises NotSentError: no byte of the request was sent
        :raises ExchangeBrokenError: bytes of the request may have been sent
        """

    async def close_connections(self, base_url: str) -> None:
        """Close the connections to a worker that left the member list."""

    async def close(self) -> None:
        """Close all connections."""
