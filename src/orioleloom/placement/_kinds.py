"""Kinds of task that fail wherever they run."""

_MAX_KINDS = 1024
# Fewer would let two failing workers hide behind each other.
_N_WORKERS = 3


class FailingKinds:
    """Workers that failed a kind since it last succeeded anywhere.

    A kind that fails on several workers is itself at fault, so its
    failures must not put workers in quarantine.
    """

    def __init__(self) -> None:
        self._failed_on: dict[str, set[str]] = {}

    def succeeded(self, kind: str) -> None:
        """Forget the failures of a kind."""
        self._failed_on.pop(kind, None)

    def failed(self, kind: str, worker_id: str) -> bool:
        """Record a failure.

        :returns: whether the kind, not the worker, is at fault
        """
        workers = self._failed_on.get(kind)
        if workers is None:
            if len(self._failed_on) >= _MAX_KINDS:
                del self._failed_on[next(iter(self._failed_on))]
            workers = self._failed_on[kind] = set()
        if len(workers) < _N_WORKERS:
            workers.add(worker_id)
        return len(workers) >= _N_WORKERS
