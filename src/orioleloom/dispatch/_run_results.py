import math

from orioleloom.dispatch import _estimates
from orioleloom.dispatch import _interference
from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _locality
from orioleloom.dispatch import _records
from orioleloom.dispatch import _stragglers
from orioleloom.dispatch import _tails
from orioleloom.dispatch import _workers

# Runs that are shorter than this multiple of their expected time (natural
# logarithm; 2.5 times) are no evidence of a slow worker.
_LONG_LOG_RATIO = 0.9
_MIN_RUN_S = 1e-3


class RunResults:
    """Updates the run time estimates with the ends of runs.

    :param interference: if the effect of runs on each other is learned
    """

    def __init__(
        self,
        run_times: _estimates.RunTimeEstimator,
        tails: _tails.RunTimeTails,
        locality: _locality.Locality,
        interference: _interference.Interference | None = None,
    ):
        self.run_times = run_times
        self.tails = tails
        self.locality = locality
        self.interference = interference

    def record_end(self, run: _workers.Run, now_s: float) -> None:
        """Record that a run is about to leave its worker."""
        if self.interference is not None:
            self.interference.record_end(run, now_s)

    def record_success(
        self,
        run: _workers.Run,
        task: _jobs.TaskState | None,
        now_s: float,
    ) -> None:
        """Update the estimates with a run that has just succeeded.

        To be called before the success is recorded in the worker.

        :param task: the task, if its job has not ended
        """
        if run.expected_s == math.inf or task is None:
            return
        worker = run.worker
        elapsed_s = max(now_s - run.started_s, _MIN_RUN_S)
        self._observe_tail(run, elapsed_s, now_s, is_stopped=False)
        log_ratio = math.log(elapsed_s / run.expected_s)
        if self.interference is not None:
            self.interference.observe(run, log_ratio, elapsed_s, now_s)
            # The worker and the queue are not slow because of neighbours.
            log_slowdown = self.interference.log_slowdown(run, elapsed_s)
            log_ratio -= log_slowdown
            elapsed_s *= math.exp(-log_slowdown)
        excess = log_ratio - math.log(worker.healthy_run_time_ratio())
        may_be_long = excess > _LONG_LOG_RATIO and (
            self.tails.of(run.queue).survival(excess)
            > _stragglers.SLOW_PROBABILITY / 2
        )
        worker.observe_run_time(log_ratio, may_be_long=may_be_long)
        self.run_times.observe(
            run.queue,
            task.step.estimate_s,
            elapsed_s
            / worker.run_time_ratio()
            / self.locality.factor(task.step, worker),
        )

    def record_stop(
        self, run: _workers.Run, kind: _records.EndKind, now_s: float
    ) -> None:
        """Update the estimates with a run that was stopped."""
        if kind is _records.EndKind.STOPPED and run.expected_s < math.inf:
            elapsed_s = max(now_s - run.started_s, _MIN_RUN_S)
            self._observe_tail(run, elapsed_s, now_s, is_stopped=True)

    def _observe_tail(
        self,
        run: _workers.Run,
        elapsed_s: float,
        now_s: float,
        *,
        is_stopped: bool,
    ) -> None:
        worker = run.worker
        log_ratio = math.log(
            elapsed_s / (run.expected_s * worker.healthy_run_time_ratio())
        )
        weight = 1.0
        if log_ratio > _LONG_LOG_RATIO:
            weight -= _stragglers.suspicion(worker, self.tails, now_s, run)
        self.tails.of(run.queue).observe(log_ratio, weight, is_stopped)
