"""Clients outside the operator's control, and what they cost a process.

The clients have a process of their own. Within the process of the test they
kept its workers from answering, and the instance refused the ordinary request
for that reason.
"""

import base64
import contextlib
import pathlib
import random
import signal
import subprocess
import sys
import typing

import msgspec
import trio

from orioleloom import http1
from orioleloom_standins import soak
from orioleloom_standins import wire
from tests.processes import sampling

MAX_BODY_BYTES = 262_144
MAX_HEADER_BYTES = 16_384
# Settings of the instance. Its bounds follow from them.
MEMORY_MB = 80
MAX_FDS = 2_500

# One client in this many sends its request completely.
_COMPLETE_EVERY = 10
_POLL_INTERVAL_S = 0.05
# A crowd is quiet once it has sent nothing for this long. On a busy machine
# 0.5 s can pass before its first bytes.
_QUIET_S = 2.0
# Line that the process of a crowd writes once the crowd is quiet.
QUIET = 'quiet'
# Generous time-outs, so that a hang fails a test instead of stopping it.
CROWD_TIMEOUT_S = 20.0
_ANSWER_TIMEOUT_S = 5.0
# Time between SIGTERM and SIGKILL in the settings.
_GRACE_S = 6.0


# The dispatcher refuses a job that cannot begin by its objective, which
# follows from the declared run time: 92 ms after its arrival for 20 ms. No
# time is checked here, so the declared run time is long.
_ORDINARY_JOB = wire.submission(1, 0.02).replace(
    b'"estimateMs":20.0', b'"estimateMs":3000.0'
)


# Stands for the id of a client's job in what it sends.
JOB_ID = b'%016x' % 2


class Crowd(typing.NamedTuple):
    """Clients that behave alike.

    :param pieces: what a client sends, in pieces; ``JOB_ID`` is replaced by
        an id of its own
    :param complete_every: one client in this many sends its request
        completely; the others keep back the last byte of the last piece
    :param first_job_id: number of the first client's job; those of the others
        follow
    """

    n_clients: int
    pieces: typing.Sequence[bytes]
    complete_every: int = _COMPLETE_EVERY
    first_job_id: int = 1_000


class Seen(typing.NamedTuple):
    """What a process cost under a crowd.

    :param peak_memory_bytes: resident memory, with the received bytes that
        it has not read from its sockets
    :param status: status of an ordinary request afterwards; 0 if it got no
        answer
    :param exit_code: of a planned stop afterwards; ``None`` if the process
        had to be killed
    """

    is_alive: bool
    peak_memory_bytes: int
    peak_fds: int
    status: int
    exit_code: int | None


def write_settings(
    site: wire.Site,
    instance: soak.Instance,
    n_instances: int,
    memory_mb: int = MEMORY_MB,
) -> None:
    """Write the settings of an instance, with the limits of the tests."""
    settings = site.settings(instance.number, n_instances)
    settings['limits'] |= {'memoryMb': memory_mb, 'maxFds': MAX_FDS}
    instance.path.write_bytes(msgspec.json.encode(settings))


def configure(site: wire.Site) -> None:
    """Write the limits that the platform has by default."""
    value, *_ = site.store.rows['op']['config']
    config = msgspec.json.decode(base64.b64decode(value))
    config['version'] += 1
    config['limits'] = {
        'maxHeaderBytes': MAX_HEADER_BYTES,
        'maxBodyBytes': MAX_BODY_BYTES,
        'headerTimeoutMs': 3_000,
        'idleTimeoutMs': 15_000,
    }
    site.store.put('op', 'config', config)


async def wait_ready(site: wire.Site, number: int) -> None:
    """Wait until an instance is ready for callers."""
    client = http1.Client()
    with trio.fail_after(soak.READY_TIMEOUT_S):
        while True:
            with contextlib.suppress(http1.NotSentError, http1.NoAnswerError):
                response = await client.request(
                    f'{site.ip(number)}:8167', 'GET', '/readyz'
                )
                if response.status == 200:
                    break
            await trio.sleep(0.05)
    client.close()


async def run_clients(
    address: str,
    crowd: Crowd,
    *,
    task_status: trio.TaskStatus[trio.Process] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run the process of a crowd until cancelled.

    :param address: of the instance that the crowd calls
    """
    await trio.run_process(
        [sys.executable, '-m', __name__],
        stdin=msgspec.msgpack.encode((address, *crowd)),
        stdout=subprocess.PIPE,
        cwd=pathlib.Path(__file__).parents[2],
        task_status=task_status,
    )


async def request_ordinary(address: str, number: int = 1) -> int:
    """Return the status of an ordinary request; 0 if it gets no answer.

    :param number: number of the job
    """
    with trio.move_on_after(_ANSWER_TIMEOUT_S):
        with contextlib.suppress(http1.NotSentError, http1.NoAnswerError):
            response = await http1.Client().request(
                address,
                'POST',
                f'/check/{number:016x}',
                _ORDINARY_JOB,
                host=wire.HOST,
            )
            return response.status
    return 0


class _Run:
    def __init__(self, site: wire.Site, crowd: Crowd, folder: str):
        self.site = site
        self.crowd = crowd
        self.instance = soak.Instance(site, 1, 1, folder)
        self.sampler: sampling.Sampler | None = None

    async def run(self, nursery: trio.Nursery) -> Seen:
        configure(self.site)
        write_settings(self.site, self.instance, 1)
        self.instance.start()
        await wait_ready(self.site, 1)
        self.sampler = await sampling.Sampler.start(
            [sampling.Target(self.instance.process.pid, self.site.ip(1))]
        )
        clients = await nursery.start(
            run_clients, self.instance.address, self.crowd
        )
        with trio.move_on_after(CROWD_TIMEOUT_S):
            # They say so once they are quiet.
            while QUIET.encode() not in await clients.stdout.receive_some():
                pass
        status = await request_ordinary(self.instance.address)
        is_alive = self.instance.process.poll() is None
        self.instance.signal(signal.SIGTERM)
        exit_code = await self.instance.wait(_GRACE_S)
        (peaks,) = await self.sampler.stop()
        return Seen(
            is_alive, peaks.memory_bytes, peaks.n_fds, status, exit_code
        )


async def send(crowd: Crowd, folder: str, network: int = 11) -> Seen:
    """Let a crowd call one instance, and an ordinary caller after it.

    The crowd keeps its connections open until the process has stopped.

    :param folder: directory for the instance's settings and log
    :param network: second octet of the instance's loopback address
    """
    async with trio.open_nursery() as nursery:
        site = wire.Site(nursery, random.Random(1), network)
        await site.start(2)
        run = _Run(site, crowd, folder)
        try:
            seen = await run.run(nursery)
        finally:
            run.instance.signal(signal.SIGKILL)
            if run.sampler is not None:
                run.sampler.kill()
            with trio.CancelScope(shield=True):
                await run.instance.wait(5.0)
        nursery.cancel_scope.cancel()
    return seen


class _Clients:
    """The crowd, in its own process."""

    def __init__(self, address: str, *crowd: typing.Any):
        self.address = address
        self.crowd = Crowd(*crowd)
        self.sent_s = 0.0
        self.n_sending = self.crowd.n_clients

    async def _send(self, number: int) -> None:
        """Send a request and keep the connection open."""
        crowd = self.crowd
        is_complete = number % crowd.complete_every == 0
        job_id = b'%016x' % (crowd.first_job_id + number)
        host, port = self.address.split(':')
        stream = None
        try:
            stream = await trio.open_tcp_stream(host, int(port))
            *pieces, last = crowd.pieces
            for piece in (*pieces, last if is_complete else last[:-1]):
                await stream.send_all(piece.replace(JOB_ID, job_id))
                self.sent_s = trio.current_time()
        except (OSError, trio.BrokenResourceError):
            # The server has closed the connection.
            pass
        finally:
            self.n_sending -= 1
        if stream is not None and is_complete:
            await self._report_refusal(stream, job_id)
        await trio.sleep_forever()

    @staticmethod
    async def _report_refusal(
        stream: trio.SocketStream, job_id: bytes
    ) -> None:
        """Write the id of a job that is refused as not run."""
        try:
            response = await stream.receive_some(4_096)
        except (OSError, trio.BrokenResourceError):
            return
        if response.startswith(b'HTTP/1.1 503'):
            print(job_id.decode(), flush=True)

    async def run(self) -> None:
        """Send all requests; write a line once that is over."""
        self.sent_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(self.crowd.n_clients):
                nursery.start_soon(self._send, number)
            while self.n_sending:
                await trio.sleep(_POLL_INTERVAL_S)
                # Clients whose bytes the server does not take are done, too.
                if trio.current_time() > self.sent_s + _QUIET_S:
                    break
            print(QUIET, flush=True)


if __name__ == '__main__':
    trio.run(_Clients(*msgspec.msgpack.decode(sys.stdin.buffer.read())).run)
