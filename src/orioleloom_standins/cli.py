import argparse
import collections.abc
import json
import os
import typing

import httpx
import trio

from orioleloom_standins import _platform
from orioleloom_standins import _platform_http
from orioleloom_standins import _worker
from orioleloom_standins import _worker_http

_ENVIRONMENT_PREFIX = 'ORIOLELOOM_STANDIN_'


def _number_parser(
    low: float, high: float, number_type: type = float
) -> collections.abc.Callable[[str], typing.Any]:
    def parse(text: str) -> typing.Any:
        try:
            value = number_type(text)
        except ValueError as exc:
            raise argparse.ArgumentTypeError(
                f'{text!r} is not a number'
            ) from exc
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(
                f'{text} is not between {low} and {high}'
            )
        return value

    return parse


def _parse_numbers(text: str) -> list[float]:
    return [_number_parser(0.001, 1000)(part) for part in text.split(',')]


def _parse_ports(text: str) -> list[int]:
    parse = _number_parser(0, 65535, int)
    return [parse(part) for part in text.split(',')]


def _add_flag(
    parser: argparse.ArgumentParser,
    name: str,
    default: typing.Any,
    parse: collections.abc.Callable[[str], typing.Any],
    help_text: str,
) -> None:
    variable = _ENVIRONMENT_PREFIX + name.upper().replace('-', '_')
    parser.add_argument(
        f'--{name}',
        type=parse,
        default=os.environ.get(variable, default),
        help=f'{help_text} [{variable}, default {default}]',
    )


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser of ``orioleloom-standin``."""
    parser = argparse.ArgumentParser(
        prog='orioleloom-standin',
        description='Stand-ins for the platform and for workers.',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    port = _number_parser(0, 65535, int)

    platform = commands.add_parser('platform', help='serve the platform')
    _add_flag(platform, 'host', '127.0.0.1', str, 'address to listen on')
    _add_flag(
        platform, 'port', 0, port, 'port; 0 lets the operating system choose'
    )
    _add_flag(
        platform,
        'transactions-per-s',
        400.0,
        _number_parser(1, 1e6),
        'transactions per second above which writes get 429',
    )
    _add_flag(
        platform,
        'reads-per-s',
        2000.0,
        _number_parser(1, 1e6),
        'reads per second above which reads get 429',
    )
    _add_flag(
        platform,
        'write-latency-ms',
        4.0,
        _number_parser(0, 60_000),
        'time that a write takes',
    )
    _add_flag(
        platform,
        'lag-s',
        0.0,
        _number_parser(0, 3600),
        'lag of the member list',
    )

    workers = commands.add_parser('workers', help='serve workers')
    _add_flag(workers, 'host', '127.0.0.1', str, 'address to listen on')
    _add_flag(
        workers,
        'port',
        0,
        port,
        'control port; 0 lets the operating system choose',
    )
    _add_flag(
        workers,
        'worker-ports',
        [],
        _parse_ports,
        'comma-separated ports of the workers; for 0 or a missing port '
        'the operating system chooses',
    )
    _add_flag(
        workers, 'count', 1, _number_parser(1, 2000, int), 'number of workers'
    )
    _add_flag(
        workers,
        'prefix',
        'w',
        str,
        'prefix of the worker ids, followed by a number',
    )
    _add_flag(
        workers, 'slots', 8, _number_parser(1, 10_000, int), 'slots per worker'
    )
    _add_flag(
        workers,
        'connections',
        64,
        _number_parser(1, 10_000, int),
        'connections per worker',
    )
    _add_flag(
        workers,
        'speeds',
        [1.0],
        _parse_numbers,
        'comma-separated speeds, assigned to the workers in turn',
    )
    _add_flag(
        workers, 'ledger', None, str, 'file to which the ledger is appended'
    )
    _add_flag(
        workers,
        'platform',
        None,
        str,
        'base URL of a platform stand-in to register with',
    )
    _add_flag(workers, 'data-centre', 'dc1', str, 'data centre of the workers')
    _add_flag(workers, 'upstream', 'default', str, 'upstream of the workers')
    _add_flag(
        workers,
        'rack-size',
        0,
        _number_parser(0, 1000, int),
        'workers per rack; 0 assigns no rack',
    )
    for command in (platform, workers):
        _add_flag(
            command,
            'lifetime-s',
            0.0,
            _number_parser(0, 1e6),
            'time after which the process exits; 0 means no limit',
        )
    return parser


async def _serve_and_announce(
    lifetime_s: float,
    serve: collections.abc.Callable[..., typing.Awaitable[None]],
    describe: collections.abc.Callable[[typing.Any], dict[str, typing.Any]],
    register: collections.abc.Callable[
        [dict[str, typing.Any]], typing.Awaitable[None]
    ]
    | None = None,
) -> None:
    async with trio.open_nursery() as nursery:
        if lifetime_s:
            nursery.cancel_scope.deadline = trio.current_time() + lifetime_s
        ready = describe(await nursery.start(serve))
        if register is not None:
            await register(ready)
        print(json.dumps(ready), flush=True)


def worker_members(
    options: argparse.Namespace, ready: dict[str, typing.Any]
) -> list[dict[str, typing.Any]]:
    """Return the member list entries of the served workers."""
    members = []
    for index, (worker_id, port) in enumerate(ready['workers'].items()):
        rack = ''
        if options.rack_size:
            rack_index = index // options.rack_size
            rack = f'{options.data_centre}-rack{rack_index}'
        members.append(
            {
                'id': worker_id,
                'role': 'worker',
                'state': 'live',
                'data_centre': options.data_centre,
                'http': f'http://{options.host}:{port}',
                'upstream': options.upstream,
                'slots': options.slots,
                'connections': options.connections,
                'rack': rack,
            }
        )
    return members


async def _register(
    options: argparse.Namespace, ready: dict[str, typing.Any]
) -> None:
    async with httpx.AsyncClient(trust_env=False) as client:
        for member in worker_members(options, ready):
            response = await client.put(
                f'{options.platform}/v1/standin/members/{member["id"]}',
                json=member,
            )
            response.raise_for_status()


def _run_platform(options: argparse.Namespace) -> None:
    platform = _platform.Platform(
        transactions_per_s=options.transactions_per_s,
        reads_per_s=options.reads_per_s,
        write_latency_s=options.write_latency_ms / 1000,
        lag_s=options.lag_s,
    )

    async def serve(*, task_status: trio.TaskStatus[int]) -> None:
        await _platform_http.serve_platform(
            platform,
            host=options.host,
            port=options.port,
            task_status=task_status,
        )

    trio.run(
        _serve_and_announce,
        options.lifetime_s,
        serve,
        lambda port: {
            'port': port,
            'http': f'http://{options.host}:{port}',
        },
    )


def _run_workers(options: argparse.Namespace) -> None:
    ledger = _worker.Ledger(path=options.ledger)
    host = _worker_http.WorkerHost(
        _worker.Worker(
            worker_id=f'{options.prefix}{index}',
            slots=options.slots,
            connections=options.connections,
            speed=options.speeds[index % len(options.speeds)],
            ledger=ledger,
            random_state=index,
        )
        for index in range(options.count)
    )

    async def serve(
        *, task_status: trio.TaskStatus[dict[str, typing.Any]]
    ) -> None:
        await host.serve(
            host=options.host,
            ports=options.worker_ports,
            control_port=options.port,
            task_status=task_status,
        )

    async def register(ready: dict[str, typing.Any]) -> None:
        await _register(options, ready)

    trio.run(
        _serve_and_announce,
        options.lifetime_s,
        serve,
        lambda ready: ready,
        register if options.platform else None,
    )


def main(arguments: list[str] | None = None) -> None:
    """Run ``orioleloom-standin``."""
    options = build_parser().parse_args(arguments)
    try:
        if options.command == 'platform':
            _run_platform(options)
        else:
            _run_workers(options)
    except* KeyboardInterrupt:
        pass


if __name__ == '__main__':
    main()
