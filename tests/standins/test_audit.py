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


def rules(ledger, calls, history=None, observations=()):
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
        (RAN, [call(complete([RESULT])), call(None)]),
        (
            [entry(), entry('failed')],
            [call(failed('ran', failed=[0]))],
        ),
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
        ('wrong_report', [entry()], [call(failed('ran', failed=[0]))]),
        ('wrong_report', [entry()], [call(failed('ran', done=1))]),
        ('no_answer', [], [call(None), call(refused('x'), accepted=False)]),
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
    assert rules([], [], None, seen) == set()
    seen.append(audit.ContractObservation('e1/a', 'c', 2, 3.0))
    assert rules([], [], None, seen) == {'contract_reverted'}


def test_a_contract_version_written_twice_is_reported():
    # Guards R8: two operators must not both commit one version.
    history = [
        standins.Commit(
            revision, 't', 1.0, (('put', 'contract/c', {'version': 1}),)
        )
        for revision in (1, 2)
    ]
    assert rules([], [], history) == {'contract_version_reused'}


def claim(revision, owner, released, time_s):
    value = {'owner': owner, 'released': released}
    op = ('put', 'claim/c/s', value)
    return standins.Commit(revision, 't', time_s, (op,))


@pytest.mark.parametrize(
    'rule, history',
    [
        (None, [claim(1, 'e1/a', 0, 0.1), claim(2, 'e1/a', 1, 0.2)]),
        ('started_without_claim', []),
        ('started_without_claim', [claim(1, 'e1/a', 0, 0.1)]),
        ('started_without_claim', [claim(1, 'e1/a', 1, 1.5)]),
        ('started_without_claim', [claim(1, 'e2/a', 1, 0.1)]),
        (
            'watermark_decreased',
            [claim(1, 'e1/a', 1, 0.1), claim(2, 'e2/a', 0, 0.2)],
        ),
    ],
)
def test_a_start_needs_a_committed_watermark_above_it(rule, history):
    # Guards section 4: the order "commit, then start" is what keeps a
    # second owner from starting the same task.
    found = rules(RAN, [call(complete([RESULT]))], history)
    assert found == ({rule} if rule else set())


def test_a_ticket_needs_no_claim():
    ledger = [entry(key='c/t1.e1.a.5.n/0')]
    assert rules(ledger, [], []) == set()


def test_a_late_start_on_a_leaving_worker_is_reported():
    # Guards R6: 3 s after the list no new work goes to the worker.
    ledger = [entry(time_s=12.9), entry(key='c/s/1', time_s=13.1)]
    found = audit.audit(ledger, [], leaving=[audit.Leaving('w0', 10.0)])
    assert [violation.subject for violation in found] == ['c/s/1']


def test_peak_in_flight_counts_overlaps_of_one_customer():
    ledger = [
        entry(key='a/s/0', time_s=1),
        entry('ok', key='a/s/0', time_s=2),
        entry(key='a/s/1', time_s=2),
        entry(key='b/s/0', time_s=1),
        entry(key='b/s/1', time_s=1.5),
    ]
    assert audit.peak_in_flight(ledger) == {'a': 1, 'b': 2}
