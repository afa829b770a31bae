import collections.abc

from orioleloom_standins import audit
from orioleloom_standins.virtual._entry import Entry
from orioleloom_standins.virtual._requests import Copy
from orioleloom_standins.virtual._world import World


def check_end(
    world: World, probes: list[Copy], customers: tuple[str, ...]
) -> collections.abc.Iterator[audit.Violation]:
    """Yield violations of a world after all its faults have ended.

    Every request must be answered or abandoned, every probe must complete
    and no instance may hold resources of a finished job.

    :param probes: jobs sent to every instance after the faults ended
    """
    if world.processes.n_cut_off:
        yield audit.Violation(
            'cut_off', 'stop', f'{world.processes.n_cut_off} requests'
        )
    for copy in world.copies:
        if copy.answer is None and not copy.gave_up:
            yield audit.Violation(
                'hang', copy.job_id.submission_id, f'at {copy.entry_id}'
            )
    for probe in probes:
        state = probe.answer and probe.answer.body['state']
        if state != 'complete':
            yield audit.Violation(
                'not_recovered', probe.entry_id, f'{probe.answer}'
            )
    for entry in world.entries.values():
        if entry.alive:
            yield from _check_idle(entry, customers)


def _check_idle(
    entry: Entry, customers: tuple[str, ...]
) -> collections.abc.Iterator[audit.Violation]:
    """Yield resources that an idle instance still counts as in use."""
    state = entry.core.state(0.0)
    in_use = {
        'active jobs': state['jobs']['active'],
        'remote jobs': state['jobs']['remote'],
        'queued tasks': state['queued_tasks'],
        'exchanges': state['exchanges'],
        'requests': len(entry.core.core.open_requests),
        'running': sum(map(entry.core.core.limits.n_running, customers)),
        'outstanding': sum(
            worker['outstanding']
            for worker in state['workers']['workers'].values()
        ),
    }
    for name, number in in_use.items():
        if number:
            yield audit.Violation('left_over', entry.id, f'{number} {name}')
