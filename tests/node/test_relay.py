"""Calls that followers make for their leader."""

import pytest
import trio

from orioleloom import dispatch
from orioleloom import node
from orioleloom.node import _messages
from orioleloom.node import _relay

KEY = dispatch.TaskKey('a' * 16, 0, 0)


def worker(worker_id='w1', data_centre='dc0'):
    return dispatch.WorkerInfo(
        worker_id, '10.0.0.1:80', data_centre, 'pool', dispatch.Room(16_000)
    )


def start_order(info):
    return dispatch.StartRun(info, KEY, 3, 'payload', 7, 9_000)


class Gateway:
    """Workers as one instance reaches them."""

    def __init__(self, error=None):
        self.error = error
        self.calls = []

    async def start(self, order):
        self.calls.append(order)
        if self.error == 'hang':
            await trio.sleep_forever()
        if self.error is not None:
            raise self.error
        return 1234

    async def stop(self, order):
        await self.start(order)

    async def report(self, info, token, expires_ms, acked_through, wait_s):
        self.calls.append((info, token, expires_ms, acked_through, wait_s))
        return dispatch.WorkerReport(5, 1, (), ())


class Pair:
    """A leader and followers, whose messages go through the codec."""

    def __init__(self, nursery, followers=('e1',), min_workers=1):
        self.nursery = nursery
        self.direct = Gateway()
        self.remote = Gateway()
        self.sent = []
        self.is_followed = True
        self.is_cut = False
        self.relays = _relay.Relays(
            term=4,
            gateway=self.direct,
            send=self._to_follower,
            min_workers=min_workers,
        )
        self.carrier = _relay.Carrier(self.remote, self._to_leader)
        self.relays.set_n_workers(1)
        self.heard(*followers)
        nursery.start_soon(self.relays.run)
        nursery.start_soon(self.carrier.run)

    def heard(self, *followers, data_centre='dc0', rank=1.0):
        self.relays.set_members(
            _relay.RelayMember(name, data_centre, rank, trio.current_time())
            for name in followers
        )

    def _to_follower(self, member_id, message):
        self.sent.append((member_id, message))
        if self.is_cut:
            return
        sender = _messages.Sender('e0', 'i', 'a', 'dc0')
        _, message = _messages.decode(_messages.encode(sender, message))
        self.carrier.receive(
            self.nursery, 'e0', message, is_followed=self.is_followed
        )

    def _to_leader(self, member_id, message):
        assert member_id == 'e0'
        sender = _messages.Sender('e1', 'i', 'a', 'dc0')
        _, message = _messages.decode(_messages.encode(sender, message))
        self.relays.answered(message)

    async def start(self, info=None):
        return await self.relays.start(start_order(info or worker()), 0.03)


@pytest.fixture
async def pair(nursery, autojump_clock):
    return Pair(nursery)


async def test_follower_makes_every_kind_of_call(pair):
    assert await pair.start() == 1234
    await pair.relays.stop(dispatch.StopRun(worker(), KEY, 3, 7), 0.03)
    request = _messages.ReportRequest(worker(), 7, None, 2, 0.2)
    report = await pair.relays.report(request, 0.25)
    assert report == dispatch.WorkerReport(5, 1, (), ())
    assert pair.remote.calls == [
        start_order(worker()),
        dispatch.StopRun(worker(), KEY, 3, 7),
        (worker(), 7, None, 2, 0.2),
    ]
    assert not pair.direct.calls


async def test_few_workers_are_called_directly(nursery, autojump_clock):
    pair = Pair(nursery, min_workers=2)
    await pair.start()
    assert pair.direct.calls
    assert not pair.sent


async def test_calls_of_one_turn_share_a_message(pair):
    """Guards against a message for each task, which a leader cannot send."""
    async with trio.open_nursery() as nursery:
        for _ in range(50):
            nursery.start_soon(pair.start)
    assert len(pair.sent) < 5


async def test_workers_are_spread_by_rank_within_their_data_centre(pair):
    pair.relays.set_members(
        _relay.RelayMember(name, data_centre, rank, trio.current_time())
        for name, data_centre, rank in (
            ('e1', 'dc0', 1.0),
            ('e2', 'dc0', 3.0),
            ('e3', 'dc1', 9.0),
        )
    )
    for number in range(40):
        await pair.start(worker(f'w{number}'))
    counts = {}
    for member_id, message in pair.sent:
        counts[member_id] = counts.get(member_id, 0) + len(message.calls)
    assert counts == {'e1': 10, 'e2': 30}


@pytest.mark.parametrize(
    'error',
    [
        node.RejectedError(dispatch.Rejection.FENCED),
        node.NotSentError('refused'),
        node.NoAnswerError('closed'),
    ],
)
async def test_failure_of_a_call_arrives_as_it_was(pair, error):
    """Guards against a start that is repeated though it may have begun."""
    pair.remote.error = error
    with pytest.raises(type(error)):
        await pair.start()


async def test_worker_that_hangs_is_told_from_a_follower_that_is_gone(pair):
    pair.remote.error = 'hang'
    with pytest.raises(node.NoAnswerError):
        await pair.start()
    pair.is_cut = True
    with pytest.raises(trio.TooSlowError):
        await pair.start()


async def test_silent_follower_relays_nothing_until_it_is_heard(pair):
    """Guards against orders lost one after the other to a dead follower."""
    pair.is_cut = True
    with pytest.raises(trio.TooSlowError):
        await pair.start()
    assert await pair.start() == 1234
    assert len(pair.direct.calls) == 1
    pair.is_cut = False
    await trio.sleep(0.01)
    pair.heard('e1')
    await pair.start()
    assert len(pair.direct.calls) == 1


async def test_follower_that_was_not_heard_lately_relays_nothing(pair):
    await trio.sleep(1.0)
    await pair.start()
    assert len(pair.direct.calls) == 1


async def test_worker_out_of_its_followers_reach_is_called_directly(pair):
    pair.remote.error = node.NoAnswerError('cut')
    for _ in range(2):
        with pytest.raises(node.NoAnswerError):
            await pair.start()
    await pair.start()
    assert len(pair.direct.calls) == 1
    # Other workers stay with the follower.
    with pytest.raises(node.NoAnswerError):
        await pair.start(worker('w2'))
    await trio.sleep(1.1)
    pair.heard('e1')
    pair.remote.error = None
    await pair.start()
    assert len(pair.direct.calls) == 1


async def test_calls_of_another_leader_are_returned_unsent(pair):
    """Guards against orders of a leader that the follower has left."""
    pair.is_followed = False
    with pytest.raises(node.NotSentError):
        await pair.start()
    assert not pair.remote.calls


async def test_open_calls_are_bounded(pair):
    pair.carrier.n_open = _relay._MAX_CALLS
    with pytest.raises(node.NotSentError):
        await pair.start()
