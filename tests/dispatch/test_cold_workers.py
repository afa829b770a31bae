"""Workers that are slow for some time after they return.

Guards against tasks that miss their objective on such a worker while a warm
one has room, and against capacity that stays unused for this reason.
"""

import json
import random

from orioleloom import dispatch
from orioleloom.platform import _wire
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 2, 1.6, 0.06)


def start_world():
    # The cold worker is the fastest one, and learned as such.
    workers = leased.site_workers(3, speeds=(1.0, 1.0, 1.6))
    world = leased.World(workers, random.Random(1))
    side = world.start_dispatcher()
    side.dispatcher.workers['w2'].log_run_time_ratio = -0.47
    world.run_until(0.5)
    return world, side


def used_workers(world, side, number, n_tasks):
    job = dispatch.Job(
        f'{number:016x}',
        QUEUE,
        'payload',
        (dispatch.Step(n_tasks, dispatch.Resources(6_800, 64), 0.2),),
    )
    world.declare(job, [0.2] * n_tasks)
    before = {name: w.n_starts for name, w in world.workers.items()}
    side.submit(job)
    world.run_until(world.now_s + 0.6)
    return [
        name for name, w in world.workers.items() if w.n_starts > before[name]
    ]


def test_cold_worker_is_tried_after_the_warm_ones():
    """Until it is warm, or a run there shows that it is fast."""
    world, side = start_world()
    assert used_workers(world, side, 1, 1) == ['w2']
    side.dispatcher.placement.cold_until_s = {'w2': 2.5}
    world.run_until(1.3)
    assert used_workers(world, side, 2, 2) == ['w0']
    world.run_until(3.0)
    assert used_workers(world, side, 3, 1) == ['w2']
    side.dispatcher.placement.cold_until_s = {'w2': 99.0}
    world.run_until(4.0)
    # It is needed, and its results clear it.
    assert used_workers(world, side, 4, 7) == ['w0', 'w1', 'w2']
    assert used_workers(world, side, 5, 1) == ['w2']


def test_remaining_time_alone_does_not_change_the_list():
    """Each write of an entry has another one; guards against needless work.

    A list that is read again without a write does not extend it either.
    """
    entry = {
        'service': 'pool',
        'address': '10.0.0.1:80',
        'zone': 'z1',
        'state': 'ready',
        'capacity': {'cpu': 16000},
    }
    tracker = dispatch.WorkerListTracker()
    changes = []
    for now_s, cold_ms in ((0, 3000), (0.5, 3000), (1.5, 2000), (4, 0)):
        data = json.dumps({**entry, 'coldRemainingMs': cold_ms}).encode()
        changes.append(
            tracker.update(
                {'w1': _wire.decode_worker('w1', data)},
                1,
                complete_since=0,
                now_s=now_s,
            )
        )
        assert tracker.cold.until_s == ({'w1': 3.0} if cold_ms else {})
        # An earlier build rejects an entry with a further field.
        assert len(tracker.entries_for_peers()['w1']) == 8
    assert changes == [True, False, False, False]
