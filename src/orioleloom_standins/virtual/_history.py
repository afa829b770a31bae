import collections.abc
import random
import typing

from orioleloom import engine
from orioleloom_standins import audit
from orioleloom_standins.virtual._entry import Entry
from orioleloom_standins.virtual._fault_steps import FAULT_DURATIONS_S
from orioleloom_standins.virtual._fault_steps import FaultSteps
from orioleloom_standins.virtual._history_end import check_end
from orioleloom_standins.virtual._requests import Copy
from orioleloom_standins.virtual._world import CUSTOMER
from orioleloom_standins.virtual._world import default_contract
from orioleloom_standins.virtual._world import default_workers
from orioleloom_standins.virtual._world import World

SECOND_CUSTOMER = 'noche'
CUSTOMERS = (CUSTOMER, SECOND_CUSTOMER)
IN_FLIGHT = 12
ADVANCES_S = (0.0, 0.001, 0.005, 0.05, 0.3, 1.0, 3.0, 7.0)
WORK_MS = (5.0, 50.0, 300.0, 3000.0)
N_TASKS = (1, 2, 8, 40)
DEADLINES_MS = (None, None, None, 400.0, 3000.0)
STOP_TIMEOUTS_S = (3.0, 30.0)

# Sum of the default deadline of a job, the time to write its record and
# a margin.
_RECOVERY_S = 20.0 + 30.0 + 10.0


class History(FaultSteps):
    """A simulated world and the steps of a generated history.

    Every step takes three numbers that select its target and variant
    from those available at that time. A step that does not apply does
    nothing.

    :param seed: seed of the world
    :param engine_class: the engine, or a variant with an injected defect
    """

    def __init__(
        self, seed: int = 0, engine_class: type[engine.Engine] = engine.Engine
    ):
        world = World(
            seed=seed,
            workers=default_workers(4),
            contracts=[
                default_contract(in_flight=IN_FLIGHT),
                default_contract(
                    customer=SECOND_CUSTOMER, in_flight=IN_FLIGHT
                ),
            ],
            engine_class=engine_class,
            settings=engine.EngineSettings(
                stop_timeout_s=STOP_TIMEOUTS_S[seed % 2]
            ),
        )
        super().__init__(world)
        self.n_submitted = 0
        self.world.watch.limits = dict.fromkeys(CUSTOMERS, IN_FLIGHT)

    def _select_live_entry(self, number: int) -> Entry | None:
        live = [e for e in self.world.entries.values() if e.alive]
        return live[number % len(live)] if live else None

    def _select_job(self, number: int) -> Copy | None:
        first = {c.job_id: c for c in reversed(self.world.copies)}
        jobs = [c for c in first.values() if c.tasks]
        return jobs[number % len(jobs)] if jobs else None

    # Callers

    def submit(self, a: int, b: int, c: int) -> None:
        """Send the first copy of a job with an id chosen by the caller."""
        self._submit(f's{self.n_submitted}', CUSTOMERS[c // 9 % 2], a, b, c)

    def submit_ticket(self, a: int, b: int, c: int) -> None:
        """Send the first copy of a job with a ticket as its id."""
        issuer = self._select_live_entry(b // 7)
        if issuer is None or not issuer.core.is_ready():
            return
        self._submit(self.world.mint_ticket(issuer.id), CUSTOMER, a, b, c)

    def _submit(
        self, submission_id: str, customer: str, a: int, b: int, c: int
    ) -> None:
        entry = self._select_live_entry(a)
        if entry is None:
            return
        self.n_submitted += 1
        work_ms = [WORK_MS[b % len(WORK_MS)]] * N_TASKS[c % len(N_TASKS)]
        self.world.submit(
            submission_id,
            work_ms,
            customer=customer,
            run_times_ms=[(None, 1.0, 100.0, 5000.0)[a // 11 % 4]]
            * len(work_ms),
            entry_id=entry.id,
            first=a % 5 < 3,
            deadline_ms=DEADLINES_MS[b // 13 % len(DEADLINES_MS)],
        )

    def resubmit(self, a: int, b: int, c: int) -> None:
        """Send a later copy of a job.

        A caller that promised to send only one copy closes its connection
        first. A caller that was refused with "not run" would use a new
        id, so its job is not resubmitted.
        """
        entry = self._select_live_entry(b)
        job = self._select_job(a)
        if entry is None or job is None:
            return
        copies = [k for k in self.world.copies if k.job_id == job.job_id]
        if any(map(_refused_not_run, copies)):
            return
        for copy in copies:
            if copy.first and copy.answer is None:
                copy.gave_up = True
        self.world.callers.send_copy(
            job.job_id, job.tasks, entry.id, deadline_ms=job.deadline_ms
        )

    def cancel(self, a: int, b: int, c: int) -> None:
        """Cancel a job at any instance."""
        entry, job = self._select_live_entry(b), self._select_job(a)
        if entry is not None and job is not None:
            self.world.cancel(
                job.job_id.submission_id,
                entry_id=entry.id,
                customer=job.job_id.customer,
            )

    def fetch(self, a: int, b: int, c: int) -> None:
        """Request the answer of a job from any instance."""
        entry, job = self._select_live_entry(b), self._select_job(a)
        if entry is not None and job is not None:
            self.world.callers.fetch(job.job_id, job.tasks, entry.id)

    def disconnect(self, a: int, b: int, c: int) -> None:
        """Close the connection of a waiting caller."""
        waiting = [k for k in self.world.copies if k.answer is None]
        if waiting:
            self.world.callers.disconnect(waiting[a % len(waiting)])

    def change_contract(self, a: int, b: int, c: int) -> None:
        """Send a contract change to one or to all instances."""
        for entry in list(self.world.entries.values()):
            if not entry.alive or entry.paused:
                continue
            customer = CUSTOMERS[c % 2]
            known = entry.core.core.contract_book.get(customer)
            if known is not None:
                self._disable_share_check()
                self.world.put_contract(
                    entry.id,
                    known.version,
                    customer=customer,
                    in_flight=6 + a % 20,
                )
            if b % 2:
                break

    # Time

    def advance(self, a: int, b: int, c: int) -> None:
        """Advance virtual time."""
        self.world.run_for(ADVANCES_S[a % len(ADVANCES_S)])

    # End

    def finish(self) -> list[audit.Violation]:
        """End all faults, let the system recover and return violations."""
        world = self.world
        self.heal(0, 0, 0)
        world.platform.unavailable_until_s = world.platform.slow_until_s = 0.0
        world.platform.lose_answers = world.platform.lose_writes = 0
        world.platform.delay_writes = 0
        world.workers.dead.clear()
        world.workers.stalled.clear()
        # Every pause and every fault of a worker has ended after this time.
        world.run_for(max(FAULT_DURATIONS_S))
        live = [
            entry
            for entry in world.entries.values()
            if entry.alive and not entry.core.core.stopping
        ]
        if not live:
            entry = self._select_entry(0)
            if entry.alive:
                world.kill(entry)
            self._restart(entry)
        world.run_for(_RECOVERY_S)
        probes = [
            world.submit(f'probe-{entry.id}', [50.0] * 4, entry_id=entry.id)
            for entry in world.entries.values()
            if entry.alive and not entry.core.core.stopping
        ]
        world.run_for(15.0)
        return [
            *world.violations(),
            *check_end(world, probes, CUSTOMERS),
        ]


def _refused_not_run(copy: Copy) -> bool:
    if copy.answer is None or copy.is_progress:
        return False
    if copy.cancel or copy.fetch:
        return False
    body = copy.answer.body
    return (
        'tasks' not in body and body.get('error', {}).get('run') == 'not_run'
    )


# Weights of the steps in random histories. Time advances often, so that
# faults occur while jobs are in progress.
STEP_WEIGHTS: dict[str, int] = {
    'submit': 6,
    'submit_ticket': 3,
    'resubmit': 4,
    'cancel': 2,
    'fetch': 1,
    'disconnect': 1,
    'change_contract': 2,
    'advance': 12,
    'kill': 2,
    'restart': 2,
    'pause': 2,
    'stop': 1,
    'jump_clock': 1,
    'cut': 2,
    'heal': 1,
    'lose_messages': 1,
    'outage': 1,
    'fail_writes': 2,
    'fail_worker': 2,
}

MAX_NUMBER = 2**16


def random_history(
    seed: int,
    *,
    n_steps: int = 30,
    engine_class: type[engine.Engine] = engine.Engine,
    trace: collections.abc.Callable[..., typing.Any] | None = None,
) -> tuple[list[audit.Violation], History]:
    """Run a history with random steps.

    :param seed: seed of the steps and of the world
    :param n_steps: maximum number of steps
    :param trace: called with the time, name and numbers of each step
    :returns: violations, and the history
    """
    random_state = random.Random(seed)
    history = History(seed, engine_class)
    names = random_state.choices(
        list(STEP_WEIGHTS),
        list(STEP_WEIGHTS.values()),
        k=random_state.randint(1, n_steps),
    )
    for name in names:
        numbers = [random_state.randrange(MAX_NUMBER) for _ in range(3)]
        if trace is not None:
            trace(history.world.now_s, name, numbers)
        getattr(history, name)(*numbers)
    return history.finish(), history
