import collections.abc
import typing

from orioleloom import engine
from orioleloom import model
from orioleloom_standins._worker import LedgerEntry
from orioleloom_standins._worker import Run
from orioleloom_standins._worker import Worker
from orioleloom_standins.virtual._clock import Clock
from orioleloom_standins.virtual._network import Network

# Delay between a result line and its duplicate.
LINE_DUPLICATE_DELAY_S = 0.5

Post: typing.TypeAlias = collections.abc.Callable[[engine.Event], None]
OnLine: typing.TypeAlias = collections.abc.Callable[
    [model.ResultLine | None, str], None
]
OnStep: typing.TypeAlias = collections.abc.Callable[[str], None]


class WorkerSpec(typing.NamedTuple):
    """Configuration of a simulated worker."""

    id: str
    speed: float = 1.0
    slots: int = 8
    rack: str = 'r0'
    data_centre: str = 'dc0'
    upstream: str = 'crews'
    connections: int = 64

    def member(
        self, state: model.MemberState = model.MemberState.LIVE
    ) -> model.Member:
        """Return its row in the platform's member list."""
        return model.Member(
            self.id,
            model.Role.WORKER,
            state,
            self.data_centre,
            f'http://{self.id}',
            upstream=self.upstream,
            slots=self.slots,
            connections=self.connections,
            rack=self.rack,
        )


class Workers:
    """Simulated workers and the exchanges with them.

    ``dead`` and ``stalled`` hold the ids of workers with these faults: a
    dead worker refuses connections, a stalled one accepts tasks but never
    starts or answers them. ``orphaned_at_s`` maps the key of a task to the
    time at which its sender died or treated its outcome as unknown; the
    task may still be running. ``on_start`` is called with the entry id,
    the worker id and the task key at each start.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        network: Network,
        specs: collections.abc.Iterable[WorkerSpec],
    ):
        self.clock = clock
        self.network = network
        self.specs = {spec.id: spec for spec in specs}
        self.by_id = {
            spec.id: Worker(
                worker_id=spec.id, slots=spec.slots, speed=spec.speed
            )
            for spec in self.specs.values()
        }
        self.dead: set[str] = set()
        self.stalled: set[str] = set()
        self.orphaned_at_s: dict[str, float] = {}
        self.on_start: collections.abc.Callable[[str, str, str], None] | None
        self.on_start = None
        self._line_callbacks: dict[tuple[str, int], OnLine] = {}

    def ledger(self) -> list[LedgerEntry]:
        """Return the ledger entries of all workers."""
        return [
            entry
            for worker in self.by_id.values()
            for entry in worker.ledger.entries
        ]

    def kill(self, worker_id: str) -> None:
        """Kill a worker and the tasks that it runs."""
        self.dead.add(worker_id)
        self.by_id[worker_id].running.clear()

    def offer(
        self,
        entry_id: str,
        effect: engine.SendTasks,
        post: Post,
        on_step: OnStep,
    ) -> None:
        """Simulate an exchange that sends tasks to a worker.

        :param post: passes an event to the process that sent the tasks
        :param on_step: called when a task starts and when it is half done
        """
        worker_id = effect.worker_id
        link_s = self.network.delay_s(entry_id, worker_id)

        def end_exchange(may_have_started: bool) -> None:
            event = engine.ExchangeEnded(
                effect.exchange_id, may_have_started, 'fault'
            )
            self.clock.at(link_s, lambda: post(event))

        if worker_id in self.dead or self.network.is_cut(entry_id, worker_id):
            end_exchange(False)
            return
        pending_keys = {task.key for task in effect.tasks}

        def on_line(found: model.ResultLine | None, key: str) -> None:
            lost = worker_id in self.dead or self.network.is_cut(
                entry_id, worker_id
            )
            if found is None or lost:
                return
            pending_keys.discard(key)
            event = engine.LineReceived(effect.exchange_id, found)
            self.clock.at(link_s, lambda: post(event))
            if self.network.duplicates_line():
                self.clock.at(LINE_DUPLICATE_DELAY_S, lambda: post(event))
            if not pending_keys:
                end_exchange(True)

        def on_lease_end() -> None:
            if pending_keys:
                end_exchange(True)
            for key in pending_keys:
                self.orphaned_at_s.setdefault(key, self.clock.now_s)

        self.clock.at(effect.lease_s, on_lease_end)
        for task in effect.tasks:
            if worker_id not in self.stalled:
                self._run(entry_id, worker_id, task, on_line, on_step)

    def _run(
        self,
        entry_id: str,
        worker_id: str,
        task: engine.SentTask,
        on_line: OnLine,
        on_step: OnStep,
    ) -> None:
        on_step('start')
        if worker_id in self.dead:
            return
        worker = self.by_id[worker_id]
        run = worker.offer(
            entry_id, task.key, task.kind, task.payload, self.clock.now_s
        )
        if isinstance(run, model.ResultLine):
            on_line(run, task.key)
            return
        if self.on_start is not None:
            self.on_start(entry_id, worker_id, task.key)
        self._line_callbacks[worker_id, run.run_id] = on_line
        delay_s = max(0.0, run.ends_s - self.clock.now_s)
        self.clock.at(delay_s / 2, lambda: on_step('run'))
        self.clock.at(delay_s, lambda: self._finish(worker, run))

    def _finish(self, worker: Worker, run: Run) -> None:
        on_line = self._line_callbacks.pop(
            (worker.worker_id, run.run_id), None
        )
        if on_line is not None:
            on_line(worker.finish(run, self.clock.now_s), run.key)

    def cancel(self, worker_id: str, keys: tuple[str, ...]) -> None:
        """Stop running tasks and send their result lines."""
        if worker_id in self.dead or worker_id in self.stalled:
            return
        worker = self.by_id[worker_id]
        for run in list(worker.running.values()):
            if run.key in keys:
                on_line = self._line_callbacks.pop((worker_id, run.run_id))
                on_line(worker.stop(run, self.clock.now_s), run.key)
