"""
Chooses the daemons from which a piece is fetched.

A piece that some daemons hold is fetched from them. A piece that no daemon holds is fetched
from the origin by one of the daemons whose first layers need it (`layer_assignment.py`).
This daemon then sends it to the others that need it.

Each daemon computes the same order from the endpoints that it knows.

"""

from collections.abc import Iterable
from typing import Final

from millfork_core.ranks import rank
from millfork_registry.records import EndpointState
from millforkd.sidecar.pieces import WeightsId

# Stands for the list of digests where a piece index is expected.
DIGESTS_INDEX: Final = -1


def holders(
    states: Iterable[EndpointState], weights: WeightsId, index: int, own: str
) -> list[EndpointState]:
    """
    The states of the daemons other than `own` that hold a piece.

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
    The daemons in the order in which they fetch a piece from the origin, or are asked
    for it. Consecutive pieces start with consecutive daemons, so that the pieces are
    spread evenly.

    """
    ordered = sorted(names, key=lambda name: rank(str(weights), name))
    if not ordered:
        return []
    offset = index % len(ordered)
    first, rest = ordered[offset], ordered[offset + 1 :] + ordered[:offset]
    if not rest:
        return [first]
    # The pieces of a daemon that fails are spread evenly over all others.
    rotation = index // len(ordered) % len(rest)
    return [first, *rest[rotation:], *rest[:rotation]]


def preferred_holders(
    candidates: list[EndpointState], zone: str, lacking_in_zone: int
) -> list[str]:
    """
    The holders to request a piece from: those in `zone` if at least as many daemons hold
    the piece there as lack it, since otherwise their links are too slow; else all holders.

    """
    near = [state.instance for state in candidates if state.zone == zone]
    if near and len(near) >= lacking_in_zone:
        return near
    return [state.instance for state in candidates]
