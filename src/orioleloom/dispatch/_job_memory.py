"""Memory that a job takes, by its bytes, steps and tasks."""

import sys

from orioleloom.dispatch import _records

# Sizes on CPython 3.11, and a quarter or more for the fragmentation of the
# heap, see docs/design/job-memory.md.
_JOB_BYTES = 2_048
_STEP_BYTES = 512
_DEPENDENCY_BYTES = 16
_TASK_BYTES = 640
# The payload, and its copy in a message or in the requests to workers.
_PAYLOAD_COPIES = 2
# Share of the budget that start requests without an answer may take.
_START_PAYLOADS_SHARE = 1 / 16
# Jobs up to these sizes are sent to the leader without asking for room.
_MAX_SMALL_BYTES = 65_536
_MAX_SMALL_PAYLOAD_BYTES = 4_096


def pending_bytes(job: _records.Job) -> int:
    """Return the memory of a job at the instance that holds its caller."""
    return (
        _JOB_BYTES
        + _PAYLOAD_COPIES * sys.getsizeof(job.payload)
        + _STEP_BYTES * len(job.steps)
        + _DEPENDENCY_BYTES * sum(len(step.after) for step in job.steps)
    )


def led_bytes(job: _records.Job) -> int:
    """Return the memory of a job at the dispatcher that runs it."""
    return pending_bytes(job) + _TASK_BYTES * sum(
        step.n_tasks for step in job.steps
    )


def encoded_bytes(data: bytes) -> int:
    """Return at most how much memory the job in a JSON text takes.

    It is told from the text alone, so that a job without room is refused
    before it is decoded. A character takes four bytes in a string with one
    outside the Basic Multilingual Plane.
    """
    # Every step is an object, and every dependency is followed by a comma or
    # by the end of the list in its step.
    n_objects = data.count(b'{')
    width = 1 if data.isascii() and b'\\u' not in data else 4
    return (
        _JOB_BYTES
        + _PAYLOAD_COPIES * width * len(data)
        + _STEP_BYTES * n_objects
        + _DEPENDENCY_BYTES * (data.count(b',') + n_objects)
    )


def is_large(job: _records.Job) -> bool:
    """Return whether room must be reserved before a job is sent."""
    return (
        len(job.payload) > _MAX_SMALL_PAYLOAD_BYTES
        or led_bytes(job) > _MAX_SMALL_BYTES
    )


class StartPayloads:
    """Bounds the memory of start requests that have no answer yet.

    Each of them has a copy of the payload, so that a job of a thousand tasks
    with a long payload would take a thousand times its size. Only payloads
    longer than those of usual jobs count.

    :param limit: limit of the process's budget, of which this is a share
    """

    def __init__(self, limit: int):
        self.limit_bytes = limit * _START_PAYLOADS_SHARE
        self.n_bytes = 0

    def add(self, payload: str) -> bool:
        """Count a request; return false if it has to wait for others."""
        n_bytes = self._counted_bytes(payload)
        if (
            n_bytes
            and self.n_bytes
            and (self.n_bytes + n_bytes > self.limit_bytes)
        ):
            return False
        self.n_bytes += n_bytes
        return True

    def remove(self, payload: str) -> None:
        """No longer count a request that has ended."""
        self.n_bytes -= self._counted_bytes(payload)

    @staticmethod
    def _counted_bytes(payload: str) -> int:
        if len(payload) <= _MAX_SMALL_PAYLOAD_BYTES:
            return 0
        return _PAYLOAD_COPIES * sys.getsizeof(payload)
