import contextlib

import pytest
import trio

from orioleloom import codec
from orioleloom.engine import _effects as effects
from orioleloom.engine import _events as events
from orioleloom import model
from tests.entry import fakes


@contextlib.asynccontextmanager
async def running(**changes):
    runner = fakes.make_runner(fakes.FakeEngine(), **changes)
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(runner.run)
            with trio.fail_after(5):
                yield runner
            nursery.cancel_scope.cancel()
    finally:
        # An open socket blocks the end of its ZeroMQ context, and with it
        # every test that follows a failed one.
        runner.peer_socket.close()


SEND = effects.SendTasks(
    3, 'w1', 'http://w1', (effects.SentTask('a/s/0', 'k', 1, 10),), 1.0
)


async def test_effects_end_with_their_events():
    # Guards against an effect whose end the engine never learns of.
    async with running() as runner:
        engine = runner.engine
        engine.effects[events.Tick] = [
            effects.WriteTable('t1', ()),
            effects.ReadTable('t2', ('k',)),
            SEND,
            effects.CancelTasks('w1', 'http://w1', ('a/s/0',)),
            effects.SendPeer(
                'e1', runner.peer_socket.address, 9, codec.LeavingNotice('e1')
            ),
            effects.SendPeer('e2', 'nonsense', 9, codec.LeavingNotice('e1')),
        ]
        runner.post(events.Tick())
        await fakes.until(lambda: engine.seen(events.PeerReceived))
        await fakes.until(lambda: engine.seen(events.ExchangeEnded))
        await fakes.until(lambda: runner.workers.cancelled)
        assert events.TableDone('t1', events.Committed(7)) in engine.events
        rows = (model.Row('k', None, 0),)
        assert events.RowsRead('t2', rows) in engine.events
        assert engine.seen(events.LineReceived)[0].line.key == 'a/s/0'
        assert events.ExchangeEnded(3, True) in engine.events
        assert engine.seen(events.PeerReceived) == [
            events.PeerReceived(9, 'e1/abc', codec.LeavingNotice('e1'))
        ]


async def test_failing_clients_end_as_unknown():
    # Guards R4: a fault in a client must not leave an exchange or a
    # transaction open, nor report that nothing started.
    async with running() as runner:

        async def fail(*arguments):
            raise OSError('broken')

        runner.workers.run_exchange = fail
        runner.platform.transact = runner.platform.read = fail
        runner.engine.effects[events.Tick] = [
            SEND,
            effects.WriteTable('t1', ()),
            effects.ReadTable('t2', ()),
        ]
        runner.post(events.Tick())
        await fakes.until(lambda: runner.engine.seen(events.RowsRead))
        await fakes.until(lambda: runner.engine.seen(events.ExchangeEnded))
        assert runner.engine.seen(events.ExchangeEnded)[0].may_have_started
        outcome = events.TableDone('t1', events.WriteUnknown())
        assert outcome in runner.engine.events
        assert runner.engine.seen(events.RowsRead)[0].rows is None


async def test_malformed_peer_frame_is_counted():
    # Guards R16: garbage from a peer must not end the receiver.
    async with running() as runner:
        socket = runner.peer_socket
        socket.send(socket.address, b'\xff garbage')
        socket.send(
            socket.address,
            codec.encode_peer(1, 'e2/x', codec.LeavingNotice('e2')),
        )
        await fakes.until(lambda: runner.engine.seen(events.PeerReceived))
        assert socket.counters.malformed_messages == 1


async def test_polls_post_changes_and_platform_state():
    # Guards the control traffic: the engine hears of changes only, and
    # of each change of the platform's state once.
    async with running(
        members_poll_interval_s=0.05, contracts_poll_interval_s=0.05
    ) as runner:
        engine = runner.engine
        platform = runner.platform
        await fakes.until(runner.is_ready)
        await trio.sleep(0.2)
        assert engine.seen(events.MembersChanged) == [
            events.MembersChanged(())
        ]
        assert engine.seen(events.ContractsRead) == [events.ContractsRead(())]
        platform.available = False
        await fakes.until(lambda: len(engine.seen(events.PlatformState)) == 2)
        platform.available = True
        platform.member_rows = (
            model.Member(
                'e2',
                model.Role.ENTRY,
                model.MemberState.LIVE,
                'brandon',
                'http://127.0.0.1:1',
                'tcp://127.0.0.1:1',
            ),
        )
        await fakes.until(lambda: len(engine.seen(events.MembersChanged)) > 1)
        await fakes.until(lambda: len(engine.seen(events.PlatformState)) == 3)
        assert [e.available for e in engine.seen(events.PlatformState)] == [
            True,
            False,
            True,
        ]
        assert runner.state()['peers'] == {'e2': 'tcp://127.0.0.1:1'}


async def test_all_pages_are_read_and_gone_workers_forgotten():
    # Guards R8: contracts beyond the first page of 1,000 rows must not
    # wait for later polls; and against connections kept to gone workers.
    async with running() as runner:
        # The polls at the start must not read these rows a second time.
        await fakes.until(runner.is_ready)
        runner.platform.rows = [
            model.Row(f'contract/c{n}', {}, n) for n in range(1, 2_501)
        ]
        gone = (model.Role.WORKER, model.MemberState.GONE)
        runner.platform.member_rows = (
            model.Member('w1', *gone, 'brandon', 'http://w1'),
        )
        await runner._read_contracts()
        await runner._read_members()
        await fakes.until(lambda: runner.workers.forgotten == ['http://w1'])
        read = runner.engine.seen(events.ContractsRead)
        assert sum(len(event.rows) for event in read) == 2_500


@pytest.mark.parametrize(
    ('busy', 'low', 'high'), [(True, 6, 11), (False, 0, 1)]
)
async def test_tick_interval_follows_the_engine(busy, low, high):
    # Guards F7: an idle process ticks once a second, one with jobs every
    # 50 ms.
    async with running() as runner:
        runner.engine.busy = busy
        runner.post(events.RequestGone(0))
        await trio.sleep(0.5)
        assert low <= len(runner.engine.seen(events.Tick)) <= high
