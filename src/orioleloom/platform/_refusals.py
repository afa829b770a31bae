"""Log of the requests and connections that the HTTP servers refuse."""

import typing

from orioleloom import http1
from orioleloom import node

# Counters of a server that are not about refusals.
_IGNORED = frozenset({'broken_answers'})


class RefusalLog:
    """Logs the counters of servers that have risen.

    A crowd of clients makes thousands of refusals a second, so each kind has
    one line with their number instead of a line for each.

    :param servers: servers by name
    """

    def __init__(self, servers: typing.Mapping[str, http1.Server]):
        self.servers = servers
        self._logged: dict[tuple[str, str], int] = {}

    def log_new(self) -> None:
        """Log a line for each kind that has risen since the last call."""
        for name, server in self.servers.items():
            for kind, n in server.counters.items():
                n_before = self._logged.get((name, kind), 0)
                if n > n_before and kind not in _IGNORED:
                    self._logged[name, kind] = n
                    node.log(
                        'reception_refused',
                        server=name,
                        kind=kind,
                        n=n - n_before,
                        held_bytes=server.budget.held_bytes,
                        n_connections=len(server.connections),
                    )
