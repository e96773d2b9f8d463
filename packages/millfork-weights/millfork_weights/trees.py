"""
The distribution trees: from whom each instance takes each stripe.

Chunk i belongs to stripe i mod STRIPES. Each stripe has a tree of its own in
which a node feeds at most STRIPES children. The order of instances is turned
a part of a round for each stripe, so that a node has children in about one
stripe and sends about one copy in all. Availability zones are subtrees, so
that weights enter a zone once. All instances compute the same trees from the
accepted configuration; nothing is agreed on the way.

"""

from collections import deque
from dataclasses import dataclass
from typing import Final

from millfork_core.ids import Digest, InstanceId, ZoneId
from millfork_core.ranks import rank

MIN_CHILDREN_IN_ZONE: Final = 1


@dataclass(frozen=True, slots=True)
class Holder:
    """
    An instance that the weights should reach.

    """

    instance: InstanceId
    zone: ZoneId


@dataclass(slots=True)
class Tree:
    """
    One stripe's tree: parents, and the order in which nodes were placed. A
    root's parent is None: it draws from the origin.

    """

    parents: dict[InstanceId, InstanceId | None]
    order: list[InstanceId]

    def sources(self, instance: InstanceId) -> list[InstanceId]:
        """
        Whom to ask, best first: the ancestors, then whoever else stands
        earlier, nearest first. Earlier nodes never wait for later ones.

        """
        ancestors = self._ancestors(instance)
        position = self.order.index(instance)
        others = [name for name in reversed(self.order[:position]) if name not in ancestors]
        return [*ancestors, *others]

    def _ancestors(self, instance: InstanceId) -> list[InstanceId]:
        found = []
        parent = self.parents[instance]
        while parent is not None:
            found.append(parent)
            parent = self.parents[parent]
        return found

    def is_root(self, instance: InstanceId) -> bool:
        return self.parents[instance] is None


def _turned(names: list[InstanceId], stripe: int, stripes: int) -> list[InstanceId]:
    shift = stripe * len(names) // stripes
    return names[shift:] + names[:shift]


def plan_tree(
    digest: Digest,
    holders: list[Holder],
    stripe: int,
    stripes: int,
    origin_copies: int,
) -> Tree:
    """
    The tree of one stripe over `holders`, with at most `origin_copies` roots.

    """
    zones: dict[ZoneId, list[InstanceId]] = {}
    for holder in sorted(holders, key=lambda holder: rank(digest, holder.instance)):
        zones.setdefault(holder.zone, []).append(holder.instance)
    zone_names = sorted(zones, key=lambda zone: rank(f'{digest}/{stripe}', zone))
    members = [_turned(zones[zone], stripe, stripes) for zone in zone_names]
    tree = Tree({}, [])
    room: dict[InstanceId, int] = {}
    _place_zone_roots(tree, room, [names[0] for names in members], stripes, origin_copies)
    for names in members:
        _place_zone(tree, room, names, stripes)
    return tree


def _place_zone_roots(
    tree: Tree,
    room: dict[InstanceId, int],
    roots: list[InstanceId],
    fanout: int,
    origin_copies: int,
) -> None:
    """
    Join the zones' first nodes; each keeps room for children in its zone.

    """
    most = max(fanout // 2, 1)
    open_: deque[InstanceId] = deque()
    for position, name in enumerate(roots):
        room[name] = fanout
        tree.order.append(name)
        if position < origin_copies:
            tree.parents[name] = None
        else:
            parent = open_[0]
            tree.parents[name] = parent
            room[parent] -= 1
            if room[parent] <= fanout - most:
                open_.popleft()
        open_.append(name)


def _place_zone(
    tree: Tree,
    room: dict[InstanceId, int],
    names: list[InstanceId],
    fanout: int,
) -> None:
    root = names[0]
    room[root] = max(room[root], MIN_CHILDREN_IN_ZONE)
    open_ = deque([root])
    for name in names[1:]:
        parent = open_[0]
        tree.parents[name] = parent
        tree.order.append(name)
        room[name] = fanout
        room[parent] -= 1
        if not room[parent]:
            open_.popleft()
        open_.append(name)
