"""The memory that requests and jobs take together."""

import pytest

from orioleloom import memory

KIB = 1024


def fill(budget, n_bytes):
    """Add jobs of a size until one is refused; return their number."""
    n = 0
    while budget.has_room(n_bytes):
        budget.add_job(n_bytes)
        n += 1
    return n


def test_large_jobs_are_refused_first():
    """Guards against large jobs that leave no room for small ones."""
    budget = memory.Budget(20_000 * KIB)
    assert fill(budget, 500 * KIB) > 10
    assert not budget.has_room(500 * KIB)
    assert budget.has_room(100 * KIB)
    assert fill(budget, 4 * KIB) > 500


@pytest.mark.parametrize('n_bytes', [4 * KIB, 500 * KIB, 5_000 * KIB])
def test_sum_stays_within_the_limit(n_bytes):
    """Guards against jobs and reception that add up to more."""
    budget = memory.Budget(20_000 * KIB)
    budget.reception_bytes = 10_000 * KIB
    fill(budget, n_bytes)
    assert budget.job_bytes + budget.reception_bytes <= budget.limit_bytes
    budget.reception_bytes = 0
    fill(budget, n_bytes)
    room = budget.reception_room_bytes()
    assert room > 0
    assert budget.job_bytes + room <= budget.limit_bytes


def test_largest_job_fits_in_calm():
    """Guards against limits that a single legal job exceeds."""
    budget = memory.Budget(memory.limit_bytes(1))
    assert budget.has_room(10_000 * (512 + 640) + 262_144)


def test_job_of_an_earlier_leader_needs_no_reserve():
    """Guards against refusing accepted jobs at each change of leader."""
    budget = memory.Budget(20_000 * KIB)
    fill(budget, 500 * KIB)
    assert budget.has_room(500 * KIB, is_urgent=True)
    while budget.has_room(500 * KIB, is_urgent=True):
        budget.add_job(500 * KIB)
    assert budget.job_bytes <= budget.limit_bytes


def test_reservation_becomes_a_job_or_ends():
    """Guards against room that is counted twice, or never released."""
    budget = memory.Budget(20_000 * KIB)
    account = memory.JobAccount(budget)
    assert account.reserve('a', 400 * KIB, 1.0)
    assert account.reserve('a', 400 * KIB, 2.0)
    assert account.reserve('b', 300 * KIB, 1.0)
    assert account.hold('a', 500 * KIB)
    assert budget.job_bytes == 800 * KIB
    account.release_expired(5.0)
    assert budget.job_bytes == 500 * KIB
    account.release('a')
    account.release('unknown')
    assert budget.job_bytes == 0


def test_closed_account_holds_nothing():
    """Guards against an earlier term whose jobs count for ever."""
    budget = memory.Budget(20_000 * KIB)
    earlier = memory.JobAccount(budget)
    earlier.hold('a', 500 * KIB)
    earlier.reserve('b', 500 * KIB, 1.0)
    earlier.close()
    earlier.release('a')
    assert budget.job_bytes == 0
    assert budget.peak_job_bytes == 1_000 * KIB
