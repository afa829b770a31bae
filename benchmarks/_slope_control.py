"""Cost of membership and contract changes, and message sizes."""

import itertools
import random

import msgspec

from benchmarks import _slope
from orioleloom import codec
from orioleloom import contracts
from orioleloom import engine
from orioleloom.engine import _effects as effects
from orioleloom.engine import _events as events
from orioleloom import membership
from orioleloom import model

# Entries and workers. The last size is a poll limited to one data centre.
FLEET_SIZES = ((8, 24), (64, 4_700), (300, 22_000), (300, 880))
CUSTOMERS = (10, 100, 360)
# Rows that a poll every 2 s reads at 1, 10 and 100 changes/s.
ROWS_PER_POLL = (2, 20, 200)
SENDER = 'entry-0001/0123456789abcdef'
HOLD_S = 6.0


def make_engine(
    n_entries: int, n_workers: int, n_customers: int
) -> engine.Engine:
    """Return an engine with a member list and contracts loaded."""
    found = engine.Engine(
        identity='entry-0000/0123456789abcdef',
        instance_id='entry-0000',
        data_centre='dc',
        random_state=random.Random(1),
    )
    rows = [_slope.entry(i) for i in range(n_entries)]
    rows += [_slope.worker(i) for i in range(n_workers)]
    found.handle(events.MembersChanged(tuple(rows)), 0.0)
    found.handle(
        events.ContractsRead(
            tuple(_row(_slope.contract(i), 1) for i in range(n_customers))
        ),
        0.0,
    )
    found.handle(events.Tick(), HOLD_S)
    return found


def _row(contract: model.Contract, revision: int) -> model.Row:
    key = contracts.contract_key(contract.customer)
    return model.Row(key, contracts.to_value(contract), revision)


def _workers(count: int) -> tuple[model.Member, ...]:
    return tuple(_slope.worker(90_000 + i) for i in range(count))


def _alternating_states(rows: tuple[model.Member, ...]) -> itertools.cycle:
    gone = tuple(row._replace(state=model.MemberState.GONE) for row in rows)
    return itertools.cycle((rows, gone))


def _view(n_entries: int, n_workers: int) -> membership.MemberView:
    view = membership.MemberView(instance_id='entry-0000')
    view.apply([_slope.entry(i) for i in range(n_entries)], 0.0)
    view.apply([_slope.worker(i) for i in range(n_workers)], 0.0)
    return view


def members() -> list[_slope.Slope]:
    """Measure CPU time per list change and memory per member."""
    slopes = []
    for n_entries, n_workers in FLEET_SIZES:
        core = make_engine(n_entries, n_workers, 360)
        size = f'{n_entries} entries, {n_workers} workers'
        for what, rows in (
            ('an entry', (_slope.entry(9_000),)),
            ('a worker', (_slope.worker(90_000),)),
            ('a rack', _workers(6)),
            ('880 workers', _workers(880)),
        ):
            flips = _alternating_states(rows)

            def change() -> None:
                core.handle(events.MembersChanged(next(flips)), HOLD_S)
                # The first choice after a change refreshes all workers.
                core.core.pool.choose_worker(
                    _slope.UPSTREAM, 'k', 50.0, 1, HOLD_S
                )

            n_calls = 200 if n_workers < 100 else 2
            costs = [_slope.cpu_time_us(change, n_calls) for _ in range(5)]
            slopes.append(
                _slope.slope(
                    'membership', size, f'us a change of {what}', costs
                )
            )
        n_members = n_entries + n_workers
        for name, build in (
            ('bytes a member, view', lambda: _view(n_entries, n_workers)),
            (
                'bytes a member, engine',
                lambda: make_engine(n_entries, n_workers, 0),
            ),
        ):
            sizes = [_slope.traced_bytes(build) / n_members for _ in range(2)]
            slopes.append(_slope.slope('membership', size, name, sizes))
    return slopes


def _json_bytes(member: model.Member) -> int:
    return len(msgspec.json.encode(member._asdict()))


def message_sizes() -> list[_slope.Slope]:
    """Measure encoded sizes of peer messages and polled rows."""
    contract = _slope.contract(1, 12_345)
    value = contracts.to_value(contract)
    push = codec.ContractPush([(contract.customer, 12_345, value)])
    messages = {
        'share request': codec.ShareRequest('customer-001', 12, 8, 99.5, 9),
        'share grant': codec.ShareGrant('customer-001', 12, 8, 9.5, 5_000, 9),
        'contract push, 1 change': push,
        'worker notice': codec.WorkerNotice('worker-12345', True, False),
        'leaving notice': codec.LeavingNotice('entry-0001'),
    }
    sizes = {
        name: len(codec.encode_peer(2**47, SENDER, message))
        for name, message in messages.items()
    }
    sizes['list row of a worker, JSON'] = _json_bytes(_slope.worker(12_345))
    sizes['list row of an entry, JSON'] = _json_bytes(_slope.entry(123))
    row = _row(contract, 123_456)._asdict()
    row['value']['token'] = f'{SENDER}:123456'
    sizes['contract row of a scan, JSON'] = len(msgspec.json.encode(row))
    return [
        _slope.slope('messages', name, 'bytes', [size])
        for name, size in sizes.items()
    ]


class _ContractChanges:
    """Generator of contract changes with increasing versions."""

    def __init__(self, n_customers: int):
        self.n_customers = n_customers
        self._numbers = itertools.count()

    def next(self) -> model.Contract:
        number = next(self._numbers)
        return _slope.contract(
            number % self.n_customers, 2 + number // self.n_customers
        )


def _frame(contract: model.Contract) -> bytes:
    push = codec.ContractPush(
        [(contract.customer, contract.version, contracts.to_value(contract))]
    )
    return codec.encode_peer(1, SENDER, push)


def _receive(core: engine.Engine, frame: bytes) -> int:
    """Handle a push as the runner does; return the bytes forwarded."""
    message_id, sender, message = codec.decode_peer(frame)
    sent = core.handle(
        events.PeerReceived(message_id, sender, message), HOLD_S
    )
    return sum(
        len(codec.encode_peer(effect.message_id, SENDER, effect.message))
        for effect in sent
        if isinstance(effect, effects.SendPeer)
    )


def _poll_us(
    core: engine.Engine, changes: _ContractChanges, n_rows: int
) -> float:
    batches = [
        tuple(_row(changes.next(), 1) for _ in range(n_rows))
        for _ in range(max(3, 60 // n_rows))
    ]
    pending = iter(batches)
    return (
        _slope.cpu_time_us(
            lambda: core.handle(events.ContractsRead(next(pending)), HOLD_S),
            len(batches),
        )
        / n_rows
    )


def contract_changes() -> list[_slope.Slope]:
    """Measure a contract change received by push or by poll."""
    slopes = []
    for n_customers in CUSTOMERS:
        core = make_engine(300, 24, n_customers)
        changes = _ContractChanges(n_customers)
        size = f'{n_customers} customers, 300 entries'
        sent = []
        new = []
        again = []
        for _ in range(7):
            frames = [_frame(changes.next()) for _ in range(50)]
            first, second = iter(frames), iter(frames)
            new.append(
                _slope.cpu_time_us(
                    lambda: sent.append(_receive(core, next(first))), 50
                )
            )
            again.append(
                _slope.cpu_time_us(lambda: _receive(core, next(second)), 50)
            )
        slopes += [
            _slope.slope('contracts', size, 'us a push of news', new),
            _slope.slope('contracts', size, 'us a push known before', again),
            _slope.slope('contracts', size, 'bytes sent on for news', sent),
        ]
        for n_rows in ROWS_PER_POLL:
            costs = [_poll_us(core, changes, n_rows) for _ in range(7)]
            name = f'us a row, {n_rows} rows a poll'
            slopes.append(_slope.slope('contracts', size, name, costs))
    return slopes
