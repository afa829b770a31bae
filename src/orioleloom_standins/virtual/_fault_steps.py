from orioleloom import model
from orioleloom_standins.virtual._entry import Entry
from orioleloom_standins.virtual._world import World

FAULT_DURATIONS_S = (0.3, 2.5, 7.0)
CLOCK_JUMPS_S = (-100.0, -1.0, 1.0, 100.0)

# Only these workers may leave; the others can then finish every job.
_WORKERS_THAT_MAY_LEAVE = ('w0', 'w1')


class FaultSteps:
    """Steps of a history that inject faults.

    Each step takes three numbers that select its target and variant.

    :param world: world in which the faults are injected
    """

    def __init__(self, world: World):
        self.world = world

    def _select_entry(self, number: int) -> Entry:
        entries = list(self.world.entries.values())
        return entries[number % len(entries)]

    def _disable_share_check(self) -> None:
        """Disable the check of shares for the rest of the history.

        After such a fault the instances may have different member lists,
        clocks or contracts, and the limit only holds approximately.
        """
        self.world.watch.limits.clear()

    # Processes

    def kill(self, a: int, b: int, c: int) -> None:
        """Kill a process and, for odd ``b``, remove it from the list."""
        entry = self._select_entry(a)
        if entry.alive:
            self._disable_share_check()
            self.world.kill(entry)
            if b % 2:
                self.world.processes.unlist(entry)

    def restart(self, a: int, b: int, c: int) -> None:
        """Restart a process that is not running."""
        entry = self._select_entry(a)
        if not entry.alive:
            self._restart(entry)

    def _restart(self, entry: Entry) -> None:
        self.world.platform.list_member(entry.member())
        self.world.start(entry)

    def pause(self, a: int, b: int, c: int) -> None:
        """Pause a process temporarily."""
        self._disable_share_check()
        self.world.processes.pause(
            self._select_entry(a),
            FAULT_DURATIONS_S[b % len(FAULT_DURATIONS_S)],
        )

    def stop(self, a: int, b: int, c: int) -> None:
        """Begin a planned stop of a process."""
        entry = self._select_entry(a)
        if entry.alive and not entry.paused and not entry.core.core.stopping:
            self._disable_share_check()
            self.world.processes.stop(entry)

    def jump_clock(self, a: int, b: int, c: int) -> None:
        """Shift the clock of a process."""
        self._disable_share_check()
        jump_s = CLOCK_JUMPS_S[b % len(CLOCK_JUMPS_S)]
        self._select_entry(a).clock_offset_s += jump_s

    # Network, platform and workers

    def cut(self, a: int, b: int, c: int) -> None:
        """Partition an instance from one kind of component."""
        entry = self._select_entry(a)
        world = self.world
        others = [
            ['callers'],
            ['platform'],
            [e for e in world.entries if e != entry.id],
            [list(world.workers.by_id)[c % len(world.workers.by_id)]],
            list(world.workers.by_id),
        ][b % 5]
        world.network.cut |= {frozenset((entry.id, o)) for o in others}

    def heal(self, a: int, b: int, c: int) -> None:
        """Remove all network faults."""
        network = self.world.network
        network.cut.clear()
        network.peer_loss = network.peer_duplicates = 0.0
        network.line_duplicates = 0.0

    def lose_messages(self, a: int, b: int, c: int) -> None:
        """Lose peer messages, and duplicate them and result lines."""
        network = self.world.network
        network.peer_loss = (0.0, 0.3, 0.8)[a % 3]
        network.peer_duplicates = (0.0, 0.5)[b % 2]
        network.line_duplicates = (0.0, 0.5)[c % 2]

    def outage(self, a: int, b: int, c: int) -> None:
        """Make the platform unavailable or slow."""
        until_s = (
            self.world.now_s + FAULT_DURATIONS_S[a % len(FAULT_DURATIONS_S)]
        )
        if b % 2:
            self.world.platform.unavailable_until_s = until_s
        else:
            self.world.platform.slow_until_s = until_s

    def fail_writes(self, a: int, b: int, c: int) -> None:
        """Lose the answers of table writes, or lose or delay the writes."""
        name = ('lose_answers', 'lose_writes', 'delay_writes')[a % 3]
        setattr(self.world.platform, name, 1 + b % 2)

    def fail_worker(self, a: int, b: int, c: int) -> None:
        """Start a fault of a worker, or revive a dead one."""
        workers = self.world.workers
        worker_id = list(workers.by_id)[a % len(workers.by_id)]
        worker = workers.by_id[worker_id]
        duration_s = FAULT_DURATIONS_S[c % len(FAULT_DURATIONS_S)]
        match b % 6:
            case 0:
                workers.kill(worker_id)
            case 1:
                workers.dead.discard(worker_id)
            case 2:
                workers.stalled.add(worker_id)
            case 3:
                worker.set_fault(
                    'fail_all', self.world.now_s, duration_s=duration_s
                )
            case 4 if worker_id in _WORKERS_THAT_MAY_LEAVE:
                spec = workers.specs[worker_id]
                self.world.platform.list_member(
                    spec.member(model.MemberState.LEAVING)
                )
            case 5 if worker_id in _WORKERS_THAT_MAY_LEAVE:
                worker.set_fault('leave', self.world.now_s, duration_s=1e9)
