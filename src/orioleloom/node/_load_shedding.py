import typing

from orioleloom import dispatch
from orioleloom.node import _messages

# Reason of the outcome of a job that an instance refuses by the leader's
# figures.
EXPECTED_WAIT = 'expected wait too long'
# An older figure says nothing about the workers any more.
_MAX_AGE_S = 0.5
# A job is refused only if this share of the expected wait is too long for it.
# The leader may still serve it otherwise.
_MARGIN = 0.5


class LoadShedding:
    """Refuses new jobs by the waits that the leader expects.

    A job is refused without a message to the leader if it has not been sent
    to any. Without a recent figure of the present leader, none is.
    """

    def __init__(self) -> None:
        self._leader: tuple[str, int] | None = None
        self._waits_s: dict[str, float] = {}
        self._received_s = 0.0

    def handle_waits(
        self,
        leader: tuple[str, int],
        message: _messages.ExpectedWaits,
        now_s: float,
    ) -> None:
        """Use the figures of a leader.

        :param leader: its instance and term
        """
        self._leader = leader
        self._waits_s = message.waits_s
        self._received_s = now_s

    def find_wait_s(
        self,
        queue: str,
        leader: tuple[str, int] | None,
        now_s: float,
    ) -> float | None:
        """Return for how long a job would certainly wait, if it is known.

        :param leader: instance and term of the leader that is followed
        """
        age_s = now_s - self._received_s
        if leader is None or leader != self._leader or age_s > _MAX_AGE_S:
            return None
        wait_s = self._waits_s.get(queue)
        return None if wait_s is None else _MARGIN * wait_s - age_s

    def refusal(
        self,
        job: dispatch.Job,
        latest_useful_start_s: float,
        leader: tuple[str, int] | None,
        now_s: float,
    ) -> float | None:
        """Return the Retry-After of a job to refuse, without random part.

        :param latest_useful_start_s: until when a start is of use
        :returns: seconds, or ``None`` if the job is to be sent to the leader
        """
        wait_s = self.find_wait_s(job.queue.name, leader, now_s)
        if wait_s is None or now_s + wait_s <= latest_useful_start_s:
            return None
        return self._waits_s[job.queue.name]


class WaitSender:
    """Sends the expected waits of a leader to its followers.

    They are sent while jobs wait for workers, and once when none does any
    more.

    :param send: queues a message to an instance
    """

    def __init__(
        self,
        send: typing.Callable[[str, _messages.Message], None],
        term: int,
    ) -> None:
        self.send = send
        self.term = term
        self._was_sent = False

    def send_waits(
        self,
        admission: typing.Any,
        member_ids: typing.Iterable[str],
    ) -> None:
        """Send the present figures, if there are any or there have been.

        :param member_ids: the followers in contact
        """
        waits_s = admission.expected_waits_s()
        if not waits_s and not self._was_sent:
            return
        self._was_sent = bool(waits_s)
        message = _messages.ExpectedWaits(self.term, waits_s)
        for member_id in member_ids:
            self.send(member_id, message)
