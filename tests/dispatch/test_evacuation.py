"""What the dispatcher starts while data centres are evacuated.

Guards against tasks that are sent to workers which the operator is about to
take away, and against jobs that wait for such workers until their deadline.
"""

import pytest

from orioleloom import dispatch
from tests.dispatch import test_dispatcher

ALL = ('dc0', 'dc1', 'dc2')


@pytest.fixture
def harness():
    """A dispatcher with a worker with two places in each data centre."""
    harness = test_dispatcher.Harness('w0', 'w1', 'w2')
    for number, (worker_id, info) in enumerate(list(harness.infos.items())):
        harness.infos[worker_id] = info._replace(
            data_centre=f'dc{number}', labels=(f'r{number}',)
        )
    harness.dispatcher.set_workers(harness.infos, harness.now_s)
    harness.effects()
    return harness


def submit(harness, number, n_tasks=1, fields=None, **options):
    job = test_dispatcher.one_step_job(
        f'{number:016x}', n_tasks, **fields or {}
    )
    harness.submit(job, **options)


def evacuate(harness, *data_centres):
    harness.dispatcher.set_evacuation(frozenset(data_centres), harness.now_s)


def outcomes(harness):
    return [e.outcome.kind for e in harness.effects(dispatch.AnswerJob)]


def test_worker_that_is_listed_during_an_evacuation_gets_nothing(harness):
    """Guards against a mark that only workers known at its start have."""
    evacuate(harness, 'dc0')
    harness.infos['w9'] = harness.infos['w0']._replace(
        id='w9', address='10.0.0.9:80'
    )
    harness.dispatcher.set_workers(harness.infos, harness.now_s)
    harness.dispatcher.announce_workers(1)
    harness.dispatcher.acknowledge_workers(1)
    harness.report('w9')
    submit(harness, 1, n_tasks=6)
    assert len(harness.starts()) == 4


def test_runs_go_on_and_are_not_replaced(harness):
    """Guards against a run that ends or is repeated due to an evacuation."""
    submit(harness, 1)
    (start,) = harness.starts()
    harness.accept(start)
    evacuate(harness, start.worker.data_centre)
    worker_id = start.worker.id
    for _ in range(10):
        harness.after(0.05)
        assert harness.dispatcher.needs_poll(worker_id, 0, harness.now_s)
        expires_ms, _ = harness.dispatcher.renew_lease(
            worker_id, harness.now_s
        )
        assert expires_ms > 1000 * (harness.now_s + 0.9)
        harness.report(worker_id, running=[(start.key, start.run_id)])
        assert not harness.effects(dispatch.StartRun | dispatch.StopRun)


def test_preferred_rack_in_the_evacuated_data_centre(harness):
    """Guards against tasks that wait for their rack."""
    evacuate(harness, 'dc0')
    submit(harness, 1, fields={'preferred_rack': 'r0'})
    (start,) = harness.starts()
    assert start.worker.data_centre != 'dc0'


@pytest.mark.parametrize(
    'zones, fields', [(ALL, {}), (['dc1'], {'required_label': 'r1'})]
)
def test_job_that_only_evacuated_workers_can_run(harness, zones, fields):
    """Guards against a wait until the deadline, before and after it begins.

    The first job fills the workers; the second one waits for room.
    """
    submit(harness, 1, n_tasks=6)
    assert len(harness.starts()) == 6
    submit(harness, 2, fields=fields)
    assert outcomes(harness) == []
    evacuate(harness, *zones)
    assert outcomes(harness) == [dispatch.OutcomeKind.NOT_RUN]
    submit(harness, 3, fields=fields)
    assert outcomes(harness) == [dispatch.OutcomeKind.NOT_RUN]
    evacuate(harness)
    submit(harness, 4, fields=fields)
    assert outcomes(harness) == []


def test_job_that_may_have_run_is_not_refused_as_not_run(harness):
    """Guards against a false promise that nothing of the job has run."""
    submit(harness, 1)
    harness.starts()
    submit(harness, 2, last_contact_s=harness.now_s)
    evacuate(harness, *ALL)
    for _ in range(10):
        harness.after(0.025)
        assert dispatch.OutcomeKind.NOT_RUN not in outcomes(harness)
