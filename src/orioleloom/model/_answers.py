import typing

from orioleloom import errors


class TaskReport(typing.TypedDict):
    """Outcomes of the tasks of a failed job.

    The lists hold task indices; ``done`` is the number of tasks that
    succeeded.
    """

    not_run: list[int]
    unknown: list[int]
    failed: list[int]
    done: int


class Answer(typing.NamedTuple):
    """A response to a caller, usually the final answer of a job.

    :param http_status: status of the HTTP response
    :param body: JSON object sent to the caller
    """

    http_status: int
    body: dict[str, typing.Any]


class Progress(typing.TypedDict):
    """Progress of a job that has no final answer yet."""

    submission_id: str
    state: str
    n_tasks: int
    n_started: int
    n_done: int


def complete_answer(submission_id: str, results: list[typing.Any]) -> Answer:
    """Build the answer to a job whose tasks all succeeded."""
    return Answer(
        200,
        {
            'submission_id': submission_id,
            'state': 'complete',
            'results': results,
        },
    )


def failed_answer(
    submission_id: str,
    error: errors.DispatchError,
    report: TaskReport,
) -> Answer:
    """Build the answer to a job that failed after it was accepted."""
    status, body = errors.to_response(error, no_other_copy=True)
    return Answer(
        status,
        {
            'submission_id': submission_id,
            'state': 'failed',
            'error': body,
            'tasks': report,
        },
    )


def refused_answer(
    submission_id: str,
    error: errors.DispatchError,
    *,
    no_other_copy: bool,
) -> Answer:
    """Build the answer to a submission that was not accepted.

    :param no_other_copy: see :func:`orioleloom.errors.to_response`
    """
    status, body = errors.to_response(error, no_other_copy=no_other_copy)
    return Answer(
        status,
        {'submission_id': submission_id, 'state': 'failed', 'error': body},
    )
