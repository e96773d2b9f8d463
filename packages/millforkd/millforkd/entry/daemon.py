"""
The entry: callers on one side, endpoints on the other, operators above.

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
from millfork_web.problem import problem
from millfork_web.server import Exchange, Server
from millfork_weights.origin import Origin
from millfork_wire import messages
from millfork_wire.connection import Connection
from millfork_wire.messages import Message
from millforkd.entry.access import Access
from millforkd.entry.book import EndpointBook
from millforkd.entry.callers import Callers
from millforkd.entry.claims import Claims
from millforkd.entry.crashes import Crashes
from millforkd.entry.dispatch import Dispatch
from millforkd.entry.operators import PREFIX, Operators
from millforkd.entry.spreading import SuspicionSpreading
from millforkd.member import Member
from millforkd.replica.quarantine import QuarantineList

POLL_INTERVAL_S: Final = 1.5
STATE_FOLDER: Final = 'state'
# Time for the balancer to see that this entry is not ready any more.
BALANCER_GRACE_S: Final = 1.0
DRAIN_POLL_S: Final = 0.05
HOUSEKEEPING_S: Final = 0.5

log = logger(Component.ENTRY)


class EntryDaemon:
    """
    One entry instance.

    """

    def __init__(self, env: Environment, settings: Settings) -> None:
        self.env = env
        self.settings = settings
        self.member = Member(env, settings, self.handle, POLL_INTERVAL_S)
        self.node = self._build_node() if settings.is_replica else None
        self.answers = StateMessageHandler(self.node) if self.node is not None else None
        view = self.member.view
        token_file = settings.admin_token_file
        self.access = Access(view, read_secret(token_file) if token_file else None)
        origin = settings.weights.origin
        self.proposals = LeaderClient(env, self.member.peers, self.member.replicas, self.node)
        self.book = EndpointBook(
            env, view, self.member.roster, self.member.peers, settings.routing.subset
        )
        self.crashes = Crashes(
            env,
            read_secret(settings.fleet_key_file),
            view,
            lambda: max(len(self.member.roster.all_entries()), 1),
        )
        suspects = self.crashes.suspects
        self.spreading = SuspicionSpreading(env, self.member.peers, self.member.roster, suspects)
        self.dispatch = Dispatch(env, settings.routing, self.book, self.crashes)
        self.book.connected_hooks.append(self.crashes.on_endpoint)
        self.callers = Callers(
            env,
            settings.routing,
            view,
            self.access,
            self.dispatch,
            Claims(env, self.proposals),
        )
        self.quarantine = self._build_quarantine(suspects)
        self.operators = Operators(
            env,
            view,
            self.member.roster,
            self.member.reports,
            self.access,
            self.proposals,
            Origin(*origin.pair, str(settings.address)) if origin else None,
        )
        self.server = Server(
            str(settings.address),
            settings.ports.callers,
            self._answer,
            on_refusal=lambda reason: env.metrics.refused(reason, 'http'),
            spawn=env.spawn,
        )
        self.refusing = False
        self.member.ready_check = self._is_ready
        self.member.peers.closed_hooks += [self.book.on_closed, self.dispatch.on_closed]

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

    def _build_quarantine(self, suspects: SuspicionStore) -> QuarantineList | None:
        node = self.node
        if node is None:
            return None
        return QuarantineList(
            self.env,
            self.member.view,
            suspects,
            self.proposals,
            lambda: node.leads,
            lambda: int(time.time() * 1000),
        )

    @property
    def in_progress(self) -> int:
        return self.server.active

    async def start(self) -> None:
        """
        Start all tasks of the entry.

        """
        if self.node is not None:
            await self.node.replica.recover()
            self.member.subscription.replica = self.node.replica
        await self.member.start()
        if self.node is not None:
            await self.env.spawn_essential(self.node.run)
            await self.env.spawn_essential(self.node.take_snapshots)
        if self.quarantine is not None:
            await self.env.spawn_essential(self.quarantine.run)
        await self.env.spawn_essential(self.spreading.keep)
        await self.env.spawn_essential(self._keep_house)
        await self.env.spawn_essential(self.book.keep)
        await self.env.spawn_essential(self.server.run)

    async def drain(self) -> None:
        """
        A planned stop: let the balancer look away, refuse what is new, wait
        for what is in progress, at most the time the settings give.

        """
        self.server.closing = True
        self.member.ready_check = lambda: False
        await curio.sleep(BALANCER_GRACE_S)
        self.refusing = True
        try:
            async with curio.timeout_after(self.settings.routing.drain_ms / 1000):
                while self.server.active:
                    await curio.sleep(DRAIN_POLL_S)
        except curio.TaskTimeout:
            self.env.metrics.count(self.env.metrics.requests, outcome='cut_off_by_deadline')
            log.warning('Drain deadline: {} requests are cut off.', self.server.active)

    def _is_ready(self) -> bool:
        return self.member.is_ready() and self.book.settled and self.spreading.learned

    async def _answer(self, exchange: Exchange) -> None:
        if self.refusing:
            await self._refuse(exchange, Reason.STOPPING)
            return
        if exchange.request.path.startswith(PREFIX):
            await self.operators.answer(exchange)
            return
        if not self._is_ready():
            await self._refuse(exchange, Reason.NOT_READY)
            return
        await self.callers.answer(exchange)

    async def _refuse(self, exchange: Exchange, reason: Reason) -> None:
        self.env.metrics.refused(reason, 'entry')
        await exchange.respond(problem(Refusal(reason, detail='ask another entry')))

    async def _keep_house(self) -> None:
        while True:
            await curio.sleep(HOUSEKEEPING_S)
            await self.crashes.keep_house()

    # Messages of peers.

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        """
        Answer a peer's message.

        """
        reply: Message | None = await self.on(message, connection)
        return reply

    @singledispatchmethod
    async def on(self, message: Message, connection: Connection) -> Message | None:
        reply = await self.answers.handle(message) if self.answers is not None else None
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
        await self.dispatch.on_event(connection, message)

    @on.register
    async def _(self, message: messages.BackEndFate, connection: Connection) -> None:
        await self.crashes.on_fate(message)

    @on.register
    async def _(self, message: messages.SuspicionReport, connection: Connection) -> Message:
        return await self.spreading.on_report(connection, message)

    @on.register
    async def _(self, message: messages.AskSuspicions, connection: Connection) -> Message:
        return self.spreading.on_ask()

    @on.register
    async def _(self, message: messages.Load, connection: Connection) -> None:
        self.book.on_load(connection, message)
