"""Open-loop load generation and comparison with ideal response times."""

from orioleloom.load._ideal import ideal_response_times
from orioleloom.load._options import ARRIVALS
from orioleloom.load._options import capacity
from orioleloom.load._options import CustomerShare
from orioleloom.load._options import LoadOptions
from orioleloom.load._options import Preset
from orioleloom.load._options import PRESETS
from orioleloom.load._options import ValueRange
from orioleloom.load._options import Worker
from orioleloom.load._record import Arrival
from orioleloom.load._record import make_record
from orioleloom.load._record import Record
from orioleloom.load._report import make_report
from orioleloom.load._report import save_plot
from orioleloom.load._report import save_report
from orioleloom.load._report import summarise_messages
from orioleloom.load._run import JobResult
from orioleloom.load._run import read_counters
from orioleloom.load._run import run_load

__all__ = [
    'ARRIVALS',
    'Arrival',
    'CustomerShare',
    'JobResult',
    'LoadOptions',
    'PRESETS',
    'Preset',
    'Record',
    'ValueRange',
    'Worker',
    'capacity',
    'ideal_response_times',
    'make_record',
    'make_report',
    'read_counters',
    'run_load',
    'save_plot',
    'save_report',
    'summarise_messages',
]
