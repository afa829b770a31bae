import dataclasses
import typing

from orioleloom import codec
from orioleloom import model
from orioleloom.model import Committed
from orioleloom.model import Conflicted
from orioleloom.model import TableOutcome
from orioleloom.model import WriteRefused
from orioleloom.model import WriteUnknown

__all__ = [
    'Committed',
    'Conflicted',
    'TableOutcome',
    'WriteRefused',
    'WriteUnknown',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """A caller submits a job.

    :param first_attempt: the caller promises that it sent no other copy
    :param wait: whether to answer when the job ends; otherwise it is
        answered with progress as soon as it is accepted
    :param body: ``request`` as received, to forward it
    """

    request_id: int
    job_id: model.JobId
    request: model.JobRequest
    first_attempt: bool = False
    wait: bool = True
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """A caller asks for the answer of a job.

    :param wait: whether to answer when the job ends; otherwise the
        current progress or answer is returned
    """

    request_id: int
    job_id: model.JobId
    wait: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """A caller cancels a job."""

    request_id: int
    job_id: model.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class WaitExpired:
    """The wait of a request timed out; its job continues."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestGone:
    """The caller of a request disconnected."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class PutContract:
    """An operator changes a contract.

    :param contract: new contract, with version ``expected_version + 1``
    :param expected_version: version that the change replaces; 0 for a
        customer that does not exist yet
    """

    request_id: int
    contract: model.Contract
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableDone:
    """A table transaction ended."""

    token: str
    outcome: TableOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class RowsRead:
    """A table read ended; ``rows`` is ``None`` if it failed."""

    token: str
    rows: tuple[model.Row, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class LineReceived:
    """A worker sent a result line."""

    exchange_id: int
    line: model.ResultLine


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeEnded:
    """A POST to a worker ended.

    :param may_have_started: bytes may have reached the worker; if false,
        none of the tasks without a result line has started
    """

    exchange_id: int
    may_have_started: bool
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReceived:
    """A message from another entry instance arrived."""

    message_id: int
    sender: str
    message: codec.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """The member list was read; ``members`` holds the changed rows."""

    members: tuple[model.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ContractsRead:
    """Contract rows were read from the table."""

    rows: tuple[model.Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformState:
    """The platform became reachable or unreachable."""

    available: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; deadlines, retries and expirations are checked."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop began.

    :param timeout_s: time limit for the jobs in progress, in seconds
    """

    timeout_s: float = 30.0


Event: typing.TypeAlias = (
    Submit
    | Fetch
    | Cancel
    | WaitExpired
    | RequestGone
    | PutContract
    | TableDone
    | RowsRead
    | LineReceived
    | ExchangeEnded
    | PeerReceived
    | MembersChanged
    | ContractsRead
    | PlatformState
    | Tick
    | StopRequested
)
