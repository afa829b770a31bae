import collections.abc
import random
import typing

from orioleloom import engine
from orioleloom import model
from orioleloom_standins import audit
from orioleloom_standins.virtual._callers import Callers
from orioleloom_standins.virtual._clock import Clock
from orioleloom_standins.virtual._effects import Effects
from orioleloom_standins.virtual._entry import Entry
from orioleloom_standins.virtual._network import LINK_S
from orioleloom_standins.virtual._network import Network
from orioleloom_standins.virtual._platform import LIST_LAG_S
from orioleloom_standins.virtual._platform import Platform
from orioleloom_standins.virtual._platform import TABLE_S
from orioleloom_standins.virtual._processes import POLL_S
from orioleloom_standins.virtual._processes import Processes
from orioleloom_standins.virtual._requests import audit_calls
from orioleloom_standins.virtual._requests import Copy
from orioleloom_standins.virtual._watch import Watch
from orioleloom_standins.virtual._workers import Workers
from orioleloom_standins.virtual._workers import WorkerSpec

UPSTREAM = 'crews'
CUSTOMER = 'harrowgate'


def default_contract(**changes: typing.Any) -> model.Contract:
    """Return a contract with generous limits and the given changes."""
    contract = model.Contract(
        CUSTOMER,
        1,
        in_flight=100,
        starts_per_s=10_000.0,
        burst=1000,
        upstreams=(UPSTREAM,),
        deadline_ms=20_000.0,
    )
    return contract._replace(**changes)


def default_workers(n_workers: int = 3, slots: int = 4) -> list[WorkerSpec]:
    """Return workers in two racks, with speeds of 1, 1/2 and 1/4."""
    return [
        WorkerSpec(
            f'w{index}',
            2.0 ** -(index % 3),
            slots,
            f'r{index % 2}',
            upstream=UPSTREAM,
        )
        for index in range(n_workers)
    ]


class World:
    """A simulated system of entry instances, platform and workers.

    :param seed: seed of all random numbers of the run
    :param data_centres: data centre of each entry instance ``e0``, ``e1``
        and so on
    :param workers: the workers
    :param contracts: contracts of the customers; calls that name no
        customer use the first one
    :param engine_class: the engine, or a variant with an injected defect
    :param settings: settings of every engine
    :param link_s: one-way delay within a data centre and to callers
    :param far_s: one-way delay between data centres
    :param table_s: duration of a table request

    >>> world = World()
    >>> copy = world.submit('s1', [50.0])
    >>> world.run_for(1.0)
    >>> copy.answer.body['state']
    'complete'
    """

    def __init__(
        self,
        *,
        seed: int = 0,
        data_centres: collections.abc.Sequence[str] = ('dc0', 'dc1', 'dc0'),
        workers: collections.abc.Sequence[WorkerSpec] | None = None,
        contracts: collections.abc.Sequence[model.Contract] | None = None,
        engine_class: type[engine.Engine] = engine.Engine,
        settings: engine.EngineSettings = engine.EngineSettings(),
        link_s: float = LINK_S,
        far_s: float = LINK_S,
        table_s: float = TABLE_S,
    ):
        self.random = random.Random(seed)
        self.clock = clock = Clock()
        self.network = network = Network(
            random_state=self.random, link_s=link_s, far_s=far_s
        )
        self.platform = Platform(clock=clock, network=network, table_s=table_s)
        self.workers = Workers(
            clock=clock,
            network=network,
            specs=default_workers() if workers is None else workers,
        )
        self.processes = Processes(
            clock=clock,
            platform=self.platform,
            engine_class=engine_class,
            settings=settings,
            random_state=self.random,
        )
        self.contracts = tuple(contracts or (default_contract(),))
        self.callers = Callers(
            clock=clock,
            network=network,
            processes=self.processes,
            customer=self.contracts[0].customer,
            upstream=self.contracts[0].upstreams[0],
            deadline_ms=max(c.deadline_ms for c in self.contracts),
        )
        effects = Effects(
            clock=clock,
            network=network,
            platform=self.platform,
            workers=self.workers,
            processes=self.processes,
            callers=self.callers,
        )
        self.processes.carry_out = effects.carry_out
        self.processes.on_process_end = self._process_ended
        self.entries = self.processes.by_id
        self.at = clock.at
        self.run_for = clock.run_for
        self.submit = self.callers.submit
        self.cancel = self.callers.cancel
        self.put_contract = self.callers.put_contract
        self.start = self.processes.start
        self.kill = self.processes.kill
        for contract in self.contracts:
            self.platform.seed_contract(contract)
        for spec in self.workers.specs.values():
            network.data_centres[spec.id] = spec.data_centre
            self.platform.list_member(spec.member())
        for index, data_centre in enumerate(data_centres):
            entry = Entry(f'e{index}', data_centre)
            self.entries[entry.id] = entry
            network.data_centres[entry.id] = data_centre
            self.platform.list_member(entry.member())
        for entry in self.entries.values():
            self.start(entry)
        self.watch = Watch(
            clock=clock,
            platform=self.platform,
            processes=self.processes,
            workers=self.workers,
            callers=self.callers,
        )
        # Waits until the join hold of new instances has ended and all of
        # them have their shares.
        self.run_for(settings.join_hold_s + 2 * POLL_S)

    def _process_ended(self, entry: Entry) -> None:
        self.watch.process_ended(entry)
        self.callers.process_ended(entry)

    def add_entry(self, entry_id: str, data_centre: str) -> Entry:
        """Start a new instance and add it to the member list."""
        entry = Entry(entry_id, data_centre)
        self.entries[entry_id] = entry
        self.network.data_centres[entry_id] = data_centre
        self.platform.list_member(entry.member(), LIST_LAG_S)
        self.start(entry)
        return entry

    @property
    def now_s(self) -> float:
        """Virtual time, in seconds."""
        return self.clock.now_s

    @property
    def copies(self) -> list[Copy]:
        """All requests that callers have sent about submissions."""
        return self.callers.copies

    def mint_ticket(self, entry_id: str = 'e0') -> str:
        """Return a ticket issued by an instance to the first customer."""
        entry = self.entries[entry_id]
        return entry.core.mint_tickets(
            self.callers.customer, 1, self.now_s + entry.clock_offset_s
        )[0]

    def violations(self) -> list[audit.Violation]:
        """Return all violations found by the audit and during the run."""
        return [
            *audit.audit(
                self.workers.ledger(),
                audit_calls(self.callers.copies),
                self.platform.table.history,
                self.processes.contract_observations,
            ),
            *self.watch.violations(),
        ]

    def n_starts(self) -> int:
        """Return the number of task starts recorded by all workers."""
        return sum(e.event == 'start' for e in self.workers.ledger())
