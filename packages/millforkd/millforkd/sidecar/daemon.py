"""
The endpoint daemon, which runs beside one engine of a seeded fleet (one whose processes start
from a few replica addresses).

"""

from functools import singledispatchmethod
from typing import Final

import curio
import msgspec

from millfork_adapter.adapter import Adapter
from millfork_adapter.exchange import NO_BACKPRESSURE, EngineReport
from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_registry.discovery import address_of
from millfork_registry.records import EndpointState, HeldVersion, ServedVersion
from millfork_registry.roles import ENDPOINT_ROLE
from millfork_routing.documents import Document, EngineSpec
from millfork_settings.seeded import SeededSettings, split_host_port
from millfork_web.client import Client
from millfork_weights.links import Link
from millfork_wire import messages
from millfork_wire.connection import Connection, PeerError
from millfork_wire.messages import Chunk, Done, EndpointReport, Manifest, Message
from millforkd.admin import Admin
from millforkd.document import find_new_document
from millforkd.proposer import Proposer
from millforkd.seeded import build_feed
from millforkd.sidecar.engine import LocalEngine
from millforkd.sidecar.expiry import ExpiryWatcher
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.gathering import PieceGatherer
from millforkd.sidecar.layer_assignment import serves_all_layers
from millforkd.sidecar.load import EngineLoads
from millforkd.sidecar.origin import Origin, find_engine, find_origin
from millforkd.sidecar.pieces import (
    PieceSet,
    PieceStore,
    WeightsId,
    encode_digests,
    parse_weights_id,
)
from millforkd.sidecar.pushing import PiecePusher
from millforkd.sidecar.recorded_digests import DigestRecorder, RecordedDigests
from millforkd.sidecar.rollout import Rollout
from millforkd.sidecar.target import Target, TargetChooser

# Pause between two reports of this daemon, in seconds. An engine starts and finishes about two
# requests in this time.
REPORT_INTERVAL_S: Final = 0.15
# Timeout of sending a report and receiving the answer, in seconds.
REPORT_TIMEOUT_S: Final = 0.5
# Timeout of a call to record digests, in seconds.
PROPOSAL_TIMEOUT_S: Final = 0.9
# Share of the link's rate that weight transfers may use. The rest is left for the engine's
# requests and answers, which take about 3% of a link of 3.65 Mbit/s at full load.
TRANSFER_SHARE: Final = 0.94
# A daemon that is asked for digests which it has not received yet waits for them for at most
# this many seconds before it answers.
DIGESTS_WAIT_S: Final = 1.0
# No report is sent for at most this many seconds after the start while the state that an earlier
# process announced may still arrive. Entries then use the engine as they did before.
ANNOUNCED_STATE_WAIT_S: Final = 1.0
# Shorter pauses of this process are not logged, in seconds. They don't make a staged piece stale.
MIN_PAUSE_S: Final = 0.5
BITS_PER_MBIT: Final = 1_000_000
# The rate assumed for a link without a configured rate: 10 Gbit/s.
UNLIMITED_BYTES_PER_S: Final = 1_250_000_000

log = logger(Component.ENDPOINT)


class SidecarDaemon:
    """
    One endpoint daemon: its tasks and the handlers of messages from other processes.

    """

    def __init__(self, env: Environment, settings: SeededSettings, adapter: Adapter) -> None:
        assert settings.beside is not None
        self.env = env
        self.settings = settings
        self.adapter = adapter
        self.service = settings.beside.service
        self.engine_address = split_host_port(settings.beside.address)
        feed = build_feed(env, settings, ENDPOINT_ROLE, self.handle)
        self.peers = feed.peers
        self.discovery = feed.discovery
        self.view = feed.view
        self.registry = feed.registry
        self.feed_client = feed.feed_client
        self.feed_relay = feed.feed_relay
        self.link = Link(_link_bytes_per_s(settings), TRANSFER_SHARE, True, env.monotonic)
        self.engine = LocalEngine(
            adapter, Client(*self.engine_address, source=str(settings.address))
        )
        self.store = PieceStore()
        self.fleet = Fleet(env, self.service, self.states, self._state, self._model_shape)
        self.pusher = PiecePusher(env, self.peers, self.fleet.origin_fetchers, self.link.outbound)
        origin = Origin(
            env,
            adapter,
            str(settings.address),
            lambda: find_origin(self.document),
            lambda: find_engine(self.document),
        )
        recorded = RecordedDigests(self.view)
        self.digest_recorder = DigestRecorder(
            env, recorded, self.store, Proposer(self.peers, self.discovery, PROPOSAL_TIMEOUT_S)
        )
        self.gatherer = PieceGatherer(
            env,
            self.peers,
            self.fleet,
            origin,
            self.discovery.caches,
            self.pusher,
            self.link,
            recorded,
        )
        self.targets = TargetChooser(
            env,
            feed.versions,
            self.store,
            self._served_version,
            self.link.rate,
        )
        self.rollout = Rollout(
            env,
            self.engine,
            self.store,
            self.gatherer,
            self.fleet,
            self._current_target,
            self._send_report,
        )
        self.rollout.checks.awaits_announced = self._awaits_announced
        self.loads = EngineLoads(env, self.engine, lambda: self.rollout.report is not None)
        self.expiry = ExpiryWatcher(env, self.engine, self.store, self.rollout)
        self.admin = Admin(env, settings, lambda: bool(self.view.cluster))
        self.document: Document | None = None
        self.document_revision = 0

    @property
    def in_progress(self) -> int:
        return 0

    async def start(self) -> None:
        """
        Start all tasks of the endpoint daemon.

        """
        await self.env.spawn_essential(self.peers.listen)
        await self.env.spawn_essential(self.peers.ping_idle_connections)
        await self.env.spawn_essential(self.admin.run)
        await self.env.spawn_essential(self.feed_client.run)
        await self.env.spawn_essential(self.feed_relay.run)
        await self.env.spawn_essential(self._report_periodically)
        await self.env.spawn_essential(self.rollout.run)
        await self.env.spawn_essential(self.expiry.run)
        await self.env.spawn_essential(self.digest_recorder.run)
        await self.env.spawn_essential(self._log_pauses)

    async def reload(self, settings: SeededSettings) -> None:
        """
        Apply changed settings. Only the seeds (the replica addresses at which this process starts
        to look for replicas) can change at run time.

        """
        self.discovery.set_seeds(settings.seed_instances)

    async def drain(self) -> None:
        """
        Return at once: this daemon runs no requests that a planned stop would have to wait for.

        """

    def states(self) -> list[EndpointState]:
        """
        The last known states of the endpoint daemons of all services.

        """
        return list(self.registry.endpoints.values())

    # The target version.

    def _engine_spec(self) -> EngineSpec | None:
        found = find_new_document(self.view, self.adapter, self.document_revision)
        if found is not None:
            self.document, self.document_revision = found
        if self.document is None:
            return None
        for service in self.document.services:
            if service.name == self.service:
                return service.engine
        return None

    def _model_shape(self) -> tuple[int, int]:
        spec = self._engine_spec()
        return (spec.layers, spec.pieces) if spec is not None else (0, 0)

    def _current_target(self) -> Target | None:
        spec = self._engine_spec()
        if spec is None or not spec.model:
            return None
        return self.targets.choose(spec)

    def _served_version(self) -> int:
        return max((item.version for item in self.rollout.served), default=0)

    # The engine's state.

    async def _report_periodically(self) -> None:
        while True:
            report = await self.engine.report()
            if (report is None) != (self.rollout.report is None):
                log.notice('The engine {}.', 'is silent' if report is None else 'answers')
            self._log_backpressure(report)
            self.rollout.record_report(report)
            await self._send_report()
            await curio.sleep(REPORT_INTERVAL_S)

    async def _log_pauses(self) -> None:
        """
        Log the pauses in which this process did not run: it was stopped or suspended, or had no
        processor time.

        """
        while True:
            slept_at = self.env.monotonic()
            await curio.sleep(REPORT_INTERVAL_S)
            paused_s = self.env.monotonic() - slept_at - REPORT_INTERVAL_S
            if paused_s >= MIN_PAUSE_S:
                log.warning('This process was paused. seconds={:.1f}', paused_s)

    def _log_backpressure(self, report: EngineReport | None) -> None:
        if report is None:
            return
        last = self.rollout.report
        before = last.backpressure if last is not None else NO_BACKPRESSURE
        if report.backpressure == before:
            return
        log.notice('The engine reports backpressure: {}', report.backpressure)

    async def _send_report(self) -> None:
        """
        Send this daemon's state to the process from which this daemon receives the feed (the
        stream of registry updates): a replica, or another daemon that passes the state on. The
        state is not sent while there is no such process.

        """
        source = self.feed_client.report_target
        if not source or self._awaits_announced():
            return
        body = msgspec.msgpack.encode(self._state())
        try:
            await self.peers.call(address_of(source), EndpointReport(body), REPORT_TIMEOUT_S)
        except PeerError as error:
            log.debug('The report could not be sent to {}: {}.', source, error)

    def _awaits_announced(self) -> bool:
        """
        Whether the state that an earlier process of this daemon announced last is still to arrive.
        A report of this process would replace it.

        """
        if not self.rollout.state.loaded.inherited or self.registry.is_complete:
            return False
        return self.env.monotonic() - self.rollout.checks.started_at < ANNOUNCED_STATE_WAIT_S

    def _state(self) -> EndpointState:
        report = self.rollout.report
        served = self.rollout.served
        host, port = self.engine_address
        return EndpointState(
            str(self.env.instance),
            self.service,
            str(self.env.zone),
            host,
            port,
            int(self.env.monotonic() * 1000),
            '',
            report is not None,
            report.running if report is not None else 0,
            report.queued if report is not None else 0,
            report.tokens_used if report is not None else 0,
            report.tokens_total if report is not None else 0,
            report.pace if report is not None else 1.0,
            served,
            self._held_versions(served),
            self.rollout.announced_version,
            self.rollout.goal,
            self.rollout.incarnation,
            report.backpressure.limit_per_s if report is not None else None,
            report.backpressure.leaving if report is not None else False,
        )

    def _held_versions(self, served: tuple[ServedVersion, ...]) -> tuple[HeldVersion, ...]:
        """
        The pieces that other daemons can fetch from this one: for each version in memory, the
        longest run of consecutive pieces; and, unless the engine is changing its version, all
        pieces of a version of which the engine serves all layers, since these pieces are still
        staged at the engine.

        """
        held = []
        for weights, pieces in self.store.sets.items():
            first, end = pieces.longest_run()
            if end > first:
                held.append(HeldVersion(weights.model, weights.version, first, end))
        layers, _ = self._model_shape()
        if not self.rollout.changing_to and layers:
            held += [
                HeldVersion(item.model, item.version)
                for item in served
                if item.is_complete(layers)
                and not self._holds_whole(WeightsId(item.model, item.version))
                and not self.rollout.loader.staging.holds_other(WeightsId(item.model, item.version))
            ]
        return tuple(held)

    def _holds_whole(self, weights: WeightsId) -> bool:
        held = self.store.find(weights)
        return held is not None and held.whole

    # Messages from peers.

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        """
        Handle one message of a peer, and return the reply; None if the message has no reply.

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
    async def _(self, message: messages.AskLoad, connection: Connection) -> Message:
        return await self.loads.current_load()

    @on.register
    async def _(self, message: messages.GetManifest, connection: Connection) -> Message:
        weights = self._weights_id(message.digest, connection)
        if weights is None:
            return Manifest()
        held = (
            self.store.get_or_create(weights)
            if self._is_target(weights)
            else self.store.find(weights)
        )
        if held is not None and not held.digests:
            await self._wait_for_digests(held)
        if held is None or not held.digests:
            return Manifest()
        return Manifest(True, encode_digests(held.digests), held.whole)

    async def _wait_for_digests(self, held: PieceSet) -> None:
        try:
            async with curio.timeout_after(DIGESTS_WAIT_S):
                while not held.digests:
                    await held.arrived.wait()
        except curio.TaskTimeout:
            pass

    @on.register
    async def _(self, message: messages.GetChunk, connection: Connection) -> Message:
        weights = self._weights_id(message.manifest, connection)
        data = await self._find_piece(weights, message.index) if weights is not None else None
        if data is None:
            return Chunk(reason='not here')
        await self.link.outbound.acquire(len(data))
        self.env.metrics.count(self.env.metrics.chunk_bytes, len(data), source='sent')
        return Chunk(True, data)

    @on.register
    async def _(self, message: messages.PushChunk, connection: Connection) -> Message:
        weights = self._weights_id(message.manifest, connection)
        if weights is None or not self._is_wanted(weights):
            return Done(False)
        held = self.store.get_or_create(weights)
        if message.index in held.pieces:
            self.env.metrics.count(self.env.metrics.chunks, source='pushed', outcome='again')
            return Done(True)
        self.link.inbound.record_bytes(len(message.data))
        good = await held.put(message.index, message.data)
        outcome = 'good' if good else 'corrupt'
        self.env.metrics.count(self.env.metrics.chunks, source='pushed', outcome=outcome)
        if not good:
            log.warning(
                'Piece {} of {} from {} does not match its digest.',
                message.index,
                weights,
                connection.peer,
            )
        return Done(good)

    def _weights_id(self, text: str, connection: Connection) -> WeightsId | None:
        try:
            return parse_weights_id(text)
        except ValueError as error:
            log.warning('{} sent an invalid weights id: {}.', connection.peer, error)
            return None

    def _is_wanted(self, weights: WeightsId) -> bool:
        """
        Whether this daemon accepts pieces of a version: the version is the target, or a newer
        version of the same model, of which this daemon may not know yet.

        """
        target = self.targets.current
        return target is not None and (
            weights.model == target.weights.model and weights.version >= target.weights.version
        )

    async def _find_piece(self, weights: WeightsId, index: int) -> bytes | None:
        held = self.store.find(weights)
        if held is not None and index in held.pieces:
            return held.pieces[index]
        if self._engine_serves(weights):
            return await self.engine.read_staged(weights.model, index)
        return None

    def _is_target(self, weights: WeightsId) -> bool:
        return self.targets.current is not None and self.targets.current.weights == weights

    def _engine_serves(self, weights: WeightsId) -> bool:
        """
        Whether the pieces staged at the engine belong to this version: the engine serves all
        layers of the version and is not changing to another one.

        """
        layers, _ = self._model_shape()
        served = self.rollout.served
        is_replaced = self.rollout.changing_to or self.rollout.loader.staging.holds_other(weights)
        return not is_replaced and serves_all_layers(served, weights, layers)


def _link_bytes_per_s(settings: SeededSettings) -> int:
    mbps = settings.promises.transfer_mbps
    return int(mbps * BITS_PER_MBIT / 8) if mbps else UNLIMITED_BYTES_PER_S
