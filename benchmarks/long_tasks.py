"""Worth of jobs with long tasks, on healthy and on stalled workers.

Each row has the mean over the seeds: the share of the worth, the worth of the
kind of long jobs, jobs without an answer, and the runs that were moved:
python -m benchmarks.long_tasks --seeds 4
"""

import argparse
import math
import random
import statistics

from orioleloom_standins import leased

_DURATION_S = 11.0
_FAULTS = {'none': 1.0, 'slow': 6.5, 'stalled': math.inf}


def _inject(world: leased.World, slowdown: float) -> None:
    """Slow three of 24 workers down from second 3 to second 8."""
    workers = world.random_state.sample(list(world.workers.values()), 3)

    def set_slowdown(factor: float) -> None:
        for worker in workers:
            worker.slow_down(factor, world.now_s)

    world.at(3.0, lambda: set_slowdown(slowdown))
    world.at(8.0, lambda: set_slowdown(1.0))


def measure(
    seed: int, scale: float, long_share: float, fault: str
) -> tuple[float, float, int, int]:
    """Return the figures of one row for one seed."""
    world = leased.World(leased.site_workers(), random.Random(seed))
    side = world.start_dispatcher()
    world.run_until(0.5)
    if fault != 'none':
        _inject(world, _FAULTS[fault])
    report = leased.offer_load(
        world,
        side,
        duration_s=_DURATION_S,
        scale=scale,
        long_share=long_share,
        random_state=random.Random(seed + 1000),
    )
    return (
        report.share(),
        report.kind_share('booking'),
        report.n_held,
        side.dispatcher.counters['runs_moved'],
    )


def main() -> None:
    """Print one row for each load and fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=4)
    parser.add_argument('--scale', type=float, default=1.0)
    arguments = parser.parse_args()
    print('long  fault    share  booking  held  moved')
    for long_share in (0.0, 0.03):
        for fault in _FAULTS:
            rows = [
                measure(seed, arguments.scale, long_share, fault)
                for seed in range(1, arguments.seeds + 1)
            ]
            share, booking, held, moved = map(
                statistics.mean, zip(*rows, strict=True)
            )
            print(
                f'{long_share:4}  {fault:7}  {share:.3f}  {booking:7.3f}  '
                f'{held:4.1f}  {moved:5.1f}',
                flush=True,
            )


if __name__ == '__main__':
    main()
