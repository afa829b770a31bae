import typing

import aioprometheus
import quart
import quart_trio
import werkzeug.exceptions

from orioleloom import codec
from orioleloom.engine import _events as events
from orioleloom.entry import _log
from orioleloom.entry import _runner
from orioleloom import errors
from orioleloom import model
from orioleloom import validation

# Far above the size of any valid contract with all its upstreams.
_MAX_CONTRACT_BYTES = 64 * 1024


def build_app(runner: _runner.EngineRunner) -> quart_trio.QuartTrio:
    """Build the quart application with the routes for operators.

    :param runner: runner of the engine
    :returns: ASGI application; the routes below ``/v1/customers/`` are
        served by :class:`orioleloom.entry._jobs.JobRoutes`
    """
    app = quart_trio.QuartTrio('orioleloom', static_folder=None)
    app.config['BODY_TIMEOUT'] = runner.settings.body_timeout_s
    app.config['MAX_CONTENT_LENGTH'] = _MAX_CONTRACT_BYTES
    app.config['PROPAGATE_EXCEPTIONS'] = False
    metrics = _Metrics()

    @app.errorhandler(errors.DispatchError)
    async def handle_dispatch_error(
        error: errors.DispatchError,
    ) -> quart.Response:
        status, body = errors.to_response(error)
        return _response(runner, model.Answer(status, {'error': body}))

    @app.errorhandler(werkzeug.exceptions.HTTPException)
    async def handle_http_error(
        error: werkzeug.exceptions.HTTPException,
    ) -> quart.Response:
        return await handle_dispatch_error(_convert_http_error(error, runner))

    @app.errorhandler(Exception)
    async def handle_internal_error(error: Exception) -> quart.Response:
        reference = _log.log_internal_error('http')
        return await handle_dispatch_error(
            errors.DispatchError(
                errors.ErrorKind.INTERNAL,
                f'internal error; log reference {reference}',
            )
        )

    @app.get('/v1/contracts')
    async def list_contracts() -> quart.Response:
        contracts = [
            contract._asdict() for contract in runner.engine.contracts()
        ]
        return _response(runner, model.Answer(200, {'contracts': contracts}))

    @app.get('/v1/contracts/<customer>')
    async def get_contract(customer: str) -> quart.Response:
        validation.check_customer(customer)
        contract = runner.engine.contract(customer)
        return _response(runner, model.Answer(200, contract._asdict()))

    @app.put('/v1/contracts/<customer>')
    async def put_contract(customer: str) -> quart.Response:
        body = await quart.request.get_data(as_text=False)
        contract, expected_version = validation.check_contract(body, customer)
        answer = await runner.handle_request(
            lambda request_id: events.PutContract(
                request_id, contract, expected_version
            )
        )
        assert answer is not None  # quart cancels the task on disconnect
        return _response(runner, answer)

    @app.get('/v1/contracts/<customer>/history')
    async def contract_history(customer: str) -> quart.Response:
        validation.check_customer(customer)
        scan = await runner.scan_all(f'contract-history/{customer}/', 0)
        if scan is None:
            raise errors.DispatchError(
                errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'the contract history cannot be read: the platform is '
                'unreachable',
                retry_after_ms=1_000,
            )
        history = [row.value for row in scan[0] if row.value is not None]
        return _response(
            runner,
            model.Answer(200, {'customer': customer, 'history': history}),
        )

    @app.post('/v1/stop')
    async def stop() -> quart.Response:
        runner.begin_stop()
        return _response(runner, model.Answer(202, {'state': 'stopping'}))

    @app.get('/v1/state')
    async def state() -> quart.Response:
        return _response(runner, model.Answer(200, runner.state()))

    @app.get('/healthz')
    async def healthz() -> quart.Response:
        return _response(runner, model.Answer(200, {'state': 'alive'}))

    @app.get('/readyz')
    async def readyz() -> quart.Response:
        if runner.is_ready():
            return _response(runner, model.Answer(200, {'state': 'ready'}))
        state = 'stopping' if runner.stopping else 'starting'
        return _response(runner, model.Answer(503, {'state': state}))

    @app.get('/metrics')
    async def show_metrics() -> quart.Response:
        content, headers = metrics.render(
            runner, quart.request.headers.getlist('accept')
        )
        return quart.Response(content, headers=headers)

    return app


def _response(
    runner: _runner.EngineRunner, answer: model.Answer
) -> quart.Response:
    response = quart.Response(
        codec.encode_json(answer.body),
        status=answer.http_status,
        content_type='application/json',
    )
    if runner.stopping:
        response.headers['connection'] = 'close'
    return response


def _convert_http_error(
    error: werkzeug.exceptions.HTTPException, runner: _runner.EngineRunner
) -> errors.DispatchError:
    kind = errors.ErrorKind
    match error.code:
        case 413:
            return errors.DispatchError(
                kind.TOO_LARGE,
                f'body exceeds {_MAX_CONTRACT_BYTES} bytes',
            )
        case 408:
            return errors.DispatchError(
                kind.BAD_REQUEST,
                'body was not received within '
                f'{runner.settings.body_timeout_s} s',
            )
        case 404 | 405:
            return errors.DispatchError(
                kind.BAD_REQUEST,
                f'no route for {quart.request.method} '
                f'{quart.request.path[:200]}',
            )
        case code:
            return errors.DispatchError(
                kind.BAD_REQUEST, f'request refused with HTTP status {code}'
            )


class _Metrics:
    """Renders the counters of all components for Prometheus."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._collectors: dict[str, aioprometheus.Counter] = {}
        self._ready_gauge = aioprometheus.Gauge(
            'orioleloom_ready',
            'Whether the instance accepts work',
            registry=self._registry,
        )

    def render(
        self, runner: _runner.EngineRunner, accepts: list[str]
    ) -> tuple[bytes, dict[str, typing.Any]]:
        counters_by_component = {
            'engine': runner.engine.counters(),
            'edge': runner.counters,
            'peer': {
                name: getattr(runner.peer_socket.counters, name)
                for name in runner.peer_socket.counters.__slots__
            },
        }
        for component, counters in counters_by_component.items():
            for name, value in counters.items():
                self._counter(f'orioleloom_{component}_{name}_total').set(
                    {}, value
                )
        self._ready_gauge.set({}, int(runner.is_ready()))
        return aioprometheus.render(self._registry, accepts)

    def _counter(self, name: str) -> aioprometheus.Counter:
        if name not in self._collectors:
            self._collectors[name] = aioprometheus.Counter(
                name,
                name.removeprefix('orioleloom_').replace('_', ' '),
                registry=self._registry,
            )
        return self._collectors[name]
