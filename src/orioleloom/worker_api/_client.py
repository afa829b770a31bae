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
    """Client of all workers over HTTP, with kept connections.

    Nothing is retried; the engine decides what follows a failure.

    :param instance: id of this entry instance, told to the workers
    :param connections_per_worker: connections to one worker; all
        instances together must stay within the worker's 64. One of
        them is kept for cancels, which would otherwise wait for the
        tasks that they are to stop.
    :param connect_timeout_s: time allowed to get a connection, in
        seconds
    :param cancel_timeout_s: time allowed for a cancel, in seconds
    :param transport: sends the requests
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
                f'connections_per_worker {connections_per_worker!r} is not '
                'at least 2: one exchange and one cancel'
            )
        self.instance = instance
        self.connections_per_worker = connections_per_worker
        self.connect_timeout_s = connect_timeout_s
        self.cancel_timeout_s = cancel_timeout_s
        self.transport = transport or _h11.H11Transport(
            connect_timeout_s=connect_timeout_s
        )
        self._limiters: dict[str, tuple[trio.Semaphore, trio.Semaphore]] = {}

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

    async def forget(self, base_url: str) -> None:
        """Close the connections to a worker that left the list."""
        self._limiters.pop(base_url, None)
        await self.transport.forget(base_url)

    def _semaphores(
        self, base_url: str
    ) -> tuple[trio.Semaphore, trio.Semaphore]:
        pair = self._limiters.get(base_url)
        if pair is None:
            pair = (
                trio.Semaphore(self.connections_per_worker - 1),
                trio.Semaphore(1),
            )
            self._limiters[base_url] = pair
        return pair

    async def run_exchange(
        self,
        effect: _effects.SendTasks,
        on_line: collections.abc.Callable[[model.TaskLine], None],
    ) -> _events.ExchangeEnded:
        """POST tasks to a worker and pass on its result lines.

        :param effect: tasks, worker and time limit of the exchange
        :param on_line: called with each good line as it arrives
        :returns: the end of the exchange; ``may_have_started`` is false
            only when no byte of the request left
        """

        sent = False

        def on_sending() -> None:
            nonlocal sent
            sent = True

        def ended(
            may_have_started: bool, reason: str
        ) -> _events.ExchangeEnded:
            return _events.ExchangeEnded(
                effect.exchange_id, may_have_started, reason
            )

        deadline_s = trio.current_time() + effect.lease_s
        semaphore, _ = self._semaphores(effect.http)
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
                return ended(False, 'all connections are in use')
        try:
            reason = f'lease of {effect.lease_s:g} s expired'
            with trio.CancelScope(deadline=deadline_s):
                reason = await self._exchange(effect, on_line, on_sending)
            return ended(sent, reason)
        except _transport.NotSentError as exc:
            return ended(False, str(exc))
        except (_transport.BrokenError, _lines.LineError) as exc:
            return ended(True, str(exc))
        finally:
            semaphore.release()

    async def _exchange(
        self,
        effect: _effects.SendTasks,
        on_line: collections.abc.Callable[[model.TaskLine], None],
        on_sending: collections.abc.Callable[[], None],
    ) -> str:
        body = msgspec.json.encode(
            {
                'instance': self.instance,
                'tasks': [task._asdict() for task in effect.tasks],
            }
        )
        reader = _lines.LineReader(task.key for task in effect.tasks)
        async with self.transport.post(
            effect.http, '/v1/tasks', body, on_sending
        ) as response:
            if response.status != 200:
                return f'worker answered with status {response.status}'
            while data := await response.receive():
                for line in reader.feed(data):
                    on_line(line)
        reader.finish()
        if reader.missing:
            return f'{len(reader.missing)} tasks have no result line'
        return ''

    async def cancel(self, effect: _effects.CancelTasks) -> bool:
        """Ask a worker to stop tasks.

        :returns: whether the worker confirmed the request; the lines of
            stopped tasks follow in their own exchanges
        """
        body = msgspec.json.encode({'keys': effect.keys})
        _, semaphore = self._semaphores(effect.http)
        with trio.move_on_after(self.cancel_timeout_s):
            async with semaphore:
                try:
                    async with self.transport.post(
                        effect.http, '/v1/cancel', body, lambda: None
                    ) as response:
                        while await response.receive():
                            pass
                        return response.status == 200
                except (_transport.NotSentError, _transport.BrokenError):
                    return False
        return False
