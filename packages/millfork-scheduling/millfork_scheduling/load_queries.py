"""
When to ask for the load of engines before one of them is chosen.

It answers load near and above what the engines carry, where what entries know of engines is
up to 0.3 s old and others send meanwhile: the engine that looks best is full when the request
gets there. Where all engines compared have slots to spare, as old a report will do.

"""

from collections.abc import Iterable
from typing import Final

from millfork_scheduling.server import Server

# Of its slots, what one engine of those compared has taken at least.
FRESH_LOADS_OCCUPIED_SHARE: Final = 0.7


def needs_fresh_loads(servers: Iterable[Server], now: float, entries: int) -> bool:
    """
    Whether the choice among some engines may hang on what happened since their reports.

    """
    return any(
        server.likely_occupied(now, entries) >= FRESH_LOADS_OCCUPIED_SHARE * server.slots
        for server in servers
    )
