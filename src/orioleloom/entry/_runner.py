import collections.abc
import itertools
import time
import typing

import eliot
import trio

from orioleloom import codec
from orioleloom.engine import _effects as effects
from orioleloom.engine import _events as events
from orioleloom.entry import _log
from orioleloom.entry import _settings
from orioleloom import errors
from orioleloom import model
from orioleloom import peer_api
from orioleloom import timers

# An engine answers an expired wait at once, or after one peer time-out.
_EXPIRED_WAIT_TIMEOUT_S = 5.0

_SCAN_PAGE_ROWS = 1_000

# Added to the stop time-out for recording the answers of a cut-off drain.
_STOP_MARGIN_S = 2.0


class _Waiter:
    __slots__ = ('answer', 'scope')

    def __init__(self) -> None:
        self.answer: model.Answer | None = None
        self.scope: trio.CancelScope | None = None


class EngineRunner:
    """Owns the engine: feeds it events and executes its effects.

    :param engine: the engine
    :param identity: ``<instance>/<incarnation>``
    :param settings: settings of the instance
    :param platform: client of the platform
    :param workers: client of the workers
    :param peer_socket: socket to the other instances
    :param timer_service: timers, run by the runner
    """

    def __init__(
        self,
        *,
        engine: typing.Any,
        identity: str,
        settings: _settings.Settings,
        platform: typing.Any,
        workers: typing.Any,
        peer_socket: peer_api.PeerSocket,
        timer_service: timers.TimerService,
    ):
        self.engine = engine
        self.identity = identity
        self.settings = settings
        self.platform = platform
        self.workers = workers
        self.peer_socket = peer_socket
        self.timer_service = timer_service
        self.stopping = False
        self.stop_requested = trio.Event()
        self.counters = {
            'http_requests': 0,
            'engine_errors': 0,
            'exchanges': 0,
            'platform_failures': 0,
            'closed_in_response': 0,
        }
        self._waiters: dict[int, _Waiter] = {}
        self._request_ids = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._tick_interval_s = 0.0
        self._polls_running: set[str] = set()
        self._members_revision = 0
        self._contracts_revision = 0
        self._members_read = False
        self._contracts_read = False
        self._platform_available: bool | None = None
        self._peer_addresses: dict[str, str] = {}

    # Requests

    async def ask(
        self,
        make_event: typing.Callable[[int], events.Event],
        *,
        wait_s: float | None = None,
        wait_gone: typing.Callable[
            [], collections.abc.Awaitable[None]
        ] = trio.sleep_forever,
    ) -> model.Answer | None:
        """Post the event of a request and wait for its answer.

        :param make_event: builds the event from the request id
        :param wait_s: seconds after which progress is asked for
        :param wait_gone: returns when the caller has disconnected
        :returns: the answer; ``None`` when the caller has gone
        :raises DispatchError: ``overloaded`` when too many requests wait,
            ``outcome_unknown`` when the engine gives no answer
        """
        if len(self._waiters) >= self.settings.max_open_requests:
            raise errors.DispatchError(
                errors.ErrorKind.OVERLOADED,
                f'{len(self._waiters)} requests wait for an answer; accepted '
                f'are {self.settings.max_open_requests}',
                retry_after_ms=1_000,
            )
        request_id = next(self._request_ids)
        waiter = _Waiter()
        self._waiters[request_id] = waiter
        try:
            self.post(make_event(request_id))
            if waiter.answer is not None:
                return waiter.answer
            if await self._wait(waiter, wait_gone, wait_s):
                return waiter.answer
            self.post(events.WaitExpired(request_id))
            if waiter.answer is not None:
                return waiter.answer
            if await self._wait(waiter, wait_gone, _EXPIRED_WAIT_TIMEOUT_S):
                return waiter.answer
            raise errors.DispatchError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                'no progress is known; fetch the job again',
            )
        finally:
            del self._waiters[request_id]
            if waiter.answer is None:
                self.post(events.RequestGone(request_id))

    async def _wait(
        self,
        waiter: _Waiter,
        wait_gone: typing.Callable[[], collections.abc.Awaitable[None]],
        wait_s: float | None,
    ) -> bool:
        """Return whether waiting ended by an answer or a disconnect."""
        with trio.CancelScope() as scope:
            if wait_s is not None:
                scope.deadline = trio.current_time() + wait_s
            # The answer cancels this scope, which needs no task of its
            # own for the watch on the connection.
            waiter.scope = scope
            await wait_gone()
            return True
        return waiter.answer is not None

    # Events and effects

    def post(self, event: events.Event) -> None:
        """Hand an event to the engine and execute the effects.

        :param event: any engine event
        """
        try:
            found = self.engine.handle(event, trio.current_time())
        except errors.DispatchError as exc:
            self._answer_error(event, exc)
        except Exception:
            self.counters['engine_errors'] += 1
            reference = _log.log_internal_error(type(event).__name__)
            self._answer_error(
                event,
                errors.DispatchError(
                    errors.ErrorKind.INTERNAL,
                    f'internal error; log reference {reference}',
                ),
            )
        else:
            for effect in found:
                self._execute(effect)
        self._set_tick_interval()

    def _answer_error(
        self, event: events.Event, error: errors.DispatchError
    ) -> None:
        request_id = getattr(event, 'request_id', None)
        if request_id is None:
            return
        status, body = errors.to_answer(error)
        self._respond(request_id, model.Answer(status, {'error': body}))

    def _respond(self, request_id: int, answer: model.Answer) -> None:
        waiter = self._waiters.get(request_id)
        if waiter is None or waiter.answer is not None:
            return
        waiter.answer = answer
        if waiter.scope is not None:
            waiter.scope.cancel()

    def _execute(self, effect: effects.Effect) -> None:
        match effect:
            case effects.Respond():
                self._respond(effect.request_id, effect.answer)
            case effects.SendTasks():
                self._start(self._exchange, effect)
            case effects.SendPeer():
                self._send_peer(effect)
            case effects.WriteTable():
                self._start(self._write_table, effect)
            case effects.ReadTable():
                self._start(self._read_table, effect)
            case effects.CancelTasks():
                self._start(self._cancel_tasks, effect)
            case _:
                typing.assert_never(effect)

    def _start(
        self,
        function: typing.Callable[..., collections.abc.Awaitable[None]],
        *arguments: typing.Any,
    ) -> None:
        if self._nursery is None:
            raise RuntimeError('the runner does not run')
        self._nursery.start_soon(function, *arguments)

    async def _exchange(self, effect: effects.SendTasks) -> None:
        self.counters['exchanges'] += 1
        exchange_id = effect.exchange_id

        def on_line(line: model.TaskLine) -> None:
            self.post(events.LineReceived(exchange_id, line))

        try:
            ended = await self.workers.run_exchange(effect, on_line)
        except Exception:
            reference = _log.log_internal_error('worker exchange')
            ended = events.ExchangeEnded(
                exchange_id, True, f'internal error; log reference {reference}'
            )
        self.post(ended)

    async def _cancel_tasks(self, effect: effects.CancelTasks) -> None:
        try:
            await self.workers.cancel(effect)
        except Exception:
            _log.log_internal_error('worker cancel')

    async def _forget_worker(self, http: str) -> None:
        try:
            await self.workers.forget(http)
        except Exception:
            _log.log_internal_error('worker connections')

    async def _write_table(self, effect: effects.WriteTable) -> None:
        outcome: events.TableOutcome
        try:
            outcome = await self.platform.transact(effect.token, effect.ops)
        except Exception:
            _log.log_internal_error('table write')
            outcome = events.WriteUnknown()
        self.post(events.TableDone(effect.token, outcome))

    async def _read_table(self, effect: effects.ReadTable) -> None:
        rows = None
        try:
            rows = await self.platform.read(effect.keys)
        except Exception:
            _log.log_internal_error('table read')
        self.post(events.RowsRead(effect.token, rows))

    def _send_peer(self, effect: effects.SendPeer) -> None:
        frame = codec.encode_peer(
            effect.message_id, self.identity, effect.message
        )
        try:
            self.peer_socket.send(effect.address, frame)
        except errors.DispatchError as exc:
            eliot.log_message(
                message_type='peer_address_refused',
                peer=effect.peer_id,
                error=exc.message,
            )

    async def _receive_peers(self) -> None:
        async for frame in self.peer_socket.receive():
            try:
                message_id, sender, message = codec.decode_peer(frame)
            except errors.DispatchError:
                self.peer_socket.counters.malformed_messages += 1
                continue
            self.post(events.PeerReceived(message_id, sender, message))

    # Timers

    def _set_tick_interval(self) -> None:
        busy = self.stopping or self.engine.needs_tick()
        interval_s = (
            self.settings.busy_tick_interval_s
            if busy
            else self.settings.idle_tick_interval_s
        )
        if interval_s != self._tick_interval_s:
            self._tick_interval_s = interval_s
            self.timer_service.subscribe('tick', interval_s, self._tick)

    def _tick(self) -> None:
        self.post(events.Tick())

    def _poll(
        self,
        name: str,
        function: typing.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        # A read that takes longer than the interval is not doubled.
        if name not in self._polls_running:
            self._polls_running.add(name)
            self._start(self._run_poll, name, function)

    async def _run_poll(
        self,
        name: str,
        function: typing.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        try:
            await function()
        except Exception:
            self.counters['platform_failures'] += 1
            _log.log_internal_error(f'poll of {name}')
        finally:
            self._polls_running.discard(name)

    async def _read_members(self) -> None:
        found = await self.platform.members(self._members_revision, None)
        if found is None:
            self.counters['platform_failures'] += 1
            return
        members, self._members_revision = found
        first = not self._members_read
        self._members_read = True
        for member in members:
            if member.role is model.Role.WORKER:
                if member.state is model.MemberState.GONE:
                    self._start(self._forget_worker, member.http)
                continue
            if not member.peer:
                continue
            if member.state is model.MemberState.GONE:
                self._peer_addresses.pop(member.id, None)
            else:
                self._peer_addresses[member.id] = member.peer
        if members:
            self.peer_socket.keep_only({*self._peer_addresses.values()})
        if members or first:
            self.post(events.MembersChanged(tuple(members)))

    async def _read_contracts(self) -> None:
        found = await self.scan_all('contract/', self._contracts_revision)
        available = found is not None
        if available != self._platform_available:
            self._platform_available = available
            eliot.log_message(
                message_type='platform_state', available=available
            )
            self.post(events.PlatformState(available))
        elif not available:
            # Asks peers again for what the platform cannot give.
            self.post(events.PlatformState(available))
        if found is None:
            self.counters['platform_failures'] += 1
            return
        rows, self._contracts_revision = found
        first = not self._contracts_read
        self._contracts_read = True
        if rows or first:
            self.post(events.ContractsRead(tuple(rows)))

    async def scan_all(
        self, prefix: str, after_revision: int
    ) -> tuple[list[model.Row], int] | None:
        """Read all pages of a scan of the table.

        :param prefix: prefix of the keys
        :param after_revision: rows written later are read
        :returns: rows in revision order and the revision to continue
            from; ``None`` when a page could not be read
        """
        rows: list[model.Row] = []
        while True:
            found = await self.platform.scan(
                prefix, after_revision, limit=_SCAN_PAGE_ROWS
            )
            if found is None:
                return None
            rows.extend(found[0])
            after_revision = found[1]
            if len(found[0]) < _SCAN_PAGE_ROWS:
                return rows, after_revision

    # Life cycle

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Feed the engine until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.timer_service.run)
            nursery.start_soon(self._receive_peers)
            self._set_tick_interval()
            for name, interval_s, function in (
                (
                    'members',
                    self.settings.members_poll_interval_s,
                    self._read_members,
                ),
                (
                    'contracts',
                    self.settings.contracts_poll_interval_s,
                    self._read_contracts,
                ),
            ):
                self._poll(name, function)
                self.timer_service.subscribe(
                    name,
                    interval_s,
                    lambda name=name, function=function: self._poll(
                        name, function
                    ),
                    jitter=0.2,
                )
            task_status.started()

    def is_ready(self) -> bool:
        """Return whether the load balancer may send work here."""
        # While the platform is away, contracts and members come from
        # peers, so the engine decides alone.
        return not self.stopping and self.engine.is_ready()

    def begin_stop(self) -> None:
        """Begin a planned stop; a second call has no effect."""
        if not self.stopping:
            self.stopping = True
            self.post(
                events.StopRequested(timeout_s=self.settings.stop_timeout_s)
            )
            self.stop_requested.set()

    async def drain(self) -> bool:
        """Wait until a begun stop has drained the engine.

        :returns: whether all accepted work ended within the bound
        """
        bound_s = self.settings.stop_timeout_s + _STOP_MARGIN_S
        with trio.move_on_after(bound_s):
            while not self.engine.is_drained() or self._waiters:
                if self.engine.is_drained():
                    # What still waits asks for jobs of other instances.
                    for request_id in [*self._waiters]:
                        self.post(events.WaitExpired(request_id))
                await trio.sleep(self.settings.busy_tick_interval_s)
            return True
        return False

    def state(self) -> dict[str, typing.Any]:
        """Return the dump of ``GET /v1/state``."""
        return {
            'identity': self.identity,
            'data_centre': self.settings.data_centre,
            'ready': self.is_ready(),
            'stopping': self.stopping,
            'open_requests': len(self._waiters),
            'process': {
                'counters': {'processor_time_s': time.process_time()},
            },
            'platform_available': self._platform_available,
            'members_revision': self._members_revision,
            'contracts_revision': self._contracts_revision,
            'peers': self._peer_addresses,
            'timers': self.timer_service.names(),
            'engine': self.engine.state(trio.current_time()),
        }
