"""Refusals of jobs that cannot end in time, and of no others."""

import random

import pytest

from benchmarks import admission as admission_driver
from orioleloom import dispatch

QUEUE = dispatch.Queue('lookup', 'pool', 1, 2, 1.6, 0.06)
N_WORKERS = 10
CREATED_S = 100.0
# A new dispatcher refuses nothing before.
NOW_S = CREATED_S + 1.5


def new_job(number, n_tasks=1, cpu=8_000, run_s=0.2):
    step = dispatch.Step(n_tasks, dispatch.Resources(cpu, 64), run_s)
    return dispatch.Job(f'{number:016x}', QUEUE, 'payload', (step,))


class Leader:
    """A dispatcher with workers that start all and end nothing."""

    def __init__(self, n_workers=N_WORKERS, capacity=16_000):
        self.dispatcher = dispatch.Dispatcher(
            token=5,
            run_id_base=1,
            random_state=random.Random(1),
            now_s=CREATED_S,
        )
        infos = {
            f'w{number}': dispatch.WorkerInfo(
                f'w{number}',
                f'10.0.0.{number}:80',
                'dc1',
                'pool',
                dispatch.Resources(capacity, 65_536),
                life=1,
            )
            for number in range(n_workers)
        }
        self.dispatcher.set_workers(infos, CREATED_S)
        report = dispatch.WorkerReport(1, 1, (), ())
        for worker_id in infos:
            self.dispatcher.handle_report(
                worker_id, report, CREATED_S, CREATED_S
            )
        self.started = []
        self.refused = {}
        self.n_jobs = 0

    def take_effects(self):
        for effect in self.dispatcher.take_effects():
            match effect:
                case dispatch.StartRun():
                    self.started.append(effect.key.job_id)
                case dispatch.AnswerJob(job_id, _, outcome):
                    if outcome.kind is dispatch.OutcomeKind.NOT_RUN:
                        self.refused[job_id] = outcome

    def submit(self, now_s, **kwargs):
        self.n_jobs += 1
        job = new_job(self.n_jobs, **kwargs)
        self.dispatcher.submit(
            job, 'e1', arrived_s=now_s, deadline_s=now_s + 1.58, now_s=now_s
        )
        self.take_effects()
        return job.id

    def tick(self, now_s):
        self.dispatcher.tick(now_s)
        self.take_effects()

    def fill(self, now_s, n_waiting):
        """Use all workers, and let so many jobs wait."""
        ids = [self.submit(now_s) for _ in range(2 * N_WORKERS + n_waiting)]
        self.tick(now_s + 0.025)
        return ids


@pytest.mark.parametrize('factor', [1.5, 2.6])
def test_burst_of_all_kinds(factor):
    """Guards against jobs that wait until their deadline untried.

    Without refusals before the end, 9 in 10 of the refused jobs wait for
    longer than their objective at twice the capacity.
    """
    _, callers = admission_driver.serve(
        0.9, 1, duration_s=6.0, bursts={'': (factor, 1.0, 5.0)}
    )
    assert callers.counts['wrong'] == 0
    assert callers.counts['not_run'] > 0
    assert callers.counts['untried'] < 0.3 * callers.counts['not_run']


def test_load_below_the_capacity():
    """Guards against refusals while workers are idle."""
    report, callers = admission_driver.serve(0.7, 1, duration_s=4.0)
    assert report.n_refused == 0
    assert callers.side.dispatcher.admission.expected_waits_s() == {}


def test_queue_that_drains_is_not_refused():
    """Guards against refusals of a short burst that the workers can do."""
    leader = Leader()
    leader.fill(NOW_S, 3 * N_WORKERS)
    assert not leader.refused
    admission = leader.dispatcher.admission
    assert 0.1 < admission.expected_wait_s('lookup') < 1.0
    leader.submit(NOW_S + 0.03)
    assert not leader.refused


def test_hopeless_queue_is_refused_at_once():
    """Guards against jobs that are held although the queue is too long."""
    leader = Leader()
    leader.fill(NOW_S, 60 * N_WORKERS)
    assert len(leader.refused) > 40 * N_WORKERS
    assert not set(leader.refused) & set(leader.started)
    waits_s = [o.retry_after_s for o in leader.refused.values()]
    assert max(waits_s) - min(waits_s) > 0.5
    assert {o.reason for o in leader.refused.values()} == {
        dispatch.NO_CAPACITY
    }


def test_lost_workers_count_no_more():
    """Guards against jobs that wait for workers that are gone."""
    leader = Leader()
    leader.fill(NOW_S, 2 * N_WORKERS)
    assert not leader.refused
    for number in range(N_WORKERS - 1):
        for _ in range(2):
            leader.dispatcher.handle_poll_failure(
                f'w{number}', 'no answer', NOW_S + 0.05
            )
    leader.tick(NOW_S + 0.15)
    # The remaining worker can do about ten of the twenty.
    assert 5 < len(leader.refused) < 20
    assert not set(leader.refused) & set(leader.started)


def test_wide_job_is_admitted_like_a_narrow_one():
    """Guards against a rule that refuses the largest jobs first."""
    leader = Leader()
    leader.fill(NOW_S, 2 * N_WORKERS)
    wide = leader.submit(NOW_S + 0.03, n_tasks=32)
    narrow = leader.submit(NOW_S + 0.03)
    assert not {wide, narrow} & set(leader.refused)


def test_job_that_fits_beside_the_others_is_admitted():
    """Guards against a refusal while a free worker can do the job."""
    leader = Leader(capacity=17_000)
    leader.fill(NOW_S, 60 * N_WORKERS)
    now_s = NOW_S + 0.03
    for _ in range(40 * N_WORKERS):
        leader.submit(now_s)
    large, small = leader.submit(now_s), leader.submit(now_s, cpu=900)
    assert large in leader.refused
    assert small in leader.started


def test_new_leader_refuses_nothing():
    """Guards against refusals before the workers and the load are known."""
    leader = Leader()
    leader.fill(CREATED_S + 0.1, 60 * N_WORKERS)
    assert not leader.refused


def test_job_that_may_have_run_is_not_refused():
    """Guards against "not run" for a job that another leader had."""
    leader = Leader()
    leader.fill(NOW_S, 60 * N_WORKERS)
    job = new_job(10**6)
    leader.dispatcher.submit(
        job,
        'e1',
        arrived_s=NOW_S,
        deadline_s=NOW_S + 1.58,
        last_contact_s=NOW_S - 0.2,
        now_s=NOW_S + 0.03,
    )
    leader.tick(NOW_S + 0.2)
    assert job.id not in leader.refused
    assert job.id in leader.dispatcher.jobs
