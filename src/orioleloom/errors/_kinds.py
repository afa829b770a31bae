import enum
import typing


class ErrorKind(enum.StrEnum):
    """Every kind of error that the system reports to a caller."""

    BAD_REQUEST = 'bad_request'
    BAD_FIELD = 'bad_field'
    TOO_LARGE = 'too_large'
    UNKNOWN_CUSTOMER = 'unknown_customer'
    UNKNOWN_JOB = 'unknown_job'
    SUBMISSION_MISMATCH = 'submission_mismatch'
    NOT_RUNNABLE = 'not_runnable'
    OVER_LIMIT = 'over_limit'
    OVERLOADED = 'overloaded'
    STOPPING = 'stopping'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    OWNER_UNREACHABLE = 'owner_unreachable'
    TICKET_EXPIRED = 'ticket_expired'
    TICKET_OWNER_GONE = 'ticket_owner_gone'
    CANCELLED = 'cancelled'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    TASK_FAILED = 'task_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CONTRACT_CONFLICT = 'contract_conflict'
    INTERNAL = 'internal'


class RunStatus(enum.StrEnum):
    """Whether the tasks of a refused or failed job have run."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class RetryAdvice(enum.StrEnum):
    """When a caller may send the same submission again."""

    NO = 'no'
    LATER = 'later'
    ELSEWHERE = 'elsewhere'


class ErrorResponse(typing.NamedTuple):
    """How one error kind is reported to a caller.

    :param http_status: status of the HTTP response
    :param run: whether the tasks have run; ``None`` means that it is
        known only if no other copy of the submission can exist, see
        :func:`to_response`
    :param retry: when the caller may send the submission again
    """

    http_status: int
    run: RunStatus | None
    retry: RetryAdvice


ERROR_TABLE: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, None, RetryAdvice.NO),
    ErrorKind.BAD_FIELD: ErrorResponse(400, None, RetryAdvice.NO),
    ErrorKind.TOO_LARGE: ErrorResponse(413, None, RetryAdvice.NO),
    ErrorKind.UNKNOWN_CUSTOMER: ErrorResponse(404, None, RetryAdvice.NO),
    ErrorKind.UNKNOWN_JOB: ErrorResponse(404, None, RetryAdvice.NO),
    ErrorKind.SUBMISSION_MISMATCH: ErrorResponse(
        422, RunStatus.UNKNOWN, RetryAdvice.NO
    ),
    ErrorKind.NOT_RUNNABLE: ErrorResponse(422, None, RetryAdvice.NO),
    ErrorKind.OVER_LIMIT: ErrorResponse(429, None, RetryAdvice.LATER),
    ErrorKind.OVERLOADED: ErrorResponse(503, None, RetryAdvice.LATER),
    ErrorKind.STOPPING: ErrorResponse(503, None, RetryAdvice.ELSEWHERE),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(
        503, None, RetryAdvice.LATER
    ),
    ErrorKind.OWNER_UNREACHABLE: ErrorResponse(
        503, RunStatus.UNKNOWN, RetryAdvice.LATER
    ),
    ErrorKind.TICKET_EXPIRED: ErrorResponse(
        410, RunStatus.UNKNOWN, RetryAdvice.NO
    ),
    ErrorKind.TICKET_OWNER_GONE: ErrorResponse(
        410, RunStatus.UNKNOWN, RetryAdvice.NO
    ),
    ErrorKind.CANCELLED: ErrorResponse(409, RunStatus.UNKNOWN, RetryAdvice.NO),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(
        504, RunStatus.UNKNOWN, RetryAdvice.NO
    ),
    ErrorKind.TASK_FAILED: ErrorResponse(502, RunStatus.RAN, RetryAdvice.NO),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        502, RunStatus.UNKNOWN, RetryAdvice.NO
    ),
    ErrorKind.CONTRACT_CONFLICT: ErrorResponse(409, None, RetryAdvice.NO),
    ErrorKind.INTERNAL: ErrorResponse(500, RunStatus.UNKNOWN, RetryAdvice.NO),
}


class DispatchError(Exception):
    """An error that is reported to a caller.

    :param kind: error kind, which selects a row of :data:`ERROR_TABLE`
    :param message: text for the caller; for an invalid value it gives
        the field, the value and the accepted values
    :param run: replaces the value in the table when more is known
    :param retry_after_ms: delay before a retry, in milliseconds
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        run: RunStatus | None = None,
        retry_after_ms: int | None = None,
    ):
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.run = run
        self.retry_after_ms = retry_after_ms


class ErrorBody(typing.TypedDict, total=False):
    """The ``error`` field of a response body."""

    code: str
    message: str
    run: str
    retry: str
    retry_after_ms: int


def to_response(
    error: DispatchError, *, no_other_copy: bool = False
) -> tuple[int, ErrorBody]:
    """Build the HTTP status and the ``error`` field for an error.

    :param error: the error to report
    :param no_other_copy: whether it is certain that no other copy of the
        submission has been or will be started: it is a first attempt,
        this instance minted its ticket, or the refusal is committed in
        the table. Only then may ``run`` be ``not_run``.
    :returns: HTTP status and content of the ``error`` field
    """
    response = ERROR_TABLE[error.kind]
    run = error.run or response.run
    if run is None:
        run = RunStatus.NOT_RUN if no_other_copy else RunStatus.UNKNOWN
    body = ErrorBody(
        code=error.kind.value,
        message=error.message,
        run=run.value,
        retry=response.retry.value,
    )
    if error.retry_after_ms is not None:
        body['retry_after_ms'] = error.retry_after_ms
    return response.http_status, body
