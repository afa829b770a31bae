"""CPU time and memory of an engine with simulated workers and table.

Time is virtual: a task takes 50 to 500 ms, a table write 5 ms. Only CPU
time inside the engine is measured.
"""

import gc
import heapq
import itertools
import random
import time
import tracemalloc

from benchmarks import _slope
from benchmarks import submit_cost
from orioleloom import contracts
from orioleloom import engine
from orioleloom.engine import _effects as effects
from orioleloom.engine import _events as events
from orioleloom import model
from orioleloom import validation

JOB_TASKS = (1, 20, 200, 1300)
WORKERS = (24, 200, 900)
N_ENTRIES = 8
TASKS_PER_ROUND = 1_000
N_ROUNDS = 3
WRITE_S = 0.005
TICK_S = 0.05


def result_line(key: str, free_slots: int, run_ms: float) -> model.ResultLine:
    """Return a result line with a separate 100-byte result object."""
    return model.ResultLine(
        key,
        model.TaskOutcome.OK,
        free_slots,
        result=key.ljust(100),
        run_time_ms=run_ms,
    )


class EngineSimulation:
    """Simulation of an engine, its workers and its table."""

    def __init__(self, n_workers: int, *, ticket: bool):
        self.ticket = ticket
        self.rng = random.Random(1)
        self.engine = engine.Engine(
            identity='entry-0000/0123456789abcdef',
            instance_id='entry-0000',
            data_centre='dc',
            settings=engine.EngineSettings(write_budget_per_s=1e5),
            random_state=self.rng,
        )
        self.used_s = 0.0
        self.n_tasks_done = 0
        self.n_tasks_open = 0
        self.n_rows = 0
        self.n_writes = 0
        self.n_exchanges = 0
        # Tasks that fill 60 % of the home slots, the load of F8.
        self.target_open_tasks = max(1, int(0.6 * n_workers * 8 / N_ENTRIES))
        self._now_s = 0.0
        self._heap: list[tuple] = []
        self._numbers = itertools.count(1)
        self._open: dict[int, int] = {}
        rows = [_slope.entry(i) for i in range(N_ENTRIES)]
        rows += [_slope.worker(i) for i in range(n_workers)]
        self.handle(events.MembersChanged(tuple(rows)))
        value = contracts.to_value(_slope.contract(0))
        row = model.Row('contract/customer-000', value, 1)
        self.handle(events.ContractsRead((row,)))
        # After the join hold, during which a new instance has no share.
        self._now_s = 6.0
        self.handle(events.Tick())
        self._schedule(TICK_S, events.Tick())

    def handle(self, event: events.Event) -> None:
        """Pass an event to the engine and apply the effects."""
        began_s = time.process_time()
        found = self.engine.handle(event, self._now_s)
        self.used_s += time.process_time() - began_s
        for effect in found:
            self._apply(effect)

    def _schedule(self, delay_s: float, event: object) -> None:
        heapq.heappush(
            self._heap, (self._now_s + delay_s, next(self._numbers), event)
        )

    def _apply(self, effect: effects.Effect) -> None:
        match effect:
            case effects.WriteTable(token, ops):
                self.n_rows += len(ops)
                self.n_writes += 1
                outcome = model.Committed(next(self._numbers))
                self._schedule(WRITE_S, events.TableDone(token, outcome))
            case effects.SendTasks(exchange_id, _, _, tasks):
                self.n_exchanges += 1
                longest_s = 0.0
                for task in tasks:
                    run_s = self.rng.uniform(0.05, 0.5)
                    longest_s = max(longest_s, run_s)
                    self._schedule(run_s, (exchange_id, task.key, run_s * 1e3))
                self._schedule(
                    longest_s + 1e-4,
                    events.ExchangeEnded(exchange_id, True),
                )
            case effects.Respond(request_id, answer):
                if answer.http_status != 200:
                    raise RuntimeError(f'job refused: {answer.body}')
                n_tasks = self._open.pop(request_id)
                self.n_tasks_open -= n_tasks
                self.n_tasks_done += n_tasks

    def submit(self, request: model.JobRequest, size_bytes: int) -> None:
        """Submit a job, under a ticket if the simulation uses them."""
        number = next(self._numbers)
        began_s = time.process_time()
        name = f'job-{number}'
        if self.ticket:
            (name,) = self.engine.mint_tickets('customer-000', 1, self._now_s)
        self.used_s += time.process_time() - began_s
        self._open[number] = len(request.tasks)
        self.n_tasks_open += len(request.tasks)
        job_id = model.JobId('customer-000', name)
        self.handle(
            events.Submit(
                number, job_id, request, first_attempt=True, body=bytes(0)
            )
        )

    def step(self) -> None:
        """Advance the time to the next event and handle it."""
        self._now_s, _, event = heapq.heappop(self._heap)
        if isinstance(event, tuple):
            exchange_id, key, run_ms = event
            line = result_line(key, self.rng.randrange(5), run_ms)
            event = events.LineReceived(exchange_id, line)
        elif isinstance(event, events.Tick):
            self._schedule(TICK_S, event)
        self.handle(event)

    def run_round(self, request: model.JobRequest, n_tasks: int) -> float:
        """Finish ``n_tasks`` or more; return CPU us per task."""
        used_s, done = self.used_s, self.n_tasks_done
        while self.n_tasks_done < done + n_tasks:
            while self.n_tasks_open < self.target_open_tasks:
                self.submit(request, 200 * len(request.tasks))
            self.step()
        return (self.used_s - used_s) / (self.n_tasks_done - done) * 1e6

    def finish(self) -> None:
        """Run until all jobs end and their records are written."""
        while self.n_tasks_open or len(self.engine.core.claim_writer):
            self.step()

    def pass_time(self, duration_s: float) -> None:
        """Advance the time, dropping all pending events."""
        self._now_s += duration_s
        self._heap = [(self._now_s, 0, events.Tick())]
        self.step()


def make_request(n_tasks: int) -> model.JobRequest:
    """Return a decoded job request with tasks of about 200 bytes."""
    found = validation.check_job(submit_cost.job_body(n_tasks))
    return found._replace(deadline_ms=600_000.0)


def _measure_case(
    n_workers: int, n_tasks: int, ticket: bool
) -> list[_slope.Slope]:
    sim = EngineSimulation(n_workers, ticket=ticket)
    request = make_request(n_tasks)
    sim.run_round(request, TASKS_PER_ROUND)
    rows, writes, sends = sim.n_rows, sim.n_writes, sim.n_exchanges
    done = sim.n_tasks_done
    costs = [sim.run_round(request, TASKS_PER_ROUND) for _ in range(N_ROUNDS)]
    done = sim.n_tasks_done - done
    kind = 'tickets' if ticket else 'claims'
    size = f'{kind}, {n_tasks} tasks a job, {n_workers} workers'
    slopes = [
        _slope.slope('engine', size, 'us a task', costs),
        _slope.slope(
            'engine',
            size,
            'exchanges a task',
            [(sim.n_exchanges - sends) / done],
        ),
    ]
    if not ticket:
        slopes += [
            _slope.slope(
                'engine',
                size,
                'rows a job',
                [(sim.n_rows - rows) / done * n_tasks],
            ),
            _slope.slope(
                'engine',
                size,
                'rows a transaction',
                [(sim.n_rows - rows) / max(1, sim.n_writes - writes)],
            ),
        ]
    return slopes


def processor_time() -> list[_slope.Slope]:
    """Measure CPU time per task for each kind and size of job."""
    slopes = []
    for ticket, n_workers, n_tasks in itertools.product(
        (False, True), WORKERS, JOB_TASKS
    ):
        slopes += _measure_case(n_workers, n_tasks, ticket)
        gc.collect()
    return slopes


def _traced() -> int:
    """Return traced memory, without allocations of this module."""
    gc.collect()
    snapshot = tracemalloc.take_snapshot().filter_traces(
        (
            tracemalloc.Filter(False, __file__),
            tracemalloc.Filter(False, tracemalloc.__file__),
        )
    )
    return sum(trace.size for trace in snapshot.traces)


def _job_memory(n_tasks: int, ticket: bool) -> tuple[float, float, float]:
    """Return bytes per job in flight, ended and after retention."""
    n_jobs = max(2, 1_000 // n_tasks)
    gc.collect()
    sim = EngineSimulation(200, ticket=ticket)
    tracemalloc.start()
    try:
        base = _traced()
        for _ in range(n_jobs):
            sim.submit(make_request(n_tasks), 200 * n_tasks)
        for _ in range(40):
            # After these steps claims are committed; few tasks ended.
            sim.step()
        in_flight = _traced() - base
        sim.finish()
        ended = _traced() - base
        sim.pass_time(sim.engine.core.settings.retention_s + 1)
        forgotten = _traced() - base
    finally:
        tracemalloc.stop()
    return in_flight / n_jobs, ended / n_jobs, forgotten / n_jobs


def memory() -> list[_slope.Slope]:
    """Measure memory per job in flight, ended and expired."""
    slopes = []
    for ticket, n_tasks in itertools.product((False, True), JOB_TASKS):
        runs = [_job_memory(n_tasks, ticket) for _ in range(2)]
        kind = 'tickets' if ticket else 'claims'
        size = f'{kind}, {n_tasks} tasks a job'
        for state, values in zip(
            ('in flight', 'ended', 'forgotten'), zip(*runs)
        ):
            slopes.append(
                _slope.slope('memory', size, f'bytes a job {state}', values)
            )
    return slopes
