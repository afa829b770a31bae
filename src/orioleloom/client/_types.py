import typing

from orioleloom import model


class JobAnswer(typing.NamedTuple):
    """Answer or progress of a job that did not fail.

    :param submission_id: id under which the job was submitted
    :param state: ``complete``, ``queued``, ``running`` or, from a
        cancel, ``cancelled``
    :param results: one result per task, in task order, when complete
    :param progress: task counts, if the job has not ended
    :param report: outcome of each task of a cancelled job
    :param attempts: copies of the submission that may have been sent
    """

    submission_id: str
    state: str
    results: list[typing.Any] | None = None
    progress: model.Progress | None = None
    report: model.TaskReport | None = None
    attempts: int = 1
