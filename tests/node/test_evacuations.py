"""Evacuated data centres across changes of leader and of the store.

Guards against tasks that start in an evacuated data centre because the
process that leads now has not read the operator's row, and against an
evacuation that stays in force after its end.
"""

import pytest
import trio

from orioleloom import dispatch
from orioleloom import node
from orioleloom.node import _messages
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
ALL = {'dc0', 'dc1', 'dc2', 'dc3'}
PEER = _messages.Sender('e9', 'x', 'tcp://10.9.0.9:7000', 'dc0')


class Site:
    """A fleet to which jobs are submitted all the time."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.n_jobs = 0

    async def submit_jobs(self):
        while True:
            names = sorted(self.fleet.nodes)
            if names:
                # Some are so wide that every worker is used.
                n_tasks = 4 if self.n_jobs % 25 else 60
                room = dispatch.Resources(6_800, 64)
                steps = (dispatch.Step(n_tasks, room, 0.2),)
                job = dispatch.Job(f'{self.n_jobs:016x}', QUEUE, 'x', steps)
                name = names[self.n_jobs % len(names)]
                self.fleet.submit(name, job, [0.1] * n_tasks)
                self.n_jobs += 1
            await trio.sleep(0.02)

    def evacuate(self, zone, is_evacuated=True):
        row = node.EvacuationRow(zone) if is_evacuated else None
        self.fleet.store.put('routing', f'evacuate/{zone}', row)

    def started_in(self, since_s):
        """Return the data centres in which tasks have started since then."""
        return {
            self.fleet.workers[start.worker_id].info.data_centre
            for start in self.fleet.starts
            if start.time_s > since_s
        }

    def in_force(self):
        nodes = self.fleet.nodes.values()
        return {instance.evacuations.rows.data_centres for instance in nodes}


@pytest.fixture
async def site(nursery, autojump_clock):
    zones = ['dc0', 'dc0', 'dc1', 'dc1', 'dc2', 'dc3']
    fleet = leased.new_fleet(nursery, zones, workers=leased.site_workers())
    fleet.start()
    await trio.sleep(2)
    site = Site(fleet)
    nursery.start_soon(site.submit_jobs)
    await trio.sleep(1)
    assert site.started_in(0) == ALL
    return site


async def test_evacuations_begin_and_end_with_their_rows(
    site, autojump_clock, monkeypatch
):
    """Two are in force at the same time; the configuration stays."""
    logged = []
    monkeypatch.setattr(
        node._evacuations._log,
        'log',
        lambda name, **fields: logged.append((name, *fields.values())[:2]),
    )
    for zone, is_evacuated, expected in (
        ('dc0', True, ALL - {'dc0'}),
        ('dc1', True, ALL - {'dc0', 'dc1'}),
        ('dc0', False, ALL - {'dc1'}),
        ('dc1', False, ALL),
    ):
        site.evacuate(zone, is_evacuated)
        now_s = trio.current_time()
        await trio.sleep(2)
        # Two calls to the store and one to a worker.
        assert site.started_in(now_s + 0.015) == expected
    n_instances = len(site.fleet.nodes)
    assert logged.count(('evacuation_began', 'dc0')) == n_instances
    assert logged.count(('evacuation_ended', 'dc1')) == n_instances
    assert {n.routing.version for n in site.fleet.nodes.values()} == {1}


@pytest.mark.parametrize('is_planned', [True, False])
async def test_evacuation_outlasts_its_leader_and_the_store(
    site, autojump_clock, is_planned
):
    """The successor cannot read the row when it begins to lead."""
    site.evacuate('dc2')
    await trio.sleep(0.1)
    since_s = trio.current_time()
    site.fleet.store.is_down = True
    await trio.sleep(1)
    (leader,) = site.fleet.leaders()
    if is_planned:
        site.fleet.nodes[leader].begin_stop()
        await trio.sleep(0.3)
    site.fleet.kill(leader)
    await trio.sleep(3)
    assert site.fleet.leaders() != [leader]
    assert site.started_in(since_s) == ALL - {'dc2'}
    site.evacuate('dc2', False)
    site.fleet.store.is_down = False
    await trio.sleep(3)
    assert site.started_in(trio.current_time() - 1) == ALL


async def test_followers_inform_a_leader_that_the_store_refuses(
    site, autojump_clock
):
    """Both of the begin and of the end, which it knows from nowhere else."""
    (leader,) = site.fleet.leaders()
    site.fleet.store.rejected_instances.add(leader)
    await trio.sleep(2)
    for is_evacuated, expected in ((True, ALL - {'dc1'}), (False, ALL)):
        site.evacuate('dc1', is_evacuated)
        now_s = trio.current_time()
        await trio.sleep(2)
        assert site.started_in(now_s + 0.2) == expected
        assert len(site.in_force()) == 1


async def test_leader_with_an_old_copy_learns_it_when_it_begins_to_lead(
    site, autojump_clock
):
    """The store refuses it, and the leader before cannot tell it either."""
    (leader,) = site.fleet.leaders()
    successor = sorted(n for n in site.fleet.nodes if n != leader)[-1]
    site.fleet.store.rejected_instances.add(successor)
    await trio.sleep(2)
    site.fleet.network.cut(leader, successor)
    site.evacuate('dc3')
    await trio.sleep(0.1)
    since_s = trio.current_time()
    site.fleet.kill(leader)
    await trio.sleep(3)
    assert site.fleet.leaders() == [successor]
    assert 'dc3' not in site.started_in(since_s)


@pytest.mark.parametrize('has_store', [True, False])
async def test_process_that_starts_during_an_evacuation(
    site, autojump_clock, has_store
):
    """It becomes the leader; without the store only its peers know."""
    site.evacuate('dc0')
    await trio.sleep(0.1)
    since_s = trio.current_time()
    (leader,) = site.fleet.leaders()
    name = next(n for n in sorted(site.fleet.nodes) if n != leader)
    site.fleet.kill(name)
    await trio.sleep(1)
    if not has_store:
        site.fleet.store.rejected_instances.add(name)
    site.fleet.ranks[name] = 5.0
    site.fleet.start(name)
    await trio.sleep(5)
    assert site.fleet.leaders() == [name]
    assert site.started_in(since_s) == ALL - {'dc0'}


async def test_all_processes_start_during_an_evacuation(
    site, autojump_clock, monkeypatch
):
    """Nothing starts before the rows are read, however long that takes."""
    for name in list(site.fleet.nodes):
        site.fleet.kill(name)
    site.evacuate('dc0')
    since_s = trio.current_time()
    read = leased._fleet.Table.read

    async def read_late(table):
        if table.name == 'routing' and trio.current_time() < since_s + 4:
            raise node.StoreError('away')
        return await read(table)

    monkeypatch.setattr(leased._fleet.Table, 'read', read_late)
    site.fleet.start()
    await trio.sleep(8)
    assert site.started_in(since_s) == ALL - {'dc0'}


async def test_all_data_centres_are_evacuated(site, autojump_clock):
    """Guards against jobs that wait until their deadline."""
    for zone in sorted(ALL):
        site.evacuate(zone)
    await trio.sleep(1)
    n_before = site.n_jobs
    since_s = trio.current_time()
    await trio.sleep(1)
    assert site.started_in(since_s) == set()
    ids = [f'{number:016x}' for number in range(n_before, site.n_jobs - 3)]
    kinds = {site.fleet.outcomes[job_id].kind for job_id in ids}
    assert kinds == {dispatch.OutcomeKind.NOT_RUN}


async def test_start_that_was_decided_before_the_rows_arrived(
    site, autojump_clock, monkeypatch
):
    """Its request is not sent yet; guards against a start after the read."""
    (leader,) = site.fleet.leaders()
    instance = site.fleet.nodes[leader]
    dispatcher = instance.leader.dispatcher
    take_effects = dispatcher.take_effects
    arrived_s = []

    def take_effects_before_a_message():
        effects = take_effects()
        starts = [e for e in effects if isinstance(e, dispatch.StartRun)]
        if starts and not arrived_s:
            arrived_s.append(trio.current_time())
            version = instance.evacuations.rows.version + 100
            zones = [starts[0].worker.data_centre]
            message = _messages.Evacuations(version, zones)
            instance._handle_message(PEER, message, arrived_s[0])
        return effects

    monkeypatch.setattr(
        dispatcher, 'take_effects', take_effects_before_a_message
    )
    await trio.sleep(2)
    (zone,) = instance.evacuations.in_force
    assert zone not in site.started_in(arrived_s[0])
    assert dispatcher.counters['rejected_evacuated']
    kinds = {outcome.kind for outcome in site.fleet.outcomes.values()}
    assert kinds == {dispatch.OutcomeKind.COMPLETED}


async def test_older_rows_of_a_peer_are_not_used(site, autojump_clock):
    """Guards against an evacuation that returns, or ends, with old rows."""
    site.evacuate('dc1')
    await trio.sleep(0.1)
    for instance in site.fleet.nodes.values():
        version = instance.evacuations.rows.version
        for message in (
            _messages.Evacuations(version - 1, []),
            _messages.Evacuations(0, ['dc2'], True),
        ):
            instance._handle_message(PEER, message, trio.current_time())
    await trio.sleep(0.5)
    assert site.in_force() == {frozenset({'dc1'})}
