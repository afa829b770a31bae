"""Simulated platform that serves its published HTTP protocol on loopback.

Provides a store, workers and configuration for tests of the platform adapter
and of whole processes. Implements only the calls that the product uses.
"""

from orioleloom_standins.wire._proxy import Mode
from orioleloom_standins.wire._site import HOST
from orioleloom_standins.wire._site import Site
from orioleloom_standins.wire._site import submission
from orioleloom_standins.wire._store import WireStore
from orioleloom_standins.wire._worker import WireWorker

__all__ = ['HOST', 'Mode', 'Site', 'WireStore', 'WireWorker', 'submission']
