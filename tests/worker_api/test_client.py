import contextlib
import functools
import socket
import time

import pytest
import trio

from orioleloom.engine import _effects
from orioleloom import model
from orioleloom import worker_api
import orioleloom_standins as standins

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


@pytest.fixture(
    params=[worker_api.H11Transport, worker_api.HttpxTransport],
    ids=['h11', 'httpx'],
)
def transport(request):
    return request.param(connect_timeout_s=0.5)


@contextlib.asynccontextmanager
async def running_worker(transport, connections_per_worker=8, **options):
    worker = standins.Worker(worker_id='w0', **options)
    server = standins.WorkerServer(worker)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve)
        async with worker_api.WorkerClient(
            'e1',
            transport=transport,
            connections_per_worker=connections_per_worker,
            connect_timeout_s=0.2,
        ) as client:
            yield worker, client, f'http://127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def scripted_worker(answer):
    """Serve connections that answer any request with the given bytes."""

    async def serve(stream):
        async with stream:
            await stream.receive_some(65536)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(answer)

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield f'http://127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


async def until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.005)


def send(url, payloads, *, lease_s=5.0, first=0):
    tasks = tuple(
        _effects.SentTask(f'c/s/{first + index}', 'k', payload, 1000)
        for index, payload in enumerate(payloads)
    )
    return _effects.SendTasks(1, 'w0', url, tasks, lease_s)


def line(key, result=b'1'):
    return b'{"key":"%s","outcome":"ok","result":%s,"free_slots":1}\n' % (
        key.encode(),
        result,
    )


def chunks(*parts):
    return b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)


async def test_lines_arrive_in_completion_order(transport):
    async with running_worker(transport) as (worker, client, url):
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


GOOD = line('c/s/0')


@pytest.mark.parametrize(
    'body, n_lines, reason',
    [
        (chunks(GOOD, line('c/s/0')), 1, 'not awaited'),
        (chunks(GOOD, line('c/s/9')), 1, 'not awaited'),
        (chunks(GOOD + b'{"key": 7}\n'), 1, 'malformed'),
        (chunks(GOOD + b'\xff\xfe\n'), 1, 'malformed'),
        (chunks(GOOD + b'x' * 300_000 + b'\n'), 1, 'too long'),
        (chunks(GOOD, b'x' * 300_000), 1, 'too long'),
        (chunks(GOOD, line('c/s/1')[:9]) + b'0\r\n\r\n', 1, 'middle'),
        (chunks(GOOD) + b'0\r\n\r\n', 1, '1 tasks have no result'),
        (chunks(GOOD), 1, ''),
        (chunks(GOOD[:10], GOOD[10:]) + b'no chunk\r\n', 1, ''),
    ],
)
async def test_a_faulty_answer_ends_the_exchange_as_may_have_started(
    transport, body, n_lines, reason
):
    # Guards R4 and R16: good lines before the fault count, nothing after
    # it does, and the missing task is not reported as not started.
    async with scripted_worker(HEAD + body) as url:
        async with worker_api.WorkerClient(
            'e1', transport=transport
        ) as client:
            lines = []
            end = await client.run_exchange(
                send(url, [{}, {}], lease_s=2.0), lines.append
            )
    assert len(lines) == n_lines
    assert end.may_have_started
    assert end.reason and reason in end.reason
    assert 'lease' not in end.reason


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'garbage\r\n\r\n',
        b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n',
        HEAD[:20],
    ],
)
async def test_no_usable_answer_means_may_have_started(transport, answer):
    # Guards R5: bytes left, so the tasks must not be sent again.
    async with scripted_worker(answer) as url:
        async with worker_api.WorkerClient(
            'e1', transport=transport
        ) as client:
            end = await client.run_exchange(send(url, [{}]), lambda _: None)
    assert end.may_have_started
    assert end.reason


async def test_a_refused_connection_means_not_started(transport):
    # Guards section 4: these tasks may go to another worker.
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        url = f'http://127.0.0.1:{unused.getsockname()[1]}'
        async with worker_api.WorkerClient(
            'e1', transport=transport
        ) as client:
            end = await client.run_exchange(send(url, [{}]), lambda _: None)
            cancel = _effects.CancelTasks('w0', url, ('c/s/0',))
            assert not await client.cancel(cancel)
    assert not end.may_have_started


async def test_a_stalled_worker_costs_no_more_than_the_lease(transport):
    # Guards section 7: a stalled worker must not hold an exchange.
    async with running_worker(transport) as (worker, client, url):
        now_s = time.monotonic()
        worker.set_fault('stall', now_s, duration_s=60)
        end = await client.run_exchange(
            send(url, [{}], lease_s=0.2), lambda _: None
        )
        assert end.may_have_started
        assert 'lease' in end.reason
        assert time.monotonic() - now_s < 3


async def test_connections_are_kept_and_bounded(transport):
    # Guards F1: an instance stays within its part of the connections.
    async with running_worker(transport, 3, connections=3) as parts:
        worker, client, url = parts
        async with trio.open_nursery() as nursery:
            for first in range(2):
                effect = send(url, [{'work_ms': 60_000}], first=first)
                nursery.start_soon(client.run_exchange, effect, lambda _: None)
            await until(lambda: len(worker.running) == 2)
            end = await client.run_exchange(
                send(url, [{}], first=2), lambda _: None
            )
            assert end.reason == 'all connections are in use'
            assert not end.may_have_started
            keys = ('c/s/0', 'c/s/1')
            assert await client.cancel(_effects.CancelTasks('w0', url, keys))
        for first in range(3, 20):
            end = await client.run_exchange(
                send(url, [{}], first=first), lambda _: None
            )
            assert end.reason == ''
        # A worker that counts more connections than it accepts rejects.
        assert worker.counters.get('rejected', 0) == 0


async def test_a_cancel_passes_when_all_exchanges_are_in_use(transport):
    # Guards against cancels that wait for the tasks they are to stop.
    async with running_worker(transport, 2) as (worker, client, url):
        lines = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                client.run_exchange,
                send(url, [{'work_ms': 60_000}]),
                lines.append,
            )
            await until(lambda: worker.running)
            cancel = _effects.CancelTasks('w0', url, ('c/s/0',))
            assert await client.cancel(cancel)
        assert lines[0].outcome is model.TaskOutcome.STOPPED


async def test_a_connection_that_the_worker_closed_is_not_used_again(
    transport,
):
    # Guards against "outcome unknown" for tasks sent after a restart.
    answer = HEAD + chunks(line('c/s/0')) + b'0\r\n\r\n'
    async with scripted_worker(answer) as url:
        async with worker_api.WorkerClient(
            'e1', transport=transport
        ) as client:
            for _ in range(3):
                lines = []
                end = await client.run_exchange(send(url, [{}]), lines.append)
                assert (end.reason, len(lines)) == ('', 1)
                await trio.sleep(0.05)


def test_parameters_are_checked():
    with pytest.raises(ValueError, match='connections_per_worker 1'):
        functools.partial(
            worker_api.WorkerClient, 'e1', connections_per_worker=1
        )()


async def test_idle_connections_are_bounded_over_all_workers():
    # Guards F14: descriptors must not grow with the number of workers.
    transport = worker_api.H11Transport(max_idle=1)
    async with contextlib.AsyncExitStack() as stack:
        host = standins.WorkerHost(
            standins.Worker(worker_id=name, connections=1)
            for name in ('w0', 'w1')
        )
        nursery = await stack.enter_async_context(trio.open_nursery())
        ports = await nursery.start(host.serve)
        client = await stack.enter_async_context(
            worker_api.WorkerClient('e1', transport=transport)
        )
        for port in ports['workers'].values():
            end = await client.run_exchange(
                send(f'http://127.0.0.1:{port}', [{}]), lambda _: None
            )
            assert end.reason == ''
        servers = list(host.servers.values())
        await until(lambda: servers[0].n_connections == 0)
        assert servers[1].n_connections == 1
        nursery.cancel_scope.cancel()


async def test_a_lease_that_expires_while_connecting_means_not_started():
    # Guards section 4: no byte left, so the tasks may go elsewhere.
    with contextlib.ExitStack() as stack:
        # A listener whose queue is full leaves further connects waiting.
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        for _ in range(3):
            other = stack.enter_context(socket.socket())
            other.setblocking(False)
            other.connect_ex(listener.getsockname())
        url = f'http://127.0.0.1:{listener.getsockname()[1]}'
        async with worker_api.WorkerClient(
            'e1', connect_timeout_s=10.0
        ) as client:
            end = await client.run_exchange(
                send(url, [{}], lease_s=0.2), lambda _: None
            )
    assert 'lease' in end.reason
    assert not end.may_have_started
