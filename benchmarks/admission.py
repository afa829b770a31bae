"""Refusals and earned value of the dispatcher under overload.

Simulated workers get the kinds of job of the reference sites at a multiple of
what they can carry. Callers wait for 1.58 s and do not retry.
"""

import argparse
import collections
import random
import typing

from orioleloom import dispatch
from orioleloom_standins import leased

_N_WORKERS = 24
# Work of the kinds of job per second, over that of so many workers.
_SHARE_AT_SCALE_1 = sum(
    kind.per_s * kind.n_tasks * kind.work_s for kind in leased.SITE_KINDS
) / (8 * (2 * 0.6 + 2 * 1.0 + 3 * 1.6))
_DEADLINE_S = 1.58


class _Arrival(typing.NamedTuple):
    job: dispatch.Job
    arrived_s: float
    expected_s: float
    allowed_s: float


class Callers:
    """Callers of a simulated dispatcher, who record its refusals.

    :param side: dispatcher with simulated access to the workers
    """

    def __init__(self, side: typing.Any) -> None:
        self.side = side
        self.arrivals: dict[str, _Arrival] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.outcomes = _Outcomes(self.record)
        side.outcomes = self.outcomes

    def submit(self, job: dispatch.Job, deadline_s: float) -> None:
        """Submit a job with the deadline of these callers."""
        now_s = self.side.world.now_s
        # What the dispatcher expects when the job arrives.
        expected_s = self.side.dispatcher.run_times.expected_s(
            job.queue.name, job.steps[0].estimate_s
        )
        allowed_s = (
            job.queue.slack_factor * expected_s + job.queue.target_latency_s
        )
        self.arrivals[job.id] = _Arrival(job, now_s, expected_s, allowed_s)
        self.side.submit(job, deadline_s=now_s + _DEADLINE_S)

    def record(self, job_id: str, outcome: dispatch.Outcome) -> None:
        """Count a refusal by its delay and by the free workers."""
        self.counts[outcome.kind] += 1
        if outcome.kind is not dispatch.OutcomeKind.NOT_RUN:
            return
        arrival = self.arrivals[job_id]
        waited_s = self.side.world.now_s - arrival.arrived_s
        self.counts['quick'] += waited_s <= arrival.allowed_s / 4
        self.counts['untried'] += waited_s > arrival.allowed_s
        self.counts['wrong'] += self.has_free_worker(arrival)

    def has_free_worker(self, arrival: _Arrival) -> bool:
        """Return whether a free worker could still run a task in time."""
        room = arrival.job.steps[0].room
        now_s = self.side.world.now_s
        remaining_s = (
            arrival.arrived_s + min(3 * arrival.allowed_s, _DEADLINE_S) - now_s
        )
        return any(
            worker.can_start_now(now_s)
            and worker.free.can_fit(room)
            and arrival.expected_s * worker.run_time_ratio() <= remaining_s
            for worker in self.side.dispatcher.workers.values()
        )

    def large_job_ratio(self) -> float:
        """Return how often the largest tenth completes, of all of its kind.

        :returns: the lowest of all kinds
        """
        by_kind: dict[str, list[tuple[int, bool]]] = {}
        for job_id, arrival in self.arrivals.items():
            ended = self.outcomes.get(job_id)
            by_kind.setdefault(arrival.job.queue.name, []).append(
                (
                    arrival.job.steps[0].n_tasks,
                    ended is not None
                    and ended[0].kind is dispatch.OutcomeKind.COMPLETED,
                )
            )
        ratios = []
        for rows in by_kind.values():
            rows.sort(reverse=True)
            largest = rows[: max(1, len(rows) // 10)]
            ratios.append(_mean_done(largest) / _mean_done(rows))
        return min(ratios)


class _Outcomes(dict[str, tuple[dispatch.Outcome, float]]):
    def __init__(
        self, record: typing.Callable[[str, dispatch.Outcome], None]
    ) -> None:
        super().__init__()
        self._record = record

    def __setitem__(
        self, job_id: str, ended: tuple[dispatch.Outcome, float]
    ) -> None:
        super().__setitem__(job_id, ended)
        self._record(job_id, ended[0])


def _mean_done(rows: list[tuple[int, bool]]) -> float:
    return sum(row[1] for row in rows) / len(rows)


def serve(
    load: float,
    seed: int,
    *,
    n_workers: int = _N_WORKERS,
    duration_s: float = 8.0,
    **options: typing.Any,
) -> tuple[leased.LoadReport, Callers]:
    """Offer a multiple of the capacity to simulated workers.

    :param options: passed to :func:`leased.offer_load`
    """
    world = leased.World(leased.site_workers(n_workers), random.Random(seed))
    callers = Callers(world.start_dispatcher())
    world.run_until(0.5)
    report = leased.offer_load(
        world,
        callers,
        duration_s=duration_s,
        scale=load / _SHARE_AT_SCALE_1 * n_workers / _N_WORKERS,
        random_state=random.Random(seed),
        **options,
    )
    return report, callers


def main() -> None:
    """Print one row for each load and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--loads', default='1.0,1.3,1.6,2.0')
    parser.add_argument('--seeds', default='1,2')
    parser.add_argument('--workers', type=int, default=_N_WORKERS)
    arguments = parser.parse_args()
    kinds = [kind.queue.name for kind in leased.SITE_KINDS]
    print(
        'load seed  jobs  value', *kinds, 'large  refused quick untried wrong'
    )
    for load in arguments.loads.split(','):
        for seed in arguments.seeds.split(','):
            report, callers = serve(
                float(load), int(seed), n_workers=arguments.workers
            )
            counts = callers.counts
            print(
                f'{load:4} {seed:4} {report.n_jobs:5}  {report.share():.3f}',
                *(f'{report.kind_share(kind):.3f}' for kind in kinds),
                f'{callers.large_job_ratio():.2f} {report.n_refused:6}',
                f'{counts["quick"]:5} {counts["untried"]:6}',
                f'{counts["wrong"]:5}',
                flush=True,
            )


if __name__ == '__main__':
    main()
