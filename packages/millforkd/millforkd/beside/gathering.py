"""
Bringing all pieces of a version into memory.

"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio
import msgspec

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import BadCall
from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.discovery import address_of
from millfork_web.client import Client, ExchangeFailed
from millfork_web.models import Request
from millfork_weights.links import Link
from millfork_wire.connection import PeerError
from millfork_wire.messages import Chunk, GetChunk, GetManifest, Manifest
from millfork_wire.peers import Peers
from millforkd.beside.fleet import Fleet
from millforkd.beside.pieces import PieceSet, WeightsId, decode_digests
from millforkd.beside.pushing import Pushing
from millforkd.beside.sources import DIGESTS, in_turn

# Pieces asked of peers at once: enough to fill the link over some
# milliseconds, few enough not to wait in front of the engine's requests.
PULL_WINDOW: Final = 4
# Pieces asked of the origin at once by one daemon.
DRAW_WINDOW: Final = 1
# Without a piece for this long, a daemon asks for what it misses. A piece
# takes 0.05 s on the slowest links, a round of sendings ten times that.
STALL_S: Final = 0.8
PEER_TIMEOUT_S: Final = 2.0
ORIGIN_TIMEOUT_S: Final = 4.0
# Peers asked for one missing piece in one round.
PEERS_TRIED: Final = 2
RETRY_S: Final = 0.2

Bring = Callable[[PieceSet, int], Awaitable[None]]

log = logger(Part.WEIGHTS)


class Gathering:
    """
    Fetches pieces from peers and the origin.

    """

    def __init__(
        self,
        env: Environment,
        adapter: Adapter,
        peers: Peers,
        fleet: Fleet,
        origin: Callable[[], Client | None],
        pushing: Pushing,
        link: Link,
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.peers = peers
        self.fleet = fleet
        self.origin = origin
        self.pushing = pushing
        self.link = link

    async def gather(self, held: PieceSet, wanted: range) -> None:
        """
        Return once the wanted pieces are here; cancelled when they are not
        wanted any more.

        """
        while not await self.bring_digests(held):
            await curio.sleep(RETRY_S)
        turn = 0
        while missing := held.missing(wanted):
            held_elsewhere = [index for index in missing if self.fleet.holders(held.weights, index)]
            if held_elsewhere:
                await self._pull(held, held_elsewhere)
                if len(held.missing(wanted)) < len(missing):
                    continue
            elif await self._draw(held, missing, turn):
                continue
            if await self._has_more(held):
                continue
            turn += 1

    async def _has_more(self, held: PieceSet) -> bool:
        """
        Wait for another piece; False if none comes in time.

        """
        arrived = held.arrived
        try:
            async with curio.timeout_after(STALL_S):
                await arrived.wait()
        except curio.TaskTimeout:
            return False
        return True

    # From the origin.

    async def _draw(self, held: PieceSet, missing: list[int], turn: int) -> bool:
        """
        Draw the missing pieces that are this daemon's, or fell to it as those
        before it in turn did not bring them; False if there were none.

        """
        own = str(self.env.instance)
        queue = [
            index for index in missing if own in self.fleet.drawers(held.weights, index)[: turn + 1]
        ]
        queue.reverse()
        await self._in_parallel(DRAW_WINDOW, held, queue, self._draw_piece)
        return bool(queue)

    async def _draw_piece(self, held: PieceSet, index: int) -> None:
        weights = held.weights
        began = self.env.monotonic()
        data = await self._from_origin(
            self.adapter.piece_request(weights.model, weights.version, index)
        )
        log.debug(
            'Piece drawn. weights={} index={} got={} ms={:.0f}',
            weights,
            index,
            data is not None,
            (self.env.monotonic() - began) * 1000,
        )
        if data is None:
            await curio.sleep(RETRY_S)
            return
        if not await held.put(index, data):
            log.warning('Piece {} of {} from the origin is corrupt.', index, weights)
            self.env.metrics.count(self.env.metrics.chunks, source='origin', outcome='corrupt')
            return
        self._count(len(data), 'origin')
        await self.pushing.add(weights, index, data)

    async def _in_parallel(
        self,
        window: int,
        held: PieceSet,
        queue: list[int],
        bring: Bring,
    ) -> None:
        async with curio.TaskGroup() as group:
            for _ in range(min(window, len(queue))):
                await group.spawn(self._work, held, queue, bring)

    async def _work(self, held: PieceSet, queue: list[int], bring: Bring) -> None:
        while queue:
            index = queue.pop()
            if index not in held.pieces:
                await bring(held, index)

    # From peers.

    async def _pull(self, held: PieceSet, missing: list[int]) -> None:
        """
        Ask the holders for what is missing.

        """
        queue = list(missing)
        self.env.random.shuffle(queue)
        await self._in_parallel(PULL_WINDOW, held, queue, self._pull_piece)

    async def _pull_piece(self, held: PieceSet, index: int) -> None:
        for peer in self.fleet.nearest_holders(held.weights, index)[:PEERS_TRIED]:
            data = await self._piece_of_peer(peer, held.weights, index)
            if data is None:
                continue
            if await held.put(index, data):
                self._count(len(data), 'peer')
                return
            log.warning('Piece {} of {} from {} is corrupt.', index, held.weights, peer)
            self.env.metrics.count(self.env.metrics.chunks, source='peer', outcome='corrupt')

    def _count(self, size: int, source: str) -> None:
        self.link.inward.note(size)
        self.env.metrics.count(self.env.metrics.chunks, source=source, outcome='good')
        self.env.metrics.count(self.env.metrics.chunk_bytes, size, source=source)

    async def _piece_of_peer(self, peer: str, weights: WeightsId, index: int) -> bytes | None:
        message = GetChunk(str(weights), index)
        try:
            reply = await self.peers.call(address_of(peer), message, PEER_TIMEOUT_S)
        except PeerError as error:
            log.info('Piece {} of {} not from {}: {}.', index, weights, peer, error)
            return None
        if not isinstance(reply, Chunk) or not reply.found:
            return None
        return reply.data

    # Digests.

    async def bring_digests(self, held: PieceSet) -> bool:
        """
        Learn the digests, from peers or the origin; False if nobody has them.

        """
        if held.digests:
            return True
        own = str(self.env.instance)
        names = [state.instance for state in self.fleet.holders(held.weights, 0)]
        ordered = in_turn(names, held.weights, DIGESTS) or self.fleet.drawers(held.weights, 0)
        for peer in ordered[:PEERS_TRIED]:
            if peer == own:
                break
            digests = await self._digests_of_peer(peer, held.weights)
            if digests:
                await held.learn_digests(digests)
                return True
        return bool(held.digests) or await self._draw_digests(held)

    async def _draw_digests(self, held: PieceSet) -> bool:
        weights = held.weights
        body = await self._from_origin(
            self.adapter.piece_list_request(weights.model, weights.version)
        )
        if body is None:
            return False
        try:
            pieces = self.adapter.read_piece_list(body)
        except BadCall as error:
            log.warning('The digests of {} can not be read: {}.', weights, error)
            return False
        if (pieces.model, pieces.version) != (weights.model, weights.version):
            log.warning('The origin gave digests of {} {}.', pieces.model, pieces.version)
            return False
        await held.learn_digests(pieces.digests)
        return True

    async def _digests_of_peer(self, peer: str, weights: WeightsId) -> tuple[str, ...]:
        try:
            reply = await self.peers.call(
                address_of(peer), GetManifest(str(weights)), PEER_TIMEOUT_S
            )
        except PeerError as error:
            log.info('Digests of {} not from {}: {}.', weights, peer, error)
            return ()
        if not isinstance(reply, Manifest) or not reply.found:
            return ()
        try:
            return decode_digests(reply.body)
        except msgspec.DecodeError as error:
            log.warning('Digests of {} from {} can not be read: {}.', weights, peer, error)
            return ()

    async def _from_origin(self, request: Request) -> bytes | None:
        client = self.origin()
        if client is None:
            return None
        try:
            response = await client.fetch(
                request.method, request.path, request.headers, timeout=ORIGIN_TIMEOUT_S
            )
        except ExchangeFailed as error:
            log.warning('Nothing from the origin: {}. path={}', error, request.path)
            self.env.metrics.count(self.env.metrics.chunks, source='origin', outcome='failed')
            return None
        if response.status != 200:
            log.warning('The origin answered {}. path={}', response.status, request.path)
            return None
        return response.body
