from orioleloom import codec
from orioleloom.engine._core import Core
from orioleloom import membership
from orioleloom import model


# Time between looks at the share of customers whose tasks run, so that
# loans are renewed although no task waits.
CHECK_INTERVAL_S = 0.5


class Sharing:
    """Lend and borrow limit shares; pass on notices about workers."""

    def __init__(self, core: Core):
        self.core = core
        self._rank_and_count: membership.RankAndCount | None = None
        self._next_check_at_s = 0.0

    def borrow(self, starved: dict[str, int]) -> None:
        """Get share for customers whose limits hold tasks back.

        Lent share is recalled, and peers are asked for theirs.
        """
        core = self.core
        for customer, n_waiting in starved.items():
            for borrower, loan_id, recall in core.limits.recalls(
                customer, n_waiting, core.now_s
            ):
                core.counters['share_recalls'] += 1
                core.send_peer(borrower, recall, loan_id)
        self._ask(starved)

    def tick(self) -> None:
        """Renew the loans of customers whose tasks run."""
        core = self.core
        if core.now_s < self._next_check_at_s:
            return
        self._next_check_at_s = core.now_s + CHECK_INTERVAL_S
        self._ask(
            {
                customer: core.queue.n_tasks(customer)
                for customer in core.limits.running()
            }
        )

    def _ask(self, waiting: dict[str, int]) -> None:
        core = self.core
        for customer, n_waiting in waiting.items():
            message_id = core.new_message_id()
            request = core.limits.shortage(
                customer, n_waiting, core.now_s, message_id=message_id
            )
            if request is None:
                continue
            peer_ids = [member.id for member in core.members.peers()]
            for peer_id in core.limits.peers_to_ask(
                customer, peer_ids, core.now_s
            ):
                core.counters['share_requests'] += 1
                core.send_peer(peer_id, request, message_id)

    def request_received(
        self, message_id: int, sender: str, request: codec.ShareRequest
    ) -> None:
        """Lend a peer what this instance does not need."""
        core = self.core
        grant = core.limits.lend(
            sender.partition('/')[0],
            request,
            core.queue.n_tasks(request.customer),
            core.now_s,
            message_id=message_id,
        )
        if grant.in_flight or grant.starts_per_s:
            core.counters['share_grants'] += 1
            core.send_peer(sender, grant, message_id)

    def grant_received(
        self, message_id: int, sender: str, grant: codec.ShareGrant
    ) -> None:
        """Take share that a peer lends."""
        core = self.core
        core.limits.receive(
            sender.partition('/')[0],
            grant,
            core.now_s,
            message_id=message_id,
        )

    def recall_received(
        self, message_id: int, sender: str, recall: codec.ShareRecall
    ) -> None:
        """Stop starts on share that its lender needs."""
        core = self.core
        core.limits.recalled(
            sender.partition('/')[0],
            recall,
            core.now_s,
            message_id=message_id,
        )

    def return_received(
        self, message_id: int, sender: str, answer: codec.ShareReturn
    ) -> None:
        """Take share back that a borrower no longer holds."""
        core = self.core
        core.limits.returned(
            sender.partition('/')[0],
            answer,
            core.now_s,
            message_id=message_id,
        )

    def give_back(self) -> None:
        """Tell lenders what is free of the share that they recalled."""
        core = self.core
        for lender, loan_id, answer in core.limits.returns(core.now_s):
            core.counters['share_returns'] += 1
            core.send_peer(lender, answer, loan_id)

    def notices(self) -> None:
        """Tell peers about workers that were just quarantined."""
        for notice in self.core.pool.take_notices():
            self.core.counters['quarantines'] += 1
            self.core.broadcast(
                codec.WorkerNotice(notice.worker_id, True, False)
            )

    def notice_received(self, notice: codec.WorkerNotice) -> None:
        """Take a peer's notice about a worker."""
        if notice.leaving:
            self.core.leaving_workers.add(notice.worker_id)
            self.core.pool.set_leaving(notice.worker_id)
        if notice.quarantined:
            self.core.pool.quarantine(notice.worker_id, self.core.now_s)

    def members_changed(self, members: tuple[model.Member, ...]) -> None:
        """Take changes of the platform's list."""
        core = self.core
        changed = core.members.apply(members, core.now_s)
        # The list lags, so only a row that differs from the last one
        # replaces what a worker said itself.
        core.leaving_workers.difference_update(m.id for m in changed)
        if any(m.role is model.Role.WORKER for m in changed):
            core.pool.set_workers(core.members.workers(), core.now_s)
        for member in changed:
            gone = member.state is model.MemberState.GONE
            if gone and member.role is model.Role.ENTRY:
                core.limits.forget_peer(member.id, core.now_s)
            # From now on the list tells its address.
            core.unlisted.pop(member.id, None)
        self.update_rank()

    def update_rank(self) -> None:
        """Derive shares from the rank of this instance on the list."""
        core = self.core
        found = core.members.rank_and_count(core.now_s)
        if found == self._rank_and_count:
            return
        self._rank_and_count = found
        rank, n_entries = found
        core.pool.set_rank(rank, n_entries)
        core.limits.set_rank(rank, n_entries, core.now_s)
        core.writer.set_budget(
            core.settings.write_budget_per_s / max(1, n_entries)
        )
