"""Entry instances, platform and workers on one virtual clock.

The engines are the product's own; table and workers are the stand-ins'
own logic; links, pauses and deaths are a heap of timed calls.
"""

import dataclasses
import heapq
import itertools
import random
import typing

from orioleloom import codec
from orioleloom import contracts
from orioleloom import engine
from orioleloom import model
from orioleloom_standins._table import Conflict
from orioleloom_standins import audit
from orioleloom_standins import Table
from orioleloom_standins import Worker

LINK_S = 0.001
TABLE_S = 0.004
TABLE_TIMEOUT_S = 1.0
POLL_S = 2.0
TICK_S = 0.05
LIST_LAG_S = 1.0
LATE_S = 3.0
CALLER_TIMEOUT_S = 8.0
UPSTREAM = 'crews'
CUSTOMER = 'harrowgate'


@dataclasses.dataclass
class Entry:
    """One entry process."""

    id: str
    data_centre: str
    incarnation: int = 0
    core: engine.Engine | None = None
    alive: bool = False
    paused: bool = False
    backlog: list[typing.Callable[[], None]] = dataclasses.field(
        default_factory=list
    )
    clock_offset_s: float = 0.0
    members_revision: int = 0
    contracts_revision: int = 0


@dataclasses.dataclass
class Copy:
    """One copy of a submission sent by a caller."""

    job_id: model.JobId
    tasks: tuple[model.Task, ...]
    entry_id: str
    sent_at_s: float
    answer: model.Answer | None = None
    gave_up: bool = False


class World:
    """A small system under one seed.

    :param seed: source of all random numbers of the run
    :param engine_class: engine, or a variant with a planted defect
    :param contract: keyword arguments of the customer's contract
    """

    def __init__(
        self,
        *,
        seed: int = 0,
        n_entries: int = 3,
        n_workers: int = 3,
        slots: int = 4,
        engine_class: type[engine.Engine] = engine.Engine,
        settings: engine.EngineSettings = engine.EngineSettings(),
        contract: dict[str, typing.Any] | None = None,
    ):
        self.random = random.Random(seed)
        self.engine_class = engine_class
        self.settings = settings
        self.now_s = 0.0
        self._heap: list[tuple[float, int, typing.Callable]] = []
        self._order = itertools.count()
        self._requests = itertools.count(1)
        self.table = Table()
        self.platform_away_until_s = 0.0
        self.lose_table_answers = 0
        self.lose_table_writes = 0
        self.delay_table_writes = 0
        self.cut: set[frozenset[str]] = set()
        self.peer_loss = 0.0
        self.peer_duplicates = 0.0
        self.line_duplicates = 0.0
        self.copies: list[Copy] = []
        self.waiting: dict[tuple[str, int, int], Copy] = {}
        self.operator_answers: dict[int, model.Answer] = {}
        self.versions: list[audit.ContractObservation] = []
        self.on_step: typing.Callable[[str, Entry], None] | None = None
        self.members: list[tuple[float, model.Member]] = []
        self.entries: dict[str, Entry] = {}
        self.workers: dict[str, Worker] = {}
        self.dead_workers: set[str] = set()
        self.stalled_workers: set[str] = set()
        self._put_contract_row(
            model.Contract(
                **{
                    'customer': CUSTOMER,
                    'version': 1,
                    'in_flight': 100,
                    'starts_per_s': 10_000.0,
                    'burst': 1000,
                    'upstreams': (UPSTREAM,),
                    'deadline_ms': 20_000.0,
                    **(contract or {}),
                }
            )
        )
        for index in range(n_workers):
            self._add_worker(f'w{index}', slots, 2.0 ** -(index % 3))
        for index in range(n_entries):
            entry = Entry(f'e{index}', f'dc{index % 2}')
            self.entries[entry.id] = entry
            self._list(self._member_of(entry, model.MemberState.LIVE))
        for entry in self.entries.values():
            self.start(entry)
        # Past the hold of new instances, so that all have their shares.
        self.run_for(settings.join_hold_s + 2 * POLL_S)

    # Platform

    def _put_contract_row(self, contract: model.Contract) -> None:
        value = contracts.to_value(contract)
        key = contracts.contract_key(contract.customer)
        self.table.transact(
            'setup', [{'op': 'put', 'key': key, 'value': value}], 0.0
        )

    def _add_worker(self, worker_id: str, slots: int, speed: float) -> None:
        self.workers[worker_id] = Worker(
            worker_id=worker_id, slots=slots, speed=speed
        )
        self._list(self._worker_member(worker_id, model.MemberState.LIVE))

    def _worker_member(
        self, worker_id: str, state: model.MemberState
    ) -> model.Member:
        return model.Member(
            worker_id,
            model.Role.WORKER,
            state,
            'dc0',
            f'http://{worker_id}',
            upstream=UPSTREAM,
            slots=self.workers[worker_id].slots,
            connections=64,
            rack=f'r{int(worker_id[1:]) % 2}',
        )

    @staticmethod
    def _member_of(entry: Entry, state: model.MemberState) -> model.Member:
        return model.Member(
            entry.id,
            model.Role.ENTRY,
            state,
            entry.data_centre,
            f'http://{entry.id}',
            peer=entry.id,
        )

    def _list(self, member: model.Member, lag_s: float = 0.0) -> None:
        self.members.append((self.now_s + lag_s, member))

    def platform_reachable(self, entry: Entry) -> bool:
        """Whether a request of an entry reaches the platform now."""
        return (
            self.now_s >= self.platform_away_until_s
            and frozenset((entry.id, 'platform')) not in self.cut
        )

    def list_worker(self, worker_id: str, state: model.MemberState) -> None:
        """Change the state of a worker on the list."""
        self._list(self._worker_member(worker_id, state), LIST_LAG_S)

    # Clock

    def at(self, delay_s: float, call: typing.Callable[[], None]) -> None:
        """Run a call after a delay of virtual time."""
        heapq.heappush(
            self._heap, (self.now_s + delay_s, next(self._order), call)
        )

    def run_for(self, duration_s: float) -> None:
        """Advance the virtual clock."""
        end_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, call = heapq.heappop(self._heap)
            call()
        self.now_s = end_s

    # Entry processes

    def start(self, entry: Entry) -> None:
        """Start a process; a restart is a new incarnation."""
        entry.incarnation += 1
        entry.alive, entry.paused, entry.backlog = True, False, []
        entry.members_revision = entry.contracts_revision = 0
        entry.core = self.engine_class(
            identity=f'{entry.id}/{entry.incarnation}',
            instance_id=entry.id,
            data_centre=entry.data_centre,
            settings=self.settings._replace(
                peer_address=entry.id,
                seed_peers=tuple(e for e in self.entries if e != entry.id),
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
        for key, copy in list(self.waiting.items()):
            if key[0] == entry.id and key[1] == entry.incarnation:
                del self.waiting[key]
                self.at(LINK_S, lambda copy=copy: self._give_up(copy))

    def unlist(self, entry: Entry) -> None:
        """Take a dead instance off the list, after the list's lag."""
        member = self._member_of(entry, model.MemberState.GONE)
        self._list(member, LIST_LAG_S)

    def pause(self, entry: Entry, duration_s: float) -> None:
        """Stop a process and let it go on later."""
        if not entry.alive or entry.paused:
            return
        entry.paused = True
        incarnation = entry.incarnation

        def wake() -> None:
            if entry.incarnation != incarnation:
                return
            entry.paused = False
            backlog, entry.backlog = entry.backlog, []
            for call in backlog:
                call()

        self.at(duration_s, wake)

    def _in_process(
        self, entry: Entry, incarnation: int, call: typing.Callable
    ) -> None:
        """Run a call inside a process, later if it is paused."""
        if not entry.alive or entry.incarnation != incarnation:
            return
        if entry.paused:
            entry.backlog.append(
                lambda: self._in_process(entry, incarnation, call)
            )
            return
        call()

    def post(
        self, entry: Entry, incarnation: int, event: engine.Event
    ) -> None:
        """Give an event to the engine of a process."""

        def handle() -> None:
            self._step(event, entry)
            if not entry.alive or entry.incarnation != incarnation:
                return
            if entry.paused:
                entry.backlog.append(handle)
                return
            now_s = self.now_s + entry.clock_offset_s
            for effect in entry.core.handle(event, now_s):
                self._step(effect, entry)
                # A process may stop between a decision and its send.
                self._in_process(
                    entry,
                    incarnation,
                    lambda effect=effect: self._carry_out(
                        entry, incarnation, effect
                    ),
                )
            self._observe(entry)

        self._in_process(entry, incarnation, handle)

    def _step(self, what: typing.Any, entry: Entry) -> None:
        if self.on_step is not None:
            self.on_step(step_of(what), entry)

    def _observe(self, entry: Entry) -> None:
        for contract in entry.core.contracts():
            seen = audit.ContractObservation(
                f'{entry.id}/{entry.incarnation}',
                contract.customer,
                contract.version,
                self.now_s,
            )
            self.versions.append(seen)

    def _tick(self, entry: Entry, incarnation: int) -> None:
        if not entry.alive or entry.incarnation != incarnation:
            return
        if entry.core.needs_tick() or int(self.now_s / TICK_S) % 20 == 0:
            self.post(entry, incarnation, engine.Tick())
        self.at(TICK_S, lambda: self._tick(entry, incarnation))

    def _poll(self, entry: Entry, incarnation: int) -> None:
        if not entry.alive or entry.incarnation != incarnation:
            return
        if self.platform_reachable(entry):
            self._poll_answered(entry, incarnation)
        else:
            self.post(entry, incarnation, engine.PlatformState(False))
        self.at(POLL_S, lambda: self._poll(entry, incarnation))

    def _poll_answered(self, entry: Entry, incarnation: int) -> None:
        self.post(entry, incarnation, engine.PlatformState(True))
        new = [
            member
            for at_s, member in self.members[entry.members_revision :]
            if at_s <= self.now_s
        ]
        entry.members_revision += len(new)
        self.post(entry, incarnation, engine.MembersChanged(tuple(new)))
        rows, revision = self.table.scan('contract/', entry.contracts_revision)
        entry.contracts_revision = revision
        found = tuple(model.Row(*row) for row in rows)
        self.post(entry, incarnation, engine.ContractsRead(found))

    # Effects

    def _carry_out(
        self, entry: Entry, incarnation: int, effect: engine.Effect
    ) -> None:
        match effect:
            case engine.Respond(request_id, answer):
                self._respond(entry, incarnation, request_id, answer)
            case engine.WriteTable():
                self._write(entry, incarnation, effect)
            case engine.ReadTable():
                self._read(entry, incarnation, effect)
            case engine.SendTasks():
                self.at(
                    LINK_S, lambda: self._offer(entry, incarnation, effect)
                )
            case engine.CancelTasks(worker_id, _, keys):
                self.at(LINK_S, lambda: self._cancel(worker_id, keys))
            case engine.SendPeer():
                self._send_peer(entry, incarnation, effect)

    def _write(
        self, entry: Entry, incarnation: int, effect: engine.WriteTable
    ) -> None:
        def done(outcome: model.TableOutcome, delay_s: float) -> None:
            event = engine.TableDone(effect.token, outcome)
            self.at(delay_s, lambda: self.post(entry, incarnation, event))

        if not self.platform_reachable(entry):
            done(model.WriteRefused(), LINK_S)
            return
        if self.lose_table_writes:
            self.lose_table_writes -= 1
            done(model.WriteUnknown(), TABLE_TIMEOUT_S)
            return
        if self.delay_table_writes:
            self.delay_table_writes -= 1
            # The write takes effect long after its sender gave it up.
            self.at(3 * TABLE_TIMEOUT_S, lambda: self._commit(effect))
            done(model.WriteUnknown(), TABLE_TIMEOUT_S)
            return

        def commit() -> None:
            outcome = self._commit(effect)
            if self.lose_table_answers:
                self.lose_table_answers -= 1
                done(model.WriteUnknown(), TABLE_TIMEOUT_S)
            else:
                done(outcome, TABLE_S / 2)

        self.at(TABLE_S / 2, commit)

    def _commit(self, effect: engine.WriteTable) -> model.TableOutcome:
        ops = [op._asdict() for op in effect.ops]
        try:
            revision = self.table.transact(effect.token, ops, self.now_s)
        except Conflict as conflict:
            return model.Conflicted(
                tuple(model.Row(*row) for row in conflict.rows)
            )
        return model.Committed(revision)

    def _read(
        self, entry: Entry, incarnation: int, effect: engine.ReadTable
    ) -> None:
        rows = None
        if self.platform_reachable(entry):
            found = self.table.read(list(effect.keys))
            rows = tuple(model.Row(*row) for row in found)
        event = engine.RowsRead(effect.token, rows)
        self.at(TABLE_S, lambda: self.post(entry, incarnation, event))

    def _offer(
        self, entry: Entry, incarnation: int, effect: engine.SendTasks
    ) -> None:
        worker = self.workers[effect.worker_id]
        link = frozenset((entry.id, effect.worker_id))

        def ended(may_have_started: bool) -> None:
            event = engine.ExchangeEnded(
                effect.exchange_id, may_have_started, 'fault'
            )
            self.at(LINK_S, lambda: self.post(entry, incarnation, event))

        if effect.worker_id in self.dead_workers or link in self.cut:
            ended(False)
            return
        left = {task.key for task in effect.tasks}

        def line(found: model.TaskLine | None, key: str) -> None:
            if found is None or link in self.cut:
                return
            if effect.worker_id in self.dead_workers:
                return
            left.discard(key)
            event = engine.LineReceived(effect.exchange_id, found)
            self.at(LINK_S, lambda: self.post(entry, incarnation, event))
            if self.random.random() < self.line_duplicates:
                self.at(0.5, lambda: self.post(entry, incarnation, event))
            if not left:
                ended(True)

        def broken() -> None:
            if left:
                ended(True)

        self.at(effect.lease_s, broken)
        for task in effect.tasks:
            if effect.worker_id in self.stalled_workers:
                continue
            self._run(worker, entry, task, line)

    def _run(
        self,
        worker: Worker,
        entry: Entry,
        task: engine.SentTask,
        line: typing.Callable[[model.TaskLine | None, str], None],
    ) -> None:
        self._step('start', entry)
        run = worker.offer(
            entry.id,
            task.key,
            task.kind,
            task.payload,
            self.now_s,
        )
        if isinstance(run, model.TaskLine):
            line(run, task.key)
            return
        delay_s = max(0.0, run.ends_s - self.now_s)
        self.at(delay_s / 2, lambda: self._step('run', entry))
        self.at(
            delay_s,
            lambda: line(worker.finish(run, self.now_s), task.key),
        )
        worker.lines = getattr(worker, 'lines', {})
        worker.lines[run.run_id] = line

    def _cancel(self, worker_id: str, keys: tuple[str, ...]) -> None:
        worker = self.workers[worker_id]
        if worker_id in self.dead_workers | self.stalled_workers:
            return
        for run in list(worker.running.values()):
            if run.key in keys:
                stopped = worker.stop(run, self.now_s)
                worker.lines[run.run_id](stopped, run.key)

    def _send_peer(
        self, entry: Entry, incarnation: int, effect: engine.SendPeer
    ) -> None:
        target = self.entries.get(effect.address)
        if target is None or not target.alive:
            return
        if frozenset((entry.id, target.id)) in self.cut:
            return
        if self.random.random() < self.peer_loss:
            return
        event = engine.PeerReceived(
            effect.message_id, f'{entry.id}/{incarnation}', effect.message
        )
        arrives = target.incarnation
        n_copies = 1 + (self.random.random() < self.peer_duplicates)
        for index in range(n_copies):
            self.at(
                LINK_S + LATE_S * index,
                lambda: self.post(target, arrives, event),
            )

    # Callers

    def submit(
        self,
        submission_id: str,
        work_ms: typing.Sequence[float] = (50.0,),
        *,
        entry_id: str = 'e0',
        first: bool = False,
        deadline_ms: float | None = None,
    ) -> Copy:
        """Send one copy of a submission."""
        tasks = tuple(
            model.Task(
                'crew',
                {'work_ms': ms, 'id': f'{submission_id}-{index}'},
                UPSTREAM,
                ms,
            )
            for index, ms in enumerate(work_ms)
        )
        job_id = model.JobId(CUSTOMER, submission_id)
        copy = Copy(job_id, tasks, entry_id, self.now_s)
        self.copies.append(copy)
        entry = self.entries[entry_id]
        if not entry.alive or frozenset((entry_id, 'callers')) in self.cut:
            self.at(LINK_S, lambda: self._give_up(copy))
            return copy
        request_id = next(self._requests)
        request = model.JobRequest(tasks, deadline_ms, repr(tasks))
        incarnation = entry.incarnation
        self.waiting[entry_id, incarnation, request_id] = copy
        body = body_of(tasks)
        event = engine.Submit(request_id, job_id, request, first, True, body)
        self.at(LINK_S, lambda: self.post(entry, incarnation, event))
        return copy

    def other_entry(self, entry_id: str) -> str:
        """Return a live entry other than the one named, if there is one."""
        live = [e.id for e in self.entries.values() if e.alive]
        return next((e for e in live if e != entry_id), entry_id)

    def resubmit_all(self, *, exclude: str = '') -> None:
        """Send another copy of every submission without an answer.

        A caller closes the earlier copy's connection first, and it does
        not resubmit what it was told did not run.
        """
        decided = {c.job_id for c in self.copies if is_decided(c.answer)}
        first_copies = {c.job_id: c for c in reversed(self.copies)}
        for job_id, copy in first_copies.items():
            if job_id not in decided and copy.tasks:
                for earlier in self.copies:
                    if earlier.job_id == job_id and earlier.answer is None:
                        earlier.gave_up = True
                self.submit(
                    job_id.submission_id,
                    [task.payload['work_ms'] for task in copy.tasks],
                    entry_id=self.other_entry(exclude),
                )

    def cancel(self, submission_id: str, *, entry_id: str = 'e0') -> Copy:
        """Cancel a submission at an instance."""
        job_id = model.JobId(CUSTOMER, submission_id)
        copy = Copy(job_id, (), entry_id, self.now_s)
        entry = self.entries[entry_id]
        if not entry.alive:
            return copy
        request_id = next(self._requests)
        self.waiting[entry_id, entry.incarnation, request_id] = copy
        event = engine.Cancel(request_id, job_id)
        self.post(entry, entry.incarnation, event)
        return copy

    def put_contract(
        self, entry_id: str, expected_version: int, **changes: typing.Any
    ) -> int:
        """Change the contract as an operator; returns a request id."""
        entry = self.entries[entry_id]
        request_id = next(self._requests)
        contract = entry.core.contract(CUSTOMER)._replace(
            version=expected_version + 1, **changes
        )
        event = engine.PutContract(request_id, contract, expected_version)
        self.post(entry, entry.incarnation, event)
        return request_id

    def _respond(
        self,
        entry: Entry,
        incarnation: int,
        request_id: int,
        answer: model.Answer,
    ) -> None:
        copy = self.waiting.pop((entry.id, incarnation, request_id), None)
        if copy is None:
            self.operator_answers[request_id] = answer
            return
        cut = frozenset((entry.id, 'callers')) in self.cut
        if cut:
            copy.gave_up = True
        if not copy.gave_up:
            copy.answer = answer

    @staticmethod
    def _give_up(copy: Copy) -> None:
        if copy.answer is None:
            copy.gave_up = True

    # Checks

    def violations(self) -> list[audit.Violation]:
        """Audit the records of the run."""
        ledgers = [
            entry
            for worker in self.workers.values()
            for entry in worker.ledger.entries
        ]
        calls = [
            audit.Call(
                copy.job_id.customer,
                copy.job_id.submission_id,
                tuple(audit.SentTask(t.kind, t.payload) for t in copy.tasks),
                accepted=copy.answer is not None
                and 'tasks' in copy.answer.body,
                answer=None if copy.answer is None else copy.answer.body,
                pending=copy.answer is None,
            )
            for copy in self.copies
        ]
        return audit.audit(ledgers, calls, self.table.history, self.versions)

    def n_starts(self) -> int:
        """Return the number of starts in all ledgers."""
        return sum(
            entry.event == 'start'
            for worker in self.workers.values()
            for entry in worker.ledger.entries
        )


def is_decided(answer: model.Answer | None) -> bool:
    """Whether a caller has no reason to send another copy."""
    if answer is None:
        return False
    body = answer.body
    return body['state'] == 'complete' or body['error'].get('run') == 'not_run'


def body_of(tasks: typing.Sequence[model.Task]) -> bytes:
    """Return the HTTP body of a job."""
    return codec.encode_json(
        {
            'tasks': [
                {
                    'kind': task.kind,
                    'payload': task.payload,
                    'upstream': task.upstream,
                    'run_time_ms': task.run_time_ms,
                }
                for task in tasks
            ]
        }
    )


def step_of(what: typing.Any) -> str:
    """Name the step of a job that an event or effect belongs to."""
    match what:
        case str():
            return what
        case engine.Submit():
            return 'receive'
        case engine.WriteTable(_, ops):
            return _write_step(ops)
        case engine.TableDone():
            return 'committed'
        case engine.SendTasks():
            return 'send'
        case engine.LineReceived():
            return 'answer'
        case engine.Respond():
            return 'deliver'
        case engine.ReadTable():
            return 'read'
        case engine.SendPeer():
            return 'peer'
    return ''


def _write_step(ops: tuple[model.TableOp, ...]) -> str:
    value = ops[0].value or {}
    if ops[0].key.startswith('contract'):
        return 'contract_write'
    if ops[0].op == 'delete':
        return 'forget'
    if value.get('state') != 'claimed':
        return 'record'
    return 'claim' if ops[0].if_revision == 0 else 'raise'
