import math
import typing

from orioleloom.dispatch import _records

# Weight of a new result in a worker's speed: after a few results it
# follows about the last five, since workers slow down within seconds.
_SPEED_WEIGHT = 0.2
_MAX_SPEED_STEP = 1.2

# Suspension of a worker that failed or stayed silent doubles from the
# first to the last value, in seconds.
_FIRST_SUSPENSION_S = 0.5
_MAX_SUSPENSION_S = 4.0
# Failed runs in a row that suspend a worker.
_FAILURES_TO_SUSPEND = 2

# Missing answers in a row after which a worker gets no new work. A single
# one is common: some orders are carried out late.
_SILENCES_TO_AVOID = 2

# A worker's clock may be this much slower than ours.
_CLOCK_DRIFT = 0.02
# Time between the computation of a lease and its arrival at the worker.
_LEASE_MARGIN_S = 0.05


class Run:
    """A run of a task that may occupy room on a worker."""

    __slots__ = (
        'expected_s',
        'is_overdue',
        'accepted_s',
        'is_accepted',
        'is_stopping',
        'key',
        'n_stops',
        'queue',
        'room',
        'run_id',
        'started_s',
        'stopped_s',
        'worker',
    )

    def __init__(
        self,
        key: _records.TaskKey,
        run_id: int,
        worker: 'Worker',
        room: _records.Room,
        queue: str,
        started_s: float,
        expected_s: float,
    ):
        self.key = key
        self.run_id = run_id
        self.worker = worker
        self.room = room
        self.queue = queue
        self.started_s = started_s
        self.expected_s = expected_s
        self.is_accepted = False
        self.accepted_s = math.inf
        self.stopped_s = math.inf
        self.is_stopping = False
        self.n_stops = 0
        # The worker's speed was corrected for this run already.
        self.is_overdue = False

    def accept(self, now_s: float) -> None:
        """Take note that the worker has the run."""
        if not self.is_accepted:
            self.is_accepted = True
            self.accepted_s = now_s


class Worker:
    """What the dispatcher believes of one worker."""

    def __init__(self, info: _records.WorkerInfo):
        self.info = info
        self.free = info.capacity
        self.runs: dict[_records.TaskKey, Run] = {}
        # The worker answered this dispatcher at least once.
        self.is_known = False
        self.is_listed = True
        self.delisted_s = math.inf
        # Whether the worker is being asked, by lane.
        self.is_watched = [False, False]
        # Difference between the worker's clock and ours, in seconds.
        self.clock_offset_s = 0.0
        # Every lease given to the worker has ended by then (our clock).
        self.lease_until_s = 0.0
        # The worker's clock in the newest of its lists, in milliseconds.
        self.reported_ms = 0
        self.acked_through = 0
        self.last_heard_s = -math.inf
        # When a run last ended well.
        self.last_done_s = -math.inf
        self.looked_s = -math.inf
        # The worker was asked then, has answered, and ignores dispatchers
        # with a lower token since.
        self.confirmed_s = -math.inf
        # Natural logarithm of the run time against a worker of speed 1.
        self.log_factor = 0.0
        self.n_results = 0
        self.n_failures = 0
        self.n_silences = 0
        self.suspended_until_s = 0.0
        self.n_suspensions = 0

    @property
    def id(self) -> str:
        """Return the worker's id."""
        return self.info.id

    def update(self, info: _records.WorkerInfo) -> None:
        """Take over what the platform lists of the worker."""
        if info.capacity != self.info.capacity:
            used = self.info.capacity.minus(self.free)
            self.free = info.capacity.minus(used)
        self.info = info

    def begin_life(self, info: _records.WorkerInfo) -> None:
        """Forget what is only true of the life before."""
        self.update(info)
        self.is_known = False
        self.reported_ms = 0
        self.acked_through = 0
        self.n_silences = 0
        self.succeeded()

    def add_run(self, run: Run) -> None:
        """Occupy room for a run."""
        self.runs[run.key] = run
        self.free = self.free.minus(run.room)

    def remove_run(self, run: Run) -> None:
        """Give back the room of a run."""
        if self.runs.get(run.key) is run:
            del self.runs[run.key]
            self.free = self.free.plus(run.room)

    def expect_lease(self, lease_s: float, now_s: float) -> None:
        """Take note of a lease that begins now at the latest."""
        until_s = now_s + lease_s * (1 + _CLOCK_DRIFT) + _LEASE_MARGIN_S
        self.lease_until_s = max(self.lease_until_s, until_s)

    def expires_ms(self, lease_s: float, now_s: float) -> int:
        """Extend the lease and return its end on the worker's clock."""
        self.expect_lease(lease_s, now_s)
        return int((now_s + lease_s + self.clock_offset_s) * 1000)

    def set_clock(self, clock_ms: int, now_s: float) -> None:
        """Take over the worker's clock from an answer."""
        self.clock_offset_s = clock_ms / 1000 - now_s
        self.last_heard_s = now_s

    def is_silent(self) -> bool:
        """Return whether the worker seems to be out of reach."""
        return self.n_silences >= _SILENCES_TO_AVOID

    def is_usable(self) -> bool:
        """Return whether new work may go to the worker some time."""
        return (
            self.is_known
            and self.is_listed
            and not self.info.is_leaving
            and not self.is_silent()
        )

    def can_take(self, now_s: float) -> bool:
        """Return whether new work may go to the worker now."""
        if not self.is_usable():
            return False
        if self.n_suspensions and now_s >= self.suspended_until_s:
            # One run at a time until one has ended well.
            return not self.runs
        return now_s >= self.suspended_until_s

    def factor(self) -> float:
        """Return the expected run time against a worker of speed 1."""
        return math.exp(self.log_factor)

    def learn(self, log_ratio: float) -> None:
        """Learn the speed from a finished run.

        :param log_ratio: logarithm of its run time against the expected
            one on a worker of speed 1
        """
        self.n_results += 1
        weight = max(_SPEED_WEIGHT, 1.0 / (self.n_results + 1))
        step = log_ratio - self.log_factor
        step = min(max(step, -_MAX_SPEED_STEP), _MAX_SPEED_STEP)
        self.log_factor += weight * step

    def overdue(self, log_ratio: float) -> None:
        """Learn that a run already takes so much longer than expected."""
        self.log_factor = max(self.log_factor, log_ratio)

    def succeeded(self) -> None:
        """Forget failures after a run that ended well."""
        self.n_failures = 0
        self.n_suspensions = 0
        self.suspended_until_s = 0.0

    def failed(self, now_s: float) -> bool:
        """Count a failed run.

        :returns: whether the worker is suspended by it
        """
        self.n_failures += 1
        if self.n_failures < _FAILURES_TO_SUSPEND and not self.n_suspensions:
            return False
        self.suspend(now_s)
        return True

    def suspend(self, now_s: float) -> None:
        """Take no new work for a while, then one run as a trial."""
        duration_s = min(
            _FIRST_SUSPENSION_S * 2**self.n_suspensions, _MAX_SUSPENSION_S
        )
        self.n_suspensions += 1
        self.suspended_until_s = now_s + duration_s

    def state(self, now_s: float) -> dict[str, typing.Any]:
        """Return a dump for operators."""
        return {
            'address': self.info.address,
            'data_centre': self.info.data_centre,
            'upstream': self.info.upstream,
            'free': list(self.free),
            'n_runs': len(self.runs),
            'factor': round(self.factor(), 3),
            'is_known': self.is_known,
            'is_listed': self.is_listed,
            'is_leaving': self.info.is_leaving,
            'n_silences': self.n_silences,
            'n_failures': self.n_failures,
            'suspended_for_s': round(
                max(0.0, self.suspended_until_s - now_s), 3
            ),
            'heard_ago_s': round(now_s - self.last_heard_s, 3)
            if self.is_known
            else None,
        }
