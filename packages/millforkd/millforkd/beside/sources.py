"""
From whom a piece is taken.

Where a daemon holds the whole version, the others take pieces from it. A
version that nobody holds is drawn from the origin, each piece by one daemon,
which then sends it to all others. Each daemon computes the same order from the
endpoints it knows: the pieces are spread evenly, so that a fleet draws one copy
and each daemon sends about as much as it receives.

"""

from collections.abc import Iterable

from millfork_core.ranks import rank
from millfork_registry.records import EndpointState
from millforkd.beside.pieces import WeightsId

# The number under which the digests are drawn.
DIGESTS = -1


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
    asked for it; another order for each piece.

    """
    seed = f'{weights}/{index}'
    return sorted(names, key=lambda name: rank(seed, name))


def fleet(states: Iterable[EndpointState], service: str, own: str) -> set[str]:
    """
    All daemons of a service, this one included.

    """
    return {state.instance for state in states if state.service == service} | {own}
