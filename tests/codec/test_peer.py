import hypothesis
from hypothesis import strategies as st
import pytest

from orioleloom import codec
from orioleloom import errors


def test_round_trip():
    message = codec.JobReply('acme', 's1', True, True, 200, {'results': [1]})
    frame = codec.encode_peer(7, 'e1/aa', message)
    assert codec.decode_peer(frame) == (7, 'e1/aa', message)


@pytest.mark.parametrize(
    'message',
    [
        codec.ShareRecall('acme', 3, 12.5, 4),
        codec.ShareReturn('acme', 2, 0.0, 1, 5),
    ],
)
def test_recall_and_return_round_trip(message):
    # Guards against a message kind that is missing from the decoder, and
    # against fields of the wrong type (R16).
    frame = codec.encode_peer(7, 'e1/aa', message)
    assert codec.decode_peer(frame) == (7, 'e1/aa', message)
    wrong = codec.encode_peer(7, 'e1/aa', message._replace(in_flight='3'))
    with pytest.raises(errors.DispatchError):
        codec.decode_peer(wrong)


@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_give_a_message_or_an_error_kind(frame):
    # Guards R16: a malformed peer message must not raise anything but
    # DispatchError.
    try:
        codec.decode_peer(frame)
    except errors.DispatchError:
        pass


def test_truncated_messages_are_refused():
    # Guards R16: every proper prefix of a valid frame is an error.
    frame = codec.encode_peer(1, 'e1/aa', codec.JobQuery('acme', 's1'))
    for length in range(len(frame)):
        with pytest.raises(errors.DispatchError):
            codec.decode_peer(frame[:length])
