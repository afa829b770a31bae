from orioleloom import errors


def test_every_kind_has_a_response():
    # Guards against an error kind without a row in the table.
    assert set(errors.ERROR_TABLE) == set(errors.ErrorKind)


def test_not_run_needs_no_other_copy():
    # Guards R4: unless it is certain that no other copy of the submission
    # exists, a refusal must not report that nothing ran.
    error = errors.DispatchError(errors.ErrorKind.OVERLOADED, 'queue is full')
    assert errors.to_response(error)[1]['run'] == 'unknown'
    assert errors.to_response(error, no_other_copy=True)[1]['run'] == 'not_run'


def test_unknown_outcome_is_never_reported_as_not_run():
    # Guards R4: an error kind with an unknown outcome stays unknown even
    # if no other copy of the submission exists.
    error = errors.DispatchError(
        errors.ErrorKind.OUTCOME_UNKNOWN, 'worker w1 closed the connection'
    )
    assert errors.to_response(error, no_other_copy=True)[1]['run'] == 'unknown'
