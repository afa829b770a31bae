"""Jobs that reach an instance while it is in a planned stop.

Guards against a stop that accepts jobs until its process exits, and then
leaves their callers without an answer.
"""

import pytest
import trio

from orioleloom import dispatch
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
RUN_TIME_S = 0.5
# Time that the objective of the queue allows such a job.
ALLOWED_S = 1.6 * RUN_TIME_S + 0.06
STOP_S = 4.0


def make_job(number, n_tasks=1):
    return dispatch.Job(
        f'{number:016x}',
        QUEUE,
        'payload',
        (dispatch.Step(n_tasks, dispatch.Resources(6_800, 64), RUN_TIME_S),),
    )


@pytest.fixture(params=['follower', 'leader', 'only instance'])
async def stopping(nursery, request):
    """Return a fleet and an instance of it that begins to stop."""
    data_centres = ['dc0'] * (1 if request.param == 'only instance' else 3)
    fleet = leased.new_fleet(
        nursery, data_centres, workers=leased.site_workers()
    )
    fleet.start()
    await trio.sleep(2)
    (leader_id,) = fleet.leaders()
    instance_id = next(
        name
        for name in sorted(fleet.nodes)
        if (name == leader_id) == (request.param != 'follower')
    )
    fleet.nodes[instance_id].begin_stop(trio.current_time() + STOP_S)
    return fleet, instance_id


def submit(
    fleet,
    instance_id,
    number,
    *,
    n_tasks=1,
    work_s=RUN_TIME_S,
    deadline_s=5.0,
):
    job = make_job(number, n_tasks)
    fleet.submit(instance_id, job, n_tasks * [work_s], deadline_s)
    return job.id


def n_runs(fleet):
    for worker in fleet.workers.values():
        worker.advance(trio.current_time())
    return sum(len(list(w.running())) for w in fleet.workers.values())


async def test_job_with_enough_time_is_done(stopping, autojump_clock):
    fleet, instance_id = stopping
    await trio.sleep(STOP_S - ALLOWED_S - 0.01)
    job_id = submit(fleet, instance_id, 1)
    assert job_id not in fleet.outcomes
    await trio.sleep(ALLOWED_S)
    assert fleet.outcomes[job_id].kind is dispatch.OutcomeKind.COMPLETED


async def test_job_without_enough_time_is_refused_at_once(
    stopping, autojump_clock
):
    """Its caller learns that nothing has run, and that nothing will."""
    fleet, instance_id = stopping
    await trio.sleep(STOP_S - ALLOWED_S + 0.01)
    job_id = submit(fleet, instance_id, 1)
    outcome = fleet.outcomes[job_id]
    assert outcome.kind is dispatch.OutcomeKind.NOT_RUN
    assert outcome.retry_after_s < 1.0
    await trio.sleep(2.0)
    assert not fleet.starts


async def test_job_with_a_short_deadline_is_done(stopping, autojump_clock):
    """A deadline before the end of the stop leaves the time to answer."""
    fleet, instance_id = stopping
    await trio.sleep(STOP_S - ALLOWED_S + 0.1)
    job_id = submit(fleet, instance_id, 1, work_s=0.2, deadline_s=0.6)
    await trio.sleep(0.7)
    assert fleet.outcomes[job_id].kind is dispatch.OutcomeKind.COMPLETED


async def test_running_job_has_an_unknown_outcome_at_the_end(
    stopping, autojump_clock
):
    """It took longer than declared; its run stops, for a resubmission."""
    fleet, instance_id = stopping
    await trio.sleep(STOP_S - ALLOWED_S - 0.01)
    job_id = submit(fleet, instance_id, 1, work_s=4.0)
    await trio.sleep(ALLOWED_S + 0.1)
    assert fleet.outcomes[job_id].kind is dispatch.OutcomeKind.UNKNOWN
    await trio.sleep(0.3)
    assert n_runs(fleet) == 0


async def test_waiting_job_was_not_run_at_the_end(stopping, autojump_clock):
    """A job that waits without a run is refused as not run, not given up."""
    fleet, instance_id = stopping
    submit(fleet, instance_id, 1, n_tasks=100, work_s=9.0)
    await trio.sleep(STOP_S - ALLOWED_S - 0.01)
    n_starts = len(fleet.starts)
    job_id = submit(fleet, instance_id, 2)
    await trio.sleep(ALLOWED_S)
    assert fleet.outcomes[job_id].kind is dispatch.OutcomeKind.NOT_RUN
    assert len(fleet.starts) == n_starts


async def test_jobs_from_before_the_stop_are_answered_at_its_end(
    stopping, autojump_clock
):
    """Their deadlines are later than the end of the process."""
    fleet, instance_id = stopping
    instance = fleet.nodes[instance_id]
    job_id = submit(fleet, instance_id, 1, work_s=9.0, deadline_s=12.0)
    await trio.sleep(STOP_S)
    instance.pending[job_id].deadline_s += 9.0
    instance.end_stop()
    assert fleet.outcomes[job_id].kind is dispatch.OutcomeKind.UNKNOWN
    late_id = submit(fleet, instance_id, 2)
    assert fleet.outcomes[late_id].kind is dispatch.OutcomeKind.NOT_RUN
    await trio.sleep(0.3)
    assert n_runs(fleet) == 0


async def test_job_of_an_earlier_attempt_is_not_refused_as_not_run(
    stopping, autojump_clock
):
    """The caller sends it again on another connection; it runs already."""
    fleet, instance_id = stopping
    await trio.sleep(STOP_S - ALLOWED_S - 0.01)
    job_id = submit(fleet, instance_id, 1)
    await trio.sleep(0.1)
    fleet.submit_declared(instance_id, make_job(1), 5.0)
    assert job_id not in fleet.outcomes
    await trio.sleep(ALLOWED_S)
    assert fleet.outcomes[job_id].kind is dispatch.OutcomeKind.COMPLETED
