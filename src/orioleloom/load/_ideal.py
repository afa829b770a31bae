import heapq
import typing

from orioleloom.load import _options
from orioleloom.load import _record


def ideal_response_times(
    record: _record.Record, workers: typing.Sequence[_options.Worker]
) -> list[float]:
    """Return the response times under one all-knowing queue.

    Tasks are taken first come first served by the arrival of their job.
    Each goes to the slot that finishes it first, which may be a busy slot
    of a faster worker for which it then waits. Run times are known
    exactly and messages take no time.

    :param record: the load
    :param workers: workers that run it
    :returns: response time of each job in seconds, in record order
    :raises ValueError: a task's upstream has no worker
    """
    # Slots of equal speed are interchangeable: of each speed only the
    # slot that is free first can be the best one.
    free_at: dict[str, dict[float, list[float]]] = {}
    for worker in workers:
        by_speed = free_at.setdefault(worker.upstream, {})
        by_speed.setdefault(worker.speed, []).extend([0.0] * worker.slots)
    response_s = [0.0] * len(record.arrivals)
    order = sorted(
        range(len(record.arrivals)), key=lambda i: record.arrivals[i].at_s
    )
    for index in order:
        arrival = record.arrivals[index]
        if arrival.upstream not in free_at:
            raise ValueError(f'upstream {arrival.upstream!r} has no worker')
        by_speed = free_at[arrival.upstream]
        last_s = arrival.at_s
        for work_ms in arrival.work_ms:
            end_s, speed = min(
                (max(heap[0], arrival.at_s) + work_ms / 1e3 / speed, speed)
                for speed, heap in by_speed.items()
            )
            heapq.heapreplace(by_speed[speed], end_s)
            last_s = max(last_s, end_s)
        response_s[index] = last_s - arrival.at_s
    return response_s
