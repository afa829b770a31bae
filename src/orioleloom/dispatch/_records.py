import dataclasses
import enum
import typing


class Room(typing.NamedTuple):
    """Resources of a worker or of a task.

    :param cpu_millicores: processor share, in thousandths of a core
    :param memory_mb: memory, in MB
    :param n_gpus: accelerators
    """

    cpu_millicores: int
    memory_mb: int = 0
    n_gpus: int = 0

    def holds(self, other: 'Room') -> bool:
        """Return whether ``other`` fits into this room."""
        return (
            self.cpu_millicores >= other.cpu_millicores
            and self.memory_mb >= other.memory_mb
            and self.n_gpus >= other.n_gpus
        )

    def plus(self, other: 'Room') -> 'Room':
        """Return the sum of both."""
        return Room(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.n_gpus + other.n_gpus,
        )

    def minus(self, other: 'Room') -> 'Room':
        """Return what is left without ``other``."""
        return Room(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.n_gpus - other.n_gpus,
        )


class Queue(typing.NamedTuple):
    """Contract of one kind of job.

    :param upstream: group of workers that runs the tasks
    :param priority: 0 comes first
    :param max_attempts: failed runs of one task that fail its job
    :param slack_factor: share of the run time that the objective allows
    :param target_latency_s: time that the objective adds, in seconds
    """

    name: str
    upstream: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_latency_s: float = 0.0


class Step(typing.NamedTuple):
    """Tasks of a job that are alike.

    :param room: what each task occupies on its worker
    :param estimate_s: declared run time of a task, in seconds; 0 if none
    :param after: numbers of earlier steps that must be done first
    :param required_label: label that the worker must have, or empty
    :param preferred_rack: label of the rack near the data, or empty
    :param max_per_worker: tasks of the step on one worker; 0: any number
    """

    n_tasks: int
    room: Room
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    required_label: str = ''
    preferred_rack: str = ''
    max_per_worker: int = 0


class Job(typing.NamedTuple):
    """A repeatable job: after a lost answer it may run again as a whole.

    :param payload: what the workers are told to run
    """

    id: str
    queue: Queue
    payload: str
    steps: tuple[Step, ...]


class TaskKey(typing.NamedTuple):
    """Names one task of the fleet."""

    job_id: str
    step: int
    index: int

    def position(self) -> str:
        """Return step and index for logs."""
        return f'{self.step}.{self.index}'


class OutcomeKind(enum.StrEnum):
    """How a job ended for its caller."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Outcome(typing.NamedTuple):
    """Answer to a job.

    :param reason: cause, for logs and for the answer's text
    :param retry_after_s: when the caller may come again, in seconds
    """

    kind: OutcomeKind
    reason: str = ''
    retry_after_s: float = 0.0


class WorkerInfo(typing.NamedTuple):
    """A worker as the platform lists it.

    :param life: identifies one life of the worker; it rises when the
        worker starts again under its id
    :param is_leaving: the worker takes no new work
    """

    id: str
    address: str
    data_centre: str
    upstream: str
    capacity: Room
    labels: tuple[str, ...] = ()
    life: int = 0
    is_leaving: bool = False


class EndKind(enum.StrEnum):
    """How a run ended, as its worker lists it."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'


class RunSeen(typing.NamedTuple):
    """A run that a worker lists as running."""

    key: TaskKey
    run_id: int


class RunEnd(typing.NamedTuple):
    """A run that a worker lists as ended.

    :param number: position in the worker's list of ends
    """

    number: int
    key: TaskKey
    run_id: int
    kind: EndKind


class WorkerReport(typing.NamedTuple):
    """Answer of a worker that was asked for its runs.

    :param clock_ms: the worker's own clock
    :param life: life of the worker that answered
    """

    clock_ms: int
    life: int
    running: tuple[RunSeen, ...]
    ended: tuple[RunEnd, ...]


class Rejection(enum.StrEnum):
    """Why a worker did not take a start."""

    FENCED = 'fenced'
    OLD_RUN = 'old_run'
    LATE = 'late'
    NO_ROOM = 'no_room'
    OTHER_LIFE = 'other_life'
    UNHEALTHY = 'unhealthy'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Effect: tell a worker to start a run.

    :param expires_ms: end of the lease on the worker's clock
    """

    worker: WorkerInfo
    key: TaskKey
    run_id: int
    payload: str
    token: int
    expires_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Effect: tell a worker to stop a run, or never to start it."""

    worker: WorkerInfo
    key: TaskKey
    run_id: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchWorker:
    """Effect: keep asking a worker for its runs while it has any.

    :param lane: 0, or 1 for a second question beside the first
    """

    worker_id: str
    lane: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LookAtWorker:
    """Effect: ask a worker for its runs once, without waiting."""

    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerJob:
    """Effect: hand the outcome of a job to the instance that waits."""

    job_id: str
    instance_id: str
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Effect: a worker obeys another dispatcher with a higher token.

    :param token: the token that was too low
    """

    worker_id: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Effect: a decision for the log.

    :param name: kind of decision
    :param fields: what decided it, and the outcome
    """

    name: str
    fields: dict[str, typing.Any]


Effect = (
    StartRun
    | StopRun
    | WatchWorker
    | LookAtWorker
    | AnswerJob
    | Superseded
    | Decision
)
