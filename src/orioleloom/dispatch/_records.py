import dataclasses
import enum
import typing


class Resources(typing.NamedTuple):
    """Resources of a worker or of a task.

    :param cpu_millicores: processor share, in thousandths of a core
    :param memory_mb: memory, in MB
    :param n_gpus: accelerators
    """

    cpu_millicores: int
    memory_mb: int = 0
    n_gpus: int = 0

    def can_fit(self, other: 'Resources') -> bool:
        """Return whether ``other`` fits into these resources."""
        return (
            self.cpu_millicores >= other.cpu_millicores
            and self.memory_mb >= other.memory_mb
            and self.n_gpus >= other.n_gpus
        )

    def add(self, other: 'Resources') -> 'Resources':
        """Return the sum of both."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.n_gpus + other.n_gpus,
        )

    def subtract(self, other: 'Resources') -> 'Resources':
        """Return the difference of both."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.n_gpus - other.n_gpus,
        )


class Queue(typing.NamedTuple):
    """Settings for one kind of job.

    The objective of a job is to end within ``slack_factor`` times its
    expected run time plus ``target_latency_s``.

    :param upstream: group of workers that runs the tasks
    :param priority: 0 is the highest
    :param max_attempts: number of failed runs of one task that fail the job
    :param slack_factor: multiple of the expected run time
    :param target_latency_s: constant part of the objective, in seconds
    """

    name: str
    upstream: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_latency_s: float = 0.0


_MAX_JOB_TASKS = 10_000
# One day; tasks are expected to take less than a second.
_MAX_ESTIMATE_S = 86_400


class Step(typing.NamedTuple):
    """A group of identical tasks of a job.

    :param room: resources that each task needs on its worker
    :param estimate_s: declared run time of a task, in seconds; 0 if none
    :param after: indices of the steps that must be done first
    :param required_label: label that the worker must have, or empty
    :param preferred_rack: label of the rack near the data, or empty
    :param max_per_worker: maximum number of tasks of the step on one
        worker; 0 for no limit
    """

    n_tasks: int
    room: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    required_label: str = ''
    preferred_rack: str = ''
    max_per_worker: int = 0


class Job(typing.NamedTuple):
    """A repeatable job: all of it may run again after a lost response.

    :param payload: what the workers run, not interpreted here
    """

    id: str
    queue: Queue
    payload: str
    steps: tuple[Step, ...]


def check_job(job: Job) -> None:
    """Check the numbers of a job from outside the process.

    :raises ValueError: names the step, the value and what is accepted
    """
    if not job.steps:
        raise ValueError('the job has no steps; accepted is 1 or more')
    for number, step in enumerate(job.steps):
        if step.n_tasks < 1:
            raise ValueError(
                f'step {number}: {step.n_tasks} tasks; accepted is 1 or more'
            )
        if any(not 0 <= earlier < number for earlier in step.after):
            raise ValueError(
                f'step {number}: depends on {step.after}; accepted are '
                'earlier steps'
            )
        if min(step.room) < 0:
            raise ValueError(f'step {number}: negative room {step.room}')
        # The comparison is also false for a value that is not a number.
        if not 0 <= step.estimate_s <= _MAX_ESTIMATE_S:
            raise ValueError(
                f'step {number}: estimated run time {step.estimate_s} s; '
                f'accepted is 0 to {_MAX_ESTIMATE_S}'
            )
    if sum(step.n_tasks for step in job.steps) > _MAX_JOB_TASKS:
        raise ValueError(f'more than {_MAX_JOB_TASKS} tasks')


class TaskKey(typing.NamedTuple):
    """Identifies a task across all jobs."""

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
    """Result of a job for its caller.

    :param reason: cause, for logs and for the text of the answer
    :param retry_after_s: time after which the caller may retry, in seconds
    """

    kind: OutcomeKind
    reason: str = ''
    retry_after_s: float = 0.0

    def is_result(self) -> bool:
        """Return whether the job has run to its end."""
        return self.kind in (OutcomeKind.COMPLETED, OutcomeKind.FAILED)


class WorkerInfo(typing.NamedTuple):
    """A worker as the platform lists it.

    :param life: incarnation number; it rises whenever the worker is
        restarted under the same id
    :param is_leaving: whether the worker is draining and takes no new work
    :param cold_s: how much longer the worker is slow, from when the entry was
        written; 0 in lists that are compared or sent to other instances
    """

    id: str
    address: str
    data_centre: str
    upstream: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    life: int = 0
    is_leaving: bool = False
    cold_s: float = 0.0


class EndKind(enum.StrEnum):
    """How a run ended, according to its worker."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'


class LossCause(enum.StrEnum):
    """Why the dispatcher knows that a run without a known result is over.

    - ``CRASHED``: the worker closed or refused connections and its lease
      ended before it answered again
    - ``SILENT``: the lease ended without an answer or a closed connection
    - ``RESTARTED``: the worker has a new incarnation
    - ``REPLACED``: another worker answers at its address
    - ``NOT_LISTED``: the worker's report does not show the run
    - ``TAKEN_OVER``: another dispatcher has started the task again
    """

    CRASHED = 'crashed'
    SILENT = 'silent'
    RESTARTED = 'restarted'
    REPLACED = 'replaced'
    NOT_LISTED = 'not_listed'
    TAKEN_OVER = 'taken_over'


class RunningRun(typing.NamedTuple):
    """A run that a worker reports as running."""

    key: TaskKey
    run_id: int


class EndedRun(typing.NamedTuple):
    """A run that a worker reports as ended.

    :param number: sequence number of the end on the worker
    """

    number: int
    key: TaskKey
    run_id: int
    kind: EndKind


class WorkerReport(typing.NamedTuple):
    """A worker's report of its running and ended runs.

    :param clock_ms: the worker's own clock, in milliseconds
    :param life: incarnation number of the worker
    """

    clock_ms: int
    life: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class Rejection(enum.StrEnum):
    """Why a worker rejected a start."""

    FENCED = 'fenced'
    STALE_RUN_ID = 'old_run'
    LATE = 'late'
    NO_ROOM = 'no_room'
    OTHER_INCARNATION = 'other_life'
    UNHEALTHY = 'unhealthy'
    REFUSED = 'refused'
    # Not sent, since the data centre is evacuated.
    EVACUATED = 'evacuated'


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Effect: tell a worker to start a run.

    :param expires_ms: expiry of the lease on the worker's clock
    """

    worker: WorkerInfo
    key: TaskKey
    run_id: int
    payload: str
    token: int
    expires_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Effect: tell a worker to stop a run, or never to start it later."""

    worker: WorkerInfo
    key: TaskKey
    run_id: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class PollWorker:
    """Effect: poll a worker for its runs while it has any.

    :param loop_index: index of the polling loop: 0, or 1 for a second loop
        that runs concurrently
    """

    worker_id: str
    loop_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PollWorkerOnce:
    """Effect: poll a worker for its runs once, without waiting."""

    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerJob:
    """Effect: send the outcome of a job to the instance that waits."""

    job_id: str
    instance_id: str
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Effect: a worker has accepted a dispatcher with a higher token.

    :param token: this dispatcher's token, which the worker rejected
    """

    worker_id: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision:
    """Effect: log a decision.

    :param name: name of the log event
    :param fields: reasons and result of the decision
    """

    name: str
    fields: dict[str, typing.Any]


Effect = (
    StartRun
    | StopRun
    | PollWorker
    | PollWorkerOnce
    | AnswerJob
    | Superseded
    | LogDecision
)
