import hashlib
import typing

import msgspec

from orioleloom import errors
from orioleloom import model
from orioleloom.validation import _constraints
from orioleloom.validation import _names

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_PAYLOAD_BYTES = 256 * 1024
MAX_TASKS = 1_300

# One day. A longer duration is more likely a mistake in the unit.
_MAX_DURATION_MS = 86_400_000.0

_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_DurationMs = typing.Annotated[
    float, msgspec.Meta(gt=0.0, le=_MAX_DURATION_MS)
]


# Same fields in the same order as model.Task.
class _TaskFields(msgspec.Struct, forbid_unknown_fields=True):
    kind: _Name
    payload: typing.Any
    upstream: _Name
    run_time_ms: _DurationMs | None = None
    idempotent: bool = False


class _JobFields(msgspec.Struct, forbid_unknown_fields=True):
    tasks: list[_TaskFields]
    deadline_ms: _DurationMs | None = None


class _ContractFields(msgspec.Struct, forbid_unknown_fields=True):
    in_flight: int
    starts_per_s: float
    burst: int
    upstreams: list[str]
    expected_version: int
    weight: float = 1.0
    deadline_ms: float = 60_000.0
    max_queued_tasks: int = 20_000
    closed: bool = False


_CONTRACT_CONSTRAINTS: dict[str, _constraints.Constraint] = {
    'in_flight': _constraints.Interval(
        number_type=int, low=0, high=10_000_000
    ),
    'starts_per_s': _constraints.Interval(
        number_type=float, low=0, high=10_000_000
    ),
    'burst': _constraints.Interval(number_type=int, low=0, high=10_000_000),
    'expected_version': _constraints.Interval(
        number_type=int, low=0, high=2**53
    ),
    'weight': _constraints.Interval(
        number_type=float, low=0, high=1_000_000, low_open=True
    ),
    'deadline_ms': _constraints.Interval(
        number_type=float, low=0, high=_MAX_DURATION_MS, low_open=True
    ),
    'max_queued_tasks': _constraints.Interval(
        number_type=int, low=0, high=100_000_000
    ),
}
_MAX_UPSTREAMS = 256

_job_decoder = msgspec.json.Decoder(_JobFields)
_contract_decoder = msgspec.json.Decoder(_ContractFields)
# Sorts object keys, so that bodies that differ only in key order or
# whitespace have the same digest.
_canonical_encoder = msgspec.json.Encoder(order='deterministic')


def _decode_body(decoder: msgspec.json.Decoder, body: bytes) -> typing.Any:
    if len(body) > MAX_BODY_BYTES:
        raise errors.DispatchError(
            errors.ErrorKind.TOO_LARGE,
            f'body of {len(body)} bytes exceeds {MAX_BODY_BYTES} bytes',
        )
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as exc:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_FIELD, f'body: {exc}'
        ) from exc
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_REQUEST, f'body is not valid JSON: {exc}'
        ) from exc


def _encode_canonical(value: typing.Any) -> bytes:
    try:
        return _canonical_encoder.encode(value)
    except (ValueError, OverflowError, RecursionError) as exc:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_REQUEST,
            f'body contains a value that cannot be encoded as JSON: {exc}',
        ) from exc


def check_job(body: bytes) -> model.JobRequest:
    """Decode and check the body of a submission.

    :param body: JSON object described in section 6 of the design page,
        at most 16 MiB
    :returns: the job with the digest of its canonical form
    :raises DispatchError: ``bad_request`` when the body is not JSON,
        ``bad_field`` for a missing, unknown or invalid field,
        ``too_large`` for a body, payload or number of tasks above its
        limit
    """
    fields = _decode_body(_job_decoder, body)
    if not fields.tasks:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_FIELD,
            f'body: tasks is empty; accepted are 1 to {MAX_TASKS} tasks',
        )
    if len(fields.tasks) > MAX_TASKS:
        raise errors.DispatchError(
            errors.ErrorKind.TOO_LARGE,
            f'job of {len(fields.tasks)} tasks exceeds {MAX_TASKS} tasks',
        )
    canonical = _encode_canonical(fields)
    # A payload cannot be longer than the whole canonical body, so most
    # jobs do not need their payloads encoded one by one.
    if len(canonical) > MAX_PAYLOAD_BYTES:
        _check_payload_sizes(fields.tasks)
    return model.JobRequest(
        # The constructor of a NamedTuple is a Python function. Calling
        # tuple.__new__ directly halves the time of this step.
        tuple(
            [
                tuple.__new__(model.Task, msgspec.structs.astuple(task))
                for task in fields.tasks
            ]
        ),
        fields.deadline_ms,
        hashlib.blake2b(canonical, digest_size=16).hexdigest(),
    )


def _check_payload_sizes(tasks: list[_TaskFields]) -> None:
    for index, task in enumerate(tasks):
        size_bytes = len(_encode_canonical(task.payload))
        if size_bytes > MAX_PAYLOAD_BYTES:
            raise errors.DispatchError(
                errors.ErrorKind.TOO_LARGE,
                f'payload of task {index} of {size_bytes} bytes exceeds '
                f'{MAX_PAYLOAD_BYTES} bytes',
            )


def check_contract(body: bytes, customer: str) -> tuple[model.Contract, int]:
    """Decode and check the body of a request to change a contract.

    :param body: JSON object with ``expected_version`` and the fields of
        a contract except ``customer`` and ``version``
    :param customer: customer in the path of the request
    :returns: the new contract, whose version is the expected version
        plus one, and the expected version
    :raises DispatchError: ``bad_request``, ``bad_field``, ``too_large``
    """
    _names.check_customer(customer)
    fields = _decode_body(_contract_decoder, body)
    values = msgspec.structs.asdict(fields)
    _constraints.check_parameters('contract', _CONTRACT_CONSTRAINTS, values)
    if len(fields.upstreams) > _MAX_UPSTREAMS:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_FIELD,
            f'contract: {len(fields.upstreams)} upstreams; accepted are at '
            f'most {_MAX_UPSTREAMS}',
        )
    for upstream in fields.upstreams:
        _names.check_name('contract: upstream', upstream)
    expected_version = values.pop('expected_version')
    values['upstreams'] = tuple(dict.fromkeys(fields.upstreams))
    contract = model.Contract(
        customer=customer, version=expected_version + 1, **values
    )
    return contract, expected_version
