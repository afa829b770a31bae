"""State and log fields of a dispatcher for operators."""

import typing

from orioleloom.dispatch import _crashes
from orioleloom.dispatch import _jobs
from orioleloom.dispatch import _records
from orioleloom.dispatch import _workers


def describe(
    jobs: typing.Iterable[_jobs.JobState],
    workers: typing.Iterable[_workers.Worker],
    crashes: _crashes.CrashLedger,
    now_s: float,
) -> dict[str, typing.Any]:
    """Return the jobs, workers and suspects of a dispatcher."""
    return {
        'suspects': crashes.state(),
        'jobs': {
            job.job.id: {
                'queue': job.job.queue.name,
                'instance': job.instance_id,
                'age_s': round(now_s - job.arrived_s, 3),
                'n_waiting': len(job.waiting),
                'n_open': sum(job.n_unfinished_tasks),
            }
            for job in jobs
        },
        'workers': {worker.id: worker.state(now_s) for worker in workers},
    }


def describe_end(
    job: _jobs.JobState, outcome: _records.Outcome, now_s: float
) -> dict[str, typing.Any]:
    """Return the fields of the log event of a job that ends now."""
    return {
        'job': job.job.id,
        'queue': job.job.queue.name,
        'outcome': outcome.kind,
        'reason': outcome.reason,
        'n_tasks': sum(step.n_tasks for step in job.job.steps),
        'n_sent': job.n_sent,
        'waited_ms': round((job.first_start_s - job.arrived_s) * 1000)
        if job.first_start_s is not None
        else None,
        'total_ms': round((now_s - job.arrived_s) * 1000),
        'objective_ms': round((job.objective_s - job.arrived_s) * 1000),
    }
