"""
From whom a piece is taken.

Where daemons hold a piece, the others take it from them. A version that nobody
holds is drawn from the origin, each piece by one daemon of those whose engines
need it first, which then sends it to the others of these (`layout.py`).

Each daemon computes the same order from the endpoints it knows.

"""

from collections.abc import Iterable
from typing import Final

from millfork_core.ranks import rank
from millfork_registry.records import EndpointState
from millforkd.sidecar.pieces import WeightsId

# The number under which the digests are drawn.
DIGESTS_INDEX: Final = -1


def holders(
    states: Iterable[EndpointState], weights: WeightsId, index: int, own: str
) -> list[EndpointState]:
    """
    The other daemons that hold a piece.

    """
    return [
        state
        for state in states
        if state.instance != own
        and any(
            (held.model, held.version) == (weights.model, weights.version) and held.has(index)
            for held in state.held
        )
    ]


def request_order(names: Iterable[str], weights: WeightsId, index: int) -> list[str]:
    """
    The daemons in the order in which they are to draw a piece, or to be
    asked for it. The next piece begins with the next daemon, so that each
    has its equal part.

    """
    ordered = sorted(names, key=lambda name: rank(str(weights), name))
    if not ordered:
        return []
    begin = index % len(ordered)
    first, rest = ordered[begin], ordered[begin + 1 :] + ordered[:begin]
    if not rest:
        return [first]
    # The part of one that fails is spread over all others, too.
    again = index // len(ordered) % len(rest)
    return [first, *rest[again:], *rest[:again]]


def preferred_holders(found: list[EndpointState], zone: str, lacking_in_zone: int) -> list[str]:
    """
    The holders to take from: those of the own zone, unless more daemons there
    lack the piece than they can serve at the links' pace.

    """
    near = [state.instance for state in found if state.zone == zone]
    if near and len(near) >= lacking_in_zone:
        return near
    return [state.instance for state in found]
