"""Customers' contracts; the version in force never decreases."""

from orioleloom.contracts._book import ContractBook
from orioleloom.contracts._rows import contract_key
from orioleloom.contracts._rows import from_value
from orioleloom.contracts._rows import history_key
from orioleloom.contracts._rows import to_value

__all__ = [
    'ContractBook',
    'contract_key',
    'from_value',
    'history_key',
    'to_value',
]
