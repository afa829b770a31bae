"""Encoders and decoders for the platform's wire formats.

Messages are decoded into the types of :mod:`orioleloom.node` and
:mod:`orioleloom.dispatch`. Comments explain fields whose names on the wire
are not self-explanatory.
"""

import ipaddress
import math
import re
import typing

import msgspec

from orioleloom import dispatch
from orioleloom import node


class WireError(ValueError):
    """A message or row does not conform to the platform's format."""


# Sums of a few such numbers still fit into 64 bits, as the messages between
# instances require.
_MAX_INTEGER = 2**62
_Integer = typing.Annotated[
    int, msgspec.Meta(ge=-_MAX_INTEGER, le=_MAX_INTEGER)
]
_Natural = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]

_T = typing.TypeVar('_T')


def _decode(
    decoder: msgspec.json.Decoder[_T], data: bytes, subject: str
) -> _T:
    """Decode JSON of another process.

    :param subject: what is decoded, for the error
    :raises WireError: the data is invalid
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise WireError(f'{subject}: {exc}') from exc


# Configuration


class _RouteFields(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: _Integer = 0
    max_attempts: _Integer = 1
    slack_factor: float = 1.0
    target_latency_ms: float = 0.0


class _IngressFields(msgspec.Struct, rename='camel'):
    max_header_bytes: _Integer = 16_384
    max_body_bytes: _Integer = 262_144
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _ServiceFields(msgspec.Struct, rename='camel'):
    name: str = ''
    # The service's workers reject what does not fit.
    admission_check: bool = False


class _ConfigurationFields(msgspec.Struct):
    version: _Natural
    routes: list[_RouteFields] = []
    services: list[_ServiceFields] = []
    limits: _IngressFields | None = None


_CONFIGURATION_DECODER = msgspec.json.Decoder(
    _ConfigurationFields, strict=False
)


def decode_configuration(data: bytes) -> node.Routing:
    """Decode the operator's configuration.

    :raises WireError: the configuration is invalid
    """
    fields = _decode(_CONFIGURATION_DECODER, data, 'configuration')
    limits = fields.limits
    return node.Routing(
        fields.version,
        tuple(
            node.Route(
                route.host.lower(),
                route.path_prefix,
                dispatch.Queue(
                    route.name,
                    route.service,
                    route.priority,
                    max(1, route.max_attempts),
                    route.slack_factor or 1.0,
                    route.target_latency_ms / 1000,
                ),
            )
            for route in fields.routes
        ),
        limits
        and node.IngressLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        tuple(
            service.name
            for service in fields.services
            if not service.admission_check
        ),
    )


# The operator's table

CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'
# Keys from here on follow those with the prefix.
AFTER_EVACUATIONS = 'evacuate0'


def is_operator_key(key: str) -> bool:
    """Return whether a row of the operator's table concerns this system."""
    return key == CONFIGURATION_KEY or key.startswith(EVACUATION_PREFIX)


def decode_operator_row(
    key: str, data: bytes
) -> node.Routing | node.EvacuationRow:
    """Decode a row of the operator's table.

    The value of an evacuation is ignored: its key says everything, and an odd
    value must not end it.

    :raises WireError: the row is invalid
    """
    if key == CONFIGURATION_KEY:
        return decode_configuration(data)
    data_centre = key.removeprefix(EVACUATION_PREFIX)
    if not data_centre:
        raise WireError(f'row {key!r}: no data centre is named')
    return node.EvacuationRow(data_centre)


# Workers


class _CapacityFields(msgspec.Struct, rename='camel'):
    # Thousandths of a core.
    cpu: _Natural = 0
    mem_mb: _Natural = 0
    gpu: _Natural = 0


_Cold = typing.Annotated[float, msgspec.Meta(ge=0)]


class _WorkerFields(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: typing.Literal['ready', 'draining']
    capacity: _CapacityFields
    labels: list[str] = []
    # Unix time at which the worker started, in milliseconds.
    born: _Natural = 0
    # How much longer the worker is slow.
    cold_remaining_ms: _Cold = msgspec.field(
        name='coldRemainingMs', default=0.0
    )


_WORKER_DECODER = msgspec.json.Decoder(_WorkerFields)
# A worker's id is part of a header line of each request to it.
_WORKER_ID_PATTERN = re.compile(r'[!-~]{1,200}')
_PORT_PATTERN = re.compile(r'[0-9]{1,5}')
_MAX_PORT = 65_535


def _is_address(text: str) -> bool:
    """Return whether a text is ``IP:PORT``, which needs no name lookup."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return (
        _PORT_PATTERN.fullmatch(port) is not None
        and 1 <= int(port) <= _MAX_PORT
    )


def decode_worker(worker_id: str, data: bytes) -> dispatch.WorkerInfo:
    """Decode a worker's entry.

    :raises WireError: the entry is invalid
    """
    if not _WORKER_ID_PATTERN.fullmatch(worker_id):
        raise WireError(f'worker id {worker_id[:80]!r}')
    fields = _decode(_WORKER_DECODER, data, f'entry {worker_id!r}')
    if not _is_address(fields.address):
        raise WireError(
            f'entry {worker_id!r}: address {fields.address[:80]!r}; accepted '
            f'is IP:PORT with a port from 1 to {_MAX_PORT}'
        )
    capacity = fields.capacity
    return dispatch.WorkerInfo(
        worker_id,
        fields.address,
        fields.zone,
        fields.service,
        dispatch.Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        tuple(fields.labels),
        fields.born,
        fields.state == 'draining',
        fields.cold_remaining_ms / 1000,
    )


# Members, in a table that only orioleloom uses

_MEMBER_DECODER = msgspec.json.Decoder(node.MemberInfo)


def encode_member(member: node.MemberInfo) -> bytes:
    """Encode an instance's row of the member table."""
    return msgspec.json.encode(member)


def decode_member(key: str, data: bytes) -> node.MemberInfo:
    """Decode an instance's row of the member table.

    :raises WireError: the row is invalid
    """
    member = _decode(_MEMBER_DECODER, data, f'member {key!r}')
    if not math.isfinite(member.rank):
        raise WireError(f'member {key!r}: rank {member.rank}')
    return member


# Crashes, in a table that only orioleloom uses

_CRASHES_DECODER = msgspec.json.Decoder(list[node.CrashRow])


def encode_crashes(rows: list[node.CrashRow]) -> bytes:
    """Encode a job's row of the table of crashes."""
    return msgspec.json.encode(rows)


def decode_crashes(key: str, data: bytes) -> list[node.CrashRow]:
    """Decode a job's row of the table of crashes.

    :raises WireError: the row is invalid
    """
    rows = _decode(_CRASHES_DECODER, data, f'crashes {key!r}')
    for row in rows:
        if max(abs(row.life), abs(row.key.step), abs(row.key.index)) > (
            _MAX_INTEGER
        ):
            raise WireError(f'crashes {key!r}: a number is too large')
    return rows


# Jobs


class _StepFields(msgspec.Struct, rename='camel'):
    count: _Integer
    cpu: _Integer = 0
    mem_mb: _Integer = 0
    gpu: _Integer = 0
    estimate_ms: float = 0.0
    after: list[_Integer] = []
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    preferred_rack: str = ''
    # Maximum number of this step's tasks on one worker; 0 means no limit.
    anti_affinity: _Integer = 0
    long_running: bool = False
    fills: bool = False


class _JobFields(msgspec.Struct, rename='camel'):
    spec: str
    phases: list[_StepFields]
    best_effort: bool = False
    long_running: bool = False
    repeat_count: _Integer = 0


_JOB_DECODER = msgspec.json.Decoder(_JobFields)
_JOB_ID_PATTERN = re.compile(r'[0-9a-fA-F]{16}')


class UnsupportedError(WireError):
    """The job requires a feature that is not supported."""


def is_job_id(text: str) -> bool:
    """Return whether a string is a well-formed job id."""
    return _JOB_ID_PATTERN.fullmatch(text) is not None


def decode_job(
    job_id: str, queue: dispatch.Queue, data: bytes
) -> dispatch.Job:
    """Decode a submitted job.

    :raises UnsupportedError: the job requires an unsupported feature
    :raises WireError: the job is invalid
    """
    fields = _decode(_JOB_DECODER, data, 'job')
    job = dispatch.Job(
        job_id,
        queue,
        fields.spec,
        tuple(_decode_step(step) for step in fields.phases),
    )
    try:
        dispatch.check_job(job)
    except ValueError as exc:
        raise WireError(f'job: {exc}') from exc
    if (
        not fields.best_effort
        or fields.long_running
        or fields.repeat_count
        or any(
            step.gang or step.long_running or step.fills or step.same_rack
            for step in fields.phases
        )
    ):
        raise UnsupportedError('job: only repeatable jobs are served')
    return job


def _decode_step(fields: _StepFields) -> dispatch.Step:
    return dispatch.Step(
        fields.count,
        dispatch.Resources(fields.cpu, fields.mem_mb, fields.gpu),
        fields.estimate_ms / 1000,
        tuple(fields.after),
        fields.required_label,
        fields.preferred_rack,
        fields.anti_affinity,
    )


# Commands to workers


def encode_task_name(key: dispatch.TaskKey) -> str:
    """Return the name of a task on the wire.

    The second part numbers the occurrences of a repeated job; it is always 0
    here, since repeated jobs are not supported.
    """
    return f'{key.job_id}.0.{key.step}.{key.index}'


def decode_task_name(text: str) -> dispatch.TaskKey:
    """Return the task with a name on the wire.

    :raises WireError: the name is malformed
    """
    parts = text.split('.')
    try:
        job_id, _, step, index = parts
        if not (text.isascii() and step.isdigit() and index.isdigit()):
            raise ValueError
        return dispatch.TaskKey(
            job_id, _check_integer(int(step)), _check_integer(int(index))
        )
    except ValueError:
        raise WireError(f'task name {text!r}') from None


# 'broken' and 'alone' occur only for gang-scheduled tasks, which are not
# supported and thus never started.
_END_KINDS = {
    'done': dispatch.EndKind.DONE,
    'failed': dispatch.EndKind.FAILED,
    'stopped': dispatch.EndKind.STOPPED,
    'lapsed': dispatch.EndKind.LEASE_EXPIRED,
    'broken': dispatch.EndKind.STOPPED,
    'alone': dispatch.EndKind.STOPPED,
}

REJECTION_REASONS = {
    'fence': dispatch.Rejection.FENCED,
    'old': dispatch.Rejection.STALE_RUN_ID,
    'late': dispatch.Rejection.LATE,
    'room': dispatch.Rejection.NO_ROOM,
}


class _ReportFields(msgspec.Struct, rename='camel'):
    clock_ms: _Integer = 0
    born: _Integer = 0
    # Each row has the task name, the run id and further fields, which are
    # ignored.
    running: list[list[typing.Any]] = []
    # Each row has the number of the run end, the task name, the run id, the
    # kind of end and a checkpoint, which is ignored.
    ended_runs: list[list[typing.Any]] = []
    # Set only in rejections.
    reason: str = ''


_REPORT_DECODER = msgspec.json.Decoder(_ReportFields)


def _check_integer(value: object) -> int:
    """Return a value that is an integer of at most 64 bits.

    :raises ValueError: it is anything else
    """
    if type(value) is not int or abs(value) > _MAX_INTEGER:
        raise ValueError(f'{str(value)[:80]!r} is not an integer of 64 bits')
    return value


def decode_command_response(data: bytes) -> tuple[int, str]:
    """Return the worker's clock and the rejection reason, if any.

    :raises WireError: the response is invalid
    """
    fields = _decode(_REPORT_DECODER, data or b'{}', 'response to a command')
    return fields.clock_ms, fields.reason


def decode_report(data: bytes) -> dispatch.WorkerReport:
    """Decode a worker's report of its runs.

    :raises WireError: the report is invalid
    """
    fields = _decode(_REPORT_DECODER, data, 'report of runs')
    try:
        return dispatch.WorkerReport(
            fields.clock_ms,
            fields.born,
            tuple(
                dispatch.RunningRun(
                    decode_task_name(row[0]), _check_integer(row[1])
                )
                for row in fields.running
            ),
            tuple(
                dispatch.EndedRun(
                    _check_integer(row[0]),
                    decode_task_name(row[1]),
                    _check_integer(row[2]),
                    _END_KINDS[row[3]],
                )
                for row in fields.ended_runs
            ),
        )
    except (LookupError, TypeError, ValueError, AttributeError) as exc:
        raise WireError(f'report of runs: {exc!r}') from exc


# Rows of the store


class StoreRow(msgspec.Struct):
    """A row as returned by the store.

    :param ver: version of the store at which the row was written
    :param value: value of the row, encoded as base64
    """

    key: str
    value: str = ''
    ver: _Natural = 0
    deleted: bool = False


class StoreRows(msgspec.Struct, rename='camel'):
    """Response of the store to a read.

    :param ver: newest version of the store
    """

    rows: list[StoreRow] = []
    has_more: bool = False
    ver: _Natural = 0


_ROWS_DECODER = msgspec.json.Decoder(StoreRows)


def decode_rows(data: bytes) -> StoreRows:
    """Decode a response of the store.

    :raises WireError: the response is invalid
    """
    return _decode(_ROWS_DECODER, data, 'rows')
