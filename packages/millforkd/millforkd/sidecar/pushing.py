"""
Sending drawn pieces to all other daemons that need them first.

One task for each of them, with one piece on its way at a time: more would only
wait in a slow link, in front of the requests to the engine behind it.

"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.discovery import address_of
from millfork_weights.links import Pace
from millfork_wire.connection import PeerError
from millfork_wire.messages import PushChunk
from millfork_wire.peers import Peers
from millforkd.sidecar.pieces import WeightsId

# A piece takes 0.05 s on the slowest links when they are well, and must share
# them; a peer that takes longer asks for what it misses.
PUSH_TIMEOUT_S: Final = 1.5
SKIP_SLOW_PEER_S: Final = 4.0

log = logger(Part.WEIGHTS)


@dataclass(frozen=True, slots=True)
class _OutgoingPiece:
    weights: WeightsId
    index: int
    data: bytes


class PiecePusher:
    """
    The pieces on their way out, at the link's pace.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        receivers: Callable[[WeightsId, int], list[str]],
        outward: Pace,
    ) -> None:
        self.env = env
        self.peers = peers
        self.receivers = receivers
        self.outward = outward
        self.queues: dict[str, curio.Queue] = {}
        # Peers that took nothing lately, and until when they are passed over.
        self.skipped_until: dict[str, float] = {}

    async def add(self, weights: WeightsId, index: int, data: bytes) -> None:
        """
        Send a piece to all others that need it, when the link allows.

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
            await self.outward.take(len(outgoing.data))
            await self._send(name, outgoing)

    async def _send(self, name: str, outgoing: _OutgoingPiece) -> None:
        message = PushChunk(str(outgoing.weights), outgoing.index, outgoing.data)
        try:
            await self.peers.call(address_of(name), message, PUSH_TIMEOUT_S)
        except PeerError as error:
            self.skipped_until[name] = self.env.monotonic() + SKIP_SLOW_PEER_S
            log.info('Piece {} not sent to {}: {}.', outgoing.index, name, error)
            return
        self.env.metrics.count(self.env.metrics.chunk_bytes, len(outgoing.data), source='sent')
