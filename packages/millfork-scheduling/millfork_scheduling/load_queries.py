"""
Whether an entry asks endpoint daemons for the current load of their engines before it chooses an
engine.

Load reports are up to 0.3 s old. Under load near or above capacity, other entries send requests in
that time, so the engine that looks best may be full when the request arrives. If all compared
engines have spare slots, the last reports are good enough.

"""

from collections.abc import Iterable
from typing import Final

from millfork_scheduling.server import Server

# An entry asks for current loads if at least this share of the slots of any compared engine is
# occupied.
FRESH_LOADS_OCCUPIED_SHARE: Final = 0.7


def needs_fresh_loads(servers: Iterable[Server], now: float, entries: int) -> bool:
    """
    Whether any of the engines is so full that the choice among them may depend on requests that
    other entries sent since the last reports.

    """
    return any(
        server.likely_occupied(now, entries) >= FRESH_LOADS_OCCUPIED_SHARE * server.slots
        for server in servers
    )
