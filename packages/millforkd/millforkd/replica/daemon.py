"""
A replica that serves no callers: it keeps the state and the leases.

"""

import time
from functools import singledispatchmethod
from typing import Final

import curio
import msgspec

from millfork_adapter.adapter import Adapter
from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.discovery import Discovery
from millfork_registry.followers import Followers
from millfork_registry.records import decode_state
from millfork_registry.registry import Change, Registry
from millfork_registry.suspects import decode_suspicions
from millfork_settings.seeded import SeededSettings, socket_pair
from millfork_state.formation import Seeds
from millfork_state.leader_client import LeaderClient
from millfork_state.message_handler import StateMessageHandler
from millfork_state.node import StateNode
from millfork_state.replica import Replica, ReplicaState
from millfork_state.reports import Reports
from millfork_state.storage import open_storage
from millfork_state.view import View
from millfork_web.server import Server
from millfork_wire import messages
from millfork_wire.connection import Connection
from millfork_wire.messages import Done, Message, VersionSwitch
from millforkd.admin import Admin
from millforkd.replica.control import Control
from millforkd.replica.mesh import Mesh
from millforkd.replica.quarantine import QuarantineList
from millforkd.seeded import peers_for
from millforkd.versions import Versions

STATE_FOLDER: Final = 'state'
# A leader gives way before it stops, so that the others need not wait for
# its silence.
STOP_PAUSE_S: Final = 0.1
# Versions are looked for this often, should the word of a change be missed.
LEARN_AFTER_S: Final = 0.15
# How long one call to the leader may take.
LEADER_TIMEOUT_S: Final = 0.8

log = logger(Part.STATE)


class ReplicaDaemon:
    """
    One replica.

    """

    def __init__(self, env: Environment, settings: SeededSettings, adapter: Adapter) -> None:
        assert settings.data_folder is not None
        assert settings.listen.control is not None
        self.env = env
        self.settings = settings
        heartbeat_s = settings.promises.heartbeat_ms / 1000
        self.peers = peers_for(env, settings, self.handle)
        self.discovery = Discovery(env, self.peers, settings.seed_instances)
        self.replica = Replica(
            env,
            settings.state,
            open_storage(settings.data_folder / STATE_FOLDER),
            View(),
            self.peers,
            [],
        )
        seeds = list(self.discovery.seeds)
        is_seed = str(env.instance) in settings.seed_instances
        self.node = StateNode(
            self.replica, Reports(), Seeds(seeds, settings.first_start and is_seed)
        )
        for address in seeds:
            self.replica.add_address(address)
        self.answers = StateMessageHandler(self.node)
        self.registry = Registry(env, heartbeat_s)
        self.followers = Followers(env, self.replica, self.registry)
        self.mesh = Mesh(
            env,
            self.peers,
            self.replica,
            self.registry,
            self.discovery,
            self.followers,
            heartbeat_s,
            self._switches,
        )
        self.versions = Versions(
            env,
            self.replica.view,
            settings.promises.version_ms,
            self.mesh.switch_ends,
            untold_ms=0,
            leads=self._leads,
            arrived=self.replica.arrival_times.find,
        )
        self.proposals = LeaderClient(
            env, self.peers, self.replica.others, self.node, LEADER_TIMEOUT_S
        )
        self.quarantine = QuarantineList(
            env,
            self.replica.view,
            self.registry.suspects,
            self.proposals,
            self._leads,
            lambda: int(time.time() * 1000),
        )
        self.control = Control(
            env,
            adapter,
            self.replica.view,
            self.registry,
            self.followers,
            self.mesh,
            self.proposals,
        )
        self.server = Server(
            *socket_pair(settings.listen.control), self.control.answer, spawn=env.spawn
        )
        self.admin = Admin(env, settings, self.is_ready)

    def _leads(self) -> bool:
        return self.replica.state is ReplicaState.LEADER

    def _switches(self) -> list[VersionSwitch]:
        if not self.replica.cluster:
            return []
        self.versions.refresh()
        return self.versions.switches()

    async def _learn_versions(self) -> None:
        """
        The task that notes when a version was named: its end counts from there.

        """
        view = self.replica.view
        while True:
            mark = view.position
            if self.replica.cluster:
                self.versions.refresh()
            await view.wait_for_change(mark, LEARN_AFTER_S)

    @property
    def in_progress(self) -> int:
        return self.server.active

    def is_ready(self) -> bool:
        return bool(self.replica.cluster)

    async def start(self) -> None:
        """
        Start all tasks of the replica.

        """
        await self.replica.recover()
        await self.env.keep(self.peers.listen)
        await self.env.keep(self.peers.probe_idle)
        await self.env.keep(self.admin.run)
        await self.env.keep(self.mesh.keep)
        await self.env.keep(self.followers.wake_on_configuration)
        await self.env.keep(self._learn_versions)
        await self.env.keep(self.quarantine.keep)
        await self.env.keep(self.node.run)
        await self.env.keep(self.node.take_snapshots)
        await self.env.keep(self.server.run)

    async def reload(self, settings: SeededSettings) -> None:
        """
        Take changed settings: other seeds.

        """
        self.discovery.take_seeds(settings.seed_instances)

    async def drain(self) -> None:
        """
        A planned stop: give up leading, end the calls in progress.

        """
        self.server.closing = True
        async with self.replica.lock:
            await self.replica.step_down()
            self.replica.disk_failed_at = self.env.monotonic()
        while self.server.active:
            await curio.sleep(STOP_PAUSE_S)

    # Messages of peers.

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        """
        Answer a peer's message.

        """
        reply: Message | None = await self.on(message, connection)
        return reply

    @singledispatchmethod
    async def on(self, message: Message, connection: Connection) -> Message | None:
        reply = await self.answers.handle(message)
        if reply is not None:
            return reply
        self.env.metrics.count(self.env.metrics.wire, event='unexpected')
        return None

    @on.register
    async def _(self, message: messages.FindReplicas, connection: Connection) -> Message:
        return self.mesh.on_find(message, connection.hello.zone)

    @on.register
    async def _(self, message: messages.Follow, connection: Connection) -> Message:
        await self.followers.add(connection, message)
        return Done(True)

    @on.register
    async def _(self, message: messages.Leases, connection: Connection) -> Message:
        await self.mesh.on_leases(connection.peer, message)
        return Done(True)

    @on.register
    async def _(self, message: messages.SuspicionReport, connection: Connection) -> Message:
        try:
            told = decode_suspicions(message.body)
        except msgspec.DecodeError as error:
            log.warning('Suspicions of {} can not be read: {}.', connection.peer, error)
            return Done(False)
        if await self.registry.suspects.hear(told):
            await self.followers.wake()
        return Done(True)

    @on.register
    async def _(self, message: messages.EndpointReport, connection: Connection) -> Message:
        try:
            state = decode_state(message.body)
        except msgspec.DecodeError as error:
            log.warning('A report of {} can not be read: {}.', connection.peer, error)
            return Done(False)
        mine = msgspec.structs.replace(state, owner=str(self.env.instance))
        if self.registry.take_endpoint(mine) is Change.CHANGED:
            await self.followers.wake()
        return Done(True)
