import os
import random
import typing
import zlib

import msgspec

from orioleloom import model

FAULT_KINDS = (
    'die',
    'stall',
    'leave',
    'fail_all',
    'slow_factor',
    'garbage',
    'cut',
)

# Run time of each task under the fault `fail_all`.
_FAIL_ALL_DURATION_S = 0.001


class LedgerEntry(typing.NamedTuple):
    """One event of a task on a worker.

    :param event: ``start``, or the outcome ``ok``, ``failed`` or
        ``stopped``
    :param time_s: monotonic time in seconds, comparable between the
        processes of one machine
    :param instance: entry instance that sent the task
    """

    event: str
    key: str
    time_s: float
    worker: str
    instance: str
    payload_id: typing.Any


class Run(typing.NamedTuple):
    """One execution of a task.

    :param run_id: unique on its worker, also between runs of one key
    """

    run_id: int
    key: str
    kind: str
    payload: typing.Any
    instance: str
    started_s: float
    ends_s: float
    fails: bool


class Ledger:
    """Append-only record of task starts and outcomes.

    :param path: file to append to as JSON lines; each entry is written
        to the operating system at once, a start before the task runs,
        so it survives a kill of the process
    """

    def __init__(self, *, path: str | None = None):
        self.path = path
        self.entries: list[LedgerEntry] = []
        self._fd = None
        if path is not None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._fd = os.open(path, flags, 0o644)

    def append(self, entries: list[LedgerEntry]) -> None:
        """Append entries with a single write to the file."""
        self.entries += entries
        if self._fd is not None and entries:
            os.write(self._fd, msgspec.json.Encoder().encode_lines(entries))

    def close(self) -> None:
        """Close the file; further entries are kept in memory only."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


def read_ledger(path: str) -> list[LedgerEntry]:
    """Read a ledger file, ignoring an incomplete last line."""
    with open(path, 'rb') as file:
        lines = file.read().split(b'\n')[:-1]
    return [msgspec.json.decode(line, type=LedgerEntry) for line in lines]


def payload_id(payload: typing.Any) -> typing.Any:
    """Return the payload's ``id``, or its checksum if it has none."""
    if isinstance(payload, dict) and 'id' in payload:
        return payload['id']
    return zlib.crc32(msgspec.json.encode(payload, order='sorted'))


def expected_result(kind: str, payload: typing.Any) -> typing.Any:
    """Return the result that a worker stand-in computes for a task.

    ``payload["result_bytes"]`` is the length of the padding to add.
    """
    result = {
        'kind': kind,
        'id': payload_id(payload),
        'check': zlib.crc32(msgspec.json.encode(payload, order='sorted')),
    }
    if isinstance(payload, dict) and 'result_bytes' in payload:
        result['padding'] = 'x' * int(payload['result_bytes'])
    return result


def _payload_number(payload: typing.Any, name: str) -> float:
    value = payload.get(name, 0) if isinstance(payload, dict) else 0
    return float(value) if isinstance(value, int | float) else 0.0


class Worker:
    """State of the worker stand-in.

    It does no I/O other than the ledger's: :meth:`offer` starts or
    rejects a task, and the caller calls :meth:`finish` at the run's
    ``ends_s``. A key that arrives twice is started twice, so that the
    audit detects the duplicate.

    :param worker_id: id in the platform's member list
    :param slots: maximum number of tasks that run concurrently
    :param connections: maximum number of connections that may send
        tasks
    :param speed: divisor of ``payload["work_ms"]``
    :param ledger: record of starts and outcomes; may be shared by
        several workers
    :param random_state: seed of the draws for faults whose share is
        below 1

    >>> worker = Worker(worker_id='w1')
    >>> run = worker.offer('e1', 'c/s/0', 'k', {'work_ms': 20}, 5.0)
    >>> run.ends_s
    5.02
    >>> worker.finish(run, 5.02).outcome.value
    'ok'
    """

    def __init__(
        self,
        *,
        worker_id: str,
        slots: int = 8,
        connections: int = 64,
        speed: float = 1.0,
        ledger: Ledger | None = None,
        random_state: int = 0,
    ):
        self.worker_id = worker_id
        self.slots = slots
        self.connections = connections
        self.speed = speed
        self.ledger = Ledger() if ledger is None else ledger
        self.running: dict[int, Run] = {}
        self.counters: dict[str, int] = {}
        self._next_run_id = 1
        self._faults: dict[str, tuple[float, float, float]] = {}
        self._random = random.Random(random_state)

    def set_fault(
        self,
        kind: str,
        now_s: float,
        *,
        duration_s: float,
        factor: float = 1.0,
        share: float = 1.0,
    ) -> None:
        """Start a fault, or end it with a ``duration_s`` of 0.

        :param kind: one of :data:`FAULT_KINDS`
        :param factor: divisor of the speed under ``slow_factor``
        :param share: fraction of the tasks or response lines affected
        :raises ValueError: ``kind`` is unknown, ``share`` is not
            between 0 and 1, or ``factor`` is not above 0
        """
        if kind not in FAULT_KINDS:
            raise ValueError(f'fault {kind!r} is not one of {FAULT_KINDS}')
        if not 0 <= share <= 1:
            raise ValueError(f'share {share!r} is not between 0 and 1')
        if factor <= 0:
            raise ValueError(f'factor {factor!r} is not above 0')
        self._faults[kind] = (now_s + duration_s, factor, share)
        if kind == 'die' and duration_s > 0:
            # Running tasks are lost with the machine; no outcome is recorded.
            self.running.clear()

    def fault_until(self, kind: str, now_s: float) -> float | None:
        """Return the time at which a fault ends, ``None`` if not active."""
        fault = self._faults.get(kind)
        return fault[0] if fault is not None and now_s < fault[0] else None

    def fault_applies(self, kind: str, now_s: float) -> bool:
        """Return whether an active fault affects the next task or line.

        Draws a random number if the fault's share is below 1.
        """
        if self.fault_until(kind, now_s) is None:
            return False
        share = self._faults[kind][2]
        return share >= 1 or self._random.random() < share

    def _increment(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    def free_slots(self) -> int:
        """Return the number of free slots."""
        return self.slots - len(self.running)

    def reject_if_unavailable(
        self, key: str, now_s: float, *, over_connection_limit: bool = False
    ) -> model.ResultLine | None:
        """Return a rejection line, or ``None`` if the task can start.

        :param over_connection_limit: the task came over a connection
            beyond the worker's limit
        """
        leaving = self.fault_until('leave', now_s) is not None
        if not leaving and not over_connection_limit and self.free_slots() > 0:
            return None
        self._increment('rejected')
        return model.ResultLine(
            key,
            model.TaskOutcome.REJECTED,
            max(0, self.free_slots()),
            reason='leaving' if leaving else 'busy',
            leaving=leaving,
        )

    def offer(
        self,
        instance: str,
        key: str,
        kind: str,
        payload: typing.Any,
        now_s: float,
    ) -> Run | model.ResultLine:
        """Start a task and record it, or reject it.

        :returns: the run, or the line that rejects the task
        """
        outcome, entry = self._offer(instance, key, kind, payload, now_s)
        if entry is not None:
            self.ledger.append([entry])
        return outcome

    def offer_all(
        self,
        instance: str,
        tasks: typing.Iterable[tuple[str, str, typing.Any]],
        now_s: float,
    ) -> list[Run | model.ResultLine]:
        """Offer several ``(key, kind, payload)`` with one ledger write.

        :returns: run or rejection line of each task, in order
        """
        outcomes = []
        entries = []
        for key, kind, payload in tasks:
            outcome, entry = self._offer(instance, key, kind, payload, now_s)
            outcomes.append(outcome)
            if entry is not None:
                entries.append(entry)
        self.ledger.append(entries)
        return outcomes

    def _offer(
        self,
        instance: str,
        key: str,
        kind: str,
        payload: typing.Any,
        now_s: float,
    ) -> tuple[Run | model.ResultLine, LedgerEntry | None]:
        rejection = self.reject_if_unavailable(key, now_s)
        if rejection is not None:
            return rejection, None
        fails = bool(_payload_number(payload, 'fail'))
        duration_s = (
            max(0.0, _payload_number(payload, 'work_ms')) / 1000 / self.speed
        )
        if self.fault_until('slow_factor', now_s) is not None:
            duration_s *= self._faults['slow_factor'][1]
        if self.fault_applies('fail_all', now_s):
            fails = True
            duration_s = _FAIL_ALL_DURATION_S
        run = Run(
            self._next_run_id,
            key,
            kind,
            payload,
            instance,
            now_s,
            now_s + duration_s,
            fails,
        )
        self._next_run_id += 1
        self.running[run.run_id] = run
        self._increment('started')
        return run, self._ledger_entry('start', run, now_s)

    def _ledger_entry(self, event: str, run: Run, now_s: float) -> LedgerEntry:
        return LedgerEntry(
            event,
            run.key,
            now_s,
            self.worker_id,
            run.instance,
            payload_id(run.payload),
        )

    def _end_run(
        self, run: Run, outcome: model.TaskOutcome, now_s: float
    ) -> model.ResultLine | None:
        if self.running.pop(run.run_id, None) is None:
            return None
        self._increment(outcome.value)
        self.ledger.append([self._ledger_entry(outcome.value, run, now_s)])
        result = None
        error = ''
        if outcome is model.TaskOutcome.OK:
            result = expected_result(run.kind, run.payload)
        elif outcome is model.TaskOutcome.FAILED:
            error = 'task failed on request'
        return model.ResultLine(
            run.key,
            outcome,
            self.free_slots(),
            result,
            error,
            run_time_ms=(now_s - run.started_s) * 1000,
            leaving=self.fault_until('leave', now_s) is not None,
        )

    def finish(self, run: Run, now_s: float) -> model.ResultLine | None:
        """End a run as ``ok`` or ``failed``.

        :returns: its result line, or ``None`` if the run has already ended
        """
        outcome = model.TaskOutcome.OK
        if run.fails:
            outcome = model.TaskOutcome.FAILED
        return self._end_run(run, outcome, now_s)

    def stop(self, run: Run, now_s: float) -> model.ResultLine | None:
        """End a run as ``stopped``.

        :returns: its result line, or ``None`` if the run has already ended
        """
        return self._end_run(run, model.TaskOutcome.STOPPED, now_s)

    def status(self, now_s: float) -> dict[str, typing.Any]:
        """Return the body of ``GET /v1/status``."""
        return {
            'id': self.worker_id,
            'slots': self.slots,
            'free_slots': max(0, self.free_slots()),
            'connections': self.connections,
            'leaving': self.fault_until('leave', now_s) is not None,
        }
