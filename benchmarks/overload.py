"""Value that the dispatcher earns in time on deployment A under overload.

The load is that of docs/design/hard-load.md on a part of the fleet, at
multiples of the capacity, with a hot rack and with a seventh of the workers
lost in the middle. A job is served if it earns anything. The columns `tenth`
and `fifth` are the smallest of the kinds' ratios of the share served of the
largest tenth of the jobs, and of the fifth below, to the share of all jobs.
"""

import argparse
import json
import random
import time
import typing

from orioleloom import dispatch
from orioleloom_standins import leased


class Result(typing.NamedTuple):
    """Result of one run.

    :param jobs: jobs with what they earned
    :param counters: counters of the dispatcher
    :param spent_s: processor time, including the simulation
    """

    jobs: list[leased.ServedJob]
    counters: typing.Mapping[str, int]
    spent_s: float


def measure(
    load: float,
    seed: int,
    n_workers: int,
    duration_s: float,
    settings: dispatch.Settings,
) -> Result:
    """Run one load."""
    world = leased.World(leased.heavy_workers(n_workers), random.Random(seed))
    world.remote_factor = leased.REMOTE_FACTOR
    world.settings = settings
    side = world.start_dispatcher()
    world.run_until(0.5)
    begin_s = time.process_time()
    jobs = leased.HeavyLoad(world, side, load, random.Random(seed)).run(
        duration_s
    )
    return Result(
        jobs, side.dispatcher.counters, time.process_time() - begin_s
    )


def earned_share(jobs: typing.Iterable[leased.ServedJob]) -> float:
    """Return the earned share of the value of jobs."""
    jobs = list(jobs)
    return sum(job.earned for job in jobs) / sum(job.value for job in jobs)


def size_ratios(
    jobs: typing.Iterable[leased.ServedJob],
    size: typing.Callable[[leased.ServedJob], typing.Any],
) -> tuple[float, float]:
    """Return how often the largest tenth and the fifth below are served.

    :param jobs: jobs of one kind
    :returns: multiples of the share of all jobs that are served
    """
    by_size = sorted(jobs, key=size, reverse=True)
    n_tenth = len(by_size) // 10

    def served(part: list[leased.ServedJob]) -> float:
        return sum(job.earned > 0 for job in part) / max(1, len(part))

    everyone = served(by_size) or 1.0
    return (
        served(by_size[:n_tenth]) / everyone,
        served(by_size[n_tenth : 3 * n_tenth]) / everyone,
    )


def _print_row(name: str, results: list[Result]) -> None:
    jobs = [job for result in results for job in result.jobs]
    kinds = sorted({job.kind for job in jobs})
    by_kind = {k: [job for job in jobs if job.kind == k] for k in kinds}
    starts = sum(result.counters['starts'] for result in results)
    work = [
        size_ratios(by_kind[k], lambda job: (job.work_s, job.n_tasks))
        for k in kinds
    ]
    width = [
        size_ratios(by_kind[k], lambda job: (job.n_tasks, job.work_s))
        for k in kinds
    ]
    print(
        f'{name:5} {earned_share(jobs):6.3f} ',
        ' '.join(f'{k} {earned_share(by_kind[k]):.3f}' for k in kinds),
        ' work',
        ' '.join(f'{t:.2f}/{f:.2f}' for t, f in work),
        ' tasks',
        ' '.join(f'{t:.2f}/{f:.2f}' for t, f in width),
        f' starts {starts}',
        f'cpu {sum(result.spent_s for result in results):.0f} s',
        flush=True,
    )


def main() -> None:
    """Print one row for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, default=88)
    parser.add_argument('--duration-s', type=float, default=8.0)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--loads', default='1.0,1.3,1.6,2.0')
    parser.add_argument('--settings', default='{}')
    arguments = parser.parse_args()
    settings = dispatch.Settings(**json.loads(arguments.settings))
    for load in arguments.loads.split(','):
        _print_row(
            load,
            [
                measure(
                    float(load),
                    seed,
                    arguments.workers,
                    arguments.duration_s,
                    settings,
                )
                for seed in range(1, arguments.seeds + 1)
            ],
        )


if __name__ == '__main__':
    main()
