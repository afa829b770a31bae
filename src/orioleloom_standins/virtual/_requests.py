import dataclasses
import typing

from orioleloom import codec
from orioleloom import model
from orioleloom_standins import audit


@dataclasses.dataclass
class Copy:
    """One request of a caller: a copy of a job, a cancel or a fetch.

    :param first: whether the caller promises that it sent no other copy
    :param cancel: whether the request cancels the submission
    :param fetch: whether the request asks for the answer
    :param gave_up: whether the caller has stopped waiting
    :param request: entry id, incarnation and request id, if it was sent
    """

    job_id: model.JobId
    tasks: tuple[model.Task, ...]
    entry_id: str
    sent_at_s: float
    first: bool = False
    cancel: bool = False
    fetch: bool = False
    deadline_ms: float | None = None
    answer: model.Answer | None = None
    answered_at_s: float | None = None
    gave_up: bool = False
    request: tuple[str, int, int] | None = None

    @property
    def is_progress(self) -> bool:
        """Whether the answer reports progress instead of a result."""
        return self.answer is not None and self.answer.http_status == 202


@dataclasses.dataclass
class Change:
    """A contract change sent by an operator."""

    customer: str
    expected_version: int
    entry_id: str
    sent_at_s: float
    answer: model.Answer | None = None


def is_decided(answer: model.Answer | None) -> bool:
    """Whether an answer leaves a caller no reason to resubmit."""
    if answer is None or answer.http_status == 202:
        return False
    body = answer.body
    return body['state'] == 'complete' or body['error'].get('run') == 'not_run'


def request_body(
    tasks: typing.Sequence[model.Task], deadline_ms: float | None
) -> bytes:
    """Return the HTTP request body of a job."""
    deadline = {} if deadline_ms is None else {'deadline_ms': deadline_ms}
    return codec.encode_json(
        {
            **deadline,
            'tasks': [
                {
                    'kind': task.kind,
                    'payload': task.payload,
                    'upstream': task.upstream,
                    'run_time_ms': task.run_time_ms,
                }
                for task in tasks
            ],
        }
    )


def audit_calls(copies: typing.Iterable[Copy]) -> list[audit.Call]:
    """Convert requests to the records that the audit checks."""
    return [
        audit.Call(
            copy.job_id.customer,
            copy.job_id.submission_id,
            tuple(audit.SentTask(t.kind, t.payload) for t in copy.tasks),
            accepted=copy.answer is not None
            and (copy.is_progress or 'tasks' in copy.answer.body),
            answer=None
            if copy.answer is None or copy.is_progress
            else copy.answer.body,
            # A caller that got a progress report would fetch the answer later.
            pending=copy.answer is None or copy.is_progress,
        )
        for copy in copies
        if copy.tasks
    ]
