"""Decoders of the platform's messages.

Each message is decoded once into the product's own types. Where a name of
the platform says little, a comment says what the field holds.
"""

import re
import typing

import msgspec

from orioleloom import dispatch
from orioleloom import node


class WireError(ValueError):
    """A message or row is not what the platform describes."""


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


class _ConfigurationFields(msgspec.Struct):
    version: int
    routes: list[_RouteFields] = []
    limits: _IngressFields | None = None


_CONFIGURATION = msgspec.json.Decoder(_ConfigurationFields, strict=False)


def decode_configuration(data: bytes) -> node.Routing:
    """Decode the operator's configuration.

    :raises WireError: it cannot be read
    """
    try:
        fields = _CONFIGURATION.decode(data)
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
    # Unix time of the worker's start in milliseconds.
    born: int = 0


_WORKER = msgspec.json.Decoder(_WorkerFields)
_ADDRESS = re.compile(r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}')


def decode_worker(worker_id: str, data: bytes) -> dispatch.WorkerInfo:
    """Decode an entry of a worker.

    :raises WireError: it is not an entry of a worker
    """
    try:
        fields = _WORKER.decode(data)
    except msgspec.MsgspecError as exc:
        raise WireError(f'entry {worker_id!r}: {exc}') from exc
    if not _ADDRESS.fullmatch(fields.address):
        raise WireError(f'entry {worker_id!r}: address {fields.address!r}')
    capacity = fields.capacity
    return dispatch.WorkerInfo(
        worker_id,
        fields.address,
        fields.zone,
        fields.service,
        dispatch.Room(capacity.cpu, capacity.mem_mb, capacity.gpu),
        tuple(fields.labels),
        fields.born,
        fields.state == 'draining',
    )


# Members, in a table of the product's own

_MEMBER = msgspec.json.Decoder(node.MemberInfo)


def encode_member(member: node.MemberInfo) -> bytes:
    """Encode the row of an instance."""
    return msgspec.json.encode(member)


def decode_member(key: str, data: bytes) -> node.MemberInfo:
    """Decode the row of an instance.

    :raises WireError: it cannot be read
    """
    try:
        return _MEMBER.decode(data)
    except msgspec.MsgspecError as exc:
        raise WireError(f'member {key!r}: {exc}') from exc


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
    # Largest number of the step's tasks on one worker.
    anti_affinity: int = 0
    long_running: bool = False
    fills: bool = False


class _JobFields(msgspec.Struct, rename='camel'):
    spec: str
    phases: list[_StepFields]
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0


_JOB = msgspec.json.Decoder(_JobFields)
_JOB_ID = re.compile(r'[0-9a-fA-F]{16}')
_MAX_TASKS = 10_000


class UnsupportedError(WireError):
    """The job asks for what this version does not serve."""


def is_job_id(text: str) -> bool:
    """Return whether a text is the id of a job."""
    return _JOB_ID.fullmatch(text) is not None


def decode_job(
    job_id: str, queue: dispatch.Queue, data: bytes
) -> dispatch.Job:
    """Decode a submission.

    :raises UnsupportedError: the job is of a kind that is not served
    :raises WireError: it is not a job
    """
    try:
        fields = _JOB.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise WireError(f'job: {exc}') from exc
    steps = tuple(
        _decode_step(number, step) for number, step in enumerate(fields.phases)
    )
    if not steps:
        raise WireError('job: phases is empty; accepted is 1 or more')
    if sum(step.n_tasks for step in steps) > _MAX_TASKS:
        raise WireError(f'job: more than {_MAX_TASKS} tasks')
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
    return dispatch.Job(job_id, queue, fields.spec, steps)


def _decode_step(number: int, fields: _StepFields) -> dispatch.Step:
    if fields.count < 1:
        raise WireError(f'step {number}: count is {fields.count}')
    if any(not 0 <= earlier < number for earlier in fields.after):
        raise WireError(f'step {number}: after is {fields.after}')
    if min(fields.cpu, fields.mem_mb, fields.gpu) < 0:
        raise WireError(f'step {number}: negative room')
    return dispatch.Step(
        fields.count,
        dispatch.Room(fields.cpu, fields.mem_mb, fields.gpu),
        fields.estimate_ms / 1000,
        tuple(fields.after),
        fields.required_label,
        fields.preferred_rack,
        fields.anti_affinity,
    )


# Orders to workers


def encode_key(key: dispatch.TaskKey) -> str:
    """Return the platform's name of a task.

    The second part counts occurrences of a repeated job.
    """
    return f'{key.job_id}.0.{key.step}.{key.index}'


def decode_key(text: str) -> dispatch.TaskKey:
    """Return the task of a platform's name.

    :raises WireError: it is not the name of a task
    """
    parts = text.split('.')
    try:
        job_id, _, step, index = parts
        return dispatch.TaskKey(job_id, int(step), int(index))
    except ValueError:
        raise WireError(f'task name {text!r}') from None


# 'broken' and 'alone' are ends of gangs, which are not started.
_END_KINDS = {
    'done': dispatch.EndKind.DONE,
    'failed': dispatch.EndKind.FAILED,
    'stopped': dispatch.EndKind.STOPPED,
    'lapsed': dispatch.EndKind.LAPSED,
    'broken': dispatch.EndKind.STOPPED,
    'alone': dispatch.EndKind.STOPPED,
}

REJECTIONS = {
    'fence': dispatch.Rejection.FENCED,
    'old': dispatch.Rejection.OLD_RUN,
    'late': dispatch.Rejection.LATE,
    'room': dispatch.Rejection.NO_ROOM,
}


class _ReportFields(msgspec.Struct, rename='camel'):
    clock_ms: int = 0
    born: int = 0
    # Rows of task name, run number and two or three more fields.
    running: list[list[typing.Any]] = []
    # Rows of number, task name, run number, kind of end and checkpoint.
    ended_runs: list[list[typing.Any]] = []
    # Only in rejections.
    reason: str = ''


_REPORT = msgspec.json.Decoder(_ReportFields)


def decode_order_answer(data: bytes) -> tuple[int, str]:
    """Return the worker's clock and the reason of a rejection.

    :raises WireError: it is not an answer to an order
    """
    try:
        fields = _REPORT.decode(data or b'{}')
    except msgspec.MsgspecError as exc:
        raise WireError(f'answer to an order: {exc}') from exc
    return fields.clock_ms, fields.reason


def decode_report(data: bytes) -> dispatch.WorkerReport:
    """Decode a worker's list of runs.

    :raises WireError: it is not a list of runs
    """
    try:
        fields = _REPORT.decode(data)
        return dispatch.WorkerReport(
            fields.clock_ms,
            fields.born,
            tuple(
                dispatch.RunSeen(decode_key(row[0]), int(row[1]))
                for row in fields.running
            ),
            tuple(
                dispatch.RunEnd(
                    int(row[0]),
                    decode_key(row[1]),
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
        raise WireError(f'list of runs: {exc!r}') from exc


# Rows of the store


class StoreRow(msgspec.Struct):
    """A row as the store lists it.

    :param ver: version of the store that wrote the row
    :param value: base64
    """

    key: str
    value: str = ''
    ver: int = 0
    deleted: bool = False


class StoreRows(msgspec.Struct, rename='camel'):
    """Answer of the store to a read.

    :param ver: newest version of the store
    """

    rows: list[StoreRow] = []
    has_more: bool = False
    ver: int = 0


_ROWS = msgspec.json.Decoder(StoreRows)


def decode_rows(data: bytes) -> StoreRows:
    """Decode an answer of the store.

    :raises WireError: it cannot be read
    """
    try:
        return _ROWS.decode(data)
    except msgspec.MsgspecError as exc:
        raise WireError(f'rows: {exc}') from exc
