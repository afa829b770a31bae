import socket

import hypothesis
from hypothesis import strategies
import pytest
import trio

from orioleloom import codec
from orioleloom import errors
from orioleloom import peer_api

ANY_PORT_ADDRESS = 'tcp://127.0.0.1:0'


@pytest.fixture
def pair(request):
    high_water_mark = getattr(request, 'param', 10)
    sockets = [
        peer_api.PeerSocket(
            ANY_PORT_ADDRESS, f'e{n}/abc', high_water_mark=high_water_mark
        )
        for n in (1, 2)
    ]
    yield sockets
    for peer_socket in sockets:
        peer_socket.close()


# A queue may count frames for 3 ms after they have arrived, so that it takes
# all frames of the test.
@pytest.mark.parametrize('pair', [13], indirect=True)
async def test_frames_arrive_in_order_with_counters(pair):
    # Guards against a lost wake-up: the descriptor is edge-triggered, so
    # frames are sent one at a time and in bursts.
    sender, receiver = pair
    received = []

    async def consume():
        async for frame in receiver.receive():
            received.append(frame)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(consume)
        with trio.fail_after(5):
            for burst in (1, 1, 5, 1, 5):
                for _ in range(burst):
                    frame = codec.encode_peer(
                        1, 'e1/abc', codec.LeavingNotice('e1')
                    )
                    assert sender.send(receiver.address, frame)
                target = len(received) + burst
                while len(received) < target:
                    await trio.sleep(0.001)
        nursery.cancel_scope.cancel()
    assert codec.decode_peer(received[0])[1] == 'e1/abc'
    assert receiver.counters.received_messages == 13
    assert sender.counters.sent_messages == 13
    assert sender.counters.sent_bytes == sum(map(len, received))


async def test_full_queue_drops_and_counts(pair):
    # Guards R12: a dead peer must neither block the event loop nor cause an
    # unbounded queue.
    sender = pair[0]
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        address = f'tcp://127.0.0.1:{unused.getsockname()[1]}'
        results = [sender.send(address, b'x') for _ in range(15)]
    assert results == [True] * 10 + [False] * 5
    assert sender.counters.dropped_messages == 5


async def test_message_over_the_limit_is_dropped_by_its_sender():
    """Guards against a message that costs the connection.

    The receiver disconnects a peer that sends it, and what is queued for it
    is lost.
    """
    sender = peer_api.PeerSocket(
        ANY_PORT_ADDRESS, 'e1/abc', max_message_bytes=100
    )
    try:
        assert not sender.send(ANY_PORT_ADDRESS, 101 * b'x')
        assert sender.counters.dropped_messages == 1
        assert sender.send('tcp://127.0.0.1:1', 100 * b'x')
    finally:
        sender.close()


async def test_sockets_to_removed_peers_are_closed(pair):
    # Guards against a leaked socket for every replaced instance.
    sender, receiver = pair
    sender.send(receiver.address, b'x')
    sender.send('tcp://127.0.0.1:1', b'x')
    sender.close_all_except({receiver.address})
    assert sender.connected_addresses() == [receiver.address]


@pytest.mark.parametrize(
    'address',
    [
        'tcp://localhost:1',
        'tcp://1.2.3:1',
        'ipc:///tmp/x',
        'tcp://1.2.3.4:99999',
        'tcp://1.2.3.4',
        '',
    ],
)
def test_peer_address_needs_an_ip_address(pair, address):
    # Guards R18: a host name would require a resolver.
    with pytest.raises(errors.DispatchError, match='peer address'):
        pair[0].send(address, b'x')


@hypothesis.given(strategies.binary(max_size=80))
def test_any_frame_is_decoded_or_refused(frame):
    # Guards R16: a truncated or random frame must not stop the receiver.
    try:
        codec.decode_peer(frame)
    except errors.DispatchError as exc:
        assert exc.kind in ('bad_request', 'too_large')


def test_digits_of_other_scripts_are_refused_in_an_address():
    """Guards against an address that ZeroMQ rejects when it is first used."""
    with pytest.raises(errors.DispatchError):
        peer_api.check_peer_address('tcp://10.0.0.1:٣')
