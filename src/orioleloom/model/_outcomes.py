import dataclasses

from orioleloom.model._records import Row


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was committed at this table revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """A required revision did not match, so nothing was written.

    :param conflicts: current state of the rows that did not match
    """

    conflicts: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnknown:
    """No usable response arrived; the transaction may be committed."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefused:
    """The transaction was not accepted, so nothing was written.

    The platform was unavailable, over its rate limit or refused the
    request.
    """


TableOutcome = Committed | Conflicted | WriteUnknown | WriteRefused
