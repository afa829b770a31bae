import dataclasses
import typing

from orioleloom import codec
from orioleloom.engine._jobs import Job
from orioleloom import queueing


@dataclasses.dataclass(slots=True)
class InFlightTask:
    """A task that was sent to a worker and has no result line yet."""

    job: Job
    task: queueing.QueuedTask
    sent_at_s: float


@dataclasses.dataclass(slots=True)
class Exchange:
    """A POST to a worker that is still in progress.

    :param tasks: tasks without a result line, by task key
    """

    worker_id: str
    tasks: dict[str, InFlightTask]
    n_tasks: int = 0
    n_rejected: int = 0


def result_size_bytes(result: typing.Any) -> int:
    """Estimate the size of a result in an answer."""
    if isinstance(result, str):
        return len(result)
    if result is None or isinstance(result, (int, float)):
        return 8
    return len(codec.encode_json(result))
