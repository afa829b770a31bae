from orioleloom_standins import virtual

# R8: maximum time until a committed change is in force on every reachable
# instance.
IN_FORCE_S = 5.0


def test_a_lost_push_is_repeated_to_an_instance_without_the_platform():
    # Guards R8: an instance that is cut off from the platform and missed
    # the push must get the change from its peers.
    world = virtual.World(seed=1)
    cut_off = world.entries['e0']
    world.network.cut.add(frozenset(('e0', 'platform')))
    world.run_for(3.0)
    world.network.peer_loss = 1.0
    world.put_contract('e1', 1, in_flight=7)
    world.run_for(0.5)
    world.network.peer_loss = 0.0
    world.run_for(IN_FORCE_S - 0.5)
    assert cut_off.core.contract(virtual.CUSTOMER).in_flight == 7
