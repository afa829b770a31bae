"""Election of the instance that dispatches for the others."""

from orioleloom.leadership._elector import Elector
from orioleloom.leadership._elector import FLEET
from orioleloom.leadership._elector import FOLLOWER_SILENCE_S
from orioleloom.leadership._elector import PeerState
from orioleloom.leadership._elector import Reach
from orioleloom.leadership._elector import Role

__all__ = [
    'Elector',
    'FLEET',
    'FOLLOWER_SILENCE_S',
    'PeerState',
    'Reach',
    'Role',
]
