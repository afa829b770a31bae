import random
import typing

import trio

from orioleloom import dispatch
from orioleloom import leadership
from orioleloom.node import _log
from orioleloom.node import _messages
from orioleloom.node import _ports

# A worker answers a start or stop within a few milliseconds. One that has
# not answered by then gets a stop on another connection.
_START_TIMEOUT_S = 0.03
_STOP_TIMEOUT_S = 0.03
# A follower's list of jobs may be older than a job that it has just sent.
_SUBMIT_GRACE_S = 0.3

# Steps by which a superseded leader raises its token: from a millisecond
# to two seconds of the time of day.
_FIRST_TOKEN_STEP = 1_000
_MAX_TOKEN_STEP = 2_000_000
# Between two steps, so that two leaders do not race far ahead of the time
# of day until one has heard the other's beat.
_TOKEN_INTERVAL_S = 0.025
# After this time without a step the next one is the first again.
_TOKEN_CALM_S = 3.0

# A worker that was asked to wait for the end of a run answers this long
# after that time at the latest.
_REPORT_GRACE_S = 0.05
# Pause between calls to a silent worker: it doubles up to the second value.
_FIRST_PAUSE_S = 0.02
_MAX_PAUSE_S = 0.5

# Beats to an instance that does not answer are sent this many times more
# seldom, since most of them are gone.
_SILENT_BEAT_EVERY = 10
# One beat of so many carries the list of instances though it is unchanged,
# since a beat may be lost. The list grows with the fleet.
_FULL_BEAT_EVERY = 10
# A follower with so many times the leader's capacity takes over, once both
# have been in their roles for a while.
_BETTER_RANK = 1.5
_SETTLED_S = 2.0
# Beats whose time is kept, to tell how old the replies to them are.
_N_BEATS_KEPT = 64
# Followers are checked for silence before orders leave, this often. Their
# jobs go to another leader after a time that counts on it.
_SILENCE_CHECK_S = 0.02


class Follower:
    """What a leader knows of another instance."""

    def __init__(self, instance_id: str, session: int):
        self.instance_id = instance_id
        self.session = session
        self.last_heard_s = -1e9
        self.is_lost = True
        self.joined_s = 0.0
        self.is_stopping = False
        self.rank = 0.0


class Leader:
    """Runs a dispatcher and serves the followers of one term.

    :param send: queues a message to an instance
    :param answer_local: hands an outcome to a caller of this instance
    :param on_superseded: called with the token that was too low when
        workers obey another leader
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
        answer_local: typing.Callable[[str, dispatch.Outcome], None],
        on_superseded: typing.Callable[[int], None],
        now_s: float,
    ):
        self.instance_id = instance_id
        self.term = term
        self.scope = scope
        self.gateway = gateway
        self.send = send
        self.answer_local = answer_local
        self.on_superseded = on_superseded
        self.dispatcher = dispatch.Dispatcher(
            token=token,
            run_id_base=run_id_base,
            random_state=random.Random(),
            now_s=now_s,
            sees_all=scope == leadership.FLEET,
        )
        self.followers: dict[str, Follower] = {}
        self.sequence = 0
        # When each of the last beats was sent, by sequence.
        self._beat_sent_s: dict[int, float] = {}
        self._silence_checked_s = -1e9
        self._sent_alive: list[str] | None = None
        self.is_closed = False
        self._token_step = _FIRST_TOKEN_STEP
        self._raised_s = -1e9
        # Replies to earlier beats do not show that an instance has not
        # left for a leader with a higher token.
        self._challenge_sequence = 0
        self._cancel_scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self._has_effects = trio.Event()

    async def run(self) -> None:
        """Carry out effects until :meth:`close`."""
        with self._cancel_scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self.carry_out()
                await self._carry_out_always()

    def close(self) -> None:
        """Give no more orders; hand over the outcomes that are known."""
        self.is_closed = True
        self._carry_out_effects()
        self._cancel_scope.cancel()

    # Effects

    def carry_out(self) -> None:
        """Have the dispatcher's decisions carried out soon.

        All events of one turn of the loop share one round of placement,
        so that rounds grow and do not multiply when the process is busy.
        """
        self._has_effects.set()

    async def _carry_out_always(self) -> None:
        while True:
            await self._has_effects.wait()
            self._has_effects = trio.Event()
            self._check_silence()
            self._carry_out_effects()

    def _carry_out_effects(self) -> None:
        for effect in self.dispatcher.take_effects():
            match effect:
                case dispatch.AnswerJob():
                    self._answer(effect)
                case dispatch.Decision():
                    _log.log(effect.name, **effect.fields)
                case _ if self.is_closed:
                    # One of the effects has ended the leadership.
                    continue
                case dispatch.StartRun():
                    self._nursery.start_soon(self._start_run, effect)
                case dispatch.StopRun():
                    self._nursery.start_soon(self._stop_run, effect)
                case dispatch.WatchWorker():
                    self._nursery.start_soon(
                        self._watch_worker, effect.worker_id, effect.lane
                    )
                case dispatch.LookAtWorker():
                    self._nursery.start_soon(self._look, effect.worker_id)
                case dispatch.Superseded():
                    self.on_superseded(effect.token)

    def _answer(self, effect: dispatch.AnswerJob) -> None:
        if effect.instance_id == self.instance_id:
            self.answer_local(effect.job_id, effect.outcome)
        else:
            self.send(
                effect.instance_id,
                _messages.JobEnded(self.term, effect.job_id, effect.outcome),
            )

    async def _start_run(self, order: dispatch.StartRun) -> None:
        dispatcher = self.dispatcher
        worker_id = order.worker.id
        run = (worker_id, order.key, order.run_id)
        try:
            with trio.fail_after(_START_TIMEOUT_S):
                clock_ms = await self.gateway.start(order)
        except _ports.RejectedError as exc:
            dispatcher.start_rejected(*run, exc.reason, trio.current_time())
        except _ports.NotSentError:
            dispatcher.start_unanswered(*run, False, trio.current_time())
        except (_ports.NoAnswerError, trio.TooSlowError):
            dispatcher.start_unanswered(*run, True, trio.current_time())
        else:
            dispatcher.start_accepted(*run, clock_ms, trio.current_time())
        self.carry_out()

    async def _stop_run(self, order: dispatch.StopRun) -> None:
        try:
            with trio.fail_after(_STOP_TIMEOUT_S):
                await self.gateway.stop(order)
        except (
            _ports.RejectedError,
            _ports.NotSentError,
            _ports.NoAnswerError,
            trio.TooSlowError,
        ) as exc:
            _log.log(
                'stop_unanswered',
                job=order.key.job_id,
                worker=order.worker.id,
                run=order.run_id,
                reason=f'{type(exc).__name__}: {exc}',
            )
            return
        self.dispatcher.stop_confirmed(
            order.worker.id, order.key, order.run_id, trio.current_time()
        )
        self.carry_out()

    async def _watch_worker(self, worker_id: str, lane: int) -> None:
        """Ask a worker for its runs as long as it has any."""
        dispatcher = self.dispatcher
        pause_s = _FIRST_PAUSE_S
        is_answered = True
        while dispatcher.needs_watch(worker_id, lane, trio.current_time()):
            # After a missing answer the next one must come at once.
            wait_s = (
                dispatcher.report_wait_s(trio.current_time())
                if is_answered
                else 0.0
            )
            is_answered = await self._ask(worker_id, wait_s)
            if is_answered:
                pause_s = _FIRST_PAUSE_S
            else:
                await trio.sleep(pause_s)
                pause_s = min(2 * pause_s, _MAX_PAUSE_S)

    async def _look(self, worker_id: str) -> None:
        if worker_id in self.dispatcher.workers:
            await self._ask(worker_id, 0.0)

    async def _ask(self, worker_id: str, wait_s: float) -> bool:
        self._check_silence()
        worker = self.dispatcher.workers[worker_id]
        token = self.dispatcher.token
        asked_s = trio.current_time()
        expires_ms, acked_through = self.dispatcher.lease(worker_id, asked_s)
        if expires_ms is None:
            wait_s = 0.0
        try:
            with trio.fail_after(wait_s + _REPORT_GRACE_S):
                report = await self.gateway.report(
                    worker.info, token, expires_ms, acked_through, wait_s
                )
        except _ports.RejectedError as exc:
            now_s = trio.current_time()
            if exc.reason is dispatch.Rejection.FENCED:
                self.on_superseded(token)
            self.dispatcher.report_failed(worker_id, exc.reason, now_s)
            self.carry_out()
            if exc.reason is dispatch.Rejection.FENCED:
                # The next question carries a higher token by then.
                await trio.sleep(_TOKEN_INTERVAL_S)
                return True
            return False
        except (
            _ports.NotSentError,
            _ports.NoAnswerError,
            trio.TooSlowError,
        ) as exc:
            reason = f'{type(exc).__name__}: {exc}'
            self.dispatcher.report_failed(
                worker_id, reason, trio.current_time()
            )
            self.carry_out()
            return False
        self.dispatcher.report(worker_id, report, asked_s, trio.current_time())
        self.carry_out()
        return True

    # Followers

    def tick(self, now_s: float) -> None:
        """Let the dispatcher handle the time, and drop lost followers."""
        self._drop_silent(now_s)
        self.dispatcher.tick(now_s)
        self.carry_out()

    def _check_silence(self) -> None:
        """Drop silent followers before the next orders leave.

        A process that stood still would otherwise start tasks of jobs
        that are another leader's by now.
        """
        now_s = trio.current_time()
        if now_s - self._silence_checked_s >= _SILENCE_CHECK_S:
            self._drop_silent(now_s)

    def _drop_silent(self, now_s: float) -> None:
        self._silence_checked_s = now_s
        for follower in self.followers.values():
            if (
                not follower.is_lost
                and now_s - follower.last_heard_s
                > leadership.FOLLOWER_SILENCE_S
            ):
                follower.is_lost = True
                follower.session += 1
                _log.log(
                    'follower_lost',
                    peer=follower.instance_id,
                    heard_ago_s=round(now_s - follower.last_heard_s, 3),
                )
                self.dispatcher.forget_instance(
                    follower.instance_id, 'instance out of contact', now_s
                )

    def alive(self) -> list[str]:
        """Return this instance and the followers in contact."""
        return [
            self.instance_id,
            *(f.instance_id for f in self.followers.values() if not f.is_lost),
        ]

    def beat(
        self, member_ids: typing.Iterable[str], *, everyone: bool = False
    ) -> None:
        """Send a sign of life to the other instances.

        :param everyone: also to those that have not answered for long
        """
        self.sequence += 1
        self._beat_sent_s[self.sequence] = trio.current_time()
        self._beat_sent_s.pop(self.sequence - _N_BEATS_KEPT, None)
        alive: list[str] | None = self.alive()
        if alive == self._sent_alive and self.sequence % _FULL_BEAT_EVERY:
            alive = None
        else:
            self._sent_alive = alive
        n_unstarted = self.n_unstarted()
        for number, member_id in enumerate(sorted(member_ids)):
            follower = self.follower(member_id)
            if (
                follower.is_lost
                and not everyone
                and ((self.sequence + number) % _SILENT_BEAT_EVERY)
            ):
                continue
            self._send_beat(follower, alive, n_unstarted)

    def follower(self, member_id: str) -> Follower:
        """Return the record of an instance."""
        known = self.followers.get(member_id)
        if known is None:
            known = Follower(member_id, (self.term << 20) + 1)
            self.followers[member_id] = known
        return known

    def send_beat(self, follower: Follower) -> None:
        """Send a sign of life to one instance at once."""
        self._send_beat(follower, self.alive(), self.n_unstarted())

    def _send_beat(
        self,
        follower: Follower,
        alive: list[str] | None,
        n_unstarted: dict[str, int],
    ) -> None:
        self.send(
            follower.instance_id,
            _messages.Beat(
                self.term,
                self.scope,
                follower.session,
                self.sequence,
                not follower.is_lost,
                alive,
                n_unstarted,
                self.dispatcher.token,
            ),
        )

    def n_unstarted(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        counts: dict[str, int] = {}
        for job in self.dispatcher.jobs.values():
            if job.first_start_s is None:
                name = job.job.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts

    def beat_answered(
        self, member_id: str, reply: _messages.BeatReply, now_s: float
    ) -> None:
        """Take note of a follower's sign of life and of its jobs."""
        follower = self.follower(member_id)
        # The follower has heard this leader after that beat was sent, but
        # perhaps not since: the reply may have waited for a turn here.
        heard_s = self._beat_sent_s.get(reply.sequence, -1e9)
        if (
            reply.session != follower.session
            or now_s - heard_s > leadership.FOLLOWER_SILENCE_S
        ):
            return
        if follower.is_lost:
            _log.log('follower_joined', peer=member_id)
            follower.joined_s = now_s
        follower.is_lost = False
        follower.last_heard_s = max(follower.last_heard_s, heard_s)
        follower.is_stopping = reply.is_stopping
        follower.rank = reply.rank
        if reply.sequence >= self._challenge_sequence:
            self.dispatcher.resume_instance(member_id, now_s)
        wanted = set(reply.job_ids)
        for job_id in wanted - self.dispatcher.jobs.keys():
            outcome = self.dispatcher.outcome(job_id)
            if outcome is None:
                self.send(member_id, _messages.JobUnknown(self.term, job_id))
            else:
                self.send(
                    member_id,
                    _messages.JobEnded(self.term, job_id, outcome),
                )
        for job in list(self.dispatcher.jobs.values()):
            if (
                job.instance_id == member_id
                and job.job.id not in wanted
                and now_s - job.accepted_s > _SUBMIT_GRACE_S
            ):
                self.dispatcher.cancel(
                    job.job.id, member_id, 'no caller waits', now_s
                )
        self.carry_out()

    def submitted(
        self, member_id: str, message: _messages.SubmitJob, now_s: float
    ) -> None:
        """Take over a job of a follower."""
        follower = self.follower(member_id)
        if message.session != follower.session:
            return
        contact_s = message.contact_ago_s
        if contact_s is not None and message.token_seen > (
            self.dispatcher.token
        ):
            # The earlier leader may use that token where it has not been
            # seen yet; confirmations of a lower one would not bind it.
            self.raise_token(message.token_seen + _FIRST_TOKEN_STEP)
        self.dispatcher.submit(
            message.job,
            member_id,
            arrived_s=now_s - message.age_s,
            deadline_s=now_s + message.remaining_s,
            last_contact_s=None if contact_s is None else now_s - contact_s,
            now_s=now_s,
        )
        self.carry_out()

    def cancelled(
        self, member_id: str, message: _messages.CancelJob, now_s: float
    ) -> None:
        """End a job whose caller has left a follower."""
        if message.session == self.follower(member_id).session:
            self.dispatcher.cancel(
                message.job_id, member_id, 'caller left', now_s
            )
            self.carry_out()

    def successors(self) -> list[Follower]:
        """Return the followers that may lead, the best one first."""
        return sorted(
            (
                f
                for f in self.followers.values()
                if not f.is_lost and not f.is_stopping
            ),
            key=lambda f: (-f.rank, f.instance_id),
        )

    def better_leader(self, rank: float, now_s: float) -> Follower | None:
        """Return a follower that has far more capacity for leading."""
        for follower in self.successors()[:1]:
            if (
                follower.rank > rank * _BETTER_RANK
                and now_s - follower.joined_s > _SETTLED_S
                and now_s - self.dispatcher.created_s > _SETTLED_S
            ):
                return follower
        return None

    def has_most_followers(self) -> bool:
        """Return whether at least half of the known instances answer."""
        seen = [f for f in self.followers.values() if f.last_heard_s > 0]
        alive = sum(1 for f in seen if not f.is_lost)
        return 2 * (alive + 1) >= len(seen) + 1

    def may_raise_token(self, now_s: float) -> bool:
        """Return whether the last step is long enough ago."""
        return now_s - self._raised_s >= _TOKEN_INTERVAL_S

    def raise_token(self, least: int) -> None:
        """Use a higher fencing token than the one that superseded it.

        :param least: the token that a new leader would use
        """
        # The step doubles, since the other token is not known and may
        # come from a clock that is ahead.
        now_s = trio.current_time()
        if now_s - self._raised_s > _TOKEN_CALM_S:
            self._token_step = _FIRST_TOKEN_STEP
        self._raised_s = now_s
        token = max(self.dispatcher.token + self._token_step, least)
        self._token_step = min(2 * self._token_step, _MAX_TOKEN_STEP)
        self._challenge_sequence = self.sequence + 1
        self.dispatcher.raise_token(token, self.followers)
        _log.log('token_raised', token=self.dispatcher.token)
