import typing

from orioleloom import errors
from orioleloom import model

UNREACHABLE = 'unreachable'
ANSWER_LOST = 'answer_lost'


class SubmissionError(Exception):
    """A job that has no complete answer.

    :param code: an error kind, or ``unreachable`` or ``answer_lost``,
        which the client concludes itself
    :param report: what is known of each task, when an instance said so
    :param retry_after_ms: when another submission makes sense
    """

    def __init__(
        self,
        code: str,
        message: str,
        *,
        submission_id: str,
        report: model.TaskReport | None = None,
        retry_after_ms: int | None = None,
        attempts: int = 0,
    ):
        super().__init__(f'{code}: {message}')
        self.code = code
        self.message = message
        self.submission_id = submission_id
        self.report = report
        self.retry_after_ms = retry_after_ms
        self.attempts = attempts


class NotRunError(SubmissionError):
    """No task started and none will start under this submission id."""


class OutcomeUnknownError(SubmissionError):
    """Some tasks may have run; :attr:`report` names them if known."""


class JobFailedError(SubmissionError):
    """The job failed and the outcome of every task is known."""


def read_report(body: dict[str, typing.Any]) -> model.TaskReport | None:
    """Return the per-task report of a failed answer, if it has one."""
    tasks = body.get('tasks')
    if not isinstance(tasks, dict):
        return None
    return model.TaskReport(
        not_run=list(tasks.get('not_run') or ()),
        unknown=list(tasks.get('unknown') or ()),
        failed=list(tasks.get('failed') or ()),
        done=int(tasks.get('done') or 0),
    )


def classify(
    run: str | None, report: model.TaskReport | None
) -> type[SubmissionError]:
    """Choose the exception type of a failed answer.

    The per-task report is more precise than ``run``, so it decides when
    there is one.

    :param run: the ``run`` field of the error body
    :param report: the per-task report
    """
    if report is not None:
        if report['unknown']:
            return OutcomeUnknownError
        if report['failed'] or report['done']:
            return JobFailedError
        if report['not_run']:
            return NotRunError
    match run:
        case errors.Run.NOT_RUN:
            return NotRunError
        case errors.Run.RAN:
            return JobFailedError
        case _:
            return OutcomeUnknownError
