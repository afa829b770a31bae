"""Faults of the matrix; each one heals by itself."""

import typing

from orioleloom import model
import world as worlds

PAUSE_S = 6.0
OUTAGE_S = 6.0
CLOCK_JUMP_S = 100.0

Fault = typing.Callable[[worlds.World, worlds.Entry], None]


def _cut(peers: typing.Callable[[worlds.World, worlds.Entry], list[str]]):
    def fault(world: worlds.World, entry: worlds.Entry) -> None:
        links = {frozenset((entry.id, name)) for name in peers(world, entry)}
        world.cut |= links

        def heal() -> None:
            world.cut -= links

        world.at(OUTAGE_S, heal)

    return fault


def kill(world: worlds.World, entry: worlds.Entry) -> None:
    world.kill(entry)
    world.unlist(entry)


def kill_and_restart(world: worlds.World, entry: worlds.Entry) -> None:
    world.kill(entry)
    world.at(1.0, lambda: world.start(entry))


def pause(world: worlds.World, entry: worlds.Entry) -> None:
    world.pause(entry, PAUSE_S)


def platform_down(world: worlds.World, entry: worlds.Entry) -> None:
    world.platform_away_until_s = world.now_s + OUTAGE_S


def table_answer_lost(world: worlds.World, entry: worlds.Entry) -> None:
    world.lose_table_answers += 2


def table_write_lost(world: worlds.World, entry: worlds.Entry) -> None:
    world.lose_table_writes += 2


def table_write_late(world: worlds.World, entry: worlds.Entry) -> None:
    world.delay_table_writes += 1


def _first_worker(world: worlds.World) -> str:
    return min(world.workers)


def worker_dead(world: worlds.World, entry: worlds.Entry) -> None:
    worker_id = _first_worker(world)
    world.dead_workers.add(worker_id)
    world.workers[worker_id].running.clear()


def worker_stalled(world: worlds.World, entry: worlds.Entry) -> None:
    worker_id = _first_worker(world)
    world.stalled_workers.add(worker_id)
    world.at(OUTAGE_S, lambda: world.stalled_workers.discard(worker_id))


def worker_leaving(world: worlds.World, entry: worlds.Entry) -> None:
    worker_id = _first_worker(world)
    world.list_worker(worker_id, model.MemberState.LEAVING)


def worker_fails_all(world: worlds.World, entry: worlds.Entry) -> None:
    worker = world.workers[_first_worker(world)]
    worker.set_fault('fail_all', world.now_s, duration_s=OUTAGE_S)


def caller_resubmits(world: worlds.World, entry: worlds.Entry) -> None:
    world.resubmit_all(exclude=entry.id)


def caller_cancels(world: worlds.World, entry: worlds.Entry) -> None:
    other = world.other_entry(entry.id)
    for submission_id in {c.job_id.submission_id for c in world.copies}:
        world.cancel(submission_id, entry_id=other)


def operators_race(world: worlds.World, entry: worlds.Entry) -> None:
    for index, other in enumerate(world.entries.values()):
        if other.alive and not other.paused:
            version = other.core.contract(worlds.CUSTOMER).version
            world.put_contract(other.id, version, in_flight=10 + index)


def clock_jumps(world: worlds.World, entry: worlds.Entry) -> None:
    entry.clock_offset_s += CLOCK_JUMP_S


def peers_lossy(world: worlds.World, entry: worlds.Entry) -> None:
    world.peer_loss = 0.5
    world.peer_duplicates = 0.5
    world.line_duplicates = 0.5

    def heal() -> None:
        world.peer_loss = world.peer_duplicates = 0.0
        world.line_duplicates = 0.0

    world.at(OUTAGE_S, heal)


FAULTS: dict[str, Fault] = {
    'kill': kill,
    'kill_and_restart': kill_and_restart,
    'pause': pause,
    'cut_callers': _cut(lambda world, entry: ['callers']),
    'cut_workers': _cut(lambda world, entry: list(world.workers)),
    'cut_peers': _cut(lambda world, entry: list(world.entries)),
    'cut_platform': _cut(lambda world, entry: ['platform']),
    'cut_data_centre': _cut(
        lambda world, entry: [
            'platform',
            *(
                other.id
                for other in world.entries.values()
                if other.data_centre != entry.data_centre
            ),
        ]
    ),
    'platform_down': platform_down,
    'table_answer_lost': table_answer_lost,
    'table_write_lost': table_write_lost,
    'table_write_late': table_write_late,
    'worker_dead': worker_dead,
    'worker_stalled': worker_stalled,
    'worker_leaving': worker_leaving,
    'worker_fails_all': worker_fails_all,
    'caller_resubmits': caller_resubmits,
    'caller_cancels': caller_cancels,
    'operators_race': operators_race,
    'clock_jumps': clock_jumps,
    'peers_lossy': peers_lossy,
}
