import typing

import msgspec

from orioleloom import errors
from orioleloom import model


class _ClaimFields(msgspec.Struct):
    owner: str
    n_tasks: int
    released: int
    state: model.ClaimState
    token: str
    digest: str = ''
    answer: dict[str, typing.Any] | None = None
    expires_at_unix_s: float = 0.0


def claim_to_value(claim: model.Claim) -> dict[str, typing.Any]:
    """Convert a claim to the value of its table row."""
    value = claim._asdict()
    value['state'] = claim.state.value
    return value


def claim_from_value(value: dict[str, typing.Any]) -> model.Claim:
    """Convert the value of a table row to a claim.

    :raises DispatchError: ``internal`` when the row is malformed
    """
    try:
        fields = msgspec.convert(value, _ClaimFields)
    except msgspec.ValidationError as exc:
        raise errors.DispatchError(
            errors.ErrorKind.INTERNAL, f'claim row is malformed: {exc}'
        ) from exc
    return model.Claim(*msgspec.structs.astuple(fields))


def takeover_report(claim: model.Claim) -> model.TaskReport:
    """Report on the tasks of a claim whose owner no longer runs.

    The owner starts only tasks with an index below ``claim.released``,
    so the others are known not to have run.
    """
    return model.TaskReport(
        not_run=list(range(claim.released, claim.n_tasks)),
        unknown=list(range(claim.released)),
        failed=[],
        done=0,
    )
