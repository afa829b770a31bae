"""A leader that gets more jobs than its processor can carry."""

import random

import pytest
import trio

from orioleloom_standins import leased

# With these costs the leader is busy for 0.7 of the time at the rates of
# ``SITE_KINDS``. The workers have room for four times these rates.
COSTS = leased.Costs(
    receive_s=0.3e-3, send_s=0.2e-3, request_s=0.5e-3, answer_s=0.7e-3
)
N_WORKERS = 96
OVERLOAD_BEGINS_S = 4
OVERLOAD_ENDS_S = 8
END_S = 13


async def earn_per_second(nursery, factor, seed=1):
    """Return the share earned and the worth by second of a load peak."""
    fleet = leased.new_fleet(
        nursery,
        [f'dc{number % 4}' for number in range(12)],
        workers=leased.site_workers(N_WORKERS),
        seed=seed,
    )
    fleet.processor_costs = COSTS
    fleet.start()
    await trio.sleep(3.0)
    start_s = trio.current_time()

    def rate_factor(elapsed_s):
        is_overload = OVERLOAD_BEGINS_S <= elapsed_s < OVERLOAD_ENDS_S
        return factor if is_overload else 1.0

    report = await leased.offer_load_to_fleet(
        fleet,
        duration_s=END_S,
        rate_factor=rate_factor,
        random_state=random.Random(seed),
    )

    def part(begin_s, end_s):
        rows = [
            row
            for second, row in report.by_second.items()
            if begin_s <= second - start_s < end_s
        ]
        possible = sum(row[0] for row in rows)
        earned = sum(row[1] for row in rows)
        return earned / possible, earned / (end_s - begin_s)

    return part


@pytest.mark.parametrize('factor', [2.0, 3.0, 4.0])
async def test_leader_earns_no_less_under_more_load(
    nursery, autojump_clock, factor
):
    """Guards against a leader that is late for its followers.

    It took them for lost, threw the work for their jobs away and did it
    again, which kept it late: it earned less than a tenth.
    """
    part = await earn_per_second(nursery, factor)
    share, worth_per_s = part(1, OVERLOAD_BEGINS_S)
    assert share > 0.95
    _, overload_worth_per_s = part(OVERLOAD_BEGINS_S, OVERLOAD_ENDS_S)
    assert overload_worth_per_s >= worth_per_s


@pytest.mark.parametrize('factor', [2.0, 3.0, 4.0])
async def test_leader_recovers_within_a_second_of_an_overload(
    nursery, autojump_clock, factor
):
    """Guards against an overload that outlasts the load that caused it."""
    part = await earn_per_second(nursery, factor)
    share, _ = part(OVERLOAD_ENDS_S + 1, END_S)
    assert share > 0.95
