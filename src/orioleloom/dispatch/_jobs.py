import typing

from orioleloom.dispatch import _estimates
from orioleloom.dispatch import _records
from orioleloom.dispatch import _worker_lists
from orioleloom.dispatch import _workers

# A late job is still useful to its caller up to this multiple of the time
# that the objective allows.
_LATE_FACTOR = 3.0


def critical_path_s(
    job: _records.Job, run_times: _estimates.RunTimeEstimator
) -> float:
    """Return the expected run time of the longest chain of steps.

    :returns: seconds on workers of speed 1
    """
    step_ends_s: list[float] = []
    for step in job.steps:
        start_s = max((step_ends_s[n] for n in step.after), default=0.0)
        step_ends_s.append(
            start_s + run_times.expected_s(job.queue.name, step.estimate_s)
        )
    return max(step_ends_s)


def total_work_s(
    job: _records.Job, run_times: _estimates.RunTimeEstimator
) -> float:
    """Return the sum of the expected run times of all tasks.

    :returns: seconds on workers of speed 1
    """
    return sum(
        step.n_tasks * run_times.expected_s(job.queue.name, step.estimate_s)
        for step in job.steps
    )


def remaining_path_s(
    job: _records.Job, first: int, run_times: _estimates.RunTimeEstimator
) -> float:
    """Return the expected run time of the longest chain from a step on.

    :param first: index of the first step of the chain
    :returns: seconds on workers of speed 1
    """
    # Steps only depend on earlier ones.
    ends_s = {first: 0.0}
    for number, step in enumerate(job.steps[first:], first):
        starts_s = [ends_s[n] for n in step.after if n in ends_s]
        if starts_s or number == first:
            ends_s[number] = max(starts_s, default=0.0) + run_times.expected_s(
                job.queue.name, step.estimate_s
            )
    return max(ends_s.values())


def allowed_time_s(queue: _records.Queue, expected_s: float) -> float:
    """Return how long a job may take to meet its queue's objective."""
    return queue.slack_factor * expected_s + queue.target_latency_s


def _declared_run_time_s(job: _records.Job) -> float:
    """Return the run time of the longest chain of steps, as declared."""
    return critical_path_s(job, _estimates.RunTimeEstimator())


def declared_allowed_time_s(job: _records.Job) -> float:
    """Return how long a job may take to meet its queue's objective.

    Uses the declared run times only, for instances that have no statistics.
    """
    return allowed_time_s(job.queue, _declared_run_time_s(job))


def latest_useful_start_s(
    job: _records.Job, *, arrived_s: float, deadline_s: float
) -> float:
    """Return until when a start can still be of use to the caller.

    Uses the declared run times only, for instances that have no statistics.
    """
    useful_s = _LATE_FACTOR * declared_allowed_time_s(job)
    return min(arrived_s + useful_s, deadline_s) - _declared_run_time_s(job)


class TaskState:
    """State of one task."""

    __slots__ = (
        'excluded_worker_ids',
        'is_done',
        'job',
        'key',
        'last_run_id',
        'n_failures',
        'n_moves',
        'run',
        'step',
    )

    def __init__(
        self, key: _records.TaskKey, job: 'JobState', step: _records.Step
    ):
        self.key = key
        self.job = job
        self.step = step
        self.run: _workers.Run | None = None
        self.is_done = False
        self.n_failures = 0
        self.n_moves = 0
        self.last_run_id = 0
        # Workers on which the task failed or was a straggler.
        self.excluded_worker_ids: set[str] = set()


class JobState:
    """State of a job that has been accepted and has not ended.

    :param arrived_s: when the caller's request arrived
    :param deadline_s: when the caller stops waiting
    :param accepted_s: when the dispatcher accepted the job
    """

    def __init__(
        self,
        job: _records.Job,
        instance_id: str,
        arrived_s: float,
        deadline_s: float,
        accepted_s: float,
    ):
        self.job = job
        self.instance_id = instance_id
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.accepted_s = accepted_s
        # Number of starts that may have reached a worker and were not
        # rejected. While it is zero, no task of the job has run.
        self.n_sent = 0
        # An earlier dispatcher may have started tasks of the job.
        self.may_have_run_elsewhere = False
        # No task starts before this time, unless every worker has reported
        # since ``held_since_s``.
        self.held_until_s = 0.0
        self.held_since_s = 0.0
        # Workers that the earlier dispatcher used.
        self.earlier_list = _worker_lists.ListInUse()
        self.expected_s = 0.0
        self.objective_s = 0.0
        self.useful_until_s = 0.0
        # Expected run time of all tasks together, and of one on average.
        self.work_s = 0.0
        self.task_s = 0.0
        # When the first start was expected, if the job had to wait for it.
        self.expected_start_s: float | None = None
        # Size relative to others of the queue, see ``SizeClasses``.
        self.size_class = 0
        self.was_passed_over = False
        self.first_start_s: float | None = None
        self.tasks: list[list[TaskState]] = [
            [
                TaskState(_records.TaskKey(job.id, number, index), self, step)
                for index in range(step.n_tasks)
            ]
            for number, step in enumerate(job.steps)
        ]
        # By step.
        self.n_unfinished_tasks = [step.n_tasks for step in job.steps]
        self.waiting: list[TaskState] = []
        # The job was part of a placement round since tasks were last queued.
        # Later rounds only search workers that may have gained resources.
        self.was_in_placement_round = False
        self._is_step_released = [False] * len(job.steps)
        self.release_ready_steps()

    def hold(
        self,
        since_s: float,
        until_s: float,
        earlier_list: _worker_lists.ListInUse,
    ) -> None:
        """Hold the job back while its tasks may run elsewhere.

        :param since_s: reports of workers count from this time
        :param until_s: when the leases of an earlier dispatcher have ended
        :param earlier_list: workers that the earlier dispatcher used
        """
        self.held_since_s = since_s
        self.held_until_s = until_s
        self.earlier_list = earlier_list

    def release_ready_steps(self) -> None:
        """Queue the tasks of each step whose prerequisites are done."""
        for number, step in enumerate(self.job.steps):
            if self._is_step_released[number]:
                continue
            if any(self.n_unfinished_tasks[earlier] for earlier in step.after):
                continue
            self._is_step_released[number] = True
            self.was_in_placement_round = False
            self.waiting.extend(
                task
                for task in self.tasks[number]
                if not task.is_done and task.run is None
            )

    def requeue(self, task: TaskState) -> None:
        """Queue a task again before the others, if its step may run."""
        if self._is_step_released[task.key.step]:
            self.waiting.insert(0, task)
            self.was_in_placement_round = False

    def is_done(self) -> bool:
        """Return whether every task has succeeded."""
        return not any(self.n_unfinished_tasks)

    def all_tasks(self) -> typing.Iterator[TaskState]:
        """Yield the tasks of all steps."""
        for tasks in self.tasks:
            yield from tasks

    def drop_tasks(self) -> None:
        """Drop the tasks of a job that has ended.

        They refer to the job, so that their memory would stay in use until
        the next full garbage collection.
        """
        self.tasks = []
        self.waiting = []

    def set_expected_run_time(self, expected_s: float) -> None:
        """Derive the objective from the expected run time.

        :param expected_s: expected run time of the critical path on
            workers of speed 1, in seconds
        """
        self.expected_s = expected_s
        allowed_s = allowed_time_s(self.job.queue, expected_s)
        self.objective_s = self.arrived_s + allowed_s
        self.useful_until_s = min(
            self.arrived_s + _LATE_FACTOR * allowed_s, self.deadline_s
        )

    def set_work(self, work_s: float) -> None:
        """Set the expected run time of all tasks, at speed 1."""
        self.work_s = work_s
        self.task_s = work_s / sum(step.n_tasks for step in self.job.steps)

    def may_have_run(self) -> bool:
        """Return whether any task may have started anywhere."""
        return self.n_sent > 0 or self.may_have_run_elsewhere


def count_unstarted_by_queue(
    jobs: typing.Iterable[JobState],
) -> dict[str, int]:
    """Return the number of jobs without a started task, by queue."""
    counts: dict[str, int] = {}
    for job in jobs:
        if job.first_start_s is None:
            name = job.job.queue.name
            counts[name] = counts.get(name, 0) + 1
    return counts
