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


class Leaving(typing.NamedTuple):
    """The platform listed a worker as leaving.

    :param time_s: monotonic time at which the list showed it
    """

    worker: str
    time_s: float


class Violation(typing.NamedTuple):
    """A rule that the records show broken.

    :param rule: short name of the rule
    :param subject: task key, submission or instance
    """

    rule: str
    subject: str
    detail: str


# R6: from this time on a leaving worker gets no new work.
LEAVING_GRACE_S = 3.0

_TICKET_PREFIX = 't1.'


class _Events(typing.NamedTuple):
    """Ledger entries of one task key by event."""

    start: list[_worker.LedgerEntry]
    ok: list[_worker.LedgerEntry]
    failed: list[_worker.LedgerEntry]
    stopped: list[_worker.LedgerEntry]


_NO_EVENTS = _Events([], [], [], [])


def audit(
    ledgers: collections.abc.Iterable[_worker.LedgerEntry],
    callers: collections.abc.Iterable[Call],
    table_history: collections.abc.Iterable[_table.Commit] | None = None,
    contract_observations: collections.abc.Iterable[ContractObservation] = (),
    *,
    leaving: collections.abc.Iterable[Leaving] = (),
) -> list[Violation]:
    """Check the records of a run.

    It shares no code with the dispatcher and needs the whole record of
    every worker, including those that died.

    :param ledgers: entries of all workers, in any order
    :param callers: every copy of every submission
    :param table_history: all commits of the table, in revision order;
        ``None`` leaves out the rules that need them. Their times must
        be comparable with those of the ledgers.
    :param contract_observations: versions seen, in any order
    :param leaving: workers listed as leaving that did not come back
    :returns: violations; empty when every rule holds
    """
    calls = list(callers)
    entries = list(ledgers)
    events: dict[str, _Events] = {}
    for entry in entries:
        of_key = events.setdefault(entry.key, _Events([], [], [], []))
        getattr(of_key, entry.event).append(entry)
    found = [
        *_check_starts(events, calls),
        *_check_pending(calls),
        *_check_answers(events, calls),
        *_check_contracts(contract_observations),
        *_check_leaving(entries, leaving),
    ]
    if table_history is not None:
        commits = list(table_history)
        found += _check_table(commits)
        found += _check_claims(commits, entries)
    return found


def peak_in_flight(
    ledgers: collections.abc.Iterable[_worker.LedgerEntry],
) -> dict[str, int]:
    """Return the most tasks that ran at once, by customer.

    A task without an end, as on a worker that died, counts to the end.
    """
    running: dict[str, int] = collections.defaultdict(int)
    peak: dict[str, int] = collections.defaultdict(int)
    # At equal times an end goes first: its slot was free for the start.
    for entry in sorted(
        ledgers, key=lambda entry: (entry.time_s, entry.event == 'start')
    ):
        customer = entry.key.partition('/')[0]
        running[customer] += 1 if entry.event == 'start' else -1
        peak[customer] = max(peak[customer], running[customer])
    return dict(peak)


def _key(call: Call, index: int) -> str:
    return f'{call.customer}/{call.submission_id}/{index}'


def _check_starts(
    events: dict[str, _Events], calls: list[Call]
) -> collections.abc.Iterator[Violation]:
    # A refused copy may have other content under the same id.
    by_acceptance = sorted(calls, key=lambda call: call.accepted)
    tasks = {
        _key(call, index): task
        for call in by_acceptance
        for index, task in enumerate(call.tasks)
    }
    for key, of_key in events.items():
        task = tasks.get(key)
        if task is None and calls:
            yield Violation('unknown_task', key, 'no caller submitted it')
        if len(of_key.start) < 2:
            continue
        detail = ', '.join(
            f'{entry.worker} by {entry.instance} at {entry.time_s:.6f}'
            for entry in of_key.start
        )
        yield Violation('started_twice', key, detail)
        if task is not None and not task.idempotent:
            yield Violation('non_idempotent_started_twice', key, detail)


def _check_pending(
    calls: list[Call],
) -> collections.abc.Iterator[Violation]:
    accepted = set()
    settled = set()
    for call in calls:
        identity = (call.customer, call.submission_id)
        if call.accepted:
            accepted.add(identity)
        if call.pending or (call.accepted and call.answer is not None):
            settled.add(identity)
    for customer, submission_id in sorted(accepted - settled):
        yield Violation(
            'no_answer',
            f'{customer}/{submission_id}',
            'accepted, but neither answered nor pending',
        )


def _check_answers(
    events: dict[str, _Events], calls: list[Call]
) -> collections.abc.Iterator[Violation]:
    complete: dict[tuple[str, str], typing.Any] = {}
    for call in calls:
        if call.answer is None:
            continue
        subject = f'{call.customer}/{call.submission_id}'
        state = call.answer.get('state')
        if state == 'complete':
            results = call.answer.get('results')
            identity = (call.customer, call.submission_id)
            if complete.setdefault(identity, results) != results:
                yield Violation(
                    'answers_differ', subject, 'two complete answers differ'
                )
            yield from _check_complete(events, call, subject, results)
        elif state == 'failed':
            yield from _check_failed(events, call, subject)
        else:
            yield Violation('malformed_answer', subject, f'state is {state!r}')


def _check_complete(
    events: dict[str, _Events],
    call: Call,
    subject: str,
    results: typing.Any,
) -> collections.abc.Iterator[Violation]:
    if not isinstance(results, list):
        results = []
    if len(results) != len(call.tasks):
        yield Violation(
            'partial_answer',
            subject,
            f'{len(results)} results for {len(call.tasks)} tasks',
        )
    for index, task in enumerate(call.tasks):
        key = _key(call, index)
        of_key = events.get(key, _NO_EVENTS)
        if (len(of_key.start), len(of_key.ok)) != (1, 1):
            yield Violation(
                'complete_without_run',
                key,
                f'{len(of_key.start)} starts, {len(of_key.ok)} ok',
            )
        expected = _worker.expected_result(task.kind, task.payload)
        if index < len(results) and results[index] != expected:
            yield Violation(
                'wrong_result', key, f'{results[index]!r}, not {expected!r}'
            )


def _check_failed(
    events: dict[str, _Events], call: Call, subject: str
) -> collections.abc.Iterator[Violation]:
    answer = call.answer or {}
    n_tasks = len(call.tasks)
    report = answer.get('tasks')
    error = answer.get('error') or {}
    of_index = [events.get(_key(call, i), _NO_EVENTS) for i in range(n_tasks)]
    not_run: set[int] = set()
    if error.get('run') == 'not_run':
        not_run.update(range(n_tasks))
    if report is not None:
        groups = [
            report.get(name, []) for name in ('not_run', 'unknown', 'failed')
        ]
        listed = [index for group in groups for index in group]
        n_done = report.get('done', 0)
        if (
            len(set(listed)) != len(listed)
            or len(listed) + n_done != n_tasks
            or any(not 0 <= index < n_tasks for index in listed)
        ):
            yield Violation(
                'partial_answer',
                subject,
                f'report {report!r} does not account for {n_tasks} tasks',
            )
            return
        not_run.update(groups[0])
        n_ok = sum(
            bool(of_key.ok)
            for index, of_key in enumerate(of_index)
            if index not in listed
        )
        if n_ok != n_done:
            yield Violation(
                'wrong_report', subject, f'{n_done} done, but {n_ok} ok'
            )
        for index in groups[2]:
            if not of_index[index].failed:
                yield Violation(
                    'wrong_report', _key(call, index), 'did not fail'
                )
    for index in sorted(not_run):
        for entry in of_index[index].start[:1]:
            yield Violation(
                'not_run_but_started',
                entry.key,
                f'started on {entry.worker} at {entry.time_s:.6f}',
            )


def _check_table(
    commits: list[_table.Commit],
) -> collections.abc.Iterator[Violation]:
    versions: dict[str, int] = {}
    revision = 0
    for commit in commits:
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


def _check_claims(
    commits: list[_table.Commit], entries: list[_worker.LedgerEntry]
) -> collections.abc.Iterator[Violation]:
    # By claim key and instance: (time of commit, start watermark).
    released: dict[tuple[str, str], list[tuple[float, int]]] = (
        collections.defaultdict(list)
    )
    watermark: dict[str, int] = {}
    for commit in commits:
        for _, key, value in commit.ops:
            if not key.startswith('claim/'):
                continue
            if value is None:
                watermark.pop(key, None)
                continue
            mark = value.get('released', 0)
            if mark < watermark.get(key, 0):
                yield Violation(
                    'watermark_decreased',
                    key,
                    f'{mark} written after {watermark[key]}',
                )
            watermark[key] = max(mark, watermark.get(key, 0))
            instance = value.get('owner', '').partition('/')[0]
            released[key, instance].append((commit.time_s, mark))
    for entry in entries:
        job, _, index = entry.key.rpartition('/')
        submission_id = job.partition('/')[2]
        if entry.event != 'start' or submission_id.startswith(_TICKET_PREFIX):
            continue
        if not any(
            time_s <= entry.time_s and int(index) < mark
            for time_s, mark in released[f'claim/{job}', entry.instance]
        ):
            yield Violation(
                'started_without_claim',
                entry.key,
                f'by {entry.instance} at {entry.time_s:.6f}',
            )


def _check_leaving(
    entries: list[_worker.LedgerEntry],
    leaving: collections.abc.Iterable[Leaving],
) -> collections.abc.Iterator[Violation]:
    limit_s = {item.worker: item.time_s + LEAVING_GRACE_S for item in leaving}
    for entry in entries:
        limit = limit_s.get(entry.worker)
        if entry.event != 'start' or limit is None:
            continue
        if entry.time_s > limit:
            yield Violation(
                'started_on_leaving_worker',
                entry.key,
                f'on {entry.worker}, {entry.time_s - limit:.3f} s too late',
            )


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
