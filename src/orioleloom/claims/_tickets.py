import random
import typing

TICKET_PREFIX = 't1'

_NONCE_BITS = 64


class Ticket(typing.NamedTuple):
    """A submission id that only the process that minted it may start.

    :param instance_id: instance that minted the ticket
    :param incarnation: process of that instance
    :param minted_ms: time of minting on that process's monotonic clock
    """

    instance_id: str
    incarnation: str
    minted_ms: int
    nonce: str

    def owner(self) -> str:
        """Return the identity of the process that may start the tasks."""
        return f'{self.instance_id}/{self.incarnation}'


def mint_ticket(
    instance_id: str,
    incarnation: str,
    now_s: float,
    random_state: random.Random,
) -> str:
    """Mint a submission id bound to one incarnation of an instance.

    :param now_s: monotonic time of the minting process, in seconds
    :returns: the submission id

    >>> mint_ticket('e1', 'ab', 2.5, random.Random(0))[:14]
    't1.e1.ab.2500.'
    """
    nonce = f'{random_state.getrandbits(_NONCE_BITS):016x}'
    minted_ms = int(now_s * 1000)
    return '.'.join(
        (TICKET_PREFIX, instance_id, incarnation, str(minted_ms), nonce)
    )


def parse_ticket(submission_id: str) -> Ticket | None:
    """Parse a submission id that is a ticket.

    :returns: ``None`` for any other id, which the submitter chose
    """
    parts = submission_id.split('.')
    if len(parts) != 5 or parts[0] != TICKET_PREFIX:
        return None
    _, instance_id, incarnation, minted_ms, nonce = parts
    if not (instance_id and incarnation and nonce):
        return None
    # isdecimal() and int() also accept decimal digits outside ASCII.
    if not (minted_ms.isascii() and minted_ms.isdecimal()):
        return None
    if len(minted_ms) > 18:
        return None
    return Ticket(instance_id, incarnation, int(minted_ms), nonce)
