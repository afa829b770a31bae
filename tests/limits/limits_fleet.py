"""Shares of several instances, and a message queue that tests control."""

import random

from orioleloom import codec
from orioleloom import limits
from orioleloom import model

CUSTOMER = 'acme'
TTL_S = limits.GRANT_TTL_S


def contract(version, in_flight, starts_per_s=1e6, burst=100_000):
    return model.Contract(
        CUSTOMER, version, in_flight, starts_per_s, burst, ('gpu',)
    )


class Fleet:
    """Entry instances that share the limits of one customer.

    :param n_entries: number of instances
    :param first_contract: contract that every instance knows at first
    """

    def __init__(self, n_entries, first_contract):
        self.now_s = 100.0
        self.contracts = [first_contract]
        self.contract_by_instance = {}
        self.replaced_limits = []
        self.shares = {}
        self.no_share_until_s = {}
        self.messages = []
        self.n_sent = 0
        self.next_id = 1
        for index in range(n_entries):
            self._add(f'e{index:04d}', self.now_s)
        self.sync()

    def _add(self, name, admitted_at_s):
        self.shares[name] = limits.LimitShares(
            random_state=random.Random(name)
        )
        self.no_share_until_s[name] = admitted_at_s
        self.set_contract(name, self.contracts[-1])

    def ids(self):
        return sorted(self.shares)

    def sync(self):
        """Give every instance the same member list."""
        for rank, name in enumerate(self.ids()):
            if self.now_s < self.no_share_until_s[name]:
                rank = None
            self.shares[name].set_rank(rank, len(self.shares), self.now_s)

    def set_contract(self, name, new):
        if name in self.contract_by_instance:
            self.replaced_limits.append(
                (self.now_s, self.contract_by_instance[name].in_flight)
            )
        self.contract_by_instance[name] = new
        self.shares[name].set_contract(new, self.now_s)

    def change_contract(self, in_flight, n_informed):
        new = self.contracts[-1]
        new = new._replace(version=new.version + 1, in_flight=in_flight)
        self.contracts.append(new)
        for name in self.ids()[:n_informed]:
            self.set_contract(name, new)

    def tell_all(self):
        for name in self.ids():
            self.set_contract(name, self.contracts[-1])

    def advance(self, seconds):
        self.now_s += seconds
        self.sync()
        for name, shares in self.shares.items():
            shares.expire(self.now_s)
            self.send_returns(name)

    def join(self, name):
        if name not in self.shares:
            self._add(name, self.now_s + 5.0)
            self.sync()

    def die(self, name):
        del self.shares[name]
        for shares in self.shares.values():
            shares.forget_peer(name, self.now_s)
        self.sync()

    def recall(self, name, n_waiting):
        """Queue the recalls of a lender that is short."""
        for peer, message_id, recall in self.shares[name].recalls_to_send(
            CUSTOMER, n_waiting, self.now_s
        ):
            self.messages.append((name, peer, message_id, recall))
            self.n_sent += 1

    def send_returns(self, name):
        """Queue the messages that return recalled share to lenders."""
        for peer, message_id, payload in self.shares[name].returns_to_send(
            self.now_s
        ):
            self.messages.append((name, peer, message_id, payload))
            self.n_sent += 1

    def ask(self, name, n_waiting):
        self.next_id += 1
        request = self.shares[name].make_share_request(
            CUSTOMER, n_waiting, self.now_s, message_id=self.next_id
        )
        if request is None:
            return
        peers = [other for other in self.ids() if other != name]
        for peer in self.shares[name].peers_to_ask(
            CUSTOMER, peers, self.now_s
        ):
            self.messages.append((name, peer, self.next_id, request))
            self.n_sent += 1

    def deliver(self, message, n_waiting=0):
        """Deliver a message and queue the answer.

        The same message may be delivered more than once.
        """
        sender, receiver, message_id, payload = message
        shares = self.shares.get(receiver)
        if shares is None:
            return
        match payload:
            case codec.ShareGrant():
                handle = shares.receive_grant
            case codec.ShareRecall():
                handle = shares.receive_recall
            case codec.ShareReturn():
                handle = shares.receive_return
            case _:
                handle = None
        if handle is not None:
            handle(sender, payload, self.now_s, message_id=message_id)
            self.send_returns(receiver)
            return
        grant = shares.lend(
            sender, payload, n_waiting, self.now_s, message_id=message_id
        )
        self.messages.append((receiver, sender, message_id, grant))
        self.n_sent += 1

    def deliver_all(self):
        while self.messages:
            self.deliver(self.messages.pop(0))

    def start_all(self, name):
        shares = self.shares[name]
        n_started = shares.allowance(CUSTOMER, self.now_s)
        for _ in range(n_started):
            shares.start(CUSTOMER, self.now_s)
        return n_started

    def limit(self):
        """Return the bound that LimitShares states for the sum of shares."""
        contracts_in_use = {
            self.contract_by_instance[name] for name in self.shares
        }
        limits_known = {
            used_contract.in_flight for used_contract in contracts_in_use
        }
        if len(contracts_in_use) > 1:
            limits_known |= {
                in_flight
                for at_s, in_flight in self.replaced_limits
                if self.now_s < at_s + TTL_S
            }
        return max(limits_known)

    def total_share(self):
        """Return the sum over all instances of own less lent plus borrowed."""
        return sum(
            max(0, usage['own'] - usage['lent']) + usage['borrowed']
            for usage in (
                shares.usage()[CUSTOMER] for shares in self.shares.values()
            )
        )

    def total_rate(self):
        return sum(
            shares.usage()[CUSTOMER]['starts_per_s']
            for shares in self.shares.values()
        )
