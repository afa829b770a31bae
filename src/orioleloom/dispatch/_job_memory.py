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
