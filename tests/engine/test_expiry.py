import collections
import gc
import types
import weakref

from orioleloom.engine import _expiry
from orioleloom.engine import _jobs
from orioleloom import model


class Request:
    """Content of a job; unlike a tuple it supports weak references."""

    tasks = ()


def test_content_of_a_removed_job_is_released():
    # Claim rows are deleted hours after their jobs are removed. Guards
    # against pending deletions that keep the jobs in memory until then.
    job_id = model.JobId('c', 's')
    job = _jobs.Job(job_id, Request(), False, 0.0, 1.0, 100, revision=5)
    content = weakref.ref(job.request)
    core = types.SimpleNamespace(
        now_s=10.0,
        ended_jobs=collections.deque([job]),
        jobs={job_id: job},
        active_jobs={},
        deadlines=[],
        stop_at_s=None,
        settings=types.SimpleNamespace(
            retention_s=5.0, claim_retention_s=100.0, record_timeout_s=1.0
        ),
        new_token=lambda: 'token',
        claim_writer=types.SimpleNamespace(
            add=lambda group: added.append(group)
        ),
    )
    added = []
    flow = types.SimpleNamespace(remove_job=lambda job: core.jobs.pop(job.id))
    expiry = _expiry.Expiry(core, None, None, flow, None)
    del job
    expiry.tick()
    gc.collect()
    assert content() is None
    core.now_s = 111.0
    expiry.tick()
    (group,) = added
    assert group.ops == (model.TableOp('delete', 'claim/c/s', None, 5),)
