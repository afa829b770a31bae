import pytest

from orioleloom import errors
from orioleloom import validation


@pytest.mark.parametrize(
    ('constraint', 'accepted', 'refused'),
    [
        (
            validation.Interval(number_type=int, low=1, high=3),
            [1, 3],
            [0, 4, 1.0, True, '1', None],
        ),
        (
            validation.Interval(number_type=float, low=0, low_open=True),
            [0.1, 1, 1e9],
            [0, -1, float('nan'), float('inf'), False],
        ),
        (validation.Choice(1, 'a'), [1, 'a'], [True, 1.0, 'b', None]),
    ],
)
def test_every_constraint_accepts_and_refuses(constraint, accepted, refused):
    # Guards against accepting a value of the wrong type that compares
    # equal to an accepted one, such as True for 1.
    for value in accepted:
        validation.check_parameters('t', {'p': constraint}, {'p': value})
    for value in refused:
        with pytest.raises(errors.DispatchError) as caught:
            validation.check_parameters('t', {'p': constraint}, {'p': value})
        assert "parameter 'p'" in caught.value.message
        assert constraint.describe() in caught.value.message
