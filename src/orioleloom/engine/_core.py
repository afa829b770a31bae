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

# Maximum number of peers that a broadcast sends to. Contracts reach the
# other peers because each receiver forwards what is new to it.
PEER_FAN_OUT = 8

_RETRY_AFTER_RANGE_MS = (200, 1200)


@dataclasses.dataclass(slots=True)
class Core:
    """State shared by the components of the engine.

    :param now_s: monotonic time of the event being handled
    :param jobs: jobs of this instance, including ended ones until their
        retention is over
    :param remote_jobs: jobs of other instances that callers of this
        instance wait for
    :param active_jobs: jobs of this instance without a final answer
    :param ended_jobs: jobs with a final answer, in order of their end
    :param deadlines: heap of job deadlines; may contain ended jobs
    :param open_requests: job of each open request, by request id
    :param pending_effects: effects emitted while handling the event
    :param leaving_workers: workers that announced that they are leaving
        before the member list showed it
    :param peer_address_overrides: peer addresses of instances that started
        while the platform was unavailable and asked for the member list;
        used instead of the listed address until their row changes
    :param held_bytes: size of the active jobs
    :param stop_at_s: time at which a planned stop times out
    """

    identity: str
    instance_id: str
    incarnation: str
    settings: EngineSettings
    random_state: random.Random
    contract_book: contracts.ContractBook
    members: membership.MemberView
    pool: placement.WorkerPool
    limits: limits.LimitShares
    queue: queueing.FairQueue
    claim_writer: claims.ClaimWriter
    now_s: float = 0.0
    jobs: dict[model.JobId, Job] = dataclasses.field(default_factory=dict)
    remote_jobs: dict[model.JobId, RemoteJob] = dataclasses.field(
        default_factory=dict
    )
    active_jobs: dict[model.JobId, Job] = dataclasses.field(
        default_factory=dict
    )
    ended_jobs: collections.deque[Job] = dataclasses.field(
        default_factory=collections.deque
    )
    deadlines: list[tuple[float, model.JobId]] = dataclasses.field(
        default_factory=list
    )
    open_requests: dict[int, model.JobId] = dataclasses.field(
        default_factory=dict
    )
    pending_effects: list[effects.Effect] = dataclasses.field(
        default_factory=list
    )
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    leaving_workers: set[str] = dataclasses.field(default_factory=set)
    peer_address_overrides: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    held_bytes: int = 0
    platform_available: bool = True
    stop_at_s: float | None = None
    last_message_id: int = 0
    last_token_number: int = 0

    @property
    def stopping(self) -> bool:
        """Whether a planned stop is in progress."""
        return self.stop_at_s is not None

    def emit(self, effect: effects.Effect) -> None:
        """Add an effect for the caller of the engine to carry out."""
        self.pending_effects.append(effect)

    def respond(self, request_id: int, answer: model.Answer) -> None:
        """Answer a request, unless it was answered or dropped before."""
        if self.open_requests.pop(request_id, None) is not None:
            self.emit(effects.Respond(request_id, answer))

    def refuse(
        self,
        request_id: int,
        job_id: model.JobId,
        error: errors.DispatchError,
        *,
        no_other_copy: bool,
    ) -> None:
        """Answer a request with an error.

        :param no_other_copy: whether no other copy of the submission can have
            started tasks
        """
        self.counters[f'refused_{error.kind.value}'] += 1
        answer = model.refused_answer(
            job_id.submission_id, error, no_other_copy=no_other_copy
        )
        self.respond(request_id, answer)

    def retry_after_ms(self) -> int:
        """Return a random delay, so that callers do not retry in step."""
        return self.random_state.randint(*_RETRY_AFTER_RANGE_MS)

    def new_token(self) -> str:
        """Return a unique token for a table read or write."""
        self.last_token_number += 1
        return f'{self.identity}:{self.last_token_number}'

    def new_message_id(self) -> int:
        """Return a new id for a peer message."""
        self.last_message_id += 1
        return self.last_message_id

    def send_to_peer(
        self, peer_id: str, message: codec.PeerMessage, message_id: int = 0
    ) -> bool:
        """Send a message to an entry instance.

        :param peer_id: instance id, or ``<instance>/<incarnation>``
        :returns: whether the address of the instance is known
        """
        instance_id = peer_id.partition('/')[0]
        member = self.members.find(instance_id)
        # A restarted instance may have reported its new address before the
        # member list shows it.
        address = self.peer_address_overrides.get(instance_id)
        if not address:
            address = member.peer if member else ''
        if not address:
            return False
        self.send_to_address(instance_id, address, message, message_id)
        return True

    def send_to_address(
        self,
        peer_id: str,
        address: str,
        message: codec.PeerMessage,
        message_id: int = 0,
    ) -> None:
        """Send a message to a peer address."""
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
        """Send a message to all peers, or to ``PEER_FAN_OUT`` random ones."""
        peers = [m for m in self.members.peers() if m.id != exclude]
        if len(peers) > PEER_FAN_OUT:
            peers = self.random_state.sample(peers, PEER_FAN_OUT)
        for member in peers:
            self.send_to_peer(member.id, message)


@dataclasses.dataclass(slots=True)
class WaitingRequests:
    """Requests to answer for a submission.

    :param final: ids of requests to answer when the job ends
    :param immediate: ids of requests to answer with progress at once
    """

    final: set[int] = dataclasses.field(default_factory=set)
    immediate: set[int] = dataclasses.field(default_factory=set)

    def ids(self) -> typing.Iterator[int]:
        """Iterate over all request ids."""
        yield from self.final
        yield from self.immediate
