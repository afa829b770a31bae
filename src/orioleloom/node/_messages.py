"""Messages between instances and their MessagePack encoding."""

import math
import typing

import msgspec

from orioleloom import dispatch
from orioleloom import leadership
from orioleloom.node import _ports


# Numbers up to this one can be counted up from and sent on in MessagePack.
_MAX_VERSION = 2**62
_Natural = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_VERSION)]


class Sender(typing.NamedTuple):
    """Sender of a message.

    :param incarnation: random id that a process generates at its start
    :param address: ``tcp://IP:PORT`` for replies
    """

    instance_id: str
    incarnation: str
    address: str
    data_centre: str


class Probe(typing.NamedTuple):
    """State of a peer, exchanged while an instance has no leader.

    :param wants_answer: the receiver should reply with its own probe
    :param lacks_tables: the sender has not read the store's tables yet
    """

    state: leadership.PeerState
    wants_answer: bool
    lacks_tables: bool = False


class Beat(typing.NamedTuple):
    """Heartbeat of a leader to one instance.

    :param scope: data centre that the leader serves; empty means all
    :param session: changes when the leader loses contact with the instance;
        messages of an earlier session are ignored
    :param sequence: increases with each round of heartbeats
    :param is_heard: the leader is in contact with the instance
    :param alive: instances in contact with the leader, or ``None`` if the
        list has not changed since an earlier heartbeat
    :param n_unstarted: number of jobs without a started task, by queue
    :param token: fencing token of the leader
    :param routing_version: version of the leader's configuration; 0 if none
    :param list_in_use: workers that the leader uses
    """

    term: _Natural
    scope: str
    session: _Natural
    sequence: _Natural
    is_heard: bool
    alive: list[str] | None
    n_unstarted: dict[str, int]
    token: _Natural = 0
    routing_version: _Natural = 0
    list_in_use: dispatch.ListInUse = dispatch.ListInUse()


class BeatReply(typing.NamedTuple):
    """Reply to a heartbeat.

    :param sequence: sequence number of the answered heartbeat
    :param job_ids: all jobs that the instance has submitted to the leader
        and awaits an outcome for
    :param is_stopping: the instance is in a planned stop and cannot lead
    :param lacks_tables: the instance has not read the store's tables yet, or
        cannot read a configuration that the leader has
    :param rank: suitability of the instance as leader; higher is better
    :param outcomes: recent results of jobs by id, in the first reply to a
        leader
    """

    term: _Natural
    session: _Natural
    sequence: _Natural
    job_ids: list[str]
    is_stopping: bool
    lacks_tables: bool = False
    rank: float = 0.0
    outcomes: dict[str, dispatch.Outcome] = {}


class SubmitJob(typing.NamedTuple):
    """Submits a job to the leader.

    :param age_s: time since the caller's request arrived
    :param remaining_s: time until the caller's deadline
    :param contact_ago_s: time since the last contact with an earlier leader
        that the job was submitted to, or ``None`` if there is none
    :param token_seen: highest fencing token that the instance has received
    :param list_in_use: workers that earlier leaders of the job have used
    """

    term: _Natural
    session: _Natural
    job: dispatch.Job
    age_s: float
    remaining_s: float
    contact_ago_s: float | None
    token_seen: _Natural = 0
    list_in_use: dispatch.ListInUse = dispatch.ListInUse()


class RoomRequest(typing.NamedTuple):
    """Asks the leader for memory for a large job, before it is submitted.

    It is a message of its own, since earlier builds ignore an unknown message
    and reject unknown fields. As they do not answer it, it is sent only to a
    leader that has sent :class:`RoomRequestsAccepted`.

    :param n_bytes: memory that the job takes at the leader
    :param was_submitted: the job was submitted to an earlier leader
    """

    term: _Natural
    session: _Natural
    job_id: str
    n_bytes: _Natural
    was_submitted: bool


class RoomReply(typing.NamedTuple):
    """Reply to a :class:`RoomRequest`.

    :param refusal: outcome of the job if there is no memory for it
    """

    term: _Natural
    job_id: str
    refusal: dispatch.Outcome | None


class RoomRequestsAccepted(typing.NamedTuple):
    """Tells a follower that the leader answers a :class:`RoomRequest`."""

    term: _Natural


class CancelJob(typing.NamedTuple):
    """Cancels a job, usually because its caller has disconnected."""

    term: _Natural
    session: _Natural
    job_id: str


class JobEnded(typing.NamedTuple):
    """Reports the outcome of a job to the instance that submitted it."""

    term: _Natural
    job_id: str
    outcome: dispatch.Outcome


class JobUnknown(typing.NamedTuple):
    """Tells an instance that the leader does not know one of its jobs."""

    term: _Natural
    job_id: str


class Tables(typing.NamedTuple):
    """Copies of the store's tables for a peer that could not read them.

    :param workers_version: version of the store that ``workers`` shows
    :param workers_changed_version: version at which they have last changed
    """

    routing: _ports.Routing | None
    workers: dict[str, dispatch.WorkerInfo]
    members: list[_ports.MemberInfo]
    workers_version: _Natural = 0
    workers_changed_version: _Natural = 0


class Handover(typing.NamedTuple):
    """Announces that the leader steps down in favour of a successor.

    The successor's copy tells what work is finished, since workers forget
    the ends of runs that were reported to a leader.

    :param completed: tasks that are done, of jobs that are not
    :param outcomes: recent results of jobs by id
    """

    term: _Natural
    successor_id: str
    completed: list[dispatch.TaskKey] = []
    outcomes: dict[str, dispatch.Outcome] = {}


class Crashes(typing.NamedTuple):
    """Tells which workers have crashed under which tasks.

    The leader tells the instances that hold the jobs and its successor;
    instances tell a new leader. It is a message of its own, since earlier
    builds ignore an unknown message and reject unknown fields.
    """

    records: list[dispatch.CrashRecord]


class RunningJobs(typing.NamedTuple):
    """Names every job that may have runs, before a handover.

    The successor holds them back if callers submit them again, until these
    runs have ended. It is a message of its own, since earlier builds ignore
    an unknown message and reject unknown fields.
    """

    term: _Natural
    job_ids: list[str]


class ProcessState(typing.NamedTuple):
    """Tells a new leader how long the sender's process has been running.

    An instance in a planned stop tells the instances of its data centre.
    """

    age_s: typing.Annotated[float, msgspec.Meta(ge=0)]
    is_stopping: bool


class Evacuations(typing.NamedTuple):
    """Tells which data centres the sender knows to be evacuated.

    Followers tell a leader that does not know it, and a leader tells its
    followers. It is a message of its own, since earlier builds ignore an
    unknown message and reject unknown fields.

    :param version: version of the store that shows them; 0 if the sender
        does not know any
    :param wants_answer: the receiver should reply with what it knows
    """

    version: _Natural
    data_centres: list[str]
    wants_answer: bool = False


class ExpectedWaits(typing.NamedTuple):
    """Tells followers how long new jobs wait for workers, by queue.

    Sent with heartbeats while jobs wait, and once when none does any more. It
    is a message of its own, since earlier builds ignore an unknown message and
    reject unknown fields.

    :param waits_s: seconds; empty if no job waits
    """

    term: _Natural
    waits_s: dict[str, float]


Message = (
    Probe
    | Beat
    | BeatReply
    | SubmitJob
    | RoomRequest
    | RoomReply
    | RoomRequestsAccepted
    | CancelJob
    | JobEnded
    | JobUnknown
    | Tables
    | Handover
    | Crashes
    | RunningJobs
    | ProcessState
    | Evacuations
    | ExpectedWaits
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
    """A frame cannot be decoded as a message between instances."""


def encode(sender: Sender, message: Message) -> bytes:
    """Encode a message as a frame for :func:`decode`."""
    return _ENCODER.encode((type(message).__name__, sender, message))


def decode(frame: bytes) -> tuple[Sender, Message]:
    """Decode a frame into its sender and message.

    :raises MalformedError: the frame cannot be decoded
    """
    try:
        envelope = _ENVELOPE_DECODER.decode(frame)
        decoder = _DECODERS[envelope.kind]
        message = decoder.decode(envelope.payload)
        match message:
            case SubmitJob():
                _check_submission(message)
            case BeatReply():
                _check_rank(message.rank)
            case Probe():
                _check_rank(message.state.rank)
            case Tables():
                _check_tables(message)
            case ExpectedWaits():
                _check_waits(message)
    except (
        msgspec.MsgspecError,
        KeyError,
        ValueError,
        RecursionError,
    ) as exc:
        raise MalformedError(str(exc)) from exc
    return envelope.sender, message


def _check_rank(rank: float) -> None:
    """Check the rank of an instance.

    :raises ValueError: it cannot be compared with others
    """
    if not math.isfinite(rank):
        raise ValueError(f'rank is {rank}; accepted is a finite number')


def _check_waits(message: ExpectedWaits) -> None:
    """Check the expected waits.

    :raises ValueError: one cannot be compared
    """
    for queue, wait_s in message.waits_s.items():
        if not 0 <= wait_s <= dispatch.MAX_WAIT_S:
            raise ValueError(
                f'expected wait of {queue} is {wait_s}; accepted is 0 to '
                f'{dispatch.MAX_WAIT_S}'
            )


def _check_tables(tables: Tables) -> None:
    """Check the numbers of copied tables.

    :raises ValueError: a number is not accepted
    """
    if tables.routing is not None and not (
        0 <= tables.routing.version <= _MAX_VERSION
    ):
        raise ValueError(
            f'version of the configuration is {tables.routing.version}; '
            f'accepted is 0 to {_MAX_VERSION}'
        )
    for member in tables.members:
        _check_rank(member.rank)


def _check_submission(message: SubmitJob) -> None:
    """Check the numbers of a submission.

    :raises ValueError: a number is not accepted
    """
    dispatch.check_job(message.job)
    for name in ('age_s', 'remaining_s'):
        value = getattr(message, name)
        if not math.isfinite(value):
            raise ValueError(f'{name} is {value}; accepted is a finite number')
