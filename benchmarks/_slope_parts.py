"""CPU time and memory of placement, queueing and limits."""

import itertools
import random

from benchmarks import _slope
from benchmarks import placement_cost
from benchmarks import queueing_cost
from orioleloom import limits

WORKERS = (24, 200, 900)
CUSTOMERS = (10, 100, 360)


def placement() -> list[_slope.Slope]:
    """Measure CPU time per placed task and memory per worker."""
    slopes = []
    for n_workers in WORKERS:
        costs = [
            placement_cost.cost_us(n_workers, 8_000, seed) for seed in range(5)
        ]
        sizes = [
            _slope.traced_bytes(lambda: placement_cost.make_pool(n_workers, 1))
            / n_workers
            for _ in range(3)
        ]
        size = f'{n_workers} workers'
        slopes += [
            _slope.slope('placement', size, 'us a task', costs),
            _slope.slope('placement', size, 'bytes a worker', sizes),
        ]
    for n_workers in (*WORKERS, 22_000):
        pool = placement_cost.make_pool(n_workers, 1)
        costs = [
            _slope.cpu_time_us(
                lambda: pool.estimate_free_slots('up', 0.0, 1300), 10
            )
            for _ in range(5)
        ]
        slopes.append(
            _slope.slope(
                'placement',
                f'{n_workers} workers',
                'us a free_slots call',
                costs,
            )
        )
    return slopes


def queueing() -> list[_slope.Slope]:
    """Measure a pop and push with ten jobs per customer."""
    slopes = []
    for n_customers in CUSTOMERS:
        queue = queueing_cost.build(n_customers, 10)
        queueing_cost.pop_and_push(queue, 1_000)
        costs = [queueing_cost.pop_and_push(queue, 3_000) for _ in range(7)]
        slopes.append(
            _slope.slope(
                'queueing', f'{n_customers} customers', 'us a pop+push', costs
            )
        )
    return slopes


def _shares(n_customers: int, n_entries: int) -> limits.LimitShares:
    shares = limits.LimitShares(random_state=random.Random(1))
    shares.set_rank(0, n_entries, 0.0)
    for index in range(n_customers):
        shares.set_contract(_slope.contract(index), 0.0)
    return shares


def limit_shares() -> list[_slope.Slope]:
    """Measure CPU time per task and rank change, and memory."""
    slopes = []
    for n_customers in CUSTOMERS:
        shares = _shares(n_customers, 300)
        names = itertools.cycle(
            [_slope.contract(i).customer for i in range(n_customers)]
        )
        times = itertools.count()
        ranks = itertools.cycle((300, 301))

        def start() -> None:
            name = next(names)
            now_s = next(times) * 1e-4
            shares.allowance(name, now_s)
            shares.start(name, now_s)
            shares.finish(name, now_s)

        def change_rank() -> None:
            shares.set_rank(0, next(ranks), next(times) * 1e-4)

        size = f'{n_customers} customers'
        costs = [_slope.cpu_time_us(start, 5_000) for _ in range(7)]
        moves = [_slope.cpu_time_us(change_rank, 50) for _ in range(7)]
        sizes = [
            _slope.traced_bytes(lambda: _shares(n_customers, 300))
            / n_customers
            for _ in range(3)
        ]
        slopes += [
            _slope.slope('limits', size, 'us a task', costs),
            _slope.slope('limits', size, 'us a rank change', moves),
            _slope.slope('limits', size, 'bytes a customer', sizes),
        ]
    return slopes
