import collections
import random

import trio

from orioleloom.engine import _effects as effects
from orioleloom.engine import _events as events
from orioleloom import entry
from orioleloom.entry import _runner
from orioleloom import errors
from orioleloom import model
from orioleloom import peer_api
from orioleloom import timers

CONTRACT = model.Contract('acme', 1, 8, 100.0, 10, ('pool',))


async def wait_until(condition):
    while not condition():
        await trio.sleep(0.002)


class FakeEngine:
    """Records events and returns effects configured by the test.

    :attr:`effects` maps an event type to the effects of its next event.

    :param instant: whether a submission is immediately answered as
        complete
    """

    def __init__(self, *, instant=True):
        self.instant = instant
        self.events = []
        self.effects = collections.defaultdict(list)
        self.busy = False
        self.ready = True
        self.drained = True

    def handle(self, event, now_s):
        self.events.append(event)
        new_effects = [*self.effects.pop(type(event), [])]
        match event:
            case events.Submit() if self.instant:
                answer = model.complete_answer(
                    event.job_id.submission_id,
                    [None] * len(event.request.tasks),
                )
                new_effects.append(effects.Respond(event.request_id, answer))
            case events.WaitExpired():
                answer = model.Answer(202, {'state': 'queued'})
                new_effects.append(effects.Respond(event.request_id, answer))
            case events.PutContract():
                answer = model.Answer(200, event.contract._asdict())
                new_effects.append(effects.Respond(event.request_id, answer))
        return new_effects

    def received_events(self, event_type):
        return [e for e in self.events if isinstance(e, event_type)]

    def mint_tickets(self, customer, count, now_s):
        return [f't1.e1.abc.0.{number}' for number in range(count)]

    def contracts(self):
        return [CONTRACT]

    def contract(self, customer):
        if customer != 'acme':
            raise errors.DispatchError(
                errors.ErrorKind.UNKNOWN_CUSTOMER, f'no customer {customer}'
            )
        return CONTRACT

    def state(self, now_s):
        return {'jobs': 0}

    def counters(self):
        return {'jobs': len(self.received_events(events.Submit))}

    def is_ready(self):
        has_state = self.received_events(
            events.MembersChanged
        ) and self.received_events(events.ContractsRead)
        return self.ready and bool(has_state)

    def is_drained(self):
        return self.drained

    def needs_tick(self):
        return self.busy


class FakePlatform:
    def __init__(self):
        self.available = True
        self.member_rows = ()
        self.rows = ()
        self.writes = []

    async def transact(self, token, ops):
        self.writes.append(token)
        return events.Committed(7)

    async def read(self, keys):
        return tuple(model.Row(key, None, 0) for key in keys)

    async def scan(self, prefix, after_revision, *, limit):
        if not self.available:
            return None
        rows = [
            row
            for row in self.rows
            if row.key.startswith(prefix) and row.revision > after_revision
        ][:limit]
        return rows, rows[-1].revision if rows else after_revision

    async def read_members(self, after_revision, data_centre):
        return (self.member_rows, 5) if self.available else None

    async def close(self):
        pass


class FakeWorkers:
    def __init__(self):
        self.cancelled = []
        self.forgotten = []

    async def run_exchange(self, effect, on_line):
        for task in effect.tasks:
            on_line(model.ResultLine(task.key, model.TaskOutcome.OK))
        return events.ExchangeEnded(effect.exchange_id, True)

    async def cancel(self, effect):
        self.cancelled.append(effect)

    async def close_connections(self, http):
        self.forgotten.append(http)

    async def close(self):
        pass


def make_settings(**changes):
    values = {
        'instance_id': 'e1',
        'data_centre': 'brandon',
        'platform_url': 'http://127.0.0.1:1',
        'http_bind_port': 0,
        'peer_bind': 'tcp://127.0.0.1:0',
        'readiness_grace_s': 0.0,
        'stop_timeout_s': 1.0,
        'body_timeout_s': 0.2,
    }
    return entry.check_settings(entry.Settings(**{**values, **changes}))


def make_runner(engine, **changes):
    return _runner.EngineRunner(
        engine=engine,
        identity='e1/abc',
        settings=make_settings(**changes),
        platform=FakePlatform(),
        workers=FakeWorkers(),
        peer_socket=peer_api.PeerSocket('tcp://127.0.0.1:0', 'e1/abc'),
        timer_service=timers.TimerService(random_state=random.Random(1)),
    )
