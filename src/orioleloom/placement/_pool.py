"""Workers known to one entry instance and the choice among them."""

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
    """Worker that this instance has quarantined."""

    worker_id: str
    upstream: str
    n_consecutive_failures: int


class _WorkerRecord(typing.NamedTuple):
    """Everything the pool keeps about one worker."""

    worker: _worker.Worker
    health: _health.Health
    group: _group.Group


def home_slots(
    worker_id: str, slots: int, rank: int | None, n_entries: int
) -> int:
    """Return the number of home slots of a worker for one instance.

    The slots of each worker are divided among the entry instances by
    rank, starting at a rank that depends on a hash of the worker id. An
    instance may use its home slots without reserving any for others.

    :param rank: rank of the instance; ``None`` while it has no share
    :param n_entries: number of entry instances
    """
    if rank is None or n_entries <= 0:
        return 0
    first = zlib.crc32(worker_id.encode())
    return sum((first + j) % n_entries == rank for j in range(slots))


class WorkerPool:
    """State of all workers as seen by one instance; selects among them.

    The caller reports each task sent to a worker, and then exactly once
    how it ended: success, failure, rejection, cancellation, unknown
    outcome or refused connection.

    A worker is *usable* if it is live, not blocked by its health and
    runs fewer tasks of this instance than it has slots; after failures,
    or while its rack is suspect, it gets one task at a time. A usable
    worker is *open* if the policy considers a slot likely to be free or
    a trial task is due.

    :param instance_id: id of this instance
    :param policy: placement policy that selects among the workers
    :param random_state: random number generator for all random choices
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
        self._records: dict[str, _WorkerRecord] = {}
        self._groups: dict[str, _group.Group] = {}
        self._racks = _racks.Racks()
        self._failing_kinds = _kinds.FailingKinds()
        self._run_times = _speed.RunTimeModel()
        self._rank: int | None = None
        self._n_entries = 0
        self._rank_changed = False
        self._wakeups: list[tuple[float, str]] = []
        self._quarantine_notices: list[QuarantineNotice] = []

    def set_workers(
        self, members: typing.Iterable[model.Member], now_s: float
    ) -> None:
        """Replace the list of workers; a missing worker is removed.

        Estimates for workers that remain listed are kept. A removed
        worker with tasks in progress is dropped by a later call.
        """
        listed = set()
        for member in members:
            if member.role is model.Role.WORKER:
                listed.add(member.id)
                self._set_worker(member, now_s)
        for worker_id in sorted(self._records.keys() - listed):
            self._remove_worker(worker_id, now_s)
        for group in self._groups.values():
            group.invalidate_summary()

    def set_rank(self, rank: int | None, n_entries: int) -> None:
        """Set the rank that determines the home slots of this instance.

        The index of open workers is updated at the next choice.
        """
        self._rank = rank
        self._n_entries = n_entries
        for record in self._records.values():
            self._update_home_slots(record.worker)
        self._rank_changed = True

    def mark_leaving(self, worker_id: str) -> None:
        """Stop sending tasks to a worker that announced it is leaving."""
        record = self._records.get(worker_id)
        if record:
            record.worker.announced_leaving = True
            record.worker.live = False
            record.group.update_index(record.worker, False)
            record.group.invalidate_summary()

    def choose_worker(
        self,
        upstream: str,
        kind: str,
        declared_run_time_ms: float | None,
        n_waiting: int,
        now_s: float,
    ) -> str | None:
        """Select the worker on which to start one task now.

        :param n_waiting: tasks waiting for the upstream, including this one
        :returns: a worker id, or ``None`` to keep the task queued
        """
        self._process_wakeups(now_s)
        group = self._groups.get(upstream)
        if group is None:
            return None
        log_run_time_ms = self._run_times.expected_log_run_time_ms(
            kind, declared_run_time_ms
        )
        while True:
            worker = self.policy.pick(
                group, log_run_time_ms, n_waiting, now_s, self.random_state
            )
            if worker is None:
                return self._pick_probe(group, now_s)
            record = self._records[worker.id]
            if worker.index_position < 0 or self._is_open(record, now_s):
                return worker.id
            self._update_index(record, now_s)

    def record_start(self, worker_id: str, kind: str, now_s: float) -> None:
        """Record that a task was sent to a worker."""
        record = self._records.get(worker_id)
        if record:
            record.worker.count_start(now_s)
            record.group.add_to_batch(record.worker, now_s)
            if record.worker.n_in_batch == 1:
                self.policy.on_exchange_started()
            record.group.probe_at_s = math.inf
            record.health.on_started()
            self._update_index(record, now_s)

    def record_success(
        self,
        worker_id: str,
        kind: str,
        run_time_ms: float,
        elapsed_ms: float,
        free_slots: int,
        now_s: float,
        declared_run_time_ms: float | None = None,
    ) -> None:
        """Record a successful task and update the estimates from it.

        :param run_time_ms: run time that the worker measured
        :param elapsed_ms: time from sending the task to its result
        :param free_slots: free slots that the worker reported
        """
        record = self._release_slot(worker_id)
        if not record:
            return
        worker = record.worker
        self._run_times.observe(
            worker, kind, declared_run_time_ms, run_time_ms
        )
        record.group.update_mean_run_time(
            run_time_ms / math.exp(worker.log_factor)
        )
        worker.update_relaxation(elapsed_ms)
        worker.apply_report(free_slots, now_s)
        self.policy.on_success()
        record.group.probe_wait_s = _group.FIRST_PROBE_WAIT_S
        record.health.on_success()
        self._failing_kinds.record_success(kind)
        record.group.count_result()
        self._record_answer(record, now_s)
        self._update_index(record, now_s)

    def record_failure(
        self,
        worker_id: str,
        kind: str,
        elapsed_ms: float,
        free_slots: int,
        now_s: float,
    ) -> None:
        """Record a failed task; its run time is not used for estimates."""
        record = self._release_slot(worker_id)
        if not record:
            return
        record.worker.apply_report(free_slots, now_s)
        if self._failing_kinds.record_failure(kind, worker_id):
            record.health.on_answer()
        elif record.health.on_failure(now_s):
            self._quarantine(record, now_s, reported_by_peer=False)
        self._record_answer(record, now_s)
        self._update_index(record, now_s)

    def record_rejection(
        self, worker_id: str, free_slots: int, now_s: float
    ) -> None:
        """Record a task that the worker rejected for lack of a free slot."""
        record = self._release_slot(worker_id)
        if not record:
            return
        worker = record.worker
        if worker.count_rejection():
            self.policy.on_rejection(now_s)
        worker.apply_report(free_slots, now_s)
        worker.rejected_at_s = now_s
        record.health.on_answer()
        self._record_answer(record, now_s)
        self._update_index(record, now_s)

    def record_cancellation(
        self, worker_id: str, free_slots: int, now_s: float
    ) -> None:
        """Record a task that was stopped by a cancellation."""
        record = self._release_slot(worker_id)
        if not record:
            return
        record.worker.apply_report(free_slots, now_s)
        record.health.on_answer()
        self._record_answer(record, now_s)
        self._update_index(record, now_s)

    def record_unknown_outcome(self, worker_id: str, now_s: float) -> None:
        """Record a task whose outcome is unknown, as its exchange failed.

        Called once for each task of the exchange.
        """
        self._record_no_answer(worker_id, now_s)

    def record_connection_refused(self, worker_id: str, now_s: float) -> None:
        """Record a task whose connection was refused.

        Called once for each task of the exchange.
        """
        self._record_no_answer(worker_id, now_s)

    def apply_peer_quarantine(self, worker_id: str, now_s: float) -> None:
        """Apply a quarantine that a peer reported."""
        record = self._records.get(worker_id)
        if record:
            self._quarantine(record, now_s, reported_by_peer=True)
            self._update_index(record, now_s)

    def take_quarantine_notices(self) -> list[QuarantineNotice]:
        """Return and clear the quarantines started by this instance."""
        notices, self._quarantine_notices = self._quarantine_notices, []
        return notices

    def expected_run_time_ms(
        self, upstream: str, kind: str, declared_run_time_ms: float | None
    ) -> float:
        """Return the expected run time on a worker of average speed."""
        group = self._groups.get(upstream)
        log_run_time_ms = self._run_times.expected_log_run_time_ms(
            kind, declared_run_time_ms
        )
        return math.exp(
            log_run_time_ms + (group.mean_log_factor() if group else 0)
        )

    def fastest_run_time_ms(
        self, upstream: str, kind: str, declared_run_time_ms: float | None
    ) -> float:
        """Return the expected run time on the fastest live worker."""
        group = self._groups.get(upstream)
        if group is None:
            return math.inf
        log_run_time_ms = self._run_times.expected_log_run_time_ms(
            kind, declared_run_time_ms
        )
        return math.exp(log_run_time_ms + group.fastest_log_factor())

    def has_live_worker(self, upstream: str) -> bool:
        """Return whether the upstream has at least one live worker."""
        group = self._groups.get(upstream)
        return group is not None and any(
            w.live for w in group.workers.values()
        )

    def estimate_free_slots(
        self, upstream: str, now_s: float, at_most: int
    ) -> int:
        """Estimate the number of free slots from the last reports.

        :param at_most: upper limit of the result, at which counting stops,
            since counting 22,000 workers in full takes 14 ms
        """
        self._process_wakeups(now_s)
        group = self._groups.get(upstream)
        if group is None:
            return 0
        n_free_slots = 0
        for worker in group.iterate_open():
            n_spare = (
                worker.slots
                - worker.outstanding
                - round(worker.used_by_others)
            )
            n_free_slots += max(1, n_spare)
            if n_free_slots >= at_most:
                return at_most
        return n_free_slots

    def next_wakeup_at_s(self) -> float:
        """Return the next time at which a worker may open without an event.

        Infinite if workers only open in response to events.
        """
        return min(
            self._next_worker_wakeup_at_s(),
            min(
                (g.probe_at_s for g in self._groups.values()), default=math.inf
            ),
        )

    def _next_worker_wakeup_at_s(self) -> float:
        while self._wakeups:
            at_s, worker_id = self._wakeups[0]
            record = self._records.get(worker_id)
            if record and record.worker.wake_at_s == at_s:
                return at_s
            heapq.heappop(self._wakeups)
        return math.inf

    def _pick_probe(self, group: _group.Group, now_s: float) -> str | None:
        """Return a worker to probe if no report is on its way.

        With no task in progress and no open worker, no new report can
        arrive. A task is then sent to a worker that is probably full,
        after an exponentially growing wait.
        """
        if group.n_running or group.n_open:
            group.probe_at_s = math.inf
            return None
        if now_s < group.probe_at_s < math.inf:
            return None
        usable = [
            w
            for w in group.workers.values()
            if self._is_usable(self._records[w.id], now_s)
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
        return max(usable, key=lambda w: w.free_slot_z_score(now_s)).id

    def state(self) -> dict[str, typing.Any]:
        """Return the state of each worker for the state dump."""
        return {
            'rank': self._rank,
            'n_entries': self._n_entries,
            'workers': {
                record.worker.id: {
                    'upstream': record.worker.upstream,
                    'live': record.worker.live,
                    'slots': record.worker.slots,
                    'home': record.worker.n_home_slots,
                    'outstanding': record.worker.outstanding,
                    'relative_run_time': math.exp(record.worker.log_factor),
                    'condition': str(record.health.condition),
                }
                for record in self._records.values()
            },
        }

    def _set_worker(self, member: model.Member, now_s: float) -> None:
        record = self._records.get(member.id)
        if record is None:
            record = self._add_worker(member)
        worker = record.worker
        worker.update_member(member)
        if worker.rack != member.rack:
            self._racks.set_rack(worker, member.rack)
        self._update_home_slots(worker)
        self._update_index(record, now_s)

    def _add_worker(self, member: model.Member) -> _WorkerRecord:
        group = self._groups.setdefault(member.upstream, _group.Group())
        worker = _worker.Worker(member.id, member.upstream)
        worker.log_factor = group.mean_log_factor()
        group.workers[member.id] = worker
        health = _health.Health(self.random_state)
        record = self._records[member.id] = _WorkerRecord(
            worker, health, group
        )
        return record

    def _update_home_slots(self, worker: _worker.Worker) -> None:
        worker.n_home_slots = home_slots(
            worker.id, worker.slots, self._rank, self._n_entries
        )

    def _remove_worker(self, worker_id: str, now_s: float) -> None:
        record = self._records[worker_id]
        record.worker.live = record.worker.announced_leaving = False
        record.group.update_index(record.worker, False)
        if record.worker.outstanding == 0:
            self._racks.set_rack(record.worker, '')
            del record.group.workers[worker_id]
            del self._records[worker_id]

    def _release_slot(self, worker_id: str) -> _WorkerRecord | None:
        """Release the slot of a task that ended.

        Returns ``None`` if no task is in progress on the worker.
        """
        record = self._records.get(worker_id)
        if record is None or record.worker.outstanding == 0:
            return None
        record.worker.outstanding -= 1
        return record

    def _record_no_answer(self, worker_id: str, now_s: float) -> None:
        record = self._release_slot(worker_id)
        if not record:
            return
        health = record.health
        # All tasks of an exchange fail together; only the first of them
        # extends the backoff.
        usable = health.condition is _health.Condition.USABLE
        if usable or health.trial_running:
            condition = health.condition
            if usable:
                condition = _health.Condition.AVOIDED
            health.block(condition, now_s)
        self._racks.set_reachable(record.worker, False)
        self._update_rack_index(record.worker.rack, now_s)
        self._update_index(record, now_s)

    def _record_answer(self, record: _WorkerRecord, now_s: float) -> None:
        if self._racks.set_reachable(record.worker, True):
            self._update_rack_index(record.worker.rack, now_s)

    def _update_rack_index(self, rack: str, now_s: float) -> None:
        for worker in self._racks.workers(rack):
            self._update_index(self._records[worker.id], now_s)

    def _quarantine(
        self, record: _WorkerRecord, now_s: float, reported_by_peer: bool
    ) -> None:
        health = record.health
        if health.condition is _health.Condition.QUARANTINED:
            return
        if not self._may_quarantine(record):
            return
        health.block(
            _health.Condition.QUARANTINED,
            now_s,
            backoff_factor=2 if reported_by_peer else 1,
        )
        if not reported_by_peer:
            self._quarantine_notices.append(
                QuarantineNotice(
                    record.worker.id,
                    record.worker.upstream,
                    health.n_consecutive_failures,
                )
            )

    def _may_quarantine(self, record: _WorkerRecord) -> bool:
        workers = [w for w in record.group.workers.values() if w.live]
        n_quarantined = sum(
            self._records[w.id].health.condition
            is _health.Condition.QUARANTINED
            for w in workers
        )
        if n_quarantined + 1 <= max(1, len(workers) // 3):
            return True
        # Once a third of the workers is quarantined, more are added only
        # if they fail every task while another worker succeeds. Otherwise
        # the tasks are the likely cause, not the workers.
        return record.health.has_only_failures() and any(
            self._records[w.id].health.last_succeeded() for w in workers
        )

    def _is_open(self, record: _WorkerRecord, now_s: float) -> bool:
        if not self._is_usable(record, now_s):
            return False
        if record.health.condition is not _health.Condition.USABLE:
            # A trial task is due regardless of the last report.
            return True
        return self.policy.is_likely_free(record.worker, now_s)

    def _is_usable(self, record: _WorkerRecord, now_s: float) -> bool:
        worker = record.worker
        if not worker.live or worker.outstanding >= worker.slots:
            return False
        if not record.health.may_start(now_s):
            return False
        if worker.outstanding and (
            record.health.n_consecutive_failures
            or self._racks.is_rack_suspect(worker)
        ):
            return False
        return True

    def _update_index(self, record: _WorkerRecord, now_s: float) -> None:
        """Update the index of open workers after a change of a worker."""
        is_open = self._is_open(record, now_s)
        record.worker.usable = self._is_usable(record, now_s)
        record.group.update_index(record.worker, is_open)
        if not is_open and record.worker.live:
            self._schedule_wakeup(record, now_s)

    def _schedule_wakeup(self, record: _WorkerRecord, now_s: float) -> None:
        health = record.health
        if health.condition is _health.Condition.USABLE:
            at_s = self.policy.recheck_at_s(record.worker, now_s)
        elif health.trial_running:
            return
        else:
            at_s = health.trial_at_s
        # A wake-up that is not in the future would make the caller busy-wait.
        at_s = max(at_s, now_s + 0.0005)
        wake_at_s = record.worker.wake_at_s
        if at_s < math.inf and not now_s < wake_at_s <= at_s:
            record.worker.wake_at_s = at_s
            heapq.heappush(self._wakeups, (at_s, record.worker.id))

    def _process_wakeups(self, now_s: float) -> None:
        if self._rank_changed:
            self._rank_changed = False
            for record in self._records.values():
                self._update_index(record, now_s)
        while self._wakeups and self._wakeups[0][0] <= now_s:
            at_s, worker_id = heapq.heappop(self._wakeups)
            record = self._records.get(worker_id)
            if record and record.worker.wake_at_s == at_s:
                record.worker.wake_at_s = math.inf
                self._update_index(record, now_s)
