"""
The back ends that an entry reaches directly.

"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_registry.records import EndpointState, Lease
from millfork_scheduling.paths import Path, pair_up
from millfork_scheduling.placement import Choice, Outlook, Wanted, choose_engine, choose_plain
from millfork_scheduling.server import REPORT_VALID_S, Lateness, Server

# One first token's weight in the mean lateness: an entry sees some ten a second,
# so the mean follows a change of load within a second.
LATENESS_WEIGHT: Final = 0.1


class ServerBook:
    """
    All back ends with a lease, by id.

    """

    def __init__(
        self,
        zone: ZoneId,
        random: Random,
        monotonic: Callable[[], float],
        entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self.zone = zone
        self.entries = entries
        # How much later than by the figures first tokens came lately, in ms.
        self.lateness: dict[ServiceName, Lateness] = {}
        self.random = random
        self.monotonic = monotonic
        self.servers: dict[InstanceId, Server] = {}
        self.by_service: dict[ServiceName, list[Server]] = {}
        self.by_address: dict[tuple[str, int], Server] = {}

    def take_leases(self, leases: Iterable[Lease]) -> list[Server]:
        """
        Take all leases; returns the back ends that are no longer used.

        """
        usable = {InstanceId(lease.instance): lease for lease in leases if lease.usable}
        dropped = []
        for key, server in list(self.servers.items()):
            lease = usable.get(key)
            if lease is not None and lease.incarnation == server.incarnation:
                continue
            # Nothing that was learned of one incarnation holds for the next: its weights,
            # load, failures and connections ended with it.
            server.replaced = lease is not None
            dropped.append(server)
            del self.servers[key]
        for key, lease in usable.items():
            self._take_lease(key, lease)
        self.by_service = {}
        self.by_address = {}
        for server in self.servers.values():
            self.by_service.setdefault(server.service, []).append(server)
            self.by_address[(server.host, server.port)] = server
        return dropped

    def _take_lease(self, key: InstanceId, lease: Lease) -> None:
        server = self.servers.get(key)
        if server is None:
            made = Server(
                key,
                ServiceName(lease.service),
                lease.host,
                lease.port,
                ZoneId(lease.zone),
                max(lease.slots, 1),
                lease.served,
                lease.incarnation,
                lease_served=lease.served,
            )
            before = self.by_address.get((lease.host, lease.port))
            if before is not None:
                # What was last reported there was of the engine before this one: its
                # weights and load were else taken for those of an empty engine.
                made.report_sequence = before.report_sequence
            self.servers[key] = made
            return
        if lease.served == server.lease_served:
            return
        server.lease_served = lease.served
        if self.monotonic() - server.reported_at > REPORT_VALID_S:
            server.served = lease.served
            server.refused.clear()

    def take_reports(self, states: Iterable[EndpointState]) -> None:
        """
        Take what endpoint daemons said of the engines beside them.

        """
        now = self.monotonic()
        for state in states:
            server = self.by_address.get((state.host, state.port))
            # Any other one is newer: the registry takes a lower sequence only where an
            # instance's clock began anew.
            if server is None or state.sequence == server.report_sequence:
                continue
            server.report_sequence = state.sequence
            if not state.reachable:
                continue
            if _is_of_another(state, server):
                if state.incarnation > server.incarnation:
                    # The engine that the lease is of has ended.
                    server.served = ()
                continue
            server.changing = bool(state.changing_to)
            server.reported = state.running + state.queued
            server.reported_unread = state.queued
            server.mine_at_report = server.mine
            server.mine_unread_at_report = server.mine_unread
            server.pace = state.pace
            server.reported_at = now
            if state.served != server.served:
                server.served = state.served
                server.refused.clear()

    def choose(self, wanted: Wanted, tried: set[InstanceId]) -> Choice | None:
        """
        The back end for a request; None if there is none that can serve it.

        """
        now = self.monotonic()
        servers = self.by_service.get(wanted.service, [])
        paths: list[Path] = []
        if wanted.engine is not None:
            paths = pair_up(servers, wanted.engine, wanted.newest_version)
        able = [
            server
            for server in servers
            if server.instance not in tried and self._able(server, wanted, paths, now)
        ]
        if not able:
            return None
        trusted = [server for server in able if server.suspect_until <= now] or able
        late_ms = self._lateness_of(wanted.service).now_ms(now)
        outlook = Outlook(now, self.zone, self.entries(), late_ms)
        if wanted.engine is None:
            return choose_plain(trusted, outlook, self.random)
        return choose_engine(trusted, wanted, wanted.engine, paths, outlook, self.random)

    def note_first_token(self, server: Server, late_ms: float) -> None:
        """
        Take one first token's lateness, against the figures, into the means
        of the back end and of its service.

        """
        now = self.monotonic()
        server.lateness.note(late_ms, now)
        self._lateness_of(server.service).note(late_ms, now)

    def _lateness_of(self, service: ServiceName) -> Lateness:
        return self.lateness.setdefault(service, Lateness(LATENESS_WEIGHT))

    def _able(self, server: Server, wanted: Wanted, paths: list[Path], now: float) -> bool:
        engine = wanted.engine
        if engine is None:
            return True
        if server.changing:
            return False
        version = server.newest_whole(engine.layers)
        if version is None:
            return self._in_path(server, wanted, paths, now)
        return version >= wanted.least_version and server.refused.get(version, now) <= now

    def _in_path(self, server: Server, wanted: Wanted, paths: list[Path], now: float) -> bool:
        """
        Whether it has a part in a path of the newest version.

        """
        for path in paths:
            if server in path.servers:
                refused = [part.refused.get(path.version, now) for part in path.servers]
                return path.version >= wanted.least_version and max(refused) <= now
        return False


def _is_of_another(state: EndpointState, server: Server) -> bool:
    """
    Whether a report is of another incarnation of an engine than the one known.

    """
    if not state.incarnation or not server.incarnation:
        return False
    return state.incarnation != server.incarnation
