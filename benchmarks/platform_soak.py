"""Soak of the platform program: real processes under random faults."""

import argparse
import pathlib
import sys

from orioleloom_standins import soak


def main() -> int:
    """Run the soak for each seed and print its violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--duration-s', type=float, default=15.0)
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
        report = soak.run_soak(
            seed, arguments.duration_s, str(folder), arguments.network
        )
        n_failed += bool(report.violations)
        print(
            f'seed {seed}: {report.n_jobs} jobs, {len(report.faults)} faults,'
            f' {dict(sorted(report.statuses.items()))}',
            flush=True,
        )
        for violation in report.violations:
            print(f'  {violation}', flush=True)
        if report.violations:
            print('  ' + '; '.join(report.faults), flush=True)
    print(f'{arguments.seeds} seeds, {n_failed} failed')
    return 1 if n_failed else 0


if __name__ == '__main__':
    sys.exit(main())
