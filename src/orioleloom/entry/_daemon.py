import logging
import random
import secrets
import signal
import socket
import sys
import typing

import eliot
import hypercorn.config
import hypercorn.trio
import trio

from orioleloom.entry import _app
from orioleloom.entry import _jobs
from orioleloom.entry import _log
from orioleloom.entry import _runner
from orioleloom.entry import _settings
from orioleloom import peer_api
from orioleloom import timers

# Time that hypercorn gets at the end to send answers it already has.
_FLUSH_TIMEOUT_S = 3.0


class Components(typing.NamedTuple):
    """Components of an entry instance that can be replaced, as by fakes."""

    engine: typing.Any
    platform: typing.Any
    workers: typing.Any


def build_components(
    settings: _settings.Settings, identity: str
) -> Components:
    """Build the engine and the platform and worker clients."""
    from orioleloom import engine
    from orioleloom import placement
    from orioleloom import platform_api
    from orioleloom import worker_api

    engine_settings = engine.EngineSettings(
        **{
            name: getattr(settings, name)
            for name in engine.EngineSettings._fields
            if name in settings._fields and name != 'seed_peers'
        },
        seed_peers=_settings.seed_addresses(settings),
    )
    return Components(
        engine.Engine(
            identity=identity,
            instance_id=settings.instance_id,
            data_centre=settings.data_centre,
            settings=engine_settings,
            policy=placement.ExpectedCompletion(
                min_saving_ms=settings.placement_price_ms
            ),
            random_state=random.Random(),
        ),
        platform_api.PlatformClient(settings.platform_url),
        worker_api.WorkerClient(settings.instance_id),
    )


class _HttpConfig(hypercorn.config.Config):
    """hypercorn configuration with a time-out for stalled writes.

    hypercorn shields its writes from cancellation, so a caller that
    stops reading a large answer would block a planned stop indefinitely.
    """

    write_timeout_s = 30.0

    def create_sockets(self) -> hypercorn.config.Sockets:
        sockets = super().create_sockets()
        for listener in sockets.insecure_sockets:
            # Accepted connections inherit this option.
            listener.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(self.write_timeout_s * 1_000),
            )
        return sockets


def http_config(settings: _settings.Settings) -> hypercorn.config.Config:
    """Build the hypercorn configuration."""
    host = settings.http_bind_host
    if ':' in host:
        host = f'[{host}]'
    config = _HttpConfig()
    config.write_timeout_s = settings.write_timeout_s
    config.bind = [f'{host}:{settings.http_bind_port}']
    config.keep_alive_timeout = settings.keep_alive_timeout_s
    config.keep_alive_max_requests = sys.maxsize
    config.graceful_timeout = _FLUSH_TIMEOUT_S
    config.accesslog = None
    config.errorlog = logging.getLogger('orioleloom.http')
    config.include_server_header = False
    return config


async def serve(
    settings: _settings.Settings,
    *,
    build: typing.Callable[
        [_settings.Settings, str], Components
    ] = build_components,
    task_status: trio.TaskStatus[
        tuple[str, _runner.EngineRunner]
    ] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry instance until a planned stop has completed.

    SIGTERM, SIGINT and ``POST /v1/stop`` begin a planned stop.

    :param settings: checked settings
    :param build: builds the engine and the clients from the settings
        and the identity of the process
    :param task_status: receives the base URL and the runner once requests
        are served
    """
    # The random incarnation makes a restarted instance a different owner of
    # jobs than the process before it.
    identity = f'{settings.instance_id}/{secrets.token_hex(8)}'
    _log.start_logging()
    peer_socket = peer_api.PeerSocket(settings.peer_bind, identity)
    # With port 0 the address is known only after binding.
    settings = settings._replace(
        peer_address=settings.peer_address or peer_socket.address
    )
    components = build(settings, identity)
    runner = _runner.EngineRunner(
        engine=components.engine,
        identity=identity,
        settings=settings,
        platform=components.platform,
        workers=components.workers,
        peer_socket=peer_socket,
        timer_service=timers.TimerService(random_state=random.Random()),
    )
    app = _jobs.JobRoutes(runner=runner, application=_app.build_app(runner))
    close_http = trio.Event()
    http_closed = trio.Event()
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_signals, runner)
            await nursery.start(runner.run)
            urls = await nursery.start(
                _serve_http,
                app,
                http_config(settings),
                close_http,
                http_closed,
            )
            eliot.log_message(
                message_type='serving',
                identity=identity,
                http=urls[0],
                peer=peer_socket.address,
            )
            task_status.started((urls[0], runner))
            await runner.stop_requested.wait()
            drained = await _drain(runner, settings)
            eliot.log_message(message_type='stopped', drained=drained)
            close_http.set()
            await http_closed.wait()
            nursery.cancel_scope.cancel()
    finally:
        with trio.move_on_after(1.0, shield=True):
            await components.workers.close()
            await components.platform.close()
        peer_socket.close()
        _log.stop_logging()


async def _serve_http(
    app: typing.Any,
    config: hypercorn.config.Config,
    close_http: trio.Event,
    http_closed: trio.Event,
    *,
    task_status: trio.TaskStatus[list[str]],
) -> None:
    await hypercorn.trio.serve(
        app,
        config,
        shutdown_trigger=close_http.wait,
        task_status=task_status,
        mode='asgi',
    )
    http_closed.set()


async def _drain(
    runner: _runner.EngineRunner, settings: _settings.Settings
) -> bool:
    async with trio.open_nursery() as nursery:
        # Keeps serving for the grace time, even if drained: requests that
        # the load balancer routes here before it sees that the instance is
        # not ready are answered with the error kind 'stopping'.
        nursery.start_soon(trio.sleep, settings.readiness_grace_s)
        return await runner.drain()


async def _watch_signals(runner: _runner.EngineRunner) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signal_number in signals:
            eliot.log_message(
                message_type='signal', name=signal.Signals(signal_number).name
            )
            runner.begin_stop()
