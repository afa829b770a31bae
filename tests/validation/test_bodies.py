import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from orioleloom import errors
from orioleloom import validation

TASK = {'kind': 'k', 'payload': {'a': 1}, 'upstream': 'pool'}
CONTRACT = {
    'in_flight': 8,
    'starts_per_s': 10,
    'burst': 5,
    'upstreams': ['pool'],
    'expected_version': 3,
}
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=8,
)


def job(**changes):
    return msgspec.json.encode({'tasks': [{**TASK, **changes}]})


@pytest.mark.parametrize(
    ('body', 'kind'),
    [
        (b'', 'bad_request'),
        (b'{"tasks"', 'bad_request'),
        (b'[]', 'bad_field'),
        (b'{"tasks": [{"payload": ' + b'[' * 100_000, 'bad_request'),
        (b'{"tasks": []}', 'bad_field'),
        (b'{"tasks": [], "colour": 1}', 'bad_field'),
        (b'{"tasks": [{"kind": "k"}]}', 'bad_field'),
        (job(run_time_ms=-1), 'bad_field'),
        (job(run_time_ms='1'), 'bad_field'),
        (job(kind=''), 'bad_field'),
        (job(payload='x' * validation.MAX_PAYLOAD_BYTES), 'too_large'),
        (msgspec.json.encode({'tasks': [TASK] * 1_301}), 'too_large'),
        (b' ' * (validation.MAX_BODY_BYTES + 1), 'too_large'),
    ],
)
def test_bad_job_is_refused_with_its_kind(body, kind):
    # Guards R16: each fault in a body has its own error kind.
    with pytest.raises(errors.DispatchError) as caught:
        validation.check_job(body)
    assert caught.value.kind == kind


def test_digest_depends_on_content_only():
    # Guards against refusing a repeated submission as a mismatch because
    # the client has serialized the object keys in another order.
    first = validation.check_job(
        b'{"tasks":[{"kind":"k","payload":{"a":1,"b":2},"upstream":"u"}]}'
    )
    second = validation.check_job(
        b'{"tasks":[{"upstream":"u","payload":{"b":2, "a":1},"kind":"k"}]}'
    )
    other = validation.check_job(job())
    assert first.digest == second.digest != other.digest
    assert first.tasks[0].payload == {'a': 1, 'b': 2}


def test_largest_job_is_accepted():
    # Guards against an off-by-one error in the limit on tasks.
    body = msgspec.json.encode({'tasks': [TASK] * 1_300, 'deadline_ms': 5})
    assert len(validation.check_job(body).tasks) == 1_300


@hypothesis.given(
    strategies.binary(max_size=60)
    | JSON_VALUES.map(msgspec.json.encode)
    | JSON_VALUES.map(lambda value: job(payload=value))
    | JSON_VALUES.map(lambda value: job(kind=value))
)
def test_any_job_body_is_accepted_or_refused(body):
    # Guards R16: no body makes the decoder raise anything but DispatchError.
    try:
        request = validation.check_job(body)
    except errors.DispatchError as exc:
        assert exc.kind in ('bad_request', 'bad_field', 'too_large')
    else:
        msgspec.json.encode(request.tasks)


@hypothesis.given(
    strategies.binary(max_size=60)
    | strategies.dictionaries(
        strategies.sampled_from([*CONTRACT, 'weight', 'x']), JSON_VALUES
    ).map(lambda changes: msgspec.json.encode({**CONTRACT, **changes}))
)
def test_any_contract_body_is_accepted_or_refused(body):
    # Guards R16: as above, for the body of a contract change.
    try:
        contract, expected_version = validation.check_contract(body, 'acme')
    except errors.DispatchError as exc:
        assert exc.kind in ('bad_request', 'bad_field', 'too_large')
    else:
        assert contract.version == expected_version + 1


def test_contract_error_names_parameter_value_and_accepted():
    # Guards against an error message that does not say how to correct
    # the request.
    body = msgspec.json.encode({**CONTRACT, 'weight': 0})
    with pytest.raises(errors.DispatchError) as caught:
        validation.check_contract(body, 'acme')
    assert caught.value.message == (
        "contract: parameter 'weight' is 0.0; "
        'accepted is a number in (0, 1000000]'
    )


@pytest.mark.parametrize('text', ['a', 't1.e.f.1.n', '!~', 'x' * 200])
def test_submission_id_is_accepted(text):
    # Guards against refusing the ticket ids that instances issue.
    assert validation.check_submission_id(text) == text


@pytest.mark.parametrize(
    'text', ['', 'a/b', 'a b', 'a\n', 'é', '\x7f', 'x' * 201]
)
def test_submission_id_is_refused(text):
    # Guards against ids that would add a segment to a table or task key.
    with pytest.raises(errors.DispatchError, match='submission id'):
        validation.check_submission_id(text)


@hypothesis.given(strategies.text(max_size=70))
def test_accepted_names_keep_keys_apart(text):
    # Guards against customer names that change the structure of table keys.
    try:
        validation.check_customer(text)
    except errors.DispatchError:
        return
    assert text.isascii()
    assert not {'/', ' ', '\n', '%'} & {*text}
