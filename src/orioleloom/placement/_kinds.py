"""Detection of task kinds that fail regardless of the worker."""

_MAX_KINDS = 1024
# With fewer, two failing workers would be taken for a failing kind, and
# neither would be quarantined.
_MIN_FAILED_WORKERS = 3


class FailingKinds:
    """Workers on which each kind failed since its last success.

    If a kind fails on several workers, the kind is the likely cause, so
    its failures must not quarantine workers.
    """

    def __init__(self) -> None:
        self._failed_on: dict[str, set[str]] = {}

    def record_success(self, kind: str) -> None:
        """Forget the failures of a kind."""
        self._failed_on.pop(kind, None)

    def record_failure(self, kind: str, worker_id: str) -> bool:
        """Record a failure.

        :returns: whether the kind, not the worker, is the likely cause
        """
        failed_workers = self._failed_on.get(kind)
        if failed_workers is None:
            if len(self._failed_on) >= _MAX_KINDS:
                del self._failed_on[next(iter(self._failed_on))]
            failed_workers = self._failed_on[kind] = set()
        if len(failed_workers) < _MIN_FAILED_WORKERS:
            failed_workers.add(worker_id)
        return len(failed_workers) >= _MIN_FAILED_WORKERS
