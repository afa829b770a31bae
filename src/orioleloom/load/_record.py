import json
import math
import pathlib
import random
import typing

from orioleloom.load import _options
from orioleloom import model


class Arrival(typing.NamedTuple):
    """One job of a recorded load.

    :param at_s: time after the start at which it is submitted
    :param work_ms: work of each task; a worker of speed 1 needs this time
    :param declared_ms: run time declared for each task
    """

    at_s: float
    customer: str
    kind: str
    upstream: str
    work_ms: tuple[float, ...]
    declared_ms: tuple[float, ...]

    def tasks(self) -> list[model.Task]:
        """Return the tasks to submit."""
        return [
            model.Task(
                self.kind,
                {'work_ms': work_ms},
                self.upstream,
                run_time_ms=declared_ms,
            )
            for work_ms, declared_ms in zip(
                self.work_ms, self.declared_ms, strict=True
            )
        ]


class Record(typing.NamedTuple):
    """A recorded load.

    :param seed: seed from which it was made
    """

    seed: int
    arrivals: tuple[Arrival, ...]

    @property
    def n_tasks(self) -> int:
        """Number of tasks in all jobs."""
        return sum(len(arrival.work_ms) for arrival in self.arrivals)

    @property
    def total_work_ms(self) -> float:
        """Work of all tasks."""
        return sum(sum(arrival.work_ms) for arrival in self.arrivals)

    def save(self, path: str) -> None:
        """Save as JSON."""
        value = {
            'seed': self.seed,
            'arrivals': [arrival._asdict() for arrival in self.arrivals],
        }
        pathlib.Path(path).write_text(json.dumps(value))

    @classmethod
    def load(cls, path: str) -> 'Record':
        """Load what :meth:`save` wrote.

        :raises ValueError: the file is not a recorded load
        """
        try:
            value = json.loads(pathlib.Path(path).read_text())
            arrivals = []
            for fields in value['arrivals']:
                fields['work_ms'] = tuple(fields['work_ms'])
                fields['declared_ms'] = tuple(fields['declared_ms'])
                arrivals.append(Arrival(**fields))
            return cls(value['seed'], tuple(arrivals))
        except (ValueError, KeyError, TypeError) as exc:
            raise ValueError(f'{path} is not a recorded load: {exc}') from exc


def make_record(
    options: _options.LoadOptions,
    workers: typing.Sequence[_options.Worker],
) -> Record:
    """Make a load; the same options give the same load.

    With a target utilisation the arrival times are stretched so that the
    work of the drawn tasks meets the target exactly; a few long tasks
    would otherwise move it by several per cent.

    :param workers: give the capacity and the mean speed
    :raises ValueError: an option is not accepted
    """
    _options.check_options(options)
    random_state = random.Random(options.seed)
    mean_speed = _options.mean_speed(workers)
    capacity = _options.capacity(workers)
    rate = options.jobs_per_s
    if rate is None:
        assert options.utilisation is not None
        mean_work_ms = (
            _mean_tasks(options) * _mean_run_time_ms(options) * mean_speed
        )
        rate = options.utilisation * capacity * 1e3 / mean_work_ms
    arrivals = []
    for at_s in _arrival_times(options, rate, random_state):
        share = random_state.choices(
            options.customers, [part.weight for part in options.customers]
        )[0]
        work_ms = []
        declared_ms = []
        part = _choose(options.tasks_per_job, random_state)
        for _ in range(random_state.randint(int(part.low), int(part.high))):
            part = _choose(options.run_time_ms, random_state)
            run_time_ms = part.low * (part.high / part.low) ** (
                random_state.random()
            )
            work_ms.append(round(run_time_ms * mean_speed, 3))
            if random_state.random() < options.wrong_share:
                # Too long and too short equally often.
                run_time_ms *= options.wrong_factor ** random_state.choice(
                    (-1, 1)
                )
            declared_ms.append(round(run_time_ms, 3))
        arrivals.append(
            Arrival(
                at_s,
                share.customer,
                share.kind,
                share.upstream,
                tuple(work_ms),
                tuple(declared_ms),
            )
        )
    record = Record(options.seed, tuple(arrivals))
    if options.utilisation is not None and arrivals:
        length_s = record.total_work_ms / (
            1e3 * capacity * options.utilisation
        )
        stretch = length_s / options.duration_s
        record = record._replace(
            arrivals=tuple(
                arrival._replace(at_s=round(arrival.at_s * stretch, 6))
                for arrival in arrivals
            )
        )
    return record


def _choose(
    parts: typing.Sequence[_options.Span], random_state: random.Random
) -> _options.Span:
    return random_state.choices(parts, [part.weight for part in parts])[0]


def _mean_tasks(options: _options.LoadOptions) -> float:
    weight = sum(part.weight for part in options.tasks_per_job)
    return sum(
        (int(part.low) + int(part.high)) / 2 * part.weight / weight
        for part in options.tasks_per_job
    )


def _mean_run_time_ms(options: _options.LoadOptions) -> float:
    weight = sum(part.weight for part in options.run_time_ms)
    mean = 0.0
    for low, high, part_weight in options.run_time_ms:
        # Mean of a log-uniform distribution.
        part_mean = low
        if high > low:
            part_mean = (high - low) / math.log(high / low)
        mean += part_mean * part_weight / weight
    return mean


def _arrival_times(
    options: _options.LoadOptions, rate: float, random_state: random.Random
) -> typing.Iterator[float]:
    """Yield times in seconds, with ``rate`` jobs a second in the mean."""
    at_s = 0.0
    if options.arrival == 'bursts':
        # The rate outside bursts, such that the mean over an interval
        # is the given rate.
        burst_share = options.burst_s / options.burst_interval_s
        rate /= 1 + (options.burst_factor - 1) * burst_share
    while True:
        local_rate = rate
        if options.arrival == 'uniform':
            at_s += 1 / rate
        else:
            # Time left until the process has produced one unit of an
            # exponential; the rate changes at the ends of a burst.
            unit = random_state.expovariate(1.0)
            while True:
                end_s = math.inf
                if options.arrival == 'bursts':
                    local_rate, end_s = _burst_rate(options, rate, at_s)
                if at_s + unit / local_rate <= end_s:
                    at_s += unit / local_rate
                    break
                unit -= (end_s - at_s) * local_rate
                at_s = end_s
        if at_s >= options.duration_s:
            return
        yield round(at_s, 6)


def _burst_rate(
    options: _options.LoadOptions, rate: float, at_s: float
) -> tuple[float, float]:
    """Return the rate at a time and the time until which it holds."""
    # A burst is at the end of its interval, so that a load begins calm.
    # The tolerance keeps a rounded boundary from being met twice.
    index = math.floor(at_s / options.burst_interval_s + 1e-9)
    next_s = (index + 1) * options.burst_interval_s
    burst_begin_s = next_s - options.burst_s
    if at_s < burst_begin_s - 1e-9:
        return rate, burst_begin_s
    return rate * options.burst_factor, next_s
