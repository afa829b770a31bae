"""Validation of requests, names and parameters.

>>> from orioleloom import validation
>>> request = validation.check_job(
...     b'{"tasks": [{"kind": "k", "payload": 1, "upstream": "u"}]}'
... )
>>> request.tasks[0].upstream
'u'
"""

from orioleloom.validation._bodies import check_contract
from orioleloom.validation._bodies import check_job
from orioleloom.validation._bodies import MAX_BODY_BYTES
from orioleloom.validation._bodies import MAX_PAYLOAD_BYTES
from orioleloom.validation._bodies import MAX_TASKS
from orioleloom.validation._constraints import check_parameters
from orioleloom.validation._constraints import Choice
from orioleloom.validation._constraints import Constraint
from orioleloom.validation._constraints import Interval
from orioleloom.validation._names import check_customer
from orioleloom.validation._names import check_submission_id

__all__ = [
    'Choice',
    'Constraint',
    'Interval',
    'MAX_BODY_BYTES',
    'MAX_PAYLOAD_BYTES',
    'MAX_TASKS',
    'check_contract',
    'check_customer',
    'check_job',
    'check_parameters',
    'check_submission_id',
]
