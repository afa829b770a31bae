import random
import secrets
import typing
import urllib.parse

import httpx
import trio

from orioleloom.client import _errors
from orioleloom.client import _retry
from orioleloom.client import _tickets
from orioleloom.client import _types
from orioleloom import codec
from orioleloom import errors
from orioleloom import model

ATTEMPT_HEADER = 'Orioleloom-Attempt'

# An instance that could not be reached is chosen last for this long.
AVOID_S = 2.0

# Time for an answer to arrive beyond the wait that it was asked for.
ANSWER_MARGIN_S = 5.0

# Least time between two polls of a job.
POLL_INTERVAL_S = 0.05

# Failures of httpx for which no byte of the request has left: no
# connection was made, or none was free.
_NOTHING_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


class _Reply(typing.NamedTuple):
    """A JSON answer of an instance."""

    http_status: int
    body: dict[str, typing.Any]

    @property
    def error(self) -> dict[str, typing.Any]:
        error = self.body.get('error')
        return error if isinstance(error, dict) else {}


class _Nothing(typing.NamedTuple):
    """A request without a usable answer.

    :param may_have_left: bytes of the request may have left
    """

    may_have_left: bool
    reason: str


class _Submission:
    """Progress of one call of :meth:`Client.submit`.

    :param sole: no copy may exist beyond those that this client sent
    :param in_doubt: a copy may have left and was not answered
    """

    def __init__(self, submission_id: str, *, sole: bool, content: bytes):
        self.submission_id = submission_id
        self.sole = sole
        self.content = content
        self.n_sent = 0
        self.n_failures = 0
        self.in_doubt = False
        self.accepted_at: str | None = None
        self.last_url: str | None = None

    @property
    def nothing_can_run(self) -> bool:
        """Whether each copy that exists was refused as not run."""
        return self.sole and not self.in_doubt


class Client:
    """Submits jobs to entry instances over HTTP.

    Use it as an async context manager. A lost answer is asked for again
    under the same submission id, which never starts a task twice.

    :param base_urls: base URLs of entry instances or load balancers
    :param customer: customer in whose name jobs are submitted
    :param max_attempts: failures of one call before it gives up, >= 1
    :param wait_s: longest wait asked of an instance in one request
    :param patience_s: time a call may take beyond the job's deadline, or
        in all when the job has none
    :param connect_timeout_s: time to open a connection
    :param use_tickets: fetch tickets ahead and submit under them, which
        saves the table write of a claim
    :param ticket_block: tickets fetched with one request
    :param random_state: seed or generator for ids' order and jitter
    :param transport: replaces the network in tests

    >>> import trio
    >>> from orioleloom import model
    >>> async def main():
    ...     async with Client(
    ...         ['http://127.0.0.1:8080'], customer='noche'
    ...     ) as client:
    ...         task = model.Task('seat_hold', {'seat': 4}, 'seats')
    ...         return await client.submit([task])
    >>> trio.run(main)  # doctest: +SKIP
    """

    def __init__(
        self,
        base_urls: typing.Sequence[str],
        *,
        customer: str,
        max_attempts: int = 8,
        wait_s: float = 20.0,
        patience_s: float = 90.0,
        connect_timeout_s: float = 2.0,
        use_tickets: bool = False,
        ticket_block: int = 32,
        backoff_initial_ms: float = 50.0,
        backoff_max_ms: float = 5_000.0,
        retry_share: float = 0.2,
        retry_reserve: float = 20.0,
        random_state: random.Random | int | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ):
        self.base_urls = base_urls
        self.customer = customer
        self.max_attempts = max_attempts
        self.wait_s = wait_s
        self.patience_s = patience_s
        self.connect_timeout_s = connect_timeout_s
        self.use_tickets = use_tickets
        self.ticket_block = ticket_block
        self.backoff_initial_ms = backoff_initial_ms
        self.backoff_max_ms = backoff_max_ms
        self.retry_share = retry_share
        self.retry_reserve = retry_reserve
        self.random_state = random_state
        self.transport = transport
        self._http: httpx.AsyncClient | None = None

    async def __aenter__(self) -> 'Client':
        self._check_parameters()
        self._urls = [url.rstrip('/') for url in self.base_urls]
        if not isinstance(self.random_state, random.Random):
            self.random_state = random.Random(self.random_state)
        if not hasattr(self, '_budget'):
            # Kept over openings, since BlockingClient opens once a call.
            self._budget = _retry.RetryBudget(
                share=self.retry_share, reserve=self.retry_reserve
            )
        self._backoff = _retry.Backoff(
            initial_ms=self.backoff_initial_ms,
            max_ms=self.backoff_max_ms,
            random_state=self.random_state,
        )
        self._tickets = _tickets.TicketStore(block=self.ticket_block)
        self._avoid_until_s: dict[str, float] = {}
        self._next_url = self.random_state.randrange(len(self._urls))
        self._http = httpx.AsyncClient(
            transport=self.transport,
            # A proxy that repeats requests would break the promise of a
            # first attempt, so proxies from the environment are not used.
            trust_env=False,
            # Loading the certificates takes tens of milliseconds.
            verify=any(url.startswith('https:') for url in self._urls),
            limits=httpx.Limits(
                max_connections=None, max_keepalive_connections=256
            ),
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        http, self._http = self._http, None
        if http is not None:
            await http.aclose()

    def _check_parameters(self) -> None:
        if isinstance(self.base_urls, str) or not self.base_urls:
            raise ValueError(
                f'base_urls is {self.base_urls!r}; a list with at least '
                f'one base URL is required'
            )
        for url in self.base_urls:
            if not url.startswith(('http://', 'https://')):
                raise ValueError(
                    f'base_urls contains {url!r}; each must begin with '
                    f'http:// or https://'
                )
        for name, low, high in (
            ('max_attempts', 1, 1_000),
            ('wait_s', 0, 600),
            ('patience_s', 0.001, 86_400),
            ('connect_timeout_s', 0.001, 60),
            ('ticket_block', 1, 10_000),
            ('backoff_initial_ms', 0, 60_000),
            ('backoff_max_ms', 0, 600_000),
            ('retry_share', 0, 10),
            ('retry_reserve', 0, 1_000_000),
        ):
            value = getattr(self, name)
            if not low <= value <= high:
                raise ValueError(
                    f'{name} is {value!r}; from {low} to {high} is accepted'
                )
        if not self.customer:
            raise ValueError('customer is empty; a name is required')

    async def submit(
        self,
        tasks: typing.Iterable[model.Task],
        *,
        submission_id: str | None = None,
        first_attempt: bool | None = None,
        deadline_ms: float | None = None,
        wait: bool = True,
        on_progress: typing.Callable[[model.Progress], None] | None = None,
        progress_interval_s: float = 0.5,
    ) -> _types.JobAnswer:
        """Submit a job.

        :param tasks: tasks of the job, in the order of the results
        :param submission_id: id to submit under; by default a new one
        :param first_attempt: promise that no copy was sent under this id
            before; by default made only for a new id
        :param deadline_ms: time from receipt to answer, in milliseconds
        :param wait: wait for the answer; otherwise return once an
            instance has accepted the job
        :param on_progress: called with the counts while waiting
        :param progress_interval_s: time between these calls
        :returns: answer with the results, or the progress without wait
        :raises NotRunError: nothing ran and nothing will
        :raises OutcomeUnknownError: tasks may have run
        :raises JobFailedError: the job failed, with a report per task
        """
        content = encode_job(tasks, deadline_ms)
        url = self._choose_url()
        ticket = None
        if submission_id is None:
            if self.use_tickets:
                ticket = await self._tickets.take(url, self._mint)
            # Ids must be unique over all processes, whatever their seed.
            submission_id = ticket or secrets.token_hex(16)
            sole = True if first_attempt is None else first_attempt
        else:
            sole = bool(first_attempt)
        submission = _Submission(submission_id, sole=sole, content=content)
        self._budget.request()
        limit_s = self.patience_s + (deadline_ms or 0) / 1e3
        end_s = trio.current_time() + limit_s
        slice_s = self.wait_s
        if on_progress is not None:
            slice_s = min(slice_s, progress_interval_s)
        while True:
            left_s = end_s - trio.current_time()
            if left_s <= 0:
                raise self._conclude(
                    submission,
                    _errors.ANSWER_LOST,
                    f'no answer within {limit_s:g} s',
                )
            wait_s = min(slice_s, left_s) if wait else 0.0
            submission.last_url = url
            asked_s = trio.current_time()
            if submission.accepted_at is None:
                reply = await self._post_job(submission, url, wait_s)
            else:
                reply = await self._get_job(submission_id, url, wait_s)
            match reply:
                case _Reply(202, body):
                    submission.accepted_at = url
                    submission.in_doubt = True
                    if on_progress is not None:
                        on_progress(typing.cast(model.Progress, body))
                    if not wait:
                        return _types.JobAnswer(
                            submission_id,
                            body.get('state', 'queued'),
                            progress=typing.cast(model.Progress, body),
                            attempts=submission.n_sent,
                        )
                    # An instance that answers before the wait is over
                    # must not cause a tight loop.
                    early_s = asked_s + POLL_INTERVAL_S - trio.current_time()
                    await trio.sleep(max(0.0, early_s))
                    continue
                case _Reply(_, {'state': 'complete', 'results': list()}):
                    return _types.JobAnswer(
                        submission_id,
                        'complete',
                        results=reply.body['results'],
                        attempts=submission.n_sent,
                    )
                case _Reply():
                    delay_ms = self._after_refusal(submission, url, reply)
                case _Nothing(may_have_left, reason):
                    self._avoid(url)
                    submission.n_failures += 1
                    if may_have_left:
                        self._take_retry(submission, reason)
                    elif submission.n_failures >= self.max_attempts * max(
                        1, len(self._urls)
                    ) or not self._worth_connecting(submission):
                        raise self._conclude(
                            submission, _errors.UNREACHABLE, reason
                        )
                    submission.accepted_at = None
                    # Another instance is asked at once the first time;
                    # repeated failures are spaced out.
                    n_rounds = submission.n_failures // len(self._urls)
                    delay_ms = (
                        self._backoff.delay_ms(n_rounds) if n_rounds else 0
                    )
            left_ms = (end_s - trio.current_time()) * 1e3
            await trio.sleep(max(0.0, min(delay_ms, left_ms)) / 1e3)
            if submission.accepted_at is None:
                url = self._choose_url(
                    other_than=url if delay_ms == 0 else None
                )
            if ticket is not None and submission.nothing_can_run:
                # Nothing runs under the ticket, and only its minter, which
                # refused or was not reached, could run it. A new id makes
                # the next copy a first attempt again.
                self._tickets.drop(submission.last_url)
                ticket = await self._tickets.take(url, self._mint)
                submission_id = ticket or secrets.token_hex(16)
                submission.submission_id = submission_id
                submission.n_sent = 0

    async def fetch(
        self, submission_id: str, *, wait_s: float = 0.0
    ) -> _types.JobAnswer:
        """Return the answer of a job, or its progress.

        :param submission_id: id under which it was submitted
        :param wait_s: time to wait for the answer, in seconds
        :raises SubmissionError: the job failed or is not known
        """
        reply = await self._repeat(
            submission_id,
            lambda url: self._get_job(submission_id, url, wait_s),
        )
        match reply:
            case _Reply(_, {'state': 'complete', 'results': list()}):
                return _types.JobAnswer(
                    submission_id, 'complete', results=reply.body['results']
                )
            case _Reply(200 | 202, body) if not reply.error:
                return _types.JobAnswer(
                    submission_id,
                    str(body.get('state', 'queued')),
                    progress=typing.cast(model.Progress, body),
                )
        raise _failure(submission_id, reply)

    async def progress(self, submission_id: str) -> model.Progress:
        """Return the task counts of a job, also of one that ended.

        :raises SubmissionError: the job is not known or not reachable
        """
        try:
            answer = await self.fetch(submission_id)
        except _errors.SubmissionError as exc:
            if exc.report is None:
                raise
            report = exc.report
            n_not_run = len(report['not_run'])
            n_started = len(report['unknown']) + len(report['failed'])
            n_started += report['done']
            return model.Progress(
                submission_id=submission_id,
                state='failed',
                n_tasks=n_not_run + n_started,
                n_started=n_started,
                n_done=report['done'],
            )
        if answer.progress is not None:
            return answer.progress
        n_tasks = len(answer.results or ())
        return model.Progress(
            submission_id=submission_id,
            state=answer.state,
            n_tasks=n_tasks,
            n_started=n_tasks,
            n_done=n_tasks,
        )

    async def cancel(self, submission_id: str) -> _types.JobAnswer:
        """Cancel a job.

        :returns: state ``cancelled`` with the report per task, the
            answer of a job that had ended before, or the progress of a
            job that ends soon
        :raises SubmissionError: the job had failed before, or no
            instance answered
        """
        reply = await self._repeat(
            submission_id,
            lambda url: self._request(
                'DELETE', f'{url}{self._job_path(submission_id)}'
            ),
        )
        report = _errors.read_report(reply.body)
        cancelled = errors.ErrorKind.CANCELLED.value
        if cancelled in (reply.error.get('code'), reply.body.get('state')):
            return _types.JobAnswer(submission_id, cancelled, report=report)
        if reply.error:
            raise _failure(submission_id, reply)
        results = reply.body.get('results')
        if isinstance(results, list):
            return _types.JobAnswer(submission_id, 'complete', results=results)
        return _types.JobAnswer(
            submission_id,
            str(reply.body.get('state', 'running')),
            progress=typing.cast(model.Progress, reply.body),
        )

    def _after_refusal(
        self, submission: _Submission, url: str, reply: _Reply
    ) -> float:
        """Return the delay in ms before the next copy, or raise."""
        error = reply.error
        code = error.get('code')
        polled = submission.accepted_at is not None
        report = _errors.read_report(reply.body)
        final = report is not None or not _may_retry(error)
        if polled and code in (
            errors.ErrorKind.UNKNOWN_JOB,
            errors.ErrorKind.OWNER_UNREACHABLE,
        ):
            # The instance that held the job is gone. Only a new copy of
            # the submission lets another instance take the job over.
            submission.accepted_at = None
            final = False
        if not polled and report is None:
            self._note_refusal(submission, error)
        if final:
            raise self._refused(submission, error, report)
        submission.n_failures += 1
        if not self._budget_allows(submission):
            raise self._refused(submission, error, report)
        if error.get('retry') == errors.Retry.ELSEWHERE:
            self._avoid(url)
            submission.accepted_at = None
            if submission.n_failures < len(self._urls):
                return 0.0
        return self._backoff.delay_ms(
            submission.n_failures, _retry_after_ms(error)
        )

    def _note_refusal(
        self, submission: _Submission, error: dict[str, typing.Any]
    ) -> None:
        """Record whether the refused copy can still start a task."""
        if error.get('run') == errors.Run.NOT_RUN:
            return
        try:
            rule = errors.ERROR_TABLE[errors.ErrorKind(error.get('code'))]
        except ValueError:
            submission.in_doubt = True
            return
        # A refusal whose rule depends on the attempt started nothing
        # itself; it says "unknown" only because other copies may exist,
        # and this client knows about those.
        if rule.run is not None:
            submission.in_doubt = True

    def _refused(
        self,
        submission: _Submission,
        error: dict[str, typing.Any],
        report: model.TaskReport | None,
    ) -> _errors.SubmissionError:
        run = error.get('run')
        if report is None and submission.nothing_can_run:
            run = errors.Run.NOT_RUN
        return _errors.classify(run, report)(
            str(error.get('code', 'internal')),
            str(error.get('message', '')),
            submission_id=submission.submission_id,
            report=report,
            retry_after_ms=_retry_after_ms(error),
            attempts=submission.n_sent,
        )

    def _conclude(
        self, submission: _Submission, code: str, message: str
    ) -> _errors.SubmissionError:
        """Build the error of a call that gave up without an answer."""
        error_type: type[_errors.SubmissionError] = _errors.NotRunError
        if not submission.nothing_can_run:
            error_type = _errors.OutcomeUnknownError
        return error_type(
            code,
            message,
            submission_id=submission.submission_id,
            attempts=submission.n_sent,
        )

    def _take_retry(self, submission: _Submission, reason: str) -> None:
        if not self._budget_allows(submission):
            raise self._conclude(submission, _errors.ANSWER_LOST, reason)

    def _budget_allows(self, submission: _Submission) -> bool:
        return (
            submission.n_failures < self.max_attempts
            and self._budget.try_retry()
        )

    def _worth_connecting(self, submission: _Submission) -> bool:
        """Whether a call that reached no instance shall go on trying."""
        # A job that may be running is worth the full patience; one that
        # never left is given back to the caller after two rounds.
        if submission.n_sent:
            return True
        return submission.n_failures < 2 * len(self._urls)

    async def _post_job(
        self, submission: _Submission, url: str, wait_s: float
    ) -> _Reply | _Nothing:
        headers = {
            'Idempotency-Key': submission.submission_id,
            'Content-Type': 'application/json',
            'Prefer': f'wait={wait_s:g}',
        }
        if submission.sole and submission.n_sent == 0:
            headers[ATTEMPT_HEADER] = 'first'
        # Counted before the request, so that a cancelled call cannot
        # leave a copy that was not counted.
        submission.n_sent += 1
        was_in_doubt = submission.in_doubt
        submission.in_doubt = True
        reply = await self._request(
            'POST',
            f'{url}{self._customer_path()}/jobs',
            wait_s=wait_s,
            headers=headers,
            content=submission.content,
        )
        match reply:
            case _Nothing(may_have_left=False):
                submission.n_sent -= 1
                submission.in_doubt = was_in_doubt
            case _Reply():
                submission.in_doubt = was_in_doubt
        return reply

    async def _get_job(
        self, submission_id: str, url: str, wait_s: float
    ) -> _Reply | _Nothing:
        return await self._request(
            'GET',
            f'{url}{self._job_path(submission_id)}?wait_s={wait_s:g}',
            wait_s=wait_s,
        )

    async def _mint(self, base_url: str, count: int) -> list[str]:
        reply = await self._request(
            'POST', f'{base_url}{self._customer_path()}/tickets?count={count}'
        )
        match reply:
            case _Reply(200 | 201, {'tickets': list() as tickets}):
                return [str(ticket) for ticket in tickets]
            case _Nothing():
                self._avoid(base_url)
        return []

    async def _repeat(
        self,
        submission_id: str,
        request: typing.Callable[[str], typing.Awaitable[_Reply | _Nothing]],
    ) -> _Reply:
        """Send a request that may be repeated until it is answered."""
        self._budget.request()
        end_s = trio.current_time() + self.patience_s
        n_failures = 0
        while True:
            url = self._choose_url()
            reply = await request(url)
            match reply:
                case _Reply():
                    final = _errors.read_report(reply.body) is not None
                    if final or not _may_retry(reply.error):
                        return reply
                    if reply.error.get('retry') == errors.Retry.ELSEWHERE:
                        self._avoid(url)
                    retry_after_ms = _retry_after_ms(reply.error)
                case _Nothing():
                    self._avoid(url)
                    retry_after_ms = None
            n_failures += 1
            delay_s = 0.0
            if n_failures >= len(self._urls) or isinstance(reply, _Reply):
                delay_s = (
                    self._backoff.delay_ms(n_failures, retry_after_ms) / 1e3
                )
            if (
                n_failures >= self.max_attempts
                or trio.current_time() + delay_s > end_s
                or not self._budget.try_retry()
            ):
                if isinstance(reply, _Reply):
                    return reply
                raise _errors.OutcomeUnknownError(
                    _errors.UNREACHABLE,
                    reply.reason,
                    submission_id=submission_id,
                    attempts=n_failures,
                )
            await trio.sleep(delay_s)

    async def _request(
        self, method: str, url: str, *, wait_s: float = 0.0, **kwargs
    ) -> _Reply | _Nothing:
        if self._http is None:
            raise RuntimeError('the client is not open; use "async with"')
        timeout = httpx.Timeout(
            wait_s + ANSWER_MARGIN_S,
            connect=self.connect_timeout_s,
        )
        try:
            response = await self._http.request(
                method, url, timeout=timeout, **kwargs
            )
        except _NOTHING_SENT as exc:
            return _Nothing(False, f'{url}: {exc or type(exc).__name__}')
        except httpx.HTTPError as exc:
            return _Nothing(True, f'{url}: {exc or type(exc).__name__}')
        try:
            body = codec.decode_json(response.content)
        except errors.DispatchError:
            body = None
        # An answer that is not a JSON object comes from something between
        # the client and an instance; it says nothing about the job.
        if not isinstance(body, dict):
            return _Nothing(
                True, f'{url}: status {response.status_code} without JSON'
            )
        reply = _Reply(response.status_code, body)
        if response.status_code >= 300 and not reply.error:
            return _Nothing(
                True, f'{url}: status {response.status_code} without an error'
            )
        return reply

    def _choose_url(self, other_than: str | None = None) -> str:
        now_s = trio.current_time()
        first = self._next_url
        self._next_url = (first + 1) % len(self._urls)
        order = self._urls[first:] + self._urls[:first]
        return min(
            order,
            key=lambda url: (
                self._avoid_until_s.get(url, 0.0) > now_s,
                url == other_than,
                # Among avoided ones, the one that failed longest ago.
                max(self._avoid_until_s.get(url, 0.0) - now_s, 0.0),
            ),
        )

    def _avoid(self, url: str) -> None:
        self._avoid_until_s[url] = trio.current_time() + AVOID_S

    def _customer_path(self) -> str:
        return f'/v1/customers/{urllib.parse.quote(self.customer, safe="")}'

    def _job_path(self, submission_id: str) -> str:
        quoted = urllib.parse.quote(submission_id, safe='')
        return f'{self._customer_path()}/jobs/{quoted}'


def encode_job(
    tasks: typing.Iterable[model.Task], deadline_ms: float | None = None
) -> bytes:
    """Encode the body of a submission.

    Every copy of a submission must carry the same bytes, since instances
    refuse a reused id with other content.

    :param deadline_ms: time from receipt to answer, in milliseconds
    """
    listed = []
    for task in tasks:
        fields: dict[str, typing.Any] = {
            'kind': task.kind,
            'payload': task.payload,
            'upstream': task.upstream,
        }
        if task.run_time_ms is not None:
            fields['run_time_ms'] = task.run_time_ms
        if task.idempotent:
            fields['idempotent'] = True
        listed.append(fields)
    if not listed:
        raise ValueError('tasks is empty; at least one task is required')
    body: dict[str, typing.Any] = {'tasks': listed}
    if deadline_ms is not None:
        if not deadline_ms > 0:
            raise ValueError(
                f'deadline_ms is {deadline_ms!r}; more than 0 is accepted'
            )
        body['deadline_ms'] = deadline_ms
    return codec.encode_json(body)


def _may_retry(error: dict[str, typing.Any]) -> bool:
    retry = error.get('retry')
    if retry is None:
        try:
            retry = errors.ERROR_TABLE[
                errors.ErrorKind(error.get('code'))
            ].retry
        except ValueError:
            return False
    return retry in (errors.Retry.LATER, errors.Retry.ELSEWHERE)


def _retry_after_ms(error: dict[str, typing.Any]) -> int | None:
    value = error.get('retry_after_ms')
    return int(value) if isinstance(value, (int, float)) else None


def _failure(submission_id: str, reply: _Reply) -> _errors.SubmissionError:
    error = reply.error
    report = _errors.read_report(reply.body)
    run = error.get('run')
    if report is None and run == errors.Run.NOT_RUN:
        # A refused query says nothing about the job that it asked for.
        run = errors.Run.UNKNOWN
    return _errors.classify(run, report)(
        str(error.get('code', 'internal')),
        str(error.get('message', '')),
        submission_id=submission_id,
        report=report,
        retry_after_ms=_retry_after_ms(error),
    )
