import math

from orioleloom.limits import _records


def advance(share: _records.CustomerShare, now_s: float) -> None:
    """Refill tokens and expire grants and loans up to a time."""
    while share.next_expiry_s <= now_s:
        refill_tokens(share, share.next_expiry_s)
        drop_expired(share)
    refill_tokens(share, now_s)
    if share.has_recalled_grant:
        release_recalled(share)


def refill_tokens(share: _records.CustomerShare, now_s: float) -> None:
    if now_s <= share.updated_at_s:
        return
    elapsed_s = now_s - share.updated_at_s
    share.updated_at_s = now_s
    share.tokens = min(
        share.bucket_size(),
        share.tokens + elapsed_s * share.usable.starts_per_s,
    )


def drop_expired(share: _records.CustomerShare) -> None:
    now_s = share.updated_at_s
    share.grants = {
        lender: grant
        for lender, grant in share.grants.items()
        if grant.expires_at_s > now_s
    }
    share.loans = {
        borrower: unexpired
        for borrower, loans in share.loans.items()
        if (unexpired := [loan for loan in loans if loan.expires_at_s > now_s])
    }
    update_totals(share)


def update_totals(share: _records.CustomerShare) -> None:
    """Recompute the totals and the next expiry from grants and loans."""
    if not share.grants and not share.loans:
        # Fast path: most customers have no grants and no loans, and a
        # change of the member list calls this for every customer.
        share.borrowed = share.lent = _records.ZERO_AMOUNTS
        share.usable = share.own
        share.tokens = min(share.tokens, share.bucket_size())
        share.next_expiry_s = math.inf
        return
    share.borrowed = _records.sum_amounts(
        scaled(share, grant) for grant in share.grants.values()
    )
    share.lent = _records.sum_amounts(
        _records.elementwise_max(loan.amounts for loan in loans)
        for loans in share.loans.values()
    )
    share.usable = _records.sum_amounts([share.unlent(), share.borrowed])
    share.tokens = min(share.tokens, share.bucket_size())
    ends = [grant.expires_at_s for grant in share.grants.values()]
    for loans in share.loans.values():
        ends.extend(loan.expires_at_s for loan in loans)
    share.next_expiry_s = min(ends, default=math.inf)


def scaled(
    share: _records.CustomerShare, grant: _records.Grant
) -> _records.Amounts:
    """Return the amounts of a grant under the contract in force.

    A grant of an older version is scaled down in proportion to the
    limits; it is never scaled up.
    """
    version = share.contract.version
    if grant.version >= version:
        return grant.amounts
    new = share.limits[version]
    old = share.limits.get(grant.version)
    if old is None:
        # This instance skipped the grant's contract version, so it does
        # not know the limits to scale by.
        return _records.ZERO_AMOUNTS
    return _records.Amounts(
        grant.amounts.in_flight * new.in_flight // max(1, old.in_flight),
        grant.amounts.starts_per_s
        * (new.starts_per_s / old.starts_per_s if old.starts_per_s else 0),
        grant.amounts.burst * new.burst // max(1, old.burst),
    ).capped(grant.amounts)


def release_recalled(share: _records.CustomerShare) -> None:
    """Stop using recalled share, except what running tasks occupy."""
    share.has_recalled_grant = False
    for lender, grant in list(share.grants.items()):
        if grant.max_retained is None:
            continue
        share.has_recalled_grant = True
        amounts = scaled(share, grant)
        n_free = max(0, share.usable.in_flight - share.n_running)
        kept = amounts.capped(grant.max_retained)
        kept = kept._replace(
            in_flight=max(kept.in_flight, amounts.in_flight - n_free)
        )
        if kept == amounts:
            n_excess_tasks = max(0, share.n_running - share.usable.in_flight)
            if n_excess_tasks < grant.n_excess_tasks:
                share.grants[lender] = grant._replace(is_return_due=True)
            continue
        # Tokens are returned in proportion to the returned bucket size.
        n_tokens = math.floor(
            max(0.0, share.tokens)
            * (amounts.burst - kept.burst)
            / share.bucket_size()
        )
        share.tokens -= n_tokens
        share.grants[lender] = grant._replace(
            version=max(grant.version, share.contract.version),
            amounts=kept,
            n_tokens_returned=grant.n_tokens_returned + n_tokens,
            is_return_due=True,
        )
        update_totals(share)
