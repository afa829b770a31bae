"""Odd messages between instances, which must cost only themselves."""

import msgspec
import pytest

from orioleloom import node
from orioleloom.node import _messages

SENDER = _messages.Sender('e9', 'x', 'tcp://10.9.0.9:7000', 'dc0')


@pytest.mark.parametrize(
    'message',
    [
        _messages.Beat(2**64 - 1, '', 1, 1, True, [], {}),
        _messages.Beat(1, '', 1, 1, True, [], {}, token=2**64 - 1),
        _messages.BeatReply(1, 1, 1, [], False, rank=float('nan')),
        _messages.BeatReply(1, 1, 1, [], False, rank=float('inf')),
        _messages.Tables(
            node.Routing(2**64 - 1, ()), {}, [], workers_version=1
        ),
    ],
)
def test_messages_with_numbers_that_cannot_be_used(message):
    """Guards against numbers that a leader cannot send on or compare."""
    frame = _messages.encode(SENDER, message)
    with pytest.raises(_messages.MalformedError):
        _messages.decode(frame)


def test_deeply_nested_message_is_malformed():
    """Guards against RecursionError in the loop that receives messages."""
    frame = msgspec.msgpack.encode(['Beat', SENDER])[:-1] + b'\x91' * 100_000
    with pytest.raises(_messages.MalformedError):
        _messages.decode(frame)
    with pytest.raises(_messages.MalformedError):
        _messages.decode(b'\x93\xa4Beat' + b'\x91' * 100_000)
