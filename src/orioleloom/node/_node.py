import collections
import random
import secrets
import time
import typing
import zlib

import trio

from orioleloom import dispatch
from orioleloom import leadership
from orioleloom.node import _leader
from orioleloom.node import _log
from orioleloom.node import _messages
from orioleloom.node import _ports
from orioleloom.node import _tables
from orioleloom import peer_api
from orioleloom import timers

_TICK_S = 0.025
_BEAT_S = 0.1
_PROBE_S = 0.06
# A leader writes its sign of life to the store this often.
_LEADER_SIGN_S = 0.5
# An instance out of contact reads the sign twice at this distance.
_SIGN_CHECK_S = 0.8
_REACH_TIMEOUT_S = 0.15
_EXPLORE_PAUSE_S = 0.2
_N_REACH_WORKERS = 4
# A job waits this long for a leader to be found.
_MAX_LEADERLESS_S = 1.0
_RETRY_AFTER_S = (1.0, 3.0)
# Followers read workers and members this often, for the case that they
# become leader.
_FOLLOWER_READ_S = 4.0
_LEADER_READ_S = 0.2
_LEADER_MEMBER_READ_S = 1.0
# Members are read this often while a leader is searched.
_MEMBER_READ_S = 0.2
# A connection to a peer that hears nothing is made anew at most this often.
_RECONNECT_S = 0.5
# A fencing token is the time in milliseconds times this, plus a number of
# the instance, so that tokens rise without a write and two instances
# never use the same.
_TOKENS_PER_MS = 1000
_RUN_IDS_PER_S = 4


class Settings(typing.NamedTuple):
    """Settings of a node.

    :param instance_id: name of the instance
    :param peer_bind: ``tcp://IP:PORT`` for peers
    :param rank: capacity for leading, in cores
    :param seed_peers: peer addresses known at the start
    """

    instance_id: str
    data_centre: str
    peer_bind: str
    rank: float
    seed_peers: tuple[str, ...] = ()


class Pending:
    """A job whose caller waits at this instance."""

    __slots__ = (
        'arrived_s',
        'deadline_s',
        'job',
        'leader',
        'on_outcome',
        'was_submitted',
    )

    def __init__(
        self,
        job: dispatch.Job,
        arrived_s: float,
        deadline_s: float,
        on_outcome: typing.Callable[[dispatch.Outcome], None],
    ):
        self.job = job
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.on_outcome = on_outcome
        # Leader and term that have the job.
        self.leader: tuple[str, int] | None = None
        self.was_submitted = False


class Node:
    """One instance: takes jobs, finds the leader, and may be it.

    :param store: the platform's store
    :param gateway: calls to workers
    :param peer_socket: replaces the socket to peers in tests
    :param wall_time: Unix time in seconds
    """

    def __init__(
        self,
        *,
        settings: Settings,
        store: _ports.Store,
        gateway: _ports.WorkerGateway,
        timer_service: timers.TimerService,
        peer_socket: typing.Any = None,
        wall_time: typing.Callable[[], float] = time.time,
    ):
        self.settings = settings
        self.store = store
        self.gateway = gateway
        self.timer_service = timer_service
        self.wall_time = wall_time
        self.random_state = random.Random()
        self.incarnation = secrets.token_hex(8)
        self.peer_socket = peer_socket or peer_api.PeerSocket(
            settings.peer_bind, f'{settings.instance_id}/{self.incarnation}'
        )
        self.me = _messages.Sender(
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
        self.routing: _ports.Routing | None = None
        self.pending: dict[str, Pending] = {}
        self.peers: dict[str, _ports.MemberInfo] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self.is_stopping = False
        self.on_routing: typing.Callable[[_ports.Routing], None] = lambda _: (
            None
        )
        self.n_unstarted: dict[str, int] = {}
        self.on_latency: typing.Callable[[str, float], None] = (
            lambda _outcome, _latency_s: None
        )
        self._worker_scope = trio.CancelScope()
        self._session = 0
        # Of any leader that was heard.
        self._highest_token = 0
        self._workers: dict[str, dispatch.WorkerInfo] = {}
        self._reset_s: dict[str, float] = {}
        self._last_probe_s = -1e9
        self._lost_contact_s = 0.0
        self._is_exploring = False
        self._nursery: trio.Nursery | None = None
        self.routing_watch = _tables.TableWatch(
            'routing',
            store.routing,
            self._routing_changed,
            random_state=self.random_state,
        )
        self.worker_watch = _tables.TableWatch(
            'workers',
            store.workers,
            self._workers_changed,
            min_interval_s=_LEADER_READ_S,
            random_state=self.random_state,
        )
        self.member_watch = _tables.TableWatch(
            'members',
            store.members,
            self._members_changed,
            random_state=self.random_state,
        )

    # Life cycle

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.timer_service.subscribe('tick', _TICK_S, self._tick)
            self.timer_service.subscribe('beat', _BEAT_S, self._beat)
            self.timer_service.subscribe(
                'leader_sign', _LEADER_SIGN_S, self._write_leader_sign
            )
            nursery.start_soon(self._receive)
            nursery.start_soon(self.routing_watch.run)
            nursery.start_soon(self._watch_workers)
            nursery.start_soon(self._watch_members)
            nursery.start_soon(self._register)
            nursery.start_soon(self.timer_service.run)
            task_status.started()
            await trio.sleep_forever()

    async def _register(self) -> None:
        member = _ports.MemberInfo(
            self.me.instance_id, self.me.address, self.me.data_centre
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
            if self.leader is not None:
                with trio.CancelScope() as self._worker_scope:
                    await self.worker_watch.run()
            else:
                await self.worker_watch.read()
                self.worker_watch.is_current = False
                with trio.move_on_after(_FOLLOWER_READ_S) as scope:
                    self._worker_scope = scope
                    await trio.sleep_forever()

    async def _watch_members(self) -> None:
        read_s = -1e9
        while True:
            now_s = trio.current_time()
            if now_s - read_s >= self._member_interval_s():
                read_s = now_s
                await self.member_watch.read()
            await trio.sleep(
                _MEMBER_READ_S * self.random_state.uniform(0.7, 1.3)
            )

    def _member_interval_s(self) -> float:
        """Return how often the members are read in the present role."""
        match self.elector.role:
            case leadership.Role.SEARCHING | leadership.Role.ISOLATED:
                # Instances that start together do not see each other in
                # their first reading.
                return _MEMBER_READ_S
            case leadership.Role.LEADING:
                return _LEADER_MEMBER_READ_S
        return _FOLLOWER_READ_S

    def close(self) -> None:
        """Close the sockets."""
        self.peer_socket.close()

    def begin_stop(self) -> None:
        """Hand over leadership and take no more part in elections."""
        self.is_stopping = True
        self.elector.is_stopping = True
        leader = self.leader
        if leader is None:
            return
        now_s = trio.current_time()
        successors = leader.successors()
        if not successors:
            _log.log('no_successor', n_followers=len(leader.followers))
            return
        self._retire(successors[0].instance_id, now_s)

    def _retire(self, successor_id: str, now_s: float) -> None:
        leader = self.leader
        _log.log('leadership_handed_over', successor=successor_id)
        for member_id in leader.alive():
            if member_id != self.me.instance_id:
                self.send(
                    member_id,
                    _messages.Handover(leader.term, successor_id),
                )
        self._stop_leading(now_s)

    # Data from the store

    def _routing_changed(
        self, rows: dict[str, _ports.Routing], version: int
    ) -> None:
        newest = max(rows.values(), key=lambda r: r.version, default=None)
        if newest is None or (
            self.routing is not None and newest.version <= self.routing.version
        ):
            return
        self.routing = newest
        _log.log(
            'configuration_in_force',
            version=newest.version,
            n_routes=len(newest.routes),
            store_version=version,
        )
        self.on_routing(newest)

    def _workers_changed(
        self, rows: dict[str, dispatch.WorkerInfo], version: int
    ) -> None:
        if {**rows} == self._workers:
            return
        self._workers = dict(rows)
        if self.leader is not None:
            self._set_workers(trio.current_time())

    def _set_workers(self, now_s: float) -> None:
        scope = self.leader.scope
        self.leader.dispatcher.set_workers(
            {
                key: info
                for key, info in self._workers.items()
                if scope in (leadership.FLEET, info.data_centre)
            },
            now_s,
        )
        self.leader.carry_out()

    def _members_changed(
        self, rows: dict[str, _ports.MemberInfo], version: int
    ) -> None:
        for key, member in rows.items():
            if key != self.me.instance_id:
                self.peers.setdefault(key, member)

    # Messages

    def send(self, member_id: str, message: _messages.Message) -> None:
        """Queue a message to an instance."""
        peer = self.peers.get(member_id)
        if peer is not None:
            self._send_to(peer.address, message)

    def _send_to(self, address: str, message: _messages.Message) -> None:
        self.peer_socket.send(address, _messages.encode(self.me, message))

    async def _receive(self) -> None:
        async for frame in self.peer_socket.receive():
            try:
                sender, message = _messages.decode(frame)
            except _messages.MalformedError as exc:
                _log.log('malformed_message', reason=str(exc))
                continue
            if sender.instance_id == self.me.instance_id:
                continue
            known = self.peers.get(sender.instance_id)
            if known is None or known.address != sender.address:
                self.peers[sender.instance_id] = _ports.MemberInfo(
                    sender.instance_id, sender.address, sender.data_centre
                )
            self._handle(sender, message, trio.current_time())

    def _handle(
        self, sender: _messages.Sender, message: typing.Any, now_s: float
    ) -> None:
        sender_id = sender.instance_id
        leader = self.leader
        match message:
            case _messages.Probe():
                self._probed(sender, message, now_s)
            case _messages.Beat():
                self._beat_heard(sender, message, now_s)
            case _messages.BeatReply():
                if leader is not None and message.term == leader.term:
                    leader.beat_answered(sender_id, message, now_s)
                    if message.lacks_tables:
                        self._send_tables(sender_id)
            case _messages.SubmitJob():
                if leader is not None and message.term == leader.term:
                    leader.submitted(sender_id, message, now_s)
            case _messages.CancelJob():
                if leader is not None and message.term == leader.term:
                    leader.cancelled(sender_id, message, now_s)
            case _messages.JobEnded():
                self._job_ended(sender_id, message)
            case _messages.JobUnknown():
                pending = self.pending.get(message.job_id)
                if pending is not None and pending.leader == (
                    sender_id,
                    message.term,
                ):
                    pending.leader = None
                    self._submit_pending(pending, now_s)
            case _messages.Tables():
                self._tables_received(sender_id, message)
            case _messages.Handover():
                self._handed_over(sender_id, message, now_s)

    def _probed(
        self, sender: _messages.Sender, probe: _messages.Probe, now_s: float
    ) -> None:
        self.elector.hear_peer(probe.state, now_s)
        if not probe.wants_answer:
            return
        self._renew_connection(sender.address, now_s)
        if self.leader is not None:
            self.leader.send_beat(self.leader.follower(sender.instance_id))
        self._send_to(
            sender.address, _messages.Probe(self.elector.state(), False)
        )
        if probe.lacks_tables:
            self._send_tables(sender.instance_id)

    def _lacks_tables(self) -> bool:
        return self.routing is None or not self._workers

    def _send_tables(self, member_id: str) -> None:
        if self._lacks_tables():
            return
        self.send(
            member_id,
            _messages.Tables(
                self.routing, self._workers, list(self.peers.values())
            ),
        )

    def _tables_received(
        self, sender_id: str, tables: _messages.Tables
    ) -> None:
        """Fill in what could not be read from the store."""
        _log.log(
            'tables_received',
            peer=sender_id,
            version=tables.routing.version if tables.routing else None,
            n_workers=len(tables.workers),
        )
        if self.routing is None and tables.routing is not None:
            self._routing_changed({'': tables.routing}, 0)
        if not self._workers:
            self._workers_changed(tables.workers, 0)
        self._members_changed({m.instance_id: m for m in tables.members}, 0)

    def _renew_connection(self, address: str, now_s: float) -> None:
        # A peer that searches may not hear what is sent to it: the
        # connection may be silent for good.
        if now_s - self._reset_s.get(address, -1e9) > _RECONNECT_S:
            self._reset_s[address] = now_s
            self.peer_socket.disconnect(address)

    def _beat_heard(
        self, sender: _messages.Sender, beat: _messages.Beat, now_s: float
    ) -> None:
        self.elector.hear_from(sender.data_centre, now_s)
        before = (self.elector.leader_id, self.elector.term)
        was_leading = self.leader is not None
        last_beat_s = self.elector.last_beat_s
        if not self.elector.hear_beat(
            sender.instance_id,
            sender.data_centre,
            beat.term,
            beat.scope,
            beat.alive,
            now_s,
        ):
            if self.leader is not None:
                # The other leader gives way once it hears of this one.
                self.leader.send_beat(self.leader.follower(sender.instance_id))
            return
        if was_leading:
            self._stop_leading(now_s, following=True)
        self._session = beat.session
        self._highest_token = max(self._highest_token, beat.token)
        self.n_unstarted = beat.n_unstarted
        if (sender.instance_id, beat.term) != before:
            _log.log(
                'leader_followed',
                leader=sender.instance_id,
                term=beat.term,
                scope=beat.scope,
                last_beat_ago_s=round(now_s - last_beat_s, 3),
            )
            if not was_leading:
                self._lost_contact_s = max(self._lost_contact_s, last_beat_s)
        if not beat.is_heard:
            self._renew_connection(sender.address, now_s)
        self._send_to(
            sender.address,
            _messages.BeatReply(
                beat.term,
                beat.session,
                beat.sequence,
                [
                    job_id
                    for job_id, pending in self.pending.items()
                    if pending.leader == (sender.instance_id, beat.term)
                ],
                self.is_stopping,
                self._lacks_tables(),
                self.settings.rank,
            ),
        )
        for pending in list(self.pending.values()):
            if pending.leader != (sender.instance_id, beat.term):
                self._submit_pending(pending, now_s)

    def _handed_over(
        self, sender_id: str, message: _messages.Handover, now_s: float
    ) -> None:
        if sender_id != self.elector.leader_id:
            return
        self._lost_contact_s = now_s
        scope = self.elector.scope
        self.elector.search(now_s)
        if message.successor_id == self.me.instance_id:
            self._lead(scope, now_s)

    # Leadership

    def _lead(self, scope: str, now_s: float) -> None:
        self.elector.lead(scope, now_s)
        self._begin_leading(now_s)

    def _begin_leading(self, now_s: float) -> None:
        now_ms = int(self.wall_time() * 1000)
        leader = self.leader = _leader.Leader(
            instance_id=self.me.instance_id,
            term=self.elector.term,
            scope=self.elector.scope,
            token=self._new_token(),
            run_id_base=(now_ms * _RUN_IDS_PER_S // 1000) & 0x7FFFFFFF,
            gateway=self.gateway,
            send=self.send,
            answer_local=self._outcome,
            on_superseded=self._superseded,
            now_s=now_s,
        )
        _log.log(
            'leading',
            term=leader.term,
            scope=leader.scope,
            token=leader.dispatcher.token,
            n_workers=len(self._workers),
            workers_age_s=round(now_s - self.worker_watch.last_answer_s, 3),
        )
        self._nursery.start_soon(leader.run)
        self._set_workers(now_s)
        self._worker_scope.cancel()
        leader.beat(self.peers)
        for pending in list(self.pending.values()):
            self._submit_pending(pending, now_s)

    def _new_token(self) -> int:
        number = zlib.crc32(self.me.instance_id.encode()) % _TOKENS_PER_MS
        now_ms = int(self.wall_time() * 1000)
        now_ms = max(now_ms, self._highest_token // _TOKENS_PER_MS + 1)
        return now_ms * _TOKENS_PER_MS + number

    def _stop_leading(self, now_s: float, *, following: bool = False) -> None:
        leader = self.leader
        if leader is None:
            return
        self.leader = None
        leader.close()
        self._worker_scope.cancel()
        self._lost_contact_s = now_s
        self._highest_token = max(self._highest_token, leader.dispatcher.token)
        if not following:
            self.elector.step_down(now_s)
        _log.log('leading_ended', term=leader.term)

    def _superseded(self, token: int) -> None:
        leader = self.leader
        if leader is None or token != leader.dispatcher.token:
            return
        now_s = trio.current_time()
        if leader.scope == leadership.FLEET and leader.has_most_followers():
            if leader.may_raise_token(now_s):
                leader.raise_token(self._new_token())
                # The other leader gives way, or this one, when they hear
                # of each other.
                leader.beat(self.peers, everyone=True)
            return
        _log.log('superseded', term=leader.term, scope=leader.scope)
        self._stop_leading(now_s)

    def _tick(self) -> None:
        now_s = trio.current_time()
        was = self.elector.role
        became_leader = self.elector.tick(now_s, self._n_members())
        if self.elector.role is not was:
            _log.log(
                'role_changed',
                role=self.elector.role,
                before=was,
                heard=sorted(p.instance_id for p in self.elector.heard(now_s)),
                alive=sorted(self.elector.alive),
                reach=self.elector.reach,
                beat_ago_s=round(now_s - self.elector.last_beat_s, 3),
            )
            if (
                was is leadership.Role.FOLLOWING
                and self.elector.role is leadership.Role.SEARCHING
            ):
                self._lost_contact_s = max(
                    self._lost_contact_s, self.elector.last_beat_s
                )
                self._last_probe_s = -1e9
        if became_leader:
            self._begin_leading(now_s)
        elif (
            self.leader is not None
            and self.elector.role is not leadership.Role.LEADING
        ):
            self._stop_leading(now_s, following=True)
        if self.elector.role in (
            leadership.Role.SEARCHING,
            leadership.Role.ISOLATED,
        ):
            self._search(now_s)
        if self.leader is not None:
            self.leader.tick(now_s)
        self._expire_pending(now_s)

    def _n_members(self) -> int:
        return len(self.peers) + 1 if self.member_watch.version else 0

    def _search(self, now_s: float) -> None:
        if now_s - self._last_probe_s < _PROBE_S:
            return
        self._last_probe_s = now_s
        probe = _messages.Probe(
            self.elector.state(), True, self._lacks_tables()
        )
        for address in {
            *(peer.address for peer in self.peers.values()),
            *self.settings.seed_peers,
        } - {self.me.address}:
            self._send_to(address, probe)
        lacks_peers = not self.elector.has_half(
            len(self.elector.heard(now_s)), self._n_members()
        )
        if (
            lacks_peers
            and not self._is_exploring
            and now_s - self.elector.search_since_s > 2 * _PROBE_S
        ):
            self._is_exploring = True
            self._nursery.start_soon(self._explore)

    async def _explore(self) -> None:
        """Find out why half of the instances are out of contact."""
        try:
            before = self.elector.reach
            self.elector.reach = await self._find_reach()
            if self.elector.reach is not before:
                _log.log('reach_changed', reach=self.elector.reach)
            await trio.sleep(_EXPLORE_PAUSE_S)
        finally:
            self._is_exploring = False

    async def _find_reach(self) -> leadership.Reach:
        elsewhere = [
            worker
            for worker in self._workers.values()
            if worker.data_centre != self.me.data_centre
        ]
        self.random_state.shuffle(elsewhere)
        elsewhere = elsewhere[:_N_REACH_WORKERS]
        reached: list[str] = []

        async def reach(worker: dispatch.WorkerInfo) -> None:
            with trio.move_on_after(_REACH_TIMEOUT_S):
                if await self.gateway.reach(worker):
                    reached.append(worker.id)

        async with trio.open_nursery() as nursery:
            for worker in elsewhere:
                nursery.start_soon(reach, worker)
        if elsewhere and not reached:
            return leadership.Reach.OWN_DATA_CENTRE
        try:
            with trio.fail_after(_SIGN_CHECK_S):
                before = await self.store.read_leader_sign()
            await trio.sleep(_SIGN_CHECK_S)
            with trio.fail_after(_SIGN_CHECK_S):
                after = await self.store.read_leader_sign()
        except (_ports.StoreError, trio.TooSlowError) as exc:
            _log.log('leader_sign_unread', reason=repr(exc))
            await trio.sleep(_EXPLORE_PAUSE_S)
            return leadership.Reach.UNKNOWN
        if before == after:
            return leadership.Reach.NOBODY_LEADS
        return leadership.Reach.OTHERS_LEAD

    def _beat(self) -> None:
        leader = self.leader
        if leader is None:
            return
        now_s = trio.current_time()
        leader.beat(self.peers)
        better = leader.better_leader(self.settings.rank, now_s)
        if better is not None and leader.scope == leadership.FLEET:
            self._retire(better.instance_id, now_s)

    def _write_leader_sign(self) -> None:
        if self.leader is not None and self.leader.scope == leadership.FLEET:
            self._nursery.start_soon(self._put_leader_sign, self.leader)

    async def _put_leader_sign(self, leader: _leader.Leader) -> None:
        try:
            with trio.fail_after(_LEADER_SIGN_S):
                await self.store.put_leader_sign(
                    f'{self.me.instance_id}/{leader.term}/{leader.sequence}'
                )
        except (_ports.StoreError, trio.TooSlowError):
            # The watch of the routing logs the loss of the store.
            self.counters['leader_signs_failed'] += 1

    # Jobs

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        return (
            not self.is_stopping
            and self.routing is not None
            and self.elector.role is not leadership.Role.ISOLATED
            and not (
                self.elector.is_first_search
                and self.elector.role is leadership.Role.SEARCHING
            )
        )

    def submit(
        self,
        job: dispatch.Job,
        *,
        arrived_s: float,
        deadline_s: float,
        on_outcome: typing.Callable[[dispatch.Outcome], None],
    ) -> None:
        """Take a job of a caller; its outcome comes by callback."""
        self.counters['jobs'] += 1
        earlier = self.pending.pop(job.id, None)
        pending = Pending(job, arrived_s, deadline_s, on_outcome)
        if earlier is not None:
            # The caller has sent the job again on another connection.
            pending.leader = earlier.leader
            pending.was_submitted = earlier.was_submitted
        self.pending[job.id] = pending
        if self.elector.role is leadership.Role.ISOLATED:
            self._refuse(pending, 'instance out of contact')
        elif pending.leader is None:
            self._submit_pending(pending, trio.current_time())

    def _submit_pending(self, pending: Pending, now_s: float) -> None:
        role = self.elector.role
        job = pending.job
        leader = (self.elector.leader_id, self.elector.term)
        # Only another leader than the present one can have started tasks.
        elsewhere = pending.was_submitted and pending.leader != leader
        contact_s = self._lost_contact_s if elsewhere else None
        if role is leadership.Role.LEADING and self.leader is not None:
            pending.leader = leader
            pending.was_submitted = True
            self.leader.dispatcher.submit(
                job,
                self.me.instance_id,
                arrived_s=pending.arrived_s,
                deadline_s=pending.deadline_s,
                last_contact_s=contact_s,
                now_s=now_s,
            )
            self.leader.carry_out()
        elif role is leadership.Role.FOLLOWING:
            pending.leader = leader
            pending.was_submitted = True
            self.send(
                self.elector.leader_id,
                _messages.SubmitJob(
                    self.elector.term,
                    self._session,
                    job,
                    now_s - pending.arrived_s,
                    pending.deadline_s - now_s,
                    None if contact_s is None else now_s - contact_s,
                    self._highest_token,
                ),
            )

    def caller_left(self, job_id: str, on_outcome: typing.Any) -> None:
        """Drop a job whose caller has closed its connection."""
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
        if self.leader is not None:
            self.leader.dispatcher.cancel(
                job_id,
                self.me.instance_id,
                'caller left',
                trio.current_time(),
            )
            self.leader.carry_out()
        elif pending.leader is not None:
            self.send(
                pending.leader[0],
                _messages.CancelJob(pending.leader[1], self._session, job_id),
            )
        pending.on_outcome(
            dispatch.Outcome(dispatch.OutcomeKind.UNKNOWN, 'cancelled')
        )
        return True

    def _job_ended(self, sender_id: str, message: _messages.JobEnded) -> None:
        pending = self.pending.get(message.job_id)
        if pending is None:
            return
        # An earlier leader knows what has completed, but not what a later
        # one still runs.
        if message.outcome.kind is dispatch.OutcomeKind.COMPLETED or (
            pending.leader == (sender_id, message.term)
        ):
            self._outcome(message.job_id, message.outcome)

    def _outcome(self, job_id: str, outcome: dispatch.Outcome) -> None:
        pending = self.pending.pop(job_id, None)
        if pending is not None:
            self.counters[f'outcomes_{outcome.kind}'] += 1
            self.on_latency(
                outcome.kind, trio.current_time() - pending.arrived_s
            )
            pending.on_outcome(outcome)

    def _refuse(self, pending: Pending, reason: str) -> None:
        """Give up a job that no leader can be asked about."""
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
        self._outcome(
            pending.job.id,
            dispatch.Outcome(
                kind, reason, self.random_state.uniform(*_RETRY_AFTER_S)
            ),
        )

    def _expire_pending(self, now_s: float) -> None:
        role = self.elector.role
        for pending in list(self.pending.values()):
            if role is leadership.Role.ISOLATED:
                self._refuse(pending, 'instance out of contact')
            elif now_s > pending.deadline_s + 0.05:
                self._refuse(pending, 'deadline')
            elif (
                role is leadership.Role.SEARCHING
                and now_s - pending.arrived_s > _MAX_LEADERLESS_S
                and now_s - self.elector.search_since_s > _MAX_LEADERLESS_S
            ):
                self._refuse(pending, 'no leader found')

    def count_unstarted(self, queue: str) -> int:
        """Return the number of jobs of a queue without a started task."""
        if self.leader is not None:
            return self.leader.n_unstarted().get(queue, 0)
        return self.n_unstarted.get(queue, 0)

    def state(self) -> dict[str, typing.Any]:
        """Return a dump for operators."""
        now_s = trio.current_time()
        return {
            'instance_id': self.me.instance_id,
            'incarnation': self.incarnation,
            'role': self.elector.role,
            'leader': self.elector.leader_id,
            'term': self.elector.term,
            'scope': self.elector.scope,
            'beat_ago_s': round(now_s - self.elector.last_beat_s, 3),
            'peers': sorted(self.peers),
            'configuration': self.routing.version if self.routing else None,
            'n_pending': len(self.pending),
            'counters': self.counters,
            'dispatcher': self.leader.dispatcher.state(now_s)
            if self.leader
            else None,
        }
