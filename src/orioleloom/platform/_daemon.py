"""Main process of an instance on the platform."""

import argparse
import gc
import os
import random
import secrets
import signal
import sys
import typing

import msgspec
import trio

from orioleloom import dispatch
from orioleloom import http1
from orioleloom import memory
from orioleloom import node
from orioleloom.node import metrics
from orioleloom import peer_api
from orioleloom.platform import _ingress
from orioleloom.platform import _refusals
from orioleloom.platform import _settings
from orioleloom.platform import _store
from orioleloom.platform import _workers
from orioleloom import timers

# Requests are accepted for at least this long after SIGTERM. The balancer
# takes the instance out of rotation after two failed readiness checks, one a
# second, and its last connections end a little later.
_MIN_DRAIN_S = 2.6
# Draining ends this long before the platform sends SIGKILL.
_EXIT_MARGIN_S = 0.5
# Jobs must have ended this long before, so that their outcomes can arrive.
_OUTCOME_MARGIN_S = 0.1
# Longest wait for clients to read their last responses.
_CLIENTS_CLOSE_TIMEOUT_S = 0.15
# File descriptors reserved for files and for connections to peers and workers.
_RESERVED_FDS = 1000
# Receive buffer of a connection. The kernel allocates twice as much, and what
# it holds counts as memory of the process. 16 KiB for each round trip of 6 ms
# are twice the rate of a client's link.
_RECEIVE_BUFFER_BYTES = 16_384
# A job's body has 262,144 bytes at most, and the list of 22,000 workers about
# 3.7 MB. All instances must accept what any of them sends, so this does not
# depend on the memory.
MAX_PEER_MESSAGE_BYTES = 8 * 1024 * 1024
# Readiness checks and requests to the control address are few and have no
# body. Their connections count against the reserved descriptors.
_MAX_OTHER_CONNECTIONS = 200
_OTHER_LIMITS = http1.Limits(max_body_bytes=16_384)
# At most one line in this time for each kind of refusal.
_REFUSALS_LOG_INTERVAL_S = 1.0
_SETTINGS_CHECK_INTERVAL_S = 2.0
_LOG_FLUSH_INTERVAL_S = 0.2
_DRAIN_CHECK_INTERVAL_S = 0.05


class Daemon:
    """Connects a node to the store, the workers and the HTTP servers.

    :param settings: settings from the platform's settings file
    :param metrics_port: port of the metrics page, or 0 to disable it
    :param loop_monitor: monitor of the event loop, an instrument of trio
    """

    def __init__(
        self,
        settings: _settings.PlatformSettings,
        metrics_port: int = 0,
        loop_monitor: node.LoopMonitor | None = None,
    ):
        self.settings = settings
        self.metrics_port = metrics_port
        self.client = http1.Client()
        random_state = random.Random()
        self.timers = timers.TimerService(random_state=random_state)
        self.store = _store.PlatformStore(self.client, settings.store.address)
        incarnation = secrets.token_hex(8)
        memory_mb = settings.limits.memory_mb
        memory_budget = memory.Budget(memory.limit_bytes(memory_mb))
        peer_bind = settings.peer_address(settings.ip)
        self.node = node.Node(
            settings=node.Settings(
                instance_id=settings.instance_id,
                data_centre=settings.data_centre,
                peer_bind=peer_bind,
                rank=settings.limits.cpu_share * settings.limits.cores,
                seed_peers=settings.seed_peers(),
                config_apply_s=settings.bounds.config_apply_ms / 1000,
                resend_after_s=settings.bounds.resend_ms / 1000,
                dispatcher=dispatch.Settings(
                    remote_factor=settings.bounds.remote_factor,
                    learns_interference=settings.bounds.interference_ms > 0,
                ),
            ),
            store=self.store,
            gateway=_workers.WorkerClient(self.client),
            timer_service=self.timers,
            random_state=random_state,
            incarnation=incarnation,
            peer_socket=peer_api.PeerSocket(
                peer_bind,
                f'{settings.instance_id}/{incarnation}',
                max_message_bytes=MAX_PEER_MESSAGE_BYTES,
            ),
            loop_monitor=loop_monitor,
            memory_budget=memory_budget,
        )
        self.budget = http1.Budget(http1.limit_bytes(memory_mb), memory_budget)
        self.ingress = ingress = _ingress.Ingress(self.node, random_state)
        self.callers = self._new_server(
            ingress.on_request,
            ingress.on_disconnect,
            max_connections=max(100, settings.limits.max_fds - _RESERVED_FDS),
        )
        # Until the configuration names its limits.
        self.callers.limits = http1.Limits()
        self.readiness = self._new_server(
            _ingress.Readiness(self.node).on_request
        )
        self.control = self._new_server(self._handle_control_request)
        self.servers = {
            'callers': self.callers,
            'readiness': self.readiness,
            'control': self.control,
        }
        self.metrics = metrics.NodeMetrics(
            self.node, self.client, self.servers
        )
        self.refusals = _refusals.RefusalLog(self.servers)
        self.node.on_routing = self._apply_limits
        self._settings_modified_s = _settings.modified_s(os.environ)

    def _new_server(
        self,
        *handlers: typing.Callable[..., None],
        max_connections: int = _MAX_OTHER_CONNECTIONS,
    ) -> http1.Server:
        return http1.Server(
            *handlers,
            limits=_OTHER_LIMITS,
            max_connections=max_connections,
            budget=self.budget,
            receive_buffer_bytes=_RECEIVE_BUFFER_BYTES,
        )

    def _apply_limits(self, routing: node.Routing) -> None:
        limits = routing.limits
        if limits is not None:
            self.callers.limits = http1.Limits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )

    def _handle_control_request(
        self, connection: http1.Connection, request: http1.Request
    ) -> None:
        match request.path:
            case '/state':
                connection.respond(200, msgspec.json.encode(self.node.state()))
            case '/metrics':
                body, headers = self.metrics.render()
                connection.respond(200, body, headers)
            case _:
                connection.respond(404)

    async def run(self) -> None:
        """Serve until a stop signal has been received and handled."""
        listen = self.settings.listen
        node.log(
            'started',
            data_centre=self.settings.data_centre,
            incarnation=self.node.incarnation,
            pid=os.getpid(),
        )
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGHUP, signal.SIGINT
        ) as signals:
            async with trio.open_nursery() as nursery:
                for server, address in (
                    (self.callers, listen.frontend),
                    (self.readiness, listen.readiness_address),
                    (self.control, listen.control),
                    (
                        self.control,
                        f'{self.settings.ip}:{self.metrics_port}'
                        if self.metrics_port
                        else '',
                    ),
                ):
                    if address:
                        await nursery.start(server.serve, address)
                self.timers.subscribe(
                    'settings',
                    _SETTINGS_CHECK_INTERVAL_S,
                    self._reload_if_modified,
                )
                self.timers.subscribe(
                    'refusals', _REFUSALS_LOG_INTERVAL_S, self.refusals.log_new
                )
                await nursery.start(self.node.run)
                nursery.start_soon(self.ingress.run)
                stop_requested = trio.Event()
                nursery.start_soon(
                    self._handle_signals, signals, stop_requested
                )
                await stop_requested.wait()
                await self._drain()
                nursery.cancel_scope.cancel()
        self.node.close()
        self.client.close()
        node.log('stopped', n_pending=len(self.node.pending))

    async def _handle_signals(
        self,
        signals: typing.AsyncIterator[int],
        stop_requested: trio.Event,
    ) -> None:
        """Handle signals until cancelled.

        Those that nobody reads are raised again when their receiver is
        closed, and then end the process.
        """
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                self._reload()
            else:
                stop_requested.set()

    def _reload_if_modified(self) -> None:
        modified_s = _settings.modified_s(os.environ)
        if modified_s != self._settings_modified_s:
            self._reload()

    def _reload(self) -> None:
        """Reload the settings that can change at run time."""
        self._settings_modified_s = _settings.modified_s(os.environ)
        try:
            settings = _settings.load(os.environ)
        except _settings.SettingsError as exc:
            node.log('reload_failed', reason=str(exc))
            return
        self.settings = settings
        self.store.address = settings.store.address
        self.node.peers.seed_addresses = settings.seed_peers()
        node.log('reloaded', n_seeds=len(settings.seeds))

    async def _drain(self) -> None:
        """Hand over leadership and finish the accepted requests.

        Every request that was received is answered, with a refusal if the
        time that is left is too short for its job.
        """
        started_s = trio.current_time()
        node.log('stopping', n_pending=len(self.node.pending))
        limit_s = started_s + self.settings.bounds.grace_s - _EXIT_MARGIN_S
        self.node.begin_stop(limit_s - _OUTCOME_MARGIN_S)
        self.callers.is_draining = True
        while trio.current_time() < limit_s:
            await trio.sleep(_DRAIN_CHECK_INTERVAL_S)
            if trio.current_time() < started_s + _MIN_DRAIN_S:
                continue
            if not self.node.pending:
                self.callers.finish()
            # Jobs that arrived until then are still to be done.
            if not self.node.pending:
                break
        n_ended = len(self.node.pending)
        self.node.end_stop()
        self.callers.finish()
        await self.callers.wait_finished(_CLIENTS_CLOSE_TIMEOUT_S)
        node.log(
            'drained',
            after_s=round(trio.current_time() - started_s, 3),
            n_ended=n_ended,
            n_connections=len(self.callers.connections),
        )


def freeze_imported_objects() -> None:
    """Leave the objects that exist now out of garbage collections.

    Those of the modules live as long as the process. Looking at them took
    20 ms in each full collection, during which the event loop stands still.
    """
    gc.collect()
    gc.freeze()


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run an instance until it is stopped.

    :returns: exit code
    """
    parser = argparse.ArgumentParser(
        prog='python -m orioleloom.platform',
        description='Run an instance on the platform. Its settings file is '
        f'named by the environment variable {_settings.PATH_VARIABLE}.',
    )
    parser.add_argument(
        '--metrics-port',
        type=int,
        default=int(os.environ.get('ORIOLELOOM_METRICS_PORT', '0')),
        help='port of the metrics page; 0 leaves it out '
        '[ORIOLELOOM_METRICS_PORT]',
    )
    arguments = parser.parse_args(argv)
    try:
        settings = _settings.load(os.environ)
    except _settings.SettingsError as exc:
        print(f'orioleloom: {exc}', file=sys.stderr)
        return 2
    writer = node.LogWriter(sys.stdout.fileno(), settings.instance_id)
    writer.start()

    freeze_imported_objects()
    loop_monitor = node.LoopMonitor()

    async def run() -> None:
        daemon = Daemon(settings, arguments.metrics_port, loop_monitor)
        daemon.timers.subscribe(
            'log_flush', _LOG_FLUSH_INTERVAL_S, writer.flush
        )
        await daemon.run()

    try:
        trio.run(
            run,
            clock=timers.SuspendAwareClock(),
            instruments=[loop_monitor],
        )
    finally:
        writer.stop()
    return 0
