import collections
import dataclasses
import random
import typing

from orioleloom import claims
from orioleloom import codec
from orioleloom import contracts
from orioleloom.engine import _effects as effects
from orioleloom.engine._jobs import Job
from orioleloom.engine._jobs import RemoteJob
from orioleloom.engine._settings import EngineSettings
from orioleloom import errors
from orioleloom import limits
from orioleloom import membership
from orioleloom import model
from orioleloom import placement
from orioleloom import queueing

# Peers that one message is sent to at once. More are reached because
# each receiver forwards what was new to it.
PEER_FAN_OUT = 8

_RETRY_AFTER_MS = (200, 1200)


@dataclasses.dataclass(slots=True)
class Core:
    """State that the parts of the engine share.

    :param now_s: monotonic time of the event being handled
    :param unlisted: peer address of instances that asked for the member
        list, since they started while the platform was away; it goes
        before the list's until their row changes
    :param jobs: every job that this instance holds or remembers
    :param active: those without a final answer
    :param ended: those with one, in order of their end
    :param deadlines: heap of the active ones by deadline
    :param leaving_workers: those that said so before the list did
    """

    identity: str
    instance_id: str
    incarnation: str
    settings: EngineSettings
    random_state: random.Random
    book: contracts.ContractBook
    members: membership.MemberView
    pool: placement.WorkerPool
    limits: limits.LimitShares
    queue: queueing.FairQueue
    writer: claims.ClaimWriter
    now_s: float = 0.0
    jobs: dict[model.JobId, Job] = dataclasses.field(default_factory=dict)
    remote: dict[model.JobId, RemoteJob] = dataclasses.field(
        default_factory=dict
    )
    active: dict[model.JobId, Job] = dataclasses.field(default_factory=dict)
    ended: collections.deque[Job] = dataclasses.field(
        default_factory=collections.deque
    )
    deadlines: list[tuple[float, model.JobId]] = dataclasses.field(
        default_factory=list
    )
    requests: dict[int, model.JobId] = dataclasses.field(default_factory=dict)
    pending: list[effects.Effect] = dataclasses.field(default_factory=list)
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    leaving_workers: set[str] = dataclasses.field(default_factory=set)
    unlisted: dict[str, str] = dataclasses.field(default_factory=dict)
    held_bytes: int = 0
    platform_available: bool = True
    stop_at_s: float | None = None
    n_messages: int = 0
    n_tokens: int = 0

    @property
    def stopping(self) -> bool:
        """Whether a planned stop began."""
        return self.stop_at_s is not None

    def emit(self, effect: effects.Effect) -> None:
        """Add an effect for the caller of the engine to carry out."""
        self.pending.append(effect)

    def respond(self, request_id: int, answer: model.Answer) -> None:
        """Answer a request that is still open, once."""
        if self.requests.pop(request_id, None) is not None:
            self.emit(effects.Respond(request_id, answer))

    def refuse(
        self,
        request_id: int,
        job_id: model.JobId,
        error: errors.DispatchError,
        *,
        sole_copy: bool,
    ) -> None:
        """Answer a submission that is not accepted."""
        self.counters[f'refused_{error.kind.value}'] += 1
        answer = model.refused_answer(
            job_id.submission_id, error, sole_copy=sole_copy
        )
        self.respond(request_id, answer)

    def retry_after_ms(self) -> int:
        """Draw a delay for callers, spread to avoid synchronised retries."""
        return self.random_state.randint(*_RETRY_AFTER_MS)

    def new_token(self) -> str:
        """Return a token that no other write or read carries."""
        self.n_tokens += 1
        return f'{self.identity}:{self.n_tokens}'

    def new_message_id(self) -> int:
        """Return an id for a peer message."""
        self.n_messages += 1
        return self.n_messages

    def send_peer(
        self, peer_id: str, message: codec.PeerMessage, message_id: int = 0
    ) -> bool:
        """Send to a listed entry instance.

        :param peer_id: instance id, or ``<instance>/<incarnation>``
        :returns: whether the instance is listed
        """
        instance_id = peer_id.partition('/')[0]
        member = self.members.find(instance_id)
        # An instance that was started again while the list lags has told
        # its new address itself.
        address = self.unlisted.get(instance_id)
        if not address:
            address = member.peer if member else ''
        if not address:
            return False
        self.send_address(instance_id, address, message, message_id)
        return True

    def send_address(
        self,
        peer_id: str,
        address: str,
        message: codec.PeerMessage,
        message_id: int = 0,
    ) -> None:
        """Send to a peer address."""
        self.counters['peer_messages'] += 1
        self.emit(
            effects.SendPeer(
                peer_id,
                address,
                message_id or self.new_message_id(),
                message,
            )
        )

    def broadcast(
        self, message: codec.PeerMessage, *, exclude: str = ''
    ) -> None:
        """Send to all peers, or to a random few of a large fleet."""
        peers = [m for m in self.members.peers() if m.id != exclude]
        if len(peers) > PEER_FAN_OUT:
            peers = self.random_state.sample(peers, PEER_FAN_OUT)
        for member in peers:
            self.send_peer(member.id, message)


@dataclasses.dataclass(slots=True)
class Waiting:
    """Requests that wait for the answer of a submission.

    :param final: request ids answered when the job ends
    :param quick: request ids answered with progress at once
    """

    final: set[int] = dataclasses.field(default_factory=set)
    quick: set[int] = dataclasses.field(default_factory=set)

    def ids(self) -> typing.Iterator[int]:
        """Iterate over all request ids."""
        yield from self.final
        yield from self.quick
