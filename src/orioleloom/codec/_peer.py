import typing

import msgspec

from orioleloom import errors
from orioleloom import model

PROTOCOL_VERSION = 1

# A forwarded job of 16 MiB plus its envelope.
MAX_PEER_MESSAGE_BYTES = 17 * 1024 * 1024


class JobQuery(typing.NamedTuple):
    """Ask the owner of a job for its answer.

    The owner replies at once with progress or the answer and, when
    ``subscribe`` is set, again when the job ends.
    """

    customer: str
    submission_id: str
    subscribe: bool = False


class JobForward(typing.NamedTuple):
    """Hand a submission under a ticket to the instance that minted it.

    :param remaining_ms: time left until the deadline; ``None`` when the
        sender does not know it
    """

    customer: str
    submission_id: str
    body: bytes
    subscribe: bool = False
    remaining_ms: float | None = None


class JobReply(typing.NamedTuple):
    """Answer or progress of a job.

    :param final: ``body`` is the final answer, not progress
    :param known: the sender knows the job
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
    """Contracts as rows of the table: ``[customer, version, value]``."""

    contracts: list[tuple[str, int, dict[str, typing.Any]]]


class ContractPull(typing.NamedTuple):
    """Ask for the contracts newer than the given versions.

    An instance that starts while the platform is away also asks for the
    member list.

    :param reply_to: peer address of the sender, which may not be listed
    """

    versions: dict[str, int]
    reply_to: str
    with_members: bool = False


class MembersPush(typing.NamedTuple):
    """The sender's copy of the platform's list."""

    members: list[model.Member]


class ShareRequest(typing.NamedTuple):
    """Ask a peer to lend unused share of a customer's limits."""

    customer: str
    contract_version: int
    in_flight: int
    starts_per_s: float
    burst: int = 0


class ShareGrant(typing.NamedTuple):
    """Lend share until ``ttl_ms`` after the request was sent.

    :param burst: bucket size lent, and start tokens handed over with it
    """

    customer: str
    contract_version: int
    in_flight: int
    starts_per_s: float
    ttl_ms: int
    burst: int = 0


class ShareRecall(typing.NamedTuple):
    """Ask a borrower to give up share before its grant ends.

    The amounts are what it may keep of the grant whose message id the
    envelope carries.
    """

    customer: str
    in_flight: int
    starts_per_s: float
    burst: int


class ShareReturn(typing.NamedTuple):
    """Tell a lender what the sender still holds of a recalled grant.

    The envelope carries the message id of the grant.

    :param n_tokens: start tokens given back so far under that grant
    """

    customer: str
    in_flight: int
    starts_per_s: float
    burst: int
    n_tokens: int = 0


class WorkerNotice(typing.NamedTuple):
    """Tell peers that a worker fails tasks or says that it is leaving."""

    worker_id: str
    quarantined: bool
    leaving: bool


class LeavingNotice(typing.NamedTuple):
    """Tell peers that the sender stops."""

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

    :param message_id: chosen by the sender of a request; a reply
        carries the id of the request that it answers
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
                f'supported, only {PROTOCOL_VERSION}',
            )
        decoder = _payload_decoders.get(envelope.kind)
        if decoder is None:
            raise errors.DispatchError(
                errors.ErrorKind.BAD_REQUEST,
                f'peer message kind {envelope.kind!r} does not exist',
            )
        message = decoder.decode(envelope.payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_REQUEST, f'peer message is malformed: {exc}'
        ) from exc
    return envelope.message_id, envelope.sender, message
