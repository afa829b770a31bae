from orioleloom import model
from orioleloom_standins import virtual

B_WORK_MS = 50.0


def make_contract(customer, in_flight):
    return model.Contract(
        customer,
        1,
        in_flight,
        10_000.0,
        1_000,
        (virtual.UPSTREAM,),
        deadline_ms=60_000.0,
    )


def test_tasks_held_back_by_limits_do_not_count_as_waiting():
    # Counting the queued tasks of a customer at its limits overestimated
    # the wait for fast workers and sent the tasks of other customers to
    # slow ones (F11).
    world = virtual.World(
        seed=1, contracts=[make_contract('greedy', 3), make_contract('b', 90)]
    )
    pool = world.entries['e0'].core.core.pool
    n_waiting_seen = []
    choose = pool.choose_worker

    def record(upstream, kind, declared_ms, n_waiting, now_s):
        if declared_ms == B_WORK_MS:
            n_waiting_seen.append(n_waiting)
        return choose(upstream, kind, declared_ms, n_waiting, now_s)

    pool.choose_worker = record
    world.submit('s1', [400.0] * 200, customer='greedy')
    world.run_for(0.3)
    world.submit('s2', [B_WORK_MS], customer='b')
    world.run_for(0.2)
    assert n_waiting_seen
    assert max(n_waiting_seen) <= 2
