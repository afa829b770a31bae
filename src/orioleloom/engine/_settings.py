import typing

_MIB = 1024 * 1024


class EngineSettings(typing.NamedTuple):
    """Settings of the engine.

    :param retention_s: how long a final answer stays in memory; a ticket
        is refused at half of it
    :param claim_retention_s: age after which the owner deletes a row
    :param max_queued_tasks: tasks waiting on this instance
    :param max_queued_bytes: size of the jobs held on this instance
    :param write_budget_per_s: table transactions a second over all
        instances
    :param join_hold_s: time on the list before an instance has a share
    :param stop_timeout_s: bound on a planned stop
    :param claim_timeout_s: how long a new claim may wait for the table
    :param record_timeout_s: how long a final record is tried
    :param min_lease_s: shortest time allowed for an exchange
    :param max_task_sends: sends of one task, the rejected ones included
    :param peer_address: own peer address, ``tcp://IP:PORT``
    :param seed_peers: peer addresses to ask for contracts and members
        when the platform is away at the start
    """

    retention_s: float = 900.0
    claim_retention_s: float = 21_600.0
    max_queued_tasks: int = 100_000
    max_queued_bytes: int = 256 * _MIB
    write_budget_per_s: float = 300.0
    join_hold_s: float = 5.0
    stop_timeout_s: float = 30.0
    claim_timeout_s: float = 2.0
    record_timeout_s: float = 30.0
    min_lease_s: float = 60.0
    max_task_sends: int = 50
    peer_address: str = ''
    seed_peers: tuple[str, ...] = ()
