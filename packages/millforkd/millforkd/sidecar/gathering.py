"""
Bringing all pieces of a version into memory.

"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.discovery import address_of
from millfork_weights.links import Link
from millfork_wire.connection import PeerError
from millfork_wire.messages import CacheAddress, Chunk, GetChunk, GetManifest, Manifest
from millfork_wire.peers import Peers
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.intake import keep_if_good
from millforkd.sidecar.origin import Origin
from millforkd.sidecar.pieces import PieceSet, WeightsId, decode_digests
from millforkd.sidecar.pushing import Pushing
from millforkd.sidecar.silence import SilentPeers
from millforkd.sidecar.sources import DIGESTS, in_turn
from millforkd.sidecar.transit import Transit

# Pieces asked of peers at once: enough to fill the link over some
# milliseconds, few enough not to wait in front of the engine's requests.
PULL_WINDOW: Final = 4
# Pieces asked of caches at once: one on the link, one on its way to the cache and
# back. More would wait in a slow link, in front of the engine's requests.
CACHE_WINDOW: Final = 2
# Rounds of questions to caches that brought nothing, before daemons help
# themselves: an origin that is down for some seconds is drawn from by the caches
# as soon as it is back.
CACHES_TRIED: Final = 20
# The same for the list of digests, which is small and without which nothing begins: some
# 4 s, where caches that can reach its drawer have it within one.
DIGESTS_TRIED: Final = 6
# Pieces asked of the origin at once by one daemon.
DRAW_WINDOW: Final = 1
# Without a piece for this long, a daemon asks for what it misses. A piece
# takes 0.05 s on the slowest links, a round of sendings ten times that.
STALL_S: Final = 0.8
PEER_TIMEOUT_S: Final = 2.0
# A cache says 'not yet' after half a second, and a piece is 0.05 s on the link.
CACHE_TIMEOUT_S: Final = 1.0
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
        peers: Peers,
        fleet: Fleet,
        origin: Origin,
        caches: Callable[[], list[CacheAddress]],
        pushing: Pushing,
        link: Link,
    ) -> None:
        self.env = env
        self.peers = peers
        self.fleet = fleet
        self.origin = origin
        self.caches = caches
        self.silent = SilentPeers(env.monotonic)
        self.transit = Transit(link.rate, env.monotonic)
        self.one_at_a_time = curio.Lock()
        # Questions for digests to caches that brought nothing.
        self.digests_in_vain = 0
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
        in_vain = 0
        while missing := held.missing(wanted):
            if in_vain < CACHES_TRIED and self.near_caches():
                in_vain = 0 if await self._take_from_caches(held, missing) else in_vain + 1
                continue
            in_vain = 0
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

    # From the caches.

    def near_caches(self) -> list[str]:
        """
        The caches to ask: those of the own zone, or all if there are none.

        """
        found = [cache for cache in self.caches() if not self.silent.is_silent(cache.instance)]
        near = [cache for cache in found if cache.zone == self.env.zone]
        return [cache.instance for cache in near or found]

    async def _take_from_caches(self, held: PieceSet, missing: list[int]) -> bool:
        """
        Take the missing pieces from the caches; False if none of them came.

        """
        before = len(held.pieces)
        queue = sorted(missing, reverse=True)
        await self._in_parallel(CACHE_WINDOW, held, queue, self._take_piece)
        if len(held.pieces) > before:
            return True
        await curio.sleep(RETRY_S)
        return False

    async def _take_piece(self, held: PieceSet, index: int) -> None:
        """
        Take one piece; on a link that is slow, one at a time with pauses, so
        that the engine's requests get through.

        """
        if not self.transit.is_slow:
            await self._ask_caches(held, index)
            return
        async with self.one_at_a_time:
            began = self.env.monotonic()
            await self._ask_caches(held, index)
            await curio.sleep(self.env.monotonic() - began)

    async def _ask_caches(self, held: PieceSet, index: int) -> None:
        for name in in_turn(self.near_caches(), held.weights, index)[:PEERS_TRIED]:
            data = await self._piece_of_cache(name, held.weights, index)
            if data and await self._keep(held, index, data, 'cache', name):
                return

    async def _piece_of_cache(self, name: str, weights: WeightsId, index: int) -> bytes:
        began = self.transit.begin()
        timeout = PEER_TIMEOUT_S if self.transit.is_slow else CACHE_TIMEOUT_S
        data = b''
        try:
            data = await self._chunk_of(name, weights, index, timeout)
        except PeerError as error:
            log.info('Piece {} of {} not from {}: {}.', index, weights, name, error)
            self.silent.note(name)
        finally:
            self.transit.end(began, len(data))
        return data

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
        data = await self.origin.draw_piece(held, index)
        if data is None:
            await curio.sleep(RETRY_S)
            return
        self.link.inward.note(len(data))
        await self.pushing.add(held.weights, index, data)

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
            if await self._keep(held, index, data, 'peer', peer):
                return

    async def _keep(
        self, held: PieceSet, index: int, data: bytes, source: str, sender: str
    ) -> bool:
        good = await keep_if_good(self.env, held, index, data, source, sender)
        if good:
            self.link.inward.note(len(data))
        return good

    async def _piece_of_peer(self, peer: str, weights: WeightsId, index: int) -> bytes | None:
        try:
            return await self._chunk_of(peer, weights, index, PEER_TIMEOUT_S) or None
        except PeerError as error:
            log.info('Piece {} of {} not from {}: {}.', index, weights, peer, error)
            return None

    async def _chunk_of(self, peer: str, weights: WeightsId, index: int, timeout: float) -> bytes:
        """
        A piece of a peer; empty if it has none.

        :raises PeerError: if the peer does not answer.

        """
        message = GetChunk(str(weights), index)
        reply = await self.peers.call(address_of(peer), message, timeout)
        return reply.data if isinstance(reply, Chunk) and reply.found else b''

    # Digests.

    async def bring_digests(self, held: PieceSet) -> bool:
        """
        Learn the digests: from the caches while there are some, else from peers or the
        origin; False if nobody has them.

        """
        if held.digests:
            return True
        caches = in_turn(self.near_caches(), held.weights, DIGESTS)
        if caches and self.digests_in_vain < DIGESTS_TRIED:
            self.digests_in_vain += 1
            return await self._take_digests(held, caches[0])
        self.digests_in_vain = 0
        return await self._help_itself_to_digests(held)

    async def _take_digests(self, held: PieceSet, peer: str) -> bool:
        digests = await self._digests_of_peer(peer, held.weights)
        if not digests:
            return False
        self.digests_in_vain = 0
        await held.learn_digests(digests)
        return True

    async def _help_itself_to_digests(self, held: PieceSet) -> bool:
        own = str(self.env.instance)
        names = [state.instance for state in self.fleet.holders(held.weights, 0)]
        ordered = in_turn(names, held.weights, DIGESTS) or self.fleet.drawers(held.weights, 0)
        for peer in ordered[:PEERS_TRIED]:
            if peer == own:
                break
            if await self._take_digests(held, peer):
                return True
        return bool(held.digests) or await self.origin.draw_digests(held)

    async def _digests_of_peer(self, peer: str, weights: WeightsId) -> tuple[str, ...]:
        try:
            reply = await self.peers.call(
                address_of(peer), GetManifest(str(weights)), CACHE_TIMEOUT_S
            )
        except PeerError as error:
            log.info('Digests of {} not from {}: {}.', weights, peer, error)
            self.silent.note(peer)
            return ()
        if not isinstance(reply, Manifest) or not reply.found:
            return ()
        try:
            return decode_digests(reply.body)
        except msgspec.DecodeError as error:
            log.warning('Digests of {} from {} can not be read: {}.', weights, peer, error)
            return ()
