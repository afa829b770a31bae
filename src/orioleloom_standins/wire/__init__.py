"""The users' platform as its pages describe it, on loopback.

A store, workers and a configuration that speak the platform's HTTP calls,
for tests of the adapter and of whole processes. Written from the published
protocol; it keeps the part of it that the product uses.
"""

from orioleloom_standins.wire._proxy import Mode
from orioleloom_standins.wire._site import HOST
from orioleloom_standins.wire._site import Site
from orioleloom_standins.wire._site import submission
from orioleloom_standins.wire._store import WireStore
from orioleloom_standins.wire._worker import WireWorker

__all__ = ['HOST', 'Mode', 'Site', 'WireStore', 'WireWorker', 'submission']
