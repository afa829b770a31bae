"""Invalid HTTP requests and peer messages to running instances (R16)."""

import json
import random
import socket

import pytest
import trio
import zmq

from orioleloom import codec
from orioleloom_standins import fleet as fleets
from tests.processes import support

pytestmark = pytest.mark.processes

BODY_TIMEOUT_S = 0.5
JOBS = f'/v1/customers/{support.CUSTOMER}/jobs'
CONTRACT = f'/v1/contracts/{support.CUSTOMER}'
TASK = {'kind': 'step', 'payload': {}, 'upstream': support.UPSTREAM}


@pytest.fixture(scope='module')
def fleet():
    """A fleet with a short timeout for reading request bodies."""
    with support.running(
        entry_flags=(
            *support.QUICK_FLAGS,
            f'--body-timeout-s={BODY_TIMEOUT_S}',
        )
    ) as started:
        yield started


async def assert_healthy(fleet):
    """Check that each instance is ready, runs tasks and logged no bug."""
    for entry_id in fleet.entry_urls:
        await fleet.wait_serving(entry_id, timeout_s=1.0)
        async with support.make_client(fleet, [entry_id]) as connection:
            outcome = await fleet.submit(
                connection, [fleets.make_task(support.UPSTREAM, 10)]
            )
        assert outcome.complete
        log = fleet.processes[entry_id].log()
        assert 'internal_error' not in log
        assert 'Traceback' not in log, log
    assert await fleet.audit() == []


def job(**fields):
    return json.dumps({'tasks': [TASK], **fields}).encode()


def contract(**fields):
    return json.dumps(
        {**support.CONTRACT, 'expected_version': 1, **fields}
    ).encode()


@pytest.mark.parametrize(
    'method, path, body, status, code',
    [
        ('POST', JOBS, b'{"tasks": [', 400, 'bad_request'),
        ('POST', JOBS, b'\xff\xfe\x00', 400, 'bad_request'),
        ('POST', JOBS, b'[' * 100_000, 400, None),
        ('POST', JOBS, b'', 400, 'bad_request'),
        ('POST', JOBS, b'7', 400, 'bad_field'),
        ('POST', JOBS, job(surprise=1), 400, 'bad_field'),
        ('POST', JOBS, job(tasks=[]), 400, 'bad_field'),
        ('POST', JOBS, job(tasks=[{**TASK, 'kind': 7}]), 400, 'bad_field'),
        ('POST', JOBS, job(tasks=[{'kind': 'step'}]), 400, 'bad_field'),
        ('POST', JOBS, job(deadline_ms='soon'), 400, 'bad_field'),
        ('POST', JOBS, job(deadline_ms=-1), 400, 'bad_field'),
        ('POST', JOBS, job(tasks=[TASK] * 1301), 413, 'too_large'),
        (
            'POST',
            JOBS,
            job(tasks=[{**TASK, 'payload': 'x' * 300_000}]),
            413,
            'too_large',
        ),
        ('POST', JOBS, b' ' * (16 * 2**20 + 1), 413, 'too_large'),
        (
            'POST',
            JOBS,
            job(tasks=[{**TASK, 'upstream': 'other'}]),
            422,
            'not_runnable',
        ),
        (
            'POST',
            '/v1/customers/nobody/jobs',
            job(),
            404,
            'unknown_customer',
        ),
        ('POST', '/v1/customers/a%00b/jobs', job(), 400, 'bad_field'),
        # Matches no route, so it is not a submission of a customer.
        ('PATCH', '/v1/customers/a%2Fb/jobs', job(), 400, 'bad_request'),
        ('GET', JOBS + '/never-sent', b'', 404, 'unknown_job'),
        ('GET', JOBS + '/x?wait_s=soon', b'', 400, 'bad_field'),
        ('GET', '/v1/no-such-route', b'', 400, 'bad_request'),
        ('PUT', JOBS, job(), 400, 'bad_request'),
        ('PUT', CONTRACT, b'{"in_flight": ', 400, 'bad_request'),
        ('PUT', CONTRACT, contract(surprise=1), 400, 'bad_field'),
        ('PUT', CONTRACT, contract(in_flight='all'), 400, 'bad_field'),
        ('PUT', CONTRACT, contract(in_flight=-1), 400, 'bad_field'),
        ('PUT', CONTRACT, contract(weight=0), 400, 'bad_field'),
        ('PUT', CONTRACT, b' ' * 100_000, 413, 'too_large'),
        ('GET', '/v1/contracts/nobody', b'', 404, 'unknown_customer'),
    ],
)
async def test_a_bad_request_gets_a_clear_error(
    fleet, method, path, body, status, code
):
    # Guards R16: the response has an error code and message, no stack
    # trace, and "not_run" for a first attempt, since nothing was started.
    url = fleet.entry_urls[support.SPECS[0].id]
    answer = await fleet.request(
        method,
        url + path,
        content=body,
        headers={
            'Idempotency-Key': 'bad-input',
            'Orioleloom-Attempt': 'first',
        },
    )
    assert answer.status_code == status, answer.text
    error = answer.json()['error']
    assert error['code'] == code or code is None
    assert error['code'] != 'internal'
    assert 0 < len(error['message']) < 1_000
    assert 'Traceback' not in answer.text
    if method == 'POST':
        assert error['run'] == 'not_run'


async def test_instances_are_healthy_after_bad_requests(fleet):
    # Guards R16: the invalid requests above left no instance degraded.
    await assert_healthy(fleet)


@pytest.mark.parametrize(
    'headers',
    [
        {},
        {'Idempotency-Key': ''},
        {'Idempotency-Key': 'a/b'},
        {'Idempotency-Key': 'x' * 10_000},
        {'Idempotency-Key': 'x', 'Orioleloom-Attempt': 'second'},
        {'Idempotency-Key': 'x', 'Prefer': 'wait=soon'},
    ],
)
async def test_a_bad_header_is_refused(fleet, headers):
    # Guards R16: a missing or malformed header is rejected as bad_field.
    url = fleet.entry_urls[support.SPECS[0].id]
    answer = await fleet.request(
        'POST', url + JOBS, content=job(), headers=headers
    )
    assert answer.status_code == 400
    assert answer.json()['error']['code'] == 'bad_field'


def exchange_raw(url, data, *, close=False):
    """Send raw bytes and read a JSON response or until the server closes."""
    host, _, port = url.removeprefix('http://').partition(':')
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(data)
        if close:
            return b''
        received = b''
        while chunk := sock.recv(65536):
            received += chunk
            head, separator, body = received.partition(b'\r\n\r\n')
            if separator and body.endswith(b'}'):
                break
        return received


def raw_job(length, body=b''):
    return (
        f'POST {JOBS} HTTP/1.1\r\nHost: x\r\nIdempotency-Key: raw\r\n'
        f'Content-Length: {length}\r\n\r\n'
    ).encode() + body


@pytest.mark.parametrize(
    'data, status, code',
    [
        (raw_job('many'), 400, None),
        (raw_job(-5), 400, None),
        (raw_job('1\r\nContent-Length: 2', b'{}'), 400, None),
        (raw_job(10**12), 413, 'too_large'),
        (raw_job(100, b'{"tasks"'), 400, 'bad_request'),
        (b'\x00\x01\x02\r\n\r\n', 400, None),
        (b'GET / HTTP/9.9\r\n\r\n', 400, None),
        (b'GET /' + b'x' * 200_000 + b' HTTP/1.1\r\n\r\n', None, None),
    ],
)
async def test_a_malformed_http_request_is_refused(fleet, data, status, code):
    # Guards R16: bad framing, a wrong content length and an incomplete
    # body are answered with an error within the body timeout.
    url = fleet.entry_urls[support.SPECS[0].id]
    with trio.fail_after(BODY_TIMEOUT_S + 3):
        received = await trio.to_thread.run_sync(exchange_raw, url, data)
    if status is not None:
        assert received.split(b' ', 2)[1] == str(status).encode(), received
    if code is not None:
        body = json.loads(received.partition(b'\r\n\r\n')[2])
        assert body['error']['code'] == code
    assert b'Traceback' not in received
    await fleet.wait_serving(support.SPECS[0].id, timeout_s=1.0)


async def test_callers_that_close_in_the_middle_do_no_harm(fleet):
    # Guards R16: a connection closed in the middle of a request leaves no
    # job and no open request on the instance.
    for entry_id, url in fleet.entry_urls.items():
        for data in (b'POST', raw_job(50), raw_job(50, b'{"tasks": ')):
            await trio.to_thread.run_sync(
                lambda: exchange_raw(url, data, close=True)
            )
        with trio.fail_after(BODY_TIMEOUT_S + 3):
            while (await fleet.state(entry_id))['open_requests']:
                await trio.sleep(0.05)
    await assert_healthy(fleet)


def peer_frames():
    """Return truncated, corrupted, random and unexpected peer frames."""
    good = codec.encode_peer(
        7, 'stranger/1', codec.JobQuery('c', 's', subscribe=True)
    )
    random_state = random.Random(3)
    frames = [good[:n] for n in range(len(good))]
    frames += [random_state.randbytes(n) for n in (1, 10, 1_000, 100_000)]
    for _ in range(300):
        altered = bytearray(good)
        altered[random_state.randrange(len(good))] = random_state.randrange(
            256
        )
        frames.append(bytes(altered))
    frames.append(
        codec.encode_peer(8, 'stranger/1', codec.LeavingNotice('nobody'))
    )
    frames.append(
        codec.encode_peer(
            9, '', codec.ContractPush([('c', 5, {'in_flight': 'x'})])
        )
    )
    frames.append(
        codec.encode_peer(
            10, 'stranger/1', codec.ContractPull({}, 'http://not-a-peer')
        )
    )
    return frames


async def test_malformed_peer_frames_are_dropped(fleet):
    # Guards R16: peer frames that cannot be decoded are counted, dropped.
    context = zmq.Context()
    frames = peer_frames()
    try:
        for address in fleet.peer_addresses.values():
            dealer = context.socket(zmq.DEALER)
            dealer.linger = 2_000
            dealer.connect(address)
            for frame in frames:
                dealer.send(frame)
            dealer.send_multipart([b'one', b'two', b'three'])
            dealer.close()
            # Bytes that do not follow the ZeroMQ wire protocol.
            host, _, port = address.removeprefix('tcp://').partition(':')
            with socket.create_connection((host, int(port))) as sock:
                sock.sendall(b'GET / HTTP/1.1\r\n\r\n' + bytes(1_000))
    finally:
        await trio.to_thread.run_sync(context.term)
    for entry_id in fleet.entry_urls:
        with trio.fail_after(5):
            while await n_malformed(fleet, entry_id) < 20:
                await trio.sleep(0.05)
    await assert_healthy(fleet)


async def n_malformed(fleet, entry_id):
    answer = await fleet.request(
        'GET', fleet.entry_urls[entry_id] + '/metrics'
    )
    for line in answer.text.splitlines():
        if line.startswith('orioleloom_peer_malformed_messages_total'):
            return float(line.rpartition(' ')[2])
    return 0
