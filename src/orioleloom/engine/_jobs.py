import dataclasses
import enum
import typing

from orioleloom import errors
from orioleloom import model


class TaskState(enum.IntEnum):
    """State of one task; stored in a byte per task."""

    WAITING = 0
    SENT = 1
    OK = 2
    FAILED = 3
    UNKNOWN = 4
    STOPPED = 5


class JobPhase(enum.Enum):
    """Where a job stands.

    ``SETTLING``: every outcome is known and the answer waits for its
    record, because it says that tasks did not run.
    """

    CLAIMING = 'claiming'
    RUNNING = 'running'
    SETTLING = 'settling'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class Job:
    """A job that this instance holds.

    :param ticket: held under a ticket; there is no claim row
    :param revision: revision of the claim row
    :param released: committed start watermark
    :param raising_to: watermark of the write in progress, 0 if none
    :param held: indexes popped from the queue that wait for the raise
    :param ending: error that ends the job although tasks are left
    """

    id: model.JobId
    request: model.JobRequest
    ticket: bool
    accepted_at_s: float
    deadline_at_s: float
    size_bytes: int
    phase: JobPhase = JobPhase.CLAIMING
    revision: int = 0
    released: int = 0
    raising_to: int = 0
    held: list[typing.Any] = dataclasses.field(default_factory=list)
    n_tasks: int = dataclasses.field(init=False)
    states: bytearray = dataclasses.field(default_factory=bytearray)
    results: list[typing.Any] = dataclasses.field(default_factory=list)
    n_sends: dict[int, int] = dataclasses.field(default_factory=dict)
    first_error: str = ''
    n_in_flight: int = 0
    n_finished: int = 0
    result_bytes: int = 0
    ending: errors.ErrorKind | None = None
    answer: model.Answer | None = None
    ended_at_s: float = 0.0
    first_attempt: bool = False
    superseded: bool = False
    exchange_ids: set[int] = dataclasses.field(default_factory=set)
    waiters: set[int] = dataclasses.field(default_factory=set)
    peer_waiters: set[tuple[str, int]] = dataclasses.field(default_factory=set)

    def __post_init__(self):
        self.n_tasks = len(self.request.tasks)
        self.states = bytearray(self.n_tasks)
        self.results = [None] * self.n_tasks

    def release_content(self) -> None:
        """Drop what an ended job does not need to answer later copies."""
        self.request = self.request._replace(tasks=())
        self.size_bytes = 0
        self.results = []
        self.n_sends = {}

    def indexes(self, state: TaskState) -> list[int]:
        """Return the indexes of the tasks in a state."""
        return [i for i, value in enumerate(self.states) if value == state]

    def progress(self) -> model.Progress:
        """Return the progress shown to callers."""
        n_waiting = self.states.count(TaskState.WAITING)
        started = self.n_tasks - n_waiting
        return model.Progress(
            submission_id=self.id.submission_id,
            state='running' if started else 'queued',
            n_tasks=self.n_tasks,
            n_started=started,
            n_done=self.n_finished,
        )

    def report(self) -> model.TaskReport:
        """Return what is known of each task of a failed job."""
        return model.TaskReport(
            not_run=self.indexes(TaskState.WAITING),
            unknown=sorted(
                self.indexes(TaskState.UNKNOWN)
                + self.indexes(TaskState.SENT)
                + self.indexes(TaskState.STOPPED)
            ),
            failed=self.indexes(TaskState.FAILED),
            done=self.states.count(TaskState.OK),
        )

    def final_answer(self) -> model.Answer:
        """Build the answer from the state of the tasks."""
        if self.states.count(TaskState.OK) == self.n_tasks:
            return model.complete_answer(self.id.submission_id, self.results)
        report = self.report()
        error = errors.DispatchError(
            self._error_kind(report),
            self.first_error or self._summary(report),
            run=_run_of(report),
        )
        return model.failed_answer(self.id.submission_id, error, report)

    def _error_kind(self, report: model.TaskReport) -> errors.ErrorKind:
        if self.ending is not None:
            return self.ending
        if report['unknown']:
            return errors.ErrorKind.OUTCOME_UNKNOWN
        if report['failed']:
            return errors.ErrorKind.TASK_FAILED
        return errors.ErrorKind.OVERLOADED

    def _summary(self, report: model.TaskReport) -> str:
        return (
            f'of {self.n_tasks} tasks {report["done"]} succeeded, '
            f'{len(report["failed"])} failed, '
            f'{len(report["unknown"])} have an unknown outcome and '
            f'{len(report["not_run"])} did not run'
        )


def _run_of(report: model.TaskReport) -> errors.Run:
    if report['unknown']:
        return errors.Run.UNKNOWN
    if report['failed'] or report['done']:
        return errors.Run.RAN
    return errors.Run.NOT_RUN


@dataclasses.dataclass(slots=True)
class RemoteJob:
    """A job that another instance holds, asked for on behalf of callers.

    :param owner: ``<instance>/<incarnation>`` that holds it
    :param row: claim row, to take over from; ``None`` for a ticket
    :param request: content, when a caller sent a copy
    :param deadline_at_s: when the last copy received expires, if known
    :param cancel: a caller asked to cancel it
    :param closing_answer: answer once the takeover is committed
    """

    id: model.JobId
    owner: str
    row: model.Row | None
    request: model.JobRequest | None
    body: bytes
    deadline_at_s: float | None = None
    message_id: int = 0
    next_try_at_s: float = 0.0
    n_unanswered: int = 0
    first_unanswered_at_s: float = 0.0
    progress: dict[str, typing.Any] | None = None
    taking_over: bool = False
    cancel: bool = False
    waiters: set[int] = dataclasses.field(default_factory=set)
    closing_answer: model.Answer | None = None
