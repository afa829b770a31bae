"""What a node needs of the platform; an adapter provides it."""

import typing

from orioleloom import dispatch


class Route(typing.NamedTuple):
    """Requests that belong to a queue.

    :param host: host name of the request, in lower case
    :param path_prefix: beginning of its path
    """

    host: str
    path_prefix: str
    queue: dispatch.Queue


class IngressLimits(typing.NamedTuple):
    """Limits of the callers' requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Routing(typing.NamedTuple):
    """Configuration of the operator.

    :param version: rises with each change
    """

    version: int
    routes: tuple[Route, ...]
    limits: IngressLimits | None = None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        best = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best


class MemberInfo(typing.NamedTuple):
    """An instance as it registers itself.

    :param address: ``tcp://IP:PORT`` for its peers
    """

    instance_id: str
    address: str
    data_centre: str


class StoreError(Exception):
    """The platform's store did not carry out a call, or did not answer."""


class HistoryLostError(StoreError):
    """Changes after a version can no longer be listed."""


T = typing.TypeVar('T')


class Snapshot(typing.NamedTuple, typing.Generic[T]):
    """Rows of a table.

    :param version: newest version of the store at that moment
    :param rows: decoded rows by key; ``None`` for a removed one
    """

    version: int
    rows: dict[str, T | None]


class Table(typing.Protocol[T]):
    """A table that others write."""

    async def read(self) -> Snapshot[T]:
        """Return all rows.

        :raises StoreError: no answer
        """

    async def changes(self, after: int, wait_s: float) -> Snapshot[T]:
        """Return the rows changed after a version.

        :param wait_s: time to wait for the first change
        :raises HistoryLostError: the changes are not known any more
        :raises StoreError: no answer
        """


class Store(typing.Protocol):
    """The platform's store."""

    routing: Table[Routing]
    workers: Table[dispatch.WorkerInfo]
    members: Table[MemberInfo]

    async def put_member(self, member: MemberInfo) -> None:
        """Register this instance."""

    async def put_leader_sign(self, sign: str) -> None:
        """Write a leader's sign of life."""

    async def read_leader_sign(self) -> str:
        """Return the newest sign of life of a leader, or ``''``."""


class NotSentError(Exception):
    """An order has certainly not left."""


class NoAnswerError(Exception):
    """An order may have been carried out."""


class RejectedError(Exception):
    """A worker did not carry out an order."""

    def __init__(self, reason: dispatch.Rejection):
        super().__init__(reason)
        self.reason = reason


class WorkerGateway(typing.Protocol):
    """Calls to workers. Time-outs are the caller's."""

    async def start(self, order: dispatch.StartRun) -> int:
        """Start a run and return the worker's clock, in milliseconds.

        :raises NotSentError: the order has not left
        :raises NoAnswerError: it may have been carried out
        :raises RejectedError: the worker did not start the run
        """

    async def stop(self, order: dispatch.StopRun) -> None:
        """Stop a run.

        :raises NotSentError: the order has not left
        :raises NoAnswerError: it may have been carried out
        :raises RejectedError: the worker is another one
        """

    async def report(
        self,
        worker: dispatch.WorkerInfo,
        token: int,
        expires_ms: int | None,
        acked_through: int,
        wait_s: float,
    ) -> dispatch.WorkerReport:
        """Extend the lease of a worker's runs and list them.

        :param wait_s: time to wait for the end of a run
        :raises NotSentError: the order has not left
        :raises NoAnswerError: it may have been carried out
        :raises RejectedError: the worker obeys another dispatcher
        """

    async def reach(self, worker: dispatch.WorkerInfo) -> bool:
        """Return whether a connection to a worker can be made."""
