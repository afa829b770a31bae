"""Memory and descriptors of processes, sampled by a process of its own.

The kernel lists the sockets of all processes together. With thousands of them
a sample takes longer than the interval between two, and in the process of the
test it would keep the stand-ins from answering.
"""

import contextlib
import os
import socket
import struct
import subprocess
import sys
import time
import typing

import msgspec
import trio

_INTERVAL_S = 0.05


class Target(typing.NamedTuple):
    """A process to sample.

    :param ip: address that the process listens on
    """

    pid: int
    ip: str


class Peaks(typing.NamedTuple):
    """Highest values of a process.

    :param memory_bytes: resident memory, with the received bytes that the
        process has not read from its sockets
    """

    memory_bytes: int
    n_fds: int


class Sampler:
    """The process that samples others."""

    def __init__(self, process: trio.Process):
        self._process = process

    @classmethod
    async def start(cls, targets: typing.Sequence[Target]) -> 'Sampler':
        process = await trio.lowlevel.open_process(
            [sys.executable, __file__, msgspec.json.encode(targets).decode()],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        # The first samples have been taken.
        await process.stdout.receive_some(1)
        return cls(process)

    async def stop(self) -> list[Peaks]:
        """Take a last sample and return the peaks of all targets."""
        await self._process.stdin.aclose()
        text = b''
        async for data in self._process.stdout:
            text += data
        await self._process.wait()
        return msgspec.json.decode(text, type=list[Peaks])

    def kill(self) -> None:
        self._process.kill()


def _status_bytes(pid: int, name: str) -> int:
    with open(f'/proc/{pid}/status') as file:
        for line in file:
            if line.startswith(name + ':'):
                return int(line.split()[1]) * 1024
    return 0


def _unread_bytes(ip: str, lines: list[str]) -> int:
    local_address = '%08X' % struct.unpack('<I', socket.inet_aton(ip))
    rows = [line.split() for line in lines if local_address in line]
    return sum(
        int(row[4].partition(':')[2], 16)
        for row in rows
        # Of a listening socket this is the number of connections.
        if row[1].startswith(local_address) and row[3] != '0A'
    )


def _sample(target: Target, peaks: Peaks, lines: list[str]) -> Peaks:
    """Return the peaks with the present values; those of the dead stay."""
    with contextlib.suppress(OSError):
        return Peaks(
            max(
                peaks.memory_bytes,
                _status_bytes(target.pid, 'VmHWM'),
                _status_bytes(target.pid, 'VmRSS')
                + _unread_bytes(target.ip, lines),
            ),
            max(peaks.n_fds, len(os.listdir(f'/proc/{target.pid}/fd'))),
        )
    return peaks


def _sample_all(targets: list[Target], peaks: list[Peaks]) -> list[Peaks]:
    with open('/proc/net/tcp') as file:
        lines = list(file)
    return [_sample(t, before, lines) for t, before in zip(targets, peaks)]


def main() -> None:
    """Sample until the standard input ends, then write the peaks."""
    targets = msgspec.json.decode(sys.argv[1], type=list[Target])
    peaks = _sample_all(targets, [Peaks(0, 0)] * len(targets))
    sys.stdout.write('\n')
    sys.stdout.flush()
    os.set_blocking(sys.stdin.fileno(), False)
    while sys.stdin.buffer.raw.read(1) != b'':
        time.sleep(_INTERVAL_S)
        peaks = _sample_all(targets, peaks)
    sys.stdout.write(msgspec.json.encode(peaks).decode())


if __name__ == '__main__':
    main()
