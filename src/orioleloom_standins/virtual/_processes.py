import collections.abc
import random
import typing

from orioleloom import engine
from orioleloom import model
from orioleloom_standins import audit
from orioleloom_standins.virtual._clock import Clock
from orioleloom_standins.virtual._entry import Entry
from orioleloom_standins.virtual._platform import LIST_LAG_S
from orioleloom_standins.virtual._platform import Platform
from orioleloom_standins.virtual._steps import handling_step_names
from orioleloom_standins.virtual._steps import step_names

POLL_S = 2.0

# Same margin as in the runner of the daemon: time that a process may take
# beyond the timeout of a planned stop.
STOP_MARGIN_S = 2.0
TICK_S = 0.05

# An idle engine gets a tick only once per this many tick intervals.
_IDLE_TICKS = 20


class Processes:
    """Start, pause and end entry processes and pass events to engines.

    ``carry_out`` and ``on_process_end`` are set by the world: the first
    executes an effect, the second is called for each process that ended.
    ``on_step`` is called at each step, for instance to inject a fault.
    ``n_cut_off`` counts requests still open when a planned stop ended.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        platform: Platform,
        engine_class: type[engine.Engine],
        settings: engine.EngineSettings,
        random_state: random.Random,
    ):
        self.clock = clock
        self.platform = platform
        self.engine_class = engine_class
        self.settings = settings
        self.random = random_state
        self.by_id: dict[str, Entry] = {}
        self.contract_observations: list[audit.ContractObservation] = []
        self._recorded_versions: dict[tuple[str, int, str], int] = {}
        self.n_cut_off = 0
        self.on_step: collections.abc.Callable[[str, Entry], None] | None
        self.on_step = None
        self.carry_out: collections.abc.Callable[
            [Entry, int, engine.Effect], None
        ]
        self.on_process_end: collections.abc.Callable[[Entry], None]

    def start(self, entry: Entry) -> None:
        """Start or restart a process as a new incarnation."""
        entry.incarnation += 1
        entry.alive, entry.paused, entry.backlog = True, False, []
        entry.members_revision = entry.contracts_revision = 0
        entry.lists_read, entry.platform_available = False, None
        entry.core = self.engine_class(
            identity=f'{entry.id}/{entry.incarnation}',
            instance_id=entry.id,
            data_centre=entry.data_centre,
            settings=self.settings._replace(
                peer_address=entry.id,
                seed_peers=tuple(e for e in self.by_id if e != entry.id),
            ),
            random_state=random.Random(self.random.getrandbits(32)),
        )
        incarnation = entry.incarnation
        self._poll(entry, incarnation)
        self._tick(entry, incarnation)

    def kill(self, entry: Entry) -> None:
        """End a process without warning."""
        entry.alive = False
        entry.backlog = []
        self.on_process_end(entry)

    def unlist(self, entry: Entry) -> None:
        """Remove a dead instance from the list, after the list's lag."""
        self.platform.list_member(
            entry.member(model.MemberState.GONE), LIST_LAG_S
        )

    def pause(self, entry: Entry, duration_s: float) -> None:
        """Suspend a process and resume it after ``duration_s``."""
        if not entry.alive or entry.paused:
            return
        entry.paused = True
        incarnation = entry.incarnation

        def resume() -> None:
            if entry.incarnation != incarnation:
                return
            entry.paused, entry.resumed_at_s = False, self.clock.now_s
            backlog, entry.backlog = entry.backlog, []
            for call in backlog:
                call()

        self.clock.at(duration_s, resume)

    def _run_or_defer(
        self,
        entry: Entry,
        incarnation: int,
        call: collections.abc.Callable[[], None],
    ) -> None:
        """Run a call in a process, or defer it while the process is paused.

        The call is dropped if the incarnation has ended.
        """
        if not entry.alive or entry.incarnation != incarnation:
            return
        if entry.paused:
            entry.backlog.append(
                lambda: self._run_or_defer(entry, incarnation, call)
            )
            return
        call()

    def post(
        self, entry: Entry, incarnation: int, event: engine.Event
    ) -> None:
        """Pass an event to the engine of a process and run its effects."""

        def handle() -> None:
            self.step(entry, *self._step_names(event, entry))
            if not entry.alive or entry.incarnation != incarnation:
                return
            if entry.paused:
                entry.backlog.append(handle)
                return
            now_s = self.clock.now_s + entry.clock_offset_s
            effects = entry.core.handle(event, now_s)
            self.step(entry, *handling_step_names(event, effects))
            for effect in effects:
                self.step(entry, *self._step_names(effect, entry))
                # The process may end or pause before the effect is executed.
                self._run_or_defer(
                    entry,
                    incarnation,
                    lambda effect=effect: self.carry_out(
                        entry, incarnation, effect
                    ),
                )
            self._record_versions(entry)

        self._run_or_defer(entry, incarnation, handle)

    def step(self, entry: Entry, *names: str) -> None:
        """Report steps to ``on_step``, if it is set."""
        if self.on_step is not None:
            for name in names:
                self.on_step(name, entry)

    @staticmethod
    def _step_names(what: typing.Any, entry: Entry) -> tuple[str, ...]:
        names = step_names(what)
        if 'contract_write' in names:
            entry.contract_tokens.add(what.token)
        if not isinstance(what, engine.TableDone):
            return names
        if what.token in entry.contract_tokens:
            return ('contract_committed',)
        return ('committed',)

    def _record_versions(self, entry: Entry) -> None:
        """Record each change of the contract versions in force."""
        for contract in entry.core.contracts():
            observer = (entry.id, entry.incarnation, contract.customer)
            if self._recorded_versions.get(observer) == contract.version:
                continue
            self._recorded_versions[observer] = contract.version
            if contract.version > 1:
                self.step(entry, 'contract_apply')
            observation = audit.ContractObservation(
                f'{entry.id}/{entry.incarnation}',
                contract.customer,
                contract.version,
                self.clock.now_s,
            )
            self.contract_observations.append(observation)

    def _tick(self, entry: Entry, incarnation: int) -> None:
        if not entry.alive or entry.incarnation != incarnation:
            return
        n_ticks = int(self.clock.now_s / TICK_S)
        if entry.core.needs_tick() or n_ticks % _IDLE_TICKS == 0:
            self.post(entry, incarnation, engine.Tick())
        self.clock.at(TICK_S, lambda: self._tick(entry, incarnation))

    def _poll(self, entry: Entry, incarnation: int) -> None:
        if not entry.alive or entry.incarnation != incarnation:
            return
        self._run_or_defer(
            entry, incarnation, lambda: self._read_lists(entry, incarnation)
        )
        self.clock.at(POLL_S, lambda: self._poll(entry, incarnation))

    def _read_lists(self, entry: Entry, incarnation: int) -> None:
        """Read the lists in the same way as the runner of the daemon."""
        available = self.platform.answers(entry.id)
        if available != entry.platform_available or not available:
            entry.platform_available = available
            self.post(entry, incarnation, engine.PlatformState(available))
        if not available:
            return
        first, entry.lists_read = not entry.lists_read, True
        new = self.platform.members_after(entry.members_revision)
        entry.members_revision += len(new)
        if new or first:
            self.post(entry, incarnation, engine.MembersChanged(tuple(new)))
        rows, revision = self.platform.contracts_after(
            entry.contracts_revision
        )
        entry.contracts_revision = revision
        if rows or first:
            self.post(entry, incarnation, engine.ContractsRead(rows))

    def stop(
        self,
        entry: Entry,
        ended: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Begin a planned stop of a process.

        The process ends when its engine is drained, or ``STOP_MARGIN_S``
        after the stop timeout. Requests still open then are added to
        ``n_cut_off``.

        :param ended: called when the process has ended
        """
        incarnation = entry.incarnation
        timeout_s = self.settings.stop_timeout_s
        self.post(entry, incarnation, engine.StopRequested(timeout_s))
        self.platform.list_member(
            entry.member(model.MemberState.LEAVING), LIST_LAG_S
        )
        bound_s = self.clock.now_s + timeout_s + STOP_MARGIN_S

        def end_if_drained() -> None:
            if not entry.alive or entry.incarnation != incarnation:
                return
            nonlocal bound_s
            if entry.paused:
                # A paused process does not check the timeout.
                bound_s += TICK_S
            drained = entry.core.is_drained()
            if entry.paused or (not drained and self.clock.now_s < bound_s):
                self.clock.at(TICK_S, end_if_drained)
                return
            self.n_cut_off += len(entry.core.core.open_requests)
            self.unlist(entry)
            self.kill(entry)
            ended()

        self.clock.at(TICK_S, end_if_drained)
