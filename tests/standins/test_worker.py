import contextlib
import json

import httpx
import pytest
import trio

from orioleloom import model
import orioleloom_standins as standins


def offer(worker, key, payload=None, now_s=0.0):
    return worker.offer('e1', key, 'k', payload or {}, now_s)


def test_slots_limit_the_running_tasks():
    # Guards F1: the stand-in never runs more tasks than it has slots.
    worker = standins.Worker(worker_id='w0', slots=2, speed=2.0)
    runs = [offer(worker, f'c/s/{i}', {'work_ms': 100}) for i in range(2)]
    assert [run.ends_s for run in runs] == [0.05, 0.05]
    rejected = offer(worker, 'c/s/2')
    assert (rejected.outcome.value, rejected.reason) == ('rejected', 'busy')
    line = worker.finish(runs[0], 0.05)
    assert (line.outcome.value, line.free_slots) == ('ok', 1)
    assert line.run_time_ms == 50
    assert worker.finish(runs[0], 0.05) is None
    events = [(item.event, item.key) for item in worker.ledger.entries]
    assert events == [
        ('start', 'c/s/0'),
        ('start', 'c/s/1'),
        ('ok', 'c/s/0'),
    ]


def test_a_repeated_key_starts_again():
    # Guards R1: deduplication in the stand-in would hide a second start.
    worker = standins.Worker(worker_id='w0')
    offer(worker, 'c/s/0')
    offer(worker, 'c/s/0')
    assert [item.event for item in worker.ledger.entries] == ['start'] * 2


def test_faults_change_tasks():
    worker = standins.Worker(worker_id='w0')
    worker.set_fault('slow_factor', 0.0, duration_s=5, factor=3)
    assert offer(worker, 'c/s/0', {'work_ms': 100}).ends_s == (
        pytest.approx(0.3)
    )
    worker.set_fault('fail_all', 0.0, duration_s=5)
    run = offer(worker, 'c/s/1', {'work_ms': 100})
    assert run.ends_s == 0.001
    assert worker.finish(run, 0.001).outcome is model.TaskOutcome.FAILED
    worker.set_fault('leave', 0.0, duration_s=5)
    line = offer(worker, 'c/s/2')
    assert (line.reason, line.leaving) == ('leaving', True)
    assert isinstance(offer(worker, 'c/s/3', now_s=6.0), standins.Run)
    with pytest.raises(ValueError, match='fire'):
        worker.set_fault('fire', 0.0, duration_s=1)


def test_a_truncated_last_ledger_line_is_ignored(tmp_path):
    # Guards the audit after a SIGKILL, which may leave a truncated line.
    path = str(tmp_path / 'ledger')
    ledger = standins.Ledger(path=path)
    worker = standins.Worker(worker_id='w0', ledger=ledger)
    offer(worker, 'c/s/0', {'id': 5})
    with open(path, 'ab') as file:
        file.write(b'["start","c/s')
    assert standins.read_ledger(path) == ledger.entries
    assert ledger.entries[0].payload_id == 5
    ledger.close()


async def wait_until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.005)


@contextlib.asynccontextmanager
async def running_host(n_workers=1, **options):
    workers = [
        standins.Worker(worker_id=f'w{index}', **options)
        for index in range(n_workers)
    ]
    host = standins.WorkerHost(workers)
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(host.serve)
        async with httpx.AsyncClient(trust_env=False, timeout=5.0) as client:
            yield HostClient(client, ports, workers)
        nursery.cancel_scope.cancel()


class HostClient:
    def __init__(self, client, ports, workers):
        self.client = client
        self.control = f'http://127.0.0.1:{ports["control"]}'
        self.urls = {
            name: f'http://127.0.0.1:{port}'
            for name, port in ports['workers'].items()
        }
        self.workers = workers

    async def run(self, *payloads, worker='w0'):
        tasks = [
            {
                'key': f'c/s/{index}',
                'kind': 'k',
                'payload': payload,
                'lease_ms': 1000,
            }
            for index, payload in enumerate(payloads)
        ]
        answer = await self.client.post(
            f'{self.urls[worker]}/v1/tasks',
            json={'instance': 'e1', 'tasks': tasks},
        )
        return answer

    async def fault(self, kind, worker='w0', **options):
        answer = await self.client.post(
            f'{self.control}/v1/standin/faults',
            json={'kind': kind, 'worker': worker, **options},
        )
        answer.raise_for_status()

    def events(self, worker=0):
        entries = self.workers[worker].ledger.entries
        return [(item.event, item.key) for item in entries]


async def test_rejected_lines_come_before_results():
    async with running_host(slots=1) as host:
        answer = await host.run({'work_ms': 20}, {}, {})
        lines = [json.loads(line) for line in answer.text.splitlines()]
        outcomes = [(line['key'], line['outcome']) for line in lines]
        assert outcomes == [
            ('c/s/1', 'rejected'),
            ('c/s/2', 'rejected'),
            ('c/s/0', 'ok'),
        ]


async def test_die_closes_and_refuses_connections_until_it_ends():
    # Guards the fault "worker dies" of section 7: no outcome is recorded.
    async with running_host(n_workers=2) as host:
        async with trio.open_nursery() as nursery:

            async def expect_disconnect():
                with pytest.raises(httpx.RemoteProtocolError):
                    await host.run({'work_ms': 60_000})

            nursery.start_soon(expect_disconnect)
            await wait_until(host.events)
            await host.fault('die', duration_s=60)
        with pytest.raises(httpx.ConnectError):
            await host.run({})
        assert (await host.run({}, worker='w1')).status_code == 200
        await host.fault('die', duration_s=0)
        with trio.fail_after(5):
            while not host.events()[1:]:
                with contextlib.suppress(httpx.ConnectError):
                    await host.run({})
        assert host.events() == [
            ('start', 'c/s/0'),
            ('start', 'c/s/0'),
            ('ok', 'c/s/0'),
        ]


async def test_a_stalled_worker_starts_received_tasks_after_the_stall():
    # Tests of R1 rely on it: a paused process may start tasks after the
    # instance has abandoned the request.
    async with running_host() as host:
        await host.fault('stall', duration_s=60)
        with trio.move_on_after(0.3):
            await host.run({})
        assert host.events() == []
        await host.fault('stall', duration_s=0)
        await wait_until(lambda: len(host.events()) == 2)
        assert host.events() == [('start', 'c/s/0'), ('ok', 'c/s/0')]


@pytest.mark.parametrize('kind', ['garbage', 'cut'])
async def test_a_corrupt_response_does_not_affect_the_ledger(kind):
    async with running_host() as host:
        await host.fault(kind, duration_s=60)
        if kind == 'cut':
            with pytest.raises(httpx.RemoteProtocolError):
                await host.run({}, {'work_ms': 20})
        else:
            answer = await host.run({}, {'work_ms': 20})
            with pytest.raises(ValueError):
                json.loads(answer.content.splitlines()[0])
        await wait_until(lambda: len(host.events()) == 4)
        events = [event for event, _ in host.events()]
        assert events == ['start', 'start', 'ok', 'ok']


async def test_tasks_keep_running_after_the_caller_disconnects():
    # Guards section 4: a broken connection does not tell whether its tasks
    # ran.
    async with running_host() as host:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(host.run, {'work_ms': 100})
            await wait_until(host.events)
            nursery.cancel_scope.cancel()
        await wait_until(lambda: host.events()[1:] == [('ok', 'c/s/0')])


async def test_a_cancel_stops_only_running_tasks():
    async with running_host() as host:
        answers = []

        async def run():
            answers.append(await host.run({'work_ms': 60_000}, {}))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await wait_until(lambda: ('ok', 'c/s/1') in host.events())
            answer = await host.client.post(
                f'{host.urls["w0"]}/v1/cancel',
                json={'keys': ['c/s/0', 'c/s/1', 'c/s/2']},
            )
            assert answer.json() == {'stopped': ['c/s/0']}
        line = json.loads(answers[0].text.splitlines()[-1])
        assert (line['key'], line['outcome']) == ('c/s/0', 'stopped')
        assert line['free_slots'] == 8


async def test_connections_beyond_the_limit_start_nothing():
    # Guards F1: the worker enforces its limit on connections, 64 by default.
    async with running_host(connections=1) as host:
        first = await host.run({})
        async with httpx.AsyncClient(trust_env=False) as other:
            answer = await other.post(
                f'{host.urls["w0"]}/v1/tasks',
                content=first.request.content,
            )
        assert json.loads(answer.text)['outcome'] == 'rejected'
        assert answer.headers['connection'] == 'close'
        assert len(host.events()) == 2


async def test_malformed_requests_start_nothing():
    # Guards R16 for the worker protocol.
    async with running_host() as host:
        for bad in (b'', b'{}', b'{"instance": "e1", "tasks": [{}]}'):
            answer = await host.client.post(
                f'{host.urls["w0"]}/v1/tasks', content=bad
            )
            assert answer.status_code == 400
        status = await host.client.get(f'{host.urls["w0"]}/v1/status')
        assert status.json()['free_slots'] == 8
        ledger = await host.client.get(f'{host.control}/v1/standin/ledger')
        assert ledger.json() == []
