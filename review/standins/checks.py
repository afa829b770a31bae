"""Checks of the rules on a record."""


def twice(events: list[dict]) -> list[str]:
    """Return the tasks with two runs at the same time."""
    running: dict[str, dict[tuple[str, int], float]] = {}
    broken = []
    for event in events:
        if event['event'] == 'run_start':
            runs = running.setdefault(event['task'], {})
            for (worker_id, run_id), at_s in runs.items():
                broken.append(
                    f'TWICE: task {event["task"]} started on '
                    f'{event["worker"]} as run {event["run"]} at '
                    f'{event["at_s"]:.3f} s, while its run {run_id} ran on '
                    f'{worker_id} since {at_s:.3f} s'
                )
            runs[event['worker'], event['run']] = event['at_s']
        elif event['event'] in ('run_end', 'run_killed'):
            running[event['task']].pop((event['worker'], event['run']), None)
    return broken
