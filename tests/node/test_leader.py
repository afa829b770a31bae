"""Tests of a leader with simulated followers and workers."""

import math
import random

import pytest
import trio
import trio.testing

from orioleloom import dispatch
from orioleloom import leadership
from orioleloom.node import _leader
from orioleloom.node import _loop_monitor
from orioleloom.node import _messages

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)


def make_job(number):
    step = dispatch.Step(1, dispatch.Resources(6_800, 64), 0.2)
    return dispatch.Job(f'{number:016x}', QUEUE, 'payload', (step,))


class FakeGateway:
    """A gateway to workers that accept every start and never end a run."""

    def __init__(self):
        self.starts = []

    async def start(self, command):
        self.starts.append(command)
        return int(trio.current_time() * 1000)

    async def stop(self, command):
        pass

    async def report(self, worker, token, expires_ms, acked_through, wait_s):
        await trio.sleep(wait_s)
        return dispatch.WorkerReport(
            int(trio.current_time() * 1000),
            1,
            tuple(
                dispatch.RunningRun(command.key, command.run_id)
                for command in self.starts
            ),
            (),
        )


class Harness:
    def __init__(self, nursery):
        self.gateway = FakeGateway()
        self.leader = _leader.Leader(
            instance_id='e0',
            term=2,
            scope=leadership.FLEET,
            token=5,
            run_id_base=1,
            gateway=self.gateway,
            send=lambda member_id, message: None,
            deliver_local=lambda job_id, outcome: None,
            on_superseded=lambda token: None,
            reconnect=lambda member_id: None,
            earlier_contact_s=-math.inf,
            earlier_list=None,
            now_s=trio.current_time(),
            random_state=random.Random(1),
            loop_monitor=_loop_monitor.LoopMonitor(),
        )
        nursery.start_soon(self.leader.run)
        self.leader.dispatcher.set_workers(
            {
                'w1': dispatch.WorkerInfo(
                    'w1',
                    '10.0.0.1:80',
                    'dc0',
                    'pool',
                    dispatch.Resources(16_000, 65_536),
                    life=1,
                )
            },
            trio.current_time(),
        )

    def reply(self, sequence, job_ids=(), member_id='e1'):
        follower = self.leader.get_or_add_follower(member_id)
        self.leader.handle_heartbeat_reply(
            member_id,
            _messages.BeatReply(
                2, follower.session, sequence, list(job_ids), False
            ),
            trio.current_time(),
        )

    def submit(self, number, member_id='e1'):
        follower = self.leader.get_or_add_follower(member_id)
        self.leader.handle_submission(
            member_id,
            _messages.SubmitJob(
                2, follower.session, make_job(number), 0.0, 5.0, None
            ),
            trio.current_time(),
        )


@pytest.fixture
async def harness(nursery, autojump_clock):
    # The clock is used only if the test itself requests it, too.
    assert isinstance(trio.lowlevel.current_clock(), trio.testing.MockClock)
    harness = Harness(nursery)
    await trio.sleep(0.1)
    harness.leader.send_heartbeats(['e1'])
    harness.reply(harness.leader.sequence)
    return harness


async def test_contact_time_is_that_of_the_answered_heartbeat(
    harness, autojump_clock
):
    """A delayed reply must not extend the contact of a lost follower."""
    leader = harness.leader
    answered = leader.sequence
    sent_s = trio.current_time()
    for _ in range(4):
        await trio.sleep(0.1)
        leader.send_heartbeats(['e1'])
    harness.reply(answered)
    assert leader.get_or_add_follower('e1').last_heard_s == pytest.approx(
        sent_s
    )
    await trio.sleep(0.3)
    leader.tick(trio.current_time())
    assert leader.get_or_add_follower('e1').is_out_of_contact


async def test_reply_to_an_old_heartbeat_does_not_restore_contact(
    harness, autojump_clock
):
    leader = harness.leader
    answered = leader.sequence
    await trio.sleep(0.7)
    leader.tick(trio.current_time())
    session = leader.get_or_add_follower('e1').session
    leader.handle_heartbeat_reply(
        'e1',
        _messages.BeatReply(2, session, answered, [], False),
        trio.current_time(),
    )
    assert leader.get_or_add_follower('e1').is_out_of_contact


async def test_paused_process_starts_no_runs_for_lost_followers(
    harness,
    autojump_clock,
):
    """Guards against running a job that another leader has taken over.

    The follower times out while the leader's process is paused, and no tick
    has run since.
    """
    leader = harness.leader
    leader.dispatcher.raise_token(6, ['e1'])
    harness.submit(1)
    await trio.sleep(0.7)
    leader.dispatcher.resume_instance('e1', trio.current_time())
    leader.schedule_effects()
    await trio.sleep(0.1)
    assert not harness.gateway.starts
    assert not leader.dispatcher.jobs


async def test_paused_process_starts_no_runs_for_instances_not_yet_heard(
    nursery, autojump_clock
):
    """Guards against running a job that another leader has taken over.

    The process is paused after its first heartbeat. The reply is then too old
    to count, and the job that came with it is, too.
    """
    harness = Harness(nursery)
    await trio.sleep(0.1)
    harness.leader.send_heartbeats(['e1'])
    await trio.sleep(2.0)
    harness.reply(harness.leader.sequence)
    harness.submit(1)
    await trio.sleep(0.1)
    assert not harness.gateway.starts
    assert not harness.leader.dispatcher.jobs


def announce_as_unused(leader, worker_id):
    """Send a heartbeat that names a worker as unused."""
    for _ in range(2):
        leader.dispatcher.handle_poll_failure(
            worker_id, 'no answer', trio.current_time()
        )
    leader.send_heartbeats(['e1', 'e2'], include_lost=True)
    assert leader.list_in_use.unused_worker_ids == {worker_id}


async def test_instance_that_joins_late_must_know_the_workers_in_use(
    harness, autojump_clock
):
    """Guards against a second run beside that on a worker put in use since.

    The instance would tell the next leader that the worker need not be asked.
    """
    leader = harness.leader
    announce_as_unused(leader, 'w1')
    unused_sequence = leader.sequence
    await trio.sleep(0.02)
    now_s = trio.current_time()
    leader.dispatcher.handle_report(
        'w1',
        dispatch.WorkerReport(int(now_s * 1000), 1, (), ()),
        now_s,
        now_s,
    )
    leader.send_heartbeats(['e1'])
    harness.reply(leader.sequence)
    leader.tick(now_s)
    harness.reply(unused_sequence, member_id='e2')
    harness.submit(1, member_id='e2')
    await trio.sleep(0.01)
    assert not harness.gateway.starts
    harness.reply(leader.sequence, member_id='e2')
    harness.submit(1, member_id='e2')
    await trio.sleep(0.01)
    assert len(harness.gateway.starts) == 1


async def test_events_of_one_loop_iteration_share_a_placement_round(
    harness, autojump_clock, monkeypatch
):
    """Guards against a placement round for each event of a burst.

    With one round per event, a leader of 176 workers saturated its core at
    1.4 times the load and sent its heartbeats late.
    """
    rounds = []
    choose = harness.leader.dispatcher.placement.choose_starts

    def count(waiting, *arguments):
        rounds.append(len(waiting))
        return choose(waiting, *arguments)

    monkeypatch.setattr(
        harness.leader.dispatcher.placement, 'choose_starts', count
    )
    for number in range(100):
        harness.submit(number)
    await trio.sleep(0.002)
    assert rounds[0] == 100
    assert len(rounds) < 5


async def test_closing_leader_delivers_known_outcomes(nursery, autojump_clock):
    """Guards against rerunning a job that ended just before the close."""
    answers = []
    harness = Harness(nursery)
    harness.leader.deliver_local = lambda job_id, outcome: answers.append(
        (job_id, outcome.kind)
    )
    await trio.sleep(0.1)
    dispatcher = harness.leader.dispatcher
    now_s = trio.current_time()
    dispatcher.submit(
        make_job(1), 'e0', arrived_s=now_s, deadline_s=now_s + 5, now_s=now_s
    )
    harness.leader.schedule_effects()
    await trio.sleep(0.01)
    (start,) = harness.gateway.starts
    now_s = trio.current_time()
    dispatcher.handle_report(
        'w1',
        dispatch.WorkerReport(
            int(now_s * 1000),
            1,
            (),
            (
                dispatch.EndedRun(
                    1, start.key, start.run_id, dispatch.EndKind.DONE
                ),
            ),
        ),
        now_s,
        now_s,
    )
    harness.leader.close()
    assert answers == [(make_job(1).id, dispatch.OutcomeKind.COMPLETED)]


async def test_successors_are_ranked_as_in_the_election(
    nursery, autojump_clock
):
    """The leader sends its list of workers to the first one.

    Another one was elected, and led with a list that was 15 s old.
    """
    harness = Harness(nursery)
    ranks = {'e1': 1.0, 'e2': 2.0, 'e3': 2.0}
    for name, rank in ranks.items():
        follower = harness.leader.get_or_add_follower(name)
        follower.is_out_of_contact = False
        follower.rank = rank
    electors = [
        leadership.Elector(
            instance_id=name, data_centre='dc1', rank=rank, now_s=0.0
        )
        for name, rank in ranks.items()
    ]
    for one in electors:
        for other in electors:
            if one is not other:
                one.handle_probe(other.state(), 0.6)
    elected = [one for one in electors if one.tick(0.6, 3)]
    successors = harness.leader.rank_successors()
    assert [one.instance_id for one in elected] == ['e3']
    assert [s.instance_id for s in successors] == ['e3', 'e2', 'e1']
