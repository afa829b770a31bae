import typing

import msgspec

from orioleloom import errors
from orioleloom import model


def encode_json(value: typing.Any) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value)


def decode_json(body: bytes) -> typing.Any:
    """Decode a JSON body.

    :raises DispatchError: ``bad_request`` when it is not valid JSON
    """
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_REQUEST, f'body is not valid JSON: {exc}'
        ) from exc


# Same fields in the same order as the result line in orioleloom.model.
class _ResultLineFields(msgspec.Struct, omit_defaults=True):
    key: str
    outcome: model.TaskOutcome
    free_slots: int = 0
    result: typing.Any = None
    error: str = ''
    reason: str = ''
    run_time_ms: float = 0.0
    leaving: bool = False


_result_line_decoder = msgspec.json.Decoder(_ResultLineFields)


def decode_result_line(line: bytes) -> model.ResultLine:
    """Decode one NDJSON result line from a worker.

    :raises DispatchError: ``bad_request`` for a malformed line
    """
    try:
        fields = _result_line_decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.DispatchError(
            errors.ErrorKind.BAD_REQUEST,
            f'worker sent a malformed result line: {exc}',
        ) from exc
    return model.ResultLine(*msgspec.structs.astuple(fields))


def encode_result_line(line: model.ResultLine) -> bytes:
    """Encode one NDJSON result line, including the trailing newline."""
    return msgspec.json.encode(_ResultLineFields(*line)) + b'\n'
