import math
import typing

from orioleloom.dispatch import _estimates
from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _placement
from orioleloom.dispatch import _records
from orioleloom.dispatch import _tails
from orioleloom.dispatch import _workers

# A run is late if it exceeds its expected time both by this factor and by this
# number of seconds. At a factor of 2.2 needless moves reduced the value of the
# jobs served in time under a load without faults; at 3 they did not
# (docs/measurements.md).
_LATE_FACTOR = 3.0
_LATE_S = 0.05

# Probability that a worker stalls or slows down during a run. A run without
# other evidence must thus be one of the longest 1 in 100 of its queue before
# its worker is suspected. At 2 in 100 tasks of which 3 in 100 take seven times
# as long were moved in vain.
SLOW_PROBABILITY = 0.01

# From the decision to move a run until the new one starts: a stop, its
# confirmation, a report and a start, of two network hops each, and the
# worker's own time.
_MOVE_S = 0.02

# How often one task may be moved away from a slow worker.
_MAX_MOVES = 2


def conditional_survival(
    run: _workers.Run, tails: _tails.RunTimeTails, now_s: float
) -> float:
    """Return the probability that a healthy worker has not ended a run.

    The last success on the worker shows that it was healthy then.
    """
    if run.expected_s == math.inf:
        return 1.0
    expected_s = run.expected_s * run.worker.healthy_run_time_ratio()
    elapsed_s = now_s - run.started_s
    if elapsed_s <= 0:
        return 1.0
    tail = tails.of(run.queue)
    survival = tail.survival(math.log(elapsed_s / expected_s))
    healthy_s = run.worker.last_success_s - run.started_s
    if healthy_s > 0:
        survival /= tail.survival(math.log(healthy_s / expected_s))
    return min(survival, 1.0)


def suspicion(
    worker: _workers.Worker,
    tails: _tails.RunTimeTails,
    now_s: float,
    ended: _workers.Run | None = None,
) -> float:
    """Return the probability that a worker has stalled or slowed down.

    :param ended: a run that has just left the worker, which also counts
    """
    # The run times of the tasks of a job are not independent. Only the most
    # unlikely one of each job counts.
    survivals: dict[str, float] = {}
    runs = [
        run
        for run in worker.runs.values()
        if run.is_accepted and not run.is_stopping
    ]
    if ended is not None:
        runs.append(ended)
    for run in runs:
        survival = conditional_survival(run, tails, now_s)
        job_id = run.key.job_id
        survivals[job_id] = min(survival, survivals.get(job_id, 1.0))
    odds = SLOW_PROBABILITY / (1 - SLOW_PROBABILITY)
    odds /= math.prod(survivals.values())
    return odds / (1 + odds)


def _is_late(run: _workers.Run, now_s: float) -> bool:
    """Return whether a run has lasted long since its worker was healthy."""
    elapsed_s = now_s - max(run.started_s, run.worker.last_success_s)
    expected_s = run.expected_s * run.worker.healthy_run_time_ratio()
    return (
        elapsed_s >= expected_s * _LATE_FACTOR
        and elapsed_s >= expected_s + _LATE_S
    )


class Straggler(typing.NamedTuple):
    """A late run whose worker has probably stalled or slowed down.

    :param suspicion: probability of that
    """

    run: _workers.Run
    suspicion: float


class Decisions(typing.NamedTuple):
    """What to do about stragglers.

    :param moves: runs to stop, so that their tasks start elsewhere
    :param slow: log fields of workers that now count as slow
    """

    moves: list[_workers.Run]
    slow: list[dict[str, typing.Any]]


class StragglerMitigation:
    """Decides which late runs are stopped and started on other workers.

    :param tails: how long the runs of each queue last on healthy workers
    """

    def __init__(
        self,
        placement: _placement.Placement,
        run_times: _estimates.RunTimeEstimator,
        tails: _tails.RunTimeTails,
    ):
        self.placement = placement
        self.run_times = run_times
        self.tails = tails

    def find(
        self, workers: typing.Iterable[_workers.Worker], now_s: float
    ) -> list[Straggler]:
        """Return the late runs on workers that have probably slowed down."""
        stragglers = []
        for worker in workers:
            late = [
                run
                for run in worker.runs.values()
                if run.is_accepted
                and not run.is_stopping
                and _is_late(run, now_s)
            ]
            if late:
                probability = suspicion(worker, self.tails, now_s)
                if probability > 0.5:
                    stragglers.extend(
                        Straggler(run, probability) for run in late
                    )
        return stragglers

    def decide(
        self,
        workers: typing.Iterable[_workers.Worker],
        tasks: typing.Mapping[_records.TaskKey, _jobs.TaskState],
        counters: typing.MutableMapping[str, int],
        now_s: float,
    ) -> Decisions:
        """Return the runs to move, and correct the speeds of workers.

        :param counters: incremented for each decision
        """
        decisions = Decisions([], [])
        for straggler in self.find(workers, now_s):
            run = straggler.run
            if _correct_speed(run, now_s):
                counters['stragglers'] += 1
                decisions.slow.append(_describe(straggler, now_s))
            task = tasks.get(run.key)
            if (
                task is None
                or task.run is not run
                or task.n_moves >= _MAX_MOVES
                or not self._is_move_of_use(straggler, task, now_s)
            ):
                continue
            task.n_moves += 1
            task.excluded_worker_ids.add(run.worker.id)
            counters['runs_moved'] += 1
            decisions.moves.append(run)
        return decisions

    def _is_move_of_use(
        self, straggler: Straggler, task: _jobs.TaskState, now_s: float
    ) -> bool:
        """Return whether a new run would end in time and earlier.

        If the worker is healthy, the task itself is long and takes as long
        elsewhere; even on a faster worker it would use the capacity twice. If
        not, the present run is expected to take as much
        longer as it has taken.
        """
        run, probability = straggler
        left_s = task.job.useful_until_s - now_s - _MOVE_S
        if left_s <= 0:
            return False
        # The search compares the job's longest chain with the limit, of which
        # only the part from this step on is left.
        remaining_s = _jobs.remaining_path_s(
            task.job.job, task.key.step, self.run_times
        )
        limit_s = left_s * task.job.expected_s / remaining_s
        other = self.placement.find_elsewhere(task, run.worker, limit_s, now_s)
        if other is None:
            return False
        healthy_ratio = run.worker.healthy_run_time_ratio()
        expected_s = run.expected_s * healthy_ratio
        elapsed_s = now_s - run.started_s
        residual_s = expected_s * self.tails.of(run.queue).mean_residual(
            elapsed_s / expected_s
        )
        stay_s = probability * elapsed_s + (1 - probability) * residual_s
        locality = self.placement.locality
        # The expected time of the run counts where the data of its task is.
        other_ratio = (
            other.run_time_ratio()
            * locality.factor(task.step, other)
            / locality.factor(task.step, run.worker)
        )
        move_s = (
            _MOVE_S
            + probability * run.expected_s * other_ratio
            + (1 - probability)
            * (elapsed_s + residual_s)
            * max(other_ratio / healthy_ratio, 1.0)
        )
        return move_s < stay_s


def _correct_speed(run: _workers.Run, now_s: float) -> bool:
    """Correct the speed of a straggler's worker, once for each run.

    :returns: false if it was already corrected for this run
    """
    if run.is_speed_corrected:
        return False
    run.is_speed_corrected = True
    run.worker.observe_straggler(
        math.log((now_s - run.started_s) / run.expected_s)
    )
    return True


def _describe(straggler: Straggler, now_s: float) -> dict[str, typing.Any]:
    run = straggler.run
    return {
        'worker': run.worker.id,
        'job': run.key.job_id,
        'elapsed_ms': round(1000 * (now_s - run.started_s)),
        'expected_ms': round(
            1000 * run.expected_s * run.worker.healthy_run_time_ratio()
        ),
        'probability': round(straggler.suspicion, 3),
    }
