"""
Sending drawn pieces to all other daemons of the service.

"""

from collections.abc import Callable
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.discovery import address_of
from millfork_weights.links import Pace
from millfork_wire.connection import Connection, PeerError
from millfork_wire.messages import PushChunk
from millfork_wire.peers import Peers
from millforkd.beside.pieces import WeightsId

# Frames waiting for one peer; the next one waits until they are fewer.
MOST_WAITING: Final = 3
WAIT_POLL_S: Final = 0.02
# A peer that takes nothing for this long is passed over; it will ask for
# what it misses.
STUCK_AFTER_S: Final = 1.0

log = logger(Part.WEIGHTS)


class Pushing:
    """
    The pieces on their way out, one after the other at the link's pace.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        targets: Callable[[WeightsId, int], list[str]],
        outward: Pace,
    ) -> None:
        self.env = env
        self.peers = peers
        self.targets = targets
        self.outward = outward
        self.queue: curio.Queue = curio.Queue()

    async def add(self, weights: WeightsId, index: int, data: bytes) -> None:
        """
        Send a piece to all others, when the link allows.

        """
        await self.queue.put((weights, index, data))

    async def run(self) -> None:
        """
        The task that sends.

        """
        while True:
            weights, index, data = await self.queue.get()
            names = self.targets(weights, index)
            self.env.random.shuffle(names)
            for name in names:
                if name != self.env.instance:
                    await self._send(name, PushChunk(str(weights), index, data))

    async def _send(self, name: str, message: PushChunk) -> None:
        try:
            connection = await self.peers.connect(address_of(name))
            if not await self._has_room(connection):
                log.info('Piece {} not sent to {}: it takes nothing.', message.index, name)
                return
            await self.outward.take(len(message.data))
            await connection.notify(message)
        except PeerError as error:
            log.info('Piece {} not sent to {}: {}.', message.index, name, error)
            return
        self.env.metrics.count(self.env.metrics.chunk_bytes, len(message.data), source='sent')

    async def _has_room(self, connection: Connection) -> bool:
        until = self.env.monotonic() + STUCK_AFTER_S
        while connection.outbox.qsize() >= MOST_WAITING and not connection.closed:
            if self.env.monotonic() > until:
                return False
            await curio.sleep(WAIT_POLL_S)
        return not connection.closed
