"""HTTP handlers for callers' requests and readiness checks."""

import heapq
import itertools
import math
import random
import typing

import eliot
import msgspec
import trio

from orioleloom import dispatch
from orioleloom import http1
from orioleloom import node
from orioleloom.platform import _wire

_DEADLINE_HEADER = 'x-orioleloom-deadline-ms'
# Used for requests without a valid deadline header.
_DEFAULT_TIMEOUT_S = 10.0
_NO_CONFIGURATION_RETRY_AFTER_S = 1
# Range of the Retry-After of a job without room in memory, in seconds. Random
# values keep callers from coming back at the same time.
_NO_MEMORY_RETRY_AFTER_S = (1, 3)
# A larger job waits for its turn to be decoded. 262,144 bytes with 1,300 steps
# take some milliseconds.
_LARGE_BODY_BYTES = 8_192


class _Target(typing.NamedTuple):
    """What the path of a request that submits a job names.

    The connection keeps the request, and drops it if the caller disconnects.
    """

    connection: http1.Connection
    route: node.Route
    job_id: str


class _LargeRequest(typing.NamedTuple):
    """A large job that waits to be decoded.

    Compared by the first two fields, of which the second one is unique.
    """

    n_bytes: int
    number: int
    target: _Target


class Ingress:
    """Converts callers' requests to jobs and job outcomes to responses.

    :param instance: node that the jobs are submitted to
    :param random_state: source of the random parts of Retry-After
    """

    def __init__(
        self, instance: node.Node, random_state: random.Random | None = None
    ):
        self.instance = instance
        self.random_state = random_state or random.Random()
        # The smallest first.
        self._large: list[_LargeRequest] = []
        self._numbers = itertools.count()
        self._has_large = trio.Event()

    async def run(self) -> None:
        """Decode the large jobs, one in a turn of the event loop.

        A crowd of them then keeps neither heartbeats nor small requests
        waiting.
        """
        while True:
            await self._has_large.wait()
            while self._large:
                large = heapq.heappop(self._large)
                request = large.target.connection.current_request
                if request is not None:
                    self._decode_large(large.target, request)
                await trio.lowlevel.checkpoint()
            self._has_large = trio.Event()

    def _decode_large(self, target: _Target, request: http1.Request) -> None:
        try:
            self._decode(target, request)
        except Exception:
            # As for requests that the server passes to a handler.
            eliot.write_traceback()
            target.connection.respond(500, close=True)

    def on_request(
        self, connection: http1.Connection, request: http1.Request
    ) -> None:
        """Respond to a request, or submit its job to the node."""
        routing = self.instance.routing
        if routing is None:
            _respond_unavailable(
                connection, 'no configuration', _NO_CONFIGURATION_RETRY_AFTER_S
            )
            return
        host = request.headers.get('host', '').partition(':')[0].lower()
        route = routing.find(host, request.path)
        if route is None:
            _respond(connection, 404, {'error': 'no such queue'})
            return
        job_id = request.path[len(route.path_prefix) :]
        match request.method:
            case 'GET' if not job_id:
                _respond(
                    connection,
                    200,
                    {
                        'pending': self.instance.count_unstarted(
                            route.queue.name
                        )
                    },
                )
            case _ if not _wire.is_job_id(job_id):
                _respond(connection, 404, {'error': 'no such job'})
            case 'POST':
                self._submit(_Target(connection, route, job_id), request)
            case 'GET':
                self._respond_state(connection, job_id)
            case 'DELETE':
                self._cancel(connection, job_id)
            case _:
                _respond(connection, 405, {'error': 'method not allowed'})

    def _submit(self, target: _Target, request: http1.Request) -> None:
        # Otherwise a disconnection would cancel the job of the previous
        # request on this connection.
        target.connection.context = None
        n_bytes = len(request.body)
        needed_bytes = dispatch.encoded_bytes(request.body)
        if not target.connection.has_room(needed_bytes):
            self._refuse_for_memory(target)
        elif n_bytes > _LARGE_BODY_BYTES:
            heapq.heappush(
                self._large,
                _LargeRequest(n_bytes, next(self._numbers), target),
            )
            self._has_large.set()
        else:
            self._decode(target, request)

    def _refuse_for_memory(self, target: _Target) -> None:
        self.instance.counters['jobs_refused_memory'] += 1
        if target.job_id in self.instance.pending:
            # An earlier request has submitted the job, which may run.
            _respond(target.connection, 502, {'error': dispatch.NO_MEMORY})
        else:
            _respond_unavailable(
                target.connection,
                dispatch.NO_MEMORY,
                self.random_state.randint(*_NO_MEMORY_RETRY_AFTER_S),
            )

    def _decode(self, target: _Target, request: http1.Request) -> None:
        """Submit a job that its request contains."""
        connection, route, job_id = target
        try:
            job = _wire.decode_job(job_id, route.queue, request.body)
        except _wire.UnsupportedError as exc:
            node.log('job_refused', job=job_id, reason=str(exc))
            _respond(connection, 503, {'error': str(exc)})
            return
        except _wire.WireError as exc:
            node.log('job_refused', job=job_id, reason=str(exc)[:200])
            _respond(connection, 400, {'error': str(exc)[:200]})
            return
        if not connection.hold_handled(dispatch.pending_bytes(job)):
            self._refuse_for_memory(target)
            return
        deadline_s = request.arrived_s + _parse_timeout_s(request)
        current_request = connection.current_request

        def on_outcome(outcome: dispatch.Outcome) -> None:
            if connection.current_request is current_request:
                _respond_outcome(connection, outcome)

        connection.context = (job_id, on_outcome)
        self.instance.submit(
            job,
            arrived_s=request.arrived_s,
            deadline_s=deadline_s,
            on_outcome=on_outcome,
        )

    def _respond_state(
        self, connection: http1.Connection, job_id: str
    ) -> None:
        pending = self.instance.pending.get(job_id)
        if pending is None:
            _respond(connection, 410, {'error': 'no such job'})
        else:
            state = 'in_progress' if pending.was_submitted else 'queued'
            _respond(connection, 200, {'state': state})

    def _cancel(self, connection: http1.Connection, job_id: str) -> None:
        if self.instance.cancel(job_id):
            _respond(connection, 200, {'state': 'cancelled'})
        else:
            _respond(connection, 410, {'error': 'no such job'})

    def on_disconnect(self, connection: http1.Connection) -> None:
        """Cancel the job of a caller that has disconnected."""
        if connection.context is not None:
            job_id, on_outcome = connection.context
            self.instance.handle_caller_disconnect(job_id, on_outcome)


def _parse_timeout_s(request: http1.Request) -> float:
    value = request.headers.get(_DEADLINE_HEADER, '')
    try:
        timeout_s = float(value) / 1000
    except ValueError:
        return _DEFAULT_TIMEOUT_S
    return timeout_s if math.isfinite(timeout_s) else _DEFAULT_TIMEOUT_S


def _respond_outcome(
    connection: http1.Connection, outcome: dispatch.Outcome
) -> None:
    match outcome.kind:
        case dispatch.OutcomeKind.COMPLETED | dispatch.OutcomeKind.FAILED:
            _respond(connection, 200, {'state': outcome.kind.value})
        case dispatch.OutcomeKind.NOT_RUN:
            _respond_unavailable(
                connection, outcome.reason, outcome.retry_after_s
            )
        case dispatch.OutcomeKind.UNKNOWN:
            status = 504 if outcome.reason == 'deadline' else 502
            _respond(connection, status, {'error': outcome.reason})


def _respond_unavailable(
    connection: http1.Connection, reason: str, retry_after_s: float
) -> None:
    # The time is from another instance.
    seconds = (
        max(1, math.ceil(retry_after_s)) if math.isfinite(retry_after_s) else 1
    )
    _respond(connection, 503, {'error': reason}, f'Retry-After: {seconds}\r\n')


def _respond(
    connection: http1.Connection,
    status: int,
    body: dict[str, typing.Any],
    headers: str = '',
) -> None:
    connection.respond(status, msgspec.json.encode(body), headers)


class Readiness:
    """Answers the load balancer's readiness checks."""

    def __init__(self, instance: node.Node):
        self.instance = instance

    def on_request(
        self, connection: http1.Connection, request: http1.Request
    ) -> None:
        """Respond to a readiness check."""
        if request.path == '/readyz':
            status = 200 if self.instance.is_ready() else 503
            connection.respond(status)
        else:
            connection.respond(404)
