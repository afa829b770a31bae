"""Interfaces to the platform, which an adapter implements."""

import typing

from orioleloom import dispatch


class Route(typing.NamedTuple):
    """Maps requests by host and path prefix to a queue.

    :param host: host name of the request, in lower case
    :param path_prefix: prefix of the request path
    """

    host: str
    path_prefix: str
    queue: dispatch.Queue


class IngressLimits(typing.NamedTuple):
    """Limits on callers' requests and connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Routing(typing.NamedTuple):
    """Routing configuration set by the operator.

    :param version: increases with each change
    :param limits: limits on callers' requests, or ``None`` to keep the
        current ones
    :param unguarded_upstreams: groups of workers that do not reject runs which
        exceed their capacity
    """

    version: int
    routes: tuple[Route, ...]
    limits: IngressLimits | None = None
    unguarded_upstreams: tuple[str, ...] = ()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        longest = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if longest is None or len(route.path_prefix) > len(
                longest.path_prefix
            ):
                longest = route
        return longest


class EvacuationRow(typing.NamedTuple):
    """Request of the operator to start nothing in a data centre.

    It is in force while the row exists.
    """

    data_centre: str


class MemberInfo(typing.NamedTuple):
    """Entry of an instance in the member table.

    :param address: ``tcp://IP:PORT`` on which peers connect
    :param rank: suitability as leader; 0 if unknown
    """

    instance_id: str
    address: str
    data_centre: str
    rank: float = 0.0


class CrashRow(typing.NamedTuple):
    """A crash of a worker under a task, as :class:`dispatch.CrashRecord`.

    :param crashed_unix_s: Unix time of the crash, in seconds
    """

    key: dispatch.TaskKey
    worker_id: str
    life: int
    address: str
    is_proven: bool
    crashed_unix_s: float


class StoreError(Exception):
    """A call to the store failed or was not answered."""


class HistoryLostError(StoreError):
    """The store no longer has the history after the requested version."""


T = typing.TypeVar('T')


class Snapshot(typing.NamedTuple, typing.Generic[T]):
    """Rows of a table at one version of the store.

    :param version: newest version of the store when the rows were read
    :param rows: decoded rows by key; ``None`` for a removed row
    :param removed_versions: versions at which rows were removed, by key
    :param is_exact: whether all rows are those of that version
    """

    version: int
    rows: dict[str, T | None]
    removed_versions: dict[str, int] = {}
    is_exact: bool = True


class Table(typing.Protocol[T]):
    """Read access to a table of the store."""

    async def read(self) -> Snapshot[T]:
        """Return all rows.

        :raises StoreError: the call failed
        """

    async def changes(self, after: int, wait_s: float) -> Snapshot[T]:
        """Return the rows changed after a version.

        :param wait_s: maximum time to wait for the first change
        :raises HistoryLostError: the store has dropped the changes
        :raises StoreError: the call failed
        """


class Store(typing.Protocol):
    """Access to the platform's store."""

    # The operator's rows.
    routing: Table[Routing | EvacuationRow]
    workers: Table[dispatch.WorkerInfo]
    members: Table[MemberInfo]
    # By job id.
    crashes: Table[list[CrashRow]]

    async def write_crashes(
        self, rows: typing.Mapping[str, list[CrashRow] | None]
    ) -> None:
        """Write crashes under the tasks of jobs, by job id.

        :param rows: ``None`` removes a row; at most 100
        :raises StoreError: the call failed
        """

    async def put_member(self, member: MemberInfo) -> None:
        """Write this instance's entry to the member table."""

    async def write_leader_heartbeat(self, heartbeat: str) -> None:
        """Write the heartbeat of the fleet's leader."""

    async def read_leader_heartbeat(self) -> str:
        """Return the leader's latest heartbeat, or ``''`` if there is none."""


class NotSentError(Exception):
    """A command was not sent, so it was not executed."""


class RefusedError(NotSentError):
    """A worker's address refused the connection for a command."""


class NoAnswerError(Exception):
    """A command was not answered and may have been executed."""


class ClosedError(NoAnswerError):
    """A worker closed or reset the connection instead of an answer."""


class RejectedError(Exception):
    """A worker rejected a command."""

    def __init__(self, reason: dispatch.Rejection):
        super().__init__(reason)
        self.reason = reason


class WorkerGateway(typing.Protocol):
    """Client of the workers. Callers apply their own timeouts.

    Each method may raise :class:`RefusedError` and :class:`ClosedError` for
    the errors that they are a kind of.
    """

    async def start(self, command: dispatch.StartRun) -> int:
        """Start a run and return the worker's clock, in milliseconds.

        :raises NotSentError: the command was not sent
        :raises NoAnswerError: the command may have been executed
        :raises RejectedError: the worker did not start the run
        """

    async def stop(self, command: dispatch.StopRun) -> None:
        """Stop a run.

        :raises NotSentError: the command was not sent
        :raises NoAnswerError: the command may have been executed
        :raises RejectedError: another worker now uses the address
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

        :param expires_ms: new end of the lease on the worker's clock, or
            ``None`` to leave the lease unchanged
        :param acked_through: highest number of an ended run that the
            dispatcher has processed
        :param wait_s: maximum time to wait for the end of a run
        :raises NotSentError: the request was not sent
        :raises NoAnswerError: the lease may have been extended
        :raises RejectedError: the worker accepts only another dispatcher's
            higher token
        """

    async def can_connect(self, worker: dispatch.WorkerInfo) -> bool:
        """Return whether a connection to a worker can be opened."""
