import contextlib
import socket
import time

import trio

from orioleloom.engine import _events
from orioleloom import model
from orioleloom import platform_api
import orioleloom_standins as standins


@contextlib.asynccontextmanager
async def running_platform(**options):
    platform = standins.Platform(**options)

    async def serve(*, task_status):
        await standins.serve_platform(platform, task_status=task_status)

    async with trio.open_nursery() as nursery:
        port = await nursery.start(serve)
        async with platform_api.PlatformClient(
            f'http://127.0.0.1:{port}',
            write_timeout_s=0.3,
            read_timeout_s=0.3,
        ) as client:
            yield platform, client
        nursery.cancel_scope.cancel()


def put(key, value, if_revision=None):
    return model.TableOp('put', key, value, if_revision)


async def test_commit_conflict_read_and_scan():
    async with running_platform() as (_, client):
        committed = await client.transact('a', [put('x/1', {'n': 1}, 0)])
        assert committed == _events.Committed(1)
        conflicted = await client.transact(
            'b', [put('x/2', {'n': 2}), put('x/1', {'n': 2}, 0)]
        )
        row = model.Row('x/1', {'n': 1}, 1)
        assert conflicted == _events.Conflicted((row,))
        assert await client.read(['x/2', 'x/1']) == (
            model.Row('x/2', None, 0),
            row,
        )
        assert await client.scan('x/', 0) == ((row,), 1)
        await client.transact('c', [model.TableOp('delete', 'x/1')])
        assert await client.scan('x/', 1) == ((model.Row('x/1', None, 2),), 2)


async def test_a_lost_response_is_unknown_and_the_write_took_effect():
    # Guards section 4: a transaction whose response is lost must not be
    # reported as not written.
    async with running_platform() as (platform, client):
        platform.set_fault('lost_answers', time.monotonic(), duration_s=60)
        outcome = await client.transact('a', [put('x/1', {'n': 1})])
        assert outcome == _events.WriteUnknown()
        assert platform.table.revision == 1


async def test_a_slow_response_is_unknown_within_the_timeout():
    # Guards against a transaction that blocks the instance beyond its
    # time-out.
    async with running_platform() as (platform, client):
        platform.set_fault(
            'slow', time.monotonic(), duration_s=60, delay_ms=5000
        )
        started_s = time.monotonic()
        outcome = await client.transact('a', [put('x/1', {'n': 1})])
        assert outcome == _events.WriteUnknown()
        assert await client.read(['x/1']) is None
        assert time.monotonic() - started_s < 4


async def test_refusals_write_nothing():
    # Guards section 4: WriteRefused is returned only when certainly nothing
    # was written.
    async with running_platform(transactions_per_s=4) as (platform, client):
        now_s = time.monotonic()
        assert await client.transact(
            'a', [put('x/1', {'n': 1})]
        ) == _events.Committed(1)
        over_rate = await client.transact('b', [put('x/1', {'n': 2})])
        assert over_rate == _events.WriteRefused()
        platform.set_fault('outage', now_s, duration_s=60)
        during_outage = await client.transact('c', [put('x/1', {'n': 2})])
        assert during_outage == _events.WriteRefused()
        assert await client.read_members(0) is None
        assert platform.table.revision == 1


async def test_refused_connection_refuses_the_write():
    # Guards section 4: no byte of the request was sent, so nothing was
    # written.
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        url = f'http://127.0.0.1:{unused.getsockname()[1]}'
        async with platform_api.PlatformClient(url) as client:
            outcome = await client.transact('a', [put('x/1', {'n': 1})])
    assert outcome == _events.WriteRefused()


async def test_members_are_read_incrementally():
    async with running_platform() as (platform, client):
        member = model.Member(
            'e1', model.Role.ENTRY, model.MemberState.LIVE, 'dc1', 'http://x'
        )
        platform.members.put(member._asdict(), time.monotonic())
        assert await client.read_members(0, 'dc2') == ((member,), 1)
        assert await client.read_members(1) == ((), 1)
