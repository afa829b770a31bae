import contextlib
import json
import os
import signal

import httpx
import pytest
import trio

from orioleloom.engine import _effects as effects
from orioleloom.engine import _events as events
from orioleloom import entry
from orioleloom import model
from orioleloom import validation
from tests.entry import fakes

JOB_BODY = b'{"tasks": [{"kind": "k", "payload": 1, "upstream": "pool"}]}'
JOBS_PATH = '/v1/customers/acme/jobs'
CONTRACT = {
    'in_flight': 8,
    'starts_per_s': 10,
    'burst': 5,
    'upstreams': ['pool'],
    'expected_version': 1,
}


class Instance:
    """An entry instance with fake components, and an HTTP client for it."""

    def __init__(self, url, runner, client, closed):
        self.port = int(url.rpartition(':')[2])
        self.runner = runner
        self.engine = runner.engine
        self.platform = runner.platform
        self.client = client
        self.closed = closed

    async def submit(self, body=JOB_BODY, **headers):
        return await self.client.post(
            JOBS_PATH,
            content=body,
            headers={
                'Idempotency-Key': 's1',
                **{k.replace('_', '-'): v for k, v in headers.items()},
            },
        )

    async def send_raw(self, *parts, pause_s=0.0):
        """Send bytes and return all bytes received until the end."""
        stream = await trio.open_tcp_stream('127.0.0.1', self.port)
        async with stream:
            for part in parts:
                await stream.send_all(part)
                await trio.sleep(pause_s)
            received = b''
            async for chunk in stream:
                received += chunk
            return received


@contextlib.asynccontextmanager
async def running(*, instant=True, **changes):
    parts = entry.Components(
        fakes.FakeEngine(instant=instant),
        fakes.FakePlatform(),
        fakes.FakeWorkers(),
    )
    closed = trio.Event()

    async def serve(task_status):
        await entry.serve(
            fakes.make_settings(**changes),
            build=lambda *_: parts,
            task_status=task_status,
        )
        closed.set()

    async with trio.open_nursery() as nursery:
        url, runner = await nursery.start(serve)
        async with httpx.AsyncClient(base_url=url) as client:
            with trio.fail_after(8):
                yield Instance(url, runner, client, closed)
        runner.begin_stop()
        nursery.cancel_scope.deadline = trio.current_time() + 5


async def test_submit_is_answered_and_logged_once(capfd):
    # Guards the path of a submission, and against one log entry per task.
    async with running() as instance:
        body = json.dumps({'tasks': json.loads(JOB_BODY)['tasks'] * 50})
        response = await instance.submit(
            body.encode(), Orioleloom_Attempt='first'
        )
        submit = instance.engine.received_events(events.Submit)[0]
    assert response.status_code == 200
    assert response.json()['results'] == [None] * 50
    assert submit.first_attempt
    assert submit.wait
    assert submit.job_id == model.JobId('acme', 's1')
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines()]
    jobs = [line for line in lines if line.get('action_type') == 'job']
    assert [line['action_status'] for line in jobs] == ['started', 'succeeded']
    assert jobs[0]['submission_id'] == 's1'


@pytest.mark.parametrize(
    ('headers', 'body', 'status', 'code'),
    [
        ({}, b'{', 400, 'bad_request'),
        ({'Idempotency_Key': 'a b'}, JOB_BODY, 400, 'bad_field'),
        ({'Prefer': 'wait=soon'}, JOB_BODY, 400, 'bad_field'),
        ({'Orioleloom_Attempt': '1'}, JOB_BODY, 400, 'bad_field'),
        ({}, b' ' * (validation.MAX_BODY_BYTES + 1), 413, 'too_large'),
    ],
)
async def test_bad_submissions_are_refused(headers, body, status, code):
    # Guards R16 in the HTTP routes, and R4: a refusal says "not_run" only if
    # the request is marked as a first attempt.
    async with running() as instance:
        response = await instance.submit(body, **headers)
        assert response.status_code == status
        error = response.json()['error']
        assert error['code'] == code
        assert error['run'] == 'unknown'
        if 'Orioleloom_Attempt' not in headers:
            first_response = await instance.submit(
                body[:100], **headers, Orioleloom_Attempt='first'
            )
            assert first_response.json()['error']['run'] == 'not_run'


async def test_keep_alive_serves_many_requests_on_one_connection():
    # Guards against one connection per request, which would cost three more
    # packets and a trio task each.
    async with running() as instance:
        head = (
            f'POST {JOBS_PATH} HTTP/1.1\r\nhost: x\r\nidempotency-key: s1\r\n'
            f'content-length: {len(JOB_BODY)}\r\n'
        ).encode()
        received = await instance.send_raw(
            (head + b'\r\n' + JOB_BODY) * 3,
            head + b'connection: close\r\n\r\n' + JOB_BODY,
        )
    assert received.count(b'HTTP/1.1 200') == 4


@pytest.mark.parametrize(
    ('path', 'method'), [(JOBS_PATH, 'POST'), ('/v1/contracts/acme', 'PUT')]
)
async def test_half_sent_body_times_out(path, method):
    # Guards R16: a caller that stops sending in the middle of a body gets an
    # error and does not occupy a task forever.
    async with running() as instance:
        received = await instance.send_raw(
            f'{method} {path} HTTP/1.1\r\nhost: x\r\nidempotency-key: s1\r\n'
            'content-length: 100\r\n\r\n{"tas'.encode()
        )
    assert received.startswith(b'HTTP/1.1 400')
    assert b'body was not received within 0.2 s' in received
    assert b'"code":"bad_request"' in received


async def test_oversized_chunked_body_is_cut_off():
    # Guards against memory exhaustion by a body without a declared length.
    chunk = b'100000\r\n' + b' ' * 0x100000 + b'\r\n'
    async with running(body_timeout_s=5.0) as instance:
        head = (
            f'POST {JOBS_PATH} HTTP/1.1\r\nhost: x\r\nidempotency-key: s1\r\n'
        )
        received = await instance.send_raw(
            head.encode()
            + b'connection: close\r\ntransfer-encoding: chunked\r\n\r\n',
            *[chunk] * 17,
            b'0\r\n\r\n',
        )
        assert not instance.engine.received_events(events.Submit)
    assert received.startswith(b'HTTP/1.1 413')


async def test_incomplete_bodies_are_bounded_in_total():
    # Guards R12: many slow request bodies, each below the size limit, must
    # not exhaust the memory.
    async with running() as instance:
        runner = instance.runner
        runner.settings = runner.settings._replace(max_receiving_bytes=10)
        response = await instance.submit()
    assert response.status_code == 503
    assert response.json()['error']['code'] == 'overloaded'
    assert response.headers['retry-after'] == '1'


async def test_caller_that_stops_reading_is_disconnected():
    # Guards R7: hypercorn's writes cannot be cancelled, so a caller that
    # does not read its answer would block a planned stop indefinitely.
    async with running(instant=False, write_timeout_s=0.5) as instance:
        engine = instance.engine
        stream = await trio.open_tcp_stream('127.0.0.1', instance.port)
        await stream.send_all(
            f'GET {JOBS_PATH}/s1?wait_s=9 HTTP/1.1\r\n'.encode()
        )
        await stream.send_all(b'host: x\r\n\r\n')
        await fakes.wait_until(lambda: engine.received_events(events.Fetch))
        engine.effects[events.Tick] = [
            effects.Respond(1, model.Answer(200, {'results': 'x' * 2**24}))
        ]
        instance.runner.handle_event(events.Tick())
        with trio.fail_after(6):
            instance.runner.begin_stop()
            await instance.closed.wait()
        await stream.aclose()


async def test_prefer_wait_ends_with_progress():
    # Guards the 202 answer for a job that takes longer than the requested
    # wait; the job itself continues.
    async with running(instant=False) as instance:
        response = await instance.submit(Prefer='wait=0.05')
        assert response.status_code == 202
        assert instance.engine.received_events(events.WaitExpired)
        assert not instance.engine.received_events(events.RequestGone)


async def test_late_answer_and_disconnect():
    # Guards R3: each answer is delivered to its own request, and the engine
    # is informed of callers that disconnect.
    async with running(instant=False) as instance:
        engine = instance.engine
        async with trio.open_nursery() as nursery:
            nursery.start_soon(instance.submit)
            await fakes.wait_until(
                lambda: engine.received_events(events.Submit)
            )
            nursery.cancel_scope.cancel()
        await fakes.wait_until(
            lambda: engine.received_events(events.RequestGone)
        )

        responses = {}

        async def fetch(name):
            response = await instance.client.get(
                f'{JOBS_PATH}/{name}?wait_s=5'
            )
            responses[name] = response.json()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(fetch, 'a')
            nursery.start_soon(fetch, 'b')
            await fakes.wait_until(
                lambda: len(engine.received_events(events.Fetch)) == 2
            )
            engine.effects[events.Tick] = [
                effects.Respond(
                    event.request_id,
                    model.Answer(200, {'id': event.job_id.submission_id}),
                )
                for event in reversed(engine.received_events(events.Fetch))
            ]
            instance.runner.handle_event(events.Tick())
        assert responses == {'a': {'id': 'a'}, 'b': {'id': 'b'}}


async def test_engine_failure_shows_no_stack_trace(capfd):
    # Guards R16: the caller gets the error kind 'internal' and a reference,
    # under which the log contains the stack trace.
    async with running() as instance:
        instance.engine.handle = lambda event, now_s: 1 / 0
        response = await instance.submit()
        contracts = instance.engine.contracts
        instance.engine.contracts = lambda: 1 / 0
        listing = await instance.client.get('/v1/contracts')
        instance.engine.contracts = contracts
        del instance.engine.handle
    log = capfd.readouterr().err
    for failed in (response, listing):
        assert failed.status_code == 500
        assert 'Zero' not in failed.text
        error = failed.json()['error']
        assert error['code'] == 'internal'
        assert error['run'] == 'unknown'
        assert error['message'].split()[-1] in log
    assert 'ZeroDivisionError' in log


async def test_operator_routes():
    # Guards the structure of the answers that operators' scripts parse.
    async with running() as instance:
        get = instance.client.get
        instance.platform.rows = (
            model.Row('contract-history/acme/1', {'version': 1}, 3),
        )
        listing = (await get('/v1/contracts')).json()
        assert listing['contracts'][0]['customer'] == 'acme'
        assert (await get('/v1/contracts/acme')).json()['version'] == 1
        unknown = await get('/v1/contracts/nobody')
        assert unknown.json()['error']['code'] == 'unknown_customer'
        history = await get('/v1/contracts/acme/history')
        assert history.json()['history'] == [{'version': 1}]
        changed = await instance.client.put(
            '/v1/contracts/acme', json=CONTRACT
        )
        assert changed.json()['version'] == 2
        minted = await instance.client.post(
            '/v1/customers/acme/tickets?count=3'
        )
        assert len(minted.json()['tickets']) == 3
        cancel_request = instance.client.delete(f'{JOBS_PATH}/s1', timeout=0.1)
        with pytest.raises(httpx.ReadTimeout):
            await cancel_request
        assert instance.engine.received_events(events.Cancel)
        state = (await get('/v1/state')).json()
        assert state['engine'] == {'jobs': 0}
        metrics = (await get('/metrics')).text
        assert 'orioleloom_engine_jobs_total 0' in metrics
        assert 'orioleloom_ready 1' in metrics
        for path in ('/x', '/v1/customers/acme/x'):
            missing = await get(path)
            assert missing.status_code == 400
            assert missing.json()['error']['code'] == 'bad_request'
        large = await instance.client.put(
            '/v1/contracts/acme', content=b' ' * 100_000
        )
        assert large.json()['error']['code'] == 'too_large'


@pytest.mark.parametrize('trigger', ['signal', 'route'])
async def test_planned_stop_finishes_accepted_work(trigger):
    # Guards R7: the instance first reports that it is not ready, an open
    # request still gets its answer, and the process ends without waiting
    # for the stop time-out.
    async with running(instant=False, stop_timeout_s=20.0) as instance:
        engine = instance.engine
        assert (await instance.client.get('/readyz')).status_code == 200
        responses = []

        async def submit():
            responses.append(await instance.submit())

        engine.drained = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit)
            await fakes.wait_until(
                lambda: engine.received_events(events.Submit)
            )
            if trigger == 'signal':
                os.kill(os.getpid(), signal.SIGTERM)
            else:
                await instance.client.post('/v1/stop')
            await fakes.wait_until(
                lambda: engine.received_events(events.StopRequested)
            )
            ready = await instance.client.get('/readyz')
            assert ready.status_code == 503
            assert ready.headers['connection'] == 'close'
            assert (await instance.client.get('/healthz')).status_code == 200
            engine.effects[events.Tick] = [
                effects.Respond(
                    engine.received_events(events.Submit)[0].request_id,
                    model.Answer(200, {'state': 'complete'}),
                )
            ]
            await fakes.wait_until(lambda: responses)
            engine.drained = True
        assert responses[0].json() == {'state': 'complete'}


async def test_stop_is_bounded():
    # Guards R7: work that does not end must not delay the replacement of the
    # instance.
    with trio.fail_after(6):
        async with running(stop_timeout_s=0.1) as instance:
            instance.engine.drained = False


async def test_not_ready_before_members_and_contracts_were_read():
    # Guards against requests to an instance that does not know any worker yet.
    async with running() as instance:
        instance.engine.ready = False
        response = await instance.client.get('/readyz')
        assert response.status_code == 503
        assert response.json() == {'state': 'starting'}
