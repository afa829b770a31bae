"""The checks detect each injected defect and pass without it."""

import typing

import pytest

from orioleloom import engine
from orioleloom import errors
from orioleloom import model
from orioleloom_standins import audit
from orioleloom_standins import virtual
from tests.faults import defects
from tests.faults import injections
from tests.faults import test_matrix

Scenario = typing.Callable[[type], list[audit.Violation]]


def _fault_at_step(step: str, fault: str) -> Scenario:
    def scenario(engine_class: type) -> list[audit.Violation]:
        world, _ = test_matrix.run_with_faults(
            1, [(step, 1, fault)], engine_class=engine_class
        )
        return world.violations()

    return scenario


def _not_run_then_killed(engine_class: type) -> list[audit.Violation]:
    """The owner dies after answering "not run" and before recording it."""
    world = virtual.World(seed=1, engine_class=engine_class)
    world.submit('busy', [6000.0] * 24)
    world.run_for(0.5)
    world.processes.on_step = lambda step, entry: (
        injections.kill(world, entry)
        if step == 'record' and entry.id == 'e0'
        else None
    )
    world.submit('s1', [50.0], deadline_ms=5000.0)
    world.run_for(5.5)
    world.submit('s1', [50.0], entry_id='e1', deadline_ms=5000.0)
    world.run_for(40.0)
    return world.violations()


def _cut_before_the_raise(engine_class: type) -> list[audit.Violation]:
    """The owner loses the platform before a job gets its slots."""
    world = virtual.World(seed=1, engine_class=engine_class)
    world.submit('busy', [300.0] * 40)
    world.run_for(0.2)
    world.submit('s1', [8000.0] * 4)
    world.run_for(0.05)
    world.network.cut.add(frozenset(('e0', 'platform')))
    world.run_for(4.0)
    world.kill(world.entries['e0'])
    world.submit('s1', [8000.0] * 4, entry_id='e1')
    world.run_for(40.0)
    return world.violations()


def _queued_then_killed(engine_class: type) -> list[audit.Violation]:
    """The owner dies while it runs a job that had to wait for slots."""
    world = virtual.World(seed=1, engine_class=engine_class)
    world.submit('busy', [300.0] * 40)
    world.run_for(0.2)
    world.submit('s1', [8000.0] * 4)
    world.run_for(3.0)
    world.kill(world.entries['e0'])
    world.submit('s1', [8000.0] * 4, entry_id='e1')
    world.run_for(40.0)
    return world.violations()


def _two_copies_in_an_outage(engine_class: type) -> list[audit.Violation]:
    """A claim is given up while another copy is claimed elsewhere."""
    world = virtual.World(seed=1, engine_class=engine_class)
    world.network.cut.add(frozenset(('e0', 'platform')))
    world.submit('s1', [50.0] * 4)
    world.submit('s1', [50.0] * 4, entry_id='e1')
    world.run_for(10.0)
    return world.violations()


def _late_contract(engine_class: type) -> list[audit.Violation]:
    """Messages with an old contract version arrive after the new one."""
    world = virtual.World(seed=1, engine_class=engine_class)
    world.network.peer_duplicates = 1.0
    for version in (1, 2, 3):
        world.put_contract('e0', version, in_flight=10 * version)
        world.run_for(0.7)
    world.run_for(10.0)
    return world.violations()


def _history(seed: int) -> Scenario:
    """Return a scenario that runs a random history."""

    def scenario(engine_class: type) -> list[audit.Violation]:
        return virtual.random_history(seed, engine_class=engine_class)[0]

    return scenario


def _resumed_after_takeover(engine_class: type) -> list[audit.Violation]:
    """The owner resumes from a pause after its claim was taken over."""
    world = virtual.World(seed=1, engine_class=engine_class)
    world.submit('s1', [500.0] * 200)
    world.run_for(1.0)
    world.processes.pause(world.entries['e0'], 8.0)
    world.submit('s1', [500.0] * 200, entry_id='e1')
    world.run_for(60.0)
    return world.violations()


def _cancelled_while_running(engine_class: type) -> list[audit.Violation]:
    """A cancel must not be answered while tasks of the job still run."""
    world = virtual.World(seed=1, engine_class=engine_class)
    world.submit('s1', [2000.0] * 4)
    world.run_for(0.5)
    cancel = world.cancel('s1')
    while cancel.answer is None:
        world.run_for(0.0005)
    running = [
        audit.Violation('cancelled_but_running', run.key, worker.worker_id)
        for worker in world.workers.by_id.values()
        for run in worker.running.values()
    ]
    world.run_for(10.0)
    return world.violations() + running


def _ticket_after_retention(engine_class: type) -> list[audit.Violation]:
    """A copy of a ticket arrives after its job was forgotten."""
    world = virtual.World(
        seed=1,
        engine_class=engine_class,
        settings=engine.EngineSettings(retention_s=2.0),
    )
    ticket = world.mint_ticket()
    world.submit(ticket, [50.0] * 4)
    world.run_for(5.0)
    world.submit(ticket, [50.0] * 4, entry_id='e1')
    world.submit(ticket, [50.0] * 4)
    world.run_for(10.0)
    return world.violations()


def _other_content(engine_class: type) -> list[audit.Violation]:
    """One submission id is used for two jobs."""
    world = virtual.World(seed=1, engine_class=engine_class)
    first = world.submit('s1', [50.0] * 4)
    second = world.submit('s1', [60.0] * 4)
    world.run_for(10.0)
    bodies = [copy.answer.body for copy in (first, second)]
    both = [body['state'] for body in bodies] == ['complete'] * 2
    return world.violations() + both * [
        audit.Violation('other_content_accepted', 's1', '')
    ]


def _repeated_grants(engine_class: type) -> list[audit.Violation]:
    """Every peer message arrives twice, the second one 3 s later."""
    world = virtual.World(
        seed=1,
        engine_class=engine_class,
        workers=virtual.default_workers(slots=32),
        contracts=[virtual.default_contract(in_flight=30)],
    )
    world.watch.limits = {virtual.CUSTOMER: 30}
    world.network.peer_duplicates = 1.0
    for index in range(60):
        world.submit(f's{index}', [400.0] * 10)
    world.run_for(20.0)
    return world.violations()


def _stop_with_remote_waiter(engine_class: type) -> list[audit.Violation]:
    """A caller of a stopping instance waits for another one's job."""
    world = virtual.World(
        seed=1,
        engine_class=engine_class,
        contracts=[virtual.default_contract(deadline_ms=100_000.0)],
    )
    world.submit('s1', [20_000.0] * 12, entry_id='e1')
    world.run_for(1.0)
    world.submit('s1', [20_000.0] * 12)
    world.run_for(1.0)
    world.processes.stop(world.entries['e0'])
    world.run_for(60.0)
    cut_off = audit.Violation('cut_off', 'e0', '')
    return world.violations() + world.processes.n_cut_off * [cut_off]


def _late_record_before_cancel(engine_class: type) -> list[audit.Violation]:
    """A delayed record of a job is written along with a cancel.

    The write of the record is delayed, two retries are lost, and the
    cancel is part of the last of these transactions.
    """
    world = virtual.World(seed=1, engine_class=engine_class)
    entry = world.entries['e0']

    def delay_record(step: str, entry: virtual.Entry) -> None:
        if step == 'record':
            world.processes.on_step = None
            world.platform.delay_writes = 1

    world.processes.on_step = delay_record
    world.submit('s1', [50.0])
    world.run_for(0.9)
    world.platform.lose_writes = 2
    world.run_for(0.9)
    assert len(entry.core.core.claim_writer) == 1
    tasks = world.copies[0].tasks
    job_id = model.JobId(virtual.CUSTOMER, 's2')
    cancel = world.callers.cancel_job(job_id, tasks, 'e0')
    try:
        world.run_for(10.0)
    except errors.DispatchError as error:
        return [audit.Violation('error', 's2', error.message)]
    assert cancel.answer is not None
    return world.violations()


SCENARIOS: dict[type, Scenario] = {
    defects.ClaimSkipped: _fault_at_step('receive', 'pause'),
    defects.WatermarkIgnored: _queued_then_killed,
    defects.BlindRetry: _fault_at_step('committed', 'cut_workers'),
    defects.TakeoverRunsAll: _fault_at_step('run', 'kill'),
    defects.TakeoverUnconditional: _fault_at_step(
        'committed', 'cut_data_centre'
    ),
    defects.ConflictTakenAsCommit: _fault_at_step('receive', 'pause'),
    defects.NotRunBeforeRecord: _not_run_then_killed,
    defects.UnknownSaidNotRun: _fault_at_step('run', 'kill'),
    defects.RefusalSaysNotRun: _fault_at_step('committed', 'kill'),
    defects.LateLineAccepted: _fault_at_step('receive', 'peers_lossy'),
    defects.PartialAnswer: _fault_at_step('receive', 'worker_stalled'),
    defects.StaleContractAccepted: _late_contract,
    defects.TicketRunAnywhere: _fault_at_step('receive', 'pause'),
    defects.GivenUpClaimRuns: _two_copies_in_an_outage,
    defects.RaiseBeforeCommit: _cut_before_the_raise,
    defects.SupersededGoesOn: _resumed_after_takeover,
    defects.CancelUnrecorded: _history(23),
    defects.CancelAnsweredEarly: _cancelled_while_running,
    defects.TicketAgeIgnored: _ticket_after_retention,
    defects.DigestIgnored: _other_content,
    defects.DeadlineIgnored: _history(0),
    defects.JoinedCopyForgotten: _history(7),
    defects.LeavingIgnored: _history(4),
    defects.DuplicateGrantCounted: _repeated_grants,
    defects.LoanNotCounted: _repeated_grants,
    defects.GrantKept: _history(60),
    defects.RejectionNotRefunded: _history(0),
    defects.UnknownNotFinished: _history(0),
    defects.PollIgnored: _history(2),
    defects.StopCutsOff: _stop_with_remote_waiter,
    defects.StopForgetsRemoteWaiters: _stop_with_remote_waiter,
    defects.ClockFollowedBack: _history(1),
    defects.LateWriteTakenAsProof: _late_record_before_cancel,
}


@pytest.mark.parametrize('defect', defects.DEFECTS)
def test_defect_is_caught(defect):
    # Guards against checks that cannot fail: the scenario must have
    # violations with the defect and none with the real engine.
    scenario = SCENARIOS[defect]
    assert scenario(defect) != []
    assert scenario(engine.Engine) == []
