import typing

from orioleloom import dispatch


class Settings(typing.NamedTuple):
    """Settings of a node.

    :param instance_id: unique name of the instance
    :param peer_bind: ``tcp://IP:PORT`` on which peers connect
    :param rank: processor capacity in cores; the election prefers higher
        values
    :param seed_peers: peer addresses to contact before the member list has
        been read
    :param config_apply_s: time in which a change of the configuration must
        be in force
    :param dispatcher: settings of the dispatcher of a leader
    :param resend_after_s: time after a lost answer until a caller submits its
        job again, in seconds; 0 if it is not known
    :param sheds_load: refuse jobs by the waits that the leader expects. Only
        if callers submit each job at one instance only: an instance does not
        know whether a job has run that was submitted at another one
    """

    instance_id: str
    data_centre: str
    peer_bind: str
    rank: float
    seed_peers: tuple[str, ...] = ()
    config_apply_s: float = 2.0
    dispatcher: dispatch.Settings = dispatch.Settings()
    resend_after_s: float = 0.0
    sheds_load: bool = False
