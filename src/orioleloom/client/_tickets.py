import collections
import typing

import trio

# Instances refuse tickets older than their retention time. The client
# does not know that time; this age is below every retention time in use.
MAX_TICKET_AGE_S = 30.0


class TicketStore:
    """Stores tickets fetched in advance, by the base URL they came from.

    :param block_size: tickets fetched with one request
    :param max_age_s: age above which an unused ticket is dropped
    """

    def __init__(
        self, *, block_size: int = 32, max_age_s: float = MAX_TICKET_AGE_S
    ):
        self.block_size = block_size
        self.max_age_s = max_age_s
        self._tickets: dict[str, collections.deque[tuple[str, float]]] = {}
        self._locks: dict[str, trio.Lock] = {}

    async def take(
        self,
        base_url: str,
        mint: typing.Callable[[str, int], typing.Awaitable[list[str]]],
    ) -> str | None:
        """Take a ticket, after fetching a block if none is left.

        :param base_url: base URL of the instance that shall run the job
        :param mint: fetches a number of tickets from a base URL
        :returns: the ticket, or ``None`` if the instance returned none
        """
        queue = self._tickets.setdefault(base_url, collections.deque())
        async with self._locks.setdefault(base_url, trio.Lock()):
            now_s = trio.current_time()
            while queue and now_s - queue[0][1] > self.max_age_s:
                queue.popleft()
            if not queue:
                # The age counts from before the request, because the tickets
                # may have been minted at any time since.
                for ticket in await mint(base_url, self.block_size):
                    queue.append((ticket, now_s))
            return queue.popleft()[0] if queue else None

    def drop(self, base_url: str) -> None:
        """Drop the tickets of an instance that refused or is unreachable."""
        self._tickets.pop(base_url, None)
