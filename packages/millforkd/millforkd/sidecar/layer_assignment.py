"""
Assigns the layers that each engine loads first.

Within the time in which a new version must be served, a link can carry two copies of a
model, counting both sent and received data. So each engine first loads half of the layers,
for which its daemon needs only half of the pieces, and a pair of engines with different halves
serves the model together. The engines load the other halves while the pair serves.

"""

from collections.abc import Iterable
from dataclasses import dataclass

from millfork_core.ranks import rank
from millfork_registry.records import EndpointState, ServedVersion
from millforkd.sidecar.pieces import WeightsId


@dataclass(frozen=True, slots=True)
class Layers:
    """
    A range of layers of a model, from `first` to before `end`.

    """

    first: int
    end: int

    def pieces(self, layers: int, pieces: int) -> range:
        """
        The indexes of the pieces that contain these layers, in a model of `layers` layers
        and `pieces` pieces. All pieces if the model is not divided into layers (`layers` is 0).

        """
        if layers <= 0:
            return range(pieces)
        return range(self.first * pieces // layers, -(-self.end * pieces // layers))

    @property
    def numbers(self) -> range:
        """
        The numbers of these layers. A model that is not divided into layers counts as one layer.

        """
        return range(self.first, max(self.end, self.first + 1))

    def contains(self, other: 'Layers') -> bool:
        return self.first <= other.first and other.end <= self.end


def layers_with_piece(index: int, layers: int, pieces: int) -> list[int]:
    """
    The numbers of the layers that a piece contains a part of, in a model of `layers` layers and
    `pieces` pieces.

    """
    return [
        number
        for number in Layers(0, layers).numbers
        if index in Layers(number, number + 1).pieces(layers, pieces)
    ]


@dataclass(frozen=True, slots=True)
class LayerAssignment:
    """
    The layers that one engine loads first, and the number of the pair of engines to which this
    engine belongs (0 also for an engine without a partner).

    """

    layers: Layers
    pair: int


def daemons_with_missing_layers(
    states: Iterable[EndpointState], weights: WeightsId, service: str, layers: int
) -> list[EndpointState]:
    """
    The daemons of a service whose engines do not serve all layers of the version.

    """
    return [
        state
        for state in states
        if state.service == service and not serves_all_layers(state.served, weights, layers)
    ]


def serves_all_layers(served: Iterable[ServedVersion], weights: WeightsId, layers: int) -> bool:
    """
    Whether `served`, the versions that an engine serves, includes all layers of a version.

    """
    return any(
        (item.model, item.version) == (weights.model, weights.version) and item.is_complete(layers)
        for item in served
    )


def served_layers(
    served: Iterable[ServedVersion], weights: WeightsId, layers: int
) -> Layers | None:
    """
    Return the layers of the version `weights` that an engine serves, or None if the engine serves
    none of them. `served` lists the versions that the engine serves, with their layers; `layers` is
    the number of layers of the model.

    """
    for item in served:
        if (item.model, item.version) == (weights.model, weights.version):
            return Layers(item.first, item.end if item.end is not None else layers)
    return None


def assign_layers(
    states: Iterable[EndpointState], weights: WeightsId, layers: int
) -> dict[str, LayerAssignment]:
    """
    The layer assignment of each daemon in `states`, by instance. Pairs are formed within
    a zone where possible. An engine without a partner loads all layers, and so do all
    engines if the model has fewer than two layers.

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
