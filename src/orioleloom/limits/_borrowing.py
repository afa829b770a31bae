import collections.abc
import math
import random

from orioleloom import codec
from orioleloom.limits import _records
from orioleloom.limits import _state

# Half of a grant's life, so that a loan is renewed before it ends.
REQUEST_INTERVAL_S = 2.5

_MAX_REQUEST_INTERVAL_S = 5.0

# Instances that ran out together must not ask at the same moments.
_INTERVAL_JITTER = 0.1

# When every peer is left out for now, the request is tried again soon.
_NO_PEER_RETRY_S = 0.5

# Share that is free within this time goes back in one message.
_RETURN_INTERVAL_S = 0.05

# Asking for more than is missing covers peers that lend less.
_FIRST_ASK_FACTOR = 2
_MAX_ASK_FACTOR = 16

# Peers asked after an exchange that brought nothing. Asking all of them
# cost 0.095 messages a task at three times the contract's load.
_N_PROBES = 2

# Exchanges that bring nothing before the interval grows. 0 left a share
# of the limit unused while half of the instances were short.
_N_QUICK_REPEATS = 4


def missing(
    known: _records.CustomerShare, n_waiting: int, now_s: float
) -> _records.Amounts:
    """Return what the unlent own share lacks for the demand."""
    contract = known.contract
    unlent = known.unlent()
    in_flight = (
        min(known.n_running + n_waiting, contract.in_flight) - unlent.in_flight
    )
    rate = 0.0
    burst = 0
    n_startable = min(n_waiting, contract.in_flight)
    if known.tokens < max(1, n_startable, known.bucket_size() / 2):
        n_late = max(0, n_startable - max(0, int(known.tokens)))
        rate = known.demand.starts_per_s(now_s) + n_late
        rate = min(rate, contract.starts_per_s) - unlent.starts_per_s
        burst = min(n_late, contract.burst - unlent.burst)
    return _records.Amounts(max(0, in_flight), max(0.0, rate), max(0, burst))


def plan_request(
    known: _records.CustomerShare,
    want: _records.Amounts,
    n_waiting: int,
    now_s: float,
    *,
    n_entries: int,
    random_state: random.Random,
) -> int:
    """Return how many peers to ask, and set the next time to ask."""
    first = known.ask_factor == 0
    n_lenders = sum(
        grant.amounts != _records.NOTHING for grant in known.grants.values()
    )
    short = (
        known.n_running + n_waiting > known.usable.in_flight
        or known.tokens < 1
    )
    interval_s = REQUEST_INTERVAL_S
    if first:
        known.ask_factor = _FIRST_ASK_FACTOR
    elif short:
        known.ask_factor = min(_MAX_ASK_FACTOR, 2 * known.ask_factor)
    n_to_ask = 1
    for amount, limit in zip(want, known.limits[known.contract.version]):
        if amount > 0:
            even = max(1.0, limit / n_entries)
            n_to_ask = max(
                n_to_ask, math.ceil(known.ask_factor * amount / even)
            )
    if not first and n_lenders == 0:
        known.n_empty += 1
        n_to_ask = min(n_to_ask, _N_PROBES)
        if known.n_empty > _N_QUICK_REPEATS:
            interval_s = _MAX_REQUEST_INTERVAL_S
    else:
        known.n_empty = 0
        if n_lenders and not short:
            # The loans suffice and only have to be renewed.
            n_to_ask = n_lenders
    jitter = 1 + _INTERVAL_JITTER * random_state.random()
    known.next_request_at_s = now_s + interval_s * jitter
    known.sent = {
        message_id: sent
        for message_id, sent in known.sent.items()
        if now_s - sent.sent_at_s < _records.GRANT_TTL_S
    }
    return n_to_ask


def recalled(
    known: _records.CustomerShare,
    lender: str,
    recall: codec.ShareRecall,
    now_s: float,
    message_id: int,
) -> None:
    """Take a lender's recall of the grant with ``message_id`` in.

    A recall of another grant than the held one is ignored: its lender
    sends the next one for its newest loan.
    """
    sent = known.sent.get(message_id)
    held = known.grants.get(lender)
    keep = _records.Amounts(
        recall.in_flight, recall.starts_per_s, recall.burst
    )
    if held is None and sent is not None:
        ends_at_s = sent.sent_at_s + _records.GRANT_TTL_S
        if ends_at_s <= now_s:
            return
        # The grant was lost or is late; this entry keeps it out.
        held = _records.Grant(message_id, 0, _records.NOTHING, ends_at_s)
    elif held is None or held.message_id != message_id:
        return
    if held.keep is not None:
        keep = keep.capped(held.keep)
    known.grants[lender] = held._replace(keep=keep, is_return_due=True)
    _state.resum(known)
    _state.give_back(known)


def returns(
    known: _records.CustomerShare, now_s: float
) -> list[tuple[str, int, codec.ShareReturn]]:
    """Return what lenders must be told, with the ids of the grants."""
    told = []
    for lender, grant in known.grants.items():
        if not grant.is_return_due or now_s < grant.next_return_at_s:
            continue
        # A later version must not scale the grant above what is told.
        kept = _state.scaled(known, grant)
        # Tasks may run on after a smaller grant replaced theirs; the
        # lender must not start others in their place yet.
        n_over = max(0, known.n_running - known.usable.in_flight)
        known.grants[lender] = grant._replace(
            version=max(grant.version, known.contract.version),
            amounts=kept,
            is_return_due=False,
            n_over=n_over,
            next_return_at_s=now_s + _RETURN_INTERVAL_S,
        )
        told.append(
            (
                lender,
                grant.message_id,
                codec.ShareReturn(
                    known.contract.customer,
                    kept.in_flight + n_over,
                    kept.starts_per_s,
                    kept.burst,
                    grant.n_tokens_returned,
                ),
            )
        )
    return told


def receive(
    known: _records.CustomerShare,
    lender: str,
    grant: codec.ShareGrant,
    now_s: float,
    message_id: int,
) -> None:
    """Take a grant in that answers a request of the last 5 s."""
    sent = known.sent.get(message_id)
    held = known.grants.get(lender)
    if sent is None or (held and message_id <= held.message_id):
        return
    ends_at_s = sent.sent_at_s + min(grant.ttl_ms / 1000, _records.GRANT_TTL_S)
    if ends_at_s <= now_s:
        return
    amounts = _records.Amounts(
        grant.in_flight, grant.starts_per_s, grant.burst
    ).capped(sent.amounts)
    accepted = _records.Grant(
        message_id, grant.contract_version, amounts, ends_at_s
    )
    known.grants[lender] = accepted
    # The lender took these tokens out of its bucket.
    known.tokens += _state.scaled(known, accepted).burst
    _state.resum(known)


def peers_to_ask(
    known: _records.CustomerShare,
    peer_ids: collections.abc.Sequence[str],
    now_s: float,
    *,
    rank: int | None,
    n_entries: int,
    random_state: random.Random,
) -> list[str]:
    """Choose the peers that get a request, lenders first."""
    lenders = []
    others = []
    for index, peer_id in enumerate(peer_ids):
        grant = known.grants.get(peer_id)
        if grant is not None:
            if grant.amounts != _records.NOTHING:
                lenders.append(peer_id)
            continue
        peer_rank = index
        if rank is not None and index >= rank:
            peer_rank += 1
        if known.wants_in_flight and not _records.integer_share(
            known.contract.in_flight, peer_rank, n_entries
        ):
            continue
        want = known.wants.get(peer_id)
        if want is not None and now_s - want.asked_at_s < _records.GRANT_TTL_S:
            continue
        others.append(peer_id)
    random_state.shuffle(others)
    chosen = (lenders + others)[: known.n_to_ask]
    if not chosen:
        known.next_request_at_s = now_s + _NO_PEER_RETRY_S
    return chosen
