"""
An index of the back ends of a fleet, by service and by address.

"""

from collections.abc import Callable, Iterable
from heapq import nsmallest
from typing import Final

from millfork_core.ids import ServiceName, ZoneId
from millfork_scheduling.server import Server

# An entry uses at most this many engines of each service in its own zone (near) and in all other
# zones (far), as it keeps a connection to the daemon beside each of them. With few entries each
# uses more engines, so that about `ENTRIES_PER_ENGINE` entries use every engine.
MAX_NEAR: Final = 32
MAX_FAR: Final = 16
ENTRIES_PER_ENGINE: Final = 6


class FleetIndex:
    """
    The back ends that hold a lease; rebuilt on every change of the leases.

    """

    def __init__(self, zone: ZoneId, entries: Callable[[], int]) -> None:
        self.zone = zone
        self.entries = entries
        self.by_service: dict[ServiceName, list[Server]] = {}
        # The back ends that this entry uses, by service: in its own zone and in all other zones.
        self.near: dict[ServiceName, list[Server]] = {}
        self.far: dict[ServiceName, list[Server]] = {}
        self.by_address: dict[tuple[str, int], Server] = {}

    def rebuild(self, servers: Iterable[Server]) -> None:
        """
        Build the index again from all back ends that hold a lease.

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
            _truncate(self.near, service, max(MAX_NEAR, share))
            _truncate(self.far, service, max(MAX_FAR, share))


def _truncate(servers: dict[ServiceName, list[Server]], service: ServiceName, limit: int) -> None:
    """
    Keep the back ends of a service with the lowest `draw_order`, at most `limit` of them.

    """
    found = servers.get(service, [])
    if len(found) > limit:
        servers[service] = nsmallest(limit, found, key=lambda server: server.draw_order)
