"""
Whether an entry asks for the current load of engines before it chooses one.

Load reports are up to 0.3 s old. Under load near or above capacity, other entries send requests in
that time, so the engine that looks best may be full when the request arrives. If all compared
engines have spare slots, the last reports are good enough.

"""

from collections.abc import Iterable
from typing import Final

from millfork_scheduling.server import Server

# An entry asks for loads if any of the compared engines has at least this share of its slots
# occupied.
FRESH_LOADS_OCCUPIED_SHARE: Final = 0.7


def needs_fresh_loads(servers: Iterable[Server], now: float, entries: int) -> bool:
    """
    Whether the choice among the engines may depend on requests that other entries sent since the
    last reports. It may if any of the engines is nearly full.

    """
    return any(
        server.likely_occupied(now, entries) >= FRESH_LOADS_OCCUPIED_SHARE * server.slots
        for server in servers
    )
