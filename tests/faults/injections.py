"""Faults to inject at a step; none needs to be ended by the test."""

import math
import typing

from orioleloom import model
from orioleloom_standins import virtual

PAUSE_S = 6.0
OUTAGE_S = 6.0
CLOCK_JUMP_S = 100.0

Fault = typing.Callable[[virtual.World, virtual.Entry], None]


def _cut_links(
    others: typing.Callable[[virtual.World, virtual.Entry], list[str]],
):
    def fault(world: virtual.World, entry: virtual.Entry) -> None:
        links = {frozenset((entry.id, name)) for name in others(world, entry)}
        world.network.cut |= links

        def heal() -> None:
            world.network.cut -= links

        world.at(OUTAGE_S, heal)

    return fault


def kill(world: virtual.World, entry: virtual.Entry) -> None:
    world.kill(entry)
    world.processes.unlist(entry)


def kill_and_restart(world: virtual.World, entry: virtual.Entry) -> None:
    world.kill(entry)
    world.at(1.0, lambda: world.start(entry))


def pause(world: virtual.World, entry: virtual.Entry) -> None:
    world.processes.pause(entry, PAUSE_S)


def platform_down(world: virtual.World, entry: virtual.Entry) -> None:
    world.platform.unavailable_until_s = world.now_s + OUTAGE_S


def platform_slow(world: virtual.World, entry: virtual.Entry) -> None:
    world.platform.slow_until_s = world.now_s + OUTAGE_S


def table_answer_lost(world: virtual.World, entry: virtual.Entry) -> None:
    world.platform.lose_answers += 2


def table_write_lost(world: virtual.World, entry: virtual.Entry) -> None:
    world.platform.lose_writes += 2


def table_write_late(world: virtual.World, entry: virtual.Entry) -> None:
    world.platform.delay_writes += 1


def _first_worker(world: virtual.World) -> str:
    return min(world.workers.by_id)


def worker_dead(world: virtual.World, entry: virtual.Entry) -> None:
    world.workers.kill(_first_worker(world))


def worker_stalled(world: virtual.World, entry: virtual.Entry) -> None:
    worker_id = _first_worker(world)
    world.workers.stalled.add(worker_id)
    world.at(OUTAGE_S, lambda: world.workers.stalled.discard(worker_id))


def worker_leaving(world: virtual.World, entry: virtual.Entry) -> None:
    worker_id = _first_worker(world)
    spec = world.workers.specs[worker_id]
    world.platform.list_member(spec.member(model.MemberState.LEAVING))


def worker_says_leaving(world: virtual.World, entry: virtual.Entry) -> None:
    worker = world.workers.by_id[_first_worker(world)]
    worker.set_fault('leave', world.now_s, duration_s=math.inf)


def worker_fails_all(world: virtual.World, entry: virtual.Entry) -> None:
    worker = world.workers.by_id[_first_worker(world)]
    worker.set_fault('fail_all', world.now_s, duration_s=OUTAGE_S)


def caller_resubmits(world: virtual.World, entry: virtual.Entry) -> None:
    world.callers.resubmit_all(exclude=entry.id)


def caller_cancels(world: virtual.World, entry: virtual.Entry) -> None:
    other = world.callers.other_entry(entry.id)
    for submission_id in {c.job_id.submission_id for c in world.copies}:
        world.cancel(submission_id, entry_id=other)


def caller_disconnects(world: virtual.World, entry: virtual.Entry) -> None:
    for copy in list(world.copies):
        if copy.answer is None:
            world.callers.disconnect(copy)


def operators_race(world: virtual.World, entry: virtual.Entry) -> None:
    for index, other in enumerate(world.entries.values()):
        if other.alive and not other.paused:
            version = other.core.contract(virtual.CUSTOMER).version
            world.put_contract(other.id, version, in_flight=10 + index)


def clock_jumps(world: virtual.World, entry: virtual.Entry) -> None:
    entry.clock_offset_s += CLOCK_JUMP_S


def clock_jumps_back(world: virtual.World, entry: virtual.Entry) -> None:
    entry.clock_offset_s -= CLOCK_JUMP_S


def peers_lossy(world: virtual.World, entry: virtual.Entry) -> None:
    world.network.peer_loss = 0.5
    world.network.peer_duplicates = 0.5
    world.network.line_duplicates = 0.5

    def heal() -> None:
        world.network.peer_loss = world.network.peer_duplicates = 0.0
        world.network.line_duplicates = 0.0

    world.at(OUTAGE_S, heal)


FAULTS: dict[str, Fault] = {
    'kill': kill,
    'kill_and_restart': kill_and_restart,
    'pause': pause,
    'cut_callers': _cut_links(lambda world, entry: ['callers']),
    'cut_workers': _cut_links(lambda world, entry: list(world.workers.by_id)),
    'cut_peers': _cut_links(lambda world, entry: list(world.entries)),
    'cut_platform': _cut_links(lambda world, entry: ['platform']),
    'cut_data_centre': _cut_links(
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
    'platform_slow': platform_slow,
    'table_answer_lost': table_answer_lost,
    'table_write_lost': table_write_lost,
    'table_write_late': table_write_late,
    'worker_dead': worker_dead,
    'worker_stalled': worker_stalled,
    'worker_leaving': worker_leaving,
    'worker_says_leaving': worker_says_leaving,
    'worker_fails_all': worker_fails_all,
    'caller_resubmits': caller_resubmits,
    'caller_cancels': caller_cancels,
    'caller_disconnects': caller_disconnects,
    'operators_race': operators_race,
    'clock_jumps': clock_jumps,
    'clock_jumps_back': clock_jumps_back,
    'peers_lossy': peers_lossy,
}
