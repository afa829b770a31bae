"""Two instances fail one after the other while a worker is cut off."""

import asyncio
import pathlib
import signal
import sys

from standins import checks
from standins import deployment

# Seconds after the first failure.
_CUT_S = 0.5
_LEADER_FAILS_S = 0.88
_RESEND_S = 1.3
_WORK_MS = 2500
_ESTIMATE_MS = 900
# Tasks of other callers, during which the leader renews leases often.
_OTHER_WORK_MS = 60


async def case(place: deployment.Deployment, with_trouble: bool) -> list[str]:
    await place.start(6)
    leader = await place.leader()
    followers = [i for i in place.instances if i is not leader]
    # The candidates rank by name; the caller's instance is not the next one.
    holder, *others = sorted(followers, key=lambda i: i.name)
    is_over = False

    async def send_others(instance: deployment.Instance, n: int) -> None:
        client = deployment.Client(place.log, instance, f'other-{n}')
        while not is_over:
            await client.call(
                'POST', deployment.new_id(), deployment.job(_OTHER_WORK_MS)
            )

    sending = [
        asyncio.ensure_future(send_others(instance, n))
        for n, instance in enumerate(others * 5)
    ]
    await asyncio.sleep(0.5)
    job_id = deployment.new_id()
    body = deployment.job(_WORK_MS)
    body['phases'][0]['estimateMs'] = _ESTIMATE_MS
    first = asyncio.ensure_future(
        deployment.Client(place.log, holder, 'caller').call(
            'POST', job_id, body
        )
    )
    await asyncio.sleep(0.15)
    starts = [
        event
        for event in place.log.events
        if event['event'] == 'run_start' and event['task'].startswith(job_id)
    ]
    if not starts:
        raise deployment.CannotRun('the job has not started')
    served = place.workers[starts[0]['worker']]
    if with_trouble:
        place.log.add('sigkill', instance=holder.name)
        holder.signal(signal.SIGKILL)

        async def cut() -> None:
            await asyncio.sleep(_CUT_S)
            place.log.add('worker_cut', worker=served.id)
            served.is_cut = True

        async def fail() -> None:
            await asyncio.sleep(_LEADER_FAILS_S)
            place.log.add('sigkill', instance=leader.name)
            leader.signal(signal.SIGKILL)

        async def resend() -> None:
            status = await first
            if status == 0:
                await asyncio.sleep(_RESEND_S)
                await deployment.Client(place.log, others[0], 'caller').call(
                    'POST', job_id, body
                )

        await asyncio.gather(cut(), fail(), resend())
    else:
        await first
    is_over = True
    await asyncio.gather(*sending)
    await asyncio.sleep(1.0)
    return checks.twice(place.log.events)


sys.exit(
    deployment.run_case(
        pathlib.Path(__file__).parent,
        ('zone-a', 'zone-a', 'zone-b', 'zone-b'),
        case,
    )
)
