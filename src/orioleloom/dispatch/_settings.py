import typing


class Settings(typing.NamedTuple):
    """Settings of a dispatcher.

    :param lease_s: duration of the lease of a run, in seconds; each renewal
        starts it again
    :param remote_factor: run time of a task outside its preferred rack
        relative to one there
    """

    lease_s: float = 1.0
    remote_factor: float = 1.0
