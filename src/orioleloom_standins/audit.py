import collections
import collections.abc
import typing

from orioleloom_standins import _table
from orioleloom_standins import _worker


class SentTask(typing.NamedTuple):
    """A task as its caller submitted it."""

    kind: str
    payload: typing.Any
    idempotent: bool = False


class Call(typing.NamedTuple):
    """One copy of a submission and the last answer its caller received.

    :param accepted: the system accepted the job: it responded with 202
        or with any answer other than a rejection
    :param answer: body of the final answer, ``None`` if none arrived
    :param pending: the caller is still waiting or gave up by itself
    """

    customer: str
    submission_id: str
    tasks: tuple[SentTask, ...]
    accepted: bool
    answer: dict[str, typing.Any] | None
    pending: bool = False


class ContractObservation(typing.NamedTuple):
    """A contract version observed in force on an instance.

    :param instance: instance and incarnation; a restarted process
        counts as a different observer
    :param time_s: monotonic time, in seconds
    """

    instance: str
    customer: str
    version: int
    time_s: float


class Leaving(typing.NamedTuple):
    """A worker that the member list shows as leaving.

    :param time_s: monotonic time at which the list showed it, in seconds
    """

    worker: str
    time_s: float


class Violation(typing.NamedTuple):
    """A breach of a rule found in the records.

    :param rule: short name of the rule
    :param subject: task key, submission, table key, revision or
        instance concerned
    """

    rule: str
    subject: str
    detail: str


# R6: a leaving worker gets no new tasks after this time.
LEAVING_GRACE_S = 3.0

# Begins the submission ids that are tickets; these have no claim.
_TICKET_PREFIX = 't1.'


class _TaskEvents(typing.NamedTuple):
    """Ledger entries of one task key by event."""

    start: list[_worker.LedgerEntry]
    ok: list[_worker.LedgerEntry]
    failed: list[_worker.LedgerEntry]
    stopped: list[_worker.LedgerEntry]


_NO_EVENTS = _TaskEvents([], [], [], [])


def audit(
    ledgers: collections.abc.Iterable[_worker.LedgerEntry],
    callers: collections.abc.Iterable[Call],
    table_history: collections.abc.Iterable[_table.Commit] | None = None,
    contract_observations: collections.abc.Iterable[ContractObservation] = (),
    *,
    leaving: collections.abc.Iterable[Leaving] = (),
) -> list[Violation]:
    """Check the records of a run against the rules.

    The audit shares no code with the dispatcher. It needs the complete
    ledger of every worker, including workers that died.

    :param ledgers: entries of all workers, in any order
    :param callers: every copy of every submission
    :param table_history: all commits of the table, in revision order;
        ``None`` skips the rules that need them. Their times must be
        comparable with those of the ledgers.
    :param contract_observations: observed versions, in any order
    :param leaving: workers listed as leaving that were not listed as
        live again
    :returns: violations; empty if every rule holds
    """
    calls = list(callers)
    entries = list(ledgers)
    events: dict[str, _TaskEvents] = {}
    for entry in entries:
        key_events = events.setdefault(entry.key, _TaskEvents([], [], [], []))
        getattr(key_events, entry.event).append(entry)
    violations = [
        *_check_starts(events, calls),
        *_check_unanswered(calls),
        *_check_answers(events, calls),
        *_check_contracts(contract_observations),
        *_check_leaving(entries, leaving),
    ]
    if table_history is not None:
        commits = list(table_history)
        violations += _check_table(commits)
        violations += _check_claims(commits, entries)
    return violations


def peak_in_flight(
    ledgers: collections.abc.Iterable[_worker.LedgerEntry],
) -> dict[str, int]:
    """Return the maximum number of concurrent tasks of each customer.

    A task without an outcome, as on a worker that died, counts as
    running until the end of the records.
    """
    running: dict[str, int] = collections.defaultdict(int)
    peak: dict[str, int] = collections.defaultdict(int)
    # At equal times the end comes first, as it freed the slot.
    for entry in sorted(
        ledgers, key=lambda entry: (entry.time_s, entry.event == 'start')
    ):
        customer = entry.key.partition('/')[0]
        running[customer] += 1 if entry.event == 'start' else -1
        peak[customer] = max(peak[customer], running[customer])
    return dict(peak)


def _task_key(call: Call, index: int) -> str:
    return f'{call.customer}/{call.submission_id}/{index}'


def _check_starts(
    events: dict[str, _TaskEvents], calls: list[Call]
) -> collections.abc.Iterator[Violation]:
    # A rejected copy may have other content under the same id, so the
    # accepted copies come last and take precedence.
    accepted_last = sorted(calls, key=lambda call: call.accepted)
    tasks = {
        _task_key(call, index): task
        for call in accepted_last
        for index, task in enumerate(call.tasks)
    }
    for key, key_events in events.items():
        task = tasks.get(key)
        if task is None and calls:
            yield Violation('unknown_task', key, 'no caller submitted it')
        if len(key_events.start) < 2:
            continue
        detail = ', '.join(
            f'{entry.worker} by {entry.instance} at {entry.time_s:.6f}'
            for entry in key_events.start
        )
        yield Violation('started_twice', key, detail)
        if task is not None and not task.idempotent:
            yield Violation('non_idempotent_started_twice', key, detail)


def _check_unanswered(
    calls: list[Call],
) -> collections.abc.Iterator[Violation]:
    accepted = set()
    answered_or_pending = set()
    for call in calls:
        submission = (call.customer, call.submission_id)
        if call.accepted:
            accepted.add(submission)
        if call.pending or (call.accepted and call.answer is not None):
            answered_or_pending.add(submission)
    for customer, submission_id in sorted(accepted - answered_or_pending):
        yield Violation(
            'no_answer',
            f'{customer}/{submission_id}',
            'accepted, but neither answered nor pending',
        )


def _check_answers(
    events: dict[str, _TaskEvents], calls: list[Call]
) -> collections.abc.Iterator[Violation]:
    complete: dict[tuple[str, str], typing.Any] = {}
    for call in calls:
        if call.answer is None:
            continue
        subject = f'{call.customer}/{call.submission_id}'
        state = call.answer.get('state')
        if state == 'complete':
            results = call.answer.get('results')
            submission = (call.customer, call.submission_id)
            if complete.setdefault(submission, results) != results:
                yield Violation(
                    'answers_differ', subject, 'two complete answers differ'
                )
            yield from _check_complete(events, call, subject, results)
        elif state == 'failed':
            yield from _check_failed(events, call, subject)
        else:
            yield Violation('malformed_answer', subject, f'state is {state!r}')


def _check_complete(
    events: dict[str, _TaskEvents],
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
        key = _task_key(call, index)
        key_events = events.get(key, _NO_EVENTS)
        if (len(key_events.start), len(key_events.ok)) != (1, 1):
            yield Violation(
                'complete_without_run',
                key,
                f'{len(key_events.start)} starts, {len(key_events.ok)} ok',
            )
        expected = _worker.expected_result(task.kind, task.payload)
        if index < len(results) and results[index] != expected:
            yield Violation(
                'wrong_result', key, f'{results[index]!r}, not {expected!r}'
            )


def _check_failed(
    events: dict[str, _TaskEvents], call: Call, subject: str
) -> collections.abc.Iterator[Violation]:
    answer = call.answer or {}
    n_tasks = len(call.tasks)
    report = answer.get('tasks')
    error = answer.get('error') or {}
    events_by_index = [
        events.get(_task_key(call, i), _NO_EVENTS) for i in range(n_tasks)
    ]
    not_run: set[int] = set()
    if error.get('run') == 'not_run':
        not_run.update(range(n_tasks))
    if report is not None:
        index_groups = [
            report.get(name, []) for name in ('not_run', 'unknown', 'failed')
        ]
        listed = [index for group in index_groups for index in group]
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
        not_run.update(index_groups[0])
        n_ok = sum(
            bool(key_events.ok)
            for index, key_events in enumerate(events_by_index)
            if index not in listed
        )
        if n_ok != n_done:
            yield Violation(
                'wrong_report', subject, f'{n_done} done, but {n_ok} ok'
            )
        for index in index_groups[2]:
            if not events_by_index[index].failed:
                yield Violation(
                    'wrong_report', _task_key(call, index), 'did not fail'
                )
    for index in sorted(not_run):
        for entry in events_by_index[index].start[:1]:
            yield Violation(
                'not_run_but_started',
                entry.key,
                f'started on {entry.worker} at {entry.time_s:.6f}',
            )


def _check_table(
    commits: list[_table.Commit],
) -> collections.abc.Iterator[Violation]:
    latest_versions: dict[str, int] = {}
    previous_revision = 0
    for commit in commits:
        if commit.revision <= previous_revision:
            yield Violation(
                'revision_decreased',
                str(commit.revision),
                f'follows revision {previous_revision}',
            )
        previous_revision = commit.revision
        for _, key, value in commit.ops:
            if not key.startswith('contract/'):
                continue
            version = (value or {}).get('version', 0)
            if version <= latest_versions.get(key, 0):
                yield Violation(
                    'contract_version_reused',
                    key,
                    f'version {version} written after {latest_versions[key]}',
                )
            latest_versions[key] = max(version, latest_versions.get(key, 0))


def _check_claims(
    commits: list[_table.Commit], entries: list[_worker.LedgerEntry]
) -> collections.abc.Iterator[Violation]:
    # By claim key and instance: (commit time, released watermark).
    claim_watermarks: dict[tuple[str, str], list[tuple[float, int]]] = (
        collections.defaultdict(list)
    )
    highest_watermark: dict[str, int] = {}
    for commit in commits:
        for _, key, value in commit.ops:
            if not key.startswith('claim/'):
                continue
            if value is None:
                highest_watermark.pop(key, None)
                continue
            watermark = value.get('released', 0)
            if watermark < highest_watermark.get(key, 0):
                yield Violation(
                    'watermark_decreased',
                    key,
                    f'{watermark} written after {highest_watermark[key]}',
                )
            highest_watermark[key] = max(
                watermark, highest_watermark.get(key, 0)
            )
            instance = value.get('owner', '').partition('/')[0]
            claim_watermarks[key, instance].append((commit.time_s, watermark))
    for entry in entries:
        job, _, index = entry.key.rpartition('/')
        submission_id = job.partition('/')[2]
        if entry.event != 'start' or submission_id.startswith(_TICKET_PREFIX):
            continue
        if not any(
            time_s <= entry.time_s and int(index) < watermark
            for time_s, watermark in claim_watermarks[
                f'claim/{job}', entry.instance
            ]
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
    limit_by_worker = {
        member.worker: member.time_s + LEAVING_GRACE_S for member in leaving
    }
    for entry in entries:
        limit_s = limit_by_worker.get(entry.worker)
        if entry.event != 'start' or limit_s is None:
            continue
        if entry.time_s > limit_s:
            yield Violation(
                'started_on_leaving_worker',
                entry.key,
                f'on {entry.worker}, {entry.time_s - limit_s:.3f} s too late',
            )


def _check_contracts(
    observations: collections.abc.Iterable[ContractObservation],
) -> collections.abc.Iterator[Violation]:
    latest: dict[tuple[str, str], int] = collections.defaultdict(int)
    for observation in sorted(
        observations, key=lambda observation: observation.time_s
    ):
        observer = (observation.instance, observation.customer)
        if observation.version < latest[observer]:
            yield Violation(
                'contract_reverted',
                f'{observation.instance} {observation.customer}',
                f'version {observation.version} after {latest[observer]}',
            )
        latest[observer] = max(observation.version, latest[observer])
