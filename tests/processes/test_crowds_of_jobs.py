"""A fleet under crowds of whole, legal jobs.

What an instance receives counts until the response. These tests guard against
what a job costs beside its bytes: its decoded form, its tasks, and at the
leader the jobs of all instances.
"""

import json

import msgspec
import pytest

from tests.processes import crowds
from tests.processes import job_crowds

pytestmark = pytest.mark.processes

# What the stand-in worker reads from a job, and what a step asks for.
_SPEC = {'work_s': 0.02, 'cpu': 6_800}
_STEP = {'cpu': 6_800, 'estimateMs': 3_000.0}


def encode(spec: dict, steps: list[dict]) -> bytes:
    return msgspec.json.encode(
        {
            'spec': json.dumps(spec, ensure_ascii=False),
            'phases': steps,
            'bestEffort': True,
        }
    )


_PADDING = 'x' * (
    crowds.MAX_BODY_BYTES
    - len(encode(_SPEC | {'pad': ''}, [_STEP | {'count': 1}]))
)
LONG_SPEC = encode(_SPEC | {'pad': _PADDING}, [_STEP | {'count': 1}])
# Decoded, each of its characters takes four bytes.
WIDE_SPEC = encode(
    _SPEC | {'pad': _PADDING[4:] + '\U0001f600'}, [_STEP | {'count': 1}]
)
# The longest that is submitted without asking the leader for memory.
SMALL_WIDE_SPEC = encode(
    _SPEC | {'pad': '\U0001f600' * 4_000}, [_STEP | {'count': 1}]
)
MANY_STEPS = encode(
    _SPEC,
    [
        _STEP | {'count': 1, 'after': [0] if number else []}
        for number in range(1_300)
    ],
)
MANY_TASKS = encode(_SPEC, [_STEP | {'count': 1_000}])

JOBS = [LONG_SPEC, WIDE_SPEC, MANY_STEPS, MANY_TASKS]
_NAMES = ['long_spec', 'wide_spec', 'many_steps', 'many_tasks']

# Clients of the leader and of each follower.
EVERYWHERE = (200, 200, 200)
ONE_FOLLOWER = (0, 600, 0)


def check(
    seen: job_crowds.FleetSeen, memory_mb: int = crowds.MEMORY_MB
) -> None:
    assert seen.n_ended == 0
    assert max(seen.peak_memory_bytes) < memory_mb * 1_000_000
    assert max(seen.peak_fds) < crowds.MAX_FDS
    assert set(seen.statuses) == {200}
    assert seen.started_refused == set()


@pytest.mark.parametrize(
    'n_clients', [EVERYWHERE, ONE_FOLLOWER], ids=['everywhere', 'follower']
)
@pytest.mark.parametrize('body', JOBS, ids=_NAMES)
async def test_crowd(tmp_path, body, n_clients):
    """Guards against memory that is spent before a job is refused."""
    seen = await job_crowds.send(body, n_clients, str(tmp_path))
    print(seen)
    check(seen)


async def test_large_crowd_on_the_smallest_machine(tmp_path):
    """Guards against budgets of all instances that add up at the leader."""
    seen = await job_crowds.send(
        WIDE_SPEC, (500, 500, 500), str(tmp_path), memory_mb=160
    )
    print(seen)
    check(seen, 160)


async def test_small_jobs_at_many_instances(tmp_path):
    """Guards against submissions that fill the leader's socket."""
    seen = await job_crowds.send(
        SMALL_WIDE_SPEC, (0, *(400,) * 7), str(tmp_path)
    )
    print(seen)
    check(seen)


@pytest.mark.parametrize(
    'body', [LONG_SPEC, MANY_TASKS], ids=['long_spec', 'many_tasks']
)
async def test_crowd_at_a_new_leader(tmp_path, body):
    """Guards against a leader that takes over more than fits into it.

    The followers submit their jobs again, and the connections of the killed
    leader's clients are closed.
    """
    seen = await job_crowds.send(
        body, EVERYWHERE, str(tmp_path), kill_leader=True
    )
    print(seen)
    check(seen)


@pytest.mark.parametrize('body', JOBS, ids=_NAMES)
async def test_one_job_in_calm(tmp_path, body):
    """Guards against bounds that no large job meets."""
    seen = await job_crowds.send(body, (0, 1, 0), str(tmp_path))
    print(seen)
    check(seen)
    assert seen.n_refused == 0
