"""
Distribution trees, which determine the parent from which an instance fetches a stripe.

With S stripes, chunk i belongs to stripe i mod S, and each stripe has its own
tree. An instance has S child slots over all trees, so its children together fetch
at most one copy of the weights from it, unless a tree has too few free slots. Nearly
all children of an instance are in one tree, which keeps the trees flat. Availability
zones are subtrees where their size allows it, so that weights enter a zone once.
Instances that know the same configuration and receivers compute the same trees,
without exchanging messages.

"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from millfork_core.ids import Digest, InstanceId, ZoneId
from millfork_core.ranks import rank


@dataclass(frozen=True, slots=True)
class Receiver:
    """
    An instance that the weights are distributed to.

    """

    instance: InstanceId
    zone: ZoneId


@dataclass(slots=True)
class Tree:
    """
    The tree of one stripe: the parent of each node, and the nodes in the order in which
    they were placed. A root fetches from the origin (the weight store); its parent is None.

    """

    parents: dict[InstanceId, InstanceId | None] = field(default_factory=dict)
    order: list[InstanceId] = field(default_factory=list)

    def sources(self, instance: InstanceId) -> list[InstanceId]:
        """
        The nodes to request chunks from, best first: the ancestors of `instance`, then
        all other nodes that precede it in `order`, latest first. As nodes request only
        from preceding ones, they can't wait for each other in a cycle.

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


def plan_trees(
    digest: Digest, receivers: list[Receiver], stripes: int, origin_copies: int
) -> list[Tree]:
    """
    Plan the trees of all stripes over `receivers`, each with at most `origin_copies`
    roots.

    """
    ordered = sorted(
        receivers,
        key=lambda receiver: (rank(digest, receiver.zone), rank(digest, receiver.instance)),
    )
    free_child_slots = {receiver.instance: stripes for receiver in ordered}
    trees = []
    for stripe in range(stripes):
        inner_nodes = ordered[stripe::stripes]
        inner_names = {receiver.instance for receiver in inner_nodes}
        zone_heads = _first_node_per_zone(inner_nodes, stripe)
        zone_head_names = {receiver.instance for receiver in zone_heads}
        rest = [receiver for receiver in inner_nodes if receiver.instance not in zone_head_names]
        leaves = [receiver for receiver in ordered if receiver.instance not in inner_names]
        trees.append(_build_tree([*zone_heads, *rest, *leaves], free_child_slots, origin_copies))
    return trees


def _first_node_per_zone(inner_nodes: list[Receiver], stripe: int) -> list[Receiver]:
    """
    The first of `inner_nodes` in each zone. The result is rotated by `stripe`, so that the
    trees of different stripes start with different zones.

    """
    zone_heads = list({receiver.zone: receiver for receiver in reversed(inner_nodes)}.values())
    zone_heads.reverse()
    offset = stripe % len(zone_heads) if zone_heads else 0
    return zone_heads[offset:] + zone_heads[:offset]


def _build_tree(
    sequence: Iterable[Receiver], free_child_slots: dict[InstanceId, int], origin_copies: int
) -> Tree:
    """
    Build a tree whose first `origin_copies` instances are roots. The parent of each other
    instance is the earliest placed instance with a free child slot, from the same zone if
    possible. If no slot is free, the parent is the earliest placed of the instances that
    exceed their slots by the fewest children. Each child takes a slot in `free_child_slots`.

    """
    tree = Tree()
    candidates: deque[InstanceId] = deque()
    candidates_by_zone: dict[ZoneId, deque[InstanceId]] = {}
    for position, receiver in enumerate(sequence):
        zone_candidates = candidates_by_zone.setdefault(receiver.zone, deque())
        parent = None
        if position >= origin_copies:
            parent = _first_with_free_slot(
                zone_candidates, free_child_slots
            ) or _first_with_free_slot(candidates, free_child_slots)
            parent = parent or max(tree.order, key=lambda name: free_child_slots[name])
            free_child_slots[parent] -= 1
        tree.parents[receiver.instance] = parent
        tree.order.append(receiver.instance)
        candidates.append(receiver.instance)
        zone_candidates.append(receiver.instance)
    return tree


def _first_with_free_slot(
    names: deque[InstanceId], free_child_slots: dict[InstanceId, int]
) -> InstanceId | None:
    while names and free_child_slots[names[0]] <= 0:
        names.popleft()
    return names[0] if names else None
