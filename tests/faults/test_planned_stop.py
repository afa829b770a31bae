"""Planned stops and rolling replacement under load (R7)."""

import pytest

from orioleloom import engine
from orioleloom_standins import virtual

# Time until a caller checks for a refusal by a stopping instance and
# resubmits to another one.
RETRY_S = 0.05


class Load:
    """Submits jobs at a steady rate to instances that report ready."""

    def __init__(self, world: virtual.World, *, until_s: float):
        self.world = world
        self.until_s = until_s
        self.n_jobs = 0
        self.n_refused = 0
        self._submit()

    def _submit(self) -> None:
        world = self.world
        ready = [e.id for e in world.entries.values() if is_ready(e)]
        if ready:
            entry_id = ready[self.n_jobs % len(ready)]
            copy = world.submit(
                f's{self.n_jobs}',
                [100.0, 200.0, 400.0],
                entry_id=entry_id,
                first=True,
            )
            self.n_jobs += 1
            world.at(RETRY_S, lambda: self._retry(copy))
        if world.now_s < self.until_s:
            world.at(0.1, self._submit)

    def _retry(self, copy: virtual.Copy) -> None:
        if copy.answer is None:
            return
        if copy.answer.body.get('error', {}).get('code') != 'stopping':
            return
        self.n_refused += 1
        world = self.world
        ready = [e.id for e in world.entries.values() if is_ready(e)]
        resubmitted = world.callers.send_copy(
            copy.job_id, copy.tasks, ready[0]
        )
        world.at(RETRY_S, lambda: self._retry(resubmitted))


def is_ready(entry: virtual.Entry) -> bool:
    return entry.alive and not entry.paused and entry.core.is_ready()


def assert_nothing_cut_off(world: virtual.World) -> None:
    assert world.processes.n_cut_off == 0
    assert world.violations() == []
    assert [c for c in world.copies if c.gave_up] == []
    assert [c for c in world.copies if c.answer is None] == []


@pytest.mark.parametrize('seed', range(3))
def test_rolling_replacement_cuts_nothing_off(seed):
    # Guards R7: while all instances are replaced one after another, every
    # job completes and no caller loses its connection.
    world = virtual.World(seed=seed)
    load = Load(world, until_s=60.0)
    for index in range(3):
        world.run_for(3.0)
        new = world.add_entry(f'e{index + 3}', 'dc0')
        while not is_ready(new):
            world.run_for(0.5)
        world.processes.stop(world.entries[f'e{index}'])
    world.run_for(90.0)
    assert [e.id for e in world.entries.values() if e.alive] == [
        'e3',
        'e4',
        'e5',
    ]
    assert_nothing_cut_off(world)
    last = {c.job_id: c for c in world.copies}
    assert len(last) == load.n_jobs > 300
    assert {c.answer.body['state'] for c in last.values()} == {'complete'}
    peak = world.watch.peak_in_flight()[virtual.CUSTOMER]
    assert peak <= world.contracts[0].in_flight


def test_stop_answers_callers_that_wait_for_another_instance():
    # Guards R7: a caller of the stopping instance whose job is owned by
    # another instance gets an answer within the stop timeout.
    world = virtual.World(
        contracts=[virtual.default_contract(deadline_ms=100_000.0)]
    )
    world.submit('s1', [50_000.0], entry_id='e1')
    world.run_for(1.0)
    world.submit('s1', [50_000.0], entry_id='e0')
    world.run_for(1.0)
    ended = []
    world.processes.stop(
        world.entries['e0'], lambda: ended.append(world.now_s)
    )
    world.run_for(120.0)
    assert ended[0] <= 12.0 + 32.0
    assert_nothing_cut_off(world)


def test_stop_bound_answers_what_is_left():
    # Guards R7: a job longer than the stop timeout is answered with its
    # state at that time.
    world = virtual.World(
        contracts=[virtual.default_contract(deadline_ms=100_000.0)]
    )
    copy = world.submit('s1', [50_000.0] * 20, entry_id='e0')
    world.run_for(1.0)
    world.processes.stop(world.entries['e0'])
    world.run_for(80.0)
    assert_nothing_cut_off(world)
    report = copy.answer.body['tasks']
    assert report['unknown'] and report['not_run']


@pytest.mark.parametrize(
    'work_ms', [[1000.0], [50_000.0] * 4, [50_000.0] * 20]
)
@pytest.mark.parametrize('outage_at_s', [0.0, 10.0, 29.9])
def test_stop_during_an_outage_is_bounded(work_ms, outage_at_s):
    # Guards R7: when the record of an answer cannot be written, the caller
    # still gets the known state of its job before the process ends.
    world = virtual.World(
        contracts=[virtual.default_contract(deadline_ms=100_000.0)],
        settings=engine.EngineSettings(stop_timeout_s=30.0),
    )
    for entry_id in ('e0', 'e1'):
        world.submit(f'busy-{entry_id}', [60_000.0] * 12, entry_id=entry_id)
    world.run_for(0.5)
    world.submit('s1', work_ms, entry_id='e0')
    world.submit('s2', work_ms, entry_id='e1')
    world.run_for(1.0)
    world.submit('s2', work_ms, entry_id='e0')
    ended = []
    stopped_at_s = world.now_s
    world.processes.stop(
        world.entries['e0'], lambda: ended.append(world.now_s)
    )
    world.run_for(outage_at_s)
    world.platform.unavailable_until_s = world.now_s + 300.0
    world.run_for(200.0)
    assert ended[0] <= stopped_at_s + 32.1
    assert_nothing_cut_off(world)
