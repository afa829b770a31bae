import collections
import typing

import trio

# The minter refuses tickets older than its retention, which is not known
# here; a ticket this young is accepted under every retention in use.
MAX_TICKET_AGE_S = 30.0


class TicketStore:
    """Tickets fetched ahead, by the base URL that minted them.

    :param block: tickets fetched with one request
    :param max_age_s: age at which an unused ticket is dropped
    """

    def __init__(
        self, *, block: int = 32, max_age_s: float = MAX_TICKET_AGE_S
    ):
        self.block = block
        self.max_age_s = max_age_s
        self._tickets: dict[str, collections.deque[tuple[str, float]]] = {}
        self._locks: dict[str, trio.Lock] = {}

    async def take(
        self,
        base_url: str,
        mint: typing.Callable[[str, int], typing.Awaitable[list[str]]],
    ) -> str | None:
        """Take a ticket, fetching a block when none is left.

        :param base_url: instance that shall run the job
        :param mint: fetches tickets from a base URL
        :returns: the ticket, or ``None`` when the instance gives none
        """
        queue = self._tickets.setdefault(base_url, collections.deque())
        async with self._locks.setdefault(base_url, trio.Lock()):
            now_s = trio.current_time()
            while queue and now_s - queue[0][1] > self.max_age_s:
                queue.popleft()
            if not queue:
                # The age counts from before the request: minting may
                # have happened at any time since.
                for ticket in await mint(base_url, self.block):
                    queue.append((ticket, now_s))
            return queue.popleft()[0] if queue else None

    def drop(self, base_url: str) -> None:
        """Forget the tickets of an instance that cannot be reached."""
        self._tickets.pop(base_url, None)
