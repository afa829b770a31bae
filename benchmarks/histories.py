"""Run randomised fault simulations and print every violation.

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


def run_one(job: tuple[int, int]) -> tuple[int, int, list[str]]:
    """Run one history.

    :param job: seed and maximum number of steps of the history
    :returns: the seed, the number of task starts, and the violations
    """
    seed, n_steps = job
    try:
        violations, history = virtual.random_history(seed, n_steps=n_steps)
    except Exception:
        return seed, 0, [traceback.format_exc()]
    return seed, history.world.n_starts(), [str(v) for v in violations]


def replay(seed: int, n_steps: int) -> None:
    """Rerun one history and print its steps and violations."""

    def trace(now_s: float, name: str, numbers: list[int]) -> None:
        print(f'{now_s:9.3f} {name} {numbers}')

    violations, history = virtual.random_history(
        seed, n_steps=n_steps, trace=trace
    )
    for violation in violations:
        print(violation)
    print(f'{len(violations)} violations, {history.world.n_starts()} starts')


def main() -> int:
    """Run histories; return 1 if any of them has a violation."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.histories')
    parser.add_argument('--n', type=int, default=10_000)
    parser.add_argument('--seed', type=int, help='drawn when not given')
    parser.add_argument(
        '--processes', type=int, default=MAX_PROCESSES, help='1 to 6'
    )
    parser.add_argument('--replay', type=int, metavar='SEED')
    parser.add_argument(
        '--steps', type=int, default=30, help='most steps of a history'
    )
    options = parser.parse_args()
    if options.replay is not None:
        replay(options.replay, options.steps)
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
    print(
        f'seed {seed}: histories {first} to {first + options.n - 1} of up to '
        f'{options.steps} steps'
    )
    jobs = ((first + index, options.steps) for index in range(options.n))
    began_s = time.monotonic()
    n_starts = n_failed = 0
    rules: collections.Counter[str] = collections.Counter()
    with multiprocessing.Pool(options.processes) as pool:
        for done, starts, found in pool.imap_unordered(
            run_one, jobs, chunksize=20
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
