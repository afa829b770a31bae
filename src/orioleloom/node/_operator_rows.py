import typing

from orioleloom.node import _evacuations
from orioleloom.node import _log
from orioleloom.node import _ports
from orioleloom.node import _tables


class OperatorRows:
    """An instance's copy of the operator's rows in the store.

    These are the configuration and the evacuations of data centres. They have
    one read and one feed, since each call to the store is billed.

    :param apply_s: time in which a change of the configuration must be in
        force
    :param on_routing: called with a new configuration
    """

    def __init__(
        self,
        *,
        table: _ports.Table[typing.Any],
        apply_s: float,
        evacuations: _evacuations.Evacuations,
        on_routing: typing.Callable[[_ports.Routing], None],
        random_state: typing.Any,
    ):
        self.apply_s = apply_s
        self.evacuations = evacuations
        self.on_routing = on_routing
        self.routing: _ports.Routing | None = None
        self.watch = _tables.TableWatch(
            'routing',
            table,
            self._apply,
            wait_s=apply_s / 2,
            random_state=random_state,
        )

    def _apply(
        self,
        rows: dict[str, _ports.Routing | _ports.EvacuationRow],
        table_version: _tables.TableVersion,
    ) -> None:
        self.evacuations.use_store_rows(
            frozenset(
                row.data_centre
                for row in rows.values()
                if isinstance(row, _ports.EvacuationRow)
            ),
            table_version.version,
        )
        for row in rows.values():
            if isinstance(row, _ports.Routing):
                self._use_routing(row, table_version.version)

    def _use_routing(
        self, routing: _ports.Routing, store_version: int
    ) -> None:
        """Use a configuration if it is newer than the present one."""
        if (
            self.routing is not None
            and routing.version <= self.routing.version
        ):
            return
        self.routing = routing
        _log.log(
            'configuration_in_force',
            version=routing.version,
            n_routes=len(routing.routes),
            store_version=store_version,
        )
        self.on_routing(routing)

    def use_peer_routing(
        self, routing: _ports.Routing | None, now_s: float
    ) -> None:
        """Use a peer's configuration where the own one may be old."""
        if routing is not None and (
            self.routing is None or self._is_stale(now_s)
        ):
            self._use_routing(routing, 0)

    def is_behind(self, routing_version: int, now_s: float) -> bool:
        """Return whether a peer has a newer configuration than the store."""
        return (
            self.routing is None or self.routing.version < routing_version
        ) and self._is_stale(now_s)

    def _is_stale(self, now_s: float) -> bool:
        """Return whether the store has long not confirmed the rows."""
        return now_s - self.watch.last_success_s > self.apply_s
