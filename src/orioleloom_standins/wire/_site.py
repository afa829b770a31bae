import json
import random
import typing

import msgspec
import trio

from orioleloom import dispatch
from orioleloom_standins import leased
from orioleloom_standins.wire import _proxy
from orioleloom_standins.wire import _store
from orioleloom_standins.wire import _worker

HOST = 'tasks.example'
PREFIX = '/check/'
_INTERNAL_PORT = 7720


def submission(
    n_tasks: int,
    work_s: float,
    *,
    cpu: int = 6_800,
    poison: bool = False,
    n_padding_bytes: int = 0,
) -> bytes:
    """Return the request body of a job whose tasks take ``work_s`` each.

    :param n_padding_bytes: further length of its ``spec``
    """
    fields = {'work_s': work_s, 'cpu': cpu, 'poison': poison}
    if n_padding_bytes:
        fields['padding'] = n_padding_bytes * 'x'
    spec = json.dumps(fields)
    return msgspec.json.encode(
        {
            'spec': spec,
            'phases': [
                {'count': n_tasks, 'cpu': cpu, 'estimateMs': 1000 * work_s}
            ],
            'bestEffort': True,
        }
    )


class Site:
    """Store and workers on loopback, and settings files for instances.

    Instance N has the address 127.NETWORK.1.N, so that several sites can
    run at the same time.

    :param network: second octet of the instances' addresses
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        random_state: random.Random,
        network: int = 0,
    ):
        self.network = network
        self.nursery = nursery
        self.random_state = random_state
        self.store = _store.WireStore(nursery)
        self.store_address = ''
        self.workers: dict[str, _worker.WireWorker] = {}
        self.version = 0
        # The proxy of the store, followed by those of the workers.
        self.proxies: list[_proxy.Proxy] = []
        self.world: leased.World | None = None

    async def _serve(self, server: typing.Any) -> str:
        """Start a server behind a new proxy; return the proxy's address."""
        address = await self.nursery.start(server.serve, '127.0.0.1:0')
        proxy = _proxy.Proxy(address)
        self.proxies.append(proxy)
        return await self.nursery.start(proxy.serve)

    async def start(self, n_workers: int = 4) -> None:
        """Start the store and the workers, and write the configuration."""
        self.store_address = await self._serve(self.store.server)
        leased_workers = leased.site_workers(n_workers)
        world = self.world = leased.World(leased_workers, self.random_state)
        for worker in leased_workers:
            served = _worker.WireWorker(self.nursery, worker, world)
            address = await self._serve(served.server)
            worker.info = worker.info._replace(
                address=address, data_centre='dc1'
            )
            worker.reset(trio.current_time())
            self.workers[worker.info.id] = served
            self.list_worker(worker.info.id)
        self.configure()

    def list_worker(self, worker_id: str, state: str = 'ready') -> None:
        """Write the store row of a worker."""
        info = self.workers[worker_id].worker.info
        self.store.put(
            'servers',
            worker_id,
            {
                'service': info.upstream,
                'address': info.address,
                'zone': info.data_centre,
                'state': state,
                'capacity': {'cpu': info.capacity.cpu_millicores},
                'labels': list(info.labels),
                'born': info.life,
                'seq': 1,
            },
        )

    def move_worker(self, worker_id: str, upstream: str) -> None:
        """Let a worker run the tasks of another upstream."""
        worker = self.workers[worker_id].worker
        worker.info = worker.info._replace(upstream=upstream)
        self.list_worker(worker_id)

    def configure(
        self,
        prefixes: typing.Sequence[str] = (PREFIX,),
        upstreams: typing.Mapping[str, str] = {},
    ) -> None:
        """Write a new configuration with one route per path prefix.

        :param upstreams: upstreams of path prefixes other than ``pool``
        """
        self.version += 3
        self.store.put(
            'op',
            'config',
            {
                'version': self.version,
                'routes': [
                    {
                        'name': f'q{prefix}',
                        'host': HOST,
                        'pathPrefix': prefix,
                        'service': upstreams.get(prefix, 'pool'),
                        'targetLatencyMs': 60,
                        'maxAttempts': 2,
                        'slackFactor': 1.6,
                    }
                    for prefix in prefixes
                ],
                'limits': {'maxHeaderBytes': 4_000, 'maxBodyBytes': 50_000},
            },
        )

    def ip(self, number: int) -> str:
        """Return the IP address of an instance."""
        return f'127.{self.network}.1.{number}'

    def settings(self, number: int, n_instances: int) -> dict:
        """Return the content of an instance's settings file."""
        ip = self.ip(number)
        return {
            'nodeName': f'edge-{number}',
            'ip': ip,
            'zone': 'dc1',
            'listen': {
                'frontend': f'{ip}:8161',
                'readinessAddr': f'{ip}:8167',
                'control': f'{ip}:8166',
            },
            'internalPorts': [_INTERNAL_PORT, _INTERNAL_PORT + 15],
            'seeds': [
                f'{self.ip(seed)}:8166'
                for seed in range(1, min(3, n_instances) + 1)
            ],
            'limits': {'cpuShare': 1.0, 'cores': 1, 'maxFds': 1024},
            'bounds': {'graceS': 6, 'maxHoldMs': 1000},
            'platform': {'address': self.store_address},
        }

    def runs(self) -> set[dispatch.TaskKey]:
        """Return the keys of the tasks that are running."""
        now_s = trio.current_time()
        found = set()
        for served in self.workers.values():
            served.worker.advance(now_s)
            found.update(key for key, _ in served.worker.running())
        return found
