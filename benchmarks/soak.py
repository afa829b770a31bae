"""Soak of real processes under load and random faults, with an audit.

Run as ``python -m benchmarks.soak --duration-s 600 --seed 1``. The seed
determines the order, targets and durations of the faults; the interleaving
of the processes differs between runs. The exit code is 1 when the audit
finds a violation, a caller waits too long or a queue exceeds its bound.
"""

import argparse
import collections
import random
import re
import signal
import statistics
import sys
import time
import typing

import httpx
import trio

from orioleloom.cli import _processes
from orioleloom import client
from orioleloom_standins import fleet as fleets

_WORKERS = (
    _processes.WorkerGroup('plant', 'batching', 'regina', (4.0, 2.0, 1.0)),
    _processes.WorkerGroup('hall', 'batching', 'saskatoon', (3.0, 2.0, 1.0)),
)
# Paused but never stopped, so that its memory is sampled over the run.
_NEVER_STOPPED = 'regina-1'
_ENTRIES = (
    _processes.EntrySpec(_NEVER_STOPPED, 'regina'),
    _processes.EntrySpec('regina-2', 'regina'),
    _processes.EntrySpec('saskatoon-1', 'saskatoon'),
    _processes.EntrySpec('saskatoon-2', 'saskatoon'),
)
_CUSTOMERS = ('harrowgate', 'noche')
_CONTRACT = {
    'in_flight': 40,
    'starts_per_s': 1000,
    'burst': 200,
    'upstreams': ['batching'],
    'max_queued_tasks': 5_000,
}
# Short enough that records expire during the run and a leak shows as a
# slope of the memory.
_ENTRY_FLAGS = ('--retention-s=60', '--claim-retention-s=120')

_DEADLINE_MS = 8_000.0
_PATIENCE_S = 30.0
# The client library ends a call after its deadline and ``patience_s``.
_ANSWER_BOUND_S = _DEADLINE_MS / 1e3 + _PATIENCE_S + 2.0

_LIST_LAG_S = 1.0
_SAMPLE_INTERVAL_S = 2.0
_COOL_DOWN_S = 10.0

_WORKER_FAULTS: dict[str, dict[str, float]] = {
    'die': {},
    'stall': {},
    'leave': {},
    'fail_all': {},
    'slow_factor': {'factor': 4.0},
    'garbage': {'share': 0.3},
    'cut': {'share': 0.3},
}
_PLATFORM_FAULTS: dict[str, dict[str, typing.Any]] = {
    'outage': {},
    'slow': {'delay_ms': 400.0},
    'lost_answers': {'share': 0.5},
    'list_outage': {},
}


class Sample(typing.NamedTuple):
    """Memory and queues of an instance process at one time."""

    pid: int
    time_s: float
    resident_bytes: int
    queued_tasks: int
    writes_waiting: int
    active_jobs: int
    remote_jobs: int
    held_jobs: int


class Soak:
    """One soak run.

    :param duration_s: time during which faults are injected
    :param random_state: random generator for faults, targets and jobs
    """

    def __init__(self, *, duration_s: float, random_state: random.Random):
        self.duration_s = duration_s
        self.random_state = random_state
        self.samples: dict[str, list[Sample]] = collections.defaultdict(list)
        self.n_faults: collections.Counter[str] = collections.Counter()
        self._down: set[str] = set()

    async def run(self) -> list[str]:
        """Run the soak and return a description of each failed check."""
        self.fleet = fleets.Fleet(
            worker_groups=_WORKERS, entries=_ENTRIES, entry_flags=_ENTRY_FLAGS
        )
        try:
            await self.fleet.start()
            return await self._run()
        finally:
            with trio.CancelScope(shield=True):
                await self.fleet.stop()

    async def _run(self) -> list[str]:
        fleet = self.fleet
        for customer in _CUSTOMERS:
            answer = await fleet.put_contract(
                _NEVER_STOPPED, customer, _CONTRACT
            )
            answer.raise_for_status()
            await fleet.wait_contract(customer, 1)
        for spec in _ENTRIES:
            await fleet.wait_serving(spec.id)
        urls = list(fleet.entry_urls.values())
        async with (
            client.Client(
                urls, customer=_CUSTOMERS[0], patience_s=_PATIENCE_S
            ) as claims,
            client.Client(
                urls,
                customer=_CUSTOMERS[1],
                patience_s=_PATIENCE_S,
                use_tickets=True,
            ) as tickets,
            trio.open_nursery() as sampling,
        ):
            sampling.start_soon(self._sample)
            async with trio.open_nursery() as nursery:
                loads = [
                    fleets.Load(
                        fleet,
                        connection,
                        upstream='batching',
                        rate_per_s=12.0,
                        work_ms=(20.0, 400.0),
                        deadline_ms=_DEADLINE_MS,
                        random_state=random.Random(self.random_state.random()),
                    )
                    for connection in (claims, tickets)
                ]
                for load in loads:
                    nursery.start_soon(load.run)
                await self._inject_faults(
                    trio.current_time() + self.duration_s
                )
                await trio.sleep(_COOL_DOWN_S)
                for load in loads:
                    load.stop()
            sampling.cancel_scope.cancel()
        return await self._check_results()

    async def _inject_faults(self, end_s: float) -> None:
        actions = (
            ('kill', self._kill, 3),
            ('pause', self._pause, 3),
            ('planned stop', self._stop, 2),
            ('platform', self._inject_platform_fault, 4),
            ('worker', self._inject_worker_fault, 5),
        )
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                delay_s = self.random_state.uniform(2.0, 7.0)
                await trio.sleep(min(delay_s, end_s - trio.current_time()))
                (_, action, _) = self.random_state.choices(
                    actions, weights=[weight for *_, weight in actions]
                )[0]
                # Seed a generator for each fault, so that the draws do not
                # depend on how concurrent faults interleave.
                rng = random.Random(self.random_state.random())
                nursery.start_soon(action, rng)

    def _count(self, text: str, kind: str) -> None:
        self.n_faults[kind] += 1
        print(f'{time.strftime("%H:%M:%S")} {text}', flush=True)

    def _reserve_instance(
        self, rng: random.Random, kept: bool
    ) -> _processes.EntrySpec | None:
        spec = rng.choice(_ENTRIES[0 if kept else 1 :])
        # At most half of the instances may be down.
        if spec.id in self._down or len(self._down) >= 2:
            return None
        self._down.add(spec.id)
        return spec

    async def _kill(self, rng: random.Random) -> None:
        spec = self._reserve_instance(rng, kept=False)
        if spec is None:
            return
        self._count(f'kill {spec.id}', 'kill')
        await trio.to_thread.run_sync(self.fleet.processes[spec.id].kill)
        await trio.sleep(_LIST_LAG_S)
        await self.fleet.list_as(spec.id, 'gone')
        await self._restart(spec, rng)

    async def _stop(self, rng: random.Random) -> None:
        spec = self._reserve_instance(rng, kept=False)
        if spec is None:
            return
        self._count(f'planned stop of {spec.id}', 'planned stop')
        process = self.fleet.processes[spec.id]
        process.signal(signal.SIGTERM)
        await self.fleet.list_as(spec.id, 'leaving')
        await process.wait()
        await self.fleet.list_as(spec.id, 'gone')
        await self._restart(spec, rng)

    async def _restart(
        self, spec: _processes.EntrySpec, rng: random.Random
    ) -> None:
        await trio.sleep(rng.uniform(0.2, 4.0))
        seeds = ','.join(
            address
            for entry_id, address in self.fleet.peer_addresses.items()
            if entry_id != spec.id
        )
        await self.fleet.start_entry(spec, flags=[f'--seed-peers={seeds}'])
        await self.fleet.wait_serving(spec.id, timeout_s=60.0)
        self._down.discard(spec.id)

    async def _pause(self, rng: random.Random) -> None:
        spec = self._reserve_instance(rng, kept=True)
        if spec is None:
            return
        duration_s = rng.uniform(0.3, 6.0)
        self._count(f'pause {spec.id} for {duration_s:.1f} s', 'pause')
        process = self.fleet.processes[spec.id]
        process.signal(signal.SIGSTOP)
        try:
            await trio.sleep(duration_s)
        finally:
            process.signal(signal.SIGCONT)
        self._down.discard(spec.id)

    async def _inject_platform_fault(self, rng: random.Random) -> None:
        kind = rng.choice(sorted(_PLATFORM_FAULTS))
        duration_s = rng.uniform(1.0, 8.0)
        self._count(f'platform {kind} for {duration_s:.1f} s', kind)
        await self.fleet.platform_fault(
            kind, duration_s, **_PLATFORM_FAULTS[kind]
        )

    async def _inject_worker_fault(self, rng: random.Random) -> None:
        group = rng.choice(_WORKERS)
        worker_id = f'{group.prefix}{rng.randrange(len(group.speeds))}'
        kind = rng.choice(sorted(_WORKER_FAULTS))
        duration_s = rng.uniform(1.0, 12.0)
        self._count(f'worker {worker_id}: {kind}, {duration_s:.1f} s', kind)
        await self.fleet.worker_fault(
            worker_id, kind, duration_s, **_WORKER_FAULTS[kind]
        )
        if kind == 'leave':
            # As on a real platform, the list shows a leaving worker later.
            await trio.sleep(duration_s / 2)
            await self.fleet.list_as(worker_id, 'leaving')
            await trio.sleep(duration_s / 2)
            await self.fleet.list_as(worker_id, 'live')

    async def _sample(self) -> None:
        while True:
            for spec in _ENTRIES:
                if spec.id not in self._down:
                    await self._sample_entry(spec.id)
            await trio.sleep(_SAMPLE_INTERVAL_S)

    async def _sample_entry(self, entry_id: str) -> None:
        process = self.fleet.processes[entry_id]
        try:
            resident_bytes = process.resident_bytes()
            state = (await self.fleet.state(entry_id))['engine']
        except (httpx.HTTPError, OSError):
            # The instance was killed or paused in the meantime.
            return
        self.samples[entry_id].append(
            Sample(
                process.pid,
                trio.current_time(),
                resident_bytes,
                state['queued_tasks'],
                state['writes_waiting'],
                state['jobs']['active'],
                state['jobs']['remote'],
                state['jobs']['held'],
            )
        )

    async def _check_results(self) -> list[str]:
        outcomes = self.fleet.outcomes
        codes = collections.Counter(outcome.code for outcome in outcomes)
        longest_s = max(outcome.duration_s for outcome in outcomes)
        print(
            f'{len(outcomes)} jobs, '
            f'{sum(len(outcome.tasks) for outcome in outcomes)} tasks: '
            + ', '.join(f'{n} {code}' for code, n in codes.most_common())
        )
        for text, number in count_error_messages(outcomes):
            print(f'  {number} x {text}')
        print(f'longest wait of a caller {longest_s:.1f} s')
        print(f'faults: {dict(self.n_faults)}')
        faults = [
            f'{item.rule} {item.subject}: {item.detail}'
            for item in await self.fleet.audit()
        ]
        if longest_s > _ANSWER_BOUND_S:
            faults.append(f'a caller waited {longest_s:.1f} s')
        bound = len(_CUSTOMERS) * _CONTRACT['max_queued_tasks']
        for spec in _ENTRIES:
            samples = self.samples[spec.id]
            print(f'{spec.id}: {describe(samples)}')
            if max(sample.queued_tasks for sample in samples) > bound:
                faults.append(f'{spec.id} queued more than {bound} tasks')
            last = samples[-1]
            if last.active_jobs or last.queued_tasks or last.remote_jobs:
                state = await self.fleet.state(spec.id)
                jobs = state['engine']['jobs']
                if jobs['active'] or jobs['remote']:
                    faults.append(f'{spec.id} still holds jobs: {jobs}')
            if 'internal_error' in self.fleet.processes[spec.id].log():
                faults.append(f'{spec.id} logged an internal error')
            if spec.id in self._down:
                faults.append(f'{spec.id} did not come back')
        return faults


def count_error_messages(
    outcomes: typing.Iterable[fleets.Outcome],
) -> list[tuple[str, int]]:
    """Count the error messages, with ids and numbers masked."""
    found = collections.Counter(
        re.sub(r'[0-9a-f]{8,}|\d+', '#', str(outcome.answer))[:160]
        for outcome in outcomes
        if isinstance(outcome.answer, client.SubmissionError)
    )
    return found.most_common(12)


def describe(samples: typing.Sequence[Sample]) -> str:
    """Summarise memory and queues of one instance.

    The memory slope is fitted to the last process, without its first 60 s,
    in which the number of retained answers reaches a steady state.
    """
    last = [item for item in samples if item.pid == samples[-1].pid]
    steady = [item for item in last if item.time_s > last[0].time_s + 60.0]
    slope = 'too short for a slope'
    if len(steady) >= 10:
        fit = statistics.linear_regression(
            [item.time_s for item in steady],
            [item.resident_bytes / 2**20 for item in steady],
        )
        span_s = steady[-1].time_s - steady[0].time_s
        slope = f'slope {fit.slope * 60:+.3f} MiB/min over {span_s:.0f} s'
    # Intermediate values show whether the growth levels off.
    step = max(1, len(last) // 6)
    course = ' '.join(
        f'{item.resident_bytes / 2**20:.1f}' for item in last[::step]
    )
    return (
        f'{len({item.pid for item in samples})} processes, resident '
        f'{course} MiB, {slope}; jobs held at the end '
        f'{last[-1].held_jobs}; most queued '
        f'tasks {max(item.queued_tasks for item in samples)}, writes '
        f'waiting {max(item.writes_waiting for item in samples)}, active '
        f'jobs {max(item.active_jobs for item in samples)}, remote jobs '
        f'{max(item.remote_jobs for item in samples)}'
    )


def main() -> int:
    """Run the soak from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--duration-s', type=float, default=600.0)
    parser.add_argument('--seed', type=int, default=None)
    arguments = parser.parse_args()
    seed = arguments.seed
    if seed is None:
        seed = random.SystemRandom().randrange(2**32)
    print(f'seed {seed}, {arguments.duration_s:g} s', flush=True)
    soak = Soak(
        duration_s=arguments.duration_s, random_state=random.Random(seed)
    )
    faults = trio.run(soak.run)
    for fault in faults:
        print(f'fault: {fault}', file=sys.stderr)
    print(f'{len(faults)} faults found')
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
