import pytest

from orioleloom import errors
from orioleloom import validation


@pytest.mark.parametrize(
    ('constraint', 'good', 'bad'),
    [
        (
            validation.Interval(kind=int, low=1, high=3),
            [1, 3],
            [0, 4, 1.0, True, '1', None],
        ),
        (
            validation.Interval(kind=float, low=0, low_open=True),
            [0.1, 1, 1e9],
            [0, -1, float('nan'), float('inf'), False],
        ),
        (validation.Choice(1, 'a'), [1, 'a'], [True, 1.0, 'b', None]),
    ],
)
def test_every_constraint_accepts_and_refuses(constraint, good, bad):
    # Guards against values of a wrong type that compare as equal.
    for value in good:
        validation.check_parameters('t', {'p': constraint}, {'p': value})
    for value in bad:
        with pytest.raises(errors.DispatchError) as caught:
            validation.check_parameters('t', {'p': constraint}, {'p': value})
        assert "parameter 'p'" in caught.value.message
        assert constraint.describe() in caught.value.message
