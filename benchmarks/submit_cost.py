"""CPU time of a job submission in the HTTP server.

A server process, whose engine answers at once, reports its CPU time while
this process sends requests over loopback.

Run with ``python -m benchmarks.submit_cost``.
"""

import argparse
import multiprocessing
import multiprocessing.connection
import os
import random
import socket
import statistics
import sys
import threading
import time
import timeit
import typing

import eliot
import msgspec
import quart
import trio

from orioleloom.engine import _effects as effects
from orioleloom.engine import _events as events
from orioleloom import entry
from orioleloom.entry import _app
from orioleloom.entry import _jobs
from orioleloom.entry import _log
from orioleloom import model
from orioleloom import timers
from orioleloom import validation

# Other load on the machine increases CPU times, so the minimum and the
# median of several rounds are reported.
N_ROUNDS = 8
PATH = '/v1/customers/acme/jobs'


class InstantEngine:
    """Engine stub that answers each submission at once."""

    def handle(self, event, now_s):
        if not isinstance(event, events.Submit):
            return []
        answer = model.complete_answer(
            event.job_id.submission_id, ['x' * 100] * len(event.request.tasks)
        )
        return [effects.Respond(event.request_id, answer)]

    def contracts(self):
        return []

    def is_ready(self):
        return True

    def is_drained(self):
        return True

    def needs_tick(self):
        return False


class _NoPlatform:
    async def close(self):
        pass

    async def scan(self, prefix, after_revision, *, limit):
        return [], 0

    async def read_members(self, after_revision, data_centre):
        return [], 0


def job_body(n_tasks: int) -> bytes:
    """Return an encoded job with tasks of about 200 bytes."""
    task = {
        'kind': 'resize',
        'payload': {'work_ms': 50, 'data': 'x' * 90},
        'upstream': 'pool',
        'run_time_ms': 50.0,
        'idempotent': True,
    }
    return msgspec.json.encode({'tasks': [task] * n_tasks})


async def _call_bare(self, scope, receive, send):
    """Read the request body and send a fixed response."""
    if scope['type'] != 'http':
        await self.application(scope, receive, send)
        return
    while (await receive()).get('more_body'):
        pass
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', b'2')],
        }
    )
    await send({'type': 'http.response.body', 'body': b'{}'})


def _quart_route(runner: entry.EngineRunner) -> typing.Any:
    """Build the job route as a Quart view for comparison."""
    app = _app.build_app(runner)
    app.config['MAX_CONTENT_LENGTH'] = validation.MAX_BODY_BYTES

    @app.post('/v1/customers/<customer>/jobs')
    async def submit(customer: str) -> quart.Response:
        headers = quart.request.headers
        job_id = model.JobId(
            validation.check_customer(customer),
            validation.check_submission_id(headers['Idempotency-Key']),
        )
        body = await quart.request.get_data()
        request = validation.check_job(body)
        action = eliot.start_action(
            action_type='job',
            submission_id=job_id.submission_id,
            customer=customer,
            n_tasks=len(request.tasks),
        )
        answer = await runner.handle_request(
            lambda request_id: events.Submit(
                request_id, job_id, request, False, True, body
            )
        )
        action.add_success_fields(http_status=answer.http_status)
        action.finish()
        return _app._response(runner, answer)

    return app


def _serve(variant: str, pipe: multiprocessing.connection.Connection) -> None:
    sys.stderr = open(os.devnull, 'w')
    settings = entry.Settings(
        'e1',
        'brandon',
        'http://127.0.0.1:1',
        http_bind_port=0,
        peer_bind='tcp://127.0.0.1:0',
        readiness_grace_s=0.0,
    )

    def answer_clock() -> None:
        while True:
            pipe.recv()
            pipe.send(time.process_time())

    async def main() -> None:
        threading.Thread(target=answer_clock, daemon=True).start()
        if variant == 'bare':
            _jobs.JobRoutes.__call__ = _call_bare
        elif variant == 'quart':
            _jobs.JobRoutes.__call__ = _call_quart
        async with trio.open_nursery() as nursery:
            url, _ = await nursery.start(
                lambda task_status: entry.serve(
                    settings,
                    build=lambda *_: entry.Components(
                        InstantEngine(), _NoPlatform(), _NoPlatform()
                    ),
                    task_status=task_status,
                )
            )
            pipe.send(int(url.rpartition(':')[2]))

    trio.run(main)


async def _call_quart(self, scope, receive, send):
    if not isinstance(self.application, _QuartApplication):
        self.application = _QuartApplication(_quart_route(self.runner))
    await self.application.app(scope, receive, _jobs._shield_send(send))


class _QuartApplication(typing.NamedTuple):
    app: typing.Any


def _receive_response(connection: socket.socket) -> None:
    received = b''
    while b'\r\n\r\n' not in received:
        received += connection.recv(65_536)
    head, _, rest = received.partition(b'\r\n\r\n')
    if not head.startswith(b'HTTP/1.1 200'):
        raise RuntimeError(received[:300].decode())
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    while len(rest) < length:
        rest += connection.recv(65_536)


def measure(
    variant: str, n_tasks: int, n_requests: int
) -> tuple[float, float]:
    """Return minimum and median CPU time per request in seconds."""
    context = multiprocessing.get_context('fork')
    pipe, other = context.Pipe()
    process = context.Process(target=_serve, args=(variant, other))
    process.start()
    try:
        port = pipe.recv()
        body = job_body(n_tasks)
        request = (
            f'POST {PATH} HTTP/1.1\r\nhost: 127.0.0.1\r\n'
            'idempotency-key: 0123456789abcdef\r\n'
            'content-type: application/json\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        ).encode() + body
        connections = [
            socket.create_connection(('127.0.0.1', port)) for _ in range(8)
        ]

        def send(count: int) -> None:
            for _ in range(count // len(connections)):
                for connection in connections:
                    connection.sendall(request)
                for connection in connections:
                    _receive_response(connection)

        send(200)
        rounds = []
        for _ in range(N_ROUNDS):
            pipe.send(None)
            start_s = pipe.recv()
            send(n_requests)
            pipe.send(None)
            rounds.append((pipe.recv() - start_s) / n_requests)
        return min(rounds), statistics.median(rounds)
    finally:
        process.terminate()
        process.join(10)


def measure_steps(n_tasks: int) -> dict[str, float]:
    """Return the time of each step of a submission in seconds."""
    body = job_body(n_tasks)
    answer = model.complete_answer('s', ['x' * 100] * n_tasks)
    sink = open(os.devnull, 'w')

    def write(message: dict[str, typing.Any]) -> None:
        sink.write(msgspec.json.encode(message).decode() + '\n')

    def log() -> None:
        action = eliot.start_action(
            action_type='job', submission_id='s', customer='c', n_tasks=1
        )
        action.add_success_fields(http_status=200)
        action.finish()

    eliot.add_destinations(write)
    number = 2_000 if n_tasks <= 10 else 300
    result = {
        name: min(timeit.repeat(function, number=number, repeat=5)) / number
        for name, function in (
            ('check_job', lambda: validation.check_job(body)),
            ('decode only', lambda: msgspec.json.decode(body)),
            ('log action', log),
            ('encode answer', lambda: msgspec.json.encode(answer.body)),
        )
    }
    eliot.remove_destination(write)
    return result


def measure_without_server(n_tasks: int) -> dict[str, float]:
    """Return the CPU time per request without hypercorn, in seconds.

    The ASGI applications are called directly with a request in memory.
    """
    body = job_body(n_tasks)
    scope = {
        'type': 'http',
        'http_version': '1.1',
        'method': 'POST',
        'scheme': 'http',
        'path': PATH,
        'raw_path': PATH.encode(),
        'query_string': b'',
        'root_path': '',
        'headers': [
            (b'host', b'127.0.0.1'),
            (b'idempotency-key', b'0123456789abcdef'),
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
        ],
        'client': ('127.0.0.1', 1),
        'server': ('127.0.0.1', 2),
        'extensions': {},
    }

    async def send(message: dict[str, typing.Any]) -> None:
        pass

    async def call(app: typing.Any) -> None:
        messages = [
            {'type': 'http.request', 'body': b'', 'more_body': False},
            {'type': 'http.request', 'body': body, 'more_body': True},
        ]

        async def receive() -> dict[str, typing.Any]:
            if not messages:
                await trio.sleep_forever()
            return messages.pop()

        await app(scope, receive, send)

    async def measure_all() -> dict[str, float]:
        settings = entry.Settings('e1', 'brandon', 'http://127.0.0.1:1')
        runner = entry.EngineRunner(
            engine=InstantEngine(),
            identity='e1/abc',
            settings=settings,
            platform=_NoPlatform(),
            workers=None,
            peer_socket=None,
            timer_service=timers.TimerService(random_state=random.Random(1)),
        )
        quart_app = _quart_route(runner)
        result = {}
        for name, app in (
            ('quart alone', quart_app),
            (
                'asgi alone',
                _jobs.JobRoutes(runner=runner, application=quart_app),
            ),
        ):
            rounds = []
            for _ in range(N_ROUNDS):
                start_s = time.process_time()
                for _ in range(200):
                    await call(app)
                rounds.append((time.process_time() - start_s) / 200)
            result[name] = min(rounds)
        return result

    with open(os.devnull, 'w') as sink:
        stderr, sys.stderr = sys.stderr, sink
        _log.start_logging()
        try:
            return trio.run(measure_all)
        finally:
            _log.stop_logging()
            sys.stderr = stderr


def main() -> None:
    """Print CPU times in microseconds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=400)
    parser.add_argument(
        '--variants', nargs='*', default=['bare', 'quart', 'asgi']
    )
    options = parser.parse_args()
    for n_tasks in (1, 100):
        parts = {**measure_steps(n_tasks), **measure_without_server(n_tasks)}
        for name, seconds in parts.items():
            print(f'{n_tasks:4} tasks  step {name:14} {seconds * 1e6:8.1f} us')
        for variant in options.variants:
            least_s, median_s = measure(variant, n_tasks, options.requests)
            print(
                f'{n_tasks:4} tasks  {variant:19} {least_s * 1e6:8.1f} us '
                f'(median {median_s * 1e6:.1f})'
            )


if __name__ == '__main__':
    main()
