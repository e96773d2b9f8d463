"""
Decides which layers an engine loads next.

"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from millforkd.sidecar.layer_assignment import Layers


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """
    The next load order: the engine keeps the layers `kept`, if any, and loads one or more of the
    layers `wanted`, the first ones first. The order ends running requests if `interrupts` is set.

    """

    kept: Layers | None
    wanted: Sequence[int]
    interrupts: bool = False

    def layers_with(self, added: Collection[int], goal: Layers) -> Layers:
        """
        The layers that the engine holds once it has loaded `added`, the first of `wanted`.

        """
        if goal.end <= goal.first:
            # The model is not divided into layers.
            return goal
        numbers = [*added, *(self.kept.numbers if self.kept is not None else ())]
        return Layers(min(numbers), max(numbers) + 1)


def plan_load(served: Layers | None, suspects: Collection[int], goal: Layers) -> LoadPlan | None:
    """
    The next step from the layers `served`, of which `suspects` have to be loaded again, to the
    layers `goal`; None if the engine holds the goal.

    An engine doesn't load a layer anew that it holds. So suspect layers are dropped first: the
    engine is reduced to another layer. That is not possible if the goal is a single one; the
    engine is then not used until it restarts or loads another version.

    """
    if served is not None and suspects and len(goal.numbers) > 1:
        return LoadPlan(None, [_other_layer(served, suspects, goal)], interrupts=True)
    if served is None or not goal.contains(served):
        if served is not None and served.contains(goal):
            return None
        return LoadPlan(None, goal.numbers)
    if served.end < goal.end:
        return LoadPlan(served, range(served.end, goal.end))
    if goal.first < served.first:
        return LoadPlan(served, range(served.first - 1, goal.first - 1, -1))
    return None


def _other_layer(served: Layers, suspects: Collection[int], goal: Layers) -> int:
    """
    A layer that is not suspect, one that the engine serves if possible, else one of the goal: of
    other layers the pieces may not have arrived.

    """
    candidates = [number for number in (*served.numbers, *goal.numbers) if number not in suspects]
    return candidates[0] if candidates else served.first
