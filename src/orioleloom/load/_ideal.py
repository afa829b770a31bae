import heapq
import typing

from orioleloom.load import _options
from orioleloom.load import _record


def ideal_response_times(
    record: _record.Record, workers: typing.Sequence[_options.Worker]
) -> list[float]:
    """Return the response times of an ideal central queue.

    Tasks are scheduled first come, first served by the arrival of their
    job. Each is assigned to the slot with the earliest completion time,
    which may be a busy slot of a faster worker; the task then waits for
    it. Run times are known exactly and messages take no time.

    :param record: load to schedule
    :param workers: workers that run the tasks
    :returns: response time of each job in seconds, in record order
    :raises ValueError: the upstream of a job has no worker
    """
    # Heaps of the times at which slots become free, by upstream and speed.
    # Among slots of equal speed the one that is free first is the best.
    free_times_s: dict[str, dict[float, list[float]]] = {}
    for worker in workers:
        by_speed = free_times_s.setdefault(worker.upstream, {})
        by_speed.setdefault(worker.speed, []).extend([0.0] * worker.slots)
    response_s = [0.0] * len(record.arrivals)
    arrival_order = sorted(
        range(len(record.arrivals)), key=lambda i: record.arrivals[i].at_s
    )
    for index in arrival_order:
        arrival = record.arrivals[index]
        if arrival.upstream not in free_times_s:
            raise ValueError(f'upstream {arrival.upstream!r} has no worker')
        by_speed = free_times_s[arrival.upstream]
        completion_s = arrival.at_s
        for work_ms in arrival.work_ms:
            end_s, speed = min(
                (max(heap[0], arrival.at_s) + work_ms / 1e3 / speed, speed)
                for speed, heap in by_speed.items()
            )
            heapq.heapreplace(by_speed[speed], end_s)
            completion_s = max(completion_s, end_s)
        response_s[index] = completion_s - arrival.at_s
    return response_s
