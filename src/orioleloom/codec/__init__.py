"""Encoding and decoding of the messages between processes."""

from orioleloom.codec._http import decode_json
from orioleloom.codec._http import decode_result_line
from orioleloom.codec._http import encode_json
from orioleloom.codec._http import encode_result_line
from orioleloom.codec._peer import ContractPull
from orioleloom.codec._peer import ContractPush
from orioleloom.codec._peer import decode_peer
from orioleloom.codec._peer import encode_peer
from orioleloom.codec._peer import Envelope
from orioleloom.codec._peer import JobCancel
from orioleloom.codec._peer import JobForward
from orioleloom.codec._peer import JobQuery
from orioleloom.codec._peer import JobReply
from orioleloom.codec._peer import LeavingNotice
from orioleloom.codec._peer import MAX_PEER_MESSAGE_BYTES
from orioleloom.codec._peer import MembersPush
from orioleloom.codec._peer import PeerMessage
from orioleloom.codec._peer import ShareGrant
from orioleloom.codec._peer import ShareRecall
from orioleloom.codec._peer import ShareRequest
from orioleloom.codec._peer import ShareReturn
from orioleloom.codec._peer import WorkerNotice

__all__ = [
    'ContractPull',
    'ContractPush',
    'Envelope',
    'JobCancel',
    'JobForward',
    'JobQuery',
    'JobReply',
    'LeavingNotice',
    'MAX_PEER_MESSAGE_BYTES',
    'MembersPush',
    'PeerMessage',
    'ShareGrant',
    'ShareRecall',
    'ShareRequest',
    'ShareReturn',
    'WorkerNotice',
    'decode_json',
    'decode_peer',
    'decode_result_line',
    'encode_json',
    'encode_peer',
    'encode_result_line',
]
