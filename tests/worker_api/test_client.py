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

RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


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
async def scripted_worker(response):
    """Serve connections that send the given bytes after any request."""

    async def serve(stream):
        async with stream:
            await stream.receive_some(65536)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(response)

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield f'http://127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


async def wait_until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.005)


def make_send_tasks(url, payloads, *, lease_s=5.0, first=0):
    tasks = tuple(
        _effects.SentTask(f'c/s/{first + index}', 'k', payload, 1000)
        for index, payload in enumerate(payloads)
    )
    return _effects.SendTasks(1, 'w0', url, tasks, lease_s)


def encode_line(key, result=b'1'):
    return b'{"key":"%s","outcome":"ok","result":%s,"free_slots":1}\n' % (
        key.encode(),
        result,
    )


def encode_chunks(*parts):
    return b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)


async def test_lines_arrive_in_completion_order(transport):
    async with running_worker(transport) as (worker, client, url):
        lines = []
        end = await client.run_exchange(
            make_send_tasks(url, [{'work_ms': 30}, {'work_ms': 5}]),
            lines.append,
        )
        assert [line.key for line in lines] == ['c/s/1', 'c/s/0']
        assert lines[1].result == standins.expected_result(
            'k', {'work_ms': 30}
        )
        assert end.reason == ''
        assert len(worker.ledger.entries) == 4


VALID_LINE = encode_line('c/s/0')


@pytest.mark.parametrize(
    'body, n_valid_lines, reason',
    [
        (encode_chunks(VALID_LINE, encode_line('c/s/0')), 1, 'unexpected key'),
        (encode_chunks(VALID_LINE, encode_line('c/s/9')), 1, 'unexpected key'),
        (encode_chunks(VALID_LINE + b'{"key": 7}\n'), 1, 'malformed'),
        (encode_chunks(VALID_LINE + b'\xff\xfe\n'), 1, 'malformed'),
        (encode_chunks(VALID_LINE + b'x' * 300_000 + b'\n'), 1, 'too long'),
        (encode_chunks(VALID_LINE, b'x' * 300_000), 1, 'too long'),
        (
            encode_chunks(VALID_LINE, encode_line('c/s/1')[:9]) + b'0\r\n\r\n',
            1,
            'middle',
        ),
        (
            encode_chunks(VALID_LINE) + b'0\r\n\r\n',
            1,
            '1 tasks have no result',
        ),
        (encode_chunks(VALID_LINE), 1, ''),
        (
            encode_chunks(VALID_LINE[:10], VALID_LINE[10:]) + b'no chunk\r\n',
            1,
            '',
        ),
    ],
)
async def test_a_faulty_response_ends_the_exchange_as_may_have_started(
    transport, body, n_valid_lines, reason
):
    # Guards R4 and R16: valid lines before the fault are used, data after
    # it is ignored, and the exchange may have started the other task.
    async with scripted_worker(RESPONSE_HEAD + body) as url:
        async with worker_api.WorkerClient(
            'e1', transport=transport
        ) as client:
            lines = []
            end = await client.run_exchange(
                make_send_tasks(url, [{}, {}], lease_s=2.0), lines.append
            )
    assert len(lines) == n_valid_lines
    assert end.may_have_started
    assert end.reason and reason in end.reason
    assert 'lease' not in end.reason


@pytest.mark.parametrize(
    'response',
    [
        b'',
        b'garbage\r\n\r\n',
        b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n',
        RESPONSE_HEAD[:20],
    ],
)
async def test_no_usable_response_means_may_have_started(transport, response):
    # Guards R5: bytes of the request were sent, so the tasks must not be
    # sent again.
    async with scripted_worker(response) as url:
        async with worker_api.WorkerClient(
            'e1', transport=transport
        ) as client:
            end = await client.run_exchange(
                make_send_tasks(url, [{}]), lambda _: None
            )
    assert end.may_have_started
    assert end.reason


async def test_a_refused_connection_means_not_started(transport):
    # Guards section 4: these tasks may be sent to another worker.
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        url = f'http://127.0.0.1:{unused.getsockname()[1]}'
        async with worker_api.WorkerClient(
            'e1', transport=transport
        ) as client:
            end = await client.run_exchange(
                make_send_tasks(url, [{}]), lambda _: None
            )
            cancel = _effects.CancelTasks('w0', url, ('c/s/0',))
            assert not await client.cancel(cancel)
    assert not end.may_have_started


async def test_an_exchange_with_a_stalled_worker_ends_with_its_lease(
    transport,
):
    # Guards section 7: an exchange with a stalled worker ends with its lease.
    async with running_worker(transport) as (worker, client, url):
        now_s = time.monotonic()
        worker.set_fault('stall', now_s, duration_s=60)
        end = await client.run_exchange(
            make_send_tasks(url, [{}], lease_s=0.2), lambda _: None
        )
        assert end.may_have_started
        assert 'lease' in end.reason
        assert time.monotonic() - now_s < 3


async def test_connections_are_reused_and_limited(transport):
    # Guards F1: an instance opens no more connections to a worker than it
    # may.
    async with running_worker(transport, 3, connections=3) as parts:
        worker, client, url = parts
        async with trio.open_nursery() as nursery:
            for first in range(2):
                effect = make_send_tasks(
                    url, [{'work_ms': 60_000}], first=first
                )
                nursery.start_soon(client.run_exchange, effect, lambda _: None)
            await wait_until(lambda: len(worker.running) == 2)
            end = await client.run_exchange(
                make_send_tasks(url, [{}], first=2), lambda _: None
            )
            assert end.reason == 'all connections are in use'
            assert not end.may_have_started
            keys = ('c/s/0', 'c/s/1')
            assert await client.cancel(_effects.CancelTasks('w0', url, keys))
        for first in range(3, 20):
            end = await client.run_exchange(
                make_send_tasks(url, [{}], first=first), lambda _: None
            )
            assert end.reason == ''
        # The worker rejects tasks when it has too many connections.
        assert worker.counters.get('rejected', 0) == 0


async def test_a_cancel_is_sent_when_all_task_connections_are_in_use(
    transport,
):
    # Guards against a cancel request that waits for the tasks it should stop.
    async with running_worker(transport, 2) as (worker, client, url):
        lines = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                client.run_exchange,
                make_send_tasks(url, [{'work_ms': 60_000}]),
                lines.append,
            )
            await wait_until(lambda: worker.running)
            cancel = _effects.CancelTasks('w0', url, ('c/s/0',))
            assert await client.cancel(cancel)
        assert lines[0].outcome is model.TaskOutcome.STOPPED


async def test_a_connection_that_the_worker_closed_is_not_used_again(
    transport,
):
    # Guards against an unknown outcome of tasks that are sent after a worker
    # has restarted and closed its connections.
    response = (
        RESPONSE_HEAD + encode_chunks(encode_line('c/s/0')) + b'0\r\n\r\n'
    )
    async with scripted_worker(response) as url:
        async with worker_api.WorkerClient(
            'e1', transport=transport
        ) as client:
            for _ in range(3):
                lines = []
                end = await client.run_exchange(
                    make_send_tasks(url, [{}]), lines.append
                )
                assert (end.reason, len(lines)) == ('', 1)
                await trio.sleep(0.05)


def test_parameters_are_checked():
    with pytest.raises(ValueError, match='connections_per_worker 1'):
        functools.partial(
            worker_api.WorkerClient, 'e1', connections_per_worker=1
        )()


async def test_idle_connections_are_limited_over_all_workers():
    # Guards F14: the number of file descriptors must not grow with the number
    # of workers.
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
                make_send_tasks(f'http://127.0.0.1:{port}', [{}]),
                lambda _: None,
            )
            assert end.reason == ''
        servers = list(host.servers.values())
        await wait_until(lambda: servers[0].n_connections == 0)
        assert servers[1].n_connections == 1
        nursery.cancel_scope.cancel()


async def test_a_lease_that_expires_while_connecting_means_not_started():
    # Guards section 4: no byte of the request was sent, so the tasks may be
    # sent to another worker.
    with contextlib.ExitStack() as stack:
        # While the backlog of the listener is full, further connection
        # attempts wait.
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
                make_send_tasks(url, [{}], lease_s=0.2), lambda _: None
            )
    assert 'lease' in end.reason
    assert not end.may_have_started
