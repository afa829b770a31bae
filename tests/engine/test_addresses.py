from orioleloom import codec
from orioleloom import engine
from orioleloom_standins import virtual

NEW_ADDRESS = 'tcp://127.0.0.1:9'
NOW_S = 3.0


def addresses_of(effects):
    return {
        effect.address
        for effect in effects
        if isinstance(effect, engine.SendPeer)
    }


def test_instance_started_again_is_answered_at_its_new_address():
    """Guards against grants sent to the address used before a restart.

    The member list keeps that address while the platform is unavailable.
    """
    world = virtual.World(seed=1)
    world.run_for(NOW_S)
    core = world.entries['e0'].core
    sender = 'e1/0123456789abcdef'
    pull = codec.ContractPull({}, NEW_ADDRESS, with_members=True)
    core.handle(engine.PeerReceived(1, sender, pull), world.now_s)
    request = codec.ShareRequest(virtual.CUSTOMER, 1, 1, 1.0, 1)
    effects = core.handle(engine.PeerReceived(2, sender, request), world.now_s)
    assert addresses_of(effects) == {NEW_ADDRESS}
    # A row that changes afterwards is newer than the reported address.
    member = next(m for m in core.core.members.peers() if m.id == 'e1')
    listed = member._replace(peer='tcp://127.0.0.1:10')
    core.handle(engine.MembersChanged((listed,)), world.now_s)
    effects = core.handle(engine.PeerReceived(3, sender, request), world.now_s)
    assert addresses_of(effects) == {listed.peer}
