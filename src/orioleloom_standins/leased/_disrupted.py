"""A simulated fleet whose links, workers and store have further faults.

Commands travel by themselves: one that was sent is carried out whatever
becomes of its sender, and it may be lost, or carried out late.
"""

import dataclasses
import enum
import typing

import trio

from orioleloom import dispatch
from orioleloom import node
from orioleloom_standins.leased import _fleet
from orioleloom_standins.leased import _worker
from orioleloom_standins.leased import _world

STORE = 'store'

# Range of the one-way latency, in which messages may overtake each other.
_LATENCY_RANGE_S = (0.0003, 0.003)
# Range of the delay before a late command is executed.
_LATE_DELAY_RANGE_S = (2.0, 12.0)
# Share of the calls that a lossy link loses, each way.
_LOSS = 1 / 3
_STORE_LATENCY_S = 0.004
_STORE_SLOWDOWN = 60


class LinkState(enum.Enum):
    """What a disrupted link delivers."""

    CUT = 'cut'
    # Only messages of the second endpoint arrive.
    MUTE = 'mute'
    # Only messages of the first endpoint arrive.
    DEAF = 'deaf'
    LOSSY = 'lossy'


@dataclasses.dataclass(frozen=True, eq=False)
class LinkFault:
    """Disruption of all links between two groups of endpoints."""

    one: frozenset[str]
    other: frozenset[str]
    state: LinkState


class DisruptedNetwork(_fleet.Network):
    """Network with link faults that begin and end independently."""

    def __init__(self, random_state: typing.Any) -> None:
        super().__init__()
        self.random_state = random_state
        # In the order in which they began, so that runs repeat.
        self.faults: list[LinkFault] = []

    def reaches(self, one: str, other: str) -> bool:
        """Return whether a message of the first endpoint arrives now."""
        for fault in self.faults:
            if one in fault.one and other in fault.other:
                is_sender_first = True
            elif other in fault.one and one in fault.other:
                is_sender_first = False
            else:
                continue
            match fault.state:
                case LinkState.CUT:
                    return False
                case LinkState.MUTE if is_sender_first:
                    return False
                case LinkState.DEAF if not is_sender_first:
                    return False
                case LinkState.LOSSY if self.random_state.random() < _LOSS:
                    return False
        return True


class LateLease(enum.Enum):
    """Lease of a command that is carried out late."""

    # It ends when the command says, on the worker's clock.
    AS_SENT = 'as_sent'
    # It lasts as long as if the command had arrived at once.
    FROM_ARRIVAL = 'from_arrival'


class _PeerSocket(_fleet.PeerSocket):
    """Socket whose connections can be reset, or deliver late."""

    def __init__(
        self, fleet: 'DisruptedFleet', instance_id: str, address: str
    ):
        super().__init__(fleet, instance_id, address)
        # Until when the frames to an address are queued.
        self.queued_until_s: dict[str, float] = {}

    def send(self, address: str, frame: bytes) -> bool:
        until_s = self.queued_until_s.get(address, 0.0)
        now_s = trio.current_time()
        if now_s < until_s:
            # The frames arrive even if the connection is replaced meanwhile.
            self.fleet.n_frames += 1
            self.fleet.call_after(
                until_s - now_s, lambda: self._deliver_late(address, frame)
            )
            return True
        return super().send(address, frame)

    def _deliver_late(self, address: str, frame: bytes) -> None:
        target = self.fleet.sockets.get(address)
        if target is not None and self.fleet.network.reaches(
            self.instance_id, target.instance_id
        ):
            target.deliver(self.instance_id, frame)

    def reset(self) -> None:
        """Lose what is on its way to this instance."""
        # The first frame is being received.
        while len(self._arrivals) > 1:
            self._arrivals.pop()


class _Store(_fleet.Store):
    """Client of a store that may be slow, silent, lossy or stale."""

    def __init__(self, fleet: 'DisruptedFleet', instance_id: str):
        super().__init__(fleet, instance_id)
        self.routing = _Table(self, 'routing')
        self.workers = _Table(self, 'workers')
        self.members = _Table(self, 'members')

    async def call(self) -> None:
        data = self.data
        await self.fleet.reach_pause_point(self.instance_id, 'store call sent')
        is_lost = not self.fleet.network.reaches(
            self.instance_id, STORE
        ) or not self.fleet.network.reaches(STORE, self.instance_id)
        await self.fleet.wait_unpaused(
            self.instance_id,
            trio.sleep,
            _STORE_LATENCY_S * (_STORE_SLOWDOWN if data.is_slow else 1),
        )
        if is_lost or data.is_silent:
            await self.fleet.wait_unpaused(
                self.instance_id, trio.sleep_forever
            )
        if (
            data.is_down
            or self.instance_id in data.rejected_instances
            or (data.is_lossy and self.fleet.random_state.random() < _LOSS)
        ):
            raise node.StoreError('store is down')


class _Table(_fleet.Table):
    """Table that may be stale, or have lost its history."""

    async def read(self) -> node.Snapshot:
        snapshot = await super().read()
        return self.store.data.stale.get(self.name, snapshot)

    async def changes(self, after: int, wait_s: float) -> node.Snapshot:
        data = self.store.data
        if self.name in data.stale:
            await self.store.call()
            await trio.sleep(wait_s)
            return node.Snapshot(data.stale[self.name].version, {})
        if after < data.first_version:
            await self.store.call()
            raise node.HistoryLostError('history lost')
        return await super().changes(after, wait_s)


class DisruptedStoreData(_fleet.StoreData):
    """Rows of the store, and further faults."""

    def __init__(self) -> None:
        super().__init__()
        self.is_slow = False
        self.is_silent = False
        self.is_lossy = False
        # Changes before this version are no longer known.
        self.first_version = 0
        # What reads return instead of the current rows, by table.
        self.stale: dict[str, node.Snapshot] = {}

    def become_stale(self) -> None:
        """Let reads return the rows of now."""
        for name, rows in self.tables.items():
            self.stale[name] = node.Snapshot(
                self.version,
                {k: v for k, (v, _) in rows.items() if v is not None},
            )

    def drop_history(self) -> None:
        """Forget all changes so far."""
        self.first_version = self.version


class _Gateway:
    """One instance's client of the workers.

    Requests and answers travel by themselves, so that a request that was sent
    arrives even if its sender dies or stops to wait.
    """

    def __init__(self, fleet: 'DisruptedFleet', instance_id: str):
        self.fleet = fleet
        self.instance_id = instance_id
        self.is_closed = False

    async def _call(
        self,
        name: str,
        info: dispatch.WorkerInfo,
        execute: typing.Callable[
            [_worker.LeasedWorker, float, float], typing.Any
        ],
        *,
        answer_later: typing.Callable[..., typing.Any] | None = None,
    ) -> typing.Any:
        """Send a request and return the answer, if there is one.

        :param execute: carries the request out, with the worker and the times
            of sending and of the delay
        :param answer_later: waits on the worker and returns the answer
        """
        fleet = self.fleet
        await fleet.reach_pause_point(self.instance_id, f'{name} sent')
        if self.is_closed:
            # The process was killed during the pause.
            await trio.sleep_forever()
        sent_s = trio.current_time()
        answered = trio.Event()
        answers: list[typing.Any] = []

        def return_answer(
            worker: _worker.LeasedWorker, answer: object
        ) -> None:
            if worker.is_reachable and fleet.network.reaches(
                worker.info.id, self.instance_id
            ):
                answers.append(answer)
                answered.set()

        async def serve(worker: _worker.LeasedWorker, delay_s: float) -> None:
            life = worker.info.life
            if delay_s:
                await trio.sleep(delay_s)
                if not worker.is_reachable or (
                    worker.info.life != life and not fleet.late_after_restart
                ):
                    return
            if worker.info.id != info.id:
                answer = dispatch.Rejection.OTHER_INCARNATION
            else:
                fleet.sync_world_clock()
                answer = execute(worker, sent_s, delay_s)
                if answer is None and answer_later is not None:
                    answer = await answer_later(worker)
            if delay_s or worker.info.life != life:
                return
            await trio.sleep(fleet.random_state.uniform(*_LATENCY_RANGE_S))
            return_answer(worker, answer)

        async def travel() -> None:
            await trio.sleep(fleet.random_state.uniform(*_LATENCY_RANGE_S))
            worker = fleet.worker_at(info.address)
            if (
                worker is None
                or not worker.is_reachable
                or not fleet.network.reaches(self.instance_id, worker.info.id)
            ):
                return
            is_late = fleet.random_state.random() < worker.late_share
            await serve(
                worker,
                fleet.random_state.uniform(*_LATE_DELAY_RANGE_S)
                if is_late
                else 0.0,
            )

        fleet.nursery.start_soon(travel)
        await fleet.wait_unpaused(self.instance_id, answered.wait)
        await fleet.reach_pause_point(self.instance_id, f'{name} answered')
        if isinstance(answers[0], dispatch.Rejection):
            raise node.RejectedError(answers[0])
        return answers[0]

    def _shift_ms(
        self,
        expires_ms: int | None,
        worker: _worker.LeasedWorker,
        delay_s: float,
    ) -> int | None:
        """Return the expiry of a command that was delayed."""
        if (
            expires_ms is None
            or self.fleet.late_lease is LateLease.AS_SENT
            or not delay_s
        ):
            return expires_ms
        return expires_ms + int(1000 * delay_s * worker.clock_rate)

    async def start(self, command: dispatch.StartRun) -> int:
        world = self.fleet.world

        def execute(
            worker: _worker.LeasedWorker, sent_s: float, delay_s: float
        ) -> dispatch.Rejection | int:
            now_s = trio.current_time()
            shifted = dataclasses.replace(
                command,
                expires_ms=self._shift_ms(command.expires_ms, worker, delay_s),
            )
            work = world.task_work[command.key]
            rejection = worker.start(
                shifted,
                work.work_s,
                world.task_rooms[command.key],
                work.is_poison,
                now_s,
            )
            self.fleet.starts.append(
                _fleet.ExecutedStart(
                    now_s,
                    self.instance_id,
                    worker.info.id,
                    command.key,
                    command.token,
                    rejection,
                )
            )
            if rejection is not None:
                return rejection
            world.origins.setdefault(
                (
                    worker.info.id,
                    worker.info.life,
                    command.key,
                    command.run_id,
                ),
                _world.RunOrigin(
                    self.instance_id, command.token, sent_s, now_s
                ),
            )
            world.check_duplicate_runs(worker)
            return worker.clock_ms(now_s)

        return await self._call('start', command.worker, execute)

    async def stop(self, command: dispatch.StopRun) -> None:
        def execute(
            worker: _worker.LeasedWorker, sent_s: float, delay_s: float
        ) -> bool:
            worker.stop(command, trio.current_time())
            return True

        await self._call('stop', command.worker, execute)

    async def report(
        self,
        info: dispatch.WorkerInfo,
        token: int,
        expires_ms: int | None,
        acked_through: int,
        wait_s: float,
    ) -> dispatch.WorkerReport:
        def execute(
            worker: _worker.LeasedWorker, sent_s: float, delay_s: float
        ) -> dispatch.Rejection | None:
            is_accepted = worker.hold(
                token,
                self._shift_ms(expires_ms, worker, delay_s),
                acked_through,
                trio.current_time(),
            )
            return None if is_accepted else dispatch.Rejection.FENCED

        async def answer_later(
            worker: _worker.LeasedWorker,
        ) -> dispatch.WorkerReport:
            deadline_s = trio.current_time() + wait_s
            while True:
                now_s = trio.current_time()
                worker.advance(now_s)
                if worker.ends or now_s >= deadline_s:
                    return worker.report(now_s)
                await trio.sleep_until(
                    min(deadline_s, worker.next_end_s() + 1e-6, now_s + 0.02)
                )

        return await self._call(
            'report', info, execute, answer_later=answer_later
        )

    async def can_connect(self, worker: dispatch.WorkerInfo) -> bool:
        await trio.sleep(self.fleet.random_state.uniform(*_LATENCY_RANGE_S))
        found = self.fleet.worker_at(worker.address)
        if (
            found is None
            or not found.is_reachable
            or not self.fleet.network.reaches(self.instance_id, found.info.id)
            or not self.fleet.network.reaches(found.info.id, self.instance_id)
        ):
            await trio.sleep_forever()
        return True


class DisruptedFleet(_fleet.Fleet):
    """Fleet with the faults of this module."""

    def __init__(
        self,
        nursery: trio.Nursery,
        workers: typing.Iterable[_worker.LeasedWorker],
        data_centres: typing.Sequence[str],
        *,
        random_state: typing.Any,
    ):
        super().__init__(
            nursery, workers, data_centres, random_state=random_state
        )
        self._gateways: dict[str, _Gateway] = {}
        self.late_lease = LateLease.AS_SENT
        # Commands that are still to be carried out late survive a restart of
        # the worker.
        self.late_after_restart = False
        self.network = DisruptedNetwork(random_state)
        rows = self.store.tables
        self.store = DisruptedStoreData()
        for name, table in rows.items():
            for key, (value, _) in table.items():
                self.store.put(name, key, value)

    def worker_at(self, address: str) -> _worker.LeasedWorker | None:
        """Return the worker that listens at an address."""
        for worker in self.workers.values():
            if worker.info.address == address:
                return worker
        return None

    async def wait_unpaused(
        self,
        instance_id: str,
        wait: typing.Callable[..., typing.Any],
        *args: typing.Any,
    ) -> None:
        """Wait; a time-out takes effect only when no pause is left."""
        try:
            await wait(*args)
        except trio.Cancelled:
            if instance_id in self.nodes:
                await self.pauses.wait(instance_id)
            raise

    def _new_store(self, instance_id: str) -> _Store:
        return _Store(self, instance_id)

    def _new_gateway(self, instance_id: str) -> _Gateway:
        gateway = self._gateways[instance_id] = _Gateway(self, instance_id)
        return gateway

    def kill(self, instance_id: str) -> None:
        """Stop an instance immediately, also during a pause."""
        if instance_id in self.nodes:
            self._gateways[instance_id].is_closed = True
            self.pauses.end(instance_id)
        super().kill(instance_id)

    def _new_peer_socket(self, instance_id: str, address: str) -> _PeerSocket:
        return _PeerSocket(self, instance_id, address)
