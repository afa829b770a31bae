import pytest

import orioleloom_standins as standins
from orioleloom_standins import audit

TASK = audit.SentTask('k', {'id': 7})
RESULT = standins.expected_result('k', {'id': 7})


def entry(event='start', key='c/s/0', time_s=1.0, worker='w0'):
    return standins.LedgerEntry(event, key, time_s, worker, 'e1', 7)


RUN_ENTRIES = [entry(), entry('ok', time_s=2.0)]


def call(answer, *, accepted=True, pending=False, task=TASK, n_tasks=1):
    return audit.Call('c', 's', (task,) * n_tasks, accepted, answer, pending)


def complete(results):
    return {'state': 'complete', 'results': results}


def failed(run='unknown', **report):
    report = {'not_run': [], 'unknown': [], 'failed': [], 'done': 0, **report}
    return {'state': 'failed', 'error': {'run': run}, 'tasks': report}


def rejected(run):
    return {'state': 'failed', 'error': {'run': run}}


def rules(ledger, calls, history=None, observations=()):
    violations = audit.audit(ledger, calls, history, observations)
    return {violation.rule for violation in violations}


@pytest.mark.parametrize(
    'ledger, calls',
    [
        (RUN_ENTRIES, [call(complete([RESULT]))]),
        ([], [call(rejected('not_run'), accepted=False)]),
        ([entry()], [call(failed(unknown=[0]))]),
        ([], [call(None, pending=True)]),
        (RUN_ENTRIES, [call(complete([RESULT])), call(complete([RESULT]))]),
        (RUN_ENTRIES, [call(complete([RESULT])), call(None)]),
        (
            [entry(), entry('failed')],
            [call(failed('ran', failed=[0]))],
        ),
    ],
)
def test_a_correct_run_has_no_violation(ledger, calls):
    # Guards against an audit that reports violations in a correct run.
    assert rules(ledger, calls) == set()


@pytest.mark.parametrize(
    'rule, ledger, calls',
    [
        ('started_twice', [*RUN_ENTRIES, entry(worker='w1')], [call(None)]),
        (
            'non_idempotent_started_twice',
            [*RUN_ENTRIES, entry(worker='w1')],
            [call(None)],
        ),
        ('unknown_task', [entry(key='c/other/0')], [call(None)]),
        ('no_answer', [], [call(None)]),
        ('partial_answer', RUN_ENTRIES, [call(complete([RESULT]), n_tasks=2)]),
        ('partial_answer', [], [call(failed(not_run=[0]), n_tasks=2)]),
        ('partial_answer', [], [call(failed(not_run=[0], unknown=[0]))]),
        ('complete_without_run', [], [call(complete([RESULT]))]),
        ('complete_without_run', [entry()], [call(complete([RESULT]))]),
        ('wrong_result', RUN_ENTRIES, [call(complete([{'id': 8}]))]),
        (
            'answers_differ',
            RUN_ENTRIES,
            [call(complete([RESULT])), call(complete([0]))],
        ),
        ('not_run_but_started', RUN_ENTRIES, [call(rejected('not_run'))]),
        ('not_run_but_started', RUN_ENTRIES, [call(failed(not_run=[0]))]),
        (
            'not_run_but_started',
            RUN_ENTRIES,
            [call(complete([RESULT])), call(rejected('not_run'))],
        ),
        ('wrong_report', [entry()], [call(failed('ran', failed=[0]))]),
        ('wrong_report', [entry()], [call(failed('ran', done=1))]),
        ('no_answer', [], [call(None), call(rejected('x'), accepted=False)]),
        ('malformed_answer', [], [call({'state': 'half'})]),
    ],
)
def test_a_violation_is_reported(rule, ledger, calls):
    # Guards R1, R2, R3, R4 and R5: the audit must not miss a violation.
    assert rule in rules(ledger, calls)


def test_an_idempotent_task_that_starts_twice_is_reported():
    # Guards R1, which also applies to idempotent tasks.
    task = audit.SentTask('k', {'id': 7}, idempotent=True)
    violated = rules([entry(), entry()], [call(None, pending=True, task=task)])
    assert violated == {'started_twice'}


def test_a_contract_that_reverts_is_reported():
    # Guards R8: the version in force on an instance never decreases.
    observations = [
        audit.ContractObservation('e1/a', 'c', 3, 1.0),
        audit.ContractObservation('e2/a', 'c', 2, 2.0),
    ]
    assert rules([], [], None, observations) == set()
    observations.append(audit.ContractObservation('e1/a', 'c', 2, 3.0))
    assert rules([], [], None, observations) == {'contract_reverted'}


def test_a_contract_version_written_twice_is_reported():
    # Guards R8: two operators must not commit the same version.
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
    # Guards section 4: committing the watermark before the start prevents
    # a second owner from starting the same task.
    violated = rules(RUN_ENTRIES, [call(complete([RESULT]))], history)
    assert violated == ({rule} if rule else set())


def test_a_ticket_needs_no_claim():
    ledger = [entry(key='c/t1.e1.a.5.n/0')]
    assert rules(ledger, [], []) == set()


def test_a_late_start_on_a_leaving_worker_is_reported():
    # Guards R6: a worker gets no new tasks from 3 s after the member list
    # shows it as leaving.
    ledger = [entry(time_s=12.9), entry(key='c/s/1', time_s=13.1)]
    violations = audit.audit(ledger, [], leaving=[audit.Leaving('w0', 10.0)])
    assert [violation.subject for violation in violations] == ['c/s/1']


def test_peak_in_flight_counts_overlaps_of_one_customer():
    ledger = [
        entry(key='a/s/0', time_s=1),
        entry('ok', key='a/s/0', time_s=2),
        entry(key='a/s/1', time_s=2),
        entry(key='b/s/0', time_s=1),
        entry(key='b/s/1', time_s=1.5),
    ]
    assert audit.peak_in_flight(ledger) == {'a': 1, 'b': 2}
