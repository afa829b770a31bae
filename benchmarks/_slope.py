"""Records and helpers shared by the capacity benchmarks."""

import collections.abc
import gc
import statistics
import time
import tracemalloc
import typing

from orioleloom import model

UPSTREAM = 'pool'


class Slope(typing.NamedTuple):
    """One measured figure: median and range over the repeats."""

    area: str
    size: str
    quantity: str
    median: float
    least: float
    greatest: float
    n_repeats: int

    def line(self) -> str:
        """Return the figure as a line of text."""
        return (
            f'{self.area:11} {self.size:38} {self.quantity:34} '
            f'{self.median:11.2f} ({self.least:.2f}-{self.greatest:.2f})'
        )


def slope(
    area: str,
    size: str,
    quantity: str,
    samples: collections.abc.Sequence[float],
) -> Slope:
    """Summarise repeated samples."""
    return Slope(
        area,
        size,
        quantity,
        statistics.median(samples),
        min(samples),
        max(samples),
        len(samples),
    )


def cpu_time_us(
    function: typing.Callable[[], typing.Any], n_calls: int
) -> float:
    """Return the mean CPU time of one call in microseconds."""
    began_s = time.process_time()
    for _ in range(n_calls):
        function()
    return (time.process_time() - began_s) / n_calls * 1e6


def traced_bytes(build: typing.Callable[[], typing.Any]) -> int:
    """Return the memory that the result of ``build`` holds."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del built
        return after - before
    finally:
        tracemalloc.stop()


def worker(index: int, data_centre: str = 'dc') -> model.Member:
    """Return a worker as the platform lists it."""
    return model.Member(
        f'worker-{index}',
        model.Role.WORKER,
        model.MemberState.LIVE,
        data_centre,
        f'http://10.1.{index // 250}.{index % 250}:8000',
        upstream=UPSTREAM,
        slots=8,
        connections=64,
        rack=f'rack-{index // 6}',
    )


def entry(index: int, data_centre: str = 'dc') -> model.Member:
    """Return an entry instance as the platform lists it."""
    return model.Member(
        f'entry-{index:04d}',
        model.Role.ENTRY,
        model.MemberState.LIVE,
        data_centre,
        f'http://10.2.{index // 250}.{index % 250}:8080',
        peer=f'tcp://10.2.{index // 250}.{index % 250}:8081',
    )


def contract(
    index: int, version: int = 1, in_flight: int = 1_000_000
) -> model.Contract:
    """Return a contract whose limits do not bind by default."""
    return model.Contract(
        f'customer-{index:03d}',
        version,
        in_flight,
        1e9,
        1_000_000,
        (UPSTREAM,),
        max_queued_tasks=10_000_000,
    )
