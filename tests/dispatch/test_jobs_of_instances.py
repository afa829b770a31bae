"""The jobs of each instance, which a leader looks up for each reply."""

import random

from orioleloom import dispatch

QUEUE = dispatch.Queue('check', 'pool', 0, 2, 1.6, 0.06)


def submit(dispatcher, number, instance_id):
    dispatcher.submit(
        dispatch.Job(
            f'{number:016x}',
            QUEUE,
            'payload',
            (dispatch.Step(1, dispatch.Resources(6_800, 64), 0.2),),
        ),
        instance_id,
        arrived_s=100.0,
        deadline_s=102.0,
        now_s=100.0,
    )


def test_jobs_follow_their_instances():
    """Guards against jobs that outlive their instance or are lost with it.

    The leader once looked at all jobs for each reply to a heartbeat, so that
    this work grew with the instances and with the jobs together.
    """
    dispatcher = dispatch.Dispatcher(
        token=5, run_id_base=1, random_state=random.Random(1), now_s=100.0
    )

    def ids(instance_id):
        jobs = dispatcher.jobs_of_instance(instance_id)
        return [int(job.job.id, 16) for job in jobs]

    for number in range(4):
        submit(dispatcher, number, f'e{number % 2}')
    assert ids('e0') == [0, 2]
    assert ids('e1') == [1, 3]
    # The caller of one job submits it again at the other instance.
    submit(dispatcher, 2, 'e1')
    assert ids('e0') == [0]
    dispatcher.cancel_instance_jobs('e1', 'instance out of contact', 100.1)
    assert ids('e1') == []
    assert sorted(dispatcher.jobs) == [f'{0:016x}']
    dispatcher.tick(103.0)
    assert ids('e0') == []
