"""Cost of HTTP requests and of an idle entry process."""

from concurrent import futures
import contextlib
import json
import multiprocessing
import os
import socket
import subprocess
import sys
import time
import typing

import trio

from benchmarks import _slope
from benchmarks import submit_cost
from benchmarks import worker_client
from orioleloom_standins import _platform
from orioleloom_standins import _platform_http

IDLE_WORKERS = (24, 880, 22_000)
IDLE_ENTRIES = 300
N_EDGE_ROUNDS = 5
# Longer than the join hold of a new instance, whose end changes ranks.
SETTLE_S = 8.0
IDLE_S = 6.0
N_IDLE_ROUNDS = 3


def _measure_interleaved(
    sizes: tuple[int, ...], measure: typing.Callable[[int], float]
) -> typing.Iterator[tuple[int, list[float]]]:
    """Interleave the sizes, so that other load affects all alike."""
    rounds = [[measure(size) for size in sizes] for _ in range(N_EDGE_ROUNDS)]
    yield from zip(sizes, map(list, zip(*rounds)))


def submissions() -> list[_slope.Slope]:
    """Measure the CPU time of a submission in the HTTP server."""
    return [
        _slope.slope(
            'edge', f'{n_tasks} tasks a job', 'us a submission', costs
        )
        for n_tasks, costs in _measure_interleaved(
            (1, 100),
            lambda n_tasks: submit_cost.measure('asgi', n_tasks, 80)[1] * 1e6,
        )
    ]


@contextlib.contextmanager
def _run_stand_in() -> typing.Iterator[tuple[list[str], int]]:
    arguments = ['-m', 'orioleloom_standins.cli', 'workers', '--count', '8']
    with subprocess.Popen(
        [sys.executable, *arguments], stdout=subprocess.PIPE
    ) as process:
        try:
            ready = json.loads(process.stdout.readline())
            ports = ready['workers'].values()
            yield [f'http://127.0.0.1:{port}' for port in ports], process.pid
        finally:
            process.terminate()


def exchanges() -> list[_slope.Slope]:
    """Measure the CPU time of an exchange with a worker."""
    with _run_stand_in() as (urls, pid):

        def measure(n_tasks: int) -> float:
            found = trio.run(
                worker_client._measure, 'h11', urls, pid, n_tasks, 400, 2.0
            )
            return found['client_us']

        return [
            _slope.slope(
                'edge', f'{n_tasks} tasks an exchange', 'us an exchange', costs
            )
            for n_tasks, costs in _measure_interleaved((1, 8), measure)
        ]


def _serve_platform(n_workers: int, entry_row: dict, pipe: typing.Any) -> None:
    platform = _platform.Platform()
    rows = [_slope.entry(i) for i in range(IDLE_ENTRIES - 1)]
    rows += [_slope.worker(i) for i in range(n_workers)]
    for member in [entry_row, *(row._asdict() for row in rows)]:
        platform.members.put(member, 0.0)

    async def answer() -> None:
        while True:
            await trio.to_thread.run_sync(pipe.recv)
            pipe.send(dict(platform.counters))

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            port = await nursery.start(
                lambda task_status: _platform_http.serve_platform(
                    platform, task_status=task_status
                )
            )
            pipe.send(port)
            await answer()

    trio.run(main)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def _resident_mib(pid: int) -> float:
    with open(f'/proc/{pid}/status') as file:
        for line in file:
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
    raise RuntimeError(f'process {pid} has no resident size')


def _measure_idle(n_workers: int) -> dict[str, float]:
    context = multiprocessing.get_context('spawn')
    pipe, other = context.Pipe()
    entry_row = _slope.entry(299)._asdict()
    platform = context.Process(
        target=_serve_platform, args=(n_workers, entry_row, other)
    )
    platform.start()
    process = None
    try:
        port = pipe.recv()
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'orioleloom.cli',
                'entry',
                '--instance-id=entry-0299',
                '--data-centre=dc',
                f'--platform-url=http://127.0.0.1:{port}',
                f'--http-bind-port={_free_port()}',
                '--peer-bind=tcp://127.0.0.1:0',
            ],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        time.sleep(SETTLE_S)
        pipe.send(None)
        before = pipe.recv()
        before_s = worker_client.process_cpu_s(process.pid)
        time.sleep(IDLE_S)
        used_s = worker_client.process_cpu_s(process.pid) - before_s
        pipe.send(None)
        after = pipe.recv()
        found = {
            f'{name} a second': (after[name] - before.get(name, 0)) / IDLE_S
            for name in after
            if after[name] != before.get(name, 0)
        }
        found['MiB resident'] = _resident_mib(process.pid)
        found['% of a core'] = used_s / IDLE_S * 100
        return found
    finally:
        if process is not None:
            process.terminate()
            process.wait(10)
        platform.terminate()
        platform.join(10)


def idle_process() -> list[_slope.Slope]:
    """Measure an idle entry process.

    The sizes are measured in parallel, since each process uses less than
    1 % of a core.
    """
    rounds = []
    with futures.ThreadPoolExecutor(len(IDLE_WORKERS)) as pool:
        for _ in range(N_IDLE_ROUNDS):
            rounds.append([*pool.map(_measure_idle, IDLE_WORKERS)])
    slopes = []
    for n_workers, runs in zip(IDLE_WORKERS, zip(*rounds)):
        size = f'{IDLE_ENTRIES} entries, {n_workers} workers'
        for name in sorted(set.intersection(*map(set, runs))):
            values = [run[name] for run in runs]
            slopes.append(_slope.slope('idle', size, name, values))
    return slopes


def load_average() -> float:
    """Return the 1-minute load average."""
    return os.getloadavg()[0]
