"""Run a platform, workers and entry instances as child processes.

The process tests and the soak benchmark inject faults into them. Control
requests are blocking calls in a thread, so that one fleet can be used
from several event loops in succession.
"""

import os
import pathlib
import random
import secrets
import signal
import sys
import tempfile
import typing

import httpx
import trio

from orioleloom.cli import _processes
from orioleloom import client
from orioleloom import model
from orioleloom_standins import _table
from orioleloom_standins import _worker
from orioleloom_standins import audit

_HISTORY_PAGE_SIZE = 10_000

_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class Outcome(typing.NamedTuple):
    """Result of one call of the client library.

    :param answer: the answer, or the error that was raised instead
    """

    customer: str
    tasks: tuple[model.Task, ...]
    answer: client.JobAnswer | client.SubmissionError
    start_s: float
    end_s: float

    @property
    def duration_s(self) -> float:
        """Time from the call to its answer or error."""
        return self.end_s - self.start_s

    @property
    def complete(self) -> bool:
        """Whether every task returned a result."""
        return (
            isinstance(self.answer, client.JobAnswer)
            and self.answer.state == 'complete'
        )

    @property
    def code(self) -> str:
        """The error code, or the state of the answer if there is one."""
        if isinstance(self.answer, client.SubmissionError):
            return self.answer.code
        return self.answer.state


def to_audit_call(outcome: Outcome) -> audit.Call:
    """Convert an outcome to the record that the audit checks."""
    answer = outcome.answer
    body: dict[str, typing.Any]
    accepted = True
    if isinstance(answer, client.JobAnswer):
        body = {'state': answer.state, 'results': answer.results}
    else:
        not_run = isinstance(answer, client.NotRunError)
        body = {
            'state': 'failed',
            'error': {'run': 'not_run' if not_run else 'unknown'},
        }
        if answer.report is not None:
            body['tasks'] = dict(answer.report)
        accepted = not not_run
    return audit.Call(
        outcome.customer,
        answer.submission_id,
        tuple(
            audit.SentTask(task.kind, task.payload, task.idempotent)
            for task in outcome.tasks
        ),
        accepted,
        body,
    )


class Process(_processes.ChildProcess):
    """Child process that takes signals and reports its resource use."""

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._popen.pid

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def exit_code(self) -> int | None:
        """Return the exit code; ``None`` while the process runs."""
        return self._popen.poll()

    def log(self) -> str:
        """Return what the process wrote to stderr."""
        return self._log_path.read_text(errors='replace')

    def resident_bytes(self) -> int:
        """Return the resident set size."""
        text = pathlib.Path(f'/proc/{self.pid}/statm').read_text()
        return int(text.split()[1]) * _PAGE_BYTES

    def cpu_time_s(self) -> float:
        """Return the user and system CPU time used so far."""
        text = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = text.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


class Fleet:
    """Stand-ins and entry instances as child processes on loopback.

    :param worker_groups: workers to start, one process per group
    :param entries: entry instances to start
    :param entry_flags: additional command-line flags for each entry instance
    """

    def __init__(
        self,
        *,
        worker_groups: typing.Sequence[_processes.WorkerGroup],
        entries: typing.Sequence[_processes.EntrySpec],
        entry_flags: typing.Sequence[str] = (),
    ):
        self.worker_groups = worker_groups
        self.entries = entries
        self.entry_flags = entry_flags
        self.platform_url = ''
        self.entry_urls: dict[str, str] = {}
        self.peer_addresses: dict[str, str] = {}
        self.processes: dict[str, Process] = {}
        self.outcomes: list[Outcome] = []
        self._members: dict[str, dict[str, typing.Any]] = {}
        self._control_urls: dict[str, str] = {}
        self._commits: list[_table.Commit] = []

    async def start(self) -> None:
        """Start all processes and wait until they accept requests."""
        self._directory = tempfile.TemporaryDirectory(prefix='orioleloom-')
        self._http = httpx.Client(trust_env=False, verify=False, timeout=10.0)
        platform = self._spawn('platform', _processes.platform_argv())
        workers = [
            self._spawn(
                f'workers-{group.prefix}', _processes.worker_argv(group)
            )
            for group in self.worker_groups
        ]
        self.platform_url = (await platform.wait_for_ready_line())['http']
        for group, process in zip(self.worker_groups, workers):
            await self._register_workers(
                group, await process.wait_for_ready_line()
            )
        for spec in self.entries:
            await self.start_entry(spec, wait=False)
        for spec in self.entries:
            await self.wait_serving(spec.id, '/healthz')

    async def _register_workers(
        self, group: _processes.WorkerGroup, ready: dict[str, typing.Any]
    ) -> None:
        control = f'http://{_processes.LOOPBACK}:{ready["control"]}'
        for worker_id, port in ready['workers'].items():
            self._control_urls[worker_id] = control
            await self._register(
                {
                    'id': worker_id,
                    'role': 'worker',
                    'state': 'live',
                    'data_centre': group.data_centre,
                    'http': f'http://{_processes.LOOPBACK}:{port}',
                    'upstream': group.upstream,
                    'slots': group.slots,
                    'connections': group.connections,
                    'rack': f'rack-{worker_id}',
                }
            )

    async def stop(self) -> None:
        """Kill all processes and delete their log files."""
        for process in self.processes.values():
            process.kill()
        self._http.close()
        self._directory.cleanup()

    def _spawn(self, name: str, argv: list[str]) -> Process:
        process = Process(
            name,
            [sys.executable, '-m', *argv],
            pathlib.Path(self._directory.name),
        )
        self.processes[name] = process
        return process

    async def start_entry(
        self,
        spec: _processes.EntrySpec,
        *,
        flags: typing.Sequence[str] = (),
        listed: bool = True,
        wait: bool = True,
    ) -> None:
        """Start an entry instance; a restarted one keeps its ports.

        :param listed: register it in the platform's member list
        :param wait: wait until its health check succeeds
        """
        if spec.id not in self.entry_urls:
            http_port, peer_port = _processes.free_ports(2)
            host = _processes.LOOPBACK
            self.entry_urls[spec.id] = f'http://{host}:{http_port}'
            self.peer_addresses[spec.id] = f'tcp://{host}:{peer_port}'
        http_port, peer_port = (
            int(address.rpartition(':')[2])
            for address in (
                self.entry_urls[spec.id],
                self.peer_addresses[spec.id],
            )
        )
        arguments = _processes.entry_argv(
            spec, http_port, peer_port, self.platform_url
        )
        self._spawn(spec.id, [*arguments, *self.entry_flags, *flags])
        if listed:
            await self._register(
                {
                    'id': spec.id,
                    'role': 'entry',
                    'state': 'live',
                    'data_centre': spec.data_centre,
                    'http': self.entry_urls[spec.id],
                    'peer': self.peer_addresses[spec.id],
                }
            )
        if wait:
            await self.wait_serving(spec.id, '/healthz')

    async def wait_serving(
        self,
        entry_id: str,
        path: str = '/readyz',
        *,
        timeout_s: float = _processes.START_TIMEOUT_S,
    ) -> None:
        """Wait until a GET of ``path`` returns a success status.

        :raises ClusterError: if it does not within ``timeout_s``
        """
        with trio.move_on_after(timeout_s):
            while True:
                self.processes[entry_id].raise_if_ended()
                try:
                    url = self.entry_urls[entry_id] + path
                    if (await self.request('GET', url)).is_success:
                        return
                except httpx.TransportError:
                    # Refused until the instance has bound its port.
                    pass
                await trio.sleep(0.05)
        raise _processes.ClusterError(
            f'{entry_id} did not answer {path} in {timeout_s} s'
        )

    async def request(
        self, method: str, url: str, **kwargs: typing.Any
    ) -> httpx.Response:
        """Send a request in a thread, so that the event loop runs on."""
        return await trio.to_thread.run_sync(
            lambda: self._http.request(method, url, **kwargs)
        )

    async def _request_json(
        self, method: str, url: str, **kwargs: typing.Any
    ) -> typing.Any:
        response = await self.request(method, url, **kwargs)
        response.raise_for_status()
        return response.json()

    async def _register(self, member: dict[str, typing.Any]) -> None:
        self._members[member['id']] = member
        await self._request_json(
            'PUT',
            f'{self.platform_url}/v1/standin/members/{member["id"]}',
            json=member,
        )

    async def list_as(self, member_id: str, state: str) -> None:
        """Change the state of a member in the platform's member list."""
        await self._register({**self._members[member_id], 'state': state})

    async def platform_fault(
        self, kind: str, duration_s: float, **fields: typing.Any
    ) -> None:
        """Inject a fault into the platform; a duration of 0 clears it."""
        await self._request_json(
            'POST',
            f'{self.platform_url}/v1/standin/faults',
            json={'kind': kind, 'duration_s': duration_s, **fields},
        )

    async def worker_fault(
        self, worker_id: str, kind: str, duration_s: float, **fields: float
    ) -> None:
        """Inject a fault into a worker; a duration of 0 clears it."""
        await self._request_json(
            'POST',
            f'{self._control_urls[worker_id]}/v1/standin/faults',
            json={
                'kind': kind,
                'duration_s': duration_s,
                'worker': worker_id,
                **fields,
            },
        )

    async def platform_counters(self) -> dict[str, int]:
        """Return the platform's request counters by kind of request."""
        return await self._request_json(
            'GET', f'{self.platform_url}/v1/standin/counters'
        )

    async def worker_counters(self) -> dict[str, dict[str, int]]:
        """Return the counters of all workers by worker id."""
        counters: dict[str, dict[str, int]] = {}
        for url in dict.fromkeys(self._control_urls.values()):
            counters |= await self._request_json(
                'GET', f'{url}/v1/standin/counters'
            )
        return counters

    async def state(self, entry_id: str) -> dict[str, typing.Any]:
        """Return the state dump of an instance."""
        return await self._request_json(
            'GET', f'{self.entry_urls[entry_id]}/v1/state'
        )

    async def put_contract(
        self,
        entry_id: str,
        customer: str,
        contract: dict[str, typing.Any],
        expected_version: int = 0,
    ) -> httpx.Response:
        """Put a contract if its current version is the expected one."""
        return await self.request(
            'PUT',
            f'{self.entry_urls[entry_id]}/v1/contracts/{customer}',
            json={**contract, 'expected_version': expected_version},
        )

    async def contract_version(self, entry_id: str, customer: str) -> int:
        """Return the contract version in force on an instance, or 0."""
        response = await self.request(
            'GET', f'{self.entry_urls[entry_id]}/v1/contracts/{customer}'
        )
        return response.json()['version'] if response.is_success else 0

    async def wait_contract(
        self,
        customer: str,
        version: int,
        entry_ids: typing.Iterable[str] | None = None,
        *,
        timeout_s: float = 12.0,
    ) -> None:
        """Wait until a contract version or a later one is in force.

        :param entry_ids: instances to check, by default all
        :raises ClusterError: if it is not within ``timeout_s``
        """
        if entry_ids is None:
            entry_ids = list(self.entry_urls)
        with trio.move_on_after(timeout_s):
            for entry_id in entry_ids:
                while True:
                    found = await self.contract_version(entry_id, customer)
                    if found >= version:
                        break
                    await trio.sleep(0.05)
            return
        raise _processes.ClusterError(
            f'version {version} of contract {customer} was not in force '
            f'within {timeout_s} s'
        )

    async def ledger(self) -> list[_worker.LedgerEntry]:
        """Return the ledger entries of all workers."""
        entries: list[_worker.LedgerEntry] = []
        for url in dict.fromkeys(self._control_urls.values()):
            found = await self._request_json('GET', f'{url}/v1/standin/ledger')
            entries += [_worker.LedgerEntry(**entry) for entry in found]
        return entries

    async def history(self) -> list[_table.Commit]:
        """Fetch the commits added since the last call and return all."""
        while True:
            after = self._commits[-1].revision if self._commits else 0
            body = await self._request_json(
                'GET',
                f'{self.platform_url}/v1/standin/history'
                f'?after={after}&limit={_HISTORY_PAGE_SIZE}',
            )
            self._commits += [
                _table.Commit(**commit) for commit in body['commits']
            ]
            if len(body['commits']) < _HISTORY_PAGE_SIZE:
                return self._commits

    async def audit(
        self,
        observations: typing.Iterable[audit.ContractObservation] = (),
        leaving: typing.Iterable[audit.Leaving] = (),
    ) -> list[audit.Violation]:
        """Audit the ledgers, the outcomes and the table's commits."""
        return audit.audit(
            await self.ledger(),
            map(to_audit_call, self.outcomes),
            await self.history(),
            observations,
            leaving=leaving,
        )

    async def submit(
        self,
        connection: client.Client,
        tasks: typing.Iterable[model.Task],
        **kwargs: typing.Any,
    ) -> Outcome:
        """Submit through the client library and record the outcome."""
        tasks = tuple(tasks)
        start_s = trio.current_time()
        answer: client.JobAnswer | client.SubmissionError
        try:
            answer = await connection.submit(tasks, **kwargs)
        except client.SubmissionError as exc:
            answer = exc
        outcome = Outcome(
            connection.customer, tasks, answer, start_s, trio.current_time()
        )
        self.outcomes.append(outcome)
        return outcome


class Load:
    """Open-loop load of one customer through the client library.

    :param connection: an open client
    :param rate_per_s: mean arrival rate of jobs
    :param n_tasks: minimum and maximum number of tasks in a job
    :param work_ms: minimum and maximum run time of a task at speed 1
    :param deadline_ms: deadline of each job
    :param random_state: random generator for jobs and arrival times
    """

    def __init__(
        self,
        fleet: Fleet,
        connection: client.Client,
        *,
        upstream: str,
        rate_per_s: float = 20.0,
        n_tasks: tuple[int, int] = (1, 8),
        work_ms: tuple[float, float] = (20.0, 120.0),
        deadline_ms: float = 8_000.0,
        random_state: random.Random,
    ):
        self.fleet = fleet
        self.connection = connection
        self.upstream = upstream
        self.rate_per_s = rate_per_s
        self.n_tasks = n_tasks
        self.work_ms = work_ms
        self.deadline_ms = deadline_ms
        self.random_state = random_state
        self.outcomes: list[Outcome] = []
        self.n_unanswered = 0
        self._stopped = trio.Event()

    def stop(self) -> None:
        """Stop submitting; :meth:`run` returns when all jobs end."""
        self._stopped.set()

    def make_tasks(self) -> tuple[model.Task, ...]:
        """Generate the tasks of one job."""
        n_tasks = self.random_state.randint(*self.n_tasks)
        return tuple(
            make_task(
                self.upstream, round(self.random_state.uniform(*self.work_ms))
            )
            for _ in range(n_tasks)
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Submit jobs until :meth:`stop`, then wait for open ones."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            while not self._stopped.is_set():
                nursery.start_soon(self._submit)
                with trio.move_on_after(
                    self.random_state.expovariate(self.rate_per_s)
                ):
                    await self._stopped.wait()

    async def _submit(self) -> None:
        self.n_unanswered += 1
        outcome = await self.fleet.submit(
            self.connection, self.make_tasks(), deadline_ms=self.deadline_ms
        )
        self.n_unanswered -= 1
        self.outcomes.append(outcome)


def make_task(
    upstream: str, work_ms: float, **payload: typing.Any
) -> model.Task:
    """Create a task with a unique payload."""
    return model.Task(
        'step',
        {'id': secrets.token_hex(8), 'work_ms': work_ms, **payload},
        upstream,
        run_time_ms=max(1.0, work_ms),
    )
