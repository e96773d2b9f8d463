"""
Planners of simple distribution trees (trees along which instances pass on the chunks of a model),
to compare with `plan_trees`, the planner that daemons use.

"""

from typing import Final

from millfork_core.ids import Digest, InstanceId
from millfork_core.ranks import rank
from millfork_weights.transfer import Planner
from millfork_weights.trees import Receiver, Tree, plan_trees


def plan_from_origin(
    digest: Digest, receivers: list[Receiver], stripes: int, origin_copies: int
) -> list[Tree]:
    """
    Plan one tree, in which every instance fetches all chunks from the origin.

    """
    names = [receiver.instance for receiver in receivers]
    return [OriginOnlyTree(dict.fromkeys(names), names)]


class OriginOnlyTree(Tree):
    """
    A tree in which no instance has a peer to fetch from.

    """

    def sources(self, instance: InstanceId) -> list[InstanceId]:
        return []


def plan_binary_tree(
    digest: Digest, receivers: list[Receiver], stripes: int, origin_copies: int
) -> list[Tree]:
    """
    Plan one binary tree for all chunks, whose root fetches from the origin. The instances fill the
    tree level by level, in the order of their pseudo-random ranks.

    """
    names = sorted(
        (receiver.instance for receiver in receivers), key=lambda name: rank(digest, name)
    )
    parents: dict[InstanceId, InstanceId | None] = {
        name: names[(position - 1) // 2] if position else None
        for position, name in enumerate(names)
    }
    return [Tree(parents, names)]


PLANNERS: Final[dict[str, Planner]] = {
    'trees': plan_trees,
    'origin': plan_from_origin,
    'binary': plan_binary_tree,
}
