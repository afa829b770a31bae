import typing

import msgspec

from orioleloom import errors
from orioleloom import model

PROTOCOL_VERSION = 1

# The largest message is a JobForward with a job body of up to 16 MiB;
# the rest is for its other fields and the envelope.
MAX_PEER_MESSAGE_BYTES = 17 * 1024 * 1024


class JobQuery(typing.NamedTuple):
    """Ask the owner of a job for its state.

    The owner replies at once with a :class:`JobReply` and, when
    ``subscribe`` is set, sends another one when the job ends.
    """

    customer: str
    submission_id: str
    subscribe: bool = False


class JobForward(typing.NamedTuple):
    """Forward a submission to the instance that minted its ticket.

    :param remaining_ms: time left until the deadline; ``None`` when the
        sender does not know it
    """

    customer: str
    submission_id: str
    body: bytes
    subscribe: bool = False
    remaining_ms: float | None = None


class JobReply(typing.NamedTuple):
    """Final answer or progress of a job.

    :param final: whether ``body`` is the final answer rather than
        progress
    :param known: whether the sender knows the job
    """

    customer: str
    submission_id: str
    final: bool
    known: bool
    http_status: int
    body: dict[str, typing.Any]


class JobCancel(typing.NamedTuple):
    """Ask the owner of a job to cancel it."""

    customer: str
    submission_id: str


class ContractPush(typing.NamedTuple):
    """Send contracts as table rows: ``[customer, version, value]``."""

    contracts: list[tuple[str, int, dict[str, typing.Any]]]


class ContractPull(typing.NamedTuple):
    """Ask for the contracts that are newer than the given versions.

    :param versions: version of each contract that the sender has, by
        customer
    :param reply_to: peer address of the sender, which the receiver's
        member list may not contain yet
    :param with_members: also ask for the member list; set by an
        instance that starts while the platform is unavailable
    """

    versions: dict[str, int]
    reply_to: str
    with_members: bool = False


class MembersPush(typing.NamedTuple):
    """Send the sender's copy of the platform's member list."""

    members: list[model.Member]


class ShareRequest(typing.NamedTuple):
    """Ask a peer to lend an unused part of its share of the limits.

    Each instance holds a share of the limits in a customer's contract.

    :param in_flight: number of tasks running at once to borrow
    :param starts_per_s: task starts a second to borrow
    :param burst: token bucket size to borrow
    """

    customer: str
    contract_version: int
    in_flight: int
    starts_per_s: float
    burst: int = 0


class ShareGrant(typing.NamedTuple):
    """Lend part of a share to the sender of a :class:`ShareRequest`.

    :param ttl_ms: duration of the loan, counted from the sending of the
        request
    :param burst: token bucket size that is lent; as many start tokens
        are transferred with it
    """

    customer: str
    contract_version: int
    in_flight: int
    starts_per_s: float
    ttl_ms: int
    burst: int = 0


class ShareRecall(typing.NamedTuple):
    """Ask a borrower to return part of a share before its grant expires.

    The message id in the envelope is that of the grant. The amounts are
    what the borrower may keep of it.
    """

    customer: str
    in_flight: int
    starts_per_s: float
    burst: int


class ShareReturn(typing.NamedTuple):
    """Tell a lender how much of a recalled grant the sender still holds.

    The message id in the envelope is that of the grant.

    :param n_tokens: start tokens returned so far under that grant
    """

    customer: str
    in_flight: int
    starts_per_s: float
    burst: int
    n_tokens: int = 0


class WorkerNotice(typing.NamedTuple):
    """Tell peers that a worker is quarantined or leaving.

    :param quarantined: the sender has quarantined the worker because
        its tasks fail
    :param leaving: the worker has announced that it is leaving
    """

    worker_id: str
    quarantined: bool
    leaving: bool


class LeavingNotice(typing.NamedTuple):
    """Tell peers that the sender is shutting down."""

    instance_id: str


PeerMessage = (
    JobQuery
    | JobForward
    | JobReply
    | JobCancel
    | ContractPush
    | ContractPull
    | MembersPush
    | ShareRequest
    | ShareGrant
    | ShareRecall
    | ShareReturn
    | WorkerNotice
    | LeavingNotice
)

_MESSAGE_TYPES: dict[str, type] = {
    message_type.__name__: message_type
    for message_type in typing.get_args(PeerMessage)
}


class Envelope(typing.NamedTuple):
    """A peer message with its sender.

    :param version: version of the peer protocol
    :param message_id: chosen by the sender of a request; a reply
        carries the id of the request that it answers
    :param sender: ``<instance>/<incarnation>`` of the sending process
    :param kind: class name of the payload
    :param payload: encoded message
    """

    version: int
    message_id: int
    sender: str
    kind: str
    payload: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_payload_decoders = {
    kind: msgspec.msgpack.Decoder(message_type)
    for kind, message_type in _MESSAGE_TYPES.items()
}


def encode_peer(message_id: int, sender: str, message: PeerMessage) -> bytes:
    """Encode a peer message with its envelope."""
    payload = msgspec.Raw(_encoder.encode(message))
    return _encoder.encode(
        Envelope(
            PROTOCOL_VERSION,
            message_id,
            sender,
            type(message).__name__,
            payload,
        )
    )


def decode_peer(frame: bytes) -> tuple[int, str, PeerMessage]:
    """Decode a peer message.

    :returns: message id, sender and message
    :raises DispatchError: ``too_large`` or ``bad_request``; the caller
        drops the message
    """
    if len(frame) > MAX_PEER_MESSAGE_BYTES:
        raise errors.DispatchError(
            errors.ErrorKind.TOO_LARGE,
            f'peer message of {len(frame)} bytes exceeds '
            f'{MAX_PEER_MESSAGE_BYTES} bytes',
        )
    try:
        envelope = _envelope_decoder.decode(frame)
        if envelope.version != PROTOCOL_VERSION:
            raise errors.DispatchError(
                errors.ErrorKind.BAD_REQUEST,
                f'peer protocol version {envelope.version} is not '
                f'supported; the supported version is {PROTOCOL_VERSION}',
            )
        decoder = _payload_decoders.get(envelope.kind)
        if decoder is None:
            raise errors.DispatchError(
                errors.ErrorKind.BAD_REQUEST,
                f'unknown peer message kind {envelope.kind!r}',
            )
        message = decoder.decode(envelope.payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_REQUEST, f'peer message is malformed: {exc}'
        ) from exc
    return envelope.message_id, envelope.sender, message
