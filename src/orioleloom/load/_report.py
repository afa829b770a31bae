import collections
import json
import math
import pathlib
import typing

from orioleloom.load import _options
from orioleloom.load import _record
from orioleloom.load import _run

_PERCENTILES = (50.0, 99.0, 99.9)

# Counters of requests with a response, which are two messages each; a peer
# message has no response.
_ROUND_TRIP_COUNTERS = (
    'table_writes',
    'table_reads',
    'member_polls',
    'contract_polls',
    'worker_cancels',
)


def percentile(values: typing.Sequence[float], percent: float) -> float:
    """Return the smallest value that ``percent`` of the values do not exceed.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 50.0)
    2.0
    """
    if not values:
        return math.nan
    sorted_values = sorted(values)
    rank = math.ceil(round(percent / 100 * len(sorted_values), 9))
    return sorted_values[max(0, rank - 1)]


def _summarise(values: typing.Sequence[float]) -> dict[str, float | None]:
    if not values:
        return {}
    summary = {'mean': sum(values) / len(values)}
    for percent in _PERCENTILES:
        summary[f'p{percent:g}'] = percentile(values, percent)
    return {name: round(value, 6) for name, value in summary.items()}


def summarise_messages(
    before: dict[str, float], after: dict[str, float], n_tasks: int
) -> dict[str, typing.Any]:
    """Compute the messages per task from the instances' counters.

    ``wasted_per_task`` counts the messages other than a task's request to
    a worker and its answer: table, member list and contract requests and
    requests to cancel tasks, each with its response, peer messages, and two
    messages for each request to a worker whose tasks were all rejected. A
    task that was rejected in a request with accepted tasks adds no message.
    The savings from tasks that share a request are not deducted;
    ``messages_per_task`` counts all messages instead.

    :param before: counters before the load, summed over the instances
    :param after: counters after the load, summed over the instances
    :param n_tasks: number of tasks of the load
    :returns: a JSON object
    """
    names = sorted(set(before) | set(after))
    increments = {
        name: after.get(name, 0) - before.get(name, 0) for name in names
    }
    wasted: dict[str, float] = {
        name: 2 * increments.get(name, 0) for name in _ROUND_TRIP_COUNTERS
    }
    wasted['peer_messages'] = increments.get('peer_messages', 0)
    n_control = sum(wasted.values())
    wasted['exchanges_rejected'] = 2 * increments.get('exchanges_rejected', 0)
    required = {*_ROUND_TRIP_COUNTERS, 'peer_messages', 'exchanges_rejected'}
    n_exchanges = increments.get('worker_exchanges', 0)
    return {
        'wasted_per_task': round(sum(wasted.values()) / max(1, n_tasks), 6),
        'wasted': wasted,
        'messages_per_task': round(
            (n_control + 2 * n_exchanges) / max(1, n_tasks), 6
        ),
        'processor_ms_per_task': round(
            1000 * increments.get('processor_time_s', 0) / max(1, n_tasks), 3
        ),
        'tasks_per_exchange': round(
            increments.get('task_sends', 0)
            / max(1, increments.get('worker_exchanges', 0)),
            3,
        ),
        # Listed so that results which are too low for lack of a counter can
        # be told apart. An instance omits a counter that it never incremented.
        'missing_counters': sorted(required - set(after)),
        'counters': increments,
    }


def make_report(
    record: _record.Record,
    workers: typing.Sequence[_options.Worker],
    ideal_s: typing.Sequence[float],
    results: typing.Sequence[_run.JobResult],
    *,
    counters: dict[str, typing.Any] | None = None,
) -> dict[str, typing.Any]:
    """Compare the results of a load with the ideal response times.

    Only completed jobs are compared, with the same jobs in the ideal model.

    :param ideal_s: ideal response times, in record order
    :param results: results, in record order
    :param counters: result of :func:`summarise_messages`
    :returns: a JSON object, with times in seconds
    """
    complete = [i for i, r in enumerate(results) if r.outcome == 'complete']
    measured = _summarise([results[i].response_s for i in complete])
    ideal = _summarise([ideal_s[i] for i in complete])
    arrivals_s = max((a.at_s for a in record.arrivals), default=0.0)
    report: dict[str, typing.Any] = {
        'seed': record.seed,
        'jobs': len(record.arrivals),
        'tasks': record.n_tasks,
        'arrivals_s': round(arrivals_s, 3),
        'utilisation': round(
            record.total_work_ms
            / 1e3
            / max(arrivals_s, 1e-9)
            / _options.capacity(workers),
            4,
        ),
        'outcomes': dict(collections.Counter(r.outcome for r in results)),
        'refusals': dict(
            collections.Counter(r.code for r in results if r.code)
        ),
        'resubmitted_jobs': sum(r.attempts > 1 for r in results),
        'response_s': measured,
        'ideal_s': ideal,
        'ratio_to_ideal': {
            name: round(value / ideal[name], 4)
            for name, value in measured.items()
            if ideal[name]
        },
        'by_customer': {},
    }
    for customer in sorted({a.customer for a in record.arrivals}):
        indices = [
            i for i in complete if record.arrivals[i].customer == customer
        ]
        report['by_customer'][customer] = _summarise(
            [results[i].response_s for i in indices]
        )
    if counters is not None:
        report['messages'] = counters
    return report


def save_report(report: dict[str, typing.Any], path: str) -> None:
    """Save a report as a JSON file."""
    pathlib.Path(path).write_text(json.dumps(report, indent=2) + '\n')


def save_plot(
    ideal_s: typing.Sequence[float],
    results: typing.Sequence[_run.JobResult],
    path: str,
) -> None:
    """Save a PNG plot of the response time distributions.

    :param ideal_s: ideal response times, in record order
    :param results: results, in record order
    """
    # Imported here since matplotlib is optional and slow to import.
    from matplotlib.backends import backend_agg
    from matplotlib import figure

    chart = figure.Figure(figsize=(8, 5), layout='constrained')
    backend_agg.FigureCanvasAgg(chart)
    axes = chart.subplots()
    complete = [i for i, r in enumerate(results) if r.outcome == 'complete']
    for label, values in (
        ('measured', [results[i].response_s for i in complete]),
        ('ideal', [ideal_s[i] for i in complete]),
    ):
        sorted_values = sorted(values)
        # Complementary distribution, which shows the tail on a log scale.
        slower = [
            1 - i / len(sorted_values) for i in range(len(sorted_values))
        ]
        axes.step(sorted_values, slower, label=label, where='post')
    axes.set_xscale('log')
    axes.set_yscale('log')
    axes.set_xlabel('response time (s)')
    axes.set_ylabel('share of jobs at least this slow')
    axes.grid(True, which='both', alpha=0.3)
    axes.legend()
    chart.savefig(path, format='png')
