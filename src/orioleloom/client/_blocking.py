import typing

import trio

from orioleloom.client import _client
from orioleloom.client import _types
from orioleloom import model


class BlockingClient:
    """Blocking interface to :class:`Client` for programs without trio.

    Each call starts an event loop and opens its own connections; use
    :class:`Client` to submit many jobs per second.

    :param base_urls: base URLs of entry instances or load balancers
    :param customer: customer for whom jobs are submitted
    :param parameters: other parameters of :class:`Client`

    >>> client = BlockingClient(['http://127.0.0.1:8080'], customer='noche')
    >>> client.fetch('0f3a')  # doctest: +SKIP
    """

    def __init__(
        self,
        base_urls: typing.Sequence[str],
        *,
        customer: str,
        **parameters: typing.Any,
    ):
        self._client = _client.Client(
            base_urls, customer=customer, **parameters
        )

    def submit(
        self, tasks: typing.Iterable[model.Task], **options: typing.Any
    ) -> _types.JobAnswer:
        """Submit a job; see :meth:`Client.submit`."""
        return self._run(lambda client: client.submit(tasks, **options))

    def fetch(
        self, submission_id: str, *, wait_s: float = 0.0
    ) -> _types.JobAnswer:
        """Return a job's answer or progress; see :meth:`Client.fetch`."""
        return self._run(
            lambda client: client.fetch(submission_id, wait_s=wait_s)
        )

    def cancel(self, submission_id: str) -> _types.JobAnswer:
        """Cancel a job; see :meth:`Client.cancel`."""
        return self._run(lambda client: client.cancel(submission_id))

    def progress(self, submission_id: str) -> model.Progress:
        """Return a job's task counts; see :meth:`Client.progress`."""
        return self._run(lambda client: client.progress(submission_id))

    def _run(
        self,
        call: typing.Callable[[_client.Client], typing.Awaitable[typing.Any]],
    ) -> typing.Any:
        async def main() -> typing.Any:
            async with self._client as client:
                return await call(client)

        return trio.run(main)
