"""
The endpoint: the one process in an instance's slot.

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
from millfork_weights.links import Link
from millfork_weights.sharing import Sharing
from millfork_weights.store import WeightStore
from millfork_wire import messages
from millfork_wire.connection import Connection
from millfork_wire.messages import Message, Report
from millforkd.endpoint.door import Door
from millforkd.endpoint.engine import Engine
from millforkd.endpoint.rollout import Rollout
from millforkd.member import Member
from millforkd.report import EndpointReport

POLL_INTERVAL_S: Final = 5.0
WATCH_S: Final = 0.25
WEIGHTS_FOLDER: Final = 'weights'
SHARE_STEPS: Final = 8

log = logger(Component.ENDPOINT)


class EndpointDaemon:
    """
    One endpoint instance.

    """

    def __init__(self, env: Environment, settings: Settings) -> None:
        assert settings.backend is not None
        self.env = env
        self.settings = settings
        self.member = Member(env, settings, self.handle, POLL_INTERVAL_S)
        host = str(settings.address)
        proposals = LeaderClient(env, self.member.peers, self.member.replicas, None)
        self.door = Door(env, settings.backend, host, proposals)
        self.store: WeightStore | None = None
        self.sharing: Sharing | None = None
        self.rollout: Rollout | None = None
        if settings.backend.kind is BackendKind.ENGINE:
            self._build_weights(settings)
        self.stopping = False
        self.told_leaving = False
        self.incarnation = time.time_ns()
        self.sequence = 0
        self.shares_from: object = None
        self.reported = EndpointReport()
        self.member.peers.closed_hooks.append(self.door.on_closed)

    def _build_weights(self, settings: Settings) -> None:
        assert settings.data_folder is not None and settings.backend is not None
        link = Link(
            settings.link.bytes_per_s,
            settings.link.transfer_share,
            settings.link.both_directions_together,
            self.env.monotonic,
        )
        self.store = WeightStore(settings.data_folder / WEIGHTS_FOLDER)
        self.sharing = Sharing(self.env, self.store, link)
        engine = Engine(self.env, settings.backend, str(settings.address))
        self.door.ends.ask = engine.incarnation
        self.rollout = Rollout(
            self.env,
            settings,
            self.member.view,
            self.member.roster,
            self.member.peers,
            self.store,
            link,
            self.door,
            engine,
        )

    @property
    def in_progress(self) -> int:
        return self.door.in_progress

    async def start(self) -> None:
        """
        Start all tasks of the endpoint.

        """
        await self.member.start()
        await self.env.spawn_essential(self.door.report_load)
        await self.env.spawn_essential(self._watch)
        if self.rollout is not None:
            await self.env.spawn_essential(self._keep_rollout)

    async def _keep_rollout(self) -> None:
        assert self.rollout is not None
        while not self.member.ready_check():
            await curio.sleep(WATCH_S)
        await self.rollout.keep()

    async def drain(self) -> None:
        """
        A planned stop: no new work, then wait for what is in progress.

        """
        self.stopping = True
        await self.door.set_leaving(True)
        timeout = self.settings.routing.drain_ms / 1000
        if not await self.door.wait_until_idle(timeout):
            self.env.metrics.count(self.env.metrics.requests, outcome='cut_off_by_deadline')
            log.warning('Drain deadline: {} requests are cut off.', self.door.in_progress)

    async def _watch(self) -> None:
        """
        The task that follows drains and shares, and reports upwards.

        """
        while True:
            await self.door.set_leaving(self._is_leaving())
            self._learn_shares()
            await self._report()
            await curio.sleep(WATCH_S)

    def _is_leaving(self) -> bool:
        facts = self.member.roster.instances.get(self.env.instance)
        listed = facts is not None and facts.leaving
        drained = f'{DRAINS}{self.env.instance}' in self.member.view.items
        return self.stopping or self.told_leaving or listed or drained

    def _learn_shares(self) -> None:
        if self.shares_from == self.member.view.position:
            return
        self.shares_from = self.member.view.position
        shares = {}
        for key, value in self.member.view.values_with_prefix(ORGANISATIONS).items():
            name = OrganisationId(key.removeprefix(ORGANISATIONS))
            shares[name] = decode(value, Organisation).share
        self.door.shares = shares

    async def _report(self) -> None:
        report = EndpointReport(self._shares_held(), dict(self.door.served), self.door.leaving)
        if report == self.reported:
            return
        self.reported = report
        self.sequence += 1
        body = msgspec.json.encode(report)
        await self.member.reports.merge(
            [Report(self.env.instance, self.incarnation, self.sequence, body)]
        )

    def _shares_held(self) -> dict[str, float]:
        """
        The share of each wanted version held, in coarse steps: progress
        must not cost a message for each chunk.

        """
        if self.rollout is None or self.store is None:
            return {}
        shares = {}
        for deployment in self.rollout.wanted.values():
            held = [self.store.holdings.get(part.manifest) for part in deployment.parts]
            share = min(holding.share if holding else 0.0 for holding in held)
            shares[deployment.version] = int(share * SHARE_STEPS) / SHARE_STEPS
        return shares

    # Messages of peers.

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        """
        Answer a peer's message.

        """
        reply: Message | None = await self.on(message, connection)
        return reply

    @singledispatchmethod
    async def on(self, message: Message, connection: Connection) -> Message | None:
        self.env.metrics.count(self.env.metrics.wire, event='unexpected')
        return None

    @on.register
    async def _(self, message: messages.Reserve, connection: Connection) -> Message:
        return await self.door.on_reserve(connection, message)

    @on.register
    async def _(self, message: messages.Start, connection: Connection) -> None:
        await self.door.on_start(connection, message)

    @on.register
    async def _(self, message: messages.Cancel, connection: Connection) -> Message:
        return await self.door.on_cancel(connection, message)

    @on.register
    async def _(self, message: messages.Load, connection: Connection) -> Message:
        return await self.door.on_load_asked(connection)

    @on.register
    async def _(self, message: messages.Leaving, connection: Connection) -> None:
        if message.instance == self.env.instance:
            self.told_leaving = True
            await self.door.set_leaving(True)

    @on.register
    async def _(self, message: messages.GetManifest, connection: Connection) -> Message | None:
        return await self.sharing.on_get_manifest(message) if self.sharing else None

    @on.register
    async def _(self, message: messages.GetChunk, connection: Connection) -> Message | None:
        return await self.sharing.on_get_chunk(message) if self.sharing else None
