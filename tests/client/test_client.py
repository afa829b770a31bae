import json
import random

import httpx
import pytest
import trio
import trio.testing

from orioleloom import client
from orioleloom import errors
from orioleloom import model

TASKS = [
    model.Task('seat_hold', {'seat': 1}, 'museum'),
    model.Task('seat_hold', {'seat': 2}, 'museum', run_time_ms=80.0),
]
RUN = errors.RunStatus
KIND = errors.ErrorKind


class ScriptedInstances:
    """Mock transport handler that answers from a list of steps.

    Each step is an exception type to raise, an ``(http_status, body)``
    pair, or a callable that returns such a pair for a request. The last
    step is repeated.
    """

    def __init__(self, *steps):
        self.steps = list(steps)
        self.requests = []

    def __call__(self, request):
        self.requests.append(request)
        step = self.steps[0]
        if len(self.steps) > 1:
            self.steps.pop(0)
        if isinstance(step, type):
            raise step('scripted failure', request=request)
        if callable(step):
            step = step(request)
        status, body = step
        return httpx.Response(status, json=body)

    def submit_requests(self):
        return [r for r in self.requests if r.url.path.endswith('/jobs')]

    def first_attempt_flags(self):
        return [
            r.headers.get('Orioleloom-Attempt') == 'first'
            for r in self.submit_requests()
        ]


def make_client(instances, **parameters):
    parameters.setdefault('random_state', 0)
    return client.Client(
        parameters.pop('base_urls', ['http://a', 'http://b']),
        customer='noche',
        transport=httpx.MockTransport(instances),
        **parameters,
    )


def complete(request):
    return 200, {
        'submission_id': request.headers.get('Idempotency-Key', 's'),
        'state': 'complete',
        'results': ['r0', 'r1'],
    }


def refusal(kind, *, no_other_copy, **options):
    error = errors.DispatchError(kind, 'scripted', **options)
    status, body = errors.to_response(error, no_other_copy=no_other_copy)
    return status, {'submission_id': 's', 'state': 'failed', 'error': body}


def failed_answer(kind, *, not_run=(), unknown=(), failed=(), done=0):
    status, body = refusal(kind, no_other_copy=True)
    body['tasks'] = {
        'not_run': list(not_run),
        'unknown': list(unknown),
        'failed': list(failed),
        'done': done,
    }
    return status, body


def progress(state='running', n_done=1):
    return 202, {
        'submission_id': 's',
        'state': state,
        'n_tasks': 2,
        'n_started': 2,
        'n_done': n_done,
    }


async def submit(instances, client_parameters=(), **options):
    parameters = dict(client_parameters)
    async with make_client(instances, **parameters) as caller:
        return await caller.submit(TASKS, **options)


async def test_new_submission_is_a_first_attempt(autojump_clock):
    # Guards R4: without the header no instance may answer "not_run".
    instances = ScriptedInstances(complete)
    answer = await submit(instances, deadline_ms=500.0)
    assert answer.results == ['r0', 'r1']
    assert instances.first_attempt_flags() == [True]
    body = json.loads(instances.requests[0].content)
    assert body['deadline_ms'] == 500.0
    assert body['tasks'][1]['run_time_ms'] == 80.0


@pytest.mark.parametrize(
    'lost', [httpx.ReadTimeout, httpx.RemoteProtocolError, httpx.WriteError]
)
async def test_lost_answer_repeats_the_same_bytes(lost, autojump_clock):
    # Guards R1, R5: a repeated request must not be marked as a first
    # attempt, and must have the same submission id and content.
    instances = ScriptedInstances(lost, lost, complete)
    answer = await submit(instances)
    assert answer.attempts == 3
    assert instances.first_attempt_flags() == [True, False, False]
    assert len({r.content for r in instances.requests}) == 1
    keys = {r.headers['Idempotency-Key'] for r in instances.requests}
    assert keys == {answer.submission_id}


async def test_refused_connection_leaves_the_first_attempt(autojump_clock):
    # Guards against a missing first-attempt header on the next request when
    # no bytes of the previous one were sent.
    instances = ScriptedInstances(httpx.ConnectError, complete)
    answer = await submit(instances)
    assert instances.first_attempt_flags() == [True, True]
    assert answer.attempts == 1


async def test_unreachable_instances_mean_not_run(autojump_clock):
    with pytest.raises(client.NotRunError) as raised:
        await submit(ScriptedInstances(httpx.ConnectError))
    assert raised.value.code == 'unreachable'


async def test_unreachable_after_a_lost_answer_is_unknown(autojump_clock):
    # Guards R4: the request whose answer was lost may have run.
    with pytest.raises(client.OutcomeUnknownError):
        await submit(ScriptedInstances(httpx.ReadTimeout, httpx.ConnectError))


async def test_given_id_is_never_concluded_as_not_run(autojump_clock):
    # Guards R4: another process may have sent a copy under an id that the
    # caller passed.
    instances = ScriptedInstances(httpx.ConnectError)
    with pytest.raises(client.OutcomeUnknownError):
        await submit(instances, submission_id='s')
    assert instances.first_attempt_flags() == [False] * len(instances.requests)


async def test_repeated_refusals_of_known_copies_are_not_run(autojump_clock):
    # The answer to the second copy cannot say "not_run" by itself, but the
    # client knows that both copies were refused.
    instances = ScriptedInstances(
        refusal(KIND.OVERLOADED, no_other_copy=True),
        refusal(KIND.OVERLOADED, no_other_copy=False),
    )
    with pytest.raises(client.NotRunError):
        await submit(instances, {'max_attempts': 3})
    assert instances.first_attempt_flags() == [True, False, False]


@pytest.mark.parametrize(
    'first_step',
    [httpx.ReadTimeout, refusal(KIND.OWNER_UNREACHABLE, no_other_copy=True)],
)
async def test_refusal_after_doubt_is_unknown(first_step, autojump_clock):
    # Guards R4: a refusal of a later copy says nothing about the first one,
    # whose outcome is unknown.
    instances = ScriptedInstances(
        first_step, refusal(KIND.OVERLOADED, no_other_copy=False)
    )
    with pytest.raises(client.OutcomeUnknownError):
        await submit(instances, {'max_attempts': 3})


async def test_final_refusal_is_not_repeated(autojump_clock):
    instances = ScriptedInstances(
        refusal(KIND.NOT_RUNNABLE, no_other_copy=True)
    )
    with pytest.raises(client.NotRunError) as raised:
        await submit(instances)
    assert raised.value.code == 'not_runnable'
    assert len(instances.requests) == 1


async def test_retry_after_is_a_lower_bound(autojump_clock):
    # Guards R12: a refused caller must not retry before retry_after_ms.
    instances = ScriptedInstances(
        refusal(KIND.OVER_LIMIT, no_other_copy=True, retry_after_ms=700),
        complete,
    )
    start_s = trio.current_time()
    await submit(instances)
    assert 0.7 <= trio.current_time() - start_s <= 1.1


async def test_stopping_instance_is_left_at_once(autojump_clock):
    # Guards R7: after a refusal by a stopping instance, the next instance is
    # tried without delay.
    instances = ScriptedInstances(
        refusal(KIND.STOPPING, no_other_copy=True), complete
    )
    start_s = trio.current_time()
    await submit(instances)
    assert trio.current_time() - start_s < 0.01
    hosts = [r.url.host for r in instances.requests]
    assert hosts[0] != hosts[1]


async def test_retry_budget_is_shared_by_the_calls(autojump_clock):
    # Guards R12: retries must not multiply the load during an outage.
    instances = ScriptedInstances(httpx.ReadTimeout)
    async with make_client(
        instances, retry_share=0.0, retry_reserve=5.0
    ) as caller:
        for _ in range(10):
            with pytest.raises(client.OutcomeUnknownError):
                await caller.submit(TASKS)
    assert len(instances.requests) == 15


@pytest.mark.parametrize(
    ('answer', 'error_type'),
    [
        (
            failed_answer(KIND.TASK_FAILED, failed=[1], done=1),
            client.JobFailedError,
        ),
        (
            failed_answer(KIND.OUTCOME_UNKNOWN, unknown=[0], not_run=[1]),
            client.OutcomeUnknownError,
        ),
        (
            failed_answer(KIND.DEADLINE_EXCEEDED, not_run=[1], done=1),
            client.JobFailedError,
        ),
        (
            failed_answer(KIND.DEADLINE_EXCEEDED, not_run=[0, 1]),
            client.NotRunError,
        ),
        # A failure with a per-task report is final, even if ERROR_TABLE
        # allows retries for its kind.
        (
            failed_answer(KIND.PLATFORM_UNAVAILABLE, not_run=[0, 1]),
            client.NotRunError,
        ),
        (
            refusal(KIND.INTERNAL, no_other_copy=True),
            client.OutcomeUnknownError,
        ),
        # An error kind unknown to this version leaves the outcome unknown.
        (
            (503, {'state': 'failed', 'error': {'code': 'new_kind'}}),
            client.OutcomeUnknownError,
        ),
    ],
)
async def test_failed_answers_raise_by_outcome(
    answer, error_type, autojump_clock
):
    # Guards R4: each outcome has its own exception type, with the report.
    instances = ScriptedInstances(answer)
    with pytest.raises(client.SubmissionError) as raised:
        await submit(instances)
    assert type(raised.value) is error_type
    assert raised.value.report == answer[1].get('tasks')
    assert len(instances.requests) == 1


async def test_progress_is_followed_by_polling(autojump_clock):
    # Guards R3: an answer that takes longer than one request's wait still
    # reaches the caller.
    instances = ScriptedInstances(progress(), progress(), complete)
    counts = []
    await submit(instances, on_progress=counts.append)
    methods = [r.method for r in instances.requests]
    assert methods == ['POST', 'GET', 'GET']
    assert len(counts) == 2
    # Polls go to the instance that accepted the job.
    assert len({r.url.host for r in instances.requests}) == 1
    assert float(instances.requests[1].url.params['wait_s']) > 0


async def test_dead_holder_gets_the_job_submitted_elsewhere(autojump_clock):
    # Guards against polling for a job whose owner is gone: another instance
    # takes it over only when it receives a new copy of the submission.
    instances = ScriptedInstances(
        progress(),
        httpx.ReadError,
        refusal(KIND.OWNER_UNREACHABLE, no_other_copy=False),
        complete,
    )
    await submit(instances)
    assert instances.first_attempt_flags() == [True, False, False]


async def test_without_wait_progress_is_returned(autojump_clock):
    instances = ScriptedInstances(progress('queued'))
    answer = await submit(instances, wait=False)
    assert (answer.state, answer.progress['n_tasks']) == ('queued', 2)
    assert instances.requests[0].headers['Prefer'] == 'wait=0'


async def test_answer_without_json_counts_as_lost(autojump_clock):
    # Guards R16: an error response of a proxy says nothing about the job.
    instances = ScriptedInstances((502, ['not an object']), complete)
    assert (await submit(instances)).attempts == 2


async def test_patience_bounds_a_call(autojump_clock):
    # Guards against a call that polls forever for a job that never ends.
    start_s = trio.current_time()
    with pytest.raises(client.OutcomeUnknownError):
        await submit(ScriptedInstances(progress()), {'patience_s': 3.0})
    assert trio.current_time() - start_s == pytest.approx(3.0, abs=0.1)


def mint(request):
    count = int(request.url.params['count'])
    tickets = [f't1.{request.url.host}.{i}' for i in range(count)]
    return 200, {'tickets': tickets}


async def test_tickets_are_used_at_their_minter(autojump_clock):
    # Guards against jobs that have to be forwarded, because their ticket was
    # minted by another instance than the one they are sent to.
    def answer(request):
        if request.url.path.endswith('/tickets'):
            return mint(request)
        return complete(request)

    instances = ScriptedInstances(answer)
    async with make_client(
        instances, use_tickets=True, ticket_block=4
    ) as caller:
        answers = [await caller.submit(TASKS) for _ in range(8)]
    assert len({answer.submission_id for answer in answers}) == 8
    assert len(instances.requests) == 10
    for request in instances.submit_requests():
        key = request.headers['Idempotency-Key']
        assert key.startswith(f't1.{request.url.host}.')
    assert instances.first_attempt_flags() == [True] * 8


async def test_refused_ticket_is_replaced(autojump_clock):
    # Other instances cannot run a job under the ticket of a stopping one.
    def mint_again(request):
        return mint(request)

    instances = ScriptedInstances(
        mint,
        refusal(KIND.STOPPING, no_other_copy=True),
        mint_again,
        complete,
    )
    answer = await submit(instances, {'use_tickets': True})
    last = instances.submit_requests()[-1]
    assert last.headers['Idempotency-Key'] == answer.submission_id
    assert answer.submission_id.startswith(f't1.{last.url.host}.')
    assert instances.first_attempt_flags() == [True, True]


async def test_ticket_with_a_lost_answer_is_kept(autojump_clock):
    # Guards R1: under another id the job could run a second time.
    instances = ScriptedInstances(
        mint,
        httpx.ReadTimeout,
        refusal(KIND.TICKET_OWNER_GONE, no_other_copy=False),
    )
    with pytest.raises(client.OutcomeUnknownError):
        await submit(instances, {'use_tickets': True})
    keys = {r.headers['Idempotency-Key'] for r in instances.submit_requests()}
    assert len(keys) == 1


async def test_fetch_and_progress(autojump_clock):
    report = failed_answer(KIND.TASK_FAILED, failed=[0], done=1)
    async with make_client(
        ScriptedInstances(httpx.ReadError, progress(), complete, report)
    ) as caller:
        assert (await caller.fetch('s')).state == 'running'
        assert (await caller.progress('s'))['n_done'] == 2
        counts = await caller.progress('s')
    assert (counts['n_tasks'], counts['n_started']) == (2, 2)


async def test_refused_fetch_does_not_say_not_run(autojump_clock):
    # Guards R4: "not_run" in the answer to a query refers to the query, not
    # to the job.
    instances = ScriptedInstances(
        refusal(KIND.UNKNOWN_JOB, no_other_copy=True)
    )
    async with make_client(instances) as caller:
        with pytest.raises(client.OutcomeUnknownError):
            await caller.fetch('s')


async def test_cancel_returns_what_became_of_the_job(autojump_clock):
    cancelled = failed_answer(KIND.CANCELLED, not_run=[0, 1])
    async with make_client(
        ScriptedInstances(httpx.ReadError, cancelled, complete)
    ) as caller:
        answer = await caller.cancel('s')
        assert answer.state == 'cancelled'
        assert answer.report['not_run'] == [0, 1]
        assert (await caller.cancel('s')).state == 'complete'


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('base_urls', []),
        ('base_urls', ['example']),
        ('max_attempts', 0),
        ('patience_s', float('nan')),
    ],
)
async def test_parameters_are_checked_by_name(name, value):
    with pytest.raises(ValueError, match=name):
        async with make_client(ScriptedInstances(complete), **{name: value}):
            pass


def test_blocking_front_keeps_its_budget():
    # Guards against a retry budget that is reset by each call.
    instances = ScriptedInstances(httpx.ReadError)
    blocking = client.BlockingClient(
        ['http://a', 'http://b'],
        customer='noche',
        transport=httpx.MockTransport(instances),
        retry_reserve=1.0,
        retry_share=0.0,
        random_state=0,
    )
    for _ in range(2):
        with pytest.raises(client.OutcomeUnknownError):
            blocking.submit(TASKS)
    assert len(instances.requests) == 3


def test_backoff_grows_with_jitter_up_to_its_bound():
    # Guards R12: equal delays would make refused callers retry at the same
    # time.
    backoff = client.Backoff(
        initial_ms=100, max_ms=1_000, random_state=random.Random(0)
    )
    delays = [backoff.delay_ms(n) for n in (1, 2, 3, 10, 5_000)]
    for delay, high in zip(delays, (100, 200, 400, 1_000, 1_000), strict=True):
        assert high / 2 <= delay <= high
