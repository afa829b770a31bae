import collections.abc
import math
import random

from orioleloom import codec
from orioleloom.limits import _records
from orioleloom.limits import _state

# Half of the lifetime of a grant, so that it is renewed before it expires.
REQUEST_INTERVAL_S = 2.5

_MAX_REQUEST_INTERVAL_S = 5.0

# Relative jitter, so that instances that run short at the same time do
# not keep sending their requests at the same time.
_INTERVAL_JITTER = 0.1

# Retry interval when peers_to_ask() has skipped every peer.
_NO_PEER_RETRY_S = 0.5

# Share that becomes free within this time is returned in one message.
_RETURN_INTERVAL_S = 0.05

# Multiple of the shortfall to ask for. Asking for more than the shortfall
# compensates for peers that lend less than their part.
_INITIAL_REQUEST_FACTOR = 2
_MAX_REQUEST_FACTOR = 16

# Number of peers to ask after a request that brought no share. Asking all
# of them cost 0.095 messages per task at three times the contract's load.
_N_PROBE_PEERS = 2

# Number of requests without result before the interval grows. With 0, part
# of the limit stayed unused while half of the instances were short.
_N_FAST_RETRIES = 4


def shortfall(
    share: _records.CustomerShare, n_waiting: int, now_s: float
) -> _records.Amounts:
    """Return by how much demand exceeds the own share that is not lent."""
    contract = share.contract
    unlent = share.unlent()
    in_flight = (
        min(share.n_running + n_waiting, contract.in_flight) - unlent.in_flight
    )
    rate = 0.0
    burst = 0
    n_startable = min(n_waiting, contract.in_flight)
    if share.tokens < max(1, n_startable, share.bucket_size() / 2):
        n_without_token = max(0, n_startable - max(0, int(share.tokens)))
        rate = share.demand.starts_per_s(now_s) + n_without_token
        rate = min(rate, contract.starts_per_s) - unlent.starts_per_s
        burst = min(n_without_token, contract.burst - unlent.burst)
    return _records.Amounts(max(0, in_flight), max(0.0, rate), max(0, burst))


def plan_request(
    share: _records.CustomerShare,
    needed: _records.Amounts,
    n_waiting: int,
    now_s: float,
    *,
    n_entries: int,
    random_state: random.Random,
) -> int:
    """Return how many peers to ask, and schedule the next request."""
    is_first = share.request_factor == 0
    n_lenders = sum(
        grant.amounts != _records.ZERO_AMOUNTS
        for grant in share.grants.values()
    )
    is_short = (
        share.n_running + n_waiting > share.usable.in_flight
        or share.tokens < 1
    )
    interval_s = REQUEST_INTERVAL_S
    if is_first:
        share.request_factor = _INITIAL_REQUEST_FACTOR
    elif is_short:
        share.request_factor = min(
            _MAX_REQUEST_FACTOR, 2 * share.request_factor
        )
    n_to_ask = 1
    for amount, limit in zip(needed, share.limits[share.contract.version]):
        if amount > 0:
            even_share = max(1.0, limit / n_entries)
            n_to_ask = max(
                n_to_ask, math.ceil(share.request_factor * amount / even_share)
            )
    if not is_first and n_lenders == 0:
        share.n_requests_without_grant += 1
        n_to_ask = min(n_to_ask, _N_PROBE_PEERS)
        if share.n_requests_without_grant > _N_FAST_RETRIES:
            interval_s = _MAX_REQUEST_INTERVAL_S
    else:
        share.n_requests_without_grant = 0
        if n_lenders and not is_short:
            # The grants suffice and only need to be renewed.
            n_to_ask = n_lenders
    jitter = 1 + _INTERVAL_JITTER * random_state.random()
    share.next_request_at_s = now_s + interval_s * jitter
    share.sent_requests = {
        message_id: sent
        for message_id, sent in share.sent_requests.items()
        if now_s - sent.sent_at_s < _records.GRANT_TTL_S
    }
    return n_to_ask


def receive_recall(
    share: _records.CustomerShare,
    lender: str,
    recall: codec.ShareRecall,
    now_s: float,
    message_id: int,
) -> None:
    """Process a lender's recall of the grant with ``message_id``.

    A recall is ignored if a different grant of the lender is held. The
    lender repeats the recall with the id of its newest loan.
    """
    sent = share.sent_requests.get(message_id)
    held = share.grants.get(lender)
    max_retained = _records.Amounts(
        recall.in_flight, recall.starts_per_s, recall.burst
    )
    if held is None and sent is not None:
        expires_at_s = sent.sent_at_s + _records.GRANT_TTL_S
        if expires_at_s <= now_s:
            return
        # The grant was lost or is late. An empty grant with its message
        # id makes receive_grant() ignore it.
        held = _records.Grant(
            message_id, 0, _records.ZERO_AMOUNTS, expires_at_s
        )
    elif held is None or held.message_id != message_id:
        return
    if held.max_retained is not None:
        max_retained = max_retained.capped(held.max_retained)
    share.grants[lender] = held._replace(
        max_retained=max_retained, is_return_due=True
    )
    _state.update_totals(share)
    _state.release_recalled(share)


def returns_to_send(
    share: _records.CustomerShare, now_s: float
) -> list[tuple[str, int, codec.ShareReturn]]:
    """Return the due returns with their lenders and grant ids."""
    messages = []
    for lender, grant in share.grants.items():
        if not grant.is_return_due or now_s < grant.next_return_at_s:
            continue
        # Store the scaled amounts under the current version, so that a
        # later version cannot scale the grant above the reported amounts.
        kept = _state.scaled(share, grant)
        # Tasks may still be running after a smaller grant replaced the
        # one they started under. They are reported as held, so that the
        # lender does not start other tasks in their place.
        n_excess_tasks = max(0, share.n_running - share.usable.in_flight)
        share.grants[lender] = grant._replace(
            version=max(grant.version, share.contract.version),
            amounts=kept,
            is_return_due=False,
            n_excess_tasks=n_excess_tasks,
            next_return_at_s=now_s + _RETURN_INTERVAL_S,
        )
        messages.append(
            (
                lender,
                grant.message_id,
                codec.ShareReturn(
                    share.contract.customer,
                    kept.in_flight + n_excess_tasks,
                    kept.starts_per_s,
                    kept.burst,
                    grant.n_tokens_returned,
                ),
            )
        )
    return messages


def receive_grant(
    share: _records.CustomerShare,
    lender: str,
    grant: codec.ShareGrant,
    now_s: float,
    message_id: int,
) -> None:
    """Accept a grant that answers a request of the last 5 s."""
    sent = share.sent_requests.get(message_id)
    held = share.grants.get(lender)
    if sent is None or (held and message_id <= held.message_id):
        return
    expires_at_s = sent.sent_at_s + min(
        grant.ttl_ms / 1000, _records.GRANT_TTL_S
    )
    if expires_at_s <= now_s:
        return
    amounts = _records.Amounts(
        grant.in_flight, grant.starts_per_s, grant.burst
    ).capped(sent.amounts)
    accepted = _records.Grant(
        message_id, grant.contract_version, amounts, expires_at_s
    )
    share.grants[lender] = accepted
    # The lender removed these tokens from its bucket.
    share.tokens += _state.scaled(share, accepted).burst
    _state.update_totals(share)


def peers_to_ask(
    share: _records.CustomerShare,
    peer_ids: collections.abc.Sequence[str],
    now_s: float,
    *,
    rank: int | None,
    n_entries: int,
    random_state: random.Random,
) -> list[str]:
    """Choose the peers to send a request to, current lenders first."""
    lenders = []
    others = []
    for index, peer_id in enumerate(peer_ids):
        grant = share.grants.get(peer_id)
        if grant is not None:
            if grant.amounts != _records.ZERO_AMOUNTS:
                lenders.append(peer_id)
            continue
        peer_rank = index
        if rank is not None and index >= rank:
            peer_rank += 1
        if share.needs_in_flight and not _records.integer_share(
            share.contract.in_flight, peer_rank, n_entries
        ):
            continue
        request = share.borrower_requests.get(peer_id)
        if (
            request is not None
            and now_s - request.received_at_s < _records.GRANT_TTL_S
        ):
            continue
        others.append(peer_id)
    random_state.shuffle(others)
    chosen = (lenders + others)[: share.n_to_ask]
    if not chosen:
        share.next_request_at_s = now_s + _NO_PEER_RETRY_S
    return chosen
