from orioleloom import codec
from orioleloom.engine._core import Core
from orioleloom import membership
from orioleloom import model


# Interval at which loans are renewed for customers with running tasks,
# even if none of their tasks is queued.
LOAN_RENEWAL_INTERVAL_S = 0.5


class LimitSharing:
    """Lend and borrow limit shares and exchange notices about workers."""

    def __init__(self, core: Core):
        self.core = core
        self._rank_and_count: membership.RankAndCount | None = None
        self._next_renewal_at_s = 0.0

    def borrow(self, limited_tasks: dict[str, int]) -> None:
        """Recall lent share and request loans for customers at their limits.

        :param limited_tasks: queued tasks of each of these customers
        """
        core = self.core
        for customer, n_waiting in limited_tasks.items():
            for borrower, message_id, recall in core.limits.recalls_to_send(
                customer, n_waiting, core.now_s
            ):
                core.counters['share_recalls'] += 1
                core.send_to_peer(borrower, recall, message_id)
        self._request_loans(limited_tasks)

    def tick(self) -> None:
        """Renew the loans of customers with running tasks."""
        core = self.core
        if core.now_s < self._next_renewal_at_s:
            return
        self._next_renewal_at_s = core.now_s + LOAN_RENEWAL_INTERVAL_S
        self._request_loans(
            {
                customer: core.queue.n_tasks(customer)
                for customer in core.limits.customers_with_running_tasks()
            }
        )

    def _request_loans(self, waiting: dict[str, int]) -> None:
        core = self.core
        for customer, n_waiting in waiting.items():
            message_id = core.new_message_id()
            request = core.limits.make_share_request(
                customer, n_waiting, core.now_s, message_id=message_id
            )
            if request is None:
                continue
            peer_ids = [member.id for member in core.members.peers()]
            for peer_id in core.limits.peers_to_ask(
                customer, peer_ids, core.now_s
            ):
                core.counters['share_requests'] += 1
                core.send_to_peer(peer_id, request, message_id)

    def request_received(
        self, message_id: int, sender: str, request: codec.ShareRequest
    ) -> None:
        """Lend a peer the share that this instance does not need."""
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
            core.send_to_peer(sender, grant, message_id)

    def grant_received(
        self, message_id: int, sender: str, grant: codec.ShareGrant
    ) -> None:
        """Add share lent by a peer."""
        core = self.core
        core.limits.receive_grant(
            sender.partition('/')[0],
            grant,
            core.now_s,
            message_id=message_id,
        )

    def recall_received(
        self, message_id: int, sender: str, recall: codec.ShareRecall
    ) -> None:
        """Stop starting tasks on borrowed share that its lender recalls."""
        core = self.core
        core.limits.receive_recall(
            sender.partition('/')[0],
            recall,
            core.now_s,
            message_id=message_id,
        )

    def return_received(
        self, message_id: int, sender: str, share_return: codec.ShareReturn
    ) -> None:
        """Add back share that a borrower returned."""
        core = self.core
        core.limits.receive_return(
            sender.partition('/')[0],
            share_return,
            core.now_s,
            message_id=message_id,
        )

    def return_recalled(self) -> None:
        """Return recalled share that is no longer in use to its lenders."""
        core = self.core
        for lender, message_id, share_return in core.limits.returns_to_send(
            core.now_s
        ):
            core.counters['share_returns'] += 1
            core.send_to_peer(lender, share_return, message_id)

    def broadcast_quarantines(self) -> None:
        """Notify peers of newly quarantined workers."""
        for notice in self.core.pool.take_quarantine_notices():
            self.core.counters['quarantines'] += 1
            self.core.broadcast(
                codec.WorkerNotice(notice.worker_id, True, False)
            )

    def notice_received(self, notice: codec.WorkerNotice) -> None:
        """Apply a peer's notice about a worker."""
        if notice.leaving:
            self.core.leaving_workers.add(notice.worker_id)
            self.core.pool.mark_leaving(notice.worker_id)
        if notice.quarantined:
            self.core.pool.apply_peer_quarantine(
                notice.worker_id, self.core.now_s
            )

    def members_changed(self, members: tuple[model.Member, ...]) -> None:
        """Apply changes of the member list."""
        core = self.core
        changed = core.members.apply(members, core.now_s)
        # The list lags behind, so what a worker announced itself holds until
        # its row changes.
        core.leaving_workers.difference_update(m.id for m in changed)
        if any(m.role is model.Role.WORKER for m in changed):
            core.pool.set_workers(core.members.workers(), core.now_s)
        for member in changed:
            is_gone = member.state is model.MemberState.GONE
            if is_gone and member.role is model.Role.ENTRY:
                core.limits.forget_peer(member.id, core.now_s)
            # The changed row is newer than the reported address.
            core.peer_address_overrides.pop(member.id, None)
        self.update_rank()

    def update_rank(self) -> None:
        """Update all shares if the rank or the number of instances changed."""
        core = self.core
        rank_and_count = core.members.rank_and_count(core.now_s)
        if rank_and_count == self._rank_and_count:
            return
        self._rank_and_count = rank_and_count
        rank, n_entries = rank_and_count
        core.pool.set_rank(rank, n_entries)
        core.limits.set_rank(rank, n_entries, core.now_s)
        core.claim_writer.set_budget(
            core.settings.write_budget_per_s / max(1, n_entries)
        )
