import typing

from orioleloom.dispatch import _records

# Number of crashes under one task after which it is not started again.
MAX_CRASHES = 2
# After a crash under a suspect, which ran alone, no other suspect of its queue
# is started for as long as a crashed worker takes to return. One such crash
# is allowed for each group of this many workers.
_TRIAL_PAUSE_S = 3.0
_WORKERS_PER_TRIAL = 24
# How long a crash counts. Callers submit a job again for some seconds.
_RETENTION_S = 60.0
# Maximum number of crashes that are kept; the oldest are dropped.
_MAX_CRASHES_KEPT = 2_000


class CrashRecord(typing.NamedTuple):
    """A crash of a worker under one task, for another dispatcher.

    :param worker_id: the worker that crashed
    :param life: its incarnation; 0 if unknown
    :param is_proven: the worker has a new incarnation or was replaced
    :param age_s: time since the crash, in seconds
    """

    key: _records.TaskKey
    worker_id: str
    life: int
    address: str
    is_proven: bool
    age_s: float


class _Crash:
    __slots__ = (
        'address',
        'crashed_s',
        'is_proven',
        'keys',
        'life',
        'worker_id',
    )

    def __init__(
        self, worker_id: str, life: int, address: str, crashed_s: float
    ):
        self.worker_id = worker_id
        self.life = life
        self.address = address
        self.crashed_s = crashed_s
        self.is_proven = False
        self.keys: set[_records.TaskKey] = set()


class CrashLedger:
    """Counts the crashes of workers under each task.

    All tasks that ran on a worker when it crashed are suspects: which of them
    is the cause is not known. A crash is probable when the worker has closed
    its connections and its lease has ended, and proven when the worker has a
    new incarnation or was replaced. It is refuted when the worker answers in
    the same incarnation; a network partition had reset its connections.
    """

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, int], _Crash] = {}
        self._by_task: dict[_records.TaskKey, list[_Crash]] = {}
        self._suspects_by_job: dict[str, set[_records.TaskKey]] = {}
        # Refuted crashes and cleared tasks, which records of another
        # dispatcher may still contain, and when they were removed.
        self._refuted_s: dict[tuple[str, int], float] = {}
        self._cleared_s: dict[_records.TaskKey, float] = {}
        self._changed_job_ids: set[str] = set()
        # When workers closed their connections while they ran a suspect, by
        # queue.
        self._failed_trials_s: dict[str, list[float]] = {}

    def __bool__(self) -> bool:
        return bool(self._by_task)

    def __len__(self) -> int:
        return len(self._by_task)

    # Evidence

    def record(
        self,
        worker: _records.WorkerInfo,
        keys: typing.Iterable[_records.TaskKey],
        now_s: float,
    ) -> None:
        """Record that a worker has probably crashed under some tasks."""
        crash = self._get_or_add(worker.id, worker.life, worker.address, now_s)
        for key in keys:
            self._cleared_s.pop(key, None)
            self._add_task(crash, key)

    def _get_or_add(
        self, worker_id: str, life: int, address: str, crashed_s: float
    ) -> _Crash:
        crash = self._crashes.get((worker_id, life))
        if crash is None:
            crash = _Crash(worker_id, life, address, crashed_s)
            self._crashes[worker_id, life] = crash
        return crash

    def _add_task(self, crash: _Crash, key: _records.TaskKey) -> None:
        if key in crash.keys:
            return
        crash.keys.add(key)
        self._by_task.setdefault(key, []).append(crash)
        self._suspects_by_job.setdefault(key.job_id, set()).add(key)
        self._changed_job_ids.add(key.job_id)

    def _remove_task(self, crash: _Crash, key: _records.TaskKey) -> None:
        crash.keys.discard(key)
        crashes = self._by_task[key]
        crashes.remove(crash)
        if not crashes:
            del self._by_task[key]
            suspects = self._suspects_by_job[key.job_id]
            suspects.discard(key)
            if not suspects:
                del self._suspects_by_job[key.job_id]
        self._changed_job_ids.add(key.job_id)

    def _remove(self, crash: _Crash) -> None:
        del self._crashes[crash.worker_id, crash.life]
        for key in list(crash.keys):
            self._remove_task(crash, key)

    def refute(
        self, worker_id: str, life: int, now_s: float
    ) -> list[_records.TaskKey]:
        """Remove a crash, since the worker answers in the same incarnation.

        :returns: the tasks that were suspected
        """
        crash = self._crashes.get((worker_id, life))
        if crash is None or crash.is_proven:
            return []
        keys = sorted(crash.keys)
        self._remove(crash)
        self._refuted_s[worker_id, life] = now_s
        return keys

    def prove_restart(
        self, worker_id: str, life: int
    ) -> list[_records.TaskKey]:
        """Prove the crashes of all earlier incarnations of a worker.

        :returns: the suspects of crashes that were not proven before
        """
        return self._prove(
            crash
            for crash in self._crashes.values()
            if crash.worker_id == worker_id and 0 < crash.life < life
        )

    def prove_replacement(
        self, address: str, new_worker_id: str
    ) -> list[_records.TaskKey]:
        """Prove the crashes of all other workers that had an address.

        :param new_worker_id: the worker that now has the address, or empty if
            it is not known
        :returns: the suspects of crashes that were not proven before
        """
        return self._prove(
            crash
            for crash in self._crashes.values()
            if crash.address == address and crash.worker_id != new_worker_id
        )

    def _prove(
        self, crashes: typing.Iterable[_Crash]
    ) -> list[_records.TaskKey]:
        keys: set[_records.TaskKey] = set()
        for crash in crashes:
            if not crash.is_proven:
                crash.is_proven = True
                keys |= crash.keys
        self._changed_job_ids.update(key.job_id for key in keys)
        return sorted(keys)

    def clear(self, key: _records.TaskKey, now_s: float) -> None:
        """Remove a task, one of whose runs has ended on a sound worker."""
        for crash in list(self._by_task.get(key, ())):
            self._remove_task(crash, key)
            self._cleared_s[key] = now_s

    # Decisions

    def record_failed_trial(self, queue: str, now_s: float) -> None:
        """Record that a worker that runs a suspect closes connections."""
        self._failed_trials_s.setdefault(queue, []).append(now_s)

    def paused_queues(self, n_workers: int, now_s: float) -> set[str]:
        """Return the queues whose suspects must wait."""
        paused = set()
        for queue, times_s in list(self._failed_trials_s.items()):
            recent_s = [t for t in times_s if now_s - t < _TRIAL_PAUSE_S]
            if recent_s:
                self._failed_trials_s[queue] = recent_s
            else:
                del self._failed_trials_s[queue]
            if len(recent_s) >= max(1, n_workers // _WORKERS_PER_TRIAL):
                paused.add(queue)
        return paused

    def is_suspect(self, key: _records.TaskKey) -> bool:
        """Return whether a worker has crashed under a task."""
        return key in self._by_task

    def has_suspects(self, job_id: str) -> bool:
        """Return whether a worker has crashed under a task of a job."""
        return job_id in self._suspects_by_job

    def is_blocked(self, job_id: str) -> bool:
        """Return whether a job has a task that must not start again."""
        suspects = self._suspects_by_job.get(job_id)
        return suspects is not None and any(
            len(self._by_task[key]) >= MAX_CRASHES for key in suspects
        )

    def blocked_job_ids(self) -> list[str]:
        """Return the jobs with a task that must not start again."""
        return [
            job_id
            for job_id in self._suspects_by_job
            if self.is_blocked(job_id)
        ]

    def is_condemned(self, job_id: str) -> bool:
        """Return whether all crashes that block a job are proven."""
        return any(
            sum(crash.is_proven for crash in self._by_task[key]) >= MAX_CRASHES
            for key in self._suspects_by_job.get(job_id, ())
        )

    def reason(self, job_id: str) -> str:
        """Return which task of a blocked job crashed which workers."""
        key, crashes = max(
            (
                (key, self._by_task[key])
                for key in sorted(self._suspects_by_job[job_id])
            ),
            key=lambda item: (
                sum(crash.is_proven for crash in item[1]),
                len(item[1]),
            ),
        )
        crashes = sorted(crashes, key=lambda crash: not crash.is_proven)
        verb = 'crashed' if self.is_condemned(job_id) else 'probably crashed'
        names = ' and '.join(
            crash.worker_id for crash in crashes[:MAX_CRASHES]
        )
        return f'task {key.position()} {verb} workers {names}'

    # Exchange with other dispatchers

    def records(
        self, now_s: float, job_ids: typing.Iterable[str] | None = None
    ) -> list[CrashRecord]:
        """Return the crashes of some jobs, or of all, by task."""
        if job_ids is None:
            job_ids = list(self._suspects_by_job)
        return [
            CrashRecord(
                key,
                crash.worker_id,
                crash.life,
                crash.address,
                crash.is_proven,
                now_s - crash.crashed_s,
            )
            for job_id in job_ids
            for key in sorted(self._suspects_by_job.get(job_id, ()))
            for crash in self._by_task[key]
        ]

    def add_records(
        self, records: typing.Iterable[CrashRecord], now_s: float
    ) -> None:
        """Add what an earlier dispatcher has recorded."""
        for record in records:
            crash_id = (record.worker_id, record.life)
            if (
                crash_id in self._refuted_s
                or record.key in self._cleared_s
                or not 0 <= record.age_s <= _RETENTION_S
            ):
                continue
            crash = self._get_or_add(
                *crash_id, record.address, now_s - record.age_s
            )
            if record.is_proven:
                self._prove([crash])
            self._add_task(crash, record.key)

    def take_changed_job_ids(self) -> set[str]:
        """Return the jobs whose suspects have changed since the last call."""
        changed, self._changed_job_ids = self._changed_job_ids, set()
        return changed

    def drop_old(self, now_s: float) -> None:
        """Remove what no caller asks for any more."""
        limit_s = now_s - _RETENTION_S
        n_surplus = len(self._crashes) - _MAX_CRASHES_KEPT
        for number, crash in enumerate(list(self._crashes.values())):
            if (
                crash.crashed_s < limit_s
                or not crash.keys
                or number < n_surplus
            ):
                self._remove(crash)
        for removed_s in (self._refuted_s, self._cleared_s):
            for key, time_s in list(removed_s.items()):
                if time_s < limit_s:
                    del removed_s[key]

    def state(self) -> dict[str, typing.Any]:
        """Return the suspects and the crashes under them for operators."""
        return {
            f'{key.job_id}.{key.position()}': [
                f'{crash.worker_id}/{crash.life}'
                f'{"" if crash.is_proven else " (probable)"}'
                for crash in crashes
            ]
            for key, crashes in self._by_task.items()
        }
