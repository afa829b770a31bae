"""Interface of placement policies."""

import random
import typing

from orioleloom.placement import _group
from orioleloom.placement import _worker


class Policy(typing.Protocol):
    """Policy that decides on which worker and when a task starts."""

    def on_success(self) -> None:
        """Record that a task succeeded."""

    def on_exchange_started(self) -> None:
        """Record that an exchange with a worker was started."""

    def on_rejection(self, now_s: float) -> None:
        """Record that all tasks of an exchange were rejected."""

    def is_likely_free(self, worker: _worker.Worker, now_s: float) -> bool:
        """Return whether the worker is likely to have a free slot."""

    def recheck_at_s(self, worker: _worker.Worker, now_s: float) -> float:
        """Return when to check again whether a slot is likely free."""

    def pick(
        self,
        group: _group.Group,
        log_run_time_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return the worker on which to start a task, or ``None`` to wait.

        :param group: workers of the upstream
        :param log_run_time_ms: expected logarithm of the run time on a
            worker of log factor 0
        :param n_waiting: tasks waiting for the upstream, including this one
        """
