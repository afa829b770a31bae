"""CPU time of the dispatcher of repeatable jobs, by number of workers.

Jobs of four tasks arrive while half of the capacity is in use; each task is
started, accepted and ended. The time per task covers these steps, without
I/O.
"""

import argparse
import random
import statistics
import time

from orioleloom import dispatch

_QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
_TASKS_PER_JOB = 4


def _make_workers(n_workers: int) -> dict[str, dispatch.WorkerInfo]:
    return {
        f'w{number}': dispatch.WorkerInfo(
            f'w{number}',
            f'10.{number // 250}.0.{number % 250}:80',
            f'dc{number % 4}',
            'pool',
            dispatch.Resources(24_000 if number % 3 == 2 else 16_000, 65_536),
            (),
            1,
        )
        for number in range(n_workers)
    }


class _Simulation:
    def __init__(self, n_workers: int):
        self.now_s = 100.0
        self.ends = dict.fromkeys(_make_workers(n_workers), 0)
        self.dispatcher = dispatch.Dispatcher(
            token=1,
            run_id_base=1,
            random_state=random.Random(1),
            now_s=self.now_s,
        )
        self.dispatcher.set_workers(_make_workers(n_workers), self.now_s)
        for worker_id in self.ends:
            self._report(worker_id, ())
        self.running: list[dispatch.StartRun] = []
        self.n_jobs = 0
        self.apply_effects()

    def _report(
        self, worker_id: str, ended: tuple[dispatch.EndedRun, ...]
    ) -> None:
        worker = self.dispatcher.workers[worker_id]
        gone = {end.key for end in ended}
        running = tuple(
            dispatch.RunningRun(run.key, run.run_id)
            for run in worker.runs.values()
            if run.key not in gone
        )
        self.dispatcher.handle_report(
            worker_id,
            dispatch.WorkerReport(0, 1, running, ended),
            self.now_s,
            self.now_s,
        )

    def apply_effects(self) -> None:
        for effect in self.dispatcher.take_effects():
            if isinstance(effect, dispatch.StartRun):
                self.running.append(effect)
                self.dispatcher.handle_start_accepted(
                    effect.worker.id, effect.key, effect.run_id, 0, self.now_s
                )

    def submit(self) -> None:
        self.n_jobs += 1
        step = dispatch.Step(
            _TASKS_PER_JOB, dispatch.Resources(6_800, 64), 0.2
        )
        self.dispatcher.submit(
            dispatch.Job(f'{self.n_jobs:016x}', _QUEUE, '', (step,)),
            'e1',
            arrived_s=self.now_s,
            deadline_s=self.now_s + 9,
            now_s=self.now_s,
        )
        self.apply_effects()

    def end_first(self) -> None:
        run = self.running.pop(0)
        number = self.ends[run.worker.id] = self.ends[run.worker.id] + 1
        end = dispatch.EndedRun(
            number, run.key, run.run_id, dispatch.EndKind.DONE
        )
        # Advance so that each run takes about 0.2 s.
        self.now_s += 0.2 / (len(self.running) + 1)
        self._report(run.worker.id, (end,))
        self.apply_effects()


def measure(n_workers: int, n_jobs: int) -> tuple[float, float]:
    """Return the CPU time per task and per tick in microseconds."""
    sim = _Simulation(n_workers)
    while len(sim.running) < n_workers:
        sim.submit()
    begin_s = time.process_time()
    for _ in range(n_jobs):
        sim.submit()
        for _ in range(_TASKS_PER_JOB):
            sim.end_first()
    spent_s = time.process_time() - begin_s
    begin_s = time.process_time()
    for _ in range(100):
        sim.now_s += 0.001
        sim.dispatcher.tick(sim.now_s)
        sim.apply_effects()
    tick_s = (time.process_time() - begin_s) / 100
    return 1e6 * spent_s / (n_jobs * _TASKS_PER_JOB), 1e6 * tick_s


def main() -> None:
    """Print one row for each number of workers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--jobs', type=int, default=500)
    parser.add_argument('--repeats', type=int, default=3)
    arguments = parser.parse_args()
    print('workers  us a task (range)        us a tick')
    for n_workers in (24, 176, 900):
        rows = [
            measure(n_workers, arguments.jobs)
            for _ in range(arguments.repeats)
        ]
        tasks = sorted(row[0] for row in rows)
        ticks = statistics.median(row[1] for row in rows)
        print(
            f'{n_workers:7}  {statistics.median(tasks):6.1f} '
            f'({tasks[0]:.1f}-{tasks[-1]:.1f})  {ticks:10.0f}'
        )


if __name__ == '__main__':
    main()
