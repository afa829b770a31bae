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

# After WaitExpired the engine answers at once or, if it has to ask another
# instance, after one peer time-out.
_EXPIRED_WAIT_TIMEOUT_S = 5.0

_SCAN_PAGE_ROWS = 1_000

# Extra time after the stop time-out, in which the engine records the
# outcomes of the jobs that the time-out ended.
_STOP_MARGIN_S = 2.0


class _OpenRequest:
    """A request that waits for its answer.

    :attr:`scope` is cancelled when the answer arrives.
    """

    __slots__ = ('answer', 'scope')

    def __init__(self) -> None:
        self.answer: model.Answer | None = None
        self.scope: trio.CancelScope | None = None


class EngineRunner:
    """Runs the engine: passes events to it and executes its effects.

    :param engine: :class:`orioleloom.engine.Engine` or a compatible object
    :param identity: ``<instance>/<incarnation>``
    :param settings: settings of the instance
    :param platform: HTTP client for the platform
    :param workers: HTTP client for the workers
    :param peer_socket: socket for messages to and from other instances
    :param timer_service: timer service, run in the runner's nursery
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
        self._open_requests: dict[int, _OpenRequest] = {}
        self._request_ids = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._tick_interval_s = 0.0
        self._polls_running: set[str] = set()
        self._members_revision = 0
        self._contracts_revision = 0
        self._has_read_members = False
        self._has_read_contracts = False
        self._platform_available: bool | None = None
        self._peer_addresses: dict[str, str] = {}

    # Requests

    async def handle_request(
        self,
        make_event: typing.Callable[[int], events.Event],
        *,
        wait_s: float | None = None,
        wait_for_disconnect: typing.Callable[
            [], collections.abc.Awaitable[None]
        ] = trio.sleep_forever,
    ) -> model.Answer | None:
        """Pass the event of a request to the engine and wait for the answer.

        :param make_event: builds the event from the request id
        :param wait_s: seconds to wait before the current progress is
            requested as the answer; ``None`` waits without limit
        :param wait_for_disconnect: returns when the caller has disconnected
        :returns: the answer; ``None`` if the caller has disconnected
        :raises DispatchError: ``overloaded`` if too many requests are open,
            ``outcome_unknown`` if the engine gives no answer in time
        """
        if len(self._open_requests) >= self.settings.max_open_requests:
            raise errors.DispatchError(
                errors.ErrorKind.OVERLOADED,
                f'{len(self._open_requests)} requests are open; at most '
                f'{self.settings.max_open_requests} are accepted',
                retry_after_ms=1_000,
            )
        request_id = next(self._request_ids)
        open_request = _OpenRequest()
        self._open_requests[request_id] = open_request
        try:
            self.handle_event(make_event(request_id))
            if open_request.answer is not None:
                return open_request.answer
            if await self._wait_for_answer(
                open_request, wait_for_disconnect, wait_s
            ):
                return open_request.answer
            self.handle_event(events.WaitExpired(request_id))
            if open_request.answer is not None:
                return open_request.answer
            if await self._wait_for_answer(
                open_request, wait_for_disconnect, _EXPIRED_WAIT_TIMEOUT_S
            ):
                return open_request.answer
            raise errors.DispatchError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                'the progress of the job could not be determined; '
                'fetch the job again',
            )
        finally:
            del self._open_requests[request_id]
            if open_request.answer is None:
                self.handle_event(events.RequestGone(request_id))

    async def _wait_for_answer(
        self,
        open_request: _OpenRequest,
        wait_for_disconnect: typing.Callable[
            [], collections.abc.Awaitable[None]
        ],
        wait_s: float | None,
    ) -> bool:
        """Return whether an answer or a disconnect ended the wait.

        ``False`` means that ``wait_s`` expired first.
        """
        with trio.CancelScope() as scope:
            if wait_s is not None:
                scope.deadline = trio.current_time() + wait_s
            # The answer cancels this scope, so that watching for a
            # disconnect needs no additional task.
            open_request.scope = scope
            await wait_for_disconnect()
            return True
        return open_request.answer is not None

    # Events and effects

    def handle_event(self, event: events.Event) -> None:
        """Pass an event to the engine and execute the resulting effects.

        :param event: any engine event
        """
        try:
            new_effects = self.engine.handle(event, trio.current_time())
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
            for effect in new_effects:
                self._execute(effect)
        self._set_tick_interval()

    def _answer_error(
        self, event: events.Event, error: errors.DispatchError
    ) -> None:
        request_id = getattr(event, 'request_id', None)
        if request_id is None:
            return
        status, body = errors.to_response(error)
        self._respond(request_id, model.Answer(status, {'error': body}))

    def _respond(self, request_id: int, answer: model.Answer) -> None:
        open_request = self._open_requests.get(request_id)
        if open_request is None or open_request.answer is not None:
            return
        open_request.answer = answer
        if open_request.scope is not None:
            open_request.scope.cancel()

    def _execute(self, effect: effects.Effect) -> None:
        match effect:
            case effects.Respond():
                self._respond(effect.request_id, effect.answer)
            case effects.SendTasks():
                self._start_soon(self._run_exchange, effect)
            case effects.SendPeer():
                self._send_to_peer(effect)
            case effects.WriteTable():
                self._start_soon(self._write_table, effect)
            case effects.ReadTable():
                self._start_soon(self._read_table, effect)
            case effects.CancelTasks():
                self._start_soon(self._cancel_tasks, effect)
            case _:
                typing.assert_never(effect)

    def _start_soon(
        self,
        function: typing.Callable[..., collections.abc.Awaitable[None]],
        *arguments: typing.Any,
    ) -> None:
        if self._nursery is None:
            raise RuntimeError('EngineRunner.run() is not active')
        self._nursery.start_soon(function, *arguments)

    async def _run_exchange(self, effect: effects.SendTasks) -> None:
        self.counters['exchanges'] += 1
        exchange_id = effect.exchange_id

        def on_line(line: model.ResultLine) -> None:
            self.handle_event(events.LineReceived(exchange_id, line))

        try:
            ended_event = await self.workers.run_exchange(effect, on_line)
        except Exception:
            reference = _log.log_internal_error('worker exchange')
            ended_event = events.ExchangeEnded(
                exchange_id, True, f'internal error; log reference {reference}'
            )
        self.handle_event(ended_event)

    async def _cancel_tasks(self, effect: effects.CancelTasks) -> None:
        try:
            await self.workers.cancel(effect)
        except Exception:
            _log.log_internal_error('worker cancel')

    async def _close_worker_connections(self, http: str) -> None:
        try:
            await self.workers.close_connections(http)
        except Exception:
            _log.log_internal_error('worker connections')

    async def _write_table(self, effect: effects.WriteTable) -> None:
        outcome: events.TableOutcome
        try:
            outcome = await self.platform.transact(effect.token, effect.ops)
        except Exception:
            _log.log_internal_error('table write')
            outcome = events.WriteUnknown()
        self.handle_event(events.TableDone(effect.token, outcome))

    async def _read_table(self, effect: effects.ReadTable) -> None:
        rows = None
        try:
            rows = await self.platform.read(effect.keys)
        except Exception:
            _log.log_internal_error('table read')
        self.handle_event(events.RowsRead(effect.token, rows))

    def _send_to_peer(self, effect: effects.SendPeer) -> None:
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

    async def _receive_from_peers(self) -> None:
        async for frame in self.peer_socket.receive():
            try:
                message_id, sender, message = codec.decode_peer(frame)
            except errors.DispatchError:
                self.peer_socket.counters.malformed_messages += 1
                continue
            self.handle_event(events.PeerReceived(message_id, sender, message))

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
        self.handle_event(events.Tick())

    def _start_poll(
        self,
        name: str,
        function: typing.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        # Skips this poll while the previous one of the same name is running.
        if name not in self._polls_running:
            self._polls_running.add(name)
            self._start_soon(self._run_poll, name, function)

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
        listing = await self.platform.read_members(
            self._members_revision, None
        )
        if listing is None:
            self.counters['platform_failures'] += 1
            return
        members, self._members_revision = listing
        first_read = not self._has_read_members
        self._has_read_members = True
        for member in members:
            if member.role is model.Role.WORKER:
                if member.state is model.MemberState.GONE:
                    self._start_soon(
                        self._close_worker_connections, member.http
                    )
                continue
            if not member.peer:
                continue
            if member.state is model.MemberState.GONE:
                self._peer_addresses.pop(member.id, None)
            else:
                self._peer_addresses[member.id] = member.peer
        if members:
            self.peer_socket.close_all_except({*self._peer_addresses.values()})
        if members or first_read:
            self.handle_event(events.MembersChanged(tuple(members)))

    async def _read_contracts(self) -> None:
        scan = await self.scan_all('contract/', self._contracts_revision)
        available = scan is not None
        if available != self._platform_available:
            self._platform_available = available
            eliot.log_message(
                message_type='platform_state', available=available
            )
            self.handle_event(events.PlatformState(available))
        elif not available:
            # The repeated event makes the engine ask its peers again for
            # contracts and, if it knows none, for members.
            self.handle_event(events.PlatformState(available))
        if scan is None:
            self.counters['platform_failures'] += 1
            return
        rows, self._contracts_revision = scan
        first_read = not self._has_read_contracts
        self._has_read_contracts = True
        if rows or first_read:
            self.handle_event(events.ContractsRead(tuple(rows)))

    async def scan_all(
        self, prefix: str, after_revision: int
    ) -> tuple[list[model.Row], int] | None:
        """Read all pages of a table scan.

        :param prefix: key prefix of the rows
        :param after_revision: only rows with a higher revision are read
        :returns: the rows in revision order and the revision from which
            the next scan continues; ``None`` if a page could not be read
        """
        rows: list[model.Row] = []
        while True:
            page = await self.platform.scan(
                prefix, after_revision, limit=_SCAN_PAGE_ROWS
            )
            if page is None:
                return None
            rows.extend(page[0])
            after_revision = page[1]
            if len(page[0]) < _SCAN_PAGE_ROWS:
                return rows, after_revision

    # Life cycle

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the timers, the polls and the peer receiver until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.timer_service.run)
            nursery.start_soon(self._receive_from_peers)
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
                self._start_poll(name, function)
                self.timer_service.subscribe(
                    name,
                    interval_s,
                    lambda name=name, function=function: self._start_poll(
                        name, function
                    ),
                    jitter=0.2,
                )
            task_status.started()

    def is_ready(self) -> bool:
        """Return whether the load balancer may route requests here."""
        # The platform need not be reachable: during an outage the engine
        # gets contracts and members from its peers.
        return not self.stopping and self.engine.is_ready()

    def begin_stop(self) -> None:
        """Begin a planned stop; further calls have no effect."""
        if not self.stopping:
            self.stopping = True
            self.handle_event(
                events.StopRequested(timeout_s=self.settings.stop_timeout_s)
            )
            self.stop_requested.set()

    async def drain(self) -> bool:
        """Wait until the engine has drained after :meth:`begin_stop`.

        :returns: whether all accepted work ended within the stop time-out
            and its margin
        """
        timeout_s = self.settings.stop_timeout_s + _STOP_MARGIN_S
        with trio.move_on_after(timeout_s):
            while not self.engine.is_drained() or self._open_requests:
                if self.engine.is_drained():
                    # The remaining requests wait for jobs of other instances.
                    for request_id in [*self._open_requests]:
                        self.handle_event(events.WaitExpired(request_id))
                await trio.sleep(self.settings.busy_tick_interval_s)
            return True
        return False

    def state(self) -> dict[str, typing.Any]:
        """Return the body of ``GET /v1/state``."""
        return {
            'identity': self.identity,
            'data_centre': self.settings.data_centre,
            'ready': self.is_ready(),
            'stopping': self.stopping,
            'open_requests': len(self._open_requests),
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
