"""Jobs that are sent again, at another instance, after a change of leader.

The instance that had the job fails, and a worker that runs it is cut off, so
that no stop reaches it. Guards against a new leader that starts the job at
once beside that run, whose lease has not ended.
"""

import random

import pytest
import trio

from orioleloom import dispatch
from orioleloom import node
from orioleloom_standins import leased
from orioleloom_standins.leased import _disrupted

QUEUE = dispatch.Queue('check', 'pool', 0, 3, 1.6, 0.06)
JOB = dispatch.Job(
    'a' * 16,
    QUEUE,
    'payload',
    (dispatch.Step(1, dispatch.Resources(6_800, 64), 0.9),),
)
RESEND_S = 1.3


class Site:
    """A fleet in which the instance of a caller has just been killed."""

    def __init__(self, fleet):
        self.fleet = fleet
        (self.leader_id,) = fleet.leaders()
        followers = sorted(set(fleet.nodes) - {self.leader_id})
        # The last one by name is the best candidate for the next leader.
        self.holder_id, self.next_id, *_ = followers
        self.failed_s = 0.0

    async def fail_holder(self, *, work_s=2.5, cut_after_s=0.5):
        """Start the job, kill its instance and cut off its worker later.

        The stop that the leader sends 0.6 s after the last reply of the
        instance finds the worker cut off.
        """
        self.fleet.submit(self.holder_id, JOB, [work_s])
        await trio.sleep(0.15)
        (worker_id,) = [n for n, w in self.fleet.workers.items() if w.runs]
        self.fleet.kill(self.holder_id)
        self.failed_s = trio.current_time()
        await self.sleep_until(cut_after_s)
        self.cut([worker_id], self.fleet.nodes)

    def cut(self, names, others):
        """Cut all links between two groups; return the fault."""
        fault = _disrupted.LinkFault(
            frozenset(names), frozenset(others), _disrupted.LinkState.CUT
        )
        self.fleet.network.faults.append(fault)
        return fault

    async def sleep_until(self, after_s):
        """Sleep until a time after the failure of the instance."""
        await trio.sleep_until(self.failed_s + after_s)

    async def send_again(self, after_s=RESEND_S, deadline_s=8.0):
        """Send the job to another instance, and wait for its outcome."""
        await self.sleep_until(after_s)
        instance_id = self.next_id
        if instance_id not in self.fleet.nodes:
            instance_id = sorted(self.fleet.nodes)[0]
        self.fleet.submit_declared(instance_id, JOB, deadline_s)
        # The workers' check raises an error at a second run.
        with trio.fail_after(deadline_s + 1.0):
            while JOB.id not in self.fleet.outcomes:
                await trio.sleep(0.05)
        return self.fleet.outcomes[JOB.id].kind

    def end_leader(self, how):
        (leader_id,) = self.fleet.leaders()
        if how == 'killed':
            self.fleet.kill(leader_id)
        else:
            self.fleet.nodes[leader_id].begin_stop()


@pytest.fixture(params=range(3))
async def site(nursery, request):
    leased.seed_scheduler(request.param)
    fleet = _disrupted.DisruptedFleet(
        nursery,
        leased.site_workers(6),
        ['dc0', 'dc0', 'dc1', 'dc1', 'dc1'],
        random_state=random.Random(request.param),
    )
    fleet.store.put('routing', 'config', node.Routing(1, ()))
    fleet.start()
    await trio.sleep(2)
    return Site(fleet)


@pytest.mark.parametrize('how', ['killed', 'stopped'])
@pytest.mark.parametrize('after_s', [0.55, 0.7, 0.88, 1.0, 1.2, 1.28])
async def test_change_of_leader_while_a_worker_is_cut_off(
    site, autojump_clock, how, after_s
):
    """The earlier leader stops the run in vain, or not at all."""
    await site.fail_holder()
    await site.sleep_until(after_s)
    site.end_leader(how)
    kind = await site.send_again()
    assert kind is dispatch.OutcomeKind.COMPLETED


@pytest.mark.parametrize('how', ['killed', 'stopped'])
async def test_two_changes_of_leader_within_a_lease(site, autojump_clock, how):
    """The second leader knows nothing of the run, the third one neither."""
    await site.fail_holder()
    await site.sleep_until(0.75)
    site.end_leader('stopped')
    await site.sleep_until(1.1)
    site.end_leader(how)
    kind = await site.send_again()
    assert kind is dispatch.OutcomeKind.COMPLETED


@pytest.mark.parametrize('returns_after_s', [0.97, 1.1, 1.2, 1.3])
async def test_new_leader_that_was_out_of_contact(
    site, autojump_clock, returns_after_s
):
    """Its last contact with the earlier leader is older than the lease."""
    successor_id = max(set(site.fleet.nodes) - {site.leader_id})
    fault = site.cut([successor_id], site.fleet.nodes)
    await trio.sleep(1.0)
    await site.fail_holder()
    await site.sleep_until(0.95)
    site.end_leader('killed')
    await site.sleep_until(returns_after_s)
    site.fleet.network.faults.remove(fault)
    kind = await site.send_again()
    assert kind is dispatch.OutcomeKind.COMPLETED


async def test_new_leader_with_an_outdated_list(site, autojump_clock):
    """It was told that a worker is not in use, and missed that it is again."""
    fleet = site.fleet
    worker_id = 'w0'
    other_job = JOB._replace(id='b' * 16)
    fleet.submit(site.next_id, other_job, [2.0])
    await trio.sleep(0.1)
    assert fleet.workers[worker_id].runs
    worker_fault = site.cut([worker_id], fleet.nodes)
    await trio.sleep(2.0)
    successor_id = max(set(fleet.nodes) - {site.leader_id})
    fault = site.cut([successor_id], fleet.nodes)
    fleet.network.faults.remove(worker_fault)
    await trio.sleep(2.0)
    await site.fail_holder()
    assert fleet.workers[worker_id].runs
    await site.sleep_until(0.95)
    site.end_leader('killed')
    await site.sleep_until(0.97)
    fleet.network.faults.remove(fault)
    kind = await site.send_again()
    assert kind is dispatch.OutcomeKind.COMPLETED


@pytest.mark.parametrize('how', ['killed', 'stopped'])
async def test_caller_that_comes_back_sooner(site, autojump_clock, how):
    """No time between two attempts of a caller is assumed."""
    await site.fail_holder(cut_after_s=0.4)
    await site.sleep_until(0.45)
    site.end_leader(how)
    kind = await site.send_again(0.5)
    assert kind is dispatch.OutcomeKind.COMPLETED


async def test_other_jobs_do_not_wait_after_a_planned_change(
    site, autojump_clock
):
    """Guards against callers that pay for a worker that is cut off.

    The earlier leader names the jobs that may still run.
    """
    await site.fail_holder()
    await site.sleep_until(1.2)
    site.end_leader('stopped')
    await trio.sleep(0.02)
    job = JOB._replace(id='b' * 16)
    site.fleet.submit(site.next_id, job, [0.1])
    await trio.sleep(0.3)
    assert site.fleet.outcomes[job.id].kind is dispatch.OutcomeKind.COMPLETED
