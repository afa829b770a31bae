import typing

from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers

# Up to this multiple of the objective a late answer is still of use.
_LATE_FACTOR = 3.0


class TaskState:
    """Progress of one task."""

    __slots__ = (
        'avoided',
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
        # Workers on which the task failed.
        self.avoided: set[str] = set()


class JobState:
    """A job that the dispatcher has accepted and not answered.

    :param arrived_s: when the caller's request arrived
    :param deadline_s: when the caller stops waiting
    :param accepted_s: when the dispatcher took it over
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
        # Starts that were sent and not rejected; while it is zero no
        # task of the job has run.
        self.n_sent = 0
        # An earlier dispatcher may have started tasks.
        self.was_elsewhere = False
        # Tasks must not start before then, or before each worker was
        # confirmed after ``handed_s``.
        self.held_until_s = 0.0
        self.handed_s = 0.0
        self.expected_s = 0.0
        self.objective_s = 0.0
        self.late_until_s = 0.0
        self.first_start_s: float | None = None
        self.tasks: list[list[TaskState]] = [
            [
                TaskState(_records.TaskKey(job.id, number, index), self, step)
                for index in range(step.n_tasks)
            ]
            for number, step in enumerate(job.steps)
        ]
        self.n_open = [step.n_tasks for step in job.steps]
        self.waiting: list[TaskState] = []
        # A round of placement has looked at all workers for the job.
        self.was_considered = False
        self._released = [False] * len(job.steps)
        self.release_steps()

    def release_steps(self) -> None:
        """Queue the tasks of each step whose earlier steps are done."""
        for number, step in enumerate(self.job.steps):
            if self._released[number]:
                continue
            if any(self.n_open[earlier] for earlier in step.after):
                continue
            self._released[number] = True
            self.was_considered = False
            self.waiting.extend(
                task for task in self.tasks[number] if not task.is_done
            )

    def is_done(self) -> bool:
        """Return whether every task has ended well."""
        return not any(self.n_open)

    def all_tasks(self) -> typing.Iterator[TaskState]:
        """Yield the tasks of all steps."""
        for tasks in self.tasks:
            yield from tasks

    def set_expected(self, expected_s: float) -> None:
        """Derive the objective from the expected run time.

        :param expected_s: run time of the longest chain of steps on a
            worker of speed 1, in seconds
        """
        queue = self.job.queue
        self.expected_s = expected_s
        allowed_s = queue.slack_factor * expected_s + queue.target_latency_s
        self.objective_s = self.arrived_s + allowed_s
        self.late_until_s = min(
            self.arrived_s + _LATE_FACTOR * allowed_s, self.deadline_s
        )

    def may_have_run(self) -> bool:
        """Return whether any task may have started anywhere."""
        return self.n_sent > 0 or self.was_elsewhere
