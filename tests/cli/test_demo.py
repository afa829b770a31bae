import random

import pytest

from orioleloom.cli import _demo
from orioleloom import client
from orioleloom import model

TASKS = tuple(model.Task('k', {}, 'u') for _ in range(3))
JOB = _demo.DemoJob('noche', 'k', TASKS, 0.0)


def check_answer(answer, *counts):
    starts = {f'noche/s/{i}': n for i, n in enumerate(counts) if n}
    return _demo.find_faults([_demo.JobOutcome(JOB, answer, 0.1)], starts)


def make_error(error_type, **report):
    return error_type(
        'code',
        'message',
        submission_id='s',
        report={'not_run': [], 'unknown': [], 'failed': [], 'done': 0}
        | report,
    )


COMPLETE = client.JobAnswer('s', 'complete', results=[1, 2, 3])
UNKNOWN = make_error(
    client.OutcomeUnknownError, unknown=[0], not_run=[2], done=1
)


@pytest.mark.parametrize(
    ('answer', 'counts'),
    [
        (COMPLETE, (1, 1, 1)),
        (UNKNOWN, (0, 1, 0)),
        (UNKNOWN, (1, 1, 0)),
        (client.NotRunError('c', 'm', submission_id='s'), (0, 0, 0)),
    ],
)
def test_answers_that_agree_with_the_ledger(answer, counts):
    assert check_answer(answer, *counts) == []


@pytest.mark.parametrize(
    ('answer', 'counts', 'text'),
    [
        (COMPLETE, (1, 2, 1), 'started 2 times'),
        (COMPLETE, (1, 0, 1), 'never started'),
        (COMPLETE._replace(results=[1]), (1, 1, 1), '1 results'),
        (UNKNOWN, (1, 1, 1), 'not run, but started'),
        (UNKNOWN, (1, 0, 0), 'never started'),
        (make_error(client.JobFailedError, done=2), (1, 1, 1), 'cover'),
        (
            client.NotRunError('c', 'm', submission_id='s'),
            (1, 0, 0),
            'not run, but 1 ran',
        ),
        (
            client.OutcomeUnknownError('c', 'm', submission_id='s'),
            (0, 0, 0),
            'no report',
        ),
    ],
)
def test_disagreement_is_a_fault(answer, counts, text):
    # Guards R1, R2, R4: the demo must not exit with 0 if an answer contradicts
    # the ledger or a task started twice.
    assert any(text in fault for fault in check_answer(answer, *counts))


def test_jobs_are_of_both_customers_and_all_kinds():
    jobs = _demo.make_jobs(30, 10.0, random.Random(1))
    assert {job.customer for job in jobs} == set(_demo.CONTRACTS)
    assert len({job.kind for job in jobs}) == 6
    assert all(1 <= len(job.tasks) <= 60 for job in jobs)
