import collections
import json
import math
import pathlib
import typing

from orioleloom.load import _options
from orioleloom.load import _record
from orioleloom.load import _run

_PERCENTILES = (50.0, 99.0, 99.9)

# A request and its answer are two messages; a peer message is one.
_ROUND_TRIPS = (
    'table_writes',
    'table_reads',
    'member_polls',
    'contract_polls',
    'worker_cancels',
)


def percentile(values: typing.Sequence[float], percent: float) -> float:
    """Return the least value that ``percent`` of the values do not exceed.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 50.0)
    2.0
    """
    if not values:
        return math.nan
    ordered = sorted(values)
    rank = math.ceil(round(percent / 100 * len(ordered), 9))
    return ordered[max(0, rank - 1)]


def _summary(values: typing.Sequence[float]) -> dict[str, float | None]:
    if not values:
        return {}
    summary = {'mean': sum(values) / len(values)}
    for percent in _PERCENTILES:
        summary[f'p{percent:g}'] = percentile(values, percent)
    return {name: round(value, 6) for name, value in summary.items()}


def messages(
    before: dict[str, float], after: dict[str, float], n_tasks: int
) -> dict[str, typing.Any]:
    """Compute the messages per task from the instances' counters.

    ``wasted_per_task`` counts each message beyond one request and one
    answer per task: table, list and contract requests with their answers,
    peer messages, and two messages for each request to a worker whose
    tasks were all rejected. A rejected task that travelled with accepted
    ones cost no message. Tasks that share a request are not set off
    against it; ``messages_per_task`` counts every message instead.

    :param before: sums of the counters before the load
    :param after: sums of the counters after it
    :param n_tasks: tasks of the load
    """
    names = sorted(set(before) | set(after))
    used = {name: after.get(name, 0) - before.get(name, 0) for name in names}
    parts: dict[str, float] = {
        name: 2 * used.get(name, 0) for name in _ROUND_TRIPS
    }
    parts['peer_messages'] = used.get('peer_messages', 0)
    control = sum(parts.values())
    parts['exchanges_rejected'] = 2 * used.get('exchanges_rejected', 0)
    known = {*_ROUND_TRIPS, 'peer_messages', 'exchanges_rejected'}
    n_exchanges = used.get('worker_exchanges', 0)
    return {
        'wasted_per_task': round(sum(parts.values()) / max(1, n_tasks), 6),
        'wasted': parts,
        'messages_per_task': round(
            (control + 2 * n_exchanges) / max(1, n_tasks), 6
        ),
        'processor_ms_per_task': round(
            1000 * used.get('processor_time_s', 0) / max(1, n_tasks), 3
        ),
        'tasks_per_exchange': round(
            used.get('task_sends', 0)
            / max(1, used.get('worker_exchanges', 0)),
            3,
        ),
        # A figure without all its counters must not look like a low one;
        # an instance leaves out a counter that was never counted.
        'missing_counters': sorted(known - set(after)),
        'counters': used,
    }


def make_report(
    record: _record.Record,
    workers: typing.Sequence[_options.Worker],
    ideal_s: typing.Sequence[float],
    results: typing.Sequence[_run.JobResult],
    *,
    counters: dict[str, typing.Any] | None = None,
) -> dict[str, typing.Any]:
    """Compare the results of a load with the ideal.

    The ratios compare completed jobs with the same jobs in the ideal.

    :param ideal_s: ideal response times, in record order
    :param results: results, in record order
    :param counters: result of :func:`messages`
    :returns: a JSON object; times in seconds
    """
    complete = [i for i, r in enumerate(results) if r.outcome == 'complete']
    measured = _summary([results[i].response_s for i in complete])
    ideal = _summary([ideal_s[i] for i in complete])
    length_s = max((a.at_s for a in record.arrivals), default=0.0)
    report: dict[str, typing.Any] = {
        'seed': record.seed,
        'jobs': len(record.arrivals),
        'tasks': record.n_tasks,
        'arrivals_s': round(length_s, 3),
        'utilisation': round(
            record.total_work_ms
            / 1e3
            / max(length_s, 1e-9)
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
        of_customer = [
            i for i in complete if record.arrivals[i].customer == customer
        ]
        report['by_customer'][customer] = _summary(
            [results[i].response_s for i in of_customer]
        )
    if counters is not None:
        report['messages'] = counters
    return report


def save_report(report: dict[str, typing.Any], path: str) -> None:
    """Save a report as JSON."""
    pathlib.Path(path).write_text(json.dumps(report, indent=2) + '\n')


def save_plot(
    ideal_s: typing.Sequence[float],
    results: typing.Sequence[_run.JobResult],
    path: str,
) -> None:
    """Save a PNG with the distributions of the response times.

    :param ideal_s: ideal response times, in record order
    :param results: results, in record order
    """
    # Imported here since the package is optional and slow to import.
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
        ordered = sorted(values)
        # Share of slower jobs, which shows the tail on a log scale.
        slower = [1 - i / len(ordered) for i in range(len(ordered))]
        axes.step(ordered, slower, label=label, where='post')
    axes.set_xscale('log')
    axes.set_yscale('log')
    axes.set_xlabel('response time (s)')
    axes.set_ylabel('share of jobs at least this slow')
    axes.grid(True, which='both', alpha=0.3)
    axes.legend()
    chart.savefig(path, format='png')
