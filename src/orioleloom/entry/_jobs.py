import collections.abc
import functools
import re
import typing
import urllib.parse

import eliot
import msgspec
import trio

from orioleloom.engine import _events as events
from orioleloom.engine import MAX_TICKETS
from orioleloom.entry import _log
from orioleloom.entry import _runner
from orioleloom import errors
from orioleloom import model
from orioleloom import validation

Scope: typing.TypeAlias = dict[str, typing.Any]
Receive: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Awaitable[dict[str, typing.Any]]
]
Send: typing.TypeAlias = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]

_CUSTOMERS_PREFIX = '/v1/customers/'
_PREFER_WAIT = re.compile(r'wait=(\d{1,9}(?:\.\d{1,6})?)')
_DISCARD_TIMEOUT_S = 2.0

_encoder = msgspec.json.Encoder()


class _Disconnected(Exception):
    """The caller disconnected before its request was complete."""


class JobRoutes:
    """ASGI application that serves the routes below ``/v1/customers/``.

    Nearly all requests use these routes, so they bypass quart to save its
    overhead. All other paths are passed to the wrapped application.

    :param runner: runner of the engine
    :param application: ASGI application for all other paths
    """

    def __init__(
        self,
        *,
        runner: _runner.EngineRunner,
        application: typing.Any,
    ):
        self.runner = runner
        self.application = application
        self._receiving_bytes = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if scope['type'] != 'http' or not scope['path'].startswith(
            _CUSTOMERS_PREFIX
        ):
            await self.application(scope, receive, _shield_send(send))
            return
        self.runner.counters['http_requests'] += 1
        try:
            answer = await self._route(scope, receive)
        except _Disconnected:
            return
        except errors.DispatchError as exc:
            answer = _error_answer(exc)
        except Exception:
            reference = _log.log_internal_error('http')
            answer = _error_answer(
                errors.DispatchError(
                    errors.ErrorKind.INTERNAL,
                    f'internal error; log reference {reference}',
                )
            )
        if answer is not None:
            await self._send_answer(receive, send, answer)

    async def _send_answer(
        self, receive: Receive, send: Send, answer: model.Answer
    ) -> None:
        body = _encoder.encode(answer.body)
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
        ]
        error = answer.body.get('error')
        if error is not None and 'retry_after_ms' in error:
            seconds = -(-error['retry_after_ms'] // 1_000)
            headers.append((b'retry-after', b'%d' % seconds))
        if self.runner.stopping:
            headers.append((b'connection', b'close'))
        await send(
            {
                'type': 'http.response.start',
                'status': answer.http_status,
                'headers': headers,
            }
        )
        if answer.http_status == 413:
            await send(
                {
                    'type': 'http.response.body',
                    'body': body,
                    'more_body': True,
                }
            )
            await _discard_body(receive)
            body = b''
        try:
            await send({'type': 'http.response.body', 'body': body})
        except trio.BusyResourceError:
            # The caller closed the connection as soon as it had read the
            # answer; hypercorn then closes it while the last part of the
            # response is still being sent.
            self.runner.counters['closed_in_response'] += 1

    async def _route(
        self, scope: Scope, receive: Receive
    ) -> model.Answer | None:
        method = scope['method']
        segments = scope['path'][len(_CUSTOMERS_PREFIX) :].split('/')
        match method, segments:
            case 'POST', [customer, 'jobs']:
                return await self._submit(scope, receive, customer)
            case 'GET', [customer, 'jobs', submission_id]:
                return await self._fetch(
                    scope, receive, customer, submission_id
                )
            case 'DELETE', [customer, 'jobs', submission_id]:
                job_id = _parse_job_id(customer, submission_id)
                return await self.runner.handle_request(
                    lambda request_id: events.Cancel(request_id, job_id),
                    wait_for_disconnect=functools.partial(
                        _wait_for_disconnect, receive
                    ),
                )
            case 'POST', [customer, 'tickets']:
                return self._mint_tickets(scope, customer)
        raise errors.DispatchError(
            errors.ErrorKind.BAD_REQUEST,
            f'no route for {method} {scope["path"][:200]}',
        )

    async def _submit(
        self, scope: Scope, receive: Receive, customer: str
    ) -> model.Answer | None:
        idempotency_key = attempt = prefer = content_length = None
        for name, value in scope['headers']:
            match name:
                case b'idempotency-key':
                    idempotency_key = value.decode('latin-1')
                case b'orioleloom-attempt':
                    attempt = value
                case b'prefer':
                    prefer = value.decode('latin-1')
                case b'content-length':
                    content_length = value
        first_attempt = attempt == b'first'
        try:
            if idempotency_key is None:
                raise errors.DispatchError(
                    errors.ErrorKind.BAD_FIELD,
                    'header Idempotency-Key is missing; it must contain the '
                    'submission id',
                )
            job_id = _parse_job_id(customer, idempotency_key)
            if attempt is not None and not first_attempt:
                raise errors.DispatchError(
                    errors.ErrorKind.BAD_FIELD,
                    f'header Orioleloom-Attempt is {attempt[:80]!r}; '
                    "accepted is 'first'",
                )
            wait, wait_s = self._parse_prefer(prefer)
            body = await self._read_body(receive, content_length)
            request = validation.check_job(body)
        except errors.DispatchError as exc:
            return model.refused_answer(
                idempotency_key or '', exc, no_other_copy=first_attempt
            )
        action = eliot.start_action(
            action_type='job',
            submission_id=job_id.submission_id,
            customer=customer,
            n_tasks=len(request.tasks),
        )
        answer = None
        try:
            answer = await self.runner.handle_request(
                lambda request_id: events.Submit(
                    request_id, job_id, request, first_attempt, wait, body
                ),
                wait_s=wait_s,
                wait_for_disconnect=functools.partial(
                    _wait_for_disconnect, receive
                ),
            )
        except errors.DispatchError as exc:
            answer = model.refused_answer(
                idempotency_key, exc, no_other_copy=first_attempt
            )
        finally:
            action.add_success_fields(
                http_status=0 if answer is None else answer.http_status
            )
            action.finish()
        return answer

    def _parse_prefer(self, prefer: str | None) -> tuple[bool, float | None]:
        """Return whether to wait for the answer, and for how long at most."""
        if prefer is None:
            return True, self.runner.settings.max_wait_s
        for preference in prefer.split(','):
            preference = preference.strip()
            if preference == 'respond-async':
                return False, None
            wait_match = _PREFER_WAIT.fullmatch(preference)
            if wait_match is not None:
                wait_s = float(wait_match[1])
                return wait_s > 0, min(wait_s, self.runner.settings.max_wait_s)
            if preference.startswith('wait'):
                raise errors.DispatchError(
                    errors.ErrorKind.BAD_FIELD,
                    f'header Prefer is {prefer[:80]!r}; accepted is '
                    "'wait=SECONDS' or 'respond-async'",
                )
        return True, self.runner.settings.max_wait_s

    async def _read_body(
        self, receive: Receive, content_length: bytes | None
    ) -> bytes:
        if (
            content_length is not None
            and int(content_length) > validation.MAX_BODY_BYTES
        ):
            raise _too_large_error(int(content_length))
        settings = self.runner.settings
        chunks = []
        n_bytes = 0
        try:
            with trio.move_on_after(settings.body_timeout_s):
                while True:
                    message = await receive()
                    if message['type'] == 'http.disconnect':
                        raise _Disconnected
                    chunk = message.get('body', b'')
                    if chunk:
                        n_bytes += len(chunk)
                        self._receiving_bytes += len(chunk)
                        self._check_body_size(n_bytes)
                        chunks.append(chunk)
                    if not message.get('more_body', False):
                        return b''.join(chunks)
        finally:
            self._receiving_bytes -= n_bytes
        raise errors.DispatchError(
            errors.ErrorKind.BAD_REQUEST,
            f'body was not received within {settings.body_timeout_s} s; '
            f'{n_bytes} bytes were received',
        )

    def _check_body_size(self, n_bytes: int) -> None:
        if n_bytes > validation.MAX_BODY_BYTES:
            raise _too_large_error(n_bytes)
        max_bytes = self.runner.settings.max_receiving_bytes
        if self._receiving_bytes > max_bytes:
            raise errors.DispatchError(
                errors.ErrorKind.OVERLOADED,
                f'incomplete request bodies occupy {self._receiving_bytes} '
                f'bytes; at most {max_bytes} are accepted',
                retry_after_ms=1_000,
            )

    async def _fetch(
        self,
        scope: Scope,
        receive: Receive,
        customer: str,
        submission_id: str,
    ) -> model.Answer | None:
        job_id = _parse_job_id(customer, submission_id)
        wait_s = _parse_query_number(
            scope, 'wait_s', 0.0, 0.0, self.runner.settings.max_wait_s
        )
        return await self.runner.handle_request(
            lambda request_id: events.Fetch(request_id, job_id, wait_s > 0),
            wait_s=wait_s or None,
            wait_for_disconnect=functools.partial(
                _wait_for_disconnect, receive
            ),
        )

    def _mint_tickets(self, scope: Scope, customer: str) -> model.Answer:
        validation.check_customer(customer)
        count = _parse_query_number(scope, 'count', 1, 1, MAX_TICKETS)
        if count != int(count):
            raise errors.DispatchError(
                errors.ErrorKind.BAD_FIELD,
                f'query parameter count is {count}; accepted is an integer',
            )
        tickets = self.runner.engine.mint_tickets(
            customer, int(count), trio.current_time()
        )
        return model.Answer(200, {'tickets': tickets})


def _error_answer(error: errors.DispatchError) -> model.Answer:
    status, body = errors.to_response(error)
    return model.Answer(status, {'error': body})


def _too_large_error(n_bytes: int) -> errors.DispatchError:
    return errors.DispatchError(
        errors.ErrorKind.TOO_LARGE,
        f'body of at least {n_bytes} bytes exceeds '
        f'{validation.MAX_BODY_BYTES} bytes',
    )


def _parse_job_id(customer: str, submission_id: str) -> model.JobId:
    return model.JobId(
        validation.check_customer(customer),
        validation.check_submission_id(submission_id),
    )


def _parse_query_number(
    scope: Scope, name: str, default: float, low: float, high: float
) -> float:
    query = scope['query_string']
    if not query:
        return default
    values = urllib.parse.parse_qs(query.decode('latin-1')).get(name)
    if values is None:
        return default
    try:
        value = float(values[-1])
    except ValueError:
        value = float('nan')
    if not low <= value <= high:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_FIELD,
            f'query parameter {name} is {values[-1][:80]!r}; accepted is a '
            f'number in [{low}, {high}]',
        )
    return value


def _shield_send(send: Send) -> Send:
    """Shield sending from cancellation.

    When hypercorn ends a response, it first signals a disconnect to the
    application. quart then cancels the task that still has to close the
    connection, which without the shield would stay open.
    """

    async def shielded_send(message: dict[str, typing.Any]) -> None:
        with trio.CancelScope(shield=True):
            await send(message)

    return shielded_send


async def _discard_body(receive: Receive) -> None:
    """Read and discard the rest of a refused body.

    Closing a socket with unread data sends a TCP reset, which can discard
    the answer before the caller has read it.
    """
    n_bytes = 0
    with trio.move_on_after(_DISCARD_TIMEOUT_S):
        while n_bytes < validation.MAX_BODY_BYTES:
            message = await receive()
            if not message.get('more_body', False):
                return
            n_bytes += len(message['body'])


async def _wait_for_disconnect(receive: Receive) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return
