import argparse
import json
import sys
import typing

import msgspec

from orioleloom.cli import _exit
from orioleloom.cli import _files
from orioleloom.cli import _settings
from orioleloom import client
from orioleloom import model

HELP = 'submit a job and print its answer'
DESCRIPTION = (
    'Submits the job in a JSON file of the form {"tasks": [{"kind": ..., '
    '"payload": ..., "upstream": ...}], "deadline_ms": ...} and prints the '
    'results. If an answer is lost, the job is submitted again under the '
    'same submission id.'
)


class _JobFile(msgspec.Struct, forbid_unknown_fields=True):
    tasks: list['_TaskFields']
    deadline_ms: float | None = None


class _TaskFields(msgspec.Struct, forbid_unknown_fields=True):
    kind: str
    payload: typing.Any
    upstream: str
    run_time_ms: float | None = None
    idempotent: bool = False


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags of ``submit``."""
    parser.add_argument('file', help='JSON file, or - for standard input')
    _settings.add_urls(parser)
    _settings.add_text(
        parser,
        '--customer',
        help_text='customer that the job belongs to',
        required=True,
    )
    _settings.add_text(
        parser,
        '--submission-id',
        help_text='id of the submission; default: a new one. Give the '
        'same id again to get the answer of the same job',
        max_length=200,
    )
    _settings.add_switch(
        parser,
        '--first-attempt',
        help_text='state that the given id was never submitted before, so '
        'that a refused job can be reported as "not run"',
    )
    _settings.add_number(
        parser,
        '--deadline-ms',
        default=None,
        low=1,
        high=86_400_000,
        help_text='time allowed until the answer; default: that of the '
        'file or the contract',
    )
    _settings.add_number(
        parser,
        '--patience-s',
        default=90.0,
        low=0.1,
        high=86_400,
        help_text='time to keep retrying after the deadline',
    )
    _settings.add_switch(
        parser, '--no-wait', help_text='exit once the job is accepted'
    )
    _settings.add_switch(
        parser, '--use-tickets', help_text='submit under a ticket'
    )
    _settings.add_switch(
        parser, '--json', help_text='print one JSON object and no progress'
    )


def run(arguments: argparse.Namespace) -> _exit.ExitCode:
    """Submit the job and print its answer."""
    tasks, deadline_ms = read_job(arguments.file)
    if arguments.deadline_ms is not None:
        deadline_ms = arguments.deadline_ms
    show_progress = not arguments.json and sys.stderr.isatty()
    try:
        blocking_client = client.BlockingClient(
            arguments.urls,
            customer=arguments.customer,
            patience_s=arguments.patience_s,
            use_tickets=arguments.use_tickets,
        )
        answer = blocking_client.submit(
            tasks,
            submission_id=arguments.submission_id,
            first_attempt=arguments.first_attempt or None,
            deadline_ms=deadline_ms,
            wait=not arguments.no_wait,
            on_progress=_show_progress if show_progress else None,
        )
    except client.SubmissionError as exc:
        _print_failure(exc, as_json=arguments.json)
        return exit_code(exc)
    except ValueError as exc:
        raise _exit.CommandError(_exit.ExitCode.USAGE, str(exc)) from exc
    if show_progress:
        print(file=sys.stderr)
    if arguments.json:
        fields = answer._asdict()
        print(json.dumps({k: v for k, v in fields.items() if v is not None}))
    else:
        print(f'{answer.submission_id}: {answer.state}')
        for index, result in enumerate(answer.results or ()):
            print(f'{index}: {json.dumps(result)}')
    return _exit.ExitCode.OK


def read_job(path: str) -> tuple[list[model.Task], float | None]:
    """Read a job file.

    :returns: tasks, and the deadline in milliseconds or ``None``
    :raises CommandError: the file does not describe a job
    """
    try:
        job = msgspec.json.decode(_files.read_input(path), type=_JobFile)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise _exit.CommandError(
            _exit.ExitCode.USAGE, f'{path} is not a valid job file: {exc}'
        ) from exc
    tasks = [model.Task(*msgspec.structs.astuple(task)) for task in job.tasks]
    return tasks, job.deadline_ms


def exit_code(error: client.SubmissionError) -> _exit.ExitCode:
    """Return the exit code of a job that ended with an error."""
    match error:
        case client.NotRunError():
            return _exit.ExitCode.NOT_RUN
        case client.OutcomeUnknownError():
            return _exit.ExitCode.OUTCOME_UNKNOWN
        case _:
            return _exit.ExitCode.JOB_FAILED


def _show_progress(progress: model.Progress) -> None:
    n_tasks = progress.get('n_tasks', 0)
    n_done = progress.get('n_done', 0)
    n_started = progress.get('n_started', 0)
    width = 30
    n_full = width * n_done // n_tasks if n_tasks else 0
    print(
        f'\r[{"#" * n_full}{"." * (width - n_full)}] {n_done} of {n_tasks} '
        f'done, {n_started} started ',
        end='',
        file=sys.stderr,
        flush=True,
    )


def _print_failure(error: client.SubmissionError, *, as_json: bool) -> None:
    outcome = {
        _exit.ExitCode.NOT_RUN: 'not run',
        _exit.ExitCode.OUTCOME_UNKNOWN: 'outcome unknown',
        _exit.ExitCode.JOB_FAILED: 'failed',
    }[exit_code(error)]
    if as_json:
        fields = {
            'submission_id': error.submission_id,
            'state': outcome.replace(' ', '_'),
            'error': {'code': error.code, 'message': error.message},
            'tasks': error.report,
            'attempts': error.attempts,
        }
        print(json.dumps({k: v for k, v in fields.items() if v is not None}))
        return
    print(f'{error.submission_id}: {outcome}: {error}', file=sys.stderr)
    if error.report is not None:
        for name in ('not_run', 'unknown', 'failed'):
            indices = error.report[name]
            if indices:
                listed = ', '.join(map(str, indices))
                print(f'  {name}: tasks {listed}', file=sys.stderr)
        print(f'  done: {error.report["done"]} tasks', file=sys.stderr)
