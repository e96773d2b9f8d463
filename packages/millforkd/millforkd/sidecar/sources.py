"""
Chooses the daemons from which a piece is fetched.

A piece that some daemons hold is fetched from these. A piece that no daemon holds is fetched
from the origin by one of the daemons that need the piece for the layers that their engines load
first (`layer_assignment.py`). That daemon then sends the piece to the others that need it.

Daemons that know of the same endpoint daemons compute the same order, without messages to each
other.

"""

from collections.abc import Iterable
from typing import Final

from millfork_core.ranks import rank
from millfork_registry.records import EndpointState
from millforkd.sidecar.pieces import WeightsId

# Stands for the list of digests in place of the index of a piece.
DIGESTS_INDEX: Final = -1


def holders(
    states: Iterable[EndpointState], weights: WeightsId, index: int, own_instance: str
) -> list[EndpointState]:
    """
    The states of the daemons that hold a piece, except for the daemon of `own_instance`.

    """
    return [
        state
        for state in states
        if state.instance != own_instance
        and any(
            (held.model, held.version) == (weights.model, weights.version) and held.has(index)
            for held in state.held
        )
    ]


def request_order(names: Iterable[str], weights: WeightsId, index: int) -> list[str]:
    """
    The daemons (or caches) in the order in which they try to fetch a piece from the origin, or
    in which they are asked for the piece. The orders of consecutive pieces start with
    consecutive daemons, so that the pieces are spread evenly.

    """
    ordered = sorted(names, key=lambda name: rank(str(weights), name))
    if not ordered:
        return []
    offset = index % len(ordered)
    first, rest = ordered[offset], ordered[offset + 1 :] + ordered[:offset]
    if not rest:
        return [first]
    # The second place also changes from piece to piece, so that all others take over equal
    # shares of the pieces of a daemon that fails.
    rotation = index // len(ordered) % len(rest)
    return [first, *rest[rotation:], *rest[:rotation]]


def preferred_holders(
    candidates: list[EndpointState], zone: str, incomplete_in_zone: int
) -> list[str]:
    """
    The holders to request a piece from: those in `zone`, if there are any and they are at least
    as many as the daemons in `zone` that need the piece (`incomplete_in_zone`). Otherwise all
    holders, since the links of fewer holders would be too slow.

    """
    near = [state.instance for state in candidates if state.zone == zone]
    if near and len(near) >= incomplete_in_zone:
        return near
    return [state.instance for state in candidates]
