"""Scenarios of ``benchmarks.response`` and the figures they report."""

import statistics
import typing

from benchmarks import _response_world as response_world
from orioleloom import load

# Length of the sliding window in which a run is compared with a baseline
# run without the disturbance.
WINDOW_S = 2.0
STEP_S = 0.25
# A window counts as normal within these factors of the baseline run.
MAX_RESPONSE_RATIO = 1.25
MIN_THROUGHPUT_RATIO = 0.9

Figures: typing.TypeAlias = dict[str, float]
Spec: typing.TypeAlias = response_world.Spec
RunResult: typing.TypeAlias = response_world.RunResult


def measure_load(spec: Spec) -> Figures:
    """Measure response times, messages and rejections under load."""
    run = response_world.simulate(spec)
    ideal_s = run.ideal_s()
    preset = load.PRESETS[spec.preset]
    report = load.make_report(
        run.record,
        preset.workers(),
        ideal_s,
        run.results,
        counters=run.counters,
    )
    figures = {
        f'{name} ratio': value
        for name, value in report['ratio_to_ideal'].items()
    }
    n_tasks = run.record.n_tasks
    counters = run.counters['counters']
    polls = counters['member_polls'] + counters['contract_polls']
    return figures | {
        'mean s': report['response_s']['mean'],
        'p99 s': report['response_s']['p99'],
        'wasted': run.counters['wasted_per_task'],
        'wasted by polls': 2 * polls / n_tasks,
        'wasted by rejections': 2 * counters['exchanges_rejected'] / n_tasks,
        'messages': run.counters['messages_per_task'],
        'rejections': counters['task_rejections'] / n_tasks,
        'jobs': len(run.results),
        'not complete': sum(r.outcome != 'complete' for r in run.results),
        **_slowest_jobs(run, ideal_s),
    }


def _slowest_jobs(run: RunResult, ideal_s: list[float]) -> Figures:
    """Describe the slowest 1 % of the jobs by their last task.

    The wait and the run time of the last task are reported, and the run
    time that it would have had on the fastest worker.
    """
    found: dict[str, list[float]] = {}
    ends: dict[str, dict[str, float]] = {}
    for entry in run.world.workers.ledger():
        ends.setdefault(entry.key, {})[entry.event] = entry.time_s
        if entry.event == 'start':
            speed = run.world.workers.by_id[entry.worker].speed
            ends[entry.key]['speed'] = speed
    fastest = max(w.speed for w in run.world.workers.by_id.values())
    complete = [
        i for i, r in enumerate(run.results) if r.outcome == 'complete'
    ]
    complete.sort(key=lambda i: run.results[i].response_s)
    for index in complete[-max(1, len(complete) // 100) :]:
        arrival = run.record.arrivals[index]
        prefix = f'{arrival.customer}/{run.results[index].submission_id}'
        tasks = [
            (ends[f'{prefix}/{i}'], work_ms, arrival.declared_ms[i])
            for i, work_ms in enumerate(arrival.work_ms)
        ]
        last, work_ms, declared_ms = max(tasks, key=lambda t: t[0]['ok'])
        begin_s = run.start_s + arrival.at_s
        mean_speed = load.capacity(
            load.PRESETS[run.spec.preset].workers()
        ) / sum(w.slots for w in run.world.workers.by_id.values())
        for name, value in (
            ('tasks', len(tasks)),
            ('ideal s', ideal_s[index]),
            ('response s', run.results[index].response_s),
            ('last task waits s', last['start'] - begin_s),
            ('last task runs s', last['ok'] - last['start']),
            ('on the fastest s', work_ms / 1000 / fastest),
            ('worker speed', last['speed']),
            ('free faster slots', _n_free_faster_slots(run, last)),
            ('declared too short', declared_ms * mean_speed < work_ms * 0.9),
        ):
            found.setdefault(f'worst: {name}', []).append(value)
    return {name: statistics.mean(values) for name, values in found.items()}


def _n_free_faster_slots(run: RunResult, task: Figures) -> int:
    """Count the free slots on faster workers at the start of a task."""
    faster = [
        w for w in run.world.workers.by_id.values() if w.speed > task['speed']
    ]
    n_used = sum(
        1 if entry.event == 'start' else -1
        for worker in faster
        for entry in worker.ledger.entries
        if entry.time_s < task['start']
    )
    return sum(w.slots for w in faster) - n_used


def failing(spec: Spec) -> Figures:
    """Count the tasks lost to a worker that fails all its tasks."""
    run = response_world.simulate(spec._replace(variant='failing'))
    after = [
        a for a in run.record.arrivals if a.at_s >= response_world.FAULT_AT_S
    ]
    n_lost = sum(e.event == 'failed' for e in run.world.workers.ledger())
    return {
        'lost share': n_lost / sum(len(a.work_ms) for a in after),
        'lost tasks': n_lost,
        'starts before fenced': run.fenced.count(False),
        'all starts on it': len(run.fenced),
    }


def greedy(spec: Spec) -> Figures:
    """Measure the effect of one overloading customer on the others."""
    name = load.PRESETS[spec.preset].customers[-1].customer
    p99_s = {}
    figures: Figures = {}
    for variant in ('without', 'once', 'ten'):
        run = response_world.simulate(spec._replace(variant=variant))
        others = [
            result.response_s
            for arrival, result in zip(run.record.arrivals, run.results)
            if arrival.customer != name and result.outcome == 'complete'
        ]
        p99_s[variant] = statistics.quantiles(others, n=100)[98]
        if variant == 'ten':
            of_one = [
                r.outcome
                for a, r in zip(run.record.arrivals, run.results)
                if a.customer == name
            ]
            figures['refused jobs of the one'] = of_one.count('not_run')
            figures['all jobs of the one'] = len(of_one)
            figures['its peak in flight'] = run.world.watch.peak_in_flight()[
                name
            ]
    return figures | {
        'p99 without s': p99_s['without'],
        'p99 with ten times s': p99_s['ten'],
        'ratio to without': p99_s['ten'] / p99_s['without'],
        'ratio to once': p99_s['ten'] / p99_s['once'],
    }


def burst(spec: Spec) -> Figures:
    """Measure refusals in a burst and the recovery time after it."""
    plain = response_world.simulate(spec)
    figures: Figures = {}
    for variant in ('burst', 'burst_default'):
        run = response_world.simulate(spec._replace(variant=variant))
        refused = [
            1000 * r.response_s for r in run.results if r.outcome == 'not_run'
        ]
        label = 'bounded' if variant == 'burst' else 'default'
        figures |= {
            f'{label}: jobs': len(run.results),
            f'{label}: refused': len(refused),
            f'{label}: slowest refusal ms': max(refused, default=0.0),
            f'{label}: refused but started': _n_refused_but_started(run),
            f'{label}: normal after s': _response_recovery_s(plain, run),
        }
    figures['refused without a burst'] = sum(
        r.outcome == 'not_run' for r in plain.results
    )
    return figures


def _n_refused_but_started(run: RunResult) -> int:
    started = {e.key.rpartition('/')[0] for e in run.world.workers.ledger()}
    return sum(
        f'{arrival.customer}/{result.submission_id}' in started
        for arrival, result in zip(run.record.arrivals, run.results)
        if result.outcome == 'not_run'
    )


def _response_recovery_s(plain: RunResult, run: RunResult) -> float:
    """Return the time from the burst's end to the first normal window.

    The jobs that arrive in the window are compared with the same jobs of
    the baseline run. Infinity means that no window was normal.
    """
    end_s = response_world.FAULT_AT_S + response_world.BURST_S
    pairs = [
        (arrival.at_s, before.response_s, after.response_s)
        for arrival, before, after in zip(
            plain.record.arrivals, plain.results, run.results
        )
        if before.outcome == after.outcome == 'complete'
    ]
    at_s = end_s
    while at_s + WINDOW_S <= plain.record.arrivals[-1].at_s:
        inside = [p for p in pairs if at_s <= p[0] < at_s + WINDOW_S]
        limit_s = MAX_RESPONSE_RATIO * sum(p[1] for p in inside)
        if inside and sum(p[2] for p in inside) <= limit_s:
            return at_s - end_s
        at_s += STEP_S
    return float('inf')


def deaths(spec: Spec) -> Figures:
    """Kill half of the entry instances and measure the recovery."""
    plain = response_world.simulate(spec)
    run = response_world.simulate(spec._replace(variant='deaths'))
    limits = {c.customer: c.in_flight for c in run.world.contracts}
    peak = run.world.watch.peak_in_flight()
    return {
        'peak over limit': max(peak[c] / limits[c] for c in peak),
        'peak above limit, tasks': max(peak[c] - limits[c] for c in peak),
        'throughput back after s': _throughput_recovery_s(plain, run),
        'jobs': len(run.results),
        'unknown or open': sum(
            r.outcome not in ('complete', 'not_run') for r in run.results
        ),
        'not run': sum(r.outcome == 'not_run' for r in run.results),
    }


def _throughput_recovery_s(plain: RunResult, run: RunResult) -> float:
    """Return the time until throughput is back at the baseline."""
    ends = [
        [
            entry.time_s - one.start_s
            for entry in one.world.workers.ledger()
            if entry.event == 'ok'
        ]
        for one in (plain, run)
    ]
    at_s = response_world.FAULT_AT_S
    while at_s + WINDOW_S <= plain.record.arrivals[-1].at_s:
        before, after = (
            sum(at_s <= end_s < at_s + WINDOW_S for end_s in one)
            for one in ends
        )
        if after >= MIN_THROUGHPUT_RATIO * before:
            return at_s - response_world.FAULT_AT_S
        at_s += STEP_S
    return float('inf')


def lowered(spec: Spec) -> Figures:
    """Lower an in-flight limit under load and measure its effect."""
    run = response_world.simulate(spec._replace(variant='lowered'))
    customer = load.PRESETS[spec.preset].customers[0].customer
    changed_s = run.start_s + response_world.FAULT_AT_S
    ledger = sorted(
        run.world.workers.ledger(),
        key=lambda e: (e.time_s, e.event == 'start'),
    )
    n_running = at_change = 0
    first_s = last_s = None
    for entry in ledger:
        if entry.key.partition('/')[0] != customer:
            continue
        n_running += 1 if entry.event == 'start' else -1
        if entry.time_s <= changed_s:
            at_change = n_running
        elif n_running > response_world.NEW_LIMIT:
            last_s = entry.time_s
        elif first_s is None:
            first_s = entry.time_s
    return {
        'in flight at the change': at_change,
        'first within the new limit after s': (first_s or float('inf'))
        - changed_s,
        'last above the new limit after s': (last_s or changed_s) - changed_s,
    }


CASES: dict[str, typing.Callable[[Spec], Figures]] = {
    'load': measure_load,
    'failing': failing,
    'greedy': greedy,
    'burst': burst,
    'deaths': deaths,
    'lowered': lowered,
}
