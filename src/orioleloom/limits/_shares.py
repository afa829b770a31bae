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
_MAX_REQUEST_INTERVAL_S = 10.0

# Instances that ran out together must not ask at the same moments.
_INTERVAL_JITTER = 0.1

# Bounds the messages of one exchange in a fleet of any size.
MAX_PEERS_ASKED = 8

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
    shares of the instances that one list has and another has not, and
    only for the time that the lists differ. While contract versions
    differ, the sum is at most the largest limit among them; a grant of
    an older, higher version is scaled down as soon as the borrower
    knows the new one and ends within 5 s in any case. Running tasks are
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
        known.limits[contract.version] = (
            contract.in_flight,
            contract.starts_per_s,
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
        return max(0, min(known.share() - known.n_running, int(known.tokens)))

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
        known.tokens = min(known.bucket_size, known.tokens + 1)
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
        if known.share() <= known.n_running:
            # The end of a loan gives share back without an event.
            return known.next_end_s if known.lent else None
        if known.tokens >= 1:
            return now_s
        rate = known.rate()
        if rate <= 0:
            return known.next_end_s if known.lent_rate else None
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
        demand = known.n_running + n_waiting
        known.demand.note(demand, 0, now_s)
        n_peers = self._n_entries - (0 if self._rank is None else 1)
        limit = known.contract.in_flight
        want = min(demand, limit) - max(0, known.own - known.lent)
        want_rate = self._rate_shortage(known, n_waiting, now_s)
        if n_peers < 1 or (want <= 0 and want_rate <= 0):
            known.ask_factor = 0
            known.interval_s = REQUEST_INTERVAL_S
            return None
        if now_s < known.next_request_at_s:
            return None
        self._plan_request(known, now_s)
        want = max(0, want)
        want_rate = max(0.0, want_rate)
        factor = known.ask_factor
        even_share = max(1.0, limit / self._n_entries)
        even_rate = known.contract.starts_per_s / self._n_entries
        n_to_ask = math.ceil(factor * want / even_share)
        if want_rate > 0:
            n_to_ask = max(n_to_ask, math.ceil(factor * want_rate / even_rate))
        n_to_ask = max(1, min(n_to_ask, n_peers, MAX_PEERS_ASKED))
        request = codec.ShareRequest(
            customer,
            known.contract.version,
            min(want, math.ceil(factor * want / n_to_ask)),
            min(want_rate, factor * want_rate / n_to_ask),
        )
        known.n_to_ask = n_to_ask
        known.wants_in_flight = want > 0
        known.last_message_id = max(known.last_message_id, message_id)
        known.sent[message_id] = _records.Sent(
            now_s, request.in_flight, request.starts_per_s
        )
        return request

    def peers_to_ask(
        self,
        customer: str,
        peer_ids: collections.abc.Sequence[str],
        now_s: float,
    ) -> list[str]:
        """Choose the peers that get the request of :meth:`shortage`.

        Peers that lend to this instance come first. Peers whose rank
        has no share, and peers that are short themselves, are left out.

        :param peer_ids: the other listed entry instances, sorted by id
        """
        known = self._customers[customer]
        lenders = []
        others = []
        for index, peer_id in enumerate(peer_ids):
            grant = known.grants.get(peer_id)
            if grant is not None and grant.in_flight + grant.starts_per_s > 0:
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
            if (
                want is not None
                and now_s - want.asked_at_s < REQUEST_INTERVAL_S
            ):
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
            known.contract.version,
            loan.in_flight,
            loan.starts_per_s,
            int(GRANT_TTL_S * 1000),
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
        known.grants[lender] = _records.Grant(
            message_id,
            grant.contract_version,
            max(0, min(grant.in_flight, sent.in_flight)),
            max(0.0, min(grant.starts_per_s, sent.starts_per_s)),
            ends_at_s,
        )
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
                    known.last_message_id, 0, 0, 0.0, now_s + GRANT_TTL_S
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
                'own': known.own,
                'lent': known.lent,
                'borrowed': known.borrowed,
                'running': known.n_running,
                'starts_per_s': round(known.rate(), 3),
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
            known.bucket_size, known.tokens + elapsed_s * known.rate()
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
        known.borrowed = 0
        known.borrowed_rate = 0.0
        ends = []
        for grant in known.grants.values():
            in_flight, rate = self._scaled(known, grant)
            known.borrowed += in_flight
            known.borrowed_rate += rate
            ends.append(grant.ends_at_s)
        known.lent = 0
        known.lent_rate = 0.0
        for loans in known.loans.values():
            known.lent += max(loan.in_flight for loan in loans)
            known.lent_rate += max(loan.starts_per_s for loan in loans)
            ends.extend(loan.ends_at_s for loan in loans)
        known.next_end_s = min(ends, default=math.inf)

    @staticmethod
    def _scaled(
        known: _records.CustomerShare, grant: _records.Grant
    ) -> tuple[int, float]:
        contract = known.contract
        if grant.version >= contract.version:
            return grant.in_flight, grant.starts_per_s
        old_limit, old_rate = known.limits.get(grant.version, (0, 0.0))
        in_flight = 0
        rate = 0.0
        if old_limit > 0:
            in_flight = min(
                grant.in_flight,
                grant.in_flight * contract.in_flight // old_limit,
            )
        if old_rate > 0:
            rate = grant.starts_per_s * min(
                1.0, contract.starts_per_s / old_rate
            )
        return in_flight, rate

    def _resize(self, known: _records.CustomerShare) -> None:
        contract = known.contract
        known.own = integer_share(
            contract.in_flight, self._rank, self._n_entries
        )
        known.own_rate = 0.0
        if self._rank is not None and self._n_entries:
            known.own_rate = contract.starts_per_s / self._n_entries
        # A bucket of less than one token would never allow a start.
        known.bucket_size = max(
            1, integer_share(contract.burst, self._rank, self._n_entries)
        )
        if not known.bucket_filled_once and known.own_rate > 0:
            known.bucket_filled_once = True
            known.tokens = known.bucket_size
        known.tokens = min(known.tokens, known.bucket_size)
        self._resum(known)

    def _rate_shortage(
        self, known: _records.CustomerShare, n_waiting: int, now_s: float
    ) -> float:
        if known.tokens >= max(1, known.bucket_size / 2):
            return 0.0
        needed = known.demand.starts_per_s(now_s) + max(
            0, n_waiting - max(0.0, known.tokens)
        )
        needed = min(needed, known.contract.starts_per_s)
        return needed - max(0.0, known.own_rate - known.lent_rate)

    def _plan_request(
        self, known: _records.CustomerShare, now_s: float
    ) -> None:
        last = known.sent.get(known.last_message_id)
        if known.ask_factor == 0 or last is None:
            known.ask_factor = _FIRST_ASK_FACTOR
            known.interval_s = REQUEST_INTERVAL_S
        elif known.borrowed == 0 and known.borrowed_rate == 0:
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
        nothing = _records.Loan(message_id, 0, 0.0, now_s)
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
            return nothing
        known.wants[borrower] = _records.Want(
            message_id,
            max(0, request.in_flight),
            max(0.0, request.starts_per_s),
            now_s,
        )
        in_flight = int(
            self._spare(
                known,
                borrower,
                'in_flight',
                known.own - known.demand.peak(now_s),
            )
        )
        rate = self._spare(
            known,
            borrower,
            'starts_per_s',
            known.own_rate - known.demand.starts_per_s(now_s),
        )
        if in_flight == 0 and rate == 0:
            return nothing
        loan = _records.Loan(message_id, in_flight, rate, now_s + lifetime_s)
        # The borrower may not get this grant and hold an older one on.
        known.loans[borrower] = [
            old
            for old in loans
            if old.in_flight > in_flight or old.starts_per_s > rate
        ] + [loan]
        self._resum(known)
        return loan

    @staticmethod
    def _spare(
        known: _records.CustomerShare,
        borrower: str,
        field: str,
        pool: float,
    ) -> float:
        wanted = getattr(known.wants[borrower], field)
        others_want = sum(
            getattr(want, field)
            for name, want in known.wants.items()
            if name != borrower
        )
        others_hold = sum(
            max(getattr(loan, field) for loan in loans)
            for name, loans in known.loans.items()
            if name != borrower
        )
        part = max(pool / len(known.wants), pool - others_want)
        return max(0, min(wanted, part, pool - others_hold))
