import random
import typing

from orioleloom import claims
from orioleloom import codec
from orioleloom import contracts
from orioleloom.engine._claim_flow import ClaimFlow
from orioleloom.engine._completion import Completion
from orioleloom.engine._contract_flow import ContractFlow
from orioleloom.engine._core import Core
from orioleloom.engine._dispatch import Dispatcher
from orioleloom.engine import _effects as effects
from orioleloom.engine import _events as events
from orioleloom.engine._expiry import Expiry
from orioleloom.engine._remote import RemoteJobs
from orioleloom.engine._settings import EngineSettings
from orioleloom.engine._sharing import LimitSharing
from orioleloom.engine._submissions import Submissions
from orioleloom.engine import _tags as tags
from orioleloom import errors
from orioleloom import limits
from orioleloom import membership
from orioleloom import model
from orioleloom import placement
from orioleloom import queueing

MAX_TICKETS = 1000

# Counters that are reported even while they are zero.
ALWAYS_REPORTED_COUNTERS = (
    'exchanges_rejected',
    'peer_messages',
    'table_reads',
    'table_writes',
    'task_rejections',
    'task_sends',
    'worker_cancels',
    'worker_exchanges',
)

# Size of the random first message id. A random start keeps a restarted
# instance from accepting replies to messages sent before the restart.
FIRST_MESSAGE_ID_BITS = 48


class Engine:
    """State machine of an entry instance, without input or output.

    Each event and its time are passed to ``handle``, which returns the
    effects for the caller to carry out. The daemon runs the engine with
    the real clock, tests run it with a virtual one.

    :param identity: ``<instance>/<incarnation>``; each process draws a
        new incarnation when it starts
    :param instance_id: id on the platform's member list
    :param data_centre: data centre of this instance
    :param settings: limits and timeouts
    :param policy: placement policy; ``ExpectedCompletion`` when ``None``
    :param random_state: source of all random numbers
    """

    def __init__(
        self,
        *,
        identity: str,
        instance_id: str,
        data_centre: str,
        settings: EngineSettings = EngineSettings(),
        policy: placement.Policy | None = None,
        random_state: random.Random,
    ):
        self.data_centre = data_centre
        self.core = Core(
            identity=identity,
            instance_id=instance_id,
            incarnation=identity.partition('/')[2],
            settings=settings,
            random_state=random_state,
            contract_book=contracts.ContractBook(),
            members=membership.MemberView(
                instance_id=instance_id, join_hold_s=settings.join_hold_s
            ),
            pool=placement.WorkerPool(
                instance_id=instance_id,
                policy=policy or placement.ExpectedCompletion(),
                random_state=random_state,
            ),
            limits=limits.LimitShares(random_state=random_state),
            queue=queueing.FairQueue(),
            claim_writer=claims.ClaimWriter(
                identity=identity,
                budget_per_s=settings.write_budget_per_s,
                random_state=random_state,
            ),
            last_message_id=random_state.getrandbits(FIRST_MESSAGE_ID_BITS),
        )
        core = self.core
        self._pending_reads: dict[str, tags.ReadTag] = {}
        self._completion = Completion(core)
        self.dispatcher = Dispatcher(core, self._completion)
        self._remote = RemoteJobs(core, self._completion)
        self._claims = ClaimFlow(
            core, self.dispatcher, self._completion, self._remote
        )
        self._submissions = Submissions(
            core,
            self.dispatcher,
            self._claims,
            self._remote,
            self._pending_reads,
        )
        self._contracts = ContractFlow(core, self._pending_reads)
        self._sharing = LimitSharing(core)
        self._expiry = Expiry(
            core,
            self.dispatcher,
            self._completion,
            self._claims,
            self._remote,
        )
        self.dispatcher.request_watermark_raise = (
            self._claims.request_watermark_raise
        )
        self._remote.take_over = self._claims.take_over
        self._remote.submit_forwarded = self._submissions.submit_forwarded
        self._has_member_list = False
        self._clock_offset_s = 0.0

    def handle(
        self, event: events.Event, now_s: float
    ) -> list[effects.Effect]:
        """Process an event.

        :param event: event to process
        :param now_s: monotonic time, in seconds
        :returns: effects to carry out, in order
        """
        core = self.core
        core.now_s = self._engine_time(now_s)
        self._route(event)
        self.dispatcher.run()
        self._sharing.borrow(self.dispatcher.limited_tasks())
        self._sharing.return_recalled()
        self._sharing.broadcast_quarantines()
        self._emit_next_batch()
        emitted, core.pending_effects = core.pending_effects, []
        return emitted

    def _engine_time(self, now_s: float) -> float:
        """Return the time of the engine, which never decreases.

        Without the offset, a backward jump of the clock would prolong
        every wait in progress by the size of the jump.
        """
        self._clock_offset_s = max(
            self._clock_offset_s, self.core.now_s - now_s
        )
        return now_s + self._clock_offset_s

    def _route(self, event: events.Event) -> None:
        core = self.core
        match event:
            case events.LineReceived(exchange_id, line):
                self.dispatcher.line_received(exchange_id, line)
            case events.ExchangeEnded(exchange_id, started, reason):
                self.dispatcher.exchange_ended(exchange_id, started, reason)
            case events.Submit():
                self._submissions.submit(event)
            case events.Fetch():
                self._submissions.fetch(event)
            case events.Cancel():
                self._submissions.cancel(event)
            case events.WaitExpired(request_id):
                self._submissions.wait_expired(request_id)
            case events.RequestGone(request_id):
                self._submissions.drop_request(request_id)
            case events.TableDone(token, outcome):
                self._note_table_outcome(outcome)
                self._handle_group_outcomes(
                    core.claim_writer.transaction_done(
                        token, outcome, core.now_s
                    )
                )
            case events.RowsRead(token, rows):
                self._rows_read(token, rows)
            case events.PeerReceived(message_id, sender, message):
                self._peer_received(message_id, sender, message)
            case events.PutContract():
                self._contracts.put(event)
            case events.ContractsRead(rows):
                self._contracts.rows_polled(rows)
            case events.MembersChanged(members):
                self._has_member_list = True
                self._sharing.members_changed(members)
            case events.PlatformState(available):
                self._set_platform_available(available)
            case events.Tick():
                self._tick()
            case events.StopRequested(timeout_s):
                self._stop(timeout_s)

    def _emit_next_batch(self) -> None:
        core = self.core
        batch = core.claim_writer.next_batch(core.now_s)
        if batch is None:
            return
        if batch.ops:
            core.counters['table_writes'] += 1
            core.emit(effects.WriteTable(batch.token, batch.ops))
        else:
            core.counters['table_reads'] += 1
            core.emit(effects.ReadTable(batch.token, batch.read_keys))

    def _note_table_outcome(self, outcome: model.TableOutcome) -> None:
        match outcome:
            case model.Committed() | model.Conflicted():
                self.core.platform_available = True
            case model.WriteRefused() | model.WriteUnknown():
                self.core.counters['table_failures'] += 1

    def _handle_group_outcomes(
        self,
        outcomes: list[tuple[claims.WriteGroup, claims.GroupOutcome]],
    ) -> None:
        for group, outcome in outcomes:
            match group.tag:
                case tags.ClaimInsert(job_id):
                    self._claims.insert_done(job_id, outcome)
                case tags.WatermarkRaise():
                    self._claims.watermark_raise_done(group.tag, outcome)
                case tags.ClaimRecord(job_id):
                    self._claims.record_done(job_id, outcome)
                case tags.ClaimClose(job_id):
                    self._claims.close_done(job_id, outcome)
                case tags.CancelInsert():
                    self._claims.cancel_done(group.tag, outcome)
                case tags.ContractWrite():
                    self._contracts.write_done(group.tag, outcome)
                case tags.ClaimDelete():
                    self.core.counters['claims_deleted'] += 1

    def _rows_read(
        self, token: str, rows: tuple[model.Row, ...] | None
    ) -> None:
        tag = self._pending_reads.pop(token, None)
        match tag:
            case None:
                core = self.core
                self._handle_group_outcomes(
                    core.claim_writer.rows_read(token, rows, core.now_s)
                )
            case tags.ReadForFetch():
                self._submissions.fetch_read(tag, rows)
            case tags.ReadForCancel():
                self._submissions.cancel_read(tag, rows)
            case tags.ReadForContract(event):
                self._contracts.row_read(event, rows)

    def _peer_received(
        self, message_id: int, sender: str, message: codec.PeerMessage
    ) -> None:
        core = self.core
        core.members.record_peer_answer(sender.partition('/')[0], core.now_s)
        match message:
            case codec.JobQuery():
                self._remote.query_received(message_id, sender, message)
            case codec.JobForward():
                self._remote.forward_received(message_id, sender, message)
            case codec.JobReply():
                self._remote.reply_received(sender, message)
            case codec.JobCancel(customer, submission_id):
                self._submissions.cancel_received(
                    model.JobId(customer, submission_id)
                )
            case codec.ContractPush():
                self._contracts.push_received(sender, message)
            case codec.ContractPull():
                self._contracts.pull_received(sender, message)
            case codec.MembersPush(members):
                self._members_pushed(members)
            case codec.ShareRequest():
                self._sharing.request_received(message_id, sender, message)
            case codec.ShareGrant():
                self._sharing.grant_received(message_id, sender, message)
            case codec.ShareRecall():
                self._sharing.recall_received(message_id, sender, message)
            case codec.ShareReturn():
                self._sharing.return_received(message_id, sender, message)
            case codec.WorkerNotice():
                self._sharing.notice_received(message)
            case codec.LeavingNotice(instance_id):
                core.members.mark_peer_leaving(instance_id)

    def _members_pushed(self, members: list[model.Member]) -> None:
        # The list of a peer is used only until this instance has one.
        if not self._has_member_list:
            self._has_member_list = True
            self._sharing.members_changed(tuple(members))
            # Freeze the count of entry instances again, since it was frozen
            # before any of them was known.
            self.core.members.set_frozen(False)
            self.core.members.set_frozen(not self.core.platform_available)
            self._sharing.update_rank()

    def _set_platform_available(self, available: bool) -> None:
        core = self.core
        core.platform_available = available
        core.members.set_frozen(not available)
        if not available:
            self._contracts.pull_from_peers()

    def _tick(self) -> None:
        core = self.core
        self._handle_group_outcomes(core.claim_writer.drop_expired(core.now_s))
        self._sharing.update_rank()
        core.limits.expire(core.now_s)
        self._sharing.tick()
        self._remote.tick()
        self._expiry.tick()

    def _stop(self, timeout_s: float) -> None:
        core = self.core
        if core.stop_at_s is None:
            core.stop_at_s = core.now_s + timeout_s
            core.broadcast(codec.LeavingNotice(core.instance_id))

    def mint_tickets(
        self, customer: str, count: int, now_s: float
    ) -> list[str]:
        """Mint submission ids whose jobs only this process may start.

        :param customer: customer that will use the tickets
        :param count: number of tickets, 1 to ``MAX_TICKETS``
        :param now_s: monotonic time, in seconds
        :raises DispatchError: ``unknown_customer``, ``bad_field`` or
            ``stopping``
        """
        core = self.core
        if not 1 <= count <= MAX_TICKETS:
            raise errors.DispatchError(
                errors.ErrorKind.BAD_FIELD,
                f'count is {count}, it must be 1 to {MAX_TICKETS}',
            )
        if core.stopping:
            raise errors.DispatchError(
                errors.ErrorKind.STOPPING, 'this instance is stopping'
            )
        self.contract(customer)
        return [
            claims.mint_ticket(
                core.instance_id,
                core.incarnation,
                self._engine_time(now_s),
                core.random_state,
            )
            for _ in range(count)
        ]

    def contracts(self) -> list[model.Contract]:
        """Return the contracts in force on this instance."""
        return self.core.contract_book.all()

    def contract(self, customer: str) -> model.Contract:
        """Return the contract of a customer.

        :raises DispatchError: ``unknown_customer``
        """
        contract = self.core.contract_book.get(customer)
        if contract is None:
            raise errors.DispatchError(
                errors.ErrorKind.UNKNOWN_CUSTOMER,
                f'customer {customer!r} has no contract',
            )
        return contract

    def is_ready(self) -> bool:
        """Whether the load balancer may send submissions to this instance.

        A new instance has no share of the limits until its peers know
        about it, so submissions would wait. While the platform is
        unavailable, the instance is ready without a share of its own and
        borrows from its peers.
        """
        core = self.core
        rank, _ = core.members.rank_and_count(core.now_s)
        return (
            self._contracts.has_contracts
            and self._has_member_list
            and not core.stopping
            and (rank is not None or not core.platform_available)
        )

    def is_drained(self) -> bool:
        """Whether no job, request or write is left before a planned stop."""
        core = self.core
        return not (
            core.active_jobs or core.open_requests or len(core.claim_writer)
        )

    def needs_tick(self) -> bool:
        """Whether there is work that depends on the passage of time."""
        core = self.core
        return bool(
            core.active_jobs
            or core.remote_jobs
            or len(core.claim_writer)
            or core.stopping
        )

    def counters(self) -> dict[str, int]:
        """Return the counters since the start of the process."""
        core = self.core
        zeros = dict.fromkeys(ALWAYS_REPORTED_COUNTERS, 0)
        return {
            **zeros,
            **core.counters,
            'table_rows': core.claim_writer.n_rows_written,
        }

    def state(self, now_s: float) -> dict[str, typing.Any]:
        """Return the state of the engine for operators."""
        core = self.core
        rank, n_entries = core.members.rank_and_count(self._engine_time(now_s))
        return {
            'identity': core.identity,
            'data_centre': self.data_centre,
            'ready': self.is_ready(),
            'stopping': core.stopping,
            'platform_available': core.platform_available,
            'rank': rank,
            'n_entries': n_entries,
            'jobs': {
                'active': len(core.active_jobs),
                'held': len(core.jobs),
                'held_bytes': core.held_bytes,
                'remote': len(core.remote_jobs),
            },
            'queued_tasks': core.queue.n_tasks(),
            'exchanges': len(self.dispatcher.exchanges),
            'writes_waiting': len(core.claim_writer),
            'contracts': core.contract_book.versions(),
            'limits': core.limits.usage(),
            'workers': core.pool.state(),
            'counters': self.counters(),
        }
