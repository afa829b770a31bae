import random

LINK_S = 0.001

# Delay between a peer message and its duplicate.
PEER_DUPLICATE_DELAY_S = 3.0


class Network:
    """Delays and faults of the links between components.

    Components are identified by their id on the member list, or by
    ``callers`` and ``platform``, which are not on the list.

    :param random_state: selects the messages to lose or duplicate
    :param link_s: one-way delay within a data centre and to callers
    :param far_s: one-way delay between data centres
    """

    def __init__(
        self,
        *,
        random_state: random.Random,
        link_s: float = LINK_S,
        far_s: float = LINK_S,
    ):
        self.random = random_state
        self.link_s = link_s
        self.far_s = far_s
        self.data_centres: dict[str, str] = {}
        self.cut: set[frozenset[str]] = set()
        self.peer_loss = 0.0
        self.peer_duplicates = 0.0
        self.line_duplicates = 0.0
        self.n_peer_duplicates = 0

    def is_cut(self, one: str, other: str) -> bool:
        """Whether the link between two components is cut."""
        return bool(self.cut) and frozenset((one, other)) in self.cut

    def delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay between two components."""
        data_centres = self.data_centres
        same_data_centre = data_centres.get(one) == data_centres.get(other)
        both_known = one in data_centres and other in data_centres
        return (
            self.link_s if same_data_centre or not both_known else self.far_s
        )

    def peer_copies(self) -> int:
        """Return a random number of copies of a peer message to deliver."""
        if self.random.random() < self.peer_loss:
            return 0
        duplicated = self.random.random() < self.peer_duplicates
        self.n_peer_duplicates += duplicated
        return 1 + duplicated

    def duplicates_line(self) -> bool:
        """Decide at random whether a result line arrives twice."""
        return self.random.random() < self.line_duplicates
