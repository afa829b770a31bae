import dataclasses
import typing

from orioleloom import codec
from orioleloom import model


@dataclasses.dataclass(frozen=True, slots=True)
class Respond:
    """Answer a request; it is answered exactly once."""

    request_id: int
    answer: model.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class WriteTable:
    """Run a transaction; ends with ``TableDone``."""

    token: str
    ops: tuple[model.TableOp, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTable:
    """Read rows; ends with ``RowsRead``."""

    token: str
    keys: tuple[str, ...]


class SentTask(typing.NamedTuple):
    """A task as it is sent to a worker."""

    key: str
    kind: str
    payload: typing.Any
    lease_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendTasks:
    """POST tasks to a worker; lines and ``ExchangeEnded`` follow.

    :param lease_s: the exchange is broken off after this time
    """

    exchange_id: int
    worker_id: str
    http: str
    tasks: tuple[SentTask, ...]
    lease_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTasks:
    """Ask a worker to stop tasks; their lines still follow."""

    worker_id: str
    http: str
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to another entry instance; it may be lost."""

    peer_id: str
    address: str
    message_id: int
    message: codec.PeerMessage


Effect: typing.TypeAlias = (
    Respond | WriteTable | ReadTable | SendTasks | CancelTasks | SendPeer
)
