"""Memory that jobs take, and dispatchers without room for them."""

import json
import random
import tracemalloc

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from orioleloom import dispatch
from orioleloom.dispatch import _job_memory
from orioleloom.dispatch import _jobs
from orioleloom import memory

QUEUE = dispatch.Queue('check', 'pool', 0, 2, 1.6, 0.06)
ROOM = dispatch.Resources(6_800, 64)
JOB_ID = 'a' * 16


def new_job(job_id=JOB_ID, payload='payload', n_steps=1, n_tasks=1, after=()):
    return dispatch.Job(
        job_id,
        QUEUE,
        payload,
        tuple(
            dispatch.Step(
                n_tasks, ROOM, 0.02 + number, after if number else ()
            )
            for number in range(n_steps)
        ),
    )


def new_dispatcher(limit_bytes=None):
    budget = memory.Budget(limit_bytes) if limit_bytes else memory.Budget()
    dispatcher = dispatch.Dispatcher(
        token=5,
        run_id_base=1,
        random_state=random.Random(1),
        now_s=100.0,
        job_account=memory.JobAccount(budget),
    )
    return dispatcher, budget


def submit(dispatcher, job, **options):
    dispatcher.submit(
        job,
        'e1',
        arrived_s=100.0,
        deadline_s=105.0,
        now_s=100.0,
        **options,
    )
    return [
        effect.outcome
        for effect in dispatcher.take_effects()
        if isinstance(effect, dispatch.AnswerJob)
    ]


@pytest.mark.parametrize(
    'sizes',
    [
        {},
        {'payload': 'x' * 200_000},
        {'payload': 'x' * 200_000 + '\U0001f600'},
        {'n_steps': 1_300, 'after': (0,)},
        {'n_tasks': 1_000},
    ],
    ids=['small', 'long', 'wide', 'steps', 'tasks'],
)
def test_jobs_take_no_more_than_they_count(sizes):
    """Guards against sizes that become wrong with a change of the classes."""
    encoded = [
        msgspec.msgpack.encode(new_job(f'{number:016x}', **sizes))
        for number in range(4)
    ]
    tracemalloc.start()
    jobs = [msgspec.msgpack.decode(e, type=dispatch.Job) for e in encoded]
    n_pending_bytes, _ = tracemalloc.get_traced_memory()
    states = [_jobs.JobState(job, 'e1', 0.0, 5.0, 0.0) for job in jobs]
    tasks = {task.key: task for s in states for task in s.all_tasks()}
    n_led_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(tasks) == 4 * sum(step.n_tasks for step in jobs[0].steps)
    assert n_pending_bytes <= 4 * dispatch.pending_bytes(jobs[0])
    assert n_led_bytes <= 4 * dispatch.led_bytes(jobs[0])


@hypothesis.given(
    payload=strategies.text(max_size=50),
    after=strategies.lists(
        strategies.lists(strategies.integers(0, 9), max_size=6), max_size=20
    ),
    ensure_ascii=strategies.booleans(),
)
def test_encoded_job_counts_at_least_what_it_becomes(
    payload, after, ensure_ascii
):
    """Guards against texts that take more than what is checked first."""
    job = dispatch.Job(
        JOB_ID,
        QUEUE,
        payload,
        tuple(dispatch.Step(1, ROOM, 0.0, tuple(a)) for a in after),
    )
    fields = {
        'spec': payload,
        'phases': [{'count': 1, 'after': list(a)} for a in after],
    }
    data = json.dumps(fields, ensure_ascii=ensure_ascii).encode(
        errors='surrogatepass'
    )
    assert dispatch.encoded_bytes(data) + 200 >= dispatch.pending_bytes(job)


def test_job_without_room_is_refused_as_not_run():
    """Guards against a leader that takes over more than fits into it."""
    dispatcher, budget = new_dispatcher(4_000_000)
    outcomes = []
    for number in range(20):
        outcomes += submit(
            dispatcher, new_job(f'{number:016x}', n_tasks=1_000)
        )
    assert budget.job_bytes <= budget.limit_bytes
    assert 10 < len(outcomes) < 20
    assert {o.kind for o in outcomes} == {dispatch.OutcomeKind.NOT_RUN}
    assert all(o.retry_after_s > 0 for o in outcomes)
    assert submit(dispatcher, new_job()) == []
    for job_id in list(dispatcher.jobs):
        dispatcher.cancel(job_id, 'e1', 'caller left', 100.0)
    assert budget.job_bytes == 0


def test_refusal_of_a_job_that_may_have_run_is_unknown():
    """Guards against "not run" for a job that an earlier leader started."""
    dispatcher, _ = new_dispatcher(200_000)
    job = new_job(n_tasks=1_000)
    (outcome,) = submit(dispatcher, job, last_contact_s=99.0)
    assert outcome.kind is dispatch.OutcomeKind.UNKNOWN
    # Its caller sends it again, at any instance.
    (outcome,) = submit(dispatcher, job)
    assert outcome.kind is dispatch.OutcomeKind.UNKNOWN
    outcome = dispatcher.reserve_memory(
        JOB_ID, 640_000, was_submitted=False, now_s=100.0
    )
    assert outcome.kind is dispatch.OutcomeKind.UNKNOWN


def test_reserved_room_is_used_by_the_job():
    """Guards against a job that is refused after it was granted room."""
    dispatcher, budget = new_dispatcher(4_000_000)
    step = dispatch.Step(1_000, ROOM, 3.0)
    job = new_job()._replace(steps=(step,))
    n_bytes = dispatch.led_bytes(job)
    options = {'was_submitted': False, 'now_s': 100.0}
    assert dispatcher.reserve_memory(JOB_ID, n_bytes, **options) is None
    while not dispatcher.reserve_memory(f'{n_bytes}', 400_000, **options):
        n_bytes += 1
    assert submit(dispatcher, job) == []
    assert JOB_ID in dispatcher.jobs
    # The other jobs do not arrive.
    dispatcher.tick(101.1)
    assert budget.job_bytes == dispatch.led_bytes(job)


def test_start_requests_with_long_payloads_take_turns():
    """Guards against a copy of the payload for each of a thousand starts."""
    payloads = _job_memory.StartPayloads(16_000_000)
    payload = 'x' * 200_000
    assert payloads.add(payload)
    assert payloads.add(payload)
    assert not payloads.add(payload)
    assert payloads.add('x' * 4_000)
    payloads.remove(payload)
    assert payloads.add(payload)
    huge = _job_memory.StartPayloads(1_000)
    assert huge.add(payload)
    assert not huge.add(payload)
