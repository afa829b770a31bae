# Limit for a process whose memory is not known.
DEFAULT_BYTES = 128 * 1024 * 1024
# Holds the largest job that is accepted, with 10,000 steps of one task, at
# the leader (11.6 MB) with the reserve for smaller ones.
MIN_BYTES = 20 * 1024 * 1024
# Share of the process's memory.
_MEMORY_SHARE = 1 / 4
# Share of the limit that jobs leave to reception, so that an instance full of
# jobs can still receive, and refuse, a request.
_RECEPTION_SHARE = 1 / 8
# A job needs this multiple of its size as free room beside it, but not more
# than the share of the limit. Large jobs are thus refused before small ones.
_RESERVE_FACTOR = 8
_MAX_RESERVE_SHARE = 1 / 4


def limit_bytes(memory_mb: float) -> int:
    """Return the limit of a budget for a process.

    :param memory_mb: memory of the process's machine; 0 if not known
    """
    if memory_mb <= 0:
        return DEFAULT_BYTES
    return max(MIN_BYTES, int(memory_mb * 1_000_000 * _MEMORY_SHARE))


def needed_bytes(n_bytes: int, limit: int) -> float:
    """Return the free room that a job needs to be accepted.

    :param n_bytes: memory of the job
    :param limit: limit of what the job is a part of
    """
    return n_bytes + min(_RESERVE_FACTOR * n_bytes, _MAX_RESERVE_SHARE * limit)


class Budget:
    """Memory that requests in reception and jobs take together.

    :param limit: bytes
    """

    def __init__(self, limit: int = DEFAULT_BYTES):
        self.limit_bytes = limit
        self.reception_bytes = 0
        # Of the jobs that this process leads.
        self.job_bytes = 0
        self.peak_job_bytes = 0

    def reception_room_bytes(self) -> float:
        """Return how much reception may hold beside the jobs."""
        return max(
            self.limit_bytes - self.job_bytes,
            self.limit_bytes * _RECEPTION_SHARE,
        )

    def free_bytes(self) -> float:
        """Return the room for further jobs."""
        return (
            self.limit_bytes
            - max(self.reception_bytes, self.limit_bytes * _RECEPTION_SHARE)
            - self.job_bytes
        )

    def largest_job_bytes(self) -> float:
        """Return the size of the largest job that is accepted now."""
        free = self.free_bytes()
        return max(
            0.0,
            free / (1 + _RESERVE_FACTOR),
            free - _MAX_RESERVE_SHARE * self.limit_bytes,
        )

    def has_room(self, n_bytes: int, *, is_urgent: bool = False) -> bool:
        """Return whether a job is accepted now.

        :param is_urgent: the job has been accepted elsewhere before, so that
            it needs no free room beside it
        """
        needed = (
            n_bytes if is_urgent else needed_bytes(n_bytes, self.limit_bytes)
        )
        return self.free_bytes() >= needed

    def add_job(self, n_bytes: int) -> None:
        """Count a job, or no longer count it if negative."""
        self.job_bytes += n_bytes
        self.peak_job_bytes = max(self.peak_job_bytes, self.job_bytes)
