import enum
import typing


class Task(typing.NamedTuple):
    """One task of a job as the caller declared it.

    :param kind: name of a group of similar tasks; run times are
        estimated for each kind
    :param payload: JSON value that is passed to the worker
    :param upstream: upstream whose workers may run the task
    :param run_time_ms: run time declared by the caller; often wrong
    :param idempotent: whether the task can be run twice without harm
    """

    kind: str
    payload: typing.Any
    upstream: str
    run_time_ms: float | None = None
    idempotent: bool = False


class JobRequest(typing.NamedTuple):
    """A submitted job.

    :param tasks: 1 to 1,300 tasks
    :param deadline_ms: time allowed from receipt of the job to its
        answer; ``None`` means the deadline of the contract
    :param digest: hash of the body, to detect a reused submission id
    """

    tasks: tuple[Task, ...]
    deadline_ms: float | None
    digest: str


class JobId(typing.NamedTuple):
    """Identifies a job by customer and submission id."""

    customer: str
    submission_id: str

    def claim_key(self) -> str:
        """Return the table key of the claim row."""
        return f'claim/{self.customer}/{self.submission_id}'


class Contract(typing.NamedTuple):
    """Limits of one customer, from which all instances derive theirs.

    :param customer: name of the customer
    :param version: increases by one with each accepted change
    :param in_flight: maximum number of tasks running at once over all
        instances
    :param starts_per_s: maximum rate of task starts over all instances
    :param burst: size of the token bucket of the start rate
    :param upstreams: upstreams that the customer may use
    :param weight: weight of the customer in fair queueing, relative to
        the other customers
    :param deadline_ms: deadline of a job that gives none
    :param max_queued_tasks: maximum number of waiting tasks over all
        instances
    :param closed: whether all submissions of the customer are refused
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
    """Role of a machine in the member list."""

    ENTRY = 'entry'
    WORKER = 'worker'


class MemberState(enum.StrEnum):
    """State of a machine in the platform's member list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class Member(typing.NamedTuple):
    """A machine in the platform's member list.

    :param http: base URL of the machine's HTTP service
    :param peer: ``tcp://IP:PORT`` of the peer socket of an entry
        instance
    :param upstream: upstream that a worker serves
    :param slots: number of tasks that a worker runs at once
    :param connections: number of connections that a worker accepts
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
    :param n_tasks: number of tasks in the job; 0 when the row was
        written by a cancel request that found no claim
    :param released: start watermark; the owner may have started the
        tasks with an index below it and has started no other
    :param token: identifies the write, so that the writer recognises
        its own row when the response was lost
    :param digest: hash of the job body
    :param answer: final answer when ``finished`` or ``failed``
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
    :param if_revision: required revision of the row; 0 means that the
        row must not exist, ``None`` that any revision is accepted
    """

    op: str
    key: str
    value: dict[str, typing.Any] | None = None
    if_revision: int | None = None


class Row(typing.NamedTuple):
    """A table row; ``value`` is ``None`` when the row does not exist."""

    key: str
    value: dict[str, typing.Any] | None
    revision: int


class TaskOutcome(enum.StrEnum):
    """Outcome of a task as a worker reports it."""

    OK = 'ok'
    FAILED = 'failed'
    REJECTED = 'rejected'
    STOPPED = 'stopped'


class ResultLine(typing.NamedTuple):
    """Outcome of one task; a worker sends one per line (NDJSON).

    :param key: task key, see :func:`task_key`
    :param free_slots: free slots on the worker after this outcome
    :param result: JSON value when ``ok``
    :param leaving: whether the worker is leaving
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
    """Return the key that identifies a task on a worker."""
    return f'{job_id.customer}/{job_id.submission_id}/{index}'
