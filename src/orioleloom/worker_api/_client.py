import collections.abc
import types
import typing

import msgspec
import trio

from orioleloom.engine import _effects
from orioleloom.engine import _events
from orioleloom import model
from orioleloom.worker_api import _h11
from orioleloom.worker_api import _lines
from orioleloom.worker_api import _transport


class WorkerClient:
    """HTTP client of all workers, which reuses connections.

    It retries nothing; the engine decides what to do after a failure.

    :param instance: id of this entry instance, sent to the workers
    :param connections_per_worker: maximum number of connections to one
        worker; all instances together must stay within the 64 that a
        worker accepts. One of them is reserved for cancel requests,
        which would otherwise wait for the tasks that they should stop.
    :param connect_timeout_s: time allowed to get a connection, in
        seconds
    :param cancel_timeout_s: time allowed for a cancel, in seconds
    :param transport: sends the requests; ``H11Transport`` by default
    """

    def __init__(
        self,
        instance: str,
        *,
        connections_per_worker: int = 8,
        connect_timeout_s: float = 1.0,
        cancel_timeout_s: float = 2.0,
        transport: _transport.Transport | None = None,
    ):
        if connections_per_worker < 2:
            raise ValueError(
                f'connections_per_worker {connections_per_worker!r} is less '
                'than 2: one for tasks and one for cancel requests'
            )
        self.instance = instance
        self.connections_per_worker = connections_per_worker
        self.connect_timeout_s = connect_timeout_s
        self.cancel_timeout_s = cancel_timeout_s
        self.transport = transport or _h11.H11Transport(
            connect_timeout_s=connect_timeout_s
        )
        self._semaphores: dict[str, tuple[trio.Semaphore, trio.Semaphore]] = {}

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.transport.close()

    async def close_connections(self, base_url: str) -> None:
        """Close the connections to a worker that left the member list."""
        self._semaphores.pop(base_url, None)
        await self.transport.close_connections(base_url)

    def _get_semaphores(
        self, base_url: str
    ) -> tuple[trio.Semaphore, trio.Semaphore]:
        semaphores = self._semaphores.get(base_url)
        if semaphores is None:
            semaphores = (
                trio.Semaphore(self.connections_per_worker - 1),
                trio.Semaphore(1),
            )
            self._semaphores[base_url] = semaphores
        return semaphores

    async def run_exchange(
        self,
        effect: _effects.SendTasks,
        on_line: collections.abc.Callable[[model.ResultLine], None],
    ) -> _events.ExchangeEnded:
        """POST tasks to a worker and read its result lines.

        :param effect: tasks, worker and time limit of the exchange
        :param on_line: called with each valid line as it arrives
        :returns: how the exchange ended; ``may_have_started`` is false
            only when no byte of the request was sent
        """

        may_be_sent = False

        def on_sending() -> None:
            nonlocal may_be_sent
            may_be_sent = True

        def exchange_ended(
            may_have_started: bool, reason: str
        ) -> _events.ExchangeEnded:
            return _events.ExchangeEnded(
                effect.exchange_id, may_have_started, reason
            )

        deadline_s = trio.current_time() + effect.lease_s
        semaphore, _ = self._get_semaphores(effect.http)
        try:
            semaphore.acquire_nowait()
        except trio.WouldBlock:
            acquired = False
            with trio.move_on_after(
                min(self.connect_timeout_s, effect.lease_s)
            ):
                await semaphore.acquire()
                acquired = True
            if not acquired:
                return exchange_ended(False, 'all connections are in use')
        try:
            reason = f'lease of {effect.lease_s:g} s expired'
            with trio.CancelScope(deadline=deadline_s):
                reason = await self._post_tasks(effect, on_line, on_sending)
            return exchange_ended(may_be_sent, reason)
        except _transport.NotSentError as exc:
            return exchange_ended(False, str(exc))
        except (_transport.ExchangeBrokenError, _lines.ResultLineError) as exc:
            return exchange_ended(True, str(exc))
        finally:
            semaphore.release()

    async def _post_tasks(
        self,
        effect: _effects.SendTasks,
        on_line: collections.abc.Callable[[model.ResultLine], None],
        on_sending: collections.abc.Callable[[], None],
    ) -> str:
        body = msgspec.json.encode(
            {
                'instance': self.instance,
                'tasks': [task._asdict() for task in effect.tasks],
            }
        )
        reader = _lines.ResultLineReader(task.key for task in effect.tasks)
        async with self.transport.post(
            effect.http, '/v1/tasks', body, on_sending
        ) as response:
            if response.status != 200:
                return f'worker responded with status {response.status}'
            while data := await response.receive():
                for line in reader.feed(data):
                    on_line(line)
        reader.check_complete()
        if reader.pending_keys:
            return f'{len(reader.pending_keys)} tasks have no result line'
        return ''

    async def cancel(self, effect: _effects.CancelTasks) -> bool:
        """Ask a worker to stop tasks.

        The result lines of the stopped tasks arrive in the exchanges
        that sent the tasks.

        :returns: whether the worker accepted the request
        """
        body = msgspec.json.encode({'keys': effect.keys})
        _, semaphore = self._get_semaphores(effect.http)
        with trio.move_on_after(self.cancel_timeout_s):
            async with semaphore:
                try:
                    async with self.transport.post(
                        effect.http, '/v1/cancel', body, lambda: None
                    ) as response:
                        while await response.receive():
                            pass
                        return response.status == 200
                except (
                    _transport.NotSentError,
                    _transport.ExchangeBrokenError,
                ):
                    return False
        return False
