"""Distribution of run times relative to what was expected, per queue."""

import math
import statistics
import typing

# Bins of the natural logarithm of the ratio of measured to expected run time:
# up to 54 times the expected time, in steps of 28 %.
_FIRST_EDGE = -1.0
_BIN_WIDTH = 0.25
_N_BINS = 20

# Until results have arrived, a queue has no heavy tail: the logarithms have
# the standard deviation of declared run times, 0.4. These results weigh as
# much as this number of measured ones.
_PRIOR_DEVIATION = 0.4
_PRIOR_WEIGHT = 100.0

# Weights are halved when their sum exceeds this value. At the several hundred
# results a second of a busy queue these are the last seconds; 3 results in 100
# are then known to about 15 %.
_MAX_WEIGHT = 4000.0

# Below this weight of results that have lasted as long, the share that ends in
# a bin is not known, and that of a Pareto distribution with index 1.15 is
# used.
_MIN_AT_RISK = 0.25
_DEFAULT_HAZARD = 0.25
_MIN_SURVIVAL = 1e-4


def _prior_weights() -> list[float]:
    normal = statistics.NormalDist(0.0, _PRIOR_DEVIATION)
    edges = [
        -math.inf,
        *(_FIRST_EDGE + n * _BIN_WIDTH for n in range(1, _N_BINS)),
        math.inf,
    ]
    cumulative = [normal.cdf(edge) for edge in edges]
    return [
        _PRIOR_WEIGHT * (cumulative[n + 1] - cumulative[n])
        for n in range(_N_BINS)
    ]


class RunTimeTail:
    """Life table of the run times of one queue.

    Runs that were stopped count as lasting at least until then. Otherwise the
    long runs that are stopped would be missing, and the more of them are
    stopped the rarer they would seem.
    """

    __slots__ = ('_ended', '_stopped', '_survivals', '_weight')

    def __init__(self) -> None:
        self._ended = _prior_weights()
        self._stopped = [0.0] * _N_BINS
        self._weight = _PRIOR_WEIGHT
        self._survivals: list[float] | None = None

    def observe(
        self, log_ratio: float, weight: float, is_stopped: bool = False
    ) -> None:
        """Add a run.

        :param log_ratio: logarithm of the ratio of measured to expected time
        :param weight: probability that its worker was healthy
        :param is_stopped: whether it was stopped before its end
        """
        index = int((log_ratio - _FIRST_EDGE) / _BIN_WIDTH)
        index = min(max(index, 0), _N_BINS - 1)
        (self._stopped if is_stopped else self._ended)[index] += weight
        self._survivals = None
        self._weight += weight
        if self._weight > _MAX_WEIGHT:
            self._weight /= 2
            self._ended = [value / 2 for value in self._ended]
            self._stopped = [value / 2 for value in self._stopped]

    def survival(self, log_ratio: float) -> float:
        """Return the probability that a run lasts longer than a ratio."""
        survivals = self._table()
        position = (log_ratio - _FIRST_EDGE) / _BIN_WIDTH
        if position <= 0:
            return 1.0
        if position >= _N_BINS:
            return survivals[-1]
        index = int(position)
        share = position - index
        return survivals[index] ** (1 - share) * survivals[index + 1] ** share

    def mean_residual(self, ratio: float) -> float:
        """Return the expected remaining time of a run that has lasted long.

        :param ratio: elapsed time, in multiples of the expected run time
        :returns: in multiples of the expected run time
        """
        position = (math.log(ratio) - _FIRST_EDGE) / _BIN_WIDTH
        now = previous = self.survival(math.log(ratio))
        survivals = self._table()
        total = 0.0
        begin = ratio
        for index in range(max(int(position) + 1, 1), _N_BINS + 1):
            end = math.exp(_FIRST_EDGE + index * _BIN_WIDTH)
            total += (end - begin) * (previous + survivals[index]) / 2
            previous, begin = survivals[index], end
        return (total + previous * begin) / now

    def _table(self) -> list[float]:
        """Return the survival at the edges of the bins."""
        if self._survivals is None:
            at_risk = sum(self._ended) + sum(self._stopped)
            survival = 1.0
            survivals = [survival]
            for ended, stopped in zip(self._ended, self._stopped, strict=True):
                # Those stopped in a bin were at risk in half of it.
                exposed = at_risk - stopped / 2
                hazard = (
                    ended / exposed
                    if exposed >= _MIN_AT_RISK
                    else _DEFAULT_HAZARD
                )
                survival = max(survival * (1 - hazard), _MIN_SURVIVAL)
                survivals.append(survival)
                at_risk -= ended + stopped
            self._survivals = survivals
        return self._survivals


class RunTimeTails:
    """The distributions of all queues."""

    def __init__(self) -> None:
        self._tails: dict[str, RunTimeTail] = {}

    def of(self, queue: str) -> RunTimeTail:
        """Return the distribution of a queue."""
        tail = self._tails.get(queue)
        if tail is None:
            tail = self._tails[queue] = RunTimeTail()
        return tail

    def state(self) -> dict[str, typing.Any]:
        """Return the shares of long runs for operators."""
        return {
            queue: {
                f'over_{ratio}x': round(tail.survival(math.log(ratio)), 4)
                for ratio in (3, 7)
            }
            for queue, tail in self._tails.items()
        }
