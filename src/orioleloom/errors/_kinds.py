import enum
import typing


class ErrorKind(enum.StrEnum):
    """Every reason for which the system answers with an error."""

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


class Run(enum.StrEnum):
    """What is known about the tasks of a refused or failed job."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class Retry(enum.StrEnum):
    """When a caller may send the same submission again."""

    NO = 'no'
    LATER = 'later'
    ELSEWHERE = 'elsewhere'


class AnswerRule(typing.NamedTuple):
    """How one error kind is answered.

    :param http_status: status of the HTTP response
    :param run: what the answer says about the tasks; ``None`` means
        that it depends on whether another copy can be ruled out
    :param retry: when the caller may send the submission again
    """

    http_status: int
    run: Run | None
    retry: Retry


ERROR_TABLE: dict[ErrorKind, AnswerRule] = {
    ErrorKind.BAD_REQUEST: AnswerRule(400, None, Retry.NO),
    ErrorKind.BAD_FIELD: AnswerRule(400, None, Retry.NO),
    ErrorKind.TOO_LARGE: AnswerRule(413, None, Retry.NO),
    ErrorKind.UNKNOWN_CUSTOMER: AnswerRule(404, None, Retry.NO),
    ErrorKind.UNKNOWN_JOB: AnswerRule(404, None, Retry.NO),
    ErrorKind.SUBMISSION_MISMATCH: AnswerRule(422, Run.UNKNOWN, Retry.NO),
    ErrorKind.NOT_RUNNABLE: AnswerRule(422, None, Retry.NO),
    ErrorKind.OVER_LIMIT: AnswerRule(429, None, Retry.LATER),
    ErrorKind.OVERLOADED: AnswerRule(503, None, Retry.LATER),
    ErrorKind.STOPPING: AnswerRule(503, None, Retry.ELSEWHERE),
    ErrorKind.PLATFORM_UNAVAILABLE: AnswerRule(503, None, Retry.LATER),
    ErrorKind.OWNER_UNREACHABLE: AnswerRule(503, Run.UNKNOWN, Retry.LATER),
    ErrorKind.TICKET_EXPIRED: AnswerRule(410, Run.UNKNOWN, Retry.NO),
    ErrorKind.TICKET_OWNER_GONE: AnswerRule(410, Run.UNKNOWN, Retry.NO),
    ErrorKind.CANCELLED: AnswerRule(409, Run.UNKNOWN, Retry.NO),
    ErrorKind.DEADLINE_EXCEEDED: AnswerRule(504, Run.UNKNOWN, Retry.NO),
    ErrorKind.TASK_FAILED: AnswerRule(502, Run.RAN, Retry.NO),
    ErrorKind.OUTCOME_UNKNOWN: AnswerRule(502, Run.UNKNOWN, Retry.NO),
    ErrorKind.CONTRACT_CONFLICT: AnswerRule(409, None, Retry.NO),
    ErrorKind.INTERNAL: AnswerRule(500, Run.UNKNOWN, Retry.NO),
}


class DispatchError(Exception):
    """An error with a kind from the closed list.

    :param kind: row of :data:`ERROR_TABLE` that answers it
    :param message: names the field, the value and what is accepted
    :param run: replaces the table's value where more is known
    :param retry_after_ms: delay before a retry, in milliseconds
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        run: Run | None = None,
        retry_after_ms: int | None = None,
    ):
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.run = run
        self.retry_after_ms = retry_after_ms


class ErrorBody(typing.TypedDict, total=False):
    """The ``error`` field of an answer."""

    code: str
    message: str
    run: str
    retry: str
    retry_after_ms: int


def to_answer(
    error: DispatchError, *, sole_copy: bool = False
) -> tuple[int, ErrorBody]:
    """Build the HTTP status and the ``error`` field for an error.

    :param error: the error to answer
    :param sole_copy: whether no other copy of the submission can have
        been started or will be: a first attempt, a ticket of this
        instance, or a committed refusal in the table. Only then may the
        answer say ``not_run``.
    :returns: HTTP status and error body
    """
    rule = ERROR_TABLE[error.kind]
    run = error.run or rule.run
    if run is None:
        run = Run.NOT_RUN if sole_copy else Run.UNKNOWN
    body = ErrorBody(
        code=error.kind.value,
        message=error.message,
        run=run.value,
        retry=rule.retry.value,
    )
    if error.retry_after_ms is not None:
        body['retry_after_ms'] = error.retry_after_ms
    return rule.http_status, body
