import collections
import typing

import trio

from orioleloom import dispatch
from orioleloom import leadership
from orioleloom.node import _messages
from orioleloom.node import _pending

# Share of the limit of a process's memory that submissions of all followers
# may take in the leader's socket. Their own limit stands for the leader's.
_UNREAD_SHARE = 1 / 8


class RoomRequests:
    """Decides which jobs wait until the leader has memory for them.

    A follower asks the leader for memory before it submits a large job. Small
    jobs wait while too many submissions may still be in the leader's socket.
    Messages arrive in the order in which they are sent, so that an answer to
    one shows that all before it have been read. If no answer is due, the
    first of the waiting jobs asks for memory, too.

    A leader takes over its own large jobs one in a turn of the event loop.

    :param elector: leader election of this instance
    :param pending: jobs whose callers are connected to this instance, by id
    :param limit_bytes: limit of the memory of jobs and requests in a process
    :param count_instances: returns the number of known instances
    :param session: returns the number of the present contact with the leader
    :param send: queues a message to an instance
    :param submit: submits a job to the present leader
    :param end: ends a job with an outcome
    """

    def __init__(
        self,
        *,
        elector: leadership.Elector,
        pending: typing.Mapping[str, _pending.PendingJob],
        limit_bytes: int,
        count_instances: typing.Callable[[], int],
        session: typing.Callable[[], int],
        send: typing.Callable[[str, _messages.Message], typing.Any],
        submit: typing.Callable[[_pending.PendingJob, float], None],
        end: typing.Callable[[str, dispatch.Outcome], None],
    ):
        self.elector = elector
        self.pending = pending
        self.limit_bytes = limit_bytes
        self.count_instances = count_instances
        self.session = session
        self.send = send
        self.submit = submit
        self.end = end
        # Id and term of the latest leader that answers the requests.
        self.answering_leader: tuple[str, int] | None = None
        # Submissions without a request: to which leader, how many bytes in
        # all, and how many of them are known to have been read.
        self._receiver: tuple[str, int] | None = None
        self._sent_bytes = 0
        self._read_bytes = 0
        # Jobs without an answer, and the bytes sent until the request or the
        # submission of each, in ascending order.
        self._sent_until: dict[str, int] = {}
        # Small jobs that wait, in order, and the one of them that has asked.
        self._waiting_ids: dict[str, None] = {}
        self._asking_id = ''
        # Large jobs that this instance is about to lead.
        self._led_ids: collections.deque[str] = collections.deque()
        self._has_led_ids = trio.Event()

    def defer(self, pending: _pending.PendingJob) -> bool:
        """Return whether a job must wait before it can be submitted.

        It is submitted as soon as possible. If a request is lost, the next
        call for the same job repeats it.
        """
        leader = self._known_leader()
        if pending.room_leader == leader:
            return False
        match self.elector.role:
            case leadership.Role.LEADING if pending.is_large():
                self._led_ids.append(pending.job.id)
                self._has_led_ids.set()
                return True
            case leadership.Role.FOLLOWING if self.answering_leader == leader:
                self._follow(leader)
                return self._defer_to_leader(pending)
            case _:
                return False

    def _defer_to_leader(self, pending: _pending.PendingJob) -> bool:
        job_id = pending.job.id
        if pending.is_large():
            self._ask(pending)
        elif self._is_window_full():
            self._waiting_ids[job_id] = None
            if (
                self._asking_id == job_id
                or self._asking_id not in self._waiting_ids
                or self._asking_id not in self.pending
            ):
                self._asking_id = job_id
                self._ask(pending)
        else:
            return False
        return True

    def record_submission(
        self, pending: _pending.PendingJob, n_bytes: int
    ) -> None:
        """Count a job that was sent to the present leader.

        :param n_bytes: size of the message
        """
        leader = self._known_leader()
        self._follow(leader)
        job_id = pending.job.id
        if pending.room_leader != leader:
            self._sent_bytes += n_bytes
        self._waiting_ids.pop(job_id, None)
        self._sent_until.pop(job_id, None)
        self._sent_until[job_id] = self._sent_bytes

    def record_answer(
        self, leader: tuple[str, int], job_id: str, now_s: float
    ) -> None:
        """Use a leader's answer to the submission of a job."""
        if leader == self._receiver:
            self._record_read(job_id)
            self._submit_waiting(leader, now_s)

    def _record_read(self, job_id: str) -> None:
        """Record that the leader has read the last message about a job."""
        self._read_bytes = max(
            self._read_bytes, self._sent_until.pop(job_id, 0)
        )
        while self._sent_until:
            first_id, n_bytes = next(iter(self._sent_until.items()))
            if n_bytes > self._read_bytes:
                break
            del self._sent_until[first_id]

    def _submit_waiting(self, leader: tuple[str, int], now_s: float) -> None:
        if leader != self._known_leader():
            return
        for job_id in list(self._waiting_ids):
            pending = self.pending.get(job_id)
            if pending is None:
                # The caller has left.
                del self._waiting_ids[job_id]
            elif not self._is_window_full():
                self.submit(pending, now_s)
            else:
                self._defer_to_leader(pending)
                break

    def _is_window_full(self) -> bool:
        window_bytes = (
            self.limit_bytes * _UNREAD_SHARE / self.count_instances()
        )
        return self._sent_bytes - self._read_bytes >= window_bytes

    def _follow(self, leader: tuple[str, int]) -> None:
        if leader != self._receiver:
            self._receiver = leader
            self._sent_bytes = self._read_bytes = 0
            self._sent_until.clear()
            self._waiting_ids.clear()

    def _ask(self, pending: _pending.PendingJob) -> None:
        # If the request is a repeated one, the reply may be to the first.
        self._sent_until.setdefault(pending.job.id, self._sent_bytes)
        self.send(
            self.elector.leader_id,
            _messages.RoomRequest(
                self.elector.term,
                self.session(),
                pending.job.id,
                pending.led_bytes(),
                pending.was_submitted,
            ),
        )

    def handle_reply(
        self, sender_id: str, message: _messages.RoomReply, now_s: float
    ) -> None:
        """Submit or end the job for which memory was requested."""
        leader = (sender_id, message.term)
        if leader != self._known_leader():
            return
        self._follow(leader)
        self._record_read(message.job_id)
        pending = self.pending.get(message.job_id)
        if pending is None:
            if message.refusal is None:
                # The caller has left.
                self.send(
                    sender_id,
                    _messages.CancelJob(
                        message.term, self.session(), message.job_id
                    ),
                )
        elif pending.assigned_leader == leader:
            # The job has been sent since.
            pass
        elif message.refusal is None:
            pending.room_leader = leader
            self.submit(pending, now_s)
        else:
            self.end(message.job_id, message.refusal)
        self._submit_waiting(leader, now_s)

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
