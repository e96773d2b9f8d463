"""
Sends pieces that this daemon fetched from the origin to the other daemons whose engines load the
layers in these pieces first.

For each receiver, a task sends one piece at a time: further pieces would only queue in a slow
link, ahead of the requests to the receiver's engine.

"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_registry.discovery import address_of
from millfork_weights.links import RateLimiter
from millfork_wire.connection import PeerError
from millfork_wire.messages import PushChunk
from millfork_wire.peers import Peers
from millforkd.sidecar.pieces import WeightsId

# Timeout of sending a piece, in seconds. A piece takes 0.05 s on the slowest healthy links, but
# other traffic shares these links. A receiver that times out requests the missing pieces itself.
PUSH_TIMEOUT_S: Final = 1.5
# After a failure to send a piece to a receiver, the receiver is sent no pieces for this many
# seconds. Pieces that would be sent to the receiver in this time are dropped.
SKIP_SLOW_PEER_S: Final = 4.0

log = logger(Component.WEIGHTS)


@dataclass(frozen=True, slots=True)
class _OutgoingPiece:
    weights: WeightsId
    index: int
    data: bytes


class PiecePusher:
    """
    Queues outgoing pieces for each receiver, and sends them at the rate that the link allows.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        receivers: Callable[[WeightsId, int], list[str]],
        outbound: RateLimiter,
    ) -> None:
        self.env = env
        self.peers = peers
        # Returns the daemons whose engines load a piece first, possibly including this daemon.
        self.receivers = receivers
        self.outbound = outbound
        self.queues: dict[str, curio.Queue] = {}
        # Until when receivers are sent no pieces after a failure (monotonic seconds).
        self.skipped_until: dict[str, float] = {}

    async def add(self, weights: WeightsId, index: int, data: bytes) -> None:
        """
        Queue a piece for every other daemon whose engine loads the piece first.

        """
        for name in self.receivers(weights, index):
            if name == self.env.instance:
                continue
            if name not in self.queues:
                self.queues[name] = curio.Queue()
                await self.env.spawn(self._send_all, name)
            await self.queues[name].put(_OutgoingPiece(weights, index, data))

    async def _send_all(self, name: str) -> None:
        while True:
            outgoing = await self.queues[name].get()
            if self.skipped_until.get(name, 0.0) > self.env.monotonic():
                continue
            await self.outbound.acquire(len(outgoing.data))
            await self._send(name, outgoing)

    async def _send(self, name: str, outgoing: _OutgoingPiece) -> None:
        message = PushChunk(str(outgoing.weights), outgoing.index, outgoing.data)
        try:
            await self.peers.call(address_of(name), message, PUSH_TIMEOUT_S)
        except PeerError as error:
            self.skipped_until[name] = self.env.monotonic() + SKIP_SLOW_PEER_S
            log.info('Piece {} could not be sent to {}: {}.', outgoing.index, name, error)
            return
        self.env.metrics.count(self.env.metrics.chunk_bytes, len(outgoing.data), source='sent')
