import random

import pytest
import trio

from orioleloom.engine import _effects
from orioleloom import model
from orioleloom import worker_api
import orioleloom_standins as standins
from orioleloom_standins import audit

FAULTS = ('die', 'stall', 'cut', 'garbage', 'leave', 'fail_all')
N_TASKS = 4


@pytest.mark.parametrize('seed', range(4))
async def test_no_fault_makes_the_client_report_a_started_task_as_not_run(
    seed,
):
    # Guards R4 and R5 for the client of the workers. Each job is one
    # exchange; its answer is built from the lines and the end of it.
    random_state = random.Random(seed)
    ledger = standins.Ledger()
    host = standins.WorkerHost(
        standins.Worker(worker_id=f'w{index}', ledger=ledger)
        for index in range(3)
    )
    calls = []
    ends = set()

    async def dispatch(client, url, number):
        sent = tuple(
            audit.SentTask(
                'k', {'id': index, 'work_ms': random_state.random() * 40}
            )
            for index in range(N_TASKS)
        )
        lines = {}

        def on_line(line):
            index = int(line.key.rpartition('/')[2])
            assert index not in lines
            lines[index] = line

        end = await client.run_exchange(
            _effects.SendTasks(
                number,
                'w',
                url,
                tuple(
                    _effects.SentTask(f'c/{number}/{i}', *task[:2], 100)
                    for i, task in enumerate(sent)
                ),
                0.15,
            ),
            on_line,
        )
        ends.add((end.may_have_started, bool(end.reason)))
        calls.append(
            audit.Call('c', str(number), sent, True, build_answer(lines, end))
        )

    async with trio.open_nursery() as nursery:
        ports = await nursery.start(host.serve)
        urls = [f'http://127.0.0.1:{p}' for p in ports['workers'].values()]
        async with worker_api.WorkerClient(
            'e1', connect_timeout_s=0.05
        ) as client:
            async with trio.open_nursery() as exchanges:
                for number in range(60):
                    exchanges.start_soon(
                        dispatch, client, random_state.choice(urls), number
                    )
                    if number % 4 == 0:
                        server = random_state.choice(
                            list(host.servers.values())
                        )
                        server.set_fault(
                            random_state.choice(FAULTS),
                            duration_s=0.06,
                            share=0.5,
                        )
                    await trio.sleep(0.005)
        # Wait for stalled workers, which may still start received tasks.
        await trio.sleep(0.15)
        nursery.cancel_scope.cancel()
    assert audit.audit(ledger.entries, calls) == []
    # The faults had an effect: some exchanges succeeded and some failed.
    assert {(True, False), (True, True)} <= ends


def build_answer(lines, end):
    outcomes = {index: line.outcome for index, line in lines.items()}
    done = [i for i, o in outcomes.items() if o is model.TaskOutcome.OK]
    if len(done) == N_TASKS:
        results = [lines[index].result for index in range(N_TASKS)]
        return {'state': 'complete', 'results': results}
    report = {'not_run': [], 'unknown': [], 'failed': [], 'done': len(done)}
    for index in range(N_TASKS):
        match outcomes.get(index):
            case model.TaskOutcome.OK:
                pass
            case model.TaskOutcome.REJECTED:
                report['not_run'].append(index)
            case model.TaskOutcome.FAILED | model.TaskOutcome.STOPPED:
                report['failed'].append(index)
            case None if end.may_have_started:
                report['unknown'].append(index)
            case None:
                report['not_run'].append(index)
    return {'state': 'failed', 'error': {'run': 'unknown'}, 'tasks': report}
