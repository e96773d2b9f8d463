"""
Fetches the pieces of a version into memory, from caches, peers and the origin.

Caches run in entries (front proxies) and keep pieces for the daemons of their zone. Peers are
the other endpoint daemons of the service.

"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_registry.discovery import address_of
from millfork_weights.links import Link
from millfork_wire.connection import PeerError
from millfork_wire.messages import CacheAddress, Chunk, GetChunk, GetManifest
from millfork_wire.peers import Peers
from millforkd.sidecar.digest_checks import PieceSource
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.origin import Origin
from millforkd.sidecar.pieces import PieceSet, WeightsId
from millforkd.sidecar.pushing import PiecePusher
from millforkd.sidecar.recorded_digests import RecordedDigests
from millforkd.sidecar.silent_peers import SilentPeers
from millforkd.sidecar.sources import DIGESTS_INDEX, request_order
from millforkd.sidecar.transfer_times import TransferTimes
from millforkd.sidecar.verification import read_digests, store_if_valid

# Concurrent requests of one daemon to peers: enough to keep the link busy, few enough that
# pieces don't queue ahead of the engine's requests for more than some milliseconds.
PEER_WINDOW_PIECES: Final = 4
# Concurrent requests of one daemon to caches: while one piece is on the link, the request for
# the next one travels to the cache. More pieces would queue in a slow link ahead of the
# engine's requests.
CACHE_WINDOW_PIECES: Final = 2
# After this many consecutive rounds of requests to caches in which no piece arrived, a daemon asks
# peers, or the origin if no peer holds a missing piece. These rounds take longer than a short
# outage of the origin, which must not make daemons bypass the caches: caches fetch pieces again as
# soon as the origin is back.
MAX_FAILED_CACHE_ROUNDS: Final = 20
# After this many consecutive failed requests to caches for the list of digests, a daemon
# requests the list from peers or the origin. No transfer starts without this small list. The
# failed requests take about 4 s in all. One cache fetches the list from the origin; caches
# that can reach that cache have the list within 1 s.
MAX_FAILED_DIGEST_REQUESTS: Final = 6
# Concurrent requests of one daemon to the origin.
ORIGIN_WINDOW_PIECES: Final = 1
# Each time that a daemon receives no piece for this many seconds, it also takes over the pieces
# for which it is the next in the order of the daemons that fetch from the origin. A piece takes
# 0.05 s on the slowest links, and sending a piece to all receivers takes ten times that.
STALL_S: Final = 0.8
# Timeout of a request to a peer, or to a cache over a slow link, in seconds.
PEER_TIMEOUT_S: Final = 2.0
# Timeout of a request to a cache over a link that is not slow, and of any request for digests
# to a cache or peer, in seconds. A cache answers 'not yet' after 0.5 s, and a piece takes 0.05 s
# on the link.
CACHE_TIMEOUT_S: Final = 1.0
# In one round, a daemon asks at most this many caches or peers for a piece, and at most this
# many peers for the digests.
MAX_PEERS_PER_ROUND: Final = 2
# Pause after a failed request for digests, a failed request to the origin, or a round of requests
# to caches in which no piece arrived, in seconds.
RETRY_S: Final = 0.2

FetchPiece = Callable[[PieceSet, int], Awaitable[None]]

log = logger(Component.WEIGHTS)


class PieceGatherer:
    """
    Fetches missing pieces and digests, from caches first, then from peers and the origin.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        fleet: Fleet,
        origin: Origin,
        caches: Callable[[], list[CacheAddress]],
        pusher: PiecePusher,
        link: Link,
        recorded: RecordedDigests,
    ) -> None:
        self.env = env
        self.peers = peers
        self.fleet = fleet
        self.origin = origin
        self.caches = caches
        self.silent = SilentPeers(env.monotonic)
        self.transfer_times = TransferTimes(link.rate, env.monotonic)
        self.slow_link_lock = curio.Lock()
        # The number of consecutive requests to caches that returned no digests.
        self.failed_digest_requests = 0
        self.pusher = pusher
        self.link = link
        self.recorded = recorded

    async def gather(self, held: PieceSet, wanted: range) -> None:
        """
        Fetch the pieces with the indexes in `wanted` into `held`; returns when all are held.
        Retries without limit: the caller cancels this task when the pieces are no longer needed.

        """
        while not await self.obtain_digests(held):
            await curio.sleep(RETRY_S)
        fallback_rank = 0
        failed_rounds = 0
        while missing := held.missing(wanted):
            if failed_rounds < MAX_FAILED_CACHE_ROUNDS and self.near_caches():
                failed_rounds = (
                    0 if await self._fetch_from_caches(held, missing) else failed_rounds + 1
                )
                continue
            failed_rounds = 0
            held_elsewhere = [index for index in missing if self.fleet.holders(held.weights, index)]
            if held_elsewhere:
                await self._fetch_from_peers(held, held_elsewhere)
                if len(held.missing(wanted)) < len(missing):
                    continue
            elif await self._fetch_from_origin(held, missing, fallback_rank):
                continue
            if await self._wait_for_piece(held):
                continue
            fallback_rank += 1

    async def _wait_for_piece(self, held: PieceSet) -> bool:
        """
        Wait until any piece of the version arrives; False if none arrives within `STALL_S`.

        """
        arrived = held.arrived
        try:
            async with curio.timeout_after(STALL_S):
                await arrived.wait()
        except curio.TaskTimeout:
            return False
        return True

    # Requests to caches.

    def near_caches(self) -> list[str]:
        """
        The caches in this daemon's zone, or in all zones if there are none in its own. Caches
        that recently did not answer do not count.

        """
        found = [cache for cache in self.caches() if not self.silent.is_silent(cache.instance)]
        near = [cache for cache in found if cache.zone == self.env.zone]
        return [cache.instance for cache in near or found]

    async def _fetch_from_caches(self, held: PieceSet, missing: list[int]) -> bool:
        """
        Fetch the missing pieces from caches. If no piece arrived meanwhile, pause for `RETRY_S`
        and return False.

        """
        before = len(held.pieces)
        queue = sorted(missing, reverse=True)
        await self._in_parallel(CACHE_WINDOW_PIECES, held, queue, self._fetch_piece_from_caches)
        if len(held.pieces) > before:
            return True
        await curio.sleep(RETRY_S)
        return False

    async def _fetch_piece_from_caches(self, held: PieceSet, index: int) -> None:
        """
        Fetch one piece. On a slow link, pieces are fetched one at a time, each followed by a
        pause as long as its transfer, so that the engine's requests get through.

        """
        if not self.transfer_times.is_slow:
            await self._ask_caches(held, index)
            return
        async with self.slow_link_lock:
            started_at = self.env.monotonic()
            await self._ask_caches(held, index)
            await curio.sleep(self.env.monotonic() - started_at)

    async def _ask_caches(self, held: PieceSet, index: int) -> None:
        for name in request_order(self.near_caches(), held.weights, index)[:MAX_PEERS_PER_ROUND]:
            data = await self._request_from_cache(name, held.weights, index)
            if data and await self._store(held, index, data, PieceSource.CACHE, name):
                return

    async def _request_from_cache(self, name: str, weights: WeightsId, index: int) -> bytes:
        transfer = self.transfer_times.begin()
        timeout = PEER_TIMEOUT_S if self.transfer_times.is_slow else CACHE_TIMEOUT_S
        data = b''
        try:
            data = await self._request_chunk(name, weights, index, timeout)
        except PeerError as error:
            log.info('Piece {} of {} was not received from {}: {}.', index, weights, name, error)
            self.silent.mark_silent(name)
        finally:
            self.transfer_times.end(transfer, len(data))
        return data

    # Requests to the origin.

    async def _fetch_from_origin(
        self, held: PieceSet, missing: list[int], fallback_rank: int
    ) -> bool:
        """
        Fetch the missing pieces for which this daemon is among the first `fallback_rank + 1`
        origin fetchers: the pieces that this daemon fetches for all others, and those that the
        daemons before it in the order did not deliver. False if there are no such pieces.

        """
        own = str(self.env.instance)
        queue = [
            index
            for index in missing
            if own in self.fleet.origin_fetchers(held.weights, index)[: fallback_rank + 1]
        ]
        queue.reverse()
        await self._in_parallel(ORIGIN_WINDOW_PIECES, held, queue, self._fetch_piece_from_origin)
        return bool(queue)

    async def _fetch_piece_from_origin(self, held: PieceSet, index: int) -> None:
        data = await self.origin.fetch_piece(held, index)
        if data is None:
            await curio.sleep(RETRY_S)
            return
        self.link.inbound.record_bytes(len(data))
        await self.pusher.add(held.weights, index, data)

    async def _in_parallel(
        self,
        window: int,
        held: PieceSet,
        queue: list[int],
        fetch: FetchPiece,
    ) -> None:
        async with curio.TaskGroup() as group:
            for _ in range(min(window, len(queue))):
                await group.spawn(self._fetch_queued, held, queue, fetch)

    async def _fetch_queued(self, held: PieceSet, queue: list[int], fetch: FetchPiece) -> None:
        while queue:
            index = queue.pop()
            if index not in held.pieces:
                await fetch(held, index)

    # Requests to peers.

    async def _fetch_from_peers(self, held: PieceSet, missing: list[int]) -> None:
        """
        Fetch the missing pieces, in random order, from the peers that hold them.

        """
        queue = list(missing)
        self.env.random.shuffle(queue)
        await self._in_parallel(PEER_WINDOW_PIECES, held, queue, self._fetch_piece_from_peers)

    async def _fetch_piece_from_peers(self, held: PieceSet, index: int) -> None:
        for peer in self.fleet.nearest_holders(held.weights, index)[:MAX_PEERS_PER_ROUND]:
            data = await self._request_from_peer(peer, held.weights, index)
            if data is None:
                continue
            if await self._store(held, index, data, PieceSource.PEER, peer):
                return

    async def _store(
        self, held: PieceSet, index: int, data: bytes, source: PieceSource, sender: str
    ) -> bool:
        async def request_digests() -> tuple[str, ...]:
            return await self._request_digests(sender, held.weights)

        good = await store_if_valid(self.env, held, index, data, source, sender, request_digests)
        if good:
            self.link.inbound.record_bytes(len(data))
        return good

    async def _request_from_peer(self, peer: str, weights: WeightsId, index: int) -> bytes | None:
        try:
            return await self._request_chunk(peer, weights, index, PEER_TIMEOUT_S) or None
        except PeerError as error:
            log.info('Piece {} of {} was not received from {}: {}.', index, weights, peer, error)
            return None

    async def _request_chunk(
        self, peer: str, weights: WeightsId, index: int, timeout: float
    ) -> bytes:
        """
        Request a piece from a peer or cache; returns empty bytes if that process does not hold
        the piece.

        :raises PeerError: if the process does not answer.

        """
        message = GetChunk(str(weights), index)
        reply = await self.peers.call(address_of(peer), message, timeout)
        return reply.data if isinstance(reply, Chunk) and reply.found else b''

    # Digests.

    async def obtain_digests(self, held: PieceSet) -> bool:
        """
        Fetch the digests of all pieces into `held`: those in the replicated state or, if some are
        not recorded, with one request to a cache. If there is no cache that recently answered, or
        after `MAX_FAILED_DIGEST_REQUESTS` consecutive failed requests to caches, fetch them from
        peers or the origin. False if `held` has no digests afterwards.

        """
        if held.digests or await held.set_digests(self.recorded.find_all(held.weights)):
            return True
        caches = request_order(self.near_caches(), held.weights, DIGESTS_INDEX)
        if caches and self.failed_digest_requests < MAX_FAILED_DIGEST_REQUESTS:
            self.failed_digest_requests += 1
            return await self._fetch_digests_from_peer(held, caches[0])
        self.failed_digest_requests = 0
        return await self._obtain_digests_without_caches(held)

    async def _fetch_digests_from_peer(self, held: PieceSet, peer: str) -> bool:
        if not await held.set_digests(await self._request_digests(peer, held.weights)):
            return False
        self.failed_digest_requests = 0
        return True

    async def _obtain_digests_without_caches(self, held: PieceSet) -> bool:
        own = str(self.env.instance)
        names = [state.instance for state in self.fleet.holders(held.weights, 0)]
        ordered = request_order(names, held.weights, DIGESTS_INDEX) or self.fleet.origin_fetchers(
            held.weights, 0
        )
        for peer in ordered[:MAX_PEERS_PER_ROUND]:
            if peer == own:
                break
            if await self._fetch_digests_from_peer(held, peer):
                return True
        return bool(held.digests) or await self.origin.fetch_digests(held)

    async def _request_digests(self, peer: str, weights: WeightsId) -> tuple[str, ...]:
        try:
            reply = await self.peers.call(
                address_of(peer), GetManifest(str(weights)), CACHE_TIMEOUT_S
            )
        except PeerError as error:
            log.info('The digests of {} were not received from {}: {}.', weights, peer, error)
            self.silent.mark_silent(peer)
            return ()
        return read_digests(reply, weights, peer)
