import collections
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import typing

import httpx
import msgspec
import trio

LOOPBACK = '127.0.0.1'

# Starting Python and importing the server takes about 1 s on an idle
# machine; a busy one needs several times that.
START_TIMEOUT_S = 30.0

STOP_TIMEOUT_S = 5.0


class WorkerGroup(typing.NamedTuple):
    """Stand-in workers that share a data centre, a rack and a process.

    :param prefix: prefix of the worker ids, followed by a number from 0
    :param speeds: speed of each worker, which divides the run time of its
        tasks
    :param slots: tasks that each worker runs at once
    :param connections: connections that each worker accepts
    """

    prefix: str
    upstream: str
    data_centre: str
    speeds: tuple[float, ...]
    slots: int = 8
    connections: int = 64


class EntrySpec(typing.NamedTuple):
    """Id and data centre of an entry instance to start."""

    id: str
    data_centre: str


class ClusterSpec(typing.NamedTuple):
    """Workers and entry instances to start on loopback."""

    worker_groups: tuple[WorkerGroup, ...]
    entries: tuple[EntrySpec, ...]


class ClusterError(Exception):
    """A cluster did not start or did not reach an expected state."""


class ChildProcess:
    """A child process whose output is written to files.

    :param name: name of the process in messages, and stem of its files
    :param directory: directory of the output files
    """

    def __init__(self, name: str, argv: list[str], directory: pathlib.Path):
        self.name = name
        self._out_path = directory / f'{name}.out'
        self._log_path = directory / f'{name}.log'
        # Files instead of pipes: a full pipe would block the child.
        with (
            open(self._out_path, 'wb') as out,
            open(self._log_path, 'wb') as log,
        ):
            self._popen = subprocess.Popen(
                argv, stdin=subprocess.DEVNULL, stdout=out, stderr=log
            )

    def raise_if_ended(self) -> None:
        """Check that the process is running.

        :raises ClusterError: it has ended; the message has the end of its log
        """
        code = self._popen.poll()
        if code is not None:
            tail = self._log_path.read_text(errors='replace')[-2000:]
            raise ClusterError(f'{self.name} ended with code {code}:\n{tail}')

    async def wait_for_ready_line(self) -> dict[str, typing.Any]:
        """Wait for the JSON line that a stand-in prints once it is ready.

        :raises ClusterError: the process ended or did not print it in time
        """
        with trio.move_on_after(START_TIMEOUT_S):
            while True:
                line, newline, _ = self._out_path.read_bytes().partition(b'\n')
                if newline:
                    return msgspec.json.decode(line)
                self.raise_if_ended()
                await trio.sleep(0.02)
        raise ClusterError(f'{self.name} was not ready in {START_TIMEOUT_S} s')

    def kill(self) -> None:
        """End the process with SIGKILL."""
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGKILL)
            self._popen.wait()

    def terminate(self) -> None:
        if self._popen.poll() is None:
            self._popen.terminate()

    async def wait(self) -> None:
        while self._popen.poll() is None:
            await trio.sleep(0.02)


class Cluster:
    """Stand-ins and entry instances as child processes on loopback.

    An async context manager that ends the processes that it started.

    :param spec: processes to start
    """

    def __init__(self, spec: ClusterSpec):
        self.spec = spec
        self.platform_url = ''
        self._control_urls: list[str] = []
        self.entry_urls: dict[str, str] = {}
        self._members: dict[str, dict[str, typing.Any]] = {}
        self._processes: dict[str, ChildProcess] = {}

    async def __aenter__(self) -> 'Cluster':
        self._directory = tempfile.TemporaryDirectory(prefix='orioleloom-')
        self._http = httpx.AsyncClient(
            trust_env=False, verify=False, timeout=5.0
        )
        try:
            await self._start_platform()
            await self._start_workers()
            await self._start_entries()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        with trio.CancelScope(shield=True):
            for process in self._processes.values():
                process.terminate()
            with trio.move_on_after(STOP_TIMEOUT_S):
                for process in self._processes.values():
                    await process.wait()
            for process in self._processes.values():
                process.kill()
            await self._http.aclose()
            self._directory.cleanup()

    def _start_process(self, name: str, argv: list[str]) -> ChildProcess:
        process = ChildProcess(
            name,
            [sys.executable, '-m', *argv],
            pathlib.Path(self._directory.name),
        )
        self._processes[name] = process
        return process

    async def _start_platform(self) -> None:
        process = self._start_process('platform', platform_argv())
        self.platform_url = (await process.wait_for_ready_line())['http']

    async def _start_workers(self) -> None:
        """Start the workers of each group and register them."""
        for group in self.spec.worker_groups:
            process = self._start_process(
                f'workers-{group.prefix}', worker_argv(group)
            )
            ready = await process.wait_for_ready_line()
            self._control_urls.append(f'http://{LOOPBACK}:{ready["control"]}')
            for worker_id, port in ready['workers'].items():
                await self._register(
                    {
                        'id': worker_id,
                        'role': 'worker',
                        'state': 'live',
                        'data_centre': group.data_centre,
                        'http': f'http://{LOOPBACK}:{port}',
                        'upstream': group.upstream,
                        'slots': group.slots,
                        'connections': group.connections,
                        'rack': f'rack-{group.prefix}',
                    }
                )

    async def _start_entries(self) -> None:
        ports = free_ports(2 * len(self.spec.entries))
        for index, spec in enumerate(self.spec.entries):
            http_port, peer_port = ports[2 * index : 2 * index + 2]
            self.entry_urls[spec.id] = f'http://{LOOPBACK}:{http_port}'
            self._start_process(
                spec.id,
                entry_argv(spec, http_port, peer_port, self.platform_url),
            )
            await self._register(
                {
                    'id': spec.id,
                    'role': 'entry',
                    'state': 'live',
                    'data_centre': spec.data_centre,
                    'http': self.entry_urls[spec.id],
                    'peer': f'tcp://{LOOPBACK}:{peer_port}',
                }
            )
        for spec in self.spec.entries:
            await self._wait_until_serving(spec.id, '/healthz')

    async def _wait_until_serving(self, entry_id: str, path: str) -> None:
        with trio.move_on_after(START_TIMEOUT_S):
            while True:
                self._processes[entry_id].raise_if_ended()
                try:
                    url = self.entry_urls[entry_id] + path
                    if (await self._http.get(url)).is_success:
                        return
                except httpx.TransportError:
                    # Refused until the instance has bound its port.
                    pass
                await trio.sleep(0.05)
        raise ClusterError(
            f'{entry_id} did not answer {path} in {START_TIMEOUT_S} s'
        )

    async def wait_ready(self) -> None:
        """Wait until each instance reports that it is ready.

        :raises ClusterError: an instance ended or was not ready in time
        """
        for entry_id in self.entry_urls:
            await self._wait_until_serving(entry_id, '/readyz')

    async def _register(self, member: dict[str, typing.Any]) -> None:
        self._members[member['id']] = member
        response = await self._http.put(
            f'{self.platform_url}/v1/standin/members/{member["id"]}',
            json=member,
        )
        response.raise_for_status()

    async def kill_entry(self, entry_id: str) -> None:
        """End an entry instance with SIGKILL; the platform still lists it."""
        await trio.to_thread.run_sync(self._processes[entry_id].kill)

    async def mark_entry_gone(self, entry_id: str) -> None:
        """Set the state of an entry instance on the platform to gone."""
        member = self._members[entry_id]
        await self._register({**member, 'state': 'gone'})

    async def put_contract(
        self, customer: str, contract: dict[str, typing.Any]
    ) -> None:
        """Create a contract through the first entry instance.

        :raises ClusterError: the contract was not accepted
        """
        url = next(iter(self.entry_urls.values()))
        response = await self._http.put(
            f'{url}/v1/contracts/{customer}',
            json={**contract, 'expected_version': 0},
        )
        if not response.is_success:
            raise ClusterError(
                f'contract of {customer} was not accepted: '
                f'{response.status_code} {response.text[:500]}'
            )

    async def wait_for_contracts(self, customers: typing.Iterable[str]):
        """Wait until the customers' contracts are in force on each instance.

        :raises ClusterError: they were not in force in time
        """
        with trio.move_on_after(12.0):
            for url in self.entry_urls.values():
                for customer in customers:
                    while True:
                        response = await self._http.get(
                            f'{url}/v1/contracts/{customer}'
                        )
                        if response.is_success:
                            break
                        await trio.sleep(0.1)
            return
        raise ClusterError('contracts were not in force within 12 s')

    async def count_polls(self) -> dict[str, float]:
        """Return the polls of the instances, as counted by the platform."""
        response = await self._http.get(
            f'{self.platform_url}/v1/standin/counters'
        )
        response.raise_for_status()
        counters = response.json()
        return {
            'member_polls': counters.get('members', 0),
            'contract_polls': counters.get('scan', 0),
        }

    async def count_starts(self) -> dict[str, int]:
        """Return the number of starts by task key, from all ledgers."""
        starts: collections.Counter[str] = collections.Counter()
        for url in self._control_urls:
            response = await self._http.get(f'{url}/v1/standin/ledger')
            response.raise_for_status()
            starts.update(
                entry['key']
                for entry in response.json()
                if entry['event'] == 'start'
            )
        return dict(starts)


def platform_argv() -> list[str]:
    """Return the module and arguments that start the stand-in platform."""
    return ['orioleloom_standins.cli', 'platform', '--port', '0']


def worker_argv(group: WorkerGroup) -> list[str]:
    """Return the module and arguments that start a group of workers."""
    return [
        'orioleloom_standins.cli',
        'workers',
        '--port',
        '0',
        '--prefix',
        group.prefix,
        '--count',
        str(len(group.speeds)),
        '--speeds',
        ','.join(f'{speed:g}' for speed in group.speeds),
        '--slots',
        str(group.slots),
        '--connections',
        str(group.connections),
    ]


def entry_argv(
    spec: EntrySpec, http_port: int, peer_port: int, platform_url: str
) -> list[str]:
    """Return the module and arguments that start an entry instance."""
    return [
        'orioleloom.cli',
        'entry',
        '--instance-id',
        spec.id,
        '--data-centre',
        spec.data_centre,
        '--http-bind-port',
        str(http_port),
        '--peer-bind',
        f'tcp://{LOOPBACK}:{peer_port}',
        '--platform-url',
        platform_url,
    ]


def free_ports(count: int) -> list[int]:
    """Return free loopback ports.

    Another process may take a port before the child binds it. The child
    then exits, which :meth:`Cluster.__aenter__` reports.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
