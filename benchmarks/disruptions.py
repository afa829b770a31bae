"""Runs random histories of a fleet under several disruptions at a time.

Prints each history in which a task had two runs at the same time:
python -m benchmarks.disruptions --seed 1 --n 1000
"""

import argparse
import functools
import multiprocessing
import traceback

from orioleloom_standins import leased


def _run(
    options: leased.Disruptions, seed: int
) -> tuple[int, str, leased.HistoryReport | None]:
    try:
        return seed, '', leased.run_history(seed, disruptions=options)
    except leased.Violation as exc:
        return seed, f'violation: {exc}', None
    except Exception:
        return seed, f'error: {traceback.format_exc()}', None


def main() -> int:
    """Run the histories; return 1 if any of them has a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--n', type=int, default=100, help='number of seeds')
    parser.add_argument('--processes', type=int, default=2)
    parser.add_argument(
        '--late-lease',
        choices=[kind.value for kind in leased.LateLease],
        default=leased.LateLease.AS_SENT.value,
        help='lease of commands that are carried out late',
    )
    parser.add_argument(
        '--late-after-restart',
        action='store_true',
        help='carry late commands out after a restart of the worker as well',
    )
    parser.add_argument(
        '--silent-breaks',
        action='store_true',
        help='do not tell the instance of each connection that breaks',
    )
    parser.add_argument(
        '--overloads',
        action='store_true',
        help='let leaders be short of processor time at times',
    )
    arguments = parser.parse_args()
    options = leased.Disruptions(
        leased.LateLease(arguments.late_lease),
        arguments.late_after_restart,
        arguments.silent_breaks,
        arguments.overloads,
    )
    seeds = range(arguments.seed, arguments.seed + arguments.n)
    n_violations = n_errors = n_jobs = n_faults = 0
    with multiprocessing.Pool(arguments.processes) as pool:
        for seed, failure, report in pool.imap_unordered(
            functools.partial(_run, options), seeds
        ):
            if report is not None:
                n_jobs += report.n_jobs
                n_faults += len(report.faults)
            elif failure.startswith('violation'):
                n_violations += 1
                print(failure, flush=True)
            else:
                n_errors += 1
                print(f'seed {seed}: {failure}', flush=True)
    print(
        f'{len(seeds)} histories, {n_violations} with violations, {n_errors} '
        f'with errors; the others had {n_jobs} jobs and {n_faults} faults'
    )
    return 1 if n_violations or n_errors else 0


if __name__ == '__main__':
    raise SystemExit(main())
