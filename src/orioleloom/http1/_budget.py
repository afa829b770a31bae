import math
import typing

import trio

from orioleloom import memory

# Limit for a process whose memory is not known.
DEFAULT_BYTES = 64 * 1024 * 1024
# Holds a single request at the limits of the platform's configuration, also
# with a body in chunks of one byte (262,144 of them count 1.6 MB) and a head
# of 3,276 headers (0.9 MB).
MIN_BYTES = 4 * 1024 * 1024
# Share of the process's memory. An idle process uses 46 MB with 1,000 open
# connections; the smallest machine has 160 MB.
_MEMORY_SHARE = 1 / 8
# What is closed at a time brings the held bytes down to this share, so that
# connections are not sorted again for each further byte.
_LOW_WATER_SHARE = 7 / 8
# Several round trips to a client.
_STALLED_S = 0.25
# Reads of large requests in one turn of the event loop. 16 KiB in chunks of
# one byte take 0.26 ms of a full core.
_LARGE_READS_PER_TURN = 8


def limit_bytes(memory_mb: float) -> int:
    """Return the limit of a budget for a process.

    :param memory_mb: memory of the process's machine; 0 if not known
    """
    if memory_mb <= 0:
        return DEFAULT_BYTES
    return max(MIN_BYTES, int(memory_mb * 1_000_000 * _MEMORY_SHARE))


class Reception:
    """What a connection holds of a budget.

    :param owner: the connection
    """

    __slots__ = (
        'owner',
        'held_bytes',
        'is_partial',
        'n_received_bytes',
        'progress_s',
        'started_s',
    )

    def __init__(self, owner: typing.Any):
        self.owner = owner
        self.held_bytes = 0
        # A request has arrived in part and no other one waits for its
        # answer, so the connection may be closed.
        self.is_partial = False
        self.n_received_bytes = 0
        # When the last bytes arrived; infinite while bytes have arrived that
        # the server has not read yet.
        self.progress_s = math.inf
        self.started_s = math.inf

    def slowness(self, now_s: float) -> tuple[int, float]:
        """Return a key that rises the slower the request arrives.

        Stalled requests are the slowest, those that stalled first before
        the others. Then come those with the lowest rate. For a request that
        has only just begun, a rate says nothing; of these the older is the
        slower.
        """
        stalled_s = now_s - self.progress_s
        if stalled_s >= _STALLED_S:
            return 2, stalled_s
        age_s = now_s - self.started_s
        if age_s >= _STALLED_S:
            return 1, -self.n_received_bytes / age_s
        return 0, age_s


class Budget:
    """Bytes of requests in reception, over all servers of a process.

    A connection holds bytes from the first byte of a request until its
    response. The budget decides which connections to close; the server
    closes them.

    :param process: budget of the process, of which this is a part
    """

    def __init__(
        self,
        limit: int = DEFAULT_BYTES,
        process: memory.Budget | None = None,
    ):
        self.limit_bytes = limit
        self.process = process
        self.held_bytes = 0
        self.peak_bytes = 0
        self._receptions: set[Reception] = set()
        # Connections with a large request take turns in reading, so that a
        # crowd of them does not keep small requests waiting.
        self.large_reads = trio.CapacityLimiter(_LARGE_READS_PER_TURN)

    def hold(self, reception: Reception, n_bytes: int) -> None:
        """Set what a connection holds; 0 releases it."""
        self.held_bytes += n_bytes - reception.held_bytes
        reception.held_bytes = n_bytes
        if self.process is not None:
            self.process.reception_bytes = self.held_bytes
        if n_bytes:
            self._receptions.add(reception)
            self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        else:
            self._receptions.discard(reception)

    def is_short(self) -> bool:
        """Return whether more is held than the limit."""
        return self.held_bytes > self.present_limit_bytes()

    def present_limit_bytes(self) -> float:
        """Return the limit beside the jobs of the process."""
        if self.process is None:
            return self.limit_bytes
        return min(self.limit_bytes, self.process.reception_room_bytes())

    def has_room(self, n_bytes: int) -> bool:
        """Return whether a complete request may hold so much more.

        A large one leaves room for smaller ones.
        """
        free_bytes = self.present_limit_bytes() - self.held_bytes
        return free_bytes >= memory.needed_bytes(n_bytes, self.limit_bytes)

    def select_slowest(
        self, now_s: float, needed_bytes: float = 0.0
    ) -> list[Reception]:
        """Return the slowest receptions, as many as must be closed.

        :param needed_bytes: room that is needed for something else
        """
        limit = self.present_limit_bytes()
        excess_bytes = self.held_bytes - min(
            limit * _LOW_WATER_SHARE, limit - needed_bytes
        )
        selected = []
        for reception in self._by_slowness(self._receptions, now_s):
            if excess_bytes <= 0:
                break
            excess_bytes -= reception.held_bytes
            selected.append(reception)
        return selected

    @staticmethod
    def _by_slowness(
        receptions: typing.Iterable[Reception], now_s: float
    ) -> list[Reception]:
        return sorted(
            (r for r in receptions if r.is_partial),
            key=lambda reception: reception.slowness(now_s),
            reverse=True,
        )

    def select_late(
        self, receptions: typing.Iterable[Reception], n: int, now_s: float
    ) -> list[Reception]:
        """Return up to ``n`` of the receptions that are not just begun."""
        return [
            reception
            for reception in self._by_slowness(receptions, now_s)[:n]
            if reception.slowness(now_s) > (0, _STALLED_S)
        ]
