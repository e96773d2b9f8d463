"""
Queries the endpoint daemons of a few engines for the current loads of these engines.

Engines are chosen by reports that are up to 0.3 s old. Where old reports may lead to a wrong
choice, the daemons of the compared engines are queried first. The wait is short: a late answer
is used for later choices, and the daemon that sent it isn't queried again for a while.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import Incarnation
from millfork_core.logs import Component, logger
from millfork_scheduling.load_queries import needs_fresh_loads
from millfork_scheduling.server import Load, Server
from millfork_scheduling.server_table import ServerTable
from millfork_wire.connection import Connection
from millfork_wire.messages import AskLoad, EngineLoad
from millfork_wire.peers import Peers
from millforkd.proxy.peer_queries import PeerQueries

# The longest time that a caller's request waits for the answers to load queries.
MAX_WAIT_S: Final = 0.02
# The timeout of a query: by then the daemon's next report has arrived, so an answer adds nothing.
ANSWER_TIMEOUT_S: Final = 0.15
# A daemon that didn't answer within MAX_WAIT_S isn't queried for this long.
SKIP_UNANSWERED_S: Final = 0.5

log = logger(Component.PROXY)


class LoadQueries:
    """
    Queries the loads of engines for one entry.

    """

    def __init__(self, env: Environment, peers: Peers, server_table: ServerTable) -> None:
        self.env = env
        self.server_table = server_table
        self.queries = PeerQueries(env, peers, 'load_untold', SKIP_UNANSWERED_S)

    async def refresh(self, servers: list[Server]) -> None:
        """
        If the choice among these engines may depend on their current loads, query the loads and
        update `servers` by the answers. Daemons to which no connection is open, and daemons that
        were silent recently, are not queried. Returns once all queries have ended, at the latest
        after MAX_WAIT_S.

        """
        if not needs_fresh_loads(servers, self.env.monotonic(), self.server_table.entries()):
            return
        tasks = []
        for server in servers:
            if not server.daemon:
                continue
            connection = await self.queries.get_open_connection(server.daemon)
            if connection is None:
                continue
            tasks.append(await self.env.spawn(self._ask, server, connection))
        try:
            async with curio.timeout_after(MAX_WAIT_S):
                for task in tasks:
                    await task.wait()
        except curio.TaskTimeout:
            self.env.metrics.count(self.env.metrics.wire, event='load_late')

    async def _ask(self, server: Server, connection: Connection) -> None:
        queried_at = self.env.monotonic()
        daemon = server.daemon
        own_requests, own_awaiting_first_token = (
            server.own_requests,
            server.own_awaiting_first_token,
        )
        reply = await self.queries.ask(daemon, connection, AskLoad(), ANSWER_TIMEOUT_S)
        now = self.env.monotonic()
        if reply is None or now - queried_at > MAX_WAIT_S:
            self.queries.silent.mark_silent(daemon)
        if not isinstance(reply, EngineLoad) or not reply.known:
            return
        if server.is_other_incarnation(Incarnation(reply.incarnation)):
            log.info('A load report belongs to another engine. server={}', server.instance)
            return
        load = Load(
            reply.running,
            reply.queued,
            reply.pace_percent / 100,
            own_requests,
            own_awaiting_first_token,
        )
        server.set_load(load, now)
