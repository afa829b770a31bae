"""Complete nodes in one process, with simulated network, store and workers.

The nodes run the product's code on trio's clock. With trio's mock clock, a
simulated minute takes a few seconds.
"""

import bisect
import collections
import collections.abc
import itertools
import random
import typing

import trio

from orioleloom import dispatch
from orioleloom import memory
from orioleloom import node
from orioleloom import peer_api
from orioleloom import timers
from orioleloom_standins.leased import _processor
from orioleloom_standins.leased import _worker
from orioleloom_standins.leased import _world

_LATENCY_S = 0.0005
_STORE_LATENCY_S = 0.004
_LATE_DELAY_RANGE_S = (2.0, 6.0)
# A connection that is opened or used during a partition delivers nothing for
# this long, unless its owner replaces it: the kernel repeats lost packets at
# growing intervals.
_STALLED_CONNECTION_S = 3.0
# Number of instances whose addresses are in the settings of all.
# Callers submit a job whose answer was lost again after this time.
_RESEND_S = 1.3
_N_SEEDS = 3
# Unix time at the start of the mock clock.
_START_UNIX_S = 1_750_000_000.0


def seed_scheduler(seed: int) -> None:
    """Make trio run the tasks that are ready in an order set by a seed.

    trio shuffles them with a private generator, so that a run would otherwise
    not repeat.
    """
    trio_run = trio._core._run
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)


def _peer_address(instance_id: str) -> str:
    return f'tcp://10.9.0.{instance_id[1:]}:7000'


class Network:
    """Reachability between instances, workers and the store.

    Instances and workers are named by their ids, the store by ``store``.
    """

    def __init__(self) -> None:
        self._cuts: set[frozenset[str]] = set()
        self._data_centres: dict[str, str] = {}
        self._cut_data_centres: set[str] = set()

    def set_data_centre(self, name: str, data_centre: str) -> None:
        """Set the data centre of an instance or worker."""
        self._data_centres[name] = data_centre

    def cut(self, one: str, other: str) -> None:
        """Block traffic between two endpoints."""
        self._cuts.add(frozenset((one, other)))

    def cut_data_centre(self, data_centre: str) -> None:
        """Block traffic between a data centre and all endpoints outside it."""
        self._cut_data_centres.add(data_centre)

    def heal(self) -> None:
        """Remove all partitions."""
        self._cuts.clear()
        self._cut_data_centres.clear()

    def reaches(self, one: str, other: str) -> bool:
        """Return whether two endpoints can reach each other."""
        if frozenset((one, other)) in self._cuts:
            return False
        zone, other_zone = (
            self._data_centres.get(one),
            self._data_centres.get(other),
        )
        return zone == other_zone or not (
            {zone, other_zone} & self._cut_data_centres
        )


class PlannedPause(typing.NamedTuple):
    """A pause of the leader's process, as by a frozen machine.

    :param point: place in the process at which the pause begins, one of
        :data:`PAUSE_POINTS`
    :param n_passes: number of times that the leader passes the place before
    :param duration_s: duration of the pause
    """

    point: str
    n_passes: int
    duration_s: float


# Each place where a process waits for something outside of it: before it sends
# a request, and when the answer has arrived.
PAUSE_POINTS = (
    'start sent',
    'start answered',
    'stop sent',
    'stop answered',
    'report sent',
    'report answered',
    'store call sent',
    'store call answered',
    'message received',
    'timer due',
)


class _Pauses:
    """Holds back everything that paused processes would receive or send."""

    def __init__(self) -> None:
        self.planned: PlannedPause | None = None
        self.on_begin: typing.Callable[[str], None] = lambda _: None
        self._n_passed = 0
        self._until_s: dict[str, float] = {}

    def begin(self, instance_id: str, duration_s: float) -> None:
        """Pause an instance."""
        self._until_s[instance_id] = trio.current_time() + duration_s
        self.on_begin(instance_id)

    def end(self, instance_id: str) -> None:
        """End the pause of an instance."""
        self._until_s.pop(instance_id, None)

    def is_paused(self, instance_id: str) -> bool:
        """Return whether an instance is paused."""
        return trio.current_time() < self._until_s.get(instance_id, 0.0)

    def pass_point(self, instance_id: str, point: str, leads: bool) -> None:
        """Begin the planned pause if this is its place."""
        planned = self.planned
        if planned is None or planned.point != point or not leads:
            return
        self._n_passed += 1
        if self._n_passed > planned.n_passes:
            self.planned = None
            self.begin(instance_id, planned.duration_s)

    async def wait(self, instance_id: str) -> None:
        """Wait until an instance is not paused.

        Time-outs expire during a pause, but take effect only afterwards.
        """
        with trio.CancelScope(shield=True):
            while self.is_paused(instance_id):
                await trio.sleep_until(self._until_s[instance_id])


class _TimerService(timers.TimerService):
    """Timer service of a process that may be paused."""

    def __init__(self, fleet: 'Fleet', instance_id: str):
        super().__init__(random_state=random.Random(1))
        self.fleet = fleet
        self.instance_id = instance_id
        # Timers that are due and wait for the processor.
        self._names_in_process: set[str] = set()

    def subscribe(
        self,
        name: str,
        interval_s: float,
        callback: typing.Callable[[], None],
        *,
        jitter: float = 0.0,
    ) -> None:
        def call_unless_paused() -> None:
            self.fleet.pass_pause_point(self.instance_id, 'timer due')
            if not self.fleet.pauses.is_paused(self.instance_id):
                callback()

        def call_when_processed() -> None:
            processor = self.fleet.processors.get(self.instance_id)
            if processor is None:
                call_unless_paused()
            elif name not in self._names_in_process:
                self._names_in_process.add(name)
                self.fleet.nursery.start_soon(
                    self._call_in_turn, processor, name, call_unless_paused
                )

        super().subscribe(name, interval_s, call_when_processed, jitter=jitter)

    async def _call_in_turn(
        self,
        processor: _processor.Processor,
        name: str,
        call: typing.Callable[[], None],
    ) -> None:
        await processor.process(0.0)
        self._names_in_process.discard(name)
        if self.fleet.processors.get(self.instance_id) is processor:
            call()


class PeerSocket:
    """In-memory replacement for :class:`orioleloom.peer_api.PeerSocket`.

    Implements only the methods that nodes use.
    """

    def __init__(self, fleet: 'Fleet', instance_id: str, address: str):
        self.fleet = fleet
        self.instance_id = instance_id
        self.address = address
        self._arrivals: collections.deque[tuple[float, str, bytes]] = (
            collections.deque()
        )
        self._arrived = trio.Event()
        self._stalled_until_s: dict[str, float] = {}
        fleet.sockets[address] = self

    def send(self, address: str, frame: bytes) -> bool:
        self.fleet.n_frames += 1
        processor = self.fleet.processors.get(self.instance_id)
        if processor is not None:
            processor.charge(processor.costs.send_s)
        peer_api.check_peer_address(address)
        target = self.fleet.sockets.get(address)
        now_s = trio.current_time()
        if target is None or not self.fleet.network.reaches(
            self.instance_id, target.instance_id
        ):
            self._stalled_until_s.setdefault(
                address, now_s + _STALLED_CONNECTION_S
            )
        elif now_s >= self._stalled_until_s.get(address, 0.0):
            self._stalled_until_s.pop(address, None)
            target.deliver(self.instance_id, frame)
        return True

    def deliver(self, sender: str, frame: bytes) -> None:
        """Deliver a frame to this socket after the network's latency."""
        self._arrivals.append(
            (trio.current_time() + _LATENCY_S, sender, frame)
        )
        self._arrived.set()

    async def _process_arrivals(self) -> int:
        """Wait for the processor and return how many frames it takes."""
        processor = self.fleet.processors.get(self.instance_id)
        if processor is None:
            return 1
        now_s = trio.current_time()
        n_frames = sum(
            1
            for due_s, _, _ in itertools.islice(
                self._arrivals, peer_api.FRAMES_PER_CHECKPOINT
            )
            if due_s <= now_s
        )
        await processor.process(n_frames * processor.costs.receive_s)
        return n_frames

    async def receive(self) -> collections.abc.AsyncIterator[bytes]:
        n_processed = 0
        while True:
            while self._arrivals:
                due_s, sender, frame = self._arrivals[0]
                if due_s > trio.current_time():
                    await trio.sleep_until(due_s)
                if not n_processed:
                    n_processed = await self._process_arrivals()
                n_processed -= 1
                self._arrivals.popleft()
                await self.fleet.reach_pause_point(
                    self.instance_id, 'message received'
                )
                if self.fleet.network.reaches(sender, self.instance_id):
                    yield frame
            self._arrived = trio.Event()
            await self._arrived.wait()

    def disconnect(self, address: str) -> None:
        """Replace the connection to a peer."""
        self._stalled_until_s.pop(address, None)

    def close(self) -> None:
        if self.fleet.sockets.get(self.address) is self:
            del self.fleet.sockets[self.address]


class Table:
    """One instance's view of a table in the simulated store."""

    def __init__(self, store: 'Store', name: str):
        self.store = store
        self.name = name

    async def read(self) -> node.Snapshot:
        await self.store.call()
        rows = self.store.data.tables.get(self.name, {})
        self.store.data.n_rows_read += len(rows)
        return node.Snapshot(
            self.store.data.version,
            {k: v for k, (v, _) in rows.items() if v is not None},
        )

    async def changes(self, after: int, wait_s: float) -> node.Snapshot:
        await self.store.call()
        deadline_s = trio.current_time() + wait_s
        while True:
            history = self.store.data.changes.get(self.name, [])
            first = bisect.bisect_right(
                history, after, key=lambda c: c.version
            )
            if first < len(history) or trio.current_time() >= deadline_s:
                end = first + self.store.data.max_rows_per_response
                version = (
                    self.store.data.version
                    if end >= len(history)
                    else history[end - 1].version
                )
                changes = history[first:end]
                await self.store.call()
                self.store.data.n_rows_read += len(changes)
                return node.Snapshot(
                    version,
                    {change.key: change.value for change in changes},
                    {c.key: c.version for c in changes if c.value is None},
                )
            with trio.move_on_at(deadline_s):
                await self.store.data.changed.wait()


class _Change(typing.NamedTuple):
    """A row that was written, or removed if its value is ``None``."""

    version: int
    key: str
    value: typing.Any


class StoreData:
    """Rows shared by all instances, and faults injected into the store."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, tuple[typing.Any, int]]] = {}
        self.changes: dict[str, list[_Change]] = {}
        self.version = 0
        self.changed = trio.Event()
        self.is_down = False
        self.n_rows_read = 0
        self.n_crash_writes = 0
        # Maximum number of changed rows in one response.
        self.max_rows_per_response = 500
        # Ids of instances whose calls fail.
        self.rejected_instances: set[str] = set()
        self.leader_heartbeat = ''

    def put(self, table: str, key: str, value: typing.Any) -> None:
        """Write a row; the value ``None`` deletes it."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = (value, self.version)
        self.changes.setdefault(table, []).append(
            _Change(self.version, key, value)
        )
        self.changed.set()
        self.changed = trio.Event()


class Store:
    """One instance's client of the simulated store."""

    def __init__(self, fleet: 'Fleet', instance_id: str):
        self.data = fleet.store
        self.fleet = fleet
        self.instance_id = instance_id
        self.routing = Table(self, 'routing')
        self.workers = Table(self, 'workers')
        self.members = Table(self, 'members')
        self.crashes = Table(self, 'crashes')

    async def call(self) -> None:
        """Simulate the latency and faults of a store call.

        Never returns if the network between instance and store is cut.

        :raises StoreError: the store is down or rejects this instance
        """
        await self.fleet.reach_pause_point(self.instance_id, 'store call sent')
        await trio.sleep(_STORE_LATENCY_S)
        await self.fleet.reach_pause_point(
            self.instance_id, 'store call answered'
        )
        if not self.fleet.network.reaches(self.instance_id, 'store'):
            await trio.sleep_forever()
        if (
            self.data.is_down
            or self.instance_id in self.data.rejected_instances
        ):
            raise node.StoreError('store is down')

    async def put_member(self, member: node.MemberInfo) -> None:
        """Write the membership row of an instance."""
        await self.call()
        self.data.put('members', member.instance_id, member)

    async def write_crashes(
        self, rows: typing.Mapping[str, list[node.CrashRow] | None]
    ) -> None:
        """Write or remove rows of crashes."""
        await self.call()
        self.data.n_crash_writes += 1
        for job_id, row in rows.items():
            self.data.put('crashes', job_id, row)

    async def write_leader_heartbeat(self, heartbeat: str) -> None:
        """Write the leader's heartbeat."""
        await self.call()
        self.data.leader_heartbeat = heartbeat

    async def read_leader_heartbeat(self) -> str:
        """Return the latest heartbeat of a leader."""
        await self.call()
        return self.data.leader_heartbeat


class _Gateway:
    """One instance's client of the simulated workers."""

    def __init__(self, fleet: 'Fleet', instance_id: str):
        self.fleet = fleet
        self.instance_id = instance_id

    async def _reach(self, worker_id: str) -> _worker.LeasedWorker:
        """Return a worker that receives a request.

        :raises RefusedError: the worker refuses connections
        """
        await trio.sleep(_LATENCY_S)
        worker = self.fleet.workers.get(worker_id)
        if (
            worker is None
            or not worker.is_reachable
            or not self.fleet.network.reaches(self.instance_id, worker_id)
        ):
            await trio.sleep_forever()
        if worker.is_closed():
            raise node.RefusedError(worker_id)
        return worker

    def _check_address(self, info: dispatch.WorkerInfo) -> None:
        """Check that no other worker uses a worker's address.

        :raises RejectedError: another worker answers there
        """
        if self.fleet.world.has_new_worker(info.id, info.address):
            raise node.RejectedError(dispatch.Rejection.OTHER_INCARNATION)

    async def _return_answer(self, worker_id: str) -> None:
        try:
            await self._reach(worker_id)
        except node.RefusedError as exc:
            raise node.ClosedError(worker_id) from exc

    async def _late(self, worker: _worker.LeasedWorker) -> None:
        if self.fleet.random_state.random() < worker.late_share:
            await trio.sleep(
                self.fleet.random_state.uniform(*_LATE_DELAY_RANGE_S)
            )

    def _charge_request(self) -> None:
        processor = self.fleet.processors.get(self.instance_id)
        if processor is not None:
            processor.charge(processor.costs.request_s)

    async def _process_answer(self) -> None:
        """Wait until the processor has come to an answer.

        A time-out that is due meanwhile has no effect: the event loop
        processes what has arrived first.
        """
        processor = self.fleet.processors.get(self.instance_id)
        if processor is not None:
            with trio.CancelScope(shield=True):
                await processor.process(processor.costs.answer_s)

    async def start(self, command: dispatch.StartRun) -> int:
        self._charge_request()
        await self.fleet.reach_pause_point(self.instance_id, 'start sent')
        self._check_address(command.worker)
        worker = await self._reach(command.worker.id)
        work = self.fleet.world.task_work[command.key]

        def execute() -> dispatch.Rejection | None:
            self.fleet.sync_world_clock()
            rejection = worker.start(
                command,
                work.work_s,
                self.fleet.world.task_rooms[command.key],
                work.is_poison,
                trio.current_time(),
            )
            self.fleet.starts.append(
                ExecutedStart(
                    trio.current_time(),
                    self.instance_id,
                    command.worker.id,
                    command.key,
                    command.token,
                    rejection,
                )
            )
            self.fleet.world.check_duplicate_runs(worker)
            if rejection is None:
                self.fleet.schedule_crash(worker, command.key, command.run_id)
            return rejection

        n_crashes = worker.n_crashes

        def execute_late() -> None:
            # A crash loses the commands that the worker has not executed.
            if worker.n_crashes == n_crashes:
                execute()

        if self.fleet.random_state.random() < worker.late_share:
            self.fleet.call_after(
                self.fleet.random_state.uniform(*_LATE_DELAY_RANGE_S),
                execute_late,
            )
            await trio.sleep_forever()
        rejection = execute()
        await self._return_answer(command.worker.id)
        await self._process_answer()
        await self.fleet.reach_pause_point(self.instance_id, 'start answered')
        if rejection is not None:
            raise node.RejectedError(rejection)
        return worker.clock_ms(trio.current_time())

    async def stop(self, command: dispatch.StopRun) -> None:
        self._charge_request()
        await self.fleet.reach_pause_point(self.instance_id, 'stop sent')
        worker = await self._reach(command.worker.id)
        worker.stop(command, trio.current_time())
        await self._return_answer(command.worker.id)
        await self._process_answer()
        await self.fleet.reach_pause_point(self.instance_id, 'stop answered')

    async def report(
        self,
        info: dispatch.WorkerInfo,
        token: int,
        expires_ms: int | None,
        acked_through: int,
        wait_s: float,
    ) -> dispatch.WorkerReport:
        self._charge_request()
        await self.fleet.reach_pause_point(self.instance_id, 'report sent')
        self._check_address(info)
        worker = await self._reach(info.id)
        if self.fleet.random_state.random() < worker.late_share:
            await trio.sleep_forever()
        now_s = trio.current_time()
        if not worker.hold(token, expires_ms, acked_through, now_s):
            await self._return_answer(info.id)
            raise node.RejectedError(dispatch.Rejection.FENCED)
        deadline_s = now_s + wait_s
        while True:
            if worker.is_closed():
                raise node.ClosedError(info.id)
            now_s = trio.current_time()
            worker.advance(now_s)
            if worker.ends or now_s >= deadline_s:
                break
            await trio.sleep_until(
                min(deadline_s, worker.next_end_s() + 1e-6, now_s + 0.02)
            )
        report = worker.report(trio.current_time())
        await self._return_answer(info.id)
        await self._process_answer()
        await self.fleet.reach_pause_point(self.instance_id, 'report answered')
        return report

    async def can_connect(self, worker: dispatch.WorkerInfo) -> bool:
        await self._reach(worker.id)
        return True


class ExecutedStart(typing.NamedTuple):
    """A start command that a worker has received.

    :param instance_id: sender of the command
    :param rejection: why the worker refused it, or ``None``
    """

    time_s: float
    instance_id: str
    worker_id: str
    key: dispatch.TaskKey
    token: int
    rejection: dispatch.Rejection | None


class Fleet:
    """Simulated site with instances, workers and a store.

    :param nursery: runs the instances
    :param data_centres: data centre of each instance ``e0``, ``e1``, ...
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        workers: typing.Iterable[_worker.LeasedWorker],
        data_centres: typing.Sequence[str],
        *,
        random_state: random.Random,
    ):
        self.nursery = nursery
        self.random_state = random_state
        self.network = Network()
        self.store = StoreData()
        self.sockets: dict[str, PeerSocket] = {}
        self.world = _world.World(workers, random_state)
        self.workers = self.world.workers
        self.nodes: dict[str, node.Node] = {}
        self.outcomes: dict[str, dispatch.Outcome] = {}
        # Rank in the leader election by instance id; 1 if absent.
        self.ranks: dict[str, float] = {}
        # Offset of the wall clock by instance id.
        self.clock_errors_s: dict[str, float] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._n_starts = 0
        self.pauses = _Pauses()
        # Processor time of events by instance id; none is charged without.
        self.processors: dict[str, _processor.Processor] = {}
        self.processor_costs: _processor.Costs | None = None
        # Budgets of the instances; the default one for those without.
        self.memory_budgets: dict[str, memory.Budget] = {}
        self.starts: list[ExecutedStart] = []
        # Times of the crashes by tasks.
        self.crash_log: list[tuple[float, dispatch.TaskKey]] = []
        # Messages between instances, for tests of their cost.
        self.n_frames = 0
        self._data_centres = {
            f'e{number}': name for number, name in enumerate(data_centres)
        }
        for worker in self.workers.values():
            self.network.set_data_centre(
                worker.info.id, worker.info.data_centre
            )
            self.store.put('workers', worker.info.id, worker.info)

    def schedule_crash(
        self, worker: _worker.LeasedWorker, key: dispatch.TaskKey, run_id: int
    ) -> None:
        """Let a task that was started crash its worker, if it does so."""
        after_s = self.world.task_work[key].crash_after_s
        if after_s is None:
            return
        # A fast worker must not finish the task before.
        after_s = worker.limit_to_run(key, after_s, trio.current_time())

        def crash() -> None:
            if (key, run_id) in worker.running():
                self.crash_log.append((trio.current_time(), key))
                self.crash_worker(worker.info.id, takes_new_id=True)

        self.call_after(after_s, crash)

    def crash_worker(
        self, worker_id: str, *, takes_new_id: bool = False
    ) -> None:
        """Crash a worker, which is back some seconds later.

        :param takes_new_id: whether it comes back as another worker at the
            same address
        """
        worker = self.workers[worker_id]
        if not worker.is_up:
            return
        worker.crash_process(trio.current_time())

        def bring_back() -> None:
            if takes_new_id:
                del self.workers[worker_id]
                worker.info = worker.info._replace(id=f'{worker_id}+')
                self.workers[worker.info.id] = worker
                self.network.set_data_centre(
                    worker.info.id, worker.info.data_centre
                )
            worker.restart(trio.current_time())
            self.call_after(_world.LIST_LAG_S, update_list)

        def update_list() -> None:
            if worker.info.id != worker_id:
                self.store.put('workers', worker_id, None)
            self.store.put('workers', worker.info.id, worker.info)

        self.call_after(_world.RESTART_DELAY_S, bring_back)

    def sync_world_clock(self) -> None:
        """Copy trio's time to the world that checks the invariants."""
        self.world.now_s = trio.current_time()

    def pass_pause_point(self, instance_id: str, point: str) -> None:
        """Begin the planned pause of the leader if this is its place."""
        instance = self.nodes.get(instance_id)
        leads = instance is not None and instance.leader is not None
        self.pauses.pass_point(instance_id, point, leads)

    async def reach_pause_point(self, instance_id: str, point: str) -> None:
        """Wait at a place in a process for as long as it is paused."""
        self.pass_pause_point(instance_id, point)
        await self.pauses.wait(instance_id)

    def call_after(self, delay_s: float, call: typing.Callable) -> None:
        """Call a function after a delay."""

        async def run() -> None:
            await trio.sleep(delay_s)
            call()

        self.nursery.start_soon(run)

    def start(self, *instance_ids: str) -> None:
        """Start the given instances, or all if none are given."""
        for instance_id in instance_ids or self._data_centres:
            self.nursery.start_soon(self._run, instance_id)

    def _new_store(self, instance_id: str) -> Store:
        return Store(self, instance_id)

    def _new_gateway(self, instance_id: str) -> typing.Any:
        return _Gateway(self, instance_id)

    def _new_peer_socket(self, instance_id: str, address: str) -> PeerSocket:
        return PeerSocket(self, instance_id, address)

    async def _run(self, instance_id: str) -> None:
        data_centre = self._data_centres[instance_id]
        address = _peer_address(instance_id)
        self.network.set_data_centre(instance_id, data_centre)
        random_state = random.Random(self.random_state.random())
        service = _TimerService(self, instance_id)
        self._n_starts += 1
        loop_monitor = node.LoopMonitor()
        if self.processor_costs is not None:
            self.processors[instance_id] = _processor.Processor(
                self.processor_costs, loop_monitor
            )
        instance = node.Node(
            settings=node.Settings(
                instance_id,
                data_centre,
                address,
                self.ranks.get(instance_id, 1.0),
                tuple(
                    _peer_address(name)
                    for name in list(self._data_centres)[:_N_SEEDS]
                ),
                resend_after_s=_RESEND_S,
            ),
            store=self._new_store(instance_id),
            gateway=self._new_gateway(instance_id),
            timer_service=service,
            peer_socket=self._new_peer_socket(instance_id, address),
            wall_time=lambda: (
                _START_UNIX_S
                + trio.current_time()
                + self.clock_errors_s.get(instance_id, 0.0)
            ),
            random_state=random_state,
            incarnation=f'{self._n_starts}',
            loop_monitor=loop_monitor,
            memory_budget=self.memory_budgets.get(instance_id),
        )
        self.nodes[instance_id] = instance
        with trio.CancelScope() as scope:
            self._scopes[instance_id] = scope
            await instance.run()

    def kill(self, instance_id: str) -> None:
        """Stop an instance immediately, as in a crash."""
        instance = self.nodes.pop(instance_id, None)
        if instance is not None:
            self._scopes.pop(instance_id).cancel()
            instance.close()

    def leaders(self) -> list[str]:
        """Return the ids of the instances that are leaders."""
        return [k for k, n in self.nodes.items() if n.leader is not None]

    def submit(
        self,
        instance_id: str,
        job: dispatch.Job,
        work_s: list[float],
        deadline_s: float = 5.0,
    ) -> None:
        """Submit a job to an instance and record its outcome."""
        self.world.declare(job, work_s)
        self.submit_declared(instance_id, job, deadline_s)

    def submit_declared(
        self, instance_id: str, job: dispatch.Job, deadline_s: float
    ) -> None:
        """Submit a job whose tasks are known to the simulated workers."""
        now_s = trio.current_time()
        self.nodes[instance_id].submit(
            job,
            arrived_s=now_s,
            deadline_s=now_s + deadline_s,
            on_outcome=lambda outcome: self.outcomes.__setitem__(
                job.id, outcome
            ),
        )


def new_fleet(
    nursery: trio.Nursery,
    data_centres: typing.Sequence[str],
    *,
    workers: typing.Iterable[_worker.LeasedWorker],
    seed: int = 1,
) -> Fleet:
    """Return a fleet with a configuration, whose runs repeat by seed.

    :param data_centres: data centre of each instance
    """
    seed_scheduler(seed)
    fleet = Fleet(
        nursery, workers, data_centres, random_state=random.Random(seed)
    )
    fleet.store.put('routing', 'config', node.Routing(1, ()))
    return fleet
