"""
From whom a piece is taken.

Where daemons hold the whole version, the others take pieces from them. A
version that nobody holds goes to one half of the fleet first: the other half
draws each piece once from the origin and sends it to all of the first. A link
carries what it receives and what it sends, so this makes half of the engines
whole in about the time of one copy; all at once would take two. The first half
then serves the second, whose engines serve callers until then.

Each daemon computes the same order from the endpoints it knows.

"""

from collections.abc import Iterable
from typing import Final

from millfork_core.ranks import rank
from millfork_registry.records import EndpointState
from millforkd.beside.pieces import WeightsId

# The number under which the digests are drawn.
DIGESTS: Final = -1


def holders(states: Iterable[EndpointState], weights: WeightsId, own: str) -> list[str]:
    """
    The other daemons that hold the whole version.

    """
    found = []
    for state in states:
        if state.instance == own:
            continue
        for held in state.held:
            if held.whole and (held.model, held.version) == (weights.model, weights.version):
                found.append(state.instance)
    return found


def in_turn(names: Iterable[str], weights: WeightsId, index: int) -> list[str]:
    """
    The daemons in the order in which they are to draw a piece, or to be
    asked for it. The next piece begins with the next daemon, so that each
    has its equal part.

    """
    ordered = sorted(names, key=lambda name: rank(str(weights), name))
    if not ordered:
        return []
    begin = index % len(ordered)
    return ordered[begin:] + ordered[:begin]


def fleet(states: Iterable[EndpointState], service: str, own: str) -> set[str]:
    """
    All daemons of a service, this one included.

    """
    return {state.instance for state in states if state.service == service} | {own}


def first_half(names: Iterable[str], weights: WeightsId) -> list[str]:
    """
    The daemons whose engines change first.

    """
    ordered = sorted(names, key=lambda name: rank(str(weights), name))
    return ordered[: (len(ordered) + 1) // 2]


def drawers(names: Iterable[str], weights: WeightsId) -> list[str]:
    """
    The daemons that draw from the origin: the second half, if there is one.

    """
    everyone = set(names)
    first = first_half(everyone, weights)
    return sorted(everyone - set(first)) or first


def nearest(
    states: Iterable[EndpointState],
    service: str,
    zone: str,
    whole: list[str],
) -> list[str]:
    """
    The holders to take from: those of the own zone, where they are as many
    as the daemons there that lack the version.

    """
    here = {state.instance for state in states if state.service == service and state.zone == zone}
    near = [name for name in whole if name in here]
    return near if len(near) * 2 >= len(here) else whole
