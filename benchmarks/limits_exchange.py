"""Simulate the exchange of limit shares of one customer.

Time advances in steps of 50 ms, and a message between instances arrives
one step after it is sent.
"""

import argparse
import random
import statistics
import time

from orioleloom import codec
from orioleloom import limits
from orioleloom import model

STEP_S = 0.05
CUSTOMER = 'acme'


class Instance:
    """Shares, waiting tasks and end times of running tasks."""

    def __init__(self, name: str, seed: int):
        self.name = name
        self.shares = limits.LimitShares(random_state=random.Random(seed))
        self.n_waiting = 0
        self.ends_s: list[float] = []


def simulate(
    n_entries: int,
    in_flight: int,
    arrivals: list[float],
    *,
    seed: int,
    duration_s: float = 30.0,
    run_time_s: float = 0.3,
) -> tuple[float, float, float]:
    """Simulate a load and measure its last two thirds.

    :param arrivals: arrival rate of tasks per second at each instance
    :returns: messages per second, messages per started task, and mean
        utilisation of the in-flight limit
    """
    rng = random.Random(seed)
    contract = model.Contract(CUSTOMER, 1, in_flight, 1e6, 100_000, ('gpu',))
    instances = [
        Instance(f'e{i:04d}', seed * 1000 + i) for i in range(n_entries)
    ]
    by_name = {instance.name: instance for instance in instances}
    for rank, instance in enumerate(instances):
        instance.shares.set_contract(contract, 0.0)
        instance.shares.set_rank(rank, n_entries, 0.0)
    message_id = n_messages = n_started = n_running_sum = n_steps = 0
    in_transit = []
    for step in range(int(duration_s / STEP_S)):
        now_s = step * STEP_S
        measured = now_s >= duration_s / 3
        arrived, in_transit = in_transit, []
        for sender, receiver, number, payload in arrived:
            target = by_name[receiver]
            match payload:
                case codec.ShareGrant():
                    take = target.shares.receive_grant
                case codec.ShareRecall():
                    take = target.shares.receive_recall
                case codec.ShareReturn():
                    take = target.shares.receive_return
                case _:
                    take = None
            if take is not None:
                take(sender, payload, now_s, message_id=number)
                continue
            grant = target.shares.lend(
                sender, payload, target.n_waiting, now_s, message_id=number
            )
            in_transit.append((receiver, sender, number, grant))
        for instance, per_s in zip(instances, arrivals):
            shares = instance.shares
            while instance.ends_s and min(instance.ends_s) <= now_s:
                instance.ends_s.remove(min(instance.ends_s))
                shares.finish(CUSTOMER, now_s)
            # Tasks that do not fit in the bounded queue are refused.
            mean = per_s * STEP_S
            n_new = int(mean) + (rng.random() < mean % 1)
            instance.n_waiting = min(2000, instance.n_waiting + n_new)
            n_starts = min(
                instance.n_waiting, shares.allowance(CUSTOMER, now_s)
            )
            for _ in range(n_starts):
                shares.start(CUSTOMER, now_s)
                instance.ends_s.append(
                    now_s + rng.uniform(0.5, 1.5) * run_time_s
                )
            instance.n_waiting -= n_starts
            if shares.allowance(CUSTOMER, now_s) < 1 <= instance.n_waiting:
                for peer, number, recall in shares.recalls_to_send(
                    CUSTOMER, instance.n_waiting, now_s
                ):
                    in_transit.append((instance.name, peer, number, recall))
            for peer, number, answer in shares.returns_to_send(now_s):
                in_transit.append((instance.name, peer, number, answer))
            message_id += 1
            request = shares.make_share_request(
                CUSTOMER, instance.n_waiting, now_s, message_id=message_id
            )
            if request is not None:
                peers = [name for name in by_name if name != instance.name]
                for peer in shares.peers_to_ask(CUSTOMER, peers, now_s):
                    in_transit.append(
                        (instance.name, peer, message_id, request)
                    )
            if measured:
                n_started += n_starts
                n_running_sum += len(instance.ends_s)
        if measured:
            n_steps += 1
            n_messages += len(in_transit)
    return (
        n_messages / (n_steps * STEP_S),
        n_messages / max(1, n_started),
        n_running_sum / n_steps / in_flight,
    )


def cost_us(n_entries: int, n_calls: int = 20_000) -> float:
    """Return the CPU time of an allowance, start and finish in µs."""
    shares = limits.LimitShares(random_state=random.Random(1))
    shares.set_contract(
        model.Contract(CUSTOMER, 1, 800, 1e9, 10**6, ('gpu',)), 0.0
    )
    shares.set_rank(0, n_entries, 0.0)
    began_s = time.process_time()
    for call in range(n_calls):
        now_s = call * 1e-3
        shares.allowance(CUSTOMER, now_s)
        shares.start(CUSTOMER, now_s)
        shares.finish(CUSTOMER, now_s)
    return (time.process_time() - began_s) / n_calls * 1e6


def main() -> None:
    """Print medians and ranges over the seeds for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    options = parser.parse_args()
    print('load                  n limit msg/s  msg/task  use (min..max)')
    for n_entries, in_flight in ((8, 40), (8, 800), (64, 800)):
        full = in_flight / 0.3
        loads = {
            'one busy 150 %': [1.5 * full] + [0.0] * (n_entries - 1),
            'even 60 %': [0.6 * full / n_entries] * n_entries,
            'even 90 %': [0.9 * full / n_entries] * n_entries,
            'even 300 %': [3 * full / n_entries] * n_entries,
            'half busy 90 %': [
                1.8 * full / n_entries * (i % 2) for i in range(n_entries)
            ],
        }
        for name, arrivals in loads.items():
            runs = [
                simulate(n_entries, in_flight, arrivals, seed=seed)
                for seed in range(options.seeds)
            ]
            per_s, per_task, use = map(statistics.median, zip(*runs))
            uses = [run[2] for run in runs]
            print(
                f'{name:20} {n_entries:3} {in_flight:5} {per_s:5.1f} '
                f'{per_task:9.4f}  {use:.3f} '
                f'({min(uses):.3f}..{max(uses):.3f})'
            )
    for n_entries in (8, 340):
        costs = [cost_us(n_entries) for _ in range(9)]
        print(
            f'allowance+start+finish, n={n_entries}: '
            f'{statistics.median(costs):.2f} us '
            f'({min(costs):.2f}..{max(costs):.2f})'
        )


if __name__ == '__main__':
    main()
