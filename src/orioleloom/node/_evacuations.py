import typing

import trio

from orioleloom import dispatch
from orioleloom.node import _log
from orioleloom.node import _messages
from orioleloom.node import _ports

# A process that has rows from a peer only starts no task before this age. By
# then its first read of the store has succeeded or timed out.
_MIN_AGE_WITHOUT_STORE_S = 1.0
# A leader repeats its rows to its followers at this interval while a data
# centre is evacuated, since a message may be lost.
_REPEAT_INTERVAL_S = 1.0
# A follower repeats its rows with each heartbeat of a leader without them, and
# after so many with one in ten: an earlier build logs each unknown message.
_N_QUICK_REPORTS = 10
_SLOW_REPORT_RATIO = 10


class Rows(typing.NamedTuple):
    """Evacuated data centres at one version of the store.

    :param version: 0 if they are not known
    """

    version: int = 0
    data_centres: frozenset[str] = frozenset()


class Evacuations:
    """An instance's knowledge of which data centres are evacuated.

    It comes from the store or from a peer, whichever has the newer version.

    :param send: queues a message to an instance
    :param on_change: called with the data centres in which nothing may start,
        or ``None`` while they are not known
    """

    def __init__(
        self,
        *,
        send: typing.Callable[[str, _messages.Message], None],
        on_change: typing.Callable[[frozenset[str] | None], None],
        now_s: float,
    ):
        self.send = send
        self.on_change = on_change
        self.rows = Rows()
        self.in_force: frozenset[str] | None = None
        self._started_s = now_s
        self._store_rows = Rows()
        # The leader that this instance follows, and what it has last said.
        self._leader: tuple[str, int] | None = None
        self._leader_rows: Rows | None = None
        self._n_reports = 0
        # What this instance has last said to its followers, as a leader.
        self._announced: dict[str, frozenset[str]] = {}
        self._announced_s = -1e9

    # Rows

    def use_store_rows(
        self, data_centres: frozenset[str], version: int
    ) -> None:
        """Use the rows of the store, unless a peer has sent newer ones."""
        self._store_rows = Rows(version, data_centres)
        if version >= self.rows.version:
            self._use(self._store_rows, 'store')
        self._update_in_force()

    def confirm(self, version: int) -> None:
        """Record that the rows of the store are unchanged at a version."""
        if version:
            self.use_store_rows(self._store_rows.data_centres, version)
        else:
            self._update_in_force()

    def _use(self, rows: Rows, source: str) -> None:
        earlier, self.rows = self.rows, rows
        for event_name, data_centres in (
            ('evacuation_began', rows.data_centres - earlier.data_centres),
            ('evacuation_ended', earlier.data_centres - rows.data_centres),
        ):
            for data_centre in sorted(data_centres):
                _log.log(
                    event_name,
                    data_centre=data_centre,
                    source=source,
                    store_version=rows.version,
                    earlier_version=earlier.version,
                )

    def _update_in_force(self) -> None:
        is_known = self._store_rows.version or (
            self.rows.version
            and trio.current_time() - self._started_s
            >= _MIN_AGE_WITHOUT_STORE_S
        )
        in_force = self.rows.data_centres if is_known else None
        if in_force != self.in_force:
            self.in_force = in_force
            self.on_change(in_force)

    # Messages

    def send_rows(self, member_id: str, *, wants_answer: bool = False) -> None:
        """Tell an instance which data centres are evacuated."""
        self.send(
            member_id,
            _messages.Evacuations(
                self.rows.version,
                sorted(self.rows.data_centres),
                wants_answer,
            ),
        )

    def handle_message(
        self, sender_id: str, message: _messages.Evacuations
    ) -> None:
        """Use what a peer knows if it is newer."""
        rows = Rows(message.version, frozenset(message.data_centres))
        if rows.version > self.rows.version:
            self._use(rows, sender_id)
            self._update_in_force()
        if self._leader is not None and sender_id == self._leader[0]:
            self._leader_rows = rows
        if message.wants_answer:
            self.send_rows(sender_id)

    def answer_probe(self, member_id: str) -> None:
        """Tell an instance that may lead soon, if there is anything to tell.

        It would otherwise start tasks before the first reports to it arrive.
        """
        if self.rows.data_centres:
            self.send_rows(member_id)

    def report_to(self, leader: tuple[str, int]) -> None:
        """Tell the leader what it does not know, with each heartbeat.

        :param leader: id and term of the leader
        """
        if leader != self._leader:
            self._leader, self._leader_rows = leader, None
            self._n_reports = 0
        known = self._leader_rows or Rows()
        if self.rows.version <= known.version or (
            self.rows.data_centres == known.data_centres
            and (self._leader_rows is None or known.version)
        ):
            self._n_reports = 0
            return
        self._n_reports += 1
        if (
            self._n_reports <= _N_QUICK_REPORTS
            or self._n_reports % _SLOW_REPORT_RATIO == 0
        ):
            self.send_rows(leader[0], wants_answer=True)

    def begin_leading(self) -> None:
        """Forget what an earlier leadership of this instance has sent."""
        self._announced.clear()

    def announce(self, member_ids: typing.Iterable[str], now_s: float) -> None:
        """Tell the followers what has changed, with each heartbeat."""
        data_centres = self.rows.data_centres
        must_repeat = bool(data_centres) and (
            now_s - self._announced_s >= _REPEAT_INTERVAL_S
        )
        if must_repeat:
            self._announced_s = now_s
        for member_id in member_ids:
            if must_repeat or self._announced.get(member_id) != data_centres:
                self._announced[member_id] = data_centres
                self.send_rows(member_id)


class Gateway:
    """Client of the workers that starts nothing in evacuated data centres.

    A start is decided and sent in different turns of the event loop, between
    which an evacuation may begin.
    """

    def __init__(
        self, gateway: _ports.WorkerGateway, evacuations: Evacuations
    ):
        self.gateway = gateway
        self.evacuations = evacuations

    async def start(self, command: dispatch.StartRun) -> int:
        """Start a run and return the worker's clock, in milliseconds."""
        in_force = self.evacuations.in_force
        if in_force is None or command.worker.data_centre in in_force:
            raise _ports.RejectedError(dispatch.Rejection.EVACUATED)
        return await self.gateway.start(command)

    def __getattr__(self, name: str) -> typing.Any:
        # The other requests go on while a data centre is evacuated.
        return getattr(self.gateway, name)
