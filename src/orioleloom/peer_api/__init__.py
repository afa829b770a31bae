"""Messages between entry instances over ZeroMQ."""

from orioleloom.peer_api._socket import check_peer_address
from orioleloom.peer_api._socket import FRAMES_PER_CHECKPOINT
from orioleloom.peer_api._socket import PeerCounters
from orioleloom.peer_api._socket import PeerSocket

__all__ = [
    'FRAMES_PER_CHECKPOINT',
    'PeerCounters',
    'PeerSocket',
    'check_peer_address',
]
