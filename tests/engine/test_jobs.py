from orioleloom.engine import _jobs
from orioleloom import model


def test_an_ended_job_keeps_its_size_but_not_its_content():
    # Guards against answers that hold the content of their jobs for the
    # whole retention, which made the queue look full of bytes.
    tasks = tuple(model.Task('k', 'x' * 1000, 'up') for _ in range(3))
    job = _jobs.Job(
        model.JobId('acme', 's1'),
        model.JobRequest(tasks, None, 'digest'),
        ticket=True,
        accepted_at_s=0.0,
        deadline_at_s=1.0,
        size_bytes=3000,
    )
    job.release_content()
    assert job.n_tasks == 3
    assert job.size_bytes == 0
    assert job.request == model.JobRequest((), None, 'digest')
    assert job.report()['not_run'] == [0, 1, 2]
