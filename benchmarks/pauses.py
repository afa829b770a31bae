"""Pauses the leader of a simulated fleet at every place where it waits.

Prints each run in which a task ran twice or the fleet did not recover.
"""

import argparse
import itertools
import multiprocessing

from orioleloom_standins import leased

_DURATIONS_S = (0.1, 0.3, 0.45, 0.62, 0.8, 1.05, 1.35, 1.6, 1.9, 2.5, 5, 30)
_N_PASSES = (0, 1, 7)


def _run(case: tuple[int, str, int, float]) -> tuple[str, str] | None:
    seed, point, n_passes, duration_s = case
    try:
        leased.run_pause(
            seed, leased.PlannedPause(point, n_passes, duration_s)
        )
    except (leased.Violation, leased.UnservedError) as exc:
        return str(case), f'{type(exc).__name__}: {exc}'
    return None


def main() -> int:
    """Run all cases; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--n-seeds', type=int, default=1)
    parser.add_argument('--processes', type=int, default=2)
    options = parser.parse_args()
    cases = list(
        itertools.product(
            range(options.seed, options.seed + options.n_seeds),
            leased.PAUSE_POINTS,
            _N_PASSES,
            _DURATIONS_S,
        )
    )
    n_failed = 0
    with multiprocessing.Pool(options.processes) as pool:
        for failure in pool.imap_unordered(_run, cases):
            if failure is not None:
                n_failed += 1
                print(*failure, sep=': ', flush=True)
    print(f'{len(cases)} pauses, {n_failed} failed')
    return 1 if n_failed else 0


if __name__ == '__main__':
    raise SystemExit(main())
