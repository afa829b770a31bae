import typing

from orioleloom import codec
from orioleloom import engine
from orioleloom import model

STEPS = (
    'receive',
    'check',
    'claim',
    'committed',
    'queue',
    'raise',
    'slot',
    'send',
    'start',
    'run',
    'answer',
    'record',
    'deliver',
    'forget',
)

CONTRACT_STEPS = (
    'contract_receive',
    'contract_read',
    'contract_write',
    'contract_committed',
    'contract_push',
    'contract_apply',
)


def step_names(item: typing.Any) -> tuple[str, ...]:
    """Return the names of the steps that an event or effect belongs to.

    :param item: an event or an effect
    """
    match item:
        case engine.Submit():
            return ('receive',)
        case engine.PutContract():
            return ('contract_receive',)
        case engine.WriteTable(_, ops):
            return tuple(dict.fromkeys(map(_write_step, ops)))
        case engine.SendTasks():
            return ('send',)
        case engine.LineReceived():
            return ('answer',)
        case engine.Respond():
            return ('deliver',)
        case engine.ReadTable(_, keys):
            contract = any(key.startswith('contract') for key in keys)
            return ('contract_read',) if contract else ('read',)
        case engine.SendPeer():
            push = isinstance(item.message, codec.ContractPush)
            return ('contract_push',) if push else ('peer',)
    return ()


def handling_step_names(
    event: engine.Event, effects: typing.Sequence[engine.Effect]
) -> tuple[str, ...]:
    """Return the names of the steps taken while handling an event.

    These steps come after the arrival of the event and before its first
    effect.
    """
    names = []
    if isinstance(event, engine.Submit):
        names.append('check')
    committed = isinstance(event, engine.TableDone) and isinstance(
        event.outcome, model.Committed
    )
    if committed:
        names.append('queue')
    if any(isinstance(effect, engine.SendTasks) for effect in effects):
        names.append('slot')
    return tuple(names)


def _write_step(op: model.TableOp) -> str:
    if op.key.startswith('contract'):
        return 'contract_write'
    if op.op == 'delete':
        return 'forget'
    if (op.value or {}).get('state') != 'claimed':
        return 'record'
    return 'claim' if op.if_revision == 0 else 'raise'
