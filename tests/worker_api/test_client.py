import contextlib

import trio

from orioleloom.engine import _effects
from orioleloom import worker_api
import orioleloom_standins as standins


@contextlib.asynccontextmanager
async def running_worker(**options):
    worker = standins.Worker(worker_id='w0', **options)
    server = standins.WorkerServer(worker)

    async def serve(*, task_status):
        await server.serve(task_status=task_status)

    async with trio.open_nursery() as nursery:
        port = await nursery.start(serve)
        async with worker_api.WorkerClient('e1') as client:
            yield worker, server, client, f'http://127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


def send(url, payloads, *, lease_s=5.0, first=0):
    tasks = tuple(
        _effects.SentTask(f'c/s/{first + index}', 'k', payload, 1000)
        for index, payload in enumerate(payloads)
    )
    return _effects.SendTasks(1, 'w0', url, tasks, lease_s)


async def test_lines_arrive_in_completion_order():
    async with running_worker() as (worker, _, client, url):
        lines = []
        end = await client.run_exchange(
            send(url, [{'work_ms': 30}, {'work_ms': 5}]), lines.append
        )
        assert [line.key for line in lines] == ['c/s/1', 'c/s/0']
        assert lines[1].result == standins.expected_result(
            'k', {'work_ms': 30}
        )
        assert end.reason == ''
        assert len(worker.ledger.entries) == 4
