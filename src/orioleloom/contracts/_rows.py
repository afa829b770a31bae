import math
import typing

import msgspec

from orioleloom import errors
from orioleloom import model

# Zero padding makes history keys sort by version, up to 10**12 - 1.
_VERSION_DIGITS = 12


class _ContractFields(msgspec.Struct):
    """Fields of a contract row.

    Unknown fields are ignored: during a rolling upgrade an older
    release reads rows that a newer release wrote.
    """

    customer: typing.Annotated[str, msgspec.Meta(min_length=1)]
    version: typing.Annotated[int, msgspec.Meta(ge=1)]
    in_flight: typing.Annotated[int, msgspec.Meta(ge=0)]
    starts_per_s: typing.Annotated[float, msgspec.Meta(ge=0)]
    burst: typing.Annotated[int, msgspec.Meta(ge=0)]
    upstreams: tuple[str, ...]
    weight: typing.Annotated[float, msgspec.Meta(gt=0)] = 1.0
    deadline_ms: typing.Annotated[float, msgspec.Meta(gt=0)] = 60_000.0
    max_queued_tasks: typing.Annotated[int, msgspec.Meta(ge=0)] = 20_000
    closed: bool = False


def contract_key(customer: str) -> str:
    """Return the table key of a customer's contract."""
    return f'contract/{customer}'


def history_key(customer: str, version: int) -> str:
    """Return the table key of one version of a customer's contract.

    The keys of a customer sort by version.
    """
    return f'contract-history/{customer}/{version:0{_VERSION_DIGITS}d}'


def to_value(contract: model.Contract) -> dict[str, typing.Any]:
    """Convert a contract to the JSON value of its table row."""
    value = contract._asdict()
    value['upstreams'] = list(contract.upstreams)
    return value


def from_value(value: dict[str, typing.Any]) -> model.Contract:
    """Convert the JSON value of a contract row to a contract.

    :param value: value from the table or from a push of a peer
    :raises DispatchError: ``bad_field`` with the invalid field and the
        values that it accepts
    """
    try:
        fields = msgspec.convert(value, _ContractFields)
    except msgspec.ValidationError as exc:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_FIELD, f'contract is malformed: {exc}'
        ) from exc
    for name in ('starts_per_s', 'weight', 'deadline_ms'):
        number = getattr(fields, name)
        if not math.isfinite(number):
            raise errors.DispatchError(
                errors.ErrorKind.BAD_FIELD,
                f'contract field {name!r} is {number}, not a finite number',
            )
    return model.Contract(*msgspec.structs.astuple(fields))
