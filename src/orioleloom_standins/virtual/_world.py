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
from orioleloom_standins.virtual._platform import PlatformSide
from orioleloom_standins.virtual._platform import TABLE_S
from orioleloom_standins.virtual._processes import POLL_S
from orioleloom_standins.virtual._processes import Processes
from orioleloom_standins.virtual._requests import calls_of
from orioleloom_standins.virtual._requests import Copy
from orioleloom_standins.virtual._watch import Watch
from orioleloom_standins.virtual._workers import Workers
from orioleloom_standins.virtual._workers import WorkerSpec

UPSTREAM = 'crews'
CUSTOMER = 'harrowgate'


def default_contract(**changes: typing.Any) -> model.Contract:
    """Return a contract that limits little, with the given changes."""
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
    """Return workers in two racks whose speeds differ by up to 4 times."""
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
    """A system of entry instances, platform and workers under one seed.

    :param seed: source of all random numbers of the run
    :param data_centres: data centre of each entry instance ``e0``, ``e1``
        and so on
    :param workers: the workers
    :param contracts: contracts of the customers; the first is the one
        that calls without a customer use
    :param engine_class: engine, or a variant with a planted defect
    :param settings: settings of every engine
    :param link_s: one-way delay within a data centre and to callers
    :param far_s: one-way delay between data centres
    :param table_s: time that a table request takes

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
        self.platform = PlatformSide(
            clock=clock, network=network, table_s=table_s
        )
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
        self.processes.killed = self._process_ended
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
        # Past the hold of new instances, so that all have their shares.
        self.run_for(settings.join_hold_s + 2 * POLL_S)

    def _process_ended(self, entry: Entry) -> None:
        self.watch.process_ended(entry)
        self.callers.process_ended(entry)

    def add_entry(self, entry_id: str, data_centre: str) -> Entry:
        """Start a new instance and list it."""
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
        """Every request of a caller about a submission."""
        return self.callers.copies

    def issue_ticket(self, entry_id: str = 'e0') -> str:
        """Return a ticket of an instance for the first customer."""
        entry = self.entries[entry_id]
        return entry.core.mint_tickets(
            self.callers.customer, 1, self.now_s + entry.clock_offset_s
        )[0]

    def violations(self) -> list[audit.Violation]:
        """Audit the records of the run."""
        return [
            *audit.audit(
                self.workers.ledger(),
                calls_of(self.callers.copies),
                self.platform.table.history,
                self.processes.versions,
            ),
            *self.watch.violations(),
        ]

    def n_starts(self) -> int:
        """Return the number of starts in all ledgers."""
        return sum(e.event == 'start' for e in self.workers.ledger())
