import typing


class Settings(typing.NamedTuple):
    """Settings of a dispatcher.

    :param lease_s: duration of the lease of a run, in seconds; each renewal
        starts it again
    :param remote_factor: run time of a task outside its preferred rack
        relative to one there
    :param learns_interference: learn which queues slow each other down on one
        worker, and place their tasks apart where there is room
    """

    lease_s: float = 1.0
    remote_factor: float = 1.0
    learns_interference: bool = False
