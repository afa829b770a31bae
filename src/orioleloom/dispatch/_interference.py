"""Which queues slow each other's tasks down on the same worker."""

import math
import typing

from orioleloom.dispatch import _workers

# Half-life of the results, in seconds. A pair with ten results a second keeps
# the weight of 400, which measures a factor to about 10 %, and disturbances
# of 5 to 13 s do not outweigh the rest. A pair that no longer interferes is
# forgotten after about three half-lives.
_HALF_LIFE_S = 30.0
# The factors are computed at this interval, in seconds.
_INTERVAL_S = 1.0
_SUMMARY_INTERVAL_S = 5.0
# A pair interferes if a factor of 1.05 lies this many standard errors below
# the estimate. That is stricter than the usual 1.96, since each pair is
# checked each second.
_MIN_LOG_FACTOR = math.log(1.05)
_N_ERRORS_BEGIN = 3.0
# It ceases to do so if 1 lies inside the interval of 95 %.
_N_ERRORS_END = 1.96
_MAX_LOG_FACTOR = math.log(4.0)
# At most this many queues, with one number for each ordered pair.
_MAX_QUEUES = 32
# Results of a queue before its factors are used.
_MIN_WEIGHT = 60.0
# Deviations of single runs are clipped to this (natural logarithm).
_MAX_DEVIATION = 1.2
# Weight of a result in the means of its worker, and results before the means
# are used.
_MEAN_WEIGHT = 0.05
_MIN_WORKER_RESULTS = 10
# Most pairs do not interfere: before any result the logarithm of a factor is 0
# with a standard deviation of 0.1, which weighs as much as 20 results with a
# spread of 0.45. On a full fleet the shares of the neighbours add up to the
# same for all runs, and only this assumption tells which of them disturbs.
_PRIOR_WEIGHT = 20.0
# Workers without results for this long are forgotten, in seconds.
_WORKER_RETENTION_S = 60.0
# A run was alone if other runs were there for less than the first share of its
# time, and beside others from the second share on.
_ALONE_SHARE = 0.1
_BESIDE_SHARE = 0.5


class Pair(typing.NamedTuple):
    """A queue whose tasks are slowed down by those of another one."""

    queue: str
    neighbour: str


class Estimate(typing.NamedTuple):
    """Logarithm of the factor of a pair, with its standard error."""

    log_factor: float
    error: float


class Change(typing.NamedTuple):
    """A pair that has begun or ceased to interfere."""

    pair: Pair
    is_interfering: bool
    estimate: Estimate


class _WorkerMeans:
    """Recent means over the results of one worker.

    Results are compared with others of the same worker, so that neither its
    speed nor its usual neighbours count as interference.
    """

    __slots__ = ('log_ratio', 'n_results', 'seen_s', 'shares')

    def __init__(self) -> None:
        self.log_ratio = 0.0
        self.shares: dict[str, float] = {}
        self.n_results = 0
        self.seen_s = 0.0

    def update(self, log_ratio: float, shares: dict[str, float]) -> None:
        self.n_results += 1
        weight = max(_MEAN_WEIGHT, 1.0 / self.n_results)
        self.log_ratio += weight * (log_ratio - self.log_ratio)
        for queue in self.shares.keys() | shares.keys():
            mean = self.shares.get(queue, 0.0)
            self.shares[queue] = mean + weight * (
                shares.get(queue, 0.0) - mean
            )


class _Regression:
    """Least squares for the runs of one queue, with forgetting.

    The regressors are a constant, with the empty name, and the share of its
    time that a run was beside runs of each queue.
    """

    __slots__ = ('products', 'squares', 'sums')

    def __init__(self) -> None:
        self.products: dict[tuple[str, str], float] = {}
        self.sums: dict[str, float] = {}
        self.squares = 0.0

    def weight(self) -> float:
        return self.products.get(('', ''), 0.0)

    def add(self, value: float, shares: dict[str, float]) -> None:
        items = [('', 1.0), *shares.items()]
        for name, share in items:
            self.sums[name] = self.sums.get(name, 0.0) + share * value
            for other, other_share in items:
                key = (name, other)
                self.products[key] = (
                    self.products.get(key, 0.0) + share * other_share
                )
        self.squares += value * value

    def decay(self, factor: float) -> None:
        self.squares *= factor
        self.sums = {name: v * factor for name, v in self.sums.items()}
        self.products = {key: v * factor for key, v in self.products.items()}

    def solve(self) -> dict[str, Estimate]:
        """Return the coefficients of the neighbours.

        A neighbour does not make a task faster: those with a negative
        coefficient are left out. This tells which of two queues disturbs if
        each run is beside one of them.
        """
        names = sorted(self.sums)
        while True:
            estimates = self._solve(names)
            names = [
                name
                for name in names
                if not name or estimates[name].log_factor >= 0.0
            ]
            if len(names) == len(estimates) + 1:
                return estimates

    def _solve(self, names: list[str]) -> dict[str, Estimate]:
        matrix = [
            [
                self.products.get((name, other), 0.0)
                + (_PRIOR_WEIGHT if name and name == other else 0.0)
                for other in names
            ]
            for name in names
        ]
        inverse = _invert(matrix)
        values = [self.sums[name] for name in names]
        results = [
            sum(a * b for a, b in zip(row, values, strict=True))
            for row in inverse
        ]
        explained = sum(a * b for a, b in zip(results, values, strict=True))
        n_free = max(self.weight() - len(names), 1.0)
        variance = max(self.squares - explained, 0.0) / n_free
        return {
            name: Estimate(
                results[number], math.sqrt(variance * inverse[number][number])
            )
            for number, name in enumerate(names)
            if name
        }


def _invert(matrix: list[list[float]]) -> list[list[float]]:
    """Return the inverse of a positive definite matrix."""
    size = len(matrix)
    rows = [
        [*row, *(float(n == number) for n in range(size))]
        for number, row in enumerate(matrix)
    ]
    for number, pivot_row in enumerate(rows):
        pivot = pivot_row[number]
        pivot_row = rows[number] = [value / pivot for value in pivot_row]
        for other, row in enumerate(rows):
            if other != number and row[number]:
                factor = row[number]
                rows[other] = [
                    a - factor * b for a, b in zip(row, pivot_row, strict=True)
                ]
    return [row[size:] for row in rows]


class _Mean:
    """Mean and standard error of values."""

    __slots__ = ('mean', 'n', 'squares')

    def __init__(self) -> None:
        self.n = 0
        self.mean = 0.0
        self.squares = 0.0

    def add(self, value: float) -> None:
        self.n += 1
        deviation = value - self.mean
        self.mean += deviation / self.n
        self.squares += deviation * (value - self.mean)

    def describe(self) -> dict[str, typing.Any]:
        error = (
            math.sqrt(self.squares / (self.n - 1) / self.n)
            if self.n > 1
            else None
        )
        return {
            'n': self.n,
            'mean': round(self.mean, 3),
            'error': None if error is None else round(error, 3),
        }


class Interference:
    """Learns by which factor queues slow each other's tasks down."""

    def __init__(self) -> None:
        # The pairs that interfere, by the queue that is slowed down.
        self.log_factors: dict[str, dict[str, float]] = {}
        self.estimates: dict[Pair, Estimate] = {}
        self.n_results = 0
        self._regressions: dict[str, _Regression] = {}
        self._means: dict[str, _WorkerMeans] = {}
        self._alone: dict[str, _Mean] = {}
        self._beside: dict[str, _Mean] = {}
        self._solved_s: float | None = None
        self._summary_s: float | None = None

    def factor(self, queue: str, neighbours: typing.Iterable[str]) -> float:
        """Return by which factor neighbours slow a task down.

        :param queue: queue of the task
        :param neighbours: queues of the runs on the same worker
        :returns: 1 if nothing is known
        """
        log_factors = self.log_factors.get(queue)
        if not log_factors:
            return 1.0
        total = sum(log_factors.get(name, 0.0) for name in set(neighbours))
        return math.exp(min(total, _MAX_LOG_FACTOR))

    def mutual_factor(
        self, queue: str, neighbours: typing.Collection[str]
    ) -> float:
        """Return the factor on a task and on the runs beside it, together."""
        result = self.factor(queue, neighbours)
        for name in set(neighbours):
            result *= self.factor(name, (queue,))
        return result

    def log_slowdown(self, run: _workers.Run, elapsed_s: float) -> float:
        """Return the known effect of the neighbours that a run has had."""
        log_factors = self.log_factors.get(run.queue)
        if not log_factors or not run.beside_s:
            return 0.0
        return sum(
            log_factors.get(name, 0.0) * min(beside_s / elapsed_s, 1.0)
            for name, beside_s in run.beside_s.items()
        )

    @staticmethod
    def record_end(run: _workers.Run, now_s: float) -> None:
        """Record how long a run that ends now was beside the others.

        To be called before the run leaves its worker.
        """
        for other in run.worker.runs.values():
            if other is run:
                continue
            both_s = now_s - max(run.started_s, other.started_s)
            for one, two in ((run, other), (other, run)):
                if one.beside_s is None:
                    one.beside_s = {}
                one.beside_s[two.queue] = (
                    one.beside_s.get(two.queue, 0.0) + both_s
                )

    def observe(
        self,
        run: _workers.Run,
        log_ratio: float,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Use the run time of a run that has succeeded.

        :param log_ratio: logarithm of the ratio of its run time to that
            expected on a worker of speed 1
        """
        shares = {
            name: min(beside_s / elapsed_s, 1.0)
            for name, beside_s in (run.beside_s or {}).items()
        }
        means = self._means.get(run.worker.id)
        if means is None:
            means = self._means[run.worker.id] = _WorkerMeans()
        means.seen_s = now_s
        if means.n_results >= _MIN_WORKER_RESULTS:
            value = log_ratio - means.log_ratio
            value = min(max(value, -_MAX_DEVIATION), _MAX_DEVIATION)
            self._add(run.queue, value, shares, means)
        means.update(log_ratio, shares)

    def _add(
        self,
        queue: str,
        value: float,
        shares: dict[str, float],
        means: _WorkerMeans,
    ) -> None:
        regression = self._regressions.get(queue)
        if regression is None:
            if len(self._regressions) >= _MAX_QUEUES:
                return
            regression = self._regressions[queue] = _Regression()
        self.n_results += 1
        regression.add(
            value,
            {
                name: shares.get(name, 0.0) - mean
                for name, mean in means.shares.items()
                if name in self._regressions
            },
        )
        total = sum(shares.values())
        if total < _ALONE_SHARE:
            self._alone.setdefault(queue, _Mean()).add(value)
        elif total >= _BESIDE_SHARE:
            self._beside.setdefault(queue, _Mean()).add(value)

    def tick(
        self,
        now_s: float,
        log: typing.Callable[..., None],
        counters: typing.MutableMapping[str, int],
    ) -> None:
        """Update the factors and log what has changed."""
        for pair, is_interfering, estimate in self.update(now_s):
            name = 'learned' if is_interfering else 'forgotten'
            counters[f'interference_{name}'] += 1
            log(
                'interference_learned',
                queue=pair.queue,
                neighbour=pair.neighbour,
                is_interfering=is_interfering,
                factor=round(math.exp(estimate.log_factor), 3),
                error=round(estimate.error, 3),
            )
        summary = self.take_summary(now_s)
        if summary is not None:
            log('interference_summary', **summary)

    def update(self, now_s: float) -> list[Change]:
        """Update the factors, once a second; return the pairs that changed."""
        if self._solved_s is None:
            self._solved_s = now_s
        elapsed_s = now_s - self._solved_s
        if elapsed_s < _INTERVAL_S:
            return []
        self._solved_s = now_s
        changes: list[Change] = []
        estimates: dict[Pair, Estimate] = {}
        for queue, regression in list(self._regressions.items()):
            regression.decay(0.5 ** (elapsed_s / _HALF_LIFE_S))
            if regression.weight() < 1.0:
                # Makes room for another queue.
                del self._regressions[queue]
            elif regression.weight() >= _MIN_WEIGHT:
                for name, estimate in regression.solve().items():
                    estimates[Pair(queue, name)] = estimate
        for pair in self.estimates.keys() | estimates.keys():
            estimate = estimates.get(pair, Estimate(0.0, math.inf))
            self._decide(pair, estimate, changes)
        self.estimates = estimates
        self._means = {
            worker_id: means
            for worker_id, means in self._means.items()
            if now_s - means.seen_s < _WORKER_RETENTION_S
        }
        return changes

    def _decide(
        self, pair: Pair, estimate: Estimate, changes: list[Change]
    ) -> None:
        log_factor, error = estimate
        factors = self.log_factors.get(pair.queue, {})
        was_interfering = pair.neighbour in factors
        if was_interfering:
            is_interfering = (
                log_factor > _MIN_LOG_FACTOR
                and log_factor - _N_ERRORS_END * error > 0.0
            )
        else:
            is_interfering = (
                log_factor - _N_ERRORS_BEGIN * error > _MIN_LOG_FACTOR
            )
        if is_interfering:
            self.log_factors.setdefault(pair.queue, {})[pair.neighbour] = (
                log_factor
            )
        elif was_interfering:
            del factors[pair.neighbour]
            if not factors:
                del self.log_factors[pair.queue]
        if is_interfering != was_interfering:
            changes.append(Change(pair, is_interfering, estimate))

    def take_summary(self, now_s: float) -> dict[str, typing.Any] | None:
        """Return what was measured since the last summary, every 5 s.

        :returns: per queue the mean logarithm of the run time, relative to
            other results of the same worker, of runs alone and beside
            others; per pair factor, standard error of its logarithm
        """
        if self._summary_s is None:
            self._summary_s = now_s
        if now_s - self._summary_s < _SUMMARY_INTERVAL_S:
            return None
        self._summary_s = now_s
        if not self._alone and not self._beside:
            return None
        empty = _Mean()
        summary = {
            'queues': {
                queue: {
                    'alone': self._alone.get(queue, empty).describe(),
                    'beside': self._beside.get(queue, empty).describe(),
                }
                for queue in sorted(self._alone.keys() | self._beside.keys())
            },
            'pairs': self._describe_pairs(),
        }
        self._alone, self._beside = {}, {}
        return summary

    def _describe_pairs(self) -> dict[str, list[float]]:
        return {
            f'{pair.queue}/{pair.neighbour}': [
                round(math.exp(estimate.log_factor), 3),
                round(estimate.error, 3),
            ]
            for pair, estimate in sorted(self.estimates.items())
        }

    def state(self) -> dict[str, typing.Any]:
        """Return what is known for operators."""
        return {
            'n_results': self.n_results,
            'pairs': self._describe_pairs(),
            'interfering': {
                queue: sorted(factors)
                for queue, factors in self.log_factors.items()
            },
        }
