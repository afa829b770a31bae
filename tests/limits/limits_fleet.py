"""Several instances' shares with a network that tests control."""

import random

from orioleloom import limits
from orioleloom import model

CUSTOMER = 'acme'

# Requests and deliveries are frequent, so that loans build up.
STEPS = {
    'ask': 25,
    'deliver': 35,
    'advance': 20,
    'start': 8,
    'finish': 4,
    'drop': 3,
}
CHANGES = {'change': 2, 'tell_all': 2, 'die': 1, 'join': 1}
TTL_S = limits.GRANT_TTL_S


def contract(version, in_flight, starts_per_s=1e6, burst=100_000):
    return model.Contract(
        CUSTOMER, version, in_flight, starts_per_s, burst, ('gpu',)
    )


class Fleet:
    def __init__(self, n_entries, first_contract):
        self.now_s = 100.0
        self.contracts = [first_contract]
        self.known = {}
        self.replaced = []
        self.shares = {}
        self.held_until_s = {}
        self.messages = []
        self.n_sent = 0
        self.n_started = 0
        self.next_id = 1
        for index in range(n_entries):
            self._add(f'e{index:04d}', self.now_s)
        self.sync()

    def _add(self, name, admitted_at_s):
        self.shares[name] = limits.LimitShares(
            random_state=random.Random(name)
        )
        self.held_until_s[name] = admitted_at_s
        self.set_contract(name, self.contracts[-1])

    def ids(self):
        return sorted(self.shares)

    def sync(self):
        """Give every instance the same list."""
        for rank, name in enumerate(self.ids()):
            if self.now_s < self.held_until_s[name]:
                rank = None
            self.shares[name].set_rank(rank, len(self.shares), self.now_s)

    def set_contract(self, name, new):
        if name in self.known:
            self.replaced.append((self.now_s, self.known[name].in_flight))
        self.known[name] = new
        self.shares[name].set_contract(new, self.now_s)

    def change_contract(self, in_flight, n_told):
        new = self.contracts[-1]
        new = new._replace(version=new.version + 1, in_flight=in_flight)
        self.contracts.append(new)
        for name in self.ids()[:n_told]:
            self.set_contract(name, new)

    def tell_all(self):
        for name in self.ids():
            self.set_contract(name, self.contracts[-1])

    def advance(self, seconds):
        self.now_s += seconds
        self.sync()
        for shares in self.shares.values():
            shares.expire(self.now_s)

    def join(self, name):
        if name not in self.shares:
            self._add(name, self.now_s + 5.0)
            self.sync()

    def die(self, name):
        del self.shares[name]
        for shares in self.shares.values():
            shares.forget_peer(name, self.now_s)
        self.sync()

    def ask(self, name, n_waiting):
        self.next_id += 1
        request = self.shares[name].shortage(
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
        """Hand a message over; it may be handed over again later."""
        sender, receiver, message_id, payload = message
        shares = self.shares.get(receiver)
        if shares is None:
            return
        if hasattr(payload, 'ttl_ms'):
            shares.receive(sender, payload, self.now_s, message_id=message_id)
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
        self.n_started += n_started
        return n_started

    def random_step(self, rng, *, steady):
        """Do one random thing; ``steady`` keeps members and contract."""
        weights = STEPS if steady else STEPS | CHANGES
        (what,) = rng.choices(list(weights), weights.values())
        name = rng.choice(self.ids())
        del self.messages[:-60]
        # Mostly recent messages; they stay, so that a message may arrive
        # again or very late.
        which = -1 - int(rng.expovariate(0.2))
        arrived = -which <= len(self.messages)
        match what:
            case 'ask':
                self.ask(name, rng.randrange(300))
            case 'deliver' if arrived:
                self.deliver(self.messages[which], rng.choice([0, 0, 30]))
            case 'drop' if arrived:
                del self.messages[which]
            case 'advance':
                self.advance(rng.random() * rng.choice([0.02, 1, 5]))
            case 'start':
                self.start_all(name)
            case 'finish':
                self.shares[name].finish(CUSTOMER, self.now_s)
            case 'change':
                self.change_contract(rng.randrange(200), rng.randrange(10))
            case 'tell_all':
                self.tell_all()
            case 'die' if len(self.shares) > 1:
                self.die(name)
            case 'join' if len(self.shares) < 9:
                self.join(f'e{rng.randrange(10_000):04d}')
        return what

    def limit(self):
        """Return the stated bound of the shares' sum."""
        known = {self.known[name] for name in self.shares}
        limits_known = {one.in_flight for one in known}
        if len(known) > 1:
            limits_known |= {
                in_flight
                for at_s, in_flight in self.replaced
                if self.now_s < at_s + TTL_S
            }
        return max(limits_known)

    def total_share(self):
        """Sum of own share less loans plus grants, over all."""
        return sum(
            max(0, use['own'] - use['lent']) + use['borrowed']
            for use in (
                shares.usage()[CUSTOMER] for shares in self.shares.values()
            )
        )

    def total_rate(self):
        return sum(
            shares.usage()[CUSTOMER]['starts_per_s']
            for shares in self.shares.values()
        )
