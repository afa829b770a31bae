"""Placement of tasks on workers by one instance."""

import heapq
import math
import random
import typing
import zlib

from orioleloom import model
from orioleloom.placement import _group
from orioleloom.placement import _health
from orioleloom.placement import _kinds
from orioleloom.placement import _policies
from orioleloom.placement import _racks
from orioleloom.placement import _speed
from orioleloom.placement import _worker


class QuarantineNotice(typing.NamedTuple):
    """A worker that this instance put in quarantine."""

    worker_id: str
    upstream: str
    n_failures_in_row: int


class _Entry(typing.NamedTuple):
    worker: _worker.Worker
    health: _health.Health
    group: _group.Group


def home_slots(
    worker_id: str, slots: int, rank: int | None, n_entries: int
) -> int:
    """Return how many slots of a worker belong to the instance of a rank."""
    if rank is None or n_entries <= 0:
        return 0
    first = zlib.crc32(worker_id.encode())
    return sum((first + j) % n_entries == rank for j in range(slots))


class WorkerPool:
    """Workers as one instance knows them, and the choice among them.

    Each started task ends with exactly one call of ``finished``,
    ``failed``, ``rejected``, ``unknown`` or ``unreachable``.

    :param instance_id: id of this instance
    :param policy: rule that chooses among workers
    :param random_state: source of every random choice
    """

    def __init__(
        self,
        *,
        instance_id: str,
        policy: _policies.Policy,
        random_state: random.Random,
    ) -> None:
        self.instance_id = instance_id
        self.policy = policy
        self.random_state = random_state
        self._entries: dict[str, _Entry] = {}
        self._groups: dict[str, _group.Group] = {}
        self._racks = _racks.Racks()
        self._failing_kinds = _kinds.FailingKinds()
        self._run_times = _speed.RunTimeModel()
        self._rank: int | None = None
        self._n_entries = 0
        self._rank_changed = False
        self._wakeups: list[tuple[float, str]] = []
        self._notices: list[QuarantineNotice] = []

    def set_workers(
        self, members: typing.Iterable[model.Member], now_s: float
    ) -> None:
        """Apply the whole list of workers; an absent one is gone.

        What was learnt of a worker that stays is kept.
        """
        listed = set()
        for member in members:
            if member.role is model.Role.WORKER:
                listed.add(member.id)
                self._set_worker(member, now_s)
        for worker_id in sorted(self._entries.keys() - listed):
            self._remove(worker_id, now_s)
        for group in self._groups.values():
            group.changed()

    def set_rank(self, rank: int | None, n_entries: int) -> None:
        """Set the rank that determines the home share.

        It takes effect with the next ``choose``.
        """
        self._rank = rank
        self._n_entries = n_entries
        for entry in self._entries.values():
            self._set_home(entry.worker)
        self._rank_changed = True

    def set_leaving(self, worker_id: str) -> None:
        """Start nothing more on a worker."""
        entry = self._entries.get(worker_id)
        if entry:
            entry.worker.said_leaving = True
            entry.worker.live = False
            entry.group.place(entry.worker, False)
            entry.group.changed()

    def choose(
        self,
        upstream: str,
        kind: str,
        declared_run_time_ms: float | None,
        n_waiting: int,
        now_s: float,
    ) -> str | None:
        """Choose the worker to start one task on now.

        :param n_waiting: tasks waiting for the upstream, this one included
        :returns: a worker id, or ``None`` to keep the task queued
        """
        self._wake(now_s)
        group = self._groups.get(upstream)
        if group is None:
            return None
        log_ms = self._run_times.log_ms(kind, declared_run_time_ms)
        while True:
            worker = self.policy.pick(
                group, log_ms, n_waiting, now_s, self.random_state
            )
            if worker is None:
                return self._probe(group, now_s)
            entry = self._entries[worker.id]
            if worker.position < 0 or self._is_open(entry, now_s):
                return worker.id
            self._refresh(entry, now_s)

    def started(self, worker_id: str, kind: str, now_s: float) -> None:
        """Record that a task is sent to a worker."""
        entry = self._entries.get(worker_id)
        if entry:
            entry.worker.start(now_s)
            entry.group.join_batch(entry.worker, now_s)
            if entry.worker.n_in_batch == 1:
                self.policy.exchange_started()
            entry.group.probe_at_s = math.inf
            entry.health.on_started()
            self._refresh(entry, now_s)

    def finished(
        self,
        worker_id: str,
        kind: str,
        run_time_ms: float,
        elapsed_ms: float,
        free_slots: int,
        now_s: float,
        declared_run_time_ms: float | None = None,
    ) -> None:
        """Record a success."""
        entry = self._end(worker_id)
        if not entry:
            return
        worker = entry.worker
        self._run_times.observe(
            worker, kind, declared_run_time_ms, run_time_ms
        )
        entry.group.learn_mean(run_time_ms / math.exp(worker.log_factor))
        worker.learn_relaxation(elapsed_ms)
        worker.report(free_slots, now_s)
        self.policy.succeeded()
        entry.group.probe_wait_s = _group.FIRST_PROBE_WAIT_S
        entry.health.on_success()
        self._failing_kinds.succeeded(kind)
        entry.group.learnt()
        self._reachable(entry, now_s)
        self._refresh(entry, now_s)

    def failed(
        self,
        worker_id: str,
        kind: str,
        elapsed_ms: float,
        free_slots: int,
        now_s: float,
    ) -> None:
        """Record a failed task; its run time is not learnt."""
        entry = self._end(worker_id)
        if not entry:
            return
        entry.worker.report(free_slots, now_s)
        if self._failing_kinds.failed(kind, worker_id):
            entry.health.on_answer()
        elif entry.health.on_failure(now_s):
            self._quarantine(entry, now_s, told=False)
        self._reachable(entry, now_s)
        self._refresh(entry, now_s)

    def rejected(self, worker_id: str, free_slots: int, now_s: float) -> None:
        """Record that a task did not start for lack of a slot."""
        entry = self._end(worker_id)
        if not entry:
            return
        worker = entry.worker
        if worker.reject():
            self.policy.rejected(now_s)
        worker.report(free_slots, now_s)
        worker.rejected_at_s = now_s
        entry.health.on_answer()
        self._reachable(entry, now_s)
        self._refresh(entry, now_s)

    def stopped(self, worker_id: str, free_slots: int, now_s: float) -> None:
        """Record a task that was stopped by a cancel."""
        entry = self._end(worker_id)
        if not entry:
            return
        entry.worker.report(free_slots, now_s)
        entry.health.on_answer()
        self._reachable(entry, now_s)
        self._refresh(entry, now_s)

    def unknown(self, worker_id: str, now_s: float) -> None:
        """Record a task sent in an exchange that broke; one call a task."""
        self._no_answer(worker_id, now_s)

    def unreachable(self, worker_id: str, now_s: float) -> None:
        """Record a task whose connection was refused; one call a task."""
        self._no_answer(worker_id, now_s)

    def quarantine(self, worker_id: str, now_s: float) -> None:
        """Take over a quarantine that a peer reports."""
        entry = self._entries.get(worker_id)
        if entry:
            self._quarantine(entry, now_s, told=True)
            self._refresh(entry, now_s)

    def take_notices(self) -> list[QuarantineNotice]:
        """Return quarantines begun here since the last call."""
        notices, self._notices = self._notices, []
        return notices

    def expected_run_time_ms(
        self, upstream: str, kind: str, declared_run_time_ms: float | None
    ) -> float:
        """Return the expected run time on a typical worker."""
        group = self._groups.get(upstream)
        log_ms = self._run_times.log_ms(kind, declared_run_time_ms)
        return math.exp(log_ms + (group.typical_log_factor() if group else 0))

    def fastest_run_time_ms(
        self, upstream: str, kind: str, declared_run_time_ms: float | None
    ) -> float:
        """Return the expected run time on the fastest live worker."""
        group = self._groups.get(upstream)
        if group is None:
            return math.inf
        log_ms = self._run_times.log_ms(kind, declared_run_time_ms)
        return math.exp(log_ms + group.fastest_log_factor())

    def has_upstream(self, upstream: str) -> bool:
        """Tell whether a live worker of the upstream is listed."""
        group = self._groups.get(upstream)
        return group is not None and any(
            w.live for w in group.workers.values()
        )

    def free_slots(self, upstream: str, now_s: float, at_most: int) -> int:
        """Return how many slots are believed free by the last reports.

        :param at_most: the count stops here; over 22,000 workers a whole
            count takes 14 ms
        """
        self._wake(now_s)
        group = self._groups.get(upstream)
        if group is None:
            return 0
        n_free = 0
        for worker in group.iterate_open():
            spare = worker.slots - worker.outstanding - round(worker.others)
            n_free += max(1, spare)
            if n_free >= at_most:
                return at_most
        return n_free

    def next_change_at_s(self) -> float:
        """Return when a closed worker may open without an event."""
        return min(
            self._next_wakeup_s(),
            min(
                (g.probe_at_s for g in self._groups.values()), default=math.inf
            ),
        )

    def _next_wakeup_s(self) -> float:
        while self._wakeups:
            at_s, worker_id = self._wakeups[0]
            entry = self._entries.get(worker_id)
            if entry and entry.worker.wake_at_s == at_s:
                return at_s
            heapq.heappop(self._wakeups)
        return math.inf

    def _probe(self, group: _group.Group, now_s: float) -> str | None:
        """Try a worker believed full when no event could free a slot.

        Without a task in progress no report arrives, so a task must be
        tried now and then whatever the last reports say.
        """
        if group.n_running or group.n_open:
            group.probe_at_s = math.inf
            return None
        if now_s < group.probe_at_s < math.inf:
            return None
        usable = [
            w
            for w in group.workers.values()
            if self._is_usable(self._entries[w.id], now_s)
        ]
        if not usable:
            group.probe_at_s = math.inf
            return None
        if group.probe_at_s == math.inf:
            group.probe_at_s = now_s + group.probe_wait_s
            return None
        group.probe_at_s = math.inf
        group.probe_wait_s = min(
            _group.MAX_PROBE_WAIT_S, 2.0 * group.probe_wait_s
        )
        return max(usable, key=lambda w: w.free_score(now_s)).id

    def state(self) -> dict[str, typing.Any]:
        """Return what is known of each worker, for the state dump."""
        return {
            'rank': self._rank,
            'n_entries': self._n_entries,
            'workers': {
                entry.worker.id: {
                    'upstream': entry.worker.upstream,
                    'live': entry.worker.live,
                    'slots': entry.worker.slots,
                    'home': entry.worker.home,
                    'outstanding': entry.worker.outstanding,
                    'relative_run_time': math.exp(entry.worker.log_factor),
                    'condition': str(entry.health.condition),
                }
                for entry in self._entries.values()
            },
        }

    def _set_worker(self, member: model.Member, now_s: float) -> None:
        entry = self._entries.get(member.id)
        if entry is None:
            entry = self._add(member)
        worker = entry.worker
        worker.set_listed(member)
        if worker.rack != member.rack:
            self._racks.move(worker, member.rack)
        self._set_home(worker)
        self._refresh(entry, now_s)

    def _add(self, member: model.Member) -> _Entry:
        group = self._groups.setdefault(member.upstream, _group.Group())
        worker = _worker.Worker(member.id, member.upstream)
        worker.log_factor = group.typical_log_factor()
        group.workers[member.id] = worker
        health = _health.Health(self.random_state)
        entry = self._entries[member.id] = _Entry(worker, health, group)
        return entry

    def _set_home(self, worker: _worker.Worker) -> None:
        worker.home = home_slots(
            worker.id, worker.slots, self._rank, self._n_entries
        )

    def _remove(self, worker_id: str, now_s: float) -> None:
        entry = self._entries[worker_id]
        entry.worker.live = entry.worker.said_leaving = False
        entry.group.place(entry.worker, False)
        if entry.worker.outstanding == 0:
            self._racks.move(entry.worker, '')
            del entry.group.workers[worker_id]
            del self._entries[worker_id]

    def _end(self, worker_id: str) -> _Entry | None:
        """Give back the slot of a task; ignore an unexpected end."""
        entry = self._entries.get(worker_id)
        if entry is None or entry.worker.outstanding == 0:
            return None
        entry.worker.outstanding -= 1
        return entry

    def _no_answer(self, worker_id: str, now_s: float) -> None:
        entry = self._end(worker_id)
        if not entry:
            return
        health = entry.health
        # All tasks of one exchange end together; only the first of them
        # extends the backoff.
        usable = health.condition is _health.Condition.USABLE
        if usable or health.trial_running:
            condition = health.condition
            if usable:
                condition = _health.Condition.AVOIDED
            health.block(condition, now_s)
        self._racks.set_reachable(entry.worker, False)
        self._refresh_rack(entry.worker.rack, now_s)
        self._refresh(entry, now_s)

    def _reachable(self, entry: _Entry, now_s: float) -> None:
        if self._racks.set_reachable(entry.worker, True):
            self._refresh_rack(entry.worker.rack, now_s)

    def _refresh_rack(self, rack: str, now_s: float) -> None:
        for worker in self._racks.members(rack):
            self._refresh(self._entries[worker.id], now_s)

    def _quarantine(self, entry: _Entry, now_s: float, told: bool) -> None:
        health = entry.health
        if health.condition is _health.Condition.QUARANTINED:
            return
        if not self._may_quarantine(entry):
            return
        health.block(
            _health.Condition.QUARANTINED, now_s, n_backoffs=2 if told else 1
        )
        if not told:
            self._notices.append(
                QuarantineNotice(
                    entry.worker.id,
                    entry.worker.upstream,
                    health.n_failures_in_row,
                )
            )

    def _may_quarantine(self, entry: _Entry) -> bool:
        workers = [w for w in entry.group.workers.values() if w.live]
        n_quarantined = sum(
            self._entries[w.id].health.condition
            is _health.Condition.QUARANTINED
            for w in workers
        )
        if n_quarantined + 1 <= max(1, len(workers) // 3):
            return True
        # Beyond a third, only a worker that fails everything while another
        # one succeeds; otherwise the tasks are at fault, not the workers.
        return entry.health.failed_everything() and any(
            self._entries[w.id].health.is_succeeding() for w in workers
        )

    def _is_open(self, entry: _Entry, now_s: float) -> bool:
        if not self._is_usable(entry, now_s):
            return False
        if entry.health.condition is not _health.Condition.USABLE:
            # A trial is due whatever the last report said.
            return True
        return self.policy.believes_free(entry.worker, now_s)

    def _is_usable(self, entry: _Entry, now_s: float) -> bool:
        worker = entry.worker
        if not worker.live or worker.outstanding >= worker.slots:
            return False
        if not entry.health.may_start(now_s):
            return False
        if worker.outstanding and (
            entry.health.n_failures_in_row or self._racks.is_doubtful(worker)
        ):
            return False
        return True

    def _refresh(self, entry: _Entry, now_s: float) -> None:
        """Bring the index up to date with what is known of a worker."""
        is_open = self._is_open(entry, now_s)
        entry.worker.usable = self._is_usable(entry, now_s)
        entry.group.place(entry.worker, is_open)
        if not is_open and entry.worker.live:
            self._set_wakeup(entry, now_s)

    def _set_wakeup(self, entry: _Entry, now_s: float) -> None:
        health = entry.health
        if health.condition is _health.Condition.USABLE:
            at_s = self.policy.free_again_at_s(entry.worker, now_s)
        elif health.trial_running:
            return
        else:
            at_s = health.trial_at_s
        at_s = max(at_s, now_s + 0.0005)
        wake_at_s = entry.worker.wake_at_s
        if at_s < math.inf and not now_s < wake_at_s <= at_s:
            entry.worker.wake_at_s = at_s
            heapq.heappush(self._wakeups, (at_s, entry.worker.id))

    def _wake(self, now_s: float) -> None:
        if self._rank_changed:
            self._rank_changed = False
            for entry in self._entries.values():
                self._refresh(entry, now_s)
        while self._wakeups and self._wakeups[0][0] <= now_s:
            at_s, worker_id = heapq.heappop(self._wakeups)
            entry = self._entries.get(worker_id)
            if entry and entry.worker.wake_at_s == at_s:
                entry.worker.wake_at_s = math.inf
                self._refresh(entry, now_s)
