from orioleloom.engine import _jobs
from orioleloom import model


def test_ended_job_keeps_its_task_count_but_not_its_content():
    # Guards against ended jobs that keep their content for the whole
    # retention, which counted towards the size limit of the queue.
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
