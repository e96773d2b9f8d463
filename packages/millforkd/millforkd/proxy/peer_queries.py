"""
Queries to other processes, sent while a caller's request waits for the answer.

The waits are short: a query doesn't wait for a new connection, an answer is awaited only for
milliseconds, and a peer that didn't answer is not queried for a while. If a query times out on a
connection that has received nothing for long, the connection is closed: the connection may be dead
although no reset arrived, and a new connection may work.

"""

from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId
from millfork_core.logs import Component, logger
from millfork_registry.discovery import address_of
from millfork_wire.connection import Connection, PeerError, PeerTimedOut
from millfork_wire.messages import Message
from millfork_wire.peers import Peers
from millforkd.sidecar.silent_peers import SKIP_SILENT_PEER_S, SilentPeers

# A connection on which a query timed out is kept if it received data within this time: a single
# answer may be late.
MIN_SILENCE_S: Final = 1.0

log = logger(Component.PROXY)


class PeerQueries:
    """
    Sends queries of one kind. Unanswered ones are counted in the metrics as `unanswered_event`;
    silent peers are not queried for `skip_s` seconds.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        unanswered_event: str,
        skip_s: float = SKIP_SILENT_PEER_S,
    ) -> None:
        self.env = env
        self.peers = peers
        self.unanswered_event = unanswered_event
        self.silent = SilentPeers(env.monotonic, skip_s)
        # The peers to which a connection is being opened.
        self.connecting: set[str] = set()

    async def get_open_connection(self, name: str) -> Connection | None:
        """
        The open connection to a peer. None if the peer was silent recently, or if no connection is
        open; a connection is then opened in the background for later queries.

        """
        if self.silent.is_silent(name):
            return None
        connection = self.peers.connections.get(InstanceId(name))
        if connection is not None and not connection.closed:
            return connection
        if name not in self.connecting:
            self.connecting.add(name)
            await self.env.spawn(self._connect_in_background, name)
        return None

    async def _connect_in_background(self, name: str) -> None:
        try:
            await self.connect(name)
        finally:
            self.connecting.discard(name)

    async def connect(self, name: str) -> Connection | None:
        """
        The connection to a peer, opened if there is none. None if that fails; the peer then counts
        as silent.

        """
        try:
            return await self.peers.connect(address_of(name))
        except PeerError as error:
            log.info('No connection for queries. to={} why={}', name, error)
            self.silent.mark_silent(name)
            return None

    async def ask(
        self, name: str, connection: Connection, query: Message, timeout: float
    ) -> Message | None:
        """
        The answer to a query, or None if there is none within `timeout` seconds.

        """
        try:
            # `Peers.call` isn't used: it closes connections that are silent for `timeout` seconds.
            return await connection.call(query, timeout)
        except PeerError as error:
            self.env.metrics.count(self.env.metrics.wire, event=self.unanswered_event)
            log.info(
                'A query was not answered. asked={} event={} why={}',
                name,
                self.unanswered_event,
                error,
            )
            if isinstance(error, PeerTimedOut):
                await self._close_if_silent(connection)
            return None

    async def _close_if_silent(self, connection: Connection) -> None:
        silent_s = self.env.monotonic() - connection.last_received_at
        if silent_s < MIN_SILENCE_S:
            return
        log.info(
            'A silent connection is closed. peer={} silent_s={:.1f}', connection.peer, silent_s
        )
        self.env.metrics.count(self.env.metrics.wire, event='silent_peer')
        await connection.close()
