"""Metrics of a node, in the text format of Prometheus."""

import typing

import aioprometheus

from orioleloom import http1
from orioleloom.node import _node

# Upper bounds of the latency buckets. They cover latency objectives of 0.15
# to 1.5 s with a margin on both sides.
_LATENCY_BUCKETS_S = [
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.4,
    0.6,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
]


class NodeMetrics:
    """Exports the metrics of a node and its dispatcher.

    Counters are read when the metrics are rendered.

    :param servers: HTTP servers of the process by name; they share a budget
    """

    def __init__(
        self,
        node: _node.Node,
        client: http1.Client,
        servers: typing.Mapping[str, http1.Server],
    ):
        self.node = node
        self.client = client
        self.servers = servers
        self._registry = aioprometheus.Registry()
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._latency = aioprometheus.Histogram(
            'orioleloom_job_seconds',
            'Time from the arrival of a job to its outcome',
            buckets=_LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        node.on_latency = self.observe

    def observe(self, outcome: str, latency_s: float) -> None:
        """Record the outcome and latency of a job."""
        self._latency.observe({'outcome': outcome}, latency_s)

    def _set(self, name: str, value: float) -> None:
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = self._gauges[name] = aioprometheus.Gauge(
                name, name.replace('_', ' '), registry=self._registry
            )
        gauge.set({}, value)

    def render(self) -> tuple[bytes, str]:
        """Return the body and header lines of the metrics page."""
        node = self.node
        for name, value in node.counters.items():
            self._set(f'orioleloom_node_{name}_total', value)
        self._set('orioleloom_node_pending', len(node.pending))
        self._set('orioleloom_node_ready', int(node.is_ready()))
        self._set('orioleloom_node_leading', int(node.leader is not None))
        self._set(
            'orioleloom_evacuated_data_centres',
            len(node.evacuations.rows.data_centres),
        )
        self._set('orioleloom_connects_total', self.client.n_connects)
        self._render_servers()
        budget = node.memory_budget
        self._set('orioleloom_job_memory_bytes', budget.job_bytes)
        self._set('orioleloom_job_memory_peak_bytes', budget.peak_job_bytes)
        self._set('orioleloom_memory_limit_bytes', budget.limit_bytes)
        totals = node.loop_monitor.totals
        self._set('orioleloom_loop_turns_total', totals.n_turns)
        self._set('orioleloom_loop_busy_seconds_total', totals.busy_s)
        self._set(
            'orioleloom_loop_recent_longest_turn_seconds',
            node.loop_monitor.recent_longest_s(),
        )
        if node.routing is not None:
            self._set('orioleloom_configuration_version', node.routing.version)
        if node.leader is not None:
            self._render_dispatcher(node.leader.dispatcher)
        body, headers = aioprometheus.render(self._registry, [])
        lines = ''.join(
            f'{name}: {value}\r\n'
            for name, value in headers.items()
            if name.lower() != 'content-type'
        )
        return body, lines

    def _render_servers(self) -> None:
        for name, server in self.servers.items():
            prefix = f'orioleloom_http_{name}'
            self._set(f'{prefix}_connections', len(server.connections))
            for kind, value in server.counters.items():
                self._set(f'{prefix}_{kind}_total', value)
            budget = server.budget
            self._set('orioleloom_reception_bytes', budget.held_bytes)
            self._set('orioleloom_reception_peak_bytes', budget.peak_bytes)
            self._set('orioleloom_reception_limit_bytes', budget.limit_bytes)

    def _render_dispatcher(self, dispatcher: typing.Any) -> None:
        for name, value in dispatcher.counters.items():
            self._set(f'orioleloom_dispatch_{name}_total', value)
        self._set('orioleloom_dispatch_jobs', len(dispatcher.jobs))
        self._set(
            'orioleloom_dispatch_expected_wait_seconds',
            max(dispatcher.admission.expected_waits_s().values(), default=0.0),
        )
        self._set(
            'orioleloom_dispatch_runs',
            sum(len(worker.runs) for worker in dispatcher.workers.values()),
        )
