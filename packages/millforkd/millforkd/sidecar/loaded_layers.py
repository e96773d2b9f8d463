"""
Which of the layers that an engine serves were loaded from good pieces.

An engine loads what lies in its staging area without checking it, and a staged piece may turn bad
at any time. So a layer counts as proven only if all of its pieces had been read back intact at
most `PROOF_VALID_S` before the engine reported the layer, or are read back intact afterwards: a
piece that is good was good before, unless it has been written again.

"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from millfork_core.logs import Component, logger
from millfork_registry.records import ServedVersion
from millforkd.sidecar.layer_assignment import Layers
from millforkd.sidecar.pieces import WeightsId

# A layer may be loaded from a piece that turned bad at most this many seconds before.
PROOF_VALID_S: Final = 3.0
# The number of load orders that may still be carried out, of which the proofs are kept.
MAX_PENDING_ORDERS: Final = 8

log = logger(Component.WEIGHTS)


class LayerState(Enum):
    """
    What is known of the pieces that a layer was loaded from: PROVEN ones were good. UNPROVEN ones
    may have been bad; they were good if they still are. SUSPECT ones may have been bad, and can no
    longer be checked, so the layer has to be loaded again.

    """

    PROVEN = 'proven'
    UNPROVEN = 'unproven'
    SUSPECT = 'suspect'


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """
    An order to hold exactly these layers. `proofs` has, by layer, when all of its pieces were last
    known to be good (seconds of `elapsed_s`); layers that are held already need none.

    """

    weights: WeightsId
    layers: Layers
    proofs: Mapping[int, float] = field(default_factory=dict)

    @property
    def oldest_proof(self) -> float:
        return min(self.proofs.values(), default=float('-inf'))

    def covers(self, layer: 'LayerOfVersion') -> bool:
        return layer.weights == self.weights and layer.number in self.layers.numbers


@dataclass(frozen=True, slots=True)
class LayerOfVersion:
    """
    One layer of one version of a model.

    """

    weights: WeightsId
    number: int


class LoadedLayers:
    """
    The layers that an engine serves, each with its state.

    """

    def __init__(self) -> None:
        # None before the first report.
        self.states: dict[LayerOfVersion, LayerState] | None = None
        # The orders whose layers the engine has not reported yet, oldest first.
        self.pending: deque[LoadOrder] = deque(maxlen=MAX_PENDING_ORDERS)
        # Layers of which a piece was written after a pending order could have loaded them.
        self.rewritten: set[LayerOfVersion] = set()
        # Layers of the first report that are held since, and of which nothing else is known. An
        # earlier process of this daemon had the engine load them.
        self.inherited: set[LayerOfVersion] = set()

    def record_restart(self) -> None:
        """
        Record that the engine has restarted, and so holds no layers until an order reaches it. An
        order that was sent before may have reached the new process.

        """
        if self.states is not None:
            self.states = {}

    def record_order(self, order: LoadOrder) -> None:
        """
        Record an order before it is sent.

        """
        self.pending.append(order)

    def withdraw(self, order: LoadOrder) -> None:
        """
        Remove an order that the engine has refused, unless a report that arrived before the refusal
        has done so already.

        """
        if order in self.pending:
            self.pending.remove(order)

    def record_write(self, numbers: Iterable[int]) -> None:
        """
        Record that a piece of the layers with these numbers was written. If a pending order has
        loaded such a layer unnoticed, it may have loaded what the piece replaced, or what replaced
        its own piece. Unproven layers can no longer be checked, as the piece tells nothing of the
        one that was there when they were loaded.

        """
        written = set(numbers)
        for layer, state in (self.states or {}).items():
            if layer.number in written and state is LayerState.UNPROVEN:
                self.confirm(layer, False)
        for number in written:
            self.rewritten.update(
                LayerOfVersion(order.weights, number)
                for order in self.pending
                if number in order.layers.numbers
            )

    def record_report(
        self, served: Iterable[ServedVersion], reported_at: float, orders: int | None = None
    ) -> None:
        """
        Record which layers the engine serves by a report that arrived at `reported_at`, and that
        tells how many `orders` the engine has begun since its start. The layers in the first report
        count as proven if the engine has started with them. Otherwise an earlier process of this
        daemon ordered them, and may have ended before it knew whether their pieces were good.

        """
        layers = _layers_of(served)
        if self.states is None:
            is_first_load = orders == 0
            first_state = LayerState.PROVEN if is_first_load else LayerState.UNPROVEN
            self.states = dict.fromkeys(layers, first_state)
            self._log_new_layers(layers, reported_at)
            self.inherited = set() if is_first_load else set(layers)
            return
        # An engine that is told to hold more layers of the same version keeps those that it holds.
        # Any other order may load all of its layers anew.
        kept = self.states if self.states.keys() <= set(layers) else {}
        self.states = {
            layer: kept[layer] if layer in kept else self._judge(layer, reported_at)
            for layer in layers
        }
        new_layers = [layer for layer in layers if layer not in kept]
        if new_layers:
            self._log_new_layers(new_layers, reported_at)
        self.rewritten -= self.states.keys()
        self.inherited &= kept.keys()
        # An order for some of the layers that the engine holds has not been carried out yet.
        for order in list(self.pending):
            held = {layer.number for layer in self.states if layer.weights == order.weights}
            if held == set(order.layers.numbers):
                self.pending.remove(order)

    def _log_new_layers(self, layers: Sequence[LayerOfVersion], reported_at: float) -> None:
        """
        Log that the engine holds these layers, which no report has shown before; `oldest_proof_s`
        is infinity if no order of this process explains one of them.

        """
        states = [] if self.states is None else [self.states[layer] for layer in layers]
        if not states:
            return
        proofs = [self._latest_proof(layer) for layer in layers]
        log.notice(
            'The engine holds new layers. weights={} layers={}-{} proven={} unproven={} '
            'suspect={} oldest_proof_s={:.2f} pending_orders={}',
            layers[0].weights,
            min(layer.number for layer in layers),
            max(layer.number for layer in layers) + 1,
            states.count(LayerState.PROVEN),
            states.count(LayerState.UNPROVEN),
            states.count(LayerState.SUSPECT),
            reported_at - min(proofs),
            len(self.pending),
        )

    def _latest_proof(self, layer: LayerOfVersion) -> float:
        for order in reversed(self.pending):
            if order.covers(layer) and layer.number in order.proofs:
                return order.proofs[layer.number]
        return float('-inf')

    def _judge(self, layer: LayerOfVersion, reported_at: float) -> LayerState:
        if layer in self.rewritten:
            log.warning('Layer {} of {} may have a bad piece.', layer.number, layer.weights)
            return LayerState.SUSPECT
        # If several orders are pending, any of them may have loaded the layer. The pieces that were
        # good for the latest one were good for the others.
        if reported_at - self._latest_proof(layer) <= PROOF_VALID_S:
            return LayerState.PROVEN
        return LayerState.UNPROVEN

    @property
    def inherited_weights(self) -> set[WeightsId]:
        return {layer.weights for layer in self.inherited}

    def adopt(self, announced: Iterable[ServedVersion]) -> bool:
        """
        Take those inherited layers as proven that an earlier process of this daemon announced as
        usable. Returns False, and does nothing, unless the engine still holds all of the announced
        layers: after an order that drops some, the others may have been loaded anew.

        """
        layers = set(_layers_of(announced))
        if self.states is None or not layers or not layers <= self.inherited:
            return False
        self.states.update(dict.fromkeys(layers, LayerState.PROVEN))
        self.inherited -= layers
        return True

    def confirm(self, layer: LayerOfVersion, intact: bool) -> None:
        """
        Record whether the pieces of an unproven layer that the engine serves are still intact.
        Ignored if the layer is no longer unproven.

        """
        if self.states is not None and self.states.get(layer) is LayerState.UNPROVEN:
            self.states[layer] = LayerState.PROVEN if intact else LayerState.SUSPECT
            self.inherited.discard(layer)

    def numbers(self, weights: WeightsId, state: LayerState) -> list[int]:
        """
        The numbers of the layers of a version that are in this state.

        """
        return [
            layer.number
            for layer, known in (self.states or {}).items()
            if layer.weights == weights and known is state
        ]

    @property
    def unproven_weights(self) -> set[WeightsId]:
        """
        The versions of which the engine serves layers that may be proven by reading their pieces.

        """
        states = self.states or {}
        return {layer.weights for layer in states if states[layer] is LayerState.UNPROVEN}

    @property
    def unproven_version(self) -> int:
        """
        The newest version of which the engine serves layers that are not proven; 0 if there is
        none.

        """
        return max(
            (
                layer.weights.version
                for layer, state in (self.states or {}).items()
                if state is not LayerState.PROVEN
            ),
            default=0,
        )


def _layers_of(served: Iterable[ServedVersion]) -> list[LayerOfVersion]:
    return [
        LayerOfVersion(WeightsId(item.model, item.version), number)
        for item in served
        for number in _layer_numbers(item)
    ]


def _layer_numbers(item: ServedVersion) -> range:
    return Layers(item.first, item.end if item.end is not None else item.first).numbers
