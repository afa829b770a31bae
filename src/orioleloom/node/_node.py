import collections
import math
import random
import time
import typing
import zlib

import trio

from orioleloom import dispatch
from orioleloom import leadership
from orioleloom import memory
from orioleloom.node import _crash_rows
from orioleloom.node import _evacuations
from orioleloom.node import _leader
from orioleloom.node import _leader_lists
from orioleloom.node import _load_shedding
from orioleloom.node import _log
from orioleloom.node import _loop_monitor
from orioleloom.node import _messages
from orioleloom.node import _operator_rows
from orioleloom.node import _peers
from orioleloom.node import _pending
from orioleloom.node import _ports
from orioleloom.node import _presence
from orioleloom.node import _room_requests
from orioleloom.node import _settings
from orioleloom.node import _tables
from orioleloom import peer_api
from orioleloom import timers

_TICK_INTERVAL_S = 0.025
_HEARTBEAT_INTERVAL_S = 0.1
_PROBE_INTERVAL_S = 0.06
# Interval at which the fleet's leader writes its heartbeat to the store.
_STORE_HEARTBEAT_INTERVAL_S = 0.5
# An instance that lost most peers reads the leader's heartbeat from the
# store twice, this far apart; each read times out after the same time. It must
# exceed _STORE_HEARTBEAT_INTERVAL_S, so that a live leader has written in
# between.
_STORE_HEARTBEAT_CHECK_S = 0.8
_CONNECT_CHECK_TIMEOUT_S = 0.15
_REACHABILITY_CHECK_PAUSE_S = 0.2
_N_CONNECT_CHECK_WORKERS = 4
# A search for a leader that takes longer has failed: new jobs are refused, and
# the load balancer is told to send callers elsewhere.
_LEADER_WAIT_TIMEOUT_S = 1.0
_RETRY_AFTER_S = (1.0, 3.0)
# Outcome of a job that cannot end before its instance does. Its caller may
# come back at once: the load balancer sends new connections elsewhere by then.
_STOPPING = 'instance stopping'
_STOPPING_RETRY_AFTER_S = 0.0
# Followers also read members, so that their copies are recent when they become
# leader.
_FOLLOWER_READ_INTERVAL_S = 4.0
# They rarely read workers: every entry changes with each heartbeat of its
# worker, so that a read is as large as the list. The interval is below the
# 20 s of history that the store keeps.
_FOLLOWER_WORKER_READ_INTERVAL_S = 15.0
_FOLLOWER_RETRY_INTERVAL_S = 2.0
# The leader sends changes of the workers to its likely successors at most this
# often.
_SUCCESSOR_UPDATE_INTERVAL_S = 1.0
_LEADER_WORKER_READ_INTERVAL_S = 0.2
_LEADER_MEMBER_READ_INTERVAL_S = 1.0
# Interval for reading members while no leader is known.
_SEARCH_MEMBER_READ_INTERVAL_S = 0.2
# A fencing token is the Unix time in milliseconds times this factor, plus a
# hash of the instance id. Tokens thus increase without a write to the store,
# and the hash keeps two instances from using the same token.
_TOKENS_PER_MS = 1000
# Time that a process takes to start until its node is created.
_PROCESS_START_S = 0.3
_RUN_IDS_PER_S = 4


class Node:
    """An instance of the dispatcher.

    Accepts jobs, takes part in the leader election, and submits the jobs to
    the elected leader, which may be this instance.

    :param store: the platform's store
    :param gateway: client of the workers
    :param peer_socket: socket to the peers; tests pass a stand-in
    :param wall_time: returns the Unix time in seconds
    :param random_state: source of all random numbers of the node and of the
        leaders that it creates
    :param incarnation: unique name of this start of the instance
    :param loop_monitor: monitor of the event loop that the node runs in
    :param memory_budget: budget of the process
    """

    def __init__(
        self,
        *,
        settings: _settings.Settings,
        store: _ports.Store,
        gateway: _ports.WorkerGateway,
        timer_service: timers.TimerService,
        peer_socket: typing.Any = None,
        wall_time: typing.Callable[[], float] = time.time,
        random_state: random.Random,
        incarnation: str,
        loop_monitor: _loop_monitor.LoopMonitor | None = None,
        memory_budget: memory.Budget | None = None,
    ):
        self.settings = settings
        self.store = store
        self.gateway = gateway
        self.timer_service = timer_service
        self.wall_time = wall_time
        self.random_state = random_state
        self.incarnation = incarnation
        self.loop_monitor = loop_monitor or _loop_monitor.LoopMonitor()
        self.memory_budget = memory_budget or memory.Budget()
        self.peer_socket = peer_socket or peer_api.PeerSocket(
            settings.peer_bind, f'{settings.instance_id}/{self.incarnation}'
        )
        self.local_sender = _messages.Sender(
            settings.instance_id,
            self.incarnation,
            settings.peer_bind,
            settings.data_centre,
        )
        self.elector = leadership.Elector(
            instance_id=settings.instance_id,
            data_centre=settings.data_centre,
            rank=settings.rank,
            now_s=trio.current_time(),
        )
        self.leader: _leader.Leader | None = None
        self.load_shedding = _load_shedding.LoadShedding()
        self.pending: dict[str, _pending.PendingJob] = {}
        self.room_requests = _room_requests.RoomRequests(
            elector=self.elector,
            pending=self.pending,
            limit_bytes=self.memory_budget.limit_bytes,
            count_instances=lambda: len(self.peers.members) + 1,
            session=lambda: self._leader_session,
            send=self.send,
            submit=self._submit_to_leader,
            end=self._deliver_outcome,
        )
        self.peers = _peers.PeerDirectory(
            local_sender=self.local_sender,
            socket=self.peer_socket,
            seed_addresses=settings.seed_peers,
        )
        self.counters: collections.Counter[str] = collections.Counter()
        self.is_stopping = False
        # When the jobs of this instance must have ended, in a planned stop.
        self.stop_by_s = math.inf
        self.on_routing: typing.Callable[[_ports.Routing], None] = lambda _: (
            None
        )
        self.unstarted_by_queue: dict[str, int] = {}
        self.on_latency: typing.Callable[[str, float], None] = (
            lambda _outcome, _latency_s: None
        )
        self._worker_watch_scope = trio.CancelScope()
        self._leader_session = 0
        # Results that callers may ask for again elsewhere, if the answer was
        # lost on its way to them, and when they were delivered.
        self._delivered: dict[str, tuple[dispatch.Outcome, float]] = {}
        # What this instance knows of crashes, for the next leader.
        self._crashes = dispatch.CrashLedger()
        # Highest fencing token received from any leader.
        self._highest_token = 0
        self._worker_list = dispatch.WorkerListTracker()
        # The latest such message and its sender, a leader that hands over.
        self._running_jobs: tuple[str, _messages.RunningJobs] | None = None
        self._leader_lists = _leader_lists.LeaderLists()
        self._must_update_successors = False
        self._successors_updated_s = -1e9
        self._last_probe_s = -1e9
        self._last_leader_contact_s = 0.0
        self._presence = _presence.HolderPresence()
        # Leaders that this process has not heard ended before it was started.
        self._first_search_s = trio.current_time() - _PROCESS_START_S
        self._is_checking_reachability = False
        self._nursery: trio.Nursery | None = None
        self.evacuations = _evacuations.Evacuations(
            send=self.send,
            on_change=self._apply_evacuations,
            now_s=trio.current_time(),
        )
        self.operator_rows = _operator_rows.OperatorRows(
            table=store.routing,
            apply_s=settings.config_apply_s,
            evacuations=self.evacuations,
            on_routing=self._apply_routing,
            random_state=self.random_state,
        )
        self.worker_watch = _tables.TableWatch(
            'workers',
            store.workers,
            self._apply_workers,
            min_interval_s=_LEADER_WORKER_READ_INTERVAL_S,
            random_state=self.random_state,
        )
        self.member_watch = _tables.TableWatch(
            'members',
            store.members,
            self._add_members,
            random_state=self.random_state,
        )

    @property
    def routing(self) -> _ports.Routing | None:
        """Return the configuration in force, if one has been read."""
        return self.operator_rows.routing

    # Lifecycle

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.timer_service.subscribe('tick', _TICK_INTERVAL_S, self._tick)
            self.timer_service.subscribe(
                'beat', _HEARTBEAT_INTERVAL_S, self._send_heartbeats
            )
            self.timer_service.subscribe(
                'leader_sign',
                _STORE_HEARTBEAT_INTERVAL_S,
                self._schedule_store_heartbeat,
            )
            nursery.start_soon(self._receive)
            for name, function in (
                ('routing watch', self.operator_rows.watch.run),
                ('worker watch', self._watch_workers),
                ('member watch', self._watch_members),
                ('room requests', self.room_requests.run),
            ):
                nursery.start_soon(_log.run_forever, name, function)
            nursery.start_soon(self._register)
            nursery.start_soon(self.timer_service.run)
            task_status.started()
            await trio.sleep_forever()

    async def _register(self) -> None:
        member = _ports.MemberInfo(
            self.local_sender.instance_id,
            self.local_sender.address,
            self.local_sender.data_centre,
            self.settings.rank,
        )
        while True:
            try:
                with trio.fail_after(1.0):
                    await self.store.put_member(member)
                return
            except (_ports.StoreError, trio.TooSlowError) as exc:
                _log.log('register_failed', reason=repr(exc))
            await trio.sleep(self.random_state.uniform(0.2, 0.6))

    async def _watch_workers(self) -> None:
        while True:
            # Cancelled when the instance begins or ceases to lead.
            with trio.CancelScope() as self._worker_watch_scope:
                if self.leader is not None:
                    await self.worker_watch.run()
                await self.worker_watch.refresh()
                await trio.sleep(
                    _FOLLOWER_WORKER_READ_INTERVAL_S
                    if self.worker_watch.is_current
                    else _FOLLOWER_RETRY_INTERVAL_S
                )

    async def _watch_members(self) -> None:
        last_read_s = -1e9
        while True:
            now_s = trio.current_time()
            if now_s - last_read_s >= self._member_read_interval_s():
                last_read_s = now_s
                await self.member_watch.refresh()
            await trio.sleep(
                _SEARCH_MEMBER_READ_INTERVAL_S
                * self.random_state.uniform(0.7, 1.3)
            )

    def _member_read_interval_s(self) -> float:
        """Return the interval between reads of the members in this role."""
        match self.elector.role:
            case leadership.Role.SEARCHING | leadership.Role.ISOLATED:
                # Instances that start at the same time are not yet in the
                # table when the others first read it.
                return _SEARCH_MEMBER_READ_INTERVAL_S
            case leadership.Role.LEADING:
                return _LEADER_MEMBER_READ_INTERVAL_S
        return _FOLLOWER_READ_INTERVAL_S

    def close(self) -> None:
        """Close the sockets."""
        self.peer_socket.close()

    def begin_stop(self, stop_by_s: float = math.inf) -> None:
        """Begin a planned stop.

        Hands over leadership, if this instance leads and another one can,
        and is the last choice in later elections.

        :param stop_by_s: when the accepted jobs must have ended; new ones
            that cannot are refused
        """
        self.is_stopping = True
        self.stop_by_s = stop_by_s
        self.elector.is_stopping = True
        now_s = trio.current_time()
        for member_id in self._local_ids():
            self.send(member_id, self._process_state(now_s))
        leader = self.leader
        if leader is None:
            return
        successors = leader.rank_successors()
        if not successors:
            _log.log('no_successor', n_followers=len(leader.followers))
            return
        self._hand_over_leadership(successors[0].instance_id, now_s)

    def _process_state(self, now_s: float) -> _messages.ProcessState:
        return _messages.ProcessState(
            now_s - self._first_search_s, self.is_stopping
        )

    def _local_ids(self) -> list[str]:
        """Return the ids of the other instances of the data centre."""
        return [
            member.instance_id
            for member in self.peers.members.values()
            if member.data_centre == self.local_sender.data_centre
        ]

    def end_stop(self) -> None:
        """Refuse all new jobs, and end those that have no outcome yet."""
        self.stop_by_s = -math.inf
        for pending in list(self.pending.values()):
            self._cancel_at_leader(pending, _STOPPING)
            self._give_up(pending, _STOPPING)

    def _hand_over_leadership(self, successor_id: str, now_s: float) -> None:
        leader = self.leader
        _log.log('leadership_handed_over', successor=successor_id)
        # The successor's own copy of the workers may be seconds old.
        self._send_tables(successor_id, now_s)
        self.evacuations.send_rows(successor_id)
        crashes = leader.dispatcher.crashes.records(now_s)
        if crashes:
            self.send(successor_id, _messages.Crashes(crashes))
        running_job_ids = leader.dispatcher.running_job_ids(now_s)
        if running_job_ids is not None:
            self.send(
                successor_id,
                _messages.RunningJobs(leader.term, sorted(running_job_ids)),
            )
        for member_id in leader.instances_in_contact():
            if member_id == successor_id:
                message = _messages.Handover(
                    leader.term, successor_id, *leader.dispatcher.progress()
                )
            else:
                message = _messages.Handover(leader.term, successor_id)
            self.send(member_id, message)
        self._stop_leading(now_s)

    # Tables of the store

    def _apply_routing(self, routing: _ports.Routing) -> None:
        if self.leader is not None:
            self.leader.use_routing(routing)
        self.on_routing(routing)

    def _apply_evacuations(self, data_centres: frozenset[str] | None) -> None:
        if self.leader is not None:
            self.leader.dispatcher.set_evacuation(
                data_centres, trio.current_time()
            )
            self.leader.schedule_effects()

    def _apply_workers(
        self,
        rows: dict[str, dispatch.WorkerInfo],
        table_version: _tables.TableVersion,
    ) -> None:
        has_changed = self._worker_list.update(
            rows,
            table_version.version,
            removed_versions=table_version.removed_versions,
            complete_since=table_version.complete_since,
            is_exact=table_version.is_exact,
            now_s=trio.current_time(),
        )
        if has_changed:
            self._handle_changed_workers()

    def _handle_changed_workers(self) -> None:
        self._must_update_successors = True
        if self.leader is not None:
            self._update_dispatcher_workers(trio.current_time())

    def _confirm_worker_list(self) -> None:
        """Record the version of a list that reads have shown unchanged."""
        if not self.worker_watch.must_report:
            self._worker_list.confirm(self.worker_watch.version)
        self.leader.dispatcher.confirm_list(self._worker_list.version)

    def _update_dispatcher_workers(self, now_s: float) -> None:
        scope = self.leader.scope
        self.leader.dispatcher.set_workers(
            {
                key: info
                for key, info in self._worker_list.workers.items()
                if scope in (leadership.FLEET, info.data_centre)
            },
            now_s,
            self._worker_list.state(),
        )
        self.leader.schedule_effects()

    def _add_members(
        self,
        rows: dict[str, _ports.MemberInfo],
        table_version: _tables.TableVersion,
    ) -> None:
        for member in rows.values():
            self.peers.add_listed(member)

    # Messages

    def send(self, member_id: str, message: _messages.Message) -> int:
        """Queue a message to an instance whose address is known.

        :returns: size of the message in bytes; 0 if it was not queued
        """
        return self.peers.send(member_id, message)

    async def _receive(self) -> None:
        async for frame in self.peer_socket.receive():
            try:
                sender, message = _messages.decode(frame)
            except _messages.MalformedError as exc:
                _log.log('malformed_message', reason=str(exc))
                continue
            if sender.instance_id == self.local_sender.instance_id:
                continue
            if not self.peers.observe_sender(sender):
                continue
            try:
                self._handle_message(sender, message, trio.current_time())
            except Exception:
                _log.log_unexpected_error(f'{type(message).__name__} message')
            if isinstance(message, _messages.SubmitJob) and (
                dispatch.is_large(message.job)
            ):
                # One in a turn of the event loop.
                await trio.lowlevel.checkpoint()

    def _handle_message(
        self, sender: _messages.Sender, message: typing.Any, now_s: float
    ) -> None:
        sender_id = sender.instance_id
        leader = self.leader
        if leader is not None:
            leader.load.record_message()
        match message:
            case _messages.Probe():
                self._handle_probe(sender, message, now_s)
            case _messages.Beat():
                self._handle_heartbeat(sender, message, now_s)
            case _messages.BeatReply():
                if leader is not None and message.term == leader.term:
                    leader.handle_heartbeat_reply(sender_id, message, now_s)
                    if message.lacks_tables:
                        self._send_tables(sender_id, now_s)
            case _messages.SubmitJob():
                if leader is not None and message.term == leader.term:
                    leader.handle_submission(sender_id, message, now_s)
            case _messages.RoomRequest():
                if leader is not None and message.term == leader.term:
                    leader.handle_room_request(sender_id, message, now_s)
            case _messages.RoomReply():
                self.room_requests.handle_reply(sender_id, message, now_s)
            case _messages.RoomRequestsAccepted():
                self.room_requests.answering_leader = (
                    sender_id,
                    message.term,
                )
            case _messages.CancelJob():
                if leader is not None and message.term == leader.term:
                    leader.handle_cancellation(sender_id, message, now_s)
            case _messages.JobEnded():
                self._handle_job_ended(sender_id, message, now_s)
            case _messages.JobUnknown():
                pending = self.pending.get(message.job_id)
                if pending is not None and pending.assigned_leader == (
                    sender_id,
                    message.term,
                ):
                    if pending.earlier_list is None:
                        pending.assigned_leader = None
                    self._submit_pending(pending, now_s)
            case _messages.Crashes():
                self._handle_crashes(message, now_s)
            case _messages.Tables():
                self._handle_tables(sender_id, message)
            case _messages.Evacuations():
                self.evacuations.handle_message(sender_id, message)
            case _messages.ExpectedWaits():
                self.load_shedding.handle_waits(
                    (sender_id, message.term), message, now_s
                )
            case _messages.RunningJobs():
                self._running_jobs = (sender_id, message)
            case _messages.ProcessState():
                self._presence.record(sender_id, message, now_s)
            case _messages.Handover():
                self._handle_handover(sender_id, message, now_s)

    def _handle_probe(
        self, sender: _messages.Sender, probe: _messages.Probe, now_s: float
    ) -> None:
        self.elector.handle_probe(probe.state, now_s)
        if not probe.wants_answer:
            return
        self.peers.reconnect(sender.address, now_s)
        if self.leader is not None:
            self.leader.send_heartbeat(
                self.leader.get_or_add_follower(sender.instance_id)
            )
        self.evacuations.answer_probe(sender.instance_id)
        self.peers.send_to(
            sender.address, _messages.Probe(self.elector.state(), False)
        )
        if probe.lacks_tables:
            self._send_tables(sender.instance_id, now_s)

    def _lacks_tables(self) -> bool:
        return self.routing is None or not self._worker_list.workers

    def _send_tables(self, member_id: str, now_s: float) -> None:
        if self._lacks_tables() or not self.peers.may_send_tables(
            member_id, now_s
        ):
            return
        self.evacuations.send_rows(member_id)
        self.send(
            member_id,
            _messages.Tables(
                self.routing,
                self._worker_list.entries_for_peers(),
                list(self.peers.members.values()),
                self._worker_list.version,
                self._worker_list.changed_version,
            ),
        )

    def _handle_tables(self, sender_id: str, tables: _messages.Tables) -> None:
        """Use a peer's copies of tables where the own ones may be old.

        That is while this instance cannot read them from the store, and for
        the workers if the leader sends them.
        """
        _log.log(
            'tables_received',
            peer=sender_id,
            version=tables.routing.version if tables.routing else None,
            n_workers=len(tables.workers),
            workers_version=tables.workers_version,
        )
        now_s = trio.current_time()
        self.operator_rows.use_peer_routing(tables.routing, now_s)
        if not self._worker_list.workers or (
            sender_id == self.elector.leader_id
            and tables.workers_version > self._worker_list.version
        ):
            has_changed = self._worker_list.update(
                tables.workers,
                tables.workers_version,
                changed_version=tables.workers_changed_version,
                complete_since=tables.workers_changed_version,
                now_s=now_s,
            )
            # What the store says replaces the word of a peer.
            self.worker_watch.replace_copy(tables.workers_version)
            if has_changed:
                self._handle_changed_workers()
        self._add_members(
            {m.instance_id: m for m in tables.members},
            _tables.TableVersion(0),
        )

    def _handle_crashes(
        self, message: _messages.Crashes, now_s: float
    ) -> None:
        self._crashes.drop_old(now_s)
        self._crashes.add_records(message.records, now_s)
        if self.leader is not None:
            self.leader.dispatcher.add_crashes(message.records, now_s)

    def _handle_heartbeat(
        self, sender: _messages.Sender, beat: _messages.Beat, now_s: float
    ) -> None:
        self.elector.record_contact(sender.data_centre, now_s)
        previous_leader = (self.elector.leader_id, self.elector.term)
        was_leading = self.leader is not None
        last_heartbeat_s = self.elector.last_heartbeat_s
        if not self.elector.handle_heartbeat(
            sender.instance_id,
            sender.data_centre,
            beat.term,
            beat.scope,
            beat.alive,
            now_s,
        ):
            if self.leader is not None:
                # The other leader steps down when it receives this heartbeat.
                self.leader.send_heartbeat(
                    self.leader.get_or_add_follower(sender.instance_id)
                )
            return
        if was_leading:
            self._stop_leading(now_s, has_stepped_down=True)
        self._presence.record_heartbeat(beat, now_s)
        self._leader_session = beat.session
        self._highest_token = max(self._highest_token, beat.token)
        self._leader_lists.record(
            (sender.instance_id, beat.term),
            beat.list_in_use,
            beat.sequence,
            now_s,
        )
        self.unstarted_by_queue = beat.n_unstarted
        if (sender.instance_id, beat.term) != previous_leader:
            _log.log(
                'leader_followed',
                leader=sender.instance_id,
                term=beat.term,
                scope=beat.scope,
                last_beat_ago_s=round(now_s - last_heartbeat_s, 3),
            )
            if not was_leading:
                self._last_leader_contact_s = max(
                    self._last_leader_contact_s, last_heartbeat_s
                )
        if not beat.is_heard:
            self.peers.reconnect(sender.address, now_s)
        # Before the jobs that the leader must not start there.
        self.evacuations.report_to((sender.instance_id, beat.term))
        self.peers.send_to(
            sender.address,
            _messages.BeatReply(
                beat.term,
                beat.session,
                beat.sequence,
                [
                    job_id
                    for job_id, pending in self.pending.items()
                    if pending.assigned_leader
                    == (sender.instance_id, beat.term)
                ],
                self.is_stopping,
                self._lacks_tables()
                or self.operator_rows.is_behind(beat.routing_version, now_s),
                self.settings.rank,
                self._recent_results()
                if (sender.instance_id, beat.term) != previous_leader
                else {},
            ),
        )
        if (sender.instance_id, beat.term) != previous_leader:
            # Before the jobs that they concern.
            self._crashes.drop_old(now_s)
            crashes = self._crashes.records(now_s)
            if crashes:
                self.send(sender.instance_id, _messages.Crashes(crashes))
            self.send(sender.instance_id, self._process_state(now_s))
        for pending in list(self.pending.values()):
            if pending.assigned_leader != (sender.instance_id, beat.term):
                self._submit_pending(pending, now_s)

    def _handle_handover(
        self, sender_id: str, message: _messages.Handover, now_s: float
    ) -> None:
        if sender_id != self.elector.leader_id:
            return
        self._last_leader_contact_s = now_s
        scope = self.elector.scope
        self.elector.start_search(now_s)
        if message.successor_id == self.local_sender.instance_id:
            self.elector.become_leader(scope, now_s)
            self._start_leading(
                now_s, message, self._running_jobs_of(sender_id, message.term)
            )

    def _running_jobs_of(
        self, leader_id: str, term: int
    ) -> typing.Collection[str] | None:
        """Return the jobs that a leader has named for its handover."""
        if self._running_jobs is None:
            return None
        sender_id, message = self._running_jobs
        if (sender_id, message.term) != (leader_id, term):
            return None
        return message.job_ids

    # Leadership

    def _start_leading(
        self,
        now_s: float,
        handover: _messages.Handover | None = None,
        running_job_ids: typing.Collection[str] | None = None,
    ) -> None:
        """Begin to lead.

        :param handover: message of the earlier leader, if it handed over
        :param running_job_ids: the jobs that may have runs, if it has named
            them
        """
        now_ms = int(self.wall_time() * 1000)
        leader = self.leader = _leader.Leader(
            instance_id=self.local_sender.instance_id,
            term=self.elector.term,
            scope=self.elector.scope,
            token=self._new_token(),
            run_id_base=(now_ms * _RUN_IDS_PER_S // 1000) & 0x7FFFFFFF,
            gateway=_evacuations.Gateway(self.gateway, self.evacuations),
            send=self.send,
            deliver_local=self._deliver_outcome,
            on_superseded=self._handle_superseded,
            reconnect=lambda member_id: self.peers.reconnect_member(
                member_id, trio.current_time()
            ),
            earlier_contact_s=max(
                self._last_leader_contact_s,
                self._first_search_s,
                # The instances that elect have been without a heartbeat for
                # this time. This one may have been out of contact before.
                now_s - leadership.LEADER_TIMEOUT_S,
            ),
            earlier_list=self._leader_lists.of_recent_leaders(now_s),
            earlier_running_job_ids=running_job_ids,
            now_s=now_s,
            random_state=self.random_state,
            loop_monitor=self.loop_monitor,
            memory_budget=self.memory_budget,
            settings=self.settings.dispatcher,
        )
        _log.log(
            'leading',
            term=leader.term,
            scope=leader.scope,
            token=leader.dispatcher.token,
            n_workers=len(self._worker_list.workers),
            workers_version=self._worker_list.version,
            workers_age_s=round(now_s - self.worker_watch.last_success_s, 3),
        )
        leader.use_routing(self.routing)
        self.evacuations.begin_leading()
        self._apply_evacuations(self.evacuations.in_force)
        self._nursery.start_soon(leader.run)
        self._crashes.drop_old(now_s)
        leader.dispatcher.add_crashes(self._crashes.records(now_s), now_s)
        self._nursery.start_soon(
            _log.run_guarded,
            'crash rows',
            _crash_rows.CrashRows(self.store, self.wall_time).run,
            leader,
        )
        leader.dispatcher.add_progress((), self._recent_results(), now_s)
        if handover is not None:
            leader.dispatcher.add_progress(
                handover.completed, handover.outcomes, now_s
            )
        self._update_dispatcher_workers(now_s)
        self._worker_watch_scope.cancel()
        leader.send_heartbeats(self.peers.members)
        for pending in list(self.pending.values()):
            self._submit_pending(pending, now_s)

    def _new_token(self) -> int:
        instance_hash = (
            zlib.crc32(self.local_sender.instance_id.encode()) % _TOKENS_PER_MS
        )
        now_ms = int(self.wall_time() * 1000)
        now_ms = max(now_ms, self._highest_token // _TOKENS_PER_MS + 1)
        return now_ms * _TOKENS_PER_MS + instance_hash

    def _stop_leading(
        self, now_s: float, *, has_stepped_down: bool = False
    ) -> None:
        leader = self.leader
        if leader is None:
            return
        self.leader = None
        self._leader_lists.record(
            (self.local_sender.instance_id, leader.term),
            leader.list_in_use,
            leader.sequence,
            now_s,
        )
        leader.close()
        self._crashes.add_records(
            leader.dispatcher.crashes.records(now_s), now_s
        )
        self._worker_watch_scope.cancel()
        self._last_leader_contact_s = now_s
        self._highest_token = max(self._highest_token, leader.dispatcher.token)
        if not has_stepped_down:
            self.elector.step_down(now_s)
        _log.log('leading_ended', term=leader.term)

    def _handle_superseded(self, token: int) -> None:
        leader = self.leader
        if leader is None or token != leader.dispatcher.token:
            return
        now_s = trio.current_time()
        if (
            leader.scope == leadership.FLEET
            and leader.is_in_contact_with_half()
        ):
            if leader.may_raise_token(now_s):
                leader.raise_token(self._new_token())
                # One of the two leaders steps down when it receives the
                # other's heartbeat.
                leader.send_heartbeats(self.peers.members, include_lost=True)
            return
        _log.log('superseded', term=leader.term, scope=leader.scope)
        self._stop_leading(now_s)

    def _tick(self) -> None:
        now_s = trio.current_time()
        self.evacuations.confirm(self.operator_rows.watch.version)
        previous_role = self.elector.role
        became_leader = self.elector.tick(now_s, self._n_members())
        if self.elector.role is not previous_role:
            _log.log(
                'role_changed',
                role=self.elector.role,
                before=previous_role,
                heard=sorted(
                    p.instance_id for p in self.elector.recent_peers(now_s)
                ),
                alive=sorted(self.elector.last_known_alive),
                reach=self.elector.reachability,
                beat_ago_s=round(now_s - self.elector.last_heartbeat_s, 3),
            )
            if (
                previous_role is leadership.Role.FOLLOWING
                and self.elector.role is leadership.Role.SEARCHING
            ):
                self._last_leader_contact_s = max(
                    self._last_leader_contact_s, self.elector.last_heartbeat_s
                )
                self._last_probe_s = -1e9
        if became_leader:
            self._start_leading(now_s)
        elif (
            self.leader is not None
            and self.elector.role is not leadership.Role.LEADING
        ):
            self._stop_leading(now_s, has_stepped_down=True)
        if self.elector.role in (
            leadership.Role.SEARCHING,
            leadership.Role.ISOLATED,
        ):
            self._probe_peers(now_s)
        if self.leader is not None:
            dispatcher = self.leader.dispatcher
            dispatcher.capacity.list_read_s = self.worker_watch.last_success_s
            dispatcher.placement.cold_until_s = self._worker_list.cold.until_s
            self._confirm_worker_list()
            if (
                self.leader.scope != leadership.FLEET
                and self.settings.resend_after_s >= dispatch.MAX_START_HOLD_S
            ):
                self.leader.dispatcher.holds.are_holders_present = (
                    self._presence.update(
                        self._local_ids(),
                        self.leader.instances_in_contact(),
                        now_s,
                    )
                )
            self.leader.tick(now_s)
        self._expire_pending(now_s)

    def _n_members(self) -> int:
        return len(self.peers.members) + 1 if self.member_watch.version else 0

    def _probe_peers(self, now_s: float) -> None:
        if now_s - self._last_probe_s < _PROBE_INTERVAL_S:
            return
        self._last_probe_s = now_s
        addresses = self.peers.addresses_to_probe(
            self.elector.last_known_alive,
            now_s - self.elector.search_started_s,
        )
        heard_ids = {p.instance_id for p in self.elector.recent_peers(now_s)}
        heard_addresses = {
            peer.address
            for peer in self.peers.members.values()
            if peer.instance_id in heard_ids
        }
        # One peer at a time is asked for the tables, which are large.
        tables_address = (
            self.random_state.choice(addresses)
            if addresses and self._lacks_tables()
            else None
        )
        for address in addresses:
            if address not in heard_addresses:
                self.peers.reconnect(address, now_s)
            self.peers.send_to(
                address,
                _messages.Probe(
                    self.elector.state(), True, address == tables_address
                ),
            )
        lacks_quorum = not self.elector.has_half_of_members(
            len(self.elector.recent_peers(now_s)), self._n_members()
        )
        if (
            lacks_quorum
            and not self._is_checking_reachability
            and now_s - self.elector.search_started_s > 2 * _PROBE_INTERVAL_S
        ):
            self._is_checking_reachability = True
            self._nursery.start_soon(
                _log.run_guarded, 'reachability', self._update_reachability
            )

    async def _update_reachability(self) -> None:
        """Determine why most instances are out of contact."""
        try:
            previous_reachability = self.elector.reachability
            self.elector.reachability = await self._check_reachability()
            if self.elector.reachability is not previous_reachability:
                _log.log('reach_changed', reach=self.elector.reachability)
            await trio.sleep(_REACHABILITY_CHECK_PAUSE_S)
        finally:
            self._is_checking_reachability = False

    async def _check_reachability(self) -> leadership.Reachability:
        remote_workers = [
            worker
            for worker in self._worker_list.workers.values()
            if worker.data_centre != self.local_sender.data_centre
        ]
        self.random_state.shuffle(remote_workers)
        remote_workers = remote_workers[:_N_CONNECT_CHECK_WORKERS]
        reached: list[str] = []

        async def check(worker: dispatch.WorkerInfo) -> None:
            with trio.move_on_after(_CONNECT_CHECK_TIMEOUT_S):
                if await self.gateway.can_connect(worker):
                    reached.append(worker.id)

        async with trio.open_nursery() as nursery:
            for worker in remote_workers:
                nursery.start_soon(check, worker)
        if remote_workers and not reached:
            return leadership.Reachability.OWN_DATA_CENTRE
        try:
            with trio.fail_after(_STORE_HEARTBEAT_CHECK_S):
                before = await self.store.read_leader_heartbeat()
            await trio.sleep(_STORE_HEARTBEAT_CHECK_S)
            with trio.fail_after(_STORE_HEARTBEAT_CHECK_S):
                after = await self.store.read_leader_heartbeat()
        except (_ports.StoreError, trio.TooSlowError) as exc:
            _log.log('leader_sign_unread', reason=repr(exc))
            await trio.sleep(_REACHABILITY_CHECK_PAUSE_S)
            return leadership.Reachability.UNKNOWN
        if before == after:
            return leadership.Reachability.NOBODY_LEADS
        return leadership.Reachability.OTHERS_LEAD

    def _send_heartbeats(self) -> None:
        leader = self.leader
        if leader is None:
            return
        now_s = trio.current_time()
        leader.send_heartbeats(self.peers.members)
        leader.send_crashes(now_s)
        self.evacuations.announce(leader.instances_in_contact()[1:], now_s)
        if self.settings.sheds_load:
            leader.wait_sender.send_waits(
                leader.dispatcher.admission, leader.instances_in_contact()[1:]
            )
        self._update_successors(leader, now_s)
        successor = leader.find_successor(
            self.settings.rank, now_s, is_stopping=self.is_stopping
        )
        if successor is not None:
            self._hand_over_leadership(successor.instance_id, now_s)

    def _update_successors(self, leader: _leader.Leader, now_s: float) -> None:
        """Send changes of the workers to those who may lead next.

        Without them, a new leader could use workers that have left if the
        store is away when it begins to lead. The next leader is the best
        candidate of the fleet, or that of a data centre that is cut off.
        """
        if (
            not self._must_update_successors
            or now_s - self._successors_updated_s
            < _SUCCESSOR_UPDATE_INTERVAL_S
        ):
            return
        best_by_data_centre: dict[str, str] = {}
        for follower in leader.rank_successors():
            member = self.peers.members.get(follower.instance_id)
            if member is not None:
                best_by_data_centre.setdefault(
                    member.data_centre, member.instance_id
                )
        if not best_by_data_centre:
            return
        self._must_update_successors = False
        self._successors_updated_s = now_s
        for member_id in best_by_data_centre.values():
            self._send_tables(member_id, now_s)

    def _schedule_store_heartbeat(self) -> None:
        if self.leader is not None and self.leader.scope == leadership.FLEET:
            self._nursery.start_soon(
                _log.run_guarded,
                'store heartbeat',
                self._write_store_heartbeat,
                self.leader,
            )

    async def _write_store_heartbeat(self, leader: _leader.Leader) -> None:
        try:
            with trio.fail_after(_STORE_HEARTBEAT_INTERVAL_S):
                await self.store.write_leader_heartbeat(
                    f'{self.local_sender.instance_id}/{leader.term}'
                    f'/{leader.sequence}'
                )
        except (_ports.StoreError, trio.TooSlowError):
            # The routing watch already logs when the store is unavailable.
            self.counters['leader_signs_failed'] += 1

    # Jobs

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return (
            not self.is_stopping
            and self.routing is not None
            and self.elector.role is not leadership.Role.ISOLATED
            and not (
                self.elector.role is leadership.Role.SEARCHING
                and (
                    self.elector.is_first_search
                    or self._is_search_long(trio.current_time())
                )
            )
        )

    def _is_search_long(self, now_s: float) -> bool:
        """Return whether a leader has been searched for without result."""
        return now_s - self.elector.search_started_s > _LEADER_WAIT_TIMEOUT_S

    def submit(
        self,
        job: dispatch.Job,
        *,
        arrived_s: float,
        deadline_s: float,
        on_outcome: typing.Callable[[dispatch.Outcome], None],
    ) -> None:
        """Accept a caller's job and report its outcome to ``on_outcome``."""
        self.counters['jobs'] += 1
        replaced = self.pending.pop(job.id, None)
        pending = _pending.PendingJob(job, arrived_s, deadline_s, on_outcome)
        if replaced is not None:
            # The caller has resubmitted the job on another connection.
            pending.assigned_leader = replaced.assigned_leader
            pending.was_submitted = replaced.was_submitted
            pending.earlier_list = replaced.earlier_list
        self.pending[job.id] = pending
        can_end = self._can_end_before_stop(pending)
        # The leader ends the job when this instance has no more time.
        pending.deadline_s = min(deadline_s, self.stop_by_s)
        if not can_end and not pending.was_submitted:
            self._give_up(pending, _STOPPING, _STOPPING_RETRY_AFTER_S)
        elif self.elector.role is leadership.Role.ISOLATED:
            self._give_up(pending, 'instance out of contact')
        elif pending.assigned_leader is None and not self._shed(pending):
            self._submit_pending(pending, trio.current_time())

    def _shed(self, pending: _pending.PendingJob) -> bool:
        """Refuse a job that would wait too long at the followed leader."""
        is_following = self.elector.role is leadership.Role.FOLLOWING
        if (
            not self.settings.sheds_load
            or not is_following
            or pending.was_submitted
        ):
            return False
        wait_s = self.load_shedding.refusal(
            pending.job,
            pending.latest_useful_start_s,
            (self.elector.leader_id, self.elector.term),
            trio.current_time(),
        )
        if wait_s is None:
            return False
        self.counters['jobs_shed'] += 1
        retry_after_s = wait_s + self.random_state.random()
        self._give_up(pending, _load_shedding.EXPECTED_WAIT, retry_after_s)
        return True

    def _known_leader(self) -> tuple[str, int]:
        return self.elector.leader_id, self.elector.term

    def _can_end_before_stop(self, pending: _pending.PendingJob) -> bool:
        """Return whether a planned stop leaves a job the time to end.

        That is the time that its objective allows, or until its deadline if
        that is earlier.
        """
        if self.stop_by_s == math.inf:
            return True
        needed_until_s = pending.arrived_s + dispatch.declared_allowed_time_s(
            pending.job
        )
        return min(needed_until_s, pending.deadline_s) <= self.stop_by_s

    def _submit_pending(
        self, pending: _pending.PendingJob, now_s: float
    ) -> None:
        if not self.room_requests.defer(pending):
            self._submit_to_leader(pending, now_s)

    def _submit_to_leader(
        self, pending: _pending.PendingJob, now_s: float
    ) -> None:
        role = self.elector.role
        job = pending.job
        leader = self._known_leader()
        # Another leader may have started tasks of the job; the current one
        # knows which tasks it has started itself.
        is_handed_over = pending.assigned_leader != leader
        may_run_elsewhere = pending.was_submitted and (
            is_handed_over or pending.earlier_list is not None
        )
        contact_s = self._last_leader_contact_s if may_run_elsewhere else None
        if pending.was_submitted and is_handed_over:
            pending.add_earlier_leader(
                self._leader_lists.of_leader(pending.assigned_leader)
            )
        earlier_list = pending.earlier_list or dispatch.ListInUse()
        if role is leadership.Role.LEADING and self.leader is not None:
            pending.assigned_leader = leader
            pending.was_submitted = True
            self.leader.dispatcher.submit(
                job,
                self.local_sender.instance_id,
                arrived_s=pending.arrived_s,
                deadline_s=pending.deadline_s,
                last_contact_s=contact_s,
                list_in_use=earlier_list,
                now_s=now_s,
            )
            self.leader.schedule_effects()
        elif role is leadership.Role.FOLLOWING:
            pending.assigned_leader = leader
            pending.was_submitted = True
            n_bytes = self.send(
                self.elector.leader_id,
                _messages.SubmitJob(
                    self.elector.term,
                    self._leader_session,
                    job,
                    now_s - pending.arrived_s,
                    pending.deadline_s - now_s,
                    None if contact_s is None else now_s - contact_s,
                    self._highest_token,
                    earlier_list,
                ),
            )
            self.room_requests.record_submission(pending, n_bytes)

    def handle_caller_disconnect(
        self, job_id: str, on_outcome: typing.Any
    ) -> None:
        """Cancel a job whose caller has closed its connection."""
        pending = self.pending.get(job_id)
        if pending is None or pending.on_outcome is not on_outcome:
            return
        self.counters['callers_left'] += 1
        self.cancel(job_id)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job; return whether it was pending here."""
        pending = self.pending.pop(job_id, None)
        if pending is None:
            return False
        self._cancel_at_leader(pending, 'caller left')
        pending.on_outcome(
            dispatch.Outcome(dispatch.OutcomeKind.UNKNOWN, 'cancelled')
        )
        return True

    def _cancel_at_leader(
        self, pending: _pending.PendingJob, reason: str
    ) -> None:
        job_id = pending.job.id
        if self.leader is not None:
            self.leader.dispatcher.cancel(
                job_id,
                self.local_sender.instance_id,
                reason,
                trio.current_time(),
            )
            self.leader.schedule_effects()
        elif pending.assigned_leader is not None:
            self.send(
                pending.assigned_leader[0],
                _messages.CancelJob(
                    pending.assigned_leader[1], self._leader_session, job_id
                ),
            )

    def _handle_job_ended(
        self, sender_id: str, message: _messages.JobEnded, now_s: float
    ) -> None:
        self.room_requests.record_answer(
            (sender_id, message.term), message.job_id, now_s
        )
        pending = self.pending.get(message.job_id)
        if pending is None:
            return
        # A completion is final whichever leader reports it. Other outcomes
        # count only from the assigned leader, since an earlier leader does
        # not know what a later one still runs.
        if message.outcome.kind is dispatch.OutcomeKind.COMPLETED or (
            pending.assigned_leader == (sender_id, message.term)
        ):
            self._deliver_outcome(message.job_id, message.outcome)

    def _deliver_outcome(self, job_id: str, outcome: dispatch.Outcome) -> None:
        pending = self.pending.pop(job_id, None)
        if pending is not None:
            self.counters[f'outcomes_{outcome.kind}'] += 1
            self.on_latency(
                outcome.kind, trio.current_time() - pending.arrived_s
            )
            pending.on_outcome(outcome)
            if outcome.reason in dispatch.REFUSAL_REASONS:
                # Logged here, since the leader is short of time.
                _log.log('job_refused', job=job_id, reason=outcome.reason)
            if outcome.is_result():
                self._drop_old_results()
                self._delivered.pop(job_id, None)
                self._delivered[job_id] = (outcome, trio.current_time())

    def _recent_results(self) -> dict[str, dispatch.Outcome]:
        """Return what was recently answered here, for a new leader."""
        self._drop_old_results()
        return {
            job_id: outcome for job_id, (outcome, _) in self._delivered.items()
        }

    def _drop_old_results(self) -> None:
        limit_s = trio.current_time() - dispatch.OUTCOME_RETENTION_S
        while self._delivered:
            job_id, (_, delivered_s) = next(iter(self._delivered.items()))
            if delivered_s > limit_s:
                break
            del self._delivered[job_id]

    def _give_up(
        self,
        pending: _pending.PendingJob,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """End a job without an outcome from a leader.

        :param retry_after_s: when its caller may come back; a random time if
            not given
        """
        if retry_after_s is None:
            retry_after_s = self.random_state.uniform(*_RETRY_AFTER_S)
        kind = (
            dispatch.OutcomeKind.UNKNOWN
            if pending.was_submitted
            else dispatch.OutcomeKind.NOT_RUN
        )
        _log.log(
            'job_given_up',
            job=pending.job.id,
            outcome=kind,
            reason=reason,
            age_ms=round((trio.current_time() - pending.arrived_s) * 1000),
            role=self.elector.role,
        )
        self._deliver_outcome(
            pending.job.id,
            dispatch.Outcome(kind, reason, retry_after_s),
        )

    def _expire_pending(self, now_s: float) -> None:
        role = self.elector.role
        for pending in list(self.pending.values()):
            if role is leadership.Role.ISOLATED:
                self._give_up(pending, 'instance out of contact')
            elif now_s > pending.deadline_s + 0.05:
                self._give_up(pending, 'deadline')
            elif role is leadership.Role.SEARCHING and (
                self._has_waited_long(pending, now_s)
            ):
                self._give_up(pending, 'no leader found')

    def _has_waited_long(
        self, pending: _pending.PendingJob, now_s: float
    ) -> bool:
        """Return whether a job must not wait longer for a leader.

        A job that was not submitted to any leader is refused as soon as the
        search has failed or the answer would come too late, so that its
        caller can try another instance. The outcome of the others may still
        become known.
        """
        if pending.was_submitted:
            return (
                self._is_search_long(now_s)
                and now_s - pending.arrived_s > _LEADER_WAIT_TIMEOUT_S
            )
        return self._is_search_long(now_s) or (
            now_s > pending.latest_useful_start_s
        )

    def count_unstarted(self, queue: str) -> int:
        """Return the number of jobs of a queue without a started task."""
        if self.leader is not None:
            return self.leader.count_unstarted_by_queue().get(queue, 0)
        return self.unstarted_by_queue.get(queue, 0)

    def state(self) -> dict[str, typing.Any]:
        """Return the internal state for the operators' state page."""
        now_s = trio.current_time()
        return {
            'instance_id': self.local_sender.instance_id,
            'incarnation': self.incarnation,
            'role': self.elector.role,
            'leader': self.elector.leader_id,
            'term': self.elector.term,
            'scope': self.elector.scope,
            'beat_ago_s': round(now_s - self.elector.last_heartbeat_s, 3),
            'peers': sorted(self.peers.members),
            'configuration': self.routing.version if self.routing else None,
            'evacuated': sorted(self.evacuations.rows.data_centres),
            'n_pending': len(self.pending),
            'counters': self.counters,
            'dispatcher': self.leader.dispatcher.state(now_s)
            if self.leader
            else None,
        }
