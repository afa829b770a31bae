import math
import typing

ARRIVALS = ('poisson', 'uniform', 'bursts')


class ValueRange(typing.NamedTuple):
    """A weighted range of values; a distribution is a mixture of these.

    :param low: minimum
    :param high: maximum
    :param weight: share of this range relative to the others
    """

    low: float
    high: float
    weight: float


class CustomerShare(typing.NamedTuple):
    """A customer's share of the jobs.

    :param kind: kind of the tasks
    :param weight: share relative to the other customers
    """

    customer: str
    kind: str
    upstream: str
    weight: float


class Worker(typing.NamedTuple):
    """A worker in the ideal model.

    :param speed: relative speed, by which the run time of a task is divided
    :param slots: tasks that it runs at once
    """

    upstream: str
    speed: float
    slots: int = 8


class LoadOptions(typing.NamedTuple):
    """Options of an open-loop load.

    :param customers: customers and their shares of the jobs
    :param arrival: ``poisson``, ``uniform`` or ``bursts``
    :param jobs_per_s: mean rate of jobs; excludes ``utilisation``
    :param utilisation: mean share of the workers' capacity to use
    :param tasks_per_job: distribution, uniform within a range
    :param run_time_ms: distribution of the run time on a worker of mean
        speed, log-uniform within a range
    :param wrong_share: share of tasks whose declared run time is wrong
    :param wrong_factor: factor by which a wrong run time is too long or too
        short
    :param burst_factor: rate in a burst relative to the rate outside
    :param burst_s: length of a burst
    :param burst_interval_s: time from one burst's start to the next
    :param duration_s: time over which jobs arrive
    :param seed: random seed; the same options give the same load
    """

    customers: tuple[CustomerShare, ...]
    arrival: str = 'poisson'
    jobs_per_s: float | None = None
    utilisation: float | None = None
    tasks_per_job: tuple[ValueRange, ...] = (
        ValueRange(1, 8, 0.60),
        ValueRange(9, 60, 0.38),
        ValueRange(61, 300, 0.02),
    )
    run_time_ms: tuple[ValueRange, ...] = (
        ValueRange(50, 1_000, 0.97),
        ValueRange(2_000, 6_000, 0.03),
    )
    wrong_share: float = 0.1
    wrong_factor: float = 5.0
    burst_factor: float = 10.0
    burst_s: float = 1.0
    burst_interval_s: float = 10.0
    duration_s: float = 30.0
    seed: int = 1


class Preset(typing.NamedTuple):
    """Preset of the customers, workers and instances of one operator.

    :param data_centres: data centres over which entry instances and workers
        are spread
    :param slots: slots of each worker
    :param connections: connections that each worker accepts
    :param max_speed: speed of the fastest worker
    """

    customers: tuple[CustomerShare, ...]
    data_centres: tuple[str, ...]
    n_workers: int = 24
    n_entries: int = 8
    slots: int = 8
    connections: int = 64
    max_speed: float = 8.0

    def speeds(self) -> list[float]:
        """Return the workers' speeds, from ``max_speed`` down to 1.

        The ratio of one speed to the next is constant.
        """
        steps = max(1, self.n_workers - 1)
        return [
            round(self.max_speed ** (1 - index / steps), 3)
            for index in range(self.n_workers)
        ]

    def workers(self) -> list[Worker]:
        """Return the workers of the ideal model."""
        upstream = self.customers[0].upstream
        return [Worker(upstream, speed, self.slots) for speed in self.speeds()]


# Sizes are those of F1 and F2 of the design page.
PRESETS = {
    'harrowgate': Preset(
        customers=(
            CustomerShare('plant', 'slurry_check', 'batching', 0.5),
            CustomerShare('crews', 'crew_booking', 'batching', 0.3),
            CustomerShare('lab', 'cure_time_lookup', 'batching', 0.2),
        ),
        data_centres=('regina', 'saskatoon', 'brandon', 'lethbridge'),
    ),
    'noche': Preset(
        customers=(
            CustomerShare('seats', 'seat_hold', 'museum', 0.6),
            CustomerShare('roster', 'roster', 'museum', 0.2),
            CustomerShare('guardians', 'guardian_confirmation', 'museum', 0.2),
        ),
        data_centres=('bogota-north', 'bogota-centre', 'bogota-south'),
    ),
}


def capacity(workers: typing.Iterable[Worker]) -> float:
    """Return the total speed of all slots of the workers."""
    return sum(worker.slots * worker.speed for worker in workers)


def mean_speed(workers: typing.Sequence[Worker]) -> float:
    """Return the mean speed over all slots."""
    return capacity(workers) / sum(worker.slots for worker in workers)


def check_options(options: LoadOptions) -> None:
    """Check that the options are valid.

    :raises ValueError: an option is invalid; the message names it, its value
        and the accepted values
    """
    if options.arrival not in ARRIVALS:
        raise ValueError(
            f'arrival is {options.arrival!r}, but must be one of {ARRIVALS}'
        )
    if (options.jobs_per_s is None) == (options.utilisation is None):
        raise ValueError(
            'exactly one of jobs_per_s and utilisation must be given'
        )
    for name, low, high in (
        ('jobs_per_s', 0.001, 100_000),
        ('utilisation', 0.001, 20),
        ('wrong_share', 0, 1),
        ('wrong_factor', 1, 1_000),
        ('burst_factor', 1, 1_000),
        ('burst_s', 0.001, 3_600),
        ('burst_interval_s', 0.001, 3_600),
        ('duration_s', 0.001, 3_600),
    ):
        value = getattr(options, name)
        if value is None:
            continue
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError(
                f'{name} is {value!r}, but must be from {low} to {high}'
            )
    if options.burst_s > options.burst_interval_s:
        raise ValueError(
            f'burst_s is {options.burst_s!r}, but must be at most '
            f'burst_interval_s ({options.burst_interval_s})'
        )
    for name in ('customers', 'tasks_per_job', 'run_time_ms'):
        entries = getattr(options, name)
        if not entries or sum(entry.weight for entry in entries) <= 0:
            raise ValueError(
                f'{name} must have weights with positive sum, not {entries!r}'
            )
