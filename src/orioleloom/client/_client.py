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

# For this time after a failure an instance is chosen only if all others
# have failed, too.
AVOID_DURATION_S = 2.0

# Added to the requested wait to get the read time-out of a request.
ANSWER_MARGIN_S = 5.0

# Minimum time between two polls of a job.
POLL_INTERVAL_S = 0.05

# httpx errors that exclude that any byte of the request was sent: no
# connection could be opened or obtained from the pool.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


class _Reply(typing.NamedTuple):
    """An HTTP response with a JSON object as its body."""

    http_status: int
    body: dict[str, typing.Any]

    @property
    def error(self) -> dict[str, typing.Any]:
        error = self.body.get('error')
        return error if isinstance(error, dict) else {}


class _NoReply(typing.NamedTuple):
    """Result of a request that got no usable response.

    :param may_have_been_sent: whether bytes of the request may have been
        sent
    :param reason: URL and cause, for error messages
    """

    may_have_been_sent: bool
    reason: str


class _Submission:
    """State of one call of :meth:`Client.submit`.

    :param is_only_sender: whether all copies of the submission come from
        this call
    :param content: request body, the same for all copies

    :attr:`in_doubt` is true while a copy may have been sent whose outcome
    is unknown; :attr:`n_sent` counts the copies that may have been sent.
    """

    def __init__(
        self, submission_id: str, *, is_only_sender: bool, content: bytes
    ):
        self.submission_id = submission_id
        self.is_only_sender = is_only_sender
        self.content = content
        self.n_sent = 0
        self.n_failures = 0
        self.in_doubt = False
        self.accepted_url: str | None = None
        self.last_url: str | None = None

    @property
    def known_not_run(self) -> bool:
        """Whether no copy has started a task or can still start one."""
        return self.is_only_sender and not self.in_doubt


class Client:
    """Submits jobs to entry instances over HTTP.

    Use it as an async context manager. After a lost answer, the client
    repeats the request under the same submission id; instances recognise
    the id and never start a task twice.

    :param base_urls: base URLs of entry instances or load balancers
    :param customer: customer for whom jobs are submitted
    :param max_attempts: failures after which a call gives up, >= 1
    :param wait_s: longest time for which one request waits for the answer
        of a job, in seconds
    :param patience_s: time a call may take beyond the job's deadline, or
        in total if the job has none, in seconds
    :param connect_timeout_s: time-out for opening a connection
    :param use_tickets: whether to fetch tickets in advance and use them as
        submission ids, which saves the table write of a claim
    :param ticket_block: tickets fetched with one request
    :param backoff_initial_ms: see :class:`Backoff`
    :param backoff_max_ms: see :class:`Backoff`
    :param retry_share: see :class:`RetryBudget`
    :param retry_reserve: see :class:`RetryBudget`
    :param random_state: seed or generator for the choice of the first
        instance and for the jitter
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
            # Kept when the client is reopened, because BlockingClient opens
            # it for each call.
            self._budget = _retry.RetryBudget(
                share=self.retry_share, reserve=self.retry_reserve
            )
        self._backoff = _retry.Backoff(
            initial_ms=self.backoff_initial_ms,
            max_ms=self.backoff_max_ms,
            random_state=self.random_state,
        )
        self._tickets = _tickets.TicketStore(block_size=self.ticket_block)
        self._avoid_until_s: dict[str, float] = {}
        self._next_url_index = self.random_state.randrange(len(self._urls))
        self._http = httpx.AsyncClient(
            transport=self.transport,
            # Proxies from the environment are ignored: a proxy that repeats
            # a request would make its first-attempt header untrue.
            trust_env=False,
            # Certificates are loaded only if needed, because that takes
            # tens of milliseconds.
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
                    f'{name} is {value!r}; accepted is a number in '
                    f'[{low}, {high}]'
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
        :param submission_id: id of the submission; by default a new one
        :param first_attempt: whether the caller guarantees that no copy
            was sent under this id before; by default only for a new id
        :param deadline_ms: time from receipt to answer, in milliseconds
        :param wait: whether to wait for the answer; otherwise the call
            returns once an instance has accepted the job
        :param on_progress: called with the task counts while waiting
        :param progress_interval_s: time between these calls, in seconds
        :returns: the results or, without ``wait``, the progress
        :raises NotRunError: no task ran and none will
        :raises OutcomeUnknownError: tasks may have run
        :raises JobFailedError: the job failed; the exception contains a
            report per task
        """
        content = encode_job(tasks, deadline_ms)
        url = self._choose_url()
        ticket = None
        if submission_id is None:
            if self.use_tickets:
                ticket = await self._tickets.take(url, self._mint_tickets)
            # Not from random_state: ids must be unique across processes,
            # even with equal seeds.
            submission_id = ticket or secrets.token_hex(16)
            is_only_sender = True if first_attempt is None else first_attempt
        else:
            is_only_sender = bool(first_attempt)
        submission = _Submission(
            submission_id, is_only_sender=is_only_sender, content=content
        )
        self._budget.request()
        timeout_s = self.patience_s + (deadline_ms or 0) / 1e3
        end_s = trio.current_time() + timeout_s
        request_wait_s = self.wait_s
        if on_progress is not None:
            request_wait_s = min(request_wait_s, progress_interval_s)
        while True:
            remaining_s = end_s - trio.current_time()
            if remaining_s <= 0:
                raise self._no_answer_error(
                    submission,
                    _errors.ANSWER_LOST,
                    f'no answer within {timeout_s:g} s',
                )
            wait_s = min(request_wait_s, remaining_s) if wait else 0.0
            submission.last_url = url
            request_start_s = trio.current_time()
            if submission.accepted_url is None:
                reply = await self._post_job(submission, url, wait_s)
            else:
                reply = await self._get_job(submission_id, url, wait_s)
            match reply:
                case _Reply(202, body):
                    submission.accepted_url = url
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
                    # Avoids a busy loop if an instance answers before the
                    # requested wait has expired.
                    poll_delay_s = (
                        request_start_s + POLL_INTERVAL_S - trio.current_time()
                    )
                    await trio.sleep(max(0.0, poll_delay_s))
                    continue
                case _Reply(_, {'state': 'complete', 'results': list()}):
                    return _types.JobAnswer(
                        submission_id,
                        'complete',
                        results=reply.body['results'],
                        attempts=submission.n_sent,
                    )
                case _Reply():
                    delay_ms = self._handle_refusal(submission, url, reply)
                case _NoReply(may_have_been_sent, reason):
                    self._avoid(url)
                    submission.n_failures += 1
                    if may_have_been_sent:
                        self._require_retry(submission, reason)
                    elif submission.n_failures >= self.max_attempts * max(
                        1, len(self._urls)
                    ) or not self._should_keep_connecting(submission):
                        raise self._no_answer_error(
                            submission, _errors.UNREACHABLE, reason
                        )
                    submission.accepted_url = None
                    # No delay until every instance has been tried once;
                    # then the delay grows with each round.
                    n_rounds = submission.n_failures // len(self._urls)
                    delay_ms = (
                        self._backoff.delay_ms(n_rounds) if n_rounds else 0
                    )
            remaining_ms = (end_s - trio.current_time()) * 1e3
            await trio.sleep(max(0.0, min(delay_ms, remaining_ms)) / 1e3)
            if submission.accepted_url is None:
                url = self._choose_url(
                    other_than=url if delay_ms == 0 else None
                )
            if ticket is not None and submission.known_not_run:
                # Only the instance that minted the ticket can run it, and
                # it refused or could not be reached, so nothing ran under
                # the ticket. With a new id the next copy is a first attempt
                # again.
                self._tickets.drop(submission.last_url)
                ticket = await self._tickets.take(url, self._mint_tickets)
                submission_id = ticket or secrets.token_hex(16)
                submission.submission_id = submission_id
                submission.n_sent = 0

    async def fetch(
        self, submission_id: str, *, wait_s: float = 0.0
    ) -> _types.JobAnswer:
        """Return the answer of a job, or its progress.

        :param submission_id: id under which the job was submitted
        :param wait_s: time to wait for the answer, in seconds
        :raises SubmissionError: the job failed or is unknown
        """
        reply = await self._request_with_retries(
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
        raise _error_from_reply(submission_id, reply)

    async def progress(self, submission_id: str) -> model.Progress:
        """Return the task counts of a job that is running or has ended.

        :raises SubmissionError: the job is unknown, or no instance
            answered
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

        :returns: state ``cancelled`` with the report per task; the answer,
            if the job had already completed; the progress, if the job
            has not ended yet
        :raises SubmissionError: the job had already failed, or no
            instance answered
        """
        reply = await self._request_with_retries(
            submission_id,
            lambda url: self._request(
                'DELETE', f'{url}{self._job_path(submission_id)}'
            ),
        )
        report = _errors.parse_report(reply.body)
        cancelled = errors.ErrorKind.CANCELLED.value
        if cancelled in (reply.error.get('code'), reply.body.get('state')):
            return _types.JobAnswer(submission_id, cancelled, report=report)
        if reply.error:
            raise _error_from_reply(submission_id, reply)
        results = reply.body.get('results')
        if isinstance(results, list):
            return _types.JobAnswer(submission_id, 'complete', results=results)
        return _types.JobAnswer(
            submission_id,
            str(reply.body.get('state', 'running')),
            progress=typing.cast(model.Progress, reply.body),
        )

    def _handle_refusal(
        self, submission: _Submission, url: str, reply: _Reply
    ) -> float:
        """Return the delay in ms before the next request, or raise."""
        error = reply.error
        code = error.get('code')
        is_poll = submission.accepted_url is not None
        report = _errors.parse_report(reply.body)
        is_final = report is not None or not _is_retryable(error)
        if is_poll and code in (
            errors.ErrorKind.UNKNOWN_JOB,
            errors.ErrorKind.OWNER_UNREACHABLE,
        ):
            # The owner of the job is gone. Another instance takes the job
            # over only when it receives a new copy of the submission.
            submission.accepted_url = None
            is_final = False
        if not is_poll and report is None:
            self._update_in_doubt(submission, error)
        if is_final:
            raise self._refusal_error(submission, error, report)
        submission.n_failures += 1
        if not self._try_retry(submission):
            raise self._refusal_error(submission, error, report)
        if error.get('retry') == errors.RetryAdvice.ELSEWHERE:
            self._avoid(url)
            submission.accepted_url = None
            if submission.n_failures < len(self._urls):
                return 0.0
        return self._backoff.delay_ms(
            submission.n_failures, _retry_after_ms(error)
        )

    def _update_in_doubt(
        self, submission: _Submission, error: dict[str, typing.Any]
    ) -> None:
        """Set ``in_doubt`` if the refused copy may have started a task."""
        if error.get('run') == errors.RunStatus.NOT_RUN:
            return
        try:
            rule = errors.ERROR_TABLE[errors.ErrorKind(error.get('code'))]
        except ValueError:
            submission.in_doubt = True
            return
        # A kind without a fixed ``run`` means that this copy started
        # nothing. Its answer says "unknown" only because other copies may
        # exist, and those are tracked here.
        if rule.run is not None:
            submission.in_doubt = True

    def _refusal_error(
        self,
        submission: _Submission,
        error: dict[str, typing.Any],
        report: model.TaskReport | None,
    ) -> _errors.SubmissionError:
        run = error.get('run')
        if report is None and submission.known_not_run:
            run = errors.RunStatus.NOT_RUN
        return _errors.select_error_type(run, report)(
            str(error.get('code', 'internal')),
            str(error.get('message', '')),
            submission_id=submission.submission_id,
            report=report,
            retry_after_ms=_retry_after_ms(error),
            attempts=submission.n_sent,
        )

    def _no_answer_error(
        self, submission: _Submission, code: str, message: str
    ) -> _errors.SubmissionError:
        """Build the exception of a call that gives up without an answer."""
        error_type: type[_errors.SubmissionError] = _errors.NotRunError
        if not submission.known_not_run:
            error_type = _errors.OutcomeUnknownError
        return error_type(
            code,
            message,
            submission_id=submission.submission_id,
            attempts=submission.n_sent,
        )

    def _require_retry(self, submission: _Submission, reason: str) -> None:
        """Take a retry from the budget, or raise if none is allowed."""
        if not self._try_retry(submission):
            raise self._no_answer_error(
                submission, _errors.ANSWER_LOST, reason
            )

    def _try_retry(self, submission: _Submission) -> bool:
        """Take a retry from the budget and return whether it is allowed."""
        return (
            submission.n_failures < self.max_attempts
            and self._budget.try_retry()
        )

    def _should_keep_connecting(self, submission: _Submission) -> bool:
        """Return whether to go on after no instance could be reached."""
        # A job that may be running is retried up to the limits of the call;
        # one that was never sent fails after two rounds over the instances.
        if submission.n_sent:
            return True
        return submission.n_failures < 2 * len(self._urls)

    async def _post_job(
        self, submission: _Submission, url: str, wait_s: float
    ) -> _Reply | _NoReply:
        headers = {
            'Idempotency-Key': submission.submission_id,
            'Content-Type': 'application/json',
            'Prefer': f'wait={wait_s:g}',
        }
        if submission.is_only_sender and submission.n_sent == 0:
            headers[ATTEMPT_HEADER] = 'first'
        # Counted before sending, so that the copy is also counted if the
        # call is cancelled.
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
            case _NoReply(may_have_been_sent=False):
                submission.n_sent -= 1
                submission.in_doubt = was_in_doubt
            case _Reply():
                submission.in_doubt = was_in_doubt
        return reply

    async def _get_job(
        self, submission_id: str, url: str, wait_s: float
    ) -> _Reply | _NoReply:
        return await self._request(
            'GET',
            f'{url}{self._job_path(submission_id)}?wait_s={wait_s:g}',
            wait_s=wait_s,
        )

    async def _mint_tickets(self, base_url: str, count: int) -> list[str]:
        reply = await self._request(
            'POST', f'{base_url}{self._customer_path()}/tickets?count={count}'
        )
        match reply:
            case _Reply(200 | 201, {'tickets': list() as tickets}):
                return [str(ticket) for ticket in tickets]
            case _NoReply():
                self._avoid(base_url)
        return []

    async def _request_with_retries(
        self,
        submission_id: str,
        request: typing.Callable[[str], typing.Awaitable[_Reply | _NoReply]],
    ) -> _Reply:
        """Send an idempotent request until it is answered."""
        self._budget.request()
        end_s = trio.current_time() + self.patience_s
        n_failures = 0
        while True:
            url = self._choose_url()
            reply = await request(url)
            match reply:
                case _Reply():
                    is_final = _errors.parse_report(reply.body) is not None
                    if is_final or not _is_retryable(reply.error):
                        return reply
                    if (
                        reply.error.get('retry')
                        == errors.RetryAdvice.ELSEWHERE
                    ):
                        self._avoid(url)
                    retry_after_ms = _retry_after_ms(reply.error)
                case _NoReply():
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
    ) -> _Reply | _NoReply:
        if self._http is None:
            raise RuntimeError(
                'the client is not open; use "async with Client(...)"'
            )
        timeout = httpx.Timeout(
            wait_s + ANSWER_MARGIN_S,
            connect=self.connect_timeout_s,
        )
        try:
            response = await self._http.request(
                method, url, timeout=timeout, **kwargs
            )
        except _NOT_SENT_ERRORS as exc:
            return _NoReply(False, f'{url}: {exc or type(exc).__name__}')
        except httpx.HTTPError as exc:
            return _NoReply(True, f'{url}: {exc or type(exc).__name__}')
        try:
            body = codec.decode_json(response.content)
        except errors.DispatchError:
            body = None
        # A response that is not a JSON object comes from an intermediary
        # such as a proxy, and says nothing about the job.
        if not isinstance(body, dict):
            return _NoReply(
                True,
                f'{url}: status {response.status_code} without a JSON object',
            )
        reply = _Reply(response.status_code, body)
        if response.status_code >= 300 and not reply.error:
            return _NoReply(
                True, f'{url}: status {response.status_code} without an error'
            )
        return reply

    def _choose_url(self, other_than: str | None = None) -> str:
        now_s = trio.current_time()
        first_index = self._next_url_index
        self._next_url_index = (first_index + 1) % len(self._urls)
        candidates = self._urls[first_index:] + self._urls[:first_index]
        return min(
            candidates,
            key=lambda url: (
                self._avoid_until_s.get(url, 0.0) > now_s,
                url == other_than,
                # Among avoided instances, prefers the one that failed first.
                max(self._avoid_until_s.get(url, 0.0) - now_s, 0.0),
            ),
        )

    def _avoid(self, url: str) -> None:
        self._avoid_until_s[url] = trio.current_time() + AVOID_DURATION_S

    def _customer_path(self) -> str:
        return f'/v1/customers/{urllib.parse.quote(self.customer, safe="")}'

    def _job_path(self, submission_id: str) -> str:
        quoted_id = urllib.parse.quote(submission_id, safe='')
        return f'{self._customer_path()}/jobs/{quoted_id}'


def encode_job(
    tasks: typing.Iterable[model.Task], deadline_ms: float | None = None
) -> bytes:
    """Encode the request body of a submission.

    Every copy of a submission must have the same bytes, because instances
    refuse a known id with different content.

    :param deadline_ms: time from receipt to answer, in milliseconds
    """
    encoded_tasks = []
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
        encoded_tasks.append(fields)
    if not encoded_tasks:
        raise ValueError('tasks is empty; at least one task is required')
    body: dict[str, typing.Any] = {'tasks': encoded_tasks}
    if deadline_ms is not None:
        if not deadline_ms > 0:
            raise ValueError(
                f'deadline_ms is {deadline_ms!r}; a number above 0 is required'
            )
        body['deadline_ms'] = deadline_ms
    return codec.encode_json(body)


def _is_retryable(error: dict[str, typing.Any]) -> bool:
    retry = error.get('retry')
    if retry is None:
        try:
            retry = errors.ERROR_TABLE[
                errors.ErrorKind(error.get('code'))
            ].retry
        except ValueError:
            return False
    return retry in (errors.RetryAdvice.LATER, errors.RetryAdvice.ELSEWHERE)


def _retry_after_ms(error: dict[str, typing.Any]) -> int | None:
    value = error.get('retry_after_ms')
    return int(value) if isinstance(value, (int, float)) else None


def _error_from_reply(
    submission_id: str, reply: _Reply
) -> _errors.SubmissionError:
    error = reply.error
    report = _errors.parse_report(reply.body)
    run = error.get('run')
    if report is None and run == errors.RunStatus.NOT_RUN:
        # "not_run" refers to the refused query, not to the job.
        run = errors.RunStatus.UNKNOWN
    return _errors.select_error_type(run, report)(
        str(error.get('code', 'internal')),
        str(error.get('message', '')),
        submission_id=submission_id,
        report=report,
        retry_after_ms=_retry_after_ms(error),
    )
