"""Shares of the customers' limits over the entry instances."""

from orioleloom.limits._shares import GRANT_TTL_S
from orioleloom.limits._shares import integer_share
from orioleloom.limits._shares import LENDER_MARGIN_S
from orioleloom.limits._shares import LimitShares
from orioleloom.limits._shares import MAX_PEERS_ASKED
from orioleloom.limits._shares import REQUEST_INTERVAL_S

__all__ = [
    'GRANT_TTL_S',
    'LENDER_MARGIN_S',
    'LimitShares',
    'MAX_PEERS_ASKED',
    'REQUEST_INTERVAL_S',
    'integer_share',
]
