import collections.abc
import math
import random
import typing

from orioleloom import codec
from orioleloom.limits import _borrowing
from orioleloom.limits import _lending
from orioleloom.limits import _records
from orioleloom.limits import _state
from orioleloom import model

# Bounds the messages of one exchange in a fleet of any size.
MAX_PEERS_ASKED = 16

_MAX_VERSIONS_KEPT = 8


class LimitShares:
    """This instance's part of every customer's limits.

    The in-flight limit, the start rate and the burst of a contract are
    split evenly by rank. Unused share is lent to peers for 5 s, except
    an eighth of the own share. A lender that is short recalls its loans.

    *Safety.* A grant counts at the borrower until 5 s after its request
    was sent, and at the lender until 6 s after the request arrived, so
    the lender always counts longer, by at least the margin of 1 s. The
    borrower holds one grant of each lender, the one with the greatest
    message id; the lender subtracts the largest of the grants that the
    borrower may hold. So lost, repeated, reordered or late messages
    never make the sum of all shares exceed the limit while instances
    know the same contract and the same list. After a recall the borrower
    takes free share out of use first and then tells the lender what it
    still holds of the grant, by message id. That amount only falls, so
    the lender may apply such messages in any order and more than once; a
    lost one leaves the loan to its end.

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
        # Customers with a recalled grant.
        self._recalled: set[str] = set()
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
        _state.advance(known, now_s)
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
            _state.advance(customer, now_s)
        self._rank = rank
        self._n_entries = n_entries
        for customer in self._customers.values():
            self._resize(customer)

    def allowance(self, customer: str, now_s: float) -> int:
        """Return how many tasks may start now."""
        known = self._customers.get(customer)
        if known is None:
            return 0
        _state.advance(known, now_s)
        return max(
            0, min(known.usable.in_flight - known.n_running, int(known.tokens))
        )

    def start(self, customer: str, now_s: float) -> None:
        """Count the start of a task."""
        known = self._customers[customer]
        _state.advance(known, now_s)
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
        _state.advance(known, now_s)
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
        _state.advance(known, now_s)
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
        _state.advance(known, now_s)
        known.demand.note(known.n_running + n_waiting, 0, now_s)
        n_peers = self._n_entries - (0 if self._rank is None else 1)
        want = _borrowing.missing(known, n_waiting, now_s)
        if n_peers < 1 or want == _records.NOTHING:
            known.ask_factor = 0
            return None
        if now_s < known.next_request_at_s:
            return None
        n_to_ask = _borrowing.plan_request(
            known,
            want,
            n_waiting,
            now_s,
            n_entries=self._n_entries,
            random_state=self.random_state,
        )
        known.n_to_ask = min(n_to_ask, n_peers, MAX_PEERS_ASKED)
        known.wants_in_flight = want.in_flight > 0
        part = known.ask_factor / known.n_to_ask
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
        return _borrowing.peers_to_ask(
            self._customers[customer],
            peer_ids,
            now_s,
            rank=self._rank,
            n_entries=self._n_entries,
            random_state=self.random_state,
        )

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

        Kept back is the peak of the last 1 to 2 s, at least an eighth of
        the own share. When several peers
        are short, each may have an equal part, and what one leaves is
        open to the others.

        :param n_waiting: tasks queued here for the customer
        :param message_id: envelope id of the request
        """
        known = self._customers.get(request.customer)
        if known is None:
            return codec.ShareGrant(request.customer, 0, 0, 0.0, 0)
        _state.advance(known, now_s)
        known.demand.note(known.n_running + n_waiting, 0, now_s)
        loan = _lending.loan(known, borrower, request, now_s, message_id)
        return codec.ShareGrant(
            request.customer,
            loan.version,
            loan.amounts.in_flight,
            loan.amounts.starts_per_s,
            int(_records.GRANT_TTL_S * 1000),
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
        _state.advance(known, now_s)
        _borrowing.receive(known, lender, grant, now_s, message_id)

    def recalls(
        self, customer: str, n_waiting: int, now_s: float
    ) -> list[tuple[str, int, codec.ShareRecall]]:
        """Return recalls of lent share that this instance needs.

        Call it when a pass over the queue leaves tasks waiting on this
        customer's limits. Each borrower is told at most every 0.25 s.

        :param n_waiting: tasks queued here for the customer
        :returns: borrower, message id to send with, and the recall
        """
        known = self._customers.get(customer)
        if known is None:
            return []
        _state.advance(known, now_s)
        return _lending.recalls(known, n_waiting, now_s)

    def recalled(
        self,
        lender: str,
        recall: codec.ShareRecall,
        now_s: float,
        *,
        message_id: int,
    ) -> None:
        """Take a lender's recall in.

        From now on nothing starts on the recalled share; what is free
        goes back with the next :meth:`returns`, the rest as tasks end.

        :param message_id: envelope id, equal to that of the grant
        """
        known = self._customers.get(recall.customer)
        if known is None:
            return
        _state.advance(known, now_s)
        _borrowing.recalled(known, lender, recall, now_s, message_id)
        if known.recalled:
            self._recalled.add(recall.customer)

    def returns(
        self, now_s: float
    ) -> list[tuple[str, int, codec.ShareReturn]]:
        """Return what lenders must be told after recalls.

        :returns: lender, message id to send with, and the message
        """
        told = []
        for customer in list(self._recalled):
            known = self._customers[customer]
            _state.advance(known, now_s)
            told += _borrowing.returns(known, now_s)
            if not known.recalled:
                self._recalled.remove(customer)
        return told

    def returned(
        self,
        borrower: str,
        answer: codec.ShareReturn,
        now_s: float,
        *,
        message_id: int,
    ) -> None:
        """Add back share that a borrower no longer holds.

        :param message_id: envelope id, equal to that of the grant
        """
        known = self._customers.get(answer.customer)
        if known is None:
            return
        _state.advance(known, now_s)
        _lending.returned(known, borrower, answer, message_id)

    def running(self) -> list[str]:
        """Return the customers whose tasks run here."""
        return [
            name for name, known in self._customers.items() if known.n_running
        ]

    def expire(self, now_s: float) -> None:
        """Drop ended grants and loans of all customers.

        Every other method does so for its own customer.
        """
        for customer in self._customers.values():
            _state.advance(customer, now_s)

    def forget_peer(self, peer: str, now_s: float) -> None:
        """Drop the grants of a peer that the list no longer has.

        Its share moves to the instances on the list, so share borrowed
        from it would count twice. Loans to it end in their own time, as
        it may still run.
        """
        for known in self._customers.values():
            _state.advance(known, now_s)
            if known.last_message_id >= 0:
                # Keeps out grants of the peer that are still on the way.
                known.grants[peer] = _records.Grant(
                    known.last_message_id,
                    0,
                    _records.NOTHING,
                    now_s + _records.GRANT_TTL_S,
                )
            _state.resum(known)

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

    def _resize(self, known: _records.CustomerShare) -> None:
        contract = known.contract
        n_entries = self._n_entries
        rate = 0.0
        if self._rank is not None and n_entries:
            rate = contract.starts_per_s / n_entries
        known.own = _records.Amounts(
            _records.integer_share(contract.in_flight, self._rank, n_entries),
            rate,
            _records.integer_share(contract.burst, self._rank, n_entries),
        )
        _state.resum(known)
        if not known.bucket_filled_once and rate > 0:
            known.bucket_filled_once = True
            known.tokens = known.bucket_size()
