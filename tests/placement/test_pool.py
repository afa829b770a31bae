"""Tests of all policies and of the worker pool."""

import math
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from orioleloom import model
from orioleloom import placement

POLICIES = (
    placement.ExpectedCompletion,
    placement.LeastOutstanding,
    placement.PowerOfTwo,
    placement.Random,
    placement.RoundRobin,
)
every_policy = pytest.mark.parametrize('make_policy', POLICIES)
SLOTS = 2


def member(
    worker_id,
    state=model.MemberState.LIVE,
    upstream='up',
    rack='',
    slots=SLOTS,
):
    return model.Member(
        worker_id,
        model.Role.WORKER,
        state,
        'dc',
        'http://worker',
        upstream=upstream,
        slots=slots,
        rack=rack,
    )


def make_pool(make_policy=placement.ExpectedCompletion, n=6, seed=1, **kwargs):
    pool = placement.WorkerPool(
        instance_id='entry-0',
        policy=make_policy(),
        random_state=random.Random(seed),
    )
    pool.set_workers([member(f'w{i}', **kwargs) for i in range(n)], 0.0)
    pool.set_rank(0, 1)
    return pool


def without_speculation():
    """Return the default policy without speculative starts."""
    return placement.ExpectedCompletion(
        max_speculative_tasks=0, min_saving_ms=1e9
    )


def start(pool, now_s, upstream='up'):
    worker_id = pool.choose_worker(upstream, 'kind', None, 1, now_s)
    if worker_id is not None:
        pool.record_start(worker_id, 'kind', now_s)
    return worker_id


def start_all(pool, now_s):
    return list(iter(lambda: start(pool, now_s), None))


def fail(pool, worker_id, n, now_s):
    for _ in range(n):
        pool.record_start(worker_id, 'kind', now_s)
        pool.record_failure(worker_id, 'kind', 1.0, SLOTS, now_s)


def condition(pool, worker_id):
    return pool.state()['workers'][worker_id]['condition']


@every_policy
def test_full_worker_is_not_chosen(make_policy):
    """Guards against sending a worker more tasks than it has slots."""
    chosen = start_all(make_pool(make_policy), 0.0)
    assert sorted(chosen) == sorted([f'w{i}' for i in range(6)] * SLOTS)


@every_policy
def test_leaving_workers_and_other_upstreams_get_nothing(make_policy):
    """Guards against tasks on unsuitable workers (R6).

    These are leaving workers, removed ones and those of other upstreams.
    """
    pool = make_pool(make_policy, n=3)
    rows = [
        member('w0', model.MemberState.LEAVING),
        member('w1'),
        member('w2'),
        member('other', upstream='other'),
    ]
    pool.set_workers(rows, 0.0)
    pool.mark_leaving('w2')
    assert set(start_all(pool, 0.0)) == {'w1'}
    assert start(pool, 0.0, 'missing') is None
    assert pool.has_live_worker('other') and not pool.has_live_worker(
        'missing'
    )
    pool.set_workers([], 0.0)
    assert start(pool, 1.0) is None


@every_policy
def test_same_seed_gives_same_choices(make_policy):
    """Guards against choices that depend on hash or set order."""
    first, second = (make_pool(make_policy, n=20) for _ in range(2))
    assert start_all(first, 0.0) == start_all(second, 0.0)


@every_policy
def test_quarantined_worker_gets_one_trial_after_backoff(make_policy):
    """Guards against a failing worker that keeps receiving tasks (F10)."""
    pool = make_pool(make_policy)
    fail(pool, 'w0', 3, 0.0)
    assert [n.worker_id for n in pool.take_quarantine_notices()] == ['w0']
    assert pool.take_quarantine_notices() == []
    assert 'w0' not in start_all(pool, 0.5)
    for worker_id in [f'w{i}' for i in range(1, 6)] * SLOTS:
        pool.record_success(worker_id, 'kind', 100.0, 101.0, SLOTS, 1.0)
    assert start_all(pool, 1.5).count('w0') == 1
    pool.record_failure('w0', 'kind', 1.0, SLOTS, 1.6)
    assert 'w0' not in start_all(pool, 2.9)


def test_passed_trial_ends_quarantine():
    """Guards against a recovered worker that remains quarantined."""
    pool = make_pool(n=3)
    pool.apply_peer_quarantine('w1', 0.0)
    assert pool.take_quarantine_notices() == []
    assert start_all(pool, 4.0).count('w1') == 1
    pool.record_success('w1', 'kind', 100.0, 101.0, SLOTS, 4.1)
    assert condition(pool, 'w1') == 'usable'


def test_over_half_of_last_16_failed_quarantines():
    """Guards against a worker that fails often, but not consecutively."""
    pool = make_pool(n=3)
    for failed in ([True, True, False] * 6)[:16]:
        pool.record_start('w0', 'kind', 0.0)
        if failed:
            pool.record_failure('w0', 'kind', 1.0, SLOTS, 0.0)
        else:
            pool.record_success('w0', 'kind', 100.0, 101.0, SLOTS, 0.0)
    assert condition(pool, 'w0') == 'quarantined'


def test_at_most_a_third_is_quarantined():
    """Guards against faulty tasks that quarantine every worker."""
    pool = make_pool(n=6)
    for i in range(6):
        fail(pool, f'w{i}', 20, 0.0)
    assert len(pool.take_quarantine_notices()) == 2


def test_kind_that_fails_everywhere_does_not_quarantine():
    """Guards against faulty tasks of one customer that block workers."""
    pool = make_pool(n=12)
    for i in range(12):
        fail(pool, f'w{i}', 1, 0.0)
    fail(pool, 'w5', 20, 0.0)
    assert pool.take_quarantine_notices() == []


def test_total_failure_is_quarantined_beyond_a_third():
    """Guards against failing workers that the limit keeps in use."""
    pool = make_pool(n=3)
    fail(pool, 'w0', 3, 0.0)
    pool.record_start('w2', 'kind', 0.0)
    pool.record_success('w2', 'kind', 100.0, 101.0, SLOTS, 0.0)
    fail(pool, 'w1', 15, 0.0)
    assert condition(pool, 'w1') == 'usable'
    fail(pool, 'w1', 1, 0.0)
    assert condition(pool, 'w1') == 'quarantined'


def test_fast_failures_do_not_make_a_worker_look_fast():
    """Guards against a failing worker that attracts tasks.

    Its failures are fast and must not count as run times.
    """
    pool = make_pool(n=3)
    for worker_id, run_time_ms in (('w0', 400.0), ('w1', 100.0)) * 20:
        pool.record_start(worker_id, 'kind', 0.0)
        pool.record_success(
            worker_id, 'kind', run_time_ms, run_time_ms, SLOTS, 0.0, 200.0
        )
    rows = pool.state()['workers']
    before = rows['w0']['relative_run_time']
    fail(pool, 'w0', 2, 0.0)
    assert pool.state()['workers']['w0']['relative_run_time'] == before
    ratio = before / rows['w1']['relative_run_time']
    assert ratio == pytest.approx(4.0, rel=0.1)
    assert start(pool, 0.0) == 'w1'
    fastest_ms = pool.fastest_run_time_ms('up', 'new', 200.0)
    assert fastest_ms == pytest.approx(100.0, rel=0.2)


def test_slow_slot_is_left_idle_only_while_waiting_ends_earlier():
    """Guards against slow starts for a short queue.

    Also guards against slots left idle while the queue is long.
    """
    pool = make_pool(n=2)
    for worker_id, run_time_ms in (('w0', 1000.0), ('w1', 100.0)) * 20:
        pool.record_start(worker_id, 'kind', 0.0)
        pool.record_success(
            worker_id, 'kind', run_time_ms, run_time_ms, SLOTS, 0.0, 300.0
        )
    assert [start(pool, 0.0) for _ in range(3)] == ['w1', 'w1', None]
    assert pool.choose_worker('up', 'kind', 300.0, 100, 0.0) == 'w0'


@pytest.mark.parametrize(
    'event', ['record_unknown_outcome', 'record_connection_refused']
)
def test_worker_without_answer_is_avoided_until_a_trial(event):
    """Guards against tasks sent to a worker that has failed."""
    pool = make_pool(n=1)
    assert len(start_all(pool, 0.0)) == SLOTS
    for _ in range(SLOTS):
        getattr(pool, event)('w0', 1.0)
    assert start(pool, 1.1) is None
    at_s = pool.next_wakeup_at_s()
    assert 1.75 <= at_s <= 2.25
    assert start_all(pool, at_s) == ['w0']


def test_rest_of_an_unreachable_rack_gets_one_task_at_a_time():
    """Guards against losing many tasks to the failure of a rack."""
    pool = make_pool(n=4, rack='r')
    for worker_id in ('w0', 'w1'):
        pool.record_start(worker_id, 'kind', 0.0)
        pool.record_connection_refused(worker_id, 0.0)
    assert sorted(start_all(pool, 0.1)) == ['w2', 'w3']
    pool.record_success('w2', 'kind', 100.0, 101.0, SLOTS, 0.2)
    assert sorted(start_all(pool, 0.2)) == ['w2', 'w2', 'w3']


def test_home_slots_cover_each_slot_once():
    """Guards against slots assigned to no instance or to two."""
    for slots, n_entries in ((8, 8), (8, 3), (2, 5)):
        n_home_slots = [
            placement.home_slots('w', slots, rank, n_entries)
            for rank in range(n_entries)
        ]
        assert sum(n_home_slots) == slots
    assert placement.home_slots('w', 8, None, 8) == 0


def test_start_without_home_slots_is_probed_and_then_borrows():
    """Guards against an instance that never starts a task or busy-waits."""
    pool = make_pool(n=2, slots=8)
    pool.set_rank(None, 0)
    assert start(pool, 0.0) is None
    at_s = pool.next_wakeup_at_s()
    assert 0.0 < at_s < 0.1
    worker_id = start(pool, at_s)
    assert pool.next_wakeup_at_s() > at_s
    pool.record_success(worker_id, 'kind', 100.0, 101.0, 5, 1.0)
    # One of the five free slots is reserved for its home instance.
    assert start_all(pool, 1.0) == [worker_id] * 4


def test_start_ends_the_wait_for_a_probe():
    """Guards against a wake-up in the past.

    It would make the caller busy-wait.
    """
    pool = make_pool(n=1)
    pool.set_rank(None, 0)
    assert start(pool, 0.0) is None
    assert pool.next_wakeup_at_s() < 0.1
    pool.set_rank(0, 1)
    assert len(start_all(pool, 0.01)) == SLOTS
    assert start(pool, 1.0) is None
    assert pool.next_wakeup_at_s() > 1.0


def test_probe_comes_after_a_worker_changed_its_speed_class():
    """Guards against tasks that are counted as in progress forever."""
    pool = make_pool(without_speculation, n=1, slots=8)
    pool.set_rank(None, 0)
    for run_time_ms in (100.0, 4000.0) * 20:
        for _ in range(3):
            pool.record_start('w0', 'kind', 0.0)
        for _ in range(3):
            pool.record_success('w0', 'kind', run_time_ms, 1.0, 0, 0.0, 100.0)
    assert start(pool, 100.0) is None
    assert pool.next_wakeup_at_s() < 101.0


def test_rejection_pauses_starts_that_rely_on_old_reports():
    """Guards against many wasted messages when workers fill up (F9)."""
    pool = make_pool(without_speculation, n=4, slots=8)
    pool.set_rank(0, 8)
    for worker_id in ('w0', 'w1', 'w2', 'w3'):
        for _ in range(12):
            for free in (2, 6):
                pool.record_start(worker_id, 'kind', 0.0)
                pool.record_success(worker_id, 'kind', 250.0, 251.0, free, 0.0)
    worker_id = start(pool, 1.0)
    assert worker_id is not None
    pool.record_rejection(worker_id, 0, 1.002)
    assert start(pool, 1.003) is None
    assert start(pool, 3.0) is not None


def test_speculative_tasks_join_an_exchange_and_are_bounded():
    """Guards against one POST per task of a burst (F9)."""
    pool = make_pool(n=3, slots=8)
    pool.set_rank(0, 8)
    for worker_id in ('w0', 'w1', 'w2'):
        for _ in range(12):
            pool.record_start(worker_id, 'kind', 0.0)
            pool.record_success(worker_id, 'kind', 250.0, 251.0, 6, 0.0)
    chosen = start_all(pool, 0.05)
    per_worker = [chosen.count(w) for w in set(chosen)]
    assert max(per_worker) > 1
    # One home slot, one borrowed slot and three speculative tasks.
    assert max(per_worker) <= 8


def test_speculative_exchanges_need_budget():
    """Guards against unlimited messages for speculative starts (F9).

    They may only spend what was saved by sending several tasks together.
    """
    policy = placement.ExpectedCompletion(min_saving_ms=0.0)
    pool = make_pool(lambda: policy, n=2, slots=8)
    pool.set_rank(None, 0)
    policy.exchange_budget_ = 0.0
    assert start(pool, 1.0) is None
    policy.exchange_budget_ = 5.0
    assert start(pool, 1.1) is not None
    assert policy.exchange_budget_ == 4.0


events = st.lists(
    st.tuples(
        st.sampled_from(
            ['start', 'finished', 'failed', 'rejected', 'unknown', 'list']
        ),
        st.integers(0, 5),
        st.integers(0, SLOTS),
        st.floats(0.0, 0.5),
    ),
    max_size=60,
)


@every_policy
@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(events=events)
def test_slot_accounting_stays_consistent(make_policy, events):
    """Guards against slots lost or counted twice.

    Also guards against a next wake-up in the past.
    """
    pool = make_pool(make_policy)
    now_s = 0.0
    for name, number, free, step_s in events:
        now_s += step_s
        worker_id = f'w{number}'
        match name:
            case 'start':
                chosen = start(pool, now_s)
                if chosen is None:
                    assert pool.next_wakeup_at_s() > now_s
            case 'finished':
                pool.record_success(worker_id, 'kind', 90.0, 91.0, free, now_s)
            case 'failed':
                pool.record_failure(worker_id, 'kind', 1.0, free, now_s)
            case 'rejected':
                pool.record_rejection(worker_id, 0, now_s)
            case 'unknown':
                pool.record_unknown_outcome(worker_id, now_s)
            case 'list':
                rows = [member(f'w{i}') for i in range(6) if i != number]
                pool.set_workers(rows, now_s)
        workers = pool.state()['workers'].values()
        assert all(0 <= w['outstanding'] <= SLOTS for w in workers)
    running = sum(w['outstanding'] for w in workers) if events else 0
    blocked = any(w['condition'] != 'usable' for w in workers) if events else 0
    if events and not running and not blocked:
        assert start(pool, now_s) or pool.next_wakeup_at_s() < math.inf
