"""
The components that all daemons of a listed fleet (one whose instances the platform lists) have:
connections to peers, a subscription to the configuration, and an admin port.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId
from millfork_core.logs import Component, logger
from millfork_settings.loading import read_secret
from millfork_settings.models import Settings
from millfork_state.reports import Reports
from millfork_state.roster import Roster
from millfork_state.subscription import Subscription
from millfork_state.view import View
from millfork_web.exchange import Exchange
from millfork_web.server import Server
from millfork_wire.connection import Connection, Handler
from millfork_wire.messages import AskRevision, Message, Subscribe, Update
from millfork_wire.messages import Reports as ReportsMessage
from millfork_wire.peers import PeerAddress, Peers
from millforkd.admin import answer_admin

# The pause after each failed poll of the platform's instance list while a daemon starts.
FIRST_POLL_PAUSE_S: Final = 0.2
# The number of failed polls after which a starting daemon continues without the instance list.
FIRST_POLLS: Final = 10

log = logger(Component.DAEMON)


class Member:
    """
    The components that the entries and endpoint daemons of a listed fleet have in common.
    `handler` handles the messages that are specific to the role.

    """

    def __init__(
        self,
        env: Environment,
        settings: Settings,
        handler: Handler,
        poll_interval_s: float,
    ) -> None:
        self.env = env
        self.settings = settings
        self.poll_interval_s = poll_interval_s
        host = str(settings.address)
        self.role_handler = handler
        self.peers = Peers(
            env,
            settings.role.value,
            host,
            settings.ports.wire,
            read_secret(settings.fleet_key_file),
            self.handle,
            settings.via.pair if settings.via else None,
        )
        self.replicas = [
            PeerAddress(InstanceId(replica.instance), str(replica.host), replica.port)
            for replica in settings.replicas
        ]
        self.view = View()
        self.roster = Roster(env, settings.platform.pair, host)
        self.reports = Reports()
        self.subscription = Subscription(
            env, self.view, self.roster, self.peers, self.replicas, self.reports
        )
        self.admin = Server(host, settings.ports.admin, self._answer_admin, spawn=env.spawn)
        self.min_revision_known = False
        self.ready_check = self.is_ready

    async def start(self) -> None:
        """
        Listen and start to join the fleet: load the platform's instance list, ask the zone's
        other entries for the newest revision of the configuration, and subscribe to its updates.

        """
        await self.env.spawn_essential(self.peers.listen)
        await self.env.spawn_essential(self.peers.ping_idle_connections)
        await self.env.spawn_essential(self.admin.run)
        await self.env.spawn_essential(self._join)

    async def _join(self) -> None:
        for _ in range(FIRST_POLLS):
            if await self.roster.poll():
                break
            await curio.sleep(FIRST_POLL_PAUSE_S)
        await self.subscription.query_min_revision()
        self.min_revision_known = True
        await self.env.spawn_essential(self.roster.poll_periodically, self.poll_interval_s)
        await self.subscription.follow()

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        """
        Handle a message that is common to all roles, or pass it to the role's handler. Returns
        the reply, if there is one.

        """
        if isinstance(message, Update):
            await self.subscription.on_update(connection, message)
            return None
        if isinstance(message, Subscribe):
            return await self.subscription.on_subscribe(connection, message)
        if isinstance(message, ReportsMessage):
            await self.reports.merge(message.reports)
            return None
        if isinstance(message, AskRevision):
            return self.subscription.on_ask_revision()
        return await self.role_handler(connection, message)

    def is_ready(self) -> bool:
        return (
            bool(self.view.cluster)
            and self.min_revision_known
            and self.subscription.has_min_revision
        )

    async def _answer_admin(self, exchange: Exchange) -> None:
        details = {'revision': self.view.revision, 'cluster': self.view.cluster}
        await answer_admin(exchange, self.env, self.ready_check(), dict(details))
