"""Messages between instances."""

import typing

import msgspec

from orioleloom import dispatch
from orioleloom import leadership
from orioleloom.node import _ports


class Sender(typing.NamedTuple):
    """Who sent a message, and where answers go.

    :param incarnation: random number that a process draws at its start
    :param address: ``tcp://IP:PORT``
    """

    instance_id: str
    incarnation: str
    address: str
    data_centre: str


class Probe(typing.NamedTuple):
    """State of a peer, sent while a leader is searched.

    :param lacks_tables: the sender has not read the store's tables yet
    """

    state: leadership.PeerState
    wants_answer: bool
    lacks_tables: bool = False


class Beat(typing.NamedTuple):
    """Sign of life of a leader to one instance.

    :param scope: data centre that the leader serves; empty means all
    :param session: ends when the leader gives the instance up; messages
        of an earlier session are ignored
    :param sequence: rises with each beat
    :param is_heard: the leader has heard the instance a moment ago
    :param alive: instances that the leader has heard a moment ago, or
        ``None`` if they are those of an earlier beat
    :param n_unstarted: jobs without a started task, by queue
    :param token: fencing token of the leader
    """

    term: int
    scope: str
    session: int
    sequence: int
    is_heard: bool
    alive: list[str] | None
    n_unstarted: dict[str, int]
    token: int = 0


class BeatReply(typing.NamedTuple):
    """Answer to a beat.

    :param job_ids: every job that the instance waits for
    :param lacks_tables: the instance has not read the store's tables yet
    :param rank: its capacity for leading
    """

    term: int
    session: int
    sequence: int
    job_ids: list[str]
    is_stopping: bool
    lacks_tables: bool = False
    rank: float = 0.0


class SubmitJob(typing.NamedTuple):
    """Hand a job to the leader.

    :param age_s: time since the caller's request arrived
    :param remaining_s: time until the caller stops waiting
    :param contact_ago_s: time since the last contact with an earlier
        leader that had the job, or ``None``
    :param token_seen: highest fencing token that the instance has heard
    """

    term: int
    session: int
    job: dispatch.Job
    age_s: float
    remaining_s: float
    contact_ago_s: float | None
    token_seen: int = 0


class CancelJob(typing.NamedTuple):
    """The caller of a job has left."""

    term: int
    session: int
    job_id: str


class JobEnded(typing.NamedTuple):
    """Outcome of a job."""

    term: int
    job_id: str
    outcome: dispatch.Outcome


class JobUnknown(typing.NamedTuple):
    """The leader does not have a job that the instance waits for."""

    term: int
    job_id: str


class Tables(typing.NamedTuple):
    """Copies of the store's tables for a peer that could not read them."""

    routing: _ports.Routing | None
    workers: dict[str, dispatch.WorkerInfo]
    members: list[_ports.MemberInfo]


class Handover(typing.NamedTuple):
    """The leader stops and names its successor."""

    term: int
    successor_id: str


Message = (
    Probe
    | Beat
    | BeatReply
    | SubmitJob
    | CancelJob
    | JobEnded
    | JobUnknown
    | Tables
    | Handover
)

_KINDS: dict[str, type] = {
    kind.__name__: kind for kind in typing.get_args(Message)
}


class _Envelope(typing.NamedTuple):
    kind: str
    sender: Sender
    payload: msgspec.Raw


_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_Envelope)
_DECODERS = {
    name: msgspec.msgpack.Decoder(kind) for name, kind in _KINDS.items()
}


class MalformedError(ValueError):
    """A frame is not a message between instances."""


def encode(sender: Sender, message: Message) -> bytes:
    """Return a message as the frame that :func:`decode` reads."""
    return _ENCODER.encode((type(message).__name__, sender, message))


def decode(frame: bytes) -> tuple[Sender, Message]:
    """Return sender and message of a frame.

    :raises MalformedError: the frame is not a message
    """
    try:
        envelope = _ENVELOPE_DECODER.decode(frame)
        decoder = _DECODERS[envelope.kind]
        return envelope.sender, decoder.decode(envelope.payload)
    except (msgspec.MsgspecError, KeyError) as exc:
        raise MalformedError(str(exc)) from exc
