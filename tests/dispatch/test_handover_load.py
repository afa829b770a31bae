"""Load of a leader whose followers lose and find it again and again.

Pattern: on harrowgate-loom-large scale-1 a leader that had taken over was late
for ten seconds. It lost 80 followers a second, their jobs were handed over
again, and each handover polled all 540 workers every 0.05 s.
"""

import random

import pytest

from orioleloom import dispatch
from orioleloom.dispatch import _holds

QUEUE = dispatch.Queue('check', 'pool', 0, 2, 1.6, 0.06)


def new_dispatcher(n_workers, now_s):
    dispatcher = dispatch.Dispatcher(
        token=5, run_id_base=1, random_state=random.Random(1), now_s=now_s
    )
    dispatcher.set_workers(
        {
            f'w{number}': dispatch.WorkerInfo(
                f'w{number}',
                '10.0.0.1:80',
                'dc1',
                'pool',
                dispatch.Resources(16_000, 65_536),
                life=1,
            )
            for number in range(n_workers)
        },
        now_s,
    )
    dispatcher.take_effects()
    return dispatcher


def submit_handed_over(dispatcher, number, now_s, instance_id='e1'):
    dispatcher.submit(
        dispatch.Job(
            f'{number:016x}',
            QUEUE,
            'payload',
            (dispatch.Step(1, dispatch.Resources(6_800, 64), 0.2),),
        ),
        instance_id,
        arrived_s=now_s,
        deadline_s=now_s + 5.0,
        last_contact_s=now_s - 0.3,
        list_in_use=dispatch.ListInUse(0, 0),
        now_s=now_s,
    )


@pytest.mark.parametrize('n_workers', [24, 176, 540])
def test_polls_to_confirm_handovers_are_limited(n_workers):
    """The target is 1,000 polls a second and one round after each limit."""
    now_s = 100.0
    dispatcher = new_dispatcher(n_workers, now_s)
    n_polls = 0
    n_steps = 120
    for step in range(n_steps):
        now_s += 0.025
        submit_handed_over(dispatcher, step, now_s)
        dispatcher.tick(now_s)
        n_polls += sum(
            isinstance(effect, dispatch.PollWorkerOnce)
            for effect in dispatcher.take_effects()
        )
    assert n_polls <= n_steps * 0.025 * 1000 + n_workers
    # Each worker is still polled: a hold of 1.8 s must be able to end early.
    assert n_polls >= n_workers


def test_reports_of_one_turn_check_the_held_jobs_once(monkeypatch):
    """Guards against work for each report and each held job together.

    A leader with many held jobs spent a sixth of its time on this check.
    """
    n_checked = 0
    knows_workers_of = _holds.JobHolds._knows_workers_of

    def count(self, used):
        nonlocal n_checked
        n_checked += 1
        return knows_workers_of(self, used)

    monkeypatch.setattr(_holds.JobHolds, '_knows_workers_of', count)
    now_s = 100.0
    dispatcher = new_dispatcher(176, now_s)
    for number in range(50):
        submit_handed_over(dispatcher, number, now_s)
    dispatcher.tick(now_s)
    dispatcher.take_effects()
    n_checked = 0
    for worker_id in dispatcher.workers:
        report = dispatch.WorkerReport(1, 1, (), ())
        dispatcher.handle_report(worker_id, report, now_s + 0.01, now_s + 0.02)
    effects = dispatcher.take_effects()
    assert n_checked <= 50
    # The last of these reports has released the jobs.
    assert sum(isinstance(e, dispatch.StartRun) for e in effects) == 50
