import collections.abc
import dataclasses

from orioleloom import engine
from orioleloom import model


@dataclasses.dataclass
class Entry:
    """One entry process.

    :param clock_offset_s: difference of its clock from virtual time
    """

    id: str
    data_centre: str
    incarnation: int = 0
    core: engine.Engine | None = None
    alive: bool = False
    paused: bool = False
    backlog: list[collections.abc.Callable[[], None]] = dataclasses.field(
        default_factory=list
    )
    woke_at_s: float = 0.0
    clock_offset_s: float = 0.0
    members_revision: int = 0
    contracts_revision: int = 0
    lists_read: bool = False
    platform_available: bool | None = None
    contract_tokens: set[str] = dataclasses.field(default_factory=set)

    def member(
        self, state: model.MemberState = model.MemberState.LIVE
    ) -> model.Member:
        """Return the row of the platform's list."""
        return model.Member(
            self.id,
            model.Role.ENTRY,
            state,
            self.data_centre,
            f'http://{self.id}',
            peer=self.id,
        )
