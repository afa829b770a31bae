from orioleloom.memory import _budget


class JobAccount:
    """What the jobs of one leader take of the budget of its process.

    Room for a job can be reserved before the job is sent, so that what
    arrives is within the budget.

    :param budget: the budget of the process
    """

    def __init__(self, budget: _budget.Budget):
        self.budget = budget
        self._held_bytes: dict[str, int] = {}
        # When reservations end, by job id.
        self._reserved_until_s: dict[str, float] = {}

    def reserve(
        self,
        job_id: str,
        n_bytes: int,
        until_s: float,
        *,
        is_urgent: bool = False,
    ) -> bool:
        """Reserve room for a job that is about to arrive.

        :param until_s: when the reservation ends unless the job has arrived
        :param is_urgent: see :meth:`orioleloom.memory.Budget.has_room`
        :returns: false if there is no room
        """
        if job_id not in self._held_bytes:
            if not self.budget.has_room(n_bytes, is_urgent=is_urgent):
                return False
            self._add(job_id, n_bytes)
            self._reserved_until_s[job_id] = until_s
        elif job_id in self._reserved_until_s:
            self._reserved_until_s[job_id] = until_s
        return True

    def hold(
        self, job_id: str, n_bytes: int, *, is_urgent: bool = False
    ) -> bool:
        """Count a job that has arrived, until :meth:`release`.

        :param is_urgent: see :meth:`orioleloom.memory.Budget.has_room`
        :returns: false if there is no room
        """
        reserved_bytes = self._held_bytes.get(job_id, 0)
        if n_bytes > reserved_bytes:
            if not self.budget.has_room(
                n_bytes - reserved_bytes, is_urgent=is_urgent
            ):
                return False
            self._add(job_id, n_bytes - reserved_bytes)
        self._reserved_until_s.pop(job_id, None)
        return True

    def _add(self, job_id: str, n_bytes: int) -> None:
        self._held_bytes[job_id] = self._held_bytes.get(job_id, 0) + n_bytes
        self.budget.add_job(n_bytes)

    def release(self, job_id: str) -> None:
        """No longer count a job, or its reservation, if it is counted."""
        self._reserved_until_s.pop(job_id, None)
        self.budget.add_job(-self._held_bytes.pop(job_id, 0))

    def release_expired(self, now_s: float) -> None:
        """Release the reservations whose jobs have not arrived."""
        for job_id, until_s in list(self._reserved_until_s.items()):
            if until_s <= now_s:
                self.release(job_id)

    def close(self) -> None:
        """Release everything; the account is not used any more."""
        self.budget.add_job(-sum(self._held_bytes.values()))
        self._held_bytes.clear()
        self._reserved_until_s.clear()
