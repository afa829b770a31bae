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

# Bounds the messages per request regardless of the number of instances.
MAX_PEERS_ASKED = 16

_MAX_VERSIONS_KEPT = 8


class LimitShares:
    """This instance's share of every customer's limits.

    The in-flight limit, the start rate and the burst of a contract are
    divided evenly among the listed instances, by rank. An instance
    lends unused share to peers for 5 s at a time, but keeps at least an
    eighth of its own share, unless that share is a single task. A lender
    that runs short recalls its loans.

    *Safety.* The borrower uses a grant until 5 s after it sent the
    request; the lender counts the loan until 6 s after the request
    arrived. So the lender's period ends later, by at least the margin
    of 1 s. The borrower holds one grant per lender, the one with the
    greatest message id; the lender subtracts the largest of the grants
    that the borrower may hold. Lost, repeated, reordered or late
    messages therefore never make the sum of all shares exceed the limit
    while the instances know the same contract and the same member list.
    After a recall the borrower first stops using the free part of the
    grant and then reports to the lender what it still holds, by message
    id. That amount only decreases, so the lender may apply the reports
    in any order and more than once. If one is lost, the loan counts
    until it expires.

    *Bound.* When member lists differ, the sum exceeds the limit by at
    most the shares of the instances that are on some lists only, for at
    most as long as the lists differ. While contract versions differ,
    the sum is at most the largest limit that an instance has in force
    or had in force within the last 5 s. A grant of an older version is
    scaled down as soon as the borrower knows a lower limit, and expires
    within 5 s in any case. Running tasks are not stopped: a task that
    is still running after the share it started under has moved is not
    counted by this bound. The start rate has the same bound; each
    instance may add one start to the burst, as its bucket holds at
    least one token.

    *Requirements on the caller.* ``message_id`` increases with each
    request of this instance and starts at a random number of at least
    48 bits, so that a restarted instance does not accept a grant meant
    for its previous process. A grant is sent with the message id of its
    request. Peers are identified by instance id.

    :param random_state: source of the request jitter and of the choice
        of peers

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
        self._customers_with_recalls: set[str] = set()
        self._rank: int | None = None
        self._n_entries = 0

    def set_contract(self, contract: model.Contract, now_s: float) -> None:
        """Apply a contract; a version older than the known one is ignored."""
        share = self._customers.get(contract.customer)
        if share is None:
            share = _records.CustomerShare(contract, now_s)
            self._customers[contract.customer] = share
        elif contract.version < share.contract.version:
            return
        _state.advance(share, now_s)
        share.contract = contract
        share.limits[contract.version] = _records.Amounts(
            contract.in_flight,
            contract.starts_per_s,
            contract.burst,
        )
        while len(share.limits) > _MAX_VERSIONS_KEPT:
            del share.limits[min(share.limits)]
        self._update_own_share(share)

    def set_rank(self, rank: int | None, n_entries: int, now_s: float) -> None:
        """Set the rank that determines this instance's own shares.

        :param rank: position in the member list; ``None`` means no own
            share, only borrowed share
        :param n_entries: number of instances that divide the limits
        """
        if (rank, n_entries) == (self._rank, self._n_entries):
            return
        for share in self._customers.values():
            _state.advance(share, now_s)
        self._rank = rank
        self._n_entries = n_entries
        for share in self._customers.values():
            self._update_own_share(share)

    def allowance(self, customer: str, now_s: float) -> int:
        """Return how many tasks may start now."""
        share = self._customers.get(customer)
        if share is None:
            return 0
        _state.advance(share, now_s)
        return max(
            0, min(share.usable.in_flight - share.n_running, int(share.tokens))
        )

    def start(self, customer: str, now_s: float) -> None:
        """Count the start of a task."""
        share = self._customers[customer]
        _state.advance(share, now_s)
        share.n_running += 1
        share.tokens -= 1
        share.demand.record(share.n_running, 1, now_s)

    def finish(self, customer: str, now_s: float) -> None:
        """Count the end of a started task."""
        share = self._customers[customer]
        share.n_running = max(0, share.n_running - 1)

    def refund(self, customer: str, now_s: float) -> None:
        """Take back the start of a task that a worker rejected."""
        share = self._customers[customer]
        _state.advance(share, now_s)
        share.n_running = max(0, share.n_running - 1)
        share.tokens = min(share.bucket_size(), share.tokens + 1)
        share.demand.record(share.n_running, -1, now_s)

    def next_allowance_at_s(self, customer: str, now_s: float) -> float | None:
        """Return the time at which the next start will be allowed.

        :returns: ``now_s`` when a start is allowed now; ``None`` when
            only an event can allow it: the end of a task, a grant or a
            contract
        """
        share = self._customers.get(customer)
        if share is None:
            return None
        _state.advance(share, now_s)
        if share.usable.in_flight <= share.n_running:
            # The share of an expired loan comes back without an event.
            return share.next_expiry_s if share.lent.in_flight else None
        if share.tokens >= 1:
            return now_s
        rate = share.usable.starts_per_s
        if rate <= 0:
            return share.next_expiry_s if share.lent.starts_per_s else None
        return now_s + (1 - share.tokens) / rate

    def make_share_request(
        self,
        customer: str,
        n_waiting: int,
        now_s: float,
        *,
        message_id: int,
    ) -> codec.ShareRequest | None:
        """Return a request for peers when the own share is too small.

        Call this when a pass over the queue leaves tasks waiting, and
        about every 0.5 s while tasks run. Send the request to the peers
        that :meth:`peers_to_ask` returns for the same ``now_s``.

        :param n_waiting: tasks queued here for the customer
        :param message_id: envelope id of the request, the same for every
            peer
        :returns: the request, at most one every 2.5 s for a customer;
            ``None`` when the own share suffices or there is no peer
        """
        share = self._customers.get(customer)
        if share is None:
            return None
        _state.advance(share, now_s)
        share.demand.record(share.n_running + n_waiting, 0, now_s)
        n_peers = self._n_entries - (0 if self._rank is None else 1)
        needed = _borrowing.shortfall(share, n_waiting, now_s)
        if n_peers < 1 or needed == _records.ZERO_AMOUNTS:
            share.request_factor = 0
            return None
        if now_s < share.next_request_at_s:
            return None
        n_to_ask = _borrowing.plan_request(
            share,
            needed,
            n_waiting,
            now_s,
            n_entries=self._n_entries,
            random_state=self.random_state,
        )
        share.n_to_ask = min(n_to_ask, n_peers, MAX_PEERS_ASKED)
        share.needs_in_flight = needed.in_flight > 0
        fraction_per_peer = share.request_factor / share.n_to_ask
        amounts = _records.Amounts(
            math.ceil(needed.in_flight * fraction_per_peer),
            needed.starts_per_s * fraction_per_peer,
            math.ceil(needed.burst * fraction_per_peer),
        ).capped(needed)
        share.last_message_id = max(share.last_message_id, message_id)
        share.sent_requests[message_id] = _records.SentRequest(now_s, amounts)
        return codec.ShareRequest(customer, share.contract.version, *amounts)

    def peers_to_ask(
        self,
        customer: str,
        peer_ids: collections.abc.Sequence[str],
        now_s: float,
    ) -> list[str]:
        """Choose the peers to send the current share request to.

        Peers that lend to this instance come first. Peers are skipped
        if in-flight share is needed and their rank has none, if the
        grant held from them is empty, or if they asked for share
        themselves within the last 5 s.

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
        """Answer a peer's request with a grant of unused share.

        The peak demand of the last 1 to 2 s is not lent, and at least an
        eighth of the own share is kept. When several peers are short,
        each may get an equal part, and what one does not need is
        available to the others.

        :param n_waiting: tasks queued here for the customer
        :param message_id: envelope id of the request
        """
        share = self._customers.get(request.customer)
        if share is None:
            return codec.ShareGrant(request.customer, 0, 0, 0.0, 0)
        _state.advance(share, now_s)
        share.demand.record(share.n_running + n_waiting, 0, now_s)
        loan = _lending.make_loan(share, borrower, request, now_s, message_id)
        return codec.ShareGrant(
            request.customer,
            loan.version,
            loan.amounts.in_flight,
            loan.amounts.starts_per_s,
            int(_records.GRANT_TTL_S * 1000),
            loan.amounts.burst,
        )

    def receive_grant(
        self,
        lender: str,
        grant: codec.ShareGrant,
        now_s: float,
        *,
        message_id: int,
    ) -> None:
        """Process a grant from a peer.

        A grant is ignored if it answers no request of the last 5 s, or
        if it is no newer than the one held from the same lender.

        :param message_id: envelope id, equal to that of the request
        """
        share = self._customers.get(grant.customer)
        if share is None:
            return
        _state.advance(share, now_s)
        _borrowing.receive_grant(share, lender, grant, now_s, message_id)

    def recalls_to_send(
        self, customer: str, n_waiting: int, now_s: float
    ) -> list[tuple[str, int, codec.ShareRecall]]:
        """Return the recalls to send for lent share that is needed here.

        Call this when a pass over the queue leaves tasks waiting on this
        customer's limits. Each borrower gets a recall at most once
        every 0.25 s.

        :param n_waiting: tasks queued here for the customer
        :returns: borrower, message id to send with, and the recall
        """
        share = self._customers.get(customer)
        if share is None:
            return []
        _state.advance(share, now_s)
        return _lending.recalls_to_send(share, n_waiting, now_s)

    def receive_recall(
        self,
        lender: str,
        recall: codec.ShareRecall,
        now_s: float,
        *,
        message_id: int,
    ) -> None:
        """Process a recall from a lender.

        No more tasks start on the recalled share. The free part goes
        back with the next return to the lender, the rest as tasks end.

        :param message_id: envelope id, equal to that of the grant
        """
        share = self._customers.get(recall.customer)
        if share is None:
            return
        _state.advance(share, now_s)
        _borrowing.receive_recall(share, lender, recall, now_s, message_id)
        if share.has_recalled_grant:
            self._customers_with_recalls.add(recall.customer)

    def returns_to_send(
        self, now_s: float
    ) -> list[tuple[str, int, codec.ShareReturn]]:
        """Return the messages that give recalled share back to lenders.

        :returns: lender, message id to send with, and the message
        """
        messages = []
        for customer in list(self._customers_with_recalls):
            share = self._customers[customer]
            _state.advance(share, now_s)
            messages += _borrowing.returns_to_send(share, now_s)
            if not share.has_recalled_grant:
                self._customers_with_recalls.remove(customer)
        return messages

    def receive_return(
        self,
        borrower: str,
        share_return: codec.ShareReturn,
        now_s: float,
        *,
        message_id: int,
    ) -> None:
        """Add returned share back to the own share.

        :param message_id: envelope id, equal to that of the grant
        """
        share = self._customers.get(share_return.customer)
        if share is None:
            return
        _state.advance(share, now_s)
        _lending.receive_return(share, borrower, share_return, message_id)

    def customers_with_running_tasks(self) -> list[str]:
        """Return the customers whose tasks run here."""
        return [
            name for name, share in self._customers.items() if share.n_running
        ]

    def expire(self, now_s: float) -> None:
        """Drop the expired grants and loans of all customers.

        The other methods do this for the customer they are called with.
        """
        for share in self._customers.values():
            _state.advance(share, now_s)

    def forget_peer(self, peer: str, now_s: float) -> None:
        """Drop the grants of a peer that left the member list.

        Its share is divided among the remaining instances, so share
        borrowed from it would count twice. Loans to it are kept until
        they expire, as it may still be running.
        """
        for share in self._customers.values():
            _state.advance(share, now_s)
            if share.last_message_id >= 0:
                # An empty grant with the newest message id, so that
                # grants still in transit are ignored.
                share.grants[peer] = _records.Grant(
                    share.last_message_id,
                    0,
                    _records.ZERO_AMOUNTS,
                    now_s + _records.GRANT_TTL_S,
                )
            _state.update_totals(share)

    def n_running(self, customer: str) -> int:
        """Return the number of started tasks that have not ended."""
        share = self._customers.get(customer)
        return 0 if share is None else share.n_running

    def usage(self) -> dict[str, dict[str, typing.Any]]:
        """Return shares and usage by customer, for the state dump."""
        return {
            name: {
                'version': share.contract.version,
                'in_flight_limit': share.contract.in_flight,
                'own': share.own.in_flight,
                'lent': share.lent.in_flight,
                'borrowed': share.borrowed.in_flight,
                'running': share.n_running,
                'starts_per_s': round(share.usable.starts_per_s, 3),
                'tokens': round(share.tokens, 3),
            }
            for name, share in self._customers.items()
        }

    def _update_own_share(self, share: _records.CustomerShare) -> None:
        contract = share.contract
        n_entries = self._n_entries
        rate = 0.0
        if self._rank is not None and n_entries:
            rate = contract.starts_per_s / n_entries
        share.own = _records.Amounts(
            _records.integer_share(contract.in_flight, self._rank, n_entries),
            rate,
            _records.integer_share(contract.burst, self._rank, n_entries),
        )
        _state.update_totals(share)
        if not share.bucket_filled_once and rate > 0:
            share.bucket_filled_once = True
            share.tokens = share.bucket_size()
