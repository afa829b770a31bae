"""Interface of the rules that choose among the workers of an upstream."""

import random
import typing

from orioleloom.placement import _group
from orioleloom.placement import _worker


class Policy(typing.Protocol):
    """Rule that decides where and when a task starts."""

    def succeeded(self) -> None:
        """Learn that a start was accepted."""

    def exchange_started(self) -> None:
        """Learn that an exchange with a worker was begun."""

    def rejected(self, now_s: float) -> None:
        """Learn that a start was rejected."""

    def believes_free(self, worker: _worker.Worker, now_s: float) -> bool:
        """Tell whether one more task may start on the worker."""

    def free_again_at_s(self, worker: _worker.Worker, now_s: float) -> float:
        """Return when a full worker should be looked at again."""

    def pick(
        self,
        group: _group.Group,
        log_ms: float,
        n_waiting: int,
        now_s: float,
        random_state: random.Random,
    ) -> _worker.Worker | None:
        """Return an open worker, or ``None`` to wait."""
