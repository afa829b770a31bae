"""Election of the instance that dispatches for the others."""

from orioleloom.leadership._elector import Elector
from orioleloom.leadership._elector import FLEET
from orioleloom.leadership._elector import FOLLOWER_TIMEOUT_S
from orioleloom.leadership._elector import LEADER_TIMEOUT_S
from orioleloom.leadership._elector import PeerState
from orioleloom.leadership._elector import Reachability
from orioleloom.leadership._elector import Role

__all__ = [
    'Elector',
    'FLEET',
    'FOLLOWER_TIMEOUT_S',
    'LEADER_TIMEOUT_S',
    'PeerState',
    'Reachability',
    'Role',
]
