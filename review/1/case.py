"""Requests on open connections of an instance that is being stopped."""

import asyncio
import pathlib
import signal
import sys

from standins import deployment

# Seconds from SIGTERM to each client's next request. A client uses the
# connection that it has open, as long as the instance leaves it open.
_SENT_S = (0.4, 1.1, 1.8, 2.5, 3.2, 3.9, 4.6, 5.2)
_WORK_MS = 1100
_GRACE_S = 6.0


async def case(place: deployment.Deployment, with_trouble: bool) -> list[str]:
    await place.start(6)
    leader = await place.leader()
    stopped = next(i for i in place.instances if i is not leader)
    clients = [
        deployment.Client(place.log, stopped, f'client-{n}')
        for n in range(len(_SENT_S))
    ]
    for client in clients:
        status = await client.call(
            'POST', deployment.new_id(), deployment.job(_WORK_MS)
        )
        if status != 200:
            raise deployment.CannotRun(f'status {status} before the stop')
    await asyncio.sleep(0.3)
    stopped_s = place.log.add('sigterm', instance=stopped.name,
                              is_sent=with_trouble)  # fmt: skip
    if with_trouble:
        stopped.signal(signal.SIGTERM)

    async def send(client: deployment.Client, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await client.call(
            'POST', deployment.new_id(), deployment.job(_WORK_MS)
        )

    async def kill() -> None:
        await asyncio.sleep(_GRACE_S)
        if with_trouble:
            stopped.signal(signal.SIGKILL)
            place.log.add('sigkill', instance=stopped.name,
                          is_needed=stopped.is_running())  # fmt: skip

    await asyncio.gather(
        kill(), *(send(c, s) for c, s in zip(clients, _SENT_S))
    )
    return _broken(place.log.events, stopped_s)


def _broken(events: list[dict], stopped_s: float) -> list[str]:
    """Return the requests that LOST counts, with its excuses."""
    broken = []
    for answer in events:
        if answer['event'] != 'answered' or answer['status'] != 0:
            continue
        sent_s = answer['sent_at_s']
        runs = [
            event
            for event in events
            if event.get('task', '').startswith(answer['job'])
        ]
        starts = [e for e in runs if e['event'] == 'run_start']
        broken_off = [
            e
            for e in runs
            if e['at_s'] < answer['at_s']
            and (
                e['event'] == 'run_killed'
                or e.get('how') in ('failed', 'lapsed')
            )
        ]
        # The worker was still at work in the last sixth of graceS.
        is_late_work = sent_s <= stopped_s + 3 and any(
            e['event'] == 'run_end'
            and e['at_s'] >= stopped_s + _GRACE_S * 5 / 6
            for e in runs
        )
        if (
            starts
            and not broken_off
            and not is_late_work
            and answer['at_s'] < sent_s + deployment.DEADLINE_MS / 1000
            and answer['at_s'] <= stopped_s + _GRACE_S + 1
        ):
            broken.append(
                f'LOST: job {answer["job"]}, sent {sent_s - stopped_s:.2f} s '
                f'after SIGTERM, started on {starts[0]["worker"]}, '
                f'connection ended {answer["at_s"] - sent_s:.2f} s after it '
                'without an answer'
            )
    return broken


sys.exit(
    deployment.run_case(
        pathlib.Path(__file__).parent, ('zone-a', 'zone-a', 'zone-b'), case
    )
)
