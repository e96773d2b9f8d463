"""
An index of the back ends of a fleet, by service and by address.

"""

from collections.abc import Callable, Iterable
from heapq import nsmallest
from typing import Final

from millfork_core.ids import ServiceName, ZoneId
from millfork_scheduling.server import Server

# The maximum number of engines per service from which an entry draws its samples, in its own zone
# (near) and in all other zones (far). The number is limited because the entry keeps a connection to
# the daemon beside each of these engines.
NEAR_LIMIT: Final = 32
FAR_LIMIT: Final = 16
# Both limits are raised, if necessary, to ENTRIES_PER_ENGINE * engines / entries, counting the
# engines of the service in all zones and the entries of the fleet. Each engine is then used by at
# least about this many entries, or by all entries if the fleet has fewer.
ENTRIES_PER_ENGINE: Final = 6


class FleetIndex:
    """
    The back ends that hold a lease; the index is rebuilt on every change of the leases.

    """

    def __init__(self, zone: ZoneId, entries: Callable[[], int]) -> None:
        self.zone = zone
        self.entries = entries
        self.by_service: dict[ServiceName, list[Server]] = {}
        # The back ends from which this entry draws its samples, by service: those in its own zone
        # and those in all other zones.
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
            servers_by_service = self.near if server.zone == self.zone else self.far
            servers_by_service.setdefault(server.service, []).append(server)
            self.by_address[(server.host, server.port)] = server
        for service, found in self.by_service.items():
            share = ENTRIES_PER_ENGINE * len(found) // max(self.entries(), 1)
            _truncate(self.near, service, max(NEAR_LIMIT, share))
            _truncate(self.far, service, max(FAR_LIMIT, share))


def _truncate(servers: dict[ServiceName, list[Server]], service: ServiceName, limit: int) -> None:
    """
    Keep the back ends of a service with the lowest `draw_order`, at most `limit` of them.

    """
    found = servers.get(service, [])
    if len(found) > limit:
        servers[service] = nsmallest(limit, found, key=lambda server: server.draw_order)
