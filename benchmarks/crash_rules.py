"""Rules for tasks under which workers crash, on the same simulated loads.

Prints for each load and rule: workers that crashed, jobs that could be done
and were answered as failed or never started again, and the earned share of the
worth of the jobs that could be done.
"""

import argparse
import random
import statistics
import typing
import unittest.mock

from orioleloom.dispatch import _crashes
from orioleloom.dispatch import _dispatcher
from orioleloom.dispatch import _placement
from orioleloom_standins import leased

_DURATION_S = 12.0
_CUT_S = 3.0


class _NoLedger(_crashes.CrashLedger):
    """Ignores crashes."""

    def record(self, *args: typing.Any) -> None:
        pass


class _MostLostLedger(_crashes.CrashLedger):
    """Blames only the task that was lost most often before."""

    def paused_queues(self, n_workers, now_s) -> set[str]:
        return set()

    def record(self, worker, keys, now_s) -> None:
        keys = list(keys)
        most = max(len(self._by_task.get(key, ())) for key in keys)
        super().record(
            worker,
            [k for k in keys if len(self._by_task.get(k, ())) == most],
            now_s,
        )


class _SeparateUsage(_placement._RoundUsage):
    """Lets other tasks join a suspect, but no second suspect."""

    def blocks(self, task, worker) -> bool:
        return self.crashes.is_suspect(task.key) and self.has_suspect(worker)


class _JoinUsage(_placement._RoundUsage):
    """Places suspects like all other tasks."""

    def blocks(self, task, worker) -> bool:
        return False


class _PreferablyAloneUsage(_placement._RoundUsage):
    """Lets nothing join a suspect, which may join other tasks."""

    def blocks(self, task, worker) -> bool:
        return self.has_suspect(worker)


class _UnpausedLedger(_crashes.CrashLedger):
    """Limits no trials."""

    def paused_queues(self, n_workers, now_s) -> set[str]:
        return set()


class _ApartUsage(_placement._RoundUsage):
    """Keeps queues with failed trials apart from the others."""

    def blocks(self, task, worker) -> bool:
        if super().blocks(task, worker):
            return True
        apart = self.crashes._failed_trials_s
        if not apart:
            return False
        queue = task.job.job.queue.name
        return any(
            run.queue != queue and (run.queue in apart or queue in apart)
            for run in worker.runs.values()
        )


class _Rule(typing.NamedTuple):
    ledger: type = _crashes.CrashLedger
    usage: type = _placement._RoundUsage


_RULES = {
    'none': _Rule(_NoLedger),
    'most often lost': _Rule(_MostLostLedger, _JoinUsage),
    'counted only': _Rule(_UnpausedLedger, _JoinUsage),
    'separate': _Rule(_UnpausedLedger, _SeparateUsage),
    'preferably alone': _Rule(_UnpausedLedger, _PreferablyAloneUsage),
    'alone': _Rule(_UnpausedLedger),
    'alone, trials limited': _Rule(),
    'alone, limited, queues apart': _Rule(usage=_ApartUsage),
}


class _Load(typing.NamedTuple):
    """A load and what happens to its workers.

    :param crashes_per_s: rate at which workers crash by themselves
    :param burst_share: share of the workers that crash, or are reset by a cut,
        at the same time, every four seconds
    """

    scale: float
    deadly_shares: dict[str, float]
    crashes_per_s: float = 0.0
    burst_share: float = 0.0
    is_cut: bool = False


_LOADS = {
    'no crashes': _Load(1.0, {}),
    'deadly': _Load(1.0, {'check': 0.1}),
    'deadly, high load': _Load(1.4, {'check': 0.1}),
    'deadly, two kinds': _Load(1.0, {'check': 0.1, 'lookup': 0.02}),
    'random crashes': _Load(1.0, {}, crashes_per_s=1.0),
    'bursts of crashes': _Load(1.0, {}, burst_share=0.15),
    'resets': _Load(1.0, {}, burst_share=0.2, is_cut=True),
    'deadly and crashes': _Load(
        1.0, {'check': 0.1}, crashes_per_s=0.5, burst_share=0.1
    ),
}


class _Result(typing.NamedTuple):
    n_crashes: int
    n_false: int
    share: float
    least_kind_share: float


def _schedule(world: leased.World, load: _Load, rng: random.Random) -> None:
    time_s = world.now_s
    while load.crashes_per_s:
        time_s += rng.expovariate(load.crashes_per_s)
        if time_s > _DURATION_S:
            break
        world.at(time_s, lambda: world.crash_worker(_any(world, rng)))
    if not load.burst_share:
        return

    def burst() -> None:
        ids = sorted(world.workers)
        for worker_id in rng.sample(ids, int(load.burst_share * len(ids))):
            worker = world.workers[worker_id]
            if load.is_cut:
                worker.is_reset = True
                world.after(_CUT_S, lambda w=worker: _heal(w))
            else:
                world.crash_worker(worker_id)

    for at_s in (2.0, 6.0, 10.0):
        world.at(at_s, burst)


def _any(world: leased.World, rng: random.Random) -> str:
    return rng.choice(sorted(world.workers))


def _heal(worker: leased.LeasedWorker) -> None:
    worker.is_reset = False


def _play(rule: _Rule, load: _Load, seed: int) -> _Result:
    with (
        unittest.mock.patch.object(_crashes, 'CrashLedger', rule.ledger),
        unittest.mock.patch.object(_placement, '_RoundUsage', rule.usage),
    ):
        world = leased.World(leased.site_workers(), random.Random(seed))
        side = world.start_dispatcher()
        assert isinstance(side.dispatcher, _dispatcher.Dispatcher)
        world.run_until(0.5)
        _schedule(world, load, random.Random(seed))
        report = leased.offer_load(
            world,
            side,
            duration_s=_DURATION_S,
            scale=load.scale,
            deadly_shares=load.deadly_shares,
            random_state=random.Random(seed),
        )
    n_crashes = sum(worker.n_crashes for worker in world.workers.values())
    return _Result(
        n_crashes,
        report.n_falsely_failed + report.n_given_up,
        report.share(),
        min(report.kind_share(name) for name in report.by_kind),
    )


def main() -> None:
    """Print a table of all rules and loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=6)
    parser.add_argument('--loads', nargs='*', default=list(_LOADS))
    parser.add_argument('--rules', nargs='*', default=list(_RULES))
    arguments = parser.parse_args()
    print('load | rule | crashes | false | share | worst kind')
    for load_name in arguments.loads:
        for rule_name in arguments.rules:
            results = [
                _play(_RULES[rule_name], _LOADS[load_name], seed)
                for seed in range(1, arguments.seeds + 1)
            ]
            print(
                f'{load_name} | {rule_name} | '
                f'{statistics.mean(r.n_crashes for r in results):.1f} | '
                f'{statistics.mean(r.n_false for r in results):.1f} | '
                f'{statistics.mean(r.share for r in results):.3f} | '
                f'{statistics.mean(r.least_kind_share for r in results):.3f}',
                flush=True,
            )


if __name__ == '__main__':
    main()
