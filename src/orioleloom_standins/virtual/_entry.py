import collections.abc
import dataclasses

from orioleloom import engine
from orioleloom import model


@dataclasses.dataclass
class Entry:
    """State of one simulated entry process.

    :param incarnation: number of times the process has been started
    :param core: engine of the current incarnation
    :param backlog: calls deferred until the process resumes from a pause
    :param resumed_at_s: time of the last resume
    :param clock_offset_s: offset of its clock from virtual time
    :param members_revision: number of member list rows read so far
    :param contracts_revision: revision up to which contracts were read
    :param lists_read: whether the lists were read since the start
    :param platform_available: last platform state passed to the engine
    :param contract_tokens: tokens of transactions that write contracts
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
    resumed_at_s: float = 0.0
    clock_offset_s: float = 0.0
    members_revision: int = 0
    contracts_revision: int = 0
    lists_read: bool = False
    platform_available: bool | None = None
    contract_tokens: set[str] = dataclasses.field(default_factory=set)

    def member(
        self, state: model.MemberState = model.MemberState.LIVE
    ) -> model.Member:
        """Return its row in the platform's member list."""
        return model.Member(
            self.id,
            model.Role.ENTRY,
            state,
            self.data_centre,
            f'http://{self.id}',
            peer=self.id,
        )
