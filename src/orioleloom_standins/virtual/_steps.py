import typing

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


def step_of(what: typing.Any) -> str:
    """Name the step that an event or effect belongs to.

    :param what: an event, an effect or the name of a step
    """
    match what:
        case str():
            return what
        case engine.Submit():
            return 'receive'
        case engine.WriteTable(_, ops):
            return _write_step(ops)
        case engine.TableDone():
            return 'committed'
        case engine.SendTasks():
            return 'send'
        case engine.LineReceived():
            return 'answer'
        case engine.Respond():
            return 'deliver'
        case engine.ReadTable():
            return 'read'
        case engine.SendPeer():
            return 'peer'
    return ''


def _write_step(ops: tuple[model.TableOp, ...]) -> str:
    value = ops[0].value or {}
    if ops[0].key.startswith('contract'):
        return 'contract_write'
    if ops[0].op == 'delete':
        return 'forget'
    if value.get('state') != 'claimed':
        return 'record'
    return 'claim' if ops[0].if_revision == 0 else 'raise'
