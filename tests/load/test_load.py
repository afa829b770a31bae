import json

import httpx
import pytest
import trio

from orioleloom import load
from orioleloom.load import _report

WORKLOAD = load.PRESETS['harrowgate']
WORKERS = WORKLOAD.workers()


def options(**changes):
    changes.setdefault('utilisation', 0.6)
    return load.LoadOptions(WORKLOAD.customers, **changes)


def arrival(at_s, *work_ms, upstream='u'):
    return load.Arrival(at_s, 'c', 'k', upstream, work_ms, work_ms)


def record(*arrivals):
    return load.Record(0, arrivals)


def test_a_load_is_reproducible_from_its_seed(tmp_path):
    # Runs are only comparable if the same seed gives the same load.
    load_record = load.make_record(options(duration_s=5.0), WORKERS)
    assert load_record == load.make_record(options(duration_s=5.0), WORKERS)
    assert load_record != load.make_record(
        options(duration_s=5.0, seed=2), WORKERS
    )
    path = str(tmp_path / 'load.json')
    load_record.save(path)
    assert load.Record.load(path) == load_record


@pytest.mark.parametrize('arrival_process', load.ARRIVALS)
def test_arrivals_meet_the_rate_in_the_mean(arrival_process):
    # Guards against an arrival process, such as bursts, that changes the mean
    # rate of jobs.
    load_record = load.make_record(
        options(
            utilisation=None,
            jobs_per_s=20.0,
            arrival=arrival_process,
            duration_s=200.0,
        ),
        WORKERS,
    )
    assert len(load_record.arrivals) == pytest.approx(4_000, rel=0.06)
    times = [a.at_s for a in load_record.arrivals]
    assert times == sorted(times)


def test_bursts_have_their_factor():
    load_record = load.make_record(
        options(
            utilisation=None,
            jobs_per_s=50.0,
            arrival='bursts',
            duration_s=100.0,
            burst_s=2.0,
            burst_factor=10.0,
        ),
        WORKERS,
    )
    inside = sum(a.at_s % 10.0 >= 8.0 for a in load_record.arrivals)
    outside = len(load_record.arrivals) - inside
    assert (inside / 2) / (outside / 8) == pytest.approx(10.0, rel=0.15)


def test_utilisation_is_met_by_the_drawn_tasks():
    # Guards F8: a few long tasks must not shift the utilisation of a load.
    load_record = load.make_record(options(utilisation=0.9), WORKERS)
    expected_s = load_record.total_work_ms / 1e3 / load.capacity(WORKERS) / 0.9
    assert load_record.arrivals[-1].at_s == pytest.approx(expected_s, rel=0.05)


def test_wrong_share_and_run_times():
    # Guards F3, F5: the generated run times have the documented distribution.
    load_record = load.make_record(options(duration_s=60.0), WORKERS)
    speed = load.capacity(WORKERS) / sum(w.slots for w in WORKERS)
    pairs = [
        (work_ms / speed, declared_ms)
        for a in load_record.arrivals
        for work_ms, declared_ms in zip(a.work_ms, a.declared_ms, strict=True)
    ]
    wrong = sum(abs(run / declared - 1) > 0.01 for run, declared in pairs)
    assert wrong / len(pairs) == pytest.approx(0.1, abs=0.02)
    usual = sum(50 <= run <= 1_000 for run, _ in pairs)
    assert usual / len(pairs) == pytest.approx(0.97, abs=0.01)


@pytest.mark.parametrize(
    'changes',
    [
        {'arrival': 'often'},
        {'utilisation': None},
        {'utilisation': float('nan')},
        {'burst_s': 20.0},
    ],
)
def test_options_are_checked_by_name(changes):
    with pytest.raises(ValueError, match=next(iter(changes))):
        load.make_record(options(**changes), WORKERS)


def test_file_that_is_no_load_is_refused(tmp_path):
    path = tmp_path / 'load.json'
    path.write_text('{"seed": 1, "arrivals": [{"at_s": 1}]}')
    with pytest.raises(ValueError, match='not a recorded load'):
        load.Record.load(str(path))


def test_ideal_waits_for_a_faster_slot_when_that_is_earlier():
    # The fast slot completes the tasks of the first job at 0.25 s and 0.5 s;
    # the slow slot would need 1 s. For the second job the slow slot is the
    # earlier one, with 0.4 s instead of 0.6 s.
    workers = [load.Worker('u', 4.0, 1), load.Worker('u', 1.0, 1)]
    load_record = record(arrival(0.0, 1_000, 1_000), arrival(0.0, 400))
    assert load.ideal_response_times(load_record, workers) == pytest.approx(
        [0.5, 0.4]
    )


def test_ideal_serves_jobs_in_order_of_arrival():
    # Guards against scheduling in record order instead of arrival order.
    workers = [load.Worker('u', 1.0, 1)]
    load_record = record(arrival(0.5, 1_000), arrival(0.0, 1_000))
    assert load.ideal_response_times(load_record, workers) == pytest.approx(
        [1.5, 1.0]
    )


def test_ideal_keeps_upstreams_apart():
    workers = [load.Worker('u', 1.0, 1), load.Worker('v', 8.0, 1)]
    load_record = record(arrival(0.0, 800), arrival(0.0, 800, upstream='v'))
    assert load.ideal_response_times(load_record, workers) == pytest.approx(
        [0.8, 0.1]
    )
    with pytest.raises(ValueError, match="'w'"):
        load.ideal_response_times(
            record(arrival(0.0, 1, upstream='w')), workers
        )


class FakeInstance:
    """Instance that answers a job after 0.5 s and refuses one of 3 tasks."""

    async def __call__(self, request):
        if request.url.path == '/v1/state':
            return httpx.Response(
                200,
                json={
                    'ready': True,
                    'open': 7,
                    'engine': {'counters': {'task_sends': 5}},
                    'counters': {'edge': {'other': 1}},
                },
            )
        await trio.sleep(0.5)
        tasks = json.loads(request.content)['tasks']
        if len(tasks) == 3:
            error = {'code': 'not_runnable', 'run': 'not_run', 'retry': 'no'}
            return httpx.Response(422, json={'error': error})
        return httpx.Response(
            200, json={'state': 'complete', 'results': [0] * len(tasks)}
        )


async def test_load_is_open_loop_and_reported(autojump_clock, tmp_path):
    # Guards against a load that waits for answers before the next job.
    load_record = record(
        arrival(0.0, 100), arrival(0.1, 100, 200), arrival(0.2, *[1] * 3)
    )
    transport = httpx.MockTransport(FakeInstance())
    results = await load.run_load(
        load_record, ['http://a'], transport=transport
    )
    assert [r.outcome for r in results] == ['complete', 'complete', 'not_run']
    assert results[1].response_s == pytest.approx(0.5, abs=0.01)
    workers = [load.Worker('u', 1.0, 2)]
    ideal_s = load.ideal_response_times(load_record, workers)
    counters = await load.read_counters(['http://a', 'http://b'], transport)
    assert counters == {
        'unreachable_instances': 0,
        'task_sends': 10,
        'other': 2,
    }
    report = load.make_report(load_record, workers, ideal_s, results)
    assert report['refusals'] == {'not_runnable': 1}
    assert report['ratio_to_ideal']['p99'] == pytest.approx(2.5, rel=0.02)
    load.save_plot(ideal_s, results, str(tmp_path / 'plot.png'))
    assert (tmp_path / 'plot.png').read_bytes().startswith(b'\x89PNG')


def test_wasted_messages_per_task():
    # Guards F9: a request with its response counts as two messages, and
    # missing counters are reported.
    before = {'table_writes': 10.0, 'peer_messages': 0.0}
    after = {
        'table_writes': 20.0,
        'peer_messages': 5.0,
        'task_sends': 103.0,
        'task_rejections': 30.0,
        'exchanges_rejected': 3.0,
        'worker_exchanges': 50.0,
        'processor_time_s': 0.2,
    }
    report = load.summarise_messages(before, after, 100)
    assert report['wasted_per_task'] == pytest.approx(
        (2 * 10 + 5 + 2 * 3) / 100
    )
    assert report['messages_per_task'] == pytest.approx(
        (2 * 10 + 5 + 2 * 50) / 100
    )
    assert report['processor_ms_per_task'] == pytest.approx(2.0)
    assert report['tasks_per_exchange'] == pytest.approx(2.06)
    assert report['missing_counters'] == [
        'contract_polls',
        'member_polls',
        'table_reads',
        'worker_cancels',
    ]


def test_percentiles_are_values_that_occurred():
    values = [float(i) for i in range(1, 1_001)]
    assert _report.percentile(values, 50.0) == 500.0
    assert _report.percentile(values, 99.9) == 999.0
    assert _report.percentile([7.0], 99.0) == 7.0
