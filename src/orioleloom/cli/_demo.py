import argparse
import collections
import random
import sys
import typing

import trio

from orioleloom.cli import _exit
from orioleloom.cli import _processes
from orioleloom.cli import _settings
from orioleloom import client
from orioleloom import model

HELP = 'run jobs on a local cluster and kill an instance meanwhile'
DESCRIPTION = (
    'Starts a stand-in platform, six stand-in workers of different speed '
    'and two data centres with two entry instances each on loopback, '
    'submits jobs of two customers, kills one instance after half of the '
    'time, and compares the answers with the ledgers of task starts. Exits '
    'with 0 only if no task started twice and each answer accounts for all '
    'tasks of its job.'
)

_WORKERS = (
    _processes.WorkerGroup('plant', 'batching', 'regina', (8.0, 3.0, 1.0)),
    _processes.WorkerGroup('hall', 'museum', 'saskatoon', (6.0, 2.0, 1.0)),
)

_ENTRIES = (
    _processes.EntrySpec('regina-1', 'regina'),
    _processes.EntrySpec('regina-2', 'regina'),
    _processes.EntrySpec('saskatoon-1', 'saskatoon'),
    _processes.EntrySpec('saskatoon-2', 'saskatoon'),
)

CONTRACTS: dict[str, dict[str, typing.Any]] = {
    'harrowgate': {
        'in_flight': 24,
        'starts_per_s': 400,
        'burst': 100,
        'upstreams': ['batching'],
        'weight': 1.0,
    },
    'noche': {
        'in_flight': 24,
        'starts_per_s': 400,
        'burst': 100,
        'upstreams': ['museum'],
        'weight': 1.0,
    },
}

# Customer, kind of task, upstream, number of tasks per job (minimum,
# maximum), and run time of a task in ms on a worker of speed 1 (minimum,
# maximum).
_JOB_KINDS = (
    ('harrowgate', 'slurry_check', 'batching', (8, 60), (150, 900)),
    ('noche', 'seat_hold', 'museum', (1, 20), (60, 300)),
    ('harrowgate', 'crew_booking', 'batching', (1, 12), (100, 600)),
    ('noche', 'roster', 'museum', (10, 60), (150, 700)),
    ('harrowgate', 'cure_time_lookup', 'batching', (1, 4), (60, 200)),
    ('noche', 'guardian_confirmation', 'museum', (1, 30), (100, 500)),
)

# Delay until the killed instance is listed as gone: a real platform takes
# some time to detect a failure.
_FAILURE_DETECTION_S = 1.0

# Wait before the ledgers are read: a worker may still be running a task
# whose job has been answered.
_SETTLE_S = 1.0


class DemoJob(typing.NamedTuple):
    """A job of the demo.

    :param at_s: time after the start at which the job is submitted
    """

    customer: str
    kind: str
    tasks: tuple[model.Task, ...]
    at_s: float


class JobOutcome(typing.NamedTuple):
    """The outcome of a job.

    :param answer: answer, or the error raised instead of an answer
    :param duration_s: time from the submission to the answer or error
    """

    job: DemoJob
    answer: client.JobAnswer | client.SubmissionError
    duration_s: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags of ``demo``."""
    _settings.add_number(
        parser,
        '--jobs',
        default=30,
        low=6,
        high=300,
        integer=True,
        help_text='number of jobs to submit',
    )
    _settings.add_number(
        parser,
        '--submit-duration-s',
        default=10.0,
        low=1,
        high=60,
        help_text='time over which the jobs are submitted',
    )
    _settings.add_number(
        parser,
        '--seed',
        default=7,
        low=0,
        high=2**32,
        integer=True,
        help_text='random seed of the jobs',
    )


def run(arguments: argparse.Namespace) -> _exit.ExitCode:
    """Run the demo."""
    jobs = make_jobs(
        arguments.jobs,
        arguments.submit_duration_s,
        random.Random(arguments.seed),
    )
    try:
        faults = trio.run(_run_demo, jobs, arguments.submit_duration_s)
    except _processes.ClusterError as exc:
        raise _exit.CommandError(_exit.ExitCode.UNREACHABLE, str(exc)) from exc
    for fault in faults:
        print(f'fault: {fault}', file=sys.stderr)
    if faults:
        return _exit.ExitCode.CHECK_FAILED
    return _exit.ExitCode.OK


def make_jobs(
    n_jobs: int, duration_s: float, random_state: random.Random
) -> list[DemoJob]:
    """Make jobs of both customers, submitted at regular intervals.

    :param duration_s: time over which the jobs are submitted
    """
    jobs = []
    for index in range(n_jobs):
        customer, kind, upstream, (min_tasks, max_tasks), work_range = (
            _JOB_KINDS[index % len(_JOB_KINDS)]
        )
        tasks = []
        for number in range(random_state.randint(min_tasks, max_tasks)):
            work_ms = round(random_state.uniform(*work_range), 1)
            tasks.append(
                model.Task(
                    kind,
                    {'work_ms': work_ms, 'number': number},
                    upstream,
                    run_time_ms=work_ms,
                )
            )
        jobs.append(
            DemoJob(customer, kind, tuple(tasks), index * duration_s / n_jobs)
        )
    return jobs


async def _run_demo(jobs: list[DemoJob], duration_s: float) -> list[str]:
    spec = _processes.ClusterSpec(_WORKERS, _ENTRIES)
    _print_line('starting a platform, 6 workers and 4 entry instances')
    async with _processes.Cluster(spec) as cluster:
        for customer, contract in CONTRACTS.items():
            await cluster.put_contract(customer, contract)
        await cluster.wait_for_contracts(CONTRACTS)
        await cluster.wait_ready()
        outcomes: list[JobOutcome] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _submit_all, cluster, jobs, outcomes, _print_outcome
            )
            await trio.sleep(duration_s / 2)
            killed_id = _ENTRIES[1].id
            await cluster.kill_entry(killed_id)
            _print_line(f'killed {killed_id} with SIGKILL')
            await trio.sleep(_FAILURE_DETECTION_S)
            await cluster.mark_entry_gone(killed_id)
        await trio.sleep(_SETTLE_S)
        starts = await cluster.count_starts()
    print_ledger(outcomes, starts)
    return find_faults(outcomes, starts)


async def _submit_all(
    cluster: _processes.Cluster,
    jobs: list[DemoJob],
    outcomes: list[JobOutcome],
    on_outcome: typing.Callable[[JobOutcome], None],
) -> None:
    async def submit(customer_client: client.Client, job: DemoJob) -> None:
        await trio.sleep_until(begin_s + job.at_s)
        start_s = trio.current_time()
        answer: client.JobAnswer | client.SubmissionError
        try:
            answer = await customer_client.submit(job.tasks)
        except client.SubmissionError as exc:
            answer = exc
        outcome = JobOutcome(job, answer, trio.current_time() - start_s)
        outcomes.append(outcome)
        on_outcome(outcome)

    urls = list(cluster.entry_urls.values())
    async with (
        client.Client(urls, customer='harrowgate') as harrowgate,
        client.Client(urls, customer='noche') as noche,
        trio.open_nursery() as nursery,
    ):
        begin_s = trio.current_time()
        clients = {'harrowgate': harrowgate, 'noche': noche}
        for job in jobs:
            nursery.start_soon(submit, clients[job.customer], job)


def find_faults(
    outcomes: typing.Iterable[JobOutcome], starts: dict[str, int]
) -> list[str]:
    """Compare the answers with the task starts that the workers logged.

    :param starts: number of starts by task key
    :returns: one message per repeated start or contradiction
    """
    faults = [
        f'task {key} started {n_starts} times'
        for key, n_starts in sorted(starts.items())
        if n_starts > 1
    ]
    for job, answer, _ in outcomes:
        job_id = model.JobId(job.customer, answer.submission_id)
        counts = [
            starts.get(model.task_key(job_id, index), 0)
            for index in range(len(job.tasks))
        ]
        for message in _job_faults(answer, counts):
            faults.append(f'job {job_id.submission_id}: {message}')
    return faults


def _job_faults(
    answer: client.JobAnswer | client.SubmissionError, counts: list[int]
) -> typing.Iterator[str]:
    n_tasks = len(counts)
    if isinstance(answer, client.JobAnswer):
        if len(answer.results or ()) != n_tasks:
            yield f'{len(answer.results or ())} results for {n_tasks} tasks'
        if not all(counts):
            yield f'complete, but {counts.count(0)} tasks never started'
        return
    report = answer.report
    if report is None:
        if not isinstance(answer, client.NotRunError):
            yield f'no report per task: {answer}'
        elif any(counts):
            yield f'reported as not run, but {n_tasks - counts.count(0)} ran'
        return
    not_done = report['not_run'] + report['unknown'] + report['failed']
    if len(set(not_done)) != len(not_done) or (
        len(not_done) + report['done'] != n_tasks
    ):
        yield f'the report does not cover {n_tasks} tasks once each: {report}'
    for index in report['not_run']:
        if counts[index]:
            yield f'task {index} is reported as not run, but started'
    must_have_run = set(range(n_tasks)) - set(not_done)
    for index in sorted(must_have_run | set(report['failed'])):
        if not counts[index]:
            yield f'task {index} is reported as ended, but never started'


def _print_outcome(outcome: JobOutcome) -> None:
    job, answer, duration_s = outcome
    if isinstance(answer, client.JobAnswer):
        result = answer.state
    elif answer.report is not None:
        report = answer.report
        result = (
            f'failed ({answer.code}): {report["done"]} done, '
            f'{len(report["failed"])} failed, '
            f'{len(report["unknown"])} unknown, '
            f'{len(report["not_run"])} not run'
        )
    else:
        result = f'{type(answer).__name__}: {answer}'
    _print_line(
        f'{job.customer:10} {job.kind:21} {len(job.tasks):3} tasks '
        f'{duration_s * 1e3:6.0f} ms, {answer.attempts} sent: {result}'
    )


def print_ledger(
    outcomes: typing.Sequence[JobOutcome], starts: dict[str, int]
) -> None:
    """Print how many tasks never started, started once and more often."""
    histogram = collections.Counter(starts.values())
    n_tasks = sum(len(outcome.job.tasks) for outcome in outcomes)
    n_repeated = sum(n for times, n in histogram.items() if times > 1)
    _print_line(
        f'ledger: {n_tasks} tasks in {len(outcomes)} jobs, '
        f'{sum(starts.values())} starts; {histogram[1]} tasks started once, '
        f'{n_repeated} more than once, {n_tasks - len(starts)} never'
    )


def _print_line(text: str) -> None:
    print(text, flush=True)
