"""Calls to workers that followers make for their leader.

One process cannot make the calls to hundreds of workers in time. Above a
number of workers the leader therefore only decides, and each worker is
called by one follower. A relayed order is no different from one that the
network delivers late or not at all: tokens, run numbers and leases keep it
from harm.
"""

import collections
import typing

import trio

from orioleloom import dispatch
from orioleloom.node import _messages
from orioleloom.node import _ports

# Time that a relayed call may take beyond a direct one: two messages
# between instances, and a turn of the follower's loop.
ALLOWANCE_S = 0.025
# A follower relays only while the leader has heard it within this time,
# a few beats.
_FRESH_S = 0.35
# After so many failed relayed calls in a row a worker is called directly:
# the follower may be cut off from it.
_FAILURES_TO_BYPASS = 2
_BYPASS_S = 1.0
# A turn of the loop that begins so much late says nothing about others.
_LATE_TURN_S = 0.01
# A call outlasts so many late turns at most.
_MAX_EXTENSIONS = 5
# Calls that a follower makes at one time; more are refused, so that a
# leader that asks too much does not fill its memory.
_MAX_CALLS = 2_000


class RelayMember(typing.NamedTuple):
    """A follower that can relay.

    :param last_heard_s: time of the newest beat that it has answered
    """

    instance_id: str
    data_centre: str
    rank: float
    last_heard_s: float


class _Waiting:
    """A relayed call without an answer yet."""

    __slots__ = ('answer', 'answered')

    def __init__(self) -> None:
        self.answered = trio.Event()
        self.answer: _messages.RelayAnswer | None = None


class Relays:
    """The leader's calls to workers, made directly or by followers.

    :param gateway: direct calls
    :param send: queues a message to an instance
    :param min_workers: with fewer workers all calls are direct
    """

    def __init__(
        self,
        *,
        term: int,
        gateway: _ports.WorkerGateway,
        send: typing.Callable[[str, _messages.Message], None],
        min_workers: int,
    ):
        self.term = term
        self.gateway = gateway
        self.send = send
        self.min_workers = min_workers
        self.is_active = False
        self.n_relayed = 0
        self.n_direct = 0
        self._members: dict[str, RelayMember] = {}
        # Follower of each worker, and the number of workers of each one.
        self._assigned: dict[str, str] = {}
        self._n_assigned: collections.Counter[str] = collections.Counter()
        # When a follower last left a call without an answer.
        self._silent_s: dict[str, float] = {}
        self._n_failures: collections.Counter[str] = collections.Counter()
        self._bypass_until_s: dict[str, float] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._number = 0
        self._outbox: dict[str, list[_messages.RelayCall]] = {}
        self._has_mail = trio.Event()

    def set_members(self, members: typing.Iterable[RelayMember]) -> None:
        """Take over which followers can relay."""
        self._members = {member.instance_id: member for member in members}
        for worker_id, member_id in list(self._assigned.items()):
            if member_id not in self._members:
                self._unassign(worker_id)

    def set_n_workers(self, n_workers: int) -> None:
        """Take over the number of workers."""
        self.is_active = n_workers >= self.min_workers

    async def run(self) -> None:
        """Send calls to followers, those of one turn in one message."""
        while True:
            await self._has_mail.wait()
            self._has_mail = trio.Event()
            outbox, self._outbox = self._outbox, {}
            for member_id, calls in outbox.items():
                self.send(member_id, _messages.RelayCalls(self.term, calls))

    def answered(self, message: _messages.RelayAnswers) -> None:
        """Take over the answers of a follower."""
        for answer in message.answers:
            waiting = self._waiting.get(answer.number)
            if waiting is not None:
                waiting.answer = answer
                waiting.answered.set()

    async def start(self, order: dispatch.StartRun, timeout_s: float) -> int:
        """Start a run and return the worker's clock.

        Like the other calls it raises the errors of
        :class:`orioleloom.node.WorkerGateway`, and
        :class:`trio.TooSlowError`.
        """
        member_id = self._member_for(order.worker)
        if member_id is None:
            self.n_direct += 1
            with trio.fail_after(timeout_s):
                return await self.gateway.start(order)
        answer = await self._relay(
            member_id, order.worker.id, timeout_s, start=order
        )
        return answer.clock_ms

    async def stop(self, order: dispatch.StopRun, timeout_s: float) -> None:
        """Stop a run."""
        member_id = self._member_for(order.worker)
        if member_id is None:
            self.n_direct += 1
            with trio.fail_after(timeout_s):
                await self.gateway.stop(order)
        else:
            await self._relay(
                member_id, order.worker.id, timeout_s, stop=order
            )

    async def report(
        self, request: _messages.ReportRequest, timeout_s: float
    ) -> dispatch.WorkerReport:
        """Extend the lease of a worker's runs and list them."""
        member_id = self._member_for(request.worker)
        if member_id is None:
            self.n_direct += 1
            with trio.fail_after(timeout_s):
                return await self.gateway.report(*request)
        answer = await self._relay(
            member_id, request.worker.id, timeout_s, report=request
        )
        if answer.report is None:
            raise _ports.NoAnswerError('relayed report without a list')
        return answer.report

    def _member_for(self, worker: dispatch.WorkerInfo) -> str | None:
        """Return the follower that calls a worker, or none of them."""
        if not self.is_active:
            return None
        now_s = trio.current_time()
        if now_s < self._bypass_until_s.get(worker.id, 0.0):
            return None
        member_id = self._assigned.get(worker.id)
        if member_id is not None:
            if self._can_relay(self._members[member_id], now_s):
                return member_id
            self._unassign(worker.id)
        usable = [
            member
            for member in self._members.values()
            if self._can_relay(member, now_s)
        ]
        near = [m for m in usable if m.data_centre == worker.data_centre]
        chosen = min(near or usable, key=self._load, default=None)
        if chosen is None:
            return None
        self._assigned[worker.id] = chosen.instance_id
        self._n_assigned[chosen.instance_id] += 1
        return chosen.instance_id

    def _can_relay(self, member: RelayMember, now_s: float) -> bool:
        return (
            now_s - member.last_heard_s < _FRESH_S
            and member.last_heard_s
            > self._silent_s.get(member.instance_id, -1e9)
        )

    def _load(self, member: RelayMember) -> float:
        n_workers = self._n_assigned[member.instance_id]
        return (n_workers + 1) / max(member.rank, 0.01)

    def _unassign(self, worker_id: str) -> None:
        self._n_assigned[self._assigned.pop(worker_id)] -= 1

    async def _relay(
        self,
        member_id: str,
        worker_id: str,
        timeout_s: float,
        **order: typing.Any,
    ) -> _messages.RelayAnswer:
        """Have a follower make a call.

        :param order: the call's field of :class:`RelayCall`
        :raises NotSentError: the order has not left the follower
        :raises NoAnswerError: it may have been carried out
        :raises RejectedError: the worker did not carry it out
        :raises TooSlowError: the follower did not answer
        """
        self.n_relayed += 1
        self._number += 1
        number = self._number
        waiting = self._waiting[number] = _Waiting()
        self._outbox.setdefault(member_id, []).append(
            _messages.RelayCall(number, timeout_s, **order)
        )
        self._has_mail.set()
        try:
            await self._wait(waiting, timeout_s + ALLOWANCE_S)
        except trio.TooSlowError:
            self._silent_s[member_id] = trio.current_time()
            self._failed(worker_id)
            raise
        finally:
            del self._waiting[number]
        answer = waiting.answer
        match answer.kind:
            case _messages.AnswerKind.REJECTED:
                self._n_failures[worker_id] = 0
                raise _ports.RejectedError(
                    answer.rejection or dispatch.Rejection.REFUSED
                )
            case _messages.AnswerKind.NOT_SENT:
                self._failed(worker_id)
                raise _ports.NotSentError(f'by relay {member_id}')
            case _messages.AnswerKind.NO_ANSWER:
                self._failed(worker_id)
                raise _ports.NoAnswerError(f'to relay {member_id}')
        self._n_failures[worker_id] = 0
        return answer

    async def _wait(self, waiting: _Waiting, timeout_s: float) -> None:
        deadline_s = trio.current_time() + timeout_s
        for _ in range(_MAX_EXTENSIONS):
            with trio.move_on_at(deadline_s):
                await waiting.answered.wait()
            if waiting.answered.is_set():
                return
            now_s = trio.current_time()
            if now_s - deadline_s < _LATE_TURN_S:
                break
            # This process was late, not the answer, which may be among
            # the messages that wait for their turn.
            deadline_s = now_s + _LATE_TURN_S
        raise trio.TooSlowError

    def _failed(self, worker_id: str) -> None:
        self._n_failures[worker_id] += 1
        if self._n_failures[worker_id] >= _FAILURES_TO_BYPASS:
            self._n_failures[worker_id] = 0
            self._bypass_until_s[worker_id] = trio.current_time() + _BYPASS_S


class Carrier:
    """A follower's part: makes the calls that its leader sends.

    :param gateway: calls to workers
    :param send: queues a message to an instance
    """

    def __init__(
        self,
        gateway: _ports.WorkerGateway,
        send: typing.Callable[[str, _messages.Message], None],
    ):
        self.gateway = gateway
        self.send = send
        self.n_calls = 0
        self.n_open = 0
        self._outbox: dict[tuple[str, int], list[_messages.RelayAnswer]] = {}
        self._has_mail = trio.Event()

    async def run(self) -> None:
        """Send answers to the leader, those of one turn in one message."""
        while True:
            await self._has_mail.wait()
            self._has_mail = trio.Event()
            outbox, self._outbox = self._outbox, {}
            for (leader_id, term), answers in outbox.items():
                self.send(leader_id, _messages.RelayAnswers(term, answers))

    def receive(
        self,
        nursery: trio.Nursery,
        leader_id: str,
        message: _messages.RelayCalls,
        *,
        is_followed: bool,
    ) -> None:
        """Make the calls of a message.

        :param is_followed: the sender is the present leader; calls of
            any other one are returned
        """
        for call in message.calls:
            if not is_followed or self.n_open >= _MAX_CALLS:
                self._answer(
                    leader_id,
                    message.term,
                    _messages.RelayAnswer(
                        call.number, _messages.AnswerKind.NOT_SENT
                    ),
                )
                continue
            self.n_open += 1
            self.n_calls += 1
            nursery.start_soon(self._carry_out, leader_id, message.term, call)

    def _answer(
        self, leader_id: str, term: int, answer: _messages.RelayAnswer
    ) -> None:
        self._outbox.setdefault((leader_id, term), []).append(answer)
        self._has_mail.set()

    async def _carry_out(
        self, leader_id: str, term: int, call: _messages.RelayCall
    ) -> None:
        kind = _messages.AnswerKind.DONE
        rejection = report = None
        clock_ms = 0
        try:
            with trio.fail_after(call.timeout_s):
                if call.start is not None:
                    clock_ms = await self.gateway.start(call.start)
                elif call.stop is not None:
                    await self.gateway.stop(call.stop)
                elif call.report is not None:
                    report = await self.gateway.report(*call.report)
        except _ports.RejectedError as exc:
            kind = _messages.AnswerKind.REJECTED
            rejection = exc.reason
        except _ports.NotSentError:
            kind = _messages.AnswerKind.NOT_SENT
        except (_ports.NoAnswerError, trio.TooSlowError):
            # The leader logs the missing answer with its consequence.
            kind = _messages.AnswerKind.NO_ANSWER
        finally:
            self.n_open -= 1
        self._answer(
            leader_id,
            term,
            _messages.RelayAnswer(
                call.number, kind, clock_ms, rejection, report
            ),
        )
