import collections.abc
import math
import numbers
import typing

from orioleloom import errors


class Interval:
    """Constraint that accepts the numbers of one type in an interval.

    :param number_type: ``int`` for integers, ``float`` for finite real numbers
    :param low: lower bound
    :param high: upper bound, which is accepted; ``None`` means that
        there is none
    :param low_open: whether ``low`` itself is excluded

    >>> Interval(number_type=int, low=1, high=8).accepts(9)
    False
    """

    def __init__(
        self,
        *,
        number_type: type,
        low: float,
        high: float | None = None,
        low_open: bool = False,
    ):
        self.number_type = number_type
        self.low = low
        self.high = high
        self.low_open = low_open

    def accepts(self, value: typing.Any) -> bool:
        """Return whether the value is accepted."""
        number_class = (
            numbers.Integral if self.number_type is int else numbers.Real
        )
        if isinstance(value, bool) or not isinstance(value, number_class):
            return False
        if not math.isfinite(value):
            return False
        if value < self.low or (self.low_open and value == self.low):
            return False
        return self.high is None or value <= self.high

    def describe(self) -> str:
        """Describe the accepted values, for an error message."""
        noun = 'an integer' if self.number_type is int else 'a number'
        relation = 'above' if self.low_open else 'of at least'
        if self.high is None:
            return f'{noun} {relation} {self.low}'
        bracket = '(' if self.low_open else '['
        return f'{noun} in {bracket}{self.low}, {self.high}]'


class Choice:
    """Constraint that accepts one of the given values.

    >>> Choice('first', 'repeat').describe()
    "one of 'first', 'repeat'"
    """

    def __init__(self, *values: typing.Any):
        self.values = values

    def accepts(self, value: typing.Any) -> bool:
        """Return whether the value is accepted."""
        return any(
            type(value) is type(allowed) and value == allowed
            for allowed in self.values
        )

    def describe(self) -> str:
        """Describe the accepted values, for an error message."""
        return 'one of ' + ', '.join(repr(value) for value in self.values)


Constraint = Interval | Choice


def check_parameters(
    subject: str,
    constraints: collections.abc.Mapping[str, Constraint],
    values: collections.abc.Mapping[str, typing.Any],
) -> None:
    """Check values against a table of constraints.

    :param subject: object that the parameters belong to, named in the
        error message
    :param constraints: constraints by parameter name
    :param values: values by parameter name
    :raises DispatchError: ``bad_field`` for the first value that is not
        accepted

    >>> check_parameters('timer', {'n': Choice(1, 2)}, {'n': 1})
    """
    for name, constraint in constraints.items():
        value = values[name]
        if not constraint.accepts(value):
            raise errors.DispatchError(
                errors.ErrorKind.BAD_FIELD,
                f'{subject}: parameter {name!r} is {truncated_repr(value)}; '
                f'accepted is {constraint.describe()}',
            )


def truncated_repr(value: typing.Any, max_chars: int = 80) -> str:
    """Return the ``repr`` of a value, truncated for an error message."""
    if isinstance(value, str | bytes):
        value = value[: max_chars + 1]
    text = repr(value)
    return text if len(text) <= max_chars else text[:max_chars] + '...'
