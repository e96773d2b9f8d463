"""
An entry that reaches back ends directly.

"""

from functools import singledispatchmethod
from typing import Final

import curio
import msgspec

from millfork_adapter.adapter import Adapter
from millfork_core.environment import Environment
from millfork_core.ids import ServiceName
from millfork_core.logs import Part, logger
from millfork_core.verdicts import Reason, Refusal
from millfork_registry.discovery import address_of
from millfork_registry.roles import ENTRY_ROLE
from millfork_registry.suspects import decode_suspicions
from millfork_routing.budget import SharedBudget
from millfork_routing.documents import Document
from millfork_routing.routes import RouteTable
from millfork_scheduling.availability import ToldBy
from millfork_scheduling.book import ServerBook
from millfork_scheduling.quarantine import Trials
from millfork_settings.seeded import SeededSettings, socket_pair
from millfork_web.models import Response
from millfork_web.problem import problem
from millfork_web.server import Exchange, Server
from millfork_wire import messages
from millfork_wire.connection import Connection, PeerError
from millfork_wire.messages import Message
from millforkd.admin import Admin
from millforkd.document import document_in
from millforkd.proxy.admission import Admission
from millforkd.proxy.asking import LoadQuestions
from millforkd.proxy.cache import PieceCache
from millforkd.proxy.connections import Pools
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.proxy.forwarding import Forwarding
from millforkd.proxy.recall import Recall
from millforkd.proxy.suspicions import SuspicionTeller
from millforkd.quarantine import Quarantine
from millforkd.seeded import feed_for, fleet_key
from millforkd.sidecar.origin import Origin, find_origin

# The balancer asks each second and needs two misses to look away.
BALANCER_LOOKS_AWAY_S: Final = 2.5
# Of the time that a planned stop has, left for the end itself.
STOP_MARGIN_S: Final = 0.5
DRAIN_POLL_S: Final = 0.05
HOUSEKEEPING_S: Final = 0.5
# For a report that is passed on to a replica; the next one follows in 0.15 s.
REPORT_TIMEOUT_S: Final = 0.3
# The entries of a large fleet.
UNTOLD_ENTRIES: Final = 380

log = logger(Part.PROXY)


class ProxyDaemon:
    """
    One entry instance.

    """

    def __init__(self, env: Environment, settings: SeededSettings, adapter: Adapter) -> None:
        assert settings.listen.callers is not None
        self.env = env
        self.settings = settings
        self.adapter = adapter
        promises = settings.promises
        feed = feed_for(env, settings, ENTRY_ROLE, self.handle)
        self.peers = feed.peers
        self.discovery = feed.discovery
        self.view = feed.view
        self.registry = feed.registry
        self.following = feed.following
        self.relaying = feed.relaying
        self.versions = feed.versions
        self.admission = Admission(env, self.versions, lambda: self.following.entries)
        self.book = ServerBook(
            env.zone,
            env.random,
            env.monotonic,
            lambda: self.following.entries,
            self.most_entries,
        )
        self.pools = Pools(env)
        self.budget = SharedBudget(
            promises.retry_ratio,
            promises.retry_slack,
            promises.retry_window_s,
            lambda: self.following.most_entries,
            env.monotonic,
            lambda: self.following.connected,
        )
        fingerprints = Fingerprints(fleet_key(settings), lambda: self.view.cluster)
        self.recall = Recall(env, self.peers, self.discovery.caches, fingerprints)
        trials = Trials(env.random, env.monotonic, self.most_entries)
        self.forwarding = Forwarding(
            env,
            adapter,
            self.admission,
            self.book,
            self.pools,
            self.budget,
            Quarantine(self.registry.suspects, self.view, fingerprints, trials),
            self.recall,
            LoadQuestions(env, self.peers, self.book),
        )
        self.suspicions = SuspicionTeller(env, self.peers, self.following, self.registry.suspects)
        self.document: Document | None = None
        origin = Origin(env, adapter, str(settings.address), lambda: find_origin(self.document))
        self.cache = PieceCache(env, self.peers, origin, self.discovery.caches)
        self.server = Server(
            *socket_pair(settings.listen.callers),
            self.forwarding.answer,
            on_refusal=lambda reason: env.metrics.refused(reason, 'http'),
            spawn=env.spawn,
        )
        self.ready_server = None
        if settings.listen.ready is not None:
            self.ready_server = Server(
                *socket_pair(settings.listen.ready), self._answer_ready, spawn=env.spawn
            )
        self.admin = Admin(env, settings, self.is_ready)
        self.stopping = False
        self.document_revision = 0
        # The change of leases that the book has.
        self.leases_taken = -1
        # The change of reports that the book has.
        self.reports_taken = 0
        # The repeats within the window that were last logged, by service.
        self.repeats_logged: dict[ServiceName, int] = {}

    def most_entries(self) -> int:
        """
        The most entries known lately; many before any replica told, as this entry would else
        take the whole of a limit for its share.

        """
        return self.following.most_entries if self.following.entries_told else UNTOLD_ENTRIES

    @property
    def in_progress(self) -> int:
        return self.server.active

    def is_ready(self) -> bool:
        return self.admission.table is not None and not self.stopping

    async def start(self) -> None:
        """
        Start all tasks of the entry.

        """
        await self.env.keep(self.peers.listen)
        await self.env.keep(self.peers.probe_idle)
        await self.env.keep(self.admin.run)
        await self.env.keep(self.following.run)
        await self.env.keep(self.relaying.keep)
        await self.env.keep(self._take_changes)
        await self.env.keep(self.suspicions.keep)
        await self.env.keep(self._keep_house)
        if self.ready_server is not None:
            await self.env.keep(self.ready_server.run)
        await self.env.keep(self.server.run)

    async def reload(self, settings: SeededSettings) -> None:
        """
        Take changed settings: other seeds.

        """
        self.discovery.take_seeds(settings.seed_instances)

    async def drain(self) -> None:
        """
        A planned stop: out of the balancer first, then the end of what is in
        progress.

        """
        self.stopping = True
        started = self.env.monotonic()
        limit_s = self.settings.promises.grace_s - STOP_MARGIN_S
        self.server.closing = True
        await curio.sleep(min(BALANCER_LOOKS_AWAY_S, limit_s))
        # From here on, what comes could not be promised an answer in time.
        await self.server.stop_accepting()
        while self.server.active and self.env.monotonic() - started < limit_s:
            await curio.sleep(DRAIN_POLL_S)
        if self.server.active:
            self.env.metrics.count(self.env.metrics.requests, outcome='cut_off_by_deadline')
            log.warning('Stopping with {} requests in progress.', self.server.active)

    async def _take_changes(self) -> None:
        """
        The task that puts what the feed brought into force.

        """
        while True:
            await self.following.changed.wait()
            self.following.changed.clear()
            self._take_document()
            if self.view.cluster:
                self.versions.refresh()
            # Loads change with each message of the feed, leases seldom.
            if self.registry.leases.version != self.leases_taken:
                self.leases_taken = self.registry.leases.version
                # A back end that is new here may have been reported on before.
                self.reports_taken = 0
                for server in self.book.take_leases(self.registry.leases.values()):
                    await self.pools.drop(server)
            told = self.book.take_reports(self.registry.endpoints.since(self.reports_taken))
            for server, changes in told:
                self.forwarding.backpressure.note(server, changes, ToldBy.DAEMON)
            self.reports_taken = self.registry.endpoints.version
            if self.admission.table is not None and self.book.servers:
                await self.admission.begun.set()

    def _take_document(self) -> None:
        found = document_in(self.view, self.adapter, self.document_revision)
        if found is None:
            return
        document, self.document_revision = found
        self.document = document
        self.admission.table = RouteTable(document)
        self.server.idle_timeout_s = document.limits.idle_timeout_ms / 1000
        self.server.max_body = document.limits.max_body_bytes

    async def _keep_house(self) -> None:
        while True:
            await curio.sleep(HOUSEKEEPING_S)
            await self.pools.close_old()
            self.budget.count_entries()
            self.registry.suspects.forget_old()
            await self.registry.suspects.publish_old()
            self._log_repeats()

    def _log_repeats(self) -> None:
        for service in list(self.budget.windows):
            part = self.budget.part(service)
            if part.spent == self.repeats_logged.get(service, 0):
                continue
            self.repeats_logged[service] = part.spent
            log.info(
                'Repeats. service={} spent={} allowed={:.1f} requests={} entries={}',
                service,
                part.spent,
                part.allowed,
                part.requests,
                part.entries,
            )

    async def _answer_ready(self, exchange: Exchange) -> None:
        if not self.adapter.is_ready_call(exchange.request):
            await exchange.respond(problem(Refusal(Reason.NOT_FOUND)))
            return
        if not self.is_ready():
            await exchange.respond(problem(Refusal(Reason.NOT_READY)))
            return
        await exchange.respond(Response(200))

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        """
        Answer a peer's message.

        """
        if await self.following.take(connection.peer, message):
            return None
        reply: Message | None = await self.on(message, connection)
        return reply

    @singledispatchmethod
    async def on(self, message: Message, connection: Connection) -> Message | None:
        self.env.metrics.count(self.env.metrics.wire, event='unexpected')
        return None

    @on.register
    async def _(self, message: messages.AskFeed, connection: Connection) -> Message:
        return await self.relaying.answer(connection, message)

    @on.register
    async def _(self, message: messages.EndpointReport, connection: Connection) -> Message:
        """
        An endpoint daemon is cut off from the replicas: pass its report on.

        """
        if not self.following.connected:
            return messages.Done(False)
        replica = address_of(str(self.following.source))
        try:
            return await self.peers.call(replica, message, REPORT_TIMEOUT_S)
        except PeerError as error:
            log.info('A report of {} was not passed on: {}.', connection.peer, error)
            return messages.Done(False)

    @on.register
    async def _(self, message: messages.SuspicionReport, connection: Connection) -> Message:
        """
        An entry is cut off from the replicas: take what it knows, and pass it on.

        """
        try:
            told = decode_suspicions(message.body)
        except msgspec.DecodeError as error:
            log.warning('Suspicions of {} can not be read: {}.', connection.peer, error)
            return messages.Done(False)
        for suspicion in told:
            await self.registry.suspects.note(suspicion)
        return messages.Done(True)

    @on.register
    async def _(self, message: messages.GetManifest, connection: Connection) -> Message:
        return await self.cache.manifest(message)

    @on.register
    async def _(self, message: messages.GetChunk, connection: Connection) -> Message:
        return await self.cache.chunk(message)

    @on.register
    async def _(self, message: messages.NoteTurnedAway, connection: Connection) -> None:
        self.recall.on_note(message)

    @on.register
    async def _(self, message: messages.AskTurnedAway, connection: Connection) -> Message:
        return self.recall.on_ask(message)
