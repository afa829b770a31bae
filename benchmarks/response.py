"""Response times and messages of the engine in virtual time.

Real engines run a generated load on the simulated workers of a preset and
are compared with an ideal scheduler, one queue with full knowledge. Engine
calls take no virtual time, so the time of a refusal includes link delays
and waits of the engine, but no CPU time.

Run as ``python -m benchmarks.response [--case NAME] [--json FILE]
[--plot FILE]``. Figures are medians over the seeds.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import statistics
import time
import typing

from benchmarks import _response_cases as response_cases
from benchmarks import _response_world as response_world
from orioleloom import load

MAX_PROCESSES = 4
PLOT_LOADS = (0.3, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95)
PLOT_DURATION_S = 15.0
PLOT_SEEDS = 2
# Baseline policies often try full workers, which makes their runs slow.
BASELINE_SEEDS = 2
DEFAULT_POLICY = 'expected_completion'

Row: typing.TypeAlias = dict[str, typing.Any]
Spec: typing.TypeAlias = response_world.Spec


def specs_for_case(case: str, duration_s: float) -> list[Spec]:
    """Return the runs of a case for the first seed."""
    found = []
    for preset in load.PRESETS:
        spec = Spec(case, preset=preset, duration_s=duration_s)
        if case == 'lowered':
            # Above capacity, so that the limits bind at the change.
            found.append(spec._replace(utilisation=1.2))
        elif case in ('greedy', 'burst', 'deaths'):
            found.append(spec)
        else:
            for utilisation in (0.6, 0.9):
                found.append(spec._replace(utilisation=utilisation))
    if case == 'load':
        baselines = [p for p in response_world.POLICIES if p != DEFAULT_POLICY]
        found += [s._replace(claims='table') for s in found] + [
            s._replace(policy=p) for s in found for p in baselines
        ]
    return found


def measure(specs: list[Spec], n_seeds: int) -> list[Row]:
    """Run each spec for several seeds in a process pool."""
    rows = []
    with concurrent.futures.ProcessPoolExecutor(MAX_PROCESSES) as pool:
        runs = [
            [
                pool.submit(
                    response_cases.CASES[spec.case], spec._replace(seed=seed)
                )
                for seed in range(1, _n_seeds(spec, n_seeds) + 1)
            ]
            for spec in specs
        ]
        for spec, futures in zip(specs, runs, strict=True):
            found = [future.result() for future in futures]
            figures = {
                name: round(statistics.median(f[name] for f in found), 4)
                for name in found[0]
            }
            spreads = {
                name: [min(values), max(values)]
                for name in found[0]
                if (values := [round(f[name], 4) for f in found])
            }
            row = {**spec._asdict(), 'n_seeds': len(found)}
            row |= {'figures': figures, 'ranges': spreads}
            rows.append(row)
            print(line(row), flush=True)
    return rows


def _n_seeds(spec: Spec, n_seeds: int) -> int:
    if spec.policy == DEFAULT_POLICY:
        return n_seeds
    return min(n_seeds, BASELINE_SEEDS)


def line(row: Row) -> str:
    """Format a row as one line of text."""
    head = ('case', 'preset', 'policy', 'claims', 'utilisation')
    figures = ', '.join(f'{k} {v:g}' for k, v in row['figures'].items())
    return f'{" ".join(str(row[name]) for name in head)}: {figures}'


def plot(rows: list[Row], path: pathlib.Path) -> None:
    """Plot response time and messages against load for each policy."""
    # Imported here since the package is optional and slow to import.
    from matplotlib.backends import backend_agg
    from matplotlib import figure

    chart = figure.Figure(figsize=(11, 4.5), layout='constrained')
    backend_agg.FigureCanvasAgg(chart)
    panels = chart.subplots(1, 3)
    for panel, name, label in zip(
        panels,
        ('mean s', 'p99 s', 'messages'),
        ('mean response time (s)', '99th percentile (s)', 'messages a task'),
        strict=True,
    ):
        for policy in response_world.POLICIES:
            chosen = [row for row in rows if row['policy'] == policy]
            panel.plot(
                [100 * row['utilisation'] for row in chosen],
                [row['figures'][name] for row in chosen],
                marker='.',
                linewidth=2 if policy == DEFAULT_POLICY else 1,
                label=policy.replace('_', ' '),
            )
        panel.set_xlabel('load (% of the capacity)')
        panel.set_ylabel(label)
        panel.set_ylim(bottom=0)
        panel.grid(alpha=0.3)
    _plot_ideal(panels, rows)
    panels[0].legend(fontsize='small')
    chart.savefig(path, format='png', dpi=80)


def _plot_ideal(panels: typing.Sequence[typing.Any], rows: list[Row]) -> None:
    chosen = [row for row in rows if row['policy'] == DEFAULT_POLICY]
    for panel, time_name, ratio_name in (
        (panels[0], 'mean s', 'mean ratio'),
        (panels[1], 'p99 s', 'p99 ratio'),
    ):
        panel.plot(
            [100 * row['utilisation'] for row in chosen],
            [
                r['figures'][time_name] / r['figures'][ratio_name]
                for r in chosen
            ],
            color='black',
            linestyle='--',
            label='ideal',
        )


def plot_specs() -> list[Spec]:
    """Return the runs shown in the plot."""
    return [
        Spec(
            policy=policy, utilisation=utilisation, duration_s=PLOT_DURATION_S
        )
        for policy in response_world.POLICIES
        for utilisation in PLOT_LOADS
    ]


def main() -> None:
    """Run the selected cases and the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--case', choices=response_cases.CASES)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--duration-s', type=float, default=40.0)
    parser.add_argument('--json', type=pathlib.Path, metavar='FILE')
    parser.add_argument('--plot', type=pathlib.Path, metavar='FILE')
    options = parser.parse_args()
    began_s = time.monotonic()
    rows = []
    # With --plot but no --case, only the runs of the plot are needed.
    if options.case or not options.plot:
        for case in [options.case] if options.case else response_cases.CASES:
            rows += measure(
                specs_for_case(case, options.duration_s), options.seeds
            )
    if options.plot:
        plotted = measure(plot_specs(), PLOT_SEEDS)
        plot(plotted, options.plot)
        rows += plotted
    print(
        f'{time.monotonic() - began_s:.0f} s; load average '
        f'{os.getloadavg()[0]:.1f}'
    )
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1) + '\n')


if __name__ == '__main__':
    main()
