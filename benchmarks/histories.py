"""Run many random histories of faults and print every violation.

python -m benchmarks.histories --n 20000 --seed 1
"""

import argparse
import collections
import multiprocessing
import random
import time
import traceback

from orioleloom_standins import virtual

MAX_PROCESSES = 6


def run_one(seed: int) -> tuple[int, int, list[str]]:
    """Run one history.

    :returns: its seed, the tasks started, and what was found
    """
    try:
        violations, history = virtual.random_history(seed)
    except Exception:
        return seed, 0, [traceback.format_exc()]
    return seed, history.world.n_starts(), [str(v) for v in violations]


def replay(seed: int) -> None:
    """Print the steps and the violations of one history."""

    def trace(now_s: float, name: str, numbers: list[int]) -> None:
        print(f'{now_s:9.3f} {name} {numbers}')

    violations, history = virtual.random_history(seed, trace=trace)
    for violation in violations:
        print(violation)
    print(f'{len(violations)} violations, {history.world.n_starts()} starts')


def main() -> int:
    """Parse the arguments and run."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.histories')
    parser.add_argument('--n', type=int, default=10_000)
    parser.add_argument('--seed', type=int, help='drawn when not given')
    parser.add_argument(
        '--processes', type=int, default=MAX_PROCESSES, help='1 to 6'
    )
    parser.add_argument('--replay', type=int, metavar='SEED')
    options = parser.parse_args()
    if options.replay is not None:
        replay(options.replay)
        return 0
    if not 1 <= options.processes <= MAX_PROCESSES:
        parser.error(
            f'--processes is {options.processes}, 1 to {MAX_PROCESSES} are '
            'accepted'
        )
    seed = options.seed
    if seed is None:
        seed = random.SystemRandom().randrange(10**6)
    first = seed * 10**6
    print(f'seed {seed}: histories {first} to {first + options.n - 1}')
    began_s = time.monotonic()
    n_starts = n_failed = 0
    rules: collections.Counter[str] = collections.Counter()
    with multiprocessing.Pool(options.processes) as pool:
        for done, starts, found in pool.imap_unordered(
            run_one, range(first, first + options.n), chunksize=20
        ):
            n_starts += starts
            n_failed += bool(found)
            for violation in found:
                rules[violation.split(',')[0]] += 1
                print(f'history {done}: {violation}', flush=True)
    elapsed_s = time.monotonic() - began_s
    print(
        f'{options.n} histories, {n_starts} task starts, {n_failed} histories '
        f'with violations, {elapsed_s:.1f} s'
    )
    for rule, number in rules.most_common():
        print(f'  {number} {rule}')
    return 1 if n_failed else 0


if __name__ == '__main__':
    raise SystemExit(main())
