"""
The endpoint daemons of one service, as one of these daemons knows them from the registry.

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
    daemons_with_missing_layers,
)
from millforkd.sidecar.pieces import WeightsId
from millforkd.sidecar.sources import holders, preferred_holders, request_order

# A snapshot of the states of all daemons is reused for this many seconds, because one is needed
# for each piece.
SNAPSHOT_MAX_AGE_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class _FleetSnapshot:
    """
    The daemons of the service (`members`), those whose engines do not serve all layers of the
    version `weights` (`incomplete`), and the layer assignments of the `incomplete` daemons by
    instance, computed at `at` (monotonic seconds).

    """

    weights: WeightsId
    at: float
    members: list[EndpointState]
    incomplete: list[EndpointState]
    assignments: dict[str, LayerAssignment]


class Fleet:
    """
    Computes which daemons hold a piece, which daemon fetches the piece from the origin, which
    layers this daemon's engine loads first, and in which turn that engine changes its version.

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
        # Returns the numbers of layers and of pieces of the service's model, 0 if not known.
        self.model_shape = model_shape
        self.snapshot: _FleetSnapshot | None = None

    def members(self) -> list[EndpointState]:
        """
        The states of all daemons of the service, this one included.

        """
        own = self.own_state()
        others = [
            state
            for state in self.states()
            if state.service == self.service and state.instance != own.instance
        ]
        return [*others, own]

    def announced_before(self, started_at: float) -> EndpointState | None:
        """
        The state that an earlier process of this daemon announced last, before this one started at
        `started_at` (monotonic seconds); None if no such state is known.

        """
        own_instance = str(self.env.instance)
        for state in self.states():
            if state.instance == own_instance and state.service == self.service:
                return state if state.sequence < started_at * 1000 else None
        return None

    def _snapshot_for(self, weights: WeightsId) -> _FleetSnapshot:
        now = self.env.monotonic()
        last = self.snapshot
        if last is not None and last.weights == weights and now - last.at < SNAPSHOT_MAX_AGE_S:
            return last
        layers, _ = self.model_shape()
        members = self.members()
        incomplete = daemons_with_missing_layers(members, weights, self.service, layers)
        assignments = assign_layers(incomplete, weights, layers)
        for state in incomplete:
            goal = state.goal
            if goal is None or (goal.model, goal.version) != (weights.model, weights.version):
                continue
            # A daemon that has already chosen the layers that its engine loads first keeps
            # them, whatever is computed here.
            end = goal.end if goal.end is not None else layers
            assignments[state.instance] = LayerAssignment(
                Layers(goal.first, end), assignments[state.instance].pair
            )
        self.snapshot = _FleetSnapshot(weights, now, members, incomplete, assignments)
        return self.snapshot

    def own_assignment(self, weights: WeightsId) -> LayerAssignment:
        """
        The layers of a version that this daemon's engine loads first, computed from all daemons
        whose engines do not serve the whole version. All layers if this daemon's engine already
        serves them.

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
        The turn, from 0 to `turns` - 1, in which this daemon's engine changes to a version. The
        engines of the service are divided among the turns, which follow one another.

        """
        own = str(self.env.instance)
        ordered = sorted(
            (state.instance for state in self.members()),
            key=lambda instance: rank(str(weights), instance),
        )
        return ordered.index(own) % turns

    def origin_fetchers(self, weights: WeightsId, index: int) -> list[str]:
        """
        The daemons that need a piece for the layers that their engines load first, in the order
        in which they try to fetch the piece from the origin. The daemon that fetches the piece
        sends it to the others.

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
        The daemons to request a piece from, in the order in which they are asked.

        """
        candidates = self.holders(weights, index)
        zone = str(self.env.zone)
        incomplete_in_zone = [
            state
            for state in self._snapshot_for(weights).incomplete
            if state.zone == zone and state not in candidates
        ]
        return request_order(
            preferred_holders(candidates, zone, len(incomplete_in_zone)), weights, index
        )
