"""How soon interference of queues is learned, and what avoiding it is worth.

Runs of three queues are replayed on workers of different speeds with room for
two runs each. Tasks of ``check`` take a factor longer if a run of ``booking``
is there when they start; no other pair interferes. Prints, for each factor and
share of the capacity in use, the ended runs until the pair is known, the other
pairs that were taken to interfere at any time, and the geometric mean of the
slowdown of ``check`` if tasks are placed at random and if they are placed
apart: python -m benchmarks.interference --seeds 5
"""

import argparse
import heapq
import math
import random
import statistics
import typing

from orioleloom import dispatch
from orioleloom.dispatch import _interference
from orioleloom.dispatch import _workers

_N_WORKERS = 24
_N_SLOTS = 2
_SPEEDS = (0.6, 1.0, 1.6)
# Mean run time in seconds and share of the tasks, as at the sites.
_QUEUES = {
    'check': (0.06, 0.55),
    'booking': (0.9, 0.05),
    'lookup': (0.2, 0.40),
}
_PAIR = _interference.Pair('check', 'booking')
_SPREAD = 0.4
_LONG_SHARE = 0.03


class Result(typing.NamedTuple):
    """Figures of one replay.

    :param known_after: ended runs until the pair is known, or ``None``
    :param false_pairs: other pairs that were taken to interfere
    :param check_ratio: geometric mean of run time to that of undisturbed
        tasks of ``check``, in the second half
    """

    known_after: int | None
    false_pairs: int
    check_ratio: float


class _Replay:
    def __init__(self, seed: int, factor: float, load: float, avoids: bool):
        self.rng = random.Random(seed)
        self.factor = factor
        self.n_slots_used = round(load * _N_WORKERS * _N_SLOTS)
        self.avoids = avoids
        self.interference = _interference.Interference()
        self.workers = [
            _workers.Worker(
                dispatch.WorkerInfo(
                    f'w{n}', '', 'dc', 'pool', dispatch.Resources(_N_SLOTS)
                )
            )
            for n in range(_N_WORKERS)
        ]
        self.heap: list[tuple[float, int, _workers.Run, float]] = []
        self.n_runs = 0
        self.false_pairs: set[_interference.Pair] = set()
        self.known_after: int | None = None
        self.check_logs: list[float] = []

    def _start(self, now_s: float) -> None:
        name = self.rng.choices(
            list(_QUEUES), [share for _, share in _QUEUES.values()]
        )[0]
        free = [w for w in self.workers if len(w.runs) < _N_SLOTS]
        if self.avoids:
            self.rng.shuffle(free)
            worker = min(
                free,
                key=lambda w: self.interference.mutual_factor(
                    name, [run.queue for run in w.runs.values()]
                ),
            )
        else:
            worker = self.rng.choice(free)
        self.n_runs += 1
        expected_s = _QUEUES[name][0]
        run = _workers.Run(
            dispatch.TaskKey(str(self.n_runs), 0, 0),
            1,
            worker,
            dispatch.Resources(1),
            name,
            now_s,
            expected_s,
        )
        speed = _SPEEDS[int(worker.id[1:]) % len(_SPEEDS)]
        noise = math.exp(self.rng.gauss(0.0, _SPREAD))
        if self.rng.random() < _LONG_SHARE:
            noise *= 7.0
        disturbed = name == _PAIR.queue and any(
            other.queue == _PAIR.neighbour for other in worker.runs.values()
        )
        factor = self.factor if disturbed else 1.0
        worker.add_run(run)
        heapq.heappush(
            self.heap,
            (
                now_s + expected_s / speed * noise * factor,
                self.n_runs,
                run,
                math.log(factor),
            ),
        )

    def run(self, n_runs: int) -> Result:
        now_s = 0.0
        for _ in range(self.n_slots_used):
            self._start(now_s)
        for n_ended in range(1, n_runs + 1):
            now_s, _, run, log_factor = heapq.heappop(self.heap)
            elapsed_s = max(now_s - run.started_s, 1e-3)
            self.interference.record_end(run, now_s)
            run.worker.remove_run(run)
            self.interference.observe(
                run, math.log(elapsed_s / run.expected_s), elapsed_s, now_s
            )
            if run.queue == _PAIR.queue and n_ended > n_runs / 2:
                self.check_logs.append(log_factor)
            for change in self.interference.update(now_s):
                if change.pair != _PAIR or self.factor == 1.0:
                    self.false_pairs.add(change.pair)
                elif change.is_interfering and self.known_after is None:
                    self.known_after = n_ended
            self._start(now_s)
        return Result(
            self.known_after,
            len(self.false_pairs),
            math.exp(statistics.mean(self.check_logs)),
        )


def replay(
    seed: int, factor: float, load: float, avoids: bool, n_runs: int
) -> Result:
    """Replay random runs.

    :param factor: of the run time of ``check`` beside ``booking``
    :param load: share of the capacity in use
    :param avoids: whether tasks are placed apart
    """
    return _Replay(seed, factor, load, avoids).run(n_runs)


def main() -> None:
    """Print one row for each factor and load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--runs', type=int, default=20_000)
    arguments = parser.parse_args()
    print('factor  load  known after (median, max)  false  random  apart')
    for factor in (1.0, 1.2, 1.5):
        for load in (0.5, 0.8, 1.0):
            rows = [
                [
                    replay(seed, factor, load, avoids, arguments.runs)
                    for seed in range(1, arguments.seeds + 1)
                ]
                for avoids in (False, True)
            ]
            known = [
                math.inf if row.known_after is None else row.known_after
                for row in rows[0]
            ]
            ratios = [
                statistics.mean(row.check_ratio for row in results)
                for results in rows
            ]
            n_false = sum(row.false_pairs for row in rows[0] + rows[1])
            print(
                f'{factor:6}  {load:4}  {statistics.median(known):12}  '
                f'{max(known):11}  {n_false:5}  {ratios[0]:.3f}  '
                f'{ratios[1]:.3f}',
                flush=True,
            )


if __name__ == '__main__':
    main()
