"""Claims: the exclusive right to start the tasks of a submission."""

from orioleloom.claims._rows import claim_from_value
from orioleloom.claims._rows import claim_to_value
from orioleloom.claims._rows import takeover_report
from orioleloom.claims._tickets import mint_ticket
from orioleloom.claims._tickets import parse_ticket
from orioleloom.claims._tickets import Ticket
from orioleloom.claims._writer import Batch
from orioleloom.claims._writer import ClaimWriter
from orioleloom.claims._writer import GroupCommitted
from orioleloom.claims._writer import GroupConflicted
from orioleloom.claims._writer import GroupOutcome
from orioleloom.claims._writer import GroupTimedOut
from orioleloom.claims._writer import WriteGroup

__all__ = [
    'Batch',
    'ClaimWriter',
    'GroupCommitted',
    'GroupConflicted',
    'GroupOutcome',
    'GroupTimedOut',
    'Ticket',
    'WriteGroup',
    'claim_from_value',
    'claim_to_value',
    'mint_ticket',
    'parse_ticket',
    'takeover_report',
]
