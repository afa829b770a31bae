import collections.abc
import math
import random
import typing

from orioleloom import codec
from orioleloom.limits import _records
from orioleloom import model

GRANT_TTL_S = 5.0

# Covers the difference in clock rate of two machines over a grant.
LENDER_MARGIN_S = 1.0

# Half of a grant's life, so that a loan is renewed before it ends.
REQUEST_INTERVAL_S = 2.5

# Lenders remember a request for 6 s; one that got nothing must be
# repeated within that time, or its sender's part goes to others.
_MAX_REQUEST_INTERVAL_S = 5.0

# Instances that ran out together must not ask at the same moments.
_INTERVAL_JITTER = 0.1

# Bounds the messages of one exchange in a fleet of any size.
MAX_PEERS_ASKED = 16

# Asking for more than is missing covers peers that lend less.
_FIRST_ASK_FACTOR = 2
_MAX_ASK_FACTOR = 16

_MAX_VERSIONS_KEPT = 8


def integer_share(total: int, rank: int | None, n_entries: int) -> int:
    """Return the share of ``total`` for one rank; shares sum to it."""
    if rank is None or n_entries < 1:
        return 0
    return total // n_entries + (1 if rank < total % n_entries else 0)


class LimitShares:
    """This instance's part of every customer's limits.

    The in-flight limit, the start rate and the burst of a contract are
    split evenly by rank. Unused share is lent to peers for 5 s.

    *Safety.* A grant counts at the borrower until 5 s after its request
    was sent, and at the lender until 6 s after the request arrived, so
    the lender always counts longer, by at least the margin of 1 s. The
    borrower holds one grant of each lender, the one with the greatest
    message id; the lender subtracts the largest of the grants that the
    borrower may hold. So lost, repeated, reordered or late messages
    never make the sum of all shares exceed the limit while instances
    know the same contract and the same list.

    *Bound.* When lists differ, the sum exceeds the limit by at most the
    shares of the instances that one list has and another has not, for
    at most as long as the lists differed. While contract versions
    differ, the sum is at most the largest limit that an instance has in
    force or had within the last 5 s. A grant of an older version is
    scaled down as soon as the borrower knows a lower limit, and ends
    within 5 s in any case. Running tasks are
    not stopped: a task that runs on after the share under which it
    started has moved is not counted by this bound. The start rate has
    the same bound; each instance may add one start to the burst, as
    its bucket holds at least one token.

    What the caller provides: ``message_id`` grows with each request of
    this instance and starts at a random number of at least 48 bits, so
    that a restarted instance does not take a grant of its former life;
    a grant is sent with the id of its request. Peers are named by
    instance id.

    :param random_state: spreads requests over time and over peers

    >>> shares = LimitShares(random_state=random.Random(1))
    >>> shares.set_rank(0, 2, now_s=0.0)
    >>> shares.set_contract(
    ...     model.Contract('acme', 1, 9, 100.0, 20, ('gpu',)), now_s=0.0)
    >>> shares.allowance('acme', now_s=0.0)
    5
    """

    def __init__(self, *, random_state: random.Random):
        self.random_state = random_state
        self._customers: dict[str, _records.CustomerShare] = {}
        self._rank: int | None = None
        self._n_entries = 0

    def set_contract(self, contract: model.Contract, now_s: float) -> None:
        """Put a contract in force; an older version is ignored."""
        known = self._customers.get(contract.customer)
        if known is None:
            known = _records.CustomerShare(contract, now_s)
            self._customers[contract.customer] = known
        elif contract.version < known.contract.version:
            return
        self._advance(known, now_s)
        known.contract = contract
        known.limits[contract.version] = _records.Amounts(
            contract.in_flight,
            contract.starts_per_s,
            contract.burst,
        )
        while len(known.limits) > _MAX_VERSIONS_KEPT:
            del known.limits[min(known.limits)]
        self._resize(known)

    def set_rank(self, rank: int | None, n_entries: int, now_s: float) -> None:
        """Set the position that determines this instance's own shares.

        :param rank: ``None`` means no own share, only borrowed share
        """
        if (rank, n_entries) == (self._rank, self._n_entries):
            return
        for customer in self._customers.values():
            self._advance(customer, now_s)
        self._rank = rank
        self._n_entries = n_entries
        for customer in self._customers.values():
            self._resize(customer)

    def allowance(self, customer: str, now_s: float) -> int:
        """Return how many tasks may start now."""
        known = self._customers.get(customer)
        if known is None:
            return 0
        self._advance(known, now_s)
        return max(
            0, min(known.usable.in_flight - known.n_running, int(known.tokens))
        )

    def start(self, customer: str, now_s: float) -> None:
        """Count the start of a task."""
        known = self._customers[customer]
        self._advance(known, now_s)
        known.n_running += 1
        known.tokens -= 1
        known.demand.note(known.n_running, 1, now_s)

    def finish(self, customer: str, now_s: float) -> None:
        """Count the end of a started task."""
        known = self._customers[customer]
        known.n_running = max(0, known.n_running - 1)

    def refund(self, customer: str, now_s: float) -> None:
        """Take back the start of a task that a worker rejected."""
        known = self._customers[customer]
        self._advance(known, now_s)
        known.n_running = max(0, known.n_running - 1)
        known.tokens = min(known.bucket_size(), known.tokens + 1)
        known.demand.note(known.n_running, -1, now_s)

    def next_allowance_at_s(self, customer: str, now_s: float) -> float | None:
        """Return when time alone will allow the next start.

        :returns: ``now_s`` when a start is allowed now; ``None`` when
            it takes an event: the end of a task, a grant or a contract
        """
        known = self._customers.get(customer)
        if known is None:
            return None
        self._advance(known, now_s)
        if known.usable.in_flight <= known.n_running:
            # The end of a loan gives share back without an event.
            return known.next_end_s if known.lent.in_flight else None
        if known.tokens >= 1:
            return now_s
        rate = known.usable.starts_per_s
        if rate <= 0:
            return known.next_end_s if known.lent.starts_per_s else None
        return now_s + (1 - known.tokens) / rate

    def shortage(
        self,
        customer: str,
        n_waiting: int,
        now_s: float,
        *,
        message_id: int,
    ) -> codec.ShareRequest | None:
        """Return a request for peers when the own share is too small.

        Call it when a pass over the queue leaves tasks waiting, and
        every 0.5 s or so while tasks run. The request goes to
        :meth:`peers_to_ask` at ``now_s``.

        :param n_waiting: tasks queued here for the customer
        :param message_id: envelope id of the request to every peer
        :returns: the request, at most one every 2.5 s for a customer;
            ``None`` when the own share suffices or no peer can help
        """
        known = self._customers.get(customer)
        if known is None:
            return None
        self._advance(known, now_s)
        known.demand.note(known.n_running + n_waiting, 0, now_s)
        n_peers = self._n_entries - (0 if self._rank is None else 1)
        want = self._missing(known, n_waiting, now_s)
        if n_peers < 1 or want == _records.NOTHING:
            known.ask_factor = 0
            return None
        if now_s < known.next_request_at_s:
            return None
        self._plan_request(known, now_s)
        factor = known.ask_factor
        n_to_ask = 1
        for amount, limit in zip(want, known.limits[known.contract.version]):
            if amount > 0:
                even = max(1.0, limit / self._n_entries)
                n_to_ask = max(n_to_ask, math.ceil(factor * amount / even))
        known.n_to_ask = min(n_to_ask, n_peers, MAX_PEERS_ASKED)
        known.wants_in_flight = want.in_flight > 0
        part = factor / known.n_to_ask
        amounts = _records.Amounts(
            math.ceil(want.in_flight * part),
            want.starts_per_s * part,
            math.ceil(want.burst * part),
        ).capped(want)
        known.last_message_id = max(known.last_message_id, message_id)
        known.sent[message_id] = _records.Sent(now_s, amounts)
        return codec.ShareRequest(customer, known.contract.version, *amounts)

    def peers_to_ask(
        self,
        customer: str,
        peer_ids: collections.abc.Sequence[str],
        now_s: float,
    ) -> list[str]:
        """Choose the peers that get the request of :meth:`shortage`.

        Peers that lend to this instance come first. Left out are peers
        whose rank has no share, peers that had nothing to lend and
        peers that were short themselves within the last 5 s.

        :param peer_ids: the other listed entry instances, sorted by id
        """
        known = self._customers[customer]
        lenders = []
        others = []
        for index, peer_id in enumerate(peer_ids):
            grant = known.grants.get(peer_id)
            if grant is not None:
                if grant.amounts != _records.NOTHING:
                    lenders.append(peer_id)
                continue
            rank = index
            if self._rank is not None and index >= self._rank:
                rank += 1
            if known.wants_in_flight and not integer_share(
                known.contract.in_flight, rank, self._n_entries
            ):
                continue
            want = known.wants.get(peer_id)
            if want is not None and now_s - want.asked_at_s < GRANT_TTL_S:
                continue
            others.append(peer_id)
        self.random_state.shuffle(others)
        return (lenders + others)[: known.n_to_ask]

    def lend(
        self,
        borrower: str,
        request: codec.ShareRequest,
        n_waiting: int,
        now_s: float,
        *,
        message_id: int,
    ) -> codec.ShareGrant:
        """Answer a peer's request with what this instance can spare.

        Kept back is the peak of the last 1 to 2 s. When several peers
        are short, each may have an equal part, and what one leaves is
        open to the others.

        :param n_waiting: tasks queued here for the customer
        :param message_id: envelope id of the request
        """
        known = self._customers.get(request.customer)
        if known is None:
            return codec.ShareGrant(request.customer, 0, 0, 0.0, 0)
        self._advance(known, now_s)
        known.demand.note(known.n_running + n_waiting, 0, now_s)
        loan = self._loan(known, borrower, request, now_s, message_id)
        return codec.ShareGrant(
            request.customer,
            loan.version,
            loan.amounts.in_flight,
            loan.amounts.starts_per_s,
            int(GRANT_TTL_S * 1000),
            loan.amounts.burst,
        )

    def receive(
        self,
        lender: str,
        grant: codec.ShareGrant,
        now_s: float,
        *,
        message_id: int,
    ) -> None:
        """Take a peer's grant in.

        Ignored are grants that answer no request of the last 5 s, and
        grants no newer than the one held from the same lender.

        :param message_id: envelope id, equal to that of the request
        """
        known = self._customers.get(grant.customer)
        if known is None:
            return
        self._advance(known, now_s)
        sent = known.sent.get(message_id)
        held = known.grants.get(lender)
        if sent is None or (held and message_id <= held.message_id):
            return
        ends_at_s = sent.sent_at_s + min(grant.ttl_ms / 1000, GRANT_TTL_S)
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
        known.tokens += self._scaled(known, accepted).burst
        self._resum(known)

    def expire(self, now_s: float) -> None:
        """Drop ended grants and loans of all customers.

        Every other method does so for its own customer.
        """
        for customer in self._customers.values():
            self._advance(customer, now_s)

    def forget_peer(self, peer: str, now_s: float) -> None:
        """Drop the grants of a peer that the list no longer has.

        Its share moves to the instances on the list, so share borrowed
        from it would count twice. Loans to it end in their own time, as
        it may still run.
        """
        for known in self._customers.values():
            self._advance(known, now_s)
            if known.last_message_id >= 0:
                # Keeps out grants of the peer that are still on the way.
                known.grants[peer] = _records.Grant(
                    known.last_message_id,
                    0,
                    _records.NOTHING,
                    now_s + GRANT_TTL_S,
                )
            self._resum(known)

    def n_running(self, customer: str) -> int:
        """Return the started tasks that have not ended."""
        known = self._customers.get(customer)
        return 0 if known is None else known.n_running

    def usage(self) -> dict[str, dict[str, typing.Any]]:
        """Return shares and use by customer, for the state dump."""
        return {
            name: {
                'version': known.contract.version,
                'in_flight_limit': known.contract.in_flight,
                'own': known.own.in_flight,
                'lent': known.lent.in_flight,
                'borrowed': known.borrowed.in_flight,
                'running': known.n_running,
                'starts_per_s': round(known.usable.starts_per_s, 3),
                'tokens': round(known.tokens, 3),
            }
            for name, known in self._customers.items()
        }

    def _advance(self, known: _records.CustomerShare, now_s: float) -> None:
        while known.next_end_s <= now_s:
            self._fill(known, known.next_end_s)
            self._drop_ended(known)
        self._fill(known, now_s)

    def _fill(self, known: _records.CustomerShare, now_s: float) -> None:
        if now_s <= known.now_s:
            return
        elapsed_s = now_s - known.now_s
        known.now_s = now_s
        known.tokens = min(
            known.bucket_size(),
            known.tokens + elapsed_s * known.usable.starts_per_s,
        )

    def _drop_ended(self, known: _records.CustomerShare) -> None:
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
        self._resum(known)

    def _resum(self, known: _records.CustomerShare) -> None:
        known.borrowed = _records.total(
            self._scaled(known, grant) for grant in known.grants.values()
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

    @staticmethod
    def _scaled(
        known: _records.CustomerShare, grant: _records.Grant
    ) -> _records.Amounts:
        # A grant of an older version shrinks with the limit.
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

    def _resize(self, known: _records.CustomerShare) -> None:
        contract = known.contract
        n_entries = self._n_entries
        rate = 0.0
        if self._rank is not None and n_entries:
            rate = contract.starts_per_s / n_entries
        known.own = _records.Amounts(
            integer_share(contract.in_flight, self._rank, n_entries),
            rate,
            integer_share(contract.burst, self._rank, n_entries),
        )
        self._resum(known)
        if not known.bucket_filled_once and rate > 0:
            known.bucket_filled_once = True
            known.tokens = known.bucket_size()

    def _missing(
        self, known: _records.CustomerShare, n_waiting: int, now_s: float
    ) -> _records.Amounts:
        """Return what the unlent own share lacks for the demand."""
        contract = known.contract
        unlent = known.unlent()
        in_flight = (
            min(known.n_running + n_waiting, contract.in_flight)
            - unlent.in_flight
        )
        rate = 0.0
        burst = 0
        n_startable = min(n_waiting, contract.in_flight)
        if known.tokens < max(1, n_startable, known.bucket_size() / 2):
            n_late = max(0, n_startable - max(0, int(known.tokens)))
            rate = known.demand.starts_per_s(now_s) + n_late
            rate = min(rate, contract.starts_per_s) - unlent.starts_per_s
            burst = min(n_late, contract.burst - unlent.burst)
        return _records.Amounts(
            max(0, in_flight), max(0.0, rate), max(0, burst)
        )

    def _plan_request(
        self, known: _records.CustomerShare, now_s: float
    ) -> None:
        last = known.sent.get(known.last_message_id)
        if known.ask_factor == 0 or last is None:
            known.ask_factor = _FIRST_ASK_FACTOR
            known.interval_s = REQUEST_INTERVAL_S
        elif known.borrowed == _records.NOTHING:
            known.interval_s = min(
                _MAX_REQUEST_INTERVAL_S, 2 * known.interval_s
            )
            known.ask_factor = min(_MAX_ASK_FACTOR, 2 * known.ask_factor)
        else:
            known.interval_s = REQUEST_INTERVAL_S
            known.ask_factor = min(_MAX_ASK_FACTOR, 2 * known.ask_factor)
        jitter = 1 + _INTERVAL_JITTER * self.random_state.random()
        known.next_request_at_s = now_s + known.interval_s * jitter
        known.sent = {
            message_id: sent
            for message_id, sent in known.sent.items()
            if now_s - sent.sent_at_s < GRANT_TTL_S
        }

    def _loan(
        self,
        known: _records.CustomerShare,
        borrower: str,
        request: codec.ShareRequest,
        now_s: float,
        message_id: int,
    ) -> _records.Loan:
        version = known.contract.version
        lifetime_s = GRANT_TTL_S + LENDER_MARGIN_S
        known.wants = {
            name: want
            for name, want in known.wants.items()
            if now_s - want.asked_at_s < lifetime_s
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
        amounts = self._spare(known, borrower, now_s).capped(wanted)
        loan = _records.Loan(message_id, version, amounts, now_s + lifetime_s)
        if amounts == _records.NOTHING:
            return loan
        # The borrower may not get this grant and hold an older one on.
        known.loans[borrower] = [
            old for old in loans if old.amounts.capped(amounts) != old.amounts
        ] + [loan]
        known.tokens -= amounts.burst
        self._resum(known)
        return loan

    @staticmethod
    def _spare(
        known: _records.CustomerShare, borrower: str, now_s: float
    ) -> _records.Amounts:
        """Return what may be lent to one of the peers that are short."""
        starts = known.demand.starts_per_s(now_s)
        pool = _records.Amounts(
            known.own.in_flight - known.demand.peak(now_s),
            known.own.starts_per_s - starts,
            math.floor(known.tokens - starts),
        )
        wanted = _records.total(
            want.amounts
            for name, want in known.wants.items()
            if name != borrower
        )
        held = _records.total(
            _records.largest(loan.amounts for loan in loans)
            for name, loans in known.loans.items()
            if name != borrower
        )
        # Tokens handed over are out of the bucket already.
        held = held._replace(burst=0)
        n_short = len(known.wants)
        in_flight, rate, burst = (
            min(max(part / n_short, part - others), part - taken)
            for part, others, taken in zip(pool, wanted, held)
        )
        return _records.Amounts(math.floor(in_flight), rate, math.floor(burst))
