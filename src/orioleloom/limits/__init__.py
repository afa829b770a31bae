"""Division of the customers' limits among the entry instances."""

from orioleloom.limits._borrowing import REQUEST_INTERVAL_S
from orioleloom.limits._lending import RECALL_INTERVAL_S
from orioleloom.limits._records import GRANT_TTL_S
from orioleloom.limits._records import integer_share
from orioleloom.limits._records import LENDER_MARGIN_S
from orioleloom.limits._shares import LimitShares
from orioleloom.limits._shares import MAX_PEERS_ASKED

__all__ = [
    'GRANT_TTL_S',
    'LENDER_MARGIN_S',
    'LimitShares',
    'MAX_PEERS_ASKED',
    'RECALL_INTERVAL_S',
    'REQUEST_INTERVAL_S',
    'integer_share',
]
