import collections.abc
import contextlib
import ssl

import httpx

from orioleloom.worker_api import _transport


class HttpxTransport:
    """Transport over httpx, for comparison with ``H11Transport``.

    Each worker has its own connection pool, because the time that a pool
    takes per request grows with its number of connections. With a shared
    pool it would grow with the number of workers.

    :param connect_timeout_s: time allowed to connect, in seconds
    """

    def __init__(self, *, connect_timeout_s: float = 1.0):
        self.connect_timeout_s = connect_timeout_s
        # One TLS context for all pools, because building the default
        # context of httpx takes several milliseconds. It is not used:
        # workers are reached over plain HTTP.
        self._context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._clients: dict[str, httpx.AsyncClient] = {}

    def _client(self, base_url: str) -> httpx.AsyncClient:
        client = self._clients.get(base_url)
        if client is None:
            client = httpx.AsyncClient(
                verify=self._context,
                trust_env=False,
                timeout=httpx.Timeout(None, connect=self.connect_timeout_s),
                limits=httpx.Limits(
                    max_connections=None,
                    max_keepalive_connections=None,
                    keepalive_expiry=60.0,
                ),
            )
            self._clients[base_url] = client
        return client

    @contextlib.asynccontextmanager
    async def post(
        self,
        base_url: str,
        path: str,
        body: bytes,
        on_sending: collections.abc.Callable[[], None],
    ) -> collections.abc.AsyncIterator[_transport.Response]:
        """POST a JSON body; see :class:`_transport.Transport`."""
        # Called earlier than necessary: the trace hook of httpx would give
        # the exact moment, but is called about ten times per request.
        on_sending()
        try:
            async with self._client(base_url).stream(
                'POST',
                base_url + path,
                content=body,
                headers={'content-type': 'application/json'},
            ) as response:
                chunks = response.aiter_raw()

                async def receive() -> bytes:
                    return await anext(chunks, b'')

                yield _transport.Response(response.status_code, receive)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise _transport.NotSentError(f'cannot connect: {exc}') from exc
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            raise _transport.ExchangeBrokenError(
                f'{type(exc).__name__}: {exc}'
            ) from exc

    async def close_connections(self, base_url: str) -> None:
        """Close the connections to a worker that left the member list."""
        client = self._clients.pop(base_url, None)
        if client is not None:
            await client.aclose()

    async def close(self) -> None:
        """Close all connections."""
        for base_url in list(self._clients):
            await self.close_connections(base_url)
