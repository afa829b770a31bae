import math

from orioleloom import codec
from orioleloom.limits import _borrowing
from orioleloom.limits import _records
from orioleloom.limits import _state

# How long a peer counts as short after its last request; a part of the
# available share is set aside for it. Longer than the longest interval
# between two requests, including the jitter and the engine's timer. With
# 6 s, one of two short peers got everything.
_REQUEST_RETENTION_S = 7.0

# The own share divided by this is never lent, so that the first tasks of
# a small job start without a recall. With one of 8 instances busy, 11 %
# of a limit of 800 stays unused; with a divisor of 4 it was 22 %.
_RESERVE_DIVISOR = 8

RECALL_INTERVAL_S = 0.25


def make_loan(
    share: _records.CustomerShare,
    borrower: str,
    request: codec.ShareRequest,
    now_s: float,
    message_id: int,
) -> _records.Loan:
    """Return the loan that answers a request.

    A repeated or older request gets its existing loan, or an empty one.
    """
    version = share.contract.version
    lifetime_s = _records.GRANT_TTL_S + _records.LENDER_MARGIN_S
    share.borrower_requests = {
        name: pending
        for name, pending in share.borrower_requests.items()
        if now_s - pending.received_at_s < _REQUEST_RETENTION_S
    }
    loans = share.loans.get(borrower, [])
    last_request = share.borrower_requests.get(borrower)
    if last_request is not None and message_id <= last_request.message_id:
        for loan in loans:
            if loan.message_id == message_id:
                return loan
        return _records.Loan(message_id, version, _records.ZERO_AMOUNTS, now_s)
    requested = _records.Amounts(
        request.in_flight, request.starts_per_s, request.burst
    ).capped(share.limits[share.contract.version])
    share.borrower_requests[borrower] = _records.BorrowerRequest(
        message_id, requested, now_s
    )
    amounts = lendable(share, borrower, now_s).capped(requested)
    new = _records.Loan(
        message_id,
        version,
        amounts,
        now_s + lifetime_s,
        n_tokens=amounts.burst,
    )
    if amounts == _records.ZERO_AMOUNTS:
        return new
    # If this grant is lost, the borrower keeps an older one. Older loans
    # no larger than the new one need not be counted separately.
    share.loans[borrower] = [
        old for old in loans if old.amounts.capped(amounts) != old.amounts
    ] + [new]
    share.tokens -= amounts.burst
    _state.update_totals(share)
    return new


def lendable(
    share: _records.CustomerShare, borrower: str, now_s: float
) -> _records.Amounts:
    """Return the amounts that may be lent to ``borrower``.

    Each peer that is short may get an equal part, or more if the others
    ask for less than theirs.
    """
    starts = share.demand.starts_per_s(now_s)
    reserve = lending_reserve(share.own)
    available = _records.Amounts(
        share.own.in_flight - max(reserve.in_flight, share.demand.peak(now_s)),
        share.own.starts_per_s - max(reserve.starts_per_s, starts),
        math.floor(share.tokens - max(reserve.burst, starts)),
    )
    requested_by_others = _records.sum_amounts(
        pending.amounts
        for name, pending in share.borrower_requests.items()
        if name != borrower
    )
    lent_to_others = _records.sum_amounts(
        _records.elementwise_max(loan.amounts for loan in loans)
        for name, loans in share.loans.items()
        if name != borrower
    )
    # The bucket may hold tokens of borrowed share, which must not be lent.
    own_burst = share.own.burst - reserve.burst - lent_to_others.burst
    available = available._replace(burst=min(available.burst, own_burst))
    # Lent tokens have already been removed from the bucket.
    lent_to_others = lent_to_others._replace(burst=0)
    n_short = len(share.borrower_requests)
    in_flight, rate, burst = (
        min(max(amount / n_short, amount - requested), amount - lent)
        for amount, requested, lent in zip(
            available, requested_by_others, lent_to_others
        )
    )
    return _records.Amounts(math.floor(in_flight), rate, math.floor(burst))


def lending_reserve(own: _records.Amounts) -> _records.Amounts:
    """Return the part of the own share that is never lent.

    A share of one is lent completely: otherwise a single busy instance
    could not use a limit of at most one task per instance.
    """
    return _records.Amounts(
        math.ceil(own.in_flight / _RESERVE_DIVISOR)
        if own.in_flight > 1
        else 0,
        own.starts_per_s / _RESERVE_DIVISOR,
        math.ceil(own.burst / _RESERVE_DIVISOR) if own.burst > 1 else 0,
    )


def recalls_to_send(
    share: _records.CustomerShare, n_waiting: int, now_s: float
) -> list[tuple[str, int, codec.ShareRecall]]:
    """Return recalls of lent share that this instance needs itself.

    :returns: borrower, message id of its newest loan, and the recall
    """
    if not share.loans or now_s < share.next_recall_at_s:
        return []
    needed = _borrowing.shortfall(share, n_waiting, now_s)
    to_recall = _records.Amounts(
        needed.in_flight - share.borrowed.in_flight,
        needed.starts_per_s - share.borrowed.starts_per_s,
        needed.burst - share.borrowed.burst,
    ).capped(share.lent)
    if to_recall == _records.ZERO_AMOUNTS:
        return []
    share.next_recall_at_s = now_s + RECALL_INTERVAL_S
    recalls = []
    for borrower, loans in share.loans.items():
        held = _records.elementwise_max(loan.amounts for loan in loans)
        # Every borrower gives back the same fraction of its loan.
        in_flight, rate, burst = (
            amount * (1 - recalled / lent) if lent else 0
            for amount, recalled, lent in zip(held, to_recall, share.lent)
        )
        max_retained = _records.Amounts(
            math.floor(in_flight), rate, math.floor(burst)
        )
        if max_retained != held:
            recalls.append(
                (
                    borrower,
                    loans[-1].message_id,
                    codec.ShareRecall(share.contract.customer, *max_retained),
                )
            )
    return recalls


def receive_return(
    share: _records.CustomerShare,
    borrower: str,
    share_return: codec.ShareReturn,
    message_id: int,
) -> None:
    """Add the share that a borrower returned back to the own share.

    A borrower that holds a grant never accepts an older one, so the
    older loans to it are dropped as well.
    """
    loans = share.loans.get(borrower, [])
    returned = next(
        (loan for loan in loans if loan.message_id == message_id), None
    )
    if returned is None:
        return
    ended = [loan for loan in loans if loan.message_id <= message_id]
    kept = _records.Amounts(
        share_return.in_flight, share_return.starts_per_s, share_return.burst
    ).capped(_records.elementwise_max(loan.amounts for loan in ended))
    n_tokens = min(share_return.n_tokens, returned.n_tokens)
    n_new_tokens = max(0, n_tokens - returned.n_tokens_returned)
    reduced = returned._replace(
        amounts=kept,
        n_tokens_returned=returned.n_tokens_returned + n_new_tokens,
    )
    remaining = [loan for loan in loans if loan not in ended]
    if kept != _records.ZERO_AMOUNTS:
        remaining.insert(0, reduced)
    if remaining:
        share.loans[borrower] = remaining
    else:
        del share.loans[borrower]
    _state.update_totals(share)
    share.tokens = min(share.bucket_size(), share.tokens + n_new_tokens)
