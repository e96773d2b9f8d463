"""
The back ends of a fleet by service and address, and those among which one entry draws.

"""

from collections.abc import Callable, Iterable
from heapq import nsmallest
from typing import Final

from millfork_core.ids import ServiceName, ZoneId
from millfork_scheduling.server import Server

# Of each service, among how many engines of the own zone and of others an entry draws: it
# keeps a connection to the daemons beside them. Where entries are few, more, so that each
# engine is drawn by some of them.
MAX_NEAR: Final = 32
MAX_FAR: Final = 16
ENTRIES_PER_ENGINE: Final = 6


class FleetIndex:
    """
    The back ends with a lease, made anew whenever leases change.

    """

    def __init__(self, zone: ZoneId, entries: Callable[[], int]) -> None:
        self.zone = zone
        self.entries = entries
        self.by_service: dict[ServiceName, list[Server]] = {}
        # Those to draw from, of the own zone and of all others.
        self.near: dict[ServiceName, list[Server]] = {}
        self.far: dict[ServiceName, list[Server]] = {}
        self.by_address: dict[tuple[str, int], Server] = {}

    def rebuild(self, servers: Iterable[Server]) -> None:
        """
        Take all back ends.

        """
        self.by_service = {}
        self.near = {}
        self.far = {}
        self.by_address = {}
        for server in servers:
            self.by_service.setdefault(server.service, []).append(server)
            side = self.near if server.zone == self.zone else self.far
            side.setdefault(server.service, []).append(server)
            self.by_address[(server.host, server.port)] = server
        for service, found in self.by_service.items():
            share = ENTRIES_PER_ENGINE * len(found) // max(self.entries(), 1)
            _keep_least(self.near, service, max(MAX_NEAR, share))
            _keep_least(self.far, service, max(MAX_FAR, share))


def _keep_least(servers: dict[ServiceName, list[Server]], service: ServiceName, most: int) -> None:
    """
    Keep so many back ends of a service, by their order of drawing.

    """
    found = servers.get(service, [])
    if len(found) > most:
        servers[service] = nsmallest(most, found, key=lambda server: server.draw_order)
