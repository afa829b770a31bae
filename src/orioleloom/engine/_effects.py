import dataclasses
import typing

from orioleloom import codec
from orioleloom import model


@dataclasses.dataclass(frozen=True, slots=True)
class Respond:
    """Answer a request; emitted at most once per request."""

    request_id: int
    answer: model.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class WriteTable:
    """Run a table transaction, which ends with ``TableDone``."""

    token: str
    ops: tuple[model.TableOp, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTable:
    """Read table rows, which ends with ``RowsRead``."""

    token: str
    keys: tuple[str, ...]


class SentTask(typing.NamedTuple):
    """A task in the form that is sent to a worker."""

    key: str
    kind: str
    payload: typing.Any
    lease_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendTasks:
    """POST tasks to a worker.

    A ``LineReceived`` follows for each result and ``ExchangeEnded`` at
    the end.

    :param lease_s: time after which the caller ends the exchange
    """

    exchange_id: int
    worker_id: str
    http: str
    tasks: tuple[SentTask, ...]
    lease_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTasks:
    """Ask a worker to stop tasks; their result lines still follow."""

    worker_id: str
    http: str
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message, which may be lost, to another entry instance."""

    peer_id: str
    address: str
    message_id: int
    message: codec.PeerMessage


Effect: typing.TypeAlias = (
    Respond | WriteTable | ReadTable | SendTasks | CancelTasks | SendPeer
)
