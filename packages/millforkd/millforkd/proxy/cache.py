"""
Caches pieces of weights at an entry, for the endpoint daemons of the entry's zone.

The instance of an engine has a slow link that is shared by both directions; an entry has a fast
link. So the endpoint daemons of a zone fetch pieces from the entries of the zone. Each piece has
one fetcher: an entry near the origin (the weight store) that fetches the piece from the origin. All
other entries fetch the piece from the fetcher.

"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_registry.caches import MAX_ADVERTISED_PER_OTHER_ZONE, caches_near_origin
from millfork_registry.discovery import address_of
from millfork_wire.connection import PeerError
from millfork_wire.messages import CacheAddress, Chunk, GetChunk, GetManifest, Manifest
from millfork_wire.peers import Peers
from millforkd.sidecar.digest_checks import PieceSource
from millforkd.sidecar.origin import Origin
from millforkd.sidecar.pieces import (
    PieceSet,
    PieceStore,
    WeightsId,
    encode_digests,
    parse_weights_id,
)
from millforkd.sidecar.recorded_digests import RecordedDigests
from millforkd.sidecar.silent_peers import SilentPeers
from millforkd.sidecar.sources import DIGESTS_INDEX, request_order
from millforkd.sidecar.verification import read_digests, store_if_valid

# The maximum number of pieces that this cache fetches from the origin at the same time: enough to
# use the origin's whole link.
MAX_CONCURRENT_ORIGIN_FETCHES: Final = 3
# The maximum number of pieces of one version that are prefetched at the same time.
MAX_CONCURRENT_PREFETCHES: Final = 2
# If a requested piece hasn't arrived after this time, the cache answers with a reason instead of
# the piece. The daemon that requested the piece would consider the cache silent after a second, and
# another cache that requested it would do so after PEER_TIMEOUT_S.
ANSWER_WITHIN_S: Final = 0.5
# The timeout of requests to other caches for pieces of up to USUAL_PIECE_BYTES: other caches answer
# within ANSWER_WITHIN_S, and the latency between zones is below 0.1 s. Larger pieces have as much
# more time: fetchers of pieces of 49 KB counted as silent in the middle of their answers, and the
# pieces were sent between regions again.
PEER_TIMEOUT_S: Final = 0.8
USUAL_PIECE_BYTES: Final = 24_576
# The greatest number of requests for pieces to other caches at a time. More would queue in the link
# of the fetcher, which sends every piece to all other zones.
MAX_CONCURRENT_PEER_FETCHES: Final = 3
# The maximum number of attempts to fetch a piece from the origin: a piece that arrives corrupt, or
# doesn't arrive, is fetched once more.
MAX_ORIGIN_ATTEMPTS: Final = 2
# The pause in prefetching a version after all missing pieces were tried and no piece arrived.
RETRY_S: Final = 0.2
# Prefetching of a version stops if no piece of the version was requested for this long. A daemon
# that needs a piece receives an answer within 0.5 s, and repeats its request 0.2 s after the
# answer.
IDLE_S: Final = 1.2
# Reasons that a cache gives for not sending a piece.
NOT_YET: Final = 'not yet'
ORIGIN_FAILS: Final = 'the origin does not answer'
ORIGIN_BUSY: Final = 'the origin sends other pieces first'
# The origin, not the fetcher, counts as the bottleneck if the fetcher received data within
# RATE_WINDOW_S at no less than this share of its part of the origin's rate (the rate divided by the
# maximum number of fetchers). A fetcher on a slowed instance receives less.
MIN_RATE_SHARE: Final = 0.25
# The period over which the rate of data from the origin is measured.
RATE_WINDOW_S: Final = 1.0
# After this many 'not yet' answers for a piece (each after half a second) the fetcher of the piece
# counts as too slow, and this cache fetches the piece from the origin. A fetcher on a slowed
# instance needs five times as long as others. A second fetch any earlier would only slow down the
# origin.
MAX_NOT_YET_ANSWERS: Final = 6

log = logger(Component.WEIGHTS)


class PieceCache:
    """
    Serves pieces of the versions of weights that were requested last, and fetches pieces that it
    lacks.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        origin: Origin,
        caches: Callable[[], list[CacheAddress]],
        recorded: RecordedDigests,
        piece_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self.env = env
        self.peers = peers
        self.origin = origin
        self.caches = caches
        self.recorded = recorded
        # Returns the size of a piece by the document; 0 if it isn't known.
        self.piece_bytes = piece_bytes
        self.store = PieceStore()
        # For each fetch in progress, by version and piece (None: the digests), an event that is
        # set when the fetch ends.
        self.pending: dict[tuple[WeightsId, int | None], curio.Event] = {}
        self.origin_slots = curio.Semaphore(MAX_CONCURRENT_ORIGIN_FETCHES)
        self.peer_slots = curio.Semaphore(MAX_CONCURRENT_PEER_FETCHES)
        # Versions whose prefetching is running or complete.
        self.prefetching: set[WeightsId] = set()
        # The time of the last request for a piece, by version.
        self.last_requested_at: dict[WeightsId, float] = {}
        # The version of which this cache keeps pieces before they are requested.
        self.ahead: WeightsId | None = None
        self.silent = SilentPeers(env.monotonic)
        # The times and sizes of pieces received from the origin within RATE_WINDOW_S.
        self.received_from_origin: deque[tuple[float, int]] = deque()
        # The number of 'not yet' answers of fetchers, by version and piece.
        self.not_yet_answers: Counter[tuple[WeightsId, int]] = Counter()

    async def on_get_manifest(self, message: GetManifest) -> Manifest:
        """
        Answer a daemon or another cache that requests the digests of a version (the hashes of its
        pieces); with a reason instead if the digests don't arrive in time.

        """
        weights = _parse_weights_id(message.digest)
        if weights is None or not await self._ensure_digests(
            weights, message.draw, self._answer_deadline()
        ):
            return Manifest(reason=self._reason_not_found())
        return Manifest(True, encode_digests(self.store.get_or_create(weights).digests), False)

    async def on_get_chunk(self, message: GetChunk) -> Chunk:
        """
        Answer a daemon or another cache that requests a piece, and start prefetching the version
        unless its prefetching is running or complete. If the piece doesn't arrive in time, the
        answer gives a reason instead, and the fetch continues for later requests.

        """
        deadline = self._answer_deadline()
        weights = _parse_weights_id(message.manifest)
        if weights is None or not await self._ensure_digests(weights, message.draw, deadline):
            return Chunk(reason=self._reason_not_found())
        self.last_requested_at[weights] = self.env.monotonic()
        await self._start_prefetching(weights)
        await self._ensure_piece(weights, message.index, message.draw, deadline)
        data = self.store.get_or_create(weights).pieces.get(message.index)
        if data is None:
            return Chunk(reason=self._reason_not_found())
        self.env.metrics.count(self.env.metrics.chunk_bytes, len(data), source='cached')
        return Chunk(True, data)

    async def keep_ahead(self, weights: WeightsId) -> None:
        """
        Fetch the pieces of a version that this cache keeps for its zone, although no daemon has
        asked for them. Called again and again while a copy is to be kept.

        """
        self.ahead = weights
        if weights in self.prefetching:
            return
        if not await self._ensure_digests(weights, False, self._answer_deadline()):
            return
        if self._missing_own(weights):
            log.info('Fetching pieces ahead of need. weights={}', weights)
            await self._start_prefetching(weights)

    async def _start_prefetching(self, weights: WeightsId) -> None:
        if weights in self.prefetching:
            return
        self.prefetching.intersection_update(self.store.sets)
        for old in self.last_requested_at.keys() - self.store.sets.keys() - {weights}:
            del self.last_requested_at[old]
        self.prefetching.add(weights)
        await self.env.spawn(self._prefetch, weights)

    def _missing_own(self, weights: WeightsId) -> list[int]:
        """
        The pieces that this cache keeps for its zone and lacks, in the order in which engines need
        them.

        """
        zone_caches = [cache.instance for cache in self.caches() if cache.zone == self.env.zone]
        own = str(self.env.instance)
        held = self.store.get_or_create(weights)
        return [
            index
            for index in prefetch_order(len(held.digests))
            if index not in held.pieces
            and (not zone_caches or request_order(zone_caches, weights, index)[0] == own)
        ]

    def _reason_not_found(self) -> str:
        if self.origin.failing:
            return ORIGIN_FAILS
        return ORIGIN_BUSY if self._is_limited_by_origin() else NOT_YET

    def _is_limited_by_origin(self) -> bool:
        """
        Whether the bottleneck is the origin rather than this fetcher. If so, other caches must not
        fetch the same pieces from the origin as well. When other caches did so, the origin sent
        4.6 copies of the weights instead of two, and the first engine had all pieces only 12.8 s
        after the origin's outage, although the origin sends one copy in 4.4 s. False if the
        configuration sets no rate for the origin.

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

    async def _ensure_digests(self, weights: WeightsId, from_origin: bool, deadline: float) -> bool:
        held = self.store.get_or_create(weights)
        if not held.digests:
            await self._fetch_once(
                (weights, None), deadline, self._fetch_digests, held, from_origin
            )
        return bool(held.digests)

    async def _fetch_digests(self, held: PieceSet, from_origin: bool) -> None:
        """
        Take the digests in the replicated state or, if some are not recorded, fetch all from their
        fetcher; or from the origin if `from_origin` is set, this cache
        is the fetcher, or the fetcher was too slow or sent invalid data. When 98 entries and 102
        daemons each fetched the digests from the origin, a third fewer pieces fit on the origin's
        link in the first 2.5 s.

        """
        if await held.set_digests(self.recorded.find_all(held.weights)):
            return
        if from_origin or not await self._fetch_from_cache(held, DIGESTS_INDEX):
            await self.origin.fetch_digests(held)

    async def _ensure_piece(
        self, weights: WeightsId, index: int, from_origin: bool, deadline: float
    ) -> None:
        """
        Fetch a piece that this cache lacks, or wait for the fetch of the piece that is in progress.
        If `from_origin` is set, a new fetch uses only the origin. Returns once the fetch ends, at
        the latest at `deadline`. Does nothing if the version has no piece with this index.

        """
        held = self.store.get_or_create(weights)
        if 0 <= index < len(held.digests) and index not in held.pieces:
            await self._fetch_once(
                (weights, index), deadline, self._fetch_piece, weights, index, from_origin
            )

    async def _fetch_once(
        self,
        key: tuple[WeightsId, int | None],
        deadline: float,
        fetch: Callable[..., Any],
        *args: object,
    ) -> None:
        """
        Start a fetch of a piece or of the digests, unless one is already in progress, and wait
        until the fetch ends, at most until `deadline`.

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

    async def _fetch_piece(self, weights: WeightsId, index: int, from_origin: bool) -> None:
        held = self.store.get_or_create(weights)
        if not from_origin and await self._fetch_from_cache(held, index):
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
        Request a piece, or the digests, from the fetcher; if the fetcher is silent, from the cache
        that takes its place. Returns False if this cache has to fetch from the origin: this cache
        is the fetcher, or the fetcher was too slow or sent invalid data. Returns True otherwise,
        also if nothing was received because the fetcher doesn't have the piece yet.

        """
        key = (held.weights, index)
        own = str(self.env.instance)
        while self.not_yet_answers[key] < MAX_NOT_YET_ANSWERS:
            fetcher = self._fetcher_of(held.weights, index)
            if fetcher == own:
                return False
            async with self.peer_slots:
                reply = await self._ask(fetcher, held.weights, index)
            if reply is None:
                continue
            if not reply.found:
                # An answer isn't counted if the origin is down or at its limit: another fetcher
                # wouldn't get more from the origin either.
                self.not_yet_answers[key] += reply.reason not in (ORIGIN_FAILS, ORIGIN_BUSY)
                return True
            del self.not_yet_answers[key]
            return await self._store_reply(held, index, reply, fetcher)
        return False

    async def _store_reply(
        self, held: PieceSet, index: int, reply: Chunk | Manifest, fetcher: str
    ) -> bool:
        if isinstance(reply, Chunk):

            async def request_digests() -> tuple[str, ...]:
                answer = await self._ask(fetcher, held.weights, DIGESTS_INDEX)
                return read_digests(answer, held.weights, fetcher)

            return await store_if_valid(
                self.env, held, index, reply.data, PieceSource.CACHE, fetcher, request_digests
            )
        return await held.set_digests(read_digests(reply, held.weights, fetcher))

    def _fetcher_of(self, weights: WeightsId, index: int) -> str:
        """
        The instance of the cache that is to fetch a piece, or the digests, from the origin. Caches
        that were silent recently are left out; if none remain, this cache is the fetcher.

        """
        answering = [cache for cache in self.caches() if not self.silent.is_silent(cache.instance)]
        names = [cache.instance for cache in caches_near_origin(answering, self._origin_zone())]
        return request_order(names, weights, index)[0] if names else str(self.env.instance)

    async def _ask(self, fetcher: str, weights: WeightsId, index: int) -> Chunk | Manifest | None:
        """
        The answer of a fetcher to a request for a piece or the digests. None if there is no
        answer; the fetcher then counts as silent for a while.

        """
        message: GetChunk | GetManifest = GetChunk(str(weights), index, draw=True)
        if index == DIGESTS_INDEX:
            message = GetManifest(str(weights), draw=True)
        try:
            reply = await self.peers.call(address_of(fetcher), message, self._peer_timeout_s())
        except PeerError as error:
            log.info(
                'Piece {} of {} was not received from cache {}: {}.', index, weights, fetcher, error
            )
            self.silent.mark_silent(fetcher)
            return None
        return reply if isinstance(reply, Chunk | Manifest) else Chunk(reason='no cache')

    def _peer_timeout_s(self) -> float:
        return PEER_TIMEOUT_S * max(1.0, self.piece_bytes() / USUAL_PIECE_BYTES)

    def _origin_zone(self) -> str:
        spec = self.origin.current_spec()
        return spec.zone if spec is not None else ''

    # Pieces are prefetched so that the slow links of engines aren't idle while a piece comes from
    # the origin, and so that the pieces are in the cache if the origin fails.

    async def _prefetch(self, weights: WeightsId) -> None:
        """
        Fetch the pieces of a version that the zone's daemons request from this cache first. Ends
        once the cache holds these pieces, newer versions have replaced the version in the cache, or
        no piece of the version was requested for IDLE_S.

        """
        held = self.store.get_or_create(weights)
        while self.store.find(weights) is held and self._is_requested(weights):
            queue = self._missing_own(weights)[::-1]
            if not queue:
                break
            held_before = len(held.pieces)
            async with curio.TaskGroup() as group:
                for _ in range(MAX_CONCURRENT_PREFETCHES):
                    await group.spawn(self._run_prefetcher, weights, queue)
            if len(held.pieces) == held_before:
                await curio.sleep(RETRY_S)
        if not self._is_requested(weights):
            # The next request for the version starts its prefetching again.
            self.prefetching.discard(weights)
        log.info(
            'Prefetching ended. weights={} held={} of={}',
            weights,
            len(held.pieces),
            len(held.digests),
        )

    def _is_requested(self, weights: WeightsId) -> bool:
        """
        Whether a piece of the version was requested within IDLE_S, or a copy of the version is kept
        ahead of need. Where the origin's link is the
        bottleneck, prefetching a version that nobody needs would delay other versions.

        """
        if weights == self.ahead:
            return True
        return self.env.monotonic() - self.last_requested_at.get(weights, float('-inf')) < IDLE_S

    async def _run_prefetcher(self, weights: WeightsId, queue: list[int]) -> None:
        while queue and self._is_requested(weights):
            await self._ensure_piece(weights, queue.pop(), False, self._answer_deadline())


def prefetch_order(piece_count: int) -> list[int]:
    """
    The indexes of all pieces, alternating between the two halves of the layers. An engine without
    weights fetches one half first; with this order, engines that fetch different halves are served
    at the same time.

    """
    half = -(-piece_count // 2)
    return sorted(range(piece_count), key=lambda index: (index % half, index))


def _parse_weights_id(text: str) -> WeightsId | None:
    try:
        return parse_weights_id(text)
    except ValueError as error:
        log.warning('Invalid id of weights: {}.', error)
        return None
