import dataclasses

from orioleloom.model._records import Row


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """Nothing was written; the rows that did not match."""

    conflicts: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The answer was lost; the transaction may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefused:
    """The platform was away or over its rate; nothing was written."""


TableOutcome = Committed | Conflicted | WriteUnknown | WriteRefused
