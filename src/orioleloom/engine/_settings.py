import typing

_MIB = 1024 * 1024


class EngineSettings(typing.NamedTuple):
    """Settings of the engine.

    :param retention_s: time a final answer is kept in memory; tickets
        older than half of it are refused
    :param claim_retention_s: time after the retention of a job until its
        owner deletes the claim row
    :param max_queued_tasks: maximum number of queued tasks of an instance
    :param max_queued_bytes: maximum size of the active jobs of an instance
    :param write_budget_per_s: table transactions per second of all
        instances together
    :param join_hold_s: time an instance must be on the member list before
        it gets a share of the limits
    :param stop_timeout_s: time limit of a planned stop
    :param claim_timeout_s: maximum wait for the write of a new claim
    :param record_timeout_s: maximum wait for the write of a final answer
    :param min_lease_s: minimum lease of a task, unless its deadline is
        earlier
    :param max_task_sends: maximum number of sends of a task, including
        rejected ones
    :param peer_address: peer address of this instance, ``tcp://IP:PORT``
    :param seed_peers: peer addresses to ask for contracts and members
        if the platform is unavailable at the start
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
