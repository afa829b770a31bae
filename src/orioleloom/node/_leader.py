import random
import typing

import trio

from orioleloom import dispatch
from orioleloom import leadership
from orioleloom import memory
from orioleloom.node import _follower
from orioleloom.node import _leader_load
from orioleloom.node import _load_shedding
from orioleloom.node import _log
from orioleloom.node import _loop_monitor
from orioleloom.node import _messages
from orioleloom.node import _ports

# Workers normally answer a start or stop request within a few milliseconds.
# A start that times out is followed by a stop on another connection.
_START_TIMEOUT_S = 0.03
_STOP_TIMEOUT_S = 0.03
# A job that is missing from its follower's list is cancelled only when it is
# older than this, since the list may predate the submission.
_CANCEL_UNLISTED_AFTER_S = 0.3

# Increments by which a superseded leader raises its token, equivalent to one
# millisecond and two seconds of clock time.
_INITIAL_TOKEN_STEP = 1_000
_MAX_TOKEN_STEP = 2_000_000
# Minimum time between two increments. It keeps two competing leaders from
# raising their tokens far ahead of the clock before one receives the other's
# heartbeat.
_MIN_TOKEN_RAISE_INTERVAL_S = 0.025
# The increment returns to its initial value after this time without a raise.
_TOKEN_STEP_RESET_S = 3.0

# A report request times out this long after the wait time that it gives to
# the worker.
_REPORT_TIMEOUT_MARGIN_S = 0.05
# Delay before the next report request to a worker that does not answer; it
# doubles up to the maximum.
_INITIAL_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 0.5

# Instances that do not answer get only one heartbeat in this many, since
# most of them no longer exist.
_LOST_FOLLOWER_HEARTBEAT_RATIO = 10
# One heartbeat in this many carries the list of instances in contact even if
# it is unchanged, since a heartbeat may be lost. The others leave it out,
# because the list grows with the fleet.
_ALIVE_LIST_HEARTBEAT_RATIO = 10
# A follower takes over if its rank exceeds the leader's by this factor and
# both have been in their roles for the minimum time.
_TAKEOVER_RANK_FACTOR = 1.5
_MIN_ROLE_AGE_S = 2.0
# Number of recent heartbeats whose send times are kept, to tell the age of
# the replies to them.
_MAX_TRACKED_HEARTBEATS = 64
# Before requests are sent to workers, followers are checked for timeouts at
# most this often. Followers submit their jobs to another leader after a
# timeout, and that leader relies on this check.
_FOLLOWER_CHECK_INTERVAL_S = 0.02


class Leader:
    """Runs a dispatcher and serves the followers of one term.

    :param send: queues a message to an instance
    :param deliver_local: delivers the outcome of a job that was submitted at
        this instance
    :param on_superseded: called with the rejected token when a worker
        accepts only another leader's higher token
    :param reconnect: replaces the connection to an instance
    :param earlier_contact_s: last contact with an earlier leader, or when the
        search for one began
    :param earlier_list: workers that it used, if there was one
    :param earlier_running_job_ids: the jobs that may have runs, if it has
        named them all when it handed over
    :param random_state: source of the random numbers of its dispatcher
    :param loop_monitor: monitor of the event loop that the leader runs in
    :param memory_budget: budget of the process
    """

    def __init__(
        self,
        *,
        instance_id: str,
        term: int,
        scope: str,
        token: int,
        run_id_base: int,
        gateway: _ports.WorkerGateway,
        send: typing.Callable[[str, _messages.Message], None],
        deliver_local: typing.Callable[[str, dispatch.Outcome], None],
        on_superseded: typing.Callable[[int], None],
        reconnect: typing.Callable[[str], None],
        earlier_contact_s: float,
        earlier_list: dispatch.ListInUse | None,
        earlier_running_job_ids: typing.Collection[str] | None = None,
        now_s: float,
        random_state: random.Random,
        loop_monitor: _loop_monitor.LoopMonitor,
        memory_budget: memory.Budget | None = None,
        settings: dispatch.Settings = dispatch.Settings(),
    ):
        self.instance_id = instance_id
        self.term = term
        self.scope = scope
        self.gateway = gateway
        self.send = send
        self.deliver_local = deliver_local
        self.on_superseded = on_superseded
        self.reconnect = reconnect
        self.dispatcher = dispatch.Dispatcher(
            token=token,
            run_id_base=run_id_base,
            random_state=random_state,
            now_s=now_s,
            is_fleet_wide=scope == leadership.FLEET,
            earlier_contact_s=earlier_contact_s,
            earlier_list=earlier_list,
            earlier_running_job_ids=earlier_running_job_ids,
            settings=settings,
            job_account=memory.JobAccount(memory_budget or memory.Budget()),
        )
        self.load = _leader_load.LeaderLoad(loop_monitor, now_s)
        self.wait_sender = _load_shedding.WaitSender(send, term)
        self.followers: dict[str, _follower.Follower] = {}
        # Jobs whose crashes have changed since they were last written.
        self.unsaved_crash_job_ids: set[str] = set()
        self.sequence = 0
        # Version of the configuration in force here.
        self.routing_version = 0
        # Send times of recent heartbeats, by sequence number.
        self._heartbeat_sent_s: dict[int, float] = {}
        # Workers in use, as named by the latest heartbeats.
        self.list_in_use = dispatch.ListInUse()
        self._followers_checked_s = -1e9
        self._last_sent_alive: list[str] | None = None
        self.is_closed = False
        self._token_step = _INITIAL_TOKEN_STEP
        self._token_raised_s = -1e9
        # First heartbeat with the current token. A reply to an earlier one
        # does not prove that the instance still follows this leader rather
        # than one with a higher token.
        self._first_sequence_of_token = 0
        self._cancel_scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self._effects_available = trio.Event()

    def use_routing(self, routing: _ports.Routing | None) -> None:
        """Use a configuration, or none while none has been read."""
        self.routing_version = routing.version if routing else 0
        self.dispatcher.capacity.unguarded_upstreams = (
            frozenset(routing.unguarded_upstreams) if routing else None
        )

    async def run(self) -> None:
        """Process the dispatcher's effects until :meth:`close`."""
        with self._cancel_scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self.schedule_effects()
                await self._process_effects_forever()

    def close(self) -> None:
        """Deliver the known outcomes and send no more worker requests."""
        self.is_closed = True
        self._process_effects()
        self.dispatcher.job_account.close()
        self._cancel_scope.cancel()

    # Effects

    def schedule_effects(self) -> None:
        """Schedule the dispatcher's pending effects.

        All events of one event-loop iteration share one placement round.
        Under load the rounds then become larger rather than more frequent.
        """
        self._effects_available.set()

    async def _process_effects_forever(self) -> None:
        while True:
            await self._effects_available.wait()
            self._effects_available = trio.Event()
            try:
                monitor = self.load.loop_monitor
                self.dispatcher.pacer.observe_turn(
                    monitor.last_turn_s, monitor.last_idle_s
                )
                self._expire_followers_if_due()
                self._process_effects()
            except Exception:
                _log.log_unexpected_error('effects')

    def _start_task(
        self,
        name: str,
        function: typing.Callable[..., typing.Any],
        *args: typing.Any,
    ) -> None:
        self._nursery.start_soon(_log.run_guarded, name, function, *args)

    def _process_effects(self) -> None:
        for effect in self.dispatcher.take_effects():
            match effect:
                case dispatch.AnswerJob():
                    self._deliver_outcome(effect)
                case dispatch.LogDecision():
                    _log.log(effect.name, **effect.fields)
                case _ if self.is_closed:
                    # An earlier effect in this batch has closed the leader.
                    continue
                case dispatch.StartRun():
                    self._start_task('start', self._start_run, effect)
                case dispatch.StopRun():
                    self._start_task('stop', self._stop_run, effect)
                case dispatch.PollWorker():
                    self._start_task(
                        'poll',
                        self._poll_worker,
                        effect.worker_id,
                        effect.loop_index,
                    )
                case dispatch.PollWorkerOnce():
                    self._start_task(
                        'poll', self._poll_worker_once, effect.worker_id
                    )
                case dispatch.Superseded():
                    self.on_superseded(effect.token)

    def _deliver_outcome(self, effect: dispatch.AnswerJob) -> None:
        if effect.instance_id == self.instance_id:
            self.deliver_local(effect.job_id, effect.outcome)
        else:
            self.send(
                effect.instance_id,
                _messages.JobEnded(self.term, effect.job_id, effect.outcome),
            )

    async def _start_run(self, command: dispatch.StartRun) -> None:
        try:
            await self._request_start(command)
        finally:
            self.dispatcher.start_payloads.remove(command.payload)

    async def _request_start(self, command: dispatch.StartRun) -> None:
        dispatcher = self.dispatcher
        worker_id = command.worker.id
        run_args = (worker_id, command.key, command.run_id)
        due_s = trio.current_time() + _START_TIMEOUT_S
        try:
            with trio.fail_at(due_s):
                clock_ms = await self.gateway.start(command)
        except _ports.RejectedError as exc:
            dispatcher.handle_start_rejected(
                *run_args, exc.reason, trio.current_time()
            )
        except _ports.NotSentError as exc:
            dispatcher.handle_start_unanswered(
                *run_args,
                False,
                trio.current_time(),
                is_closed=isinstance(exc, _ports.RefusedError),
            )
        except (_ports.NoAnswerError, trio.TooSlowError) as exc:
            now_s = trio.current_time()
            if isinstance(exc, trio.TooSlowError):
                self.load.record_timeout(due_s, now_s)
            dispatcher.handle_start_unanswered(
                *run_args,
                True,
                now_s,
                is_closed=isinstance(exc, _ports.ClosedError),
            )
        except Exception:
            # The request may have been sent.
            _log.log_unexpected_error('start')
            dispatcher.handle_start_unanswered(
                *run_args, True, trio.current_time()
            )
        else:
            dispatcher.handle_start_accepted(
                *run_args, clock_ms, trio.current_time()
            )
        self.schedule_effects()

    async def _stop_run(self, command: dispatch.StopRun) -> None:
        due_s = trio.current_time() + _STOP_TIMEOUT_S
        try:
            with trio.fail_at(due_s):
                await self.gateway.stop(command)
        except (
            _ports.RejectedError,
            _ports.NotSentError,
            _ports.NoAnswerError,
            trio.TooSlowError,
        ) as exc:
            if isinstance(exc, trio.TooSlowError):
                self.load.record_timeout(due_s, trio.current_time())
            _log.log(
                'stop_unanswered',
                job=command.key.job_id,
                worker=command.worker.id,
                run=command.run_id,
                reason=f'{type(exc).__name__}: {exc}',
            )
            return
        self.dispatcher.handle_stop_confirmed(
            command.worker.id, command.key, command.run_id, trio.current_time()
        )
        self.schedule_effects()

    async def _poll_worker(self, worker_id: str, loop_index: int) -> None:
        """Request reports from a worker while the dispatcher needs them."""
        dispatcher = self.dispatcher
        backoff_s = _INITIAL_BACKOFF_S
        has_answered = True
        while dispatcher.needs_poll(
            worker_id, loop_index, trio.current_time()
        ):
            # After a failed request, ask for an immediate report.
            wait_s = (
                dispatcher.max_poll_wait_s(worker_id, trio.current_time())
                if has_answered
                else 0.0
            )
            has_answered = await self._request_report(worker_id, wait_s)
            if has_answered:
                backoff_s = _INITIAL_BACKOFF_S
            else:
                await trio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    async def _poll_worker_once(self, worker_id: str) -> None:
        if worker_id in self.dispatcher.workers:
            await self._request_report(worker_id, 0.0)

    async def _request_report(self, worker_id: str, wait_s: float) -> bool:
        self._expire_followers_if_due()
        worker = self.dispatcher.workers[worker_id]
        token = self.dispatcher.token
        requested_s = trio.current_time()
        expires_ms, acked_through = self.dispatcher.renew_lease(
            worker_id, requested_s
        )
        # A poll without an answer may renew the leases later.
        renewal_sent_s = None if expires_ms is None else requested_s
        due_s = requested_s + wait_s + _REPORT_TIMEOUT_MARGIN_S
        try:
            with trio.fail_at(due_s):
                report = await self.gateway.report(
                    worker.info, token, expires_ms, acked_through, wait_s
                )
        except _ports.RejectedError as exc:
            now_s = trio.current_time()
            if exc.reason is dispatch.Rejection.FENCED:
                self.on_superseded(token)
            self.dispatcher.handle_poll_failure(worker_id, exc.reason, now_s)
            self.schedule_effects()
            if exc.reason is dispatch.Rejection.FENCED:
                # By then the next request carries a higher token.
                await trio.sleep(_MIN_TOKEN_RAISE_INTERVAL_S)
                return True
            return False
        except (
            _ports.NotSentError,
            _ports.NoAnswerError,
            trio.TooSlowError,
        ) as exc:
            now_s = trio.current_time()
            if isinstance(exc, trio.TooSlowError):
                self.load.record_timeout(due_s, now_s)
            reason = f'{type(exc).__name__}: {exc}'
            self.dispatcher.handle_poll_failure(
                worker_id,
                reason,
                now_s,
                is_closed=isinstance(
                    exc, _ports.RefusedError | _ports.ClosedError
                ),
                renewal_sent_s=None
                if isinstance(exc, _ports.NotSentError)
                else renewal_sent_s,
            )
            self.schedule_effects()
            return False
        except Exception:
            _log.log_unexpected_error('report')
            self.dispatcher.handle_poll_failure(
                worker_id,
                'internal error',
                trio.current_time(),
                renewal_sent_s=renewal_sent_s,
            )
            self.schedule_effects()
            return False
        self.dispatcher.handle_report(
            worker_id, report, requested_s, trio.current_time()
        )
        self.schedule_effects()
        return True

    # Followers

    def tick(self, now_s: float) -> None:
        """Expire silent followers and run the dispatcher's timed work."""
        self._expire_followers(now_s)
        self._acknowledge_workers()
        self.dispatcher.tick(now_s)
        self.load.log_if_due(
            self.dispatcher, len(self.instances_in_contact()) - 1, now_s
        )
        self.schedule_effects()

    def _expire_followers_if_due(self) -> None:
        """Expire silent followers before further worker requests are sent.

        After a pause of the process, the leader would otherwise start tasks
        of jobs that their followers have submitted to another leader.
        """
        now_s = trio.current_time()
        if now_s - self._followers_checked_s >= _FOLLOWER_CHECK_INTERVAL_S:
            self._expire_followers(now_s)

    def _expire_followers(self, now_s: float) -> None:
        self._followers_checked_s = now_s
        for follower in self.followers.values():
            if (
                not follower.is_out_of_contact
                and now_s - follower.last_heard_s
                > leadership.FOLLOWER_TIMEOUT_S
            ):
                follower.is_out_of_contact = True
                follower.session += 1
                _log.log(
                    'follower_lost',
                    peer=follower.instance_id,
                    heard_ago_s=round(now_s - follower.last_heard_s, 3),
                )
                self.dispatcher.cancel_instance_jobs(
                    follower.instance_id, 'instance out of contact', now_s
                )

    def instances_in_contact(self) -> list[str]:
        """Return the ids of this instance and the followers in contact."""
        return [
            self.instance_id,
            *(
                f.instance_id
                for f in self.followers.values()
                if not f.is_out_of_contact
            ),
        ]

    def send_heartbeats(
        self, member_ids: typing.Iterable[str], *, include_lost: bool = False
    ) -> None:
        """Send a heartbeat to the other instances.

        Instances out of contact normally get only some of the heartbeats.

        :param include_lost: send this heartbeat to all of them
        """
        self.sequence += 1
        self.list_in_use = self.dispatcher.announce_workers(self.sequence)
        self._heartbeat_sent_s[self.sequence] = trio.current_time()
        self._heartbeat_sent_s.pop(
            self.sequence - _MAX_TRACKED_HEARTBEATS, None
        )
        alive: list[str] | None = self.instances_in_contact()
        if (
            alive == self._last_sent_alive
            and self.sequence % _ALIVE_LIST_HEARTBEAT_RATIO
        ):
            alive = None
        else:
            self._last_sent_alive = alive
        n_unstarted = self.count_unstarted_by_queue()
        for index, member_id in enumerate(sorted(member_ids)):
            follower = self.get_or_add_follower(member_id)
            if (
                follower.is_out_of_contact
                and not include_lost
                and ((self.sequence + index) % _LOST_FOLLOWER_HEARTBEAT_RATIO)
            ):
                continue
            if follower.is_out_of_contact:
                # The connection may have stalled while the instance was
                # unreachable, for longer than the instance was.
                self.reconnect(member_id)
            self._send_heartbeat(follower, alive, n_unstarted)

    def send_crashes(self, now_s: float) -> None:
        """Tell the instances that hold the jobs of changed crashes.

        They tell the next leader, also while the store is away.
        """
        crashes = self.dispatcher.crashes
        changed = crashes.take_changed_job_ids()
        self.unsaved_crash_job_ids |= changed
        job_ids_by_holder: dict[str, list[str]] = {}
        for job_id in sorted(changed):
            job = self.dispatcher.jobs.get(job_id)
            if job is not None and job.instance_id != self.instance_id:
                job_ids_by_holder.setdefault(job.instance_id, []).append(
                    job_id
                )
        for instance_id, job_ids in job_ids_by_holder.items():
            records = crashes.records(now_s, job_ids)
            if records:
                self.send(instance_id, _messages.Crashes(records))

    def get_or_add_follower(self, member_id: str) -> _follower.Follower:
        """Return the state of an instance, creating it if necessary."""
        follower = self.followers.get(member_id)
        if follower is None:
            follower = _follower.Follower(member_id, (self.term << 20) + 1)
            self.followers[member_id] = follower
        return follower

    def send_heartbeat(self, follower: _follower.Follower) -> None:
        """Send a heartbeat to one instance immediately."""
        self._send_heartbeat(
            follower,
            self.instances_in_contact(),
            self.count_unstarted_by_queue(),
        )

    def _send_heartbeat(
        self,
        follower: _follower.Follower,
        alive: list[str] | None,
        n_unstarted: dict[str, int],
    ) -> None:
        if follower.is_out_of_contact or (
            self.sequence % _ALIVE_LIST_HEARTBEAT_RATIO == 0
        ):
            # Before the first jobs of the follower.
            self.send(
                follower.instance_id,
                _messages.RoomRequestsAccepted(self.term),
            )
        self.send(
            follower.instance_id,
            _messages.Beat(
                self.term,
                self.scope,
                follower.session,
                self.sequence,
                not follower.is_out_of_contact,
                alive,
                n_unstarted,
                self.dispatcher.token,
                self.routing_version,
                self.list_in_use,
            ),
        )

    def count_unstarted_by_queue(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        return dispatch.count_unstarted_by_queue(self.dispatcher.jobs.values())

    def handle_heartbeat_reply(
        self, member_id: str, reply: _messages.BeatReply, now_s: float
    ) -> None:
        """Update a follower's state and reconcile its jobs."""
        follower = self.get_or_add_follower(member_id)
        # Contact is counted from when the answered heartbeat was sent. The
        # reply may have been queued here, so its arrival does not prove
        # later contact.
        heard_s = self._heartbeat_sent_s.get(reply.sequence, -1e9)
        if heard_s > 0:
            self.load.record_reply(now_s - heard_s)
        if (
            reply.session != follower.session
            or now_s - heard_s > leadership.FOLLOWER_TIMEOUT_S
        ):
            return
        if follower.is_out_of_contact:
            if reply.sequence < self.dispatcher.min_known_announcement:
                # It does not know yet which workers are in use.
                self.send_heartbeat(follower)
                return
            _log.log('follower_joined', peer=member_id)
            follower.joined_s = now_s
        follower.is_out_of_contact = False
        follower.last_heard_s = max(follower.last_heard_s, heard_s)
        follower.answered_sequence = max(
            follower.answered_sequence, reply.sequence
        )
        follower.is_stopping = reply.is_stopping
        follower.rank = reply.rank
        if reply.sequence >= self._first_sequence_of_token:
            self.dispatcher.resume_instance(member_id, now_s)
        if reply.outcomes:
            self.dispatcher.add_progress((), reply.outcomes, now_s)
        pending_ids = set(reply.job_ids)
        for job_id in pending_ids - self.dispatcher.jobs.keys():
            outcome = self.dispatcher.outcome(job_id)
            if outcome is None:
                self.send(member_id, _messages.JobUnknown(self.term, job_id))
            else:
                self.send(
                    member_id,
                    _messages.JobEnded(self.term, job_id, outcome),
                )
        for job in self.dispatcher.jobs_of_instance(member_id):
            if (
                job.job.id not in pending_ids
                and now_s - job.accepted_s > _CANCEL_UNLISTED_AFTER_S
            ):
                self.dispatcher.cancel(
                    job.job.id, member_id, 'no caller waits', now_s
                )
        self.schedule_effects()

    def _acknowledge_workers(self) -> None:
        """Let the dispatcher use workers that all followers know of."""
        if not self.dispatcher.has_unacknowledged_workers():
            return
        self.dispatcher.acknowledge_workers(
            min(
                (
                    follower.answered_sequence
                    for follower in self.followers.values()
                    if not follower.is_out_of_contact
                ),
                default=self.sequence,
            )
        )

    def handle_submission(
        self, member_id: str, message: _messages.SubmitJob, now_s: float
    ) -> None:
        """Submit a follower's job to the dispatcher."""
        follower = self.get_or_add_follower(member_id)
        if message.session != follower.session or follower.is_out_of_contact:
            # The instance may follow another leader by now. If it does not,
            # its next replies name the job.
            return
        contact_s = message.contact_ago_s
        if contact_s is not None and message.token_seen > (
            self.dispatcher.token
        ):
            # The earlier leader may still use that token at workers that
            # have not seen it. A lower token of this leader would not make
            # them reject it.
            self.raise_token(message.token_seen + _INITIAL_TOKEN_STEP)
        self.dispatcher.submit(
            message.job,
            member_id,
            arrived_s=now_s - message.age_s,
            deadline_s=now_s + message.remaining_s,
            last_contact_s=None if contact_s is None else now_s - contact_s,
            list_in_use=message.list_in_use,
            now_s=now_s,
        )
        self.schedule_effects()

    def handle_room_request(
        self, member_id: str, message: _messages.RoomRequest, now_s: float
    ) -> None:
        """Reserve memory for a follower's job, or refuse it."""
        follower = self.get_or_add_follower(member_id)
        if message.session != follower.session or follower.is_out_of_contact:
            # It asks again after the next heartbeat.
            return
        refusal = self.dispatcher.reserve_memory(
            message.job_id,
            message.n_bytes,
            was_submitted=message.was_submitted,
            now_s=now_s,
        )
        self.send(
            member_id,
            _messages.RoomReply(self.term, message.job_id, refusal),
        )

    def handle_cancellation(
        self, member_id: str, message: _messages.CancelJob, now_s: float
    ) -> None:
        """Cancel a job whose caller has disconnected from a follower."""
        if message.session == self.get_or_add_follower(member_id).session:
            self.dispatcher.cancel(
                message.job_id, member_id, 'caller left', now_s
            )
            self.schedule_effects()

    def rank_successors(self) -> list[_follower.Follower]:
        """Return the followers that may lead, in the order of the election."""
        return sorted(
            (
                f
                for f in self.followers.values()
                if not f.is_out_of_contact and not f.is_stopping
            ),
            key=lambda f: (f.rank, f.instance_id),
            reverse=True,
        )

    def find_successor(
        self, rank: float, now_s: float, *, is_stopping: bool
    ) -> _follower.Follower | None:
        """Return a follower that should lead instead, if there is one.

        :param rank: rank of this instance
        :param is_stopping: this instance is in a planned stop, so that any
            other one should lead
        """
        for follower in self.rank_successors()[:1]:
            if is_stopping:
                return follower
            if (
                self.scope == leadership.FLEET
                and follower.rank > rank * _TAKEOVER_RANK_FACTOR
                and now_s - follower.joined_s > _MIN_ROLE_AGE_S
                and now_s - self.dispatcher.created_s > _MIN_ROLE_AGE_S
            ):
                return follower
        return None

    def is_in_contact_with_half(self) -> bool:
        """Return whether at least half of the known instances respond."""
        known = [f for f in self.followers.values() if f.last_heard_s > 0]
        n_in_contact = sum(1 for f in known if not f.is_out_of_contact)
        return 2 * (n_in_contact + 1) >= len(known) + 1

    def may_raise_token(self, now_s: float) -> bool:
        """Return whether the minimum time since the last raise has passed."""
        return now_s - self._token_raised_s >= _MIN_TOKEN_RAISE_INTERVAL_S

    def raise_token(self, min_token: int) -> None:
        """Raise the fencing token in order to exceed another leader's.

        :param min_token: lower bound of the new token
        """
        # The step doubles, since the other token is not known and may
        # come from a clock that is ahead.
        now_s = trio.current_time()
        if now_s - self._token_raised_s > _TOKEN_STEP_RESET_S:
            self._token_step = _INITIAL_TOKEN_STEP
        self._token_raised_s = now_s
        token = max(self.dispatcher.token + self._token_step, min_token)
        self._token_step = min(2 * self._token_step, _MAX_TOKEN_STEP)
        self._first_sequence_of_token = self.sequence + 1
        self.dispatcher.raise_token(token, self.followers)
        self.dispatcher.poll_unguarded_workers(now_s)
        _log.log('token_raised', token=self.dispatcher.token)
