"""Encoders and decoders for the platform's wire formats.

Messages are decoded into the types of :mod:`orioleloom.node` and
:mod:`orioleloom.dispatch`. Comments explain fields whose names on the wire
are not self-explanatory.
"""

import re
import typing

import msgspec

from orioleloom import dispatch
from orioleloom import node


class WireError(ValueError):
    """A message or row does not conform to the platform's format."""


# Configuration


class _RouteFields(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_latency_ms: float = 0.0


class _IngressFields(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _ServiceFields(msgspec.Struct, rename='camel'):
    name: str = ''
    # The service's workers reject what does not fit.
    admission_check: bool = False


class _ConfigurationFields(msgspec.Struct):
    version: int
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
    try:
        fields = _CONFIGURATION_DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        raise WireError(f'configuration: {exc}') from exc
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


# Workers


class _CapacityFields(msgspec.Struct, rename='camel'):
    # Thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _WorkerFields(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: typing.Literal['ready', 'draining']
    capacity: _CapacityFields
    labels: list[str] = []
    # Unix time at which the worker started, in milliseconds.
    born: int = 0


_WORKER_DECODER = msgspec.json.Decoder(_WorkerFields)
_ADDRESS_PATTERN = re.compile(r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}')


def decode_worker(worker_id: str, data: bytes) -> dispatch.WorkerInfo:
    """Decode a worker's entry.

    :raises WireError: the entry is invalid
    """
    try:
        fields = _WORKER_DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        raise WireError(f'entry {worker_id!r}: {exc}') from exc
    if not _ADDRESS_PATTERN.fullmatch(fields.address):
        raise WireError(f'entry {worker_id!r}: address {fields.address!r}')
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
    try:
        return _MEMBER_DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        raise WireError(f'member {key!r}: {exc}') from exc


# Crashes, in a table that only orioleloom uses

_CRASHES_DECODER = msgspec.json.Decoder(list[node.CrashRow])


def encode_crashes(rows: list[node.CrashRow]) -> bytes:
    """Encode a job's row of the table of crashes."""
    return msgspec.json.encode(rows)


def decode_crashes(key: str, data: bytes) -> list[node.CrashRow]:
    """Decode a job's row of the table of crashes.

    :raises WireError: the row is invalid
    """
    try:
        return _CRASHES_DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        raise WireError(f'crashes {key!r}: {exc}') from exc


# Jobs


class _StepFields(msgspec.Struct, rename='camel'):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    preferred_rack: str = ''
    # Maximum number of this step's tasks on one worker; 0 means no limit.
    anti_affinity: int = 0
    long_running: bool = False
    fills: bool = False


class _JobFields(msgspec.Struct, rename='camel'):
    spec: str
    phases: list[_StepFields]
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0


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
    try:
        fields = _JOB_DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise WireError(f'job: {exc}') from exc
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
        return dispatch.TaskKey(job_id, int(step), int(index))
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
    clock_ms: int = 0
    born: int = 0
    # Each row has the task name, the run id and further fields, which are
    # ignored.
    running: list[list[typing.Any]] = []
    # Each row has the number of the run end, the task name, the run id, the
    # kind of end and a checkpoint, which is ignored.
    ended_runs: list[list[typing.Any]] = []
    # Set only in rejections.
    reason: str = ''


_REPORT_DECODER = msgspec.json.Decoder(_ReportFields)


def decode_command_response(data: bytes) -> tuple[int, str]:
    """Return the worker's clock and the rejection reason, if any.

    :raises WireError: the response is invalid
    """
    try:
        fields = _REPORT_DECODER.decode(data or b'{}')
    except msgspec.MsgspecError as exc:
        raise WireError(f'response to a command: {exc}') from exc
    return fields.clock_ms, fields.reason


def decode_report(data: bytes) -> dispatch.WorkerReport:
    """Decode a worker's report of its runs.

    :raises WireError: the report is invalid
    """
    try:
        fields = _REPORT_DECODER.decode(data)
        return dispatch.WorkerReport(
            fields.clock_ms,
            fields.born,
            tuple(
                dispatch.RunningRun(decode_task_name(row[0]), int(row[1]))
                for row in fields.running
            ),
            tuple(
                dispatch.EndedRun(
                    int(row[0]),
                    decode_task_name(row[1]),
                    int(row[2]),
                    _END_KINDS[row[3]],
                )
                for row in fields.ended_runs
            ),
        )
    except (
        msgspec.MsgspecError,
        LookupError,
        TypeError,
        ValueError,
        AttributeError,
    ) as exc:
        raise WireError(f'report of runs: {exc!r}') from exc


# Rows of the store


class StoreRow(msgspec.Struct):
    """A row as returned by the store.

    :param ver: version of the store at which the row was written
    :param value: value of the row, encoded as base64
    """

    key: str
    value: str = ''
    ver: int = 0
    deleted: bool = False


class StoreRows(msgspec.Struct, rename='camel'):
    """Response of the store to a read.

    :param ver: newest version of the store
    """

    rows: list[StoreRow] = []
    has_more: bool = False
    ver: int = 0


_ROWS_DECODER = msgspec.json.Decoder(StoreRows)


def decode_rows(data: bytes) -> StoreRows:
    """Decode a response of the store.

    :raises WireError: the response is invalid
    """
    try:
        return _ROWS_DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        raise WireError(f'rows: {exc}') from exc
