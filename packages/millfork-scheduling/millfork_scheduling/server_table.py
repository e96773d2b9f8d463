"""
The table of the back ends that an entry sends requests to directly.

"""

from collections.abc import Callable, Iterable
from functools import partial
from heapq import nsmallest
from random import Random
from typing import Final

from millfork_adapter.exchange import Backpressure
from millfork_core.ids import InstanceId, RegionId, ServiceName, ZoneId
from millfork_core.logs import Component, logger
from millfork_registry.records import EndpointState, Lease
from millfork_routing.documents import EngineSpec
from millfork_scheduling.availability import (
    Closure,
    ClosureReason,
    LapsedAvailabilities,
    SignalChange,
)
from millfork_scheduling.cold_share import ColdBounds
from millfork_scheduling.fleet_index import FleetIndex
from millfork_scheduling.incarnation_status import IncarnationStatus, determine_status
from millfork_scheduling.paths import Path, find_paths
from millfork_scheduling.placement import (
    FAR_SAMPLED,
    NEAR_SAMPLED,
    Choice,
    Requirements,
    SelectionContext,
    choose_engine,
    choose_least_loaded,
    filter_startable,
    sample_engines,
)
from millfork_scheduling.server import CHANGE_LAPSES_S, REPORT_VALID_S, Lateness, Load, Server

log = logger(Component.PROXY)

# For a service with at most this many engines, each choice examines all of them.
MAX_SCANNED: Final = 24
# For a larger service, a choice examines a random sample of this size from the engines in the
# entry's zone, and another one from the engines in the other zones.
SAMPLE_SIZE: Final = 16
# While less than this share of a service's slots is occupied, no caller is turned away only
# because the sampled engines are full.
MAX_OCCUPIED_SHARE: Final = 0.5
# Weight of the latest first token in a service's mean lateness. An entry sees about ten first
# tokens a second, so the mean follows a change of load within a second.
LATENESS_WEIGHT: Final = 0.1


class ServerTable:
    """
    All back ends that hold a usable lease, by instance.

    """

    def __init__(
        self,
        zone: ZoneId,
        random: Random,
        monotonic: Callable[[], float],
        entries: Callable[[], int] = lambda: 1,
        peak_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self.zone = zone
        self.entries = entries
        # The highest recent number of entries; `entries` returns the number known now. Entries that
        # are out of reach now may still send requests.
        self.peak_entries = peak_entries
        # By service: how much later recent first tokens arrived than the engine spec predicts.
        self.lateness: dict[ServiceName, Lateness] = {}
        self.random = random
        self.monotonic = monotonic
        self.servers: dict[InstanceId, Server] = {}
        self.index = FleetIndex(zone, entries)
        # Increased by each change that may affect paths. `path_cache` holds, by service and newest
        # version, the generation for which the paths were computed, and these paths.
        self.path_generation = 0
        self.path_cache: dict[tuple[ServiceName, int], tuple[int, list[Path]]] = {}
        # The availabilities of incarnations that lost their lease, as the lease may come back.
        self.lapsed_availabilities = LapsedAvailabilities(random, monotonic)
        # The regions of all known zones.
        self.regions_by_zone: dict[ZoneId, RegionId] = {}
        # The zones whose back ends are sent no requests.
        self.evacuated_zones: frozenset[ZoneId] = frozenset()
        # Until when the back ends of a zone may have become cold unnoticed (monotonic seconds).
        self.doubted_zones: dict[ZoneId, float] = {}
        # The bounds for cold back ends of the services that name any.
        self.cold_bounds: dict[ServiceName, ColdBounds] = {}

    def apply_leases(self, leases: Iterable[Lease]) -> list[Server]:
        """
        Replace all leases by the given ones. Returns the back ends that are no longer used: those
        whose instance has no usable lease, or has one for another incarnation.

        """
        usable = {InstanceId(lease.instance): lease for lease in leases if lease.usable}
        dropped = []
        for key, server in list(self.servers.items()):
            lease = usable.get(key)
            if lease is not None and lease.incarnation == server.incarnation:
                continue
            # The weights, load, failures and connections of one incarnation say nothing about
            # the next one.
            server.replaced = lease is not None
            dropped.append(server)
            self.lapsed_availabilities.store((key, server.incarnation), server.availability)
            del self.servers[key]
        for key, lease in usable.items():
            self._apply_lease(key, lease)
        self.path_generation += 1
        self.index.rebuild(self.servers.values())
        return dropped

    def _apply_lease(self, key: InstanceId, lease: Lease) -> None:
        server = self.servers.get(key)
        if server is None:
            new_server = Server(
                key,
                ServiceName(lease.service),
                lease.host,
                lease.port,
                ZoneId(lease.zone),
                max(lease.slots, 1),
                lease.served,
                lease.incarnation,
                lease_served=lease.served,
                draw_order=self.random.random(),
                known_since=self.monotonic(),
                availability=self.lapsed_availabilities.restore((key, lease.incarnation)),
            )
            previous = self.index.by_address.get((lease.host, lease.port))
            if previous is not None:
                # The last report from this address describes the previous engine. If it arrives
                # again, its known sequence number makes `apply_reports` skip it; applied, it would
                # show weights and load that the new engine doesn't have.
                new_server.report_sequence = previous.report_sequence
            self.servers[key] = new_server
            new_server.availability.set_cold_bounds(self.cold_bounds.get(new_server.service))
            self._apply_coldness(new_server, lease)
            self._apply_doubt(new_server)
            return
        self._apply_coldness(server, lease)
        if lease.served == server.lease_served:
            return
        server.lease_served = lease.served
        if self.monotonic() - server.reported_at > REPORT_VALID_S:
            server.served = lease.served
            server.refused.clear()

    def _apply_coldness(self, server: Server, lease: Lease) -> None:
        """
        Apply the coldness in a lease, once for each heartbeat that was sent on.

        """
        if lease.sequence == server.lease_sequence:
            return
        server.lease_sequence = lease.sequence
        now = self.monotonic()
        server.lease_cold_until = now + lease.cold_for_ms / 1000
        cold = server.availability.cold
        if cold is not None and cold.record_notice(lease.cold_for_ms / 1000, now):
            log.info(
                'Back end {}. server={} left_ms={}',
                'cold' if lease.cold_for_ms else 'warm',
                server.instance,
                lease.cold_for_ms,
            )

    def set_cold_bounds(self, bounds: dict[ServiceName, ColdBounds]) -> None:
        """
        Set the bounds for cold back ends, by service.

        """
        if bounds == self.cold_bounds:
            return
        self.cold_bounds = bounds
        now = self.monotonic()
        for server in self.servers.values():
            availability = server.availability
            is_new = availability.cold is None
            availability.set_cold_bounds(bounds.get(server.service))
            if is_new and availability.cold is not None:
                availability.cold.record_notice(server.lease_cold_until - now, now)

    def doubt_zone(self, zone: ZoneId, min_s: float) -> None:
        """
        Treat the back ends of a zone as cold for the usual time, at least for `min_s` seconds: they
        may have become cold, and their next heartbeats may not have arrived yet.

        """
        self.doubted_zones[zone] = self.monotonic() + min_s
        for server in self.servers.values():
            if server.zone == zone:
                self._apply_doubt(server)

    def _apply_doubt(self, server: Server) -> None:
        now = self.monotonic()
        cold = server.availability.cold
        remaining_s = self.doubted_zones.get(server.zone, now) - now
        if cold is not None and remaining_s > 0:
            cold.doubt(max(cold.bounds.start_s, remaining_s), now)

    def apply_reports(
        self, states: Iterable[EndpointState]
    ) -> list[tuple[Server, list[SignalChange]]]:
        """
        Apply the reports of endpoint daemons about their engines; returns the back ends whose
        reports were applied, each with the changes of its backpressure signals.

        """
        now = self.monotonic()
        changes = []
        for state in states:
            server = self.index.by_address.get((state.host, state.port))
            # A different sequence number is newer, as the registry accepts a lower one only after
            # the clock of an instance was reset.
            if server is None or state.sequence == server.report_sequence:
                continue
            server.report_sequence = state.sequence
            server.daemon_heard_at = now
            if not state.reachable:
                continue
            if server.is_other_incarnation(state.incarnation):
                if state.incarnation > server.incarnation:
                    # The report is about the successor of the engine that holds the lease.
                    server.served = ()
                    self.path_generation += 1
                continue
            backpressure = Backpressure(state.limit_per_s, state.leaving)
            changes.append((server, server.availability.apply_report(backpressure, now)))
            changes_version = bool(state.changing_to)
            if (changes_version, state.served) != (server.changes_version, server.served):
                self.path_generation += 1
            server.changes_version = changes_version
            server.daemon = state.instance
            load = Load(
                state.running,
                state.queued,
                state.pace,
                server.own_requests,
                server.own_awaiting_first_token,
            )
            server.set_load(load, now)
            if state.served != server.served:
                server.served = state.served
                server.refused.clear()
        return changes

    def forget_lapsed_changes(self) -> list[Server]:
        """
        Take the engines into use again that were about to change their weights when the reports of
        their daemons ended, with the weights that their leases name. Returns these engines.

        """
        now = self.monotonic()
        lapsed = []
        for server in self.servers.values():
            if not server.changes_version or now - server.daemon_heard_at <= CHANGE_LAPSES_S:
                continue
            server.changes_version = False
            server.served = server.lease_served
            server.refused.clear()
            self.path_generation += 1
            lapsed.append(server)
        return lapsed

    def incarnation_status(self, server: Server, since: float) -> IncarnationStatus:
        """
        Whether a back end has ended since the moment `since` (monotonic seconds).

        """
        by_id = self.servers.get(server.instance)
        by_address = self.index.by_address.get((server.host, server.port))
        known = [other for other in (by_id, by_address) if other is not None]
        return determine_status(server, since, known, self.monotonic())

    def sample_candidates(self, requirements: Requirements, tried: set[InstanceId]) -> list[Server]:
        """
        A random sample of a few engines for a request, together with the second engines of their
        paths; empty for a service without engines.

        """
        if requirements.engine is None:
            return []
        now = self.monotonic()
        paths = self.current_paths(
            requirements.service, requirements.engine, requirements.newest_version
        )
        sampled = self._sample(requirements, paths, tried, now)
        if sampled:
            return sampled
        second_by_first = {path.first.instance: path.second for path in paths}
        eligible = filter_startable(
            self._usable_servers(requirements, paths, tried, now), requirements.engine, paths
        )
        return [
            member
            for server in sample_engines(eligible, self.zone, self.random)
            for member in self._servers_through(server, second_by_first, requirements)
        ]

    def freest_candidates(self, requirements: Requirements, tried: set[InstanceId]) -> list[Server]:
        """
        The few eligible engines with the smallest share of occupied slots. Eligible are engines
        that this entry uses, that hold all layers and can serve the request now, and that are
        neither in `tried` nor avoided. Empty if at least `MAX_OCCUPIED_SHARE` of the slots of all
        eligible engines are occupied, and for a service without engines.

        """
        engine = requirements.engine
        if engine is None:
            return []
        now = self.monotonic()
        servers = self.index.near.get(requirements.service, []) + self.index.far.get(
            requirements.service, []
        )
        eligible = [
            server
            for server in servers
            if self._is_untried_and_not_avoided(server, tried, now)
            and self._can_serve_now(server, requirements, [], now)
            and server.newest_complete_version(engine.layers) is not None
        ]
        occupied = sum(server.likely_occupied(now, self.entries()) for server in eligible)
        if occupied >= MAX_OCCUPIED_SHARE * sum(server.slots for server in eligible):
            return []
        return nsmallest(
            NEAR_SAMPLED + FAR_SAMPLED, eligible, key=partial(_occupied_share, now=now)
        )

    def choose(
        self,
        requirements: Requirements,
        tried: set[InstanceId],
        candidates: list[Server] | None = None,
    ) -> Choice | None:
        """
        Choose the back end for a request: one of `candidates` (None: of a new sample) if any is
        usable, else any other. None if no back end can serve the request.

        """
        now = self.monotonic()
        context = self.selection_context(requirements.service)
        if requirements.engine is None:
            return self._choose_from_all(requirements, [], tried, context)
        paths = self.current_paths(
            requirements.service, requirements.engine, requirements.newest_version
        )
        if candidates is None:
            sampled = self._sample(requirements, paths, tried, now)
        else:
            sampled = [
                server
                for server in candidates
                if self._is_still_usable(server, requirements, paths, tried)
            ]
        choice = None
        if sampled:
            choice = choose_engine(
                sampled, requirements, requirements.engine, paths, context, self.random
            )
        return choice or self._choose_from_all(requirements, paths, tried, context)

    def selection_context(self, service: ServiceName) -> SelectionContext:
        """
        The inputs of a choice for a service at this moment.

        """
        now = self.monotonic()
        late_ms = self._lateness_of(service).mean_ms_at(now)
        return SelectionContext(now, self.zone, self.entries(), late_ms)

    def _is_still_usable(
        self, server: Server, requirements: Requirements, paths: list[Path], tried: set[InstanceId]
    ) -> bool:
        """
        Whether an engine that was sampled a moment ago can still serve the request.

        """
        if self.servers.get(server.instance) is not server or server.instance in tried:
            return False
        return self._can_serve_now(server, requirements, paths, self.monotonic())

    def current_paths(self, service: ServiceName, engine: EngineSpec, newest: int) -> list[Path]:
        """
        The current paths of a service: pairs of engines that together hold all layers of version
        `newest` or a later one. They are computed again only once `path_generation` has increased.

        """
        generation, paths = self.path_cache.get((service, newest), (-1, []))
        if generation != self.path_generation:
            paths = find_paths(self.index.by_service.get(service, []), engine, newest)
            self.path_cache[service, newest] = (self.path_generation, paths)
        return paths

    def _sample(
        self, requirements: Requirements, paths: list[Path], tried: set[InstanceId], now: float
    ) -> list[Server]:
        """
        A few engines that can serve the request, from a random sample, so that not all engines
        are examined. Empty if the service has at most `MAX_SCANNED` engines, or if too few of the
        sample can serve the request.

        """
        if len(self.index.by_service.get(requirements.service, [])) <= MAX_SCANNED:
            return []
        near = self.index.near.get(requirements.service, [])
        far = self.index.far.get(requirements.service, [])
        second_by_first = {path.first.instance: path.second for path in paths}
        sampled: list[Server] = []
        for servers, count in ((near, NEAR_SAMPLED), (far, FAR_SAMPLED)):
            found = 0
            for server in self.random.sample(servers, min(len(servers), SAMPLE_SIZE)):
                if found == count:
                    break
                members = self._servers_through(server, second_by_first, requirements)
                if not members or any(
                    not self._is_untried_and_not_avoided(member, tried, now) for member in members
                ):
                    continue
                if all(self._can_serve_now(member, requirements, paths, now) for member in members):
                    sampled += members
                    found += 1
            if found < count:
                return []
        return sampled

    def _servers_through(
        self, server: Server, second_by_first: dict[InstanceId, Server], requirements: Requirements
    ) -> list[Server]:
        """
        The engines that a request passes through if it is sent to `server`; empty if that engine
        neither holds all layers nor is the first of a path.

        """
        if (
            requirements.engine is None
            or server.newest_complete_version(requirements.engine.layers) is not None
        ):
            return [server]
        second = second_by_first.get(server.instance)
        return [server, second] if second is not None else []

    def _is_untried_and_not_avoided(
        self, server: Server, tried: set[InstanceId], now: float
    ) -> bool:
        return server.instance not in tried and not server.is_avoided(now)

    def _choose_from_all(
        self,
        requirements: Requirements,
        paths: list[Path],
        tried: set[InstanceId],
        context: SelectionContext,
    ) -> Choice | None:
        usable = self._usable_servers(requirements, paths, tried, context.now)
        if not usable:
            return None
        if requirements.engine is None:
            return choose_least_loaded(usable, context, self.random)
        return choose_engine(usable, requirements, requirements.engine, paths, context, self.random)

    def _usable_servers(
        self, requirements: Requirements, paths: list[Path], tried: set[InstanceId], now: float
    ) -> list[Server]:
        """
        All back ends that can serve a request; avoided ones only if there are no others.

        """
        eligible = [
            server
            for server in self.index.by_service.get(requirements.service, [])
            if server.instance not in tried
            and self._can_serve_now(server, requirements, paths, now)
        ]
        return [server for server in eligible if not server.is_avoided(now)] or eligible

    def closure(self, server: Server) -> Closure | None:
        """
        Why a back end's own signals, or the evacuation of its zone, forbid sending requests to it
        now; None if nothing does.

        """
        if server.zone in self.evacuated_zones:
            return Closure(ClosureReason.EVACUATED, float('inf'))
        return server.availability.closure(self.monotonic(), max(self.peak_entries(), 1))

    def record_sent(self, servers: Iterable[Server]) -> None:
        """
        Record that a request is sent through the given back ends, which affects their rests and
        this entry's permits.

        """
        for server in servers:
            server.availability.record_sent(self.monotonic(), max(self.peak_entries(), 1))

    def first_to_open(self, requirements: Requirements) -> Closure | None:
        """
        The closure that is expected to end first, among back ends that meet the requirements
        but are closed; None if there is no such back end.

        """
        now = self.monotonic()
        paths: list[Path] = []
        if requirements.engine is not None:
            paths = self.current_paths(
                requirements.service, requirements.engine, requirements.newest_version
            )
        closures = [
            self.closure(server)
            for server in self.index.by_service.get(requirements.service, [])
            if self._meets_requirements(server, requirements, paths, now)
        ]
        found = [closure for closure in closures if closure is not None]
        return min(found, key=lambda closure: closure.opens_in_s, default=None)

    def record_first_token(self, server: Server, late_ms: float) -> None:
        """
        Add the lateness of one first token, relative to the prediction from the engine spec, to
        the means of its back end and of its service.

        """
        now = self.monotonic()
        server.lateness.record(late_ms, now)
        self._lateness_of(server.service).record(late_ms, now)

    def _lateness_of(self, service: ServiceName) -> Lateness:
        return self.lateness.setdefault(service, Lateness(LATENESS_WEIGHT))

    def _can_serve_now(
        self, server: Server, requirements: Requirements, paths: list[Path], now: float
    ) -> bool:
        return self.closure(server) is None and self._meets_requirements(
            server, requirements, paths, now
        )

    def _meets_requirements(
        self, server: Server, requirements: Requirements, paths: list[Path], now: float
    ) -> bool:
        """
        Whether a back end meets the requirements of a request, whatever its own signals say.

        """
        if not self.is_in_allowed_region(server, requirements):
            return False
        engine = requirements.engine
        if engine is None:
            return True
        if server.changes_version:
            return False
        version = server.newest_complete_version(engine.layers)
        if version is None:
            return self._is_in_usable_path(server, requirements, paths, now)
        return version >= requirements.min_version and server.refused.get(version, now) <= now

    def is_in_allowed_region(self, server: Server, requirements: Requirements) -> bool:
        """
        Whether a request may be served in the region of a back end. A back end in a zone of an
        unknown region is not allowed for a request that is restricted to some regions.

        """
        if requirements.regions is None:
            return True
        return self.regions_by_zone.get(server.zone) in requirements.regions

    def allowed_region_exists(self, requirements: Requirements) -> bool:
        """
        Whether any back end of a request's service is in a region in which the request may be
        served.

        """
        return any(
            self.is_in_allowed_region(server, requirements)
            for server in self.index.by_service.get(requirements.service, [])
        )

    def _is_in_usable_path(
        self, server: Server, requirements: Requirements, paths: list[Path], now: float
    ) -> bool:
        """
        Whether the back end is in a path whose version is acceptable for the request and was not
        recently refused by an engine of the path.

        """
        for path in paths:
            if server in path.servers:
                if not all(
                    self.is_in_allowed_region(member, requirements) for member in path.servers
                ):
                    return False
                refused = [member.refused.get(path.version, now) for member in path.servers]
                return path.version >= requirements.min_version and max(refused) <= now
        return False


def _occupied_share(server: Server, now: float) -> float:
    return server.occupied(now) / server.slots
