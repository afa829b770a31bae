import httpx
import pytest
import trio

import orioleloom_standins as standins


def member(name, role='worker', data_centre='dc1', state='live'):
    return {
        'id': name,
        'role': role,
        'state': state,
        'data_centre': data_centre,
        'http': 'http://x',
    }


def member_ids(result):
    return sorted(item['id'] for item in result[0])


def test_members_appear_after_the_lag_in_order():
    # The bound stated in section 5 depends on the lag of the member list.
    members = standins.MemberList(lag_s=2.0)
    members.put(member('w1'), 10.0)
    members.lag_s = 0.5
    members.put(member('w2'), 10.5)
    assert members.changes_after(0, None, 11.9) == ([], 0)
    assert member_ids(members.changes_after(0, None, 12.0)) == ['w1', 'w2']
    members.put(member('w1', state='gone'), 13.0)
    found, revision = members.changes_after(2, None, 14.0)
    assert [item['state'] for item in found] == ['gone']
    assert members.changes_after(revision, None, 15.0) == ([], 3)


def test_workers_of_other_data_centres_are_left_out():
    members = standins.MemberList()
    members.put(member('w1'), 0.0)
    members.put(member('w2', data_centre='dc2'), 0.0)
    members.put(member('e2', role='entry', data_centre='dc2'), 0.0)
    assert member_ids(members.changes_after(0, 'dc1', 1.0)) == ['e2', 'w1']
    assert member_ids(members.changes_after(0, None, 1.0)) == [
        'e2',
        'w1',
        'w2',
    ]


@pytest.mark.parametrize(
    'kind, rate', [('transaction', 400), ('read', 2000), ('scan', 2000)]
)
def test_requests_above_the_rate_are_rejected(kind, rate):
    # Guards F4: load tests rely on the stated capacity of the table.
    platform = standins.Platform()
    admitted = 0
    for step in range(40_000):
        now_s = 100.0 + step / 10_000
        admitted += platform.admit(kind, now_s).status == 200
    assert 4 * rate <= admitted <= 4.25 * rate + 1
    assert platform.counters[kind] == 40_000
    assert platform.counters[f'{kind}_429'] == 40_000 - admitted


def test_faults_begin_and_end():
    platform = standins.Platform()
    platform.set_fault('list_outage', 1.0, duration_s=2)
    assert platform.admit('members', 2.0).status == 503
    assert platform.admit('scan', 2.0).status == 200
    platform.set_fault('outage', 1.0, duration_s=2)
    assert platform.admit('transaction', 2.9).status == 503
    assert platform.admit('members', 3.1).status == 200
    platform.set_fault('slow', 4.0, duration_s=2, delay_ms=500)
    assert platform.admit('transaction', 5.0).delay_s == 0.504
    platform.set_fault(
        'slow', 4.0, duration_s=2, delay_ms=500, after_effect=True
    )
    assert platform.admit('transaction', 5.0)[1:3] == (0.004, 0.5)
    platform.set_fault('lost_answers', 7.0, duration_s=2, share=0.5)
    lost = [platform.admit('read', 8.0).drop_response for _ in range(200)]
    assert 60 < sum(lost) < 140
    with pytest.raises(ValueError, match='fire'):
        platform.set_fault('fire', 0.0, duration_s=1)


async def test_the_http_interface():
    # Covers the parts of the protocol in section 6 that tests of the client
    # do not.
    platform = standins.Platform()

    async def serve(*, task_status):
        await standins.serve_platform(platform, task_status=task_status)

    async with trio.open_nursery() as nursery:
        port = await nursery.start(serve)
        async with httpx.AsyncClient(
            base_url=f'http://127.0.0.1:{port}/v1', trust_env=False
        ) as client:
            body = {'token': 'a', 'ops': [{'op': 'put', 'key': 'x/1'}]}
            answer = await client.post('/table/transaction', json=body)
            assert answer.status_code == 400
            body['ops'][0]['value'] = {}
            answer = await client.post('/table/transaction', json=body)
            assert answer.json() == {'revision': 1}
            for bad in (b'{', b'[]', b'{"token": 1, "ops": []}'):
                answer = await client.post('/table/transaction', content=bad)
                assert answer.status_code == 400
            answer = await client.get('/table/scan?limit=0')
            assert answer.status_code == 400
            history = (await client.get('/standin/history?after=0')).json()
            assert history['commits'][0]['ops'] == [['put', 'x/1', {}]]
            await client.put('/standin/members/w1', json=member('w1'))
            found = (await client.get('/members?data_centre=dc1')).json()
            assert found['members'][0]['id'] == 'w1'
            assert (await client.get('/objects/a/b')).status_code == 404
            await client.put('/objects/a/b', content=b'123')
            assert (await client.get('/objects/a/b')).content == b'123'
            fault = {'kind': 'outage', 'duration_s': 60}
            await client.post('/standin/faults', json=fault)
            assert (await client.get('/members')).status_code == 503
            fault['kind'] = 'fire'
            answer = await client.post('/standin/faults', json=fault)
            assert answer.status_code == 400
            settings = {'lag_s': 3.5, 'write_latency_ms': 7}
            await client.post('/standin/settings', json=settings)
            assert platform.members.lag_s == 3.5
            counters = (await client.get('/standin/counters')).json()
            assert counters['members_503'] == 1
            assert (await client.get('/nothing')).status_code == 404
        nursery.cancel_scope.cancel()
