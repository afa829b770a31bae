"""Ends processes above the memory of their machine, as a machine does."""

import asyncio
import pathlib

import standins

# A process that is killed is restarted after a short delay.
RESTART_S = 1.0
# How much longer the crowd goes on once the rule is broken.
SHOWN_S = 5.0
# The rule: processes end three times on a tenth of the machines, two at least.
MIN_ENDS = 3
MIN_MACHINES = 2


def resident_mb(instance):
    """Return the resident memory of an instance's process."""
    try:
        path = pathlib.Path(f'/proc/{instance.process.pid}/status')
        for line in path.read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024 / 1e6
    except OSError:
        pass
    return 0.0


class Guard:
    """Watches the instances of a site, and sends small jobs to them.

    :param site: its instances are watched
    """

    def __init__(self, site):
        self.site = site
        self.n_ends = {}
        self.peak_mb = {}
        self._statuses = {}
        self._tasks = []

    async def start(self):
        for coroutine in (self._watch(), self._send_small_jobs()):
            self._tasks.append(asyncio.create_task(coroutine))

    def stop(self):
        """Write what was seen."""
        for task in self._tasks:
            task.cancel()
        record = self.site.record
        peak_mb = {name: round(mb) for name, mb in self.peak_mb.items()}
        record.write(f'answers to small jobs: {self._statuses}')
        record.write(f'peaks of resident memory in MB: {peak_mb}')
        record.write(f'ends of processes: {self.n_ends}')

    async def wait(self, crowd):
        """Wait until a crowd has its answers, or until the rule is broken."""
        task = asyncio.create_task(crowd)
        while not task.done() and not self.is_fault():
            await asyncio.sleep(0.1)
        if task.done():
            task.result()
            return
        await asyncio.sleep(SHOWN_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def is_fault(self):
        """Return whether processes have ended as often as the rule says."""
        often = [n for n in self.n_ends.values() if n >= MIN_ENDS]
        return len(often) >= MIN_MACHINES

    async def _restart(self, instance):
        await asyncio.sleep(RESTART_S)
        instance.start()

    async def _watch(self):
        restarts = set()
        written_s = 0.0
        while True:
            present = {}
            for instance in self.site.instances:
                if instance.process.poll() is not None:
                    continue
                name = instance.name
                mb = resident_mb(instance)
                present[name] = round(mb)
                self.peak_mb[name] = max(self.peak_mb.get(name, 0), mb)
                if mb > self.site.memory_mb:
                    self.n_ends[name] = self.n_ends.get(name, 0) + 1
                    self.site.record.write(
                        f'process {name} has {mb:.0f} MB of '
                        f'{self.site.memory_mb} MB and is killed'
                    )
                    instance.end()
                    restarts.add(asyncio.create_task(self._restart(instance)))
            if self.site.record.now_s() > written_s + 1:
                written_s = self.site.record.now_s()
                self.site.record.write(f'resident memory in MB: {present}')
            await asyncio.sleep(0.05)

    async def _send_small_jobs(self):
        number = 0
        while True:
            number += 1
            instance = self.site.instances[number % len(self.site.instances)]
            status, text = await standins.request(
                instance.address,
                'POST',
                f'/check/{0xF0000 + number:016x}',
                standins.job(0.1, [(1, [])], cpu=100),
                timeout_s=5.0,
                deadline_ms=4000,
            )
            self._statuses[status] = self._statuses.get(status, 0) + 1
            self.site.record.write(
                f'small job {number} at {instance.name}: {status} '
                f'{text.decode()}'
            )
            await asyncio.sleep(0.5)
