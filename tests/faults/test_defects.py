"""The checks find each planted defect and pass without it."""

import typing

import defects
import injections
import pytest
import test_matrix
import world as worlds

Scenario = typing.Callable[[type], worlds.World]


def _cell(step: str, fault: str) -> Scenario:
    def scenario(engine_class: type) -> worlds.World:
        world, _ = test_matrix.run_with_faults(
            1, [(step, 1, fault)], engine_class=engine_class
        )
        return world

    return scenario


def _not_run_then_killed(engine_class: type) -> worlds.World:
    """The holder dies between its "not run" and the record of it."""
    world = worlds.World(seed=1, engine_class=engine_class)
    world.submit('busy', [1000.0] * 60)
    world.run_for(0.5)
    world.on_step = lambda step, entry: (
        injections.kill(world, entry)
        if step == 'record' and entry.id == 'e0'
        else None
    )
    world.submit('s1', [50.0], deadline_ms=300.0)
    world.run_for(0.5)
    world.submit('s1', [50.0], entry_id='e1')
    world.run_for(40.0)
    return world


def _queued_then_killed(engine_class: type) -> worlds.World:
    """The holder dies while it runs a job that had to wait for slots."""
    world = worlds.World(seed=1, engine_class=engine_class)
    world.submit('busy', [300.0] * 40)
    world.run_for(0.2)
    world.submit('s1', [8000.0] * 4)
    world.run_for(3.0)
    world.kill(world.entries['e0'])
    world.submit('s1', [8000.0] * 4, entry_id='e1')
    world.run_for(40.0)
    return world


def _two_copies_in_an_outage(engine_class: type) -> worlds.World:
    """A claim is given up while another copy is claimed elsewhere."""
    world = worlds.World(seed=1, engine_class=engine_class)
    world.cut.add(frozenset(('e0', 'platform')))
    world.submit('s1', [50.0] * 4)
    world.submit('s1', [50.0] * 4, entry_id='e1')
    world.run_for(10.0)
    return world


def _late_contract(engine_class: type) -> worlds.World:
    """Messages with an old version arrive after the new one."""
    world = worlds.World(seed=1, engine_class=engine_class)
    world.peer_duplicates = 1.0
    for version in (1, 2, 3):
        world.put_contract('e0', version, in_flight=10 * version)
        world.run_for(0.7)
    world.run_for(10.0)
    return world


CAUGHT_BY: dict[type, Scenario] = {
    defects.ClaimSkipped: _cell('receive', 'pause'),
    defects.WatermarkIgnored: _queued_then_killed,
    defects.BlindRetry: _cell('committed', 'cut_workers'),
    defects.TakeoverRunsAll: _cell('run', 'kill'),
    defects.TakeoverUnconditional: _cell('committed', 'cut_data_centre'),
    defects.ConflictTakenAsCommit: _cell('receive', 'pause'),
    defects.NotRunBeforeRecord: _not_run_then_killed,
    defects.UnknownSaidNotRun: _cell('run', 'kill'),
    defects.RefusalSaysNotRun: _cell('committed', 'kill'),
    defects.LateLineAccepted: _cell('receive', 'peers_lossy'),
    defects.PartialAnswer: _cell('receive', 'worker_stalled'),
    defects.StaleContractAccepted: _late_contract,
    defects.TicketRunAnywhere: _cell('receive', 'pause'),
    defects.GivenUpClaimRuns: _two_copies_in_an_outage,
}


@pytest.mark.parametrize('defect', defects.DEFECTS)
def test_defect_is_caught(defect):
    # Guards against checks that cannot fail: each mechanism is taken
    # out in turn, and the same history is sound with it.
    scenario = CAUGHT_BY[defect]
    assert scenario(defect).violations() != []
    assert scenario(worlds.engine.Engine).violations() == []
