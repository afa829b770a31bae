"""CPU time of one pop and push of the fair queue."""

import argparse
import random
import statistics
import time

from orioleloom import queueing

CUSTOMERS = (10, 100, 360)
FLOWS = (10, 100, 1000)


def build(n_customers: int, n_flows: int) -> queueing.FairQueue:
    """Return a fair queue with two tasks in each flow."""
    queue = queueing.FairQueue()
    rng = random.Random(1)
    for customer in range(n_customers):
        queue.set_weight(str(customer), rng.choice([1.0, 2.0, 5.0]))
        for flow in range(n_flows):
            tasks = [
                queueing.QueuedTask(
                    flow, i, 'k', 'gpu', rng.uniform(50, 1000), None
                )
                for i in range(2)
            ]
            queue.push(str(customer), flow, tasks)
    return queue


def pop_and_push(queue: queueing.FairQueue, n_pops: int) -> float:
    """Return the CPU time of a pop and a push in microseconds."""
    began_s = time.process_time()
    for _ in range(n_pops):
        customer, task = queue.pop(lambda customer, upstream: True)
        queue.push(customer, task.job_key, (task,))
    return (time.process_time() - began_s) / n_pops * 1e6


def main() -> None:
    """Print median, minimum and maximum for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--pops', type=int, default=2000)
    parser.add_argument('--rounds', type=int, default=15)
    options = parser.parse_args()
    print('customers flows median_us min_us max_us')
    for n_customers in CUSTOMERS:
        for n_flows in FLOWS:
            queue = build(n_customers, n_flows)
            pop_and_push(queue, options.pops)
            times = [
                pop_and_push(queue, options.pops)
                for _ in range(options.rounds)
            ]
            print(
                f'{n_customers:9} {n_flows:5} '
                f'{statistics.median(times):9.2f} '
                f'{min(times):6.2f} {max(times):6.2f}'
            )


if __name__ == '__main__':
    main()
