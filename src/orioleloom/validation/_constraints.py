import collections.abc
import math
import numbers
import typing

from orioleloom import errors


class Interval:
    """Accepts numbers of one type between two bounds.

    :param kind: ``int``, or ``float`` for any finite real number
    :param low: least accepted value
    :param high: greatest accepted value; ``None`` means no bound
    :param low_open: ``low`` itself is not accepted

    >>> Interval(kind=int, low=1, high=8).accepts(9)
    False
    """

    def __init__(
        self,
        *,
        kind: type,
        low: float,
        high: float | None = None,
        low_open: bool = False,
    ):
        self.kind = kind
        self.low = low
        self.high = high
        self.low_open = low_open

    def accepts(self, value: typing.Any) -> bool:
        """Return whether the value is accepted."""
        wanted = numbers.Integral if self.kind is int else numbers.Real
        if isinstance(value, bool) or not isinstance(value, wanted):
            return False
        if not math.isfinite(value):
            return False
        if value < self.low or (self.low_open and value == self.low):
            return False
        return self.high is None or value <= self.high

    def describe(self) -> str:
        """Return what is accepted, for an error message."""
        name = 'an integer' if self.kind is int else 'a number'
        above = 'above' if self.low_open else 'of at least'
        if self.high is None:
            return f'{name} {above} {self.low}'
        left = '(' if self.low_open else '['
        return f'{name} in {left}{self.low}, {self.high}]'


class Choice:
    """Accepts one of the given values.

    >>> Choice('first', 'repeat').describe()
    "one of 'first', 'repeat'"
    """

    def __init__(self, *values: typing.Any):
        self.values = values

    def accepts(self, value: typing.Any) -> bool:
        """Return whether the value is accepted."""
        return any(
            type(value) is type(known) and value == known
            for known in self.values
        )

    def describe(self) -> str:
        """Return what is accepted, for an error message."""
        return 'one of ' + ', '.join(repr(value) for value in self.values)


Constraint = Interval | Choice


def check_parameters(
    owner: str,
    constraints: collections.abc.Mapping[str, Constraint],
    values: collections.abc.Mapping[str, typing.Any],
) -> None:
    """Check values against a table of constraints.

    :param owner: what the parameters belong to, for the message
    :param constraints: constraint of each checked parameter
    :param values: value of each checked parameter
    :raises DispatchError: ``bad_field`` for the first value that is not
        accepted

    >>> check_parameters('timer', {'n': Choice(1, 2)}, {'n': 1})
    """
    for name, constraint in constraints.items():
        value = values[name]
        if not constraint.accepts(value):
            raise errors.DispatchError(
                errors.ErrorKind.BAD_FIELD,
                f'{owner}: parameter {name!r} is {shorten(value)}; '
                f'accepted is {constraint.describe()}',
            )


def shorten(value: typing.Any, limit: int = 80) -> str:
    """Return a bounded ``repr``, so that a message stays short."""
    if isinstance(value, str | bytes):
        value = value[: limit + 1]
    text = repr(value)
    return text if len(text) <= limit else text[:limit] + '...'
