"""
The daemon of an endpoint, which admits requests to the back end of its instance.

"""

import time
from functools import singledispatchmethod
from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import OrganisationId
from millfork_core.logs import Component, logger
from millfork_settings.models import BackendKind, Settings
from millfork_state.config import DRAINS, ORGANISATIONS, Organisation, decode
from millfork_state.leader_client import LeaderClient
from millfork_weights.chunk_server import ChunkServer
from millfork_weights.links import Link
from millfork_weights.store import WeightStore
from millfork_wire import messages
from millfork_wire.connection import Connection
from millfork_wire.messages import Message, Report
from millforkd.endpoint.backend_gateway import BackendGateway
from millforkd.endpoint.engine_client import EngineClient
from millforkd.endpoint.rollout import Rollout
from millforkd.member import Member
from millforkd.report import EndpointReport

ROSTER_POLL_INTERVAL_S: Final = 5.0
UPDATE_INTERVAL_S: Final = 0.25
WEIGHTS_FOLDER: Final = 'weights'
SHARE_STEPS: Final = 8

log = logger(Component.ENDPOINT)


class EndpointDaemon:
    """
    Builds the components of one endpoint and passes peers' messages to them.

    """

    def __init__(self, env: Environment, settings: Settings) -> None:
        assert settings.backend is not None
        self.env = env
        self.settings = settings
        self.member = Member(env, settings, self.handle, ROSTER_POLL_INTERVAL_S)
        host = str(settings.address)
        leader_client = LeaderClient(env, self.member.peers, self.member.replicas, None)
        self.gateway = BackendGateway(env, settings.backend, host, leader_client)
        self.store: WeightStore | None = None
        self.chunk_server: ChunkServer | None = None
        self.rollout: Rollout | None = None
        if settings.backend.kind is BackendKind.ENGINE:
            self._build_weights(settings)
        self.stopping = False
        self.notified_leaving = False
        self.incarnation = time.time_ns()
        self.sequence = 0
        self.shares_position: object = None
        self.last_report = EndpointReport()
        self.member.peers.closed_hooks.append(self.gateway.on_closed)

    def _build_weights(self, settings: Settings) -> None:
        assert settings.data_folder is not None and settings.backend is not None
        link = Link(
            settings.link.bytes_per_s,
            settings.link.transfer_share,
            settings.link.both_directions_together,
            self.env.monotonic,
        )
        self.store = WeightStore(settings.data_folder / WEIGHTS_FOLDER)
        self.chunk_server = ChunkServer(self.env, self.store, link)
        engine = EngineClient(self.env, settings.backend, str(settings.address))
        self.gateway.incarnations.query_incarnation = engine.query_incarnation
        self.rollout = Rollout(
            self.env,
            settings,
            self.member.view,
            self.member.roster,
            self.member.peers,
            self.store,
            link,
            self.gateway,
            engine,
        )

    @property
    def in_progress(self) -> int:
        return self.gateway.in_progress

    async def start(self) -> None:
        """
        Start all tasks of the endpoint.

        """
        await self.member.start()
        await self.env.spawn_essential(self.gateway.report_load)
        await self.env.spawn_essential(self._update_periodically)
        if self.rollout is not None:
            await self.env.spawn_essential(self._run_rollout)

    async def _run_rollout(self) -> None:
        """
        Run the rollout once this instance is ready, so that the instance never loads or serves
        weights by an older configuration than the newest one known in its zone.

        """
        assert self.rollout is not None
        while not self.member.ready_check():
            await curio.sleep(UPDATE_INTERVAL_S)
        await self.rollout.run()

    async def drain(self) -> None:
        """
        Prepare for a planned stop: refuse new requests and wait up to `routing.drain_ms` for
        those in progress.

        """
        self.stopping = True
        await self.gateway.set_leaving(True)
        timeout = self.settings.routing.drain_ms / 1000
        if not await self.gateway.wait_until_idle(timeout):
            self.env.metrics.count(self.env.metrics.requests, outcome='cut_off_by_deadline')
            log.warning('Drain deadline: {} requests are cut off.', self.gateway.in_progress)

    async def _update_periodically(self) -> None:
        """
        Every UPDATE_INTERVAL_S, update whether this endpoint is leaving and the organisations'
        shares of its slots, and report the state of this endpoint if it changed.

        """
        while True:
            await self.gateway.set_leaving(self._is_leaving())
            self._update_shares()
            await self._report()
            await curio.sleep(UPDATE_INTERVAL_S)

    def _is_leaving(self) -> bool:
        facts = self.member.roster.instances.get(self.env.instance)
        listed = facts is not None and facts.leaving
        drained = f'{DRAINS}{self.env.instance}' in self.member.view.items
        return self.stopping or self.notified_leaving or listed or drained

    def _update_shares(self) -> None:
        if self.shares_position == self.member.view.position:
            return
        self.shares_position = self.member.view.position
        shares = {}
        for key, value in self.member.view.values_with_prefix(ORGANISATIONS).items():
            name = OrganisationId(key.removeprefix(ORGANISATIONS))
            shares[name] = decode(value, Organisation).share
        self.gateway.shares = shares

    async def _report(self) -> None:
        report = EndpointReport(
            self._held_shares(), dict(self.gateway.served), self.gateway.leaving
        )
        if report == self.last_report:
            return
        self.last_report = report
        self.sequence += 1
        body = msgspec.json.encode(report)
        await self.member.reports.merge(
            [Report(self.env.instance, self.incarnation, self.sequence, body)]
        )

    def _held_shares(self) -> dict[str, float]:
        """
        Return, for each wanted version, the share of its weights that this instance holds: the
        lowest share among the version's parts, rounded down to a multiple of 1 / SHARE_STEPS so
        that not every chunk causes a report.

        """
        if self.rollout is None or self.store is None:
            return {}
        shares = {}
        for deployment in self.rollout.wanted_deployments.values():
            held = [self.store.stored_versions.get(part.manifest) for part in deployment.parts]
            share = min(stored.share if stored else 0.0 for stored in held)
            shares[deployment.version] = int(share * SHARE_STEPS) / SHARE_STEPS
        return shares

    # Messages of peers.

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        """
        Handle a peer's message. Return the reply, or None if the message gets no reply.

        """
        reply: Message | None = await self.on(message, connection)
        return reply

    @singledispatchmethod
    async def on(self, message: Message, connection: Connection) -> Message | None:
        self.env.metrics.count(self.env.metrics.wire, event='unexpected')
        return None

    @on.register
    async def _(self, message: messages.Reserve, connection: Connection) -> Message:
        return await self.gateway.on_reserve(connection, message)

    @on.register
    async def _(self, message: messages.Start, connection: Connection) -> None:
        await self.gateway.on_start(connection, message)

    @on.register
    async def _(self, message: messages.Cancel, connection: Connection) -> Message:
        return await self.gateway.on_cancel(connection, message)

    @on.register
    async def _(self, message: messages.Load, connection: Connection) -> Message:
        return await self.gateway.subscribe_to_load(connection)

    @on.register
    async def _(self, message: messages.Leaving, connection: Connection) -> None:
        if message.instance == self.env.instance:
            self.notified_leaving = True
            await self.gateway.set_leaving(True)

    @on.register
    async def _(self, message: messages.GetManifest, connection: Connection) -> Message | None:
        return await self.chunk_server.on_get_manifest(message) if self.chunk_server else None

    @on.register
    async def _(self, message: messages.GetChunk, connection: Connection) -> Message | None:
        return await self.chunk_server.on_get_chunk(message) if self.chunk_server else None
