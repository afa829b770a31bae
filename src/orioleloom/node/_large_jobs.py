import collections
import typing

import trio

from orioleloom import dispatch
from orioleloom import leadership
from orioleloom.node import _messages
from orioleloom.node import _pending


class LargeJobs:
    """Large jobs of callers here, for which the leader must have memory.

    A follower asks the leader for memory before it submits such a job, if
    that leader answers these requests. A leader takes over its own large jobs
    one in a turn of the event loop.

    :param elector: leader election of this instance
    :param pending: jobs whose callers are connected to this instance, by id
    :param send: queues a message to an instance
    :param submit: submits a job to the present leader
    :param end: ends a job with an outcome
    """

    def __init__(
        self,
        *,
        elector: leadership.Elector,
        pending: typing.Mapping[str, _pending.PendingJob],
        send: typing.Callable[[str, _messages.Message], None],
        submit: typing.Callable[[_pending.PendingJob, float], None],
        end: typing.Callable[[str, dispatch.Outcome], None],
    ):
        self.elector = elector
        self.pending = pending
        self.send = send
        self.submit = submit
        self.end = end
        # Id and term of the latest leader that answers requests for memory.
        self.answering_leader: tuple[str, int] | None = None
        # Jobs that this instance is about to lead.
        self._led_ids: collections.deque[str] = collections.deque()
        self._has_led_ids = trio.Event()

    def defer(self, pending: _pending.PendingJob, session: int) -> bool:
        """Return whether a job must wait before it can be submitted.

        It is submitted as soon as the leader has memory for it. If a request
        is lost, the next call repeats it.

        :param session: number of the present contact with the leader
        """
        leader = self._known_leader()
        if not pending.is_large() or pending.room_leader == leader:
            return False
        match self.elector.role:
            case leadership.Role.LEADING:
                self._led_ids.append(pending.job.id)
                self._has_led_ids.set()
                return True
            case leadership.Role.FOLLOWING if self.answering_leader == leader:
                self._request_room(pending, session)
                return True
            case _:
                return False

    def _request_room(
        self, pending: _pending.PendingJob, session: int
    ) -> None:
        self.send(
            self.elector.leader_id,
            _messages.RoomRequest(
                self.elector.term,
                session,
                pending.job.id,
                pending.led_bytes(),
                pending.was_submitted,
            ),
        )

    def handle_reply(
        self,
        sender_id: str,
        message: _messages.RoomReply,
        session: int,
        now_s: float,
    ) -> None:
        """Submit or end the job for which memory was requested."""
        leader = (sender_id, message.term)
        if leader != self._known_leader():
            return
        pending = self.pending.get(message.job_id)
        if pending is None:
            if message.refusal is None:
                # The caller has left.
                self.send(
                    sender_id,
                    _messages.CancelJob(message.term, session, message.job_id),
                )
        elif pending.assigned_leader == leader:
            # The job has been sent since.
            pass
        elif message.refusal is None:
            pending.room_leader = leader
            self.submit(pending, now_s)
        else:
            self.end(message.job_id, message.refusal)

    async def run(self) -> None:
        """Submit large jobs to the own leader, one in a turn of the loop."""
        while True:
            await self._has_led_ids.wait()
            while self._led_ids:
                pending = self.pending.get(self._led_ids.popleft())
                if (
                    pending is not None
                    and self.elector.role is leadership.Role.LEADING
                    and pending.assigned_leader != self._known_leader()
                ):
                    self.submit(pending, trio.current_time())
                    await trio.lowlevel.checkpoint()
            self._has_led_ids = trio.Event()

    def _known_leader(self) -> tuple[str, int]:
        return self.elector.leader_id, self.elector.term
