"""
Questions to other processes that a caller waits for.

Nobody is waited for long: no connection is brought up meanwhile, an answer is given up after
milliseconds, and who gave none is passed over for a while. A connection on which nothing was
heard for long may be silent for good, without a reset, while a new one would work: it is
closed with the first question that it leaves unanswered.

"""

from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId
from millfork_core.logs import Part, logger
from millfork_registry.discovery import address_of
from millfork_wire.connection import Connection, PeerError, PeerTimedOut
from millfork_wire.messages import Message
from millfork_wire.peers import Peers
from millforkd.sidecar.silent_peers import SKIP_SILENT_PEER_S, SilentPeers

# Where others are heard on a connection more often, a single question may be late.
SILENT_S: Final = 1.0

log = logger(Part.PROXY)


class Questions:
    """
    The questions of one kind; `unanswered` names those without an answer in the metrics.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        unanswered: str,
        skip_s: float = SKIP_SILENT_PEER_S,
    ) -> None:
        self.env = env
        self.peers = peers
        self.unanswered = unanswered
        self.silent = SilentPeers(env.monotonic, skip_s)
        # Those to which a connection is coming up.
        self.dialled: set[str] = set()

    async def connection(self, name: str) -> Connection | None:
        """
        The connection to a process that answers; without one it is brought up for later.

        """
        if self.silent.is_silent(name):
            return None
        connection = self.peers.connections.get(InstanceId(name))
        if connection is not None and not connection.closed:
            return connection
        if name not in self.dialled:
            self.dialled.add(name)
            await self.env.spawn(self._dial, name)
        return None

    async def _dial(self, name: str) -> None:
        try:
            await self.connect(name)
        finally:
            self.dialled.discard(name)

    async def connect(self, name: str) -> Connection | None:
        """
        The connection to a process, brought up if there is none; None if it can't be.

        """
        try:
            return await self.peers.connect(address_of(name))
        except PeerError as error:
            log.info('No connection for questions. to={} why={}', name, error)
            self.silent.mark_silent(name)
            return None

    async def ask(
        self, name: str, connection: Connection, question: Message, timeout: float
    ) -> Message | None:
        """
        The answer to a question within `timeout` seconds, if there is one.

        """
        try:
            # Not by `Peers.call`, which ends connections that are silent for as long.
            return await connection.call(question, timeout)
        except PeerError as error:
            self.env.metrics.count(self.env.metrics.wire, event=self.unanswered)
            log.info('No answer. asked={} event={} why={}', name, self.unanswered, error)
            if isinstance(error, PeerTimedOut):
                await self._close_if_silent(connection)
            return None

    async def _close_if_silent(self, connection: Connection) -> None:
        silent_s = self.env.monotonic() - connection.last_heard
        if silent_s < SILENT_S:
            return
        log.info(
            'A silent connection is closed. peer={} silent_s={:.1f}', connection.peer, silent_s
        )
        self.env.metrics.count(self.env.metrics.wire, event='silent_peer')
        await connection.close()
