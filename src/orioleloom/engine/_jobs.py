import dataclasses
import enum
import typing

from orioleloom import errors
from orioleloom import model


class TaskState(enum.IntEnum):
    """State of a task, stored as one byte per task."""

    WAITING = 0
    SENT = 1
    OK = 2
    FAILED = 3
    UNKNOWN = 4
    STOPPED = 5


class JobPhase(enum.Enum):
    """Phase of the life cycle of a job.

    - ``CLAIMING``: the insert of the claim row is in progress.
    - ``RUNNING``: tasks may start.
    - ``SETTLING``: all outcomes are known, but the answer reports tasks
      as not run and is sent only once it is recorded in the claim row.
    - ``ENDED``: the job is answered or was taken over.
    """

    CLAIMING = 'claiming'
    RUNNING = 'running'
    SETTLING = 'settling'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class Job:
    """A job owned by this instance.

    :param ticket: the job was submitted with a ticket and has no claim row
    :param size_bytes: size of the content; 0 once it is released
    :param revision: revision of the claim row
    :param start_watermark: committed start watermark: only tasks with a lower
        index may start
    :param pending_watermark: start watermark of the write in progress, 0
        if none
    :param held_tasks: tasks taken from the queue that wait for that write
    :param n_sends: number of sends, by index, of tasks that did not start
    :param abort_kind: error for which the job starts no more tasks
    :param first_attempt: the caller promised that it sent no other copy,
        and none has been received
    :param superseded: another instance changed the claim row
    :param waiters: ids of requests to answer when the job ends
    :param peer_waiters: peer id and message id of queries to answer then
    """

    id: model.JobId
    request: model.JobRequest
    ticket: bool
    accepted_at_s: float
    deadline_at_s: float
    size_bytes: int
    phase: JobPhase = JobPhase.CLAIMING
    revision: int = 0
    start_watermark: int = 0
    pending_watermark: int = 0
    held_tasks: list[typing.Any] = dataclasses.field(default_factory=list)
    n_tasks: int = dataclasses.field(init=False)
    states: bytearray = dataclasses.field(default_factory=bytearray)
    results: list[typing.Any] = dataclasses.field(default_factory=list)
    n_sends: dict[int, int] = dataclasses.field(default_factory=dict)
    first_error: str = ''
    n_in_flight: int = 0
    n_finished: int = 0
    result_bytes: int = 0
    abort_kind: errors.ErrorKind | None = None
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
        """Drop the tasks and results of an ended job.

        The digest of the request is kept, to compare later copies with.
        """
        self.request = self.request._replace(tasks=())
        self.size_bytes = 0
        self.results = []
        self.n_sends = {}

    def indexes(self, state: TaskState) -> list[int]:
        """Return the indexes of the tasks that are in a state."""
        return [i for i, value in enumerate(self.states) if value == state]

    def progress(self) -> model.Progress:
        """Return the progress shown to callers."""
        n_waiting = self.states.count(TaskState.WAITING)
        n_started = self.n_tasks - n_waiting
        return model.Progress(
            submission_id=self.id.submission_id,
            state='running' if n_started else 'queued',
            n_tasks=self.n_tasks,
            n_started=n_started,
            n_done=self.n_finished,
        )

    def report(self) -> model.TaskReport:
        """Return the outcomes of the tasks of a failed job."""
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
        """Build the final answer from the states of the tasks."""
        if self.states.count(TaskState.OK) == self.n_tasks:
            return model.complete_answer(self.id.submission_id, self.results)
        report = self.report()
        error = errors.DispatchError(
            self._error_kind(report),
            self.first_error or self._summary(report),
            run=_run_from_report(report),
        )
        return model.failed_answer(self.id.submission_id, error, report)

    def _error_kind(self, report: model.TaskReport) -> errors.ErrorKind:
        if self.abort_kind is not None:
            return self.abort_kind
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


def _run_from_report(report: model.TaskReport) -> errors.RunStatus:
    if report['unknown']:
        return errors.RunStatus.UNKNOWN
    if report['failed'] or report['done']:
        return errors.RunStatus.RAN
    return errors.RunStatus.NOT_RUN


@dataclasses.dataclass(slots=True)
class RemoteJob:
    """A job of another instance that callers of this instance wait for.

    :param owner: ``<instance>/<incarnation>`` that owns the job
    :param row: claim row, needed for a takeover; ``None`` for a ticket
    :param request: content of the job, if a caller submitted it here
    :param body: ``request`` as received, to forward it
    :param deadline_at_s: deadline of the last copy received, if known
    :param message_id: id of the last request to the owner
    :param progress: last progress received from the owner
    :param taking_over: the write of the takeover is in progress
    :param cancel: a caller cancelled the job
    :param closing_answer: answer to send once the takeover is committed
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
