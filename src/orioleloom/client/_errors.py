import typing

from orioleloom import errors
from orioleloom import model

UNREACHABLE = 'unreachable'
ANSWER_LOST = 'answer_lost'


class SubmissionError(Exception):
    """Base class of the exceptions for jobs without a complete answer.

    :param code: error kind from the instance, or ``unreachable`` or
        ``answer_lost``, which are set by the client
    :param message: description of the error
    :param submission_id: id under which the job was submitted
    :param report: outcome of each task, if an instance reported it
    :param retry_after_ms: least delay before another submission
    :param attempts: requests that may have been sent
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
    """Some tasks may have run; :attr:`report` lists them if known."""


class JobFailedError(SubmissionError):
    """The job failed and the outcome of every task is known."""


def parse_report(body: dict[str, typing.Any]) -> model.TaskReport | None:
    """Parse the per-task report of a failed answer, if it has one."""
    tasks = body.get('tasks')
    if not isinstance(tasks, dict):
        return None
    return model.TaskReport(
        not_run=list(tasks.get('not_run') or ()),
        unknown=list(tasks.get('unknown') or ()),
        failed=list(tasks.get('failed') or ()),
        done=int(tasks.get('done') or 0),
    )


def select_error_type(
    run: str | None, report: model.TaskReport | None
) -> type[SubmissionError]:
    """Select the exception type for a failed answer.

    A per-task report takes precedence over ``run``, because it is more
    precise.

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
        case errors.RunStatus.NOT_RUN:
            return NotRunError
        case errors.RunStatus.RAN:
            return JobFailedError
        case _:
            return OutcomeUnknownError
