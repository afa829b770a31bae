import collections

import hypothesis
from hypothesis import strategies as st
import pytest

from orioleloom import queueing


def task(job, index, cost_ms=10.0, upstream='gpu'):
    return queueing.QueuedTask(job, index, 'k', upstream, cost_ms, None)


def always_eligible(customer, upstream):
    return True


costs = st.lists(st.floats(1.0, 1000.0), min_size=1, max_size=60)


@hypothesis.given(
    st.lists(st.tuples(st.floats(0.1, 10.0), costs), min_size=2, max_size=5),
    st.integers(0, 30),
)
def test_service_difference_is_bounded(customers, n_before):
    # Guards against unfair service (R11): while customers are backlogged,
    # their services divided by weight must differ by at most the sum of
    # their largest costs divided by weight. Customers that arrive late have
    # no credit.
    queue = queueing.FairQueue()
    early, late = customers[:-1], customers[-1:]
    served = [0.0] * len(customers)

    def push(numbered):
        for number, (weight, task_costs) in numbered:
            queue.set_weight(str(number), weight)
            tasks = [task(0, i, cost) for i, cost in enumerate(task_costs)]
            queue.push(str(number), 'job', tasks)

    push(enumerate(early))
    for _ in range(n_before):
        queue.pop(always_eligible)
    push(enumerate(late, len(early)))
    while all(queue.n_tasks(str(n)) for n in range(len(customers))):
        name, popped = queue.pop(always_eligible)
        served[int(name)] += popped.cost_ms / customers[int(name)][0]
        for a, (weight_a, costs_a) in enumerate(customers):
            for b, (weight_b, costs_b) in enumerate(customers):
                bound = max(costs_a) / weight_a + max(costs_b) / weight_b
                assert served[a] - served[b] <= bound + 1e-6


names = st.sampled_from('abc')
flows = st.integers(0, 3)
upstreams = st.sampled_from(['gpu', 'cpu'])
action = st.one_of(
    st.tuples(st.just('push'), names, flows, upstreams, st.integers(1, 5)),
    st.tuples(st.just('pop'), st.frozensets(st.tuples(names, upstreams))),
    st.tuples(st.just('reject')),
    st.tuples(st.just('remove'), names, flows),
    st.tuples(st.just('pause'), names),
    st.tuples(st.just('resume'), names),
)


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(st.lists(action, max_size=80))
def test_no_task_is_lost_or_doubled(actions):
    # Guards against lost and duplicate tasks (R1, R2): every pushed task is
    # popped once, in order within its flow, and an eligible one is always
    # found.
    queue = queueing.FairQueue()
    waiting = collections.defaultdict(list)
    paused = set()
    popped = []
    n_pushed = 0
    for what in actions:
        match what:
            case ('push', name, flow, upstream, n):
                tasks = [
                    task(flow, n_pushed + i, 5.0, upstream) for i in range(n)
                ]
                n_pushed += n
                queue.push(name, flow, tasks)
                waiting[name, flow, upstream] += tasks
            case ('pop', blocked):
                found = queue.pop(lambda c, u: (c, u) not in blocked)
                if found is None:
                    assert not any(
                        tasks
                        for (name, _, upstream), tasks in waiting.items()
                        if (name, upstream) not in blocked
                        and name not in paused
                    )
                    continue
                name, got = found
                assert (name, got.upstream) not in blocked
                assert name not in paused
                assert waiting[name, got.job_key, got.upstream].pop(0) == got
                popped.append(found)
            case ('reject',) if popped:
                name, got = popped.pop()
                queue.push_front(name, got.job_key, got)
                waiting[name, got.job_key, got.upstream].insert(0, got)
            case ('remove', name, flow):
                expected = [
                    one
                    for upstream in ('gpu', 'cpu')
                    for one in waiting.pop((name, flow, upstream), [])
                ]
                removed = queue.remove(name, flow)
                assert sorted(removed) == sorted(expected)
            case ('pause', name):
                queue.pause(name)
                paused.add(name)
            case ('resume', name):
                queue.resume(name)
                paused.discard(name)
        left = collections.Counter()
        for (name, _, _), tasks in waiting.items():
            left[name] += len(tasks)
        assert queue.n_tasks() == left.total()
        assert set(queue.customers()) == set(+left)
    for name in 'abc':
        queue.resume(name)
    rest = [queue.pop(always_eligible) for _ in range(queue.n_tasks())]
    assert None not in rest and queue.pop(always_eligible) is None
    assert sorted(one.index for _, one in rest) == sorted(
        one.index for tasks in waiting.values() for one in tasks
    )


def test_small_job_is_not_stuck_behind_a_large_one():
    # Guards against unfair sharing among the jobs of a customer (R11).
    queue = queueing.FairQueue()
    queue.push('acme', 'large', [task('large', i) for i in range(1300)])
    for _ in range(10):
        queue.pop(always_eligible)
    queue.push('acme', 'small', [task('small', i) for i in range(5)])
    jobs = [queue.pop(always_eligible)[1].job_key for _ in range(11)]
    assert jobs.count('small') == 5


def test_blocked_upstream_does_not_block_others():
    # Guards against a customer that waits for a full upstream although
    # another of its upstreams has free slots.
    queue = queueing.FairQueue()
    queue.push('acme', 'a', [task('a', 0, upstream='gpu')])
    queue.push('acme', 'b', [task('b', 0, upstream='cpu')])
    assert queue.pop(always_eligible, open_upstreams={'cpu'})[1].job_key == 'b'
    assert queue.pop(lambda _, upstream: upstream != 'gpu') is None
    assert queue.pop(always_eligible)[1].job_key == 'a'


def test_customer_blocked_for_a_while_gains_no_credit():
    # Guards against credit for time during which a customer was at its limit
    # (R11).
    queue = queueing.FairQueue()
    for name in 'ab':
        queue.push(name, 'job', [task('job', i) for i in range(200)])
    for _ in range(100):
        queue.pop(lambda customer, _: customer == 'a')
    names_served = [queue.pop(always_eligible)[0] for _ in range(40)]
    assert 19 <= names_served.count('b') <= 21


def test_weight_of_zero_is_refused():
    # Guards against a division by zero in the schedule.
    with pytest.raises(ValueError, match='acme'):
        queueing.FairQueue().set_weight('acme', 0)
