"""Jobs in a cut off data centre whose callers submit them again outside.

Guards against a second run beside that inside the data centre, where the
instance does not notice that the caller has gone.
"""

import pytest
import trio

from orioleloom import dispatch
from orioleloom_standins import leased

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
STEP = dispatch.Step(1, dispatch.Resources(15_000, 64), 4.0)
DATA_CENTRES = ['dc0', 'dc0', 'dc1', 'dc2']


@pytest.mark.parametrize('is_at_leader', [True, False])
async def test_job_submitted_again_outside(
    nursery, autojump_clock, is_at_leader
):
    fleet = leased.new_fleet(
        nursery, DATA_CENTRES, workers=leased.site_workers(6)
    )
    fleet.start()
    await trio.sleep(2)
    (leader_id,) = fleet.leaders()
    others = [name for name in sorted(fleet.nodes) if name != leader_id]
    holder_id = leader_id if is_at_leader else others[0]
    data_centre = fleet.nodes[holder_id].settings.data_centre
    jobs = [
        dispatch.Job(f'{number:016x}', QUEUE, 'payload', (STEP,))
        for number in range(6)
    ]
    for job in jobs:
        fleet.submit(holder_id, job, [4.0], deadline_s=9.0)
    await trio.sleep(0.2)
    fleet.network.cut_data_centre(data_centre)
    await trio.sleep(1.3)
    outside_id = next(
        name
        for name, instance in fleet.nodes.items()
        if instance.settings.data_centre != data_centre
    )
    for job in jobs:
        fleet.submit_declared(outside_id, job, 9.0)
    # A second run would end the simulation with a violation.
    await trio.sleep(3)
