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
        # An open socket blocks the termination of its ZeroMQ context, so
        # all tests after a failed one would hang.
        runner.peer_socket.close()


SEND_TASKS = effects.SendTasks(
    3, 'w1', 'http://w1', (effects.SentTask('a/s/0', 'k', 1, 10),), 1.0
)


async def test_effects_end_with_their_events():
    # Guards against an effect that ends without its event being passed to
    # the engine, which would wait for it forever.
    async with running() as runner:
        engine = runner.engine
        engine.effects[events.Tick] = [
            effects.WriteTable('t1', ()),
            effects.ReadTable('t2', ('k',)),
            SEND_TASKS,
            effects.CancelTasks('w1', 'http://w1', ('a/s/0',)),
            effects.SendPeer(
                'e1', runner.peer_socket.address, 9, codec.LeavingNotice('e1')
            ),
            effects.SendPeer('e2', 'nonsense', 9, codec.LeavingNotice('e1')),
        ]
        runner.handle_event(events.Tick())
        await fakes.wait_until(
            lambda: engine.received_events(events.PeerReceived)
        )
        await fakes.wait_until(
            lambda: engine.received_events(events.ExchangeEnded)
        )
        await fakes.wait_until(lambda: runner.workers.cancelled)
        assert events.TableDone('t1', events.Committed(7)) in engine.events
        rows = (model.Row('k', None, 0),)
        assert events.RowsRead('t2', rows) in engine.events
        assert (
            engine.received_events(events.LineReceived)[0].line.key == 'a/s/0'
        )
        assert events.ExchangeEnded(3, True) in engine.events
        assert engine.received_events(events.PeerReceived) == [
            events.PeerReceived(9, 'e1/abc', codec.LeavingNotice('e1'))
        ]


async def test_failing_clients_end_as_unknown():
    # Guards R4: an exception in the worker or platform client must not leave
    # an exchange or a transaction open, or report that nothing started.
    async with running() as runner:

        async def fail(*arguments):
            raise OSError('broken')

        runner.workers.run_exchange = fail
        runner.platform.transact = runner.platform.read = fail
        runner.engine.effects[events.Tick] = [
            SEND_TASKS,
            effects.WriteTable('t1', ()),
            effects.ReadTable('t2', ()),
        ]
        runner.handle_event(events.Tick())
        await fakes.wait_until(
            lambda: runner.engine.received_events(events.RowsRead)
        )
        await fakes.wait_until(
            lambda: runner.engine.received_events(events.ExchangeEnded)
        )
        assert runner.engine.received_events(events.ExchangeEnded)[
            0
        ].may_have_started
        outcome = events.TableDone('t1', events.WriteUnknown())
        assert outcome in runner.engine.events
        assert runner.engine.received_events(events.RowsRead)[0].rows is None


async def test_malformed_peer_frame_is_counted():
    # Guards R16: a malformed message from a peer must not end the receiver.
    async with running() as runner:
        socket = runner.peer_socket
        socket.send(socket.address, b'\xff garbage')
        socket.send(
            socket.address,
            codec.encode_peer(1, 'e2/x', codec.LeavingNotice('e2')),
        )
        await fakes.wait_until(
            lambda: runner.engine.received_events(events.PeerReceived)
        )
        assert socket.counters.malformed_messages == 1


async def test_polls_post_changes_and_platform_state():
    # Guards against needless control traffic: the engine is informed only of
    # changes, and once of each change of the platform's availability.
    async with running(
        members_poll_interval_s=0.05, contracts_poll_interval_s=0.05
    ) as runner:
        engine = runner.engine
        platform = runner.platform
        await fakes.wait_until(runner.is_ready)
        await trio.sleep(0.2)
        assert engine.received_events(events.MembersChanged) == [
            events.MembersChanged(())
        ]
        assert engine.received_events(events.ContractsRead) == [
            events.ContractsRead(())
        ]
        platform.available = False
        await fakes.wait_until(
            lambda: len(engine.received_events(events.PlatformState)) == 2
        )
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
        await fakes.wait_until(
            lambda: len(engine.received_events(events.MembersChanged)) > 1
        )
        await fakes.wait_until(
            lambda: len(engine.received_events(events.PlatformState)) == 3
        )
        assert [
            e.available for e in engine.received_events(events.PlatformState)
        ] == [
            True,
            False,
            True,
        ]
        assert runner.state()['peers'] == {'e2': 'tcp://127.0.0.1:1'}


async def test_all_pages_are_read_and_gone_workers_forgotten():
    # Guards R8: contracts beyond the first page of 1,000 rows must not
    # wait for later polls. Also guards against connections that stay open
    # to workers that have left.
    async with running() as runner:
        # Waits for the initial polls, which would otherwise read these rows
        # as well.
        await fakes.wait_until(runner.is_ready)
        runner.platform.rows = [
            model.Row(f'contract/c{n}', {}, n) for n in range(1, 2_501)
        ]
        gone = (model.Role.WORKER, model.MemberState.GONE)
        runner.platform.member_rows = (
            model.Member('w1', *gone, 'brandon', 'http://w1'),
        )
        await runner._read_contracts()
        await runner._read_members()
        await fakes.wait_until(
            lambda: runner.workers.forgotten == ['http://w1']
        )
        read_events = runner.engine.received_events(events.ContractsRead)
        assert sum(len(event.rows) for event in read_events) == 2_500


@pytest.mark.parametrize(
    ('busy', 'low', 'high'), [(True, 6, 11), (False, 0, 1)]
)
async def test_tick_interval_follows_the_engine(busy, low, high):
    # Guards F7: the tick interval is 1 s for an idle process and 50 ms for
    # one that holds jobs.
    async with running() as runner:
        runner.engine.busy = busy
        runner.handle_event(events.RequestGone(0))
        await trio.sleep(0.5)
        assert low <= len(runner.engine.received_events(events.Tick)) <= high
