import typing

from orioleloom import dispatch


class PendingJob:
    """A job whose caller is connected to this instance.

    :param on_outcome: called with the outcome of the job
    """

    __slots__ = (
        'arrived_s',
        'assigned_leader',
        'earlier_list',
        'deadline_s',
        'job',
        'latest_useful_start_s',
        'on_outcome',
        'room_leader',
        'was_submitted',
    )

    def __init__(
        self,
        job: dispatch.Job,
        arrived_s: float,
        deadline_s: float,
        on_outcome: typing.Callable[[dispatch.Outcome], None],
    ):
        self.job = job
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.latest_useful_start_s = dispatch.latest_useful_start_s(
            job, arrived_s=arrived_s, deadline_s=deadline_s
        )
        self.on_outcome = on_outcome
        # Id and term of the leader that the job was submitted to.
        self.assigned_leader: tuple[str, int] | None = None
        self.was_submitted = False
        # Id and term of the leader that has memory for the job.
        self.room_leader: tuple[str, int] | None = None
        # Workers that earlier leaders of the job have used.
        self.earlier_list: dispatch.ListInUse | None = None

    def is_large(self) -> bool:
        """Return whether the leader must have memory for the job first."""
        return dispatch.is_large(self.job)

    def led_bytes(self) -> int:
        """Return the memory that the job takes at the leader."""
        return dispatch.led_bytes(self.job)

    def add_earlier_leader(self, list_in_use: dispatch.ListInUse) -> None:
        """Record which workers a leader has used that the job had."""
        self.earlier_list = (
            list_in_use
            if self.earlier_list is None
            else self.earlier_list.merge(list_in_use)
        )
