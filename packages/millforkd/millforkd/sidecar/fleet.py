"""
The endpoint daemons of one service, as known to one of them.

"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from millfork_core.environment import Environment
from millfork_core.ranks import rank
from millfork_registry.records import EndpointState
from millforkd.sidecar.layer_assignment import (
    LayerAssignment,
    Layers,
    assign_layers,
    daemons_lacking,
)
from millforkd.sidecar.pieces import WeightsId
from millforkd.sidecar.sources import holders, preferred_holders, request_order

# A snapshot of the states of all daemons is needed for each piece, and reused for this long.
SNAPSHOT_MAX_AGE_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class _FleetSnapshot:
    """
    Members and layer assignments for one version, computed at `at` (monotonic seconds).

    """

    weights: WeightsId
    at: float
    members: list[EndpointState]
    lacking: list[EndpointState]
    assignments: dict[str, LayerAssignment]


class Fleet:
    """
    Computes which daemons hold a piece, which daemon fetches it, and when each engine changes.

    """

    def __init__(
        self,
        env: Environment,
        service: str,
        states: Callable[[], list[EndpointState]],
        own_state: Callable[[], EndpointState],
        model_shape: Callable[[], tuple[int, int]],
    ) -> None:
        self.env = env
        self.service = service
        self.states = states
        self.own_state = own_state
        # Returns the numbers of layers and of pieces of the service's model.
        self.model_shape = model_shape
        self.snapshot: _FleetSnapshot | None = None

    def members(self) -> list[EndpointState]:
        """
        All daemons of the service, this one included.

        """
        own = self.own_state()
        others = [
            state
            for state in self.states()
            if state.service == self.service and state.instance != own.instance
        ]
        return [*others, own]

    def _snapshot_for(self, weights: WeightsId) -> _FleetSnapshot:
        now = self.env.monotonic()
        last = self.snapshot
        if last is not None and last.weights == weights and now - last.at < SNAPSHOT_MAX_AGE_S:
            return last
        layers, _ = self.model_shape()
        members = self.members()
        lacking = daemons_lacking(members, weights, self.service, layers)
        assignments = assign_layers(lacking, weights, layers)
        for state in lacking:
            goal = state.goal
            if goal is None or (goal.model, goal.version) != (weights.model, weights.version):
                continue
            # The layers that a daemon loads first override the computed assignment.
            end = goal.end if goal.end is not None else layers
            assignments[state.instance] = LayerAssignment(
                Layers(goal.first, end), assignments[state.instance].pair
            )
        self.snapshot = _FleetSnapshot(weights, now, members, lacking, assignments)
        return self.snapshot

    def own_assignment(self, weights: WeightsId) -> LayerAssignment:
        """
        This daemon's layer assignment among the daemons whose engines lack a version. If its own
        engine lacks nothing, all layers.

        """
        own = self.own_state()
        assignment = self._snapshot_for(weights).assignments.get(own.instance)
        if assignment is not None:
            return assignment
        layers, _ = self.model_shape()
        emptied = msgspec.structs.replace(own, served=())
        return assign_layers([emptied], weights, layers)[own.instance]

    def own_turn(self, weights: WeightsId, turns: int) -> int:
        """
        The turn, from 0 to before `turns`, in which this daemon's engine changes.

        """
        own = str(self.env.instance)
        ordered = sorted(
            (state.instance for state in self.members()),
            key=lambda instance: rank(str(weights), instance),
        )
        return ordered.index(own) % turns

    def origin_fetchers(self, weights: WeightsId, index: int) -> list[str]:
        """
        The daemons whose first layers need a piece, in the order in which they try to
        fetch it from the origin; the first of them sends it to the others.

        """
        layers, pieces = self.model_shape()
        names = [
            name
            for name, assignment in self._snapshot_for(weights).assignments.items()
            if index in assignment.layers.pieces(layers, pieces)
        ]
        return request_order(names, weights, index)

    def holders(self, weights: WeightsId, index: int) -> list[EndpointState]:
        """
        The states of the other daemons that hold a piece.

        """
        own = str(self.env.instance)
        return holders(self._snapshot_for(weights).members, weights, index, own)

    def nearest_holders(self, weights: WeightsId, index: int) -> list[str]:
        """
        The daemons to request a piece from, in order of preference.

        """
        candidates = self.holders(weights, index)
        zone = str(self.env.zone)
        lacking_in_zone = [
            state
            for state in self._snapshot_for(weights).lacking
            if state.zone == zone and state not in candidates
        ]
        return request_order(
            preferred_holders(candidates, zone, len(lacking_in_zone)), weights, index
        )
