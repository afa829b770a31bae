"""Tags that relate the outcome of a table read or write to its cause."""

import dataclasses

from orioleloom.engine import _events as events
from orioleloom import model


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimInsert:
    """Write of a new claim row, or takeover of one in order to run the job."""

    job_id: model.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class WatermarkRaise:
    """Raise of the start watermark."""

    job_id: model.JobId
    watermark: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Write of the final answer."""

    job_id: model.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimClose:
    """Takeover of a claim whose job can no longer run."""

    job_id: model.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDelete:
    """Deletion of an old claim row."""

    job_id: model.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class CancelInsert:
    """Cancellation of a submission that has no claim yet."""

    job_id: model.JobId
    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ContractWrite:
    """Change of a contract."""

    request_id: int
    contract: model.Contract


@dataclasses.dataclass(frozen=True, slots=True)
class ReadForFetch:
    """Read of a claim row for a fetch."""

    request_id: int
    job_id: model.JobId
    wait: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReadForCancel:
    """Read of a claim row for a cancellation."""

    request_id: int
    job_id: model.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class ReadForContract:
    """Read of a contract row before a change."""

    event: events.PutContract


ReadTag = ReadForFetch | ReadForCancel | ReadForContract
