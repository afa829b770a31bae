import json
import math
import pathlib
import random
import typing

from orioleloom.load import _options
from orioleloom import model


class Arrival(typing.NamedTuple):
    """A job of a recorded load.

    :param at_s: time after the start at which the job is submitted
    :param work_ms: run time of each task on a worker of speed 1
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
    """A recorded load, which can be saved and replayed.

    :param seed: random seed from which the load was generated
    """

    seed: int
    arrivals: tuple[Arrival, ...]

    @property
    def n_tasks(self) -> int:
        """Number of tasks of all jobs."""
        return sum(len(arrival.work_ms) for arrival in self.arrivals)

    @property
    def total_work_ms(self) -> float:
        """Total run time of all tasks on workers of speed 1."""
        return sum(sum(arrival.work_ms) for arrival in self.arrivals)

    def save(self, path: str) -> None:
        """Save the load as a JSON file."""
        value = {
            'seed': self.seed,
            'arrivals': [arrival._asdict() for arrival in self.arrivals],
        }
        pathlib.Path(path).write_text(json.dumps(value))

    @classmethod
    def load(cls, path: str) -> 'Record':
        """Load a file written by :meth:`save`.

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
    """Generate a load; the same options give the same load.

    With a target utilisation the arrival times are scaled so that the work
    of the sampled tasks meets the target exactly. Otherwise a few long
    tasks would shift the utilisation by several per cent.

    :param workers: workers that determine the capacity and the mean speed
    :raises ValueError: an option is invalid
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
            options.customers, [entry.weight for entry in options.customers]
        )[0]
        work_ms = []
        declared_ms = []
        value_range = _choose_range(options.tasks_per_job, random_state)
        for _ in range(
            random_state.randint(int(value_range.low), int(value_range.high))
        ):
            value_range = _choose_range(options.run_time_ms, random_state)
            run_time_ms = value_range.low * (
                value_range.high / value_range.low
            ) ** (random_state.random())
            work_ms.append(round(run_time_ms * mean_speed, 3))
            if random_state.random() < options.wrong_share:
                # Too long or too short with equal probability.
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
        required_duration_s = record.total_work_ms / (
            1e3 * capacity * options.utilisation
        )
        scale = required_duration_s / options.duration_s
        record = record._replace(
            arrivals=tuple(
                arrival._replace(at_s=round(arrival.at_s * scale, 6))
                for arrival in arrivals
            )
        )
    return record


def _choose_range(
    ranges: typing.Sequence[_options.ValueRange], random_state: random.Random
) -> _options.ValueRange:
    return random_state.choices(
        ranges, [value_range.weight for value_range in ranges]
    )[0]


def _mean_tasks(options: _options.LoadOptions) -> float:
    weight = sum(value_range.weight for value_range in options.tasks_per_job)
    return sum(
        (int(value_range.low) + int(value_range.high))
        / 2
        * value_range.weight
        / weight
        for value_range in options.tasks_per_job
    )


def _mean_run_time_ms(options: _options.LoadOptions) -> float:
    weight = sum(value_range.weight for value_range in options.run_time_ms)
    mean = 0.0
    for low, high, range_weight in options.run_time_ms:
        # Mean of a log-uniform distribution.
        range_mean = low
        if high > low:
            range_mean = (high - low) / math.log(high / low)
        mean += range_mean * range_weight / weight
    return mean


def _arrival_times(
    options: _options.LoadOptions, rate: float, random_state: random.Random
) -> typing.Iterator[float]:
    """Yield arrival times in seconds, with a mean of ``rate`` per second."""
    at_s = 0.0
    if options.arrival == 'bursts':
        # Convert the mean rate over an interval to the rate outside bursts.
        burst_share = options.burst_s / options.burst_interval_s
        rate /= 1 + (options.burst_factor - 1) * burst_share
    while True:
        current_rate = rate
        if options.arrival == 'uniform':
            at_s += 1 / rate
        else:
            # Poisson process with a piecewise constant rate: the integral
            # of the rate between two arrivals is exponentially distributed
            # with mean 1. The rate changes where a burst starts or ends.
            remaining_integral = random_state.expovariate(1.0)
            while True:
                rate_end_s = math.inf
                if options.arrival == 'bursts':
                    current_rate, rate_end_s = _rate_at(options, rate, at_s)
                if at_s + remaining_integral / current_rate <= rate_end_s:
                    at_s += remaining_integral / current_rate
                    break
                remaining_integral -= (rate_end_s - at_s) * current_rate
                at_s = rate_end_s
        if at_s >= options.duration_s:
            return
        yield round(at_s, 6)


def _rate_at(
    options: _options.LoadOptions, rate: float, at_s: float
) -> tuple[float, float]:
    """Return the arrival rate at a time and the time of its next change."""
    # A burst is at the end of its interval, so that a load starts at the
    # lower rate. The tolerance prevents a time that floating-point
    # rounding put just below a boundary from reaching that boundary again.
    index = math.floor(at_s / options.burst_interval_s + 1e-9)
    interval_end_s = (index + 1) * options.burst_interval_s
    burst_start_s = interval_end_s - options.burst_s
    if at_s < burst_start_s - 1e-9:
        return rate, burst_start_s
    return rate * options.burst_factor, interval_end_s
