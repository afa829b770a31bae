import pytest

import orioleloom_standins as standins
from orioleloom_standins import audit

TASK = audit.SentTask('k', {'id': 7})
RESULT = standins.expected_result('k', {'id': 7})


def entry(event='start', key='c/s/0', time_s=1.0, worker='w0'):
    return standins.LedgerEntry(event, key, time_s, worker, 'e1', 7)


RAN = [entry(), entry('ok', time_s=2.0)]


def call(answer, *, accepted=True, pending=False, task=TASK, n_tasks=1):
    return audit.Call('c', 's', (task,) * n_tasks, accepted, answer, pending)


def complete(results):
    return {'state': 'complete', 'results': results}


def failed(run='unknown', **report):
    report = {'not_run': [], 'unknown': [], 'failed': [], 'done': 0, **report}
    return {'state': 'failed', 'error': {'run': run}, 'tasks': report}


def refused(run):
    return {'state': 'failed', 'error': {'run': run}}


def rules(ledger, calls, history=(), observations=()):
    found = audit.audit(ledger, calls, history, observations)
    return {violation.rule for violation in found}


@pytest.mark.parametrize(
    'ledger, calls',
    [
        (RAN, [call(complete([RESULT]))]),
        ([], [call(refused('not_run'), accepted=False)]),
        ([entry()], [call(failed(unknown=[0]))]),
        ([], [call(None, pending=True)]),
        (RAN, [call(complete([RESULT])), call(complete([RESULT]))]),
    ],
)
def test_a_correct_run_has_no_violation(ledger, calls):
    # Guards against a checker that reports correct runs.
    assert rules(ledger, calls) == set()


@pytest.mark.parametrize(
    'rule, ledger, calls',
    [
        ('started_twice', [*RAN, entry(worker='w1')], [call(None)]),
        (
            'non_idempotent_started_twice',
            [*RAN, entry(worker='w1')],
            [call(None)],
        ),
        ('unknown_task', [entry(key='c/other/0')], [call(None)]),
        ('no_answer', [], [call(None)]),
        ('partial_answer', RAN, [call(complete([RESULT]), n_tasks=2)]),
        ('partial_answer', [], [call(failed(not_run=[0]), n_tasks=2)]),
        ('partial_answer', [], [call(failed(not_run=[0], unknown=[0]))]),
        ('complete_without_run', [], [call(complete([RESULT]))]),
        ('complete_without_run', [entry()], [call(complete([RESULT]))]),
        ('wrong_result', RAN, [call(complete([{'id': 8}]))]),
        (
            'answers_differ',
            RAN,
            [call(complete([RESULT])), call(complete([0]))],
        ),
        ('not_run_but_started', RAN, [call(refused('not_run'))]),
        ('not_run_but_started', RAN, [call(failed(not_run=[0]))]),
        (
            'not_run_but_started',
            RAN,
            [call(complete([RESULT])), call(refused('not_run'))],
        ),
        ('malformed_answer', [], [call({'state': 'half'})]),
    ],
)
def test_a_planted_violation_is_reported(rule, ledger, calls):
    # Guards R1, R2, R3, R4 and R5 against a checker that misses a breach.
    assert rule in rules(ledger, calls)


def test_an_idempotent_task_that_starts_twice_is_reported():
    # Guards R1, which holds for idempotent tasks too.
    task = audit.SentTask('k', {'id': 7}, idempotent=True)
    found = rules([entry(), entry()], [call(None, pending=True, task=task)])
    assert found == {'started_twice'}


def test_a_contract_that_reverts_is_reported():
    # Guards R8: a version never decreases on an instance.
    seen = [
        audit.ContractObservation('e1/a', 'c', 3, 1.0),
        audit.ContractObservation('e2/a', 'c', 2, 2.0),
    ]
    assert rules([], [], (), seen) == set()
    seen.append(audit.ContractObservation('e1/a', 'c', 2, 3.0))
    assert rules([], [], (), seen) == {'contract_reverted'}


def test_a_contract_version_written_twice_is_reported():
    # Guards R8: two operators must not both commit one version.
    history = [
        standins.Commit(
            revision, 't', 1.0, (('put', 'contract/c', {'version': 1}),)
        )
        for revision in (1, 2)
    ]
    assert rules([], [], history) == {'contract_version_reused'}
