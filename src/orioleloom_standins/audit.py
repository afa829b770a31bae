import collections
import collections.abc
import typing

from orioleloom_standins import _table
from orioleloom_standins import _worker


class SentTask(typing.NamedTuple):
    """A task as a caller submitted it."""

    kind: str
    payload: typing.Any
    idempotent: bool = False


class Call(typing.NamedTuple):
    """One copy of a submission and what its caller was told last.

    :param accepted: the system took the job on (202, or any answer
        other than a refusal)
    :param answer: body of the final answer; ``None`` when none came
    :param pending: the caller still waits, or gave up on its own
    """

    customer: str
    submission_id: str
    tasks: tuple[SentTask, ...]
    accepted: bool
    answer: dict[str, typing.Any] | None
    pending: bool = False


class ContractObservation(typing.NamedTuple):
    """A contract version seen in force on an instance.

    :param instance: instance and incarnation; a restarted process is a
        different observer
    :param time_s: monotonic time, in seconds
    """

    instance: str
    customer: str
    version: int
    time_s: float


class Violation(typing.NamedTuple):
    """A rule that the records show broken.

    :param rule: short name of the rule
    :param subject: task key, submission or instance
    """

    rule: str
    subject: str
    detail: str


class _Ends(typing.NamedTuple):
    starts: list[_worker.LedgerEntry]
    oks: list[_worker.LedgerEntry]


def audit(
    ledgers: collections.abc.Iterable[_worker.LedgerEntry],
    callers: collections.abc.Iterable[Call],
    table_history: collections.abc.Iterable[_table.Commit] = (),
    contract_observations: collections.abc.Iterable[ContractObservation] = (),
) -> list[Violation]:
    """Check the records of a run.

    It shares no code with the dispatcher and needs the whole record of
    every worker, including those that died.

    :param ledgers: entries of all workers, in any order
    :param callers: every copy of every submission
    :param table_history: commits of the table, in revision order
    :param contract_observations: versions seen, in any order
    :returns: violations; empty when every rule holds
    """
    calls = list(callers)
    events: dict[str, _Ends] = {}
    for entry in ledgers:
        ends = events.setdefault(entry.key, _Ends([], []))
        if entry.event == 'start':
            ends.starts.append(entry)
        elif entry.event == 'ok':
            ends.oks.append(entry)
    return [
        *_check_starts(events, calls),
        *_check_answers(events, calls),
        *_check_table(table_history, events),
        *_check_contracts(contract_observations),
    ]


def _key(call: Call, index: int) -> str:
    return f'{call.customer}/{call.submission_id}/{index}'


def _check_starts(
    events: dict[str, _Ends], calls: list[Call]
) -> collections.abc.Iterator[Violation]:
    tasks = {
        _key(call, index): task
        for call in calls
        for index, task in enumerate(call.tasks)
    }
    for key, ends in events.items():
        task = tasks.get(key)
        if task is None and calls:
            yield Violation('unknown_task', key, 'no caller submitted it')
        if len(ends.starts) < 2:
            continue
        detail = ', '.join(
            f'{entry.worker} by {entry.instance} at {entry.time_s:.6f}'
            for entry in ends.starts
        )
        yield Violation('started_twice', key, detail)
        if task is not None and not task.idempotent:
            yield Violation('non_idempotent_started_twice', key, detail)


def _check_answers(
    events: dict[str, _Ends], calls: list[Call]
) -> collections.abc.Iterator[Violation]:
    empty = _Ends([], [])
    complete: dict[tuple[str, str], list[typing.Any]] = {}
    for call in calls:
        subject = f'{call.customer}/{call.submission_id}'
        if call.answer is None:
            if call.accepted and not call.pending:
                yield Violation(
                    'no_answer',
                    subject,
                    'accepted, neither answered nor pending',
                )
            continue
        state = call.answer.get('state')
        if state == 'complete':
            results = call.answer.get('results')
            if not isinstance(results, list):
                results = []
            if len(results) != len(call.tasks):
                yield Violation(
                    'partial_answer',
                    subject,
                    f'{len(results)} results for {len(call.tasks)} tasks',
                )
            identity = (call.customer, call.submission_id)
            if complete.setdefault(identity, results) != results:
                yield Violation(
                    'answers_differ', subject, 'two complete answers differ'
                )
            for index, task in enumerate(call.tasks):
                ends = events.get(_key(call, index), empty)
                if (len(ends.starts), len(ends.oks)) != (1, 1):
                    yield Violation(
                        'complete_without_run',
                        _key(call, index),
                        f'{len(ends.starts)} starts, {len(ends.oks)} ok',
                    )
                expected = _worker.expected_result(task.kind, task.payload)
                if index < len(results) and results[index] != expected:
                    yield Violation(
                        'wrong_result',
                        _key(call, index),
                        f'{results[index]!r} instead of {expected!r}',
                    )
        elif state == 'failed':
            yield from _check_failed(events, call, subject)
        else:
            yield Violation('malformed_answer', subject, f'state is {state!r}')


def _check_failed(
    events: dict[str, _Ends], call: Call, subject: str
) -> collections.abc.Iterator[Violation]:
    assert call.answer is not None
    n_tasks = len(call.tasks)
    report = call.answer.get('tasks')
    error = call.answer.get('error') or {}
    not_run: set[int] = set()
    if error.get('run') == 'not_run':
        not_run.update(range(n_tasks))
    if report is not None:
        groups = [
            report.get(name, []) for name in ('not_run', 'unknown', 'failed')
        ]
        listed = [index for group in groups for index in group]
        accounted = len(listed) + report.get('done', 0)
        if (
            len(set(listed)) != len(listed)
            or accounted != n_tasks
            or any(not 0 <= index < n_tasks for index in listed)
        ):
            yield Violation(
                'partial_answer',
                subject,
                f'report {report!r} does not account for {n_tasks} tasks',
            )
        not_run.update(groups[0])
    for index in sorted(not_run):
        ends = events.get(_key(call, index))
        if ends is not None and ends.starts:
            yield Violation(
                'not_run_but_started',
                _key(call, index),
                f'started on {ends.starts[0].worker} at '
                f'{ends.starts[0].time_s:.6f}',
            )


def _check_table(
    history: collections.abc.Iterable[_table.Commit],
    events: dict[str, _Ends],
) -> collections.abc.Iterator[Violation]:
    versions: dict[str, int] = {}
    revision = 0
    for commit in history:
        if commit.revision <= revision:
            yield Violation(
                'revision_decreased',
                str(commit.revision),
                f'follows revision {revision}',
            )
        revision = commit.revision
        for _, key, value in commit.ops:
            if not key.startswith('contract/'):
                continue
            version = (value or {}).get('version', 0)
            if version <= versions.get(key, 0):
                yield Violation(
                    'contract_version_reused',
                    key,
                    f'version {version} written after {versions[key]}',
                )
            versions[key] = max(version, versions.get(key, 0))


def _check_contracts(
    observations: collections.abc.Iterable[ContractObservation],
) -> collections.abc.Iterator[Violation]:
    seen: dict[tuple[str, str], int] = collections.defaultdict(int)
    for item in sorted(observations, key=lambda item: item.time_s):
        observer = (item.instance, item.customer)
        if item.version < seen[observer]:
            yield Violation(
                'contract_reverted',
                f'{item.instance} {item.customer}',
                f'version {item.version} after {seen[observer]}',
            )
        seen[observer] = max(item.version, seen[observer])
