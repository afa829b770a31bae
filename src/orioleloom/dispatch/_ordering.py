"""Order of the jobs while capacity is short."""

import collections
import math
import typing

from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers

# Time in which the counts of jobs lose half of their weight, in seconds: a
# burst lasts some seconds.
_HALF_LIFE_S = 2.0
# Jobs by their size relative to others of their queue: the largest tenth, the
# fifth below it, and the rest.
_QUANTILES = (0.7, 0.9)
# Step of the estimates of the quantiles (natural logarithm).
_QUANTILE_STEP = 0.05
# A size class goes first below this multiple of the served share of its
# queue, and a queue below this multiple of that of all. The callers' bounds
# are 0.7 and a third.
_MIN_CLASS_SHARE = 0.85
_MIN_QUEUE_SHARE = 0.5
# Capacity is short while less than this share of all jobs is served. With it
# always in force, requests to workers that are late cost 0.03 of the value
# without any overload (tests/dispatch/test_load.py, test_late_requests).
_SHORT_SHARE = 0.9
# Fewer jobs say nothing about a share.
_MIN_JOBS = 5.0


class SizeClasses:
    """Classifies jobs by their work, relative to others of their queue."""

    def __init__(self) -> None:
        self._bounds: dict[str, list[float]] = {}

    def observe(self, job: _jobs.JobState) -> int:
        """Classify a new job and update the bounds.

        :returns: 0 for most jobs, 2 for the largest tenth
        """
        log_size = math.log(
            max(1e-6, job.expected_s * sum(s.n_tasks for s in job.job.steps))
        )
        bounds = self._bounds.setdefault(
            job.job.queue.name, [log_size] * len(_QUANTILES)
        )
        size_class = sum(log_size > bound for bound in bounds)
        for number, quantile in enumerate(_QUANTILES):
            is_above = log_size > bounds[number]
            bounds[number] += _QUANTILE_STEP * (quantile - 1 + is_above)
        return size_class


class ServedShares:
    """Shares of the jobs that were served lately, by queue and size."""

    def __init__(self) -> None:
        self._ended: collections.Counter[typing.Any] = collections.Counter()
        self._served: collections.Counter[typing.Any] = collections.Counter()
        self._since_s = 0.0

    def record(
        self, queue: str, size_class: int, is_served: bool, now_s: float
    ) -> None:
        """Record the end of a job."""
        if now_s > self._since_s + 0.1:
            weight = 0.5 ** ((now_s - self._since_s) / _HALF_LIFE_S)
            self._since_s = now_s
            for counts in (self._ended, self._served):
                for key in counts:
                    counts[key] *= weight
        for key in ('', queue, (queue, size_class)):
            self._ended[key] += 1
            self._served[key] += is_served

    def share(self, key: typing.Any) -> float:
        """Return the share served of a queue, a class, or all (``''``)."""
        n_ended = self._ended[key]
        return self._served[key] / n_ended if n_ended > _MIN_JOBS else 1.0

    def by_queue(self) -> dict[str, float]:
        """Return the share served of each queue."""
        return {
            key: round(self.share(key), 3)
            for key in self._ended
            if isinstance(key, str) and key
        }

    def is_short_served(self, queue: str, size_class: int) -> bool:
        """Return whether jobs of a queue and size must go before others."""
        queue_share = self.share(queue)
        return queue_share < _MIN_QUEUE_SHARE * self.share('') or (
            self.share((queue, size_class)) < _MIN_CLASS_SHARE * queue_share
        )


def end_rate_per_s(workers: typing.Iterable[_workers.Worker]) -> float:
    """Return the rate at which the runs of workers are expected to end."""
    return sum(
        1.0 / max(1e-3, run.expected_s * worker.run_time_ratio())
        for worker in workers
        for run in worker.runs.values()
    )


class JobOrder:
    """Order in which jobs that can be in time get the free capacity.

    Started jobs go first, so that what they have used is not lost. Next are
    those of queues and size classes that were served too seldom. While most
    jobs are served, the order is that of the latest starts.
    """

    def __init__(self) -> None:
        self.sizes = SizeClasses()
        self.shares = ServedShares()
        self.n_passed_over = 0

    def add_job(self, job: _jobs.JobState) -> None:
        """Classify a new job by its size."""
        job.size_class = self.sizes.observe(job)

    def record_end(
        self, job: _jobs.JobState, outcome: _records.Outcome, now_s: float
    ) -> None:
        """Record whether a job was served while that was useful."""
        is_served = outcome.is_result() and now_s <= job.useful_until_s
        self.shares.record(
            job.job.queue.name, job.size_class, is_served, now_s
        )

    def is_short(self) -> bool:
        """Return whether capacity is short."""
        return self.shares.share('') < _SHORT_SHARE

    def rank(
        self, job: _jobs.JobState, latest_start_s: float
    ) -> tuple[bool, bool, float]:
        """Return the rank of a job; lower ones go first."""
        if not self.is_short():
            return False, False, latest_start_s
        return (
            not job.n_sent,
            not self.shares.is_short_served(
                job.job.queue.name, job.size_class
            ),
            latest_start_s,
        )

    def must_pass_over(
        self,
        job: _jobs.JobState,
        n_left: int,
        available_s: float,
        rate_per_s: float,
    ) -> bool:
        """Return whether a job is not begun before others have been tried.

        That is if the tasks without capacity now, after those of started
        jobs, are not expected to get any in time.

        :param n_left: number of these tasks
        :param available_s: time until the latest start
        :param rate_per_s: rate at which runs end on the job's workers
        """
        if not self.is_short():
            return False
        if job.n_sent or n_left <= rate_per_s * available_s:
            return False
        self.n_passed_over += not job.was_passed_over
        job.was_passed_over = True
        return True

    def state(self) -> dict[str, typing.Any]:
        """Return the shares and counters, for logs."""
        return {
            'n_passed_over': self.n_passed_over,
            'served_shares': self.shares.by_queue(),
        }
