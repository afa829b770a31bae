"""Malformed input and unexpected errors must not end an instance.

Guards against one bad message, row, report or job that takes a whole process
down, and with it the jobs of all its callers. The next leader would get the
same input and end as well.
"""

import json
import typing

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from orioleloom import dispatch
from orioleloom import node
from orioleloom.node import _messages
from orioleloom.platform import _wire
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
FUZZ = hypothesis.settings(
    max_examples=12,
    deadline=None,
    # Each example is a run of a fleet; shrinking takes minutes.
    phases=[hypothesis.Phase.generate],
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def make_job(number, estimate_s=0.2):
    return dispatch.Job(
        f'{number:016x}',
        QUEUE,
        'payload',
        (dispatch.Step(2, dispatch.Resources(6_800, 64), estimate_s),),
    )


def run_fleet(disturb):
    """Run a fleet with a disturbance; every later job must be completed.

    :param disturb: async function that gets the fleet
    """

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = leased.new_fleet(
                nursery, ['dc0', 'dc0', 'dc1'], workers=leased.site_workers(6)
            )
            fleet.start()
            await trio.sleep(1.0)
            await disturb(fleet)
            await trio.sleep(3.0)
            jobs = [make_job(0xFFFF0000 + number) for number in range(3)]
            for job, name in zip(jobs, sorted(fleet.nodes)):
                fleet.submit(name, job, [0.1, 0.1])
            await trio.sleep(3.0)
            kinds = [fleet.outcomes[job.id].kind.value for job in jobs]
            nursery.cancel_scope.cancel()
        assert kinds == ['completed'] * 3

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


messages = st.one_of(
    *(st.from_type(kind) for kind in typing.get_args(_messages.Message))
)


@FUZZ
@hypothesis.given(sent=st.lists(messages, min_size=5, max_size=30))
def test_messages_with_arbitrary_values(sent):
    async def disturb(fleet):
        (leader_id,) = fleet.leaders()
        leader = fleet.nodes[leader_id].leader
        for number, message in enumerate(sent):
            # Half of the messages pass the checks of term and session.
            if number % 2 and hasattr(message, 'term'):
                message = message._replace(term=leader.term)
            follower = leader.followers.get('e9')
            if number % 2 and hasattr(message, 'session') and follower:
                message = message._replace(session=follower.session)
            try:
                frame = _messages.encode(
                    _messages.Sender('e9', 'x', 'tcp://10.9.0.9:7000', 'dc0'),
                    message,
                )
            except OverflowError:
                # The integer has no representation in MessagePack.
                continue
            for socket in list(fleet.sockets.values()):
                socket.deliver('e9', frame)
            await trio.sleep(0.01)

    run_fleet(disturb)


@pytest.mark.parametrize(
    'address', ['', 'tcp://host:1', 'tcp://10.0.0.1:99999', 'ipc:///x']
)
def test_peer_with_an_invalid_address(address):
    """Also as a row of the member table, which all instances read."""

    async def disturb(fleet):
        frame = _messages.encode(
            _messages.Sender('e9', 'x', address, 'dc0'),
            _messages.Tables(
                None, {}, [node.MemberInfo('e8', address, 'dc0')]
            ),
        )
        for socket in list(fleet.sockets.values()):
            socket.deliver('e9', frame)
        fleet.store.put('members', 'e7', node.MemberInfo('e7', address, 'dc0'))

    run_fleet(disturb)


def test_wrong_tables_of_a_supposed_leader():
    """They must not outlast the next read from the store.

    Found by the test above: with a high version, they were never replaced,
    and no later leader had any worker.
    """

    async def disturb(fleet):
        worker = dispatch.WorkerInfo(
            'x', '', 'dc9', 'none', dispatch.Resources(1)
        )
        for message in (
            _messages.Beat(10**6, '', 1, 1, True, [], {}),
            _messages.Tables(None, {'x': worker}, [], 2**60),
        ):
            frame = _messages.encode(
                _messages.Sender('e9', 'x', 'tcp://10.9.0.9:7000', 'dc0'),
                message,
            )
            for socket in list(fleet.sockets.values()):
                socket.deliver('e9', frame)

    run_fleet(disturb)


numbers = st.sampled_from([0, 1, -1, 3, 200, 1e-9, -0.5, 1e12, 1e300, 1e308])
steps = st.fixed_dictionaries(
    {'count': st.integers(-1, 5)},
    optional={
        'cpu': st.sampled_from([0, 1, 500, 6_800, 10**9, -1]),
        'estimateMs': numbers,
        'after': st.lists(st.integers(-1, 3), max_size=2),
        'antiAffinity': st.integers(-2, 2),
        'preferredRack': st.sampled_from(['r0', 'none', '']),
    },
)


@FUZZ
@hypothesis.given(
    bodies=st.lists(
        st.lists(steps, min_size=1, max_size=3), min_size=1, max_size=8
    )
)
def test_jobs_with_arbitrary_numbers(bodies):
    """A negative estimate once ended the leader when the task had run."""

    async def disturb(fleet):
        for number, phases in enumerate(bodies):
            body = {'spec': 'x', 'bestEffort': True, 'phases': phases}
            try:
                job = _wire.decode_job(
                    f'{number:016x}', QUEUE, json.dumps(body).encode()
                )
            except _wire.WireError:
                continue
            for step_number, step in enumerate(job.steps):
                for index in range(step.n_tasks):
                    key = dispatch.TaskKey(job.id, step_number, index)
                    fleet.world.set_task(key, 0.05, step.room)
            name = sorted(fleet.nodes)[number % len(fleet.nodes)]
            fleet.submit_declared(name, job, deadline_s=2.0)
            await trio.sleep(0.05)

    run_fleet(disturb)


@pytest.mark.parametrize('call', ['start', 'stop', 'report'])
@pytest.mark.parametrize('error', [ValueError('x'), KeyError('y')])
def test_unexpected_error_of_a_worker_client(call, error):
    async def disturb(fleet):
        (leader_id,) = fleet.leaders()
        gateway = fleet.nodes[leader_id].gateway
        original = getattr(gateway, call)
        n_calls = 0

        async def fail_sometimes(*args, **kwargs):
            nonlocal n_calls
            n_calls += 1
            if n_calls % 3 == 1:
                raise error
            return await original(*args, **kwargs)

        setattr(gateway, call, fail_sometimes)
        for number in range(10):
            job = make_job(number)
            fleet.submit(leader_id, job, [0.1, 0.1])
            if number % 2:
                await trio.sleep(0.02)
                fleet.nodes[leader_id].cancel(job.id)
            await trio.sleep(0.1)
        assert n_calls > 2
        setattr(gateway, call, original)

    run_fleet(disturb)


@pytest.mark.parametrize('table', ['routing', 'workers', 'members'])
def test_unexpected_error_of_the_store_client(table):
    async def disturb(fleet):
        for instance in fleet.nodes.values():
            original = getattr(instance.store, table)

            async def fail(*args, original=original, **kwargs):
                raise ValueError('unexpected')

            original.read = original.changes = fail
        await trio.sleep(5.0)

    run_fleet(disturb)


reports = st.builds(
    dispatch.WorkerReport,
    st.sampled_from([0, -1, 1, 2**31, 2**62]),
    st.sampled_from([0, -1, 1, 2**62]),
    st.lists(
        st.builds(
            dispatch.RunningRun,
            st.builds(
                dispatch.TaskKey,
                st.sampled_from([f'{number:016x}' for number in range(4)]),
                st.integers(-1, 1),
                st.integers(-1, 3),
            ),
            st.integers(-1, 2**40),
        ),
        max_size=4,
    ).map(tuple),
    st.lists(
        st.builds(
            dispatch.EndedRun,
            st.integers(-1, 2**40),
            st.builds(
                dispatch.TaskKey,
                st.sampled_from([f'{number:016x}' for number in range(4)]),
                st.integers(-1, 1),
                st.integers(-1, 3),
            ),
            st.integers(-1, 2**40),
            st.sampled_from(dispatch.EndKind),
        ),
        max_size=4,
    ).map(tuple),
)


@FUZZ
@hypothesis.given(sent=st.lists(reports, min_size=1, max_size=10))
def test_reports_with_arbitrary_values(sent):
    """One worker that reports nonsense must not affect the others."""

    async def disturb(fleet):
        fleet.world.untrusted_worker_ids.add('w0')
        (leader_id,) = fleet.leaders()
        dispatcher = fleet.nodes[leader_id].leader.dispatcher
        for number, report in enumerate(sent):
            fleet.submit(leader_id, make_job(number), [0.1, 0.1])
            await trio.sleep(0.01)
            now_s = trio.current_time()
            dispatcher.handle_report('w0', report, now_s, now_s)
        fleet.workers['w0'].is_reachable = False

    run_fleet(disturb)
