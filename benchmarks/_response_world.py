"""Simulations of ``benchmarks.response``: engines under one load."""

import random
import typing

from orioleloom import engine
from orioleloom import load
from orioleloom import model
from orioleloom import placement
from orioleloom_standins import virtual
from orioleloom_standins.virtual import _processes

POLICIES: dict[str, typing.Callable[[], placement.Policy]] = {
    'expected_completion': placement.ExpectedCompletion,
    'random': placement.Random,
    'round_robin': placement.RoundRobin,
    'power_of_two': placement.PowerOfTwo,
    'least_outstanding': placement.LeastOutstanding,
}
# One-way delay between data centres (F1 and F2 of the design page).
INTER_DATA_CENTRE_DELAY_S = {'harrowgate': 0.0005, 'noche': 0.0015}
FAULT_AT_S = 5.0
BURST_S = 5.0
DEADLINE_MS = 600_000.0
# Time after the last arrival at which unanswered jobs count as open.
DRAIN_S = 60.0
# Eight queues of this length drain in about 5 s at 60 % load.
BURST_QUEUED_TASKS = 110
FAILING_WORKER = 'w00'
NEW_LIMIT = 24


class Spec(typing.NamedTuple):
    """Parameters of one simulated run."""

    case: str = 'load'
    variant: str = ''
    preset: str = 'harrowgate'
    policy: str = 'expected_completion'
    utilisation: float = 0.6
    claims: str = 'ticket'
    seed: int = 1
    duration_s: float = 40.0


class RunResult(typing.NamedTuple):
    """Result of a simulated run, whose load began at ``start_s``.

    :param fenced: for each task start on the failing worker during its
        fault, whether every instance had quarantined it by then
    """

    spec: Spec
    world: virtual.World
    record: load.Record
    results: list[load.JobResult]
    start_s: float
    counters: dict[str, typing.Any]
    fenced: list[bool]

    def ideal_s(self) -> list[float]:
        """Return the ideal response times, in record order."""
        return load.ideal_response_times(
            self.record, load.PRESETS[self.spec.preset].workers()
        )


def make_workers(preset: load.Preset) -> list[virtual.WorkerSpec]:
    """Return the workers, fastest first, spread over data centres."""
    places = preset.data_centres
    return [
        virtual.WorkerSpec(
            f'w{index:02}',
            speed,
            preset.slots,
            f'rack-{index % len(places)}',
            places[index % len(places)],
            preset.customers[0].upstream,
            preset.connections,
        )
        for index, speed in enumerate(preset.speeds())
    ]


def make_contracts(spec: Spec) -> list[model.Contract]:
    """Return contracts whose limits bind only in cases that need it."""
    preset = load.PRESETS[spec.preset]
    n_slots = preset.n_workers * preset.slots
    found = []
    for share in preset.customers:
        in_flight = n_slots * preset.n_entries
        max_queued = 100_000
        if spec.case in ('deaths', 'lowered'):
            in_flight = round(n_slots * share.weight)
        elif spec.case == 'greedy' and share == preset.customers[-1]:
            # Above the mean of 23 slots that it uses at its contracted load.
            in_flight, max_queued = 32, 800
        found.append(
            model.Contract(
                share.customer,
                1,
                in_flight,
                100_000.0,
                10_000,
                (share.upstream,),
                deadline_ms=DEADLINE_MS,
                max_queued_tasks=max_queued,
            )
        )
    return found


def make_load_record(spec: Spec) -> load.Record:
    """Generate the load of a run."""
    preset = load.PRESETS[spec.preset]
    options = load.LoadOptions(
        preset.customers,
        utilisation=spec.utilisation,
        duration_s=spec.duration_s,
        seed=spec.seed,
    )
    record = load.make_record(options, preset.workers())
    arrivals = list(record.arrivals)
    greedy = preset.customers[-1]
    if spec.variant == 'without':
        arrivals = [a for a in arrivals if a.customer != greedy.customer]
    elif spec.variant == 'ten':
        more = options._replace(
            customers=(greedy,),
            utilisation=9 * greedy.weight * spec.utilisation,
            seed=spec.seed + 1000,
        )
        arrivals += load.make_record(more, preset.workers()).arrivals
    elif spec.variant.startswith('burst'):
        more = options._replace(
            utilisation=9 * spec.utilisation,
            duration_s=BURST_S,
            seed=spec.seed + 1000,
        )
        arrivals += [
            a._replace(at_s=a.at_s + FAULT_AT_S)
            for a in load.make_record(more, preset.workers()).arrivals
        ]
    return load.Record(spec.seed, tuple(arrivals))


def make_world(spec: Spec) -> virtual.World:
    """Build the simulated cluster of a run."""
    preset = load.PRESETS[spec.preset]

    def make_engine(**parameters: typing.Any) -> engine.Engine:
        return engine.Engine(policy=POLICIES[spec.policy](), **parameters)

    settings = engine.EngineSettings()
    if spec.case == 'burst' and spec.variant != 'burst_default':
        settings = settings._replace(max_queued_tasks=BURST_QUEUED_TASKS)
    places = preset.data_centres
    return virtual.World(
        seed=spec.seed,
        data_centres=[
            places[index % len(places)] for index in range(preset.n_entries)
        ],
        workers=make_workers(preset),
        contracts=make_contracts(spec),
        engine_class=typing.cast(type[engine.Engine], make_engine),
        settings=settings,
        far_s=INTER_DATA_CENTRE_DELAY_S[spec.preset],
    )


def sum_counters(world: virtual.World, start_s: float) -> dict[str, float]:
    """Return counter sums over all engines, with polls of the two lists.

    In production the runner counts the polls; here they are computed from
    the elapsed time.
    """
    sums: dict[str, float] = {}
    n_alive = 0
    for entry in world.entries.values():
        n_alive += entry.alive
        for name, value in entry.core.counters().items():
            sums[name] = sums.get(name, 0) + value
    n_polls = n_alive * (world.now_s - start_s) / _processes.POLL_S
    sums['member_polls'] = sums['contract_polls'] = n_polls
    return sums


def simulate(spec: Spec) -> RunResult:
    """Simulate a run until all jobs are answered or time is up."""
    record = make_load_record(spec)
    world = make_world(spec)
    start_s = world.now_s
    before = sum_counters(world, start_s)
    random_state = random.Random(f'entries/{spec.seed}')
    copies: dict[int, virtual.Copy] = {}

    def submit(index: int) -> None:
        arrival = record.arrivals[index]
        live = [e for e in world.entries.values() if e.alive]
        entry = random_state.choice(live)
        submission_id = f's{index}'
        if spec.claims == 'ticket':
            submission_id = entry.core.mint_tickets(
                arrival.customer, 1, world.now_s + entry.clock_offset_s
            )[0]
        copies[index] = world.callers.send_copy(
            model.JobId(arrival.customer, submission_id),
            tuple(arrival.tasks()),
            entry.id,
            first=True,
        )

    for index, arrival in enumerate(record.arrivals):
        world.at(arrival.at_s, lambda index=index: submit(index))
    fenced: list[bool] = []
    _record_failing_starts(world, fenced)
    world.at(FAULT_AT_S, lambda: _inject(spec, world))
    world.run_for(max(a.at_s for a in record.arrivals) + 0.01)
    end_s = world.now_s + (0 if spec.variant == 'lowered' else DRAIN_S)
    while world.now_s < end_s and len(_answers(world)) < len(copies):
        world.run_for(0.5)
    counters = load.summarise_messages(
        before, sum_counters(world, start_s), record.n_tasks
    )
    answers = _answers(world)
    results = [
        _result(arrival, copies[index], answers, world, start_s)
        for index, arrival in enumerate(record.arrivals)
    ]
    return RunResult(spec, world, record, results, start_s, counters, fenced)


def _inject(spec: Spec, world: virtual.World) -> None:
    """Inject the fault of a variant."""
    if spec.variant == 'failing':
        world.workers.by_id[FAILING_WORKER].set_fault(
            'fail_all', world.now_s, duration_s=3600.0
        )
    elif spec.variant == 'deaths':
        for entry in list(world.entries.values())[::2]:
            world.kill(entry)
            world.processes.unlist(entry)
        # Callers detect the broken connections and resubmit.
        world.at(0.05, world.callers.resubmit_all)
    elif spec.variant == 'lowered':
        customer = load.PRESETS[spec.preset].customers[0].customer
        world.put_contract('e0', 1, customer=customer, in_flight=NEW_LIMIT)


def _record_failing_starts(world: virtual.World, fenced: list[bool]) -> None:
    """Record each task start on the failing worker during its fault."""
    known: set[str] = set()

    def started(entry_id: str, worker_id: str, key: str) -> None:
        worker = world.workers.by_id[FAILING_WORKER]
        failing = worker.fault_until('fail_all', world.now_s)
        if worker_id != FAILING_WORKER or failing is None:
            return
        for entry in world.entries.values():
            workers = entry.core.core.pool.state()['workers']
            if workers[FAILING_WORKER]['condition'] == 'quarantined':
                known.add(entry.id)
        fenced.append(len(known) == len(world.entries))

    world.workers.on_start = started


def _answers(world: virtual.World) -> dict[model.JobId, virtual.Copy]:
    return {
        copy.job_id: copy
        for copy in world.copies
        if copy.answer is not None and not copy.is_progress
    }


def _result(
    arrival: load.Arrival,
    first: virtual.Copy,
    answers: dict[model.JobId, virtual.Copy],
    world: virtual.World,
    start_s: float,
) -> load.JobResult:
    copy = answers.get(first.job_id)
    submission_id = first.job_id.submission_id
    if copy is None:
        return load.JobResult(DRAIN_S, 'open', '', 1, submission_id)
    body = copy.answer.body
    # Add the delay of the response, which is not simulated.
    response_s = copy.answered_at_s + world.network.link_s
    response_s -= start_s + arrival.at_s
    if body['state'] == 'complete':
        return load.JobResult(response_s, 'complete', '', 1, submission_id)
    error = body.get('error', {})
    outcome = error.get('run', body['state'])
    code = str(error.get('code', error.get('kind', '')))
    return load.JobResult(response_s, outcome, code, 1, submission_id)
