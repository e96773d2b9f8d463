"""
The peers that a process may take the configuration from.

The instances of an availability zone form one tree, in this order: replicas, other entries (front
proxies), endpoints. Every process computes the same order. The parent of position p is
(p - 1) // FANOUT, so a parent always precedes its children. A process's load doesn't grow with the
fleet, as each process has at most FANOUT children.

"""

from typing import Final

from millfork_core.ids import InstanceId, ZoneId
from millfork_core.ranks import rank
from millfork_state.config import InstanceFacts
from millfork_state.roster import ENTRY_ROLE, Roster
from millfork_wire.peers import PeerAddress

FANOUT: Final = 8


def zone_order(roster: Roster, zone: ZoneId, replicas: set[InstanceId]) -> list[InstanceId]:
    """
    The zone's instances in the order of the zone's tree.

    """

    def sort_key(facts: InstanceFacts) -> tuple[bool, bool, int]:
        is_replica = facts.instance in replicas
        return not is_replica, facts.role != ENTRY_ROLE, rank(zone, facts.instance)

    in_zone = [facts for facts in roster.instances.values() if facts.zone == zone]
    return [facts.instance for facts in sorted(in_zone, key=sort_key)]


def ancestors(order: list[InstanceId], instance: InstanceId) -> list[InstanceId]:
    """
    The instances from the parent up to the root of the zone's tree. For an instance that
    isn't in `order`, the root alone.

    """
    if instance not in order:
        return order[:1]
    position = order.index(instance)
    found = []
    while position > 0:
        position = (position - 1) // FANOUT
        found.append(order[position])
    return found


def candidates(
    roster: Roster,
    replicas: list[PeerAddress],
    instance: InstanceId,
    zone: ZoneId,
) -> list[PeerAddress]:
    """
    Peers to subscribe to, best first: the instance's ancestors in the zone's tree, the first
    FANOUT entries before the instance in the tree's order, every replica (those of the zone first),
    and the zone's other entries, which may be the only reachable peers if the zone is cut off.

    """
    replica_ids = {address.instance for address in replicas}
    order = zone_order(roster, zone, replica_ids)
    earlier = order[: order.index(instance)] if instance in order else order
    entries = [
        name
        for name in earlier
        if (facts := roster.instances.get(name)) is not None and facts.role == ENTRY_ROLE
    ]
    names = [*ancestors(order, instance), *entries[:FANOUT]]
    found = [address for name in names if (address := roster.address(name)) is not None]
    found += sorted(replicas, key=lambda address: (address.instance not in order, address.instance))
    later = [
        facts.instance
        for facts in roster.entries(zone)
        if facts.instance not in earlier and facts.instance != instance
    ]
    found += [address for name in later if (address := roster.address(name)) is not None]
    unique = {address.instance: address for address in reversed(found)}
    unique.pop(instance, None)
    return sorted(unique.values(), key=lambda address: found.index(address))
