"""
The daemon of a replica, which keeps the replicated state and the leases, and serves no callers.

"""

import time
from functools import singledispatchmethod
from typing import Final

import curio
import msgspec

from millfork_adapter.adapter import Adapter
from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_registry.discovery import Discovery
from millfork_registry.followers import Followers
from millfork_registry.records import decode_state
from millfork_registry.registry import RecordChange, Registry
from millfork_registry.suspicions import decode_suspicions
from millfork_settings.seeded import SeededSettings, split_host_port
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
from millforkd.replica.departures import Departures
from millforkd.replica.digest_retention import DigestRetention
from millforkd.replica.entry_count import EntryCountFile
from millforkd.replica.evacuations import Evacuations
from millforkd.replica.quarantine import QuarantineList
from millforkd.replica.replica_links import ReplicaLinks
from millforkd.seeded import build_peers
from millforkd.versions import VersionTracker

STATE_FOLDER: Final = 'state'
# How long a stopping replica waits for calls in progress. Callers wait about a second for an answer
# and then ask another replica, and the process must end within its grace period.
DRAIN_TIMEOUT_S: Final = 4.0
# How long a stopping replica waits until it is removed from the voters. An election may have to end
# before.
LEAVE_TIMEOUT_S: Final = 3.0
# The longest pause between two checks for new model versions, in case a notification of a change of
# the configuration is missed.
VERSION_CHECK_PERIOD_S: Final = 0.15
# Timeout of one call to the leader.
LEADER_TIMEOUT_S: Final = 0.8

log = logger(Component.STATE)


class ReplicaDaemon:
    """
    Builds the parts of one replica, starts their tasks and answers the messages of peers.

    """

    def __init__(self, env: Environment, settings: SeededSettings, adapter: Adapter) -> None:
        assert settings.data_folder is not None
        assert settings.listen.control is not None
        self.env = env
        self.settings = settings
        heartbeat_s = settings.promises.heartbeat_ms / 1000
        self.peers = build_peers(env, settings, self.handle)
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
        self.state_messages = StateMessageHandler(self.node)
        self.registry = Registry(env, heartbeat_s)
        self.followers = Followers(env, self.replica, self.registry)
        env.metrics.updaters += [self.node.update_metrics, self.followers.update_metrics]
        self.entry_count = EntryCountFile(settings.data_folder, self.followers)
        self.replica_links = ReplicaLinks(
            env,
            self.peers,
            self.replica,
            self.registry,
            self.discovery,
            self.followers,
            heartbeat_s,
            self._list_switches,
        )
        self.versions = VersionTracker(
            env,
            self.replica.view,
            settings.promises.version_ms,
            self.replica_links.version_cutoffs,
            unknown_cutoff_ms=0,
            leads=self._leads,
            arrived_at=self.replica.arrival_times.find,
        )
        self.leader_client = LeaderClient(
            env, self.peers, self.replica.others, self.node, LEADER_TIMEOUT_S
        )
        self.quarantine = QuarantineList(
            env,
            self.replica.view,
            self.registry.suspicion_store,
            self.leader_client,
            self._leads,
            _now_ms,
        )
        self.departures = Departures(
            env,
            self.replica.view,
            self.registry,
            self.followers,
            self.leader_client,
            self._leads,
            _now_ms,
        )
        self.digest_retention = DigestRetention(
            env, self.replica.view, self.leader_client, self._leads
        )
        self.control = Control(
            env,
            adapter,
            self.replica.view,
            self.registry,
            self.followers,
            self.replica_links,
            self.leader_client,
            Evacuations(env, self.registry, self.leader_client, settings.regions_by_zone),
            self.departures,
        )
        self.server = Server(
            *split_host_port(settings.listen.control), self.control.answer, spawn=env.spawn
        )
        self.admin = Admin(env, settings, self.is_ready)
        self.admin.show_evacuations(self.replica.view, self.replica.age_ms)
        for method in ('POST', 'DELETE'):
            self.admin.handlers[method, 'evacuations'] = self.control.evacuations.answer

    def _leads(self) -> bool:
        return self.replica.state is ReplicaState.LEADER

    def _list_switches(self) -> list[VersionSwitch]:
        if not self.replica.cluster:
            return []
        self.versions.refresh()
        return self.versions.switches()

    async def _record_new_versions(self) -> None:
        """
        Task that records when the configuration sets a model version. The cutoff, from which
        requests may no longer begin on older versions, comes a fixed time later.

        """
        view = self.replica.view
        while True:
            position = view.position
            if self.replica.cluster:
                self.versions.refresh()
            await view.wait_for_change(position, VERSION_CHECK_PERIOD_S)

    @property
    def in_progress(self) -> int:
        return self.server.in_progress

    def is_ready(self) -> bool:
        return bool(self.replica.cluster)

    async def start(self) -> None:
        """
        Recover the replica's state from disk and start all tasks of the replica.

        """
        await self.replica.recover()
        self.entry_count.load()
        await self.env.spawn_essential(self.peers.listen)
        await self.env.spawn_essential(self.peers.ping_idle_connections)
        await self.env.spawn_essential(self.admin.run)
        await self.env.spawn_essential(self.replica_links.run)
        await self.env.spawn_essential(self.followers.wake_on_configuration)
        await self.env.spawn_essential(self._record_new_versions)
        await self.env.spawn_essential(self.entry_count.run)
        await self.env.spawn_essential(self.quarantine.run)
        await self.env.spawn_essential(self.departures.run)
        await self.env.spawn_essential(self.digest_retention.run)
        await self.env.spawn_essential(self.node.run)
        await self.env.spawn_essential(self.node.take_snapshots)
        await self.env.spawn_essential(self.server.run)

    async def reload(self, settings: SeededSettings) -> None:
        """
        Apply the settings that may change while the replica runs: the list of seeds, and the zones.

        """
        self.discovery.set_seeds(settings.seed_instances)
        self.control.evacuations.regions_by_zone = settings.regions_by_zone

    async def drain(self) -> None:
        """
        Prepare a planned stop: this replica leaves the voters if the others are enough, and if it
        leads, it steps down, so that the other replicas needn't wait for an election timeout.
        Returns once no calls are in progress, or after DRAIN_TIMEOUT_S.

        """
        self.server.closing = True
        has_left = await self.replica.leave(LEAVE_TIMEOUT_S)
        log.notice('Stopping. has_left_voters={} voters={}', has_left, len(self.replica.members))
        async with self.replica.lock:
            await self.replica.step_down()
            # Like a replica whose disk failed, this replica then doesn't stand for election for one
            # election timeout.
            self.replica.disk_failed_at = self.env.monotonic()
        await self.server.stop_accepting()
        try:
            async with curio.timeout_after(DRAIN_TIMEOUT_S):
                await self.server.wait_until_finished()
        except curio.TaskTimeout:
            log.warning('Stopping with {} calls in progress.', self.in_progress)

    # Messages of peers.

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        """
        Handle a peer's message. Returns the reply, or None if there is none.

        """
        reply: Message | None = await self.on(message, connection)
        return reply

    @singledispatchmethod
    async def on(self, message: Message, connection: Connection) -> Message | None:
        reply = await self.state_messages.handle(message)
        if reply is not None:
            return reply
        self.env.metrics.count(self.env.metrics.wire, event='unexpected')
        return None

    @on.register
    async def _(self, message: messages.FindReplicas, connection: Connection) -> Message:
        return self.replica_links.on_find(message, connection.hello.zone)

    @on.register
    async def _(self, message: messages.Follow, connection: Connection) -> Message:
        await self.followers.add(connection, message)
        return Done(True)

    @on.register
    async def _(self, message: messages.Leases, connection: Connection) -> Message:
        self.entry_count.learn(message.most_entries)
        await self.replica_links.on_leases(connection.peer, message)
        return Done(True)

    @on.register
    async def _(self, message: messages.SuspicionReport, connection: Connection) -> Message:
        try:
            suspicions = decode_suspicions(message.body)
        except msgspec.DecodeError as error:
            log.warning('Cannot decode suspicions from {}: {}.', connection.peer, error)
            return Done(False)
        if await self.registry.suspicion_store.merge(suspicions):
            await self.followers.wake()
        return Done(True)

    @on.register
    async def _(self, message: messages.EndpointReport, connection: Connection) -> Message:
        try:
            state = decode_state(message.body)
        except msgspec.DecodeError as error:
            log.warning('Cannot decode a report from {}: {}.', connection.peer, error)
            return Done(False)
        state_owned_here = msgspec.structs.replace(state, owner=str(self.env.instance))
        if self.registry.merge_endpoint_state(state_owned_here) is RecordChange.CHANGED:
            await self.followers.wake()
        return Done(True)


def _now_ms() -> int:
    return int(time.time() * 1000)
