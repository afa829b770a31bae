import dataclasses
import math
import typing

from orioleloom import dispatch

# Upper limit of a lease, on the worker's clock.
_MAX_LEASE_S = 1.0
# Time from a stop command to the end of the run.
_STOP_DURATION_S = 0.03


@dataclasses.dataclass
class _Run:
    key: dispatch.TaskKey
    run_id: int
    room: dispatch.Resources
    started_s: float
    done_s: float
    is_failing: bool
    stop_s: float = math.inf
    # Remaining time at ``since_s``, at the normal speed of the worker.
    remaining_s: float = 0.0
    since_s: float = 0.0

    def remaining_at_normal_speed_s(
        self, now_s: float, slowdown: float
    ) -> float:
        """Return the remaining time at the normal speed of the worker."""
        return max(0.0, self.remaining_s - (now_s - self.since_s) / slowdown)


class LeasedWorker:
    """Simulated worker that implements the rules of the platform.

    :param speed: seconds of work done per second
    :param clock_rate: seconds that the worker's clock advances per second
    """

    def __init__(
        self,
        info: dispatch.WorkerInfo,
        *,
        speed: float = 1.0,
        clock_rate: float = 1.0,
    ):
        self.info = info
        self.speed = speed
        self.clock_rate = clock_rate
        # Faults that tests inject.
        self.is_reachable = True
        # Connections are closed and refused, while the worker runs on.
        self.is_reset = False
        # False from a crash until the worker is started again.
        self.is_up = True
        self.is_listed = True
        # Rejects starts that exceed the capacity. One that does not check it
        # counts them.
        self.checks_capacity = True
        self.n_starts_over_capacity = 0
        self.n_crashes = 0
        self._earlier_capacity = info.capacity
        self._earlier_until_s = 0.0
        self.fails_all = False
        self.late_share = 0.0
        self.slowdown = 1.0
        self.reset(0.0)

    def reset(self, now_s: float) -> None:
        """Reset all state and set the worker's clock to zero."""
        self.booted_s = now_s
        self.runs: dict[dispatch.TaskKey, _Run] = {}
        self.ends: list[dispatch.EndedRun] = []
        self.n_ends = 0
        self.token = 0
        self.lease_until_s = now_s
        self.highest_run_ids: dict[dispatch.TaskKey, int] = {}
        self.n_starts = 0
        # Tasks that were started beside an earlier run here, and its id.
        self.overlapping_starts: list[tuple[dispatch.TaskKey, int]] = []

    def crash(self) -> None:
        """End all runs at once and answer nothing until a restart."""
        self.runs.clear()
        self.is_reachable = False

    def restart(self, now_s: float) -> None:
        """Restart the worker under a new life number and lose all state."""
        self.info = self.info._replace(life=self.info.life + 1)
        self.is_up = True
        self.reset(now_s)

    def crash_process(self, now_s: float) -> None:
        """End everything at once; the machine closes all connections."""
        self.is_up = False
        self.n_crashes += 1
        self.reset(now_s)

    def is_closed(self) -> bool:
        """Return whether connections are closed and refused."""
        return self.is_reset or not self.is_up

    def set_capacity(
        self, capacity: dispatch.Resources, now_s: float, notice_s: float
    ) -> None:
        """Shrink or grow the capacity; runs go on in any case.

        :param notice_s: time in which starts may still count on the earlier
            capacity
        """
        self._earlier_capacity = self.info.capacity
        self._earlier_until_s = now_s + notice_s
        self.info = self.info._replace(capacity=capacity)

    def slow_down(self, factor: float, now_s: float) -> None:
        """Multiply the duration of current and future runs.

        :param factor: 1 restores the normal speed; infinity stops progress
        """
        self.advance(now_s)
        for run in self.runs.values():
            remaining_s = run.remaining_at_normal_speed_s(now_s, self.slowdown)
            run.remaining_s, run.since_s = remaining_s, now_s
            run.done_s = now_s + remaining_s * factor if remaining_s else now_s
        self.slowdown = factor

    def clock_ms(self, now_s: float) -> int:
        """Return the time of the worker's clock in milliseconds."""
        return int(1000 * (now_s - self.booted_s) * self.clock_rate)

    def advance(self, now_s: float) -> None:
        """End the runs that are done, stopped or without a lease by now."""
        for run in list(self.runs.values()):
            end_s = min(run.done_s, run.stop_s, self.lease_until_s)
            if end_s > now_s:
                continue
            if end_s == run.done_s:
                kind = (
                    dispatch.EndKind.FAILED
                    if run.is_failing
                    else dispatch.EndKind.DONE
                )
            elif end_s == run.stop_s:
                kind = dispatch.EndKind.STOPPED
            else:
                kind = dispatch.EndKind.LEASE_EXPIRED
            del self.runs[run.key]
            self.n_ends += 1
            self.ends.append(
                dispatch.EndedRun(self.n_ends, run.key, run.run_id, kind)
            )

    def next_end_s(self) -> float:
        """Return when the next run ends if no further command arrives."""
        return min(
            (
                min(run.done_s, run.stop_s, self.lease_until_s)
                for run in self.runs.values()
            ),
            default=math.inf,
        )

    def _extend_lease(self, expires_ms: int | None, now_s: float) -> None:
        if expires_ms is None:
            return
        lease_s = (expires_ms - self.clock_ms(now_s)) / 1000 / self.clock_rate
        lease_s = min(lease_s, _MAX_LEASE_S / self.clock_rate)
        if lease_s > 0:
            self.lease_until_s = max(self.lease_until_s, now_s + lease_s)

    def _is_fenced(self, token: int) -> bool:
        if token < self.token:
            return True
        self.token = token
        return False

    def start(
        self,
        command: dispatch.StartRun,
        work_s: float,
        room: dispatch.Resources,
        is_poison: bool,
        now_s: float,
    ) -> dispatch.Rejection | None:
        """Start a run; return the reason if the command is rejected."""
        self.advance(now_s)
        if command.worker.id != self.info.id:
            return dispatch.Rejection.OTHER_INCARNATION
        if self._is_fenced(command.token):
            return dispatch.Rejection.FENCED
        # Also if the start is rejected as stale or for lack of room.
        self._extend_lease(command.expires_ms, now_s)
        known = self.runs.get(command.key)
        if known is not None and known.run_id == command.run_id:
            return None
        if command.run_id <= self.highest_run_ids.get(command.key, 0):
            return dispatch.Rejection.STALE_RUN_ID
        if command.expires_ms <= self.clock_ms(now_s):
            return dispatch.Rejection.LATE
        used = dispatch.Resources(0)
        for run in self.runs.values():
            used = used.add(run.room)
        if not self.info.capacity.can_fit(used.add(room)):
            if self.checks_capacity:
                return dispatch.Rejection.NO_ROOM
            if now_s > self._earlier_until_s or (
                not self._earlier_capacity.can_fit(used.add(room))
            ):
                self.n_starts_over_capacity += 1
        if known is not None:
            self.overlapping_starts.append((command.key, known.run_id))
        self.highest_run_ids[command.key] = command.run_id
        fails = self.fails_all or is_poison
        duration_s = work_s / self.speed
        if self.fails_all:
            duration_s = 0.002
        self.n_starts += 1
        self.runs[command.key] = _Run(
            command.key,
            command.run_id,
            room,
            now_s,
            now_s + duration_s * self.slowdown,
            fails,
            remaining_s=duration_s,
            since_s=now_s,
        )
        return None

    def stop(self, command: dispatch.StopRun, now_s: float) -> None:
        """Stop a run.

        If the run has not started yet, a later start of it is rejected.
        """
        self.advance(now_s)
        if self._is_fenced(command.token):
            return
        self.highest_run_ids[command.key] = max(
            command.run_id, self.highest_run_ids.get(command.key, 0)
        )
        run = self.runs.get(command.key)
        if run is not None and run.run_id <= command.run_id:
            run.stop_s = min(run.stop_s, now_s + _STOP_DURATION_S)

    def hold(
        self,
        token: int,
        expires_ms: int | None,
        acked_through: int,
        now_s: float,
    ) -> bool:
        """Extend the lease and drop acknowledged ends; false if fenced."""
        self.advance(now_s)
        if self._is_fenced(token):
            return False
        self._extend_lease(expires_ms, now_s)
        self.ends = [end for end in self.ends if end.number > acked_through]
        return True

    def report(self, now_s: float) -> dispatch.WorkerReport:
        """Return the current runs and the unacknowledged run ends."""
        self.advance(now_s)
        return dispatch.WorkerReport(
            self.clock_ms(now_s),
            self.info.life,
            tuple(
                dispatch.RunningRun(run.key, run.run_id)
                for run in self.runs.values()
            ),
            tuple(self.ends[:500]),
        )

    def running(self) -> typing.Iterator[tuple[dispatch.TaskKey, int]]:
        """Yield the task key and run id of each current run."""
        for run in self.runs.values():
            yield run.key, run.run_id
