"""
Which layers each engine takes first.

A link carries two copies of a model in the time in which a new version must
be served, what an instance sends and receives together. So each engine first
takes half of the layers: its daemon needs half of the pieces, and two engines
serve the model between them. The other half follows while they serve.

"""

from collections.abc import Iterable
from dataclasses import dataclass

from millfork_core.ranks import rank
from millfork_registry.records import EndpointState, ServedVersion
from millforkd.sidecar.pieces import WeightsId


@dataclass(frozen=True, slots=True)
class Layers:
    """
    Layers of a model, from `first` to before `end`.

    """

    first: int
    end: int

    def pieces(self, layers: int, pieces: int) -> range:
        """
        The pieces that hold them, of all `pieces` of a model of `layers`.

        """
        if layers <= 0:
            return range(pieces)
        return range(self.first * pieces // layers, -(-self.end * pieces // layers))


@dataclass(frozen=True, slots=True)
class LayerAssignment:
    """
    One engine's first layers, and the number of the pair that it serves in.

    """

    layers: Layers
    pair: int


def daemons_lacking(
    states: Iterable[EndpointState], weights: WeightsId, service: str, layers: int
) -> list[EndpointState]:
    """
    The daemons of a service whose engines do not serve the version whole.

    """
    return [
        state
        for state in states
        if state.service == service and not serves_whole(state.served, weights, layers)
    ]


def serves_whole(served: Iterable[ServedVersion], weights: WeightsId, layers: int) -> bool:
    """
    Whether an engine serves a version whole.

    """
    return any(
        (item.model, item.version) == (weights.model, weights.version) and item.is_whole(layers)
        for item in served
    )


def served_layers(
    served: Iterable[ServedVersion], weights: WeightsId, layers: int
) -> Layers | None:
    """
    The layers of a version that an engine serves; None if there are none.

    """
    for item in served:
        if (item.model, item.version) == (weights.model, weights.version):
            return Layers(item.first, item.end if item.end is not None else layers)
    return None


def assign_layers(
    states: Iterable[EndpointState], weights: WeightsId, layers: int
) -> dict[str, LayerAssignment]:
    """
    The place of each of the daemons `states`, in pairs of one zone where they
    can be. One that is left over takes all layers, as do all engines whose
    layers can't be shared.

    """
    whole = LayerAssignment(Layers(0, layers), 0)
    ordered = sorted(states, key=lambda state: (state.zone, rank(str(weights), state.instance)))
    found = {state.instance: whole for state in ordered}
    if layers < 2:
        return found
    pairs: list[tuple[EndpointState, EndpointState]] = []
    single: list[EndpointState] = []
    for state in ordered:
        if single and single[-1].zone == state.zone:
            pairs.append((single.pop(), state))
            continue
        single.append(state)
    pairs += list(zip(single[::2], single[1::2], strict=False))
    split = layers // 2
    for number, (lower, upper) in enumerate(pairs):
        found[lower.instance] = LayerAssignment(Layers(0, split), number)
        found[upper.instance] = LayerAssignment(Layers(split, layers), number)
    return found
