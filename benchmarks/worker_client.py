"""CPU time of worker exchanges in the client and in the stand-in.

Run as ``python -m benchmarks.worker_client``. It starts one stand-in
process with eight workers on loopback. In the "at once" cases the tasks
take no time, so that all lines of an exchange arrive together; in the
"spread" cases they arrive one by one. Eight exchanges run concurrently.
"""

import itertools
import json
import statistics
import subprocess
import sys
import time

import trio

from orioleloom.engine import _effects
from orioleloom import worker_api

TRANSPORTS = {
    'httpx': worker_api.HttpxTransport,
    'h11': worker_api.H11Transport,
}


def process_cpu_s(pid: int) -> float:
    with open(f'/proc/{pid}/schedstat') as file:
        return int(file.read().split()[0]) / 1e9


async def _measure(
    name: str,
    urls: list[str],
    pid: int,
    n_tasks: int,
    n_exchanges: int,
    work_ms: float,
) -> dict[str, float]:
    async with worker_api.WorkerClient(
        'e1', transport=TRANSPORTS[name]()
    ) as client:

        async def run(url: str, first: int, count: int) -> None:
            for number in range(first, first + count):
                tasks = tuple(
                    _effects.SentTask(
                        f'acme/{number}/{index}',
                        'k',
                        {
                            'id': index,
                            'work_ms': work_ms * (1 + index),
                            'text': 'x' * 150,
                        },
                        1000,
                    )
                    for index in range(n_tasks)
                )
                lines: list[object] = []
                end = await client.run_exchange(
                    _effects.SendTasks(number, 'w0', url, tasks, 5.0),
                    lines.append,
                )
                if end.reason or len(lines) != n_tasks:
                    raise RuntimeError(f'exchange failed: {end.reason}')

        async def run_all(first: int, count: int) -> None:
            async with trio.open_nursery() as nursery:
                for url in urls:
                    nursery.start_soon(run, url, first, count // len(urls))

        await run_all(0, 80)
        client_s = time.process_time()
        stand_in_s = process_cpu_s(pid)
        await run_all(80, n_exchanges)
        client_s = time.process_time() - client_s
        stand_in_s = process_cpu_s(pid) - stand_in_s
    return {
        'client_us': client_s / n_exchanges * 1e6,
        'stand_in_us': stand_in_s / n_exchanges * 1e6,
    }


async def _main(
    urls: list[str], pid: int, rounds: int, n_exchanges: int
) -> None:
    cases = itertools.product((0.0, 2.0), (1, 8), TRANSPORTS)
    for work_ms, n_tasks, name in cases:
        samples = [
            await _measure(name, urls, pid, n_tasks, n_exchanges, work_ms)
            for _ in range(rounds)
        ]
        for side in ('client_us', 'stand_in_us'):
            values = [sample[side] for sample in samples]
            median = statistics.median(values)
            print(
                f'{"spread" if work_ms else "at once":8} '
                f'{n_tasks} tasks {name:6} {side:12} '
                f'median {median:7.0f} per exchange '
                f'{median / n_tasks:7.0f} per task '
                f'(min {min(values):.0f}, max {max(values):.0f})'
            )


def main() -> None:
    """Run all cases against a stand-in process."""
    with subprocess.Popen(
        [
            sys.executable,
            '-m',
            'orioleloom_standins.cli',
            'workers',
            '--count',
            '8',
        ],
        stdout=subprocess.PIPE,
    ) as stand_in:
        try:
            assert stand_in.stdout is not None
            ready = json.loads(stand_in.stdout.readline())
            urls = [
                f'http://127.0.0.1:{port}'
                for port in ready['workers'].values()
            ]
            trio.run(_main, urls, stand_in.pid, 5, 800)
        finally:
            stand_in.terminate()


if __name__ == '__main__':
    main()
