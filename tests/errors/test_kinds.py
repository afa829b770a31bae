from orioleloom import errors


def test_every_kind_has_an_answer():
    # Guards against a kind that is added without a row in the table.
    assert set(errors.ERROR_TABLE) == set(errors.ErrorKind)


def test_not_run_needs_a_sole_copy():
    # Guards R4: without a promise that no other copy exists, a refusal
    # must not say that nothing ran.
    error = errors.DispatchError(errors.ErrorKind.OVERLOADED, 'queue is full')
    assert errors.to_answer(error)[1]['run'] == 'unknown'
    assert errors.to_answer(error, sole_copy=True)[1]['run'] == 'not_run'


def test_unknown_outcome_is_never_reported_as_not_run():
    # Guards R4: kinds whose outcome is unknown stay so for a sole copy.
    error = errors.DispatchError(
        errors.ErrorKind.OUTCOME_UNKNOWN, 'worker w1 broke the exchange'
    )
    assert errors.to_answer(error, sole_copy=True)[1]['run'] == 'unknown'
