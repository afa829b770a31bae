"""Soak of the platform program: real processes under random faults.

With ``--stops`` planned stops only, under clients that stay connected.
"""

import argparse
import pathlib
import sys

from orioleloom_standins import soak
from orioleloom_standins import stop_soak


def run_faults(
    arguments: argparse.Namespace, seed: int, folder: str
) -> list[str]:
    """Run instances under random faults and return the violations."""
    report = soak.run_soak(
        seed, arguments.duration_s, folder, arguments.network
    )
    print(
        f'seed {seed}: {report.n_jobs} jobs, {len(report.faults)} faults,'
        f' {dict(sorted(report.statuses.items()))}',
        flush=True,
    )
    if report.violations:
        return [*report.violations, '; '.join(report.faults)]
    return []


def run_stops(
    arguments: argparse.Namespace, seed: int, folder: str
) -> list[str]:
    """Stop and start instances and return the violations."""
    report = stop_soak.run_stops(
        seed,
        arguments.stops,
        folder,
        n_clients=arguments.clients,
        n_instances=arguments.instances,
        network=arguments.network,
    )
    print(
        f'seed {seed}: {report.n_sent} requests, {report.n_stops} stops, '
        f'{dict(sorted(report.statuses.items()))}, '
        f'{len(report.refused_after_s)} refused in a stop',
        flush=True,
    )
    return report.violations


def main() -> int:
    """Run the soak for each seed and print its violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--duration-s', type=float, default=15.0)
    parser.add_argument(
        '--stops', type=int, help='rounds of planned stops for each seed'
    )
    parser.add_argument('--instances', type=int, default=3)
    parser.add_argument('--clients', type=int, default=96)
    parser.add_argument('--logs', default='out/soak')
    parser.add_argument(
        '--network',
        type=int,
        default=8,
        help='second part of the loopback addresses; one a process',
    )
    arguments = parser.parse_args()
    n_failed = 0
    first = arguments.first_seed
    for seed in range(first, first + arguments.seeds):
        folder = pathlib.Path(arguments.logs) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        run = run_faults if arguments.stops is None else run_stops
        violations = run(arguments, seed, str(folder))
        n_failed += bool(violations)
        for violation in violations:
            print(f'  {violation}', flush=True)
    print(f'{arguments.seeds} seeds, {n_failed} failed')
    return 1 if n_failed else 0


if __name__ == '__main__':
    sys.exit(main())
