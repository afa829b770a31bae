"""Refusals by a follower, from the waits that its leader expects."""

import pytest
import trio

from orioleloom import dispatch
from orioleloom.node import _load_shedding
from orioleloom.node import _messages
from orioleloom_standins import leased

LEADER = ('e0', 2)
QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
JOB = dispatch.Job(
    '1' * 16,
    QUEUE,
    'payload',
    (dispatch.Step(1, dispatch.Resources(6_800, 64), 0.2),),
)


def is_refused(wait_s, *, leader=LEADER, age_s=0.0, bearable_s=1.0):
    shedding = _load_shedding.LoadShedding()
    message = _messages.ExpectedWaits(2, {'check': wait_s})
    shedding.handle_waits(LEADER, message, 10.0)
    now_s = 10.0 + age_s
    return shedding.refusal(JOB, now_s + bearable_s, leader, now_s) is not None


def test_only_a_wait_that_is_clearly_too_long_refuses():
    """Guards against refusals of jobs that the leader would serve."""
    assert is_refused(3.0)
    assert not is_refused(1.5)
    assert not is_refused(2.2, age_s=0.3)


@pytest.mark.parametrize(
    'leader, age_s',
    [(None, 0.0), (('e0', 3), 0.0), (('e9', 2), 0.0), (LEADER, 0.6)],
)
def test_figure_of_another_time_or_leader_is_not_used(leader, age_s):
    """Guards against refusals in a partition and after a new election."""
    assert not is_refused(9.0, leader=leader, age_s=age_s)


@pytest.mark.parametrize('wait_s', [-1.0, float('nan'), float('inf')])
def test_wait_that_cannot_be_used_is_malformed(wait_s):
    """Guards against figures with which every job would be refused."""
    sender = _messages.Sender('e9', 'x', 'tcp://10.9.0.9:7000', 'dc0')
    message = _messages.ExpectedWaits(1, {'check': wait_s})
    with pytest.raises(_messages.MalformedError):
        _messages.decode(_messages.encode(sender, message))


@pytest.mark.parametrize('sheds_load', [False, True])
async def test_follower_refuses_until_the_figure_is_old(
    nursery, autojump_clock, sheds_load
):
    """Guards against a follower that goes on refusing after a partition."""
    fleet = leased.new_fleet(
        nursery, ['dc0', 'dc1', 'dc2'], workers=leased.site_workers(), seed=1
    )
    fleet.start()
    await trio.sleep(2)
    (leader,) = fleet.leaders()
    name = next(n for n in sorted(fleet.nodes) if n != leader)
    node = fleet.nodes[name]
    node.settings = node.settings._replace(sheds_load=sheds_load)
    node.load_shedding.handle_waits(
        (node.elector.leader_id, node.elector.term),
        _messages.ExpectedWaits(node.elector.term, {'check': 9.0}),
        trio.current_time(),
    )
    fleet.submit(name, JOB, [0.2])
    await trio.sleep(0.7)
    assert node.counters['jobs_shed'] == int(sheds_load)
    fleet.submit(name, JOB._replace(id='2' * 16), [0.2])
    await trio.sleep(1)
    assert fleet.outcomes['2' * 16].kind is dispatch.OutcomeKind.COMPLETED


def test_waits_are_sent_while_there_are_any_and_once_after():
    """Guards against messages without a use, and figures that stay."""
    sent = []
    sender = _load_shedding.WaitSender(lambda *args: sent.append(args), 2)

    class Admission:
        waits_s = {}

        def expected_waits_s(self):
            return self.waits_s

    admission = Admission()
    for admission.waits_s in ({}, {'check': 0.1}, {}, {}):
        sender.send_waits(admission, ['e1'])
    assert [message.waits_s for _, message in sent] == [{'check': 0.1}, {}]
