"""
The daemon of an entry: serves callers and operators, and connects to endpoints.

"""

import time
from functools import singledispatchmethod
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal
from millfork_registry.suspicion_store import SuspicionStore
from millfork_settings.loading import read_secret
from millfork_settings.models import Settings
from millfork_state.leader_client import LeaderClient
from millfork_state.message_handler import StateMessageHandler
from millfork_state.node import StateNode
from millfork_state.replica import Replica
from millfork_state.storage import Storage
from millfork_web.exchange import Exchange
from millfork_web.problem import problem
from millfork_web.server import Server
from millfork_weights.origin import Origin
from millfork_wire import messages
from millfork_wire.connection import Connection
from millfork_wire.messages import Message
from millforkd.entry.access_control import AccessControl
from millforkd.entry.attempts import CANCEL_TIMEOUT_S
from millforkd.entry.caller_requests import CallerRequests
from millforkd.entry.crash_tracking import CrashTracker
from millforkd.entry.dispatcher import Dispatcher
from millforkd.entry.endpoint_connections import EndpointConnections
from millforkd.entry.key_claims import KeyClaims
from millforkd.entry.operator_requests import CONTROL_PREFIX, OperatorRequests
from millforkd.entry.suspicion_gossip import SuspicionGossip
from millforkd.member import Member
from millforkd.replica.quarantine import QuarantineList

ROSTER_POLL_INTERVAL_S: Final = 1.5
STATE_FOLDER: Final = 'state'
# Time that the load balancer gets to notice that this entry is no longer ready.
BALANCER_GRACE_S: Final = 1.0
DRAIN_POLL_INTERVAL_S: Final = 0.05
# Time after the drain in which the requests that are still in progress get their final answers. An
# endpoint has CANCEL_TIMEOUT_S to say whether it ran a request.
LAST_ANSWERS_S: Final = CANCEL_TIMEOUT_S + 0.2
EXPIRY_INTERVAL_S: Final = 0.5

log = logger(Component.ENTRY)


class EntryDaemon:
    """
    Builds the components of one entry and passes requests and peers' messages to them.

    """

    def __init__(self, env: Environment, settings: Settings) -> None:
        self.env = env
        self.settings = settings
        self.member = Member(env, settings, self.handle, ROSTER_POLL_INTERVAL_S)
        self.node = self._build_node() if settings.is_replica else None
        self.state_messages = StateMessageHandler(self.node) if self.node is not None else None
        view = self.member.view
        token_file = settings.admin_token_file
        self.access_control = AccessControl(view, read_secret(token_file) if token_file else None)
        origin = settings.weights.origin
        self.leader_client = LeaderClient(env, self.member.peers, self.member.replicas, self.node)
        self.endpoints = EndpointConnections(
            env, view, self.member.roster, self.member.peers, settings.routing.subset
        )
        self.crashes = CrashTracker(
            env,
            read_secret(settings.fleet_key_file),
            view,
            lambda: max(len(self.member.roster.all_entries()), 1),
        )
        suspicion_store = self.crashes.suspicion_store
        self.suspicion_gossip = SuspicionGossip(
            env, self.member.peers, self.member.roster, suspicion_store
        )
        self.dispatcher = Dispatcher(env, settings.routing, self.endpoints, self.crashes)
        self.endpoints.endpoint_reached_hooks.append(self.crashes.apply_endpoint_start)
        self.caller_requests = CallerRequests(
            env,
            settings.routing,
            view,
            self.access_control,
            self.dispatcher,
            KeyClaims(env, self.leader_client),
            self.member.subscription.age_ms,
        )
        self.quarantine_list = self._build_quarantine_list(suspicion_store)
        self.operator_requests = OperatorRequests(
            env,
            view,
            self.member.roster,
            self.member.reports,
            self.access_control,
            self.leader_client,
            Origin(*origin.pair, str(settings.address)) if origin else None,
        )
        self.server = Server(
            str(settings.address),
            settings.ports.callers,
            self._answer,
            on_refusal=lambda reason: env.metrics.refused(reason, 'http'),
            spawn=env.spawn,
        )
        self.refuses_new_requests = False
        self.member.ready_check = self._is_ready
        self.member.peers.closed_hooks += [self.endpoints.on_closed, self.dispatcher.on_closed]

    def _build_node(self) -> StateNode:
        assert self.settings.data_folder is not None
        replica = Replica(
            self.env,
            self.settings.state,
            Storage(self.settings.data_folder / STATE_FOLDER),
            self.member.view,
            self.member.peers,
            self.member.replicas,
        )
        return StateNode(replica, self.member.reports)

    def _build_quarantine_list(self, suspicion_store: SuspicionStore) -> QuarantineList | None:
        node = self.node
        if node is None:
            return None
        return QuarantineList(
            self.env,
            self.member.view,
            suspicion_store,
            self.leader_client,
            lambda: node.leads,
            lambda: int(time.time() * 1000),
        )

    @property
    def in_progress(self) -> int:
        return self.server.in_progress

    async def start(self) -> None:
        """
        Start all tasks of the entry. If this instance keeps a replica of the state, the replica
        first recovers from its disk.

        """
        if self.node is not None:
            await self.node.replica.recover()
            self.member.subscription.replica = self.node.replica
        await self.member.start()
        if self.node is not None:
            await self.env.spawn_essential(self.node.run)
            await self.env.spawn_essential(self.node.take_snapshots)
        if self.quarantine_list is not None:
            await self.env.spawn_essential(self.quarantine_list.run)
        await self.env.spawn_essential(self.suspicion_gossip.run)
        await self.env.spawn_essential(self._expire_suspicions)
        await self.env.spawn_essential(self.endpoints.run)
        await self.env.spawn_essential(self.server.run)

    async def drain(self) -> None:
        """
        Prepare for a planned stop: report that this entry is not ready, give the load balancer
        BALANCER_GRACE_S to stop sending requests, then refuse new ones and wait up to
        `routing.drain_ms` for those in progress. Connections are accepted until none is in
        progress. Requests that are in progress even then are refused.

        """
        self.server.closing = True
        self.member.ready_check = lambda: False
        await curio.sleep(BALANCER_GRACE_S)
        self.refuses_new_requests = True
        try:
            async with curio.timeout_after(self.settings.routing.drain_ms / 1000):
                while self.server.active:
                    await curio.sleep(DRAIN_POLL_INTERVAL_S)
                await self.server.stop_accepting()
                await self.server.wait_until_finished()
        except curio.TaskTimeout:
            self.env.metrics.count(self.env.metrics.requests, outcome='cut_off_by_deadline')
            log.warning('Drain deadline: {} requests are cut off.', self.in_progress)
            await self._end_requests()

    async def _end_requests(self) -> None:
        """
        Answer the requests that are still in progress; the answer tells whether they may have run.

        """
        await self.server.stop_accepting()
        await self.dispatcher.end_all()
        await self.server.finish_within(LAST_ANSWERS_S)

    def _is_ready(self) -> bool:
        return (
            self.member.is_ready()
            and self.endpoints.all_dialled
            and self.suspicion_gossip.has_asked_others
        )

    async def _answer(self, exchange: Exchange) -> None:
        if self.refuses_new_requests:
            await self._refuse(exchange, Reason.STOPPING)
            return
        if exchange.request.path.startswith(CONTROL_PREFIX):
            await self.operator_requests.handle(exchange)
            return
        if not self._is_ready():
            await self._refuse(exchange, Reason.NOT_READY)
            return
        await self.caller_requests.handle(exchange)

    async def _refuse(self, exchange: Exchange, reason: Reason) -> None:
        self.env.metrics.refused(reason, 'entry')
        await exchange.respond(problem(Refusal(reason, detail='ask another entry')))

    async def _expire_suspicions(self) -> None:
        while True:
            await curio.sleep(EXPIRY_INTERVAL_S)
            await self.crashes.expire()

    # Messages of peers.

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        """
        Handle a peer's message. Return the reply, or None if the message gets no reply.

        """
        reply: Message | None = await self.on(message, connection)
        return reply

    @singledispatchmethod
    async def on(self, message: Message, connection: Connection) -> Message | None:
        reply = (
            await self.state_messages.handle(message) if self.state_messages is not None else None
        )
        if reply is not None:
            return reply
        self.env.metrics.count(self.env.metrics.wire, event='unexpected')
        return None

    @on.register(messages.Head)
    @on.register(messages.Part)
    @on.register(messages.End)
    async def _(
        self, message: messages.Head | messages.Part | messages.End, connection: Connection
    ) -> None:
        await self.dispatcher.on_event(connection, message)

    @on.register
    async def _(self, message: messages.BackEndFate, connection: Connection) -> None:
        await self.crashes.apply_back_end_status(message)

    @on.register
    async def _(self, message: messages.SuspicionReport, connection: Connection) -> Message:
        return await self.suspicion_gossip.apply_report(connection, message)

    @on.register
    async def _(self, message: messages.AskSuspicions, connection: Connection) -> Message:
        return self.suspicion_gossip.list_suspicions()

    @on.register
    async def _(self, message: messages.Load, connection: Connection) -> None:
        self.endpoints.apply_load(connection, message)
