import math

from orioleloom import codec
from orioleloom.limits import _borrowing
from orioleloom.limits import _records
from orioleloom.limits import _state

# A lender keeps a part for a peer that was short this recently. It is
# longer than any repetition, jitter and the engine's timer included; with
# 6 s, one of two short peers got everything.
_WANT_MEMORY_S = 7.0

# One part in this many of the own share is never lent, so that the first
# tasks of a small job start without a recall. With one of 8 instances
# busy, 11 % of a limit of 800 stays unused; with a quarter it was 22 %.
_FLOOR_PART = 8

RECALL_INTERVAL_S = 0.25


def loan(
    known: _records.CustomerShare,
    borrower: str,
    request: codec.ShareRequest,
    now_s: float,
    message_id: int,
) -> _records.Loan:
    version = known.contract.version
    lifetime_s = _records.GRANT_TTL_S + _records.LENDER_MARGIN_S
    known.wants = {
        name: want
        for name, want in known.wants.items()
        if now_s - want.asked_at_s < _WANT_MEMORY_S
    }
    loans = known.loans.get(borrower, [])
    last = known.wants.get(borrower)
    if last is not None and message_id <= last.message_id:
        for loan in loans:
            if loan.message_id == message_id:
                return loan
        return _records.Loan(message_id, version, _records.NOTHING, now_s)
    wanted = _records.Amounts(
        request.in_flight, request.starts_per_s, request.burst
    ).capped(known.limits[known.contract.version])
    known.wants[borrower] = _records.Want(message_id, wanted, now_s)
    amounts = spare(known, borrower, now_s).capped(wanted)
    new = _records.Loan(
        message_id,
        version,
        amounts,
        now_s + lifetime_s,
        n_tokens=amounts.burst,
    )
    if amounts == _records.NOTHING:
        return new
    # The borrower may not get this grant and hold an older one on.
    known.loans[borrower] = [
        old for old in loans if old.amounts.capped(amounts) != old.amounts
    ] + [new]
    known.tokens -= amounts.burst
    _state.resum(known)
    return new


def spare(
    known: _records.CustomerShare, borrower: str, now_s: float
) -> _records.Amounts:
    """Return what may be lent to one of the peers that are short."""
    starts = known.demand.starts_per_s(now_s)
    floor = kept_back(known.own)
    pool = _records.Amounts(
        known.own.in_flight - max(floor.in_flight, known.demand.peak(now_s)),
        known.own.starts_per_s - max(floor.starts_per_s, starts),
        math.floor(known.tokens - max(floor.burst, starts)),
    )
    wanted = _records.total(
        want.amounts for name, want in known.wants.items() if name != borrower
    )
    held = _records.total(
        _records.largest(loan.amounts for loan in loans)
        for name, loans in known.loans.items()
        if name != borrower
    )
    # The bucket may hold tokens of borrowed share, which are not lent on.
    own_burst = known.own.burst - floor.burst - held.burst
    pool = pool._replace(burst=min(pool.burst, own_burst))
    # Tokens handed over are out of the bucket already.
    held = held._replace(burst=0)
    n_short = len(known.wants)
    in_flight, rate, burst = (
        min(max(part / n_short, part - others), part - taken)
        for part, others, taken in zip(pool, wanted, held)
    )
    return _records.Amounts(math.floor(in_flight), rate, math.floor(burst))


def kept_back(own: _records.Amounts) -> _records.Amounts:
    """Return the part of the own share that is never lent.

    A share of one is lent whole: otherwise a limit of at most one task
    an instance could not be used by one busy instance.
    """
    return _records.Amounts(
        math.ceil(own.in_flight / _FLOOR_PART) if own.in_flight > 1 else 0,
        own.starts_per_s / _FLOOR_PART,
        math.ceil(own.burst / _FLOOR_PART) if own.burst > 1 else 0,
    )


def recalls(
    known: _records.CustomerShare, n_waiting: int, now_s: float
) -> list[tuple[str, int, codec.ShareRecall]]:
    """Return recalls of the share that this lender lacks.

    :returns: borrower, id of its newest grant, and the recall
    """
    if not known.loans or now_s < known.next_recall_at_s:
        return []
    want = _borrowing.missing(known, n_waiting, now_s)
    short = _records.Amounts(
        want.in_flight - known.borrowed.in_flight,
        want.starts_per_s - known.borrowed.starts_per_s,
        want.burst - known.borrowed.burst,
    ).capped(known.lent)
    if short == _records.NOTHING:
        return []
    known.next_recall_at_s = now_s + RECALL_INTERVAL_S
    told = []
    for borrower, loans in known.loans.items():
        held = _records.largest(loan.amounts for loan in loans)
        # Every borrower gives back the same part of its loan.
        in_flight, rate, burst = (
            amount * (1 - lacking / lent) if lent else 0
            for amount, lacking, lent in zip(held, short, known.lent)
        )
        keep = _records.Amounts(math.floor(in_flight), rate, math.floor(burst))
        if keep != held:
            told.append(
                (
                    borrower,
                    loans[-1].message_id,
                    codec.ShareRecall(known.contract.customer, *keep),
                )
            )
    return told


def returned(
    known: _records.CustomerShare,
    borrower: str,
    answer: codec.ShareReturn,
    message_id: int,
) -> None:
    """Add back what a borrower no longer holds of a loan.

    A borrower that holds a grant never takes an older one, so that the
    older loans to it end too.
    """
    loans = known.loans.get(borrower, [])
    told = next((x for x in loans if x.message_id == message_id), None)
    if told is None:
        return
    older = [loan for loan in loans if loan.message_id <= message_id]
    kept = _records.Amounts(
        answer.in_flight, answer.starts_per_s, answer.burst
    ).capped(_records.largest(loan.amounts for loan in older))
    n_tokens = min(answer.n_tokens, told.n_tokens)
    n_new_tokens = max(0, n_tokens - told.n_tokens_returned)
    changed = told._replace(
        amounts=kept,
        n_tokens_returned=told.n_tokens_returned + n_new_tokens,
    )
    left = [loan for loan in loans if loan not in older]
    if kept != _records.NOTHING:
        left.insert(0, changed)
    if left:
        known.loans[borrower] = left
    else:
        del known.loans[borrower]
    _state.resum(known)
    known.tokens = min(known.bucket_size(), known.tokens + n_new_tokens)
