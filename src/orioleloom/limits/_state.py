import math

from orioleloom.limits import _records


def advance(known: _records.CustomerShare, now_s: float) -> None:
    """Bring tokens, grants and loans of a customer up to a time."""
    while known.next_end_s <= now_s:
        fill(known, known.next_end_s)
        drop_ended(known)
    fill(known, now_s)
    if known.recalled:
        give_back(known)


def fill(known: _records.CustomerShare, now_s: float) -> None:
    if now_s <= known.now_s:
        return
    elapsed_s = now_s - known.now_s
    known.now_s = now_s
    known.tokens = min(
        known.bucket_size(),
        known.tokens + elapsed_s * known.usable.starts_per_s,
    )


def drop_ended(known: _records.CustomerShare) -> None:
    now_s = known.now_s
    known.grants = {
        lender: grant
        for lender, grant in known.grants.items()
        if grant.ends_at_s > now_s
    }
    known.loans = {
        borrower: live
        for borrower, loans in known.loans.items()
        if (live := [loan for loan in loans if loan.ends_at_s > now_s])
    }
    resum(known)


def resum(known: _records.CustomerShare) -> None:
    """Derive sums and the next end from grants and loans."""
    if not known.grants and not known.loans:
        # The usual case, taken for every customer on a list change.
        known.borrowed = known.lent = _records.NOTHING
        known.usable = known.own
        known.tokens = min(known.tokens, known.bucket_size())
        known.next_end_s = math.inf
        return
    known.borrowed = _records.total(
        scaled(known, grant) for grant in known.grants.values()
    )
    known.lent = _records.total(
        _records.largest(loan.amounts for loan in loans)
        for loans in known.loans.values()
    )
    known.usable = _records.total([known.unlent(), known.borrowed])
    known.tokens = min(known.tokens, known.bucket_size())
    ends = [grant.ends_at_s for grant in known.grants.values()]
    for loans in known.loans.values():
        ends.extend(loan.ends_at_s for loan in loans)
    known.next_end_s = min(ends, default=math.inf)


def scaled(
    known: _records.CustomerShare, grant: _records.Grant
) -> _records.Amounts:
    """Return what a grant is worth under the contract in force.

    A grant of an older version shrinks with the limit.
    """
    version = known.contract.version
    if grant.version >= version:
        return grant.amounts
    new = known.limits[version]
    old = known.limits.get(grant.version)
    if old is None:
        # It came before this instance knew the lender's contract, and
        # that version was skipped: nothing says how far to scale.
        return _records.NOTHING
    return _records.Amounts(
        grant.amounts.in_flight * new.in_flight // max(1, old.in_flight),
        grant.amounts.starts_per_s
        * (new.starts_per_s / old.starts_per_s if old.starts_per_s else 0),
        grant.amounts.burst * new.burst // max(1, old.burst),
    ).capped(grant.amounts)


def give_back(known: _records.CustomerShare) -> None:
    """Take recalled share out of use as far as no task runs on it."""
    known.recalled = False
    for lender, grant in list(known.grants.items()):
        if grant.keep is None:
            continue
        known.recalled = True
        amounts = scaled(known, grant)
        n_free = max(0, known.usable.in_flight - known.n_running)
        kept = amounts.capped(grant.keep)
        kept = kept._replace(
            in_flight=max(kept.in_flight, amounts.in_flight - n_free)
        )
        if kept == amounts:
            n_over = max(0, known.n_running - known.usable.in_flight)
            if n_over < grant.n_over:
                known.grants[lender] = grant._replace(is_return_due=True)
            continue
        # Tokens go back in the proportion of the bucket that goes back.
        n_tokens = math.floor(
            max(0.0, known.tokens)
            * (amounts.burst - kept.burst)
            / known.bucket_size()
        )
        known.tokens -= n_tokens
        known.grants[lender] = grant._replace(
            version=max(grant.version, known.contract.version),
            amounts=kept,
            n_tokens_returned=grant.n_tokens_returned + n_tokens,
            is_return_due=True,
        )
        resum(known)
