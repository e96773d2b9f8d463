"""
Caches pieces of weights at an entry, for the endpoint daemons of its zone.

The instance of an engine has a slow link that is shared by both directions; an entry has a
fast one. So the daemons of a zone fetch pieces from the entries of the zone. The entries
nearest to the origin fetch each piece from the origin once, and the entries of other zones
fetch it from them. The entry that fetches a piece from the origin is its fetcher.

"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_registry.caches import MAX_ADVERTISED_PER_OTHER_ZONE, caches_near_origin
from millfork_registry.discovery import address_of
from millfork_wire.connection import PeerError
from millfork_wire.messages import CacheAddress, Chunk, GetChunk, GetManifest, Manifest
from millfork_wire.peers import Peers
from millforkd.sidecar.origin import Origin
from millforkd.sidecar.pieces import (
    PieceSet,
    PieceStore,
    WeightsId,
    decode_digests,
    encode_digests,
    parse_weights_id,
)
from millforkd.sidecar.silent_peers import SilentPeers
from millforkd.sidecar.sources import DIGESTS_INDEX, request_order
from millforkd.sidecar.verification import store_if_valid

# Enough concurrent fetches to use the whole link of the origin.
MAX_CONCURRENT_ORIGIN_FETCHES: Final = 3
MAX_CONCURRENT_PREFETCHES: Final = 2
# A requester considers a cache silent after a second; a cache answers 'not yet' before that.
ANSWER_WITHIN_S: Final = 0.5
# Another cache answers within ANSWER_WITHIN_S, and the latency between zones is below 0.1 s.
PEER_TIMEOUT_S: Final = 0.8
# A piece that arrives corrupt is fetched once more.
MAX_ORIGIN_ATTEMPTS: Final = 2
# The pause after a prefetch round that fetched nothing.
RETRY_S: Final = 0.2
# A version that was not requested for this long is not needed at the moment: a daemon that needs
# a piece repeats its request after 0.5 s and a pause of RETRY_S.
IDLE_S: Final = 1.2
NOT_YET: Final = 'not yet'
ORIGIN_FAILS: Final = 'the origin does not answer'
OTHERS_FIRST: Final = 'the origin sends other pieces first'
# The origin counts as the bottleneck if a fetcher received at least this share of its equal part
# of the origin's rate within RATE_WINDOW_S. A slowed instance receives less.
MIN_RATE_SHARE: Final = 0.25
RATE_WINDOW_S: Final = 1.0
# A fetcher that answers 'not yet' is fetching the piece; another fetch of the same piece would
# only slow down the origin. After this many such answers (half a second each) the fetcher
# counts as too slow: a slowed instance needs five times as long as others.
MAX_NOT_YET_ANSWERS: Final = 6

log = logger(Component.WEIGHTS)


class PieceCache:
    """
    Holds the pieces of the versions that were requested last.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        origin: Origin,
        caches: Callable[[], list[CacheAddress]],
    ) -> None:
        self.env = env
        self.peers = peers
        self.origin = origin
        self.caches = caches
        self.store = PieceStore()
        # Fetches in progress, by version and piece (None: the digests).
        self.pending: dict[tuple[WeightsId, int | None], curio.Event] = {}
        self.origin_slots = curio.Semaphore(MAX_CONCURRENT_ORIGIN_FETCHES)
        self.prefetching: set[WeightsId] = set()
        # The time of the last request for a piece, by version.
        self.last_requested_at: dict[WeightsId, float] = {}
        self.silent = SilentPeers(env.monotonic)
        # The times and sizes of pieces received from the origin within RATE_WINDOW_S.
        self.received_from_origin: deque[tuple[float, int]] = deque()
        # The number of 'not yet' answers of fetchers, by version and piece.
        self.not_yet_answers: Counter[tuple[WeightsId, int]] = Counter()

    async def on_get_manifest(self, message: GetManifest) -> Manifest:
        """
        Answer a request for the digests of a version.

        """
        weights = _parse_weights_id(message.digest)
        if weights is None or not await self._ensure_digests(
            weights, message.draw, self._answer_deadline()
        ):
            return Manifest(reason=self._reason())
        return Manifest(True, encode_digests(self.store.get_or_create(weights).digests), False)

    async def on_get_chunk(self, message: GetChunk) -> Chunk:
        """
        Answer a daemon or another cache that requests a piece. A fetch that isn't complete in
        time continues, and serves later requests.

        """
        deadline = self._answer_deadline()
        weights = _parse_weights_id(message.manifest)
        if weights is None or not await self._ensure_digests(weights, message.draw, deadline):
            return Chunk(reason=self._reason())
        self.last_requested_at[weights] = self.env.monotonic()
        if weights not in self.prefetching:
            self.prefetching.intersection_update(self.store.sets)
            for old in self.last_requested_at.keys() - self.store.sets.keys() - {weights}:
                del self.last_requested_at[old]
            self.prefetching.add(weights)
            await self.env.spawn(self._prefetch, weights)
        await self._ensure_piece(weights, message.index, message.draw, deadline)
        data = self.store.get_or_create(weights).pieces.get(message.index)
        if data is None:
            return Chunk(reason=self._reason())
        self.env.metrics.count(self.env.metrics.chunk_bytes, len(data), source='cached')
        return Chunk(True, data)

    def _reason(self) -> str:
        if self.origin.failing:
            return ORIGIN_FAILS
        return OTHERS_FIRST if self._is_limited_by_origin() else NOT_YET

    def _is_limited_by_origin(self) -> bool:
        """
        Whether the bottleneck is the origin rather than this fetcher. When other caches then also
        fetched a piece from the origin, it sent 4.6 copies instead of two, and the first engine
        was complete 12.8 s after an outage of an origin that sends one copy in 4.4 s.

        """
        spec = self.origin.current_spec()
        if spec is None or not spec.bytes_per_s:
            return False
        now = self.env.monotonic()
        while self.received_from_origin and now - self.received_from_origin[0][0] > RATE_WINDOW_S:
            self.received_from_origin.popleft()
        received_bytes = sum(size for _, size in self.received_from_origin)
        return (
            received_bytes
            >= MIN_RATE_SHARE * RATE_WINDOW_S * spec.bytes_per_s / MAX_ADVERTISED_PER_OTHER_ZONE
        )

    def _answer_deadline(self) -> float:
        return self.env.monotonic() + ANSWER_WITHIN_S

    async def _ensure_digests(self, weights: WeightsId, direct: bool, deadline: float) -> bool:
        held = self.store.get_or_create(weights)
        if not held.digests:
            await self._fetch_once((weights, None), deadline, self._fetch_digests, held, direct)
        return bool(held.digests)

    async def _fetch_digests(self, held: PieceSet, direct: bool) -> None:
        """
        Fetch the digests, only once from the origin for all caches. When 98 entries and 102
        daemons each fetched them, a third fewer pieces fit on the origin's link in the first
        2.5 s.

        """
        if direct or not await self._fetch_from_cache(held, DIGESTS_INDEX):
            await self.origin.fetch_digests(held)

    async def _ensure_piece(
        self, weights: WeightsId, index: int, direct: bool, deadline: float
    ) -> None:
        """
        Fetch a missing piece, with `direct` only from the origin; returns by `deadline`.

        """
        held = self.store.get_or_create(weights)
        if 0 <= index < len(held.digests) and index not in held.pieces:
            await self._fetch_once((weights, index), deadline, self._fetch, weights, index, direct)

    async def _fetch_once(
        self,
        key: tuple[WeightsId, int | None],
        deadline: float,
        fetch: Callable[..., Any],
        *args: object,
    ) -> None:
        """
        Start a fetch of a piece or of the digests, unless it is already in progress, and wait for
        it until `deadline` at most.

        """
        pending = self.pending.get(key)
        if pending is None:
            pending = curio.Event()
            self.pending[key] = pending
            await self.env.spawn(self._run_fetch, key, fetch, *args)
        try:
            async with curio.timeout_after(deadline - self.env.monotonic()):
                await pending.wait()
        except curio.TaskTimeout:
            log.debug('Not fetched in time: {} of {}.', key[1], key[0])

    async def _run_fetch(
        self, key: tuple[WeightsId, int | None], fetch: Callable[..., Any], *args: object
    ) -> None:
        try:
            await fetch(*args)
        finally:
            await self.pending.pop(key).set()

    async def _fetch(self, weights: WeightsId, index: int, direct: bool) -> None:
        held = self.store.get_or_create(weights)
        if not direct and await self._fetch_from_cache(held, index):
            return
        async with self.origin_slots:
            for _ in range(MAX_ORIGIN_ATTEMPTS):
                if index not in held.pieces:
                    await self._fetch_from_origin(held, index)

    async def _fetch_from_origin(self, held: PieceSet, index: int) -> None:
        data = await self.origin.fetch_piece(held, index)
        if data is not None:
            self.received_from_origin.append((self.env.monotonic(), len(data)))

    async def _fetch_from_cache(self, held: PieceSet, index: int) -> bool:
        """
        Request a piece, or the digests, from its fetcher, and from the next one if that is
        silent. False if this cache has to fetch it from the origin; True otherwise, also if the
        fetcher doesn't have it yet.

        """
        key = (held.weights, index)
        own = str(self.env.instance)
        while self.not_yet_answers[key] < MAX_NOT_YET_ANSWERS:
            fetcher = self._fetcher_of(held.weights, index)
            if fetcher == own:
                return False
            reply = await self._ask(fetcher, held.weights, index)
            if reply is None:
                continue
            if not reply.found:
                # Another fetcher wouldn't get more from an origin that is down or at its limit.
                self.not_yet_answers[key] += reply.reason not in (ORIGIN_FAILS, OTHERS_FIRST)
                return True
            del self.not_yet_answers[key]
            return await self._store_reply(held, index, reply, fetcher)
        return False

    async def _store_reply(
        self, held: PieceSet, index: int, reply: Chunk | Manifest, fetcher: str
    ) -> bool:
        if isinstance(reply, Chunk):
            return await store_if_valid(self.env, held, index, reply.data, 'cache', fetcher)
        try:
            await held.set_digests(decode_digests(reply.body))
        except msgspec.DecodeError as error:
            log.warning(
                'Digests of {} from {} cannot be decoded: {}.', held.weights, fetcher, error
            )
            return False
        return True

    def _fetcher_of(self, weights: WeightsId, index: int) -> str:
        """
        The cache that fetches a piece from the origin. Caches that were silent recently are left
        out; without any other this cache is the fetcher.

        """
        answering = [cache for cache in self.caches() if not self.silent.is_silent(cache.instance)]
        names = [cache.instance for cache in caches_near_origin(answering, self._origin_zone())]
        return request_order(names, weights, index)[0] if names else str(self.env.instance)

    async def _ask(self, fetcher: str, weights: WeightsId, index: int) -> Chunk | Manifest | None:
        """
        The answer of a fetcher; None if it is silent.

        """
        message: GetChunk | GetManifest = GetChunk(str(weights), index, draw=True)
        if index == DIGESTS_INDEX:
            message = GetManifest(str(weights), draw=True)
        try:
            reply = await self.peers.call(address_of(fetcher), message, PEER_TIMEOUT_S)
        except PeerError as error:
            log.info(
                'Piece {} of {} was not received from cache {}: {}.', index, weights, fetcher, error
            )
            self.silent.mark_silent(fetcher)
            return None
        return reply if isinstance(reply, Chunk | Manifest) else Chunk(reason='no cache')

    def _origin_zone(self) -> str:
        spec = self.origin.current_spec()
        return spec.zone if spec is not None else ''

    # Prefetching keeps the slow links of engines from waiting for the origin, and gets pieces
    # from the origin before it may fail.

    async def _prefetch(self, weights: WeightsId) -> None:
        """
        Fetch the pieces that daemons will request from this cache, until all are held or newer
        versions have replaced them.

        """
        zone_caches = [cache.instance for cache in self.caches() if cache.zone == self.env.zone]
        own = str(self.env.instance)
        held = self.store.get_or_create(weights)
        own_indexes = [
            index
            for index in prefetch_order(len(held.digests))
            if not zone_caches or request_order(zone_caches, weights, index)[0] == own
        ]
        while self.store.find(weights) is held and self._is_requested(weights):
            queue = [index for index in reversed(own_indexes) if index not in held.pieces]
            if not queue:
                break
            before = len(held.pieces)
            async with curio.TaskGroup() as group:
                for _ in range(MAX_CONCURRENT_PREFETCHES):
                    await group.spawn(self._run_prefetcher, weights, queue)
            if len(held.pieces) == before:
                await curio.sleep(RETRY_S)
        if not self._is_requested(weights):
            # The next request starts prefetching again.
            self.prefetching.discard(weights)
        log.info(
            'Prefetching ended. weights={} held={} of={}',
            weights,
            len(held.pieces),
            len(held.digests),
        )

    def _is_requested(self, weights: WeightsId) -> bool:
        """
        Whether a version is still requested. Prefetching one that is not would delay other
        versions where the origin's link is the bottleneck.

        """
        return self.env.monotonic() - self.last_requested_at.get(weights, float('-inf')) < IDLE_S

    async def _run_prefetcher(self, weights: WeightsId, queue: list[int]) -> None:
        while queue and self._is_requested(weights):
            await self._ensure_piece(weights, queue.pop(), False, self._answer_deadline())


def prefetch_order(pieces: int) -> list[int]:
    """
    The piece indexes, alternating between both halves: an engine without weights fetches one
    half of the layers first, so the origin can serve engines of both halves at once.

    """
    half = -(-pieces // 2)
    return sorted(range(pieces), key=lambda index: (index % half, index))


def _parse_weights_id(text: str) -> WeightsId | None:
    try:
        return parse_weights_id(text)
    except ValueError as error:
        log.warning('Invalid id of weights: {}.', error)
        return None
