"""
The daemon of an entry in a seeded fleet (processes start from a few replica addresses). The entry
sends requests directly to back ends.

"""

from functools import singledispatchmethod
from typing import Final

import curio
import msgspec

from millfork_adapter.adapter import Adapter
from millfork_core.environment import Environment
from millfork_core.ids import Revision, ServiceName
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal
from millfork_registry.discovery import address_of
from millfork_registry.roles import ENTRY_ROLE
from millfork_registry.suspicions import decode_suspicions
from millfork_routing.documents import Document, EngineSpec
from millfork_routing.regions import unknown_regions
from millfork_routing.routes import RouteTable
from millfork_routing.shared_budget import SharedBudget
from millfork_scheduling.availability import SignalSource
from millfork_scheduling.cold_share import ColdBounds, cold_bounds
from millfork_scheduling.copies_ahead import keeps_copy_ahead
from millfork_scheduling.quarantine import TrialSchedule
from millfork_scheduling.server_table import ServerTable
from millfork_scheduling.slow_answers import SlowAnswers
from millfork_settings.seeded import SeededSettings, split_host_port
from millfork_web.exchange import Exchange
from millfork_web.models import Response
from millfork_web.problem import problem
from millfork_web.server import Server
from millfork_wire import messages
from millfork_wire.connection import Connection, PeerError
from millfork_wire.messages import Message
from millforkd.admin import Admin
from millforkd.document import find_new_document
from millforkd.evacuations import evacuated_since
from millforkd.proxy.admission import Admission
from millforkd.proxy.cache import PieceCache
from millforkd.proxy.connections import Pools
from millforkd.proxy.document_age import DocumentAge
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.proxy.forwarding import Forwarding
from millforkd.proxy.load_queries import LoadQueries
from millforkd.proxy.part_quarantine import PartQuarantine
from millforkd.proxy.part_trials import PartTrials
from millforkd.proxy.route_queries import RouteQueries
from millforkd.proxy.suspicion_reporter import SuspicionReporter
from millforkd.proxy.turned_away_directory import TurnedAwayDirectory
from millforkd.quarantine import Quarantine
from millforkd.seeded import build_feed, fleet_key
from millforkd.sidecar.origin import Origin, find_engine, find_origin
from millforkd.sidecar.pieces import WeightsId
from millforkd.sidecar.recorded_digests import RecordedDigests
from millforkd.sidecar.target import FIRST_VERSION

# How long the load balancer may send new requests to an entry that is stopping: it polls each
# second and removes an entry after two failed polls.
BALANCER_REMOVAL_S: Final = 2.5
# The part of a planned stop's grace period that is reserved for ending the process.
STOP_MARGIN_S: Final = 0.5
# The part of that time in which the requests that are still in progress get their final answers.
LAST_ANSWERS_S: Final = 0.2
HOUSEKEEPING_INTERVAL_S: Final = 0.5
# The timeout for passing the report of an endpoint daemon on to a replica. A lost report
# is followed by the daemon's next one: endpoint daemons report every 0.15 s.
REPORT_TIMEOUT_S: Final = 0.3
# The number of entries that is assumed until a replica has reported it: that of a large fleet.
DEFAULT_ENTRY_COUNT: Final = 380
# An entry that starts serves with a configuration that may lack acknowledged changes only this long
# after it received it. Replicas that all restarted elect a leader within this time.
LEADER_WAIT_S: Final = 3.0
# Within this many heartbeats, an entry learns whether a back end became cold: the heartbeat may
# come late, and the lease is then sent on by the feed.
HEARTBEATS_IN_DOUBT: Final = 3
# The greatest number of unknown regions that a log line names.
MAX_LOGGED_REGIONS: Final = 8

log = logger(Component.PROXY)


class ProxyDaemon:
    """
    Runs one entry: its servers for callers and peers, its subscription to the feed (the stream of
    registry updates from a replica) and its cache of pieces of weights.

    """

    def __init__(self, env: Environment, settings: SeededSettings, adapter: Adapter) -> None:
        assert settings.listen.callers is not None
        self.env = env
        self.settings = settings
        self.adapter = adapter
        promises = settings.promises
        feed = build_feed(env, settings, ENTRY_ROLE, self.handle)
        self.peers = feed.peers
        self.discovery = feed.discovery
        self.view = feed.view
        self.registry = feed.registry
        self.feed_client = feed.feed_client
        self.feed_relay = feed.feed_relay
        self.versions = feed.versions
        self.document_age = DocumentAge(env, self.feed_client, promises.config_apply_ms)
        self.admission = Admission(
            env, self.versions, lambda: self.feed_client.entries, self.document_age
        )
        self.server_table = ServerTable(
            env.zone,
            env.random,
            env.monotonic,
            lambda: self.feed_client.entries,
            self.peak_entries,
        )
        self.server_table.regions_by_zone = settings.regions_by_zone
        self.pools = Pools(env)
        self.budget = SharedBudget(
            promises.retry_ratio,
            promises.retry_slack,
            promises.retry_window_s,
            lambda: self.feed_client.peak_entries,
            env.monotonic,
            lambda: self.feed_client.connected,
        )
        fingerprints = Fingerprints(fleet_key(settings), lambda: self.view.cluster)
        self.turned_away = TurnedAwayDirectory(env, self.peers, self.discovery.caches, fingerprints)
        trials = TrialSchedule(env.random, env.monotonic, self.peak_entries)
        suspicion_store = self.registry.suspicion_store
        quarantine = Quarantine(suspicion_store, self.view, fingerprints, trials)
        self.part_trials = PartTrials(env, quarantine.listing, self.peers, self.discovery)
        slow = settings.slow_answers
        self.slow_answers = SlowAnswers(slow.extra_share, slow.min_delay_ms / 1000, env.monotonic)
        part_quarantine = PartQuarantine(
            suspicion_store, quarantine.listing, fingerprints, self.part_trials
        )
        self.forwarding = Forwarding(
            env,
            adapter,
            self.admission,
            self.server_table,
            self.pools,
            self.budget,
            quarantine,
            part_quarantine,
            self.turned_away,
            LoadQueries(env, self.peers, self.server_table),
            self.slow_answers,
        )
        self.suspicion_reporter = SuspicionReporter(
            env, self.peers, self.feed_client, self.registry.suspicion_store
        )
        self.document: Document | None = None
        # When the first document arrived (monotonic seconds); None before.
        self.first_document_at: float | None = None
        origin = Origin(
            env,
            adapter,
            str(settings.address),
            lambda: find_origin(self.document),
            lambda: find_engine(self.document),
        )
        self.cache = PieceCache(
            env,
            self.peers,
            origin,
            self.discovery.caches,
            RecordedDigests(self.view),
            self._piece_bytes,
        )
        self.server = Server(
            *split_host_port(settings.listen.callers),
            self.forwarding.answer,
            on_refusal=lambda reason: env.metrics.refused(reason, 'http'),
            spawn=env.spawn,
        )
        self.ready_server = None
        if settings.listen.ready is not None:
            self.ready_server = Server(
                *split_host_port(settings.listen.ready), self._answer_ready, spawn=env.spawn
            )
        self.admin = Admin(env, settings, self.is_ready)
        self.admin.show_evacuations(self.view, self.feed_client.knowledge_age_ms)
        self.admin.handlers['GET', 'route'] = RouteQueries(
            env,
            self.admission,
            self.server_table,
            self.registry,
            self.feed_client,
            part_quarantine,
        ).answer
        self.stopping = False
        self.document_revision = 0
        # The revision of the configuration whose evacuated zones were applied last.
        self.evacuations_revision = Revision(-1)
        # The registry's version of the leases that were last applied to the server table.
        self.applied_leases_version = -1
        # The registry's version of the endpoint reports that were last applied to the table.
        self.applied_reports_version = 0
        # The last logged number of retries within the window of the retry budget, by service.
        self.retries_logged: dict[ServiceName, int] = {}

    def peak_entries(self) -> int:
        """
        The highest recent number of entries in the fleet. Until a replica has reported it,
        DEFAULT_ENTRY_COUNT is assumed: if a low number were assumed, this entry would use up limits
        that all entries share.

        """
        return (
            self.feed_client.peak_entries if self.feed_client.entries_known else DEFAULT_ENTRY_COUNT
        )

    @property
    def in_progress(self) -> int:
        return self.server.in_progress

    def is_ready(self) -> bool:
        return self.admission.table is not None and not self.stopping

    async def start(self) -> None:
        """
        Start all tasks of the entry.

        """
        await self.env.spawn_essential(self.peers.listen)
        await self.env.spawn_essential(self.peers.ping_idle_connections)
        await self.env.spawn_essential(self.admin.run)
        await self.env.spawn_essential(self.feed_client.run)
        await self.env.spawn_essential(self.feed_relay.run)
        await self.env.spawn_essential(self._apply_changes)
        await self.env.spawn_essential(self.suspicion_reporter.run)
        await self.env.spawn_essential(self._run_housekeeping)
        if self.ready_server is not None:
            await self.env.spawn_essential(self.ready_server.run)
        await self.env.spawn_essential(self.server.run)

    async def reload(self, settings: SeededSettings) -> None:
        """
        Apply the settings that may change while the entry runs: the list of seeds, and the regions
        of the zones.

        """
        self.discovery.set_seeds(settings.seed_instances)
        self.server_table.regions_by_zone = settings.regions_by_zone

    async def drain(self) -> None:
        """
        Prepare a planned stop: wait until the load balancer sends no more requests, then until
        the requests in progress have ended, but not longer than the grace period allows.

        """
        self.stopping = True
        started = self.env.monotonic()
        limit_s = self.settings.promises.grace_s - STOP_MARGIN_S
        self.server.closing = True
        self.forwarding.stop.begin(started + limit_s)
        await curio.sleep(min(BALANCER_REMOVAL_S, limit_s))
        # A request that arrives from here on might not be answered before the entry stops.
        await self.server.stop_accepting()
        try:
            async with curio.timeout_after(limit_s - (self.env.monotonic() - started)):
                await self.server.wait_until_finished()
        except curio.TaskTimeout:
            self.env.metrics.count(self.env.metrics.requests, outcome='cut_off_by_deadline')
            log.warning('Stopping with {} requests in progress.', self.in_progress)
            await self._end_requests()

    async def _end_requests(self) -> None:
        """
        Answer the requests that are still in progress: those that were sent to a back end may have
        run, the others have not.

        """
        await self.forwarding.end_all()
        await self.server.finish_within(LAST_ANSWERS_S)

    async def _apply_changes(self) -> None:
        """
        The task that applies changes received from the feed.

        """
        while True:
            await self.feed_client.changed.wait()
            self.feed_client.changed.clear()
            applied = self.view.position
            self._apply_document()
            self._apply_routes()
            await self.document_age.set_position(applied)
            self._apply_evacuations()
            if self.view.cluster:
                self.versions.refresh()
            # Every message of the feed changes loads of back ends, but few messages change leases.
            if self.registry.leases.version != self.applied_leases_version:
                self.applied_leases_version = self.registry.leases.version
                # Reports on a new back end may have arrived before its lease.
                self.applied_reports_version = 0
                for server in self.server_table.apply_leases(self.registry.leases.values()):
                    await self.pools.remove(server)
            signals = self.server_table.apply_reports(
                self.registry.endpoints.changed_since(self.applied_reports_version)
            )
            for server, changes in signals:
                self.forwarding.attempt_runner.backpressure.record(
                    server, changes, SignalSource.DAEMON
                )
            self.applied_reports_version = self.registry.endpoints.version
            if self.admission.table is not None and self.server_table.servers:
                await self.admission.ready_event.set()

    def _apply_document(self) -> None:
        found = find_new_document(self.view, self.adapter, self.document_revision)
        if found is None:
            return
        document, self.document_revision = found
        self.document = document
        self._warn_of_unknown_regions(document)
        if self.first_document_at is None:
            self.first_document_at = self.env.monotonic()
        self.server.idle_timeout_s = document.limits.idle_timeout_ms / 1000
        self.server.max_body = document.limits.max_body_bytes

    def _warn_of_unknown_regions(self, document: Document) -> None:
        unknown = unknown_regions(document, self.server_table.regions_by_zone.values())
        if unknown:
            log.warning(
                'The document names unknown regions. version={} regions={}',
                document.version,
                ','.join(unknown[:MAX_LOGGED_REGIONS]),
            )

    def _apply_routes(self) -> None:
        """
        Serve by the newest document. Until this entry has had all changes that were acknowledged,
        or has waited for LEADER_WAIT_S, it serves nothing: it may lack the quarantine of a request
        that crashes back ends. Weights pass through it meanwhile.

        """
        document = self.document
        table = self.admission.table
        if document is None or self.first_document_at is None:
            return
        if table is None and not self.feed_client.was_current:
            if self.env.monotonic() < self.first_document_at + LEADER_WAIT_S:
                return
            log.warning('Serving although no replica was up to date. version={}', document.version)
        if table is None or table.document is not document:
            self.admission.table = RouteTable(document)
            self.slow_answers.forget_routes({route.name for route in document.routes})
            self.server_table.set_cold_bounds(self._cold_bounds(document))

    def _apply_evacuations(self) -> None:
        """
        Send no more requests to zones that are evacuated now. The back ends of a zone that is taken
        back may have become cold meanwhile, so they are treated as cold until their heartbeats say
        otherwise.

        """
        if self.view.revision == self.evacuations_revision:
            return
        self.evacuations_revision = self.view.revision
        before = self.server_table.evacuated_zones
        self.server_table.evacuated_zones = frozenset(evacuated_since(self.view))
        for zone in sorted(self.server_table.evacuated_zones - before):
            log.notice('Zone evacuated. zone={} revision={}', zone, self.view.revision)
        for zone in sorted(before - self.server_table.evacuated_zones):
            log.notice('Zone taken back. zone={} revision={}', zone, self.view.revision)
            heartbeat_s = self.settings.promises.heartbeat_ms / 1000
            self.server_table.doubt_zone(zone, HEARTBEATS_IN_DOUBT * heartbeat_s)

    def _cold_bounds(self, document: Document) -> dict[ServiceName, ColdBounds]:
        promises = self.settings.promises
        found = {}
        for service in document.services:
            bounds = cold_bounds(
                service.cold_requests_per_s,
                service.usual_cold_s,
                promises.cold_over,
                promises.cold_slack,
            )
            if bounds is not None:
                found[service.name] = bounds
        return found

    async def _run_housekeeping(self) -> None:
        while True:
            await curio.sleep(HOUSEKEEPING_INTERVAL_S)
            if self.admission.table is None:
                await self.feed_client.changed.set()
            await self.pools.close_old()
            self.env.metrics.unsent_bytes.set({}, self.server.unsent.total)
            self.env.metrics.body_bytes.set({}, self.server.body_memory.total)
            self.env.metrics.slow_readers.set({}, self.server.unsent.cut_off)
            for server in self.server_table.forget_lapsed_changes():
                log.warning('Reports of a changing engine ended. server={}', server.instance)
            self.budget.count_entries()
            self.registry.suspicion_store.forget_expired()
            await self.registry.suspicion_store.publish_overdue()
            self.part_trials.refresh()
            self._log_retries()
            await self._keep_weights_ahead()

    def _engine(self) -> EngineSpec | None:
        """
        The spec of the engines in the document, or None.

        """
        services = self.document.services if self.document is not None else ()
        return next((service.engine for service in services if service.engine), None)

    def _piece_bytes(self) -> int:
        engine = self._engine()
        return engine.piece_bytes if engine is not None else 0

    async def _keep_weights_ahead(self) -> None:
        """
        Fetch this entry's part of the zone's copy of the first weights, before engines are added.
        Only when the whole fleet starts: another copy for each restart of an entry would cost bytes
        between regions. Later versions pass through the caches as they are rolled out; fetching
        them ahead as well made the origin send eight copies.

        """
        document = self.document
        if document is None or not self.settings.first_start:
            return
        engine = self._engine()
        min_copy_s = self.settings.weights.ahead_min_copy_s
        if engine is not None and keeps_copy_ahead(engine, find_origin(document), min_copy_s):
            if self.versions.newest(engine.model) > FIRST_VERSION:
                self.cache.ahead = None
                return
            await self.cache.keep_ahead(WeightsId(engine.model, FIRST_VERSION))

    def _log_retries(self) -> None:
        for service in list(self.budget.windows):
            share = self.budget.current_share(service)
            if share.spent == self.retries_logged.get(service, 0):
                continue
            self.retries_logged[service] = share.spent
            log.info(
                'Repeats. service={} spent={} allowed={:.1f} requests={} entries={}',
                service,
                share.spent,
                share.allowed,
                share.requests,
                share.entries,
            )

    async def _answer_ready(self, exchange: Exchange) -> None:
        if not self.adapter.is_readiness_check(exchange.request):
            await exchange.respond(problem(Refusal(Reason.NOT_FOUND)))
            return
        if not self.is_ready():
            await exchange.respond(problem(Refusal(Reason.NOT_READY)))
            return
        await exchange.respond(Response(200))

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        """
        Handle a peer's message; returns the answer, None if the message has none.

        """
        if await self.feed_client.handle_feed_message(connection.peer, message):
            return None
        reply: Message | None = await self.on(message, connection)
        return reply

    @singledispatchmethod
    async def on(self, message: Message, connection: Connection) -> Message | None:
        self.env.metrics.count(self.env.metrics.wire, event='unexpected')
        return None

    @on.register
    async def _(self, message: messages.AskFeed, connection: Connection) -> Message:
        return await self.feed_relay.answer(connection, message)

    @on.register
    async def _(self, message: messages.EndpointReport, connection: Connection) -> Message:
        """
        Pass a report on to a replica, for an endpoint daemon that can't reach the replicas.
        Answers `Done(False)` if this entry can't reach the replica that it follows either.

        """
        if not self.feed_client.connected:
            return messages.Done(False)
        replica = address_of(str(self.feed_client.source))
        try:
            return await self.peers.call(replica, message, REPORT_TIMEOUT_S)
        except PeerError as error:
            log.info('A report of {} was not passed on: {}.', connection.peer, error)
            return messages.Done(False)

    @on.register
    async def _(self, message: messages.SuspicionReport, connection: Connection) -> Message:
        """
        Record suspicions (which requests may crash back ends) for an entry that can't reach the
        replicas. Suspicions that are new to this entry are reported to a replica.

        """
        try:
            suspicions = decode_suspicions(message.body)
        except msgspec.DecodeError as error:
            log.warning('Suspicions of {} cannot be decoded: {}.', connection.peer, error)
            return messages.Done(False)
        for suspicion in suspicions:
            await self.registry.suspicion_store.record(suspicion)
        return messages.Done(True)

    @on.register
    async def _(self, message: messages.GetManifest, connection: Connection) -> Message:
        return await self.cache.on_get_manifest(message)

    @on.register
    async def _(self, message: messages.GetChunk, connection: Connection) -> Message:
        return await self.cache.on_get_chunk(message)

    @on.register
    async def _(self, message: messages.NoteTurnedAway, connection: Connection) -> None:
        self.turned_away.on_note(message)

    @on.register
    async def _(self, message: messages.AskTurnedAway, connection: Connection) -> Message:
        return self.turned_away.on_ask(message)
