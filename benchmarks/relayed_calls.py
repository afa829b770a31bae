"""Processor time of a leader for a call to a worker, direct and relayed.

Both use the product's code and real sockets on loopback. The worker, and
the follower of the relayed calls, are processes of their own, so that only
the leader's time is counted.
"""

import argparse
import multiprocessing
import time
import typing

import msgspec
import trio

from orioleloom import dispatch
from orioleloom import http1
from orioleloom.node import _messages
from orioleloom.node import _relay
from orioleloom import peer_api
from orioleloom.platform import _workers

_ANSWER = msgspec.json.encode({'clockMs': 1000, 'accepted': True})
_HOST = '127.0.0.1'


def _worker(address: str) -> None:
    def answer(connection: http1.Connection, request: http1.Request) -> None:
        connection.respond(200, _ANSWER)

    trio.run(http1.Server(answer).serve, address)


def _follower(address: str, leader_address: str) -> None:
    me = _messages.Sender('e1', 'i', address, 'dc0')

    async def run() -> None:
        socket = peer_api.PeerSocket(address, 'e1/i')
        carrier = _relay.Carrier(
            _workers.WorkerCalls(http1.Client()),
            lambda _, message: socket.send(
                leader_address, _messages.encode(me, message)
            ),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(carrier.run)
            async for frame in socket.receive():
                _, message = _messages.decode(frame)
                carrier.receive(nursery, 'e0', message, is_followed=True)

    trio.run(run)


async def _measure(
    ports: list[int], n_calls: int, n_at_once: int, *, is_relayed: bool
) -> float:
    """Return the processor time of a call, in seconds."""
    addresses = [f'tcp://{_HOST}:{port}' for port in ports[1:]]
    info = dispatch.WorkerInfo(
        'w1', f'{_HOST}:{ports[0]}', 'dc0', 'pool', dispatch.Room(16_000)
    )
    order = dispatch.StartRun(
        info, dispatch.TaskKey('a' * 16, 0, 1), 3, 'payload' * 8, 7, 9_000
    )
    socket = peer_api.PeerSocket(addresses[0], 'e0/i')
    me = _messages.Sender('e0', 'i', addresses[0], 'dc0')
    relays = _relay.Relays(
        term=1,
        gateway=_workers.WorkerCalls(http1.Client()),
        send=lambda _, message: socket.send(
            addresses[1], _messages.encode(me, message)
        ),
        min_workers=1,
    )
    relays.set_n_workers(1 if is_relayed else 0)

    async def receive() -> None:
        async for frame in socket.receive():
            _, message = _messages.decode(frame)
            relays.answered(message)

    async def call_often(n: int) -> None:
        for _ in range(n):
            await relays.start(order, 1.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(relays.run)
        nursery.start_soon(receive)
        relays.set_members(
            [_relay.RelayMember('e1', 'dc0', 1.0, trio.current_time() + 1e6)]
        )
        await relays.start(order, 5.0)
        before_s = time.process_time()
        async with trio.open_nursery() as callers:
            for _ in range(n_at_once):
                callers.start_soon(call_often, n_calls // n_at_once)
        used_s = time.process_time() - before_s
        nursery.cancel_scope.cancel()
    socket.close()
    return used_s / n_calls


def main(argv: typing.Sequence[str] | None = None) -> None:
    """Print the time of a call."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=8_000)
    parser.add_argument('--at-once', type=int, default=32)
    parser.add_argument('--first-port', type=int, default=21_870)
    arguments = parser.parse_args(argv)
    ports = [arguments.first_port + number for number in range(3)]
    processes = [
        multiprocessing.Process(
            target=_worker, args=(f'{_HOST}:{ports[0]}',), daemon=True
        ),
        multiprocessing.Process(
            target=_follower,
            args=(f'tcp://{_HOST}:{ports[2]}', f'tcp://{_HOST}:{ports[1]}'),
            daemon=True,
        ),
    ]
    for process in processes:
        process.start()
    time.sleep(1.0)
    try:
        for is_relayed in (False, True):
            used_s = trio.run(
                lambda: _measure(
                    ports,
                    arguments.calls,
                    arguments.at_once,
                    is_relayed=is_relayed,
                )
            )
            name = 'relayed' if is_relayed else 'direct'
            print(f'{name}: {1e6 * used_s:.0f} us a call at the leader')
    finally:
        for process in processes:
            process.terminate()


if __name__ == '__main__':
    main()
