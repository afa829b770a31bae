"""Whether the instances that held callers' jobs are still there."""

import typing

from orioleloom import leadership
from orioleloom.node import _messages

# How long an instance that was named alive counts. A leader notices the
# failure of an instance after 0.6 s, and callers of a failed instance come
# back 1.3 s after it.
_ALIVE_RETENTION_S = 2.0
# How long an announced stop counts, which lasts some seconds.
_STOP_RETENTION_S = 15.0
# How long all instances must be present. The jobs that they hand over arrive
# shortly after the reply that shows them to be in contact.
_SETTLE_S = 0.1


class HolderPresence:
    """Tells whether no instance of a data centre has failed recently.

    While that is so, no caller of the data centre comes back with a job
    because its instance has failed, unless the present leader knows the job.
    Instances that have stopped as planned have ended their jobs before.
    """

    def __init__(self) -> None:
        # When a leader of the fleet has last named each instance as alive.
        self._alive_s: dict[str, float] = {}
        self._last_alive: list[str] = []
        self._last_heartbeat_s = 0.0
        self._started_s: dict[str, float] = {}
        self._stopping_s: dict[str, float] = {}
        self._complete_since_s: float | None = None

    def record_heartbeat(self, beat: _messages.Beat, now_s: float) -> None:
        """Record which instances a leader of the fleet is in contact with."""
        if beat.scope != leadership.FLEET:
            return
        if beat.alive is not None:
            self._last_alive = beat.alive
        self._last_heartbeat_s = now_s
        for instance_id in self._last_alive:
            self._alive_s[instance_id] = now_s

    def record(
        self,
        instance_id: str,
        state: _messages.ProcessState,
        now_s: float,
    ) -> None:
        """Record what an instance says of its process."""
        self._started_s[instance_id] = now_s - state.age_s
        if state.is_stopping:
            self._stopping_s[instance_id] = now_s

    def update(
        self,
        local_ids: typing.Container[str],
        in_contact: typing.Container[str],
        now_s: float,
    ) -> bool:
        """Return whether all instances of the data centre are present.

        :param local_ids: other instances of the data centre
        :param in_contact: instances in contact with this leader
        """
        earliest_s = self._last_heartbeat_s - _ALIVE_RETENTION_S
        has_all = all(
            self._has_ended_jobs(instance_id, now_s)
            or (
                instance_id in in_contact
                and self._started_s.get(instance_id, now_s) < earliest_s
            )
            for instance_id, alive_s in self._alive_s.items()
            if alive_s >= earliest_s and instance_id in local_ids
        )
        if not has_all:
            self._complete_since_s = None
        elif self._complete_since_s is None:
            self._complete_since_s = now_s
        return has_all and now_s - self._complete_since_s >= _SETTLE_S

    def _has_ended_jobs(self, instance_id: str, now_s: float) -> bool:
        """Return whether an instance has announced a planned stop."""
        stopping_s = self._stopping_s.get(instance_id)
        return (
            stopping_s is not None and now_s - stopping_s < _STOP_RETENTION_S
        )
