from orioleloom import codec
from orioleloom import engine
from orioleloom_standins import virtual


def test_peers_are_told_once_that_a_worker_leaves():
    # Guards R6: instances without tasks on a worker must learn that it
    # leaves from their peers, before the member list shows it.
    world = virtual.World(seed=1)
    entry = world.entries['e0']
    sent_notices = []
    handle = entry.core.handle

    def record(event, now_s):
        effects = handle(event, now_s)
        sent_notices.extend(
            effect.message
            for effect in effects
            if isinstance(effect, engine.SendPeer)
            and isinstance(effect.message, codec.WorkerNotice)
        )
        return effects

    entry.core.handle = record
    for worker in world.workers.by_id.values():
        worker.set_fault('leave', world.now_s, duration_s=60.0)
    world.submit('s1', [50.0] * 4)
    world.run_for(3.0)
    leaving = [notice.worker_id for notice in sent_notices if notice.leaving]
    assert leaving
    n_peers = len(world.entries) - 1
    assert all(leaving.count(w) == n_peers for w in leaving)
