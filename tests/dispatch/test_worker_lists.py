"""Tests of an instance's copy of the list of workers."""

from orioleloom import dispatch


def info(worker_id):
    return dispatch.WorkerInfo(
        worker_id, '10.0.0.1:80', 'dc1', 'pool', dispatch.Resources(16_000)
    )


def update(tracker, worker_ids, version, now_s=0.0, **options):
    options.setdefault('complete_since', 0)
    return tracker.update(
        {worker_id: info(worker_id) for worker_id in worker_ids},
        version,
        now_s=now_s,
        **options,
    )


def test_departure_has_the_version_of_the_removal():
    """A later version would make an idle, dead worker hold jobs back."""
    tracker = dispatch.WorkerListTracker()
    update(tracker, ['w1', 'w2'], 10)
    assert update(tracker, ['w1'], 20, removed_versions={'w2': 13})
    assert tracker.state().departures['w2'].version == 13
    assert tracker.state().changed_version == 20


def test_unchanged_list_keeps_the_version_of_its_change():
    tracker = dispatch.WorkerListTracker()
    update(tracker, ['w1'], 10)
    assert not update(tracker, ['w1'], 20)
    state = tracker.state()
    assert (state.version, state.changed_version) == (20, 10)


def test_returned_worker_has_not_departed():
    tracker = dispatch.WorkerListTracker()
    for version, worker_ids in ((1, ['w1', 'w2']), (2, ['w1']), (3, ['w2'])):
        update(tracker, worker_ids, version)
    assert list(tracker.state().departures) == ['w1']


def test_dropped_departures_are_no_longer_complete():
    """Guards against a job that does not wait for a forgotten worker."""
    tracker = dispatch.WorkerListTracker()
    update(tracker, ['w1', 'w2'], 1)
    update(tracker, ['w1'], 5)
    update(tracker, ['w1'], 9, now_s=31.0)
    update(tracker, ['w1'], 10, now_s=32.0)
    state = tracker.state()
    assert not state.departures
    assert state.complete_since == 5
