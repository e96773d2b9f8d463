"""
The endpoint daemons of one service, as one of them knows them.

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

# What is worked out from the states is used this long, as it is asked for
# with each piece.
SNAPSHOT_MAX_AGE_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class _FleetSnapshot:
    """
    The fleet with regard to one version, as worked out at one moment.

    """

    weights: WeightsId
    at: float
    members: list[EndpointState]
    lacking: list[EndpointState]
    assignments: dict[str, LayerAssignment]


class Fleet:
    """
    Who holds what, and who brings what to whom.

    """

    def __init__(
        self,
        env: Environment,
        service: str,
        states: Callable[[], list[EndpointState]],
        own_state: Callable[[], EndpointState],
        shape: Callable[[], tuple[int, int]],
    ) -> None:
        self.env = env
        self.service = service
        self.states = states
        self.own_state = own_state
        # The number of layers of the service's model, and of its pieces.
        self.shape = shape
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
        held = self.snapshot
        if held is not None and held.weights == weights and now - held.at < SNAPSHOT_MAX_AGE_S:
            return held
        layers, _ = self.shape()
        members = self.members()
        without = daemons_lacking(members, weights, self.service, layers)
        found = assign_layers(without, weights, layers)
        for state in without:
            goal = state.goal
            if goal is None or (goal.model, goal.version) != (weights.model, weights.version):
                continue
            # What a daemon has begun with goes before what is worked out now.
            end = goal.end if goal.end is not None else layers
            found[state.instance] = LayerAssignment(
                Layers(goal.first, end), found[state.instance].pair
            )
        self.snapshot = _FleetSnapshot(weights, now, members, without, found)
        return self.snapshot

    def own_assignment(self, weights: WeightsId) -> LayerAssignment:
        """
        This daemon's place among those whose engines lack a version.

        """
        own = self.own_state()
        found = self._snapshot_for(weights).assignments.get(own.instance)
        if found is not None:
            return found
        layers, _ = self.shape()
        emptied = msgspec.structs.replace(own, served=())
        return assign_layers([emptied], weights, layers)[own.instance]

    def own_turn(self, weights: WeightsId, turns: int) -> int:
        """
        The turn, of so many, in which this daemon's engine changes.

        """
        own = str(self.env.instance)
        ordered = sorted(
            (state.instance for state in self.members()),
            key=lambda instance: rank(str(weights), instance),
        )
        return ordered.index(own) % turns

    def origin_fetchers(self, weights: WeightsId, index: int) -> list[str]:
        """
        The daemons that need a piece first, in the order in which they are to
        draw it; the first of them sends it to the others.

        """
        layers, pieces = self.shape()
        names = [
            name
            for name, assignment in self._snapshot_for(weights).assignments.items()
            if index in assignment.layers.pieces(layers, pieces)
        ]
        return request_order(names, weights, index)

    def holders(self, weights: WeightsId, index: int) -> list[EndpointState]:
        """
        The other daemons that hold a piece.

        """
        own = str(self.env.instance)
        return holders(self._snapshot_for(weights).members, weights, index, own)

    def nearest_holders(self, weights: WeightsId, index: int) -> list[str]:
        """
        The daemons to ask for a piece, best first.

        """
        found = self.holders(weights, index)
        zone = str(self.env.zone)
        here = [
            state
            for state in self._snapshot_for(weights).lacking
            if state.zone == zone and state not in found
        ]
        return request_order(preferred_holders(found, zone, len(here)), weights, index)
