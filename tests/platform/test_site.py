"""Tests of instances with real sockets against a simulated platform."""

import random

import msgspec
import pytest
import trio

from orioleloom import http1
from orioleloom.platform import _daemon
from orioleloom.platform import _settings
from orioleloom_standins import wire

# The settings fix the ports, so all tests of this module use the same
# addresses and cannot run in parallel.
N_INSTANCES = 2


class Caller:
    """HTTP client that calls one instance, as callers do."""

    def __init__(self, number):
        self.address = f'127.0.1.{number}:8161'
        self.client = http1.Client()

    async def call(self, method, path, body=b'', headers=''):
        with trio.fail_after(5):
            response = await self.client.request(
                self.address, method, path, body, headers, host=wire.HOST
            )
        decoded = msgspec.json.decode(response.body or b'null')
        return response.status, decoded


@pytest.fixture
async def site(nursery):
    site = wire.Site(nursery, random.Random(1))
    await site.start()
    return site


@pytest.fixture
async def daemons(site, nursery):
    daemons = []
    async with trio.open_nursery() as running:
        for number in range(1, N_INSTANCES + 1):
            settings = msgspec.convert(
                site.settings(number, N_INSTANCES),
                _settings.PlatformSettings,
                strict=False,
            )
            daemon = _daemon.Daemon(settings)
            daemons.append(daemon)
            running.start_soon(daemon.run)
        with trio.fail_after(5):
            while not all(
                d.node.is_ready() and d.node.elector.leader_id for d in daemons
            ):
                await trio.sleep(0.02)
        # The leader first requests a report from each worker.
        await trio.sleep(0.2)
        yield daemons
        running.cancel_scope.cancel()
    # A task that is about to receive must not find its socket closed.
    for daemon in daemons:
        daemon.node.close()
    nursery.cancel_scope.cancel()


async def test_job_is_served_by_any_instance(site, daemons):
    body = wire.submission(4, 0.05)
    for number in (1, 2):
        status, answer = await Caller(number).call(
            'POST', f'/check/{number:016x}', body
        )
        assert (status, answer) == (200, {'state': 'completed'})


async def test_job_with_a_failing_task_fails(site, daemons):
    status, answer = await Caller(1).call(
        'POST', f'/check/{7:016x}', wire.submission(1, 0.02, poison=True)
    )
    assert (status, answer) == (200, {'state': 'failed'})


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status'),
    [
        ('POST', '/other/' + 16 * 'a', b'{}', 404),
        ('POST', '/check/' + 16 * 'a', b'{"spec":', 400),
        ('POST', '/check/' + 16 * 'a', b'{"spec":"","phases":[]}', 400),
        (
            'POST',
            '/check/' + 16 * 'a',
            b'{"spec":"","phases":[{"count":1}]}',
            503,
        ),
        ('POST', '/check/' + 16 * 'a', b'x' * 60_000, 413),
        ('POST', '/check/short', b'{}', 404),
        ('GET', '/check/' + 16 * 'a', b'', 410),
        ('DELETE', '/check/' + 16 * 'a', b'', 410),
        ('PATCH', '/check/' + 16 * 'a', b'', 405),
    ],
)
async def test_invalid_requests_get_the_expected_status(
    site, daemons, method, path, body, status
):
    assert (await Caller(1).call(method, path, body))[0] == status


async def test_queue_length_is_served(site, daemons):
    assert await Caller(1).call('GET', '/check/') == (200, {'pending': 0})


async def test_routes_follow_the_configuration(site, daemons):
    caller = Caller(2)
    assert (await caller.call('GET', '/new/'))[0] == 404
    site.configure(['/new/'])
    await trio.sleep(0.1)
    assert (await caller.call('GET', '/new/'))[0] == 200
    assert (await caller.call('GET', '/check/'))[0] == 404


async def test_table_is_reread_after_the_store_drops_its_history(
    site, daemons
):
    site.store.forget_history()
    site.configure(['/after/'])
    await trio.sleep(0.5)
    assert (await Caller(1).call('GET', '/after/'))[0] == 200


async def test_jobs_are_served_while_the_store_is_down(site, daemons):
    site.store.is_down = True
    await trio.sleep(1.5)
    status, _ = await Caller(1).call(
        'POST', f'/check/{9:016x}', wire.submission(2, 0.05)
    )
    assert status == 200


async def test_invalid_rows_are_ignored(site, daemons):
    site.store.put('servers', 'odd', b'\xff\x00 not json')
    site.store.put('servers', 'odd2', {'service': 3})
    await trio.sleep(0.5)
    status, _ = await Caller(1).call(
        'POST', f'/check/{10:016x}', wire.submission(2, 0.05)
    )
    assert status == 200


async def test_disconnect_of_a_caller_stops_its_runs(site, daemons):
    with trio.move_on_after(0.3):
        await Caller(1).call(
            'POST', f'/check/{11:016x}', wire.submission(2, 3.0)
        )
    with trio.fail_after(2):
        while site.runs():
            await trio.sleep(0.02)


async def test_missing_worker_responses_do_not_fail_jobs(site, daemons):
    """Commands that are executed but not answered must not fail a job."""
    for served in site.workers.values():
        served.mute_share = 0.2
    for number in range(20, 26):
        status, _ = await Caller(1).call(
            'POST', f'/check/{number:016x}', wire.submission(2, 0.05)
        )
        assert status == 200


async def test_metrics_and_state_are_served(site, daemons):
    client = http1.Client()
    await Caller(1).call('POST', f'/check/{12:016x}', wire.submission(1, 0.02))
    response = await client.request('127.0.1.1:8166', 'GET', '/metrics')
    assert b'orioleloom_job_seconds' in response.body
    assert b'orioleloom_node_jobs_total' in response.body
    response = await client.request('127.0.1.1:8166', 'GET', '/state')
    assert msgspec.json.decode(response.body)['role'] in (
        'leading',
        'following',
    )


async def test_readiness(site, daemons):
    client = http1.Client()
    response = await client.request('127.0.1.1:8167', 'GET', '/readyz')
    assert response.status == 200
    daemons[0].node.begin_stop()
    response = await client.request('127.0.1.1:8167', 'GET', '/readyz')
    assert response.status == 503


def test_settings_error_names_the_field(tmp_path):
    path = tmp_path / 'local.yaml'
    path.write_text('nodeName: "a"\n')
    with pytest.raises(_settings.SettingsError, match='ip'):
        _settings.load({_settings.PATH_VARIABLE: str(path)})
    with pytest.raises(_settings.SettingsError, match='ORIOLELOOM_BOOT'):
        _settings.load({})
