"""
Asking the daemons beside a few engines for what runs and waits there now.

An engine is chosen by reports that are up to 0.3 s old; where that may mislead, the daemons
beside the engines compared are asked first. Nobody is waited for long: an answer that comes
late is taken for the next choice, and its daemon is not waited for again for a while.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import Incarnation, InstanceId
from millfork_core.logs import Part, logger
from millfork_registry.discovery import address_of
from millfork_scheduling.asking import is_worth_asking
from millfork_scheduling.book import ServerBook
from millfork_scheduling.server import Load, Server
from millfork_wire.connection import Connection, PeerError
from millfork_wire.messages import AskLoad, EngineLoad
from millfork_wire.peers import Peers
from millforkd.beside.silence import SilentPeers

# The way to another region takes 8 ms there and back, and the engine's answer to its daemon
# some more.
WAIT_S: Final = 0.02
# After this an answer says no more than the next report will.
ANSWER_TIMEOUT_S: Final = 0.15
# A link is full of weights for seconds, an engine's machine busy for a fraction of one.
PASSED_OVER_S: Final = 0.5

log = logger(Part.PROXY)


class LoadQuestions:
    """
    What one entry asks the daemons beside engines.

    """

    def __init__(self, env: Environment, peers: Peers, book: ServerBook) -> None:
        self.env = env
        self.peers = peers
        self.book = book
        self.slow = SilentPeers(env.monotonic, PASSED_OVER_S)
        # The daemons to which a connection is coming up.
        self.dialled: set[str] = set()

    async def refresh(self, servers: list[Server]) -> None:
        """
        Bring the loads of some engines up to date where the choice may hang on them; returns
        once all that were asked have answered, or after `WAIT_S`.

        """
        if not is_worth_asking(servers, self.env.monotonic(), self.book.entries()):
            return
        asked = []
        for server in servers:
            connection = await self._connection(server)
            if connection is None:
                continue
            asked.append(await self.env.spawn(self._ask, server, connection))
        try:
            async with curio.timeout_after(WAIT_S):
                for task in asked:
                    await task.wait()
        except curio.TaskTimeout:
            self.env.metrics.count(self.env.metrics.wire, event='load_late')

    async def _connection(self, server: Server) -> Connection | None:
        """
        The connection to the daemon beside an engine, if there is one and it answers in time.

        """
        daemon = server.daemon
        if not daemon or self.slow.is_silent(daemon):
            return None
        connection = self.peers.connections.get(InstanceId(daemon))
        if connection is not None and not connection.closed:
            return connection
        if daemon not in self.dialled:
            # A caller does not wait for one to come up.
            self.dialled.add(daemon)
            await self.env.spawn(self._dial, daemon)
        return None

    async def _dial(self, daemon: str) -> None:
        try:
            await self.peers.connect(address_of(daemon))
        except PeerError as error:
            self.slow.note(daemon)
            log.info('No connection to a daemon beside an engine. to={} why={}', daemon, error)
        finally:
            self.dialled.discard(daemon)

    async def _ask(self, server: Server, connection: Connection) -> None:
        asked_at = self.env.monotonic()
        mine, mine_unread = server.mine, server.mine_unread
        try:
            # Not by `Peers.call`, which ends connections that are silent for as long.
            reply = await connection.call(AskLoad(), ANSWER_TIMEOUT_S)
        except PeerError as error:
            self.slow.note(server.daemon)
            self.env.metrics.count(self.env.metrics.wire, event='load_untold')
            log.info('Not told of a load. asked={} why={}', server.daemon, error)
            return
        now = self.env.monotonic()
        if now - asked_at > WAIT_S:
            self.slow.note(server.daemon)
        if not isinstance(reply, EngineLoad) or not reply.known:
            return
        if server.is_another(Incarnation(reply.incarnation)):
            log.info('Told of the load of another engine. server={}', server.instance)
            return
        load = Load(reply.running, reply.queued, reply.pace_percent / 100, mine, mine_unread)
        server.take_load(load, now)
