import enum
import typing


class Task(typing.NamedTuple):
    """One task of a job as the caller declared it.

    :param kind: name under which run times are learnt
    :param payload: JSON value handed to the worker
    :param upstream: upstream whose workers may run it
    :param run_time_ms: declared run time; often wrong
    :param idempotent: whether the caller could repeat it without harm
    """

    kind: str
    payload: typing.Any
    upstream: str
    run_time_ms: float | None = None
    idempotent: bool = False


class JobRequest(typing.NamedTuple):
    """A submitted job.

    :param tasks: 1 to 1,300 tasks
    :param deadline_ms: time allowed from receipt to answer;
        ``None`` means the contract's default
    :param digest: hash of the body, to detect a reused submission id
    """

    tasks: tuple[Task, ...]
    deadline_ms: float | None
    digest: str


class JobId(typing.NamedTuple):
    """Identity of a submission."""

    customer: str
    submission_id: str

    def claim_key(self) -> str:
        """Return the table key of the claim row."""
        return f'claim/{self.customer}/{self.submission_id}'


class Contract(typing.NamedTuple):
    """Limits of one customer; every limit follows from it.

    :param customer: the customer's name
    :param version: grows by one with each accepted change
    :param in_flight: tasks running at once over all instances
    :param starts_per_s: task starts a second over all instances
    :param burst: starts allowed at once above the rate
    :param upstreams: upstreams the customer may use
    :param weight: share relative to other customers
    :param deadline_ms: deadline of a job that names none
    :param max_queued_tasks: tasks waiting over all instances
    :param closed: the customer may submit nothing
    """

    customer: str
    version: int
    in_flight: int
    starts_per_s: float
    burst: int
    upstreams: tuple[str, ...]
    weight: float = 1.0
    deadline_ms: float = 60_000.0
    max_queued_tasks: int = 20_000
    closed: bool = False


class Role(enum.StrEnum):
    """What a listed machine does."""

    ENTRY = 'entry'
    WORKER = 'worker'


class MemberState(enum.StrEnum):
    """State of a machine on the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class Member(typing.NamedTuple):
    """One row of the platform's list.

    :param http: base URL of its HTTP service
    :param peer: ``tcp://IP:PORT`` of an entry instance's peer socket
    :param slots: tasks that a worker runs at once
    :param connections: connections that a worker accepts
    """

    id: str
    role: Role
    state: MemberState
    data_centre: str
    http: str
    peer: str = ''
    upstream: str = ''
    slots: int = 0
    connections: int = 0
    rack: str = ''


class ClaimState(enum.StrEnum):
    """State of a claim row."""

    CLAIMED = 'claimed'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    FAILED = 'failed'


class Claim(typing.NamedTuple):
    """Value of a claim row.

    :param owner: ``<instance>/<incarnation>`` that may start tasks
    :param n_tasks: tasks in the job; 0 for a cancel that found no claim
    :param released: start watermark; the owner may have started every
        task with an index below it and none at or above it
    :param token: identifies the write, to recognise it when its answer
        was lost
    :param digest: hash of the job body
    :param answer: recorded answer when ``finished`` or ``failed``
    :param expires_at_unix_s: when any instance may delete the row
    """

    owner: str
    n_tasks: int
    released: int
    state: ClaimState
    token: str
    digest: str = ''
    answer: dict[str, typing.Any] | None = None
    expires_at_unix_s: float = 0.0


class TableOp(typing.NamedTuple):
    """One operation of a table transaction.

    :param op: ``put`` or ``delete``
    :param if_revision: required revision of the row; 0 means that it
        must not exist, ``None`` is unconditional
    """

    op: str
    key: str
    value: dict[str, typing.Any] | None = None
    if_revision: int | None = None


class Row(typing.NamedTuple):
    """A table row; ``value`` is ``None`` when it does not exist."""

    key: str
    value: dict[str, typing.Any] | None
    revision: int


class TaskOutcome(enum.StrEnum):
    """Outcome of a task in a worker's result line."""

    OK = 'ok'
    FAILED = 'failed'
    REJECTED = 'rejected'
    STOPPED = 'stopped'


class TaskLine(typing.NamedTuple):
    """One result line of a worker.

    :param free_slots: slots free on the worker after this outcome
    :param leaving: the worker says that it is leaving
    """

    key: str
    outcome: TaskOutcome
    free_slots: int = 0
    result: typing.Any = None
    error: str = ''
    reason: str = ''
    run_time_ms: float = 0.0
    leaving: bool = False


def task_key(job_id: JobId, index: int) -> str:
    """Return the key under which a worker knows a task."""
    return f'{job_id.customer}/{job_id.submission_id}/{index}'
